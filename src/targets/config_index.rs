//! The active configuration, indexed for the lookups that a daemon makes for each request.
//!
//! To limit memory, only the token hashes of accounts are kept and not their names.

use crate::{
    error::Error,
    targets::{
        model::{Class, Importance, Route, Service, TokenHash, hash_token},
        parts::{PartContent, decode},
    },
};

/// A route with its service and class as indices.
#[derive(Debug, Clone)]
struct IndexedRoute {
    prefix: Box<str>,
    /// An index into the services.
    service: u32,
    /// An index into the classes.
    class: u32,
    public: bool,
}

/// The service and class to which a path is routed.
#[derive(Debug, Clone, Copy)]
pub struct ResolvedRoute<'a> {
    /// The service that handles the request.
    pub service: &'a Service,
    /// The class of the request.
    pub class: &'a Class,
    /// Whether callers without an account may use the route.
    pub public: bool,
}

/// The classes, services, routes and token hashes of a configuration, sorted for binary search.
#[derive(Debug, Clone, Default)]
pub struct ConfigIndex {
    /// Sorted by name.
    classes: Vec<Class>,
    /// Sorted by name.
    services: Vec<Service>,
    /// Sorted by prefix.
    routes: Vec<IndexedRoute>,
    /// Sorted.
    tokens: Vec<TokenHash>,
}

impl ConfigIndex {
    /// Builds the index from encoded parts; the part with classes and services comes first, as in `split_targets`.
    /// Decodes one part at a time to limit memory.
    ///
    /// Fails if a part cannot be decoded or a route refers to an unknown service or class; `context` names the
    /// configuration in the error.
    pub fn build(context: &str, parts: &[impl AsRef<Vec<u8>>]) -> Result<Self, Error> {
        let mut index = Self::default();
        for bytes in parts {
            match decode(context, bytes.as_ref())? {
                PartContent::Base { classes, services } => {
                    (index.classes, index.services) = (classes, services);
                }
                PartContent::Routes(routes) => index.add_routes(context, routes)?,
                PartContent::Accounts(accounts) => index.tokens.extend(accounts.iter().map(|it| it.token_hash)),
            }
        }
        index.routes.sort_by(|a, b| a.prefix.cmp(&b.prefix));
        index.tokens.sort_unstable();
        index.routes.shrink_to_fit();
        index.tokens.shrink_to_fit();
        Ok(index)
    }

    fn add_routes(&mut self, context: &str, routes: Vec<Route>) -> Result<(), Error> {
        for it in routes {
            let service = self.services.binary_search_by(|s| s.name.cmp(&it.service));
            let class = self.classes.binary_search_by(|c| c.name.cmp(&it.class));
            let (Ok(service), Ok(class)) = (service, class) else {
                let message = format!("the route {} refers to a service or class that does not exist", it.prefix);
                return Err(Error::Corrupt { context: context.into(), message: message.into() });
            };
            let (service, class) = (service as u32, class as u32);
            self.routes.push(IndexedRoute { prefix: it.prefix, service, class, public: it.public });
        }
        Ok(())
    }

    /// Returns the route whose prefix matches the most whole segments of `path`.
    pub fn route(&self, path: &str) -> Option<ResolvedRoute<'_>> {
        let mut prefix = path.trim_end_matches('/');
        loop {
            let key = if prefix.is_empty() { "/" } else { prefix };
            if let Ok(at) = self.routes.binary_search_by(|it| (*it.prefix).cmp(key)) {
                return Some(self.resolve(&self.routes[at]));
            }
            prefix = &prefix[..prefix.rfind('/')?];
        }
    }

    fn resolve(&self, route: &IndexedRoute) -> ResolvedRoute<'_> {
        ResolvedRoute {
            service: &self.services[route.service as usize],
            class: &self.classes[route.class as usize],
            public: route.public,
        }
    }

    /// The service called `name`.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let at = self.services.binary_search_by(|it| (*it.name).cmp(name)).ok()?;
        Some(&self.services[at])
    }

    /// Whether `token` is the bearer token of an account.
    pub fn has_account(&self, token: &str) -> bool {
        self.tokens.binary_search(&hash_token(token)).is_ok()
    }

    /// The fraction of classes whose importance is at most `importance`.
    pub fn class_fraction_up_to(&self, importance: Importance) -> f64 {
        let count = self.classes.iter().filter(|it| it.importance <= importance).count();
        count as f64 / self.classes.len().max(1) as f64
    }
}
