//! A TCP listener that can be closed, so that connections are refused, and reopened at the same address.

use std::{
    io,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, PoisonError},
};

use socket2::SockRef;

/// A listening socket; clones share it.
#[derive(Debug, Clone)]
pub struct Listener {
    /// Address that it listens on, also after it is reopened.
    pub address: SocketAddr,
    /// `None` while the listener is closed.
    socket: Arc<(Mutex<Option<Arc<TcpListener>>>, Condvar)>,
}

impl Listener {
    /// Listens on a free port of loopback.
    pub fn open() -> io::Result<Self> {
        let socket = TcpListener::bind("127.0.0.1:0")?;
        let address = socket.local_addr()?;
        Ok(Self { address, socket: Arc::new((Mutex::new(Some(Arc::new(socket))), Condvar::new())) })
    }

    /// Closes the socket: new connections are refused, accepted ones stay open.
    pub fn close(&self) {
        let socket = self.socket.0.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(it) = socket {
            // Also ends a blocked `accept`.
            _ = SockRef::from(&*it).shutdown(Shutdown::Both);
        }
    }

    /// Listens at the same address again, if the listener is closed.
    pub fn reopen(&self) -> io::Result<()> {
        let mut socket = self.socket.0.lock().unwrap_or_else(PoisonError::into_inner);
        if socket.is_none() {
            *socket = Some(Arc::new(TcpListener::bind(self.address)?));
            self.socket.1.notify_all();
        }
        Ok(())
    }

    /// Passes each accepted connection to `serve`; never returns.
    pub fn serve(&self, serve: impl Fn(TcpStream)) {
        loop {
            let socket = self.wait_until_open();
            while let Ok((stream, _)) = socket.accept() {
                serve(stream);
            }
        }
    }

    fn wait_until_open(&self) -> Arc<TcpListener> {
        let mut socket = self.socket.0.lock().unwrap_or_else(PoisonError::into_inner);
        loop {
            if let Some(it) = &*socket {
                return Arc::clone(it);
            }
            socket = self.socket.1.wait(socket).unwrap_or_else(PoisonError::into_inner);
        }
    }
}
