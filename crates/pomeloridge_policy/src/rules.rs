//! The rules of routing and admission, described for the generated reference.

pub use pomeloridge_base::rule::Rule;

pomeloridge_base::rules! {
    LIMIT "in-flight limit"
        "A node lets as many requests of a pool run as the pool's usable servers have slots, less what its peers have in flight. An engine whose waiting prompts take more than 0.4 of the time to the first token has no free slot. One request starts at a time, once the one before is counted on its server. A refusal by a server lowers the node's share to 85 %, at most once in 100 ms; a success raises it by 0.5 % of the slots."
        "Requests should wait where they can be ordered fairly and refused early, not on the servers."
        "The servers report their slots; `nodes` is counted by the heartbeat. An equal part of the slots is always left to the node unless refusals lower it."
        "Three servers of 8 slots and 10 requests of peers in flight leave 14 to the node.";
    FAIR "fair queue"
        "Of the client accounts that wait, the one with the least counter goes next. A request adds its prompt tokens and output tokens, at their charges, divided by the weights of its account and route. Service by peers is added. An account that returns starts at the counter of the one served last."
        "Each account gets its share of the fleet, however many requests it sends, and being idle earns no credit."
        "`weight` of a client account and `weight` of a route in the configuration."
        "Of two accounts with equal weights, one sends 1 request and the other 50: the one request goes second at the latest.";
    DEADLINE "refusal at once"
        "A request that would have to wait past its deadline, or that finds the queue full, is refused as it arrives. One that waits is refused as soon as its deadline can't be met."
        "A caller that is told at once can go elsewhere; one that is held back loses the time as well."
        "`queue` and `account_queue` in section `admission`; `wait_ms` of a model; `first_byte_ms` and `deadline_ms` of a route."
        "With 40 requests ahead, 8 in flight and 2 s each, a request due in 5 s is refused with the time after which to come back.";
    CANDIDATES "candidates"
        "A server is a candidate if it serves the pool and is ready. It is none if it is leaving, drained by an exception, ejected, or already tried for this request; for a suspect also if another suspect runs there."
        "New work on a leaving or unreachable server would be cut or delayed."
        "Exceptions of kind `drain`."
        "An engine that reports `leaving` gets no new request from the next decision on.";
    DRAW "two random servers"
        "Two candidates are drawn at random and scored; the lower score wins."
        "Nodes with views of different age would all choose the one server that looks best."
        "The routing policy; `round_robin` and `least_reported` exist for comparison."
        "Of 12 engines, engines 3 and 9 are drawn and scored at 0.41 s and 0.18 s: engine 9 is chosen.";
    AFFINITY "affinity"
        "A third candidate is bound to the request's session, else to the first block of its prompt, by rendezvous hashing over the servers whose load is at most a quarter over the mean."
        "Requests of one session meet the prompt's cache again, and a popular prompt can't overload its server."
        "The caller names its session in a header."
        "Session `s-17` ranks engine 4 first. Engine 4 has 9 in flight where the mean is 5, so the next in rank is taken.";
    WAIT "estimated wait"
        "The score is the time to read the waiting prompt tokens and the request's own, the slowing of its output by the requests in flight, and the wait for a slot. Speeds are learned from each server's answers."
        "Prompt-heavy and output-heavy requests load a server in different ways; counting requests can't tell them apart."
        "`prefill_rate` and `decode_rate` of a model are the speeds that learning starts from."
        "8000 waiting prompt tokens at 4000 a second score 2 s.";
    LAG "late reports"
        "To a load report are added the node's own requests sent since its timestamp, and taken off those that ended since. If the node and its peers have more in flight than that, their sum is taken."
        "A report that is a second old would draw all requests of that second to one server."
        "`load_ms` in section `backend`; `heartbeat_ms` in section `node_link`."
        "A report of 2 running from 800 ms ago and 3 requests sent since count as 5.";
    PREFIX "prefix benefit"
        "The score is lowered by the time to read those prompt tokens that the server is thought to hold in its cache."
        "A cached prefix need not be read again."
        "None. Hints come from the node's own requests and from cache events; a lost event costs only the benefit."
        "A prompt of 10 blocks of 64 tokens, 8 of them held, saves 0.128 s at 4000 tokens a second.";
    DISTANCE "distance"
        "A server in another data centre scores 1 ms more."
        "Among equals the near server answers sooner, and a busy one should not be preferred for it."
        "`data_centre` in section `node`."
        "Two idle engines, one of them in the node's data centre: that one is chosen.";
    EJECT "ejection"
        "A server that can't be connected to is no candidate from then on. It is probed after 1 s, then after pauses that double up to 30 s, and is back with the first success."
        "The platform's list lags by seconds, and each request that meets a dead server loses its time to connect."
        "`probe_ms` in section `backend`."
        "An engine that dies at 12:00:00 is probed at 12:00:01, 12:00:03 and 12:00:07.";
    DATA_CENTRE "failures in one data centre"
        "When two servers of a data centre fail within a second, its cheap servers are chosen only if no other is left, until one probe there succeeds."
        "Cheap servers of a data centre are reclaimed together."
        "None."
        "Two engines in `tln-a` fail 300 ms apart: its other cheap engines are passed over while engines elsewhere can take work.";
    LAST "longest ejected"
        "If all servers that could take a request are ejected, the one that was ejected first is tried."
        "It is the most likely to be back, and refusing without a try can't be better."
        "None."
        "A lone engine that restarts gets the next request even before its probe.";
    RETRY "retry"
        "A failed request goes to another server if it is idempotent, or if no byte was written or the server refused it unread. It must be within its deadline and within 4 attempts; from its second retry on also within the retry budget of the node. The first retry is free, because the request was accepted and an engine that is lost sends many of them at once."
        "A non-idempotent request must run at most once, and retries must not add to an overload."
        "`retry_percent` in section `admission`; `idempotent` methods of a route."
        "With 10 %, 500 answered requests allow 50 second retries; a quiet node has 3.";
    SUSPECT "suspects"
        "A request that was in flight when an engine was lost is a suspect and runs again on an engine without another suspect, beside ordinary requests. If that engine is lost as well, the request is quarantined for 10 minutes; an answer clears it. Nodes tell each other of suspects before one is sent."
        "One request that crashes engines would take down the fleet by its retries."
        "None."
        "An engine is lost with 6 requests in flight: 5 are answered on 5 other engines and cleared, and the sixth, which loses a second engine, is refused.";
}
