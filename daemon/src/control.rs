//! Control thread of an entry: follows the platform's log and instance list, maintains the links to
//! the backends, and publishes a snapshot of the state for the traffic threads.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use bytes::Bytes;
use currantlink_core::config::compile;
use currantlink_core::fold::{Fold, FoldedRecord, RULE_VERSION};
use currantlink_core::ids::BackendKey;
use currantlink_core::reader::{Page, Progress, RawRecord, Reader};
use currantlink_core::subset::{self, LinkCandidate};
use currantlink_wire::config::{Record, State, record};
use currantlink_wire::link::{
    ConfigPull, ConfigRecords, ConfigState, LogRecord, to_entry, to_side,
};
use indexmap::{IndexMap, IndexSet};
use prost::Message;
use tokio::runtime::Handle;
use tokio::sync::{mpsc, watch};

use crate::clock;
use crate::platform::{Instance, PlatformClient, PlatformError};
use crate::settings::Entry;
use crate::uplink::{LinkSetup, StreamEvent, Uplink};
use crate::view::{ConfigSource, ServiceState, ServiceView, Target, View};

const PUSH_INTERVAL: Duration = Duration::from_millis(100);
const PULL_TIMEOUT: Duration = Duration::from_secs(1);
/// Range of the random delay that keeps entries from appending the same snapshot at once.
const SNAPSHOT_JITTER_MS: u64 = 60_000;
/// Maximum number of folded records that operators can list.
const HISTORY_RECORDS: usize = 512;
/// Maximum number of records retained for incremental updates of sides.
const RECENT_RECORDS: usize = 1_024;
/// Assumed one-way network latency within a failure domain.
const LOCAL_ONE_WAY_US: u64 = 50;
/// Assumed one-way network latency between failure domains.
const REMOTE_ONE_WAY_US: u64 = 1_000;
/// Maximum number of backends outside the subset that calls with tickets can add.
const MAX_EXTRA_BACKENDS: usize = 256;

/// An event for the control thread.
#[derive(Debug)]
pub enum ControlEvent {
    /// Result of reading a page of the log from the given offset.
    Page(u64, Result<Page, PlatformError>),
    /// Result of reading the instance list.
    List(Result<Vec<Instance>, PlatformError>),
    /// A side sent its encoded configuration state.
    PeerState(Bytes),
    /// A call needs a link to a backend that is not in the entry's subset.
    LinkBackend(String),
    /// The delay before a snapshot has expired. No snapshot is appended if a recent one was read.
    Snapshot,
}

struct SideLink {
    uplink: Arc<Uplink>,
    /// Generation of the link and configuration offset at the last push.
    last_push: (u64, u64),
}

/// Control state of an entry.
pub struct Control {
    settings: Entry,
    setup: LinkSetup,
    traffic: Handle,
    events: mpsc::Sender<ControlEvent>,
    next_offset: watch::Sender<u64>,
    view: Arc<ArcSwap<View>>,
    published: watch::Sender<()>,
    log: PlatformClient,
    reader: Reader,
    history: Vec<FoldedRecord>,
    recent_records: Vec<RawRecord>,
    leaving: IndexSet<String>,
    listed_addresses: Vec<SocketAddr>,
    links: IndexMap<SocketAddr, SideLink>,
    backend_keys: IndexSet<String>,
    extra_backends: IndexSet<String>,
    service_states: IndexMap<String, Arc<ServiceState>>,
    source: ConfigSource,
    log_read_at_ms: Option<u64>,
    list_read_at_ms: Option<u64>,
    snapshot_scheduled: bool,
}

/// Handle of the control thread for callers' and operators' requests.
#[derive(Clone)]
pub struct ControlHandle {
    /// Latest published state.
    pub view: Arc<ArcSwap<View>>,
    /// Notifies of each published state.
    pub published: watch::Receiver<()>,
    /// Event queue of the control thread.
    pub events: mpsc::Sender<ControlEvent>,
}

const EVENT_QUEUE_CAPACITY: usize = 256;

/// Starts the control thread of an entry.
///
/// # Errors
///
/// Fails if the thread cannot be started.
pub fn start(
    settings: Entry,
    setup: LinkSetup,
    traffic: Handle,
) -> Result<ControlHandle, crate::error::DaemonError> {
    let (events, queue) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let (published, subscription) = watch::channel(());
    let view: Arc<ArcSwap<View>> = Arc::default();
    let handle =
        ControlHandle { view: Arc::clone(&view), published: subscription, events: events.clone() };
    crate::threads::control_thread(move || {
        let log = PlatformClient::new(settings.log_url());
        let control = Control {
            setup,
            traffic,
            events,
            next_offset: watch::Sender::new(1),
            view,
            published,
            log,
            reader: Reader::default(),
            history: Vec::new(),
            recent_records: Vec::new(),
            leaving: IndexSet::new(),
            listed_addresses: Vec::new(),
            links: IndexMap::new(),
            backend_keys: IndexSet::new(),
            extra_backends: IndexSet::new(),
            service_states: IndexMap::new(),
            source: ConfigSource::None,
            log_read_at_ms: None,
            list_read_at_ms: None,
            snapshot_scheduled: false,
            settings,
        };
        control.run(queue)
    })?;
    Ok(handle)
}

