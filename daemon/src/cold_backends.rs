//! Cold backends and this gateway's part of the requests that they tolerate. See
//! [`currantlink_core::cold`] and [`currantlink_core::rate_lanes`].

use currantlink_core::cold::{ColdBackend, ColdCause, ColdStates, ListedBackend};
use currantlink_core::fleet::{Fleet, FleetKey};
use currantlink_core::rate_lanes::{BoundedRate, Competitors, DemandClaims, LanePlan, RateMargin};
use currantlink_core::rate_limit::RateLimits;
use currantlink_core::routes::{ColdPhase, RouteTable};
use currantlink_wire::peers::Demand;
use indexmap::IndexMap;

/// Minimum interval between two divisions of the rates. A division is valid for twice as long.
const DIVIDE_INTERVAL_MS: u64 = 250;

/// What is known of cold backends, of the services that have a cold phase, and of the claims to them.
pub struct ColdBackends {
    own_name: String,
    margin: RateMargin,
    gateways: Option<Vec<String>>,
    states: ColdStates<FleetKey>,
    services: IndexMap<String, ColdService>,
    /// Whether the list of the backends has been read.
    is_listed: bool,
    divided_at_ms: u64,
    /// Backends that counted as cold at the last division, for the log.
    logged: IndexMap<FleetKey, ColdCause>,
}

struct ColdService {
    phase: ColdPhase,
    plan: LanePlan,
    claims: DemandClaims,
    competitors: Competitors,
}

impl ColdBackends {
    /// Creates the state of the gateway `own_name`, which knows no backends.
    pub fn new(own_name: &str, margin: RateMargin) -> Self {
        Self {
            own_name: own_name.to_owned(),
            margin,
            gateways: None,
            states: ColdStates::default(),
            services: IndexMap::new(),
            is_listed: false,
            divided_at_ms: 0,
            logged: IndexMap::new(),
        }
    }

    /// Applies the cold phases of a configuration. Claims of services that remain are kept.
    pub fn configure(&mut self, table: &RouteTable) {
        let mut before = std::mem::take(&mut self.services);
        let pools = table.pools().iter().filter_map(|pool| Some((&pool.name, pool.cold_phase?)));
        for (name, phase) in pools {
            let known = before.swap_remove(name.as_str());
            let known = known.map(|service| (service.claims, service.competitors));
            let (claims, competitors) = known.unwrap_or_else(|| {
                let mut claims = DemandClaims::new(&self.own_name);
                claims.set_known(self.gateways.as_deref());
                (claims, Competitors::default())
            });
            let plan = plan(phase, self.margin);
            self.services.insert(name.clone(), ColdService { phase, plan, claims, competitors });
        }
    }

    /// Replaces the margin of the bound.
    pub fn set_margin(&mut self, margin: RateMargin) {
        self.margin = margin;
        self.services.values_mut().for_each(|service| service.plan = plan(service.phase, margin));
    }

    /// Replaces the names of the gateways, or `None` while they are unknown.
    pub fn set_gateways(&mut self, gateways: &Option<Vec<String>>) {
        if self.gateways != *gateways {
            self.gateways.clone_from(gateways);
            let services = self.services.values_mut();
            services.for_each(|service| service.claims.set_known(gateways.as_deref()));
        }
    }

