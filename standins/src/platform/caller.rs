//! A caller that sends one request over a connection of its own and reads the response.

use std::{
    io::{self, BufRead as _, BufReader, Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

use socket2::SockRef;

use crate::platform::http::{self, Message};

/// Receive buffer of a slow caller.
const WINDOW_BYTES: usize = 64 * 1024;

/// A caller's HTTP request.
#[derive(Debug, Clone)]
pub struct CallerRequest<'a> {
    /// Method and target, separated by a space.
    pub method_and_target: &'a str,
    /// Value of `Host`.
    pub host: &'a str,
    /// Value of `X-Request-Id`; the header is left out if this is empty.
    pub request_id: &'a str,
    /// Value of `X-Deadline-Ms`; the caller's own read timeout is five seconds longer.
    pub deadline: Duration,
    /// Request body.
    pub body: &'a [u8],
}

impl CallerRequest<'_> {
    /// Encodes the request. It carries a forged `X-Caller-Service`, which the proxy has to replace.
    pub fn encode(&self) -> Vec<u8> {
        let deadline = self.deadline.as_millis().to_string();
        let mut headers = vec![("Host", self.host), ("X-Deadline-Ms", &deadline), ("X-Caller-Service", "forged")];
        if !self.request_id.is_empty() {
            headers.push(("X-Request-Id", self.request_id));
        }
        http::encode(&format!("{} HTTP/1.1", self.method_and_target), &headers, self.body)
    }

    /// Opens a connection and sends the request; the response can be read from the returned stream.
    pub fn send(&self, proxy: SocketAddr) -> io::Result<TcpStream> {
        let mut stream = TcpStream::connect(proxy)?;
        stream.set_read_timeout(Some(self.deadline + Duration::from_secs(5)))?;
        stream.write_all(&self.encode())?;
        Ok(stream)
    }

    /// Sends the request and reads the response. Fails with `UnexpectedEof` if the connection ends before one.
    pub fn send_and_read(&self, proxy: SocketAddr) -> io::Result<Message> {
        let stream = self.send(proxy)?;
        http::read_message(&mut BufReader::new(stream))?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }

    /// Sends the request and reads at most `bytes_per_s` of the response's body, through a small window. Returns the
    /// status and the body. Fails with `UnexpectedEof` if the connection ends before the end of the body.
    pub fn send_and_read_slowly(&self, proxy: SocketAddr, bytes_per_s: usize) -> io::Result<(u16, Vec<u8>)> {
        let stream = self.send(proxy)?;
        SockRef::from(&stream).set_recv_buffer_size(WINDOW_BYTES)?;
        let mut reader = BufReader::with_capacity(WINDOW_BYTES, stream);
        let (mut head, mut line) = (Message::default(), String::new());
        reader.read_line(&mut head.start_line)?;
        while reader.read_line(&mut line)? > 2 {
            let (name, value) = line.split_once(':').ok_or(io::ErrorKind::InvalidData)?;
            head.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            line.clear();
        }
        let len = head.header("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
        let (mut body, mut part, start) = (Vec::new(), vec![0; WINDOW_BYTES], Instant::now());
        while body.len() < len {
            let read = reader.read(&mut part)?;
            if read == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            body.extend_from_slice(&part[..read]);
            let due = start + Duration::from_secs_f64(body.len() as f64 / bytes_per_s as f64);
            thread::sleep(due.saturating_duration_since(Instant::now()));
        }
        Ok((head.status(), body))
    }
}
