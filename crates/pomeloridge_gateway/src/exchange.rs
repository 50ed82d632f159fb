//! One sending of a request to one server, up to the head of the answer.

use std::io::ErrorKind;
use std::time::{Duration, Instant};

use derive_more::Display;
use pomeloridge_base::http::{Connection, Fault};
use pomeloridge_policy::dispatch::TargetKey;

use crate::accept::Accepted;
use crate::pool::Connected;
use crate::request::{Dispatch, Notice, ResponseHead, SendStage};
use crate::state::State;

/// Answers to earlier requests that are passed over on one connection.
const FOREIGN_ANSWERS: usize = 2;
/// Bytes of a foreign answer that is passed over.
const FOREIGN_BYTES: usize = 1024 * 1024;

/// Why a server gave no answer to a request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum Failure {
    /// Nothing was written.
    #[display("unreachable")]
    Unreachable,
    /// Nothing was written, as no process listens at the server's address.
    #[display("not_listening")]
    NotListening,
    /// Nothing was written, as the server takes no new requests.
    #[display("leaving")]
    Leaving,
    /// Nothing was written, as the server wants no request of this node for now.
    #[display("away")]
    Away,
    /// Nothing was written, as servers have ended under the request.
    #[display("barred")]
    Barred,
    /// The server refused it before any work.
    #[display("refused")]
    Refused,
    /// Another server has the address.
    #[display("misdirected")]
    Misdirected,
    /// It was written to a kept connection that the server had closed or closed then.
    #[display("stale")]
    Stale,
    /// It was written, and the connection broke.
    #[display("lost")]
    Lost,
    /// It was written, and what came is not its answer.
    #[display("broken")]
    Broken,
    /// It was written, and its time ran out.
    #[display("silent")]
    Silent,
    /// The server ran it and answered with a failure.
    #[display("server_error")]
    ServerError,
}

impl Failure {
    /// Whether the request certainly has not run and will not run there.
    pub(crate) fn not_run(self) -> bool {
        matches!(
            self,
            Self::Unreachable
                | Self::NotListening
                | Self::Leaving
                | Self::Away
                | Self::Barred
                | Self::Refused
                | Self::Misdirected
        )
    }

    /// Whether the request reached the server.
    pub(crate) fn arrived(self) -> bool {
        !matches!(
            self,
            Self::Unreachable | Self::NotListening | Self::Leaving | Self::Away | Self::Barred
        )
    }

    /// Whether the server's process may have ended under the request.
    pub(crate) fn may_be_end(self) -> bool {
        matches!(self, Self::Stale | Self::Lost | Self::Broken | Self::Silent)
    }

    /// The failure that a fault before the write stands for.
    pub(crate) fn before_write(fault: &Fault) -> Self {
        match fault {
            Fault::Connect(error) if error.kind() == ErrorKind::ConnectionRefused => {
                Self::NotListening
            }
            _ => Self::Unreachable,
        }
    }

    /// The failure that a fault after the write stands for.
    pub(crate) fn after_write(fault: &Fault) -> Self {
        match fault {
            Fault::Timeout => Self::Silent,
            Fault::Closed | Fault::Io(_) | Fault::Connect(_) => Self::Lost,
            Fault::Malformed(_) | Fault::HeadTooLarge | Fault::BodyTooLarge => Self::Broken,
        }
    }
}

/// An answer whose head has been read.
pub(crate) struct Exchange {
    pub(crate) connection: Connection,
    pub(crate) head: ResponseHead,
}

/// What one sending is for.
pub(crate) struct Sending {
    /// Server.
    pub(crate) server: TargetKey,
    /// What it is to do.
    pub(crate) stage: SendStage,
    /// Engine from which shared parts of the prompt are taken.
    pub(crate) fetch: Option<TargetKey>,
    /// Last event that the caller has had.
    pub(crate) last_event: Option<u64>,
    /// Time after which a server that sends nothing at all is given up.
    pub(crate) patience: Option<Duration>,
}

