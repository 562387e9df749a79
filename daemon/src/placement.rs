//! Backend selection and admission of requests.
//!
//! Picks a backend for a request, or rejects the request with a retry delay.

use std::rc::Rc;
use std::time::Duration;

use currantlink_core::admission::Room;
use currantlink_core::concurrency::StreamPauses;
use currantlink_core::even_load::{self, Competition, GatewayShare, Selection};
use currantlink_core::fleet::FleetKey;
use currantlink_core::group_choice::{self, GroupKey, RelayedPace, Targets};
use currantlink_core::least_loaded::{
    self, Candidate, Choice, Limits, MAX_REPORT_AGE_MS, mean_running,
};
use currantlink_core::pace::pass_ms;
use currantlink_core::stream_pace::StreamPace;
use derive_more::From;

use crate::clock::now_ms;
use crate::rejection::{NotRunReason, Rejection};
use crate::request_handler::{Call, Gateway, Observations};
use crate::stated_limits::Clearance;

/// Maximum share by which the time until a rate limit takes a request is extended at random.
const MAX_RATE_JITTER: f64 = 0.25;
/// Maximum time by which the time until a pause ends is extended at random.
const MAX_PAUSE_JITTER: Duration = Duration::from_millis(500);
const MS_PER_S: f64 = 1_000.0;

/// Backends that are eligible for a request.
struct CandidateSet {
    candidates: Vec<Candidate>,
    /// Whether backends were excluded because this process has reached its share of their connection
    /// limit.
    is_capped: bool,
    /// Number of backends that were excluded because their failure domains are evacuated.
    evacuated: usize,
    /// Whether backends outside evacuated failure domains accept requests, to this process or others.
    has_remaining: bool,
    /// Why a backend that takes a request again soonest was excluded, if one was excluded for a time.
    excluded: Option<Clearance>,
}

impl CandidateSet {
    /// Reduces the slots of slow engines to what they can run without delaying their groups, and returns
    /// the number of slow engines, or `None` if the service has no expert maps.
    fn limit_slow_engines(&mut self, call: &Call) -> Option<usize> {
        let engine = call.service().engine.as_ref().filter(|engine| engine.experts.is_some())?;
        Some(least_loaded::limit_slow_engines(&mut self.candidates, engine))
    }
}

/// A stream that has events; its end is recorded when dropped.
pub struct StreamInProgress {
    gateway: Rc<Gateway>,
    service: String,
    group: Option<GroupKey>,
}

impl Drop for StreamInProgress {
    fn drop(&mut self) {
        self.gateway.with_pace(&self.service, StreamPace::end_stream);
        self.gateway.with_group_pace(self.group, StreamPace::end_stream);
    }
}

/// Why no backend was selected.
pub enum PlacementError {
    /// No backend takes the request now, but one may soon.
    Unavailable(Unavailable),
    /// No backend can take the request.
    Rejected(Rejection),
}

/// What was known of backends that do not take a request now, for the log.
#[derive(From)]
pub enum Unavailable {
    /// All backends that were compared are at their limits.
    Full(FullBackends),
    /// The groups of all backends are forming or stalled.
    #[from(ignore)]
    Forming {
        /// Number of backends.
        candidates: usize,
        /// Age of the oldest report that says so.
        report_age_ms: Option<u64>,
    },
}

/// Backends that are all at their limits.
pub struct FullBackends {
    least_load: Option<u32>,
    slots: u32,
    limits: Limits,
    excess: u32,
    candidates: usize,
}

/// Backend selected for a request.
#[derive(Clone, Copy, Debug)]
pub struct Placement {
    /// Selected backend.
    pub key: FleetKey,
    /// Mean number of running requests per backend of the service.
    pub running: f64,
}

