//! Minimal HTTP/1.1 over plain sockets. Stand-ins send malformed and truncated responses, which a server library
//! doesn't allow.

use std::{
    io::{self, BufRead as _, BufReader, Read as _},
    net::TcpStream,
};

/// An HTTP request or response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request line or status line.
    pub start_line: String,
    /// Names, in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// Message body.
    pub body: Vec<u8>,
}

impl Message {
    /// Value of the first header named `name` (in lower case).
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|it| it.0 == name).map(|it| &*it.1)
    }

    /// Second word of the start line: a request's target or a response's status.
    pub fn second_word(&self) -> &str {
        self.start_line.split_whitespace().nth(1).unwrap_or("")
    }

    /// Status of a response; 0 if it is malformed.
    pub fn status(&self) -> u16 {
        self.second_word().parse().unwrap_or(0)
    }
}

/// Reads one message with a body of `Content-Length` bytes; `None` if the connection ends before the message.
pub fn read_message(stream: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    if stream.read_line(&mut message.start_line)? == 0 {
        return Ok(None);
    }
    message.start_line.truncate(message.start_line.trim_end().len());
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    let length = message.header("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    stream.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Encodes a message and adds its `Content-Length`.
pub fn encode(start_line: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut buf = format!("{start_line}\r\n");
    for (name, value) in headers {
        buf.push_str(&format!("{name}: {value}\r\n"));
    }
    buf.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut buf = buf.into_bytes();
    buf.extend_from_slice(body);
    buf
}
