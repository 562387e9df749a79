//! Folding the log: conflicting edits, stale states, snapshots and truncated logs.
#![allow(clippy::unwrap_used)]

mod common;

use common::matrix::Matrix;
use currantlink_core::fold::{Fold, FoldError, RULE_VERSION, Verdict};
use currantlink_core::reader::{Page, Progress, RawRecord, Reader};
use currantlink_wire::config::{Change, FileEdit, Override, Record, State, record};
use proptest::collection::vec;
use proptest::prelude::*;
use prost::Message;

/// Model of the platform's log with retention and stale reads.
#[derive(Default)]
struct Log {
    records: Vec<Vec<u8>>,
    first: usize,
}

impl Log {
    fn append(&mut self, record: &Record) -> u64 {
        self.records.push(record.encode_to_vec());
        self.records.len() as u64
    }

    fn page(&self, from: u64, end: usize, limit: usize) -> Page {
        let from = (from as usize).max(self.first + 1);
        let taken = (from..=end).take(limit);
        let records = taken.map(|offset| RawRecord {
            offset: offset as u64,
            payload: self.records[offset - 1].clone(),
        });
        Page {
            first_offset: self.first as u64 + 1,
            end_offset: end as u64 + 1,
            records: records.collect(),
        }
    }
}

fn change(id: u8, author: &str, file: &str, base_revision: u64, content: Option<&str>) -> Record {
    let content = content.map(|c| c.as_bytes().to_vec().into());
    let edit = FileEdit { name: file.to_owned(), base_revision, content };
    let change = Change { author: author.to_owned(), edits: vec![edit] };
    let body = Some(record::Body::Change(change));
    Record { record_id: vec![id; 16].into(), rule: RULE_VERSION, body }
}

fn snapshot(fold: &Fold) -> Record {
    let body = Some(record::Body::Snapshot(State::from(fold)));
    Record { record_id: vec![0; 16].into(), rule: RULE_VERSION, body }
}

fn read_all(reader: &mut Reader, log: &Log) {
    for _ in 0..2 * log.records.len() + 4 {
        let page = log.page(reader.next_offset(), log.records.len(), 3);
        reader.fold_page(&page).unwrap();
    }
}

#[test]
fn racing_edits() {
    let mut log = Log::default();
    log.append(&change(1, "ana", "a.json", 0, Some("{}")));
    log.append(&change(2, "bo", "a.json", 1, Some("bo")));
    log.append(&change(3, "cy", "a.json", 1, Some("cy")));
    let mut reader = Reader::default();
    let folded = reader.fold_page(&log.page(1, 3, 10)).unwrap();
    assert_eq!(folded[1].verdict, Verdict::Accepted);
    let Verdict::Refused(conflicts) = &folded[2].verdict else {
        panic!("both edits were accepted: {folded:?}");
    };
    assert_eq!((conflicts[0].revision, conflicts[0].author.as_str()), (2, "bo"));
    assert_eq!(reader.fold().file("a.json").unwrap().content.as_ref(), b"bo");
}

#[test]
fn atomic_change() {
    let mut fold = Fold::default();
    fold.apply(1, &change(1, "ana", "a", 0, Some("1")).encode_to_vec()).unwrap();
    let mut both = change(2, "bo", "b", 0, Some("2"));
    if let Some(record::Body::Change(c)) = &mut both.body {
        c.edits.push(FileEdit { name: "a".into(), base_revision: 9, content: None });
    }
    let folded = fold.apply(2, &both.encode_to_vec()).unwrap();
    assert!(matches!(folded.verdict, Verdict::Refused(_)));
    assert!(fold.file("b").is_none() && fold.file("a").is_some());
}

#[test]
fn repeated_append() {
    let mut fold = Fold::default();
    let record = change(1, "ana", "a", 0, Some("1")).encode_to_vec();
    assert_eq!(fold.apply(1, &record).unwrap().verdict, Verdict::Accepted);
    assert!(matches!(fold.apply(2, &record).unwrap().verdict, Verdict::Refused(_)));
    assert_eq!(fold.file("a").unwrap().revision, 1);
}

#[test]
fn no_rollback() {
    let mut fold = Fold::default();
    for n in 1..=3 {
        fold.apply(n, &change(n as u8, "ana", "a", n - 1, Some("x")).encode_to_vec()).unwrap();
    }
    let mut old = Fold::default();
    old.apply(1, &change(1, "ana", "a", 0, Some("x")).encode_to_vec()).unwrap();
    let older = fold.restore(State::from(&old));
    assert!(matches!(older, Err(FoldError::StaleState { as_of: 3, received: 1 })));
    let repeated = fold.apply(2, &change(2, "ana", "a", 1, Some("y")).encode_to_vec()).unwrap();
    assert_eq!(repeated.verdict, Verdict::AlreadyFolded);
    assert_eq!(fold.as_of(), 3);
}

