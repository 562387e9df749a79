//! Selects a backend for a call from delayed load reports.

use derive_more::Display;

use crate::ids::BackendKey;

const US_PER_MS: u64 = 1_000;
const REPORT_HALF_LIFE_MS: f64 = 150.0;
/// Rotation of the random draw for the selection among holders of the prefix or adapter, so that the
/// two selections sample differently.
const HOLDER_DRAW_ROTATION: u32 = 17;

/// State of a backend as known to the entry at selection time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The backend.
    pub backend: BackendKey,
    /// Outstanding work in the latest report, in tokens.
    pub reported_tokens: u64,
    /// Age of the latest report.
    pub report_age_ms: u64,
    /// Work dispatched by this entry and not included in the report, in tokens.
    pub sent_tokens: u64,
    /// Maximum number of concurrent calls.
    pub capacity: u32,
    /// Processing time per token of a single call.
    pub us_per_token: u64,
    /// One-way network latency to the backend.
    pub one_way_us: u64,
    /// Time to load the adapter, or 0 if it is already loaded.
    pub adapter_load_us: u64,
    /// Expected number of cached prompt tokens.
    pub cached_tokens: u32,
    /// Whether the backend accepts no new calls.
    pub draining: bool,
    /// Whether outlier detection ejected the backend.
    pub ejected: bool,
}

impl Candidate {
    /// Returns the estimated time until the complete response, given `expected_tokens` of outstanding
    /// work.
    fn cost_us(&self, expected_tokens: u64, work_tokens: u32) -> u64 {
        let saved = self.cached_tokens.min(work_tokens);
        let own_us = u64::from(work_tokens - saved) * self.us_per_token;
        let ahead_tokens = expected_tokens + self.sent_tokens;
        let ahead_us = ahead_tokens * self.us_per_token / u64::from(self.capacity.max(1));
        own_us + ahead_us + 2 * self.one_way_us + self.adapter_load_us
    }

    /// Returns the reported work, weighted towards the mean of all backends as the report ages.
    ///
    /// Other entries receive the same report and adjust their dispatches to it, so old extremes are
    /// no longer accurate.
    fn expected_tokens(&self, mean_tokens: f64) -> u64 {
        let age = self.report_age_ms as f64 / REPORT_HALF_LIFE_MS;
        let weight = 0.5_f64.powf(age);
        (mean_tokens + weight * (self.reported_tokens as f64 - mean_tokens)) as u64
    }
}

#[derive(Clone, Copy, Debug)]
struct CostedCandidate<'a> {
    candidate: &'a Candidate,
    cost_us: u64,
}

/// Reason for the selection of a backend.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ChoiceReason {
    /// No other backend is usable.
    #[display("only")]
    Only,
    /// The backend has the lower cost of two random candidates.
    #[display("cheaper-of-two")]
    CheaperOfTwo,
    /// The backend likely has the prompt prefix or the adapter, which lowers its cost.
    #[display("affinity")]
    Affinity,
}

/// A selected backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The backend.
    pub backend: BackendKey,
    /// Estimated time until the complete response.
    pub cost_us: u64,
    /// Reason for the selection.
    pub reason: ChoiceReason,
    /// Number of usable backends.
    pub considered: usize,
}

/// Reason why no backend was selected.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ChooseError {
    /// No backend accepts new calls.
    #[display("no-backend")]
    NoBackend,
    /// No backend can complete the response before the deadline.
    #[display("deadline")]
    Deadline {
        /// Time by which the cheapest backend would exceed the deadline.
        late_ms: u64,
    },
}

/// Selects one of `candidates` that is not in `tried`.
///
/// `draw` is a uniform random number. The function samples two candidates with it and selects the
/// cheaper candidate (power of two choices), which prevents entries with the same delayed reports
/// from all selecting the same backend. `remaining_ms` is the time until the deadline.
///
/// # Errors
///
/// Fails if no backend accepts new calls or none can respond before the deadline.
pub fn choose(
    candidates: &[Candidate],
    tried: &[BackendKey],
    work_tokens: u32,
    remaining_ms: u64,
    draw: u64,
) -> Result<Choice, ChooseError> {
    let usable = estimate_costs(&usable(candidates, tried), work_tokens);
    let cheaper = cheaper_of_two(&usable, draw).ok_or(ChooseError::NoBackend)?;
    let absent = cheaper.candidate.adapter_load_us > 0;
    let holds = |c: &Candidate| c.cached_tokens > 0 || (absent && c.adapter_load_us == 0);
    let holders: Vec<CostedCandidate<'_>> =
        usable.iter().filter(|c| holds(c.candidate)).copied().collect();
    let holder = cheaper_of_two(&holders, draw.rotate_left(HOLDER_DRAW_ROTATION));
    let (best, reason) = match holder {
        _ if usable.len() == 1 => (cheaper, ChoiceReason::Only),
        Some(holder) if holder.cost_us < cheaper.cost_us => (holder, ChoiceReason::Affinity),
        _ => (cheaper, ChoiceReason::CheaperOfTwo),
    };
    let budget_us = remaining_ms.saturating_mul(US_PER_MS);
    let cheapest = usable.iter().min_by_key(|c| c.cost_us).copied().unwrap_or(best);
    // Refuses only calls that no backend can complete in time. Admission at the side decides the
    // rest, because only the side has the exact length of its queue.
    if cheapest.cost_us > budget_us {
        let late_us = cheapest.cost_us - budget_us;
        return Err(ChooseError::Deadline { late_ms: late_us.div_ceil(US_PER_MS) });
    }
    let best = if best.cost_us > budget_us { cheapest } else { best };
    let (backend, cost_us) = (best.candidate.backend, best.cost_us);
    Ok(Choice { backend, cost_us, reason, considered: usable.len() })
}

fn estimate_costs<'a>(usable: &[&'a Candidate], work_tokens: u32) -> Vec<CostedCandidate<'a>> {
    let total: u64 = usable.iter().map(|c| c.reported_tokens).sum();
    let mean_tokens = total as f64 / usable.len().max(1) as f64;
    let costed = usable.iter().map(|&candidate| {
        let expected_tokens = candidate.expected_tokens(mean_tokens);
        CostedCandidate { candidate, cost_us: candidate.cost_us(expected_tokens, work_tokens) }
    });
    costed.collect()
}

fn usable<'a>(candidates: &'a [Candidate], tried: &[BackendKey]) -> Vec<&'a Candidate> {
    let is_open = |c: &&Candidate| !c.draining && !tried.contains(&c.backend);
    let healthy: Vec<&Candidate> =
        candidates.iter().filter(is_open).filter(|c| !c.ejected).collect();
    if healthy.is_empty() { candidates.iter().filter(is_open).collect() } else { healthy }
}

fn cheaper_of_two<'a>(costed: &[CostedCandidate<'a>], draw: u64) -> Option<CostedCandidate<'a>> {
    let len = costed.len() as u64;
    if len < 2 {
        return costed.first().copied();
    }
    let first = (draw & u64::from(u32::MAX)) % len;
    let step = 1 + (draw >> 32) % (len - 1);
    let second = (first + step) % len;
    let (first, second) = (costed[first as usize], costed[second as usize]);
    Some(if second.cost_us < first.cost_us { second } else { first })
}