impl Gateway {
    /// Selects a backend that has not been tried yet.
    ///
    /// # Errors
    ///
    /// Fails if all backends are full, their groups are forming, or none is left to try.
    pub(crate) fn place(
        &self,
        call: &Call,
        tried: &[FleetKey],
    ) -> Result<Placement, PlacementError> {
        let now = now_ms();
        let mut set = self.candidate_set(call, tried, now);
        // An engine that is too slow for requests still determines the pace of its group.
        let preferred = self.preferred_group(call, &set.candidates, now);
        let slow_engines = set.limit_slow_engines(call);
        if let Some(slow_engines) = slow_engines {
            metrics::gauge!("currantlink_slow_engines", "service" => call.service().name.clone())
                .set(slow_engines as f64);
        }
        if set.evacuated > 0 && !set.has_remaining {
            return Err(PlacementError::Rejected(self.evacuated_rejection(call, set.evacuated)));
        }
        let CandidateSet { candidates, is_capped, excluded, .. } = set;
        let slots = candidates.first().map_or(1, |candidate| candidate.slots);
        let duration_ms = self.duration_ms(call, now);
        let service = &call.service().name;
        let is_busy = self.turns.is_busy(service);
        let queue_limit =
            least_loaded::queue_limit(call.route().target_ms, duration_ms, slots, is_busy);
        let running = self.running_limit(call, now);
        let usable_slots = running.unwrap_or(slots).min(slots);
        // A request that was sent before is not held up a second time.
        let reserved = if tried.is_empty() { self.reserved_slots(call, usable_slots) } else { 0 };
        let running = if reserved > 0 { Some(usable_slots - reserved) } else { running };
        let limits = Limits { running, queued: queue_limit };
        let running_limit = limits.running;
        let gateways = self.snapshot.load().gateway_count;
        let share = self.rates.share(self.settings().common.name(), service);
        let own_per_ms = self.rates.own_per_s(service) / MS_PER_S;
        let are_waiting = self.turns.count(service) > 0;
        let select = |candidates: &[Candidate], limits: Limits| {
            let sample_size = least_loaded::sample_size(candidates.len(), gateways);
            let competing = least_loaded::competing_gateways(
                candidates,
                limits,
                gateways,
                own_per_ms,
                are_waiting,
            );
            let competition = Competition { share, competing, sample_size };
            even_load::choose(candidates, limits, competition, rand::random())
        };
        // Once its slots are in use, a preferred group is no better than the others.
        let free = Limits { queued: 0, ..limits };
        let preferred = preferred.map(|group| select(&members(&candidates, group), free));
        let sent = preferred.filter(|selection| matches!(selection.choice, Choice::Send(_)));
        let is_preferred_group = sent.is_some();
        let Selection { choice, is_own_slot } = sent.unwrap_or_else(|| select(&candidates, limits));
        match choice {
            Choice::Send(key) => {
                self.stated_limits.record_request(key);
                let slot = if is_own_slot { "own" } else { "common" };
                metrics::counter!("currantlink_placed_total", "slot" => slot).increment(1);
                let chosen = candidates.iter().find(|candidate| candidate.key == key);
                let load = chosen.map(Candidate::load);
                let report_age_ms = chosen.and_then(|c| c.report).map(|r| r.age_ms(now));
                let snapshot = self.snapshot.load();
                let backend = snapshot.fleet.get(key).map(|member| member.id.as_str());
                log::info!(request = call.attempt_id.as_str(), route = call.route().name.as_str(),
                    backend, load, report_age_ms, candidates = candidates.len(), queue_limit,
                    slot, share = share.map(GatewayShare::size), is_preferred_group, running_limit,
                    reserved, tried = tried.len(), returned = call.is_client_retry,
                    waited_ms = call.arrived_at.elapsed().as_millis() as u64,
                    unheard_ms = call.progress.unheard().as_millis() as u64,
                    start_ms = self.start_ms(call) as u64,
                    config_version = call.table.version();
                    "request placed");
                Ok(Placement { key, running: mean_running(&candidates) })
            }
            Choice::Full { excess } => Err(PlacementError::Unavailable(
                FullBackends {
                    least_load: candidates.iter().map(Candidate::load).min(),
                    slots,
                    limits,
                    excess,
                    candidates: candidates.len(),
                }
                .into(),
            )),
            Choice::Forming => {
                let ages = candidates.iter().filter_map(|c| c.report).map(|r| r.age_ms(now));
                Err(PlacementError::Unavailable(Unavailable::Forming {
                    candidates: candidates.len(),
                    report_age_ms: ages.max(),
                }))
            }
            Choice::NoBackend if Self::may_outwait(call, excluded) => {
                let least_load = None;
                let full = FullBackends { least_load, slots, limits, excess: 0, candidates: 0 };
                Err(PlacementError::Unavailable(full.into()))
            }
            Choice::NoBackend => Err(PlacementError::Rejected(
                self.no_backend_rejection(call, tried, is_capped, excluded),
            )),
        }
    }

