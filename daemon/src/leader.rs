//! Selects the expert maps of a group and coordinates their changes.
//!
//! Every side of a group runs a leader. The acting leader is the first side, in order of backend
//! names, that has no open link to a side before it. Several sides may act at the same time:
//! ballots ensure that only one of them can complete a change.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use currantlink_core::config::{Config, Group};
use currantlink_core::coordinator::{Coordinator, EngineReport, Goal, OrderResponse, Phase};
use currantlink_core::experts::{Change, Costs, Decision, Policy, Weights};
use currantlink_core::group::{Ballot, Order, Step};
use currantlink_core::ids::Incarnation;
use currantlink_core::map::LayerMap;
use currantlink_wire::link::{GroupAnswer, GroupOrder, LayerBody, LoadPull, MapBody};
use currantlink_wire::link::{to_entry, to_side};
use futures::future::join_all;
use tokio::runtime::Handle;

use crate::clock;
use crate::engine::EngineClient;
use crate::groups::{core_step, wire_step};
use crate::settings::Side;
use crate::side_control::SideView;
use crate::uplink::{LinkSetup, StreamEvent, Uplink};

/// Engine steps lost by one switch.
const SWITCH_STEPS: f64 = 1.0;
/// Weight transfers completed in the time of one engine step.
const TRANSFERS_PER_STEP: f64 = 4.0;
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of an order to stage a map, which includes the weight transfers.
const STAGE_TIMEOUT: Duration = Duration::from_secs(60);
/// Timeout of a side's response with its expert loads.
const PULL_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_BALLOTS: u64 = 20;
/// Minimum delay before the next ballot. The delay is random so that competing coordinators
/// diverge.
const RETRY_DELAY_MS: u64 = 50;

/// A side of the group and the link to it. A side also holds a link to itself.
struct Peer {
    backend: String,
    uplink: Arc<Uplink>,
}

/// New maps of all layers, with their common version.
struct Target {
    version: u64,
    maps: Vec<LayerMap>,
}

/// Selects and coordinates map changes for the group of one side.
pub struct Leader {
    settings: Side,
    setup: LinkSetup,
    engine: EngineClient,
    view: Arc<ArcSwap<SideView>>,
    peers: Vec<Peer>,
    config: Arc<Config>,
    policy: Option<Policy>,
    last_tokens: Vec<Vec<f64>>,
    held_since_ms: Option<u64>,
    round: u64,
}

impl Leader {
    /// Creates a leader. `setup` identifies this process on its links to the other sides.
    pub fn new(
        settings: Side,
        setup: LinkSetup,
        engine: EngineClient,
        view: Arc<ArcSwap<SideView>>,
    ) -> Self {
        Self {
            settings,
            setup,
            engine,
            view,
            peers: Vec::new(),
            config: Arc::default(),
            policy: None,
            last_tokens: Vec::new(),
            held_since_ms: None,
            round: 0,
        }
    }

