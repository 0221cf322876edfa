//! What a home concludes from a guard's words and from its silence.

use crate::wire::{Outcome, Refusal, RevokeReply, UnknownReason};

/// What the home does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The run has ended like this.
    Settle(Outcome),
    /// The attempt did not run and will not: another guard may be tried.
    TryAnother(Refusal),
    /// Ask the same guard what became of the attempt.
    Ask,
}

/// How a call to a guard went wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Silence {
    /// The connection was refused: the guard never saw the call.
    Refused,
    /// This daemon has no port left for a connection; nothing was sent.
    NoLocalPort,
    /// The call may have reached the guard.
    Lost,
}

/// Judges a guard's answer to a dispatch.
pub fn judge_reply(outcome: Outcome) -> Verdict {
    match outcome {
        Outcome::NotRun(refusal) => Verdict::TryAnother(refusal),
        Outcome::Unknown(UnknownReason::StillRunning) => Verdict::Ask,
        Outcome::Done(_) | Outcome::Unknown(_) => Verdict::Settle(outcome),
    }
}

/// Judges the lack of an answer to a dispatch. Only a refused connection proves anything.
pub fn judge_silence(silence: Silence) -> Verdict {
    match silence {
        Silence::Refused => Verdict::TryAnother(Refusal::GuardUnreachable),
        Silence::NoLocalPort => Verdict::TryAnother(Refusal::Overloaded),
        Silence::Lost => Verdict::Ask,
    }
}

/// Judges a guard's answer to a revoke.
pub fn judge_revoke(reply: RevokeReply) -> Verdict {
    match reply {
        RevokeReply::Ended(outcome) => Verdict::Settle(outcome),
        RevokeReply::Running => Verdict::Ask,
        RevokeReply::Revoked => Verdict::TryAnother(Refusal::Revoked),
        RevokeReply::GuardRestarted => Verdict::Settle(Outcome::Unknown(UnknownReason::GuardStateLost)),
    }
}