    /// Rejects a request that no backend takes now. `unavailable` is what was known of them, unless the
    /// request found others waiting; `interval_ms` is the expected time between two turns.
    pub(crate) fn unavailable_rejection(
        &self,
        call: &Call,
        unavailable: Option<Unavailable>,
        interval_ms: f64,
    ) -> Rejection {
        let (request, route) = (call.attempt_id.as_str(), call.route().name.as_str());
        let waiting = self.turns.count(&call.service().name);
        let (returned, config_version) = (call.is_client_retry, call.table.version());
        match unavailable {
            Some(Unavailable::Forming { candidates, report_age_ms }) => {
                log::info!(request, candidates, report_age_ms, waiting;
                    "all backend groups are forming or stalled");
                return self.not_run_rejection(call, NotRunReason::Forming);
            }
            Some(Unavailable::Full(full)) => {
                let FullBackends { least_load, slots, limits, excess, candidates } = full;
                log::info!(request, route, least_load, slots, queue_limit = limits.queued,
                    running_limit = limits.running, excess, candidates, waiting, returned,
                    config_version; "backends full");
            }
            None => {
                log::info!(request, route, waiting, interval_ms = interval_ms as u64, returned,
                    config_version; "no turn in time");
            }
        }
        self.not_run_rejection(call, NotRunReason::Full)
    }

    /// Returns whether a request that finds all backends paused or cold can be sent and still be on time if it
    /// waits in this gateway.
    fn may_outwait(call: &Call, excluded: Option<Clearance>) -> bool {
        let wait_ms = match excluded {
            Some(Clearance::Paused { wait_ms } | Clearance::Cold { wait_ms }) => wait_ms,
            _ => return false,
        };
        wait_ms < call.target_left_ms() && call.service().engine.is_some()
    }

    fn no_backend_rejection(
        &self,
        call: &Call,
        tried: &[FleetKey],
        is_capped: bool,
        excluded: Option<Clearance>,
    ) -> Rejection {
        match excluded {
            Some(Clearance::Paused { wait_ms }) => {
                log::info!(request = call.attempt_id.as_str(), wait_ms,
                    route = call.route().name.as_str(); "backends have requested pauses");
                metrics::counter!("currantlink_paused_total").increment(1);
                pause_rejection(wait_ms)
            }
            Some(Clearance::RateLimited { wait_ms }) => {
                log::info!(request = call.attempt_id.as_str(), wait_ms,
                    route = call.route().name.as_str(); "backends at their rate limits");
                metrics::counter!("currantlink_rate_limited_total").increment(1);
                rate_rejection(wait_ms)
            }
            Some(Clearance::Cold { wait_ms }) => {
                log::info!(request = call.attempt_id.as_str(), wait_ms,
                    route = call.route().name.as_str(); "backends are cold and at their limits");
                metrics::counter!("currantlink_cold_limited_total").increment(1);
                rate_rejection(wait_ms)
            }
            Some(Clearance::Clear) | None if is_capped => {
                self.not_run_rejection(call, NotRunReason::Full)
            }
            Some(Clearance::Clear) | None if tried.is_empty() => {
                self.not_run_rejection(call, NotRunReason::NoBackend)
            }
            Some(Clearance::Clear) | None => {
                self.not_run_rejection(call, NotRunReason::RefusedByBackends)
            }
        }
    }

