//! Decides on expert maps of a group and leads their changes.
//!
//! Every side of a group runs this; the first one whose predecessors cannot be reached decides.
//! Two that decide at once do no harm: ballots let one of them through.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use currantlink_core::config::{Config, Group};
use currantlink_core::coordinator::{Answer, Coordinator, EngineReport, Goal, Phase};
use currantlink_core::experts::{Change, Costs, Decision, Policy, Weights};
use currantlink_core::group::{Ballot, Order, Step};
use currantlink_core::ids::Incarnation;
use currantlink_core::map::LayerMap;
use currantlink_wire::link::{GroupAnswer, GroupOrder, LayerBody, LoadPull, MapBody};
use currantlink_wire::link::{to_entry, to_side};
use futures::future::join_all;
use tokio::runtime::Handle;

use crate::clock;
use crate::engine::Engine;
use crate::gatekeeper::SideView;
use crate::groups::{step_of, wire_step};
use crate::settings::Side;
use crate::uplink::{LinkSetup, StreamEvent, Uplink};

const SWITCH_STEPS: f64 = 1.0;
const TRANSFERS_PER_STEP: f64 = 4.0;
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
const STAGE_TIMEOUT: Duration = Duration::from_secs(60);
const PULL_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_TRIES: u64 = 20;
const RETRY_PAUSE_MS: u64 = 50;

/// One side of the group.
struct Peer {
    backend: String,
    uplink: Arc<Uplink>,
}

/// A map with the number of its version.
struct Target {
    version: u64,
    maps: Vec<LayerMap>,
}

/// Leads the group of one side.
pub struct Leader {
    settings: Side,
    setup: LinkSetup,
    engine: Engine,
    view: Arc<ArcSwap<SideView>>,
    peers: Vec<Peer>,
    config: Arc<Config>,
    policy: Option<Policy>,
    last_tokens: Vec<Vec<f64>>,
    held_since_ms: Option<u64>,
    round: u64,
}

impl Leader {
    /// Creates the leader; `setup` names this process.
    pub fn new(
        settings: Side,
        setup: LinkSetup,
        engine: Engine,
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

    /// Samples loads, decides and recovers until the process ends.
    pub async fn run(mut self) {
        let mut samples = tokio::time::interval(self.settings.sample());
        samples.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            samples.tick().await;
            let Some(group) = self.group() else {
                continue;
            };
            self.recover_if_stuck(&group).await;
            if self.is_acting() {
                self.sample(&group).await;
            } else {
                self.policy = None;
            }
        }
    }

    /// Returns this side's group, with links to all of its sides.
    fn group(&mut self) -> Option<Group> {
        let config = Arc::clone(&self.view.load().config);
        let (_, own) = config.backend_by_name(self.settings.backend())?;
        let group = config.group(own.group.as_deref()?)?.clone();
        if !Arc::ptr_eq(&config, &self.config) {
            self.link_peers(&config, &group);
            self.config = config;
        }
        Some(group)
    }

