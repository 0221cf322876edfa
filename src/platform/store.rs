//! The calls of the platform's metadata store.

use std::{borrow::Cow, net::SocketAddr, time::Duration};

use hyper::{Method, StatusCode, body::Bytes};
use serde::{Deserialize, Serialize};
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
/// The kind of our own objects: one for each proxy, so that proxies find each other.
const PRESENCE_KIND: &str = "jayreach-proxies";
/// How long a call may take that isn't a watch: the platform answers in 4 ms, and up to 60 times slower when it is
/// in trouble.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

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

/// Where a proxy can be reached.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PresenceObject {
    /// The proxy's name.
    pub name: Box<str>,
    /// Where other proxies connect to it.
    pub peers: SocketAddr,
    /// Its data centre; empty in objects of earlier releases, until its proxy says it.
    #[serde(default)]
    pub data_centre: Box<str>,
    /// The service of its VM; empty as above.
    #[serde(default)]
    pub service: Box<str>,
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
    fn query(self) -> &'static str {
        match self {
            Self::Linearizable => "allow_stale=0",
            Self::Stale => "allow_stale=1",
        }
    }
}

/// The proxies that said where they are.
#[derive(Debug, Default)]
pub struct PresenceList {
    /// What is understood.
    pub presences: Vec<PresenceObject>,
    /// What is not: someone else's, or broken.
    pub skipped: Vec<SkippedObject>,
}

/// An object of the store that can't be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SkippedObject {
    /// Its name; empty if that can't be read.
    pub name: Box<str>,
    /// What is wrong with it.
    pub why: Box<str>,
}

/// The store, at its address.
#[derive(Debug, Clone, Copy)]
pub struct Store {
    address: SocketAddr,
}

/// A part of a listing. Each item is decoded by itself: other writers' objects must not hide ours.
#[derive(Deserialize)]
struct Page<'a> {
    #[serde(borrow)]
    items: Vec<&'a RawValue>,
    #[serde(default)]
    has_more: bool,
    /// The store's revision at which it was listed.
    at_rev: Revision,
}

#[derive(Deserialize)]
struct Object<'a> {
    metadata: Metadata,
    #[serde(borrow)]
    spec: &'a RawValue,
}

#[derive(Deserialize)]
struct Metadata {
    name: Box<str>,
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

#[derive(Serialize)]
struct NewObject<'a, T> {
    metadata: NewMetadata<'a>,
    spec: &'a T,
}

#[derive(Serialize)]
struct NewMetadata<'a> {
    name: &'a str,
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

    /// Lists the proxies that said where they are, this one included.
    ///
    /// # Errors
    ///
    /// See [`StoreFailure`].
    pub async fn presences(&self, consistency: Consistency) -> Result<PresenceList, StoreFailure> {
        let mut list = PresenceList::default();
        let mut after: Option<Box<str>> = None;
        loop {
            let from = after.as_ref().map_or_else(String::new, |it| format!("&after={it}"));
            let path = format!("/objects/{PRESENCE_KIND}?{}{from}", consistency.query());
            let (status, body) = self.call(Method::GET, &path, Bytes::new(), CALL_TIMEOUT).await?;
            if status != StatusCode::OK {
                return Err(StoreFailure::Refused(status.as_u16()));
            }
            let text = text(&body);
            let page: Page<'_> = serde_json::from_str(&text)?;
            let mut last = None;
            for it in &page.items {
                match presence(it.get()) {
                    Ok(it) => {
                        last = Some(it.name.clone());
                        list.presences.push(it);
                    }
                    Err(it) => {
                        last = Some(it.name.clone()).filter(|it| !it.is_empty()).or(last);
                        list.skipped.push(it);
                    }
                }
            }
            if !page.has_more || last <= after {
                return Ok(list);
            }
            after = last;
        }
    }

    /// Says where a proxy is. An object that is there already is replaced.
    ///
    /// # Errors
    ///
    /// See [`StoreFailure`].
    pub async fn put_presence(&self, presence: &PresenceObject) -> Result<(), StoreFailure> {
        let object = NewObject { metadata: NewMetadata { name: &presence.name }, spec: presence };
        let body = Bytes::from(serde_json::to_vec(&object)?);
        let kind = format!("/objects/{PRESENCE_KIND}");
        let (status, _) = self.call(Method::POST, &kind, body.clone(), CALL_TIMEOUT).await?;
        if status != StatusCode::CONFLICT {
            return done(status);
        }
        let path = format!("{kind}/{}", presence.name);
        let (status, _) = self.call(Method::PUT, &path, body, CALL_TIMEOUT).await?;
        done(status)
    }

    /// Takes back where a proxy is.
    ///
    /// # Errors
    ///
    /// See [`StoreFailure`].
    pub async fn remove_presence(&self, name: &str) -> Result<(), StoreFailure> {
        let path = format!("/objects/{PRESENCE_KIND}/{name}");
        let (status, _) = self.call(Method::DELETE, &path, Bytes::new(), CALL_TIMEOUT).await?;
        if status == StatusCode::NOT_FOUND { Ok(()) } else { done(status) }
    }

    async fn call(
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
fn text(body: &[u8]) -> Cow<'_, str> {
    String::from_utf8_lossy(body)
}

/// Decodes a presence object, which must be under the name of the proxy that it tells of.
fn presence(raw: &str) -> Result<PresenceObject, SkippedObject> {
    let skipped = |name: &str, why: String| SkippedObject { name: name.into(), why: why.into() };
    let object: Object<'_> = serde_json::from_str(raw).map_err(|it| skipped("", it.to_string()))?;
    let name = &object.metadata.name;
    let presence: PresenceObject =
        serde_json::from_str(object.spec.get()).map_err(|it| skipped(name, it.to_string()))?;
    if presence.name != *name {
        return Err(skipped(name, format!("it tells of `{}`", presence.name)));
    }
    Ok(presence)
}

fn done(status: StatusCode) -> Result<(), StoreFailure> {
    if status.is_success() { Ok(()) } else { Err(StoreFailure::Refused(status.as_u16())) }
}
