//! Chooses a backend server for an attempt, and logs the choice.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use pomeloridge_base::error::ErrorKind;
use pomeloridge_base::id::Name;
use pomeloridge_policy::candidate::RouteRequest;
use pomeloridge_policy::prefix::Block;
use pomeloridge_policy::server::{ServerKey, Work};

use crate::front::Front;

/// Pause between two looks at whether a server is empty.
const EMPTY_PAUSE: Duration = Duration::from_millis(50);

/// What an attempt needs.
pub(crate) struct Wanted<'a> {
    pub(crate) pool: &'a Name,
    pub(crate) session: Option<&'a str>,
    pub(crate) blocks: &'a [Block],
    pub(crate) work: Work,
    pub(crate) tried: &'a [ServerKey],
    pub(crate) alone: bool,
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
pub(crate) fn choose(front: &Front, id: &str, wanted: &Wanted<'_>) -> Result<Chosen, ErrorKind> {
    let policy = &front.policy;
    let fleet = policy.fleet.borrow();
    let route = |excluded| {
        let request = RouteRequest {
            pool: wanted.pool.clone(),
            session: wanted.session.map(str::as_bytes),
            blocks: wanted.blocks,
            work: wanted.work,
            excluded,
            alone: wanted.alone,
        };
        policy.router.borrow_mut().route(
            &fleet,
            &policy.hints.borrow(),
            &request,
            &mut *policy.rng.borrow_mut(),
            front.clock.now(),
        )
    };
    // A server that failed is better than none.
    let decision =
        route(wanted.tried).or_else(|kind| if wanted.again { route(&[]) } else { Err(kind) })?;
    front.note(id, format!("route pool={} {decision}", wanted.pool));
    let server = fleet.server(decision.chosen).ok_or(ErrorKind::NoServer)?;
    Ok(Chosen {
        server: decision.chosen,
        address: server.info.address,
        cached: decision.cached,
    })
}

/// Chooses a server for a suspect, keeps it for this request alone, and waits
/// until nothing else runs there.
pub(crate) async fn choose_alone(
    front: &Front,
    id: &str,
    wanted: &Wanted<'_>,
    deadline: Instant,
) -> Result<Chosen, ErrorKind> {
    loop {
        let chosen = choose(front, id, wanted)?;
        let now = front.clock.now();
        if now >= deadline {
            return Err(ErrorKind::Overloaded);
        }
        let kept = front.policy.fleet.borrow_mut().occupy(chosen.server, now);
        if kept {
            let kept = Kept {
                front,
                server: chosen.server,
            };
            kept.wait_until_empty(deadline).await?;
            std::mem::forget(kept);
            return Ok(chosen);
        }
        monoio::time::sleep(EMPTY_PAUSE).await;
    }
}

/// Gives a kept server back if the wait for it ends early.
struct Kept<'a> {
    front: &'a Front,
    server: ServerKey,
}

impl Kept<'_> {
    async fn wait_until_empty(&self, deadline: Instant) -> Result<(), ErrorKind> {
        loop {
            let now = self.front.clock.now();
            if self.front.policy.fleet.borrow().is_empty(self.server, now) {
                return Ok(());
            }
            if now >= deadline {
                return Err(ErrorKind::Overloaded);
            }
            monoio::time::sleep(EMPTY_PAUSE).await;
        }
    }
}

impl Drop for Kept<'_> {
    fn drop(&mut self) {
        self.front.policy.fleet.borrow_mut().vacate(self.server);
    }
}