/// Sends a request to a server and reads the head of its answer.
pub(crate) async fn exchange(
    state: &State,
    accepted: &Accepted,
    sending: Sending,
) -> Result<Exchange, Failure> {
    let Sending {
        server,
        stage,
        fetch,
        last_event,
        patience,
    } = sending;
    let deadline = accepted.deadline;
    let (info, fetch) = {
        let dispatcher = state.dispatcher.borrow();
        let target = dispatcher.target(server).ok_or(Failure::Unreachable)?;
        let source = fetch.and_then(|key| dispatcher.target(key));
        (
            target.info.clone(),
            source.map(|source| source.info.address),
        )
    };
    may_write(state, accepted, server)?;
    // Reading a prompt twice does no harm; only a run must not be repeated.
    let unrepeatable = !accepted.route.kind.is_retryable() && stage != SendStage::Prefill;
    let connected = state
        .pool
        .connect(info.address, unrepeatable, deadline, state.now());
    let Connected {
        mut connection,
        was_kept,
    } = connected
        .await
        .map_err(|fault| Failure::before_write(&fault))?;
    // Connecting takes time, in which others may have learnt more.
    if let Err(failure) = may_write(state, accepted, server) {
        state.pool.put(connection, None, state.now());
        return Err(failure);
    }
    let dispatch = Dispatch {
        server: &info.id,
        account: accepted.account.as_ref(),
        time_left: accepted.left(state.now()),
        stage,
        fetch,
        last_event,
        priority: accepted.rank,
    };
    let message = (state.ports.server.encode)(&accepted.inbound, &dispatch);
    let sent = connection.send(&message, deadline).await;
    if let Err(fault) = sent {
        return Err(stale_if(was_kept, Failure::after_write(&fault)));
    }
    let head = monoio::select! {
        head = read_head(state, accepted, &mut connection, deadline) => head,
        () = until_silent(state, server, patience) => Err(Failure::Silent),
    };
    let head = head.map_err(|failure| stale_if(was_kept, failure))?;
    note_answer(state, server, &head);
    if head.misdirected {
        return Err(Failure::Misdirected);
    }
    keep_notice(state, accepted, server, head.notice);
    if head.not_run {
        let idle = head.idle;
        if connection.body(FOREIGN_BYTES, deadline).await.is_ok() {
            state.pool.put(connection, idle, state.now());
        }
        return Err(Failure::Refused);
    }
    Ok(Exchange { connection, head })
}

/// Whether a request may still be written to a server: every sending passes here.
fn may_write(state: &State, accepted: &Accepted, server: TargetKey) -> Result<(), Failure> {
    if state.quarantine_left(accepted).is_some() {
        return Err(Failure::Barred);
    }
    let dispatcher = state.dispatcher.borrow();
    let target = dispatcher.target(server).ok_or(Failure::Unreachable)?;
    if target.is_leaving() {
        return Err(Failure::Leaving);
    }
    if target.backoff(state.now()).is_some() {
        return Err(Failure::Away);
    }
    Ok(())
}

/// Keeps to what a server asks of this node.
fn keep_notice(state: &State, accepted: &Accepted, server: TargetKey, notice: Notice) {
    if notice == Notice::default() {
        return;
    }
    let back_in = notice.retry_after.unwrap_or_default();
    let mut dispatcher = state.dispatcher.borrow_mut();
    dispatcher.set_backoff(server, back_in, state.now());
    let news = notice.leaving && dispatcher.mark_leaving(server);
    drop(dispatcher);
    if !news && back_in.is_zero() {
        // A leaving server says so in each of its answers.
        return;
    }
    log::info!(
        "server id={} choice=keep_notice leaving={} back_in_ms={} by=\"request {}\"",
        state.server_name(server),
        notice.leaving,
        back_in.as_millis(),
        accepted.inbound.label()
    );
}

fn note_answer(state: &State, server: TargetKey, head: &ResponseHead) {
    let now = state.now();
    let mut dispatcher = state.dispatcher.borrow_mut();
    dispatcher.record_activity(server, now);
    if let Some(load) = head.reported(now) {
        dispatcher.record_load_report(server, load);
    }
}

/// Waits until a server has sent nothing to this node for all of `patience`.
pub(crate) async fn until_silent(state: &State, server: TargetKey, patience: Option<Duration>) {
    let Some(patience) = patience else {
        return std::future::pending().await;
    };
    loop {
        let since = state.now();
        monoio::time::sleep(patience).await;
        if state.dispatcher.borrow().is_silent_since(server, since) {
            return;
        }
    }
}

/// Reads the head of this request's answer, past late answers to earlier ones.
async fn read_head(
    state: &State,
    accepted: &Accepted,
    connection: &mut Connection,
    deadline: Instant,
) -> Result<ResponseHead, Failure> {
    for _ in 0..=FOREIGN_ANSWERS {
        let incoming = connection.head(deadline).await;
        let incoming = incoming.map_err(|fault| Failure::after_write(&fault))?;
        let head = (state.ports.server.head)(incoming);
        let own = head.id.as_ref().is_none_or(|id| *id == accepted.inbound.id);
        if own {
            return Ok(head);
        }
        log::info!(
            "request id={} choice=skip_answer reason=\"it belongs to request {:?}\"",
            accepted.inbound.label(),
            head.id
        );
        let skipped = connection.body(FOREIGN_BYTES, deadline).await;
        skipped.map_err(|fault| Failure::after_write(&fault))?;
    }
    Err(Failure::Broken)
}

/// A kept connection that ends without an answer may have been closed before the write.
fn stale_if(was_kept: bool, failure: Failure) -> Failure {
    match failure {
        Failure::Lost if was_kept => Failure::Stale,
        other => other,
    }
}
