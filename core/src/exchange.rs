//! One attempt of a call on one side, over as many links as it takes.

use crate::answer::{Accepted, Assembler, Piece};
use crate::attempt::{Ending, Repeat};
use crate::ids::{CallKey, Incarnation};

/// Time for which every side remembers a call at least. Within it, a side that does not know a
/// call never had it; after it, the side may have forgotten.
pub const MEMORY_MS: u64 = 30_000;

/// What happens to an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// The link is gone, or the stream on it was cut off.
    Lost,
    /// A link is open again, to the given incarnation; none came in time.
    Reopened(Option<Incarnation>),
    /// A frame arrived.
    Frame {
        /// Call that the frame names.
        key: CallKey,
        /// Its sequence number.
        seq: u64,
        /// Kind and size of its body.
        piece: Piece,
        /// For `Piece::Failed`: the back end may have carried the call out.
        may_have_run: bool,
    },
    /// The side refused, with what that means for the attempt.
    Refused(Ending),
    /// The time for the answer is over.
    DeadlinePassed,
}

/// What the entry does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Wait for the next input.
    Wait,
    /// Pass the frame on.
    Pass,
    /// The frame is the end of a whole answer.
    Whole,
    /// Wait for a new link; only shortly where another backend can take the call.
    AwaitLink {
        /// Another backend can take the call.
        may_move: bool,
    },
    /// Ask the side about the call, from this sequence number on.
    Ask {
        /// First frame that is missing.
        resume_seq: u64,
    },
    /// The attempt is over without a whole answer.
    Ended(Ending),
}

/// Progress of one attempt.
#[derive(Clone, Debug)]
pub struct Exchange {
    key: CallKey,
    incarnation: Incarnation,
    repeat: Repeat,
    assembler: Assembler,
    sent_at_ms: u64,
}

impl Exchange {
    /// Starts with the call handed over to one incarnation of a side at `sent_at_ms`.
    pub fn new(key: CallKey, incarnation: Incarnation, repeat: Repeat, sent_at_ms: u64) -> Self {
        let assembler = Assembler::new(key.clone());
        Self { key, incarnation, repeat, assembler, sent_at_ms }
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
    pub fn repeat(&self) -> Repeat {
        self.repeat
    }

    /// Takes an input.
    pub fn take(&mut self, now_ms: u64, input: Input) -> Output {
        match input {
            Input::Lost => Output::AwaitLink {
                may_move: self.repeat == Repeat::Idempotent && self.assembler.next_seq() == 0,
            },
            Input::Reopened(None) => Output::Ended(Ending::Unreachable),
            Input::Reopened(Some(other)) if other != self.incarnation => {
                Output::Ended(Ending::IncarnationLost)
            }
            Input::Reopened(Some(_)) => Output::Ask { resume_seq: self.assembler.next_seq() },
            Input::Refused(Ending::Tombstoned) if self.may_be_forgotten(now_ms) => {
                Output::Ended(Ending::SideCannotTell)
            }
            Input::Refused(ending) => Output::Ended(ending),
            Input::DeadlinePassed => Output::Ended(Ending::DeadlinePassed),
            Input::Frame { key, seq, piece, may_have_run } => {
                self.take_frame(&key, seq, piece, may_have_run)
            }
        }
    }

    /// A ticketed call is remembered while its ticket is good, and the side checks that.
    fn may_be_forgotten(&self, now_ms: u64) -> bool {
        self.repeat == Repeat::Idempotent && now_ms >= self.sent_at_ms + MEMORY_MS
    }

    fn take_frame(&mut self, key: &CallKey, seq: u64, piece: Piece, may_have_run: bool) -> Output {
        match (self.assembler.take(key, seq, piece), piece) {
            (Err(_), _) => Output::Ended(Ending::Damaged),
            (Ok(Accepted::Duplicate), _) => Output::Wait,
            (Ok(Accepted::Pass), Piece::Failed) if may_have_run => {
                Output::Ended(Ending::BackendFailed)
            }
            (Ok(Accepted::Pass), Piece::Failed) => Output::Ended(Ending::BackendUnreached),
            (Ok(Accepted::Pass), Piece::End { .. }) => Output::Whole,
            (Ok(Accepted::Pass), _) => Output::Pass,
        }
    }
}
