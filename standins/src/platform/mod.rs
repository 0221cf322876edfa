//! Stand-ins for the users' platform: its metadata store, endpoints and callers. The proxies between them are
//! real and run as separate processes.

pub mod caller;
pub mod endpoint;
pub mod endpoint_rules;
pub mod fixtures;
pub mod http;
pub mod site;
pub mod soak;
pub mod store;