    /// Rejects a request whose backends are all in evacuated failure domains.
    fn evacuated_rejection(&self, call: &Call, backends: usize) -> Rejection {
        log::info!(request = call.attempt_id.as_str(), route = call.route().name.as_str(), backends,
            service = call.service().name.as_str();
            "all backends are in evacuated failure domains");
        self.not_run_rejection(call, NotRunReason::Evacuated)
    }

    fn candidate_set(&self, call: &Call, tried: &[FleetKey], now: u64) -> CandidateSet {
        let snapshot = self.snapshot.load();
        let observations = self.observations.borrow();
        let settings = self.settings();
        let domain = settings.common.failure_domain();
        let cap = (call.service().max_connections / snapshot.gateway_count.max(1) as u32).max(1);
        let mut set = CandidateSet {
            candidates: Vec::new(),
            is_capped: false,
            evacuated: 0,
            has_remaining: false,
            excluded: None,
        };
        for (key, member) in snapshot.fleet.available(&call.service().name) {
            if snapshot.evacuations.is_active(&member.announcement.failure_domain) {
                set.evacuated += 1;
                continue;
            }
            set.has_remaining = true;
            if tried.contains(&key)
                || observations.misdirected.contains(&key)
                || observations.leaving.contains(&key)
                || observations.refused_until_ms.get(&key).is_some_and(|&until| now < until)
                || self.silent.contains(key)
            {
                continue;
            }
            let in_flight = self.pool.in_flight(key);
            if in_flight >= cap {
                set.is_capped = true;
                continue;
            }
            let clearance = self.stated_limits.clearance(key, in_flight);
            if clearance != Clearance::Clear {
                let soonest = set.excluded.into_iter().chain([clearance]);
                set.excluded = soonest.min_by_key(|clearance| clearance.wait_ms());
                continue;
            }
            let report = self.load_reports.get(member.announcement.address);
            let report = report.filter(|r| r.age_ms(now) < MAX_REPORT_AGE_MS);
            let counts = self.pool.request_counts(key, report.map_or(now, |r| r.received_at_ms));
            set.candidates.push(Candidate {
                key,
                slots: member.announcement.slots,
                own_requests: counts.in_flight,
                sent_since_report: counts.sent,
                ended_since_report: counts.ended,
                report,
                ejected: observations.health.is_ejected(now, key),
                local: member.announcement.failure_domain == domain,
            });
        }
        set
    }

    /// Returns the backends that may take a request, slow engines with fewer slots.
    fn usable_candidates(&self, call: &Call, now: u64) -> Vec<Candidate> {
        let mut set = self.candidate_set(call, &[], now);
        set.limit_slow_engines(call);
        set.candidates
    }

    /// Returns how many requests each engine may run concurrently without exceeding the route's
    /// pause target.
    fn running_limit(&self, call: &Call, now: u64) -> Option<u32> {
        let engine = call.service().engine.as_ref()?;
        let pause_target_ms = call.route().repeat.gap_target_ms()?;
        let mut observations = self.observations.borrow_mut();
        let pace = observations.stream_paces.get_mut(&call.service().name)?;
        Some(pace.limit(now, pause_target_ms, engine))
    }

    /// Records the pauses between the events of a completed stream.
    pub(crate) fn record_stream(&self, call: &Call, pauses: StreamPauses) {
        let Some(engine) = &call.service().engine else {
            return;
        };
        let mut observations = self.observations.borrow_mut();
        let pace = observations.stream_paces.entry(call.service().name.clone()).or_default();
        pace.record_stream(now_ms(), pauses, engine);
        drop(observations);
        self.record_pause_in_class(call, pauses.longest_ms);
    }

    /// Returns the load of the backends that may take a request.
    pub(crate) fn room(&self, call: &Call) -> Room {
        let now = now_ms();
        let candidates = self.usable_candidates(call, now);
        let limit = self.running_limit(call, now).unwrap_or(u32::MAX);
        let sum = |count: &dyn Fn(&Candidate) -> u32| {
            candidates.iter().map(|c| u64::from(count(c))).sum()
        };
        let (taken, slots): (u64, u64) = (sum(&Candidate::load), sum(&|c| c.slots.min(limit)));
        Room {
            taken: taken as f64 / slots.max(1) as f64,
            are_waiting: self.turns.count(&call.service().name) > 0,
        }
    }

