//! Recorded response of a call, which can be sent again after a link was lost.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use currantlink_core::ids::CallKey;
use currantlink_wire::link::{
    CallRefused, End, Failed, Frame, Head, Refused, ToEntry, frame, to_entry,
};
use tokio::sync::{mpsc, watch};

use crate::conversions;

/// One part of a response.
#[derive(Clone, Debug)]
pub enum ResponsePart {
    /// Status and headers.
    Head(Head),
    /// Chunk of the body.
    Data(Bytes),
    /// End of a complete response.
    End(End),
    /// The response ends incomplete.
    Failed(Failed),
    /// The call was refused and has not run.
    Refused(Refused),
}

impl ResponsePart {
    fn is_last(&self) -> bool {
        matches!(self, ResponsePart::End(_) | ResponsePart::Failed(_) | ResponsePart::Refused(_))
    }
}

#[derive(Debug, Default)]
struct Parts {
    items: Vec<ResponsePart>,
    bytes: u64,
    ended: bool,
}

/// Response of a call, extended while the call runs. Any number of links can receive it, each from
/// any part on.
#[derive(Debug)]
pub struct Recording {
    parts: Mutex<Parts>,
    changed: watch::Sender<()>,
    max_bytes: u64,
}

impl Recording {
    /// Creates an empty recording for a body of up to `max_bytes`.
    pub fn new(max_bytes: usize) -> Arc<Self> {
        let changed = watch::Sender::new(());
        Arc::new(Self { parts: Mutex::default(), changed, max_bytes: max_bytes as u64 })
    }

    /// Appends a part. Returns false if the recording has ended or the body would exceed the limit.
    pub fn push(&self, part: ResponsePart) -> bool {
        let mut parts = self.lock();
        let len = if let ResponsePart::Data(data) = &part { data.len() as u64 } else { 0 };
        if parts.ended || parts.bytes + len > self.max_bytes {
            return false;
        }
        parts.bytes += len;
        parts.ended = part.is_last();
        parts.items.push(part);
        drop(parts);
        self.changed.send_replace(());
        true
    }

    /// Ends the recording as complete.
    pub fn finish(&self) {
        let (frames, bytes) = {
            let parts = self.lock();
            (parts.items.len() as u64, parts.bytes)
        };
        self.push(ResponsePart::End(End { frames, bytes }));
    }

    /// Sends the parts from `next_seq` on to a link, and further parts as they are recorded.
    pub async fn follow(
        self: Arc<Self>,
        key: CallKey,
        stream: u64,
        mut next_seq: usize,
        outbox: mpsc::Sender<ToEntry>,
    ) {
        let mut changed = self.changed.subscribe();
        loop {
            changed.borrow_and_update();
            while let Some(part) = self.part(next_seq) {
                let is_last = part.is_last();
                let message = message(&key, stream, next_seq as u64, part);
                if outbox.send(message).await.is_err() || is_last {
                    return;
                }
                next_seq += 1;
            }
            if changed.changed().await.is_err() {
                return;
            }
        }
    }

    fn part(&self, index: usize) -> Option<ResponsePart> {
        self.lock().items.get(index).cloned()
    }

    fn lock(&self) -> MutexGuard<'_, Parts> {
        self.parts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn message(key: &CallKey, stream: u64, seq: u64, part: ResponsePart) -> ToEntry {
    let call = Some(conversions::call_ref(key, stream));
    let body = match part {
        ResponsePart::Head(head) => frame::Body::Head(head),
        ResponsePart::Data(data) => frame::Body::Data(data),
        ResponsePart::End(end) => frame::Body::End(end),
        ResponsePart::Failed(failed) => frame::Body::Failed(failed),
        ResponsePart::Refused(refused) => {
            let refused = CallRefused { call, refused: Some(refused) };
            return conversions::to_entry(to_entry::Body::Refused(refused));
        }
    };
    conversions::to_entry(to_entry::Body::Frame(Frame { call, seq, body: Some(body) }))
}
