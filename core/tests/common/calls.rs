//! Deterministic simulation of two entries, two sides and their links in virtual time, with fault
//! injection at chosen steps.

use std::collections::VecDeque;

use currantlink_core::attempt::{AttemptEnd, Attempts, NextAction, Outcome, RunPolicy};
use currantlink_core::exchange::{Exchange, Input, Output};
use currantlink_core::gate::{CallQuery, CallStatus, Command, Gate, Limits, LinkId, Submission};
use currantlink_core::ids::{CallKey, Incarnation, RequestId, WorkspaceName};
use currantlink_core::response::FrameKind;
use currantlink_core::ticket::{Minter, Ticket, Unverified};
use indexmap::IndexMap;

pub const SERVICE: &str = "registry-api";
const TICKET_TTL_MS: u64 = 60_000;
const DEADLINE_MS: u64 = 5_000;
/// Longer than the ticket lifetime and the retention time.
const PAUSE_MS: u64 = 150_000;
const DATA_FRAMES: u64 = 2;
const MAX_SUBMISSIONS: u32 = 3;
const MAX_STEPS: usize = 400;

/// Faults that can be injected at a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fault {
    /// The link of the step's message is closed, and its undelivered messages are lost.
    Cut,
    /// The link is closed for the entry, but its undelivered messages reach the side later.
    Silent,
    /// The step's message is delivered a second time later.
    Duplicate,
    /// The side is replaced by a new process of the same name.
    Restart,
    /// The side is suspended for a long time and then resumed.
    Pause,
    /// The entry crashes, and its callers resubmit to the other entry.
    EntryDeath,
    /// The side starts draining.
    Drain,
    /// A frame of another call arrives on the stream of the first caller.
    Cross,
    /// The back end fails the call.
    BackendFailure,
    /// The side becomes permanently unreachable.
    Unreachable,
}

pub const FAULTS: [Fault; 10] = [
    Fault::Cut,
    Fault::Silent,
    Fault::Duplicate,
    Fault::Restart,
    Fault::Pause,
    Fault::EntryDeath,
    Fault::Drain,
    Fault::Cross,
    Fault::BackendFailure,
    Fault::Unreachable,
];

/// A fault and the step at which it is injected.
pub type ScheduledFault = (usize, Fault);

#[derive(Clone, Debug)]
enum SideMessage {
    Mint { caller: usize, request: RequestId },
    Submit { caller: usize, key: CallKey, ticket: Option<Vec<u8>> },
    Query { caller: usize, key: CallKey, resume_seq: u64 },
    Cancel { key: CallKey },
}

#[derive(Clone, Debug)]
enum EntryMessage {
    Minted { caller: usize, ticket: Option<Vec<u8>> },
    Frame { caller: usize, key: CallKey, seq: u64, body: FrameBody },
    Refused { caller: usize, key: CallKey, end: AttemptEnd },
}

/// Content of a frame. Data identifies its workspace, request and position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FrameBody {
    Head,
    Data(String),
    End { frames: u64, bytes: u64 },
    Failed,
}

impl FrameBody {
    fn kind(&self) -> FrameKind {
        match self {
            FrameBody::Head => FrameKind::Head,
            FrameBody::Data(data) => FrameKind::Data(data.len() as u64),
            FrameBody::End { frames, bytes } => FrameKind::End { frames: *frames, bytes: *bytes },
            FrameBody::Failed => FrameKind::Failed,
        }
    }
}

struct Link {
    entry: usize,
    side: usize,
    generation: u64,
    incarnation: Incarnation,
    to_side: VecDeque<(Incarnation, SideMessage)>,
    to_entry: VecDeque<EntryMessage>,
}

struct Side {
    gate: Gate,
    process_number: u64,
    responses: IndexMap<CallKey, Vec<FrameBody>>,
    /// Call, link, caller and next sequence number of each stream to an entry.
    subscribers: Vec<(CallKey, usize, usize, u64)>,
    is_reachable: bool,
}

/// Result of a caller's call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerResult {
    Pending,
    Response(Vec<String>),
    Failed(Outcome),
}

