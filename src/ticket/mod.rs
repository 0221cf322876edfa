//! At-most-once execution without a shared store: the ticket home's records and the guard's ledger. Does no I/O.
//!
//! A ticket names the daemon that issued it, so exactly one daemon decides whether its request may run.

mod dispatch_ledger;
mod home;
mod next_step;

pub use dispatch_ledger::{DispatchDecision, DispatchLedger, DispatchState};
pub use home::{BeginDecision, GuardIncarnation, RECORD_RETENTION, TicketCounts, TicketHome, TicketState};
pub use next_step::{ConnectionFailure, NextStep, step_after_connection_failure, step_after_reply, step_after_revoke};
