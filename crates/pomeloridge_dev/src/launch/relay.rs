//! TCP relay on loopback that injects network faults.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Pause between two checks of the mode.
const POLL_PAUSE: Duration = Duration::from_millis(10);
/// Size of the copy buffer, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

/// Forwarding mode of a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayMode {
    /// Forwards bytes.
    Pass,
    /// Closes every open and new connection.
    Cut,
    /// Keeps connections open but forwards nothing until another mode is set.
    Silent,
    /// Forwards each chunk after a delay in ms.
    Delay(u64),
}

struct State {
    mode: Mutex<RelayMode>,
    /// Connections numbered below this one are silent for good.
    frozen: AtomicU64,
    /// Number of the next connection.
    next: AtomicU64,
    stopped: AtomicBool,
}

impl State {
    fn mode(&self) -> RelayMode {
        *self.mode.lock().expect("no holder of the lock panics")
    }
}

/// Relay to one address; dropping it closes its connections.
pub struct Relay {
    address: SocketAddr,
    state: Arc<State>,
}

impl Relay {
    /// Starts a relay to `target` on a free port.
    pub fn start(target: SocketAddr) -> Result<Self, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
        let address = listener.local_addr().map_err(|error| error.to_string())?;
        let state = Arc::new(State {
            mode: Mutex::new(RelayMode::Pass),
            frozen: AtomicU64::new(0),
            next: AtomicU64::new(0),
            stopped: AtomicBool::new(false),
        });
        let shared = Arc::clone(&state);
        std::thread::spawn(move || accept(&listener, target, &shared));
        Ok(Self { address, state })
    }

    /// Returns the address that the relay listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the mode.
    pub fn set(&self, mode: RelayMode) {
        *self
            .state
            .mode
            .lock()
            .expect("no holder of the lock panics") = mode;
    }

    /// Silences the open connections for good; new ones are not affected.
    pub fn freeze(&self) {
        let next = self.state.next.load(Ordering::SeqCst);
        self.state.frozen.store(next, Ordering::SeqCst);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.state.stopped.store(true, Ordering::SeqCst);
        // Wakes the accepting thread, which then sees the flag.
        let _ = TcpStream::connect(self.address);
    }
}

fn accept(listener: &TcpListener, target: SocketAddr, state: &Arc<State>) {
    for client in listener.incoming().flatten() {
        if state.stopped.load(Ordering::SeqCst) {
            return;
        }
        let number = state.next.fetch_add(1, Ordering::SeqCst);
        if state.mode() == RelayMode::Cut {
            continue;
        }
        let Ok(server) = TcpStream::connect(target) else {
            continue;
        };
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let (Ok(client_read), Ok(server_read)) = (client.try_clone(), server.try_clone()) else {
            continue;
        };
        for (from, to) in [(client_read, server), (server_read, client)] {
            let state = Arc::clone(state);
            std::thread::spawn(move || copy(from, to, number, &state));
        }
    }
}

/// Copies one direction of a connection until it ends.
fn copy(mut from: TcpStream, mut to: TcpStream, number: u64, state: &State) {
    let mut buffer = vec![0; BUFFER_BYTES];
    let _ = from.set_read_timeout(Some(POLL_PAUSE));
    loop {
        let mode = state.mode();
        if state.stopped.load(Ordering::SeqCst) || mode == RelayMode::Cut {
            let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
            return;
        }
        if mode == RelayMode::Silent || number < state.frozen.load(Ordering::SeqCst) {
            std::thread::sleep(POLL_PAUSE);
            continue;
        }
        let read = match from.read(&mut buffer) {
            Ok(read) => read,
            Err(error) if is_temporary(error.kind()) => continue,
            Err(_) => 0,
        };
        if let RelayMode::Delay(ms) = mode {
            std::thread::sleep(Duration::from_millis(ms));
        }
        if read == 0 || to.write_all(&buffer[..read]).is_err() {
            let _ = to.shutdown(Shutdown::Write);
            return;
        }
    }
}

fn is_temporary(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
    )
}
