//! Rate limits of the backends, shared by the traffic thread and the control thread.

use std::sync::{Mutex, MutexGuard, PoisonError};

use currantlink_core::fleet::{Fleet, FleetKey};
use currantlink_core::rate_limit::{LimitChange, Permit, RateLimits, RequestRate, Sighting};
use currantlink_wire::peers::NamedRate;

use crate::clock::now_ms;

/// Rate limits that backends name, known here or from other gateways.
pub struct SharedRateLimits(Mutex<RateLimits<FleetKey>>);

impl SharedRateLimits {
    /// Creates the limits of the gateway `own_name`.
    pub fn new(own_name: &str) -> Self {
        Self(Mutex::new(RateLimits::new(own_name)))
    }

    /// Replaces the names of the gateways, or `None` while they are unknown.
    pub fn set_gateways(&self, gateways: Option<Vec<String>>) {
        self.lock().set_gateways(gateways, now_ms());
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
        let change = self.lock().record_response(key, backend, limit, sent_at_ms, now_ms());
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
        let change = self.lock().observe(key, &named.id, sighting, now);
        if change != LimitChange::Unchanged {
            let rate_per_s = named.rate_per_s;
            log::info!(backend = named.id.as_str(), rate_per_s; "rate limit learned from a peer");
        }
    }

    /// Returns what other gateways are told.
    pub fn announced(&self, fleet: &Fleet) -> Vec<NamedRate> {
        let limits = self.lock();
        let named = |(key, limit, age_ms): (FleetKey, Option<RequestRate>, u64)| {
            let member = fleet.get(key)?;
            let rate_per_s = limit.map(RequestRate::per_second);
            let born_ms = member.announcement.started_at_ms;
            Some(NamedRate { id: member.id.clone(), born_ms, rate_per_s, age_ms })
        };
        limits.announced(now_ms()).filter_map(named).collect()
    }

    /// Returns whether a request may be sent to a backend.
    pub fn permit(&self, key: FleetKey) -> Permit {
        self.lock().permit(key, now_ms())
    }

    /// Counts a request that is sent to a backend.
    pub fn record_request(&self, key: FleetKey) {
        self.lock().record_request(key, now_ms());
    }

    /// Removes the limits of backends for which `known` returns false.
    pub fn retain(&self, known: impl Fn(FleetKey) -> bool) {
        self.lock().retain(known);
    }

    fn lock(&self) -> MutexGuard<'_, RateLimits<FleetKey>> {
        // Each update is complete or not begun, so the limits stay consistent even if the lock is poisoned.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