#[test]
fn newer_rule() {
    let mut fold = Fold::default();
    let mut record = change(1, "ana", "a", 0, Some("1"));
    record.rule = RULE_VERSION + 1;
    let refused = fold.apply(1, &record.encode_to_vec());
    assert!(matches!(refused, Err(FoldError::UnknownRule { offset: 1, .. })));
    assert_eq!(fold.as_of(), 0);
}

#[test]
fn truncated_log() {
    let mut log = Log::default();
    let mut early = Reader::default();
    for n in 1..=6_u64 {
        log.append(&change(n as u8, "ana", "a", n - 1, Some("x")));
    }
    read_all(&mut early, &log);
    log.append(&snapshot(early.fold()));
    log.append(&change(8, "bo", "a", 6, Some("newest")));
    log.first = 6;
    let mut late = Reader::default();
    read_all(&mut late, &log);
    assert_eq!(late.fold().file("a").unwrap().content.as_ref(), b"newest");
    assert_eq!(late.fold().as_of(), 8);
    log.first = 7;
    let mut starved = Reader::default();
    read_all(&mut starved, &log);
    assert_eq!(starved.progress(), Progress::Starved);
    assert_eq!(starved.fold().as_of(), 0);
}

#[test]
fn late_snapshot() {
    let mut log = Log::default();
    log.append(&change(1, "ana", "a", 0, Some("old")));
    let mut reader = Reader::default();
    read_all(&mut reader, &log);
    let old = snapshot(reader.fold());
    log.append(&change(2, "bo", "a", 1, Some("new")));
    log.append(&old);
    read_all(&mut reader, &log);
    assert_eq!(reader.fold().file("a").unwrap().content.as_ref(), b"new");
    let mut fresh = Reader::default();
    log.first = 1;
    read_all(&mut fresh, &log);
    assert_eq!(fresh.fold().file("a").unwrap().content.as_ref(), b"new");
}

#[test]
fn drained_backend() {
    let mut fold = Fold::default();
    for (offset, drained) in [(1, true), (2, false)] {
        let change = Override { backend: "llm-1".into(), drained };
        let body = Some(record::Body::Override(change));
        let record = Record { record_id: vec![9; 16].into(), rule: RULE_VERSION, body };
        fold.apply(offset, &record.encode_to_vec()).unwrap();
        assert_eq!(fold.is_drained("llm-1"), drained);
    }
}

/// Operations and faults of the log and its readers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    /// An operator edits a file, based on the state of a reader.
    Edit { reader: usize, file: u8 },
    /// Like `Edit`, but the acknowledgement is lost and the record is appended again.
    EditTwice { reader: usize, file: u8 },
    /// A reader reads a page.
    Read { reader: usize },
    /// A reader receives a stale page that lacks the newest `back` records.
    Stale { reader: usize, back: usize },
    /// A reader restarts with an empty state.
    Restart { reader: usize },
    /// A reader restarts with the state of another reader.
    FromPeer { reader: usize, peer: usize },
    /// A reader appends a snapshot.
    Snapshot { reader: usize },
    /// The log truncates the records that the last snapshot includes.
    Truncate,
}

const READERS: usize = 3;

fn event() -> impl Strategy<Value = Event> {
    let reader = 0..READERS;
    prop_oneof![
        3 => (reader.clone(), 0_u8..2).prop_map(|(reader, file)| Event::Edit { reader, file }),
        1 => (reader.clone(), 0_u8..2).prop_map(|(reader, file)| Event::EditTwice { reader, file }),
        6 => reader.clone().prop_map(|reader| Event::Read { reader }),
        1 => (reader.clone(), 1_usize..5).prop_map(|(reader, back)| Event::Stale { reader, back }),
        1 => reader.clone().prop_map(|reader| Event::Restart { reader }),
        1 => (reader.clone(), reader.clone())
            .prop_map(|(reader, peer)| Event::FromPeer { reader, peer }),
        1 => reader.prop_map(|reader| Event::Snapshot { reader }),
        1 => Just(Event::Truncate),
    ]
}

struct Model {
    log: Log,
    readers: Vec<Reader>,
    reference: Fold,
    ids: u8,
    last_snapshot_as_of: usize,
}

impl Model {
    fn new() -> Self {
        Self {
            log: Log::default(),
            readers: vec![Reader::default(); READERS],
            reference: Fold::default(),
            ids: 0,
            last_snapshot_as_of: 0,
        }
    }

    fn append(&mut self, record: &Record) {
        let offset = self.log.append(record);
        self.reference.apply(offset, &record.encode_to_vec()).unwrap();
    }

