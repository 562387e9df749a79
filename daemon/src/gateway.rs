//! The gateway role: proxies callers' requests to backends.
//!
//! A control thread follows the store and the peers and publishes routing snapshots; the main
//! thread serves traffic.

use std::cell::Cell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use currantlink_core::cold::ReturnDetector;
use currantlink_core::evacuation::{Announcement, Evacuations, Reading};
use currantlink_core::even_load::backend_number;
use currantlink_core::fleet::{self, Fleet, FleetKey, Process};
use currantlink_core::group_choice::GroupKey;
use currantlink_core::least_loaded::LoadReport;
use currantlink_core::share::ASSUMED_GATEWAYS;
use currantlink_core::stop::{Closing, Draining, Stop};
use currantlink_platform::config;
use currantlink_wire::peers::{
    BackendRecords, Crashes, Demand, Hello, Load, Peer, PeerMessage, Role, peer_message,
};
use indexmap::{IndexMap, IndexSet};
use rand::seq::IteratorRandom as _;
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::LocalSet;
use tokio::time::Instant;

use crate::admission::SharedAdmission;
use crate::agent;
use crate::backend_follower;
use crate::clock::now_ms;
use crate::conversions;
use crate::crash_ledger::{Audience, CrashLedger};
use crate::deployment_settings::{self, GatewaySettings};
use crate::error::DaemonError;
use crate::evacuations::{self, Source};
use crate::gateway_rates::SharedRates;
use crate::ingress::{self, Phase};
use crate::peers::Peers;
use crate::reload::Reload;
use crate::request_handler::Gateway;
use crate::routing_snapshot::{LoadReports, RoutingSnapshot, SharedSnapshot};
use crate::stated_limits::StatedLimits;
use crate::stop::StopSignals;
use crate::telemetry;
use crate::threads::control_thread;
use crate::trials::SharedTrials;
use crate::turns;
use crate::watcher::{self, Update};

/// Interval of periodic tasks, and delay after a failed receive.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Time from a crash until other gateways are told of it.
const CRASH_DELAY: Duration = Duration::from_millis(10);
/// Interval between checks whether all requests are complete, while the process stops.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between evictions of expired connections and removed backends.
const EVICT_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which a leaving backend is announced to peers.
const LEAVING_ANNOUNCE_MS: u64 = 10_000;
/// Minimum interval between reads of the configuration because a peer knows a newer one.
const CONFIG_NOTIFY_INTERVAL_MS: u64 = 1_000;
/// Interval between repeated messages about crashes.
const CRASHES_INTERVAL_MS: u64 = 500;
/// Number of gateways that are told of earlier crashes at a time.
const CRASHES_FANOUT: usize = 3;

/// State that the control thread and the traffic thread share.
#[derive(Clone)]
pub struct SharedState {
    /// Configuration and backends, written by the control thread.
    pub snapshot: SharedSnapshot,
    /// Load of the backends, written by the control thread.
    pub load_reports: Arc<LoadReports>,
    /// Rate limits of the backends, written by both.
    pub stated_limits: Arc<StatedLimits>,
    /// Crashes of backends and their suspects, written by both.
    pub crashes: Arc<CrashLedger>,
    /// Trials of requests that may crash backends, written by both.
    pub trials: Arc<SharedTrials>,
    /// Request rates of this gateway and the others, written by both.
    pub rates: Arc<SharedRates>,
    /// Admission levels of this gateway and the others, written by both.
    pub admission: Arc<SharedAdmission>,
    /// Backends that said in a response that they leave, from the traffic thread to the control thread.
    pub leaving: mpsc::UnboundedSender<Process>,
}

