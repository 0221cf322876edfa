//! Stand-ins that speak the users' platform's form: its store, its endpoints and its callers, with
//! real proxies as separate processes between them.

pub mod caller;
pub mod endpoint;
pub mod fixtures;
pub mod http;
pub mod site;
pub mod soak;
pub mod store;
