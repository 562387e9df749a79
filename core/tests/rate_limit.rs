//! Division of the rates that backends name among gateways.

#![allow(clippy::unwrap_used)]

use currantlink_core::rate_limit::{LimitChange, Permit, RateLimits, RequestRate, Sighting};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const WINDOW_MS: u64 = 4_000;
const STEP_MS: u64 = 20;
const BACKEND: u32 = 7;
const ID: &str = "i-1";

fn rate(per_second: f64) -> RequestRate {
    RequestRate::try_from(per_second).unwrap()
}

fn name(index: usize) -> String {
    format!("gateway-{index}")
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(name).collect()
}

/// A gateway that has been told a rate at time 0.
fn told(index: usize, known: usize, per_second: f64, now_ms: u64) -> RateLimits<u32> {
    let mut limits = RateLimits::new(&name(index));
    limits.set_gateways(Some(names(known)), now_ms);
    let sighting = Sighting { limit: Some(rate(per_second)), seen_at_ms: now_ms };
    limits.observe(BACKEND, ID, sighting, now_ms);
    limits
}

/// Sends whenever the rate permits; returns whether a request was sent.
fn try_send(limits: &mut RateLimits<u32>, now_ms: u64) -> bool {
    let is_permitted = limits.permit(BACKEND, now_ms) == Permit::Now;
    if is_permitted {
        limits.record_request(BACKEND, now_ms);
    }
    is_permitted
}

fn most_in_window(sent_at_ms: &[u64]) -> usize {
    let in_window = |&first: &u64| {
        sent_at_ms.iter().filter(|&&at| (first..first + WINDOW_MS).contains(&at)).count()
    };
    sent_at_ms.iter().map(in_window).max().unwrap_or_default()
}

fn allowed(per_second: f64) -> usize {
    (1.5 * per_second * WINDOW_MS as f64 / 1_000.0 + 5.0) as usize
}

#[test]
fn summed_rates() {
    for gateways in [1, 3, 5, 40, 360] {
        for per_second in [0.0, 0.1, 0.5, 1.0, 1.2, 7.5, 60.0] {
            let mut all: Vec<_> = (0..gateways).map(|i| told(i, gateways, per_second, 0)).collect();
            let mut sent = Vec::new();
            for now_ms in (0..30_000).step_by(STEP_MS as usize) {
                let requests = all.iter_mut().filter_map(|l| try_send(l, now_ms).then_some(now_ms));
                sent.extend(requests);
            }
            let most = most_in_window(&sent);
            assert!(most <= allowed(per_second), "{gateways} gateways, {per_second}/s: {most}");
            let used_per_s = sent.len() as f64 / 30.0;
            assert!(used_per_s >= 0.75 * per_second, "{gateways}, {per_second}/s: {used_per_s}");
        }
    }
}

#[test]
fn saved_parts() {
    for gateways in [3, 40, 360] {
        let mut all: Vec<_> = (0..gateways).map(|index| told(index, gateways, 2.0, 0)).collect();
        let since = 60_000;
        let mut sent = Vec::new();
        for now_ms in (since..since + WINDOW_MS).step_by(STEP_MS as usize) {
            let requests = all.iter_mut().filter_map(|l| try_send(l, now_ms).then_some(now_ms));
            sent.extend(requests);
        }
        assert!(sent.len() <= allowed(2.0), "{gateways} idle gateways: {}", sent.len());
    }
}

#[test]
fn joins_and_restarts() {
    for seed in 0..20 {
        let mut rng = StdRng::seed_from_u64(seed);
        let per_second = [0.5, 1.0, 4.0][seed as usize % 3];
        let mut members = 3 + seed as usize % 40;
        let mut all: Vec<_> = (0..members).map(|i| told(i, members, per_second, 0)).collect();
        let mut sent = Vec::new();
        // Every gateway learns of a change at another time, within two seconds.
        let mut updates: Vec<(u64, usize, usize)> = Vec::new();
        for now_ms in (0..40_000).step_by(STEP_MS as usize) {
            if now_ms % 5_000 == 0 && now_ms > 0 {
                let is_join = rng.random_bool(0.5);
                let index = if is_join { members } else { rng.random_range(0..members) };
                members += usize::from(is_join);
                let fresh = told(index, members, per_second, now_ms);
                match is_join {
                    true => all.push(fresh),
                    false => all[index] = fresh,
                }
                let delays = (0..all.len())
                    .map(|i| (now_ms + STEP_MS * rng.random_range(0..2_000 / STEP_MS), i, members));
                updates.extend(delays.collect::<Vec<_>>());
            }
            for &(_, index, known) in updates.iter().filter(|(at_ms, ..)| *at_ms == now_ms) {
                all[index].set_gateways(Some(names(known)), now_ms);
            }
            let requests = all.iter_mut().filter_map(|l| try_send(l, now_ms).then_some(now_ms));
            sent.extend(requests);
        }
        let most = most_in_window(&sent);
        assert!(most <= allowed(per_second), "seed {seed}, {per_second}/s: {most}");
    }
}

