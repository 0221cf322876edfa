//! Stand-ins for the systems around jayreach (store, endpoints, callers) and the tools that measure it. Not shipped.

pub mod bench;
pub mod demo;
pub mod deployment;
pub mod endpoint;
pub mod fleet;
pub mod gray;
pub mod history;
pub mod idle;
pub mod listener;
pub mod load;
pub mod overload;
pub mod platform;
pub mod proc;
pub mod relay;
pub mod slopes;
pub mod soak;
pub mod store;
