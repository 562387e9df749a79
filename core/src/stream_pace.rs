//! Estimates how long the streams of a service take to begin and to end at the current pace of its
//! engines, from their events.
//!
//! The mean duration of completed streams lags behind by the length of a stream. All ranks of a
//! group execute each pass together, so the events of all its streams show a slow pass at once.

use crate::pace::pass_ms;
use crate::routes::EngineProfile;

/// Weight of a pause in the mean. A gateway relays some tens of streams, each of which has an event
/// in each pass.
const PAUSE_WEIGHT: f64 = 0.05;
/// Weight of the newest time to a first event in its mean and deviation.
const START_WEIGHT: f64 = 0.1;
/// Time to the first event that is assumed until one was measured.
const INITIAL_START_MS: f64 = 120.0;
/// Age from which the time to a first event says nothing about the present.
const MAX_START_AGE_MS: u64 = 2_000;

/// Recent pauses between events of the streams of one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct StreamPace {
    mean_pause_ms: Option<f64>,
    last_event_ms: u64,
    streaming: u32,
    start: Option<StartTime>,
}

/// Time from the dispatch of a request to its first event.
#[derive(Clone, Copy, Debug)]
struct StartTime {
    mean_ms: f64,
    deviation_ms: f64,
    measured_at_ms: u64,
}

impl StreamPace {
    /// Records that a stream has its first event.
    pub fn begin_stream(&mut self) {
        self.streaming += 1;
    }

    /// Records that a stream that had its first event is not in progress any more.
    pub fn end_stream(&mut self) {
        self.streaming = self.streaming.saturating_sub(1);
    }

    /// Records an event, and the pause before it unless it is the first one of its stream.
    pub fn record_event(&mut self, now_ms: u64, pause_ms: Option<f64>) {
        self.last_event_ms = now_ms;
        if let Some(pause_ms) = pause_ms {
            let mean_ms = self.mean_pause_ms.get_or_insert(pause_ms);
            *mean_ms += PAUSE_WEIGHT * (pause_ms - *mean_ms);
        }
    }

    /// Records the time from the dispatch of a request to its first event.
    pub fn record_start(&mut self, now_ms: u64, start_ms: f64) {
        let deviation_ms = start_ms / 2.0;
        let start = StartTime { mean_ms: start_ms, deviation_ms, measured_at_ms: now_ms };
        let start = self.start.get_or_insert(start);
        start.measured_at_ms = now_ms;
        let difference_ms = start_ms - start.mean_ms;
        start.mean_ms += START_WEIGHT * difference_ms;
        start.deviation_ms += START_WEIGHT * (difference_ms.abs() - start.deviation_ms);
    }

    /// Returns the time in which most requests have their first event after the dispatch.
    pub fn start_ms(&self) -> f64 {
        self.start.map_or(INITIAL_START_MS, |start| start.mean_ms + start.deviation_ms)
    }

    /// Returns the time that a request needs at least, in most cases, for its first event.
    pub fn least_start_ms(&self, now_ms: u64) -> f64 {
        let is_recent =
            |start: &StartTime| now_ms.saturating_sub(start.measured_at_ms) < MAX_START_AGE_MS;
        let start = self.start.filter(is_recent);
        start.map_or(INITIAL_START_MS, |start| (start.mean_ms - start.deviation_ms).max(0.0))
    }

    /// Returns the expected pause between two events, or `None` if no stream is in progress.
    ///
    /// The time since the last event is part of a pause that has not ended.
    pub fn pause_ms(&self, now_ms: u64) -> Option<f64> {
        let current_ms = now_ms.saturating_sub(self.last_event_ms) as f64;
        (self.streaming > 0).then(|| self.mean_pause_ms.unwrap_or_default().max(current_ms))
    }

    /// Returns the expected duration of a stream that starts now.
    ///
    /// While streams are in progress, the time since the last event is part of a pause that has not
    /// ended.
    pub fn duration_ms(&self, now_ms: u64, engine: &EngineProfile) -> f64 {
        let mean_ms =
            self.mean_pause_ms.unwrap_or_else(|| pass_ms(engine, f64::from(engine.slots)));
        let current_ms = match self.streaming {
            0 => 0.0,
            _ => now_ms.saturating_sub(self.last_event_ms) as f64,
        };
        let events = engine.mean_response_tokens / f64::from(engine.stride_steps.max(1));
        mean_ms.max(current_ms) * events.max(1.0)
    }
}
