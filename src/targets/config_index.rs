//! The configuration as a daemon looks things up in it.
//!
//! Names of accounts stay out: with 190,000 of them, the hashes alone are what 32 MB a daemon can
//! hold beside the parts (letter 1).

use crate::{
    error::Error,
    targets::{
        model::{Class, Importance, Route, Service, TokenHash, hash_token},
        parts::{PartContent, decode},
    },
};

/// A route whose names are resolved.
#[derive(Debug, Clone)]
struct Entry {
    prefix: Box<str>,
    /// An index into the services.
    service: u32,
    /// An index into the classes.
    class: u32,
    public: bool,
}

/// Where a path leads.
#[derive(Debug, Clone, Copy)]
pub struct ResolvedRoute<'a> {
    /// The service that answers.
    pub service: &'a Service,
    /// The class of the work.
    pub class: &'a Class,
    /// Whether callers without an account may use it.
    pub public: bool,
}

/// All that a daemon looks up for a request.
#[derive(Debug, Clone, Default)]
pub struct ConfigIndex {
    /// Sorted by name.
    classes: Vec<Class>,
    /// Sorted by name.
    services: Vec<Service>,
    /// Sorted by prefix.
    routes: Vec<Entry>,
    /// Sorted.
    tokens: Vec<TokenHash>,
}

impl ConfigIndex {
    /// Builds the directory from coded parts, one after the other, so that no more than one part's
    /// names are held at a time. The part with classes and services comes first, as `split` makes it.
    pub fn build(context: &str, parts: &[impl AsRef<Vec<u8>>]) -> Result<Self, Error> {
        let mut directory = Self::default();
        for bytes in parts {
            match decode(context, bytes.as_ref())? {
                PartContent::Base { classes, services } => {
                    (directory.classes, directory.services) = (classes, services);
                }
                PartContent::Routes(routes) => directory.add_routes(context, routes)?,
                PartContent::Accounts(accounts) => directory.tokens.extend(accounts.iter().map(|it| it.token_hash)),
            }
        }
        directory.routes.sort_by(|a, b| a.prefix.cmp(&b.prefix));
        directory.tokens.sort_unstable();
        directory.routes.shrink_to_fit();
        directory.tokens.shrink_to_fit();
        Ok(directory)
    }

    fn add_routes(&mut self, context: &str, routes: Vec<Route>) -> Result<(), Error> {
        for it in routes {
            let service = self.services.binary_search_by(|s| s.name.cmp(&it.service));
            let class = self.classes.binary_search_by(|c| c.name.cmp(&it.class));
            let (Ok(service), Ok(class)) = (service, class) else {
                let message = format!("the route {} names a service or class that is not there", it.prefix);
                return Err(Error::Corrupt { context: context.into(), message: message.into() });
            };
            let (service, class) = (service as u32, class as u32);
            self.routes.push(Entry { prefix: it.prefix, service, class, public: it.public });
        }
        Ok(())
    }

    /// The route with the longest prefix of whole segments of `path`.
    pub fn route(&self, path: &str) -> Option<ResolvedRoute<'_>> {
        let mut prefix = path.trim_end_matches('/');
        loop {
            let wanted = if prefix.is_empty() { "/" } else { prefix };
            if let Ok(at) = self.routes.binary_search_by(|it| (*it.prefix).cmp(wanted)) {
                return Some(self.resolve(&self.routes[at]));
            }
            prefix = &prefix[..prefix.rfind('/')?];
        }
    }

    fn resolve(&self, entry: &Entry) -> ResolvedRoute<'_> {
        ResolvedRoute {
            service: &self.services[entry.service as usize],
            class: &self.classes[entry.class as usize],
            public: entry.public,
        }
    }

    /// The service called `name`.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let at = self.services.binary_search_by(|it| (*it.name).cmp(name)).ok()?;
        Some(&self.services[at])
    }

    /// Whether an account has this token.
    pub fn has_account(&self, token: &str) -> bool {
        self.tokens.binary_search(&hash_token(token)).is_ok()
    }

    /// The share of the classes that matter at most as much as `importance`.
    pub fn share_up_to(&self, importance: Importance) -> f64 {
        let count = self.classes.iter().filter(|it| it.importance <= importance).count();
        count as f64 / self.classes.len().max(1) as f64
    }
}
