//! The leader of a group: tracks expert demand, plans expert maps, and issues the orders that
//! switch all ranks to a new map.

use std::net::SocketAddr;
use std::sync::Arc;

use currantlink_core::demand::Demand;
use currantlink_core::routes::{EngineProfile, ExpertProfile};
use currantlink_core::switch::{Action, ExpertMap, ObservedState, Order, Phase, RankState, Switch};
use currantlink_core::{pace, rebalance};

use crate::known_maps::VersionedMap;

/// Time without a report from a rank's agent after which the leader contacts the rank's backend
/// directly for state and orders.
const AGENT_TIMEOUT_MS: u64 = 350;
/// Minimum interval between direct reads of a rank. The platform charges for reads from another
/// instance.
const REMOTE_READ_INTERVAL_MS: u64 = 250;

/// Weight of a new reading in the average number of running requests.
const RUNNING_SMOOTHING: f64 = 0.1;

/// Performance of a group's engines and the longest pause between events that streams accept.
#[derive(Clone, Debug)]
pub struct PaceTarget {
    /// Performance of the engines.
    pub engine: EngineProfile,
    /// Shortest pause target of the streams that the engines serve, if they serve any.
    pub pause_target_ms: Option<u64>,
}

impl PaceTarget {
    fn replan_skew(&self, profile: &ExpertProfile, running: f64) -> f64 {
        self.pause_target_ms.map_or(1.0, |target_ms| {
            pace::replan_skew(&self.engine, profile.expert_share, running, target_ms as f64)
        })
    }
}

/// Addresses and experts of one rank.
#[derive(Clone, Debug, Default)]
struct KnownRank {
    agent: Option<SocketAddr>,
    backend: Option<SocketAddr>,
    report_ms: u64,
    read_ms: u64,
    experts: Vec<Vec<u32>>,
    experts_version: Option<u64>,
    has_map_in_use: bool,
    /// Slowdown factor; 0 if unknown.
    pace: f64,
}

impl KnownRank {
    /// Returns whether the rank's agent has sent a report recently.
    fn is_reporting(&self, now_ms: u64) -> bool {
        now_ms <= self.report_ms + AGENT_TIMEOUT_MS
    }
}

/// Which map changes a leader makes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangePolicy {
    /// Starts changes.
    Start,
    /// Completes a change in progress and starts none: a rank's failure domain is evacuated.
    Complete,
    /// Abandons a change that does not hold the group yet, and starts none: the process stops.
    Abandon,
}

/// Destination of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderTarget {
    /// The agent of the rank.
    Agent {
        /// Address of the agent.
        address: SocketAddr,
        /// Whether the agent knows the complete map in use.
        has_map_in_use: bool,
    },
    /// The backend of the rank, if the rank's agent sends no reports.
    Backend(SocketAddr),
}

/// Report of an agent about its rank.
#[derive(Clone, Debug)]
pub struct Report {
    /// State of the rank.
    pub state: RankState,
    /// Choices of each expert since the previous report with choices; empty if not read.
    pub choices: Vec<u64>,
    /// Experts of the rank in the map in use, by set; empty if unknown.
    pub experts: Vec<Vec<u32>>,
    /// Address of the rank's backend.
    pub backend: SocketAddr,
    /// Whether the agent knows the complete map in use.
    pub has_map_in_use: bool,
    /// Slowdown factor of the rank: 1 is its normal speed, larger is slower. 0 if unknown.
    pub pace: f64,
}

/// Leader of one group.
pub struct GroupLeader {
    switch: Switch,
    profile: ExpertProfile,
    pace: PaceTarget,
    /// Moving average of the running requests at this agent's backend.
    running: f64,
    states: Vec<Option<ObservedState>>,
    ranks: Vec<KnownRank>,
    demand: Demand,
    /// Version and map in use, once the experts of all ranks are known.
    map_in_use: Option<VersionedMap>,
    /// Version and map whose experts are known for any rank that uses the version: the last plan, or
    /// the map that this agent knew when it was elected.
    planned_map: Option<VersionedMap>,
    started_ms: u64,
    discovery_ms: u64,
}

impl GroupLeader {
    /// Creates the leader of a group of `size` ranks; its own backend is rank `own_rank`.
    pub fn new(
        now_ms: u64,
        fence: u64,
        size: usize,
        own_rank: usize,
        profile: ExpertProfile,
        pace: PaceTarget,
    ) -> Self {
        Self {
            switch: Switch::new(fence, size, own_rank),
            profile,
            pace,
            running: 0.0,
            states: vec![None; size],
            ranks: vec![KnownRank::default(); size],
            demand: Demand::new(profile.sets, profile.experts),
            map_in_use: None,
            planned_map: None,
            started_ms: now_ms,
            discovery_ms: 0,
        }
    }

