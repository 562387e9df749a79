//! Request rates that backends in need name for all gateways together.
//!
//! Gateways divide a rate without agreeing on it: each ranks the gateways that it knows by a hash with
//! the backend, and the first of them send to the backend, at an equal part of the rate each. An
//! unused part is not saved up beyond one request, so the requests of all in some seconds exceed the
//! rate by one request a gateway at most; the number of gateways that send is bounded for this. What
//! a backend said last is told to other gateways with its age.
//!
//! The rate of a cold backend holds for every second and at any view that gateways have of each other, so
//! it is divided more strictly, by lanes. See [`crate::rate_lanes`].

use std::hash::Hash;

use derive_more::{Display, Error};
use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::rate_lanes::{Competitors, LanePlan, Lanes};
use crate::share::ASSUMED_GATEWAYS;

const MILLI_PER_UNIT: f64 = 1_000.0;
const MS_PER_S: f64 = 1_000.0;
/// Number of gateways that send to a backend with a rate below one request per second. Each request
/// per second adds a gateway.
const MIN_SENDERS: usize = 4;
/// Rate at which a backend is used in any case. Only a response can lift a limit.
const MIN_RATE_PER_S: f64 = 0.25;
/// Requests that a part of a rate saves up.
const MAX_TOKENS: f64 = 1.0;
/// Time after which a request may be sent to a cold backend by another gateway, or by this one if shares
/// have changed. All lanes send within it at rates of a few requests per second.
const REFERRAL_WAIT_MS: u64 = 1_000;
/// Time for which other gateways are told of a lifted limit.
const LIFTED_ANNOUNCE_MS: u64 = 10_000;

/// A rate of requests, in steps of a thousandth of a request per second.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display("{}", self.per_second())]
pub struct RequestRate {
    per_1000_s: u64,
}

/// The number is no rate.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq)]
#[display("{value} requests per second is not a rate")]
pub struct InvalidRate {
    #[error(not(source))]
    value: f64,
}

impl RequestRate {
    /// Returns the number of requests per second.
    pub fn per_second(self) -> f64 {
        self.per_1000_s as f64 / MILLI_PER_UNIT
    }
}

impl TryFrom<f64> for RequestRate {
    type Error = InvalidRate;

    fn try_from(per_second: f64) -> Result<Self, InvalidRate> {
        match per_second.is_finite() && per_second >= 0.0 {
            // The conversion saturates.
            true => Ok(Self { per_1000_s: (per_second * MILLI_PER_UNIT) as u64 }),
            false => Err(InvalidRate { value: per_second }),
        }
    }
}

/// What a backend said of its limit, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sighting {
    /// Limit, or `None` if the backend named none.
    pub limit: Option<RequestRate>,
    /// Time of the response.
    pub seen_at_ms: u64,
}

/// Change of the limit that is known of a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// The limit is the same as before.
    Unchanged,
    /// The backend has this limit now.
    Limited(RequestRate),
    /// The backend has no limit any more.
    Lifted,
}

/// Whether a request may be sent to a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// The request may be sent now.
    Now,
    /// A request may be sent after this time, by this gateway or another one.
    After {
        /// Time to wait.
        wait_ms: u64,
    },
}

/// Limits of all backends, and this gateway's parts of them.
#[derive(Clone, Debug)]
pub struct RateLimits<K> {
    own_name: String,
    /// Names of all gateways, or `None` while they are unknown.
    gateways: Option<Vec<String>>,
    backends: IndexMap<K, BackendLimit>,
    /// Lanes of the cold backends.
    cold: IndexMap<K, Lanes>,
}

#[derive(Clone, Debug)]
struct BackendLimit {
    /// Id of the backend.
    id: String,
    /// Latest sighting, of this gateway or another one.
    sighting: Sighting,
    /// Latest sighting of this gateway.
    own: Option<Sighting>,
    /// This gateway's part of the limit.
    part_per_s: f64,
    tokens: f64,
    refilled_at_ms: u64,
}

impl<K: Copy + Eq + Hash> RateLimits<K> {
    /// Creates the limits of the gateway `own_name`; no backend has a limit.
    pub fn new(own_name: &str) -> Self {
        Self {
            own_name: own_name.to_owned(),
            gateways: None,
            backends: IndexMap::new(),
            cold: IndexMap::new(),
        }
    }

