//! A caller that sends one request over a connection of its own and reads the response.

use std::{
    io::{self, BufReader, Write as _},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use crate::platform::http::{self, Message};

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
}
