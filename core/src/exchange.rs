//! One attempt of a call on one side, over as many links as it takes.

use crate::answer::{FrameAction, FrameKind, ResponseAssembler};
use crate::attempt::{AttemptEnd, RunPolicy};
use crate::ids::{CallKey, Incarnation};

/// Time for which every side remembers a call at least. Within it, a side that does not know a
/// call never had it; after it, the side may have forgotten.
pub const MIN_RETENTION_MS: u64 = 30_000;

/// What happens to an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// The link is gone, or the stream on it was cut off.
    LinkLost,
    /// A link is open again, to the given incarnation; none came in time.
    LinkReopened(Option<Incarnation>),
    /// A frame arrived.
    Frame {
        /// Call that the frame names.
        key: CallKey,
        /// Its sequence number.
        seq: u64,
        /// Kind and size of its body.
        kind: FrameKind,
        /// For `FrameKind::Failed`: the back end may have carried the call out.
        may_have_run: bool,
    },
    /// The side refused, with what that means for the attempt.
    Refused(AttemptEnd),
    /// The time for the answer is over.
    DeadlinePassed,
}

/// What the entry does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Wait for the next input.
    Wait,
    /// Pass the frame on.
    Forward,
    /// The frame is the end of a whole answer.
    Complete,
    /// Wait for a new link; only shortly where another backend can take the call.
    AwaitLink {
        /// Another backend can take the call.
        can_reassign: bool,
    },
    /// Query the side about the call, from this sequence number on.
    Query {
        /// First frame that is missing.
        resume_seq: u64,
    },
    /// The attempt is over without a whole answer.
    Ended(AttemptEnd),
}

/// Progress of one attempt.
#[derive(Clone, Debug)]
pub struct Exchange {
    key: CallKey,
    incarnation: Incarnation,
    run_policy: RunPolicy,
    assembler: ResponseAssembler,
    sent_at_ms: u64,
}

impl Exchange {
    /// Starts with the call handed over to one incarnation of a side at `sent_at_ms`.
    pub fn new(
        key: CallKey,
        incarnation: Incarnation,
        run_policy: RunPolicy,
        sent_at_ms: u64,
    ) -> Self {
        let assembler = ResponseAssembler::new(key.clone());
        Self { key, incarnation, run_policy, assembler, sent_at_ms }
    }

    /// Returns the call.
    pub fn key(&self) -> &CallKey {
        &self.key
    }

    /// Returns the incarnation that has the call.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns how often the call may run.
    pub fn run_policy(&self) -> RunPolicy {
        self.run_policy
    }

    /// Takes an input.
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
                Output::Ended(AttemptEnd::SideCannotTell)
            }
            Input::Refused(end) => Output::Ended(end),
            Input::DeadlinePassed => Output::Ended(AttemptEnd::DeadlinePassed),
            Input::Frame { key, seq, kind, may_have_run } => {
                self.handle_frame(&key, seq, kind, may_have_run)
            }
        }
    }

    /// A ticketed call is remembered while its ticket is good, and the side checks that.
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