struct Caller {
    workspace: WorkspaceName,
    run_policy: RunPolicy,
    request: RequestId,
    entry: usize,
    ticket: Option<Vec<u8>>,
    attempts: Attempts,
    exchange: Option<(usize, Exchange)>,
    data: Vec<String>,
    tried_sides: Vec<usize>,
    submissions: u32,
    result: CallerResult,
}

pub struct Simulation {
    now_ms: u64,
    sides: Vec<Side>,
    links: Vec<Link>,
    callers: Vec<Caller>,
    /// Frames not produced yet: side, process number, call and sequence number.
    pending_frames: VecDeque<(usize, u64, CallKey, u64)>,
    /// Messages delivered at the end: link, side, incarnation and message.
    delayed: Vec<(LinkId, usize, Incarnation, SideMessage)>,
    runs: IndexMap<(WorkspaceName, RequestId), u64>,
    generation: u64,
    /// Drained side and the time at which it started draining.
    drained_at_ms: Option<(usize, u64)>,
    starts_after_drain: u64,
}

pub fn limits() -> Limits {
    Limits {
        max_running: 4,
        max_queued: 8,
        max_retained: 64,
        retention_ms: TICKET_TTL_MS,
        orphan_ms: 5_000,
        us_per_token: 100,
    }
}

pub fn gate(side: usize, process_number: u64) -> Gate {
    let incarnation = Incarnation((side as u64 + 1) * 1_000 + process_number);
    let key = [(side as u8 + 1) * 16 + process_number as u8; 32];
    let minter = Minter::new(incarnation, format!("backend-{side}"), key, TICKET_TTL_MS);
    Gate::new(incarnation, minter, limits())
}

impl Side {
    fn new(side: usize) -> Self {
        Self {
            gate: gate(side, 1),
            process_number: 1,
            responses: IndexMap::new(),
            subscribers: Vec::new(),
            is_reachable: true,
        }
    }
}

impl Simulation {
    /// Creates a simulation with one concurrent caller per item of `policies`.
    pub fn new(policies: &[RunPolicy]) -> Self {
        let callers = policies.iter().enumerate().map(|(index, &run_policy)| Caller {
            workspace: WorkspaceName::from(format!("workspace-{index}").as_str()),
            run_policy,
            request: RequestId::from([index as u8 + 1; 16]),
            entry: 0,
            ticket: None,
            attempts: Attempts::new(run_policy, DEADLINE_MS),
            exchange: None,
            data: Vec::new(),
            tried_sides: Vec::new(),
            submissions: 0,
            result: CallerResult::Pending,
        });
        Self {
            now_ms: 0,
            sides: vec![Side::new(0), Side::new(1)],
            links: Vec::new(),
            callers: callers.collect(),
            pending_frames: VecDeque::new(),
            delayed: Vec::new(),
            runs: IndexMap::new(),
            generation: 0,
            drained_at_ms: None,
            starts_after_drain: 0,
        }
    }

    /// Runs until no event is left, with the given faults, and returns the number of steps. `order`
    /// selects the next event: it receives the number of possible events and returns an index,
    /// which is taken modulo that number.
    pub fn run(
        &mut self,
        faults: &[ScheduledFault],
        mut order: impl FnMut(usize) -> usize,
    ) -> usize {
        for caller in 0..self.callers.len() {
            self.start_call(caller);
        }
        let mut steps = 0;
        while steps < MAX_STEPS {
            let events = self.events();
            if events.is_empty() {
                break;
            }
            let event = events[order(events.len()) % events.len()];
            let faults: Vec<Fault> =
                faults.iter().filter(|(at, _)| *at == steps).map(|(_, f)| *f).collect();
            self.step(event, &faults);
            steps += 1;
        }
        self.deliver_delayed();
        steps
    }

