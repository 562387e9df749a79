//! State machine of one attempt of a call on one side, across link reconnects.

use crate::attempt::{AttemptEnd, RunPolicy};
use crate::ids::{CallKey, Incarnation};
use crate::response::{FrameAction, FrameKind, ResponseAssembler};

/// Minimum time for which every side retains a call.
///
/// Within this time, a side without a record of a call never received it. Later, the side may have
/// evicted the record.
pub const MIN_RETENTION_MS: u64 = 30_000;

/// An event of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// The link was lost, or the stream on it was reset.
    LinkLost,
    /// A link was reopened to this incarnation; `None` if no link opened in time.
    LinkReopened(Option<Incarnation>),
    /// A frame arrived.
    Frame {
        /// Call named in the frame.
        key: CallKey,
        /// Sequence number of the frame.
        seq: u64,
        /// Kind and size of the frame's body.
        kind: FrameKind,
        /// For `FrameKind::Failed`: whether the back end may have run the call.
        may_have_run: bool,
    },
    /// The side refused the call, with the resulting end of the attempt.
    Refused(AttemptEnd),
    /// The deadline of the call has passed.
    DeadlinePassed,
}

/// What the entry must do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Wait for the next event.
    Wait,
    /// Forward the frame.
    Forward,
    /// The response is complete; the frame is its end.
    Complete,
    /// Wait for a new link, with a short timeout if the call can be reassigned.
    AwaitLink {
        /// Whether the call can be dispatched to another backend instead.
        can_reassign: bool,
    },
    /// Query the side for the call and its remaining frames.
    Query {
        /// Sequence number of the first missing frame.
        resume_seq: u64,
    },
    /// The attempt ended without a complete response.
    Ended(AttemptEnd),
}

/// Progress of one attempt on one side.
#[derive(Clone, Debug)]
pub struct Exchange {
    key: CallKey,
    incarnation: Incarnation,
    run_policy: RunPolicy,
    assembler: ResponseAssembler,
    sent_at_ms: u64,
}

impl Exchange {
    /// Creates the state of a call that was dispatched to `incarnation` at `sent_at_ms`.
    pub fn new(
        key: CallKey,
        incarnation: Incarnation,
        run_policy: RunPolicy,
        sent_at_ms: u64,
    ) -> Self {
        let assembler = ResponseAssembler::new(key.clone());
        Self { key, incarnation, run_policy, assembler, sent_at_ms }
    }

    /// Returns the key of the call.
    pub fn key(&self) -> &CallKey {
        &self.key
    }

    /// Returns the incarnation to which the call was dispatched.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns how many times the call may run.
    pub fn run_policy(&self) -> RunPolicy {
        self.run_policy
    }

    /// Handles an event and returns what to do next.
    pub fn handle(&mut self, now_ms: u64, input: Input) -> Output {
        match input {
            Input::LinkLost => Output::AwaitLink {
                can_reassign: self.run_policy == RunPolicy::Idempotent
                    && self.assembler.next_seq() == 0,
            },
            Input::LinkReopened(None) => Output::Ended(AttemptEnd::Unreachable),
            Input::LinkReopened(Some(current)) if current != self.incarnation => {
                Output::Ended(AttemptEnd::IncarnationLost)
            }
            Input::LinkReopened(Some(_)) => Output::Query { resume_seq: self.assembler.next_seq() },
            Input::Refused(AttemptEnd::Tombstoned) if self.may_have_expired(now_ms) => {
                Output::Ended(AttemptEnd::OutcomeNotRetained)
            }
            Input::Refused(end) => Output::Ended(end),
            Input::DeadlinePassed => Output::Ended(AttemptEnd::DeadlinePassed),
            Input::Frame { key, seq, kind, may_have_run } => {
                self.handle_frame(&key, seq, kind, may_have_run)
            }
        }
    }

    /// Returns whether the side may have evicted the call. A ticketed call is excluded, since the
    /// side retains it until its ticket expires and checks the expiry itself.
    fn may_have_expired(&self, now_ms: u64) -> bool {
        self.run_policy == RunPolicy::Idempotent && now_ms >= self.sent_at_ms + MIN_RETENTION_MS
    }

    fn handle_frame(
        &mut self,
        key: &CallKey,
        seq: u64,
        kind: FrameKind,
        may_have_run: bool,
    ) -> Output {
        match (self.assembler.accept(key, seq, kind), kind) {
            (Err(_), _) => Output::Ended(AttemptEnd::Damaged),
            (Ok(FrameAction::Duplicate), _) => Output::Wait,
            (Ok(FrameAction::Forward), FrameKind::Failed) if may_have_run => {
                Output::Ended(AttemptEnd::BackendFailed)
            }
            (Ok(FrameAction::Forward), FrameKind::Failed) => {
                Output::Ended(AttemptEnd::BackendUnreached)
            }
            (Ok(FrameAction::Forward), FrameKind::End { .. }) => Output::Complete,
            (Ok(FrameAction::Forward), _) => Output::Forward,
        }
    }
}
