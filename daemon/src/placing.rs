//! Picks the backend of a request, or refuses it and says when to come back.

use std::time::Duration;

use currantlink_core::fleet::FleetKey;
use currantlink_core::spread::{self, Candidate, Choice, REPORT_LIFE_MS};

use crate::clock::now_ms;
use crate::rejection::{NotRunReason, Rejection};
use crate::serve::{Call, Gateway};

/// Time of an answer before any was seen.
const FIRST_DURATION_MS: f64 = 1_500.0;
/// Part of the target that is kept back from waiting: reading the prompt and the first step.
const KEPT_BACK_MS: f64 = 120.0;
/// Least queue at a backend, so that slots are filled again without a round trip.
const LEAST_QUEUE: u32 = 1;
/// The same while a group is being formed again, which takes seconds.
const FORMING_RETRY_MS: (u64, u64) = (1_500, 2_500);
/// Queue that a request which came back may join, against that of a new one: it is late already, and
/// refused once more it is lost.
const RETURNED_QUEUE: u32 = 2;
/// Shortest and longest time after which a refused request comes back.
const RETRY_AFTER_MS: (u64, u64) = (300, 1_500);
/// Shortest time after which a refused request comes back.
pub const LEAST_RETRY_AFTER: Duration = Duration::from_millis(RETRY_AFTER_MS.0);

impl Gateway {
    pub(crate) fn place(&self, call: &Call, tried: &[FleetKey]) -> Result<FleetKey, Rejection> {
        let belief = self.belief.load();
        let now = now_ms();
        let pool = call.pool();
        let cap = pool.max_connections / belief.gateways.max(1) as u32;
        let learned = self.learned.borrow();
        let settings = self.settings();
        let domain = settings.common.failure_domain();
        let candidates = belief.fleet.open(&pool.name).filter(|(key, _)| !tried.contains(key));
        let candidates = candidates.filter(|(key, _)| !learned.misplaced.contains(key));
        let mut capped = false;
        let candidates = candidates.filter(|&(key, _)| {
            let has_room = self.pool.running(key) < cap.max(1);
            capped |= !has_room;
            has_room
        });
        let candidates = candidates.map(|(key, member)| {
            let report = self.loads.get(member.said.address);
            let report = report.filter(|r| r.age_ms(now) < REPORT_LIFE_MS);
            let (own, own_since_report) = self.pool.load(key, report.map_or(now, |r| r.at_ms));
            let suspended = learned.health.is_ejected(now, key);
            Candidate {
                key,
                slots: member.said.slots,
                own,
                own_since_report,
                report,
                suspended,
                local: member.said.failure_domain == domain,
            }
        });
        let candidates: Vec<Candidate> = candidates.collect();
        let duration_ms =
            learned.durations_ms.get(&pool.name).copied().unwrap_or(FIRST_DURATION_MS);
        drop(learned);
        let slots = candidates.first().map_or(1, |c| c.slots.max(1));
        let release_ms = (duration_ms / f64::from(slots)).max(1.0);
        let wait_ms = (call.route().target_ms as f64 - KEPT_BACK_MS).max(0.0);
        let queue_limit = ((wait_ms / release_ms) as u32).max(LEAST_QUEUE);
        let queue_limit = if call.returned { queue_limit * RETURNED_QUEUE } else { queue_limit };
        match spread::choose(&candidates, queue_limit, rand::random()) {
            Choice::Send(key) => {
                let chosen = candidates.iter().find(|candidate| candidate.key == key);
                let load = chosen.map(Candidate::load);
                let report_age_ms = chosen.and_then(|c| c.report).map(|r| r.age_ms(now));
                let backend = belief.fleet.get(key).map(|member| member.id.as_str());
                log::info!(request = call.attempt_id.as_str(), route = call.route().name.as_str(),
                    backend, load, report_age_ms, candidates = candidates.len(), queue_limit,
                    tried = tried.len(), config_version = call.table.version();
                    "request placed");
                Ok(key)
            }
            Choice::Full { excess } => {
                let least_load = candidates.iter().map(Candidate::load).min();
                log::info!(request = call.attempt_id.as_str(), route = call.route().name.as_str(),
                    least_load, slots, queue_limit, excess, candidates = candidates.len(),
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
            Choice::Nobody if capped => Err(self.not_run(call, NotRunReason::Full)),
            Choice::Nobody if tried.is_empty() => Err(self.not_run(call, NotRunReason::NoBackend)),
            Choice::Nobody => Err(self.not_run(call, NotRunReason::RefusedByBackends)),
        }
    }

    pub(crate) fn not_run(&self, call: &Call, reason: NotRunReason) -> Rejection {
        let (least_ms, most_ms) = match reason {
            NotRunReason::Forming => FORMING_RETRY_MS,
            _ => RETRY_AFTER_MS,
        };
        let spread_ms = rand::random_range(least_ms..=most_ms);
        let limit_ms = call.left().as_millis() as u64 * 3 / 10;
        Rejection::NotRun { reason, retry_after: Duration::from_millis(spread_ms.min(limit_ms)) }
    }
}
