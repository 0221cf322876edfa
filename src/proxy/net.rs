//! Sockets: how they are opened, and how a silent other side is noticed.

use std::{io, net::SocketAddr, time::Duration};

use hyper::rt::Executor;
use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use tokio::{
    net::{TcpListener, TcpStream},
    task::{JoinHandle, spawn_local},
    time::timeout,
};

/// How many connections may wait to be accepted: a burst of callers from one data centre.
const BACKLOG: i32 = 1024;
/// How long written bytes may go unacknowledged: above a second's loss of packets, below the two
/// seconds that a cut may go unnoticed.
const USER_TIMEOUT: Duration = Duration::from_millis(1_800);
/// How long a connection is quiet before it is probed, and the pause between probes.
const KEEPALIVE: Duration = Duration::from_secs(5);
/// How many probes go unanswered before the connection is given up.
const KEEPALIVE_PROBES: u32 = 3;

/// Listens on `address`.
pub(super) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Connects to `address` within `limit`.
pub(super) async fn connect(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let stream = timeout(limit, TcpStream::connect(address)).await??;
    set_socket_options(&stream)?;
    Ok(stream)
}

/// Sets what every connection needs, accepted or opened.
pub(super) fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE).with_interval(KEEPALIVE).with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)
}

/// Runs the tasks of a connection on this thread.
#[derive(Debug, Clone, Copy)]
pub(super) struct LocalExecutor;

impl<F> Executor<F> for LocalExecutor
where
    F: Future + 'static,
    F::Output: 'static,
{
    fn execute(&self, future: F) {
        spawn_local(future);
    }
}

/// A task that ends with its handle.
#[derive(Debug)]
pub(super) struct AbortOnDropTask(JoinHandle<()>);

impl AbortOnDropTask {
    /// Runs `future` on this thread until it ends or the handle is dropped.
    pub(super) fn spawn(future: impl Future<Output = ()> + 'static) -> Self {
        Self(spawn_local(future))
    }
}

impl Drop for AbortOnDropTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}
