//! The calls of the platform's metadata store.

use std::{borrow::Cow, cell::Cell, net::SocketAddr, time::Duration};

use hyper::{Method, StatusCode, body::Bytes, header::HeaderName};
use serde::Deserialize;
use serde_json::value::RawValue;
use thiserror::Error;
use tokio::sync::Notify;

use crate::{
    decide::watchers::StoreWatch,
    platform::config::{ParsedConfig, parse_config},
    proxy::{self, CallError},
};

/// The kind and name of the operator's configuration.
const CONFIG_KIND: &str = "config";
const CONFIG_NAME: &str = "main";
/// How long a call may take that isn't a watch: the platform answers in 4 ms, and up to 60 times slower when it is
/// in trouble.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Which history the store's revisions belong to; goes up by one each time it is restored from a backup.
pub type Era = u64;

/// The era, in all answers.
const ERA: HeaderName = HeaderName::from_static("store-era");

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
pub struct ConfigSnapshot {
    /// The configuration, or why it can't be used; `None` before the operator's first.
    pub config: Option<Result<ParsedConfig, serde_json::Error>>,
    /// Where a watch goes on.
    pub position: WatchPosition,
}

/// A revision, which means something in its era only.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchPosition {
    /// The revision.
    pub revision: u64,
    /// Its era.
    pub era: Era,
}

/// How a watch ended.
#[derive(Debug)]
pub enum WatchEnd {
    /// Time passed, or the configuration changed.
    Completed(ConfigSnapshot),
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
#[derive(Debug)]
pub struct Store {
    address: SocketAddr,
    /// The newest that anyone heard of; `None` before the first answer.
    era: Cell<Option<Era>>,
    /// The store was restored from a backup.
    restored: Notify,
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
        Self { address, era: Cell::new(None), restored: Notify::new() }
    }

    /// The newest era that anyone heard of.
    pub fn era(&self) -> Option<Era> {
        self.era.get()
    }

    /// Takes in an era that this process or another heard of.
    pub fn note_era(&self, era: Era) {
        let before = self.era.get();
        self.era.set(before.max(Some(era)));
        if before.is_some_and(|it| it < era) {
            self.restored.notify_one();
        }
    }

    /// Waits until the store has been restored from a backup: what was written since that may be gone.
    pub async fn wait_for_restore(&self) {
        self.restored.notified().await;
    }

    /// A position at the revision of an answer that has just come.
    fn position(&self, revision: Revision) -> WatchPosition {
        WatchPosition { revision, era: self.era.get().unwrap_or_default() }
    }

    /// Reads the configuration. Listing its kind tells the store's revision, from which a watch can
    /// go on; the object's own revision may be older than the history that the store keeps.
    ///
    /// # Errors
    ///
    /// See [`StoreFailure`].
    pub async fn read_config(&self, consistency: Consistency) -> Result<ConfigSnapshot, StoreFailure> {
        let path = format!("/objects/{CONFIG_KIND}?{}", consistency.query());
        let (status, body) = self.call(Method::GET, &path, Bytes::new(), CALL_TIMEOUT).await?;
        if status != StatusCode::OK {
            return Err(StoreFailure::Refused(status.as_u16()));
        }
        let text = text(&body);
        let page: Page<'_> = serde_json::from_str(&text)?;
        let mut objects = page.items.iter().filter_map(|it| serde_json::from_str::<Object<'_>>(it.get()).ok());
        let ours = objects.find(|it| &*it.metadata.name == CONFIG_NAME);
        Ok(ConfigSnapshot { config: ours.map(|it| parse_config(it.spec.get())), position: self.position(page.at_rev) })
    }

    /// Waits for the configuration to change after `from`. If the store was restored from a backup meanwhile, its history is
    /// another one: revisions are given out again, and some changes may stand before `from`.
    ///
    /// # Errors
    ///
    /// See [`StoreFailure`].
    pub async fn watch_config(&self, from: WatchPosition, watch: StoreWatch) -> Result<WatchEnd, StoreFailure> {
        let path = format!("/objects/{CONFIG_KIND}?watch={}&wait_ms={}", from.revision, watch.wait.as_millis());
        let (status, body) = self.call(Method::GET, &path, Bytes::new(), watch.timeout).await?;
        if from.era != self.era.get().unwrap_or_default() {
            return Ok(WatchEnd::HistoryGone);
        }
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
        Ok(WatchEnd::Completed(ConfigSnapshot { config, position: self.position(events.at_rev) }))
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
        let era = resp.headers().get(ERA).and_then(|it| it.to_str().ok()).and_then(|it| it.parse().ok());
        if let Some(it) = era {
            self.note_era(it);
        }
        Ok((resp.status(), resp.into_body()))
    }
}

/// The text of an answer. Bytes that are no text spoil the object that they stand in, not the others.
pub(super) fn text(body: &[u8]) -> Cow<'_, str> {
    String::from_utf8_lossy(body)
}
