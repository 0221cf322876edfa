//! Membership: one versioned row a daemon or proxy, spread by push and by anti-entropy.

mod exchange;
mod row;
mod table;

pub use exchange::{BucketStamps, CompareRequest, CompareResponse, DeliverRequest, DeliverResponse, PushRequest};
pub use row::{DaemonId, EndpointId, EndpointRow, EndpointState, Incarnation, Row, Stamp};
pub use table::{BUCKETS, HigherIncarnationPolicy, MemberKey, MemberTable, MergeResult, TableEntry, member_key};