    /// Returns the fencing token.
    pub fn fence(&self) -> u64 {
        self.switch.fence()
    }

    /// Records the number of running requests at this agent's backend, which stands for all ranks.
    pub fn record_running(&mut self, running: u32) {
        self.running += RUNNING_SMOOTHING * (f64::from(running) - self.running);
    }

    /// Returns whether the leader has no versions left for further map changes.
    pub fn is_exhausted(&self) -> bool {
        self.switch.is_exhausted()
    }

    /// Returns whether a map change is in progress.
    pub fn is_changing(&self) -> bool {
        *self.switch.phase() != Phase::Idle
    }

    /// Returns whether the group may be held until this leader sends more orders.
    pub fn is_awaited(&self) -> bool {
        match self.switch.phase() {
            Phase::Idle => false,
            Phase::Go { .. } | Phase::Release { .. } => {
                self.states.iter().flatten().any(|observed| observed.state.held_step.is_some())
            }
            _ => true,
        }
    }

    /// Sets the map in use that this agent knows. Ranks that use its version need not report their
    /// experts.
    pub fn set_known_map(&mut self, map: VersionedMap) {
        self.switch.set_map_in_use(Arc::clone(&map.1));
        self.planned_map = Some(map);
    }

    /// Returns the map in use, if the experts of all ranks are known.
    pub fn map_in_use(&self) -> Option<&VersionedMap> {
        self.map_in_use.as_ref()
    }

    /// Returns the agents that send reports, ordered by rank.
    pub fn reporting_agents(&self, now_ms: u64) -> Vec<SocketAddr> {
        let reporting = self.ranks.iter().filter(|rank| rank.is_reporting(now_ms));
        reporting.filter_map(|rank| rank.agent).collect()
    }

    /// Returns the approximate size of a report with choices in bytes.
    pub fn counts_bytes(&self) -> usize {
        self.profile.sets * self.profile.experts
    }

    /// Records the report of a rank's agent.
    pub fn record_report(&mut self, now_ms: u64, agent: SocketAddr, report: Report) {
        let index = report.state.rank as usize;
        let Some(rank) = self.ranks.get_mut(index) else {
            return;
        };
        rank.agent = Some(agent);
        rank.backend = Some(report.backend);
        rank.report_ms = now_ms;
        rank.has_map_in_use = report.has_map_in_use;
        rank.pace = report.pace;
        if !report.experts.is_empty() && are_known(&report.experts, &self.profile) {
            rank.experts = report.experts;
            rank.experts_version = Some(report.state.map_version);
        }
        self.demand.add(now_ms, &report.choices);
        self.states[index] = Some(ObservedState { state: report.state, at_ms: now_ms });
        self.apply_planned_map(index);
    }

    /// Records the state of a rank that was read directly.
    pub fn record_state(&mut self, now_ms: u64, backend: SocketAddr, state: RankState) {
        let index = state.rank as usize;
        if let Some(slot) = self.states.get_mut(index) {
            *slot = Some(ObservedState { state, at_ms: now_ms });
            self.ranks[index].backend = Some(backend);
            self.apply_planned_map(index);
        }
    }

    /// Returns whether a rank's experts in the map that the rank uses are unknown.
    pub fn lacks_experts(&self, state: &RankState) -> bool {
        let known = self.ranks.get(state.rank as usize).and_then(|rank| rank.experts_version);
        known != Some(state.map_version)
    }

    /// Records the experts of a rank that were read directly.
    pub fn record_experts(&mut self, rank: u32, map_version: u64, experts: Vec<Vec<u32>>) {
        if let Some(rank) = self.ranks.get_mut(rank as usize)
            && are_known(&experts, &self.profile)
        {
            rank.experts = experts;
            rank.experts_version = Some(map_version);
        }
    }

    /// Returns whether a search for ranks with an unknown backend is due, and records the search.
    pub fn take_discovery_due(&mut self, now_ms: u64) -> bool {
        let is_interval_over = now_ms > self.started_ms + AGENT_TIMEOUT_MS
            && now_ms > self.discovery_ms + REMOTE_READ_INTERVAL_MS;
        let is_due = is_interval_over && self.ranks.iter().any(|rank| rank.backend.is_none());
        if is_due {
            self.discovery_ms = now_ms;
        }
        is_due
    }

    /// Returns whether a backend is a rank of the group.
    pub fn has_backend(&self, backend: SocketAddr) -> bool {
        self.ranks.iter().any(|rank| rank.backend == Some(backend))
    }

