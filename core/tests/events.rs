//! Event streams are split at event boundaries for every chunking of the bytes.

mod common;

use currantlink_core::events::{EventSplitter, MAX_EVENT_BYTES, continues};
use proptest::prelude::*;

fn stream(count: u64) -> Vec<u8> {
    (1..=count).flat_map(|id| format!("id: {id}\ndata: piece {id}\n\n").into_bytes()).collect()
}

proptest! {
    #![proptest_config(common::proptest_config(256))]

    #[test]
    fn any_split(count in 1u64..30, cuts in prop::collection::vec(0usize..600, 0..20), end in 0usize..700) {
        let bytes = stream(count);
        let bytes = &bytes[..end.min(bytes.len())];
        let mut cuts: Vec<usize> = cuts.into_iter().map(|cut| cut.min(bytes.len())).collect();
        cuts.extend([0, bytes.len()]);
        cuts.sort_unstable();
        let mut splitter = EventSplitter::default();
        let mut complete = Vec::new();
        for range in cuts.windows(2) {
            complete.extend(splitter.push(&bytes[range[0]..range[1]]).unwrap());
        }
        let events = complete.windows(2).filter(|w| w == b"\n\n").count() as u64;
        prop_assert_eq!(&complete, &stream(events));
        prop_assert_eq!(splitter.last_id(), (events > 0).then_some(events));
        prop_assert_eq!(splitter.has_partial(), complete.len() < bytes.len());
    }
}

#[test]
fn carriage_returns() {
    let mut splitter = EventSplitter::new(Some(3));
    assert_eq!(splitter.push(b"id: 4\r\ndata: x\r\n\r").unwrap(), b"");
    assert_eq!(splitter.last_id(), Some(3));
    assert_eq!(splitter.push(b"\nid: 5").unwrap(), b"id: 4\r\ndata: x\r\n\r\n");
    assert_eq!(splitter.last_id(), Some(4));
    splitter.drop_partial();
    assert!(!splitter.has_partial());
}

#[test]
fn endless_event() {
    let mut splitter = EventSplitter::default();
    assert!(splitter.push(&vec![b'x'; MAX_EVENT_BYTES]).is_some());
    assert!(splitter.push(b"x").is_none());
}

#[test]
fn continued_streams() {
    assert!(continues(b"id: 3\ndata: a\n\nid: 4\ndata: b\n\n", 2));
    assert!(continues(b"id: 7\r\ndata: a\r\n\r\nid: 1\r\n\r\n", 2), "ids may have gaps");
    assert!(!continues(b"id: 2\ndata: a\n\nid: 3\ndata: b\n\n", 2), "an event that was passed on");
    assert!(!continues(b"data: a\n\nid: 3\ndata: b\n\n", 2), "an event without an id");
    assert!(!continues(b"not found\n\n", 2) && !continues(b"", 2) && !continues(b"\xff\n\n", 2));
}
