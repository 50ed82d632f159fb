//! The rules of the duties, described for the generated reference.

pub use pomeloridge_base::rule::Rule;

pomeloridge_base::rules! {
    COUNT_ONCE "counting once"
        "A batch is counted once by its node, incarnation and number, and a request once by its id. Of two lines of one request in one window the greater counts; a line of a request counted in one of the last windows is left out."
        "A stream may be taken up on another node, and copies of a batch are kept on several."
        "`memory`: requests are remembered for 10 windows and for 5 minutes, whichever is more."
        "Node `vm-1` dies after 20 of 50 tokens and `vm-2` ends the stream: 1 request and 50 output tokens are billed.";
    SEAL "sealing"
        "A window is written as an object that must not exist yet, with the figures and the batches counted so far, before it is reported. Whatever stands under its id is reported, unchanged, until the platform confirms it. Window numbers count up by one; an empty window is not sealed."
        "Two holders in turn, or one whose answer was lost, must never report different figures for one window."
        "`window_ms` in section `usage`."
        "A holder dies after sealing window 41: the next one reports 41 as it stands and goes on with 42.";
    SPLIT "splitting of a window"
        "A window takes batches until its object would grow beyond 700 kB; the rest goes into further windows at once."
        "The object service takes values of up to a megabyte."
        "None."
        "60,000 requests of a minute are sealed as two windows.";
    GAP "missing batches"
        "Batches after a missing number are counted; the missing one is counted when it comes. It is given up after all known nodes were asked for it in vain in `patience` rounds."
        "A batch may be on a node that is cut off for a while, and must then be neither lost nor hold up the others."
        "`patience`: rounds, 10 by default."
        "Batches 1, 2 and 4 of `vm-1` are sealed; batch 3 comes with the next window.";
    FRESH "fresh inputs"
        "Nothing is ordered while the demand is older than 5 s, the list of servers older than 10 s, or fewer than half of the nodes were heard of. Outstanding orders are still carried on."
        "An order on old figures may be the opposite of what is needed, and a holder that is cut off sees only its own demand."
        "None."
        "A holder that hears 3 of 7 nodes orders nothing.";
    COVER "cover of the forecast"
        "Servers are ordered when those that serve, start or were ordered are fewer than the forecast needs at the target utilisation. The forecast is the mean of 15 s and its trend over a minute, carried to the delivery delay, at most twice the mean. The delay is learned from own orders."
        "A server that is ordered when the queue stands comes too late."
        "`floor` and `ceiling` of a model, exceptions of kinds `floor`, `ceiling` and `hold`; `target_use`, 0.7 by default."
        "Demand that keeps 7 servers busy and grows by 2 a minute, with servers that take a minute: 13 servers are kept.";
    SPREAD "cheap servers first, spread"
        "A server is ordered as a cheap one in the data centre with the fewest cheap ones, until the demand is covered also without all cheap servers of any one data centre. Regular ones are ordered where cheap ones do not pay at that spread, or no two data centres are free of reclaims in the last 10 minutes."
        "The platform reclaims the cheap servers of a data centre together."
        "`loss_use`: utilisation after such a loss, 0.9 by default."
        "Of three data centres, each with 3 cheap servers, any may be lost while 6 servers cover the demand.";
    RELEASE "release"
        "A server is released when the greatest demand of the hold time is covered without it: a dear one first, among equals the least loaded one. An engine is drained before, and released when it is idle or its time has passed; if demand returns, it serves again. One server of a pool leaves at a time, and none while others come."
        "Releasing at each dip would pay for the same servers again, and late."
        "`hold`, 5 minutes; `drain_limit`, 2 minutes; `floor` of a model."
        "At night, demand falls to nothing: after 5 minutes one engine after another is drained and released, down to the floor.";
    ONE_ORDER "one order a slot"
        "An order is written as an intent into its slot before it is sent, and its id comes from there. A new holder sends the outstanding order again, unchanged, before it gives another. A slot is free when the platform or the engine shows the order's effect."
        "A repeat must be the same order to the platform and to the engine, whoever sends it."
        "`open_orders`: open orders for servers of one pool, 8 by default."
        "A holder dies after sending `chat.add.0#4`: the next one sends `chat.add.0#4`, and the platform says that it is repeated.";
    MOVE "change of role"
        "An engine changes its role when the engine time gained over the horizon exceeds the time lost by a margin, and the same move has been wanted for the hold time. One engine of a model moves at a time, never the last of its role in a data centre. The engine is drained first and serves again after the change."
        "The mix of prompts and output shifts faster than servers can be ordered, but each change takes an engine away for seconds."
        "`horizon`, `change`, `margin`, `relaxed`, `hold`; exceptions of kinds `pin`, `hold` and `drain`."
        "Of 12 mixed engines at 110 % of their prefill, one goes to prefill when that has been so for 10 s.";
    LOAD "loading of a model"
        "An engine that reports models without its pool's is drained, loads it, and serves again; at most `loads` engines do so at once."
        "The weight store is rate-limited; many loads at once would all be slow."
        "`loads`, 2 by default."
        "Five engines come back without their model: two load it, then the next two.";
    WAIT_OUT "engines that don't check fencing numbers"
        "A new holder gives such an engine no order before the former lease's term and the longest order have passed."
        "The engine would take a late order of the former holder."
        "`longest_order`, 30 s by default."
        "After a takeover with a term of 3 s, the first order to such an engine goes out after 33 s.";
}
