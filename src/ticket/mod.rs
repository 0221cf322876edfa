//! At most once without a store: the home's records and the guard's ledger. Pure code.
//!
//! The home is named in the ticket, so no two daemons can hold themselves to be the one that
//! decides. See docs/DESIGN.md, tickets.

mod dispatch_ledger;
mod home;
mod next_step;

pub use dispatch_ledger::{DispatchDecision, DispatchLedger, DispatchState};
pub use home::{BeginDecision, GuardIncarnation, RECORD_RETENTION, TicketCounts, TicketHome, TicketState};
pub use next_step::{ConnectionFailure, NextStep, step_after_connection_failure, step_after_reply, step_after_revoke};
