//! A TCP relay for network faults: forwards connections to a target, and can delay, block, reset or silence them.

use std::{
    io::{self, ErrorKind, Read as _, Write as _},
    net::{Shutdown, SocketAddr, TcpStream},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use socket2::SockRef;

use crate::listener::Listener;

/// How often a forwarding thread checks for changed impairments, resets and silenced connections.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// What a relay does to the traffic of all its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Impairment {
    /// Forwards at once.
    #[default]
    None,
    /// Forwards each chunk after this delay.
    Delayed(Duration),
    /// Holds traffic to the target until the impairment changes.
    CutTo,
    /// Holds traffic from the target until the impairment changes.
    CutFrom,
}

/// Direction of traffic, relative to the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Flow {
    To,
    From,
}

#[derive(Debug, Default)]
struct Shared {
    impairment: Mutex<Impairment>,
    /// Number of times that connections were silenced; those of an earlier epoch carry nothing.
    silence_epoch: AtomicU64,
    /// Number of resets; connections opened before the latest are reset.
    resets: AtomicU64,
}

/// A relay to one target; runs until the process ends.
#[derive(Debug, Clone)]
pub struct Relay {
    /// Address that the relay listens on.
    pub address: SocketAddr,
    pub(crate) listener: Listener,
    shared: Arc<Shared>,
}

impl Relay {
    /// Starts a relay to `target` on a free port of loopback.
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = Listener::open()?;
        let shared = Arc::new(Shared::default());
        let relay = Self { address: listener.address, listener: listener.clone(), shared: Arc::clone(&shared) };
        thread::spawn(move || {
            listener.serve(|client| {
                // If the target refuses the connection, the client's is closed at once.
                let Ok(server) = TcpStream::connect(target) else { return };
                for (from, to, flow) in [
                    (client.try_clone(), server.try_clone(), Flow::To),
                    (server.try_clone(), client.try_clone(), Flow::From),
                ] {
                    let (Ok(from), Ok(to)) = (from, to) else { continue };
                    let forwarder = Forwarder::new(from, to, flow, &shared);
                    thread::spawn(move || forwarder.run());
                }
            });
        });
        Ok(relay)
    }

    /// Sets the impairment of all connections, open and new.
    pub fn set_impairment(&self, impairment: Impairment) {
        *self.shared.impairment.lock().unwrap_or_else(PoisonError::into_inner) = impairment;
    }

    /// Silences all open connections: they stay open and carry nothing more. New connections work.
    pub fn silence_open_connections(&self) {
        self.shared.silence_epoch.fetch_add(1, Ordering::AcqRel);
    }

    /// Resets all open connections and refuses new ones from now on.
    pub fn refuse_connections(&self) {
        self.listener.close();
        self.reset_open_connections();
    }

    /// Resets all open connections (TCP RST).
    pub fn reset_open_connections(&self) {
        self.shared.resets.fetch_add(1, Ordering::AcqRel);
    }
}

/// Forwards one direction of one connection.
struct Forwarder {
    from: TcpStream,
    to: TcpStream,
    flow: Flow,
    shared: Arc<Shared>,
    /// Value of `Shared::silence_epoch` when the connection was opened.
    silence_epoch: u64,
    /// Value of `Shared::resets` when the connection was opened.
    resets: u64,
}

impl Forwarder {
    fn new(from: TcpStream, to: TcpStream, flow: Flow, shared: &Arc<Shared>) -> Self {
        let (silence_epoch, resets) =
            (shared.silence_epoch.load(Ordering::Acquire), shared.resets.load(Ordering::Acquire));
        Self { from, to, flow, shared: Arc::clone(shared), silence_epoch, resets }
    }

    fn run(mut self) {
        _ = self.from.set_read_timeout(Some(POLL_INTERVAL));
        let mut buf = [0; 4096];
        while !self.is_reset() {
            let count = match self.from.read(&mut buf) {
                Ok(it) => it,
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => continue,
                Err(_) => 0,
            };
            if self.is_silenced() {
                if count == 0 {
                    return;
                }
                continue;
            }
            self.apply_impairment();
            if self.is_silenced() {
                continue;
            }
            if count == 0 || self.to.write_all(&buf[..count]).is_err() {
                break;
            }
        }
        if self.is_reset() {
            // With a linger time of zero, the kernel resets the connection when its last handle is closed.
            for it in [&self.from, &self.to] {
                _ = SockRef::from(it).set_linger(Some(Duration::ZERO));
            }
            return;
        }
        // The other end sees that this connection is closed.
        _ = self.to.shutdown(Shutdown::Both);
    }

    /// Waits while the impairment delays or blocks this direction.
    fn apply_impairment(&self) {
        loop {
            let impairment = *self.shared.impairment.lock().unwrap_or_else(PoisonError::into_inner);
            match (impairment, self.flow) {
                (Impairment::Delayed(it), _) => {
                    thread::sleep(it);
                    return;
                }
                (Impairment::CutTo, Flow::To) | (Impairment::CutFrom, Flow::From) => thread::sleep(POLL_INTERVAL),
                (Impairment::None, _) | (Impairment::CutTo, Flow::From) | (Impairment::CutFrom, Flow::To) => return,
            }
            if self.is_reset() || self.is_silenced() {
                return;
            }
        }
    }

    fn is_reset(&self) -> bool {
        self.shared.resets.load(Ordering::Acquire) != self.resets
    }

    fn is_silenced(&self) -> bool {
        self.shared.silence_epoch.load(Ordering::Acquire) != self.silence_epoch
    }
}
