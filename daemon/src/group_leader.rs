//! The leader of a group: watches demand, plans maps, and leads the ranks from one to the next.

use std::net::SocketAddr;
use std::sync::Arc;

use currantlink_core::demand::Demand;
use currantlink_core::rebalance;
use currantlink_core::routes::ExpertProfile;
use currantlink_core::switch::{ExpertMap, ObservedState, Order, Phase, RankState, Switch};

/// Silence of an agent after which its rank is read and ordered from here.
const AGENT_TIMEOUT_MS: u64 = 350;
/// Time between two reads of a rank whose agent is silent; they are priced.
const REMOTE_READ_INTERVAL_MS: u64 = 250;

/// What the leader knows of one rank.
#[derive(Clone, Debug, Default)]
struct KnownRank {
    agent: Option<SocketAddr>,
    backend: Option<SocketAddr>,
    heard_ms: u64,
    read_ms: u64,
    experts: Vec<Vec<u32>>,
    experts_version: Option<u64>,
}

/// Where an order goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderTarget {
    /// To the agent beside the rank.
    Agent(SocketAddr),
    /// Straight to the rank, whose agent is silent.
    Backend(SocketAddr),
}

/// What a rank's agent reports.
#[derive(Clone, Debug)]
pub struct Report {
    /// The rank's state.
    pub state: RankState,
    /// Choices of each expert since the report before that had them; empty where not read.
    pub choices: Vec<u64>,
    /// Experts by set of the map in use; empty where not known.
    pub experts: Vec<Vec<u32>>,
    /// Its backend.
    pub backend: SocketAddr,
}

/// KnownLeader of one group.
pub struct GroupLeader {
    switch: Switch,
    profile: ExpertProfile,
    states: Vec<Option<ObservedState>>,
    ranks: Vec<KnownRank>,
    demand: Demand,
    /// Version and map in use, once every rank told its part.
    map_in_use: Option<(u64, Arc<ExpertMap>)>,
    /// Version and map of the last plan.
    planned_map: Option<(u64, Arc<ExpertMap>)>,
    started_ms: u64,
    discovery_ms: u64,
}

impl GroupLeader {
    /// Leads a group of `size` ranks from rank `own_rank`.
    pub fn new(
        now_ms: u64,
        fence: u64,
        size: usize,
        own_rank: usize,
        profile: ExpertProfile,
    ) -> Self {
        Self {
            switch: Switch::new(fence, size, own_rank),
            profile,
            states: vec![None; size],
            ranks: vec![KnownRank::default(); size],
            demand: Demand::new(profile.sets, profile.experts),
            map_in_use: None,
            planned_map: None,
            started_ms: now_ms,
            discovery_ms: 0,
        }
    }

    /// Returns the fencing number.
    pub fn fence(&self) -> u64 {
        self.switch.fence()
    }

    /// Returns whether a change is under way.
    pub fn is_changing(&self) -> bool {
        *self.switch.phase() != Phase::Idle
    }

    /// Takes the report of a rank's agent.
    pub fn record_report(&mut self, now_ms: u64, agent: SocketAddr, report: Report) {
        let index = report.state.rank as usize;
        let Some(rank) = self.ranks.get_mut(index) else {
            return;
        };
        rank.agent = Some(agent);
        rank.backend = Some(report.backend);
        rank.heard_ms = now_ms;
        if !report.experts.is_empty() {
            rank.experts = report.experts;
            rank.experts_version = Some(report.state.map_version);
        }
        self.demand.add(now_ms, &report.choices);
        self.states[index] = Some(ObservedState { state: report.state, at_ms: now_ms });
        self.apply_planned_map(index);
    }

    /// Takes the state of a rank that was read from here.
    pub fn record_state(&mut self, now_ms: u64, backend: SocketAddr, state: RankState) {
        let index = state.rank as usize;
        if let Some(slot) = self.states.get_mut(index) {
            *slot = Some(ObservedState { state, at_ms: now_ms });
            self.ranks[index].backend = Some(backend);
            self.apply_planned_map(index);
        }
    }

    /// Returns whether the experts of a rank are not known for its map in use.
    pub fn lacks_experts(&self, state: &RankState) -> bool {
        let known = self.ranks.get(state.rank as usize).and_then(|rank| rank.experts_version);
        known != Some(state.map_version)
    }

    /// Takes the experts of a rank that were read from here.
    pub fn record_experts(&mut self, rank: u32, map_version: u64, experts: Vec<Vec<u32>>) {
        if let Some(rank) = self.ranks.get_mut(rank as usize) {
            rank.experts = experts;
            rank.experts_version = Some(map_version);
        }
    }

    /// Returns whether the backend of some rank is still not known, and is to be looked for now.
    pub fn take_discovery_due(&mut self, now_ms: u64) -> bool {
        let due = now_ms > self.started_ms + AGENT_TIMEOUT_MS
            && now_ms > self.discovery_ms + REMOTE_READ_INTERVAL_MS;
        let found = due && self.ranks.iter().any(|rank| rank.backend.is_none());
        if found {
            self.discovery_ms = now_ms;
        }
        found
    }

