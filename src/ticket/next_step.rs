//! Decides how a ticket home proceeds after a guard's reply or a connection failure.

use crate::wire::{Outcome, Refusal, RevokeReply, UnknownReason};

/// What the ticket home does next about an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NextStep {
    /// The run has ended with this outcome.
    Finish(Outcome),
    /// The attempt did not run and never will: another guard may be tried.
    TryAnotherGuard(Refusal),
    /// Ask the same guard how the attempt ended.
    QueryAttempt,
}

/// How a call to a guard failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionFailure {
    /// The connection was refused: the guard did not receive the call.
    Refused,
    /// This daemon has no free local port for a connection: nothing was sent.
    NoLocalPort,
    /// The connection was lost or timed out: the guard may have received the call.
    Lost,
}

/// The next step after a guard's reply to a dispatch.
pub fn step_after_reply(outcome: Outcome) -> NextStep {
    match outcome {
        Outcome::NotRun(refusal) => NextStep::TryAnotherGuard(refusal),
        Outcome::Unknown(UnknownReason::StillRunning) => NextStep::QueryAttempt,
        Outcome::Done(_) | Outcome::Unknown(_) => NextStep::Finish(outcome),
    }
}

/// The next step after a dispatch without a reply. Another guard may be tried only if nothing was delivered.
pub fn step_after_connection_failure(failure: ConnectionFailure) -> NextStep {
    match failure {
        ConnectionFailure::Refused => NextStep::TryAnotherGuard(Refusal::GuardUnreachable),
        ConnectionFailure::NoLocalPort => NextStep::TryAnotherGuard(Refusal::Overloaded),
        ConnectionFailure::Lost => NextStep::QueryAttempt,
    }
}

/// The next step after a guard's reply to a revoke.
pub fn step_after_revoke(reply: RevokeReply) -> NextStep {
    match reply {
        RevokeReply::Ended(outcome) => NextStep::Finish(outcome),
        RevokeReply::Running => NextStep::QueryAttempt,
        RevokeReply::Revoked => NextStep::TryAnotherGuard(Refusal::Revoked),
        RevokeReply::GuardRestarted => NextStep::Finish(Outcome::Unknown(UnknownReason::GuardStateLost)),
    }
}
