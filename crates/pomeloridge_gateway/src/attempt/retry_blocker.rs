//! Reasons not to retry a request.

use derive_more::Display;

/// Why a failed request is not retried.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum RetryBlocker {
    /// It may have run, and the route does not allow it to run twice.
    #[display("kind")]
    Kind,
    /// The route's attempts are used up.
    #[display("attempts")]
    Attempts,
    /// It is running at another server, too.
    #[display("hedge")]
    Hedge,
    /// Too many servers have refused it.
    #[display("refusals")]
    Refusals,
    /// This node's part of the service's retry budget is spent.
    #[display("budget")]
    Budget,
    /// Its client account's allotment has no room for one more run.
    #[display("allotment")]
    Allotment,
    /// It is quarantined, and so is sent to no other server.
    #[display("quarantine")]
    Quarantine,
    /// No other server takes it.
    #[display("servers")]
    Servers,
    /// Its deadline has passed.
    #[display("deadline")]
    Deadline,
}
