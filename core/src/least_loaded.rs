//! Selects the least loaded backend for a request, or rejects the request, from delayed reports.

use crate::fleet::FleetKey;
use crate::group_choice::GroupKey;
use crate::pace;
use crate::routes::EngineProfile;
use crate::silence::SILENT_AFTER_RANGE_MS;

/// Age at which a load report is discarded.
pub const MAX_REPORT_AGE_MS: u64 = 1_000;

/// Weight of the newest interval in the mean interval between reports.
const INTERVAL_WEIGHT: f64 = 0.1;
/// Longest interval between the reports of a backend whose load changes, with some delay.
const BUSY_REPORT_INTERVAL_MS: f64 = 100.0;
/// Longest interval that counts. A longer one is a pause of the agent.
const MAX_INTERVAL_MS: f64 = 500.0;
/// Part of the target latency reserved for prefill and the first step; the rest allows queueing.
const PREFILL_RESERVE_MS: f64 = 120.0;
/// Minimum queue at a backend that frees a slot within the longest wait there, so that the slot is
/// refilled without a round trip.
const MIN_QUEUE: u32 = 1;
/// Longest wait at a backend: half of the shortest time in which its silence is established, because
/// gateways that know the same report may each add a request.
const MAX_BACKEND_WAIT_MS: f64 = SILENT_AFTER_RANGE_MS.0 / 2.0;
/// Minimum number of backends that are compared.
const MIN_SAMPLE: usize = 2;
/// Range of the delay before a rejected request is retried.
const RETRY_AFTER_RANGE_MS: (u64, u64) = (300, 1_500);
/// Range of the delay while a group re-forms, which takes seconds.
const FORMING_RETRY_AFTER_RANGE_MS: (u64, u64) = (1_500, 2_500);
/// Maximum share of the caller's remaining time for the delay; callers do not wait longer than a
/// third of it.
const MAX_RETRY_AFTER_SHARE: f64 = 0.3;

/// Returns the maximum queue length at a backend: a request that joins it starts within the target
/// latency, and before the backend can be found silent.
///
/// A slot becomes free every `duration_ms` / `slots`. If the gateway is busy, requests wait there and
/// not at backends, as it can still choose among them when a slot is free.
pub fn queue_limit(target_ms: u64, duration_ms: f64, slots: u32, is_busy: bool) -> u32 {
    let release_ms = (duration_ms / f64::from(slots.max(1))).max(1.0);
    if is_busy || release_ms > MAX_BACKEND_WAIT_MS {
        return 0;
    }
    let wait_ms = (target_ms as f64 - PREFILL_RESERVE_MS).clamp(0.0, MAX_BACKEND_WAIT_MS);
    ((wait_ms / release_ms) as u32).max(MIN_QUEUE)
}

/// Returns the delay before a rejected request should be retried.
///
/// It is not shorter than `at_least_ms`, if the remaining time allows that. `draw` is a uniform random
/// number and adds jitter, so that requests rejected together do not return together.
pub fn retry_after_ms(is_forming: bool, at_least_ms: u64, remaining_ms: u64, draw: u64) -> u64 {
    let (least_ms, most_ms) =
        if is_forming { FORMING_RETRY_AFTER_RANGE_MS } else { RETRY_AFTER_RANGE_MS };
    let jittered_ms = least_ms.max(at_least_ms) + draw % (most_ms - least_ms + 1);
    jittered_ms.min((remaining_ms as f64 * MAX_RETRY_AFTER_SHARE) as u64)
}

/// Load of a backend as reported by its side.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Number of running requests.
    pub active: u32,
    /// Number of queued requests.
    pub queued: u32,
    /// Time at which the report was received.
    pub received_at_ms: u64,
    /// Whether the backend's group is formed and makes progress.
    pub is_serving: bool,
    /// Mean interval between recent reports.
    pub interval_ms: f64,
    /// Random number that the report names, plus the rank of this gateway among all gateways.
    pub draw: u64,
    /// Whether the agent has announced that this is its last report.
    pub is_last: bool,
    /// Random number that the report names, by which its room is divided in proportion to demand.
    pub room_number: u16,
    /// Number of the backend, the same at all gateways, by which its slots are divided.
    pub backend_number: u16,
    /// Group of the backend, if it belongs to one.
    pub group: Option<GroupKey>,
    /// Factor by which the backend is slower than usual, or 0 if unknown.
    pub slowdown: f64,
}

impl LoadReport {
    /// Returns the reported number of requests, running or queued.
    fn requests(&self) -> u32 {
        self.active.saturating_add(self.queued)
    }