    /// Records the listed backends with these ids, as they were just read.
    pub fn record_listed<'a>(
        &mut self,
        fleet: &Fleet,
        ids: impl Iterator<Item = &'a str>,
        now_ms: u64,
    ) {
        for id in ids {
            let Some((key, member)) = fleet.by_id(id).and_then(|key| Some((key, fleet.get(key)?)))
            else {
                continue;
            };
            let listed = ListedBackend {
                id,
                service: &member.announcement.service,
                failure_domain: &member.announcement.failure_domain,
                remaining_ms: member.announcement.cold_remaining_ms,
                is_first_listing: !self.is_listed,
            };
            self.states.record_listed(key, listed, now_ms);
        }
        self.is_listed = true;
    }

    /// Returns what is known of the coldness of the backends, to record events of them.
    pub fn states(&mut self) -> &mut ColdStates<FleetKey> {
        &mut self.states
    }

    /// Returns the service of a backend.
    pub fn service(&self, key: FleetKey) -> Option<&str> {
        self.states.service(key)
    }

    /// Records the claims of another gateway.
    pub fn record_claims(&mut self, gateway: &str, demands: &[Demand], now_ms: u64) {
        for (name, service) in &mut self.services {
            let demand = demands.iter().find(|demand| demand.service == *name);
            let per_s = demand.map_or(0.0, |demand| f64::from(demand.claim_per_s));
            let is_settled = demand.is_some_and(|demand| demand.is_settled);
            service.claims.record(gateway, per_s, is_settled, now_ms);
        }
    }

    /// Records this gateway's current request rates, and returns its claims.
    pub fn sample_claims(&mut self, own_per_s: impl Fn(&str) -> f64, now_ms: u64) -> Vec<Demand> {
        let services = self.services.iter_mut();
        let claims = services.map(|(name, service)| {
            let claim_per_s = service.claims.sample(own_per_s(name), now_ms) as f32;
            service.competitors = service.claims.competitors(service.plan, now_ms);
            let is_settled = service.claims.is_settled(now_ms);
            Demand { service: name.clone(), claim_per_s, is_settled, ..Demand::default() }
        });
        claims.filter(|claim| claim.claim_per_s > 0.0).collect()
    }

    /// Divides the rates of all cold backends if the last division is some time ago.
    pub fn divide_if_due(&mut self, rates: &mut RateLimits<FleetKey>, now_ms: u64) {
        if now_ms >= self.divided_at_ms + DIVIDE_INTERVAL_MS {
            self.divide(rates, now_ms);
        }
    }

    /// Divides the rates of all cold backends, and lifts the limits of those that are no longer cold.
    pub fn divide(&mut self, rates: &mut RateLimits<FleetKey>, now_ms: u64) {
        self.divided_at_ms = now_ms;
        let start_ms = |service: &str| Some(self.services.get(service)?.phase.start_ms);
        let mut cold = IndexMap::new();
        for (key, backend) in self.states.all_cold(start_ms, now_ms) {
            self.divide_backend(rates, key, backend, now_ms);
            cold.insert(key, backend.cause);
        }
        rates.retain_cold(|key| cold.contains_key(&key));
        self.log_changes(&cold, now_ms);
        metrics::gauge!("currantlink_cold_backends").set(cold.len() as f64);
        metrics::gauge!("currantlink_cold_lanes").set(rates.cold_lanes_owned() as f64);
        self.logged = cold;
    }

    /// Divides the rate of a backend that may have become cold.
    pub fn divide_one(&self, rates: &mut RateLimits<FleetKey>, key: FleetKey, now_ms: u64) {
        let start_ms = |service: &str| Some(self.services.get(service)?.phase.start_ms);
        if let Some(backend) = self.states.cold(key, start_ms, now_ms) {
            self.divide_backend(rates, key, backend, now_ms);
        }
    }

    /// Removes the backends for which `known` returns false.
    pub fn retain(&mut self, known: impl Fn(FleetKey) -> bool) {
        self.states.retain(known);
    }

    fn divide_backend(
        &self,
        rates: &mut RateLimits<FleetKey>,
        key: FleetKey,
        backend: ColdBackend<'_>,
        now_ms: u64,
    ) {
        if let Some(service) = self.services.get(backend.service) {
            rates.divide_cold(key, backend.id, service.plan, &service.competitors, now_ms);
        }
    }

    /// Logs one line for each cause for which backends have become cold, and one for those that are no
    /// longer cold: a failure domain may hold a third of all backends.
    fn log_changes(&self, cold: &IndexMap<FleetKey, ColdCause>, now_ms: u64) {
        let mut new = IndexMap::<ColdCause, Vec<FleetKey>>::new();
        for (&key, &cause) in cold.iter().filter(|(key, _)| !self.logged.contains_key(*key)) {
            new.entry(cause).or_default().push(key);
        }
        let start_ms = |service: &str| Some(self.services.get(service)?.phase.start_ms);
        for (cause, keys) in new {
            let first = keys.first().and_then(|&key| self.states.cold(key, start_ms, now_ms));
            let cold_ms = first.map(|first| first.until_ms.saturating_sub(now_ms));
            log::info!(cause:% = cause, backends = keys.len(), cold_ms,
                first = first.map(|first| first.id); "backends count as cold");
            metrics::counter!("currantlink_backends_cold_total", "cause" => cause.to_string())
                .increment(keys.len() as u64);
        }
        let ended = self.logged.keys().filter(|key| !cold.contains_key(*key)).count();
        if ended > 0 {
            log::info!(backends = ended, still_cold = cold.len();
                "backends no longer count as cold");
        }
    }
}

fn plan(phase: ColdPhase, margin: RateMargin) -> LanePlan {
    LanePlan::from(BoundedRate { per_s: phase.per_s, margin })
}
