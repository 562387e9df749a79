//! Reads the platform's log page by page, from a snapshot if earlier records were truncated.

use currantlink_wire::config::{Record, State, record};
use prost::Message;

use crate::fold::{Fold, FoldError, FoldedRecord};

/// An undecoded record of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawRecord {
    /// Offset of the record; offsets start at 1 and have no gaps.
    pub offset: u64,
    /// Protobuf encoding of a `Record`.
    pub payload: Vec<u8>,
}

/// A page of consecutive log records.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Lowest offset that the log retains.
    pub first_offset: u64,
    /// Offset of the next record to be appended.
    pub end_offset: u64,
    /// Records from the requested offset on.
    pub records: Vec<RawRecord>,
}

/// State of the reader after a page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The log retains all records that the state needs.
    Following,
    /// Needed records were truncated; the reader searches the log for a snapshot.
    Seeking,
    /// The log retains neither the needed records nor a usable snapshot.
    Starved,
}

/// Folds log pages into the configuration state.
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
    /// Returns the current state.
    pub fn fold(&self) -> &Fold {
        &self.fold
    }

    /// Returns the progress after the last page.
    pub fn progress(&self) -> Progress {
        self.progress
    }

    /// Returns the offset of the next page to read.
    pub fn next_offset(&self) -> u64 {
        self.seek_offset.unwrap_or(self.fold.as_of() + 1)
    }

    /// Replaces the state with a newer one from a peer.
    ///
    /// # Errors
    ///
    /// Fails if the state is older than the current one or needs a newer rule version.
    pub fn restore(&mut self, state: State) -> Result<(), FoldError> {
        self.fold.restore(state)?;
        self.seek_offset = None;
        Ok(())
    }

    /// Folds a page that was read from `next_offset`.
    ///
    /// # Errors
    ///
    /// Fails at the first record that needs a newer rule version; earlier records of the page are
    /// folded.
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
