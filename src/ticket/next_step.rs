//! What a home concludes from a guard's words and from its silence.

use crate::wire::{Doubt, Outcome, Refusal, RevokeReply};

/// What the home does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NextStep {
    /// The run has ended like this.
    Settle(Outcome),
    /// The attempt did not run and will not: another guard may be tried.
    TryAnother(Refusal),
    /// Ask the same guard what became of the attempt.
    Ask,
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
        Outcome::NotRun(refusal) => NextStep::TryAnother(refusal),
        Outcome::Unknown(Doubt::StillRunning) => NextStep::Ask,
        Outcome::Done(_) | Outcome::Unknown(_) => NextStep::Settle(outcome),
    }
}

/// Judges the lack of an answer to a dispatch. Only a refused connection proves anything.
pub fn step_after_connection_failure(silence: ConnectionFailure) -> NextStep {
    match silence {
        ConnectionFailure::Refused => NextStep::TryAnother(Refusal::GuardUnreachable),
        ConnectionFailure::NoLocalPort => NextStep::TryAnother(Refusal::Overloaded),
        ConnectionFailure::Lost => NextStep::Ask,
    }
}

/// Judges a guard's answer to a revoke.
pub fn step_after_revoke(reply: RevokeReply) -> NextStep {
    match reply {
        RevokeReply::Ended(outcome) => NextStep::Settle(outcome),
        RevokeReply::Running => NextStep::Ask,
        RevokeReply::Revoked => NextStep::TryAnother(Refusal::Revoked),
        RevokeReply::NoMemory => NextStep::Settle(Outcome::Unknown(Doubt::GuardForgot)),
    }
}
