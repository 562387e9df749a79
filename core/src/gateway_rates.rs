//! Rates at which requests arrive at all gateways, by service.
//!
//! A gateway measures its own rate and announces it in its hello messages. Callers are distributed
//! unevenly over the gateways, so what all gateways share, such as the room of a backend, is divided by
//! these rates rather than equally.

use indexmap::IndexMap;

use crate::arrivals::ArrivalRate;

/// Age at which an announced rate is discarded. Gateways announce their rates twice a second, and several
/// messages in a row may be lost.
pub const MAX_ANNOUNCEMENT_AGE_MS: u64 = 2_500;
/// Lowest rate that is announced.
const MIN_ANNOUNCED_PER_S: f64 = 0.1;
const MS_PER_S: f64 = 1_000.0;

/// Request rate of a gateway for a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRate {
    /// Name of the service.
    pub service: String,
    /// Requests per second.
    pub per_s: f64,
}

/// Rates of this gateway and of the others.
#[derive(Clone, Debug, Default)]
pub struct GatewayRates {
    own: IndexMap<String, ArrivalRate>,
    others: IndexMap<String, Announcement>,
}

#[derive(Clone, Debug)]
struct Announcement {
    received_at_ms: u64,
    per_s: IndexMap<String, f64>,
}

impl GatewayRates {
    /// Records a request that arrives at this gateway.
    pub fn record_arrival(&mut self, service: &str, now_ms: u64) {
        match self.own.get_mut(service) {
            Some(rate) => rate.record(now_ms),
            None => self.own.entry(service.to_owned()).or_default().record(now_ms),
        }
    }

    /// Returns the rate of this gateway for a service.
    pub fn own_per_s(&self, service: &str, now_ms: u64) -> f64 {
        self.own.get(service).map_or(0.0, |rate| rate.per_ms(now_ms) * MS_PER_S)
    }

    /// Returns the rates that this gateway announces.
    pub fn announced(&self, now_ms: u64) -> Vec<ServiceRate> {
        let rates = self.own.iter().map(|(service, rate)| ServiceRate {
            service: service.clone(),
            per_s: rate.per_ms(now_ms) * MS_PER_S,
        });
        rates.filter(|rate| rate.per_s >= MIN_ANNOUNCED_PER_S).collect()
    }

    /// Records the rates that another gateway announces.
    pub fn record_announcement(
        &mut self,
        gateway: &str,
        rates: impl IntoIterator<Item = ServiceRate>,
        now_ms: u64,
    ) {
        let is_rate = |rate: &ServiceRate| rate.per_s.is_finite() && rate.per_s >= 0.0;
        let rates = rates.into_iter().filter(is_rate);
        let per_s = rates.map(|rate| (rate.service, rate.per_s)).collect();
        let announcement = Announcement { received_at_ms: now_ms, per_s };
        self.others.insert(gateway.to_owned(), announcement);
    }

    /// Removes announcements that are too old.
    pub fn remove_expired(&mut self, now_ms: u64) {
        self.others.retain(|_, announcement| announcement.is_current(now_ms));
    }

    /// Returns the rates of the other gateways for a service, with their names.
    pub fn others_per_s<'a>(
        &'a self,
        service: &'a str,
        now_ms: u64,
    ) -> impl Iterator<Item = (&'a str, f64)> {
        let current = self.others.iter().filter(move |(_, other)| other.is_current(now_ms));
        current.map(move |(name, other)| {
            (name.as_str(), other.per_s.get(service).copied().unwrap_or_default())
        })
    }
}

impl Announcement {
    fn is_current(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.received_at_ms) < MAX_ANNOUNCEMENT_AGE_MS
    }
}
