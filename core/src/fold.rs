//! Folds the records of the platform's log into the configuration state.
//!
//! The log has no compare-and-swap. Each change carries the base revision of every file that it
//! edits, and every reader accepts or refuses the change independently. All readers reach the same
//! result, because it depends only on the contents of the log.

use currantlink_wire::config::{Change, FileState, Override, Record, State, record};
use derive_more::{Display, Error};
use indexmap::IndexMap;
use prost::Message;
use prost::bytes::Bytes;

use crate::ids::RequestId;

/// Version of the rule that decides whether a change is accepted.
pub const RULE_VERSION: u32 = 1;

/// Error for a record or state that cannot be folded; the current state stays unchanged.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum FoldError {
    /// Records between the current state and this record are missing.
    #[display("record {received} does not follow record {as_of}")]
    Gap {
        /// Offset of the last folded record.
        as_of: u64,
        /// Offset of the rejected record.
        received: u64,
    },
    /// The record or state needs a newer rule version.
    #[display("record {offset} needs rule version {rule}, this process supports {RULE_VERSION}")]
    UnknownRule {
        /// Offset of the record.
        offset: u64,
        /// Rule version that the record needs.
        rule: u32,
    },
    /// The state does not decode.
    #[display("could not decode the configuration state")]
    Malformed,
    /// The received state is older than the current state.
    #[display("state as of record {received} is older than the current state as of record {as_of}")]
    StaleState {
        /// Offset of the last folded record.
        as_of: u64,
        /// Offset of the received state.
        received: u64,
    },
}

/// An edit whose base revision is not the current revision.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{file}: made from revision {base_revision}, but {author:?} wrote revision {revision}")]
pub struct Conflict {
    /// Name of the file.
    pub file: String,
    /// Base revision of the edit.
    pub base_revision: u64,
    /// Current revision, or 0 if the file does not exist.
    pub revision: u64,
    /// Author of the current revision, or empty if the file does not exist.
    pub author: String,
}

/// Result of folding a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The change was applied.
    Accepted,
    /// The change was refused because of base revisions that are not current.
    Refused(Vec<Conflict>),
    /// The record is a snapshot or does not decode, and changes nothing.
    Ignored,
    /// The record was already folded.
    AlreadyFolded,
}

/// Summary of a folded record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FoldedRecord {
    /// Offset of the record.
    pub offset: u64,
    /// Id assigned by the writer, if it decodes.
    pub record_id: Option<RequestId>,
    /// Author of the change, or empty for other records.
    pub author: String,
    /// Names of the files that the change edits.
    pub files: Vec<String>,
    /// Result.
    pub verdict: Verdict,
}

/// Configuration state as of an offset of the log.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fold {
    as_of: u64,
    files: IndexMap<String, FileState>,
    overrides: IndexMap<String, bool>,
    last_snapshot_as_of: u64,
}

impl Fold {
    /// Returns the offset of the last folded record, or 0 if there is none.
    pub fn as_of(&self) -> u64 {
        self.as_of
    }

    /// Returns the current files, sorted by name.
    pub fn files(&self) -> impl Iterator<Item = &FileState> {
        self.files.values()
    }

    /// Returns the current revision of a file.
    pub fn file(&self, name: &str) -> Option<&FileState> {
        self.files.get(name)
    }

    /// Returns whether an operator drained the backend.
    pub fn is_drained(&self, backend: &str) -> bool {
        self.overrides.get(backend).copied().unwrap_or(false)
    }

    /// Returns whether at least `every` records were folded since the newest snapshot.
    pub fn is_snapshot_due(&self, every: u64) -> bool {
        self.as_of.saturating_sub(self.last_snapshot_as_of) >= every
    }

