//! Pool of idle connections to backend servers, and the count of all open ones.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use derive_more::{Display, From};
use pomeloridge_base::count_guard::CountGuard;
use pomeloridge_base::http::{ConnectOptions, Connection, Fault, Unframed};

/// Timeout for connecting to a server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which a connection is closed if sent bytes remain unacknowledged.
const USER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which an idle connection is kept if its server gives no idle timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Longest time for which an idle connection is kept.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_hours(1);
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

/// Connections by server address.
#[derive(Default)]
pub(crate) struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
    /// Numbers of open connections, the idle ones included.
    open: RefCell<HashMap<SocketAddr, Rc<Cell<usize>>>>,
}

/// Why an exchange over the pool failed.
#[derive(Debug, Display, From)]
pub(crate) enum PoolError {
    /// All connections that this node may have to the server are in use.
    #[display("all connections are in use")]
    Full,
    /// The connection could not be opened, or it failed.
    Connection(Fault),
}

/// Requirements on a connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionNeeds {
    /// Whether an idle connection is only reused within [`MAX_FRESH_IDLE`], and if its server
    /// has refused nothing on it: a copy of that refusal may follow.
    pub(crate) is_fresh: bool,
    /// Number of connections that this node may have to the server.
    pub(crate) max_open: usize,
}

impl Pool {
    /// Returns an idle connection that is still usable, or opens a new one.
    pub(crate) async fn connect(
        &self,
        address: SocketAddr,
        needs: ConnectionNeeds,
        deadline: Instant,
        now: Instant,
    ) -> Result<Connected, PoolError> {
        if let Some(connection) = self.take(address, needs.is_fresh, now) {
            return Ok(Connected {
                connection,
                is_reused: true,
            });
        }
        let count = self.count(address, needs.max_open).ok_or(PoolError::Full)?;
        let mut connection = self.open(address, deadline, now).await?;
        connection.count_while_open(count);
        Ok(Connected {
            connection,
            is_reused: false,
        })
    }

    /// Counts a connection that is about to be opened, unless the maximum is reached. An idle
    /// connection is closed to make room for it.
    fn count(&self, address: SocketAddr, max_open: usize) -> Option<CountGuard> {
        let count = Rc::clone(self.open.borrow_mut().entry(address).or_default());
        if count.get() >= max_open
            && let Some(idle) = self.idle.borrow_mut().get_mut(&address)
            && !idle.is_empty()
        {
            idle.remove(0);
        }
        CountGuard::try_new(&count, max_open)
    }

    /// Opens a new connection, which is not counted.
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
        let mut pool = self.idle.borrow_mut();
        let idle = pool.get_mut(&address)?;
        if require_fresh {
            let is_fresh = |idle: &IdleConnection| {
                idle.connection.idle_time() < MAX_FRESH_IDLE
                    && idle.connection.last_refusal().is_none()
            };
            let fresh = idle.iter().rposition(is_fresh)?;
            let fresh = idle.remove(fresh);
            let is_usable = now < fresh.expires_at && fresh.connection.is_idle();
            return is_usable.then_some(fresh.connection);
        }
        while let Some(last) = idle.pop() {
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
            timeout.min(MAX_IDLE_TIMEOUT).saturating_sub(IDLE_MARGIN)
        });
        let idle = IdleConnection {
            expires_at: now + idle_timeout,
            connection,
        };
        let mut pool = self.idle.borrow_mut();
        pool.entry(idle.connection.address())
            .or_default()
            .push(idle);
    }

    /// Closes the expired connections.
    pub(crate) fn sweep(&self, now: Instant) {
        let mut pool = self.idle.borrow_mut();
        for idle in pool.values_mut() {
            idle.retain(|idle| now < idle.expires_at);
        }
        pool.retain(|_, idle| !idle.is_empty());
        drop(pool);
        self.open.borrow_mut().retain(|_, count| count.get() > 0);
    }
}
