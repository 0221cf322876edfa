//! A stand-in for what stands between two ends: it passes connections on, and can lose track of
//! the open ones, which then go silent for good while new ones work.

use std::{
    io::{self, Read as _, Write as _},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
};

/// A relay before one address.
pub struct Relay {
    /// Where it listens.
    pub address: SocketAddr,
    /// Connections of earlier ages than this are silent.
    age: Arc<AtomicU64>,
}

impl Relay {
    /// Starts a relay before `target`; it ends with the process.
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let age = Arc::new(AtomicU64::new(0));
        let ages = Arc::clone(&age);
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                // A target that is away looks like a connection that ends at once.
                let Ok(far) = TcpStream::connect(target) else { continue };
                let born = ages.load(Ordering::Acquire);
                for (from, to) in [(near.try_clone(), far.try_clone()), (far.try_clone(), near.try_clone())] {
                    let (Ok(from), Ok(to)) = (from, to) else { continue };
                    let ages = Arc::clone(&ages);
                    thread::spawn(move || pass(from, to, born, &ages));
                }
            }
        });
        Ok(Self { address, age })
    }

    /// Loses track of all open connections: nothing passes any more, and nobody is told.
    pub fn forget_open(&self) {
        self.age.fetch_add(1, Ordering::AcqRel);
    }
}

fn pass(mut from: TcpStream, mut to: TcpStream, born: u64, age: &AtomicU64) {
    let mut buf = [0; 4096];
    while let Ok(count) = from.read(&mut buf) {
        let forgotten = age.load(Ordering::Acquire) != born;
        match (forgotten, count) {
            (true, 0) => return,
            (true, _) => continue,
            (false, _) => (),
        }
        if count == 0 || to.write_all(&buf[..count]).is_err() {
            break;
        }
    }
    // Whoever is still there learns that the other side is gone.
    _ = to.shutdown(Shutdown::Both);
}
