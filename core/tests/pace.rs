//! The pass time model: how uneven a map may be before a new one is planned.

use currantlink_core::pace::{pass_ms, relative_paces, replan_skew, usable_slots};
use currantlink_core::routes::EngineProfile;

const EXPERT_SHARE: f64 = 0.85;
const PAUSE_TARGET_MS: f64 = 120.0;

fn engine() -> EngineProfile {
    EngineProfile {
        slots: 12,
        stride_steps: 6,
        step_ms: 4.84,
        per_request_ms: 0.362,
        prefill_tokens_per_ms: 74.8,
        mean_prompt_tokens: 800.0,
        mean_response_tokens: 160.0,
        experts: None,
    }
}

fn replan_skew_at(running: f64, pause_target_ms: f64) -> f64 {
    replan_skew(&engine(), EXPERT_SHARE, running, pause_target_ms)
}

#[test]
fn light_load() {
    let (light, heavy) =
        (replan_skew_at(4.0, PAUSE_TARGET_MS), replan_skew_at(12.0, PAUSE_TARGET_MS));
    assert!(
        light > heavy && heavy > 1.0,
        "{light} with few requests, {heavy} with all slots in use"
    );
}

#[test]
fn pause_target_kept() {
    for running in [0.0, 4.0, 8.0, 12.0] {
        let skew = replan_skew_at(running, PAUSE_TARGET_MS);
        let pass = pass_ms(&engine(), running) * (1.0 - EXPERT_SHARE + EXPERT_SHARE * skew);
        assert!(pass < PAUSE_TARGET_MS, "{pass} ms with {running} requests");
    }
}

#[test]
fn short_target() {
    assert_eq!(replan_skew_at(12.0, 40.0), 1.0, "no skew is bearable");
}

/// Guards against a slow rank that delays the streams of its whole group although others have room.
#[test]
fn slow_engine_slots() {
    let engine = engine();
    assert_eq!(usable_slots(&engine, 12, 1.0), 12);
    let slots = [1.1, 1.3, 1.6, 2.15].map(|pace| usable_slots(&engine, 12, pace));
    assert!(slots.is_sorted_by(|a, b| a > b || *a == 0), "{slots:?}");
    assert_eq!(slots[3], 0, "an empty pass takes longer than a full one of the others");
    let full_ms = pass_ms(&engine, 12.0);
    for (slots, pace) in slots.into_iter().zip([1.1, 1.3, 1.6]) {
        assert!(pace * pass_ms(&engine, f64::from(slots)) <= full_ms || slots == 0);
    }
}

/// Guards against work that is taken from most engines because they are slow, and overloads the others.
#[test]
fn most_engines_slow() {
    assert_eq!(relative_paces([2.0, 2.0, 2.0, 1.0]), [1.0, 1.0, 1.0, 1.0]);
    assert_eq!(relative_paces([0.0, 1.0, 3.0]), [1.0, 1.0, 3.0]);
    assert!(relative_paces([]).is_empty());
}