#[test]
fn unknown_gateways() {
    let mut all: Vec<_> = (0..5).map(|index| RateLimits::new(&name(index))).collect();
    let mut sent = Vec::new();
    for limits in &mut all {
        limits.observe(BACKEND, ID, Sighting { limit: Some(rate(1.0)), seen_at_ms: 0 }, 0);
    }
    for now_ms in (0..20_000).step_by(STEP_MS as usize) {
        sent.extend(all.iter_mut().filter_map(|l| try_send(l, now_ms).then_some(now_ms)));
    }
    assert!(most_in_window(&sent) <= allowed(1.0));
}

#[test]
fn lifted_limit() {
    let mut limits = told(0, 1, 1.0, 1_000);
    let record = |limits: &mut RateLimits<u32>, limit, sent_at_ms, now_ms| {
        limits.record_response(BACKEND, ID, limit, sent_at_ms, now_ms)
    };
    let late = record(&mut limits, None, 900, 1_100);
    assert_eq!(late, LimitChange::Unchanged, "the request was sent before the limit was named");
    let renewed = record(&mut limits, Some(rate(1.0)), 900, 1_200);
    assert_eq!(renewed, LimitChange::Unchanged);
    assert_eq!(record(&mut limits, None, 1_100, 1_300), LimitChange::Unchanged);
    assert_eq!(record(&mut limits, None, 1_200, 1_400), LimitChange::Lifted);
    assert_eq!(limits.permit(BACKEND, 1_400), Permit::Now);
    assert_eq!(limits.announced(1_500).collect::<Vec<_>>(), [(BACKEND, None, 100)]);
    assert_eq!(limits.announced(11_400).count(), 0);
}

#[test]
fn latest_sighting() {
    let mut limits = told(0, 2, 1.0, 1_000);
    let lifted = Sighting { limit: None, seen_at_ms: 900 };
    assert_eq!(limits.observe(BACKEND, ID, lifted, 1_100), LimitChange::Unchanged);
    let lifted = Sighting { limit: None, seen_at_ms: 1_050 };
    assert_eq!(limits.observe(BACKEND, ID, lifted, 1_100), LimitChange::Lifted);
    let raised = Sighting { limit: Some(rate(3.0)), seen_at_ms: 1_060 };
    assert_eq!(limits.observe(BACKEND, ID, raised, 1_100), LimitChange::Limited(rate(3.0)));
    assert_ne!(limits.permit(BACKEND, 1_100), Permit::Now, "no burst at the start");
}

#[test]
fn delayed_echoes() {
    let mut first = told(0, 2, 1.0, 0);
    first.record_response(BACKEND, ID, Some(rate(1.0)), 50, 100);
    let mut second = told(1, 2, 1.0, 0);
    // Each message is read some time after it was sent, which makes its content look newer.
    let delay_ms = 60;
    for now_ms in (500..20_000).step_by(500) {
        for (_, limit, age_ms) in first.announced(now_ms).collect::<Vec<_>>() {
            let seen_at_ms = now_ms + delay_ms - age_ms;
            second.observe(BACKEND, ID, Sighting { limit, seen_at_ms }, now_ms + delay_ms);
        }
        assert_eq!(second.announced(now_ms).count(), 0, "what was learned is not passed on");
    }
}

#[test]
fn origin_gone() {
    let limited = |seen_at_ms| Sighting { limit: Some(rate(1.0)), seen_at_ms };
    let mut limits = told(0, 2, 1.0, 0);
    limits.record_response(BACKEND, ID, Some(rate(1.0)), 50, 100);
    limits.observe(BACKEND, ID, limited(300), 310);
    let announced: Vec<_> = limits.announced(400).collect();
    assert_eq!(announced, [(BACKEND, Some(rate(1.0)), 300)], "the other gateway may be gone");
    limits.observe(BACKEND, ID, Sighting { limit: None, seen_at_ms: 500 }, 510);
    assert_eq!(limits.announced(600).count(), 0, "another gateway saw the limit lifted");
}

#[test]
fn time_to_wait() {
    let mut limits = told(0, 1, 2.0, 0);
    assert_eq!(limits.permit(BACKEND, 0), Permit::After { wait_ms: 500 });
    assert!(try_send(&mut limits, 500));
    assert_eq!(limits.permit(BACKEND, 600), Permit::After { wait_ms: 400 });
    assert_eq!(limits.permit(BACKEND + 1, 0), Permit::Now, "other backends have no limit");
    limits.retain(|_| false);
    assert_eq!(limits.permit(BACKEND, 600), Permit::Now, "a restarted backend is another one");
}