    /// Returns whether a backend is a rank of the group.
    pub fn has_backend(&self, backend: SocketAddr) -> bool {
        self.ranks.iter().any(|rank| rank.backend == Some(backend))
    }

    /// Returns the backends of ranks whose agents are silent and that are to be read now.
    pub fn take_due_reads(&mut self, now_ms: u64) -> Vec<SocketAddr> {
        let due = |rank: &&mut KnownRank| {
            now_ms > rank.heard_ms + AGENT_TIMEOUT_MS
                && now_ms > rank.read_ms + REMOTE_READ_INTERVAL_MS
        };
        let due = self.ranks.iter_mut().filter(due);
        let due_backends = due.filter_map(|rank| {
            rank.read_ms = now_ms;
            rank.backend
        });
        due_backends.collect()
    }

    /// Moves the change on, or starts one; returns the orders to give.
    pub fn advance(&mut self, now_ms: u64) -> Vec<(OrderTarget, Order)> {
        self.update_map_in_use();
        let mut orders = self.switch.advance(now_ms, &self.states);
        if let Some(ended) = self.switch.take_outcome() {
            log::info!(fence = self.fence(), outcome:% = ended; "map change ended");
            metrics::counter!("currantlink_map_changes_total", "outcome" => ended.to_string())
                .increment(1);
        }
        if self.switch.is_ready(now_ms, &self.states) {
            self.start_change(now_ms);
            orders.extend(self.switch.advance(now_ms, &self.states));
        }
        orders
            .into_iter()
            .filter_map(|(rank, order)| Some((self.order_target(now_ms, rank)?, order)))
            .collect()
    }

    fn start_change(&mut self, now_ms: u64) {
        let (Some(version), Some(rates)) = (self.version_in_use(), self.demand.forecast()) else {
            return;
        };
        let Some((_, map)) = self.map_in_use.as_ref().filter(|(known, _)| *known == version) else {
            return;
        };
        let Some(plan) = rebalance::plan(map, &rates, &self.profile) else {
            return;
        };
        let (before, after, copies) = (plan.skew_before, plan.skew_after, plan.copies);
        let map = Arc::new(plan.map);
        let version = self.switch.start(now_ms, Arc::clone(&map));
        self.planned_map = Some((version, map));
        log::info!(version, copies, skew_before:% = format!("{before:.2}"),
            skew_after:% = format!("{after:.2}"), fence = self.fence(); "map change started");
    }

    /// Takes the planned_map map as that of a rank that uses it, before the rank tells its part.
    fn apply_planned_map(&mut self, index: usize) {
        let uses = self.states[index].as_ref().map(|observed| observed.state.map_version);
        let (Some((version, map)), Some(uses)) = (&self.planned_map, uses) else {
            return;
        };
        let rank = &mut self.ranks[index];
        if uses == *version && rank.experts_version != Some(uses) {
            rank.experts = map.iter().map(|set| set[index].clone()).collect();
            rank.experts_version = Some(uses);
        }
    }

    /// Puts the map in use together where it is another one than before.
    fn update_map_in_use(&mut self) {
        let version = self.version_in_use();
        let is_known = self.map_in_use.as_ref().map(|(known, _)| *known) == version;
        let (Some(version), false) = (version, is_known) else {
            return;
        };
        let set_by_rank = |set: usize| {
            self.ranks.iter().map(|rank| rank.experts.get(set).cloned()).collect::<Option<Vec<_>>>()
        };
        let map: Option<ExpertMap> = (0..self.profile.sets).map(set_by_rank).collect();
        if let Some(map) = map.map(Arc::new) {
            self.switch.set_map_in_use(Arc::clone(&map));
            self.map_in_use = Some((version, map));
        }
    }

    /// The version in use, where every rank told its part of the same one.
    fn version_in_use(&self) -> Option<u64> {
        let version = self.states.first()?.as_ref()?.state.map_version;
        let agree = self.ranks.iter().zip(&self.states).all(|(rank, state)| {
            let uses = state.as_ref().map(|o| o.state.map_version);
            uses == Some(version) && rank.experts_version == Some(version)
        });
        agree.then_some(version)
    }

    fn order_target(&self, now_ms: u64, rank: usize) -> Option<OrderTarget> {
        let rank = &self.ranks[rank];
        match (rank.agent, rank.backend) {
            (Some(agent), _) if now_ms <= rank.heard_ms + AGENT_TIMEOUT_MS => {
                Some(OrderTarget::Agent(agent))
            }
            (_, Some(backend)) => Some(OrderTarget::Backend(backend)),
            _ => None,
        }
    }
}

/// A leader that was heard of.
#[derive(Clone, Copy, Debug)]
pub struct KnownLeader {
    /// Its fencing number.
    pub fence: u64,
    /// Its address.
    pub address: SocketAddr,
    /// When it was last heard.
    pub heard_ms: u64,
}
