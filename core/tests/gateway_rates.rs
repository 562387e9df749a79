//! Rates of gateways that announce them to each other.

use currantlink_core::gateway_rates::{GatewayRates, MAX_ANNOUNCEMENT_AGE_MS, ServiceRate};

const SERVICE: &str = "model";

fn rate(per_s: f64) -> ServiceRate {
    ServiceRate { service: SERVICE.to_owned(), per_s }
}

fn others_sum_per_s(rates: &GatewayRates, now_ms: u64) -> f64 {
    rates.others_per_s(SERVICE, now_ms).map(|(_, per_s)| per_s).sum()
}

/// Guards against shares that rest on gateways which have stopped.
#[test]
fn expired_announcement() {
    let mut rates = GatewayRates::default();
    rates.record_announcement("b", [rate(4.0)], 1_000);
    rates.record_announcement("c", [rate(6.0)], 2_000);
    assert_eq!(others_sum_per_s(&rates, 2_000), 10.0);
    let later_ms = 1_000 + MAX_ANNOUNCEMENT_AGE_MS;
    assert_eq!(others_sum_per_s(&rates, later_ms), 6.0);
    rates.remove_expired(later_ms);
    let names: Vec<&str> = rates.others_per_s(SERVICE, later_ms).map(|(name, _)| name).collect();
    assert_eq!(names, ["c"]);
}

/// Guards against a malformed announcement that makes all shares invalid.
#[test]
fn invalid_announcement() {
    let mut rates = GatewayRates::default();
    rates.record_announcement("b", [rate(f64::NAN)], 0);
    rates.record_announcement("c", [rate(-1.0)], 0);
    assert_eq!(others_sum_per_s(&rates, 0), 0.0);
}

/// Guards against an announced rate that does not follow the arrivals.
#[test]
fn own_rate() {
    let mut rates = GatewayRates::default();
    (0..3_000).step_by(20).for_each(|now_ms| rates.record_arrival(SERVICE, now_ms));
    let announced = rates.announced(3_000);
    assert!((announced[0].per_s - 50.0).abs() < 5.0, "{announced:?}");
    assert!(rates.announced(60_000).is_empty());
}
