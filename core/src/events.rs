//! Splits a stream of server-sent events into whole events.

use std::mem;

/// Largest event that is kept while incomplete, in bytes.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// Bytes of an event stream whose last event may be incomplete.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    partial: Vec<u8>,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Starts after the event with this id.
    pub fn new(last_id: Option<u64>) -> Self {
        Self { partial: Vec::new(), last_id }
    }

    /// Returns the id of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether bytes of an incomplete event are kept.
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Drops the incomplete event.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
    }

    /// Takes bytes and returns the whole events that they complete, or nothing where an event is
    /// too large.
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

/// End of the last blank line, with either line ending.
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
