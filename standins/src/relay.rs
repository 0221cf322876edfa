//! A stand-in for what stands between two ends: it passes connections on, and can delay, cut, reset or
//! silence them.

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

/// How often a relay looks whether its weather has changed.
const LOOK: Duration = Duration::from_millis(20);

/// What a relay does to what passes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Impairment {
    /// Nothing.
    #[default]
    None,
    /// Each piece comes later by this.
    Delayed(Duration),
    /// Nothing reaches the target; it comes when the weather changes.
    CutTo,
    /// Nothing comes back from the target until the weather changes.
    CutFrom,
}

/// Which way a stream goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    To,
    From,
}

#[derive(Debug, Default)]
struct Shared {
    impairment: Mutex<Impairment>,
    /// Connections of earlier ages than this are silent.
    age: AtomicU64,
    /// Connections from before the last of these are reset.
    resets: AtomicU64,
}

/// A relay before one address; ends with the process.
#[derive(Debug, Clone)]
pub struct Relay {
    /// Where it listens.
    pub address: SocketAddr,
    pub(crate) listener: Listener,
    shared: Arc<Shared>,
}

impl Relay {
    /// Starts a relay before `target`.
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = Listener::open()?;
        let shared = Arc::new(Shared::default());
        let relay = Self { address: listener.address, listener: listener.clone(), shared: Arc::clone(&shared) };
        thread::spawn(move || {
            listener.serve(|near| {
                // A target that is away looks like a connection that ends at once.
                let Ok(far) = TcpStream::connect(target) else { return };
                for (from, to, way) in
                    [(near.try_clone(), far.try_clone(), Way::To), (far.try_clone(), near.try_clone(), Way::From)]
                {
                    let (Ok(from), Ok(to)) = (from, to) else { continue };
                    let pass = Pass::new(from, to, way, &shared);
                    thread::spawn(move || pass.run());
                }
            });
        });
        Ok(relay)
    }

    /// Changes what happens to all connections, open and new.
    pub fn set_impairment(&self, impairment: Impairment) {
        *self.shared.impairment.lock().unwrap_or_else(PoisonError::into_inner) = impairment;
    }

    /// Loses track of all open connections: nothing passes any more, and nobody is told.
    pub fn silence_open_connections(&self) {
        self.shared.age.fetch_add(1, Ordering::AcqRel);
    }

    /// Resets all open connections.
    pub fn reset_open_connections(&self) {
        self.shared.resets.fetch_add(1, Ordering::AcqRel);
    }
}

/// One way of one connection.
struct Pass {
    from: TcpStream,
    to: TcpStream,
    way: Way,
    shared: Arc<Shared>,
    /// The age it was born in.
    age: u64,
    /// The resets before it.
    resets: u64,
}

impl Pass {
    fn new(from: TcpStream, to: TcpStream, way: Way, shared: &Arc<Shared>) -> Self {
        let (age, resets) = (shared.age.load(Ordering::Acquire), shared.resets.load(Ordering::Acquire));
        Self { from, to, way, shared: Arc::clone(shared), age, resets }
    }

    fn run(mut self) {
        _ = self.from.set_read_timeout(Some(LOOK));
        let mut buf = [0; 4096];
        while !self.is_reset() {
            let count = match self.from.read(&mut buf) {
                Ok(it) => it,
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => continue,
                Err(_) => 0,
            };
            if self.is_forgotten() {
                if count == 0 {
                    return;
                }
                continue;
            }
            self.wait_for_impairment();
            if self.is_forgotten() {
                continue;
            }
            if count == 0 || self.to.write_all(&buf[..count]).is_err() {
                break;
            }
        }
        if self.is_reset() {
            // The system resets a connection that is closed so, once nobody holds it any more.
            for it in [&self.from, &self.to] {
                _ = SockRef::from(it).set_linger(Some(Duration::ZERO));
            }
            return;
        }
        // Whoever is still there learns that the other side is gone.
        _ = self.to.shutdown(Shutdown::Both);
    }

    /// Waits as long as the weather holds this way up.
    fn wait_for_impairment(&self) {
        loop {
            let impairment = *self.shared.impairment.lock().unwrap_or_else(PoisonError::into_inner);
            match (impairment, self.way) {
                (Impairment::Delayed(it), _) => {
                    thread::sleep(it);
                    return;
                }
                (Impairment::CutTo, Way::To) | (Impairment::CutFrom, Way::From) => thread::sleep(LOOK),
                (Impairment::None, _) | (Impairment::CutTo, Way::From) | (Impairment::CutFrom, Way::To) => return,
            }
            if self.is_reset() || self.is_forgotten() {
                return;
            }
        }
    }

    fn is_reset(&self) -> bool {
        self.shared.resets.load(Ordering::Acquire) != self.resets
    }

    fn is_forgotten(&self) -> bool {
        self.shared.age.load(Ordering::Acquire) != self.age
    }
}
