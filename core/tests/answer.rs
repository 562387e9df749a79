//! Response assembly detects frames of other calls, gaps, duplicates and truncated responses.
#![allow(clippy::unwrap_used)]

mod common;

use currantlink_core::ids::{CallKey, RequestId, WorkspaceName};
use currantlink_core::response::{FrameAction, FrameError, FrameKind, ResponseAssembler};
use proptest::collection::vec;
use proptest::prelude::*;

fn key(workspace: &str, attempt: u32) -> CallKey {
    let workspace = WorkspaceName::from(workspace);
    CallKey { workspace, request: RequestId::from([1; 16]), attempt }
}

fn started_response() -> ResponseAssembler {
    let mut assembler = ResponseAssembler::new(key("a", 0));
    assembler.accept(&key("a", 0), 0, FrameKind::Head).unwrap();
    assembler.accept(&key("a", 0), 1, FrameKind::Data(10)).unwrap();
    assembler
}

#[test]
fn complete_response() {
    let mut assembler = started_response();
    assembler.accept(&key("a", 0), 2, FrameKind::End { frames: 2, bytes: 10 }).unwrap();
    assert!(assembler.is_complete());
}

#[test]
fn other_workspace() {
    let frame = started_response().accept(&key("b", 0), 2, FrameKind::Data(1));
    assert!(matches!(frame, Err(FrameError::WrongCall { .. })));
}

#[test]
fn other_attempt() {
    let frame = started_response().accept(&key("a", 1), 2, FrameKind::Data(1));
    assert!(matches!(frame, Err(FrameError::WrongCall { .. })));
}

#[test]
fn missing_frame() {
    let gap = started_response().accept(&key("a", 0), 3, FrameKind::Data(1));
    assert_eq!(gap, Err(FrameError::Gap { expected: 2, received: 3 }));
}

#[test]
fn duplicate_frame() {
    let repeated = started_response().accept(&key("a", 0), 1, FrameKind::Data(10));
    assert_eq!(repeated, Ok(FrameAction::Duplicate));
}

#[test]
fn truncated_answer() {
    let mut assembler = started_response();
    let end = assembler.accept(&key("a", 0), 2, FrameKind::End { frames: 2, bytes: 11 });
    assert!(matches!(end, Err(FrameError::Truncated { .. })));
    assert!(!assembler.is_complete());
}

#[test]
fn missing_head() {
    let mut assembler = ResponseAssembler::new(key("a", 0));
    let data = assembler.accept(&key("a", 0), 0, FrameKind::Data(1));
    assert_eq!(data, Err(FrameError::OutOfOrder { seq: 0 }));
}

proptest! {
    #![proptest_config(common::proptest_config(1_000))]

    #[test]
    fn any_order(order in vec(0_u64..6, 0..40)) {
        let frames = [
            FrameKind::Head,
            FrameKind::Data(3),
            FrameKind::Data(4),
            FrameKind::Data(5),
            FrameKind::End { frames: 4, bytes: 12 },
        ];
        let mut assembler = ResponseAssembler::new(key("a", 0));
        let mut forwarded = Vec::new();
        for seq in order {
            let kind = frames.get(seq as usize).copied().unwrap_or(FrameKind::Data(1));
            if assembler.accept(&key("a", 0), seq, kind) == Ok(FrameAction::Forward) {
                forwarded.push(seq);
            }
        }
        let in_order: Vec<u64> = (0..forwarded.len() as u64).collect();
        prop_assert_eq!(&forwarded, &in_order);
        prop_assert_eq!(assembler.is_complete(), forwarded.len() == frames.len());
    }
}