    /// Returns the expected duration of a request: for streams at the current pace of the engines, for
    /// others the mean of recent ones.
    fn duration_ms(&self, call: &Call, now: u64) -> f64 {
        let observations = self.observations.borrow();
        let name = &call.service().name;
        match &call.service().engine {
            Some(engine) => {
                let pace = observations.stream_pace.get(name).copied().unwrap_or_default();
                pace.duration_ms(now, engine)
            }
            None => observations.durations.get(name).copied().unwrap_or_default().mean_ms(),
        }
    }

    /// Returns the expected time between two ends of this gateway's requests to a service, which are
    /// when it can send another one while all backends are full.
    pub(crate) fn release_interval_ms(&self, call: &Call) -> f64 {
        let now = now_ms();
        let candidates = self.usable_candidates(call, now);
        let duration_ms = self.duration_ms(call, now);
        let sum =
            |count: fn(&Candidate) -> u32| candidates.iter().map(|c| u64::from(count(c))).sum();
        let own_requests: u64 = sum(|candidate| candidate.own_requests);
        let slots: u64 = sum(|candidate| candidate.slots);
        let share = slots / self.snapshot.load().gateway_count.max(1) as u64;
        duration_ms / own_requests.max(share).max(1) as f64
    }

    /// Returns the time in which most requests to a service have their first event.
    pub(crate) fn start_ms(&self, call: &Call) -> f64 {
        self.with_pace(&call.service().name, |pace| pace.start_ms())
    }

    /// Records the first event of a stream, `start` after its dispatch.
    pub(crate) fn record_start(
        self: &Rc<Self>,
        call: &Call,
        key: FleetKey,
        start: Duration,
    ) -> StreamInProgress {
        metrics::histogram!("currantlink_first_event_seconds").record(start.as_secs_f64());
        let service = call.service().name.clone();
        let group = self.group_of(key);
        let record = |pace: &mut StreamPace| {
            pace.record_start(now_ms(), start.as_secs_f64() * MS_PER_S);
            pace.begin_stream();
        };
        self.with_pace(&service, record);
        self.with_group_pace(group, record);
        StreamInProgress { gateway: Rc::clone(self), service, group }
    }

    /// Records an event of a stream, and the pause before it if there was an earlier one.
    pub(crate) fn record_event(
        &self,
        call: &Call,
        stream: Option<&StreamInProgress>,
        pause: Option<Duration>,
    ) {
        let pause_ms = pause.map(|pause| pause.as_secs_f64() * MS_PER_S);
        let record = |pace: &mut StreamPace| pace.record_event(now_ms(), pause_ms);
        self.with_pace(&call.service().name, record);
        self.with_group_pace(stream.and_then(|stream| stream.group), record);
    }

    fn with_pace<R>(&self, service: &str, update: impl FnOnce(&mut StreamPace) -> R) -> R {
        let mut observations = self.observations.borrow_mut();
        match observations.stream_pace.get_mut(service) {
            Some(pace) => update(pace),
            None => update(observations.stream_pace.entry(service.to_owned()).or_default()),
        }
    }

    fn with_group_pace(&self, group: Option<GroupKey>, update: impl FnOnce(&mut StreamPace)) {
        if let Some(group) = group {
            update(self.observations.borrow_mut().group_paces.entry(group).or_default());
        }
    }

    fn group_of(&self, key: FleetKey) -> Option<GroupKey> {
        let snapshot = self.snapshot.load();
        let address = snapshot.fleet.get(key)?.announcement.address;
        self.load_reports.get(address)?.group
    }

