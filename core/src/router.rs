//! Chooses a backend for a call from lagging information.

use derive_more::Display;

use crate::ids::BackendKey;

const US_PER_MS: u64 = 1_000;
const REPORT_HALF_LIFE_MS: f64 = 150.0;
const HOLDER_DRAW_ROTATION: u32 = 17;

/// What an entry knows of one backend at the time of the choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The backend.
    pub backend: BackendKey,
    /// Work that it reported last, in tokens.
    pub reported_tokens: u64,
    /// Age of that report.
    pub report_age_ms: u64,
    /// Work that this entry sent and the report does not include, in tokens.
    pub sent_tokens: u64,
    /// Calls that the backend serves at a time.
    pub capacity: u32,
    /// Time per token of work of one call.
    pub us_per_token: u64,
    /// One-way network time to the backend.
    pub one_way_us: u64,
    /// Time to load the adapter, 0 where it is loaded.
    pub adapter_load_us: u64,
    /// Tokens of the prompt that are likely cached.
    pub cached_tokens: u32,
    /// The backend takes no new work.
    pub draining: bool,
    /// The backend is left out as slow or failing.
    pub ejected: bool,
}

impl Candidate {
    /// Returns the estimated time until the whole answer, in microseconds, with `expected_tokens`
    /// of work reported.
    fn cost_us(&self, expected_tokens: u64, work_tokens: u32) -> u64 {
        let saved = self.cached_tokens.min(work_tokens);
        let own_us = u64::from(work_tokens - saved) * self.us_per_token;
        let ahead_tokens = expected_tokens + self.sent_tokens;
        let ahead_us = ahead_tokens * self.us_per_token / u64::from(self.capacity.max(1));
        own_us + ahead_us + 2 * self.one_way_us + self.adapter_load_us
    }

    /// Returns the reported work, drawn towards the mean of all backends as the report ages: the
    /// other entries have seen it too and acted on it.
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

/// ChoiceReason a backend was chosen.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ChoiceReason {
    /// It is the only one that can take work.
    #[display("only")]
    Only,
    /// It is the cheaper one of two drawn at random.
    #[display("cheaper-of-two")]
    CheaperOfTwo,
    /// It likely has the prompt's prefix or the adapter, and that pays.
    #[display("affinity")]
    Affinity,
}

/// A chosen backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The backend.
    pub backend: BackendKey,
    /// Its estimated time until the whole answer.
    pub cost_us: u64,
    /// Reason.
    pub reason: ChoiceReason,
    /// Backends that could have been chosen.
    pub considered: usize,
}

/// ChoiceReason no backend was chosen.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ChooseError {
    /// No backend takes work.
    #[display("no-backend")]
    NoBackend,
    /// No backend can answer before the deadline.
    #[display("deadline")]
    Deadline {
        /// Time by which the best backend would be late.
        late_ms: u64,
    },
}

/// Chooses among `candidates`, leaving out those in `tried`.
///
/// `draw` is a random number; two candidates are drawn with it and the cheaper one is taken, so
/// that many entries with the same late reports do not all choose the same backend.
///
/// # Errors
///
/// Fails where no backend takes work or none can answer in time.
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
        usable.iter().filter(|p| holds(p.candidate)).copied().collect();
    let holder = cheaper_of_two(&holders, draw.rotate_left(HOLDER_DRAW_ROTATION));
    let (best, reason) = match holder {
        _ if usable.len() == 1 => (cheaper, ChoiceReason::Only),
        Some(holder) if holder.cost_us < cheaper.cost_us => (holder, ChoiceReason::Affinity),
        _ => (cheaper, ChoiceReason::CheaperOfTwo),
    };
    let budget_us = remaining_ms.saturating_mul(US_PER_MS);
    let cheapest = usable.iter().min_by_key(|p| p.cost_us).copied().unwrap_or(best);
    // Only a hopeless call is refused here; the side's admission knows its queue exactly.
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
    let open = |c: &&Candidate| !c.draining && !tried.contains(&c.backend);
    let healthy: Vec<&Candidate> = candidates.iter().filter(open).filter(|c| !c.ejected).collect();
    if healthy.is_empty() { candidates.iter().filter(open).collect() } else { healthy }
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
