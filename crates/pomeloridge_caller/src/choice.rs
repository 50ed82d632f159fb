//! Chooses a backend server for an attempt, and logs the choice.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use pomeloridge_base::error::ErrorKind;
use pomeloridge_base::id::Name;
use pomeloridge_policy::candidate::RouteRequest;
use pomeloridge_policy::prefix::BlockHash;
use pomeloridge_policy::server::{ServerKey, Work};

use crate::frontend::Frontend;

/// Pause between two looks for a server without another suspect.
const APART_PAUSE: Duration = Duration::from_millis(50);

/// What an attempt needs.
pub(crate) struct Wanted<'a> {
    pub(crate) pool: &'a Name,
    pub(crate) session: Option<&'a str>,
    pub(crate) blocks: &'a [BlockHash],
    pub(crate) work: Work,
    pub(crate) tried: &'a [ServerKey],
    pub(crate) suspect: bool,
    /// Whether a server that was tried may be tried again when no other is left.
    pub(crate) again: bool,
}

/// The server that was chosen.
#[derive(Clone, Copy)]
pub(crate) struct Chosen {
    pub(crate) server: ServerKey,
    pub(crate) address: SocketAddr,
    /// Prompt tokens that it is thought to hold.
    pub(crate) cached: u64,
}

/// Chooses a server.
pub(crate) fn choose(
    frontend: &Frontend,
    id: &str,
    wanted: &Wanted<'_>,
) -> Result<Chosen, ErrorKind> {
    let policy = &frontend.policy;
    let servers = policy.servers.borrow();
    let route = |excluded: &[ServerKey]| {
        let request = RouteRequest {
            pool: wanted.pool.clone(),
            session: wanted.session.map(str::as_bytes),
            blocks: wanted.blocks,
            work: wanted.work,
            excluded,
            suspect: wanted.suspect,
        };
        policy.router.borrow_mut().route(
            &servers,
            &policy.hints.borrow(),
            &request,
            &mut *policy.rng.borrow_mut(),
            frontend.clock.now(),
        )
    };
    // A suspect first leaves the data centre of its loss: when that is lost as a
    // whole, the request must not seem to have lost two servers by itself.
    let apart = wanted
        .suspect
        .then(|| servers.in_data_centres_of(wanted.tried));
    let mut decision = match apart {
        Some(neighbours) => route(&neighbours).or_else(|_| route(wanted.tried)),
        None => route(wanted.tried),
    };
    // A server that failed is better than none.
    if decision.is_err() && wanted.again {
        decision = route(&[]);
    }
    let decision = decision?;
    frontend.note(id, format!("route pool={} {decision}", wanted.pool));
    let server = servers.server(decision.chosen).ok_or(ErrorKind::NoServer)?;
    Ok(Chosen {
        server: decision.chosen,
        address: server.info.address,
        cached: decision.cached,
    })
}

/// Chooses a server for a suspect, on which no other suspect of the fleet runs.
///
/// The mark is told to the peers before the request is sent; of two nodes that
/// have marked one server, one yields.
pub(crate) async fn choose_apart(
    frontend: &Frontend,
    id: &str,
    wanted: &Wanted<'_>,
    deadline: Instant,
) -> Result<Chosen, ErrorKind> {
    loop {
        if let Ok(chosen) = choose(frontend, id, wanted) {
            let server = chosen.server;
            let now = frontend.clock.now();
            if frontend
                .policy
                .servers
                .borrow_mut()
                .reserve_for_suspect(server, now)
            {
                let mark = Mark { frontend, server };
                (frontend.share_suspicions)().await;
                if !mark.must_yield() {
                    std::mem::forget(mark);
                    return Ok(chosen);
                }
            }
        }
        if frontend.clock.now() >= deadline {
            return Err(ErrorKind::Overloaded);
        }
        monoio::time::sleep(APART_PAUSE).await;
    }
}

/// Takes the mark of a server back unless the request is sent there.
struct Mark<'a> {
    frontend: &'a Frontend,
    server: ServerKey,
}

impl Mark<'_> {
    fn must_yield(&self) -> bool {
        let now = self.frontend.clock.now();
        let servers = self.frontend.policy.servers.borrow();
        servers.must_yield(self.server, &self.frontend.node, now)
    }
}

impl Drop for Mark<'_> {
    fn drop(&mut self) {
        self.frontend
            .policy
            .servers
            .borrow_mut()
            .release_from_suspect(self.server);
    }
}
