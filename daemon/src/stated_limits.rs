//! What backends say of the requests that they take: rate limits, which all gateways share, pauses, and
//! whether they are cold. Shared by the traffic thread and the control thread.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use currantlink_core::fleet::{Fleet, FleetKey};
use currantlink_core::pauses::Pauses;
use currantlink_core::rate_lanes::RateMargin;
use currantlink_core::rate_limit::{LimitChange, Permit, RateLimits, RequestRate, Sighting};
use currantlink_core::routes::RouteTable;
use currantlink_wire::peers::{Demand, NamedRate};

use crate::clock::now_ms;
use crate::cold_backends::ColdBackends;

/// Rate limits that backends name, known here or from other gateways, and pauses that they request from
/// this gateway.
pub struct StatedLimits(Mutex<State>);

struct State {
    rates: RateLimits<FleetKey>,
    pauses: Pauses<FleetKey>,
    cold: ColdBackends,
}

/// Whether a request may be sent to a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Clearance {
    /// The request may be sent now.
    Clear,
    /// The backend has requested a pause, or takes few requests after one.
    Paused {
        /// Time until a request may be sent.
        wait_ms: u64,
    },
    /// The backend's rate limit is reached.
    RateLimited {
        /// Time until a request may be sent.
        wait_ms: u64,
    },
    /// The backend is cold, and this gateway's part of what it tolerates is used up.
    Cold {
        /// Time until a request may be sent, by this gateway or another one.
        wait_ms: u64,
    },
}

impl Clearance {
    /// Returns the time until a request may be sent.
    pub fn wait_ms(self) -> u64 {
        match self {
            Clearance::Clear => 0,
            Clearance::Paused { wait_ms }
            | Clearance::RateLimited { wait_ms }
            | Clearance::Cold { wait_ms } => wait_ms,
        }
    }
}

impl StatedLimits {
    /// Creates the limits of the gateway `own_name`.
    pub fn new(own_name: &str, cold_margin: RateMargin) -> Self {
        let (rates, pauses) = (RateLimits::new(own_name), Pauses::default());
        let cold = ColdBackends::new(own_name, cold_margin);
        Self(Mutex::new(State { rates, pauses, cold }))
    }

    /// Replaces the names of the gateways, or `None` while they are unknown.
    pub fn set_gateways(&self, gateways: Option<Vec<String>>) {
        let mut state = self.lock();
        state.cold.set_gateways(&gateways);
        state.rates.set_gateways(gateways, now_ms());
    }

    /// Replaces by how much the requests of one second may exceed the rate of a cold backend.
    pub fn set_cold_margin(&self, margin: RateMargin) {
        self.lock().update_cold(|cold, _| cold.set_margin(margin));
    }

    /// Applies the cold phases of the services of a configuration.
    pub fn configure_cold(&self, table: &RouteTable) {
        self.lock().update_cold(|cold, _| cold.configure(table));
    }