    /// Returns the first violated invariant of the calls.
    pub fn violation(&self) -> Option<String> {
        for (index, caller) in self.callers.iter().enumerate() {
            let runs = self.run_count(caller);
            let expected = expected_data(&caller.workspace, &caller.request);
            if caller.run_policy == RunPolicy::Ticketed && runs > 1 {
                return Some(format!("caller {index}: ran {runs} times"));
            }
            if caller.result == CallerResult::Failed(Outcome::NotRun) && runs > 0 {
                return Some(format!("caller {index}: reported as not run, ran {runs} times"));
            }
            if let CallerResult::Response(data) = &caller.result
                && *data != expected
            {
                return Some(format!("caller {index}: response {data:?}, expected {expected:?}"));
            }
        }
        if self.starts_after_drain > 0 {
            return Some(format!("{} calls started long after the drain", self.starts_after_drain));
        }
        None
    }

    /// Returns the result of each caller.
    pub fn results(&self) -> Vec<CallerResult> {
        self.callers.iter().map(|c| c.result.clone()).collect()
    }

    fn run_count(&self, caller: &Caller) -> u64 {
        let id = (caller.workspace.clone(), caller.request);
        self.runs.get(&id).copied().unwrap_or(0)
    }

    fn start_call(&mut self, caller: usize) {
        let c = &self.callers[caller];
        match c.run_policy {
            RunPolicy::Idempotent => self.dispatch(caller),
            RunPolicy::Ticketed => {
                let request = c.request;
                let side = caller % 2;
                let link = self.link(c.entry, side);
                self.send_to_side(link, SideMessage::Mint { caller, request });
            }
        }
    }

    /// Dispatches a call to a side that was not tried yet, or to the side that minted its ticket.
    fn dispatch(&mut self, caller: usize) {
        let c = &self.callers[caller];
        let ticket = c.ticket.clone();
        let parsed = ticket.as_deref().and_then(|t| Ticket::<Unverified>::try_from(t).ok());
        let side = match &parsed {
            Some(ticket) => usize::from(ticket.backend() == "backend-1"),
            None => match (0..2).find(|s| !c.tried_sides.contains(s)) {
                Some(side) => side,
                None => return self.attempt_ended(caller, AttemptEnd::NoBackend),
            },
        };
        if !self.sides[side].is_reachable {
            self.callers[caller].tried_sides.push(side);
            return self.attempt_ended(caller, AttemptEnd::NotSent);
        }
        let c = &self.callers[caller];
        let (entry, attempt) = (c.entry, c.attempts.attempt_number());
        let link = self.link(entry, side);
        let incarnation = parsed.as_ref().map_or(self.links[link].incarnation, |t| t.incarnation());
        let now_ms = self.now_ms;
        let c = &mut self.callers[caller];
        c.tried_sides.push(side);
        c.data.clear();
        let key = CallKey { workspace: c.workspace.clone(), request: c.request, attempt };
        c.exchange = Some((link, Exchange::new(key.clone(), incarnation, c.run_policy, now_ms)));
        let submit = SideMessage::Submit { caller, key, ticket };
        self.links[link].to_side.push_back((incarnation, submit));
    }

    /// Returns the open link between an entry and a side, and opens one if there is none.
    fn link(&mut self, entry: usize, side: usize) -> usize {
        let open = self.links.iter().rposition(|l| l.entry == entry && l.side == side);
        match open {
            Some(link) if self.links[link].generation > 0 => link,
            _ => self.open(entry, side),
        }
    }

    fn open(&mut self, entry: usize, side: usize) -> usize {
        self.generation += 1;
        let generation = self.generation;
        let gate = &mut self.sides[side].gate;
        gate.link_opened(LinkId { entry: entry as u64, generation });
        let incarnation = gate.incarnation();
        let (to_side, to_entry) = (VecDeque::new(), VecDeque::new());
        self.links.push(Link { entry, side, generation, incarnation, to_side, to_entry });
        self.links.len() - 1
    }

    fn send_to_side(&mut self, link: usize, message: SideMessage) {
        let incarnation = self.links[link].incarnation;
        self.links[link].to_side.push_back((incarnation, message));
    }

