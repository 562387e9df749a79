//! The side's control thread: feeds the gate and carries out its commands.

use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use bytes::Bytes;
use currantlink_core::config::{Config, compile};
use currantlink_core::fold::Fold;
use currantlink_core::gate::{CallQuery, CallStatus, Command, Gate, LinkId, Submission};
use currantlink_core::ids::{CallKey, RequestId, WorkspaceName};
use currantlink_core::ticket::{Ticket, TicketError, Unverified};
use currantlink_wire::config::State;
use currantlink_wire::link::{
    CallRef, CallRefused, Mint, Minted, Query, RefusalReason, Refused, SideStatus, Submit, ToEntry,
    to_entry,
};
use derive_more::Display;
use indexmap::{IndexMap, IndexSet};
use prost::Message;
use tokio::runtime::Handle;
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

use crate::backend::BackendClient;
use crate::clock;
use crate::recording::{Recording, ResponsePart};
use crate::wiring;

const TICK: Duration = Duration::from_millis(20);
const UNLIMITED: usize = usize::MAX;

/// Sender of messages to one link.
pub type Outbox = mpsc::Sender<ToEntry>;

/// Why a backend leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
pub enum Reason {
    /// This process was asked to stop.
    #[display("stop")]
    Stop,
    /// The platform's list says that the instance leaves.
    #[display("list")]
    List,
    /// An operator took it out of service.
    #[display("operator")]
    Operator,
}

/// What reaches the control thread.
#[derive(Debug)]
pub enum Event {
    /// A link was opened.
    Opened(LinkId, Outbox),
    /// A link is gone.
    Lost(LinkId),
    /// A call is handed over.
    Submit(LinkId, Outbox, Box<Submit>),
    /// A call is asked about.
    Query(LinkId, Outbox, CallRef, Box<Query>),
    /// A call is given up or forgotten.
    Cancel(CallRef),
    /// A ticket is wanted.
    Mint(Outbox, Mint),
    /// A running call has ended.
    Finished(CallKey, Duration),
    /// The backend is to leave for a reason, or that reason is gone.
    Drain(Reason, bool),
    /// Log records, in order.
    Records(Vec<(u64, Bytes)>),
    /// A whole configuration.
    State(Bytes),
    /// The whole configuration is wanted.
    Pull(Outbox, u64),
    /// The engine reported adapters and its map.
    Engine(Vec<String>, u64),
}

/// State that traffic threads and the status page read.
#[derive(Debug, Default)]
pub struct SideView {
    /// Status as sent to entries.
    pub status: SideStatus,
    /// Configuration in force.
    pub config: Arc<Config>,
    /// Answers that are kept.
    pub remembered: usize,
}

/// What the control thread is given at its start.
pub struct Setup {
    /// The gate.
    pub gate: Gate,
    /// Name of the backend.
    pub backend: String,
    /// Calls that the back end runs at a time.
    pub capacity: u32,
    /// Bound of one kept answer.
    pub max_answer_bytes: usize,
    /// Client of the back end.
    pub client: BackendClient,
    /// Runtime of the traffic threads.
    pub traffic: Handle,
    /// Where the state is published.
    pub view: Arc<ArcSwap<SideView>>,
    /// Says that a draining side has nothing left to do.
    pub idle: watch::Sender<bool>,
}

struct Job {
    submit: Option<Box<Submit>>,
    recording: Arc<Recording>,
    cancel: CancellationToken,
}

/// Owner of the control state.
pub struct Gatekeeper {
    setup: Setup,
    events: mpsc::Sender<Event>,
    jobs: IndexMap<CallKey, Job>,
    links: IndexMap<LinkId, Outbox>,
    fold: Fold,
    config: Arc<Config>,
    adapters: Vec<String>,
    map_version: u64,
    reasons: IndexSet<Reason>,
}

impl Gatekeeper {
    /// Creates the owner; `events` leads back to its own queue.
    pub fn new(setup: Setup, events: mpsc::Sender<Event>) -> Self {
        Self {
            setup,
            events,
            jobs: IndexMap::new(),
            links: IndexMap::new(),
            fold: Fold::default(),
            config: Arc::default(),
            adapters: Vec::new(),
            map_version: 0,
            reasons: IndexSet::new(),
        }
    }

