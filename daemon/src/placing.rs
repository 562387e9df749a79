//! Picks the backend of a request, or refuses it and says when to come back.

use std::time::Duration;

use currantlink_core::fleet::FleetKey;
use currantlink_core::pace::StreamPauses;
use currantlink_core::spread::{self, Candidate, Choice, Limits, MAX_REPORT_AGE_MS};

use crate::clock::now_ms;
use crate::rejection::{NotRunReason, Rejection};
use crate::serve::{Call, Gateway};

/// Time of an answer before any was seen: that of a stream at full slots, roughly.
const FIRST_DURATION_MS: f64 = 1_500.0;

/// Backends that may get a request.
struct Field {
    candidates: Vec<Candidate>,
    /// Some were left out, as this process uses its share of their connections.
    capped: bool,
}

/// Where a request goes.
#[derive(Clone, Copy, Debug)]
pub struct Placed {
    /// The backend.
    pub key: FleetKey,
    /// Requests that each backend of the service runs, on average.
    pub running: f64,
}

impl Gateway {
    /// Picks a backend that was not tried yet.
    pub(crate) fn place(&self, call: &Call, tried: &[FleetKey]) -> Result<Placed, Rejection> {
        let now = now_ms();
        let Field { candidates, capped } = self.field(call, tried, now);
        let slots = candidates.first().map_or(1, |candidate| candidate.slots);
        let target_ms = call.route().target_ms;
        let queue_limit =
            spread::queue_limit(target_ms, self.mean_duration_ms(call), slots, call.returned);
        let limits = Limits { running: self.running_limit(call, now), queued: queue_limit };
        let running_limit = limits.running;
        match spread::choose(&candidates, limits, rand::random()) {
            Choice::Send(key) => {
                let chosen = candidates.iter().find(|candidate| candidate.key == key);
                let load = chosen.map(Candidate::load);
                let report_age_ms = chosen.and_then(|c| c.report).map(|r| r.age_ms(now));
                let belief = self.belief.load();
                let backend = belief.fleet.get(key).map(|member| member.id.as_str());
                log::info!(request = call.attempt_id.as_str(), route = call.route().name.as_str(),
                    backend, load, report_age_ms, candidates = candidates.len(), queue_limit,
                    running_limit, tried = tried.len(), config_version = call.table.version();
                    "request placed");
                Ok(Placed { key, running: mean_running(&candidates) })
            }
            Choice::Full { excess } => {
                let least_load = candidates.iter().map(Candidate::load).min();
                log::info!(request = call.attempt_id.as_str(), route = call.route().name.as_str(),
                    least_load, slots, queue_limit, running_limit, excess, candidates = candidates.len(),
                    returned = call.returned, config_version = call.table.version();
                    "backends full");
                Err(self.not_run(call, NotRunReason::Full))
            }
            Choice::Forming => {
                let ages = candidates.iter().filter_map(|c| c.report).map(|r| r.age_ms(now));
                log::info!(request = call.attempt_id.as_str(), candidates = candidates.len(),
                    report_age_ms = ages.max(); "groups stand still");
                Err(self.not_run(call, NotRunReason::Forming))
            }
            Choice::NoBackend if capped => Err(self.not_run(call, NotRunReason::Full)),
            Choice::NoBackend if tried.is_empty() => {
                Err(self.not_run(call, NotRunReason::NoBackend))
            }
            Choice::NoBackend => Err(self.not_run(call, NotRunReason::RefusedByBackends)),
        }
    }

    fn field(&self, call: &Call, tried: &[FleetKey], now: u64) -> Field {
        let belief = self.belief.load();
        let learned = self.learned.borrow();
        let settings = self.settings();
        let domain = settings.common.failure_domain();
        let cap = (call.pool().max_connections / belief.gateways.max(1) as u32).max(1);
        let mut field = Field { candidates: Vec::new(), capped: false };
        for (key, member) in belief.fleet.available(&call.pool().name) {
            if tried.contains(&key) || learned.misplaced.contains(&key) {
                continue;
            }
            if self.pool.running(key) >= cap {
                field.capped = true;
                continue;
            }
            let report = self.loads.get(member.announcement.address);
            let report = report.filter(|r| r.age_ms(now) < MAX_REPORT_AGE_MS);
            let (own_requests, sent_since_report) =
                self.pool.load(key, report.map_or(now, |r| r.received_at_ms));
            field.candidates.push(Candidate {
                key,
                slots: member.announcement.slots,
                own_requests,
                sent_since_report,
                report,
                suspended: learned.health.is_ejected(now, key),
                local: member.announcement.failure_domain == domain,
            });
        }
        field
    }

    /// Requests that each engine is to run at once, such that streams are on time.
    fn running_limit(&self, call: &Call, now: u64) -> Option<u32> {
        let engine = call.pool().engine.as_ref()?;
        let pause_target_ms = call.route().repeat.gap_target_ms()?;
        let mut learned = self.learned.borrow_mut();
        let pace = learned.paces.get_mut(&call.pool().name)?;
        Some(pace.limit(now, pause_target_ms, engine))
    }

    /// Notes the pauses of a stream that was served.
    pub(crate) fn stream_ended(&self, call: &Call, pauses: StreamPauses) {
        let Some(engine) = &call.pool().engine else {
            return;
        };
        let mut learned = self.learned.borrow_mut();
        let pace = learned.paces.entry(call.pool().name.clone()).or_default();
        pace.record_stream(now_ms(), pauses, engine);
    }

    fn mean_duration_ms(&self, call: &Call) -> f64 {
        let learned = self.learned.borrow();
        learned.durations_ms.get(&call.pool().name).copied().unwrap_or(FIRST_DURATION_MS)
    }

    /// A refusal that is true: no backend may have run the request.
    pub(crate) fn not_run(&self, call: &Call, reason: NotRunReason) -> Rejection {
        let is_forming = reason == NotRunReason::Forming;
        let left_ms = call.left().as_millis() as u64;
        let after_ms = spread::retry_after_ms(is_forming, left_ms, rand::random());
        Rejection::NotRun { reason, retry_after: Duration::from_millis(after_ms) }
    }
}

fn mean_running(candidates: &[Candidate]) -> f64 {
    let running = candidates.iter().map(|c| c.load().min(c.slots));
    f64::from(running.sum::<u32>()) / candidates.len().max(1) as f64
}