    fn events(&self) -> Vec<Event> {
        let links = self.links.iter().enumerate();
        let to_side =
            links.clone().filter(|(_, l)| !l.to_side.is_empty()).map(|(i, _)| Event::ToSide(i));
        let to_entry =
            links.filter(|(_, l)| !l.to_entry.is_empty()).map(|(i, _)| Event::ToEntry(i));
        let produce = (!self.pending_frames.is_empty()).then_some(Event::ProduceFrame);
        to_side.chain(produce).chain(to_entry).collect()
    }

    fn step(&mut self, event: Event, faults: &[Fault]) {
        self.now_ms += 1;
        for &fault in faults {
            self.inject(event, fault);
        }
        match event {
            Event::ToSide(link) => {
                if let Some((incarnation, message)) = self.links[link].to_side.pop_front() {
                    self.deliver_to_side(link, incarnation, message);
                }
            }
            Event::ToEntry(link) => {
                if let Some(message) = self.links[link].to_entry.pop_front() {
                    self.deliver_to_entry(message);
                }
            }
            Event::ProduceFrame => self.produce_frame(),
        }
    }

    fn inject(&mut self, event: Event, fault: Fault) {
        let link = match event {
            Event::ToSide(link) | Event::ToEntry(link) => link,
            Event::ProduceFrame => 0,
        };
        let side = match event {
            Event::ProduceFrame => self.pending_frames.front().map_or(0, |p| p.0),
            _ => self.links[link].side,
        };
        match fault {
            Fault::Cut => self.close_link(link, false),
            Fault::Silent => self.close_link(link, true),
            Fault::Duplicate => self.duplicate(event),
            Fault::Restart => self.restart(side),
            Fault::Pause => self.pause(side),
            Fault::EntryDeath => self.kill_entry(self.links[link].entry),
            Fault::Drain => {
                let now_ms = self.now_ms;
                self.sides[side].gate.set_draining(now_ms, true);
                self.drained_at_ms = Some((side, now_ms));
            }
            Fault::Cross => self.inject_crossed_frame(),
            Fault::BackendFailure => self.inject_backend_failure(),
            Fault::Unreachable => {
                self.sides[side].is_reachable = false;
                for link in 0..self.links.len() {
                    if self.links[link].side == side {
                        self.close_link(link, true);
                    }
                }
            }
        }
    }

    /// After the pause, the side's timers run before it reads its links.
    fn pause(&mut self, side: usize) {
        self.now_ms += PAUSE_MS;
        let now_ms = self.now_ms;
        let commands = self.sides[side].gate.tick(now_ms);
        self.apply_commands(side, commands, None);
    }

    fn duplicate(&mut self, event: Event) {
        match event {
            Event::ToSide(link) => {
                if let Some((incarnation, message)) = self.links[link].to_side.front().cloned() {
                    let id = self.link_id(link);
                    self.delayed.push((id, self.links[link].side, incarnation, message));
                }
            }
            Event::ToEntry(link) => {
                if let Some(message) = self.links[link].to_entry.front().cloned() {
                    self.links[link].to_entry.push_back(message);
                }
            }
            Event::ProduceFrame => {}
        }
    }

    fn link_id(&self, link: usize) -> LinkId {
        let link = &self.links[link];
        LinkId { entry: link.entry as u64, generation: link.generation }
    }

    /// Closes a link. With `delayed`, its undelivered messages reach the side at the end.
    fn close_link(&mut self, link: usize, delayed: bool) {
        if self.links[link].generation == 0 {
            return;
        }
        let id = self.link_id(link);
        let side = self.links[link].side;
        let unread: Vec<_> = self.links[link].to_side.drain(..).collect();
        if delayed {
            let unread = unread.into_iter().map(|(i, m)| (id, side, i, m));
            self.delayed.extend(unread);
        }
        self.links[link].to_entry.clear();
        self.links[link].generation = 0;
        let now_ms = self.now_ms;
        self.sides[side].gate.link_lost(now_ms, id);
        let affected: Vec<usize> = (0..self.callers.len())
            .filter(|&c| matches!(&self.callers[c].exchange, Some((l, _)) if *l == link))
            .collect();
        for caller in affected {
            self.handle_input(caller, Input::LinkLost);
        }
        self.remint_tickets(link);
    }