    /// Selects the group that a stream should go to, if its service has several and they differ.
    fn preferred_group(&self, call: &Call, candidates: &[Candidate], now: u64) -> Option<GroupKey> {
        let engine = call.service().engine.as_ref()?;
        let targets = Targets {
            start_ms: call.route().target_ms as f64,
            pause_ms: call.route().repeat.gap_target_ms()? as f64,
        };
        let mut observations = self.observations.borrow_mut();
        let Observations { group_paces, group_choosers, .. } = &mut *observations;
        let relayed = |key| {
            let pace = group_paces.get(&key).copied().unwrap_or_default();
            let pause_ms = pace.pause_ms(now).unwrap_or_default();
            RelayedPace { start_ms: pace.least_start_ms(now), pause_ms }
        };
        let groups = group_choice::views(candidates, |running| pass_ms(engine, running), relayed);
        if groups.len() < 2 {
            return None;
        }
        let chooser = group_choosers.entry(call.route().name.clone()).or_default();
        for group in chooser.record_late(&groups, targets, now) {
            log::info!(route = call.route().name.as_str(), group:% = group.key,
                pause_ms = group.pause_ms as u64, start_ms = group.start_ms as u64,
                pause_target_ms = targets.pause_ms as u64, free = group.free;
                "group is left by new requests");
            metrics::counter!("currantlink_groups_left_total").increment(1);
        }
        chooser.choose(&groups, targets, now, rand::random())
    }

    /// Creates a rejection for a request that no backend has run.
    pub(crate) fn not_run_rejection(&self, call: &Call, reason: NotRunReason) -> Rejection {
        let is_forming = reason == NotRunReason::Forming;
        let at_least_ms = match reason {
            NotRunReason::Full | NotRunReason::HeldBack => self.recognized_after_ms(call),
            _ => 0,
        };
        let class_retry_after = match reason {
            NotRunReason::Full | NotRunReason::HeldBack => {
                self.class_retry_after(call, at_least_ms)
            }
            _ => None,
        };
        let usual = || self.retry_after(call, is_forming, at_least_ms);
        Rejection::NotRun { reason, retry_after: class_retry_after.unwrap_or_else(usual) }
    }

    /// Returns the delay before a rejected request should be retried, `at_least_ms` if possible.
    pub(crate) fn retry_after(&self, call: &Call, is_forming: bool, at_least_ms: u64) -> Duration {
        let left_ms = call.remaining().as_millis() as u64;
        let after_ms =
            least_loaded::retry_after_ms(is_forming, at_least_ms, left_ms, rand::random());
        Duration::from_millis(after_ms)
    }

    /// Returns how much later a request can be sent and have its first event while its caller waits for
    /// one, or `None` if it cannot.
    pub(crate) fn send_left_ms(&self, call: &Call) -> Option<u64> {
        let start_ms = self.with_pace(&call.service().name, |pace| pace.least_start_ms(now_ms()));
        call.patience().send_left_ms(start_ms)
    }

    /// Returns whether no event can come while the caller of a stream waits for one.
    pub(crate) fn is_out_of_patience(&self, call: &Call) -> bool {
        call.route().event_wait_ms.is_some() && self.send_left_ms(call).is_none()
    }
}

/// Creates a rejection for a request that fits into no backend's rate limit. The jitter spreads the
/// requests that were rejected together.
fn rate_rejection(wait_ms: u64) -> Rejection {
    let jitter = 1.0 + MAX_RATE_JITTER * rand::random::<f64>();
    let retry_after = Duration::from_millis(wait_ms).mul_f64(jitter);
    Rejection::NotRun { reason: NotRunReason::RateLimited, retry_after }
}

/// Creates a rejection for a request whose backends have all requested pauses. Requests that were
/// rejected together return over some time after the first pause has ended.
fn pause_rejection(wait_ms: u64) -> Rejection {
    let retry_after = Duration::from_millis(wait_ms) + MAX_PAUSE_JITTER.mul_f64(rand::random());
    Rejection::NotRun { reason: NotRunReason::Paused, retry_after }
}

/// Returns the candidates that belong to a group.
fn members(candidates: &[Candidate], group: GroupKey) -> Vec<Candidate> {
    let is_member = |c: &&Candidate| c.report.is_some_and(|report| report.group == Some(group));
    candidates.iter().filter(is_member).copied().collect()
}
