//! Rules of the duties, as described in the generated reference.

pub use pomeloridge_base::rule::Rule;

pomeloridge_base::rules! {
    COUNT_ONCE "counting once"
        "A batch, identified by its node, incarnation and number, is counted once, and so is a request, identified by its id. If a window contains two lines of one request, the greater counts. A line of a request that was counted in a recent window is ignored."
        "A stream may be resumed on another node, and batches are replicated to several nodes."
        "`retention`: request ids are remembered for 10 windows or 5 minutes, whichever is longer."
        "Node `vm-1` fails after 20 of 50 tokens and `vm-2` completes the stream: 1 request and 50 output tokens are billed.";
    SEAL "sealing"
        "Before a window is reported, it is written, with its totals and the batches counted so far, as an object that must not exist yet. The object stored under the window's id is then reported unchanged until the platform confirms it. Window numbers increase by one. Empty windows are not sealed."
        "Neither successive lease holders nor a holder that missed a response may report different totals for the same window."
        "`window_ms` in section `usage`."
        "A holder fails after sealing window 41. The next holder reports window 41 as stored and continues with 42.";
    SPLIT "splitting of a window"
        "Batches are added to a window until its object would exceed 700 kB. The remaining batches go into further windows immediately."
        "The object service accepts values of up to 1 MB."
        "None."
        "60,000 requests in a minute are sealed as two windows.";
    GAP "missing batches"
        "Batches after a gap in the numbers are counted. The missing batch is counted when it arrives, and given up after `gap_rounds` rounds in which every known node answered and none stored it."
        "A batch may be held by a node that is temporarily unreachable. It must not be lost, nor delay other batches."
        "`gap_rounds`: number of rounds, 10 by default."
        "Batches 1, 2 and 4 of `vm-1` are sealed. Batch 3 arrives later and is counted in the next window.";
    FRESH "fresh inputs"
        "No new order is given while the demand is older than 5 s, the server list is older than 10 s, or fewer than half of the known nodes have reported. Outstanding orders are still processed."
        "An order based on stale data may be the opposite of what is needed, and a partitioned holder sees only its own demand."
        "None."
        "A holder with reports from 3 of 7 nodes gives no new order.";
    COVER "cover of the forecast"
        "Servers are ordered when fewer are serving, starting or on order than the forecast load requires at the target utilisation. The forecast extrapolates the 15 s average by the 1-minute trend over the provisioning delay, up to twice the average. The provisioning delay is a moving average over this holder's own orders."
        "A server that is ordered only once requests are queued is ready too late."
        "`floor` and `ceiling` of a model, exceptions of kinds `floor`, `ceiling` and `hold`; `target_utilisation`, 0.7 by default."
        "Demand keeps 7 servers busy and grows by 2 servers per minute, and the provisioning delay is 1 minute: 13 servers are kept.";
    SPREAD "cheap servers first, spread"
        "New servers are preemptible and go to the data centre with the fewest preemptible servers, until the demand is covered even if any one data centre loses all of its preemptible servers. On-demand servers are ordered instead if preemptible servers cost more at that redundancy, or if fewer than two data centres had no reclaim in the last 10 minutes."
        "The platform reclaims the preemptible servers of a data centre together."
        "`utilisation_after_loss`: target utilisation after such a loss, 0.9 by default."
        "With 3 preemptible servers in each of three data centres, any one data centre may lose its servers, and the remaining 6 cover the demand.";
    RELEASE "release"
        "A server is released when the peak demand of the scale-down delay is covered without it. The most expensive server goes first, and among equally expensive ones the least loaded. An engine is drained first, and released when it is idle or the drain timeout has passed. If demand returns before that, it is put back into service. One server of a pool is removed at a time, and none while others are being added."
        "Servers released at each dip in demand would have to be ordered again, and would be ready too late."
        "`scale_down_delay`, 5 minutes; `drain_timeout`, 2 minutes; `floor` of a model."
        "At night, demand falls to zero: after 5 minutes, the engines are drained and released one by one, down to the floor.";
    ONE_ORDER "one order a slot"
        "Before an order is sent, it is written as an intent into a slot, from which its id is derived. A new holder resends the outstanding order unchanged before it uses the slot for another. The slot is free once the platform or the engine shows the order's effect."
        "The platform and the engine must recognise a repeat as the same order, whichever node sends it."
        "`max_open_orders`: maximum number of outstanding orders for servers of one pool, 8 by default."
        "A holder fails after sending `chat.add.0#4`. The next holder sends `chat.add.0#4` again, and the platform responds that it is a repeat.";
    MOVE "change of role"
        "An engine changes its role when the engine time gained over the horizon exceeds the time lost to the change by a margin, and the same change has been indicated for the hold time. One engine of a model changes at a time, and never the last of its role in a data centre. The engine is drained before the change and put back into service after it."
        "The ratio of prefill to decode load shifts faster than servers can be ordered, but each change takes an engine out of service for seconds."
        "`horizon`, `role_change_time`, `min_gain_ratio`, `low_utilisation`, `debounce_time`; exceptions of kinds `pin`, `hold` and `drain`."
        "If 12 mixed engines are at 110 % of their prefill capacity for 10 s, one of them changes to the prefill role.";
    LOAD "loading of a model"
        "An engine whose reported models don't include its pool's model is drained, loads the model, and is put back into service. At most `max_model_loads` engines do so at once."
        "The weight store is rate-limited, so that many concurrent loads would all be slow."
        "`max_model_loads`, 2 by default."
        "Five engines restart without their model: two load it first, then the next two.";
    WAIT_OUT "engines that don't check fencing tokens"
        "A new holder sends no order to such an engine until the previous lease's term plus the longest order time has passed."
        "The engine would accept a delayed order of the previous holder."
        "`longest_order`: longest time that an order may take, 30 s by default."
        "After a takeover with a lease term of 3 s, the first order to such an engine is sent after 33 s.";
}