    /// Requests new tickets for the callers of the link's entry that have none. Their calls were
    /// never dispatched.
    fn remint_tickets(&mut self, link: usize) {
        let without_ticket: Vec<usize> = (0..self.callers.len())
            .filter(|&c| {
                let c = &self.callers[c];
                c.run_policy == RunPolicy::Ticketed
                    && c.ticket.is_none()
                    && c.result == CallerResult::Pending
                    && c.entry == self.links[link].entry
            })
            .collect();
        for caller in without_ticket {
            let side = (caller + 1) % 2;
            if self.sides[side].is_reachable {
                let (entry, request) = (self.callers[caller].entry, self.callers[caller].request);
                let link = self.link(entry, side);
                self.send_to_side(link, SideMessage::Mint { caller, request });
            } else {
                self.callers[caller].result = CallerResult::Failed(Outcome::NotRun);
            }
        }
    }

    fn restart(&mut self, side: usize) {
        let process_number = self.sides[side].process_number + 1;
        self.pending_frames.retain(|p| p.0 != side);
        self.sides[side].gate = gate(side, process_number);
        self.sides[side].process_number = process_number;
        self.sides[side].responses.clear();
        self.sides[side].subscribers.clear();
        for link in 0..self.links.len() {
            if self.links[link].side == side {
                self.links[link].to_side.clear();
                self.close_link(link, false);
            }
        }
    }

    fn kill_entry(&mut self, entry: usize) {
        for link in 0..self.links.len() {
            if self.links[link].entry == entry {
                self.links[link].to_entry.clear();
                let id = self.link_id(link);
                let side = self.links[link].side;
                let unread: Vec<_> = self.links[link].to_side.drain(..).collect();
                self.delayed.extend(unread.into_iter().map(|(i, m)| (id, side, i, m)));
                self.links[link].generation = 0;
            }
        }
        for caller in 0..self.callers.len() {
            if self.callers[caller].entry == entry
                && self.callers[caller].result == CallerResult::Pending
            {
                self.resubmit(caller, Outcome::Unknown);
            }
        }
    }

    /// Resubmits a call to the other entry, with its ticket if it has one.
    fn resubmit(&mut self, caller: usize, outcome: Outcome) {
        let now_ms = self.now_ms;
        let c = &mut self.callers[caller];
        c.exchange = None;
        c.submissions += 1;
        c.data.clear();
        if c.submissions >= MAX_SUBMISSIONS || c.run_policy == RunPolicy::Idempotent {
            c.result = CallerResult::Failed(outcome);
            return;
        }
        c.entry = 1 - c.entry;
        c.tried_sides.clear();
        c.attempts = Attempts::new(c.run_policy, now_ms + DEADLINE_MS);
        if c.ticket.is_some() { self.dispatch(caller) } else { self.start_call(caller) }
    }

    fn inject_crossed_frame(&mut self) {
        let keys: Vec<CallKey> = self
            .callers
            .iter()
            .filter_map(|c| c.exchange.as_ref().map(|(_, e)| e.key().clone()))
            .collect();
        if let [_, second, ..] = keys.as_slice() {
            let data = expected_data(&second.workspace, &second.request);
            let body = FrameBody::Data(data[0].clone());
            self.deliver_to_entry(EntryMessage::Frame {
                caller: 0,
                key: second.clone(),
                seq: 1,
                body,
            });
        }
    }

    fn inject_backend_failure(&mut self) {
        if let Some((side, _, key, _)) = self.pending_frames.front().cloned() {
            self.pending_frames.retain(|p| p.2 != key);
            self.record(side, &key, FrameBody::Failed);
            self.finish(side, &key);
        }
    }

    fn deliver_to_side(&mut self, link: usize, incarnation: Incarnation, message: SideMessage) {
        let (id, side) = (self.link_id(link), self.links[link].side);
        self.handle_side_message(id, side, incarnation, message, Some(link));
    }

