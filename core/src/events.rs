//! Splits a byte stream of server-sent events at event boundaries.

use std::mem;

/// Maximum size of a buffered incomplete event.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// Buffers the incomplete last event of an event stream.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    partial: Vec<u8>,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter for a stream that continues after the event `last_id`.
    pub fn new(last_id: Option<u64>) -> Self {
        Self { partial: Vec::new(), last_id }
    }

    /// Returns the id of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether an incomplete event is buffered.
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Returns the size of the buffered incomplete event.
    pub fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Discards the incomplete event.
    pub fn drop_partial(&mut self) {
        self.partial = Vec::new();
    }

    /// Appends `bytes` and returns all events that are now complete.
    ///
    /// Returns `None` if the incomplete event exceeds [`MAX_EVENT_BYTES`].
    pub fn push(&mut self, bytes: &[u8]) -> Option<Vec<u8>> {
        let searched_len = self.partial.len().saturating_sub(1);
        self.partial.extend_from_slice(bytes);
        let Some(end) = last_boundary(&self.partial, searched_len) else {
            return (self.partial.len() <= MAX_EVENT_BYTES).then(Vec::new);
        };
        let incomplete = self.partial.split_off(end);
        let complete = mem::replace(&mut self.partial, incomplete);
        self.last_id = last_event_id(&complete).or(self.last_id);
        Some(complete)
    }
}

/// Returns whether complete events continue a stream after the event `last_id`: the first one has a higher
/// id.
pub fn continues(events: &[u8], last_id: u64) -> bool {
    let end = events.windows(2).position(|w| w == b"\n\n").unwrap_or(events.len());
    let first = String::from_utf8_lossy(&events[..end]).replace("\r\n", "\n");
    let first = first.split("\n\n").next().unwrap_or_default();
    last_event_id(first.as_bytes()).is_some_and(|id| id > last_id)
}

/// Returns the end of the last blank line, with LF or CRLF line endings.
fn last_boundary(bytes: &[u8], searched_len: usize) -> Option<usize> {
    let start = searched_len.saturating_sub(2);
    let window = &bytes[start..];
    let lf = window.windows(2).rposition(|w| w == b"\n\n").map(|at| start + at + 2);
    let crlf = window.windows(4).rposition(|w| w == b"\r\n\r\n").map(|at| start + at + 4);
    lf.max(crlf)
}

fn last_event_id(events: &[u8]) -> Option<u64> {
    let lines = events.rsplit(|&b| b == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = ids.next()?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
