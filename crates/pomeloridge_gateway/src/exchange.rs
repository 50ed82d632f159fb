//! Sends a request to one server and reads the head of the response.

use std::future::pending;
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use derive_more::Display;
use http::StatusCode;
use pomeloridge_base::http::{Connection, Fault, OutgoingRequest, RefusalMark};
use pomeloridge_policy::dispatch::{TargetInfo, TargetKey};
use pomeloridge_policy::slow_readers::{CutReason, PROGRESS_BYTES, Reader};

use crate::accept::Accepted;
use crate::part_quarantine;
use crate::pool::{Connected, ConnectionNeeds, PoolError};
use crate::request::{Dispatch, Notice, ResponseHead, SendStage};
use crate::server_limits;
use crate::silence::SilenceWatch;
use crate::slow_readers::{Transfer, cut_of, record_cut};
use crate::state::State;

/// Number of late responses to earlier requests that are skipped on one connection.
const MAX_SKIPPED_RESPONSES: usize = 2;
/// Longest body that is read to skip a response and reuse its connection.
const MAX_SKIPPED_BODY_BYTES: usize = 1024 * 1024;
/// Timeout for reading the body of a refusal, after which its connection is closed.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(100);

/// Why an attempt at one server failed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum Failure {
    /// The connection could not be opened; nothing was sent.
    #[display("unreachable")]
    Unreachable,
    /// No process listens at the server's address; nothing was sent.
    #[display("not_listening")]
    NotListening,
    /// The server is leaving and takes no new requests; nothing was sent.
    #[display("leaving")]
    Leaving,
    /// The server has asked this node to back off; nothing was sent.
    #[display("away")]
    BackingOff,
    /// The server's limit lets this node send nothing now, or all connections that this node may
    /// have to it are in use; nothing was sent.
    #[display("over_limit")]
    OverLimit,
    /// The request is quarantined, as it may have crashed servers; nothing was sent.
    #[display("barred")]
    Quarantined,
    /// The server refused the request without running it.
    #[display("refused")]
    Refused,
    /// Another server answers at the address.
    #[display("misdirected")]
    Misdirected,
    /// The request was sent on a reused connection that closed without a response.
    #[display("stale")]
    StaleConnection,
    /// The connection broke after the request was sent.
    #[display("lost")]
    ConnectionLost,
    /// The server sent something that is not a valid response to the request.
    #[display("broken")]
    InvalidResponse,
    /// The server was silent for too long, or the deadline passed, after the request was sent.
    #[display("silent")]
    TimedOut,
    /// The server answered with a server error.
    #[display("server_error")]
    ServerError,
}

impl Failure {
    /// Whether it is certain that the server has not run and will not run the request.
    pub(crate) fn not_run(self) -> bool {
        matches!(
            self,
            Self::Unreachable
                | Self::NotListening
                | Self::Leaving
                | Self::BackingOff
                | Self::OverLimit
                | Self::Quarantined
                | Self::Refused
                | Self::Misdirected
        )
    }

    /// Whether the request reached the server.
    pub(crate) fn reached_server(self) -> bool {
        !matches!(
            self,
            Self::Unreachable
                | Self::NotListening
                | Self::Leaving
                | Self::BackingOff
                | Self::OverLimit
                | Self::Quarantined
        )
    }

    /// Whether the server's process may have crashed while running the request.
    pub(crate) fn may_be_crash(self) -> bool {
        matches!(
            self,
            Self::StaleConnection | Self::ConnectionLost | Self::InvalidResponse | Self::TimedOut
        )
    }

    /// Classifies a fault that occurred before the request was sent.
    pub(crate) fn before_write(fault: &Fault) -> Self {
        match fault {
            Fault::Connect(error) if error.kind() == ErrorKind::ConnectionRefused => {
                Self::NotListening
            }
            _ => Self::Unreachable,
        }
    }

    /// Classifies a fault that occurred after the request may have been sent.
    pub(crate) fn after_write(fault: &Fault) -> Self {
        match fault {
            Fault::Timeout => Self::TimedOut,
            Fault::Closed | Fault::Io(_) | Fault::Connect(_) => Self::ConnectionLost,
            Fault::Malformed(_)
            | Fault::HeadTooLarge
            | Fault::BodyTooLarge
            | Fault::OutOfMemory => Self::InvalidResponse,
        }
    }
}

impl From<PoolError> for Failure {
    fn from(error: PoolError) -> Self {
        match error {
            PoolError::Full => Self::OverLimit,
            PoolError::Connection(fault) => Self::before_write(&fault),
        }
    }
}

/// A response whose head has been read.
pub(crate) struct Exchange {
    pub(crate) connection: Connection,
    pub(crate) head: ResponseHead,
    /// The server's entry when the request was sent.
    pub(crate) server: TargetInfo,
}

/// Parameters of one attempt at one server.
pub(crate) struct SendParams<'a> {
    /// Server that the request is sent to, and when it is given up.
    pub(crate) watch: SilenceWatch<'a>,
    /// Part of the request that the server is to run.
    pub(crate) stage: SendStage,
    /// Engine from which the KV cache of shared prompt parts is fetched.
    pub(crate) fetch: Option<TargetKey>,
    /// Last event that the caller has received.
    pub(crate) last_event: Option<u64>,
}

