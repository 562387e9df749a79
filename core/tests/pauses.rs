//! Pauses that backends request, over many backends and gateways.

use std::time::Duration;

use currantlink_core::pauses::Pauses;
use currantlink_core::rate_limit::Permit;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const STEP_MS: u64 = 20;
const DAY_MS: u64 = 60_000;
/// Time from a rejection by which its pause must be kept, and requests that may arrive during it.
const KEPT_AFTER_MS: u64 = 500;
const ALLOWED: usize = 2;

/// A request of a gateway on its way to a backend or back.
struct Request {
    backend: usize,
    sent_at_ms: u64,
    arrives_ms: u64,
    returns_ms: u64,
    pause: Option<Duration>,
}

/// Sends requests to backends that reject some of them, with pauses drawn at random. Returns the largest
/// number of arrivals during a pause, and the number of requests that were answered.
fn play(backends: usize, per_step: usize, seed: u64) -> (usize, usize) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut pauses = Pauses::<usize>::default();
    let mut requests = Vec::<Request>::new();
    let mut windows = Vec::<(usize, u64, u64, usize)>::new();
    let mut answered = 0;
    for now_ms in (0..DAY_MS).step_by(STEP_MS as usize) {
        for request in &mut requests {
            let Request { backend, arrives_ms, .. } = *request;
            if arrives_ms != now_ms {
                continue;
            }
            for (_, from_ms, until_ms, arrivals) in windows.iter_mut().filter(|w| w.0 == backend) {
                *arrivals += usize::from((*from_ms..*until_ms).contains(&now_ms));
            }
            if rng.random_bool(0.1) {
                let pause_ms = rng.random_range(100..6_000);
                request.pause = Some(Duration::from_millis(pause_ms));
                windows.push((backend, now_ms + KEPT_AFTER_MS, now_ms + pause_ms, 0));
            }
        }
        for request in requests.extract_if(.., |request| request.returns_ms <= now_ms) {
            match request.pause {
                Some(pause) => pauses.record_pause(request.backend, pause, now_ms),
                None => pauses.record_response(request.backend, request.sent_at_ms),
            }
            answered += usize::from(request.pause.is_none());
        }
        for _ in 0..per_step {
            let backend = rng.random_range(0..backends);
            let in_flight = requests.iter().filter(|r| r.backend == backend).count() as u32;
            if pauses.permit(backend, in_flight, now_ms) == Permit::Now {
                let arrives_ms = now_ms + STEP_MS * rng.random_range(1..5);
                let returns_ms = arrives_ms + STEP_MS * rng.random_range(1..10);
                let sent_at_ms = now_ms;
                requests.push(Request { backend, sent_at_ms, arrives_ms, returns_ms, pause: None });
            }
        }
    }
    (windows.iter().map(|window| window.3).max().unwrap_or_default(), answered)
}

#[test]
fn pauses_kept() {
    for seed in 0..20 {
        for (backends, per_step) in [(1, 1), (3, 5), (60, 10)] {
            let (most, answered) = play(backends, per_step, seed);
            assert!(most <= ALLOWED, "{backends} backends, seed {seed}: {most} during a pause");
            assert!(answered > 0, "{backends} backends, seed {seed}: none answered");
        }
    }
}

#[test]
fn gradual_return() {
    let mut pauses = Pauses::<u32>::default();
    pauses.record_pause(1, Duration::from_millis(1_500), 0);
    assert_eq!(pauses.permit(1, 0, 500), Permit::After { wait_ms: 1_000 });
    assert!(pauses.is_paused(1, 1_499) && !pauses.is_paused(1, 1_500));
    assert_eq!(pauses.permit(1, 0, 1_500), Permit::Now);
    assert_ne!(pauses.permit(1, 1, 1_500), Permit::Now, "one request shows whether it takes more");
    pauses.record_response(1, 100);
    assert_ne!(pauses.permit(1, 1, 1_500), Permit::Now, "the response to an earlier request");
    pauses.record_response(1, 1_500);
    assert_eq!(pauses.permit(1, 1, 1_600), Permit::Now);
    assert_ne!(pauses.permit(1, 2, 1_600), Permit::Now);
    (0..10).for_each(|_| pauses.record_response(1, 1_700));
    assert_eq!(pauses.permit(1, 1_000, 1_800), Permit::Now, "recovered");
    assert_eq!(pauses.permit(2, 1_000, 0), Permit::Now, "the pause of another backend");
}

#[test]
fn later_requests() {
    let mut pauses = Pauses::<u32>::default();
    pauses.record_pause(1, Duration::from_millis(5_000), 0);
    pauses.record_pause(1, Duration::from_millis(100), 1_000);
    assert!(pauses.is_paused(1, 4_999), "the longer pause was requested too");
    pauses.record_pause(1, Duration::MAX, 2_000);
    assert!(pauses.is_paused(1, 500_000));
    assert!(!pauses.is_paused(1, 700_000), "a limit for absurd values");
    pauses.retain(|_| false);
    assert!(!pauses.is_paused(1, 3_000));
}
