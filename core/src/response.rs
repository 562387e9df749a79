//! Checks that a response is complete and belongs to its call.
//!
//! A side sends a response as numbered frames: the head, the data frames and an end frame with the
//! totals.

use derive_more::{Display, Error};

use crate::ids::CallKey;

/// Why a frame is invalid. The rest of the response must be discarded.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum FrameError {
    /// The frame belongs to another call.
    #[display("frame of call {received} in the response to call {expected}")]
    WrongCall {
        /// Call that the response belongs to.
        expected: CallKey,
        /// Call named in the frame.
        received: CallKey,
    },
    /// Frames are missing before this one.
    #[display("received frame {received}, expected frame {expected}")]
    Gap {
        /// Next sequence number in order.
        expected: u64,
        /// Sequence number of the frame.
        received: u64,
    },
    /// The totals of the end frame differ from those received.
    #[display(
        "end frame counts {frames} frames and {bytes} bytes, received {received_frames} frames and \
         {received_bytes} bytes"
    )]
    Truncated {
        /// Number of frames before the end frame, as sent.
        frames: u64,
        /// Bytes in all data frames, as sent.
        bytes: u64,
        /// Number of frames received.
        received_frames: u64,
        /// Data bytes received.
        received_bytes: u64,
    },
    /// The frame follows the end frame, or the head is not the first frame.
    #[display("frame {seq} is out of order")]
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
    /// Response data, with its length in bytes.
    Data(u64),
    /// End of a complete response, with its totals.
    End {
        /// Number of frames before this one.
        frames: u64,
        /// Bytes in all data frames.
        bytes: u64,
    },
    /// The response will not be completed.
    Failed,
}

/// What to do with a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameAction {
    /// Forward the frame.
    Forward,
    /// Drop the frame: it was forwarded before.
    Duplicate,
}

/// Checks the frames of one response in order.
#[derive(Clone, Debug)]
pub struct ResponseAssembler {
    key: CallKey,
    next_seq: u64,
    bytes: u64,
    is_complete: bool,
}

impl ResponseAssembler {
    /// Creates an assembler that expects the head of the response to `key`.
    pub fn new(key: CallKey) -> Self {
        Self { key, next_seq: 0, bytes: 0, is_complete: false }
    }

    /// Returns the sequence number of the next frame, from which to resume.
    pub fn next_seq(&self) -> u64 {
        self.next_seq
    }

    /// Returns whether the valid end frame was received.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Validates the next frame and returns whether to forward it.
    ///
    /// # Errors
    ///
    /// Fails if the frame belongs to another call, leaves a gap, is out of order, or ends the
    /// response with other totals than received.
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
