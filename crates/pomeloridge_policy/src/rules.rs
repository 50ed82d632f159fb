//! Descriptions of the routing and admission rules for the generated reference.

pub use pomeloridge_base::rule::Rule;

pomeloridge_base::rules! {
    LIMIT "in-flight limit"
        "A node runs as many requests of a pool as the pool's usable servers have slots, minus the requests that its peers have in flight. An engine whose prefill backlog takes more than 0.4 of the target time to the first token has no free slot. Requests start one at a time, each once the previous one is counted on its server. A refusal by a server lowers the node's share to 85 %, at most once in 100 ms; a success raises it by 0.5 % of the slots."
        "Requests should wait on the node, where they can be ordered fairly and refused early, not on the servers."
        "The servers report their slots, and the heartbeat counts the nodes. A node may always use an equal share of the slots unless refusals lower it."
        "With three servers of 8 slots and 10 requests of peers in flight, the node may run 14 requests.";
    FAIR "fair queue"
        "Of the client accounts with waiting requests, the one with the lowest counter is served next. A request adds its prompt and output tokens, multiplied by their charges and divided by the weights of its account and route. Service by peers is added. An account that returns starts at the counter of the account served last."
        "Each account gets its share of the fleet, however many requests it sends, and idle time earns no credit."
        "`weight` of a client account and `weight` of a route in the configuration."
        "Of two accounts with equal weights, one sends 1 request and the other 50: the single request starts second at the latest.";
    ACCOUNT_ALLOTMENT "allotment of a client account"
        "A gateway runs a request of a client account that has an allotment only with credit for it: one request, or its prompt and output tokens. Up to 8 nodes, chosen by rendezvous hashing over all known nodes, hold equal parts of the allotment; each gains its part of the rate and grants no more than it has. Every run counts: retries and resumptions take credit again. Credit lapses 500 ms after it was asked for. A request waits for credit at most 250 ms and half of its route's latency target, and only if what is known of the holders says that it suffices; otherwise it is refused at once as not run."
        "An allotment holds for all nodes together, also while some are cut off, so nobody may run a request of it on a guess."
        "`unit`, `ratePerS`, `burst` and `plainTokens` of a client account in the configuration; `slack` and `window_s` in section `quota`."
        "An account has 80000 tokens a second and 8 holders: each gains 10000 a second, and a request of 2000 tokens takes 2000 from one of them.";
    EARLY_REFUSAL "refusal at once"
        "A request that would wait past its deadline, or that finds the queue full, is refused on arrival. A waiting request is refused as soon as its deadline can't be met."
        "A caller that is refused at once can go elsewhere; one that is kept waiting also loses that time."
        "`queue` and `account_queue` in section `admission`; `wait_ms` of a model; `first_byte_ms` and `deadline_ms` of a route."
        "With 40 requests ahead, 8 in flight and 2 s each, a request due in 5 s is refused and told when to retry.";
    CANDIDATES "candidates"
        "A server is a candidate if it serves the pool and is ready. It is not a candidate if it is leaving, drained by an exception, ejected, or already tried for this request; for a suspect, also if another suspect runs there."
        "New work on a leaving or unreachable server would be interrupted or delayed."
        "Exceptions of kind `drain`."
        "An engine that reports `leaving` gets no new requests, starting with the next decision.";
    SERVER_LIMIT "limit of a server"
        "A gateway sends a server that names a request rate as its limit (`Server-Limit`) only its part of it. In each turn of 10 s, as many nodes as the limit has requests a second, at least one, are the server's senders; rendezvous hashing over all known nodes, silent ones included, chooses them. Each paces an equal part, and the others send nothing; nor does a node in the first 5 s after its start. Every call counts: runs, prefills, retries and releases of KV caches; orders to change the stage are not sent to a server whose limit lets only some nodes send. What a limit does not let through goes to another server, or is refused at once as not run. A limit ends with the first success without one to a request that was sent after the limit was last stated; a malformed limit changes nothing."
        "A limit holds for all nodes together, and a node that has to ask the others before it sends would be slow, or unsafe while it is cut off. With a part for each of hundreds of nodes, the first requests of all would be more than the limit."
        "None. A limit below 0.5 requests a second, and one of 0, counts as 0.5, so that the fleet learns of its end."
        "Of 300 nodes, 3 send to a server with a limit of 3, one request a second each; 10 s later, 3 others do.";
    SERVER_CONNECTIONS "connections to a server"
        "A gateway has at most an equal part of the connections that a server takes from all nodes, and at least one. At that number an idle connection is closed for a new one; if all are in use, the request goes to another server or is refused at once as not run."
        "A server resets connections over its maximum, and with them requests that may have run."
        "`maxConnections` of a service. Silent nodes count, as they may be cut off and hold connections."
        "A server takes 96 connections from 6 nodes: each may have 16, whatever its callers send.";
    RANDOM_DRAW "two random servers"
        "Two candidates are drawn at random and scored; the lower score wins."
        "Otherwise, nodes with load data of different age would all choose the server that looks best."
        "The routing policy; `round_robin` and `least_reported` exist for comparison."
        "Of 12 engines, engines 3 and 9 are drawn and score 0.41 s and 0.18 s: engine 9 is chosen.";
    AFFINITY "affinity"
        "A third candidate is chosen for the request's session or, without one, for the first block of its prompt, by rendezvous hashing over the servers whose load is at most a quarter over the mean."
        "Requests of a session find their prefix cached, and a popular prompt can't overload its server."
        "The caller names its session in a header."
        "Session `s-17` ranks engine 4 first. Engine 4 has 9 requests in flight and the mean is 5, so the next engine in rank is chosen.";
    WAIT "estimated wait"
        "The score is the prefill time of the waiting prompt tokens and the request's own, plus the slowdown of its output by the requests in flight, plus the wait for a slot. The rates are learned from each server's answers."
        "Prompt-heavy and output-heavy requests load a server differently, which a count of requests doesn't show."
        "`prefill_rate` and `decode_rate` of a model are the initial rates."
        "8000 waiting prompt tokens at 4000 tokens per second score 2 s.";
    LATE_REPORTS "late reports"
        "The node's own requests sent since the timestamp of a load report are added to it, and those that ended since are subtracted. If the node and its peers have more requests in flight than that, their total is used instead."
        "Otherwise, a report that is a second old would attract all requests of that second to one server."
        "`load_ms` in section `backend`; `heartbeat_ms` in section `node_link`."
        "A report from 800 ms ago of 2 running requests and 3 requests sent since then count as 5.";
    PREFIX "prefix benefit"
        "The score is lowered by the prefill time of the prompt tokens that the server is expected to have cached."
        "A cached prefix need not be processed again."
        "None. Hints come from the node's own requests and from cache events; a lost event costs only the benefit."
        "A prompt of 10 blocks of 64 tokens, 8 of them cached, saves 0.128 s at 4000 tokens per second.";
    DISTANCE "distance"
        "The score of a server in another data centre is raised by 1 ms."
        "Of equal servers, one in the same data centre answers sooner. The penalty is small, so that a busy server is not preferred for its location."
        "`data_centre` in section `node`."
        "Two idle engines, one of them in the node's data centre: that one is chosen.";
    EJECT "ejection"
        "A server that can't be connected to is no longer a candidate. It is probed after 1 s, then after intervals that double up to 30 s, and becomes a candidate again with the first success."
        "The platform's list lags by seconds, and each request sent to a failed server loses the time to connect."
        "`probe_ms` in section `backend`."
        "An engine that fails at 12:00:00 is probed at 12:00:01, 12:00:03 and 12:00:07.";
    DATA_CENTRE "failures in one data centre"
        "When two servers of a data centre fail within a second, its preemptible servers (`cheap` in the platform's list) are chosen only if there is no other candidate, until a probe there succeeds."
        "The preemptible servers of a data centre are reclaimed together."
        "None."
        "Two engines in `tln-a` fail 300 ms apart: its other preemptible engines are skipped while engines elsewhere can accept work.";
    LONGEST_EJECTED "longest ejected"
        "If all servers that could accept a request are ejected, the one that was ejected first is tried."
        "That server is the most likely to have recovered, and refusing the request without an attempt would be no better."
        "None."
        "The only engine of a pool restarts: it gets the next request even before its probe.";
    RETRY "retry"
        "A failed request is retried on another server if it is idempotent, if no byte was written, or if the server refused it without processing it. It must be within its deadline and within 4 attempts and, from its second retry on, within the retry budget of the node. The first retry does not count against the budget, because the request was accepted and the loss of an engine causes many retries at once."
        "A non-idempotent request must run at most once, and retries must not amplify an overload."
        "`retry_percent` in section `admission`; `idempotent` methods of a route."
        "With 10 %, 500 answered requests allow 50 second retries; an idle node has 3.";
    SUSPECT "suspects"
        "A request that was in flight when an engine was lost is a suspect. It runs again, alongside ordinary requests, on an engine without another suspect. If that engine is lost as well, the request is quarantined for 10 minutes; an answer clears it. A node announces a suspect to its peers before it is sent."
        "Otherwise, the retries of one request that crashes engines would take down the fleet."
        "None."
        "An engine is lost with 6 requests in flight: 5 are answered on 5 other engines and cleared, and the sixth, which loses a second engine, is refused.";
    RESTORED_STORE "object service back from an older copy"
        "A service that is restored from an older copy names a higher era in its answers, and gives out revisions again. A gateway compares by era first, reads the configuration and the server list again, and keeps the highest version of the configuration that it has seen. For 2.3 s it keeps servers whose entries are missing, and withholds entries that would bring back a server that has left or restarted since; after that the list stands. A lease of an earlier era counts for nothing: its last holder takes it again at once while it has authority, others a term and the margin after they first see the era, with a higher number. A usage window that another holder may have sealed in the lost part is reported only with a seal of the present era. Each gateway writes its own object again if the copy lacks it."
        "What the service has lost was acknowledged, and others have acted on it."
        "`term_ms` and `margin_ms` in section `lease`."
        "The service is back from a copy 5 s old: a server that began to leave 3 s ago gets no requests, although its entry is ready again.";
}