    /// Replaces the names of the gateways, this one included, and divides all limits anew.
    pub fn set_gateways(&mut self, gateways: Option<Vec<String>>, now_ms: u64) {
        if self.gateways == gateways {
            return;
        }
        self.gateways = gateways;
        for backend in self.backends.values_mut() {
            backend.refill(now_ms);
            backend.part_per_s = part_per_s(backend, &self.own_name, self.gateways.as_deref());
        }
    }

    /// Records a response of a backend to a request that was sent at `sent_at_ms`.
    ///
    /// A response without a limit lifts it only if the request was sent after the limit was named:
    /// the head of an older one may have been on its way.
    pub fn record_response(
        &mut self,
        key: K,
        id: &str,
        limit: Option<RequestRate>,
        sent_at_ms: u64,
        now_ms: u64,
    ) -> LimitChange {
        let known = self.backends.get(&key).map(|backend| backend.sighting);
        let is_current = limit.is_some()
            || known.is_some_and(|known| known.limit.is_some() && sent_at_ms >= known.seen_at_ms);
        match is_current {
            true => {
                let sighting = Sighting { limit, seen_at_ms: now_ms };
                self.record_sighting(key, id, sighting, true, now_ms)
            }
            false => LimitChange::Unchanged,
        }
    }

    /// Records what another gateway has seen of a backend. The latest sighting counts.
    pub fn observe(&mut self, key: K, id: &str, sighting: Sighting, now_ms: u64) -> LimitChange {
        self.record_sighting(key, id, sighting, false, now_ms)
    }

    fn record_sighting(
        &mut self,
        key: K,
        id: &str,
        sighting: Sighting,
        is_own: bool,
        now_ms: u64,
    ) -> LimitChange {
        let known = self.backends.get(&key).map(|backend| backend.sighting);
        if known.is_some_and(|known| known.seen_at_ms >= sighting.seen_at_ms) {
            return LimitChange::Unchanged;
        }
        let backend = self.backends.entry(key).or_insert_with(|| BackendLimit {
            id: id.to_owned(),
            sighting,
            own: None,
            part_per_s: 0.0,
            tokens: 0.0,
            refilled_at_ms: now_ms,
        });
        backend.refill(now_ms);
        backend.sighting = sighting;
        if is_own {
            backend.own = Some(sighting);
        }
        backend.part_per_s = part_per_s(backend, &self.own_name, self.gateways.as_deref());
        match (known.and_then(|known| known.limit), sighting.limit) {
            (before, after) if before == after => LimitChange::Unchanged,
            (None, Some(rate)) => {
                backend.tokens = 0.0;
                LimitChange::Limited(rate)
            }
            (_, Some(rate)) => LimitChange::Limited(rate),
            (_, None) => LimitChange::Lifted,
        }
    }

    /// Returns whether a request may be sent to a backend.
    pub fn permit(&self, key: K, now_ms: u64) -> Permit {
        let Some((backend, limit)) = self.limited(key) else {
            return Permit::Now;
        };
        let tokens = backend.tokens_at(now_ms);
        // A gateway without a part refers to those that have one.
        let (missing, rate_per_s) = match backend.part_per_s > 0.0 {
            true => (MAX_TOKENS - tokens, backend.part_per_s),
            false => (MAX_TOKENS, usable_per_s(limit)),
        };
        match missing <= 0.0 {
            true => Permit::Now,
            false => Permit::After { wait_ms: (missing / rate_per_s * MS_PER_S).ceil() as u64 },
        }
    }

    /// Divides the rate of a cold backend among gateways. To be called again at intervals, since a division
    /// is valid for a short time only.
    pub fn divide_cold(
        &mut self,
        key: K,
        id: &str,
        plan: LanePlan,
        competitors: &Competitors,
        now_ms: u64,
    ) {
        let lanes = self.cold.entry(key).or_insert_with(|| Lanes::new(id, plan));
        if lanes.plan() != plan {
            *lanes = Lanes::new(id, plan);
        }
        lanes.divide(competitors, now_ms);
    }

    /// Removes the limits of cold backends for which `is_cold` returns false.
    pub fn retain_cold(&mut self, is_cold: impl Fn(K) -> bool) {
        self.cold.retain(|&key, _| is_cold(key));
    }

