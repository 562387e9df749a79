//! How many requests each engine runs at once, so that streams keep their pause target.
//!
//! Answers the load of days that ask for more than the engines can do. A pass takes longer with each
//! request that runs, and passes of a group also with uneven expert maps. Once they take longer than
//! the longest pause that callers accept, all streams are late; with fewer at once, those that run
//! are on time and the others are told at once to come back.

use std::collections::VecDeque;

use crate::routes::EngineFigures;

/// Worth of a late answer against one on time, from the users' sheets (0.49 to 0.51).
const LATE_RESPONSE_VALUE: f64 = 0.5;
/// Time for which an ended stream says something of the next ones: two of the shifts of demand that
/// the users' days have every 2 to 3 seconds.
const SAMPLE_RETENTION_MS: u64 = 5_000;
/// Ended streams below which there is no limit: fewer do not tell one on time in ten from none.
const MIN_STREAMS: usize = 20;
/// Most streams that are remembered; bounds the work of a decision.
const MAX_STREAMS: usize = 200;

/// Pauses between the events of an ended stream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StreamPauses {
    /// Longest one.
    pub longest_ms: f64,
    /// Mean.
    pub mean_ms: f64,
    /// Requests that each engine ran, on average, when the stream began.
    pub running: f64,
}

/// Pauses of recent streams against those of an engine with an even map that does nothing else.
#[derive(Clone, Debug, Default)]
pub struct ConcurrencyLimiter {
    streams: VecDeque<Slowdown>,
}

#[derive(Clone, Copy, Debug)]
struct Slowdown {
    ended_ms: u64,
    longest: f64,
    mean: f64,
}

impl ConcurrencyLimiter {
    /// Takes the pauses of a stream that ended at `now_ms`.
    pub fn record_stream(&mut self, now_ms: u64, pauses: StreamPauses, engine: &EngineFigures) {
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

    /// Returns how many requests an engine is to run at once, from half of its slots to all of them:
    /// the number that earns most with the pauses of recent streams.
    pub fn limit(&mut self, now_ms: u64, pause_target_ms: u64, engine: &EngineFigures) -> u32 {
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

    /// Worth of the events of a millisecond, with `running` requests on each engine.
    fn value_rate(&self, running: f64, target_ms: f64, engine: &EngineFigures) -> f64 {
        let baseline_ms = pass_ms(engine, running);
        let count = self.streams.len() as f64;
        let mean: f64 = self.streams.iter().map(|stream| stream.mean).sum::<f64>() / count;
        let is_on_time = |stream: &&Slowdown| stream.longest * baseline_ms <= target_ms;
        let on_time = self.streams.iter().filter(is_on_time).count() as f64 / count;
        running / (baseline_ms * mean) * (on_time + LATE_RESPONSE_VALUE * (1.0 - on_time))
    }
}

/// Time of a pass with `running` requests, without prompts to read and with an even map.
fn pass_ms(engine: &EngineFigures, running: f64) -> f64 {
    f64::from(engine.stride_steps) * (engine.step_ms + engine.per_request_ms * running)
}