    /// Returns this report as the successor of `previous`, with the mean interval updated.
    pub fn following(self, previous: &Self) -> Self {
        let gap_ms = self.received_at_ms.saturating_sub(previous.received_at_ms) as f64;
        let change_ms = INTERVAL_WEIGHT * (gap_ms.min(MAX_INTERVAL_MS) - previous.interval_ms);
        Self { interval_ms: previous.interval_ms + change_ms, ..self }
    }

    /// Returns the age of the report, or 0 if the report arrived after `now_ms` was read.
    pub fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.received_at_ms)
    }
}

/// A backend that may receive the request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The backend.
    pub key: FleetKey,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Requests from this process in flight at the backend.
    pub own_requests: u32,
    /// Requests that this process dispatched since the report.
    pub sent_since_report: u32,
    /// Requests of this process that ended since the report.
    pub ended_since_report: u32,
    /// Latest report, unless it is too old.
    pub report: Option<LoadReport>,
    /// Whether the backend is ejected because of recent failures or latency.
    pub ejected: bool,
    /// Whether the backend is in the same failure domain.
    pub local: bool,
}

impl Candidate {
    /// Returns the estimated number of requests at the backend, running or queued.
    pub fn load(&self) -> u32 {
        let sent = self.sent_since_report;
        let reported = self.report.map_or(0, |r| r.requests().saturating_add(sent));
        reported.saturating_sub(self.ended_since_report).max(self.own_requests)
    }

    /// Returns the estimated number of running requests.
    pub fn running(&self) -> f64 {
        f64::from(self.load().min(self.slots))
    }

    /// Returns the room that the report shows, or `None` without a report.
    fn reported_room(&self, limits: Limits) -> Option<u32> {
        let report = self.report?;
        Some(limits.max_load(self).saturating_sub(report.requests()))
    }

    /// Returns whether the backend takes another request, if other gateways use the same report.
    ///
    /// `share` returns this gateway's share of the room that a report shows, which is divided among all, so
    /// that they do not all fill it. The room that a gateway's own requests leave is its own.
    pub(crate) fn has_room(
        &self,
        limits: Limits,
        share: impl FnOnce(u32, &LoadReport) -> u32,
    ) -> bool {
        let share = match (self.reported_room(limits), &self.report) {
            (Some(room), Some(report)) => share(room, report),
            (None, _) | (_, None) => limits.max_load(self),
        };
        self.load() < limits.max_load(self)
            && self.sent_since_report < share + self.ended_since_report
    }
}

/// Returns the number of gateways that compete for the room that the reports show: all of `gateways`
/// if they send more than it within a report interval, one otherwise.
///
/// `own_rate_per_ms` is how many requests this gateway has for the backends; the others are expected
/// to have as many. While requests wait, they use any room.
pub fn competing_gateways(
    candidates: &[Candidate],
    limits: Limits,
    gateways: usize,
    own_rate_per_ms: f64,
    are_waiting: bool,
) -> usize {
    let rooms = candidates.iter().filter_map(|c| c.reported_room(limits));
    let room: f64 = rooms.map(f64::from).sum();
    let demand = own_rate_per_ms * BUSY_REPORT_INTERVAL_MS * gateways as f64;
    if are_waiting || demand > room { gateways } else { 1 }
}

/// Reduces the slots of engines that are slower than others of the service to the requests that they can
/// run without delaying the others of their group, and removes those that can run none unless all are
/// such. Returns the number of slow engines.
pub fn limit_slow_engines(candidates: &mut Vec<Candidate>, engine: &EngineProfile) -> usize {
    let slowdown = |c: &Candidate| c.report.map_or(0.0, |report| report.slowdown);
    let mut slow = 0;
    // Each placement comes here, and usually no engine is slow.
    if candidates.iter().any(|candidate| slowdown(candidate) > 1.0) {
        let paces = pace::relative_paces(candidates.iter().map(slowdown));
        for (candidate, relative_pace) in candidates.iter_mut().zip(paces) {
            let usable = pace::usable_slots(engine, candidate.slots, relative_pace);
            slow += usize::from(usable < candidate.slots);
            candidate.slots = usable;
        }
    }
    if candidates.iter().any(|candidate| candidate.slots > 0) {
        candidates.retain(|candidate| candidate.slots > 0);
    }
    slow
}

/// Limits on the requests at a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of running requests, if lower than the backend's slots.
    pub running: Option<u32>,
    /// Maximum number of queued requests when all slots are in use.
    pub queued: u32,
}

impl Limits {
    fn max_load(self, candidate: &Candidate) -> u32 {
        let capacity = candidate.slots.saturating_add(self.queued);
        self.running.filter(|&running| running < candidate.slots).unwrap_or(capacity)
    }
}

