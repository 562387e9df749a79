//! The retries of all gateways together stay within the common budget.

mod common;

use currantlink_core::share::{RetryBudgetLimits, RetryShare};
use proptest::prelude::*;

const LIMITS: RetryBudgetLimits = RetryBudgetLimits { ratio: 0.2, slack: 90.0, window_ms: 10_000 };

proptest! {
    #![proptest_config(common::proptest_config(256))]

    #[test]
    fn common_budget(
        gateways in 1usize..8,
        events in prop::collection::vec((0usize..8, any::<bool>(), 0u64..60), 1..600),
    ) {
        let mut shares = vec![RetryShare::new(LIMITS); gateways];
        let mut now_ms = 0;
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for (index, is_request, pause_ms) in events {
            now_ms += pause_ms;
            let share = &mut shares[index % gateways];
            if is_request {
                share.record_request(now_ms);
                requests.push(now_ms);
            } else if share.try_retry(now_ms, gateways) {
                retries.push(now_ms);
            }
            let in_window = |times: &[u64]| {
                times.iter().filter(|&&at| at + LIMITS.window_ms >= now_ms).count() as f64
            };
            // A request up to one bucket before the window may still count in the oldest bucket.
            let counted = requests.iter().filter(|&&at| at + LIMITS.window_ms + 500 >= now_ms).count();
            let allowed = LIMITS.ratio * counted as f64 + LIMITS.slack;
            prop_assert!(in_window(&retries) <= allowed);
        }
    }
}

#[test]
fn expired_window() {
    let mut share = RetryShare::new(LIMITS);
    let taken = (0..1_000).filter(|_| share.try_retry(0, 3)).count();
    assert_eq!(taken, 21, "0.7 of a third of the slack");
    assert!(!share.try_retry(9_000, 3));
    assert!(share.try_retry(11_000, 3), "the window has passed");
}
