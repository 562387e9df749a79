//! The entry's control thread: follows the log and the list, keeps links to the backends, and
//! publishes the state that traffic reads.

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
use crate::uplink::{Event as LinkEvent, LinkSetup, Uplink};
use crate::view::{ServiceState, ServiceView, Source, Target, View};

const PUSH_INTERVAL: Duration = Duration::from_millis(100);
const PULL_TIMEOUT: Duration = Duration::from_secs(1);
const SNAPSHOT_JITTER_MS: u64 = 60_000;
const HISTORY_RECORDS: usize = 512;
const RECENT_RECORDS: usize = 1_024;
const LOCAL_DISTANCE_US: u64 = 50;
const REMOTE_DISTANCE_US: u64 = 1_000;
const MAX_EXTRA_BACKENDS: usize = 256;

/// What reaches the control thread.
#[derive(Debug)]
pub enum Event {
    /// A page of the log was read from the given offset, or not.
    Page(u64, Result<Page, PlatformError>),
    /// The list was read, or not.
    List(Result<Vec<Instance>, PlatformError>),
    /// A peer gave its configuration.
    Peer(Bytes),
    /// Traffic needs a link to a backend outside of the subset.
    Link(String),
    /// A snapshot is to be appended unless a newer one was seen.
    Snapshot,
}

struct Link {
    uplink: Arc<Uplink>,
    /// Generation of the link and offset of the last push.
    pushed: (u64, u64),
}

/// Owner of the entry's control state.
pub struct Control {
    settings: Entry,
    setup: LinkSetup,
    traffic: Handle,
    events: mpsc::Sender<Event>,
    next_offset: watch::Sender<u64>,
    view: Arc<ArcSwap<View>>,
    published: watch::Sender<()>,
    log: PlatformClient,
    reader: Reader,
    history: Vec<FoldedRecord>,
    recent: Vec<RawRecord>,
    leaving: IndexSet<String>,
    listed: Vec<SocketAddr>,
    links: IndexMap<SocketAddr, Link>,
    keys: IndexSet<String>,
    extra: IndexSet<String>,
    states: IndexMap<String, Arc<ServiceState>>,
    source: Source,
    log_read_at_ms: Option<u64>,
    list_read_at_ms: Option<u64>,
    snapshot_planned: bool,
}

/// Handles that traffic and operators use.
#[derive(Clone)]
pub struct ControlHandle {
    /// Published state.
    pub view: Arc<ArcSwap<View>>,
    /// Says that a new state was published.
    pub published: watch::Receiver<()>,
    /// Queue of the control thread.
    pub events: mpsc::Sender<Event>,
}

const EVENT_QUEUE: usize = 256;

/// Starts the control thread of an entry.
///
/// # Errors
///
/// Fails where the thread cannot be started.
pub fn start(
    settings: Entry,
    setup: LinkSetup,
    traffic: Handle,
) -> Result<ControlHandle, crate::error::DaemonError> {
    let (events, queue) = mpsc::channel(EVENT_QUEUE);
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
            recent: Vec::new(),
            leaving: IndexSet::new(),
            listed: Vec::new(),
            links: IndexMap::new(),
            keys: IndexSet::new(),
            extra: IndexSet::new(),
            states: IndexMap::new(),
            source: Source::None,
            log_read_at_ms: None,
            list_read_at_ms: None,
            snapshot_planned: false,
            settings,
        };
        control.run(queue)
    })?;
    Ok(handle)
}