/// Runs a gateway until a stop signal arrives.
///
/// # Errors
///
/// Fails if an address is in use or a thread cannot be started.
pub fn run(settings: GatewaySettings, path: PathBuf) -> Result<(), DaemonError> {
    let metrics = telemetry::install_metrics()?;
    let stated_limits = StatedLimits::new(settings.common.name(), settings.common.cold_margin());
    let (leaving, left) = mpsc::unbounded_channel();
    let shared = SharedState {
        snapshot: Arc::default(),
        load_reports: Arc::default(),
        stated_limits: Arc::new(stated_limits),
        crashes: Arc::new(CrashLedger::new(settings.common.name())),
        trials: Arc::default(),
        rates: Arc::default(),
        admission: Arc::default(),
        leaving,
    };
    let (control_settings, control_shared) = (settings.clone(), shared.clone());
    control_thread(move || control(control_settings, control_shared, left))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let gateway = Rc::new(Gateway::new(settings, shared));
    LocalSet::new().block_on(&runtime, traffic(gateway, metrics, path))
}

async fn traffic(
    gateway: Rc<Gateway>,
    metrics: metrics_exporter_prometheus::PrometheusHandle,
    path: PathBuf,
) -> Result<(), DaemonError> {
    let mut signals = StopSignals::listen()?;
    tokio::task::spawn_local(reload(Rc::clone(&gateway), Reload::watch(path.clone())?));
    let settings = gateway.settings();
    log::info!(name = settings.common.name(), callers:% = settings.callers_address;
        "gateway started");
    let readiness = ingress::listen(settings.readiness_address)?;
    let page = ingress::readiness_page(Rc::clone(&gateway));
    tokio::task::spawn_local(ingress::serve_pages(readiness, page));
    if let Some(address) = settings.common.metrics_address {
        let listener = ingress::listen(address)?;
        tokio::task::spawn_local(ingress::serve_pages(listener, ingress::metrics_page(metrics)));
    }
    let callers = ingress::listen(settings.callers_address)?;
    let (phase, phases) = watch::channel(Phase::Serving);
    let open = Rc::new(Cell::new(0));
    let accepting = ingress::accept_callers(Rc::clone(&gateway), callers, phases, Rc::clone(&open));
    tokio::task::spawn_local(accepting);
    tokio::task::spawn_local(evict_stale(Rc::clone(&gateway)));
    tokio::task::spawn_local(watch_backends(Rc::clone(&gateway)));
    tokio::task::spawn_local(turns::wake_waiting(Rc::clone(&gateway)));
    signals.next().await;
    let stopped_at = Instant::now();
    // The grace period may have changed since the file was last read.
    apply_settings(&gateway, &path);
    let stop = Stop::begin(gateway.settings().common.grace());
    let callers = CallerConnections { open, phase };
    let stop = drain(&gateway, stop, &callers, stopped_at).await;
    complete(&gateway, stop, &callers, stopped_at).await;
    Ok(())
}

/// The open connections of callers.
struct CallerConnections {
    open: Rc<Cell<usize>>,
    phase: watch::Sender<Phase>,
}

/// Reports not ready and serves all requests until callers have been sent elsewhere.
async fn drain(
    gateway: &Gateway,
    stop: Stop<Draining>,
    callers: &CallerConnections,
    stopped_at: Instant,
) -> Stop<Closing> {
    log::info!(open = callers.open.get(), in_flight = gateway.in_flight().count();
        "gateway stopping");
    gateway.stop(stopped_at, stop.acceptance(), stopped_at + stop.answers_after());
    tokio::time::sleep_until(stopped_at + stop.drains_for()).await;
    stop.close()
}

/// Waits for the requests in flight, then closes all connections.
async fn complete(
    gateway: &Gateway,
    stop: Stop<Closing>,
    callers: &CallerConnections,
    stopped_at: Instant,
) {
    log::info!(open = callers.open.get(), in_flight = gateway.in_flight().count();
        "closing caller connections");
    let exit_at = stopped_at + stop.exits_after();
    callers.phase.send_replace(Phase::Closing);
    wait_for_zero(|| gateway.in_flight().count(), exit_at).await;
    callers.phase.send_replace(Phase::Closed);
    // The listener is closed before open connections are counted for the last time.
    tokio::task::yield_now().await;
    wait_for_zero(|| callers.open.get(), exit_at).await;
    log_cut_off(gateway, stopped_at);
    log::info!(open = callers.open.get(), took_ms = stopped_at.elapsed().as_millis() as u64;
        "gateway stopped");
}

