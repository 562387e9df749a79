//! The agent role: beside a model backend, tells its load and carries out orders for its rank; one
//! agent of a group leads its map changes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use currantlink_core::routes::{ExpertProfile, RouteTable};
use currantlink_core::switch::{Action, Order, RankState};
use currantlink_platform::engine::{EngineState, RankExperts};
use currantlink_platform::store::StoreClient;
use currantlink_platform::{config, names};
use currantlink_wire::peers::{
    Hello, Lead, Load, Peer, PeerMessage, RankReport, Role, peer_message,
};
use indexmap::IndexMap;
use tokio::sync::{Notify, mpsc};

use crate::clock::now_ms;
use crate::conductor::{Conductor, Leader, Report, Way};
use crate::deployed::{self, AgentSettings};
use crate::error::DaemonError;
use crate::giving;
use crate::orders::{self, Versioned};
use crate::peers::Peers;
use crate::rank::RankClient;
use crate::readings::{self, POLL, Reading};
use crate::reload::Reload;
use crate::stop::StopSignals;
use crate::watcher::{self, Update};

/// Time after the last order, or after a state that shows one, for which a change is taken to be
/// under way.
const BUSY_MS: u64 = 300;
/// Time between two signs of life of a leader.
const LEAD_EVERY_MS: u64 = 100;
/// Silence of a leader after which the agent of rank 0 takes over.
const LEADER_LIFE_MS: u64 = 400;
/// Further silence for each rank, so that not all take over at once.
const TURN_MS: u64 = 120;
/// Time between two claims of the same agent.
const CLAIM_EVERY_MS: u64 = 1_500;
/// Time for a claim in the store.
const CLAIM_LIMIT: Duration = Duration::from_millis(800);
/// Time between two messages of an unchanged load.
const LOAD_EVERY_MS: u64 = 240;

/// Time without a new pass after which a backend with requests is taken as stalled: a pass takes
/// some tens of milliseconds.
const STALLED_MS: u64 = 400;

enum Event {
    /// A rank whose agent is silent.
    Remote(SocketAddr, RankState),
    /// Its experts.
    RemoteExperts { rank: u32, held: RankExperts },
    /// The store gave this process a fencing number.
    Claimed { fence: u64, group: String },
}

/// Serves until the process is asked to stop.
///
/// # Errors
///
/// Fails where the runtime or the link to other processes cannot be started.
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
    let (updates, mut queue) = mpsc::unbounded_channel();
    tokio::spawn(watcher::follow_config(
        common.store_address,
        watcher::EXPERT_SIZES_READ_WAIT,
        updates.clone(),
    ));
    tokio::spawn(watcher::follow_peers(common.store_address, own, updates));
    let (events, mut happened) = mpsc::unbounded_channel();
    let wake = Arc::new(Notify::new());
    let busy = Arc::new(AtomicU64::new(0));
    let (readings, mut read) = mpsc::unbounded_channel();
    tokio::spawn(readings::poll(
        settings.backend_address,
        readings,
        Arc::clone(&wake),
        Arc::clone(&busy),
    ));
    let mut agent = Agent::new(settings, peers, events, wake, busy);
    let mut tick = tokio::time::interval(POLL);
    loop {
        tokio::select! {
            () = signals.next() => break,
            path = reload.changed() => match deployed::load_agent(&path) {
                // Nothing that an agent uses changes while it runs, but a mistake is told early.
                Ok(_) => log::info!("settings read again"),
                Err(error) => log::error!(error:% = error; "settings are not usable"),
            },
            Some(update) = queue.recv() => agent.update(update),
            Some(event) = happened.recv() => agent.happened(event).await,
            Some(reading) = read.recv() => agent.read(reading).await,
            received = agent.peers.receive() => match received {
                Ok((from, message)) => agent.heard(from, message).await,
                Err(error) => {
                    log::warn!(error:% = error; "datagram not received");
                    tokio::time::sleep(POLL).await;
                }
            },
            _ = tick.tick() => agent.tick().await,
        }
    }
    log::info!("agent stopped");
    Ok(())
}

