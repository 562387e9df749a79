//! Order of waiting requests of several urgency classes and workspaces.

#![allow(clippy::unwrap_used)]

use currantlink_core::turns::{
    Origin, SendLeft, TurnKey, UrgencyClass, WaitQueue, Waiting, WorkspaceKey,
};

const LEFT_MS: u64 = 280;
const AWAITED_MS: u64 = 1_500;
const INTERVAL_MS: f64 = 10.0;

fn waiting(class: u8, origin: Origin) -> Waiting {
    let left = SendLeft { on_time_ms: LEFT_MS, awaited_ms: AWAITED_MS };
    Waiting { class: UrgencyClass(class), ..Waiting::new(origin, 0, 0, left) }
}

fn of_workspace(workspace: u64) -> Waiting {
    Waiting { workspace: WorkspaceKey(workspace), ..waiting(1, Origin::New) }
}

fn join(queue: &mut WaitQueue, request: Waiting) -> Option<TurnKey> {
    queue.join(0, request, INTERVAL_MS)
}

/// Sends all waiting requests and returns them in this order.
fn sent(queue: &mut WaitQueue) -> Vec<TurnKey> {
    let send = || {
        let key = queue.next_turns(1).next()?;
        queue.record_sent(key);
        Some(key)
    };
    std::iter::from_fn(send).collect()
}

// A returned urgent request stood behind all new less urgent ones.
#[test]
fn class_before_origin() {
    let mut queue = WaitQueue::default();
    let [new, returned, moved] = [(2, Origin::New), (0, Origin::Returned), (1, Origin::Moved)]
        .map(|(class, origin)| join(&mut queue, waiting(class, origin)).unwrap());
    assert_eq!(sent(&mut queue), [returned, moved, new]);
}

// An urgent request was rejected because of less urgent ones that it overtakes.
#[test]
fn less_urgent_not_counted() {
    let mut queue = WaitQueue::default();
    let less: Vec<_> =
        (0..28).map(|_| join(&mut queue, waiting(1, Origin::New)).unwrap()).collect();
    assert_eq!(join(&mut queue, waiting(1, Origin::New)), None);
    assert!(queue.take_yielded().is_empty(), "requests of one class do not give way");
    assert!(join(&mut queue, waiting(0, Origin::New)).is_some());
    assert_eq!(queue.take_yielded(), less[27..], "the last one can no longer be sent in time");
    assert_eq!(queue.len(), 28);
}

#[test]
fn moved_does_not_give_way() {
    let mut queue = WaitQueue::default();
    join(&mut queue, waiting(1, Origin::Moved)).unwrap();
    for _ in 0..28 {
        join(&mut queue, waiting(0, Origin::New)).unwrap();
    }
    assert!(queue.take_yielded().is_empty());
    assert_eq!(queue.len(), 29);
}

// Returned requests are let through once in 16 while new ones of their class are rejected. This must
// not let less urgent ones pass.
#[test]
fn returned_before_less_urgent() {
    let mut queue = WaitQueue::default();
    assert_eq!(queue.join(0, waiting(0, Origin::New), 5_000.0), None);
    let returned = join(&mut queue, waiting(0, Origin::Returned)).unwrap();
    assert!(!queue.may_overtake_in(UrgencyClass(1), Origin::New, 1));
    assert!(queue.may_overtake_in(UrgencyClass(0), Origin::New, 1));
    let less = join(&mut queue, waiting(1, Origin::New)).unwrap();
    assert_eq!(sent(&mut queue), [returned, less]);
}

#[test]
fn less_urgent_overload() {
    let mut queue = WaitQueue::default();
    assert_eq!(queue.join(0, waiting(1, Origin::New), 5_000.0), None);
    assert!(queue.may_overtake_in(UrgencyClass(0), Origin::Returned, 1));
    assert!(!queue.may_overtake_in(UrgencyClass(1), Origin::Returned, 1));
}

// The wait of a less urgent request was underestimated, because more urgent ones that come later
// overtake it. It was then rejected late.
#[test]
fn share_of_more_urgent() {
    let mut queue = WaitQueue::default();
    for index in 0..400_u32 {
        queue.record_sent_directly_in(UrgencyClass((index % 2) as u8));
    }
    let count = |queue: &mut WaitQueue, class| {
        (0..100).filter(|_| join(queue, waiting(class, Origin::New)).is_some()).count()
    };
    assert!((12..=15).contains(&count(&mut queue, 1)), "half of the turns are theirs");
    assert_eq!(count(&mut queue, 0), 28);
}

#[test]
fn workspaces_take_turns() {
    let mut queue = WaitQueue::default();
    let large: Vec<_> = (0..4).map(|_| join(&mut queue, of_workspace(1)).unwrap()).collect();
    let small: Vec<_> = (0..2).map(|_| join(&mut queue, of_workspace(2)).unwrap()).collect();
    let other = join(&mut queue, of_workspace(3)).unwrap();
    let expected = [large[0], small[0], other, large[1], small[1], large[2], large[3]];
    assert_eq!(sent(&mut queue), expected);
}

// A workspace that fills the queue must not have all requests of others rejected.
#[test]
fn small_workspace_joins() {
    let mut queue = WaitQueue::default();
    let large: Vec<_> = (0..28).map(|_| join(&mut queue, of_workspace(1)).unwrap()).collect();
    assert_eq!(join(&mut queue, of_workspace(1)), None);
    let small = join(&mut queue, of_workspace(2)).unwrap();
    assert_eq!(queue.take_yielded(), large[27..]);
    assert_eq!(sent(&mut queue)[1], small);
}

#[test]
fn late_gives_way() {
    let mut queue = WaitQueue::default();
    let keys: Vec<_> =
        (0..28).map(|_| join(&mut queue, waiting(1, Origin::New)).unwrap()).collect();
    queue.yield_late(0, INTERVAL_MS, |_| true);
    assert!(queue.take_yielded().is_empty());
    queue.yield_late(100, INTERVAL_MS, |_| true);
    assert_eq!(queue.take_yielded(), keys[18..]);
}