async fn wait_for_zero(count: impl Fn() -> usize, end: Instant) {
    while count() > 0 && Instant::now() < end {
        tokio::time::sleep(STOP_POLL_INTERVAL).await;
    }
}

/// Logs the requests that the exit of the process cuts off.
fn log_cut_off(gateway: &Gateway, stopped_at: Instant) {
    for request in gateway.in_flight().list() {
        let after_stop = request.arrived_at.saturating_duration_since(stopped_at);
        log::warn!(request = request.attempt_id.as_str(),
            after_ms = request.arrived_at.elapsed().as_millis() as u64,
            after_stop_ms = after_stop.as_millis() as u64;
            "request cut off by the exit");
    }
}

/// Applies changed settings. New addresses take effect only after a restart.
async fn reload(gateway: Rc<Gateway>, mut reload: Reload) {
    loop {
        let path = reload.changed().await;
        apply_settings(&gateway, &path);
    }
}

/// Reads the settings file and applies it if it is valid.
fn apply_settings(gateway: &Gateway, path: &Path) {
    match deployment_settings::load_gateway(path) {
        Ok(settings) => {
            log::info!("settings reloaded");
            gateway.set_settings(settings);
        }
        Err(error) => {
            log::error!(error:% = error;
                "settings rejected; previous settings stay in force")
        }
    }
}

async fn evict_stale(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(EVICT_INTERVAL).await;
        gateway.evict_stale();
    }
}

async fn watch_backends(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
        gateway.update_silent();
        gateway.close_evacuated();
        gateway.explain_losses();
    }
}

async fn control(
    settings: GatewaySettings,
    shared: SharedState,
    mut leaving: mpsc::UnboundedReceiver<Process>,
) {
    let common = &settings.common;
    let own = Peer {
        name: common.name().to_owned(),
        role: Role::Gateway.into(),
        incarnation: rand::random(),
        address: common.link_address().to_string(),
        failure_domain: common.failure_domain().to_owned(),
        backend_address: String::new(),
    };
    let peers = match Peers::bind(common.link_address(), own.clone()).await {
        Ok(peers) => peers,
        Err(error) => {
            log::error!(address:% = common.link_address(), error:% = error;
                "failed to bind the socket for peer messages");
            return;
        }
    };
    let (updates, mut queue) = mpsc::unbounded_channel();
    let store = common.store_address;
    let config_outdated = Arc::new(Notify::new());
    let (gateway_counts, counts) = watch::channel(1);
    let (received_records, records) = mpsc::unbounded_channel();
    let outdated = Arc::clone(&config_outdated);
    tokio::spawn(watcher::follow_operator(store, updates.clone(), outdated, counts));
    let (services, named) = watch::channel(IndexSet::new());
    tokio::spawn(backend_follower::follow(store, updates.clone(), records, named));
    tokio::spawn(watcher::follow_peers(store, own, updates));
    let readers =
        Readers { config_outdated, gateway_counts, received_records, services, notified_ms: None };
    let trials = Arc::clone(&shared.trials);
    let mut control = Control::new(peers, shared, readers);
    let mut tick = tokio::time::interval(TICK_INTERVAL);
    loop {
        tokio::select! {
            update = queue.recv() => match update {
                Some(update) => control.apply_update(update).await,
                None => return,
            },
            received = control.peers.receive() => match received {
                Ok((from, message)) => control.handle_message(from, message).await,
                Err(error) => {
                    log::warn!(error:% = error; "failed to receive a datagram");
                    tokio::time::sleep(TICK_INTERVAL).await;
                }
            },
            Some(process) = leaving.recv() => control.mark_leaving([process]),
            () = trials.due() => {
                control.send_trials().await;
                // Several requests at a backend that crashes are told of together.
                if control.shared.crashes.is_unsent() {
                    tick.reset_after(CRASH_DELAY);
                }
            }
            _ = tick.tick() => control.tick().await,
        }
    }
}

