//! The configuration this daemon has in force, and how it gets a newer one.

use std::sync::{Arc, Mutex, PoisonError, RwLock};

use crate::{
    error::Error,
    platform::ROOT_KEY,
    targets::{Digest, Directory, Root, Version, decode_object, digest},
    util::lock,
};

/// A configuration with its coded parts, which peers may ask for.
pub(crate) struct Config {
    pub(crate) root: Root,
    pub(crate) root_bytes: Vec<u8>,
    pub(crate) directory: Directory,
    /// In the order of the root's parts.
    parts: Vec<Arc<Vec<u8>>>,
}

impl Config {
    /// The bytes of a part.
    pub(crate) fn part(&self, digest: &Digest) -> Option<Arc<Vec<u8>>> {
        let at = self.root.parts.iter().position(|it| it.0 == *digest)?;
        Some(Arc::clone(&self.parts[at]))
    }
}

/// The configuration in force; its version only goes up.
#[derive(Default)]
pub(crate) struct ConfigCell {
    current: RwLock<Option<Arc<Config>>>,
    /// Held while a newer one is fetched, so that one fetch at a time runs.
    fetching: Mutex<()>,
}

impl ConfigCell {
    /// The configuration in force.
    pub(crate) fn get(&self) -> Option<Arc<Config>> {
        self.current.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Its version; zero if there is none.
    pub(crate) fn version(&self) -> Version {
        self.get().map_or(0, |it| it.root.version)
    }

    /// Puts a root in force if it is newer, fetching the parts that are not here yet.
    pub(crate) fn adopt(
        &self,
        root_bytes: Vec<u8>,
        fetch: impl Fn(&Digest) -> Option<Vec<u8>>,
    ) -> Result<Option<Arc<Config>>, Error> {
        let root: Root = decode_object(ROOT_KEY, &root_bytes)?;
        let _fetching = lock(&self.fetching);
        let current = self.get();
        if root.version <= self.version() {
            return Ok(None);
        }
        let mut parts = Vec::with_capacity(root.parts.len());
        for it in &root.parts {
            let held = current.as_ref().and_then(|config| config.part(&it.0));
            let part = held.or_else(|| fetch(&it.0).filter(|bytes| digest(bytes) == it.0).map(Arc::new));
            parts.push(part.ok_or_else(|| missing(&it.0))?);
        }
        let directory = Directory::build(ROOT_KEY, &parts)?;
        let config = Arc::new(Config { root, root_bytes, directory, parts });
        self.put_in_force(&config);
        Ok(Some(config))
    }

    fn put_in_force(&self, config: &Arc<Config>) {
        let mut current = self.current.write().unwrap_or_else(PoisonError::into_inner);
        let before = current.as_ref().map_or(0, |it| it.root.version);
        assert!(before < config.root.version, "a configuration never goes back");
        *current = Some(Arc::clone(config));
    }
}

fn missing(digest: &Digest) -> Error {
    let context = format!("{ROOT_KEY}, part {}", crate::util::hex(digest));
    Error::Corrupt { context: context.into(), message: "nobody had this part".into() }
}