    fn handle_side_message(
        &mut self,
        id: LinkId,
        side: usize,
        incarnation: Incarnation,
        message: SideMessage,
        link: Option<usize>,
    ) {
        let now_ms = self.now_ms;
        let is_current_process = incarnation == self.sides[side].gate.incarnation();
        let reply = |simulation: &mut Self, to_entry: EntryMessage| {
            if let Some(link) = link {
                simulation.links[link].to_entry.push_back(to_entry);
            }
        };
        match message {
            SideMessage::Submit { caller, key, .. } | SideMessage::Query { caller, key, .. }
                if !is_current_process =>
            {
                let end = AttemptEnd::IncarnationLost;
                reply(self, EntryMessage::Refused { caller, key, end });
            }
            SideMessage::Mint { caller, request } => {
                let workspace = self.callers[caller].workspace.clone();
                let gate = &mut self.sides[side].gate;
                let minted = gate.mint(now_ms, &workspace, SERVICE, request);
                let ticket = minted.ok().map(|t| t.to_bytes());
                reply(self, EntryMessage::Minted { caller, ticket });
            }
            SideMessage::Submit { caller, key, ticket } => {
                let submission = submission(id, &key, ticket.as_deref());
                let commands = self.sides[side].gate.submit(now_ms, submission);
                self.apply_commands(side, commands, Some((caller, &key, link)));
            }
            SideMessage::Query { caller, key, resume_seq } => {
                let call_query = self.call_query(caller, &key);
                match self.sides[side].gate.query(now_ms, call_query, id) {
                    CallStatus::NotRun => {
                        let end = AttemptEnd::Tombstoned;
                        reply(self, EntryMessage::Refused { caller, key, end });
                    }
                    CallStatus::OutcomeUnknown => {
                        let end = AttemptEnd::OutcomeNotRetained;
                        reply(self, EntryMessage::Refused { caller, key, end });
                    }
                    CallStatus::InFlight | CallStatus::Done => {
                        self.send_response_from(side, &key, caller, link, resume_seq)
                    }
                }
            }
            SideMessage::Cancel { key } => {
                let commands = self.sides[side].gate.cancel(now_ms, &key);
                self.apply_commands(side, commands, None);
            }
        }
    }

    fn call_query(&self, caller: usize, key: &CallKey) -> CallQuery {
        let ticket = self.callers[caller].ticket.as_deref();
        let ticket = ticket.and_then(|t| Ticket::try_from(t).ok());
        CallQuery { key: key.clone(), service: SERVICE.to_owned(), ticket }
    }

    fn apply_commands(
        &mut self,
        side: usize,
        commands: Vec<Command>,
        requester: Option<(usize, &CallKey, Option<usize>)>,
    ) {
        for command in commands {
            match command {
                Command::Start(key) => self.start(side, key),
                Command::Refuse(key, refused) => {
                    let end = AttemptEnd::Refused {
                        reason: refused.reason,
                        retry_after_ms: refused.retry_after_ms,
                    };
                    self.refuse(requester, key, end);
                }
                Command::OutcomeUnknown(key, _) => {
                    self.refuse(requester, key, AttemptEnd::OutcomeNotRetained)
                }
                Command::Cancel(key) => {
                    self.pending_frames.retain(|p| p.2 != key);
                    self.record(side, &key, FrameBody::Failed);
                    self.finish(side, &key);
                }
                Command::Evict(key) => {
                    self.sides[side].responses.swap_remove(&key);
                }
                Command::Enqueue(_) | Command::Attach(_) => {}
            }
        }
        if let Some((caller, key, link)) = requester
            && self.sides[side].responses.contains_key(key)
        {
            self.send_response_from(side, key, caller, link, 0);
        }
    }

    fn refuse(
        &mut self,
        requester: Option<(usize, &CallKey, Option<usize>)>,
        key: CallKey,
        end: AttemptEnd,
    ) {
        if let Some((caller, requested, Some(link))) = requester
            && *requested == key
        {
            self.links[link].to_entry.push_back(EntryMessage::Refused { caller, key, end });
        }
    }

