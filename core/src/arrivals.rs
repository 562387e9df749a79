//! Rate at which requests arrive, as a mean over about the last second.

/// Time over which the rate is averaged.
const AVERAGING_MS: f64 = 1_000.0;

/// Rate of the requests for one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct ArrivalRate {
    per_ms: f64,
    updated_ms: u64,
}

impl ArrivalRate {
    /// Records a request.
    pub fn record(&mut self, now_ms: u64) {
        *self = Self { per_ms: self.per_ms(now_ms) + 1.0 / AVERAGING_MS, updated_ms: now_ms };
    }

    /// Returns the number of requests per millisecond.
    pub fn per_ms(&self, now_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.per_ms * (-elapsed_ms / AVERAGING_MS).exp()
    }
}