impl Control {
    async fn run(mut self, mut queue: mpsc::Receiver<Event>) {
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
                _ = pushes.tick() => self.push_all(),
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Page(from, Ok(page)) => self.take_page(from, &page),
            Event::Page(_, Err(error)) => {
                log::warn!(error:% = error; "log not read");
                self.ask_peers();
            }
            Event::List(Ok(instances)) => self.take_list(&instances),
            Event::List(Err(error)) => log::warn!(error:% = error; "list not read"),
            Event::Peer(state) => self.take_peer(state),
            Event::Link(backend) => {
                if self.extra.len() < MAX_EXTRA_BACKENDS && self.extra.insert(backend) {
                    self.publish();
                }
            }
            Event::Snapshot => self.append_snapshot(),
        }
    }

    fn take_page(&mut self, from: u64, page: &Page) {
        self.log_read_at_ms = Some(clock::now_ms());
        if from != self.reader.next_offset() {
            return;
        }
        let before = (self.reader.fold().as_of(), self.reader.progress());
        match self.reader.fold_page(page) {
            Ok(folded) => self.note(folded, page),
            Err(error) => log::error!(error:% = error; "log not folded"),
        }
        if self.reader.progress() == Progress::Starved && before.1 != Progress::Starved {
            log::error!(
                as_of = before.0, first_offset = page.first_offset;
                "log no longer holds what the configuration needs; asking peers"
            );
        }
        if self.reader.progress() == Progress::Starved {
            self.ask_peers();
        }
        if self.reader.fold().as_of() != before.0 {
            self.source = Source::Log;
            log::info!(as_of = self.reader.fold().as_of(); "configuration in force");
        }
        self.next_offset.send_replace(self.reader.next_offset());
        self.plan_snapshot();
        if (self.reader.fold().as_of(), self.reader.progress()) != before {
            self.publish();
        }
    }

    fn note(&mut self, folded: Vec<FoldedRecord>, page: &Page) {
        let as_of = self.reader.fold().as_of();
        self.recent.extend(page.records.iter().filter(|r| r.offset <= as_of).cloned());
        self.history.extend(folded);
        trim(&mut self.recent, RECENT_RECORDS);
        trim(&mut self.history, HISTORY_RECORDS);
    }

    fn plan_snapshot(&mut self) {
        let due = self.reader.fold().is_snapshot_due(self.settings.snapshot_every_records());
        if !due || self.snapshot_planned || self.reader.progress() != Progress::Following {
            return;
        }
        self.snapshot_planned = true;
        let delay = Duration::from_millis(rand::random_range(0..SNAPSHOT_JITTER_MS));
        let events = self.events.clone();
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            // The queue outlives this task unless the process ends.
            let _ = events.send(Event::Snapshot).await;
        });
    }

    fn append_snapshot(&mut self) {
        self.snapshot_planned = false;
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
                Err(error) => log::warn!(as_of, error:% = error; "snapshot not appended"),
            }
        });
    }

    fn take_list(&mut self, instances: &[Instance]) {
        self.list_read_at_ms = Some(clock::now_ms());
        let leaving = instances.iter().filter(|i| i.is_leaving()).map(|i| i.name.clone());
        let leaving: IndexSet<String> = leaving.collect();
        self.listed = instances.iter().filter_map(|i| i.address.parse().ok()).collect();
        if leaving != self.leaving {
            for name in leaving.difference(&self.leaving) {
                log::info!(backend = name.as_str(); "instance is leaving");
            }
            self.leaving = leaving;
        }
        self.publish();
    }

    /// Asks linked or listed sides for their configuration, while the log does not give it.
    fn ask_peers(&mut self) {
        let own = self.reader.fold().as_of();
        for address in self.listed.clone() {
            if own == 0 && !self.links.contains_key(&address) {
                self.open_link(address);
            }
        }
        for link in self.links.values() {
            let state = link.uplink.state();
            if state.connected && state.status.config_offset > own {
                let (uplink, events) = (Arc::clone(&link.uplink), self.events.clone());
                self.traffic.spawn(pull(uplink, events));
                return;
            }
        }
    }

    fn take_peer(&mut self, state: Bytes) {
        let Ok(state) = State::decode(state) else {
            log::warn!("peer's configuration does not decode");
            return;
        };
        if state.as_of <= self.reader.fold().as_of() {
            return;
        }
        match self.reader.restore(state) {
            Ok(()) => {
                self.source = Source::Peer;
                self.recent.clear();
                log::info!(as_of = self.reader.fold().as_of(); "configuration taken from a peer");
                self.next_offset.send_replace(self.reader.next_offset());
                self.publish();
            }
            Err(error) => log::warn!(error:% = error; "peer's configuration not taken"),
        }
    }

    fn open_link(&mut self, address: SocketAddr) {
        let uplink = Uplink::open(&self.traffic, address, self.setup.clone());
        self.links.insert(address, Link { uplink, pushed: (0, 0) });
    }

    fn push_all(&mut self) {
        let fold = self.reader.fold();
        let as_of = fold.as_of();
        for link in self.links.values_mut() {
            let state = link.uplink.state();
            let has = state.status.config_offset;
            let target = (state.generation, as_of);
            if !state.connected || has >= as_of || link.pushed == target {
                continue;
            }
            if link.uplink.try_send(0, update(fold, &self.recent, has)) {
                link.pushed = target;
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
                log::warn!(problem:% = problem; "configuration item left out");
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
            if wanted || self.extra.contains(&backend.name) {
                targets.push(self.target(backend, fold));
            }
        }
        let percent = self.settings.retry_percent();
        let state = self
            .states
            .entry(name.to_owned())
            .or_insert_with(|| Arc::new(ServiceState::new(percent)));
        ServiceView { targets: Arc::new(targets), state: Arc::clone(state) }
    }

    fn target(&mut self, backend: &currantlink_core::config::Backend, fold: &Fold) -> Target {
        if !self.links.contains_key(&backend.side_address) {
            self.open_link(backend.side_address);
        }
        let (key, _) = self.keys.insert_full(backend.name.clone());
        let local = backend.failure_domain == self.settings.failure_domain();
        Target {
            key: BackendKey(key as u32),
            name: backend.name.clone(),
            failure_domain: backend.failure_domain.clone(),
            uplink: Arc::clone(&self.links[&backend.side_address].uplink),
            leaving: self.leaving.contains(&backend.name) || fold.is_drained(&backend.name),
            distance_us: if local { LOCAL_DISTANCE_US } else { REMOTE_DISTANCE_US },
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

/// Returns random bytes for the id of a new record.
pub fn new_record_id() -> Bytes {
    Bytes::copy_from_slice(&rand::random::<[u8; 16]>())
}

fn trim<T>(list: &mut Vec<T>, max: usize) {
    let excess = list.len().saturating_sub(max);
    list.drain(..excess);
}

/// The records that a side at offset `has` lacks, or the whole state where they are not at hand.
fn update(fold: &Fold, recent: &[RawRecord], has: u64) -> to_side::Body {
    let lacking = recent.iter().filter(|r| r.offset > has);
    let first = lacking.clone().next().map(|r| r.offset);
    if first != Some(has + 1) {
        let state = Bytes::from(State::from(fold).encode_to_vec());
        return to_side::Body::ConfigState(ConfigState { state, stream: 0 });
    }
    let records = lacking
        .map(|r| LogRecord { offset: r.offset, payload: Bytes::copy_from_slice(&r.payload) })
        .collect();
    to_side::Body::ConfigRecords(ConfigRecords { records })
}

async fn pull(uplink: Arc<Uplink>, events: mpsc::Sender<Event>) {
    let mut stream = uplink.stream();
    let body = to_side::Body::ConfigPull(ConfigPull { stream: stream.id });
    if !uplink.send(0, body).await {
        return;
    }
    let answer = tokio::time::timeout(PULL_TIMEOUT, stream.next()).await;
    if let Ok(LinkEvent::Message(to_entry::Body::ConfigState(state))) = answer {
        // The queue outlives this task unless the process ends.
        let _ = events.send(Event::Peer(state.state)).await;
    }
}

async fn poll_log(
    log: PlatformClient,
    interval: Duration,
    mut next_offset: watch::Receiver<u64>,
    events: mpsc::Sender<Event>,
) {
    loop {
        let from = *next_offset.borrow_and_update();
        let page = log.read(from).await;
        let more = page.as_ref().is_ok_and(|p| !p.records.is_empty());
        if events.send(Event::Page(from, page)).await.is_err() {
            return;
        }
        // A page with records moves the offset; read on at once.
        let moved = async { more && next_offset.changed().await.is_ok() };
        let moved = tokio::time::timeout(interval, moved).await.unwrap_or(false);
        if !moved {
            tokio::time::sleep(interval).await;
        }
    }
}

async fn poll_list(list: PlatformClient, interval: Duration, events: mpsc::Sender<Event>) {
    loop {
        let instances = list.instances().await;
        if events.send(Event::List(instances)).await.is_err() {
            return;
        }
        tokio::time::sleep(interval).await;
    }
}
