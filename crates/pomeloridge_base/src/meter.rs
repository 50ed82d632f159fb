//! Metrics of a node; the binary passes them to the metrics library.

use std::rc::Rc;
use std::time::Duration;

macro_rules! metrics {
    ($(#[doc = $doc:literal])* $kind:ident { $($variant:ident: $name:literal, $description:literal;)* }) => {
        $(#[doc = $doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum $kind {
            $(#[doc = $description] $variant,)*
        }

        impl $kind {
            /// All variants, in the order of the list.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Returns the name under which the metric is exported.
            pub fn name(self) -> &'static str {
                match self { $(Self::$variant => $name,)* }
            }

            /// Returns the help text of the metric.
            pub fn description(self) -> &'static str {
                match self { $(Self::$variant => $description,)* }
            }
        }
    };
}

metrics! {
    /// Counter metrics.
    Counter {
        Requests: "pomeloridge_requests", "Requests that reached this node.";
        Answered: "pomeloridge_answered", "Requests answered whole.";
        Refused: "pomeloridge_refused", "Requests refused as not run.";
        Failed: "pomeloridge_failed", "Requests that ended in an error after they were sent.";
        Cancelled: "pomeloridge_cancelled", "Requests whose caller went away.";
        Retries: "pomeloridge_retries", "Attempts after the first one.";
        ServerCrashes: "pomeloridge_server_ends", "Backend servers whose process ended while requests of this node were there.";
        Quarantined: "pomeloridge_quarantined", "Requests refused since servers had ended under them.";
        RetriesDenied: "pomeloridge_repeats_denied", "Repeats that this node's part of the fleet's budget had no room for.";
        Hedges: "pomeloridge_hedges", "Second attempts begun while the first one was slow.";
        HedgesWon: "pomeloridge_hedges_won", "Second attempts whose answer was delivered.";
        HedgesDenied: "pomeloridge_hedges_denied", "Slow requests that got no second attempt.";
        Moves: "pomeloridge_moves", "Runs that began to move to another engine while they went on.";
        Moved: "pomeloridge_moved", "Runs that another engine continued after a move.";
        Resumed: "pomeloridge_resumed", "Generations continued on another engine.";
        UnknownVersions: "pomeloridge_unknown_versions", "Streams not continued since the software version that began them was not known.";
        StreamCopies: "pomeloridge_stream_copies", "Messages that told other nodes of the software version of a stream as it began.";
        StreamCopyAsks: "pomeloridge_stream_copy_asks", "Messages that asked other nodes for the software version of a stream.";
        OutputTokens: "pomeloridge_output_tokens", "Output tokens sent to callers.";
        Ejections: "pomeloridge_ejections", "Backend servers taken out of routing after a failure.";
        RoleChanges: "pomeloridge_role_changes", "Role changes ordered.";
        ServerOrders: "pomeloridge_server_orders", "Orders for backend servers given to the platform.";
        Panics: "pomeloridge_panics", "Tasks that ended by a panic.";
        AllotmentRefused: "pomeloridge_allotment_refused", "Requests refused since their client account's allotment was used up.";
        AllotmentUnknown: "pomeloridge_allotment_unknown", "Requests refused since no holder of their client account's allotment answered.";
        AllotmentAsks: "pomeloridge_allotment_asks", "Messages that asked other nodes for a client account's credit.";
        AllotmentSilent: "pomeloridge_allotment_silent", "Such messages that were not answered in time.";
        PromptsTold: "pomeloridge_prompts_told", "Messages that told other nodes of long prompts as they were sent.";
        PromptsHeard: "pomeloridge_prompts_heard", "Such messages that this node received.";
        SlowUnread: "pomeloridge_slow_readers_unread", "Transfers cut since their caller or server took too little of them for too long.";
        SlowMemory: "pomeloridge_slow_readers_memory", "Transfers to slow readers cut since messages held too many bytes.";
        UnreplicatedUsage: "pomeloridge_usage_unreplicated", "Usage lines that no peer acknowledged in time.";
    }
}

metrics! {
    /// Histograms of durations.
    Timer {
        FirstToken: "pomeloridge_first_token_seconds", "Time from a request's arrival to its first token.";
        TokenGap: "pomeloridge_token_gap_seconds", "Time between two tokens of a stream.";
        Request: "pomeloridge_request_seconds", "Time from a request's arrival to the end of its answer.";
        AdmissionWait: "pomeloridge_admission_wait_seconds", "Time a request waited for its turn.";
        AllotmentWait: "pomeloridge_allotment_wait_seconds", "Time a request waited for credit of its client account's allotment, if it was asked for.";
        StoreCall: "pomeloridge_store_call_seconds", "Time of a gateway's call to the object service, watches aside.";
        DutyCall: "pomeloridge_duty_call_seconds", "Time of a gateway's call that orders servers or stages, or reports usage.";
    }
}

metrics! {
    /// Values at a moment.
    Gauge {
        HeldBytes: "pomeloridge_held_bytes", "Bytes that messages hold which are being read or written; 0 while slow readers are not cut.";
    }
}

type RecordLevel = dyn Fn(Gauge, u64);
type RecordCount = dyn Fn(Counter, u64);
type RecordTime = dyn Fn(Timer, Duration);

/// Records counters and durations.
#[derive(Clone)]
pub struct Meter {
    count: Rc<RecordCount>,
    time: Rc<RecordTime>,
    level: Rc<RecordLevel>,
}

impl Meter {
    /// Creates a meter that passes all values to two closures.
    pub fn new(
        count: impl Fn(Counter, u64) + 'static,
        time: impl Fn(Timer, Duration) + 'static,
    ) -> Self {
        Self {
            count: Rc::new(count),
            time: Rc::new(time),
            level: Rc::new(|_, _| {}),
        }
    }

    /// Passes the values of gauges to a closure; without it they are discarded.
    #[must_use]
    pub fn with_gauges(self, level: impl Fn(Gauge, u64) + 'static) -> Self {
        Self {
            level: Rc::new(level),
            ..self
        }
    }

    /// Creates a meter that discards all values.
    pub fn noop() -> Self {
        Self::new(|_, _| {}, |_, _| {})
    }

    /// Increments a counter.
    pub fn increment(&self, counter: Counter) {
        (self.count)(counter, 1);
    }

    /// Adds to a counter.
    pub fn add(&self, counter: Counter, amount: u64) {
        (self.count)(counter, amount);
    }

    /// Sets a gauge.
    pub fn set(&self, gauge: Gauge, value: u64) {
        (self.level)(gauge, value);
    }

    /// Records a duration.
    pub fn record(&self, timer: Timer, time: Duration) {
        (self.time)(timer, time);
    }
}
