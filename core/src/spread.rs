//! Picks the backend of a request, or refuses it, from loads that are known with some delay.

use crate::fleet::FleetKey;

/// Age after which a reported load says nothing.
pub const REPORT_LIFE_MS: u64 = 1_000;

/// Load that a side reported of its backend.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests that ran.
    pub active: u32,
    /// Requests that waited.
    pub queued: u32,
    /// Time of the report.
    pub at_ms: u64,
    /// The backend's group serves and makes progress.
    pub serves: bool,
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
    pub own: u32,
    /// Requests that this process sent since the report.
    pub own_since_report: u32,
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
        let reported = self.report.map_or(0, |r| r.active + r.queued + self.own_since_report);
        reported.max(self.own)
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
    Nobody,
}

/// Picks the least loaded backend that has no more than `queue_limit` requests beyond its slots. One
/// that failed of late gets the request only where all others are full. `draw` is uniform and breaks
/// ties.
pub fn choose(candidates: &[Candidate], queue_limit: u32, draw: u64) -> Choice {
    let forming = |c: &Candidate| c.report.is_some_and(|r| !r.serves);
    let usable: Vec<&Candidate> = candidates.iter().filter(|c| !forming(c)).collect();
    if usable.is_empty() {
        return if candidates.is_empty() { Choice::Nobody } else { Choice::Forming };
    }
    let (suspended, sound): (Vec<&Candidate>, Vec<&Candidate>) =
        usable.into_iter().partition(|c| c.suspended);
    let best = [least_loaded(&sound, draw), least_loaded(&suspended, draw)];
    let has_room = |c: &&Candidate| c.load() < c.slots + queue_limit;
    if let Some(best) = best.into_iter().flatten().find(has_room) {
        return Choice::Send(best.key);
    }
    let excess = |c: &Candidate| c.load() + 1 - c.slots - queue_limit;
    let excess = best.into_iter().flatten().map(excess).min();
    excess.map_or(Choice::Nobody, |excess| Choice::Full { excess })
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