    /// Samples loads, changes maps and recovers held groups until the process ends.
    pub async fn run(mut self) {
        let mut ticks = tokio::time::interval(self.settings.sample_interval());
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let Some(group) = self.group() else {
                continue;
            };
            self.recover_if_held(&group).await;
            if self.is_acting_leader() {
                self.sample_loads(&group).await;
            } else {
                self.policy = None;
            }
        }
    }

    /// Returns the group of this side. Updates the links to its sides if the
    /// configuration has changed.
    fn group(&mut self) -> Option<Group> {
        let config = Arc::clone(&self.view.load().config);
        let (_, own) = config.backend_by_name(self.settings.backend())?;
        let group = config.group(own.group.as_deref()?)?.clone();
        if !Arc::ptr_eq(&config, &self.config) {
            self.connect_peers(&config, &group);
            self.config = config;
        }
        Some(group)
    }

    fn connect_peers(&mut self, config: &Config, group: &Group) {
        let mut members: Vec<_> =
            group.backends.iter().filter_map(|&k| config.backend(k)).collect();
        members.sort_by(|a, b| a.name.cmp(&b.name));
        let mut old = std::mem::take(&mut self.peers);
        for member in members {
            let known = old
                .iter()
                .position(|p| p.backend == member.name && p.uplink.address == member.side_address);
            let peer = match known {
                Some(index) => old.swap_remove(index),
                None => Peer {
                    backend: member.name.clone(),
                    uplink: Uplink::open(
                        &Handle::current(),
                        member.side_address,
                        self.setup.clone(),
                    ),
                },
            };
            self.peers.push(peer);
        }
        old.iter().for_each(|peer| peer.uplink.close());
        self.policy = None;
    }

    /// Returns whether no side before this one is connected.
    fn is_acting_leader(&self) -> bool {
        let predecessors = self.peers.iter().take_while(|p| p.backend != self.settings.backend());
        !predecessors.into_iter().any(|p| p.uplink.state().connected)
    }

    fn peer_index(&self) -> u64 {
        let predecessors = self.peers.iter().take_while(|p| p.backend != self.settings.backend());
        predecessors.count() as u64
    }

    async fn recover_if_held(&mut self, group: &Group) {
        let Ok(state) = self.engine.map_state().await else {
            return;
        };
        let now_ms = clock::now_ms();
        if !state.report.held {
            self.held_since_ms = None;
            return;
        }
        let held_since_ms = *self.held_since_ms.get_or_insert(now_ms);
        let timeout_ms = self.settings.hold_timeout_ms() * (1 + self.peer_index());
        if now_ms < held_since_ms + timeout_ms {
            return;
        }
        log::warn!(target: "group", group = group.name.as_str(); "group stuck: recovering");
        self.held_since_ms = None;
        self.coordinate(group, Goal::Recover, None).await;
    }

    async fn sample_loads(&mut self, group: &Group) {
        let Some(tokens) = self.pull_loads().await else {
            return;
        };
        if self.policy.is_none() {
            self.policy = self.new_policy(group).await;
            self.last_tokens = tokens;
            return;
        }
        let Some(policy) = &mut self.policy else {
            return;
        };
        for (layer, current) in tokens.iter().enumerate() {
            let previous = self.last_tokens.get(layer).filter(|p| p.len() == current.len());
            let zero = vec![0.0; current.len()];
            let previous = previous.unwrap_or(&zero);
            let new_tokens: Vec<f64> =
                current.iter().zip(previous).map(|(c, p)| (c - p).max(0.0)).collect();
            policy.observe(layer, &new_tokens);
        }
        self.last_tokens = tokens;
        policy.end_step();
        match policy.decide() {
            Decision::Keep(why) => {
                log::debug!(
                    target: "placement", group = group.name.as_str(), why:% = why;
                    "expert maps kept"
                );
            }
            Decision::Change(change) => self.apply_change(group, change).await,
        }
    }

    async fn new_policy(&self, group: &Group) -> Option<Policy> {
        let maps = self.engine.map_state().await.ok()?.maps().ok()?;
        let weights = Weights { skew: group.skew_weight, moves: group.move_weight };
        let costs = Costs { switch_steps: SWITCH_STEPS, transfers_per_step: TRANSFERS_PER_STEP };
        Some(Policy::new(weights, costs, maps))
    }

    /// Sums the tokens per layer and expert over all sides. Returns `None` if a side does not
    /// respond or no side reports tokens.
    async fn pull_loads(&self) -> Option<Vec<Vec<f64>>> {
        let pulls = join_all(self.peers.iter().map(|peer| pull_load(&peer.uplink))).await;
        let mut sums: Vec<Vec<f64>> = Vec::new();
        for layers in pulls {
            for (index, tokens) in layers?.into_iter().enumerate() {
                if sums.len() <= index {
                    sums.push(vec![0.0; tokens.len()]);
                }
                sums[index].iter_mut().zip(tokens).for_each(|(sum, t)| *sum += t as f64);
            }
        }
        Some(sums).filter(|s| !s.is_empty())
    }

    async fn apply_change(&mut self, group: &Group, change: Change) {
        log::info!(
            target: "placement", group = group.name.as_str(), transfers = change.transfers(),
            gain = change.gain, life_steps = change.lifetime_steps, cost = change.cost;
            "changing expert maps"
        );
        let Some(policy) = &self.policy else {
            return;
        };
        let mut maps = Vec::new();
        for layer in 0.. {
            let Some(map) = policy.map(layer) else { break };
            let changed = change.layers.iter().find(|l| l.layer == layer);
            maps.push(changed.map_or_else(|| map.clone(), |l| l.plan.map.clone()));
        }
        let Ok(state) = self.engine.map_state().await else {
            return self.report_to_policy(None);
        };
        let version = state.report.map_version.max(state.report.staged_version) + 1;
        let goal = Goal::Switch { map_version: version };
        let is_applied = self.coordinate(group, goal, Some(&Target { version, maps })).await;
        self.report_to_policy(is_applied.then_some(&change));
    }

    /// Reports the applied change to the policy, or that the change was abandoned if `None`.
    fn report_to_policy(&mut self, applied: Option<&Change>) {
        match (&mut self.policy, applied) {
            (Some(policy), Some(change)) => policy.change_applied(change),
            (Some(policy), None) => policy.change_abandoned(),
            (None, _) => {}
        }
    }

    /// Runs ballots until all sides are released on one map, at most `MAX_BALLOTS` times. Returns
    /// whether that map is the target.
    ///
    /// Each ballot stages the target on all sides again, so it is valid after a ballot that failed
    /// at any step.
    async fn coordinate(&mut self, group: &Group, goal: Goal, target: Option<&Target>) -> bool {
        for attempt in 0..MAX_BALLOTS {
            self.round += 1;
            let ballot = Ballot { round: self.round, owner: self.setup.identity.process_id };
            let result = self.run_ballot(group, ballot, goal, target).await;
            log::info!(
                target: "group", group = group.name.as_str(), ballot:% = ballot, phase:% = result.0,
                version = result.1; "map change ended"
            );
            match result {
                (Phase::Done, version) => return target.is_some_and(|t| t.version == version),
                (Phase::Abandoned(seen), _) => self.round = self.round.max(seen),
                (Phase::Running(_), _) => {}
            }
            let delay_ms = rand::random_range(RETRY_DELAY_MS..=RETRY_DELAY_MS * (2 + attempt));
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        false
    }

    async fn run_ballot(
        &self,
        group: &Group,
        ballot: Ballot,
        goal: Goal,
        target: Option<&Target>,
    ) -> (Phase, u64) {
        let incarnations =
            self.peers.iter().map(|p| Incarnation(p.uplink.state().status.incarnation));
        let mut coordinator = Coordinator::new(ballot, goal, incarnations.collect());
        while let Phase::Running(step) = coordinator.phase() {
            let timeout = if step == Step::Stage { STAGE_TIMEOUT } else { ORDER_TIMEOUT };
            let pending = coordinator.pending_orders();
            let requests = pending.into_iter().map(|(member, order)| {
                let transfers = self.transfer_share(member, target);
                let uplink = Arc::clone(&self.peers[member].uplink);
                let message = order_message(group, &order, target, transfers);
                async move { (member, send_order(&uplink, order, message, timeout).await) }
            });
            for (member, response) in join_all(requests).await {
                match response {
                    Some(response) => {
                        coordinator.handle_response(core_response(member, &response));
                    }
                    None => coordinator.abandon(),
                }
            }
        }
        (coordinator.phase(), coordinator.target_version())
    }

    /// Returns the number of weight transfers of one side for the target: an even share of all
    /// transfers.
    fn transfer_share(&self, member: usize, target: Option<&Target>) -> u32 {
        let (Some(target), Some(policy)) = (target, &self.policy) else {
            return 0;
        };
        let layers = target.maps.iter().enumerate();
        let all: usize = layers
            .filter_map(|(layer, map)| policy.map(layer).map(|old| old.transfers_to(map)))
            .sum();
        let sides = self.peers.len().max(1);
        let share = all / sides + usize::from(member < all % sides);
        share as u32
    }
}