/// The tasks that read the store, as the control thread informs them.
struct Readers {
    /// Notified when a peer knows a newer configuration.
    config_outdated: Arc<Notify>,
    /// Number of live gateways.
    gateway_counts: watch::Sender<usize>,
    /// Records of backends that other gateways have read.
    received_records: mpsc::UnboundedSender<BackendRecords>,
    /// Services that the configuration names.
    services: watch::Sender<IndexSet<String>>,
    /// Time of the last notification, if there was one.
    notified_ms: Option<u64>,
}

impl Readers {
    /// Delivers records that another gateway has read to the task that follows the backends.
    fn deliver(&self, records: BackendRecords) {
        if self.received_records.send(records).is_err() {
            log::error!("records dropped: the task that follows the backends has ended");
        }
    }

    /// Lets the configuration be read. Peers repeat their messages, so a reader that is still busy is
    /// not interrupted by each.
    fn notify_outdated(&mut self, now_ms: u64) {
        if self.notified_ms.is_none_or(|at_ms| now_ms >= at_ms + CONFIG_NOTIFY_INTERVAL_MS) {
            self.notified_ms = Some(now_ms);
            self.config_outdated.notify_one();
        }
    }
}

/// State of the control thread, which publishes routing snapshots.
struct Control {
    peers: Peers,
    shared: SharedState,
    readers: Readers,
    snapshot: RoutingSnapshot,
    fleet: Fleet,
    evacuations: Evacuations,
    leaving: VecDeque<(u64, Process)>,
    crashes_sent_at_ms: u64,
    /// Rank of this gateway among all gateways, by which they divide the room of a backend.
    division_rank: u64,
    /// Addresses of gateways that have not been told of earlier crashes.
    untold: Vec<SocketAddr>,
    returns: ReturnDetector,
}

impl Control {
    fn new(peers: Peers, shared: SharedState, readers: Readers) -> Self {
        let snapshot =
            RoutingSnapshot { gateway_count: ASSUMED_GATEWAYS, ..RoutingSnapshot::default() };
        let (fleet, leaving) = (Fleet::default(), VecDeque::new());
        Self {
            peers,
            shared,
            readers,
            snapshot,
            fleet,
            evacuations: Evacuations::default(),
            leaving,
            crashes_sent_at_ms: 0,
            division_rank: 0,
            untold: Vec::new(),
            returns: ReturnDetector::default(),
        }
    }

    async fn apply_update(&mut self, update: Update) {
        let now = now_ms();
        let changed = match update {
            Update::Config(text) => self.apply_config(&text),
            Update::Evacuations(reading) => {
                self.apply_evacuations(reading).await;
                false
            }
            Update::StoreReconnected { at_ms } => {
                self.fleet.store_recovered(at_ms);
                false
            }
            Update::Backends(listing) => {
                let ids: Vec<String> = listing.iter().map(|(id, _)| id.clone()).collect();
                let changed = self.fleet.replace(listing, now);
                self.record_listed(&ids);
                changed
            }
            Update::BackendChanges(changes) => {
                let ids: Vec<String> = changes.iter().map(|(id, _)| id.clone()).collect();
                let changed = self.fleet.apply(changes, now);
                self.record_listed(&ids);
                changed
            }
            Update::PassOn(records) => {
                let gateways = self.peers.live_gateways().map(|(_, address)| address);
                let gateways: Vec<SocketAddr> = gateways.collect();
                self.peers.send_all(gateways, peer_message::Body::BackendRecords(records)).await;
                false
            }
            Update::SharedKey(key) => {
                self.peers.set_key(key);
                false
            }
            Update::Peer(peer) => {
                self.peers.register_record(peer);
                false
            }
        };
        if changed {
            self.publish();
        }
    }

    /// Records which backends may be cold, before requests can be sent to them.
    fn record_listed(&self, ids: &[String]) {
        let ids = ids.iter().map(String::as_str);
        self.shared.stated_limits.record_listed(&self.fleet, ids);
    }

