//! Callers that leave before their response is complete.

use tokio::time::Instant;

/// Logs that the caller has left, unless the response was completed before the drop.
pub struct Departure {
    attempt_id: String,
    arrived_at: Instant,
    is_answered: bool,
}

impl Departure {
    /// Begins to watch the caller of a request.
    pub fn watch(attempt_id: String, arrived_at: Instant) -> Self {
        Self { attempt_id, arrived_at, is_answered: false }
    }

    /// Records that the response is complete, or that the gateway has ended it.
    pub fn record_answered(&mut self) {
        self.is_answered = true;
    }
}

impl Drop for Departure {
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        let after_ms = self.arrived_at.elapsed().as_millis() as u64;
        log::info!(request = self.attempt_id.as_str(), after_ms; "caller left");
        metrics::counter!("currantlink_callers_left_total").increment(1);
    }
}
