//! Recognizes requests that return after a rejection, by the deadlines of a route's requests.
//!
//! Part of the deadline of such a request is over. Deadlines of first attempts differ too, so only a
//! deadline that is shorter than those of recent first attempts identifies one.

use std::collections::VecDeque;

/// Number of recent first attempts that are compared.
const MAX_SAMPLES: usize = 64;
/// Minimum number of first attempts. Before, no request counts as returned.
const MIN_SAMPLES: usize = 32;
/// Part of the spread of these deadlines by which a later first attempt may be shorter still.
const SPREAD_MARGIN: u64 = 16;
/// Time after a rejection during which deadlines are not taken for those of first attempts: rejected
/// requests return within a third of their time.
const RETURN_PERIOD_MS: u64 = 3_000;

/// Deadlines of the recent first attempts on one route.
#[derive(Clone, Debug, Default)]
pub struct FirstDeadlines {
    samples_ms: VecDeque<u64>,
}

impl FirstDeadlines {
    /// Returns whether a request returns after a rejection. Its deadline is remembered as that of a
    /// first attempt if no request has been rejected lately.
    ///
    /// `rejected_at_ms` is when this gateway last rejected a request.
    pub fn is_returned(
        &mut self,
        now_ms: u64,
        deadline_ms: u64,
        rejected_at_ms: Option<u64>,
    ) -> bool {
        let is_calm = rejected_at_ms.is_none_or(|at_ms| at_ms + RETURN_PERIOD_MS < now_ms);
        let is_known = self.samples_ms.len() >= MIN_SAMPLES;
        let is_returned = !is_calm && is_known && deadline_ms < self.shortest_ms();
        if is_calm {
            self.samples_ms.push_back(deadline_ms);
            if self.samples_ms.len() > MAX_SAMPLES {
                self.samples_ms.pop_front();
            }
        }
        is_returned
    }

    /// Returns after which time a request with this deadline is recognized when it returns.
    pub fn recognized_after_ms(&self, deadline_ms: u64) -> u64 {
        match self.samples_ms.len() >= MIN_SAMPLES {
            true => (deadline_ms + 1).saturating_sub(self.shortest_ms()),
            false => 0,
        }
    }

    /// Returns the shortest deadline that a first attempt may have.
    fn shortest_ms(&self) -> u64 {
        let shortest_ms = self.samples_ms.iter().min().copied().unwrap_or(0);
        let longest_ms = self.samples_ms.iter().max().copied().unwrap_or(0);
        shortest_ms.saturating_sub((longest_ms - shortest_ms) / SPREAD_MARGIN)
    }
}
