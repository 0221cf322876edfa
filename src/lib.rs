//! A proxy fleet for back ends with gray failures.
//!
//! Pure decisions are in [`decide`], [`ticket`] and [`rows`]; sockets of the users' platform in [`proxy`], with its
//! names and formats in [`platform`]; the program's own interface is served by [`daemon`].

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
pub mod store;
pub mod targets;
pub mod ticket;
pub mod util;
pub mod wire;
