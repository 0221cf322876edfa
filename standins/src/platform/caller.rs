//! A caller: one request, one answer.

use std::{
    io::{self, BufReader, Write as _},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use crate::platform::http::{self, Message};

/// A request of a caller.
#[derive(Debug, Clone)]
pub struct CallerRequest<'a> {
    /// Method and target.
    pub line: &'a str,
    /// The host.
    pub host: &'a str,
    /// The attempt's id; left out if empty.
    pub request: &'a str,
    /// How long it waits.
    pub deadline: Duration,
    /// The body.
    pub body: &'a [u8],
}

impl CallerRequest<'_> {
    /// The request's text.
    pub fn encode(&self) -> Vec<u8> {
        let deadline = self.deadline.as_millis().to_string();
        let mut headers = vec![("Host", self.host), ("X-Deadline-Ms", &deadline), ("X-Caller-Service", "forged")];
        if !self.request.is_empty() {
            headers.push(("X-Request-Id", self.request));
        }
        http::encode(&format!("{} HTTP/1.1", self.line), &headers, self.body)
    }

    /// Opens a connection and sends the request.
    pub fn send(&self, proxy: SocketAddr) -> io::Result<TcpStream> {
        let mut stream = TcpStream::connect(proxy)?;
        stream.set_read_timeout(Some(self.deadline + Duration::from_secs(5)))?;
        stream.write_all(&self.encode())?;
        Ok(stream)
    }

    /// Sends the request and reads its answer.
    pub fn send_and_read(&self, proxy: SocketAddr) -> io::Result<Message> {
        let stream = self.send(proxy)?;
        http::read_message(&mut BufReader::new(stream))?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }
}