    /// Folds the record at `offset`. Folding a record again has no effect.
    ///
    /// # Errors
    ///
    /// Fails if earlier records are missing or the record needs a newer rule version.
    pub fn apply(&mut self, offset: u64, payload: &[u8]) -> Result<FoldedRecord, FoldError> {
        let record = Record::decode(payload).ok();
        if let Some(rule) = record.as_ref().map(|r| r.rule).filter(|&rule| rule > RULE_VERSION) {
            return Err(FoldError::UnknownRule { offset, rule });
        }
        if offset > self.as_of + 1 {
            return Err(FoldError::Gap { as_of: self.as_of, received: offset });
        }
        let record_id = record.as_ref().and_then(|r| r.record_id.as_ref().try_into().ok());
        let mut folded = folded_record(offset, record_id, record.as_ref());
        if offset <= self.as_of {
            folded.verdict = Verdict::AlreadyFolded;
            return Ok(folded);
        }
        self.as_of = offset;
        folded.verdict = match record.and_then(|r| r.body) {
            Some(record::Body::Change(change)) => self.apply_change(offset, change),
            Some(record::Body::Override(change)) => self.set_override(change),
            Some(record::Body::Snapshot(state)) => self.record_snapshot(state.as_of),
            None => Verdict::Ignored,
        };
        Ok(folded)
    }

    /// Replaces this state with a newer one.
    ///
    /// # Errors
    ///
    /// Fails if `state` is older than this state or needs a newer rule version.
    pub fn restore(&mut self, state: State) -> Result<(), FoldError> {
        if state.rule > RULE_VERSION {
            return Err(FoldError::UnknownRule { offset: state.as_of, rule: state.rule });
        }
        if state.as_of < self.as_of {
            return Err(FoldError::StaleState { as_of: self.as_of, received: state.as_of });
        }
        *self = Self::from(state);
        Ok(())
    }

    fn apply_change(&mut self, offset: u64, change: Change) -> Verdict {
        let conflicts: Vec<Conflict> = change
            .edits
            .iter()
            .filter_map(|edit| self.conflict(&edit.name, edit.base_revision))
            .collect();
        if !conflicts.is_empty() {
            return Verdict::Refused(conflicts);
        }
        for edit in change.edits {
            self.write_file(offset, &change.author, edit.name, edit.content);
        }
        self.files.sort_keys();
        Verdict::Accepted
    }

    fn conflict(&self, file: &str, base_revision: u64) -> Option<Conflict> {
        let current = self.files.get(file);
        let revision = current.map_or(0, |f| f.revision);
        (revision != base_revision).then(|| Conflict {
            file: file.to_owned(),
            base_revision,
            revision,
            author: current.map(|f| f.author.clone()).unwrap_or_default(),
        })
    }

    fn write_file(&mut self, revision: u64, author: &str, name: String, content: Option<Bytes>) {
        let Some(content) = content else {
            self.files.shift_remove(&name);
            return;
        };
        let state = FileState { name: name.clone(), revision, content, author: author.to_owned() };
        self.files.insert(name, state);
    }

    fn set_override(&mut self, change: Override) -> Verdict {
        if change.drained {
            self.overrides.insert(change.backend, true);
        } else {
            self.overrides.shift_remove(&change.backend);
        }
        Verdict::Accepted
    }

    fn record_snapshot(&mut self, as_of: u64) -> Verdict {
        self.last_snapshot_as_of = self.last_snapshot_as_of.max(as_of);
        Verdict::Ignored
    }
}

fn folded_record(
    offset: u64,
    record_id: Option<RequestId>,
    record: Option<&Record>,
) -> FoldedRecord {
    let (author, files) = match record.and_then(|r| r.body.as_ref()) {
        Some(record::Body::Change(c)) => {
            (c.author.clone(), c.edits.iter().map(|e| e.name.clone()).collect())
        }
        _ => (String::new(), Vec::new()),
    };
    FoldedRecord { offset, record_id, author, files, verdict: Verdict::Ignored }
}

impl From<&Fold> for State {
    fn from(fold: &Fold) -> Self {
        let overrides = fold
            .overrides
            .iter()
            .map(|(name, &drained)| Override { backend: name.clone(), drained });
        State {
            rule: RULE_VERSION,
            as_of: fold.as_of,
            files: fold.files.values().cloned().collect(),
            overrides: overrides.collect(),
        }
    }
}

impl From<State> for Fold {
    fn from(state: State) -> Self {
        let files = state.files.into_iter().map(|f| (f.name.clone(), f));
        let overrides = state.overrides.into_iter().map(|o| (o.backend, o.drained));
        Fold {
            as_of: state.as_of,
            files: files.collect(),
            overrides: overrides.collect(),
            last_snapshot_as_of: state.as_of,
        }
    }
}
