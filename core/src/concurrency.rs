//! Adaptive concurrency limit per engine, which keeps the pauses of streams below their target.
//!
//! The limit applies when demand exceeds the capacity of the engines. A pass of an engine, which
//! executes a fixed number of token steps, takes longer with each running request. In a group it
//! also takes longer with an uneven expert map. If passes take longer than the longest pause that
//! callers accept, all streams are late. With fewer running requests, the admitted streams are on
//! time, and the others are refused at once and can be retried.

use std::collections::VecDeque;

use crate::pace::pass_ms;
use crate::routes::EngineProfile;

/// Value of a late response relative to one on time: callers lose about half of the value.
const LATE_RESPONSE_VALUE: f64 = 0.5;
/// Time for which the pauses of an ended stream are used. It covers about two shifts of demand, one
/// of which occurs every 2 to 3 seconds.
const SAMPLE_RETENTION_MS: u64 = 5_000;
/// Minimum number of samples for a limit. Fewer cannot distinguish 10 % of streams on time from
/// none.
const MIN_STREAMS: usize = 20;
/// Maximum number of samples, which bounds the cost of a decision.
const MAX_STREAMS: usize = 200;

/// Pauses between consecutive events of an ended stream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StreamPauses {
    /// Longest pause.
    pub longest_ms: f64,
    /// Mean pause.
    pub mean_ms: f64,
    /// Mean number of running requests per engine when the stream started.
    pub running: f64,
}

/// Computes the concurrency limit from the pauses of recent streams, relative to the pass time of
/// an engine with an even expert map and no prompts to read.
#[derive(Clone, Debug, Default)]
pub struct ConcurrencyLimiter {
    streams: VecDeque<Slowdown>,
}

/// Pauses of an ended stream as multiples of the baseline pass time.
#[derive(Clone, Copy, Debug)]
struct Slowdown {
    ended_ms: u64,
    longest: f64,
    mean: f64,
}

impl ConcurrencyLimiter {
    /// Records the pauses of a stream that ended at `now_ms`.
    pub fn record_stream(&mut self, now_ms: u64, pauses: StreamPauses, engine: &EngineProfile) {
        let baseline_ms = pass_ms(engine, pauses.running);
        if baseline_ms <= 0.0 {
            return;
        }
        let (longest, mean) = (pauses.longest_ms / baseline_ms, pauses.mean_ms / baseline_ms);
        self.streams.push_back(Slowdown { ended_ms: now_ms, longest, mean });
        if self.streams.len() > MAX_STREAMS {
            self.streams.pop_front();
        }
    }

    /// Returns the maximum number of running requests per engine.
    ///
    /// The limit is between half of the engine's slots and all of them. Among these, it maximizes
    /// the value of the streamed events that is expected from the recent slowdowns.
    pub fn limit(&mut self, now_ms: u64, pause_target_ms: u64, engine: &EngineProfile) -> u32 {
        let is_expired = |stream: &Slowdown| stream.ended_ms + SAMPLE_RETENTION_MS < now_ms;
        while self.streams.front().is_some_and(is_expired) {
            self.streams.pop_front();
        }
        let slots = engine.slots.max(1);
        if self.streams.len() < MIN_STREAMS {
            return slots;
        }
        let target_ms = pause_target_ms as f64;
        let value_rate = |running: &u32| self.value_rate(f64::from(*running), target_ms, engine);
        let allowed = slots.div_ceil(2)..=slots;
        allowed.max_by(|a, b| value_rate(a).total_cmp(&value_rate(b))).unwrap_or(slots)
    }

    /// Returns the expected value of the events per millisecond, with `running` requests per
    /// engine.
    fn value_rate(&self, running: f64, target_ms: f64, engine: &EngineProfile) -> f64 {
        let baseline_ms = pass_ms(engine, running);
        let count = self.streams.len() as f64;
        let mean: f64 = self.streams.iter().map(|stream| stream.mean).sum::<f64>() / count;
        let is_on_time = |stream: &&Slowdown| stream.longest * baseline_ms <= target_ms;
        let on_time = self.streams.iter().filter(is_on_time).count() as f64 / count;
        running / (baseline_ms * mean) * (on_time + LATE_RESPONSE_VALUE * (1.0 - on_time))
    }
}