    fn link_peers(&mut self, config: &Config, group: &Group) {
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

    /// Whether no side before this one can be reached.
    fn is_acting(&self) -> bool {
        let before = self.peers.iter().take_while(|p| p.backend != self.settings.backend());
        !before.into_iter().any(|p| p.uplink.state().connected)
    }

    fn position(&self) -> u64 {
        let before = self.peers.iter().take_while(|p| p.backend != self.settings.backend());
        before.count() as u64
    }

    async fn recover_if_stuck(&mut self, group: &Group) {
        let Ok(state) = self.engine.map_state().await else {
            return;
        };
        let now_ms = clock::now_ms();
        if !state.report.held {
            self.held_since_ms = None;
            return;
        }
        let since = *self.held_since_ms.get_or_insert(now_ms);
        let patience_ms = self.settings.hold_timeout_ms() * (1 + self.position());
        if now_ms < since + patience_ms {
            return;
        }
        log::warn!(target: "group", group = group.name.as_str(); "group stuck: recovering");
        self.held_since_ms = None;
        self.lead(group, Goal::Recover, None).await;
    }

    async fn sample(&mut self, group: &Group) {
        let Some(tokens) = self.pull_loads().await else {
            return;
        };
        if self.policy.is_none() {
            self.policy = self.start_policy(group).await;
            self.last_tokens = tokens;
            return;
        }
        let Some(policy) = &mut self.policy else {
            return;
        };
        for (layer, now) in tokens.iter().enumerate() {
            let before = self.last_tokens.get(layer).filter(|b| b.len() == now.len());
            let zero = vec![0.0; now.len()];
            let before = before.unwrap_or(&zero);
            let fresh: Vec<f64> = now.iter().zip(before).map(|(n, b)| (n - b).max(0.0)).collect();
            policy.observe(layer, &fresh);
        }
        self.last_tokens = tokens;
        policy.end_step();
        match policy.decide() {
            Decision::Keep(why) => {
                log::debug!(target: "placement", group = group.name.as_str(), why:% = why; "stay");
            }
            Decision::Change(change) => self.bring_into_force(group, change).await,
        }
    }

    async fn start_policy(&self, group: &Group) -> Option<Policy> {
        let maps = self.engine.map_state().await.ok()?.maps().ok()?;
        let weights = Weights { skew: group.skew_weight, moves: group.move_weight };
        let costs = Costs { switch_steps: SWITCH_STEPS, transfers_per_step: TRANSFERS_PER_STEP };
        Some(Policy::new(weights, costs, maps))
    }

    /// Sums the tokens per expert over all sides; nothing where one does not answer.
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

    async fn bring_into_force(&mut self, group: &Group, change: Change) {
        log::info!(
            target: "placement", group = group.name.as_str(), transfers = change.transfers(),
            gain = change.gain, life_steps = change.lifetime_steps, cost = change.cost;
            "expert maps change"
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
            return self.give_up(None);
        };
        let version = state.report.map_version.max(state.report.staged_version) + 1;
        let goal = Goal::Switch { map_version: version };
        let done = self.lead(group, goal, Some(&Target { version, maps })).await;
        self.give_up(done.then_some(&change));
    }

    /// Tells the policy whether a change is in force.
    fn give_up(&mut self, done: Option<&Change>) {
        match (&mut self.policy, done) {
            (Some(policy), Some(change)) => policy.change_applied(change),
            (Some(policy), None) => policy.change_abandoned(),
            (None, _) => {}
        }
    }

    /// Tries until the group is uniform and released; true where it ends on the target.
    ///
    /// Each try stages the target on all sides anew, so it may follow one that was lost anywhere.
    async fn lead(&mut self, group: &Group, goal: Goal, target: Option<&Target>) -> bool {
        for attempt in 0..MAX_TRIES {
            self.round += 1;
            let ballot = Ballot { round: self.round, owner: self.setup.identity.process_id };
            let ended = self.attempt(group, ballot, goal, target).await;
            log::info!(
                target: "group", group = group.name.as_str(), ballot:% = ballot, phase:% = ended.0,
                version = ended.1; "map change ended"
            );
            match ended {
                (Phase::Done, version) => return target.is_some_and(|t| t.version == version),
                (Phase::Abandoned(seen), _) => self.round = self.round.max(seen),
                (Phase::Running(_), _) => {}
            }
            let pause_ms = rand::random_range(RETRY_PAUSE_MS..=RETRY_PAUSE_MS * (2 + attempt));
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
        false
    }

    async fn attempt(
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
            let asked = pending.into_iter().map(|(member, order)| {
                let transfers = self.transfers(member, target);
                let uplink = Arc::clone(&self.peers[member].uplink);
                let message = order_message(group, &order, target, transfers);
                async move { (member, ask(&uplink, order, message, timeout).await) }
            });
            for (member, answer) in join_all(asked).await {
                match answer {
                    Some(answer) => {
                        coordinator.handle_answer(core_answer(member, &answer));
                    }
                    None => coordinator.abandon(),
                }
            }
        }
        (coordinator.phase(), coordinator.target_version())
    }

    /// Weight transfers that one side's ranks need for the target; an even share of all.
    fn transfers(&self, member: usize, target: Option<&Target>) -> u32 {
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

async fn ask(
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
        StreamEvent::Message(to_entry::Body::GroupAnswer(answer)) => Some(answer),
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

fn core_answer(member: usize, answer: &GroupAnswer) -> Answer {
    Answer {
        member,
        ballot: Ballot { round: answer.ballot_round, owner: answer.ballot_owner },
        step: step_of(answer.step()),
        accepted: answer.accepted,
        promised: Ballot { round: answer.promised_round, owner: answer.promised_owner },
        report: EngineReport {
            map_version: answer.map_version,
            staged_version: answer.staged_version,
            held: answer.held,
        },
    }
}
