//! Membership: one versioned row a daemon or proxy, spread by push and by anti-entropy.

mod exchange;
mod row;
mod table;

pub use exchange::{BucketStamps, Compare, Compared, Deliver, Delivered, Push};
pub use row::{DaemonId, EndpointId, EndpointRow, EndpointState, Incarnation, Row, Stamp};
pub use table::{BUCKETS, DaemonKey, Entry, Merge, OwnClaims, Table, daemon_key};