/// Sends a request to a server and reads the head of its response.
pub(crate) async fn exchange(
    state: &Rc<State>,
    accepted: &Accepted,
    params: SendParams<'_>,
) -> Result<Exchange, Failure> {
    let SendParams {
        watch,
        stage,
        fetch,
        last_event,
    } = params;
    let server = watch.server;
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
    check_sendable(state, accepted, server)?;
    // A prefill may safely be repeated, even if the route does not allow the run to be.
    let needs = ConnectionNeeds {
        is_fresh: !accepted.route.kind.is_retryable() && stage != SendStage::Prefill,
        max_open: state.max_connections(&info.service),
    };
    let connected = state
        .pool
        .connect(info.address, needs, deadline, state.now());
    let Connected {
        mut connection,
        is_reused,
    } = connected.await.map_err(Failure::from)?;
    // The server's state or the quarantine may have changed while connecting.
    if let Err(failure) = begin_send(state, accepted, server) {
        state.pool.put(connection, None, state.now());
        return Err(failure);
    }
    let sent_at = state.now();
    let dispatch = Dispatch {
        server: &info.id,
        account: accepted.account.as_ref(),
        time_left: accepted.time_left(state.now()),
        stage,
        fetch,
        last_event,
        priority: accepted.priority,
    };
    let message = (state.ports.server.encode)(&accepted.inbound, &dispatch);
    send(state, accepted, &mut connection, &message, is_reused).await?;
    let head = monoio::select! {
        head = read_head(state, accepted, &mut connection, is_reused) => head,
        () = watch.given_up(state) => Err(Failure::TimedOut),
    };
    let head = head.map_err(|failure| stale_if_reused(is_reused, failure))?;
    record_response(state, server, &head);
    if head.misdirected {
        return Err(Failure::Misdirected);
    }
    server_limits::record_response(state, server, &head, sent_at, accepted.inbound.label());
    apply_notice(state, accepted, server, head.notice);
    if head.not_run {
        let idle = head.idle;
        connection.record_refusal(match head.id {
            Some(_) => RefusalMark::Named,
            None => RefusalMark::Unnamed,
        });
        // The head says all that decides where the request goes on.
        let deadline = deadline.min(state.now() + REFUSAL_BODY_TIMEOUT);
        match connection.read_body(MAX_SKIPPED_BODY_BYTES, deadline).await {
            Ok(_) => state.pool.put(connection, idle, state.now()),
            Err(fault) => log::info!(
                "request id={} server={} choice=drop_connection reason=\"{fault}\"",
                accepted.inbound.label(),
                info.id
            ),
        }
        return Err(Failure::Refused);
    }
    if guarantees_not_run(head.status) {
        return Err(Failure::ServerError);
    }
    Ok(Exchange {
        connection,
        head,
        server: info,
    })
}

/// Sends a request, unless the server reads its body too slowly.
async fn send(
    state: &Rc<State>,
    accepted: &Accepted,
    connection: &mut Connection,
    message: &OutgoingRequest,
    is_reused: bool,
) -> Result<(), Failure> {
    let is_long = message.body.len() > PROGRESS_BYTES;
    let transfer = is_long.then(|| Transfer::begin(state, accepted, Reader::Server));
    let Some(transfer) = transfer.flatten() else {
        let written = connection.send(message, accepted.deadline).await;
        let failure = written.map_err(|fault| Failure::after_write(&fault));
        return failure.map_err(|failure| stale_if_reused(is_reused, failure));
    };
    // The body and its copy behind the head.
    transfer.hold(2 * message.body.len());
    let cut = monoio::select! {
        written = connection.send_watched(message, accepted.deadline, transfer.taken()) => {
            let failure = written.map_err(|fault| Failure::after_write(&fault));
            return failure.map_err(|failure| stale_if_reused(is_reused, failure));
        }
        cut = cut_of(Some(&transfer)) => cut,
    };
    record_cut(state, accepted, &cut);
    // A further attempt would hold as much again, so that the request ends.
    if let (CutReason::Memory, Some(request)) = (cut.reason, &accepted.transfer) {
        request.cut_with(&cut);
        return pending().await;
    }
    Err(Failure::TimedOut)
}

/// Reads the body of a response, of at most `limit` bytes, unless the server falls silent and is
/// given up.
pub(crate) async fn read_body(
    state: &State,
    connection: &mut Connection,
    limit: usize,
    watch: SilenceWatch<'_>,
) -> Result<Bytes, Failure> {
    let deadline = watch.attempts.accepted().deadline;
    let mut body = BytesMut::new();
    loop {
        let chunk = monoio::select! {
            chunk = connection.read_chunk(deadline) => chunk,
            () = watch.given_up(state) => Err(Fault::Timeout),
        };
        let chunk = chunk.map_err(|fault| Failure::after_write(&fault))?;
        let Some(chunk) = chunk else {
            let kept = connection.keep(0);
            kept.map_err(|fault| Failure::after_write(&fault))?;
            return Ok(body.freeze());
        };
        let mut dispatcher = state.dispatcher.borrow_mut();
        dispatcher.record_activity(watch.server, state.now());
        drop(dispatcher);
        body.extend_from_slice(&chunk);
        if body.len() > limit {
            return Err(Failure::after_write(&Fault::BodyTooLarge));
        }
        let kept = connection.keep(body.len());
        kept.map_err(|fault| Failure::after_write(&fault))?;
    }
}

