//! The configuration this daemon has in force, and how it gets a newer one.

use std::sync::{Arc, Mutex, PoisonError, RwLock};

use crate::{
    error::Error,
    store::ROOT_KEY,
    targets::{Digest, Directory, PartRef, Root, Version, decode_object, digest},
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
pub(crate) struct ActiveConfig {
    current: RwLock<Option<Arc<Config>>>,
    /// Held while a newer one is fetched, so that one fetch at a time runs.
    fetching: Mutex<()>,
}

impl ActiveConfig {
    /// The configuration in force.
    pub(crate) fn get(&self) -> Option<Arc<Config>> {
        self.current.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Its version; zero if there is none.
    pub(crate) fn version(&self) -> Version {
        self.get().map_or(0, |it| it.root.version)
    }

    /// Whether a newer one is being fetched.
    pub(crate) fn is_fetching(&self) -> bool {
        self.fetching.try_lock().is_err()
    }

    /// Puts a root in force if it is newer, fetching the parts that are not here yet.
    ///
    /// `fetch` is asked for all missing parts and answers with the first few of them, in order.
    pub(crate) fn adopt(
        &self,
        root_bytes: Vec<u8>,
        fetch: impl Fn(&[PartRef]) -> Option<Vec<Vec<u8>>>,
    ) -> Result<Option<Arc<Config>>, Error> {
        let root: Root = decode_object(ROOT_KEY, &root_bytes)?;
        let _fetching = lock(&self.fetching);
        if root.version <= self.version() {
            return Ok(None);
        }
        let parts = self.collect_parts(&root, fetch)?;
        let directory = Directory::build(ROOT_KEY, &parts)?;
        let config = Arc::new(Config { root, root_bytes, directory, parts });
        self.activate(&config);
        Ok(Some(config))
    }

    fn collect_parts(
        &self,
        root: &Root,
        fetch: impl Fn(&[PartRef]) -> Option<Vec<Vec<u8>>>,
    ) -> Result<Vec<Arc<Vec<u8>>>, Error> {
        let current = self.get();
        let held = |it: &PartRef| current.as_ref().and_then(|config| config.part(&it.0));
        let missing: Vec<_> = root.parts.iter().filter(|it| held(it).is_none()).copied().collect();
        let mut fetched = Vec::with_capacity(missing.len());
        while fetched.len() < missing.len() {
            let wanted = &missing[fetched.len()..];
            let got = fetch(wanted).unwrap_or_default();
            let good = got.into_iter().zip(wanted).take_while(|(bytes, it)| digest(bytes) == it.0);
            let before = fetched.len();
            fetched.extend(good.map(|(bytes, _)| Arc::new(bytes)));
            if fetched.len() == before {
                return Err(missing_part(&wanted[0].0));
            }
        }
        let mut fetched = fetched.into_iter();
        Ok(root.parts.iter().filter_map(|it| held(it).or_else(|| fetched.next())).collect())
    }

    fn activate(&self, config: &Arc<Config>) {
        let mut current = self.current.write().unwrap_or_else(PoisonError::into_inner);
        let before = current.as_ref().map_or(0, |it| it.root.version);
        assert!(before < config.root.version, "a configuration never goes back");
        *current = Some(Arc::clone(config));
    }
}

fn missing_part(digest: &Digest) -> Error {
    let context = format!("{ROOT_KEY}, part {}", crate::util::hex(digest));
    Error::Corrupt { context: context.into(), message: "nobody had this part".into() }
}