impl Control {
    async fn run(mut self, mut queue: mpsc::Receiver<ControlEvent>) {
        tokio::spawn(poll_log(
            self.log.clone(),
            self.settings.log_poll(),
            self.next_offset.subscribe(),
            self.events.clone(),
        ));
        let list = PlatformClient::new(self.settings.list_url());
        tokio::spawn(poll_list(list, self.settings.list_poll(), self.events.clone()));
        let mut pushes = tokio::time::interval(PUSH_INTERVAL);
        pushes.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                event = queue.recv() => match event {
                    Some(event) => self.handle(event),
                    None => return,
                },
                _ = pushes.tick() => self.push_config(),
            }
        }
    }

    fn handle(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::Page(from, Ok(page)) => self.apply_page(from, &page),
            ControlEvent::Page(_, Err(error)) => {
                log::warn!(error:% = error; "failed to read the log");
                self.request_peer_state();
            }
            ControlEvent::List(Ok(instances)) => self.apply_list(&instances),
            ControlEvent::List(Err(error)) => {
                log::warn!(error:% = error; "failed to read the instance list")
            }
            ControlEvent::PeerState(state) => self.restore_peer_state(state),
            ControlEvent::LinkBackend(backend) => {
                if self.extra_backends.len() < MAX_EXTRA_BACKENDS
                    && self.extra_backends.insert(backend)
                {
                    self.publish();
                }
            }
            ControlEvent::Snapshot => self.append_snapshot(),
        }
    }

    fn apply_page(&mut self, from: u64, page: &Page) {
        self.log_read_at_ms = Some(clock::now_ms());
        if from != self.reader.next_offset() {
            return;
        }
        let before = (self.reader.fold().as_of(), self.reader.progress());
        match self.reader.fold_page(page) {
            Ok(folded) => self.record_folded(folded, page),
            Err(error) => log::error!(error:% = error; "failed to fold a page of the log"),
        }
        if self.reader.progress() == Progress::Starved && before.1 != Progress::Starved {
            log::error!(
                as_of = before.0, first_offset = page.first_offset;
                "log no longer contains the next records; requesting the configuration from a side"
            );
        }
        if self.reader.progress() == Progress::Starved {
            self.request_peer_state();
        }
        if self.reader.fold().as_of() != before.0 {
            self.source = ConfigSource::Log;
            log::info!(as_of = self.reader.fold().as_of(); "configuration applied");
        }
        self.next_offset.send_replace(self.reader.next_offset());
        self.schedule_snapshot();
        if (self.reader.fold().as_of(), self.reader.progress()) != before {
            self.publish();
        }
    }

    fn record_folded(&mut self, folded: Vec<FoldedRecord>, page: &Page) {
        let as_of = self.reader.fold().as_of();
        self.recent_records.extend(page.records.iter().filter(|r| r.offset <= as_of).cloned());
        self.history.extend(folded);
        drop_oldest(&mut self.recent_records, RECENT_RECORDS);
        drop_oldest(&mut self.history, HISTORY_RECORDS);
    }

    fn schedule_snapshot(&mut self) {
        let due = self.reader.fold().is_snapshot_due(self.settings.snapshot_every_records());
        if !due || self.snapshot_scheduled || self.reader.progress() != Progress::Following {
            return;
        }
        self.snapshot_scheduled = true;
        let delay = Duration::from_millis(rand::random_range(0..SNAPSHOT_JITTER_MS));
        let events = self.events.clone();
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            // The send fails only when the process ends.
            let _ = events.send(ControlEvent::Snapshot).await;
        });
    }

    fn append_snapshot(&mut self) {
        self.snapshot_scheduled = false;
        if !self.reader.fold().is_snapshot_due(self.settings.snapshot_every_records()) {
            return;
        }
        let state = State::from(self.reader.fold());
        let as_of = state.as_of;
        let body = Some(record::Body::Snapshot(state));
        let record = Record { record_id: new_record_id(), rule: RULE_VERSION, body };
        let log = self.log.clone();
        tokio::spawn(async move {
            match log.append(&record.encode_to_vec()).await {
                Ok(offset) => log::info!(as_of, offset; "snapshot appended"),
                Err(error) => log::warn!(as_of, error:% = error; "failed to append a snapshot"),
            }
        });
    }

    fn apply_list(&mut self, instances: &[Instance]) {
        self.list_read_at_ms = Some(clock::now_ms());
        let leaving = instances.iter().filter(|i| i.is_leaving()).map(|i| i.name.clone());
        let leaving: IndexSet<String> = leaving.collect();
        self.listed_addresses = instances.iter().filter_map(|i| i.address.parse().ok()).collect();
        if leaving != self.leaving {
            for name in leaving.difference(&self.leaving) {
                log::info!(backend = name.as_str(); "backend is leaving");
            }
            self.leaving = leaving;
        }
        self.publish();
    }

    /// Requests the configuration from a linked side that has a newer one.
    ///
    /// Used while the log cannot provide it. An entry without any configuration first opens links
    /// to all listed sides.
    fn request_peer_state(&mut self) {
        let own = self.reader.fold().as_of();
        for address in self.listed_addresses.clone() {
            if own == 0 && !self.links.contains_key(&address) {
                self.open_link(address);
            }
        }
        for link in self.links.values() {
            let state = link.uplink.state();
            if state.connected && state.status.config_offset > own {
                let (uplink, events) = (Arc::clone(&link.uplink), self.events.clone());
                self.traffic.spawn(pull_state(uplink, events));
                return;
            }
        }
    }

    fn restore_peer_state(&mut self, state: Bytes) {
        let Ok(state) = State::decode(state) else {
            log::warn!("failed to decode the configuration snapshot of a side");
            return;
        };
        if state.as_of <= self.reader.fold().as_of() {
            return;
        }
        match self.reader.restore(state) {
            Ok(()) => {
                self.source = ConfigSource::Peer;
                self.recent_records.clear();
                let as_of = self.reader.fold().as_of();
                log::info!(as_of; "restored the configuration from a side");
                self.next_offset.send_replace(self.reader.next_offset());
                self.publish();
            }
            Err(error) => {
                log::warn!(error:% = error; "failed to restore the configuration from a side")
            }
        }
    }

    fn open_link(&mut self, address: SocketAddr) {
        let uplink = Uplink::open(&self.traffic, address, self.setup.clone());
        self.links.insert(address, SideLink { uplink, last_push: (0, 0) });
    }

    fn push_config(&mut self) {
        let fold = self.reader.fold();
        let as_of = fold.as_of();
        for link in self.links.values_mut() {
            let state = link.uplink.state();
            let side_offset = state.status.config_offset;
            let target = (state.generation, as_of);
            if !state.connected || side_offset >= as_of || link.last_push == target {
                continue;
            }
            if link.uplink.try_send(0, config_update(fold, &self.recent_records, side_offset)) {
                link.last_push = target;
            }
        }
    }

    fn publish(&mut self) {
        let fold = self.reader.fold().clone();
        let last = self.view.load();
        let unchanged = last.fold.as_of() == fold.as_of() && fold.as_of() > 0;
        let (config, problems) = if unchanged {
            (Arc::clone(&last.config), Arc::clone(&last.problems))
        } else {
            let files = fold.files().map(|f| (f.name.as_str(), f.content.as_ref()));
            let compiled = compile(files);
            for problem in &compiled.problems {
                log::warn!(problem:% = problem; "skipped an invalid configuration item");
            }
            (Arc::new(compiled.config), Arc::new(compiled.problems))
        };
        let services = config.services().map(|s| s.name.clone()).collect::<Vec<_>>();
        let services = services
            .into_iter()
            .map(|name| {
                let view = self.service_view(&config, &fold, &name);
                (name, view)
            })
            .collect();
        self.drop_unused_links(&services);
        let view = View {
            config,
            problems,
            history: if unchanged {
                Arc::clone(&last.history)
            } else {
                Arc::new(self.history.clone())
            },
            fold: Arc::new(fold),
            source: self.source,
            progress: Some(self.reader.progress()),
            log_read_at_ms: self.log_read_at_ms,
            list_read_at_ms: self.list_read_at_ms,
            services,
        };
        self.view.store(Arc::new(view));
        self.published.send_replace(());
    }

    fn service_view(
        &mut self,
        config: &currantlink_core::config::Config,
        fold: &Fold,
        name: &str,
    ) -> ServiceView {
        let backends = config.service_by_name(name).map(|(_, s)| s.backends.clone());
        let backends: Vec<_> =
            backends.unwrap_or_default().into_iter().filter_map(|k| config.backend(k)).collect();
        let options: Vec<LinkCandidate<'_>> = backends
            .iter()
            .enumerate()
            .map(|(index, r)| LinkCandidate {
                backend: BackendKey(index as u32),
                name: &r.name,
                local: r.failure_domain == self.settings.failure_domain(),
            })
            .collect();
        let size = self.settings.subset_size();
        let picked = subset::pick(self.settings.name(), &options, size);
        let mut targets = Vec::new();
        for (index, backend) in backends.iter().enumerate() {
            let wanted = picked.contains(&BackendKey(index as u32));
            if wanted || self.extra_backends.contains(&backend.name) {
                targets.push(self.target(backend, fold));
            }
        }
        let percent = self.settings.retry_percent();
        let state = self
            .service_states
            .entry(name.to_owned())
            .or_insert_with(|| Arc::new(ServiceState::new(percent)));
        ServiceView { targets: Arc::new(targets), state: Arc::clone(state) }
    }

    fn target(&mut self, backend: &currantlink_core::config::Backend, fold: &Fold) -> Target {
        if !self.links.contains_key(&backend.side_address) {
            self.open_link(backend.side_address);
        }
        let (key, _) = self.backend_keys.insert_full(backend.name.clone());
        let local = backend.failure_domain == self.settings.failure_domain();
        Target {
            key: BackendKey(key as u32),
            name: backend.name.clone(),
            failure_domain: backend.failure_domain.clone(),
            uplink: Arc::clone(&self.links[&backend.side_address].uplink),
            leaving: self.leaving.contains(&backend.name) || fold.is_drained(&backend.name),
            one_way_us: if local { LOCAL_ONE_WAY_US } else { REMOTE_ONE_WAY_US },
        }
    }

    fn drop_unused_links(&mut self, services: &IndexMap<String, ServiceView>) {
        if self.reader.fold().as_of() == 0 {
            return;
        }
        let used: IndexSet<SocketAddr> =
            services.values().flat_map(|s| s.targets.iter().map(|t| t.uplink.address)).collect();
        self.links.retain(|address, link| {
            let keep = used.contains(address);
            if !keep {
                link.uplink.close();
            }
            keep
        });
    }
}