    /// Returns whether a request may be sent to a backend by its limit while it is cold.
    pub fn cold_permit(&self, key: K, now_ms: u64) -> Permit {
        match self.cold.get(&key).map(|lanes| lanes.wait_ms(now_ms)) {
            None | Some(Some(0)) => Permit::Now,
            Some(Some(wait_ms)) => Permit::After { wait_ms },
            Some(None) => Permit::After { wait_ms: REFERRAL_WAIT_MS },
        }
    }

    /// Returns whether a backend is limited as a cold one.
    pub fn has_cold(&self, key: K) -> bool {
        self.cold.contains_key(&key)
    }

    /// Returns the number of lanes of cold backends that this gateway owns.
    pub fn cold_lanes_owned(&self) -> usize {
        self.cold.values().map(Lanes::owned).sum()
    }

    /// Counts a request that is sent to a backend. Returns whether the backend is limited as a cold one.
    pub fn record_request(&mut self, key: K, now_ms: u64) -> bool {
        let cold = self.cold.get_mut(&key);
        let is_cold = cold.is_some();
        if let Some(lanes) = cold {
            lanes.record_request(now_ms);
        }
        if let Some(backend) = self.backends.get_mut(&key) {
            backend.refill(now_ms);
            backend.tokens = (backend.tokens - 1.0).max(0.0);
        }
        is_cold
    }

    /// Returns the sightings that other gateways are told, with keys and ages.
    ///
    /// Only own ones, unless a later one contradicts them: the delay of each message makes a sighting
    /// look newer, so that sightings which are passed on again and again would outlive what
    /// contradicts them.
    pub fn announced(&self, now_ms: u64) -> impl Iterator<Item = (K, Option<RequestRate>, u64)> {
        let age_ms = move |sighting: Sighting| now_ms.saturating_sub(sighting.seen_at_ms);
        let sightings = self.backends.iter().filter_map(|(&key, backend)| {
            let is_limited = backend.sighting.limit.is_some();
            let own = backend.own.filter(|own| own.limit.is_some() == is_limited)?;
            Some((key, own))
        });
        sightings
            .map(move |(key, sighting)| (key, sighting.limit, age_ms(sighting)))
            .filter(|&(_, limit, age_ms)| limit.is_some() || age_ms < LIFTED_ANNOUNCE_MS)
    }

    /// Removes the backends for which `known` returns false.
    pub fn retain(&mut self, known: impl Fn(K) -> bool) {
        self.backends.retain(|&key, _| known(key));
    }

    fn limited(&self, key: K) -> Option<(&BackendLimit, RequestRate)> {
        let backend = self.backends.get(&key)?;
        Some((backend, backend.sighting.limit?))
    }
}

impl BackendLimit {
    fn tokens_at(&self, now_ms: u64) -> f64 {
        let elapsed_s = now_ms.saturating_sub(self.refilled_at_ms) as f64 / MS_PER_S;
        (self.tokens + elapsed_s * self.part_per_s).min(MAX_TOKENS)
    }

    fn refill(&mut self, now_ms: u64) {
        self.tokens = self.tokens_at(now_ms);
        self.refilled_at_ms = now_ms.max(self.refilled_at_ms);
    }
}

fn usable_per_s(limit: RequestRate) -> f64 {
    limit.per_second().max(MIN_RATE_PER_S)
}

/// Returns a gateway's part of a backend's limit; 0 if others send to the backend.
fn part_per_s(backend: &BackendLimit, own_name: &str, gateways: Option<&[String]>) -> f64 {
    let Some(limit) = backend.sighting.limit else {
        return 0.0;
    };
    let senders = MIN_SENDERS.saturating_add(limit.per_second() as usize);
    let Some(gateways) = gateways else {
        return usable_per_s(limit) / ASSUMED_GATEWAYS as f64;
    };
    let seed = xxh3_64_with_seed(backend.id.as_bytes(), 0);
    let rank = |name: &str| (xxh3_64_with_seed(name.as_bytes(), seed), name.to_owned());
    let own = rank(own_name);
    let before_own = gateways.iter().filter(|name| rank(name) < own).count();
    match before_own < senders {
        true => usable_per_s(limit) / senders.min(gateways.len().max(1)) as f64,
        false => 0.0,
    }
}