    fn start(&mut self, side: usize, key: CallKey) {
        if let Some((drained, at_ms)) = self.drained_at_ms {
            self.starts_after_drain += u64::from(drained == side && self.now_ms > at_ms + 3_000);
        }
        *self.runs.entry((key.workspace.clone(), key.request)).or_default() += 1;
        self.sides[side].responses.insert(key.clone(), Vec::new());
        let process_number = self.sides[side].process_number;
        for seq in 0..DATA_FRAMES + 2 {
            self.pending_frames.push_back((side, process_number, key.clone(), seq));
        }
    }

    fn produce_frame(&mut self) {
        let Some((side, _, key, seq)) = self.pending_frames.pop_front() else {
            return;
        };
        let data = expected_data(&key.workspace, &key.request);
        let bytes = data.iter().map(|d| d.len() as u64).sum();
        let body = match seq {
            0 => FrameBody::Head,
            s if s <= DATA_FRAMES => FrameBody::Data(data[s as usize - 1].clone()),
            frames => FrameBody::End { frames, bytes },
        };
        let last = matches!(body, FrameBody::End { .. });
        self.record(side, &key, body);
        if last {
            self.finish(side, &key);
        }
    }

    fn record(&mut self, side: usize, key: &CallKey, body: FrameBody) {
        if let Some(response) = self.sides[side].responses.get_mut(key) {
            response.push(body);
        }
        self.forward(side);
    }

    fn finish(&mut self, side: usize, key: &CallKey) {
        let now_ms = self.now_ms;
        let commands = self.sides[side].gate.finished(now_ms, key, 1_000);
        self.apply_commands(side, commands, None);
    }

    fn send_response_from(
        &mut self,
        side: usize,
        key: &CallKey,
        caller: usize,
        link: Option<usize>,
        resume_seq: u64,
    ) {
        if let Some(link) = link {
            self.sides[side].subscribers.push((key.clone(), link, caller, resume_seq));
            self.forward(side);
        }
    }

    fn forward(&mut self, side: usize) {
        let Side { responses, subscribers, .. } = &mut self.sides[side];
        for (key, link, caller, next) in subscribers {
            let Some(response) = responses.get(key) else { continue };
            while let Some(body) = response.get(*next as usize) {
                let (key, body) = (key.clone(), body.clone());
                if self.links[*link].generation > 0 {
                    let frame = EntryMessage::Frame { caller: *caller, key, seq: *next, body };
                    self.links[*link].to_entry.push_back(frame);
                }
                *next += 1;
            }
        }
    }

    fn deliver_to_entry(&mut self, message: EntryMessage) {
        match message {
            EntryMessage::Minted { caller, ticket } => self.minted(caller, ticket),
            EntryMessage::Refused { caller, key, end } => {
                if self.is_current(caller, &key) {
                    self.handle_input(caller, Input::Refused(end));
                }
            }
            EntryMessage::Frame { caller, key, seq, body } => {
                let kind = body.kind();
                if let FrameBody::Data(data) = &body {
                    self.callers[caller].data.push(data.clone());
                }
                let input = Input::Frame { key, seq, kind, may_have_run: true };
                self.handle_frame(caller, input, &body);
            }
        }
    }

    fn is_current(&self, caller: usize, key: &CallKey) -> bool {
        matches!(&self.callers[caller].exchange, Some((_, e)) if e.key() == key)
    }

    fn minted(&mut self, caller: usize, ticket: Option<Vec<u8>>) {
        let c = &mut self.callers[caller];
        if c.ticket.is_some() || c.result != CallerResult::Pending {
            return;
        }
        match ticket {
            Some(ticket) => {
                c.ticket = Some(ticket);
                self.dispatch(caller);
            }
            None => c.result = CallerResult::Failed(Outcome::NotRun),
        }
    }

