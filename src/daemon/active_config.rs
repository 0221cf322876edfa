//! The active configuration of this daemon, and its replacement by a newer one. Unchanged parts are reused; only
//! missing ones are fetched.

use std::sync::{Arc, Mutex, PoisonError, RwLock};

use crate::{
    error::Error,
    store::ROOT_KEY,
    targets::{ConfigIndex, ConfigRoot, Digest, PartRef, Version, decode_object, digest},
    util::lock,
};

/// A configuration with its encoded parts, which peers may request.
pub(crate) struct Config {
    pub(crate) root: ConfigRoot,
    pub(crate) root_bytes: Vec<u8>,
    pub(crate) index: ConfigIndex,
    /// In the order of the root's parts.
    parts: Vec<Arc<Vec<u8>>>,
}

impl Config {
    /// The encoded part with this digest.
    pub(crate) fn part(&self, digest: &Digest) -> Option<Arc<Vec<u8>>> {
        let at = self.root.parts.iter().position(|it| it.0 == *digest)?;
        Some(Arc::clone(&self.parts[at]))
    }
}

/// The active configuration. Its version never decreases.
#[derive(Default)]
pub(crate) struct ActiveConfig {
    current: RwLock<Option<Arc<Config>>>,
    /// Locked while a newer configuration is fetched, so that fetches don't overlap.
    fetching: Mutex<()>,
}

impl ActiveConfig {
    /// The active configuration; `None` before the first one.
    pub(crate) fn get(&self) -> Option<Arc<Config>> {
        self.current.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The version of the active configuration; 0 if there is none.
    pub(crate) fn version(&self) -> Version {
        self.get().map_or(0, |it| it.root.version)
    }

    /// Whether a fetch is under way.
    pub(crate) fn is_fetching(&self) -> bool {
        self.fetching.try_lock().is_err()
    }

    /// Activates the configuration of an encoded root and returns it; returns `None` if it isn't newer than the active
    /// one.
    ///
    /// `fetch` is called with the missing parts and returns the first of them, in their order, until all are there.
    ///
    /// # Errors
    ///
    /// If the root or a part is malformed, or `fetch` returns no valid part.
    pub(crate) fn adopt(
        &self,
        root_bytes: Vec<u8>,
        fetch: impl Fn(&[PartRef]) -> Option<Vec<Vec<u8>>>,
    ) -> Result<Option<Arc<Config>>, Error> {
        let root: ConfigRoot = decode_object(ROOT_KEY, &root_bytes)?;
        let _fetching = lock(&self.fetching);
        if root.version <= self.version() {
            return Ok(None);
        }
        let parts = self.collect_parts(&root, fetch)?;
        let index = ConfigIndex::build(ROOT_KEY, &parts)?;
        let config = Arc::new(Config { root, root_bytes, index, parts });
        self.activate(&config);
        Ok(Some(config))
    }

    fn collect_parts(
        &self,
        root: &ConfigRoot,
        fetch: impl Fn(&[PartRef]) -> Option<Vec<Vec<u8>>>,
    ) -> Result<Vec<Arc<Vec<u8>>>, Error> {
        let current = self.get();
        let local_part = |it: &PartRef| current.as_ref().and_then(|config| config.part(&it.0));
        let missing: Vec<_> = root.parts.iter().filter(|it| local_part(it).is_none()).copied().collect();
        let mut fetched = Vec::with_capacity(missing.len());
        while fetched.len() < missing.len() {
            let remaining = &missing[fetched.len()..];
            let received = fetch(remaining).unwrap_or_default();
            let valid = received.into_iter().zip(remaining).take_while(|(bytes, it)| digest(bytes) == it.0);
            let count_before = fetched.len();
            fetched.extend(valid.map(|(bytes, _)| Arc::new(bytes)));
            if fetched.len() == count_before {
                return Err(missing_part(&remaining[0].0));
            }
        }
        let mut fetched = fetched.into_iter();
        Ok(root.parts.iter().filter_map(|it| local_part(it).or_else(|| fetched.next())).collect())
    }

    fn activate(&self, config: &Arc<Config>) {
        let mut current = self.current.write().unwrap_or_else(PoisonError::into_inner);
        let old_version = current.as_ref().map_or(0, |it| it.root.version);
        assert!(old_version < config.root.version, "the version of the active configuration must increase");
        *current = Some(Arc::clone(config));
    }
}

fn missing_part(digest: &Digest) -> Error {
    let context = format!("{ROOT_KEY}, part {}", crate::util::hex(digest));
    Error::Corrupt { context: context.into(), message: "the part could not be fetched".into() }
}