    /// Returns the version of the configuration in force, or 0 if there is none.
    fn config_version(&self) -> u64 {
        self.snapshot.table.as_ref().map_or(0, |table| table.version())
    }

    fn apply_config(&mut self, text: &Bytes) -> bool {
        let known = self.snapshot.table.as_ref().map(|table| table.version());
        match config::decode(text) {
            Ok(table) if known.is_some_and(|known| table.version() <= known) => false,
            Ok(table) => {
                log::info!(version = table.version(), before = known; "configuration applied");
                self.shared.stated_limits.configure_cold(&table);
                let services = table.pools().iter().map(|pool| pool.name.clone());
                let services: IndexSet<String> = services.collect();
                self.fleet.set_services(services.clone());
                self.readers.services.send_replace(services);
                self.snapshot.table = Some(Arc::new(table));
                true
            }
            Err(error) => {
                log::error!(error:% = error, in_force = known; "configuration rejected");
                false
            }
        }
    }

    /// Applies evacuations that were read from the store. Other gateways are told of a change at once:
    /// they may be unable to reach the store.
    async fn apply_evacuations(&mut self, reading: Reading) {
        let changes = self.evacuations.apply_reading(reading, now_ms());
        self.announce_evacuations(changes).await;
    }

    /// Publishes, reports and announces changes of evacuations.
    async fn announce_evacuations(&mut self, changes: Vec<Announcement>) {
        if changes.is_empty() {
            return;
        }
        self.publish();
        for change in changes {
            evacuations::report(&change, Source::Store, &self.evacuations);
            let mut domains = self.fleet.listed().map(|(_, m)| &m.announcement.failure_domain);
            if change.is_active && !domains.any(|domain| domain == change.domain.as_str()) {
                log::warn!(failure_domain = change.domain.as_str(), position:% = change.position,
                    backends = self.fleet.listed().count();
                    "no listed backend is in the evacuated failure domain");
            }
        }
        self.peers.greet_gateways();
        let demands = self.demands();
        self.send_hello(demands).await;
    }

    async fn handle_message(&mut self, from: SocketAddr, message: PeerMessage) {
        match message.body {
            Some(peer_message::Body::Trials(trials)) => {
                if let Some(response) = self.shared.trials.receive(trials, message.incarnation) {
                    self.peers.send_all([from], peer_message::Body::Trials(response)).await;
                }
            }
            Some(peer_message::Body::Load(load)) => self.record_load(&load),
            Some(peer_message::Body::Hello(hello)) => {
                self.register_hello(&hello);
                if hello.config_version > self.config_version() {
                    self.readers.notify_outdated(now_ms());
                }
                let decode = |leaving| conversions::decode_leaving(leaving, &self.fleet);
                let leaving: Vec<Process> = hello.leaving.iter().filter_map(decode).collect();
                self.mark_leaving(leaving);
                if evacuations::learn(&mut self.evacuations, hello.evacuations) {
                    self.publish();
                }
                if let Some(peer) = hello.peer.filter(|peer| peer.role() == Role::Gateway) {
                    self.shared.stated_limits.learn_claims(&peer.name, &hello.demands);
                    self.shared.rates.learn(&peer.name, hello.demands);
                    self.shared.admission.learn(&peer.name, hello.admission_levels);
                }
                for named in &hello.named_rates {
                    self.shared.stated_limits.learn(&self.fleet, named);
                }
            }
            Some(peer_message::Body::Crashes(Crashes { crashes })) => {
                self.shared.crashes.learn(crashes);
                self.shared.trials.wake_waiting();
            }
            Some(peer_message::Body::BackendRecords(records)) => self.readers.deliver(records),
            _ => {}
        }
    }

    fn mark_leaving(&mut self, processes: impl IntoIterator<Item = Process>) {
        let mut changed = false;
        for process in processes {
            changed |= self.fleet.mark_leaving(process);
        }
        if changed {
            self.publish();
        }
    }