    fn handle_frame(&mut self, caller: usize, input: Input, body: &FrameBody) {
        let now_ms = self.now_ms;
        let Some((_, exchange)) = &mut self.callers[caller].exchange else {
            self.discard_data(caller, body);
            return;
        };
        match exchange.handle(now_ms, input) {
            Output::Forward => {}
            Output::Complete => {
                let c = &mut self.callers[caller];
                c.result = CallerResult::Response(c.data.clone());
                if let Some((link, exchange)) = c.exchange.take()
                    && exchange.run_policy() == RunPolicy::Idempotent
                {
                    let key = exchange.key().clone();
                    let incarnation = exchange.incarnation();
                    self.links[link].to_side.push_back((incarnation, SideMessage::Cancel { key }));
                }
            }
            Output::Ended(end) => {
                self.discard_data(caller, body);
                self.attempt_ended(caller, end);
            }
            _ => self.discard_data(caller, body),
        }
    }

    fn discard_data(&mut self, caller: usize, body: &FrameBody) {
        if matches!(body, FrameBody::Data(_)) {
            self.callers[caller].data.pop();
        }
    }

    fn handle_input(&mut self, caller: usize, input: Input) {
        let now_ms = self.now_ms;
        let Some((link, exchange)) = &mut self.callers[caller].exchange else {
            return;
        };
        let link = *link;
        match exchange.handle(now_ms, input) {
            Output::AwaitLink { .. } => {
                let (entry, side) = (self.links[link].entry, self.links[link].side);
                let reopened = self.sides[side].is_reachable.then(|| self.link(entry, side));
                let incarnation = reopened.map(|l| self.links[l].incarnation);
                if let (Some(new), Some((current, _))) =
                    (reopened, &mut self.callers[caller].exchange)
                {
                    *current = new;
                }
                self.handle_input(caller, Input::LinkReopened(incarnation));
            }
            Output::Query { resume_seq } => {
                let key = exchange.key().clone();
                let incarnation = exchange.incarnation();
                let query = SideMessage::Query { caller, key, resume_seq };
                self.links[link].to_side.push_back((incarnation, query));
            }
            Output::Ended(end) => self.attempt_ended(caller, end),
            Output::Wait | Output::Forward | Output::Complete => {}
        }
    }

    fn attempt_ended(&mut self, caller: usize, end: AttemptEnd) {
        let now_ms = self.now_ms;
        let c = &mut self.callers[caller];
        let response_started = false;
        c.exchange = None;
        match c.attempts.attempt_ended(now_ms, end, response_started, || true) {
            NextAction::Retry => self.dispatch(caller),
            NextAction::GiveUp { outcome: Outcome::Unknown, .. } => {
                self.resubmit(caller, Outcome::Unknown);
            }
            NextAction::GiveUp { outcome, .. } => c.result = CallerResult::Failed(outcome),
        }
    }

    /// Delivers the delayed messages and runs the timers once more after a long pause.
    fn deliver_delayed(&mut self) {
        for (id, side, incarnation, message) in std::mem::take(&mut self.delayed) {
            self.now_ms += 1;
            self.handle_side_message(id, side, incarnation, message, None);
        }
        while !self.pending_frames.is_empty() {
            self.produce_frame();
        }
        self.now_ms += PAUSE_MS;
        for side in 0..self.sides.len() {
            let now_ms = self.now_ms;
            let commands = self.sides[side].gate.tick(now_ms);
            self.apply_commands(side, commands, None);
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    ToSide(usize),
    ToEntry(usize),
    ProduceFrame,
}

fn submission(link: LinkId, key: &CallKey, ticket: Option<&[u8]>) -> Submission {
    Submission {
        key: key.clone(),
        link,
        service: SERVICE.to_owned(),
        remaining_ms: DEADLINE_MS,
        priority: 1,
        weight: 1,
        workspace_limit: usize::MAX,
        work_tokens: 1,
        ticket: ticket.and_then(|t| Ticket::try_from(t).ok()),
    }
}

fn expected_data(workspace: &WorkspaceName, request: &RequestId) -> Vec<String> {
    (0..DATA_FRAMES).map(|n| format!("{workspace} {request} {n}")).collect()
}
