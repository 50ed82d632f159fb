//! Connections to backend servers, the idle ones kept.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use pomeloridge_base::http::{ConnectOptions, Connection, Fault, Unframed};

/// Time to connect to a server.
const CONNECT: Duration = Duration::from_millis(300);
/// Unacknowledged bytes after this time end a connection that has gone silent.
const USER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time that an idle connection is kept if its server says nothing of it.
const IDLE_DEFAULT: Duration = Duration::from_secs(4);
/// Time before a server's own limit at which its connection is given up.
const IDLE_MARGIN: Duration = Duration::from_millis(500);
/// Idle time up to which a connection is used for a request that must not be repeated.
const FRESH_IDLE: Duration = Duration::from_millis(200);

struct Idle {
    connection: Connection,
    until: Instant,
}

/// A connection to a server.
pub(crate) struct Connected {
    pub(crate) connection: Connection,
    /// Whether it was idle before.
    pub(crate) was_kept: bool,
}

/// The idle connections by server address.
#[derive(Default)]
pub(crate) struct Pool(RefCell<HashMap<SocketAddr, Vec<Idle>>>);

impl Pool {
    /// An idle connection that is still good, or a new one; `unrepeatable` asks for one
    /// that was used a moment ago.
    pub(crate) async fn connect(
        &self,
        address: SocketAddr,
        unrepeatable: bool,
        deadline: Instant,
        now: Instant,
    ) -> Result<Connected, Fault> {
        if let Some(connection) = self.take(address, unrepeatable, now) {
            return Ok(Connected {
                connection,
                was_kept: true,
            });
        }
        Ok(Connected {
            connection: self.open(address, deadline, now).await?,
            was_kept: false,
        })
    }

    /// A new connection.
    pub(crate) async fn open(
        &self,
        address: SocketAddr,
        deadline: Instant,
        now: Instant,
    ) -> Result<Connection, Fault> {
        let options = ConnectOptions {
            timeout: CONNECT.min(deadline.saturating_duration_since(now)),
            user_timeout: Some(USER_TIMEOUT),
            unframed: Unframed::UntilClose,
            ..ConnectOptions::default()
        };
        Connection::open(address, options).await
    }

    fn take(&self, address: SocketAddr, unrepeatable: bool, now: Instant) -> Option<Connection> {
        let mut pool = self.0.borrow_mut();
        let idle = pool.get_mut(&address)?;
        while let Some(last) = idle.pop() {
            let recent = last.connection.idle() < FRESH_IDLE;
            if unrepeatable && !recent {
                idle.push(last);
                return None;
            }
            if now < last.until && last.connection.quiet() {
                return Some(last.connection);
            }
        }
        None
    }

    /// Keeps a connection whose exchange has ended in good order.
    pub(crate) fn put(&self, connection: Connection, idle: Option<Duration>, now: Instant) {
        if !connection.reusable() {
            return;
        }
        let time = idle.map_or(IDLE_DEFAULT, |idle| idle.saturating_sub(IDLE_MARGIN));
        let kept = Idle {
            until: now + time,
            connection,
        };
        let mut pool = self.0.borrow_mut();
        pool.entry(kept.connection.address())
            .or_default()
            .push(kept);
    }

    /// Closes the connections whose time has passed.
    pub(crate) fn sweep(&self, now: Instant) {
        let mut pool = self.0.borrow_mut();
        for idle in pool.values_mut() {
            idle.retain(|idle| now < idle.until);
        }
        pool.retain(|_, idle| !idle.is_empty());
    }
}