    /// Returns the backends that are due for a direct read because their agents send no reports, and
    /// records the reads.
    pub fn take_due_reads(&mut self, now_ms: u64) -> Vec<SocketAddr> {
        let due = |rank: &&mut KnownRank| {
            !rank.is_reporting(now_ms) && now_ms > rank.read_ms + REMOTE_READ_INTERVAL_MS
        };
        let due = self.ranks.iter_mut().filter(due);
        let due_backends = due.filter_map(|rank| {
            rank.read_ms = now_ms;
            rank.backend
        });
        due_backends.collect()
    }

    /// Advances the map change, or starts one, as the policy says; returns the orders to send.
    pub fn advance(&mut self, now_ms: u64, policy: ChangePolicy) -> Vec<(OrderTarget, Order)> {
        self.update_map_in_use();
        if policy == ChangePolicy::Abandon {
            self.switch.abandon_preparation(now_ms);
        }
        let mut orders = self.switch.advance(now_ms, &self.states);
        if let Some(outcome) = self.switch.take_outcome() {
            log::info!(fence = self.fence(), outcome:% = outcome; "map change ended");
            metrics::counter!("currantlink_map_changes_total", "outcome" => outcome.to_string())
                .increment(1);
        }
        if policy == ChangePolicy::Start && self.switch.is_ready(now_ms, &self.states) {
            self.start_change(now_ms);
            orders.extend(self.switch.advance(now_ms, &self.states));
        }
        orders
            .into_iter()
            .filter_map(|(rank, order)| {
                Some((self.order_target(now_ms, rank, &order.action)?, order))
            })
            .collect()
    }

    fn start_change(&mut self, now_ms: u64) {
        let (Some(version), Some(rates)) = (self.version_in_use(), self.demand.forecast()) else {
            return;
        };
        let Some((_, map)) = self.map_in_use.as_ref().filter(|(known, _)| *known == version) else {
            return;
        };
        let replan_skew = self.pace.replan_skew(&self.profile, self.running);
        let paces = pace::relative_paces(self.ranks.iter().map(|rank| rank.pace));
        let Some(plan) = rebalance::plan(map, &rates, &paces, &self.profile, replan_skew) else {
            return;
        };
        let (before, after, copies) = (plan.skew_before, plan.skew_after, plan.copies);
        let slowest = paces.iter().copied().fold(1.0, f64::max);
        let map = Arc::new(plan.map);
        let version = self.switch.start(now_ms, Arc::clone(&map));
        self.planned_map = Some((version, map));
        log::info!(version, copies, skew_before:% = format!("{before:.2}"),
            skew_after:% = format!("{after:.2}"), slowest_pace:% = format!("{slowest:.2}"),
            fence = self.fence(); "map change started");
    }

    /// Sets a rank's experts from the planned map as soon as the rank uses that map, before the
    /// rank reports its experts.
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

    /// Assembles the map in use from the ranks' experts if its version has changed.
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

    /// Returns the version in use if all ranks use the same one and their experts are known.
    fn version_in_use(&self) -> Option<u64> {
        let version = self.states.first()?.as_ref()?.state.map_version;
        let is_complete = self.ranks.iter().zip(&self.states).all(|(rank, state)| {
            let uses = state.as_ref().map(|o| o.state.map_version);
            uses == Some(version) && rank.experts_version == Some(version)
        });
        is_complete.then_some(version)
    }

    fn order_target(&self, now_ms: u64, rank: usize, action: &Action) -> Option<OrderTarget> {
        let rank = &self.ranks[rank];
        match (rank.agent, rank.backend) {
            // If the agent of the held rank sent these, both the leader and that agent would be
            // needed to release the group.
            (_, Some(backend)) if matches!(action, Action::Hold { .. } | Action::Go { .. }) => {
                Some(OrderTarget::Backend(backend))
            }
            (Some(address), _) if rank.is_reporting(now_ms) => {
                Some(OrderTarget::Agent { address, has_map_in_use: rank.has_map_in_use })
            }
            (_, Some(backend)) => Some(OrderTarget::Backend(backend)),
            _ => None,
        }
    }
}

/// Returns whether a list of experts, by set, names only those of the configuration.
fn are_known(experts: &[Vec<u32>], profile: &ExpertProfile) -> bool {
    let are_known = experts.iter().flatten().all(|&expert| (expert as usize) < profile.experts);
    if !are_known {
        log::warn!(experts = profile.experts; "rank reports experts that the configuration does not have");
    }
    are_known
}

/// A leader whose heartbeat was received.
#[derive(Clone, Copy, Debug)]
pub struct KnownLeader {
    /// Fencing token.
    pub fence: u64,
    /// Address for datagrams.
    pub address: SocketAddr,
    /// Time of the last heartbeat in milliseconds.
    pub heartbeat_ms: u64,
}
