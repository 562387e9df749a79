//! Follows the platform's log from wherever it is still kept.

use currantlink_wire::config::{Record, State, record};
use prost::Message;

use crate::fold::{Fold, FoldError, FoldedRecord};

/// One record as the log gave it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawRecord {
    /// Offset of the record, from 1 and without gaps.
    pub offset: u64,
    /// Encoded `Record`.
    pub payload: Vec<u8>,
}

/// One page of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Lowest offset that the log still keeps.
    pub first_offset: u64,
    /// Offset that the next appended record gets.
    pub end_offset: u64,
    /// Records from the asked offset on.
    pub records: Vec<RawRecord>,
}

/// How far the reader has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Everything on the page was folded.
    Following,
    /// Records that the state needs are gone; looking for a snapshot.
    Seeking,
    /// The log keeps neither the records nor a snapshot that the state needs.
    Starved,
}

/// Folds the log page by page.
#[derive(Clone, Debug)]
pub struct Reader {
    fold: Fold,
    seek_offset: Option<u64>,
    progress: Progress,
}

impl Default for Reader {
    fn default() -> Self {
        Self::from(Fold::default())
    }
}

impl From<Fold> for Reader {
    fn from(fold: Fold) -> Self {
        Self { fold, seek_offset: None, progress: Progress::Following }
    }
}

impl Reader {
    /// Returns the state folded so far.
    pub fn fold(&self) -> &Fold {
        &self.fold
    }

    /// Returns how the last page was taken.
    pub fn progress(&self) -> Progress {
        self.progress
    }

    /// Returns the offset to read from next.
    pub fn next_offset(&self) -> u64 {
        self.seek_offset.unwrap_or(self.fold.as_of() + 1)
    }

    /// Takes a state from a peer.
    ///
    /// # Errors
    ///
    /// Refuses a state that is older than the folded one.
    pub fn restore(&mut self, state: State) -> Result<(), FoldError> {
        self.fold.restore(state)?;
        self.seek_offset = None;
        Ok(())
    }

    /// Folds one page that was read from `next_offset`.
    ///
    /// # Errors
    ///
    /// Stops at a record of a newer rule; what came before it is folded.
    pub fn fold_page(&mut self, page: &Page) -> Result<Vec<FoldedRecord>, FoldError> {
        let needed = self.fold.as_of() + 1;
        if page.first_offset <= needed {
            self.seek_offset = None;
            self.progress = Progress::Following;
            return self.follow(page);
        }
        self.seek(page);
        Ok(Vec::new())
    }

    fn follow(&mut self, page: &Page) -> Result<Vec<FoldedRecord>, FoldError> {
        let mut folded = Vec::new();
        for record in &page.records {
            if record.offset > self.fold.as_of() + 1 {
                break;
            }
            folded.push(self.fold.apply(record.offset, &record.payload)?);
        }
        Ok(folded)
    }

    fn seek(&mut self, page: &Page) {
        let usable = page
            .records
            .iter()
            .filter_map(|r| decode_snapshot(&r.payload))
            .find(|state| state.as_of + 1 >= page.first_offset);
        if let Some(state) = usable
            && self.fold.restore(state).is_ok()
        {
            self.seek_offset = None;
            self.progress = Progress::Seeking;
            return;
        }
        let next = page.records.last().map_or(page.first_offset, |r| r.offset + 1);
        let at_end = next >= page.end_offset;
        self.seek_offset = Some(if at_end { page.first_offset } else { next });
        self.progress = if at_end { Progress::Starved } else { Progress::Seeking };
    }
}

fn decode_snapshot(payload: &[u8]) -> Option<State> {
    match Record::decode(payload).ok()?.body? {
        record::Body::Snapshot(state) => Some(state),
        _ => None,
    }
}
