//! The gateway role: callers of a deployment on one side, backends on the other.

use std::cell::Cell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use currantlink_core::fleet::Fleet;
use currantlink_core::spread::LoadReport;
use currantlink_platform::config;
use currantlink_wire::peers::{Hello, Leaving, Load, Peer, PeerMessage, Role, peer_message};
use tokio::sync::{mpsc, watch};
use tokio::task::LocalSet;
use tokio::time::Instant;

use crate::belief::{Belief, Loads, SharedBelief};
use crate::clock::now_ms;
use crate::deployed::{self, GatewaySettings};
use crate::error::DaemonError;
use crate::ingress;
use crate::peers::Peers;
use crate::reload::Reload;
use crate::serve::Gateway;
use crate::stop::StopSignals;
use crate::telemetry;
use crate::threads::control_thread;
use crate::watcher::{self, Update};

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(100);
/// Time between two looks for connections to backends that are too old.
const SWEEP_EVERY: Duration = Duration::from_secs(1);
/// Time after SIGTERM at which idle connections of callers are closed: the platform has stopped
/// sending new connections by then, and what still runs has time to end.
const CLOSE_AFTER: Duration = Duration::from_millis(2_600);
/// Time before the end of the grace at which the process ends in any case.
const LAST: Duration = Duration::from_millis(300);
/// Gateways that are assumed while their number is not known: more than small deployments have.
const UNKNOWN_GATEWAYS: usize = 8;
/// Time for which peers are told of a backend that leaves.
const LEAVING_TOLD_MS: u64 = 10_000;

/// Serves until the process is asked to stop.
///
/// # Errors
///
/// Fails where an address is in use or a thread cannot be started.
pub fn run(settings: GatewaySettings, path: PathBuf) -> Result<(), DaemonError> {
    let metrics = telemetry::install_metrics()?;
    let belief: SharedBelief = Arc::default();
    let loads = Arc::<Loads>::default();
    let (own_belief, own_loads) = (Arc::clone(&belief), Arc::clone(&loads));
    let own_settings = settings.clone();
    control_thread(move || control(own_settings, own_belief, own_loads))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let gateway = Rc::new(Gateway::new(settings, belief, loads));
    LocalSet::new().block_on(&runtime, traffic(gateway, metrics, path))
}

async fn traffic(
    gateway: Rc<Gateway>,
    metrics: metrics_exporter_prometheus::PrometheusHandle,
    path: PathBuf,
) -> Result<(), DaemonError> {
    let mut signals = StopSignals::listen()?;
    tokio::task::spawn_local(reload(Rc::clone(&gateway), Reload::watch(path)?));
    let settings = gateway.settings();
    log::info!(name = settings.common.name(), callers:% = settings.callers; "gateway started");
    let readiness = ingress::listen(settings.readiness)?;
    let page = ingress::readiness_page(Rc::clone(&gateway));
    tokio::task::spawn_local(ingress::serve_pages(readiness, page));
    if let Some(address) = settings.common.metrics {
        let listener = ingress::listen(address)?;
        tokio::task::spawn_local(ingress::serve_pages(listener, ingress::metrics_page(metrics)));
    }
    let callers = ingress::listen(settings.callers)?;
    let (close, closing) = watch::channel(false);
    let open = Rc::new(Cell::new(0));
    let accepting =
        ingress::accept_callers(Rc::clone(&gateway), callers, closing, Rc::clone(&open));
    tokio::task::spawn_local(accepting);
    tokio::task::spawn_local(sweep(Rc::clone(&gateway)));
    signals.next().await;
    log::info!(open = open.get(); "stopping");
    gateway.stop();
    let asked = Instant::now();
    let last = asked + gateway.settings().common.grace().saturating_sub(LAST);
    tokio::time::sleep_until((asked + CLOSE_AFTER).min(last)).await;
    if close.send(true).is_err() {
        log::debug!("no connection is open");
    }
    while open.get() > 0 && Instant::now() < last {
        tokio::time::sleep(TICK).await;
    }
    log::info!(open = open.get(); "stopped");
    Ok(())
}

/// Takes over changed settings; addresses stay until the process starts again.
async fn reload(gateway: Rc<Gateway>, mut reload: Reload) {
    loop {
        let path = reload.changed().await;
        match deployed::load_gateway(&path) {
            Ok(settings) => {
                log::info!("settings read again");
                gateway.set_settings(settings);
            }
            Err(error) => log::error!(error:% = error; "settings are not usable"),
        }
    }
}

async fn sweep(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(SWEEP_EVERY).await;
        gateway.sweep();
    }
}

