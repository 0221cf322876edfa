//! The configuration as a daemon looks things up in it.
//!
//! Names of accounts stay out: with 190,000 of them, the hashes alone are what 32 MB a daemon can
//! hold beside the parts (letter 1).

use crate::{
    error::Error,
    targets::{
        model::{Class, Importance, Service, TokenHash, hash_token},
        parts::join,
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
pub struct Found<'a> {
    /// The service that answers.
    pub service: &'a Service,
    /// The class of the work.
    pub class: &'a Class,
    /// Whether callers without an account may use it.
    pub public: bool,
}

/// All that a daemon looks up for a request.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    /// Sorted by name.
    classes: Vec<Class>,
    /// Sorted by name.
    services: Vec<Service>,
    /// Sorted by prefix.
    routes: Vec<Entry>,
    /// Sorted.
    tokens: Vec<TokenHash>,
}

impl Directory {
    /// Builds the directory from coded parts.
    pub fn build(context: &str, parts: &[impl AsRef<Vec<u8>>]) -> Result<Self, Error> {
        let targets = join(context, parts)?;
        let index = |found: Option<usize>, name: &str| {
            found.map(|it| it as u32).ok_or_else(|| Error::Corrupt {
                context: context.into(),
                message: format!("a route names {name}, which is not there").into(),
            })
        };
        let mut routes = Vec::with_capacity(targets.routes.len());
        for it in targets.routes {
            let service = targets.services.binary_search_by(|s| s.name.cmp(&it.service)).ok();
            let class = targets.classes.binary_search_by(|c| c.name.cmp(&it.class)).ok();
            let (service, class) = (index(service, &it.service)?, index(class, &it.class)?);
            routes.push(Entry { prefix: it.prefix, service, class, public: it.public });
        }
        let tokens = targets.accounts.iter().map(|it| it.token_hash).collect();
        Ok(Self { classes: targets.classes, services: targets.services, routes, tokens })
    }

    /// The route with the longest prefix of whole segments of `path`.
    pub fn route(&self, path: &str) -> Option<Found<'_>> {
        let mut prefix = path.trim_end_matches('/');
        loop {
            let wanted = if prefix.is_empty() { "/" } else { prefix };
            if let Ok(at) = self.routes.binary_search_by(|it| (*it.prefix).cmp(wanted)) {
                return Some(self.resolve(&self.routes[at]));
            }
            prefix = &prefix[..prefix.rfind('/')?];
        }
    }

    fn resolve(&self, entry: &Entry) -> Found<'_> {
        Found {
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
