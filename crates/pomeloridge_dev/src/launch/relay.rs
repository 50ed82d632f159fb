//! A TCP relay on loopback that can be cut, silenced and delayed.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Pause between two looks at the mode.
const LOOK_PAUSE: Duration = Duration::from_millis(10);
/// Bytes copied at once.
const PIECE_BYTES: usize = 16 * 1024;

/// What a relay does with bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayMode {
    /// Passes them on.
    Pass,
    /// Closes every connection, old and new.
    Cut,
    /// Keeps connections open and passes nothing on until another mode is set.
    Silent,
    /// Passes each piece on after a time in ms.
    Delay(u64),
}

struct State {
    mode: Mutex<RelayMode>,
    /// Connections with a number below this one are silent for good.
    frozen: AtomicU64,
    next: AtomicU64,
    stopped: AtomicBool,
}

impl State {
    fn mode(&self) -> RelayMode {
        *self.mode.lock().expect("no holder of the lock panics")
    }
}

/// A relay to one address; dropping it closes its connections.
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

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what it does.
    pub fn set(&self, mode: RelayMode) {
        *self
            .state
            .mode
            .lock()
            .expect("no holder of the lock panics") = mode;
    }

    /// Makes the connections that are open now silent for good; new ones work.
    pub fn freeze(&self) {
        let next = self.state.next.load(Ordering::SeqCst);
        self.state.frozen.store(next, Ordering::SeqCst);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.state.stopped.store(true, Ordering::SeqCst);
        // The accepting thread looks at the flag once it is woken.
        let _ = TcpStream::connect(self.address);
    }
}

fn accept(listener: &TcpListener, target: SocketAddr, state: &Arc<State>) {
    for near in listener.incoming().flatten() {
        if state.stopped.load(Ordering::SeqCst) {
            return;
        }
        let number = state.next.fetch_add(1, Ordering::SeqCst);
        if state.mode() == RelayMode::Cut {
            continue;
        }
        let Ok(far) = TcpStream::connect(target) else {
            continue;
        };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let (Ok(near_read), Ok(far_read)) = (near.try_clone(), far.try_clone()) else {
            continue;
        };
        for (from, to) in [(near_read, far), (far_read, near)] {
            let state = Arc::clone(state);
            std::thread::spawn(move || copy(from, to, number, &state));
        }
    }
}

/// Copies one direction of a connection until it ends.
fn copy(mut from: TcpStream, mut to: TcpStream, number: u64, state: &State) {
    let mut piece = vec![0; PIECE_BYTES];
    let _ = from.set_read_timeout(Some(LOOK_PAUSE));
    loop {
        let mode = state.mode();
        if state.stopped.load(Ordering::SeqCst) || mode == RelayMode::Cut {
            let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
            return;
        }
        if mode == RelayMode::Silent || number < state.frozen.load(Ordering::SeqCst) {
            std::thread::sleep(LOOK_PAUSE);
            continue;
        }
        let read = match from.read(&mut piece) {
            Ok(read) => read,
            Err(error) if is_pause(error.kind()) => continue,
            Err(_) => 0,
        };
        if let RelayMode::Delay(ms) = mode {
            std::thread::sleep(Duration::from_millis(ms));
        }
        if read == 0 || to.write_all(&piece[..read]).is_err() {
            let _ = to.shutdown(Shutdown::Write);
            return;
        }
    }
}

fn is_pause(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
    )
}