    fn register_hello(&mut self, hello: &Hello) {
        let is_gateway = hello.peer.as_ref().is_some_and(|peer| peer.role() == Role::Gateway);
        let first_hello_from = self.peers.register_hello(hello);
        self.untold.extend(first_hello_from.filter(|_| is_gateway));
    }

    fn record_load(&mut self, load: &Load) {
        let Ok(address) = load.backend_address.parse::<SocketAddr>() else {
            return;
        };
        let Load { active, queued, is_open, is_stalled, draw, pace, is_last, .. } = *load;
        let is_serving = is_open && !is_stalled;
        let interval_ms = agent::LOAD_INTERVAL_MS as f64;
        let received_at_ms = now_ms();
        let room_number = draw as u16;
        let draw = u64::from(draw) + self.division_rank;
        let report = LoadReport {
            active,
            queued,
            is_serving,
            received_at_ms,
            interval_ms,
            draw,
            is_last,
            room_number,
            backend_number: backend_number(&load.backend_address),
            group: GroupKey::new(&load.group),
            slowdown: f64::from(pace),
        };
        let before_ms = self.shared.load_reports.get(address).map(|before| before.received_at_ms);
        if self.returns.record_report(before_ms, received_at_ms) {
            let listed = self.fleet.listed();
            listed.filter(|(_, m)| m.announcement.address == address).for_each(|(key, _)| {
                self.shared.stated_limits.record_return(key);
            });
        }
        self.shared.load_reports.record(address, report);
    }

    async fn tick(&mut self) {
        let now = now_ms();
        let mut gateways = self.peers.gateway_names();
        gateways.iter_mut().for_each(|names| names.sort_unstable());
        self.shared.crashes.update(gateways.as_deref());
        let (refused_parts, refused_requests) = self.shared.crashes.refused_counts();
        metrics::gauge!("currantlink_refused_prompt_parts").set(refused_parts as f64);
        metrics::gauge!("currantlink_refused_requests").set(refused_requests as f64);
        let gateway_count = gateways.as_ref().map_or(ASSUMED_GATEWAYS, Vec::len);
        let rank = |names: &Vec<String>| names.binary_search(&self.peers.own().name).ok();
        if let Some(rank) = gateways.as_ref().and_then(rank) {
            self.division_rank = rank as u64;
        }
        self.readers.gateway_counts.send_replace(gateways.as_ref().map_or(1, Vec::len));
        self.shared.stated_limits.set_gateways(gateways);
        let lifted = self.evacuations.lift_missing(now);
        self.announce_evacuations(lifted).await;
        let demands = self.demands();
        let settled = self.fleet.remove_expired(now);
        if settled || gateway_count != self.snapshot.gateway_count {
            self.snapshot.gateway_count = gateway_count;
            self.publish();
        }
        while self.leaving.front().is_some_and(|(at, _)| at + LEAVING_ANNOUNCE_MS < now) {
            self.leaving.pop_front();
        }
        self.send_hello(demands).await;
        self.send_crashes(now).await;
        self.send_trials().await;
    }

    async fn send_hello(&mut self, demands: Vec<Demand>) {
        let config_version = self.config_version();
        let leaving = self.leaving.iter();
        let leaving = leaving.map(|(_, process)| conversions::encode_leaving(process)).collect();
        let named_rates = || self.shared.stated_limits.announced(&self.fleet);
        let hello = || Hello {
            config_version,
            leaving,
            named_rates: named_rates(),
            evacuations: evacuations::announced(&self.evacuations),
            demands,
            admission_levels: self.shared.admission.announced(),
            ..Hello::default()
        };
        self.peers.send_hello(hello).await;
    }

    /// Returns the request rates for hello messages, and the claims to the rates of cold backends.
    fn demands(&self) -> Vec<Demand> {
        let rates = &self.shared.rates;
        let claims = self.shared.stated_limits.sample_claims(|service| rates.own_per_s(service));
        let mut demands = rates.announced();
        for claim in claims {
            match demands.iter_mut().find(|demand| demand.service == claim.service) {
                Some(demand) => {
                    let requests_per_s = demand.requests_per_s;
                    *demand = Demand { requests_per_s, ..claim };
                }
                None => demands.push(claim),
            }
        }
        demands
    }

