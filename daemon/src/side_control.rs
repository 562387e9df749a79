//! Control thread of a side: passes events to the gate and executes the gate's commands.

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
use crate::conversions;
use crate::recording::{Recording, ResponsePart};

const TICK_INTERVAL: Duration = Duration::from_millis(20);
const UNLIMITED: usize = usize::MAX;

/// Sender of the message queue of one link.
pub type Outbox = mpsc::Sender<ToEntry>;

/// Reason for draining the backend. The backend drains while at least one reason holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
pub enum DrainReason {
    /// The process received a stop signal.
    #[display("stop")]
    Stop,
    /// The platform's list reports the instance as leaving.
    #[display("list")]
    List,
    /// An operator set the backend to drained.
    #[display("operator")]
    Operator,
}

/// Event for the control thread.
#[derive(Debug)]
pub enum Event {
    /// An entry opened a link.
    LinkOpened(LinkId, Outbox),
    /// A link was closed or lost.
    LinkLost(LinkId),
    /// An entry submits a call.
    Submit(LinkId, Outbox, Box<Submit>),
    /// An entry queries the outcome of a call.
    Query(LinkId, Outbox, CallRef, Box<Query>),
    /// An entry cancels a call, or allows its response to be discarded.
    Cancel(CallRef),
    /// An entry requests a ticket.
    Mint(Outbox, Mint),
    /// A running call has ended after the given time.
    Finished(CallKey, Duration),
    /// The process received a stop signal and exits at the given time in any case.
    Stop(u64),
    /// A reason for draining now holds (`true`) or no longer holds (`false`).
    Drain(DrainReason, bool),
    /// Configuration records in log order, each with its offset.
    ConfigRecords(Vec<(u64, Bytes)>),
    /// Snapshot of the folded configuration.
    ConfigState(Bytes),
    /// An entry requests a snapshot of the configuration for the given stream.
    ConfigPull(Outbox, u64),
    /// The engine reported its adapters and the version of its map.
    EngineReport(Vec<String>, u64),
}

/// State published for traffic threads and the HTTP server.
#[derive(Debug, Default)]
pub struct SideView {
    /// Status that is sent to entries.
    pub status: SideStatus,
    /// Current configuration.
    pub config: Arc<Config>,
    /// Number of calls retained by the gate, including tombstones.
    pub retained: usize,
}

/// Dependencies and limits of the control thread.
pub struct ControlSetup {
    /// Admission control of the backend.
    pub gate: Gate,
    /// Name of the backend.
    pub backend: String,
    /// Maximum number of calls that run at the same time.
    pub capacity: u32,
    /// Maximum size of one recorded response.
    pub max_response_bytes: usize,
    /// Client of the backend server.
    pub client: BackendClient,
    /// Runtime of the traffic threads.
    pub traffic: Handle,
    /// Receives the published state.
    pub view: Arc<ArcSwap<SideView>>,
    /// Signals that the process is stopping and its gate is closed.
    pub closed: watch::Sender<bool>,
}

struct Job {
    submit: Option<Box<Submit>>,
    recording: Arc<Recording>,
    cancel: CancellationToken,
    deadline_ms: u64,
}

/// Control state of a side, owned by the control thread.
pub struct SideControl {
    setup: ControlSetup,
    events: mpsc::Sender<Event>,
    jobs: IndexMap<CallKey, Job>,
    links: IndexMap<LinkId, Outbox>,
    fold: Fold,
    config: Arc<Config>,
    adapters: Vec<String>,
    map_version: u64,
    drain_reasons: IndexSet<DrainReason>,
}

impl SideControl {
    /// Creates the control state. `events` sends to the queue that is passed to `run`.
    pub fn new(setup: ControlSetup, events: mpsc::Sender<Event>) -> Self {
        Self {
            setup,
            events,
            jobs: IndexMap::new(),
            links: IndexMap::new(),
            fold: Fold::default(),
            config: Arc::default(),
            adapters: Vec::new(),
            map_version: 0,
            drain_reasons: IndexSet::new(),
        }
    }

