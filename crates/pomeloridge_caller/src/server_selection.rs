//! Selects the backend server of an attempt, and logs the decision.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use pomeloridge_base::error::ErrorKind;
use pomeloridge_base::id::Name;
use pomeloridge_policy::candidate::RouteRequest;
use pomeloridge_policy::prefix::BlockHash;
use pomeloridge_policy::server::{ServerKey, Work};

use crate::frontend::Frontend;

/// Interval between attempts to reserve a server for a suspect.
const ISOLATION_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// What an attempt requires of a server.
pub(crate) struct SelectionRequest<'a> {
    pub(crate) pool: &'a Name,
    pub(crate) session: Option<&'a str>,
    pub(crate) blocks: &'a [BlockHash],
    pub(crate) work: Work,
    /// Servers of earlier attempts, which are avoided.
    pub(crate) tried: &'a [ServerKey],
    pub(crate) suspect: bool,
    /// Whether `tried` servers may be selected when no other is left.
    pub(crate) allow_tried: bool,
}

/// The server of an attempt.
#[derive(Clone, Copy)]
pub(crate) struct SelectedServer {
    pub(crate) server: ServerKey,
    pub(crate) address: SocketAddr,
    /// Prompt tokens estimated to be in its KV cache.
    pub(crate) cached: u64,
}

/// Selects a server for an attempt.
pub(crate) fn select_server(
    frontend: &Frontend,
    id: &str,
    request: &SelectionRequest<'_>,
) -> Result<SelectedServer, ErrorKind> {
    let policy = &frontend.policy;
    let servers = policy.servers.borrow();
    let route = |excluded: &[ServerKey]| {
        let request = RouteRequest {
            pool: request.pool.clone(),
            session: request.session.map(str::as_bytes),
            blocks: request.blocks,
            work: request.work,
            excluded,
            suspect: request.suspect,
        };
        policy.router.borrow_mut().route(
            &servers,
            &policy.hints.borrow(),
            &request,
            &mut *policy.rng.borrow_mut(),
            frontend.clock.now(),
        )
    };
    // A suspect first avoids the data centre where its server was lost. If the whole
    // data centre fails, the request must not be blamed for losing two servers.
    let neighbours = request
        .suspect
        .then(|| servers.in_data_centres_of(request.tried));
    let mut decision = match neighbours {
        Some(neighbours) => route(&neighbours).or_else(|_| route(request.tried)),
        None => route(request.tried),
    };
    // Retries a server that failed rather than refuse the request.
    if decision.is_err() && request.allow_tried {
        decision = route(&[]);
    }
    let decision = decision?;
    frontend.record_decision(id, format!("route pool={} {decision}", request.pool));
    let server = servers.server(decision.chosen).ok_or(ErrorKind::NoServer)?;
    Ok(SelectedServer {
        server: decision.chosen,
        address: server.info.address,
        cached: decision.cached,
    })
}

/// Selects a server for a suspect on which no other suspect of the fleet runs.
///
/// The reservation is shared with the peers before the request is sent; if two nodes
/// have reserved the same server, one yields.
pub(crate) async fn select_isolated(
    frontend: &Frontend,
    id: &str,
    request: &SelectionRequest<'_>,
    deadline: Instant,
) -> Result<SelectedServer, ErrorKind> {
    loop {
        if let Ok(chosen) = select_server(frontend, id, request) {
            let server = chosen.server;
            let now = frontend.clock.now();
            if frontend
                .policy
                .servers
                .borrow_mut()
                .reserve_for_suspect(server, now)
            {
                let reservation = SuspectReservation { frontend, server };
                (frontend.share_suspicions)().await;
                if !reservation.must_yield() {
                    // Released by the in-flight guard from here on.
                    std::mem::forget(reservation);
                    return Ok(chosen);
                }
            }
        }
        if frontend.clock.now() >= deadline {
            return Err(ErrorKind::Overloaded);
        }
        monoio::time::sleep(ISOLATION_RETRY_INTERVAL).await;
    }
}

/// Releases a server reserved for a suspect unless the request is sent there.
struct SuspectReservation<'a> {
    frontend: &'a Frontend,
    server: ServerKey,
}

impl SuspectReservation<'_> {
    fn must_yield(&self) -> bool {
        let now = self.frontend.clock.now();
        let servers = self.frontend.policy.servers.borrow();
        servers.must_yield(self.server, &self.frontend.node, now)
    }
}

impl Drop for SuspectReservation<'_> {
    fn drop(&mut self) {
        self.frontend
            .policy
            .servers
            .borrow_mut()
            .release_from_suspect(self.server);
    }
}