struct Agent {
    settings: AgentSettings,
    peers: Peers,
    events: mpsc::UnboundedSender<Event>,
    wake: Arc<Notify>,
    busy_until_ms: Arc<AtomicU64>,
    table: Option<RouteTable>,
    rank: Option<RankState>,
    leader: Option<Leader>,
    conductor: Option<Conductor>,
    started_ms: u64,
    claimed_ms: u64,
    lead_sent_ms: u64,
    report_sent_ms: u64,
    load_sent: Option<(u64, Load)>,
    givers: IndexMap<SocketAddr, mpsc::UnboundedSender<Order>>,
    /// Last pass and when it was first seen.
    progress: (u64, u64),
    last_map: Option<Versioned>,
    maps_sent: IndexMap<SocketAddr, Versioned>,
}

impl Agent {
    fn new(
        settings: AgentSettings,
        peers: Peers,
        events: mpsc::UnboundedSender<Event>,
        wake: Arc<Notify>,
        busy_until_ms: Arc<AtomicU64>,
    ) -> Self {
        Self {
            settings,
            peers,
            events,
            wake,
            busy_until_ms,
            table: None,
            rank: None,
            leader: None,
            conductor: None,
            started_ms: now_ms(),
            claimed_ms: 0,
            lead_sent_ms: 0,
            report_sent_ms: 0,
            load_sent: None,
            givers: IndexMap::new(),
            progress: (0, 0),
            last_map: None,
            maps_sent: IndexMap::new(),
        }
    }

    fn update(&mut self, update: Update) {
        match update {
            Update::Config(text) => self.configure(&text),
            Update::SharedKey(key) => self.peers.set_key(key),
            Update::Peer(peer) => self.peers.learn(peer, false),
            Update::Backends(_) | Update::BackendChanges(_) | Update::StoreReconnected => {}
        }
    }

    fn configure(&mut self, text: &Bytes) {
        match config::decode(text) {
            Ok(table) => self.table = Some(table),
            Err(error) => log::error!(error:% = error; "configuration is not usable"),
        }
    }

    async fn happened(&mut self, event: Event) {
        match event {
            Event::Remote(backend, state) => {
                let Some(conductor) = &mut self.conductor else {
                    return;
                };
                let (rank, lacks_experts) = (state.rank, conductor.lacks_experts(&state));
                conductor.observed(now_ms(), backend, state);
                if lacks_experts {
                    self.read_experts(backend, rank);
                }
                self.conduct().await;
            }
            Event::RemoteExperts { rank, held } => {
                if let Some(conductor) = &mut self.conductor {
                    conductor.held(rank, held.map_version, held.experts);
                }
            }
            Event::Claimed { fence, group } => self.claimed(fence, &group),
        }
    }

    async fn read(&mut self, Reading { state, choices, experts }: Reading) {
        self.tell_load(&state).await;
        let Some(rank) = state.rank else {
            return;
        };
        if rank.busy || rank.armed.is_some() || rank.held_step.is_some() {
            self.busy_until_ms.store(now_ms() + BUSY_MS, Ordering::Relaxed);
        }
        let is_news = self.rank.as_ref() != Some(&rank) || !choices.is_empty();
        self.rank = Some(rank.clone());
        let backend = self.settings.backend_address;
        let report = Report { state: rank, choices, experts, backend };
        if let Some(conductor) = &mut self.conductor {
            let own = self.settings.common.link_address();
            conductor.heard(now_ms(), own, report);
            self.conduct().await;
        } else if let Some(leader) = self.leader
            && (is_news || now_ms() >= self.report_sent_ms + POLL.as_millis() as u64)
        {
            self.report_sent_ms = now_ms();
            let report: RankReport = orders::encode_report(report);
            self.peers.send_all([leader.address], peer_message::Body::RankReport(report)).await;
        }
    }

    async fn tell_load(&mut self, state: &EngineState) {
        let now = now_ms();
        let step = state.rank.as_ref().map_or(0, |rank| rank.step);
        if step != self.progress.0 || state.active == 0 {
            self.progress = (step, now);
        }
        let is_stalled = state.rank.is_some() && now > self.progress.1 + STALLED_MS;
        let load = Load {
            backend_address: self.settings.backend_address.to_string(),
            active: state.active,
            queued: state.queued,
            is_open: state.rank.as_ref().is_none_or(|rank| rank.is_open),
            is_stalled,
        };
        let told = self.load_sent.as_ref();
        if told.is_some_and(|(at, told)| *told == load && now < at + LOAD_EVERY_MS) {
            return;
        }
        let gateways: Vec<SocketAddr> =
            self.peers.alive(Role::Gateway).map(|(_, address)| address).collect();
        self.peers.send_all(gateways, peer_message::Body::Load(load.clone())).await;
        self.load_sent = Some((now, load));
    }

