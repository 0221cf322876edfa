//! The calls of the platform's metadata store.

use std::{net::SocketAddr, time::Duration};

use hyper::{Method, StatusCode, body::Bytes};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use thiserror::Error;

use crate::{
    platform::config::parse_config,
    proxy::{self, CallError, routes::Config},
};

/// The kind and name of the operator's configuration.
const CONFIG_KIND: &str = "config";
const CONFIG_NAME: &str = "main";
/// The kind of our own objects: one for each proxy, so that proxies find each other.
const PRESENCE_KIND: &str = "jayreach-proxies";
/// How long a call may take, beside the time a watch asks to wait: the platform answers in 4 ms,
/// and up to 60 times slower when it is in trouble.
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
    /// The configuration; `None` before the operator's first.
    pub config: Option<Config>,
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
}

/// The store, at its address.
#[derive(Debug, Clone, Copy)]
pub struct Store {
    address: SocketAddr,
}

#[derive(Deserialize)]
struct Page<'a> {
    #[serde(borrow)]
    items: Vec<Object<'a>>,
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
    events: Vec<Event<'a>>,
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
    pub async fn config(&self) -> Result<ConfigObject, StoreFailure> {
        let (status, body) =
            self.call(Method::GET, &format!("/objects/{CONFIG_KIND}"), Bytes::new(), Duration::ZERO).await?;
        if status != StatusCode::OK {
            return Err(StoreFailure::Refused(status.as_u16()));
        }
        let page: Page<'_> = serde_json::from_slice(&body)?;
        let ours = page.items.iter().find(|it| &*it.metadata.name == CONFIG_NAME);
        let config = ours.map(|it| parse_config(it.spec.get().as_bytes())).transpose()?;
        Ok(ConfigObject { config, revision: page.at_rev })
    }

    /// Waits up to `wait` for the configuration to change after `revision`.
    ///
    /// # Errors
    ///
    /// See [`StoreFailure`].
    pub async fn watch_config(&self, revision: Revision, wait: Duration) -> Result<WatchEnd, StoreFailure> {
        let path = format!("/objects/{CONFIG_KIND}?watch={revision}&wait_ms={}", wait.as_millis());
        let (status, body) = self.call(Method::GET, &path, Bytes::new(), wait).await?;
        match status {
            StatusCode::OK => (),
            StatusCode::GONE => return Ok(WatchEnd::HistoryGone),
            it => return Err(StoreFailure::Refused(it.as_u16())),
        }
        let events: Events<'_> = serde_json::from_slice(&body)?;
        let ours = |it: &&Event<'_>| !it.is_deleted && &*it.object.metadata.name == CONFIG_NAME;
        let config = match events.events.iter().rfind(ours) {
            Some(it) => Some(parse_config(it.object.spec.get().as_bytes())?),
            None => None,
        };
        Ok(WatchEnd::Went(ConfigObject { config, revision: events.at_rev }))
    }

    /// Lists the proxies that said where they are, this one included.
    ///
    /// # Errors
    ///
    /// See [`StoreFailure`].
    pub async fn presences(&self) -> Result<Vec<PresenceObject>, StoreFailure> {
        let mut list: Vec<PresenceObject> = Vec::new();
        let mut path = format!("/objects/{PRESENCE_KIND}");
        loop {
            let (status, body) = self.call(Method::GET, &path, Bytes::new(), Duration::ZERO).await?;
            if status != StatusCode::OK {
                return Err(StoreFailure::Refused(status.as_u16()));
            }
            let page: Page<'_> = serde_json::from_slice(&body)?;
            for it in &page.items {
                list.push(serde_json::from_str(it.spec.get())?);
            }
            match page.items.last() {
                Some(last) if page.has_more => path = format!("/objects/{PRESENCE_KIND}?after={}", last.metadata.name),
                _ => return Ok(list),
            }
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
        let (status, _) = self.call(Method::POST, &kind, body.clone(), Duration::ZERO).await?;
        if status != StatusCode::CONFLICT {
            return done(status);
        }
        let path = format!("{kind}/{}", presence.name);
        let (status, _) = self.call(Method::PUT, &path, body, Duration::ZERO).await?;
        done(status)
    }

    /// Takes back where a proxy is.
    ///
    /// # Errors
    ///
    /// See [`StoreFailure`].
    pub async fn remove_presence(&self, name: &str) -> Result<(), StoreFailure> {
        let path = format!("/objects/{PRESENCE_KIND}/{name}");
        let (status, _) = self.call(Method::DELETE, &path, Bytes::new(), Duration::ZERO).await?;
        if status == StatusCode::NOT_FOUND { Ok(()) } else { done(status) }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        wait: Duration,
    ) -> Result<(StatusCode, Bytes), StoreFailure> {
        metrics::counter!("jayreach_store_calls_total").increment(1);
        let resp = proxy::call(self.address, method, path, body, CALL_TIMEOUT + wait).await?;
        Ok((resp.status(), resp.into_body()))
    }
}

fn done(status: StatusCode) -> Result<(), StoreFailure> {
    if status.is_success() { Ok(()) } else { Err(StoreFailure::Refused(status.as_u16())) }
}
