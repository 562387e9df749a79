//! The limiter reduces concurrency if more running requests would make all streams late.

use currantlink_core::concurrency::{ConcurrencyLimiter, StreamPauses};
use currantlink_core::routes::EngineProfile;

const SLOTS: u32 = 10;
const TARGET_MS: u64 = 120;
const EVENTS_PER_STREAM: u32 = 23;
const SHIFT_INTERVAL_MS: f64 = 2_400.0;
const RUN_MS: f64 = 30_000.0;

fn engine() -> EngineProfile {
    EngineProfile {
        slots: SLOTS,
        stride_steps: 7,
        step_ms: 4.84,
        per_request_ms: 0.435,
        prefill_tokens_per_ms: 74.8,
        mean_prompt_tokens: 840.0,
        mean_response_tokens: 161.0,
        experts: None,
    }
}

#[derive(Default)]
struct Stream {
    events: u32,
    longest_ms: f64,
    total_ms: f64,
    running: f64,
}

/// Simulates one engine that receives `per_s` requests per second and returns the value of its
/// responses. The limiter bounds the running requests if `limited`, the slots otherwise. Passes
/// take `slow_factor` times as long for a quarter of each demand shift.
fn total_value(per_s: f64, slow_factor: f64, limited: bool) -> f64 {
    let engine = engine();
    let mut limiter = ConcurrencyLimiter::default();
    let (mut now_ms, mut arrivals, mut value) = (0.0, 0.0, 0.0);
    let mut running: Vec<Stream> = Vec::new();
    while now_ms < RUN_MS {
        let is_slow = now_ms % SHIFT_INTERVAL_MS < SHIFT_INTERVAL_MS / 4.0;
        let factor = if is_slow { slow_factor } else { 1.0 };
        let baseline_ms = 7.0 * (engine.step_ms + engine.per_request_ms * running.len() as f64);
        let pass_ms = baseline_ms * factor;
        now_ms += pass_ms;
        for stream in &mut running {
            stream.events += 1;
            stream.longest_ms = stream.longest_ms.max(pass_ms);
            stream.total_ms += pass_ms;
        }
        let count = running.len() as f64;
        for stream in running.extract_if(.., |stream| stream.events == EVENTS_PER_STREAM) {
            value += if stream.longest_ms <= TARGET_MS as f64 { 1.0 } else { 0.5 };
            let mean_ms = stream.total_ms / f64::from(EVENTS_PER_STREAM);
            let pauses =
                StreamPauses { longest_ms: stream.longest_ms, mean_ms, running: stream.running };
            limiter.record_stream(now_ms as u64, pauses, &engine);
        }
        arrivals += per_s * pass_ms / 1_000.0;
        let limit = if limited { limiter.limit(now_ms as u64, TARGET_MS, &engine) } else { SLOTS };
        while arrivals >= 1.0 {
            arrivals -= 1.0;
            if running.len() < limit as usize {
                running.push(Stream { running: count, ..Stream::default() });
            }
        }
    }
    value
}

#[test]
fn overload_value() {
    for slow_factor in [1.9, 2.1, 2.3] {
        let (limited, full) =
            (total_value(6.0, slow_factor, true), total_value(6.0, slow_factor, false));
        assert!(limited > full, "slowed by {slow_factor}: {limited} against {full}");
    }
}

#[test]
fn light_load() {
    for slow_factor in [1.0, 1.5, 2.3] {
        let (limited, full) =
            (total_value(2.0, slow_factor, true), total_value(2.0, slow_factor, false));
        assert!(limited >= full, "slowed by {slow_factor}: {limited} against {full}");
    }
}

#[test]
fn unreachable_target() {
    let mut limiter = ConcurrencyLimiter::default();
    let pauses = StreamPauses { longest_ms: 500.0, mean_ms: 400.0, running: 5.0 };
    (0..50).for_each(|_| limiter.record_stream(0, pauses, &engine()));
    assert_eq!(
        limiter.limit(1, TARGET_MS, &engine()),
        SLOTS,
        "no limit if all streams are late anyway"
    );
}

#[test]
fn expired_samples() {
    let mut limiter = ConcurrencyLimiter::default();
    let pauses = StreamPauses { longest_ms: 115.0, mean_ms: 100.0, running: 5.0 };
    (0..50).for_each(|_| limiter.record_stream(0, pauses, &engine()));
    assert_eq!(limiter.limit(1, TARGET_MS, &engine()), 5);
    assert_eq!(limiter.limit(20_000, TARGET_MS, &engine()), SLOTS);
}