/// Returns a random id for a new record.
pub fn new_record_id() -> Bytes {
    Bytes::copy_from_slice(&rand::random::<[u8; 16]>())
}

fn drop_oldest<T>(list: &mut Vec<T>, max: usize) {
    let excess = list.len().saturating_sub(max);
    list.drain(..excess);
}

/// Returns the records after `side_offset`, or the complete state if not all of them are retained.
fn config_update(fold: &Fold, recent_records: &[RawRecord], side_offset: u64) -> to_side::Body {
    let missing = recent_records.iter().filter(|r| r.offset > side_offset);
    let first = missing.clone().next().map(|r| r.offset);
    if first != Some(side_offset + 1) {
        let state = Bytes::from(State::from(fold).encode_to_vec());
        return to_side::Body::ConfigState(ConfigState { state, stream: 0 });
    }
    let records = missing
        .map(|r| LogRecord { offset: r.offset, payload: Bytes::copy_from_slice(&r.payload) })
        .collect();
    to_side::Body::ConfigRecords(ConfigRecords { records })
}

async fn pull_state(uplink: Arc<Uplink>, events: mpsc::Sender<ControlEvent>) {
    let mut stream = uplink.open_stream();
    let body = to_side::Body::ConfigPull(ConfigPull { stream: stream.id });
    if !uplink.send(0, body).await {
        return;
    }
    let response = tokio::time::timeout(PULL_TIMEOUT, stream.next()).await;
    if let Ok(StreamEvent::Message(to_entry::Body::ConfigState(state))) = response {
        // The send fails only when the process ends.
        let _ = events.send(ControlEvent::PeerState(state.state)).await;
    }
}

async fn poll_log(
    log: PlatformClient,
    interval: Duration,
    mut next_offset: watch::Receiver<u64>,
    events: mpsc::Sender<ControlEvent>,
) {
    loop {
        let from = *next_offset.borrow_and_update();
        let page = log.read(from).await;
        let more = page.as_ref().is_ok_and(|p| !p.records.is_empty());
        if events.send(ControlEvent::Page(from, page)).await.is_err() {
            return;
        }
        // Read the next page at once if this page had records and advances the offset.
        let moved = async { more && next_offset.changed().await.is_ok() };
        let moved = tokio::time::timeout(interval, moved).await.unwrap_or(false);
        if !moved {
            tokio::time::sleep(interval).await;
        }
    }
}

async fn poll_list(list: PlatformClient, interval: Duration, events: mpsc::Sender<ControlEvent>) {
    loop {
        let instances = list.instances().await;
        if events.send(ControlEvent::List(instances)).await.is_err() {
            return;
        }
        tokio::time::sleep(interval).await;
    }
}
