//! What is left of the time that callers wait for an event.

use currantlink_core::patience::Patience;
use currantlink_core::stream_pace::StreamPace;
use proptest::prelude::*;

const EVENT_WAIT_MS: u64 = 2_000;

fn after(unheard_ms: u64) -> Patience {
    let event_wait_ms = Some(EVENT_WAIT_MS);
    Patience { event_wait_ms, unheard_ms, deadline_left_ms: 8_000 - unheard_ms }
}

#[test]
fn answered_before_leaving() {
    for unheard_ms in 0..EVENT_WAIT_MS {
        assert!(unheard_ms + after(unheard_ms).left_ms() < EVENT_WAIT_MS);
    }
    assert_eq!(after(5_000).left_ms(), 0);
}

#[test]
fn until_deadline() {
    let patience = Patience { event_wait_ms: None, unheard_ms: 5_000, deadline_left_ms: 3_000 };
    assert_eq!(patience.left_ms(), 3_000, "it waits for no events");
    assert_eq!(Patience { deadline_left_ms: 0, ..patience }.left_ms(), 0);
    assert!(!patience.ends_before_deadline());
    let near_deadline = Patience { deadline_left_ms: 40, ..after(0) };
    assert_eq!(near_deadline.left_ms(), 40);
    assert!(!near_deadline.ends_before_deadline(), "its deadline passes first");
    assert!(after(0).ends_before_deadline());
}

#[test]
fn sent_in_vain() {
    assert_eq!(after(500).send_left_ms(1_300.0), Some(100));
    assert_eq!(after(700).send_left_ms(1_300.0), None);
}

#[test]
fn least_start() {
    let mut pace = StreamPace::default();
    assert!(pace.least_start_ms(0) < 200.0, "nothing was measured");
    (0..100).for_each(|index| pace.record_start(index * 10, 1_300.0 + (index % 2) as f64 * 200.0));
    let least_ms = pace.least_start_ms(1_000);
    assert!((1_200.0..1_400.0).contains(&least_ms), "{least_ms}");
    assert!(pace.least_start_ms(3_000) < 200.0, "the measurement is too old");
}

proptest! {
    #[test]
    fn within_patience(unheard_ms in 0..3_000_u64, deadline_left_ms in 0..9_000_u64, start_ms in 0.0..3_000.0) {
        let patience = Patience { event_wait_ms: Some(EVENT_WAIT_MS), unheard_ms, deadline_left_ms };
        prop_assert!(patience.left_ms() <= deadline_left_ms);
        if let Some(send_left_ms) = patience.send_left_ms(start_ms) {
            let event_ms = unheard_ms as f64 + send_left_ms as f64 + start_ms.floor();
            prop_assert!(event_ms < EVENT_WAIT_MS as f64);
        }
    }
}