    async fn heard(&mut self, from: SocketAddr, message: PeerMessage) {
        match message.body {
            Some(peer_message::Body::Hello(hello)) => {
                if let Some(peer) = hello.peer {
                    self.peers.learn(peer, true);
                }
            }
            Some(peer_message::Body::Lead(lead)) => self.led(from, &lead),
            Some(peer_message::Body::RankReport(report)) => self.reported(from, report).await,
            Some(peer_message::Body::Command(command)) => {
                let own = self.is_of(&command.group);
                match orders::decode_order(command, self.last_map.as_ref()) {
                    Some(order) if own => {
                        self.remember_map(&order);
                        self.execute(order, self.settings.backend_address);
                    }
                    Some(_) => {}
                    None => log::info!(leader:% = from; "order names a map that is not known"),
                }
            }
            _ => {}
        }
    }

    async fn reported(&mut self, from: SocketAddr, report: RankReport) {
        if self.conductor.is_none() {
            return;
        }
        let report = match orders::decode_report(report) {
            Ok(report) => report,
            Err(error) => {
                log::warn!(error:% = error; "rank report is not usable");
                return;
            }
        };
        let own = self.is_of(&report.state.group);
        let Some(conductor) = self.conductor.as_mut().filter(|_| own) else {
            return;
        };
        conductor.heard(now_ms(), from, report);
        if conductor.is_changing() {
            self.conduct().await;
        }
    }

    /// Returns whether the backend beside this agent belongs to a group.
    fn is_of(&self, group: &str) -> bool {
        self.rank.as_ref().is_some_and(|own| own.group == group)
    }

    fn led(&mut self, from: SocketAddr, lead: &Lead) {
        let own = self.is_of(&lead.group);
        let now = now_ms();
        let is_newer = self.leader.is_none_or(|l| lead.fence >= l.fence);
        if !own || !is_newer {
            return;
        }
        if self.conductor.as_ref().is_some_and(|conductor| conductor.fence() < lead.fence) {
            log::info!(fence = lead.fence, leader:% = from; "another agent leads the group");
            self.conductor = None;
        }
        self.leader = Some(Leader { fence: lead.fence, address: from, heard_ms: now });
    }

    /// Has an order given to a backend, after which the own one's state is read at once.
    fn execute(&mut self, order: Order, backend: SocketAddr) {
        let until = now_ms() + BUSY_MS;
        self.busy_until_ms.store(until, Ordering::Relaxed);
        let wake = Arc::clone(&self.wake);
        let giver = self.givers.entry(backend).or_insert_with(|| {
            let (orders, queue) = mpsc::unbounded_channel();
            tokio::spawn(giving::give(backend, queue, wake));
            orders
        });
        if giver.send(order).is_err() {
            log::error!(backend:% = backend; "order not given");
        }
    }

    async fn conduct(&mut self) {
        let now = now_ms();
        let Some(conductor) = &mut self.conductor else {
            return;
        };
        let orders = conductor.advance(now);
        let own_link = self.settings.common.link_address();
        let group = self.rank.as_ref().map(|rank| rank.group.clone()).unwrap_or_default();
        for (way, order) in orders {
            match way {
                Way::Agent(agent) if agent == own_link => {
                    self.execute(order, self.settings.backend_address);
                }
                Way::Agent(agent) => {
                    let base = self.base_for(agent, &order);
                    let command = orders::encode_order(&group, &order, base.as_ref());
                    self.peers.send_all([agent], peer_message::Body::Command(command)).await;
                }
                Way::Backend(backend) => self.execute(order, backend),
            }
        }
    }

    /// Keeps the map of an order, to which the next may be a difference.
    fn remember_map(&mut self, order: &Order) {
        if let Action::Prepare { version, map } = &order.action {
            self.last_map = Some((*version, Arc::clone(map)));
        }
    }