    /// Tells the gateways that grant trials what this one asks for.
    async fn send_trials(&mut self) {
        if self.shared.trials.is_idle() {
            return;
        }
        let own = self.peers.own();
        let (own_name, holder) = (own.name.clone(), own.incarnation);
        let live = self.peers.live_gateways();
        let addresses: IndexMap<String, SocketAddr> =
            live.map(|(peer, address)| (peer.name.clone(), address)).collect();
        let names = addresses.keys().chain([&own_name]).cloned().collect::<Vec<_>>();
        for (granter, trials) in self.shared.trials.messages(&names, &own_name, holder) {
            let body = peer_message::Body::Trials(trials);
            self.peers.send_all(addresses.get(&granter).copied(), body).await;
        }
    }

    /// Tells other gateways of crashes: all of them of new ones, and some of earlier ones.
    async fn send_crashes(&mut self, now: u64) {
        let is_interval = now >= self.crashes_sent_at_ms + CRASHES_INTERVAL_MS;
        let untold = std::mem::take(&mut self.untold);
        let gateways = self.peers.live_gateways().map(|(_, address)| address);
        let addresses = match self.shared.crashes.audience(is_interval) {
            Some(Audience::All) => gateways.collect(),
            Some(Audience::Some) => gateways.choose_multiple(&mut rand::rng(), CRASHES_FANOUT),
            None => Vec::new(),
        };
        if is_interval {
            self.crashes_sent_at_ms = now;
        }
        let addresses: IndexSet<SocketAddr> = addresses.into_iter().chain(untold).collect();
        if addresses.is_empty() {
            return;
        }
        for crashes in self.shared.crashes.announced() {
            let body = peer_message::Body::Crashes(crashes);
            self.peers.send_all(addresses.iter().copied(), body).await;
        }
    }

    /// Logs entries that have got off the list, or never were on it, although they are present.
    fn log_unlisted(&self, before: &Fleet) {
        let known: IndexSet<FleetKey> = before.unlisted().map(|(key, ..)| key).collect();
        let mut count = 0;
        for (key, member, reason) in self.fleet.unlisted() {
            count += 1;
            if known.contains(&key) {
                continue;
            }
            let fleet::Announcement { service, address, started_at_ms, .. } = &member.announcement;
            log::warn!(backend = member.id.as_str(), service = service.as_str(), address:% = address,
                started_at_ms, reason:% = reason; "list entry is not used");
        }
        metrics::gauge!("currantlink_unlisted_backends").set(f64::from(count));
    }

    fn publish(&mut self) {
        let before = Arc::clone(&self.snapshot.fleet);
        let now = now_ms();
        for (_, member) in self.fleet.listed().filter(|(_, m)| m.leaving) {
            let known = before.by_id(&member.id).and_then(|key| before.get(key));
            if known.is_none_or(|known| !known.leaving) {
                log::info!(backend = member.id.as_str(); "backend is leaving");
                self.leaving.push_back((now, member.process()));
            }
        }
        self.log_unlisted(&before);
        // Before requests are placed by the new snapshot: the backends may be cold.
        let were_evacuated = Arc::clone(&self.snapshot.evacuations);
        for domain in were_evacuated.active().filter(|d| !self.evacuations.is_active(d.as_str())) {
            self.shared.stated_limits.record_lifted(domain.as_str(), now);
        }
        self.snapshot.fleet = Arc::new(self.fleet.clone());
        self.snapshot.evacuations = Arc::new(self.evacuations.clone());
        self.shared.snapshot.store(Arc::new(self.snapshot.clone()));
        // Not earlier: requests are placed by the snapshot before.
        self.shared.stated_limits.retain_cold(&self.fleet);
    }
}
