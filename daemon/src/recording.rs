//! The answer of one call, kept so that it can be sent again.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use currantlink_core::ids::CallKey;
use currantlink_wire::link::{
    CallRefused, End, Failed, Frame, Head, Refused, ToEntry, frame, to_entry,
};
use tokio::sync::{mpsc, watch};

use crate::conversions;

/// One piece of an answer.
#[derive(Clone, Debug)]
pub enum Piece {
    /// Status and headers.
    Head(Head),
    /// Data.
    Data(Bytes),
    /// The whole answer was recorded.
    End(End),
    /// The answer will not be completed.
    Failed(Failed),
    /// The call did not run.
    Refused(Refused),
}

impl Piece {
    fn is_last(&self) -> bool {
        matches!(self, Piece::End(_) | Piece::Failed(_) | Piece::Refused(_))
    }
}

#[derive(Debug, Default)]
struct Pieces {
    list: Vec<Piece>,
    bytes: u64,
    ended: bool,
}

/// Grows while the call runs; any number of links can follow it from any piece on.
#[derive(Debug)]
pub struct Recording {
    pieces: Mutex<Pieces>,
    grown: watch::Sender<()>,
    max_bytes: u64,
}

impl Recording {
    /// Starts an empty recording that takes up to `max_bytes` of data.
    pub fn new(max_bytes: usize) -> Arc<Self> {
        let grown = watch::Sender::new(());
        Arc::new(Self { pieces: Mutex::default(), grown, max_bytes: max_bytes as u64 })
    }

    /// Adds a piece; false where the recording has ended or would grow too large.
    pub fn push(&self, piece: Piece) -> bool {
        let mut pieces = self.lock();
        let len = if let Piece::Data(data) = &piece { data.len() as u64 } else { 0 };
        if pieces.ended || pieces.bytes + len > self.max_bytes {
            return false;
        }
        pieces.bytes += len;
        pieces.ended = piece.is_last();
        pieces.list.push(piece);
        drop(pieces);
        self.grown.send_replace(());
        true
    }

    /// Ends the recording as whole.
    pub fn finish(&self) {
        let (frames, bytes) = {
            let pieces = self.lock();
            (pieces.list.len() as u64, pieces.bytes)
        };
        self.push(Piece::End(End { frames, bytes }));
    }

    /// Sends the pieces from `next` on to a link until the last one.
    pub async fn follow(
        self: Arc<Self>,
        key: CallKey,
        stream: u64,
        mut next: usize,
        outbox: mpsc::Sender<ToEntry>,
    ) {
        let mut grown = self.grown.subscribe();
        loop {
            grown.borrow_and_update();
            while let Some(piece) = self.piece(next) {
                let last = piece.is_last();
                let message = message(&key, stream, next as u64, piece);
                if outbox.send(message).await.is_err() || last {
                    return;
                }
                next += 1;
            }
            if grown.changed().await.is_err() {
                return;
            }
        }
    }

    fn piece(&self, index: usize) -> Option<Piece> {
        self.lock().list.get(index).cloned()
    }

    fn lock(&self) -> MutexGuard<'_, Pieces> {
        self.pieces.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn message(key: &CallKey, stream: u64, seq: u64, piece: Piece) -> ToEntry {
    let call = Some(conversions::call_ref(key, stream));
    let body = match piece {
        Piece::Head(head) => frame::Body::Head(head),
        Piece::Data(data) => frame::Body::Data(data),
        Piece::End(end) => frame::Body::End(end),
        Piece::Failed(failed) => frame::Body::Failed(failed),
        Piece::Refused(refused) => {
            let refused = CallRefused { call, refused: Some(refused) };
            return conversions::to_entry(to_entry::Body::Refused(refused));
        }
    };
    conversions::to_entry(to_entry::Body::Frame(Frame { call, seq, body: Some(body) }))
}