/// Checks whether a request may still be sent to a server. Every attempt passes through here.
fn check_sendable(state: &State, accepted: &Accepted, server: TargetKey) -> Result<(), Failure> {
    if state.quarantine_left(accepted).is_some() {
        return Err(Failure::Quarantined);
    }
    let dispatcher = state.dispatcher.borrow();
    let target = dispatcher.target(server).ok_or(Failure::Unreachable)?;
    if target.is_leaving() {
        return Err(Failure::Leaving);
    }
    if target.backoff(state.now()).is_some() {
        return Err(Failure::BackingOff);
    }
    if !target.is_within_limit(state.now()) {
        return Err(Failure::OverLimit);
    }
    Ok(())
}

/// Checks whether a request may be sent to a server, and counts it against the server's limit.
fn begin_send(state: &Rc<State>, accepted: &Accepted, server: TargetKey) -> Result<(), Failure> {
    check_sendable(state, accepted, server)?;
    let is_allowed = state.dispatcher.borrow_mut().try_send(server, state.now());
    if is_allowed {
        part_quarantine::record_send(state, accepted, server);
    }
    is_allowed.then_some(()).ok_or(Failure::OverLimit)
}

/// Applies the backoff or the departure that a server announced in a response.
fn apply_notice(state: &State, accepted: &Accepted, server: TargetKey, notice: Notice) {
    let retry_after = notice.retry_after.unwrap_or_default();
    if !notice.leaving && retry_after.is_zero() {
        return;
    }
    let mut dispatcher = state.dispatcher.borrow_mut();
    dispatcher.set_backoff(server, retry_after, state.now());
    let newly_leaving = notice.leaving && dispatcher.mark_leaving(server);
    drop(dispatcher);
    if !newly_leaving && retry_after.is_zero() {
        // A leaving server repeats this in every response; log it only once.
        return;
    }
    log::info!(
        "server id={} choice=keep_notice leaving={} back_in_ms={} by=\"request {}\"",
        state.server_name(server),
        notice.leaving,
        retry_after.as_millis(),
        accepted.inbound.label()
    );
}

fn record_response(state: &State, server: TargetKey, head: &ResponseHead) {
    let now = state.now();
    let mut dispatcher = state.dispatcher.borrow_mut();
    dispatcher.record_activity(server, now);
    if let Some(load) = head.reported(now) {
        dispatcher.record_load_report(server, load);
    }
}

/// Reads the head of the response to this request, skipping late responses to earlier ones.
async fn read_head(
    state: &State,
    accepted: &Accepted,
    connection: &mut Connection,
    is_reused: bool,
) -> Result<ResponseHead, Failure> {
    let deadline = accepted.deadline;
    for _ in 0..=MAX_SKIPPED_RESPONSES {
        let incoming = connection.read_head(deadline).await;
        let incoming = incoming.map_err(|fault| Failure::after_write(&fault))?;
        let head = (state.ports.server.head)(incoming);
        if is_own(accepted, connection, &head, is_reused) {
            return Ok(head);
        }
        log::info!(
            "request id={} choice=skip_answer status={} reason=\"response to request {:?}\"",
            accepted.inbound.label(),
            head.status.as_u16(),
            head.id
        );
        connection.mark_faulty();
        let skipped = connection.read_body(MAX_SKIPPED_BODY_BYTES, deadline).await;
        skipped.map_err(|fault| Failure::after_write(&fault))?;
    }
    Err(Failure::InvalidResponse)
}

/// Returns whether a response belongs to this request rather than to an earlier one on the
/// connection.
fn is_own(
    accepted: &Accepted,
    connection: &Connection,
    head: &ResponseHead,
    is_reused: bool,
) -> bool {
    match &head.id {
        Some(id) => *id == accepted.inbound.id,
        // The server names the request in its refusals, so this is a copy of an earlier one.
        None if head.not_run => connection.last_refusal() != Some(RefusalMark::Named),
        // Servers name the request in what they seal.
        None => !(is_reused && head.sealed),
    }
}

/// Returns whether callers take a status for the guarantee that their request has not run. A
/// server gives that guarantee by other means, so its response can't be passed on.
fn guarantees_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Classifies a lost connection as stale if it was reused, as the server may have closed it
/// before the request was sent.
fn stale_if_reused(is_reused: bool, failure: Failure) -> Failure {
    match failure {
        Failure::ConnectionLost if is_reused => Failure::StaleConnection,
        other => other,
    }
}