async fn pull_load(uplink: &Arc<Uplink>) -> Option<Vec<Vec<u64>>> {
    let mut stream = uplink.open_stream();
    let body = to_side::Body::LoadPull(LoadPull { stream: stream.id });
    if !uplink.send(uplink.state().status.incarnation, body).await {
        return None;
    }
    match tokio::time::timeout(PULL_TIMEOUT, stream.next()).await.ok()? {
        StreamEvent::Message(to_entry::Body::ExpertLoad(load)) => {
            Some(load.layers.into_iter().map(|l| l.tokens).collect())
        }
        _ => None,
    }
}

async fn send_order(
    uplink: &Arc<Uplink>,
    order: Order,
    mut message: GroupOrder,
    timeout: Duration,
) -> Option<GroupAnswer> {
    let mut stream = uplink.open_stream();
    message.stream = stream.id;
    if !uplink.send(order.incarnation.0, to_side::Body::GroupOrder(message)).await {
        return None;
    }
    match tokio::time::timeout(timeout, stream.next()).await.ok()? {
        StreamEvent::Message(to_entry::Body::GroupAnswer(response)) => Some(response),
        _ => None,
    }
}

fn order_message(
    group: &Group,
    order: &Order,
    target: Option<&Target>,
    transfers: u32,
) -> GroupOrder {
    let staged = target.filter(|t| order.step == Step::Stage && t.version == order.map_version);
    GroupOrder {
        group: group.name.clone(),
        ballot_round: order.ballot.round,
        ballot_owner: order.ballot.owner,
        step: wire_step(order.step).into(),
        map_version: order.map_version,
        map: staged.map(|t| map_body(&t.maps)),
        stream: 0,
        transfers: if staged.is_some() { transfers } else { 0 },
    }
}

fn map_body(maps: &[LayerMap]) -> MapBody {
    let layers = maps.iter().map(|map| LayerBody {
        slots_per_rank: map.slots_per_rank() as u32,
        experts: map.slots().to_vec(),
    });
    MapBody { layers: layers.collect() }
}

fn core_response(member: usize, response: &GroupAnswer) -> OrderResponse {
    OrderResponse {
        member,
        ballot: Ballot { round: response.ballot_round, owner: response.ballot_owner },
        step: core_step(response.step()),
        accepted: response.accepted,
        promised: Ballot { round: response.promised_round, owner: response.promised_owner },
        report: EngineReport {
            map_version: response.map_version,
            staged_version: response.staged_version,
            held: response.held,
        },
    }
}