    /// Records the listed backends with these ids, as they were just read.
    pub fn record_listed<'a>(&self, fleet: &Fleet, ids: impl Iterator<Item = &'a str>) {
        self.lock().update_cold(|cold, now| cold.record_listed(fleet, ids, now));
    }

    /// Records that the evacuation of a failure domain was lifted at `at_ms`.
    pub fn record_lifted(&self, failure_domain: &str, at_ms: u64) {
        self.lock().update_cold(|cold, _| cold.states().record_lifted(failure_domain, at_ms));
    }

    /// Records that a backend was heard again after it was not heard for some time.
    pub fn record_return(&self, key: FleetKey) {
        self.lock().update_cold_backend(key, |cold, now| cold.states().record_return(key, now));
    }

    /// Records that a backend refuses connections.
    pub fn record_absent(&self, key: FleetKey) {
        self.lock().update_cold_backend(key, |cold, now| cold.states().record_absent(key, now));
    }

    /// Records that a backend has responded to a request that was sent at `sent_at_ms`, and for how long it
    /// remains cold if it said so.
    pub fn record_heard(&self, key: FleetKey, cold_remaining_ms: Option<u64>, sent_at_ms: u64) {
        self.lock().update_cold_backend(key, |cold, now| {
            cold.states().record_heard(key, now);
            if let Some(remaining_ms) = cold_remaining_ms {
                cold.states().record_header(key, remaining_ms, sent_at_ms, now);
            }
        });
    }

    /// Records the claims of another gateway to the rates of cold backends.
    pub fn learn_claims(&self, gateway: &str, demands: &[Demand]) {
        self.lock().cold.record_claims(gateway, demands, now_ms());
    }

    /// Records this gateway's current request rates, and divides the rates of cold backends. Returns the
    /// claims to announce, by service.
    pub fn sample_claims(&self, own_per_s: impl Fn(&str) -> f64) -> Vec<Demand> {
        let mut guard = self.lock();
        let (now, State { rates, cold, .. }) = (now_ms(), &mut *guard);
        let claims = cold.sample_claims(own_per_s, now);
        cold.divide_if_due(rates, now);
        claims
    }

    /// Removes the cold states of backends that are not listed.
    pub fn retain_cold(&self, fleet: &Fleet) {
        let is_listed =
            |key| fleet.get(key).is_some_and(|member| fleet.by_id(&member.id) == Some(key));
        self.lock().cold.retain(is_listed);
    }

    /// Records the limit that a backend named, if any, in the response to a request sent at
    /// `sent_at_ms`.
    pub fn record_response(
        &self,
        key: FleetKey,
        backend: &str,
        limit: Option<RequestRate>,
        sent_at_ms: u64,
    ) {
        let change = self.lock().rates.record_response(key, backend, limit, sent_at_ms, now_ms());
        match change {
            LimitChange::Unchanged => {}
            LimitChange::Limited(rate) => {
                log::info!(backend, rate_per_s:% = rate; "backend names a rate limit");
            }
            LimitChange::Lifted => {
                log::info!(backend; "backend names no rate limit any more");
            }
        }
    }

    /// Records what another gateway says of a backend.
    pub fn learn(&self, fleet: &Fleet, named: &NamedRate) {
        let Some(key) = fleet.by_id(&named.id) else {
            return;
        };
        let born_ms = fleet.get(key).map(|member| member.announcement.started_at_ms);
        let limit = match named.rate_per_s.map(RequestRate::try_from).transpose() {
            Ok(limit) if born_ms == Some(named.born_ms) => limit,
            Ok(_) => return,
            Err(error) => {
                log::warn!(backend = named.id.as_str(), error:% = error;
                    "rate limit from a peer is invalid");
                return;
            }
        };
        let now = now_ms();
        let sighting = Sighting { limit, seen_at_ms: now.saturating_sub(named.age_ms) };
        let change = self.lock().rates.observe(key, &named.id, sighting, now);
        if change != LimitChange::Unchanged {
            let rate_per_s = named.rate_per_s;
            log::info!(backend = named.id.as_str(), rate_per_s; "rate limit learned from a peer");
        }
    }

    /// Returns what other gateways are told.
    pub fn announced(&self, fleet: &Fleet) -> Vec<NamedRate> {
        let state = self.lock();
        let named = |(key, limit, age_ms): (FleetKey, Option<RequestRate>, u64)| {
            let member = fleet.get(key)?;
            let rate_per_s = limit.map(RequestRate::per_second);
            let born_ms = member.announcement.started_at_ms;
            Some(NamedRate { id: member.id.clone(), born_ms, rate_per_s, age_ms })
        };
        state.rates.announced(now_ms()).filter_map(named).collect()
    }

    /// Returns whether a request may be sent to a backend that has `in_flight` requests of this gateway.
    pub fn clearance(&self, key: FleetKey, in_flight: u32) -> Clearance {
        let (now, state) = (now_ms(), self.lock());
        if let Permit::After { wait_ms } = state.pauses.permit(key, in_flight, now) {
            return Clearance::Paused { wait_ms };
        }
        if let Permit::After { wait_ms } = state.rates.permit(key, now) {
            return Clearance::RateLimited { wait_ms };
        }
        match state.rates.cold_permit(key, now) {
            Permit::Now => Clearance::Clear,
            Permit::After { wait_ms } => Clearance::Cold { wait_ms },
        }
    }

    /// Returns whether a backend wants no requests of this gateway now.
    pub fn is_paused(&self, key: FleetKey) -> bool {
        self.lock().pauses.is_paused(key, now_ms())
    }

    /// Records that a backend has requested a pause.
    pub fn record_pause(&self, key: FleetKey, pause: Duration) {
        self.lock().pauses.record_pause(key, pause, now_ms());
    }

    /// Records a response of a backend that is no rejection, to a request that was sent at `sent_at_ms`.
    pub fn record_accepted(&self, key: FleetKey, sent_at_ms: u64) {
        self.lock().pauses.record_response(key, sent_at_ms);
    }

    /// Counts a request that is sent to a backend.
    pub fn record_request(&self, key: FleetKey) {
        let mut state = self.lock();
        if state.rates.record_request(key, now_ms()) {
            let service = state.cold.service(key).unwrap_or_default().to_owned();
            metrics::counter!("currantlink_cold_requests_total", "service" => service).increment(1);
        }
    }

    /// Removes the limits of backends for which `known` returns false.
    pub fn retain(&self, known: impl Fn(FleetKey) -> bool) {
        let mut state = self.lock();
        state.rates.retain(&known);
        state.pauses.retain(known);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // Each update is complete or not begun, so the limits stay consistent even if the lock is poisoned.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Updates what is known of cold backends and divides their rates anew, before a request is placed.
    fn update_cold(&mut self, update: impl FnOnce(&mut ColdBackends, u64)) {
        let now = now_ms();
        update(&mut self.cold, now);
        self.cold.divide(&mut self.rates, now);
    }

    /// Updates what is known of a backend and divides its rate if it counts as cold.
    fn update_cold_backend(&mut self, key: FleetKey, update: impl FnOnce(&mut ColdBackends, u64)) {
        let now = now_ms();
        update(&mut self.cold, now);
        self.cold.divide_one(&mut self.rates, key, now);
    }
}
