//! Request rates of all gateways, shared by the traffic thread and the control thread.

use std::sync::{Mutex, MutexGuard, PoisonError};

use currantlink_core::even_load::GatewayShare;
use currantlink_core::gateway_rates::{GatewayRates, ServiceRate};
use currantlink_wire::peers::Demand;

use crate::clock::now_ms;

/// Rates of this gateway, written by the traffic thread, and of the others, written by the control
/// thread.
#[derive(Default)]
pub struct SharedRates(Mutex<GatewayRates>);

impl SharedRates {
    /// Records a request that arrives at this gateway.
    pub fn record_arrival(&self, service: &str) {
        self.lock().record_arrival(service, now_ms());
    }

    /// Returns the rate of this gateway for a service.
    pub fn own_per_s(&self, service: &str) -> f64 {
        self.lock().own_per_s(service, now_ms())
    }

    /// Returns the share of this gateway, named `own`, in the slots of a service's backends, or `None` if no
    /// other gateway is known.
    pub fn share(&self, own: &str, service: &str) -> Option<GatewayShare> {
        let (state, now) = (self.lock(), now_ms());
        GatewayShare::new(own, state.own_per_s(service, now), state.others_per_s(service, now))
    }

    /// Records the rates in another gateway's hello message.
    pub fn learn(&self, gateway: &str, demands: Vec<Demand>) {
        let rates = demands.into_iter().map(|demand| ServiceRate {
            service: demand.service,
            per_s: f64::from(demand.requests_per_s),
        });
        let now = now_ms();
        let mut state = self.lock();
        state.record_announcement(gateway, rates, now);
        state.remove_expired(now);
    }

    /// Returns the rates for this gateway's hello messages.
    pub fn announced(&self) -> Vec<Demand> {
        let rates = self.lock().announced(now_ms());
        let demand = |rate: ServiceRate| Demand {
            service: rate.service,
            requests_per_s: rate.per_s as f32,
            ..Demand::default()
        };
        rates.into_iter().map(demand).collect()
    }

    fn lock(&self) -> MutexGuard<'_, GatewayRates> {
        // Each update is complete or not begun, so the rates stay consistent even if the lock is poisoned.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
