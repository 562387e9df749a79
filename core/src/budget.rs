//! Bounds retries to a share of the live traffic.

const HUNDREDTHS_PER_RETRY: u64 = 100;
const INITIAL_RETRIES: u64 = 10;
const MAX_BALANCE_RETRIES: u64 = 1_000;

/// Token bucket that first attempts fill and retries empty.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    percent: u64,
    balance_hundredths: u64,
}

impl RetryBudget {
    /// Allows `percent` retries per 100 first attempts, and a small reserve at the start.
    pub fn new(percent: u32) -> Self {
        Self {
            percent: u64::from(percent),
            balance_hundredths: INITIAL_RETRIES * HUNDREDTHS_PER_RETRY,
        }
    }

    /// Notes a first attempt.
    pub fn deposit(&mut self) {
        self.balance_hundredths = (self.balance_hundredths + self.percent)
            .min(MAX_BALANCE_RETRIES * HUNDREDTHS_PER_RETRY);
    }

    /// Takes one retry from the budget, where it has one.
    pub fn withdraw(&mut self) -> bool {
        let allowed = self.balance_hundredths >= HUNDREDTHS_PER_RETRY;
        if allowed {
            self.balance_hundredths -= HUNDREDTHS_PER_RETRY;
        }
        allowed
    }
}
