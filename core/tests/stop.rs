//! Phases of a planned stop: what a stopping process accepts, and what its exit cuts off.

use std::time::Duration;

use currantlink_core::stop::Stop;
use proptest::prelude::*;

/// Age after the stop signal from which a request must not be cut off.
const LATEST_CUT_ARRIVAL: Duration = Duration::from_secs(3);
/// Share of the grace period before which no request may be cut off.
const EARLIEST_CUT_SHARE: f64 = 5.0 / 6.0;
/// Time for two failed readiness checks, after which the platform sends no new connections.
const READINESS_TIME: Duration = Duration::from_secs(2);

proptest! {
    #[test]
    fn cut_requests(
        grace_ms in 500u64..60_000,
        arrival_ms in 0u64..60_000,
        remaining_ms in 0u64..60_000,
    ) {
        let grace = Duration::from_millis(grace_ms);
        let arrival = Duration::from_millis(arrival_ms);
        let remaining = Duration::from_millis(remaining_ms);
        let stop = Stop::begin(grace);
        let is_accepted = stop.acceptance().accepts(arrival, remaining);
        let exits_after = stop.close().exits_after();
        let is_cut_off = is_accepted && arrival + remaining > exits_after;
        prop_assert!(!is_cut_off || arrival < LATEST_CUT_ARRIVAL);
        prop_assert!(exits_after >= grace.mul_f64(EARLIEST_CUT_SHARE) && exits_after < grace);
    }

    #[test]
    fn time_left(grace_ms in 500u64..60_000) {
        let grace = Duration::from_millis(grace_ms);
        let stop = Stop::begin(grace);
        let drains_for = stop.drains_for();
        prop_assert!(stop.close().exits_after() - drains_for >= grace.mul_f64(0.4));
    }
}

#[test]
fn short_deadlines() {
    let acceptance = Stop::begin(Duration::from_secs(8)).acceptance();
    let (short, long) = (Duration::from_secs(1), Duration::from_secs(8));
    assert!(acceptance.accepts(Duration::from_secs(1), long));
    assert!(acceptance.accepts(Duration::from_secs(5), short));
    assert!(!acceptance.accepts(Duration::from_secs(5), long));
    assert!(!acceptance.accepts(Duration::from_secs(7), short));
}

#[test]
fn rerouted_callers() {
    assert!(Stop::begin(Duration::from_secs(8)).drains_for() >= READINESS_TIME);
}