    /// The map that an agent was sent last, for the first sending of another one: a whole map does
    /// not fit a packet where groups are large. What is sent again is sent whole.
    fn base_for(&mut self, agent: SocketAddr, order: &Order) -> Option<Versioned> {
        let Action::Prepare { version, map } = &order.action else {
            return None;
        };
        let sent = self.maps_sent.insert(agent, (*version, Arc::clone(map)));
        sent.filter(|(sent, _)| sent != version)
    }

    async fn tick(&mut self) {
        self.peers.greet(Hello::default).await;
        let now = now_ms();
        let Some(rank) = self.rank.clone() else {
            return;
        };
        if let Some(conductor) = &mut self.conductor {
            let mut silent = conductor.silent(now);
            if conductor.has_unknown(now) {
                let backends = self.peers.known(Role::Agent).map(|peer| &peer.backend_address);
                let backends = backends.filter_map(|backend| backend.parse().ok());
                silent.extend(backends.filter(|&backend| !conductor.knows(backend)));
            }
            let fence = conductor.fence();
            for backend in silent {
                self.read_remote(backend, rank.group.clone());
            }
            if now >= self.lead_sent_ms + LEAD_EVERY_MS {
                self.lead_sent_ms = now;
                let lead = Lead { group: rank.group.clone(), fence };
                let agents: Vec<SocketAddr> =
                    self.peers.alive(Role::Agent).map(|(_, address)| address).collect();
                self.peers.send_all(agents, peer_message::Body::Lead(lead)).await;
            }
            self.conduct().await;
            return;
        }
        let heard_ms = self.leader.map_or(self.started_ms, |leader| leader.heard_ms);
        let life_ms = LEADER_LIFE_MS + TURN_MS * u64::from(rank.rank);
        if now > heard_ms + life_ms
            && now > self.claimed_ms + CLAIM_EVERY_MS
            && self.figures().is_some()
        {
            self.claimed_ms = now;
            self.claim(rank.group);
        }
    }

    fn read_remote(&self, backend: SocketAddr, group: String) {
        let events = self.events.clone();
        tokio::spawn(async move {
            match RankClient::new(backend).report().await {
                Ok(EngineState { rank: Some(rank), .. }) if rank.group == group => {
                    // The receiver is gone only when the process ends.
                    let _ = events.send(Event::Remote(backend, rank));
                }
                Ok(_) => {}
                Err(error) => log::info!(backend:% = backend, error:% = error; "rank not read"),
            }
        });
    }

    fn read_experts(&self, backend: SocketAddr, rank: u32) {
        let events = self.events.clone();
        tokio::spawn(async move {
            match RankClient::new(backend).held().await {
                // The receiver is gone only when the process ends.
                Ok(held) => drop(events.send(Event::RemoteExperts { rank, held })),
                Err(error) => log::info!(backend:% = backend, error:% = error; "experts not read"),
            }
        });
    }

    fn claim(&self, group: String) {
        let mut store = StoreClient::new(self.settings.common.store_address);
        let events = self.events.clone();
        tokio::spawn(async move {
            let record = Bytes::from(group.clone().into_bytes());
            let claim = store.append(names::LEADERS_TOPIC, None, &[record], CLAIM_LIMIT).await;
            match claim {
                Ok(offset) => {
                    // The receiver is gone only when the process ends.
                    let _ = events.send(Event::Claimed { fence: offset + 1, group });
                }
                Err(error) => log::info!(error:% = error; "no fencing number"),
            }
        });
    }

    fn claimed(&mut self, fence: u64, group: &str) {
        let newer_leader = self.leader.is_some_and(|leader| leader.fence > fence);
        let (Some(rank), Some(figures)) = (self.rank.clone(), self.figures()) else {
            return;
        };
        if newer_leader || rank.group != group {
            return;
        }
        log::info!(fence, group; "leads the group");
        let (size, own) = (rank.size as usize, rank.rank as usize);
        self.conductor = Some(Conductor::new(now_ms(), fence, size, own, figures));
        self.leader = None;
        self.maps_sent.clear();
        self.lead_sent_ms = 0;
    }

    /// Sizes of the expert maps of the service whose engines form groups.
    fn figures(&self) -> Option<ExpertProfile> {
        let pools = self.table.as_ref()?.pools();
        pools.iter().find_map(|pool| pool.engine.as_ref().and_then(|engine| engine.experts))
    }
}
