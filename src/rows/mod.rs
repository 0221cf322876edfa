//! Membership: one versioned row for each daemon or proxy, spread by pushes and by anti-entropy exchanges.

mod exchange;
mod row;
mod table;

pub use exchange::{BucketStamps, CompareRequest, CompareResponse, DeliverRequest, DeliverResponse, PushRequest};
pub use row::{DaemonId, EndpointId, EndpointRow, EndpointState, Incarnation, Row, Stamp};
pub use table::{BUCKETS, HigherIncarnationPolicy, MemberKey, MemberTable, MergeResult, TableEntry, member_key};
