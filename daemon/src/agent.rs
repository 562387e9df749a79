//! The agent role: runs alongside a model backend, reports its load, and sends orders to its rank.
//! One agent of each group is the leader, which directs the group's map changes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use currantlink_core::demand::CollectedChoices;
use currantlink_core::evacuation::Evacuations;
use currantlink_core::routes::RouteTable;
use currantlink_core::stop::Stop;
use currantlink_core::switch::{Action, Order, RankState};
use currantlink_platform::config;
use currantlink_platform::engine::{EngineState, RankExperts};
use currantlink_wire::peers::{
    Command, Lead, Load, Peer, PeerMessage, RankReport, Role, peer_message,
};
use indexmap::IndexMap;
use tokio::sync::{Notify, mpsc, watch};

use crate::backend_reader::{self, POLL_INTERVAL, Reading};
use crate::clock::now_ms;
use crate::deployment_settings::{self, AgentSettings};
use crate::error::DaemonError;
use crate::evacuations;
use crate::group_leader::{GroupLeader, KnownLeader, Report};
use crate::known_maps::KnownMaps;
use crate::order_sender;
use crate::orders;
use crate::peers::Peers;
use crate::reload::Reload;
use crate::stop::StopSignals;
use crate::watcher::{self, Update};

/// A map change counts as in progress for this time after an order was queued or the
/// backend's state showed an order in effect.
const CHANGE_ACTIVE_MS: u64 = 300;
/// Interval between load reports while the load is unchanged.
pub const LOAD_INTERVAL_MS: u64 = 240;
/// Time for which reports name the same random number. If it were shorter, several gateways would use the
/// same room one after the other before a report shows their requests.
const DIVISION_PERIOD_MS: u64 = 240;

/// Time without a new forward pass after which a backend with requests counts as stalled. A forward
/// pass takes some tens of milliseconds.
const STALL_TIMEOUT_MS: u64 = 400;
/// Steps per unit in which a slowdown factor is reported.
const PACE_STEPS: f64 = 10.0;

mod leadership;

enum Event {
    /// State of a rank whose agent sends no reports, read from the rank's backend.
    RemoteState(SocketAddr, RankState),
    /// Experts of a rank, read from the rank's backend.
    RemoteExperts { rank: u32, held: RankExperts },
    /// A leadership claim was appended to the store; its position determines the fencing token.
    Claimed { fence: u64, group: String },
}

/// Runs an agent until a stop signal arrives, then completes the orders and the map change that its
/// group waits for. A second stop signal or the end of the grace period stops the agent immediately.
///
/// # Errors
///
/// Fails if the runtime cannot be started, the settings file cannot be read, or the address for
/// datagrams is in use.
pub fn run(settings: AgentSettings, path: PathBuf) -> Result<(), DaemonError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(serve(settings, path))
}

