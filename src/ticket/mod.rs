//! At most once without a store: the home's records and the guard's ledger. Pure code.
//!
//! The home is named in the ticket, so no two daemons can hold themselves to be the one that
//! decides. See docs/DESIGN.md, tickets.

mod home;
mod judge;
mod ledger;

pub use home::{Begin, GuardRef, Home, KEEP_RECORDS, Tally, TicketState};
pub use judge::{Silence, Verdict, judge_reply, judge_revoke, judge_silence};
pub use ledger::{Entry, Ledger, Opening};
