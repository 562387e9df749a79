//! Picks the backend of a request, or refuses it, from loads that are known with some delay.

use crate::fleet::FleetKey;

/// Age after which a reported load says nothing.
pub const MAX_REPORT_AGE_MS: u64 = 1_000;

/// Part of the target that is kept back from waiting: reading the prompt and the first step.
const PREFILL_RESERVE_MS: f64 = 120.0;
/// Least queue at a backend, so that slots are filled again without a round trip.
const MIN_QUEUE: u32 = 1;
/// Queue that a request which came back may join, against that of a new one: it is late already, and
/// refused once more it is lost.
const RETURNED_QUEUE_FACTOR: u32 = 2;
/// Shortest and longest time after which a refused request comes back.
const RETRY_AFTER_RANGE_MS: (u64, u64) = (300, 1_500);
/// The same while a group is being formed again, which takes seconds.
const FORMING_RETRY_AFTER_RANGE_MS: (u64, u64) = (1_500, 2_500);
/// Longest part of a caller's time left after which it is told to come back; beyond a third of it
/// callers do not wait.
const MAX_RETRY_AFTER_SHARE: f64 = 0.3;

/// Returns how many requests may wait at a backend, such that a new one still starts in time: a slot
/// gets free each `mean_duration_ms` / `slots`.
pub fn queue_limit(target_ms: u64, mean_duration_ms: f64, slots: u32, is_returning: bool) -> u32 {
    let release_ms = (mean_duration_ms / f64::from(slots.max(1))).max(1.0);
    let wait_ms = (target_ms as f64 - PREFILL_RESERVE_MS).max(0.0);
    let limit = ((wait_ms / release_ms) as u32).max(MIN_QUEUE);
    if is_returning { limit * RETURNED_QUEUE_FACTOR } else { limit }
}

/// Returns when a refused request is to come back. `draw` is uniform and spreads those that were
/// refused together.
pub fn retry_after_ms(is_forming: bool, remaining_ms: u64, draw: u64) -> u64 {
    let (least_ms, most_ms) =
        if is_forming { FORMING_RETRY_AFTER_RANGE_MS } else { RETRY_AFTER_RANGE_MS };
    let jittered_ms = least_ms + draw % (most_ms - least_ms + 1);
    jittered_ms.min((remaining_ms as f64 * MAX_RETRY_AFTER_SHARE) as u64)
}

/// Load that a side reported of its backend.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests that ran.
    pub active: u32,
    /// Requests that waited.
    pub queued: u32,
    /// Time of the report.
    pub at_ms: u64,
    /// The backend's group is_serving and makes progress.
    pub is_serving: bool,
}

impl LoadReport {
    /// Returns the report's age; a report may arrive after `now_ms` was taken.
    pub fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.at_ms)
    }
}

/// A backend that could get the request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The backend.
    pub key: FleetKey,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Requests of this process that it has.
    pub own_requests: u32,
    /// Requests that this process sent since the report.
    pub sent_since_report: u32,
    /// Newest report, where it is not too old.
    pub report: Option<LoadReport>,
    /// It failed of late.
    pub suspended: bool,
    /// It is in the same failure domain.
    pub local: bool,
}

impl Candidate {
    /// Requests that the backend has, as far as known.
    pub fn load(&self) -> u32 {
        let reported = self.report.map_or(0, |r| r.active + r.queued + self.sent_since_report);
        reported.max(self.own_requests)
    }
}

/// Requests that a backend may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Requests that run at once, where fewer than the backend's slots.
    pub running: Option<u32>,
    /// Requests that wait where all slots are used.
    pub queued: u32,
}

impl Limits {
    fn max_load(self, candidate: &Candidate) -> u32 {
        let whole = candidate.slots + self.queued;
        self.running.filter(|&running| running < candidate.slots).unwrap_or(whole)
    }
}

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// To this backend.
    Send(FleetKey),
    /// Nowhere: all backends are full for now.
    Full {
        /// Requests over the limit at the least loaded one.
        excess: u32,
    },
    /// Nowhere: the groups of all backends are being formed again.
    Forming,
    /// Nowhere: there is no backend.
    NoBackend,
}

/// Picks the least loaded backend that is within its limits. One that failed of late gets the request
/// only where all others are full. `draw` is uniform and breaks ties.
pub fn choose(candidates: &[Candidate], limits: Limits, draw: u64) -> Choice {
    let forming = |c: &Candidate| c.report.is_some_and(|r| !r.is_serving);
    let usable: Vec<&Candidate> = candidates.iter().filter(|c| !forming(c)).collect();
    if usable.is_empty() {
        return if candidates.is_empty() { Choice::NoBackend } else { Choice::Forming };
    }
    let (suspended, healthy): (Vec<&Candidate>, Vec<&Candidate>) =
        usable.into_iter().partition(|c| c.suspended);
    let best = [least_loaded(&healthy, draw), least_loaded(&suspended, draw)];
    let has_room = |c: &&Candidate| c.load() < limits.max_load(c);
    if let Some(best) = best.into_iter().flatten().find(has_room) {
        return Choice::Send(best.key);
    }
    let excess = |c: &Candidate| c.load() + 1 - limits.max_load(c);
    let excess = best.into_iter().flatten().map(excess).min();
    excess.map_or(Choice::NoBackend, |excess| Choice::Full { excess })
}

fn least_loaded<'a>(candidates: &[&'a Candidate], draw: u64) -> Option<&'a Candidate> {
    let relative = |c: &Candidate| f64::from(c.load()) / f64::from(c.slots.max(1));
    let shuffled = |index: usize| (index as u64).wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ draw;
    let ranked = candidates.iter().enumerate().min_by(|(i, a), (j, b)| {
        let by_load = relative(a).total_cmp(&relative(b));
        let by_domain = b.local.cmp(&a.local);
        by_load.then(by_domain).then(shuffled(*i).cmp(&shuffled(*j)))
    });
    ranked.map(|(_, best)| *best)
}
