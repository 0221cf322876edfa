//! Just enough HTTP/1.1 to misbehave on purpose, which no server library lets one do.

use std::{
    io::{self, BufRead as _, BufReader, Read as _},
    net::TcpStream,
};

/// A message: a request or an answer.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The first line.
    pub start_line: String,
    /// Name, in lower case, and value.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|it| it.0 == name).map(|it| &*it.1)
    }

    /// The second word of the first line: a request's target, or an answer's status.
    pub fn second_word(&self) -> &str {
        self.start_line.split_whitespace().nth(1).unwrap_or("")
    }

    /// An answer's status.
    pub fn status(&self) -> u16 {
        self.second_word().parse().unwrap_or(0)
    }
}

/// Reads one message with a stated length; `None` at the end of the connection.
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

/// Writes a message's text.
pub fn encode(start: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("{start}\r\n");
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}
