//! Pool of idle connections to backend servers.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use pomeloridge_base::http::{ConnectOptions, Connection, Fault, Unframed};

/// Timeout for connecting to a server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which a connection is closed if sent bytes remain unacknowledged.
const USER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which an idle connection is kept if its server gives no idle timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Margin before the server's idle timeout at which a connection is no longer used.
const IDLE_MARGIN: Duration = Duration::from_millis(500);
/// Longest idle time of a connection that is reused for a request that must not be retried.
const MAX_FRESH_IDLE: Duration = Duration::from_millis(200);

struct IdleConnection {
    connection: Connection,
    expires_at: Instant,
}

/// A connection to a server.
pub(crate) struct Connected {
    pub(crate) connection: Connection,
    /// Whether the connection comes from the pool.
    pub(crate) is_reused: bool,
}

/// Idle connections by server address.
#[derive(Default)]
pub(crate) struct Pool(RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>);

impl Pool {
    /// Returns an idle connection that is still usable, or opens a new one. With `require_fresh`,
    /// an idle connection is only reused within [`MAX_FRESH_IDLE`].
    pub(crate) async fn connect(
        &self,
        address: SocketAddr,
        require_fresh: bool,
        deadline: Instant,
        now: Instant,
    ) -> Result<Connected, Fault> {
        if let Some(connection) = self.take(address, require_fresh, now) {
            return Ok(Connected {
                connection,
                is_reused: true,
            });
        }
        Ok(Connected {
            connection: self.open(address, deadline, now).await?,
            is_reused: false,
        })
    }

    /// Opens a new connection.
    pub(crate) async fn open(
        &self,
        address: SocketAddr,
        deadline: Instant,
        now: Instant,
    ) -> Result<Connection, Fault> {
        let options = ConnectOptions {
            timeout: CONNECT_TIMEOUT.min(deadline.saturating_duration_since(now)),
            user_timeout: Some(USER_TIMEOUT),
            unframed: Unframed::UntilClose,
            ..ConnectOptions::default()
        };
        Connection::open(address, options).await
    }

    fn take(&self, address: SocketAddr, require_fresh: bool, now: Instant) -> Option<Connection> {
        let mut pool = self.0.borrow_mut();
        let idle = pool.get_mut(&address)?;
        while let Some(last) = idle.pop() {
            let is_fresh = last.connection.idle_time() < MAX_FRESH_IDLE;
            if require_fresh && !is_fresh {
                idle.push(last);
                return None;
            }
            if now < last.expires_at && last.connection.is_idle() {
                return Some(last.connection);
            }
        }
        None
    }

    /// Returns a connection to the pool after a complete exchange.
    pub(crate) fn put(
        &self,
        connection: Connection,
        server_idle_timeout: Option<Duration>,
        now: Instant,
    ) {
        if !connection.reusable() {
            return;
        }
        let idle_timeout = server_idle_timeout.map_or(DEFAULT_IDLE_TIMEOUT, |timeout| {
            timeout.saturating_sub(IDLE_MARGIN)
        });
        let idle = IdleConnection {
            expires_at: now + idle_timeout,
            connection,
        };
        let mut pool = self.0.borrow_mut();
        pool.entry(idle.connection.address())
            .or_default()
            .push(idle);
    }

    /// Closes the expired connections.
    pub(crate) fn sweep(&self, now: Instant) {
        let mut pool = self.0.borrow_mut();
        for idle in pool.values_mut() {
            idle.retain(|idle| now < idle.expires_at);
        }
        pool.retain(|_, idle| !idle.is_empty());
    }
}
