//! Client of the platform's metadata store: reads and watches the configuration, and tracks the store's era.

use std::{borrow::Cow, cell::Cell, net::SocketAddr, time::Duration};

use hyper::{Method, StatusCode, body::Bytes, header::HeaderName};
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, PercentEncode, utf8_percent_encode};
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
/// The longest body of an answer, in bytes. A page of a listing has about one million; a watch may bring several
/// versions of the configuration.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Timeout of a call that isn't a watch; a degraded store responds up to 60 times slower than its usual 4 ms.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Counts the restores of the store from a backup. Revisions of different eras can't be compared.
pub type Era = u64;

/// Header with the era, in all responses of the store.
const STORE_ERA: HeaderName = HeaderName::from_static("store-era");

/// A revision of the store; increases with each change of any object.
pub(super) type Revision = u64;

/// Why a call to the store failed.
#[derive(Debug, Error)]
pub enum StoreFailure {
    /// The store refused the call with this HTTP status; nothing was changed.
    #[error("refused with status {0}")]
    Refused(u16),
    /// No complete response arrived; a write may have been applied, or may be applied later.
    #[error("no response: {0}")]
    NoResponse(#[from] CallError),
    /// The body of the response is invalid.
    #[error("malformed response: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// A configuration, and the store's revision at which it was read.
#[derive(Debug)]
pub struct ConfigSnapshot {
    /// The configuration, or why it is invalid; `None` if there is none, or if a watch saw no change.
    pub config: Option<Result<ParsedConfig, serde_json::Error>>,
    /// Where the next watch continues.
    pub position: WatchPosition,
}

/// A revision and the era in which it is valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchPosition {
    /// The last revision that was seen.
    pub revision: u64,
    /// The era of that revision.
    pub era: Era,
}

/// How a watch ended.
#[derive(Debug)]
pub enum WatchEnd {
    /// The wait is over or the configuration changed.
    Completed(ConfigSnapshot),
    /// The store no longer has the history since the position; the configuration must be read again.
    HistoryGone,
}

/// How current the result of a read must be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Consistency {
    /// Includes every acknowledged write.
    Linearizable,
    /// May be some seconds old; costs the store a tenth of a linearizable read.
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

/// A client of the platform's metadata store.
#[derive(Debug)]
pub struct Store {
    address: SocketAddr,
    /// The newest era seen by this process or its peers; `None` before the first response.
    era: Cell<Option<Era>>,
    /// Notified when the store has been restored from a backup.
    restored: Notify,
}

/// One page of a listing. Items are decoded one by one, so that a malformed object of another writer doesn't hide the
/// rest.
#[derive(Deserialize)]
pub(super) struct Page<'a> {
    #[serde(borrow)]
    pub(super) items: Vec<&'a RawValue>,
    #[serde(default)]
    pub(super) has_more: bool,
    /// The store's revision at the time of the listing.
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
    /// The revision of the object's last change.
    #[serde(default)]
    pub(super) revision: Revision,
}

#[derive(Deserialize)]
struct WatchResponse<'a> {
    #[serde(borrow)]
    events: Vec<&'a RawValue>,
    /// The revision from which the next watch continues.
    at_rev: Revision,
}

#[derive(Deserialize)]
struct WatchEvent<'a> {
    #[serde(borrow)]
    object: Object<'a>,
    is_deleted: bool,
}

impl Store {
    /// Creates a client of the store at `address`; opens no connection.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, era: Cell::new(None), restored: Notify::new() }
    }

    /// Returns the newest era seen by this process or its peers.
    pub fn era(&self) -> Option<Era> {
        self.era.get()
    }

    /// Records an era seen by this process or a peer. One that is newer than the last wakes
    /// [`Store::wait_for_restore`].
    pub fn note_era(&self, era: Era) {
        let before = self.era.get();
        self.era.set(before.max(Some(era)));
        if before.is_some_and(|it| it < era) {
            self.restored.notify_one();
        }
    }

    /// Waits until the store has been restored from a backup; writes since that backup may be lost.
    pub async fn wait_for_restore(&self) {
        self.restored.notified().await;
    }

    /// Returns the position at `revision` in the current era.
    fn position(&self, revision: Revision) -> WatchPosition {
        WatchPosition { revision, era: self.era.get().unwrap_or_default() }
    }

    /// Reads the configuration by a listing of its kind, which gives the store's revision as the start of a watch. The
    /// object's own revision may be older than the history that the store keeps.
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
        let text = decode_text(&body);
        let page: Page<'_> = serde_json::from_str(&text)?;
        let mut objects = page.items.iter().filter_map(|it| serde_json::from_str::<Object<'_>>(it.get()).ok());
        let main = objects.find(|it| &*it.metadata.name == CONFIG_NAME);
        Ok(ConfigSnapshot { config: main.map(|it| parse_config(it.spec.get())), position: self.position(page.at_rev) })
    }

    /// Waits for the configuration to change after `from`. Returns [`WatchEnd::HistoryGone`] if the store was restored
    /// from a backup meanwhile: it assigns revisions again, so changes may have revisions before `from`.
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
            status => return Err(StoreFailure::Refused(status.as_u16())),
        }
        let text = decode_text(&body);
        let resp: WatchResponse<'_> = serde_json::from_str(&text)?;
        let events = resp.events.iter().filter_map(|it| serde_json::from_str::<WatchEvent<'_>>(it.get()).ok());
        let is_main = |it: &WatchEvent<'_>| !it.is_deleted && &*it.object.metadata.name == CONFIG_NAME;
        let newest = events.rev().find(is_main);
        let config = newest.map(|it| parse_config(it.object.spec.get()));
        Ok(WatchEnd::Completed(ConfigSnapshot { config, position: self.position(resp.at_rev) }))
    }

    pub(super) async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), StoreFailure> {
        metrics::counter!("jayreach_store_calls_total").increment(1);
        let resp = proxy::call(self.address, method, path, body, timeout, MAX_BODY_BYTES).await?;
        let era = resp.headers().get(STORE_ERA).and_then(|it| it.to_str().ok()).and_then(|it| it.parse().ok());
        if let Some(era) = era {
            self.note_era(era);
        }
        Ok((resp.status(), resp.into_body()))
    }
}

/// Encodes the name of an object, which another writer may have chosen, for a path or a query.
pub(super) fn encode_name(name: &str) -> PercentEncode<'_> {
    const ENCODED: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~');
    utf8_percent_encode(name, ENCODED)
}

/// Decodes a response as UTF-8. Invalid bytes are replaced, so that they affect only the object that contains them.
pub(super) fn decode_text(body: &[u8]) -> Cow<'_, str> {
    String::from_utf8_lossy(body)
}
