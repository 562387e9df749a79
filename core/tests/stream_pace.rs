//! Expected durations of streams from the events of those in progress.

use currantlink_core::routes::EngineProfile;
use currantlink_core::stream_pace::StreamPace;

const EVENTS: f64 = 26.0;

fn engine() -> EngineProfile {
    EngineProfile {
        slots: 12,
        stride_steps: 6,
        step_ms: 4.84,
        per_request_ms: 0.36,
        prefill_tokens_per_ms: 74.8,
        mean_prompt_tokens: 840.0,
        mean_response_tokens: 156.0,
        experts: None,
    }
}

/// Plays ten streams that have an event each 50 ms, until 1,000 ms.
fn steady_streams() -> StreamPace {
    let mut pace = StreamPace::default();
    (0..10).for_each(|_| pace.begin_stream());
    for now_ms in (50..=1_000).step_by(50) {
        (0..10).for_each(|_| pace.record_event(now_ms, Some(50.0)));
    }
    pace
}

#[test]
fn steady_pace() {
    assert!((steady_streams().duration_ms(1_010, &engine()) - 50.0 * EVENTS).abs() < 1.0);
}

#[test]
fn slow_pass() {
    let pace = steady_streams();
    assert_eq!(pace.duration_ms(1_300, &engine()), 300.0 * EVENTS, "the pass has not ended");
}

#[test]
fn idle_time() {
    let mut pace = steady_streams();
    (0..10).for_each(|_| pace.end_stream());
    assert!(pace.duration_ms(60_000, &engine()) < 51.0 * EVENTS, "nothing is in progress");
}