async fn control(settings: GatewaySettings, belief: SharedBelief, loads: Arc<Loads>) {
    let common = &settings.common;
    let own = Peer {
        name: common.name().to_owned(),
        role: Role::Gateway.into(),
        incarnation: rand::random(),
        address: common.link().to_string(),
        failure_domain: common.failure_domain().to_owned(),
        backend_address: String::new(),
    };
    let peers = match Peers::bind(common.link(), own.clone()).await {
        Ok(peers) => peers,
        Err(error) => {
            log::error!(address:% = common.link(), error:% = error; "no link to other processes");
            return;
        }
    };
    let (updates, mut queue) = mpsc::unbounded_channel();
    let store = common.store;
    tokio::spawn(watcher::follow_config(store, watcher::CONFIG_WAIT, updates.clone()));
    tokio::spawn(watcher::follow_backends(store, updates.clone()));
    tokio::spawn(watcher::follow_peers(store, own, updates));
    let mut control = Control::new(peers, belief, loads);
    let mut tick = tokio::time::interval(TICK);
    loop {
        tokio::select! {
            update = queue.recv() => match update {
                Some(update) => control.update(update),
                None => return,
            },
            received = control.peers.receive() => match received {
                Ok((_, message)) => control.heard(message),
                Err(error) => {
                    log::warn!(error:% = error; "datagram not received");
                    tokio::time::sleep(TICK).await;
                }
            },
            _ = tick.tick() => control.tick().await,
        }
    }
}

/// State of the control thread.
struct Control {
    peers: Peers,
    shared: SharedBelief,
    loads: Arc<Loads>,
    belief: Belief,
    fleet: Fleet,
    leaving: VecDeque<(u64, Leaving)>,
}

impl Control {
    fn new(peers: Peers, shared: SharedBelief, loads: Arc<Loads>) -> Self {
        let belief = Belief { gateways: UNKNOWN_GATEWAYS, ..Belief::default() };
        let (fleet, leaving) = (Fleet::default(), VecDeque::new());
        Self { peers, shared, loads, belief, fleet, leaving }
    }

    fn update(&mut self, update: Update) {
        let now = now_ms();
        let changed = match update {
            Update::Config(text) => self.configure(&text),
            Update::StoreReturned => {
                self.fleet.store_recovered(now);
                false
            }
            Update::Backends(listing) => self.fleet.replace(listing, now),
            Update::BackendChanges(changes) => {
                let mut changed = false;
                for (id, observation) in changes {
                    changed |= self.fleet.observe(&id, observation, now);
                }
                changed
            }
            Update::SharedKey(key) => {
                self.peers.set_key(key);
                false
            }
            Update::Peer(peer) => {
                self.peers.learn(peer, false);
                false
            }
        };
        if changed {
            self.publish();
        }
    }

    fn configure(&mut self, text: &Bytes) -> bool {
        let known = self.belief.table.as_ref().map(|table| table.version());
        match config::decode(text) {
            Ok(table) if known.is_some_and(|known| table.version() <= known) => false,
            Ok(table) => {
                log::info!(version = table.version(), before = known; "configuration applied");
                self.belief.table = Some(Arc::new(table));
                true
            }
            Err(error) => {
                log::error!(error:% = error, in_force = known; "configuration is not usable");
                false
            }
        }
    }

    fn heard(&mut self, message: PeerMessage) {
        match message.body {
            Some(peer_message::Body::Load(load)) => self.loaded(&load),
            Some(peer_message::Body::Hello(hello)) => {
                if let Some(peer) = hello.peer {
                    self.peers.learn(peer, true);
                }
                let mut changed = false;
                for Leaving { id, born_ms } in &hello.leaving {
                    changed |= self.fleet.mark_leaving(id, *born_ms);
                }
                if changed {
                    self.publish();
                }
            }
            _ => {}
        }
    }

    fn loaded(&mut self, load: &Load) {
        let Ok(address) = load.backend_address.parse::<SocketAddr>() else {
            return;
        };
        let Load { active, queued, is_open, is_stalled, .. } = *load;
        let is_serving = is_open && !is_stalled;
        self.loads
            .report(address, LoadReport { active, queued, is_serving, received_at_ms: now_ms() });
    }

    async fn tick(&mut self) {
        let now = now_ms();
        let gateways = self.peers.count(Role::Gateway).unwrap_or(UNKNOWN_GATEWAYS);
        let settled = self.fleet.remove_expired(now);
        if settled || gateways != self.belief.gateways {
            self.belief.gateways = gateways;
            self.publish();
        }
        while self.leaving.front().is_some_and(|(at, _)| at + LEAVING_TOLD_MS < now) {
            self.leaving.pop_front();
        }
        let config_version = self.belief.table.as_ref().map_or(0, |table| table.version());
        let leaving = self.leaving.iter().map(|(_, leaving)| leaving.clone()).collect();
        self.peers.greet(|| Hello { peer: None, config_version, leaving }).await;
    }

    fn publish(&mut self) {
        let before = Arc::clone(&self.belief.fleet);
        let now = now_ms();
        for (_, member) in self.fleet.listed().filter(|(_, m)| m.leaving) {
            let known = before.by_id(&member.id).and_then(|key| before.get(key));
            if known.is_none_or(|known| !known.leaving) {
                log::info!(backend = member.id.as_str(); "backend leaves");
                let (id, born_ms) = (member.id.clone(), member.announcement.started_at_ms);
                self.leaving.push_back((now, Leaving { id, born_ms }));
            }
        }
        self.belief.fleet = Arc::new(self.fleet.clone());
        self.shared.store(Arc::new(self.belief.clone()));
    }
}
