//! How long the requests of a service take, for queue limits.

/// Weight of a new sample in the mean.
const MEAN_SMOOTHING: f64 = 0.05;
/// Assumed mean before the first sample: roughly that of a stream with all slots busy.
const INITIAL_MEAN_MS: f64 = 1_500.0;

/// Durations of a service's recent requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Durations {
    mean_ms: Option<f64>,
}

impl Durations {
    /// Records the duration of a request.
    pub fn record(&mut self, took_ms: f64) {
        let mean_ms = self.mean_ms.get_or_insert(took_ms);
        *mean_ms += MEAN_SMOOTHING * (took_ms - *mean_ms);
    }

    /// Returns the mean duration.
    pub fn mean_ms(&self) -> f64 {
        self.mean_ms.unwrap_or(INITIAL_MEAN_MS)
    }
}
