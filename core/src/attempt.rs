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
    /// It execution and failed.
    #[display("failed")]
    Failed,
    /// Whether it execution cannot be told.
    #[display("unknown")]
    Unknown,
}

/// Why an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
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
pub enum NextAction {
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
pub enum RunPolicy {
    /// Any number of times, on any backend.
    Idempotent,
    /// Once, on the backend that minted its ticket; it may have been handed over before.
    Ticketed,
}

/// What is known of one call over all its attempts.
#[derive(Clone, Debug)]
pub struct Attempts {
    run_policy: RunPolicy,
    deadline_ms: u64,
    retries: u32,
    may_have_run: bool,
}

impl Attempts {
    /// Starts a call.
    pub fn new(run_policy: RunPolicy, deadline_ms: u64) -> Self {
        Self { run_policy, deadline_ms, retries: 0, may_have_run: false }
    }

    /// Returns the number of the current attempt.
    pub fn attempt_number(&self) -> u32 {
        self.retries
    }

    /// Returns the time left for the answer.
    pub fn remaining_ms(&self, now_ms: u64) -> u64 {
        self.deadline_ms.saturating_sub(now_ms)
    }

    /// Takes the end of an attempt. `response_started` tells whether a part of the answer has reached the
    /// caller; `may_retry` is asked at most once, and only for a retry that is safe.
    pub fn attempt_ended(
        &mut self,
        now_ms: u64,
        end: AttemptEnd,
        response_started: bool,
        may_retry: impl FnOnce() -> bool,
    ) -> NextAction {
        let execution = execution_outcome(end);
        self.may_have_run |= execution != Outcome::NotRun;
        let may_help = !matches!(end, AttemptEnd::NoBackend | AttemptEnd::SideCannotTell);
        let is_within_limits = self.remaining_ms(now_ms) > 0 && self.retries < MAX_RETRIES;
        let is_safe = self.run_policy == RunPolicy::Idempotent && !response_started;
        if is_safe && may_help && is_within_limits && may_retry() {
            self.retries += 1;
            return NextAction::Retry;
        }
        let outcome = self.outcome(end, execution);
        NextAction::GiveUp { outcome, retry_after_ms: retry_after_ms(end) }
    }

    fn outcome(&self, end: AttemptEnd, execution: Outcome) -> Outcome {
        let is_side_report = !matches!(end, AttemptEnd::NoBackend | AttemptEnd::NotSent);
        match (self.run_policy, execution) {
            (RunPolicy::Ticketed, Outcome::NotRun) if !is_side_report => Outcome::Unknown,
            (RunPolicy::Idempotent, Outcome::NotRun) if self.may_have_run => Outcome::Unknown,
            (_, execution) => execution,
        }
    }
}

fn execution_outcome(end: AttemptEnd) -> Outcome {
    match end {
        AttemptEnd::NoBackend
        | AttemptEnd::NotSent
        | AttemptEnd::Refused { .. }
        | AttemptEnd::Tombstoned
        | AttemptEnd::BackendUnreached => Outcome::NotRun,
        AttemptEnd::BackendFailed => Outcome::Failed,
        AttemptEnd::SideCannotTell
        | AttemptEnd::IncarnationLost
        | AttemptEnd::Unreachable
        | AttemptEnd::Damaged
        | AttemptEnd::DeadlinePassed => Outcome::Unknown,
    }
}

fn retry_after_ms(end: AttemptEnd) -> u64 {
    match end {
        AttemptEnd::Refused { retry_after_ms, .. } => retry_after_ms,
        _ => DEFAULT_RETRY_AFTER_MS,
    }
}