/// Result of the selection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Dispatch the request to this backend.
    Send(FleetKey),
    /// All backends are at their limits.
    Full {
        /// Lowest number of requests by which a considered backend would exceed its limit.
        excess: u32,
    },
    /// The groups of all backends are re-forming.
    Forming,
    /// There is no backend.
    NoBackend,
}

/// Returns the mean number of running requests per backend.
pub fn mean_running(candidates: &[Candidate]) -> f64 {
    candidates.iter().map(Candidate::running).sum::<f64>() / candidates.len().max(1) as f64
}

/// Returns how many randomly drawn backends a gateway compares.
///
/// Gateways that know the same reports would all send to the same least loaded backend until its next
/// report, and fill it beyond its slots. With about its share of the backends to compare, each
/// gateway selects another one.
pub fn sample_size(backends: usize, gateways: usize) -> usize {
    (backends / gateways.max(1)).max(MIN_SAMPLE)
}

/// Divides `room` among `gateways` that have consecutive numbers. The sum of their shares is `room`.
fn share_of_room(room: u32, gateways: usize, draw: u64) -> u32 {
    let gateways = gateways.max(1) as u64;
    let room = u64::from(room);
    (room / gateways + u64::from(draw % gateways < room % gateways)) as u32
}

/// Selects the least loaded of `sample_size` randomly drawn backends, or any other one if none of those
/// has room. `competing` gateways use the same reports.
///
/// An ejected backend is selected only if no other backend has room. `draw` is a uniform random
/// number, which draws the sample and breaks ties.
pub fn choose(
    candidates: &[Candidate],
    limits: Limits,
    competing: usize,
    sample_size: usize,
    draw: u64,
) -> Choice {
    let has_room = |c: &Candidate| {
        c.has_room(limits, |room, report| share_of_room(room, competing, report.draw))
    };
    choose_where(candidates, limits, has_room, sample_size, draw)
}

/// Selects as [`choose`] among the candidates that have room.
pub(crate) fn choose_where(
    candidates: &[Candidate],
    limits: Limits,
    has_room: impl Fn(&Candidate) -> bool,
    sample_size: usize,
    draw: u64,
) -> Choice {
    let forming = |c: &Candidate| c.report.is_some_and(|r| !r.is_serving);
    let usable: Vec<&Candidate> = candidates.iter().filter(|c| !forming(c)).collect();
    if usable.is_empty() {
        return if candidates.is_empty() { Choice::NoBackend } else { Choice::Forming };
    }
    let (mut ejected, mut healthy): (Vec<&Candidate>, Vec<&Candidate>) =
        usable.iter().partition(|c| c.ejected);
    shuffle(&mut healthy, draw);
    shuffle(&mut ejected, draw);
    let with_room = |candidates: &[&Candidate]| -> Option<FleetKey> {
        let has_room = candidates.iter().filter(|c| has_room(c));
        least_loaded(&has_room.copied().collect::<Vec<_>>()).map(|candidate| candidate.key)
    };
    let sample = &healthy[..sample_size.min(healthy.len())];
    // The least loaded of all would be the same one for all gateways.
    let any_with_room = || healthy.iter().find(|c| has_room(c)).map(|c| c.key);
    let chosen = with_room(sample).or_else(any_with_room).or_else(|| with_room(&ejected));
    if let Some(key) = chosen {
        return Choice::Send(key);
    }
    let excess = |c: &Candidate| c.load().saturating_add(1).saturating_sub(limits.max_load(c));
    let excess = usable.iter().map(|candidate| excess(candidate)).min();
    excess.map_or(Choice::NoBackend, |excess| Choice::Full { excess })
}

/// Orders candidates randomly by `draw`.
fn shuffle(candidates: &mut [&Candidate], draw: u64) {
    const MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;
    let random_rank = |key: FleetKey| {
        let mixed = (draw ^ u64::from(key.0)).wrapping_mul(MULTIPLIER);
        (mixed ^ (mixed >> 32)).wrapping_mul(MULTIPLIER)
    };
    candidates.sort_by_key(|candidate| random_rank(candidate.key));
}

/// Returns the first of the least loaded candidates, with local ones before others.
fn least_loaded<'a>(candidates: &[&'a Candidate]) -> Option<&'a Candidate> {
    let relative = |c: &Candidate| f64::from(c.load()) / f64::from(c.slots.max(1));
    let ranked = candidates
        .iter()
        .min_by(|a, b| relative(a).total_cmp(&relative(b)).then(b.local.cmp(&a.local)));
    ranked.copied()
}
