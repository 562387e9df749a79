//! Decides between a retry and a final result when an attempt ends without a complete response.

use derive_more::Display;

use crate::gate::Refusal;

const DEFAULT_RETRY_AFTER_MS: u64 = 1_000;
const MAX_RETRIES: u32 = 3;

/// Final state of a call without a response, as reported to the caller.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The call has not run and will not run.
    #[display("not-run")]
    NotRun,
    /// The call ran and failed.
    #[display("failed")]
    Failed,
    /// The call may have run.
    #[display("unknown")]
    Unknown,
}

/// Why an attempt ended.
#[derive(Clone, Copy, derive_more::Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No backend is available.
    NoBackend,
    /// The call could not be dispatched; nothing was sent.
    NotSent,
    /// The side refused the call and will not run it.
    Refused {
        /// Reason that the side reported.
        reason: Refusal,
        /// Delay before the next retry, as advised by the side.
        retry_after_ms: u64,
    },
    /// The side had no record of the call and tombstoned it.
    Tombstoned,
    /// The side has no reliable record: the ticket has expired or is of another incarnation.
    #[debug("SideCannotTell")]
    OutcomeNotRetained,
    /// The side's process was replaced after the call was dispatched.
    IncarnationLost,
    /// The side is no longer reachable.
    Unreachable,
    /// The back end failed after it received the call.
    BackendFailed,
    /// The call never reached the back end.
    BackendUnreached,
    /// The response was invalid, truncated or mixed with frames of another call.
    Damaged,
    /// The deadline passed after the call was dispatched.
    DeadlinePassed,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextAction {
    /// Dispatch the call to another backend.
    Retry,
    /// Report the failure to the caller.
    GiveUp {
        /// Final state of the call.
        outcome: Outcome,
        /// Delay before the caller should retry.
        retry_after_ms: u64,
    },
}

/// How many times a call may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPolicy {
    /// Any number of times, on any backend.
    Idempotent,
    /// At most once, on the backend that minted its ticket. Earlier requests of the caller may have
    /// dispatched the call before.
    Ticketed,
}

/// State of one call across its attempts.
#[derive(Clone, Debug)]
pub struct Attempts {
    run_policy: RunPolicy,
    deadline_ms: u64,
    retries: u32,
    may_have_run: bool,
}

impl Attempts {
    /// Creates the state of a call before its first attempt.
    pub fn new(run_policy: RunPolicy, deadline_ms: u64) -> Self {
        Self { run_policy, deadline_ms, retries: 0, may_have_run: false }
    }

    /// Returns the number of the current attempt, from 0.
    pub fn attempt_number(&self) -> u32 {
        self.retries
    }

    /// Returns the remaining time until the deadline.
    pub fn remaining_ms(&self, now_ms: u64) -> u64 {
        self.deadline_ms.saturating_sub(now_ms)
    }

    /// Records the end of an attempt and returns what to do next.
    ///
    /// `response_started` is true if a part of the response was forwarded to the caller.
    /// `may_retry` is called at most once, and only if the retry is otherwise allowed, since it
    /// withdraws from the retry budget.
    pub fn attempt_ended(
        &mut self,
        now_ms: u64,
        end: AttemptEnd,
        response_started: bool,
        may_retry: impl FnOnce() -> bool,
    ) -> NextAction {
        let execution = execution_outcome(end);
        self.may_have_run |= execution != Outcome::NotRun;
        let may_help = !matches!(end, AttemptEnd::NoBackend | AttemptEnd::OutcomeNotRetained);
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
        // An earlier dispatch with the same ticket may have run the call; only the side can rule it
        // out.
        let is_side_report = !matches!(end, AttemptEnd::NoBackend | AttemptEnd::NotSent);
        match (self.run_policy, execution) {
            (RunPolicy::Ticketed, Outcome::NotRun) if !is_side_report => Outcome::Unknown,
            (RunPolicy::Idempotent, Outcome::NotRun) if self.may_have_run => Outcome::Unknown,
            (_, execution) => execution,
        }
    }
}

/// Returns whether an attempt with this end has run the call.
fn execution_outcome(end: AttemptEnd) -> Outcome {
    match end {
        AttemptEnd::NoBackend
        | AttemptEnd::NotSent
        | AttemptEnd::Refused { .. }
        | AttemptEnd::Tombstoned
        | AttemptEnd::BackendUnreached => Outcome::NotRun,
        AttemptEnd::BackendFailed => Outcome::Failed,
        AttemptEnd::OutcomeNotRetained
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
