//! What a home concludes from a guard's words and from its silence.

use crate::wire::{Doubt, Outcome, Refusal, RevokeReply};

/// What the home does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NextStep {
    /// The run has ended like this.
    Finish(Outcome),
    /// The attempt did not run and will not: another guard may be tried.
    TryAnotherGuard(Refusal),
    /// Ask the same guard what became of the attempt.
    QueryAttempt,
}

/// How a call to a guard went wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionFailure {
    /// The connection was refused: the guard never saw the call.
    Refused,
    /// This daemon has no port left for a connection; nothing was sent.
    NoLocalPort,
    /// The call may have reached the guard.
    Lost,
}

/// Judges a guard's answer to a dispatch.
pub fn step_after_reply(outcome: Outcome) -> NextStep {
    match outcome {
        Outcome::NotRun(refusal) => NextStep::TryAnotherGuard(refusal),
        Outcome::Unknown(Doubt::StillRunning) => NextStep::QueryAttempt,
        Outcome::Done(_) | Outcome::Unknown(_) => NextStep::Finish(outcome),
    }
}

/// Judges the lack of an answer to a dispatch. Only a refused connection proves anything.
pub fn step_after_connection_failure(silence: ConnectionFailure) -> NextStep {
    match silence {
        ConnectionFailure::Refused => NextStep::TryAnotherGuard(Refusal::GuardUnreachable),
        ConnectionFailure::NoLocalPort => NextStep::TryAnotherGuard(Refusal::Overloaded),
        ConnectionFailure::Lost => NextStep::QueryAttempt,
    }
}

/// Judges a guard's answer to a revoke.
pub fn step_after_revoke(reply: RevokeReply) -> NextStep {
    match reply {
        RevokeReply::Ended(outcome) => NextStep::Finish(outcome),
        RevokeReply::Running => NextStep::QueryAttempt,
        RevokeReply::Revoked => NextStep::TryAnotherGuard(Refusal::Revoked),
        RevokeReply::NoMemory => NextStep::Finish(Outcome::Unknown(Doubt::GuardForgot)),
    }
}
