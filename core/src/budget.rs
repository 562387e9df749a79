//! Limits retries to a percentage of first attempts, so that retries cannot multiply an overload.

/// The balance is kept in hundredths of a retry, so that percentages add up exactly.
const HUNDREDTHS_PER_RETRY: u64 = 100;
const INITIAL_RETRIES: u64 = 10;
const MAX_BALANCE_RETRIES: u64 = 1_000;

/// Token bucket that first attempts fill and retries drain.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    percent: u64,
    balance_hundredths: u64,
}

impl RetryBudget {
    /// Creates a budget of `percent` retries per 100 first attempts, with a small initial balance.
    pub fn new(percent: u32) -> Self {
        Self {
            percent: u64::from(percent),
            balance_hundredths: INITIAL_RETRIES * HUNDREDTHS_PER_RETRY,
        }
    }

    /// Adds the credit of one first attempt.
    pub fn deposit(&mut self) {
        self.balance_hundredths = (self.balance_hundredths + self.percent)
            .min(MAX_BALANCE_RETRIES * HUNDREDTHS_PER_RETRY);
    }

    /// Withdraws one retry and returns whether the balance allowed it.
    pub fn withdraw(&mut self) -> bool {
        let allowed = self.balance_hundredths >= HUNDREDTHS_PER_RETRY;
        if allowed {
            self.balance_hundredths -= HUNDREDTHS_PER_RETRY;
        }
        allowed
    }
}