    fn apply(&mut self, event: Event) -> Result<(), String> {
        match event {
            Event::Edit { reader, file } | Event::EditTwice { reader, file } => {
                self.ids = self.ids.wrapping_add(1);
                let name = format!("{file}.json");
                let base = self.readers[reader].fold().file(&name).map_or(0, |f| f.revision);
                let text = format!("{}", self.ids);
                let record = change(self.ids, "op", &name, base, Some(&text));
                self.append(&record);
                if matches!(event, Event::EditTwice { .. }) {
                    self.append(&record);
                }
            }
            Event::Read { reader } => self.read(reader, self.log.records.len())?,
            Event::Stale { reader, back } => {
                let end = self.log.records.len().saturating_sub(back).max(self.log.first);
                self.read(reader, end)?;
            }
            Event::Restart { reader } => self.readers[reader] = Reader::default(),
            Event::FromPeer { reader, peer } => {
                let state = State::from(self.readers[peer].fold());
                let mut fresh = Reader::default();
                fresh.restore(state).map_err(|e| e.to_string())?;
                self.readers[reader] = fresh;
            }
            Event::Snapshot { reader } => {
                let record = snapshot(self.readers[reader].fold());
                self.last_snapshot_as_of = self.readers[reader].fold().as_of() as usize;
                self.append(&record);
            }
            Event::Truncate => self.log.first = self.log.first.max(self.last_snapshot_as_of),
        }
        Ok(())
    }

    fn read(&mut self, reader: usize, end: usize) -> Result<(), String> {
        let before = self.readers[reader].fold().as_of();
        let page = self.log.page(self.readers[reader].next_offset(), end, 4);
        self.readers[reader].fold_page(&page).map_err(|e| e.to_string())?;
        let after = self.readers[reader].fold().as_of();
        if after < before {
            Err(format!("offset went back from {before} to {after}"))
        } else {
            Ok(())
        }
    }

    /// Checks that every reader at the end of the log has the state of a reader of all records, and
    /// that only starved readers do not reach the end.
    fn check(mut self) -> Result<(), String> {
        for reader in 0..READERS {
            read_all(&mut self.readers[reader], &self.log);
            let fold = self.readers[reader].fold();
            if fold.as_of() != self.reference.as_of() {
                let (offset, end) = (fold.as_of(), self.reference.as_of());
                let starved = self.readers[reader].progress() == Progress::Starved;
                if !starved {
                    return Err(format!("reader {reader} stays at offset {offset} of {end}"));
                }
                continue;
            }
            if State::from(fold) != State::from(&self.reference) {
                return Err(format!("reader {reader} has another state than the reference"));
            }
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(common::proptest_config(1_000))]

    #[test]
    fn readers_agree(events in vec(event(), 1..60)) {
        let mut model = Model::new();
        for event in events {
            prop_assert_eq!(model.apply(event), Ok(()));
        }
        prop_assert_eq!(model.check(), Ok(()));
    }

    #[test]
    fn random_payloads(payloads in vec(vec(any::<u8>(), 0..64), 1..20)) {
        let mut fold = Fold::default();
        for payload in payloads {
            let offset = fold.as_of() + 1;
            let folded = fold.apply(offset, &payload);
            let known = matches!(folded, Ok(_) | Err(FoldError::UnknownRule { .. }));
            prop_assert!(known);
        }
    }
}

#[test]
fn every_fault() {
    let faults: [(&str, Event); 6] = [
        ("answer lost", Event::EditTwice { reader: 0, file: 0 }),
        ("racing edit", Event::Edit { reader: 1, file: 0 }),
        ("stale answer", Event::Stale { reader: 0, back: 3 }),
        ("restart", Event::Restart { reader: 0 }),
        ("restart from peer", Event::FromPeer { reader: 0, peer: 1 }),
        ("forget", Event::Truncate),
    ];
    let script = [
        Event::Edit { reader: 0, file: 0 },
        Event::Read { reader: 0 },
        Event::Edit { reader: 0, file: 1 },
        Event::Read { reader: 1 },
        Event::Read { reader: 0 },
        Event::Snapshot { reader: 0 },
        Event::Edit { reader: 0, file: 0 },
        Event::Read { reader: 0 },
    ];
    let mut matrix = Matrix::new("configuration: two faults");
    for (first, one) in faults {
        for (second, two) in faults {
            for at in 0..script.len() {
                for later in at..script.len() {
                    let mut model = Model::new();
                    let mut result = Ok(());
                    for (step, event) in script.iter().enumerate() {
                        let hits = [(at, one), (later, two)];
                        let now = hits.into_iter().filter(|(s, _)| *s == step).map(|(_, e)| e);
                        for event in now.chain([*event]) {
                            result = result.and_then(|()| model.apply(event));
                        }
                    }
                    let violation = result.and_then(|()| model.check()).err();
                    matrix.count(format!("{first}+{second}"), at, violation);
                }
            }
        }
    }
    matrix.finish();
}
