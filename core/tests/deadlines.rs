//! Recognition of requests that return after a rejection.

use currantlink_core::deadlines::FirstDeadlines;

const LONGEST_MS: u64 = 8_000;

/// Deadlines of first attempts that are up to 15 % shorter than the longest.
fn first_deadline_ms(index: u64) -> u64 {
    LONGEST_MS - index * 741 % (LONGEST_MS * 15 / 100)
}

#[test]
fn varied_deadlines() {
    let mut deadlines = FirstDeadlines::default();
    for index in 0..2_000 {
        let is_returned = deadlines.is_returned(index, first_deadline_ms(index), None);
        assert!(!is_returned, "first attempt {index} counts as returned");
    }
}

#[test]
fn returned_requests() {
    let mut deadlines = FirstDeadlines::default();
    for index in 0..200 {
        deadlines.is_returned(index, first_deadline_ms(index), None);
    }
    let rejected_at_ms = Some(300);
    for index in 0..2_000 {
        let first_ms = first_deadline_ms(index);
        assert!(!deadlines.is_returned(1_000, first_ms, rejected_at_ms));
        assert!(deadlines.is_returned(1_000, first_ms - 1_500, rejected_at_ms));
    }
}

#[test]
fn recognized_on_return() {
    let mut deadlines = FirstDeadlines::default();
    assert_eq!(deadlines.recognized_after_ms(LONGEST_MS), 0, "nothing to compare with");
    for index in 0..200 {
        deadlines.is_returned(index, first_deadline_ms(index), None);
    }
    for index in 0..2_000 {
        let first_ms = first_deadline_ms(index);
        let after_ms = deadlines.recognized_after_ms(first_ms);
        assert!(after_ms <= LONGEST_MS * 20 / 100, "{after_ms} ms");
        assert!(deadlines.is_returned(1_000, first_ms - after_ms, Some(300)));
    }
}

#[test]
fn unknown_deadlines() {
    let mut deadlines = FirstDeadlines::default();
    assert!(!deadlines.is_returned(1_000, 8_000, Some(900)));
    assert!(!deadlines.is_returned(1_001, 5_000, Some(900)), "nothing to compare with");
}
