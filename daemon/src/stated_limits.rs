//! What backends say of the requests that they take: rate limits, which all gateways share, and pauses.
//! Shared by the traffic thread and the control thread.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use currantlink_core::fleet::{Fleet, FleetKey};
use currantlink_core::pauses::Pauses;
use currantlink_core::rate_limit::{LimitChange, Permit, RateLimits, RequestRate, Sighting};
use currantlink_wire::peers::NamedRate;

use crate::clock::now_ms;

/// Rate limits that backends name, known here or from other gateways, and pauses that they request from
/// this gateway.
pub struct StatedLimits(Mutex<State>);

struct State {
    rates: RateLimits<FleetKey>,
    pauses: Pauses<FleetKey>,
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
}

impl Clearance {
    /// Returns the time until a request may be sent.
    pub fn wait_ms(self) -> u64 {
        match self {
            Clearance::Clear => 0,
            Clearance::Paused { wait_ms } | Clearance::RateLimited { wait_ms } => wait_ms,
        }
    }
}

impl StatedLimits {
    /// Creates the limits of the gateway `own_name`.
    pub fn new(own_name: &str) -> Self {
        let state = State { rates: RateLimits::new(own_name), pauses: Pauses::default() };
        Self(Mutex::new(state))
    }

    /// Replaces the names of the gateways, or `None` while they are unknown.
    pub fn set_gateways(&self, gateways: Option<Vec<String>>) {
        self.lock().rates.set_gateways(gateways, now_ms());
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
        match state.rates.permit(key, now) {
            Permit::Now => Clearance::Clear,
            Permit::After { wait_ms } => Clearance::RateLimited { wait_ms },
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
        self.lock().rates.record_request(key, now_ms());
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