    /// Serves events until all senders are gone.
    pub async fn run(mut self, mut queue: mpsc::Receiver<Event>) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        self.publish();
        loop {
            tokio::select! {
                event = queue.recv() => match event {
                    Some(event) => self.handle(event),
                    None => return,
                },
                _ = ticks.tick() => self.tick(),
            }
        }
    }

    fn tick(&mut self) {
        let now_ms = clock::now_ms();
        let commands = self.setup.gate.tick(now_ms);
        self.obey(commands);
        self.publish();
        self.setup.idle.send_if_modified(|idle| {
            let stoppable = self.setup.gate.can_stop(now_ms);
            std::mem::replace(idle, stoppable) != stoppable
        });
    }

    fn handle(&mut self, event: Event) {
        let now_ms = clock::now_ms();
        match event {
            Event::Opened(link, outbox) => self.open(link, outbox),
            Event::Lost(link) => {
                self.links.swap_remove(&link);
                self.setup.gate.link_lost(now_ms, link);
            }
            Event::Submit(link, outbox, submit) => self.submit(now_ms, link, &outbox, submit),
            Event::Query(link, outbox, call, query) => {
                self.query(now_ms, link, outbox, &call, &query);
            }
            Event::Cancel(call) => self.cancel(now_ms, &call),
            Event::Mint(outbox, mint) => self.mint(now_ms, &outbox, mint),
            Event::Finished(key, time) => {
                let commands = self.setup.gate.finished(now_ms, &key, time.as_micros() as u64);
                self.obey(commands);
            }
            Event::Drain(reason, drained) => self.drain(now_ms, reason, drained),
            Event::Records(records) => self.fold_records(records),
            Event::State(state) => self.restore(&state),
            Event::Pull(outbox, stream) => self.pull(&outbox, stream),
            Event::Engine(adapters, map_version) => {
                if (&self.adapters, self.map_version) != (&adapters, map_version) {
                    self.adapters = adapters;
                    self.map_version = map_version;
                    self.broadcast_status();
                }
            }
        }
    }

    fn open(&mut self, link: LinkId, outbox: Outbox) {
        self.setup.gate.link_opened(link);
        send(&outbox, to_entry::Body::Status(self.status()));
        self.links.retain(|old, _| old.entry != link.entry);
        self.links.insert(link, outbox);
    }

    fn submit(&mut self, now_ms: u64, link: LinkId, outbox: &Outbox, submit: Box<Submit>) {
        let Some(call) = submit.call.clone() else {
            return;
        };
        let Some(offer) = self.offer(link, &call, &submit) else {
            return refuse(outbox, call, RefusalReason::RefusalMalformed);
        };
        let key = offer.key.clone();
        let commands = self.setup.gate.submit(now_ms, offer);
        let known = self.jobs.contains_key(&key);
        let kept = |c: &Command| matches!(c, Command::Start(k) | Command::Enqueue(k) if *k == key);
        if !known && commands.iter().any(kept) {
            let recording = Recording::new(self.setup.max_answer_bytes);
            let job = Job { submit: Some(submit), recording, cancel: CancellationToken::new() };
            self.jobs.insert(key.clone(), job);
        }
        for command in &commands {
            match command {
                Command::Refuse(k, refused) if *k == key => {
                    let refused = Some(wiring::refused(*refused));
                    let body = CallRefused { call: Some(call.clone()), refused };
                    send(outbox, to_entry::Body::Refused(body));
                }
                Command::OutcomeUnknown(..) => {
                    refuse(outbox, call.clone(), RefusalReason::RefusalCannotTell);
                }
                Command::Attach(_) | Command::Start(_) | Command::Enqueue(_) => {}
                Command::Refuse(..) | Command::Cancel(_) | Command::Evict(_) => {}
            }
        }
        if self.jobs.contains_key(&key) {
            self.follow(&key, &call, 0, outbox.clone());
        }
        self.log_admission(&key, &commands);
        self.obey(commands);
    }

    fn log_admission(&self, key: &CallKey, commands: &[Command]) {
        let decision = match commands {
            [Command::Start(_)] => "start",
            [Command::Attach(_)] => "attach",
            [Command::Refuse(_, refused)] => return log_refusal(key, refused.reason),
            [Command::OutcomeUnknown(..)] => "cannot-tell",
            _ => "queue",
        };
        let gate = &self.setup.gate;
        log::debug!(
            target: "admission",
            request:% = key.request, workspace:% = key.workspace, attempt = key.attempt, decision,
            running = gate.running(), queued = gate.queued();
            "admission"
        );
    }

    fn offer(&self, link: LinkId, call: &CallRef, submit: &Submit) -> Option<Submission> {
        let key = wiring::call_key(call).ok()?;
        let ticket = parse_ticket(&submit.ticket).ok()?;
        if ticket.is_none() && !submit.idempotent {
            return None;
        }
        let workspace = self.config.workspace_by_name(&call.workspace);
        Some(Submission {
            key,
            link,
            service: submit.service.clone(),
            remaining_ms: submit.remaining_ms,
            priority: submit.priority,
            weight: workspace.map_or(1, |w| w.weight),
            workspace_limit: workspace.map_or(UNLIMITED, |w| w.max_in_flight),
            work_tokens: submit.work_tokens.max(1),
            ticket,
        })
    }

    fn query(&mut self, now_ms: u64, link: LinkId, outbox: Outbox, call: &CallRef, query: &Query) {
        let (Ok(key), Ok(ticket)) = (wiring::call_key(call), parse_ticket(&query.ticket)) else {
            return refuse(&outbox, call.clone(), RefusalReason::RefusalMalformed);
        };
        let asked = CallQuery { key: key.clone(), service: query.service.clone(), ticket };
        let known = self.setup.gate.query(now_ms, asked, link);
        log::info!(
            target: "recovery", request:% = key.request, attempt = key.attempt, known:? = known;
            "call asked about"
        );
        match known {
            CallStatus::Live | CallStatus::Done if self.jobs.contains_key(&key) => {
                self.follow(&key, call, query.resume_seq, outbox);
            }
            CallStatus::NotRun => refuse(&outbox, call.clone(), RefusalReason::RefusalTombstoned),
            _ => refuse(&outbox, call.clone(), RefusalReason::RefusalCannotTell),
        }
    }

    fn cancel(&mut self, now_ms: u64, call: &CallRef) {
        if let Ok(key) = wiring::call_key(call) {
            let commands = self.setup.gate.cancel(now_ms, &key);
            self.obey(commands);
        }
    }

    fn mint(&mut self, now_ms: u64, outbox: &Outbox, mint: Mint) {
        let workspace = WorkspaceName::from(mint.workspace.as_str());
        let Ok(request) = RequestId::try_from(mint.request_id.as_ref()) else {
            return;
        };
        let minted = self.setup.gate.mint(now_ms, &workspace, &mint.service, request);
        let (ticket, refused) = match minted {
            Ok(ticket) => (ticket.to_bytes().into(), None),
            Err(refused) => (Bytes::new(), Some(wiring::refused(refused))),
        };
        let (request_id, stream) = (mint.request_id, mint.stream);
        let body = Minted { request_id, ticket, refused, stream };
        send(outbox, to_entry::Body::Minted(body));
    }

    fn drain(&mut self, now_ms: u64, reason: Reason, drained: bool) {
        let changed = match drained {
            true => self.reasons.insert(reason),
            false => self.reasons.swap_remove(&reason),
        };
        if !changed {
            return;
        }
        log::info!(
            backend = self.setup.backend.as_str(), reason:% = reason, drained; "drain changed"
        );
        self.setup.gate.set_draining(now_ms, !self.reasons.is_empty());
        self.publish();
        self.broadcast_status();
    }

    fn broadcast_status(&self) {
        let status = self.status();
        for outbox in self.links.values() {
            send(outbox, to_entry::Body::Status(status.clone()));
        }
    }

    fn follow(&self, key: &CallKey, call: &CallRef, resume: u64, outbox: Outbox) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let recording = Arc::clone(&job.recording);
        let following = recording.follow(key.clone(), call.stream, resume as usize, outbox);
        self.setup.traffic.spawn(following);
    }

    fn obey(&mut self, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Start(key) => self.start(key),
                Command::Refuse(key, refused) => {
                    if let Some(job) = self.jobs.swap_remove(&key) {
                        job.recording.push(ResponsePart::Refused(wiring::refused(refused)));
                    }
                }
                Command::Cancel(key) => {
                    if let Some(job) = self.jobs.get(&key) {
                        job.cancel.cancel();
                    }
                }
                Command::Evict(key) => {
                    self.jobs.swap_remove(&key);
                }
                Command::Enqueue(_) | Command::Attach(_) | Command::OutcomeUnknown(..) => {}
            }
        }
    }

    fn start(&mut self, key: CallKey) {
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        let Some(mut submit) = job.submit.take() else {
            return;
        };
        if self.adapters.contains(&submit.adapter) {
            submit.adapter.clear();
        } else if !submit.adapter.is_empty() {
            log::info!(
                target: "placement", adapter = submit.adapter.as_str(), request:% = key.request;
                "adapter loads"
            );
        }
        let (recording, cancel) = (Arc::clone(&job.recording), job.cancel.clone());
        let (client, events) = (self.setup.client.clone(), self.events.clone());
        let limit = Duration::from_millis(submit.remaining_ms);
        self.setup.traffic.spawn(async move {
            let started = Instant::now();
            client.run(&submit, &recording, limit, cancel).await;
            // The queue outlives all calls, so this fails only while the process ends.
            let _ = events.send(Event::Finished(key, started.elapsed())).await;
        });
    }

    fn fold_records(&mut self, records: Vec<(u64, Bytes)>) {
        let before = self.fold.as_of();
        for (offset, payload) in records {
            if let Err(error) = self.fold.apply(offset, &payload) {
                log::warn!(offset, error:% = error; "configuration record not folded");
                break;
            }
        }
        if self.fold.as_of() != before {
            self.configure();
        }
    }

    fn restore(&mut self, state: &Bytes) {
        match State::decode(state.clone()).map(|state| self.fold.restore(state)) {
            Ok(Ok(())) => self.configure(),
            Ok(Err(error)) => log::info!(error:% = error; "configuration state not taken"),
            Err(error) => log::warn!(error:% = error; "configuration state does not decode"),
        }
    }

    fn configure(&mut self) {
        let files = self.fold.files().map(|f| (f.name.as_str(), f.content.as_ref()));
        self.config = Arc::new(compile(files).config);
        log::info!(as_of = self.fold.as_of(); "configuration in force");
        let drained = self.fold.is_drained(&self.setup.backend);
        self.drain(clock::now_ms(), Reason::Operator, drained);
        self.publish();
        self.broadcast_status();
    }

    fn pull(&self, outbox: &Outbox, stream: u64) {
        let state = Bytes::from(State::from(&self.fold).encode_to_vec());
        let body = currantlink_wire::link::ConfigState { state, stream };
        send(outbox, to_entry::Body::ConfigState(body));
    }

    fn status(&self) -> SideStatus {
        let gate = &self.setup.gate;
        SideStatus {
            backend: self.setup.backend.clone(),
            incarnation: gate.incarnation().0,
            draining: gate.is_draining(),
            queued: gate.queued() as u32,
            running: gate.running() as u32,
            capacity: self.setup.capacity,
            work_tokens: gate.work_tokens(),
            config_offset: self.fold.as_of(),
            adapters: self.adapters.clone(),
            map_version: self.map_version,
            us_per_token: gate.us_per_token(),
        }
    }

    fn publish(&self) {
        let view = SideView {
            status: self.status(),
            config: Arc::clone(&self.config),
            remembered: self.setup.gate.retained(),
        };
        self.setup.view.store(Arc::new(view));
    }
}

fn parse_ticket(bytes: &[u8]) -> Result<Option<Ticket<Unverified>>, TicketError> {
    if bytes.is_empty() { Ok(None) } else { Ticket::try_from(bytes).map(Some) }
}

fn log_refusal(key: &CallKey, reason: currantlink_core::gate::Refusal) {
    log::info!(
        target: "admission",
        request:% = key.request, workspace:% = key.workspace, attempt = key.attempt,
        decision = "refuse", reason:% = reason;
        "admission"
    );
}

fn refuse(outbox: &Outbox, call: CallRef, reason: RefusalReason) {
    let refused = Refused { reason: reason.into(), retry_after_ms: 0 };
    let body = CallRefused { call: Some(call), refused: Some(refused) };
    send(outbox, to_entry::Body::Refused(body));
}

/// Sends where the link has room. A link that is full is not read by its entry, which will lose it
/// and ask again over a new one.
fn send(outbox: &Outbox, body: to_entry::Body) {
    if outbox.try_send(wiring::to_entry(body)).is_err() {
        log::debug!("message dropped: link full or closed");
    }
}
