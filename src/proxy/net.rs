//! Opens TCP sockets with options that detect an unresponsive remote side.

use std::{io, net::SocketAddr, time::Duration};

use hyper::rt::Executor;
use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use tokio::{
    net::{TcpListener, TcpStream},
    task::{JoinHandle, spawn_local},
    time::timeout,
};

/// How many connections may wait to be accepted, for a burst of callers.
const BACKLOG: i32 = 1024;
/// How long written bytes may stay unacknowledged. A second of packet loss is tolerated, and a cut is detected within
/// two seconds.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_800);
/// How long a connection is idle before the first keepalive probe, and the pause between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// How many unanswered probes close the connection.
const KEEPALIVE_PROBES: u32 = 3;

/// How much of a call or of its response is on its way between two proxies at once, in bytes. On a slow link other
/// calls, and the pings that show whether it works, wait for as much of each long body.
pub(super) const PEER_STREAM_WINDOW: u32 = 64 << 10;

/// Opens a non-blocking TCP listener on `address`.
pub(super) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Connects to `address`; fails after `limit`.
pub(super) async fn connect(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let stream = timeout(limit, TcpStream::connect(address)).await??;
    set_socket_options(&stream)?;
    Ok(stream)
}

/// Sets the options of an accepted or opened connection: no delay, user timeout and keepalive.
pub(super) fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)
}

/// Sets how long the remote side may acknowledge nothing, or read nothing, before the connection is closed.
pub(super) fn set_user_timeout(stream: &TcpStream, timeout: Duration) -> io::Result<()> {
    SockRef::from(stream).set_tcp_user_timeout(Some(timeout))
}

/// Runs hyper's connection tasks on the current thread.
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

/// A task that is aborted when this handle is dropped.
#[derive(Debug)]
pub(super) struct AbortOnDropTask(JoinHandle<()>);

impl AbortOnDropTask {
    /// Runs `future` on the current thread.
    pub(super) fn spawn(future: impl Future<Output = ()> + 'static) -> Self {
        Self(spawn_local(future))
    }
}

impl Drop for AbortOnDropTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}
