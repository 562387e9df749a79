//! Model of the time that a pass of an engine takes, how uneven an expert map may be before streams
//! pause for longer than their target, and how many requests a slow engine may run.
//!
//! All ranks of a group execute each pass together, so one slow rank delays the streams of all. Its
//! part of a pass shrinks with the requests that it runs.

use crate::routes::EngineProfile;

/// Relative slowdown of passes while experts are copied.
pub const COPY_SLOWDOWN: f64 = 0.15;
/// Number of prompts that the slowest rank of a group reads during a pass.
const PROMPTS_PER_PASS: f64 = 2.0;
/// Share of the tolerable excess load from which a new map is planned. Demand moves on while the map
/// is planned and copied.
const REPLAN_SHARE: f64 = 0.9;

/// Returns the time of a pass with `running` requests, no prompts to read and an even expert map.
pub fn pass_ms(engine: &EngineProfile, running: f64) -> f64 {
    f64::from(engine.stride_steps) * (engine.step_ms + engine.per_request_ms * running)
}

/// Returns the skew above which a new map is worth its copies, for `running` requests per engine: far
/// enough below that at which passes take as long as the pause target.
///
/// The skew is the load of the most loaded rank over the mean, averaged over the sets.
pub fn replan_skew(
    engine: &EngineProfile,
    expert_share: f64,
    running: f64,
    pause_target_ms: f64,
) -> f64 {
    let prompt_ms = engine.mean_prompt_tokens / engine.prefill_tokens_per_ms.max(f64::MIN_POSITIVE);
    let even_ms = pass_ms(engine, running) + PROMPTS_PER_PASS * prompt_ms;
    let factor = pause_target_ms / (1.0 + COPY_SLOWDOWN) / even_ms.max(f64::MIN_POSITIVE);
    let tolerable_excess = (factor - 1.0) / expert_share.max(f64::MIN_POSITIVE);
    1.0 + REPLAN_SHARE * tolerable_excess.max(0.0)
}

/// Returns the paces of engines relative to their median, at least 1. A pace of 0 is unknown and counts
/// as normal.
///
/// If most engines are slow, work cannot be moved away from them, so only those that are slower than the
/// median count as slow.
pub fn relative_paces(paces: impl IntoIterator<Item = f64>) -> Vec<f64> {
    let paces: Vec<f64> = paces.into_iter().map(|pace| pace.max(1.0)).collect();
    let mut sorted = paces.clone();
    sorted.sort_by(f64::total_cmp);
    let median = sorted.get(sorted.len().saturating_sub(1) / 2).copied().unwrap_or(1.0);
    paces.into_iter().map(|pace| (pace / median).max(1.0)).collect()
}

/// Returns how many requests an engine may run at `relative_pace` so that its part of a pass takes no
/// longer than that of an engine of normal speed with all slots in use. 0 if even an empty pass takes
/// longer.
pub fn usable_slots(engine: &EngineProfile, slots: u32, relative_pace: f64) -> u32 {
    if relative_pace <= 1.0 || engine.per_request_ms <= 0.0 {
        return slots;
    }
    let full_step_ms = engine.step_ms + engine.per_request_ms * f64::from(slots);
    let usable = (full_step_ms / relative_pace - engine.step_ms) / engine.per_request_ms;
    // The conversion saturates, so a negative number is 0.
    (usable as u32).min(slots)
}