    /// Handles events until all senders are dropped.
    pub async fn run(mut self, mut queue: mpsc::Receiver<Event>) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
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
        self.execute(commands);
        self.publish();
        if self.drain_reasons.contains(&DrainReason::Stop) {
            let is_closed = self.setup.gate.close_if_idle(now_ms);
            self.setup
                .closed
                .send_if_modified(|closed| std::mem::replace(closed, is_closed) != is_closed);
        }
    }

    fn handle(&mut self, event: Event) {
        let now_ms = clock::now_ms();
        match event {
            Event::LinkOpened(link, outbox) => self.open_link(link, outbox),
            Event::LinkLost(link) => {
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
                self.execute(commands);
            }
            Event::Stop(exit_at_ms) => {
                let commands = self.setup.gate.set_exit(now_ms, exit_at_ms);
                self.execute(commands);
                self.drain(now_ms, DrainReason::Stop, true);
            }
            Event::Drain(reason, drained) => self.drain(now_ms, reason, drained),
            Event::ConfigRecords(records) => self.apply_records(records),
            Event::ConfigState(state) => self.restore_config(&state),
            Event::ConfigPull(outbox, stream) => self.send_config(&outbox, stream),
            Event::EngineReport(adapters, map_version) => {
                if (&self.adapters, self.map_version) != (&adapters, map_version) {
                    self.adapters = adapters;
                    self.map_version = map_version;
                    self.broadcast_status();
                }
            }
        }
    }

    fn open_link(&mut self, link: LinkId, outbox: Outbox) {
        self.setup.gate.link_opened(link);
        send(&outbox, to_entry::Body::Status(self.status()));
        self.links.retain(|old, _| old.entry != link.entry);
        self.links.insert(link, outbox);
    }

    fn submit(&mut self, now_ms: u64, link: LinkId, outbox: &Outbox, submit: Box<Submit>) {
        let Some(call) = submit.call.clone() else {
            return;
        };
        let Some(submission) = self.submission(link, &call, &submit) else {
            return refuse(outbox, call, RefusalReason::RefusalMalformed);
        };
        let key = submission.key.clone();
        let commands = self.setup.gate.submit(now_ms, submission);
        let is_known = self.jobs.contains_key(&key);
        let is_admitted =
            |c: &Command| matches!(c, Command::Start(k) | Command::Enqueue(k) if *k == key);
        if !is_known && commands.iter().any(is_admitted) {
            let recording = Recording::new(self.setup.max_response_bytes);
            let job = Job {
                deadline_ms: now_ms.saturating_add(submit.remaining_ms),
                submit: Some(submit),
                recording,
                cancel: CancellationToken::new(),
            };
            self.jobs.insert(key.clone(), job);
        }
        for command in &commands {
            match command {
                Command::Refuse(k, refused) if *k == key => {
                    let refused = Some(conversions::refused_message(*refused));
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
            self.send_recording(&key, &call, 0, outbox.clone());
        }
        self.log_admission(&key, &commands);
        self.execute(commands);
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

    fn submission(&self, link: LinkId, call: &CallRef, submit: &Submit) -> Option<Submission> {
        let key = conversions::call_key(call).ok()?;
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
        let (Ok(key), Ok(ticket)) = (conversions::call_key(call), parse_ticket(&query.ticket))
        else {
            return refuse(&outbox, call.clone(), RefusalReason::RefusalMalformed);
        };
        let call_query = CallQuery { key: key.clone(), service: query.service.clone(), ticket };
        let status = self.setup.gate.query(now_ms, call_query, link);
        log::info!(
            target: "recovery", request:% = key.request, attempt = key.attempt, known:? = status;
            "call queried"
        );
        match status {
            CallStatus::InFlight | CallStatus::Done if self.jobs.contains_key(&key) => {
                self.send_recording(&key, call, query.resume_seq, outbox);
            }
            CallStatus::NotRun => refuse(&outbox, call.clone(), RefusalReason::RefusalTombstoned),
            _ => refuse(&outbox, call.clone(), RefusalReason::RefusalCannotTell),
        }
    }

    fn cancel(&mut self, now_ms: u64, call: &CallRef) {
        if let Ok(key) = conversions::call_key(call) {
            let commands = self.setup.gate.cancel(now_ms, &key);
            self.execute(commands);
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
            Err(refused) => (Bytes::new(), Some(conversions::refused_message(refused))),
        };
        let (request_id, stream) = (mint.request_id, mint.stream);
        let body = Minted { request_id, ticket, refused, stream };
        send(outbox, to_entry::Body::Minted(body));
    }

    fn drain(&mut self, now_ms: u64, reason: DrainReason, drained: bool) {
        let changed = match drained {
            true => self.drain_reasons.insert(reason),
            false => self.drain_reasons.swap_remove(&reason),
        };
        if !changed {
            return;
        }
        log::info!(
            backend = self.setup.backend.as_str(), reason:% = reason, drained;
            "drain reason changed"
        );
        self.setup.gate.set_draining(now_ms, !self.drain_reasons.is_empty());
        self.publish();
        self.broadcast_status();
    }

    fn broadcast_status(&self) {
        let status = self.status();
        for outbox in self.links.values() {
            send(outbox, to_entry::Body::Status(status.clone()));
        }
    }

    fn send_recording(&self, key: &CallKey, call: &CallRef, resume: u64, outbox: Outbox) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let recording = Arc::clone(&job.recording);
        let following = recording.follow(key.clone(), call.stream, resume as usize, outbox);
        self.setup.traffic.spawn(following);
    }

    fn execute(&mut self, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Start(key) => self.start(key),
                Command::Refuse(key, refused) => {
                    if let Some(job) = self.jobs.swap_remove(&key) {
                        job.recording
                            .push(ResponsePart::Refused(conversions::refused_message(refused)));
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
                "loading adapter"
            );
        }
        let (recording, cancel) = (Arc::clone(&job.recording), job.cancel.clone());
        let (client, events) = (self.setup.client.clone(), self.events.clone());
        let limit = Duration::from_millis(job.deadline_ms.saturating_sub(clock::now_ms()));
        self.setup.traffic.spawn(async move {
            let started = Instant::now();
            client.run(&submit, &recording, limit, cancel).await;
            // Sending fails only while the process exits, since the queue outlives all calls.
            let _ = events.send(Event::Finished(key, started.elapsed())).await;
        });
    }

    fn apply_records(&mut self, records: Vec<(u64, Bytes)>) {
        let previous_as_of = self.fold.as_of();
        for (offset, payload) in records {
            if let Err(error) = self.fold.apply(offset, &payload) {
                log::warn!(offset, error:% = error; "failed to apply a configuration record");
                break;
            }
        }
        if self.fold.as_of() != previous_as_of {
            self.apply_config();
        }
    }

    fn restore_config(&mut self, state: &Bytes) {
        match State::decode(state.clone()).map(|state| self.fold.restore(state)) {
            Ok(Ok(())) => self.apply_config(),
            Ok(Err(error)) => log::info!(error:% = error; "configuration snapshot rejected"),
            Err(error) => {
                log::warn!(error:% = error; "failed to decode the configuration snapshot of an entry")
            }
        }
    }

    fn apply_config(&mut self) {
        let files = self.fold.files().map(|f| (f.name.as_str(), f.content.as_ref()));
        self.config = Arc::new(compile(files).config);
        log::info!(as_of = self.fold.as_of(); "configuration applied");
        let drained = self.fold.is_drained(&self.setup.backend);
        self.drain(clock::now_ms(), DrainReason::Operator, drained);
        self.publish();
        self.broadcast_status();
    }

    fn send_config(&self, outbox: &Outbox, stream: u64) {
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
            retained: self.setup.gate.retained(),
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

/// Queues a message, or drops it if the queue of the link is full. A full queue means that the
/// entry does not read the link. The entry will lose the link, reconnect and query its calls again.
fn send(outbox: &Outbox, body: to_entry::Body) {
    if outbox.try_send(conversions::to_entry(body)).is_err() {
        log::debug!("message dropped: link queue full or closed");
    }
}
