//! The calls of the platform's metadata store.

use std::{borrow::Cow, net::SocketAddr, time::Duration};

use hyper::{Method, StatusCode, body::Bytes};
use serde::Deserialize;
use serde_json::value::RawValue;
use thiserror::Error;

use crate::{
    decide::watchers::Watch,
    platform::config::{ParsedConfig, parse_config},
    proxy::{self, CallError},
};

/// The kind and name of the operator's configuration.
const CONFIG_KIND: &str = "config";
const CONFIG_NAME: &str = "main";
/// How long a call may take that isn't a watch: the platform answers in 4 ms, and up to 60 times slower when it is
/// in trouble.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A revision of the store; goes up with each change of any object.
pub(super) type Revision = u64;

/// Why a call brought no result.
#[derive(Debug, Error)]
pub enum StoreFailure {
    /// The store refused the call; nothing was done.
    #[error("refused with status {0}")]
    Refused(u16),
    /// No whole answer came; a write may have been done, or may be done later.
    #[error("no answer: {0}")]
    NoAnswer(#[from] CallError),
    /// The answer can't be understood.
    #[error("not understood: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// The configuration with the store's revision at which it was read.
#[derive(Debug)]
pub struct ConfigObject {
    /// The configuration, or why it can't be used; `None` before the operator's first.
    pub config: Option<Result<ParsedConfig, serde_json::Error>>,
    /// Where a watch goes on.
    pub revision: Revision,
}

/// How a watch ended.
#[derive(Debug)]
pub enum WatchEnd {
    /// Time passed, or the configuration changed.
    Went(ConfigObject),
    /// The history is gone: read anew.
    HistoryGone,
}

/// How new what is read must be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Consistency {
    /// As new as all that was acknowledged.
    Linearizable,
    /// Some seconds old perhaps, at a tenth of the price.
    Stale,
}

impl Consistency {
    pub(super) fn query(self) -> &'static str {
        match self {
            Self::Linearizable => "allow_stale=0",
            Self::Stale => "allow_stale=1",
        }
    }
}

/// The store, at its address.
#[derive(Debug, Clone, Copy)]
pub struct Store {
    address: SocketAddr,
}

/// A part of a listing. Each item is decoded by itself: other writers' objects must not hide ours.
#[derive(Deserialize)]
pub(super) struct Page<'a> {
    #[serde(borrow)]
    pub(super) items: Vec<&'a RawValue>,
    #[serde(default)]
    pub(super) has_more: bool,
    /// The store's revision at which it was listed.
    at_rev: Revision,
}

#[derive(Deserialize)]
pub(super) struct Object<'a> {
    pub(super) metadata: Metadata,
    #[serde(borrow)]
    pub(super) spec: &'a RawValue,
}

#[derive(Deserialize)]
pub(super) struct Metadata {
    pub(super) name: Box<str>,
    /// Of the object's last change.
    #[serde(default)]
    pub(super) revision: Revision,
}

#[derive(Deserialize)]
struct Events<'a> {
    #[serde(borrow)]
    events: Vec<&'a RawValue>,
    /// Where the next watch goes on.
    at_rev: Revision,
}

#[derive(Deserialize)]
struct Event<'a> {
    #[serde(borrow)]
    object: Object<'a>,
    is_deleted: bool,
}

impl Store {
    /// The store at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    /// Reads the configuration. Listing its kind tells the store's revision, from which a watch can
    /// go on; the object's own revision may be older than the history that the store keeps.
    ///
    /// # Errors
    ///
    /// See [`StoreFailure`].
    pub async fn config(&self, consistency: Consistency) -> Result<ConfigObject, StoreFailure> {
        let path = format!("/objects/{CONFIG_KIND}?{}", consistency.query());
        let (status, body) = self.call(Method::GET, &path, Bytes::new(), CALL_TIMEOUT).await?;
        if status != StatusCode::OK {
            return Err(StoreFailure::Refused(status.as_u16()));
        }
        let text = text(&body);
        let page: Page<'_> = serde_json::from_str(&text)?;
        let mut objects = page.items.iter().filter_map(|it| serde_json::from_str::<Object<'_>>(it.get()).ok());
        let ours = objects.find(|it| &*it.metadata.name == CONFIG_NAME);
        Ok(ConfigObject { config: ours.map(|it| parse_config(it.spec.get())), revision: page.at_rev })
    }

    /// Waits for the configuration to change after `revision`.
    ///
    /// # Errors
    ///
    /// See [`StoreFailure`].
    pub async fn watch_config(&self, revision: Revision, watch: Watch) -> Result<WatchEnd, StoreFailure> {
        let path = format!("/objects/{CONFIG_KIND}?watch={revision}&wait_ms={}", watch.wait.as_millis());
        let (status, body) = self.call(Method::GET, &path, Bytes::new(), watch.limit).await?;
        match status {
            StatusCode::OK => (),
            StatusCode::GONE => return Ok(WatchEnd::HistoryGone),
            it => return Err(StoreFailure::Refused(it.as_u16())),
        }
        let text = text(&body);
        let events: Events<'_> = serde_json::from_str(&text)?;
        let decoded = events.events.iter().filter_map(|it| serde_json::from_str::<Event<'_>>(it.get()).ok());
        let ours = |it: &Event<'_>| !it.is_deleted && &*it.object.metadata.name == CONFIG_NAME;
        let newest = decoded.rev().find(ours);
        let config = newest.map(|it| parse_config(it.object.spec.get()));
        Ok(WatchEnd::Went(ConfigObject { config, revision: events.at_rev }))
    }

    pub(super) async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), StoreFailure> {
        metrics::counter!("jayreach_store_calls_total").increment(1);
        let resp = proxy::call(self.address, method, path, body, limit).await?;
        Ok((resp.status(), resp.into_body()))
    }
}

/// The text of an answer. Bytes that are no text spoil the object that they stand in, not the others.
pub(super) fn text(body: &[u8]) -> Cow<'_, str> {
    String::from_utf8_lossy(body)
}
