//! Order and admission of the requests that wait in a gateway.

use currantlink_core::turns::{Origin, SendLeft, TurnKey, WaitQueue, Waiting};

const LEFT_MS: u64 = 280;
const AWAITED_MS: u64 = 1_500;
const INTERVAL_MS: f64 = 10.0;

fn waiting(origin: Origin, now_ms: u64) -> Waiting {
    let left = SendLeft { on_time_ms: LEFT_MS, awaited_ms: AWAITED_MS };
    Waiting::new(origin, 5, now_ms, left)
}

fn join(queue: &mut WaitQueue, origin: Origin, now_ms: u64) -> Option<TurnKey> {
    queue.join(now_ms, waiting(origin, now_ms), INTERVAL_MS)
}

/// Sends all waiting requests and returns them in this order.
fn sent(queue: &mut WaitQueue, now_ms: u64) -> Vec<TurnKey> {
    std::iter::from_fn(|| {
        let key = queue.next_turns(now_ms).next()?;
        queue.record_sent(key);
        Some(key)
    })
    .collect()
}

#[test]
fn moved_first() {
    let mut queue = WaitQueue::default();
    let origins = [Origin::Returned, Origin::New, Origin::Moved, Origin::New];
    let keys = origins.map(|origin| join(&mut queue, origin, 0).unwrap());
    assert_eq!(sent(&mut queue, 1), [keys[2], keys[1], keys[3], keys[0]]);
}

#[test]
fn urgent_first() {
    let mut queue = WaitQueue::default();
    let usual = join(&mut queue, Origin::New, 0).unwrap();
    let urgent = Waiting { urgency: 1, ..waiting(Origin::New, 0) };
    let urgent = queue.join(0, urgent, INTERVAL_MS).unwrap();
    assert_eq!(sent(&mut queue, 1), [urgent, usual]);
}

#[test]
fn newest_under_overload() {
    let mut queue = WaitQueue::default();
    let old = join(&mut queue, Origin::New, 0).unwrap();
    let new = join(&mut queue, Origin::New, LEFT_MS / 2).unwrap();
    assert_eq!(queue.next_turns(LEFT_MS / 2).next(), Some(old));
    assert_eq!(sent(&mut queue, LEFT_MS / 2 + 2), [new, old]);
}

#[test]
fn rejected_at_once() {
    let mut queue = WaitQueue::default();
    let joined = (0..100).filter(|_| join(&mut queue, Origin::New, 0).is_some()).count();
    assert_eq!(joined, 28, "as many as are sent within the time that is left");
    assert!(join(&mut queue, Origin::Moved, 0).is_some(), "new requests do not delay it");
    let left = SendLeft { on_time_ms: 0, awaited_ms: AWAITED_MS };
    let late = Waiting::new(Origin::New, 5, 0, left);
    assert_eq!(queue.join(0, late, INTERVAL_MS), None, "it cannot be on time");
}

#[test]
fn stopped_backends() {
    let mut queue = WaitQueue::default();
    let request = waiting(Origin::New, 0);
    assert_eq!(queue.join(0, request, 5_000.0), None, "nothing is sent for seconds");
}

#[test]
fn moved_during_stall() {
    let mut queue = WaitQueue::default();
    let moved: Vec<_> =
        (0..3).map(|_| queue.join(0, waiting(Origin::Moved, 0), 5_000.0).unwrap()).collect();
    assert_eq!(queue.join(0, waiting(Origin::Returned, 0), 5_000.0), None);
    assert_eq!(sent(&mut queue, 1), moved);
}

#[test]
fn returned_share() {
    let mut queue = WaitQueue::default();
    let returned: Vec<_> = (0..20).map(|_| join(&mut queue, Origin::Returned, 0)).collect();
    let mut count = 0;
    for now_ms in 0..160 {
        join(&mut queue, Origin::New, now_ms);
        let key = queue.next_turns(now_ms).next().unwrap();
        queue.record_sent(key);
        count += u32::from(returned.contains(&Some(key)));
    }
    assert_eq!(count, 10, "one in sixteen while new requests keep coming");
}

#[test]
fn returned_under_overload() {
    let mut queue = WaitQueue::default();
    assert!(queue.may_overtake(Origin::Returned, 0));
    assert_eq!(queue.join(0, waiting(Origin::New, 0), 5_000.0), None);
    let returned = join(&mut queue, Origin::Returned, 0).unwrap();
    assert!(!queue.may_overtake(Origin::Returned, 1));
    assert!(queue.is_busy(999));
    assert!(queue.may_overtake(Origin::New, 1), "a new one can still be on time");
    assert_eq!(queue.next_turns(1).next(), None, "new requests are rejected");
    (0..15).for_each(|_| queue.record_sent_directly());
    assert_eq!(queue.next_turns(1).next(), Some(returned), "its turn has come");
    queue.record_sent_directly();
    assert_eq!(queue.next_turns(1).next(), None);
    assert_eq!(queue.next_turns(1_001).next(), Some(returned), "the overload is over");
    queue.record_sent(returned);
    assert!(!queue.is_busy(1_001));
}

#[test]
fn overtaking() {
    let mut queue = WaitQueue::default();
    join(&mut queue, Origin::Returned, 0).unwrap();
    assert!(!queue.may_overtake(Origin::Returned, 0), "another one came first");
    assert!(queue.may_overtake(Origin::New, 0));
    join(&mut queue, Origin::New, 0).unwrap();
    assert!(!queue.may_overtake(Origin::New, 0), "another one came first");
    assert!(queue.may_overtake(Origin::Moved, 0));
}

#[test]
fn bound_request() {
    let mut queue = WaitQueue::default();
    let bound = Waiting { has_tried: true, ..waiting(Origin::Moved, 0) };
    let bound = queue.join(0, bound, INTERVAL_MS).unwrap();
    let free = join(&mut queue, Origin::New, 0).unwrap();
    assert_eq!(queue.next_turns(1).collect::<Vec<_>>(), [bound, free]);
    queue.remove(bound);
    assert_eq!(queue.next_turns(1).collect::<Vec<_>>(), [free]);
}
