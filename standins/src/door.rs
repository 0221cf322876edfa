//! A listening socket that can be closed, so that connections are refused, and opened again at the same address.

use std::{
    io,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, PoisonError},
};

use socket2::SockRef;

/// The socket; its copies are the same one.
#[derive(Debug, Clone)]
pub struct Door {
    /// Where it listens.
    pub address: SocketAddr,
    /// `None` while it is closed.
    listener: Arc<(Mutex<Option<Arc<TcpListener>>>, Condvar)>,
}

impl Door {
    /// Opens one on a free port.
    pub fn open() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        Ok(Self { address, listener: Arc::new((Mutex::new(Some(Arc::new(listener))), Condvar::new())) })
    }

    /// Refuses connections from now on; open ones stay.
    pub fn close(&self) {
        let listener = self.listener.0.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(it) = listener {
            // Wakes whoever waits for a connection, too.
            _ = SockRef::from(&*it).shutdown(Shutdown::Both);
        }
    }

    /// Takes connections again.
    pub fn reopen(&self) -> io::Result<()> {
        let mut listener = self.listener.0.lock().unwrap_or_else(PoisonError::into_inner);
        if listener.is_none() {
            *listener = Some(Arc::new(TcpListener::bind(self.address)?));
            self.listener.1.notify_all();
        }
        Ok(())
    }

    /// Hands all connections to `serve`, for ever.
    pub fn serve(&self, serve: impl Fn(TcpStream)) {
        loop {
            let listener = self.wait_until_open();
            while let Ok((stream, _)) = listener.accept() {
                serve(stream);
            }
        }
    }

    fn wait_until_open(&self) -> Arc<TcpListener> {
        let mut listener = self.listener.0.lock().unwrap_or_else(PoisonError::into_inner);
        loop {
            if let Some(it) = &*listener {
                return Arc::clone(it);
            }
            listener = self.listener.1.wait(listener).unwrap_or_else(PoisonError::into_inner);
        }
    }
}
