//! Rules that choose the backend to load an adapter on.

use currantlink_bench::rules::{Host, Rule, place};
use currantlink_core::ids::BackendKey;

#[test]
fn placement_rules() {
    let host = |backend, free_mb, load_tokens| Host {
        backend: BackendKey(backend),
        free_mb,
        load_tokens,
        has_adapter: false,
    };
    let hosts = [host(0, 1_000, 10), host(1, 250, 40), host(2, 100, 0), host(3, 400, 11)];
    assert_eq!(place(&hosts, 200, Rule::LeastLoaded), Some(BackendKey(0)));
    assert_eq!(place(&hosts, 200, Rule::BestFit), Some(BackendKey(1)));
    assert_eq!(place(&hosts, 200, Rule::BalancedFit), Some(BackendKey(3)));
    assert_eq!(place(&hosts, 2_000, Rule::BestFit), None);
    assert_eq!(place(&[Host { has_adapter: true, ..hosts[0] }], 1, Rule::BestFit), None);
}
