//! This process's share of the retry budget that all gateways have in common.

use std::collections::VecDeque;

/// Number of gateways assumed while the actual number is unknown. It exceeds that of small
/// deployments, so that shared limits are not exceeded.
pub const ASSUMED_GATEWAYS: usize = 8;
const BUCKET_MS: u64 = 500;
/// Fraction of the common budget that is used. The margin covers differences between the clocks and
/// windows of the gateways.
const USABLE_FRACTION: f64 = 0.7;

/// Limits of the retries to one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetLimits {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Additional retries allowed per window, for all gateways together.
    pub slack: f64,
    /// Length of the sliding window.
    pub window_ms: u64,
}

/// Counts requests and retries in a sliding window and limits the retries.
#[derive(Clone, Debug)]
pub struct RetryShare {
    limits: RetryBudgetLimits,
    buckets: VecDeque<Bucket>,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    start_ms: u64,
    requests: u32,
    retries: u32,
}

impl RetryShare {
    /// Creates a share with an empty window.
    pub fn new(limits: RetryBudgetLimits) -> Self {
        Self { limits, buckets: VecDeque::new() }
    }

    /// Replaces the limits; the window is kept.
    pub fn set_limits(&mut self, limits: RetryBudgetLimits) {
        self.limits = limits;
    }

    /// Records a request.
    pub fn record_request(&mut self, now_ms: u64) {
        self.current_bucket(now_ms).requests += 1;
    }

    /// Records a retry if the share allows it, and returns whether it does.
    ///
    /// The share is that of one gateway out of `gateways`.
    pub fn try_retry(&mut self, now_ms: u64, gateways: usize) -> bool {
        self.current_bucket(now_ms);
        let sum = |count: fn(&Bucket) -> u32| self.buckets.iter().map(count).sum::<u32>();
        let (requests, retries) = (sum(|b| b.requests), sum(|b| b.retries));
        let slack = self.limits.slack / gateways.max(1) as f64;
        let allowed = USABLE_FRACTION * (self.limits.ratio * f64::from(requests) + slack);
        let is_allowed = f64::from(retries) + 1.0 <= allowed;
        if is_allowed {
            self.current_bucket(now_ms).retries += 1;
        }
        is_allowed
    }

    fn current_bucket(&mut self, now_ms: u64) -> &mut Bucket {
        let window_ms = self.limits.window_ms;
        while self.buckets.front().is_some_and(|b| b.start_ms + window_ms < now_ms) {
            self.buckets.pop_front();
        }
        let start_ms = now_ms - now_ms % BUCKET_MS;
        if self.buckets.back().is_none_or(|b| b.start_ms != start_ms) {
            self.buckets.push_back(Bucket { start_ms, requests: 0, retries: 0 });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
