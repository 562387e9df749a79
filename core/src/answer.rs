//! Checks that an answer is whole and belongs to its request.

use derive_more::{Display, Error};

use crate::ids::CallKey;

/// What is wrong with a frame; the answer cannot be trusted from there on.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum FrameError {
    /// The frame belongs to another call.
    #[display("frame of {received} within the answer to {expected}")]
    WrongCall {
        /// Call that was asked for.
        expected: CallKey,
        /// Call that the frame names.
        received: CallKey,
    },
    /// Frames are missing before this one.
    #[display("frame {received} came where {expected} was due")]
    Gap {
        /// Sequence number that was due.
        expected: u64,
        /// Sequence number of the frame.
        received: u64,
    },
    /// The end names other totals than were received.
    #[display(
        "the end counts {frames} frames and {bytes} bytes, received {received_frames}, {received_bytes}"
    )]
    Truncated {
        /// Frames according to the end.
        frames: u64,
        /// Bytes according to the end.
        bytes: u64,
        /// Frames received.
        received_frames: u64,
        /// Bytes received.
        received_bytes: u64,
    },
    /// A frame came after the end, or data before the head.
    #[display("frame {seq} does not fit the state of the answer")]
    OutOfOrder {
        /// Sequence number of the frame.
        seq: u64,
    },
}

/// Kind and size of a frame's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameKind {
    /// Status and headers.
    Head,
    /// Data of this many bytes.
    Data(u64),
    /// The whole answer was sent, with its totals.
    End {
        /// Frames before this one.
        frames: u64,
        /// Bytes in all data frames.
        bytes: u64,
    },
    /// The answer will not be completed.
    Failed,
}

/// What to do with a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameAction {
    /// Forward it on.
    Forward,
    /// It was passed on before.
    Duplicate,
}

/// Progress of one answer.
#[derive(Clone, Debug)]
pub struct ResponseAssembler {
    key: CallKey,
    next_seq: u64,
    bytes: u64,
    is_complete: bool,
}

impl ResponseAssembler {
    /// Starts an answer.
    pub fn new(key: CallKey) -> Self {
        Self { key, next_seq: 0, bytes: 0, is_complete: false }
    }

    /// Returns the sequence number from which to resume.
    pub fn next_seq(&self) -> u64 {
        self.next_seq
    }

    /// Returns whether the whole answer was taken.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Takes a frame.
    ///
    /// # Errors
    ///
    /// Fails on a frame of another call, on a gap and on totals that do not fit.
    pub fn accept(
        &mut self,
        key: &CallKey,
        seq: u64,
        kind: FrameKind,
    ) -> Result<FrameAction, FrameError> {
        if *key != self.key {
            return Err(FrameError::WrongCall {
                expected: self.key.clone(),
                received: key.clone(),
            });
        }
        match kind {
            _ if seq < self.next_seq => return Ok(FrameAction::Duplicate),
            _ if seq > self.next_seq => {
                return Err(FrameError::Gap { expected: self.next_seq, received: seq });
            }
            _ if self.is_complete => return Err(FrameError::OutOfOrder { seq }),
            FrameKind::Head if seq != 0 => return Err(FrameError::OutOfOrder { seq }),
            FrameKind::Data(_) | FrameKind::End { .. } if seq == 0 => {
                return Err(FrameError::OutOfOrder { seq });
            }
            FrameKind::End { frames, bytes } if frames != seq || bytes != self.bytes => {
                let (received_frames, received_bytes) = (self.next_seq, self.bytes);
                return Err(FrameError::Truncated {
                    frames,
                    bytes,
                    received_frames,
                    received_bytes,
                });
            }
            FrameKind::Data(len) => self.bytes += len,
            FrameKind::End { .. } => self.is_complete = true,
            FrameKind::Head | FrameKind::Failed => {}
        }
        self.next_seq += 1;
        Ok(FrameAction::Forward)
    }
}