async fn serve(settings: AgentSettings, path: PathBuf) -> Result<(), DaemonError> {
    let mut signals = StopSignals::listen()?;
    let mut reload = Reload::watch(path)?;
    let common = &settings.common;
    let own = Peer {
        name: common.name().to_owned(),
        role: Role::Agent.into(),
        incarnation: rand::random(),
        address: common.link_address().to_string(),
        failure_domain: common.failure_domain().to_owned(),
        backend_address: settings.backend_address.to_string(),
    };
    let address = common.link_address();
    let peers = Peers::bind(address, own.clone()).await;
    let peers = peers.map_err(|source| DaemonError::Bind { address, source })?;
    log::info!(name = common.name(), backend:% = settings.backend_address; "agent started");
    let (updates, mut update_queue) = mpsc::unbounded_channel();
    let (figures_needed, needed) = watch::channel(false);
    tokio::spawn(watcher::follow_engine_figures(common.store_address, updates.clone(), needed));
    tokio::spawn(watcher::follow_peers(common.store_address, own, updates));
    let (events, mut event_queue) = mpsc::unbounded_channel();
    let wake = Arc::new(Notify::new());
    let busy_until_ms = Arc::new(AtomicU64::new(0));
    let (readings, mut reading_queue) = mpsc::unbounded_channel();
    tokio::spawn(backend_reader::poll(
        settings.backend_address,
        readings,
        Arc::clone(&wake),
        Arc::clone(&busy_until_ms),
    ));
    let mut agent = Agent::new(settings, peers, events, wake, busy_until_ms, figures_needed);
    let mut tick = tokio::time::interval(POLL_INTERVAL);
    while !agent.can_exit() {
        tokio::select! {
            () = signals.next() => match agent.exit_at_ms {
                None => agent.begin_stop().await,
                Some(_) => break,
            },
            path = reload.changed() => match deployment_settings::load_agent(&path) {
                // An agent applies no settings while it runs; the file is only validated, so that
                // errors are logged before the next restart.
                Ok(_) => log::info!("settings valid; changes take effect after a restart"),
                Err(error) => log::error!(error:% = error;
                    "settings rejected; previous settings stay in force"),
            },
            Some(update) = update_queue.recv() => agent.apply_update(update),
            Some(event) = event_queue.recv() => agent.handle_event(event).await,
            Some(reading) = reading_queue.recv() => agent.handle_reading(reading).await,
            received = agent.peers.receive() => match received {
                Ok((from, message)) => agent.handle_message(from, message).await,
                Err(error) => {
                    log::warn!(error:% = error; "failed to receive a datagram");
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
            },
            _ = tick.tick() => agent.tick().await,
        }
    }
    // Either of the messages may be lost.
    agent.announce_stop().await;
    log::info!("agent stopped");
    Ok(())
}

/// Random number by which the gateways divide the room of a backend.
#[derive(Default)]
struct Division {
    number: u16,
    drawn_at_ms: Option<u64>,
}

impl Division {
    fn number(&mut self, now_ms: u64) -> u16 {
        if self.drawn_at_ms.is_none_or(|at_ms| now_ms >= at_ms + DIVISION_PERIOD_MS) {
            *self = Self { number: rand::random(), drawn_at_ms: Some(now_ms) };
        }
        self.number
    }
}

/// Rounds a slowdown factor, as each change of a load is reported.
fn rounded_pace(pace: f64) -> f32 {
    ((pace * PACE_STEPS).round() / PACE_STEPS) as f32
}

struct Agent {
    settings: AgentSettings,
    peers: Peers,
    events: mpsc::UnboundedSender<Event>,
    wake: Arc<Notify>,
    busy_until_ms: Arc<AtomicU64>,
    /// Whether this agent needs the figures of the engines, as a leader or to become one.
    figures_needed: watch::Sender<bool>,
    table: Option<RouteTable>,
    rank: Option<RankState>,
    leader: Option<KnownLeader>,
    group_leader: Option<GroupLeader>,
    /// Time at which the rank of this agent's backend was first read.
    rank_known_ms: u64,
    /// Random number that determines when this agent claims leadership.
    claim_draw: u64,
    /// Time at which the process exits in any case, once it is stopping.
    exit_at_ms: Option<u64>,
    order_queued_ms: u64,
    /// Time of the last claim of leadership.
    claimed_ms: Option<u64>,
    heartbeat_sent_ms: u64,
    report_sent_ms: u64,
    load_sent: Option<(u64, Load)>,
    division: Division,
    order_senders: IndexMap<SocketAddr, mpsc::UnboundedSender<Order>>,
    /// Step of the last forward pass, and the time at which it was first observed, in milliseconds.
    last_pass: (u64, u64),
    known_maps: KnownMaps,
    /// Choices of other ranks that were received since the last report with choices.
    collected_choices: CollectedChoices,
    /// Evacuations that gateways announce.
    evacuations: Evacuations,
    /// Whether a rank of the group that this agent leads is in an evacuated failure domain.
    has_evacuated_rank: bool,
    /// Agent that adds up choices for the leader, if it is neither the leader nor this agent.
    collector: Option<SocketAddr>,
}

impl Agent {
    fn new(
        settings: AgentSettings,
        peers: Peers,
        events: mpsc::UnboundedSender<Event>,
        wake: Arc<Notify>,
        busy_until_ms: Arc<AtomicU64>,
        figures_needed: watch::Sender<bool>,
    ) -> Self {
        Self {
            settings,
            peers,
            events,
            wake,
            busy_until_ms,
            figures_needed,
            table: None,
            rank: None,
            leader: None,
            group_leader: None,
            rank_known_ms: 0,
            claim_draw: rand::random(),
            exit_at_ms: None,
            order_queued_ms: 0,
            claimed_ms: None,
            heartbeat_sent_ms: 0,
            report_sent_ms: 0,
            load_sent: None,
            division: Division::default(),
            order_senders: IndexMap::new(),
            last_pass: (0, 0),
            known_maps: KnownMaps::default(),
            collected_choices: CollectedChoices::default(),
            collector: None,
            evacuations: Evacuations::default(),
            has_evacuated_rank: false,
        }
    }

    async fn begin_stop(&mut self) {
        let exits_after = Stop::begin(self.settings.common.grace()).exits_after();
        self.exit_at_ms = Some(now_ms().saturating_add(exits_after.as_millis() as u64));
        log::info!("agent stopping");
        self.announce_stop().await;
    }

    /// Tells the gateways that the backend's reports end, so that they do not take it for silent.
    async fn announce_stop(&self) {
        let Some((_, load)) = &self.load_sent else {
            return;
        };
        let load = Load { is_last: true, ..load.clone() };
        let gateways = self.peers.live_gateways().map(|(_, address)| address);
        self.peers.send_all(gateways, peer_message::Body::Load(load)).await;
    }

    /// Returns whether the agent is stopping and its group does not wait for it. A hold does not
    /// expire: a group that is left held makes no passes until another agent takes over.
    fn can_exit(&self) -> bool {
        let now = now_ms();
        let is_awaited = self.group_leader.as_ref().is_some_and(GroupLeader::is_awaited)
            || self.rank.as_ref().is_some_and(|rank| rank.held_step.is_some())
            || now < self.order_queued_ms + CHANGE_ACTIVE_MS;
        self.exit_at_ms.is_some_and(|exit_at_ms| !is_awaited || now >= exit_at_ms)
    }

    fn apply_update(&mut self, update: Update) {
        match update {
            Update::Config(text) => self.configure(&text),
            Update::SharedKey(key) => self.peers.set_key(key),
            Update::Peer(peer) => {
                self.peers.register_record(peer);
            }
            // The hello messages of gateways name the evacuations.
            Update::Evacuations(_)
            | Update::Backends(_)
            | Update::BackendChanges(_)
            | Update::StoreReconnected { .. }
            | Update::PassOn(_) => {}
        }
    }

    fn configure(&mut self, text: &Bytes) {
        match config::decode(text) {
            Ok(table) => self.table = Some(table),
            Err(error) => log::error!(error:% = error; "configuration rejected"),
        }
    }

    async fn handle_event(&mut self, event: Event) {
        match event {
            Event::RemoteState(backend, state) => {
                let Some(group_leader) = &mut self.group_leader else {
                    return;
                };
                let (rank, lacks_experts) = (state.rank, group_leader.lacks_experts(&state));
                group_leader.record_state(now_ms(), backend, state);
                if lacks_experts {
                    self.read_remote_experts(backend, rank);
                }
                self.advance_change().await;
            }
            Event::RemoteExperts { rank, held } => {
                if let Some(group_leader) = &mut self.group_leader {
                    group_leader.record_experts(rank, held.map_version, held.experts);
                }
            }
            Event::Claimed { fence, group } => self.become_leader(fence, &group),
        }
    }

    async fn handle_reading(&mut self, Reading { state, mut choices, experts }: Reading) {
        self.send_load(&state).await;
        let Some(rank) = state.rank else {
            return;
        };
        if rank.busy || rank.armed.is_some() || rank.held_step.is_some() {
            self.busy_until_ms.store(now_ms() + CHANGE_ACTIVE_MS, Ordering::Relaxed);
        }
        self.peers.set_own_group(&rank.group);
        if self.rank.is_none() {
            self.rank_known_ms = now_ms();
        }
        // Every pass changes the step, which is not worth a report of its own.
        let is_changed = self.rank.as_ref().is_none_or(|known| !known.is_same_except_step(&rank))
            || !choices.is_empty();
        self.rank = Some(rank.clone());
        self.collected_choices.move_into(&mut choices);
        let has_map_in_use = self.known_maps.get(rank.map_version).is_some();
        let backend = self.settings.backend_address;
        let pace = state.pace;
        let report = Report { state: rank, choices, experts, backend, has_map_in_use, pace };
        if let Some(group_leader) = &mut self.group_leader {
            let own_link = self.settings.common.link_address();
            group_leader.record_running(state.active);
            group_leader.record_report(now_ms(), own_link, report);
            self.advance_change().await;
        } else if let Some(leader) = self.leader
            && (is_changed || now_ms() >= self.report_sent_ms + POLL_INTERVAL.as_millis() as u64)
        {
            self.report_sent_ms = now_ms();
            self.send_report(leader.address, report).await;
        }
    }

    /// Sends a report to the leader, and its choices to the collector if there is one.
    async fn send_report(&self, leader: SocketAddr, mut report: Report) {
        if let Some(collector) = self.collector.filter(|_| !report.choices.is_empty()) {
            let choices = std::mem::take(&mut report.choices);
            let counts = Report { choices, experts: Vec::new(), ..report.clone() };
            let counts = peer_message::Body::RankReport(orders::encode_report(counts));
            self.peers.send_all([collector], counts).await;
        }
        let report = peer_message::Body::RankReport(orders::encode_report(report));
        self.peers.send_all([leader], report).await;
    }

    async fn send_load(&mut self, state: &EngineState) {
        let now = now_ms();
        let step = state.rank.as_ref().map_or(0, |rank| rank.step);
        if step != self.last_pass.0 || state.active == 0 {
            self.last_pass = (step, now);
        }
        let is_stalled = state.rank.is_some() && now > self.last_pass.1 + STALL_TIMEOUT_MS;
        if self.load_sent.as_ref().is_some_and(|(_, sent)| sent.is_stalled != is_stalled) {
            let since_pass_ms = now.saturating_sub(self.last_pass.1);
            log::info!(is_stalled, step, since_pass_ms, active = state.active;
                "group has stalled or goes on");
        }
        let load = Load {
            backend_address: self.settings.backend_address.to_string(),
            active: state.active,
            queued: state.queued,
            is_open: state.rank.as_ref().is_none_or(|rank| rank.is_open),
            is_stalled,
            draw: self.division.number(now).into(),
            group: state.rank.as_ref().map_or_else(String::new, |rank| rank.group.clone()),
            pace: rounded_pace(state.pace),
            is_last: self.exit_at_ms.is_some(),
        };
        let sent = self.load_sent.as_ref();
        if sent.is_some_and(|(at, sent)| *sent == load && now < at + LOAD_INTERVAL_MS) {
            return;
        }
        let gateways: Vec<SocketAddr> =
            self.peers.live_gateways().map(|(_, address)| address).collect();
        self.peers.send_all(gateways, peer_message::Body::Load(load.clone())).await;
        self.load_sent = Some((now, load));
    }

    async fn handle_message(&mut self, from: SocketAddr, message: PeerMessage) {
        match message.body {
            Some(peer_message::Body::Hello(hello)) => {
                self.peers.register_hello(&hello);
                evacuations::learn(&mut self.evacuations, hello.evacuations);
            }
            Some(peer_message::Body::Lead(lead)) => self.handle_heartbeat(from, &lead),
            Some(peer_message::Body::RankReport(report)) => self.handle_report(from, report).await,
            Some(peer_message::Body::Command(command)) => self.handle_command(from, command).await,
            _ => {}
        }
    }

    async fn handle_command(&mut self, from: SocketAddr, mut command: Command) {
        for (address, command) in orders::take_relayed(&mut command) {
            self.peers.send_all([address], peer_message::Body::Command(command)).await;
        }
        let is_own_group = self.is_in_group(&command.group);
        match orders::decode_order(command, &self.known_maps) {
            Some(order) if is_own_group => {
                if let Action::Prepare { version, map } = &order.action {
                    let in_use = self.rank.as_ref().map_or(0, |rank| rank.map_version);
                    self.known_maps.insert((*version, Arc::clone(map)), in_use);
                }
                self.send_order(order, self.settings.backend_address);
            }
            Some(_) => {}
            None => log::info!(leader:% = from;
                "order dropped: its action is missing or its base map is unknown"),
        }
    }

    async fn handle_report(&mut self, from: SocketAddr, report: RankReport) {
        let report = match orders::decode_report(report) {
            Ok(report) => report,
            Err(error) => {
                log::warn!(error:% = error; "rank report rejected");
                return;
            }
        };
        let is_own_group = self.is_in_group(&report.state.group);
        let Some(group_leader) = self.group_leader.as_mut().filter(|_| is_own_group) else {
            if is_own_group {
                self.collected_choices.add(&report.choices);
            }
            return;
        };
        group_leader.record_report(now_ms(), from, report);
        if group_leader.is_changing() {
            self.advance_change().await;
        }
    }

    /// Returns whether this agent's backend belongs to a group.
    fn is_in_group(&self, group: &str) -> bool {
        self.rank.as_ref().is_some_and(|own| own.group == group)
    }

    fn handle_heartbeat(&mut self, from: SocketAddr, lead: &Lead) {
        let is_own_group = self.is_in_group(&lead.group);
        let now = now_ms();
        let is_current = self.leader.is_none_or(|l| lead.fence >= l.fence);
        if !is_own_group || !is_current {
            return;
        }
        if self.group_leader.as_ref().is_some_and(|group_leader| group_leader.fence() < lead.fence)
        {
            log::info!(fence = lead.fence, leader:% = from;
                "leadership lost to an agent with a higher fencing token");
            self.group_leader = None;
        }
        self.leader = Some(KnownLeader { fence: lead.fence, address: from, heartbeat_ms: now });
        self.collector = match lead.collector_address.as_str() {
            "" => None,
            address => address
                .parse()
                .inspect_err(|error| log::warn!(error:% = error; "malformed collector address"))
                .ok(),
        };
    }

    /// Queues an order for a backend. After the order is sent, the state of this agent's backend is
    /// read immediately.
    fn send_order(&mut self, order: Order, backend: SocketAddr) {
        self.order_queued_ms = now_ms();
        let until = self.order_queued_ms + CHANGE_ACTIVE_MS;
        self.busy_until_ms.store(until, Ordering::Relaxed);
        let wake = Arc::clone(&self.wake);
        let sender = self.order_senders.entry(backend).or_insert_with(|| {
            let (orders, queue) = mpsc::unbounded_channel();
            tokio::spawn(order_sender::send_orders(backend, queue, wake));
            orders
        });
        if sender.send(order).is_err() {
            log::error!(backend:% = backend; "order dropped: the task that sends orders has ended");
        }
    }
}
