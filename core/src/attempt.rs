//! Decides what follows when an attempt of a call ends without its whole answer.

use derive_more::Display;

use crate::gate::Refusal;

const DEFAULT_RETRY_AFTER_MS: u64 = 1_000;
const MAX_RETRIES: u32 = 3;

/// What a caller learns of a call that has no answer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// It has not run and never will.
    #[display("not-run")]
    NotRun,
    /// It ran and failed.
    #[display("failed")]
    Failed,
    /// Whether it ran cannot be told.
    #[display("unknown")]
    Unknown,
}

/// Why an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// No backend can be chosen.
    NoBackend,
    /// The call could not be handed over: nothing was sent.
    NotSent,
    /// The side refused the call and will never run it.
    Refused {
        /// The side's reason.
        reason: Refusal,
        /// The side's advice.
        retry_after_ms: u64,
    },
    /// The side did not know the call and tombstoned it.
    Tombstoned,
    /// The side cannot tell: a ticket of another incarnation or an expired one.
    SideCannotTell,
    /// The side's process was replaced after the call was handed over.
    IncarnationLost,
    /// The side cannot be reached any more.
    Unreachable,
    /// The back end failed after it was given the call.
    BackendFailed,
    /// The back end was never given the call.
    BackendUnreached,
    /// The answer was damaged, crossed or truncated.
    Damaged,
    /// The deadline passed while the call was handed over.
    DeadlinePassed,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Try another backend.
    Retry,
    /// Tell the caller.
    GiveUp {
        /// What became of the call.
        outcome: Outcome,
        /// When a new try makes sense.
        retry_after_ms: u64,
    },
}

/// How often a call may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Any number of times, on any backend.
    Idempotent,
    /// Once, on the backend that minted its ticket; it may have been handed over before.
    Ticketed,
}

/// What is known of one call over all its attempts.
#[derive(Clone, Debug)]
pub struct Attempts {
    repeat: Repeat,
    deadline_ms: u64,
    retries: u32,
    maybe_ran: bool,
}

impl Attempts {
    /// Starts a call.
    pub fn new(repeat: Repeat, deadline_ms: u64) -> Self {
        Self { repeat, deadline_ms, retries: 0, maybe_ran: false }
    }

    /// Returns the number of the current attempt.
    pub fn attempt(&self) -> u32 {
        self.retries
    }

    /// Returns the time left for the answer.
    pub fn remaining_ms(&self, now_ms: u64) -> u64 {
        self.deadline_ms.saturating_sub(now_ms)
    }

    /// Takes the end of an attempt. `passed_on` tells whether a part of the answer has reached the
    /// caller; `may_retry` is asked at most once, and only for a retry that is safe.
    pub fn ended(
        &mut self,
        now_ms: u64,
        ending: Ending,
        passed_on: bool,
        may_retry: impl FnOnce() -> bool,
    ) -> Next {
        let ran = run_of(ending);
        self.maybe_ran |= ran != Outcome::NotRun;
        let useful = !matches!(ending, Ending::NoBackend | Ending::SideCannotTell);
        let in_time = self.remaining_ms(now_ms) > 0 && self.retries < MAX_RETRIES;
        let safe = self.repeat == Repeat::Idempotent && !passed_on;
        if safe && useful && in_time && may_retry() {
            self.retries += 1;
            return Next::Retry;
        }
        let outcome = self.outcome(ending, ran);
        Next::GiveUp { outcome, retry_after_ms: retry_after_ms(ending) }
    }

    fn outcome(&self, ending: Ending, ran: Outcome) -> Outcome {
        let side_said_so = !matches!(ending, Ending::NoBackend | Ending::NotSent);
        match (self.repeat, ran) {
            (Repeat::Ticketed, Outcome::NotRun) if !side_said_so => Outcome::Unknown,
            (Repeat::Idempotent, Outcome::NotRun) if self.maybe_ran => Outcome::Unknown,
            (_, ran) => ran,
        }
    }
}

fn run_of(ending: Ending) -> Outcome {
    match ending {
        Ending::NoBackend
        | Ending::NotSent
        | Ending::Refused { .. }
        | Ending::Tombstoned
        | Ending::BackendUnreached => Outcome::NotRun,
        Ending::BackendFailed => Outcome::Failed,
        Ending::SideCannotTell
        | Ending::IncarnationLost
        | Ending::Unreachable
        | Ending::Damaged
        | Ending::DeadlinePassed => Outcome::Unknown,
    }
}

fn retry_after_ms(ending: Ending) -> u64 {
    match ending {
        Ending::Refused { retry_after_ms, .. } => retry_after_ms,
        _ => DEFAULT_RETRY_AFTER_MS,
    }
}
