//! Durations of requests.

use currantlink_core::durations::Durations;

#[test]
fn recent_mean() {
    let mut durations = Durations::default();
    (0..200).for_each(|_| durations.record(3_000.0));
    assert_eq!(durations.mean_ms(), 3_000.0);
    (0..200).for_each(|_| durations.record(500.0));
    assert!((500.0..510.0).contains(&durations.mean_ms()));
}

#[test]
fn no_samples() {
    assert!(Durations::default().mean_ms() > 1_000.0);
}
