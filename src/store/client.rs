//! The platform's store over HTTP.

use std::{io, net::SocketAddr, time::Duration};

use attohttpc::{Method, Response};

use crate::store::{Object, ObjectStore, ObjectVersion, StoreError, WriteCondition};

/// How long a call may take that isn't a watch.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// How much later than asked a watch may end before its connection is held to be silent: the store answers in
/// milliseconds, and one lost packet costs a second.
const WATCH_SLACK: Duration = Duration::from_millis(1_200);
/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A client of the store; each call opens its own connection, so a silent one harms no other call.
pub struct StoreClient {
    base: Box<str>,
}

impl StoreClient {
    /// A client of the store at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { base: format!("http://{address}").into() }
    }

    fn call(
        &self,
        method: Method,
        target: &str,
        condition: Option<(&'static str, String)>,
        body: &[u8],
        limit: Duration,
    ) -> Result<Response, StoreError> {
        let url = format!("{}{target}", self.base);
        let mut req = attohttpc::RequestBuilder::new(method, url)
            .connect_timeout(CONNECT_TIMEOUT)
            .read_timeout(limit)
            .timeout(limit)
            .follow_redirects(false);
        if let Some((name, value)) = condition {
            req = req.header(name, value);
        }
        req.bytes(body).send().map_err(failed)
    }
}

impl ObjectStore for StoreClient {
    fn get(&self, key: &str) -> Result<Option<Object>, StoreError> {
        let resp = self.call(Method::GET, &format!("/objects/{key}"), None, &[], CALL_TIMEOUT)?;
        match resp.status().as_u16() {
            404 => Ok(None),
            _ => object(resp).map(Some),
        }
    }

    fn list(&self, prefix: &str) -> Result<Vec<Box<str>>, StoreError> {
        let resp = self.call(Method::GET, &format!("/objects?prefix={prefix}"), None, &[], CALL_TIMEOUT)?;
        let bytes = body(resp)?;
        serde_json::from_slice(&bytes).map_err(|it| StoreError::NoResponse(it.to_string().into()))
    }

    fn put(&self, key: &str, value: &[u8], expect: WriteCondition) -> Result<ObjectVersion, StoreError> {
        let condition = match expect {
            WriteCondition::Absent => Some(("If-None-Match", "*".to_owned())),
            WriteCondition::Version(it) => Some(("If-Match", format!("\"{it}\""))),
            WriteCondition::Unconditional => None,
        };
        let resp = self.call(Method::PUT, &format!("/objects/{key}"), condition, value, CALL_TIMEOUT)?;
        match resp.status().as_u16() {
            200 | 201 => version(&resp),
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
        let limit = if wait.is_zero() { CALL_TIMEOUT } else { wait + WATCH_SLACK };
        let resp = self.call(Method::GET, &target, None, &[], limit)?;
        match resp.status().as_u16() {
            304 | 404 => Ok(None),
            _ => object(resp).map(Some),
        }
    }
}

fn object(resp: Response) -> Result<Object, StoreError> {
    let version = version(&resp)?;
    let value = body(resp)?;
    Ok(Object { version, value })
}

fn version(resp: &Response) -> Result<ObjectVersion, StoreError> {
    let tag = resp.headers().get("ETag").and_then(|it| it.to_str().ok());
    tag.and_then(|it| it.trim_matches('"').parse().ok())
        .ok_or_else(|| StoreError::NoResponse(format!("status {} without a version", resp.status()).into()))
}

/// The whole body; one that is shorter than its stated length is an error.
fn body(resp: Response) -> Result<Vec<u8>, StoreError> {
    if !resp.is_success() {
        return Err(StoreError::NoResponse(format!("status {}", resp.status()).into()));
    }
    let length: Option<usize> = resp.headers().get("Content-Length").and_then(|it| it.to_str().ok()?.parse().ok());
    let bytes = resp.bytes().map_err(failed)?;
    match length {
        Some(length) if bytes.len() != length => Err(StoreError::NoResponse("the body was cut short".into())),
        _ => Ok(bytes),
    }
}

/// Only a refused connection proves that the store never saw the call.
fn failed(error: attohttpc::Error) -> StoreError {
    match error.kind() {
        attohttpc::ErrorKind::Io(it) if it.kind() == io::ErrorKind::ConnectionRefused => {
            StoreError::Unreachable(error.to_string().into())
        }
        _ => StoreError::NoResponse(error.to_string().into()),
    }
}
