//! The HTTP client of the platform's store.

use std::{
    io::{self, Read as _},
    net::SocketAddr,
    time::Duration,
};

use attohttpc::{Method, Response};

use crate::store::{Object, ObjectStore, ObjectVersion, StoreError, WriteCondition};

/// The timeout of calls other than watches.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// How much longer than its wait the response to a watch may take; one lost packet delays it by a second.
const WATCH_SLACK: Duration = Duration::from_millis(1_200);
/// The longest body of an answer, in bytes: a listing of the presence of thousands of daemons, with room.
const MAX_BODY_BYTES: usize = 16 << 20;
/// The timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A client of the store. Each call opens its own connection, so that a stalled one delays no other call.
pub struct StoreClient {
    base_url: Box<str>,
}

impl StoreClient {
    /// Creates a client of the store at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { base_url: format!("http://{address}").into() }
    }

    fn call(
        &self,
        method: Method,
        target: &str,
        header: Option<(&'static str, String)>,
        body: &[u8],
        timeout: Duration,
    ) -> Result<Response, StoreError> {
        let url = format!("{}{target}", self.base_url);
        let mut req = attohttpc::RequestBuilder::new(method, url)
            .connect_timeout(CONNECT_TIMEOUT)
            .read_timeout(timeout)
            .timeout(timeout)
            .follow_redirects(false);
        if let Some((name, value)) = header {
            req = req.header(name, value);
        }
        req.bytes(body).send().map_err(to_store_error)
    }
}

impl ObjectStore for StoreClient {
    fn get(&self, key: &str) -> Result<Option<Object>, StoreError> {
        let resp = self.call(Method::GET, &format!("/objects/{key}"), None, &[], CALL_TIMEOUT)?;
        match resp.status().as_u16() {
            404 => Ok(None),
            _ => read_object(resp).map(Some),
        }
    }

    fn list(&self, prefix: &str) -> Result<Vec<Box<str>>, StoreError> {
        let resp = self.call(Method::GET, &format!("/objects?prefix={prefix}"), None, &[], CALL_TIMEOUT)?;
        let bytes = read_body(resp)?;
        serde_json::from_slice(&bytes).map_err(|it| StoreError::NoResponse(it.to_string().into()))
    }

    fn put(&self, key: &str, value: &[u8], condition: WriteCondition) -> Result<ObjectVersion, StoreError> {
        let header = match condition {
            WriteCondition::Absent => Some(("If-None-Match", "*".to_owned())),
            WriteCondition::Version(it) => Some(("If-Match", format!("\"{it}\""))),
            WriteCondition::Unconditional => None,
        };
        let resp = self.call(Method::PUT, &format!("/objects/{key}"), header, value, CALL_TIMEOUT)?;
        match resp.status().as_u16() {
            200 | 201 => read_version(&resp),
            412 => Err(StoreError::Conflict),
            it => Err(StoreError::NoResponse(format!("status {it}").into())),
        }
    }

    fn remove(&self, key: &str) -> Result<(), StoreError> {
        let resp = self.call(Method::DELETE, &format!("/objects/{key}"), None, &[], CALL_TIMEOUT)?;
        match resp.status().as_u16() {
            200 | 204 | 404 => Ok(()),
            it => Err(StoreError::NoResponse(format!("status {it}").into())),
        }
    }

    fn watch(&self, key: &str, after: ObjectVersion, wait: Duration) -> Result<Option<Object>, StoreError> {
        let target = format!("/objects/{key}?after={after}&wait_ms={}", wait.as_millis());
        let timeout = if wait.is_zero() { CALL_TIMEOUT } else { wait + WATCH_SLACK };
        let resp = self.call(Method::GET, &target, None, &[], timeout)?;
        match resp.status().as_u16() {
            304 | 404 => Ok(None),
            _ => read_object(resp).map(Some),
        }
    }
}

fn read_object(resp: Response) -> Result<Object, StoreError> {
    let version = read_version(&resp)?;
    let value = read_body(resp)?;
    Ok(Object { version, value })
}

fn read_version(resp: &Response) -> Result<ObjectVersion, StoreError> {
    let tag = resp.headers().get("ETag").and_then(|it| it.to_str().ok());
    tag.and_then(|it| it.trim_matches('"').parse().ok())
        .ok_or_else(|| StoreError::NoResponse(format!("status {} without a valid ETag", resp.status()).into()))
}

/// Reads the whole body; fails if it is too long or its length differs from its Content-Length.
fn read_body(resp: Response) -> Result<Vec<u8>, StoreError> {
    if !resp.is_success() {
        return Err(StoreError::NoResponse(format!("status {}", resp.status()).into()));
    }
    let expected_len: Option<usize> =
        resp.headers().get("Content-Length").and_then(|it| it.to_str().ok()?.parse().ok());
    let mut bytes = Vec::new();
    let (_, _, body) = resp.split();
    body.take(MAX_BODY_BYTES as u64 + 1)
        .read_to_end(&mut bytes)
        .map_err(|it| StoreError::NoResponse(it.to_string().into()))?;
    if bytes.len() > MAX_BODY_BYTES {
        return Err(StoreError::NoResponse("the body is too long".into()));
    }
    match expected_len {
        Some(expected_len) if bytes.len() != expected_len => {
            Err(StoreError::NoResponse("the length of the body differs from its Content-Length".into()))
        }
        _ => Ok(bytes),
    }
}

/// Classifies a failed call: only a refused connection proves that the store did not receive it.
fn to_store_error(error: attohttpc::Error) -> StoreError {
    match error.kind() {
        attohttpc::ErrorKind::Io(it) if it.kind() == io::ErrorKind::ConnectionRefused => {
            StoreError::Unreachable(error.to_string().into())
        }
        _ => StoreError::NoResponse(error.to_string().into()),
    }
}
