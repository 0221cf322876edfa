//! A proxy fleet for back ends with gray failures.
//!
//! One small process runs on the VM of each endpoint. [`proxy`] is that process on the users' platform, whose names and
//! formats are in [`platform`]; [`daemon`] is the one with the project's own interface. [`decide`], [`ticket`] and
//! [`rows`] make the decisions and do no I/O.

pub mod chart;
pub mod cmd;
pub mod daemon;
pub mod decide;
pub mod document;
pub mod error;
pub mod explain;
pub mod logs;
pub mod platform;
pub mod proxy;
pub mod rows;
pub mod settings;
pub mod startup_signals;
pub mod store;
pub mod targets;
pub mod ticket;
pub mod util;
pub mod wire;
