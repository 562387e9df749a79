//! Two entries, two sides and their links in virtual time, with one fault per step where asked.

use std::collections::VecDeque;

use currantlink_core::answer::Piece;
use currantlink_core::attempt::{Attempts, Ending, Next, Outcome, Repeat};
use currantlink_core::exchange::{Exchange, Input, Output};
use currantlink_core::gate::{Asked, Command, Gate, Known, Limits, LinkId, Offer};
use currantlink_core::ids::{CallKey, Incarnation, RequestId, WorkspaceName};
use currantlink_core::ticket::{Minter, Ticket, Unverified};
use indexmap::IndexMap;

pub const SERVICE: &str = "registry-api";
const TTL_MS: u64 = 60_000;
const DEADLINE_MS: u64 = 5_000;
const PAUSE_MS: u64 = 150_000;
const DATA_FRAMES: u64 = 2;
const MAX_PRESENTATIONS: u32 = 3;
const MAX_STEPS: usize = 400;

/// Faults that can hit a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fault {
    /// The link of the step's message is cut; what is on it is lost.
    Cut,
    /// The link goes silent; what the side has not read yet reaches it later.
    Silent,
    /// The step's message is delivered again at the end.
    Duplicate,
    /// The side is replaced by a new process of the same name.
    Restart,
    /// The side is paused for long and wakes.
    Pause,
    /// The entry dies; its callers go to the other one.
    EntryDeath,
    /// The side is asked to leave.
    Drain,
    /// A frame of another call arrives on the stream.
    Cross,
    /// The back end fails the call.
    BackendFailure,
    /// The side cannot be reached any more.
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

/// A fault with the step that it hits.
pub type Hit = (usize, Fault);

#[derive(Clone, Debug)]
enum Up {
    Mint { caller: usize, request: RequestId },
    Submit { caller: usize, key: CallKey, ticket: Option<Vec<u8>> },
    Query { caller: usize, key: CallKey, resume: u64 },
    Cancel { key: CallKey },
}

#[derive(Clone, Debug)]
enum Down {
    Minted { caller: usize, ticket: Option<Vec<u8>> },
    Frame { caller: usize, key: CallKey, seq: u64, text: Text },
    Refused { caller: usize, key: CallKey, ending: Ending },
}

/// Content of a frame; data names the run that made it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Text {
    Head,
    Data(String),
    End { frames: u64, bytes: u64 },
    Failed,
}

impl Text {
    fn piece(&self) -> Piece {
        match self {
            Text::Head => Piece::Head,
            Text::Data(data) => Piece::Data(data.len() as u64),
            Text::End { frames, bytes } => Piece::End { frames: *frames, bytes: *bytes },
            Text::Failed => Piece::Failed,
        }
    }
}

struct Link {
    entry: usize,
    side: usize,
    generation: u64,
    incarnation: Incarnation,
    up: VecDeque<(Incarnation, Up)>,
    down: VecDeque<Down>,
}

struct Side {
    gate: Gate,
    lives: u64,
    recordings: IndexMap<CallKey, Vec<Text>>,
    followers: Vec<(CallKey, usize, usize, u64)>,
    reachable: bool,
}

/// Where a caller's call stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    Nothing,
    Answer(Vec<String>),
    GivenUp(Outcome),
}

struct Caller {
    workspace: WorkspaceName,
    repeat: Repeat,
    request: RequestId,
    entry: usize,
    ticket: Option<Vec<u8>>,
    attempts: Attempts,
    exchange: Option<(usize, Exchange)>,
    data: Vec<String>,
    tried: Vec<usize>,
    presentations: u32,
    told: Told,
}

pub struct World {
    now_ms: u64,
    sides: Vec<Side>,
    links: Vec<Link>,
    callers: Vec<Caller>,
    producing: VecDeque<(usize, u64, CallKey, u64)>,
    late: Vec<(LinkId, usize, Incarnation, Up)>,
    runs: IndexMap<(WorkspaceName, RequestId), u64>,
    generation: u64,
    drained_at_ms: Option<(usize, u64)>,
    late_starts: u64,
}

pub fn limits() -> Limits {
    Limits {
        max_running: 4,
        max_queued: 8,
        max_remembered: 64,
        retention_ms: TTL_MS,
        orphan_ms: 5_000,
        us_per_token: 100,
    }
}

pub fn gate(side: usize, life: u64) -> Gate {
    let incarnation = Incarnation((side as u64 + 1) * 1_000 + life);
    let key = [(side as u8 + 1) * 16 + life as u8; 32];
    let minter = Minter::new(incarnation, format!("backend-{side}"), key, TTL_MS);
    Gate::new(incarnation, minter, limits())
}

impl Side {
    fn new(side: usize) -> Self {
        Self {
            gate: gate(side, 1),
            lives: 1,
            recordings: IndexMap::new(),
            followers: Vec::new(),
            reachable: true,
        }
    }
}

impl World {
    /// One caller per entry of `repeats`, all at the same time.
    pub fn new(repeats: &[Repeat]) -> Self {
        let callers = repeats.iter().enumerate().map(|(index, &repeat)| Caller {
            workspace: WorkspaceName::from(format!("workspace-{index}").as_str()),
            repeat,
            request: RequestId::from([index as u8 + 1; 16]),
            entry: 0,
            ticket: None,
            attempts: Attempts::new(repeat, DEADLINE_MS),
            exchange: None,
            data: Vec::new(),
            tried: Vec::new(),
            presentations: 0,
            told: Told::Nothing,
        });
        Self {
            now_ms: 0,
            sides: vec![Side::new(0), Side::new(1)],
            links: Vec::new(),
            callers: callers.collect(),
            producing: VecDeque::new(),
            late: Vec::new(),
            runs: IndexMap::new(),
            generation: 0,
            drained_at_ms: None,
            late_starts: 0,
        }
    }

    /// Runs to the end with the given faults; returns the number of steps.
    /// `order` picks which of the possible events comes next.
    pub fn run(&mut self, hits: &[Hit], mut order: impl FnMut(usize) -> usize) -> usize {
        for caller in 0..self.callers.len() {
            self.begin(caller);
        }
        let mut steps = 0;
        while steps < MAX_STEPS {
            let events = self.events();
            if events.is_empty() {
                break;
            }
            let event = events[order(events.len()) % events.len()];
            let faults: Vec<Fault> =
                hits.iter().filter(|(at, _)| *at == steps).map(|(_, f)| *f).collect();
            self.step(event, &faults);
            steps += 1;
        }
        self.flush_late();
        steps
    }

    /// Returns what each invariant of calls has to say.
    pub fn violation(&self) -> Option<String> {
        for (index, caller) in self.callers.iter().enumerate() {
            let runs = self.runs_of(caller);
            let expected = expected_data(&caller.workspace, &caller.request);
            if caller.repeat == Repeat::Ticketed && runs > 1 {
                return Some(format!("caller {index}: ran {runs} times"));
            }
            if caller.told == Told::GivenUp(Outcome::NotRun) && runs > 0 {
                return Some(format!("caller {index}: told not run, ran {runs} times"));
            }
            if let Told::Answer(data) = &caller.told
                && *data != expected
            {
                return Some(format!("caller {index}: answer {data:?}, not {expected:?}"));
            }
        }
        if self.late_starts > 0 {
            return Some(format!("{} calls begun long after the drain", self.late_starts));
        }
        None
    }

    /// Returns what each caller was told.
    pub fn told(&self) -> Vec<Told> {
        self.callers.iter().map(|c| c.told.clone()).collect()
    }

    fn runs_of(&self, caller: &Caller) -> u64 {
        let id = (caller.workspace.clone(), caller.request);
        self.runs.get(&id).copied().unwrap_or(0)
    }

    fn begin(&mut self, caller: usize) {
        let c = &self.callers[caller];
        match c.repeat {
            Repeat::Idempotent => self.hand_over(caller),
            Repeat::Ticketed => {
                let request = c.request;
                let side = caller % 2;
                let link = self.link(c.entry, side);
                self.send_up(link, Up::Mint { caller, request });
            }
        }
    }

    /// Hands a call to a side that was not tried, or to the ticket's.
    fn hand_over(&mut self, caller: usize) {
        let c = &self.callers[caller];
        let ticket = c.ticket.clone();
        let parsed = ticket.as_deref().and_then(|t| Ticket::<Unverified>::try_from(t).ok());
        let side = match &parsed {
            Some(ticket) => usize::from(ticket.backend() == "backend-1"),
            None => match (0..2).find(|s| !c.tried.contains(s)) {
                Some(side) => side,
                None => return self.ended(caller, Ending::NoBackend),
            },
        };
        if !self.sides[side].reachable {
            self.callers[caller].tried.push(side);
            return self.ended(caller, Ending::NotSent);
        }
        let c = &self.callers[caller];
        let (entry, attempt) = (c.entry, c.attempts.attempt());
        let link = self.link(entry, side);
        let incarnation = parsed.as_ref().map_or(self.links[link].incarnation, |t| t.incarnation());
        let now_ms = self.now_ms;
        let c = &mut self.callers[caller];
        c.tried.push(side);
        c.data.clear();
        let key = CallKey { workspace: c.workspace.clone(), request: c.request, attempt };
        c.exchange = Some((link, Exchange::new(key.clone(), incarnation, c.repeat, now_ms)));
        let submit = Up::Submit { caller, key, ticket };
        self.links[link].up.push_back((incarnation, submit));
    }

    /// Returns the open link between an entry and a side, opening one where there is none.
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
        let (up, down) = (VecDeque::new(), VecDeque::new());
        self.links.push(Link { entry, side, generation, incarnation, up, down });
        self.links.len() - 1
    }

    fn send_up(&mut self, link: usize, message: Up) {
        let incarnation = self.links[link].incarnation;
        self.links[link].up.push_back((incarnation, message));
    }

    fn events(&self) -> Vec<Event> {
        let links = self.links.iter().enumerate();
        let ups = links.clone().filter(|(_, l)| !l.up.is_empty()).map(|(i, _)| Event::Up(i));
        let downs = links.filter(|(_, l)| !l.down.is_empty()).map(|(i, _)| Event::Down(i));
        let produce = (!self.producing.is_empty()).then_some(Event::Produce);
        ups.chain(produce).chain(downs).collect()
    }

    fn step(&mut self, event: Event, faults: &[Fault]) {
        self.now_ms += 1;
        for &fault in faults {
            self.strike(event, fault);
        }
        match event {
            Event::Up(link) => {
                if let Some((incarnation, message)) = self.links[link].up.pop_front() {
                    self.reach_side(link, incarnation, message);
                }
            }
            Event::Down(link) => {
                if let Some(message) = self.links[link].down.pop_front() {
                    self.reach_entry(message);
                }
            }
            Event::Produce => self.produce(),
        }
    }

    fn strike(&mut self, event: Event, fault: Fault) {
        let link = match event {
            Event::Up(link) | Event::Down(link) => link,
            Event::Produce => 0,
        };
        let side = match event {
            Event::Produce => self.producing.front().map_or(0, |p| p.0),
            _ => self.links[link].side,
        };
        match fault {
            Fault::Cut => self.lose(link, false),
            Fault::Silent => self.lose(link, true),
            Fault::Duplicate => self.duplicate(event),
            Fault::Restart => self.restart(side),
            Fault::Pause => self.pause(side),
            Fault::EntryDeath => self.kill_entry(self.links[link].entry),
            Fault::Drain => {
                let now_ms = self.now_ms;
                self.sides[side].gate.drain(now_ms, true);
                self.drained_at_ms = Some((side, now_ms));
            }
            Fault::Cross => self.cross(),
            Fault::BackendFailure => self.fail_backend(),
            Fault::Unreachable => {
                self.sides[side].reachable = false;
                for link in 0..self.links.len() {
                    if self.links[link].side == side {
                        self.lose(link, true);
                    }
                }
            }
        }
    }

    /// On waking, the side's timers run before it reads its links.
    fn pause(&mut self, side: usize) {
        self.now_ms += PAUSE_MS;
        let now_ms = self.now_ms;
        let commands = self.sides[side].gate.tick(now_ms);
        self.obey(side, commands, None);
    }

    fn duplicate(&mut self, event: Event) {
        match event {
            Event::Up(link) => {
                if let Some((incarnation, message)) = self.links[link].up.front().cloned() {
                    let id = self.link_id(link);
                    self.late.push((id, self.links[link].side, incarnation, message));
                }
            }
            Event::Down(link) => {
                if let Some(message) = self.links[link].down.front().cloned() {
                    self.links[link].down.push_back(message);
                }
            }
            Event::Produce => {}
        }
    }

    fn link_id(&self, link: usize) -> LinkId {
        let link = &self.links[link];
        LinkId { entry: link.entry as u64, generation: link.generation }
    }

    /// The link ends; with `late`, what it carries to the side arrives at the end.
    fn lose(&mut self, link: usize, late: bool) {
        if self.links[link].generation == 0 {
            return;
        }
        let id = self.link_id(link);
        let side = self.links[link].side;
        let unread: Vec<_> = self.links[link].up.drain(..).collect();
        if late {
            let unread = unread.into_iter().map(|(i, m)| (id, side, i, m));
            self.late.extend(unread);
        }
        self.links[link].down.clear();
        self.links[link].generation = 0;
        let now_ms = self.now_ms;
        self.sides[side].gate.link_lost(now_ms, id);
        let hit: Vec<usize> = (0..self.callers.len())
            .filter(|&c| matches!(&self.callers[c].exchange, Some((l, _)) if *l == link))
            .collect();
        for caller in hit {
            self.feed(caller, Input::Lost);
        }
        self.mint_again(link);
    }

    /// A caller without a ticket asks for another one; nothing was handed over.
    fn mint_again(&mut self, link: usize) {
        let waiting: Vec<usize> = (0..self.callers.len())
            .filter(|&c| {
                let c = &self.callers[c];
                c.repeat == Repeat::Ticketed
                    && c.ticket.is_none()
                    && c.told == Told::Nothing
                    && c.entry == self.links[link].entry
            })
            .collect();
        for caller in waiting {
            let side = (caller + 1) % 2;
            if self.sides[side].reachable {
                let (entry, request) = (self.callers[caller].entry, self.callers[caller].request);
                let link = self.link(entry, side);
                self.send_up(link, Up::Mint { caller, request });
            } else {
                self.callers[caller].told = Told::GivenUp(Outcome::NotRun);
            }
        }
    }

    fn restart(&mut self, side: usize) {
        let life = self.sides[side].lives + 1;
        self.producing.retain(|p| p.0 != side);
        self.sides[side].gate = gate(side, life);
        self.sides[side].lives = life;
        self.sides[side].recordings.clear();
        self.sides[side].followers.clear();
        for link in 0..self.links.len() {
            if self.links[link].side == side {
                self.links[link].up.clear();
                self.lose(link, false);
            }
        }
    }

    fn kill_entry(&mut self, entry: usize) {
        for link in 0..self.links.len() {
            if self.links[link].entry == entry {
                self.links[link].down.clear();
                let id = self.link_id(link);
                let side = self.links[link].side;
                let unread: Vec<_> = self.links[link].up.drain(..).collect();
                self.late.extend(unread.into_iter().map(|(i, m)| (id, side, i, m)));
                self.links[link].generation = 0;
            }
        }
        for caller in 0..self.callers.len() {
            if self.callers[caller].entry == entry && self.callers[caller].told == Told::Nothing {
                self.present_again(caller, Outcome::Unknown);
            }
        }
    }

    /// The caller goes to the other entry: with its ticket, or from the beginning.
    fn present_again(&mut self, caller: usize, outcome: Outcome) {
        let now_ms = self.now_ms;
        let c = &mut self.callers[caller];
        c.exchange = None;
        c.presentations += 1;
        c.data.clear();
        if c.presentations >= MAX_PRESENTATIONS || c.repeat == Repeat::Idempotent {
            c.told = Told::GivenUp(outcome);
            return;
        }
        c.entry = 1 - c.entry;
        c.tried.clear();
        c.attempts = Attempts::new(c.repeat, now_ms + DEADLINE_MS);
        if c.ticket.is_some() { self.hand_over(caller) } else { self.begin(caller) }
    }

    fn cross(&mut self) {
        let keys: Vec<CallKey> = self
            .callers
            .iter()
            .filter_map(|c| c.exchange.as_ref().map(|(_, e)| e.key().clone()))
            .collect();
        if let [_, second, ..] = keys.as_slice() {
            let data = expected_data(&second.workspace, &second.request);
            let text = Text::Data(data[0].clone());
            self.reach_entry(Down::Frame { caller: 0, key: second.clone(), seq: 1, text });
        }
    }

    fn fail_backend(&mut self) {
        if let Some((side, _, key, _)) = self.producing.front().cloned() {
            self.producing.retain(|p| p.2 != key);
            self.record(side, &key, Text::Failed);
            self.finish(side, &key);
        }
    }

    fn reach_side(&mut self, link: usize, incarnation: Incarnation, message: Up) {
        let (id, side) = (self.link_id(link), self.links[link].side);
        self.side_takes(id, side, incarnation, message, Some(link));
    }

    fn side_takes(
        &mut self,
        id: LinkId,
        side: usize,
        incarnation: Incarnation,
        message: Up,
        link: Option<usize>,
    ) {
        let now_ms = self.now_ms;
        let known = incarnation == self.sides[side].gate.incarnation();
        let answer = |world: &mut Self, down: Down| {
            if let Some(link) = link {
                world.links[link].down.push_back(down);
            }
        };
        match message {
            Up::Submit { caller, key, .. } | Up::Query { caller, key, .. } if !known => {
                let ending = Ending::IncarnationLost;
                answer(self, Down::Refused { caller, key, ending });
            }
            Up::Mint { caller, request } => {
                let workspace = self.callers[caller].workspace.clone();
                let gate = &mut self.sides[side].gate;
                let minted = gate.mint(now_ms, &workspace, SERVICE, request);
                let ticket = minted.ok().map(|t| t.to_bytes());
                answer(self, Down::Minted { caller, ticket });
            }
            Up::Submit { caller, key, ticket } => {
                let offer = offer(id, &key, ticket.as_deref());
                let commands = self.sides[side].gate.offer(now_ms, offer);
                self.obey(side, commands, Some((caller, &key, link)));
            }
            Up::Query { caller, key, resume } => {
                let asked = self.asked(caller, &key);
                match self.sides[side].gate.query(now_ms, asked, id) {
                    Known::NotRun => {
                        let ending = Ending::Tombstoned;
                        answer(self, Down::Refused { caller, key, ending });
                    }
                    Known::CannotTell => {
                        let ending = Ending::SideCannotTell;
                        answer(self, Down::Refused { caller, key, ending });
                    }
                    Known::Live | Known::Done => self.follow(side, &key, caller, link, resume),
                }
            }
            Up::Cancel { key } => {
                let commands = self.sides[side].gate.cancel(now_ms, &key);
                self.obey(side, commands, None);
            }
        }
    }

    fn asked(&self, caller: usize, key: &CallKey) -> Asked {
        let ticket = self.callers[caller].ticket.as_deref();
        let ticket = ticket.and_then(|t| Ticket::try_from(t).ok());
        Asked { key: key.clone(), service: SERVICE.to_owned(), ticket }
    }

    fn obey(
        &mut self,
        side: usize,
        commands: Vec<Command>,
        asker: Option<(usize, &CallKey, Option<usize>)>,
    ) {
        for command in commands {
            match command {
                Command::Start(key) => self.start(side, key),
                Command::Refuse(key, refused) => {
                    let ending = Ending::Refused {
                        reason: refused.reason,
                        retry_after_ms: refused.retry_after_ms,
                    };
                    self.refuse(asker, key, ending);
                }
                Command::Unknown(key, _) => self.refuse(asker, key, Ending::SideCannotTell),
                Command::Stop(key) => {
                    self.producing.retain(|p| p.2 != key);
                    self.record(side, &key, Text::Failed);
                    self.finish(side, &key);
                }
                Command::Forget(key) => {
                    self.sides[side].recordings.swap_remove(&key);
                }
                Command::Hold(_) | Command::Attach(_) => {}
            }
        }
        if let Some((caller, key, link)) = asker
            && self.sides[side].recordings.contains_key(key)
        {
            self.follow(side, key, caller, link, 0);
        }
    }

    fn refuse(
        &mut self,
        asker: Option<(usize, &CallKey, Option<usize>)>,
        key: CallKey,
        ending: Ending,
    ) {
        if let Some((caller, asked, Some(link))) = asker
            && *asked == key
        {
            self.links[link].down.push_back(Down::Refused { caller, key, ending });
        }
    }

    fn start(&mut self, side: usize, key: CallKey) {
        if let Some((drained, at_ms)) = self.drained_at_ms {
            self.late_starts += u64::from(drained == side && self.now_ms > at_ms + 3_000);
        }
        *self.runs.entry((key.workspace.clone(), key.request)).or_default() += 1;
        self.sides[side].recordings.insert(key.clone(), Vec::new());
        let life = self.sides[side].lives;
        for seq in 0..DATA_FRAMES + 2 {
            self.producing.push_back((side, life, key.clone(), seq));
        }
    }

    fn produce(&mut self) {
        let Some((side, _, key, seq)) = self.producing.pop_front() else {
            return;
        };
        let data = expected_data(&key.workspace, &key.request);
        let bytes = data.iter().map(|d| d.len() as u64).sum();
        let text = match seq {
            0 => Text::Head,
            s if s <= DATA_FRAMES => Text::Data(data[s as usize - 1].clone()),
            frames => Text::End { frames, bytes },
        };
        let last = matches!(text, Text::End { .. });
        self.record(side, &key, text);
        if last {
            self.finish(side, &key);
        }
    }

    fn record(&mut self, side: usize, key: &CallKey, text: Text) {
        if let Some(recording) = self.sides[side].recordings.get_mut(key) {
            recording.push(text);
        }
        self.forward(side);
    }

    fn finish(&mut self, side: usize, key: &CallKey) {
        let now_ms = self.now_ms;
        let commands = self.sides[side].gate.finished(now_ms, key, 1_000);
        self.obey(side, commands, None);
    }

    fn follow(
        &mut self,
        side: usize,
        key: &CallKey,
        caller: usize,
        link: Option<usize>,
        resume: u64,
    ) {
        if let Some(link) = link {
            self.sides[side].followers.push((key.clone(), link, caller, resume));
            self.forward(side);
        }
    }

    fn forward(&mut self, side: usize) {
        let Side { recordings, followers, .. } = &mut self.sides[side];
        for (key, link, caller, next) in followers {
            let Some(recording) = recordings.get(key) else { continue };
            while let Some(text) = recording.get(*next as usize) {
                let (key, text) = (key.clone(), text.clone());
                if self.links[*link].generation > 0 {
                    let frame = Down::Frame { caller: *caller, key, seq: *next, text };
                    self.links[*link].down.push_back(frame);
                }
                *next += 1;
            }
        }
    }

    fn reach_entry(&mut self, message: Down) {
        match message {
            Down::Minted { caller, ticket } => self.minted(caller, ticket),
            Down::Refused { caller, key, ending } => {
                if self.is_current(caller, &key) {
                    self.feed(caller, Input::Refused(ending));
                }
            }
            Down::Frame { caller, key, seq, text } => {
                let piece = text.piece();
                if let Text::Data(data) = &text {
                    self.callers[caller].data.push(data.clone());
                }
                let input = Input::Frame { key, seq, piece, may_have_run: true };
                self.feed_frame(caller, input, &text);
            }
        }
    }

    fn is_current(&self, caller: usize, key: &CallKey) -> bool {
        matches!(&self.callers[caller].exchange, Some((_, e)) if e.key() == key)
    }

    fn minted(&mut self, caller: usize, ticket: Option<Vec<u8>>) {
        let c = &mut self.callers[caller];
        if c.ticket.is_some() || c.told != Told::Nothing {
            return;
        }
        match ticket {
            Some(ticket) => {
                c.ticket = Some(ticket);
                self.hand_over(caller);
            }
            None => c.told = Told::GivenUp(Outcome::NotRun),
        }
    }

    fn feed_frame(&mut self, caller: usize, input: Input, text: &Text) {
        let now_ms = self.now_ms;
        let Some((_, exchange)) = &mut self.callers[caller].exchange else {
            self.drop_data(caller, text);
            return;
        };
        match exchange.take(now_ms, input) {
            Output::Pass => {}
            Output::Whole => {
                let c = &mut self.callers[caller];
                c.told = Told::Answer(c.data.clone());
                if let Some((link, exchange)) = c.exchange.take()
                    && exchange.repeat() == Repeat::Idempotent
                {
                    let key = exchange.key().clone();
                    let incarnation = exchange.incarnation();
                    self.links[link].up.push_back((incarnation, Up::Cancel { key }));
                }
            }
            Output::Ended(ending) => {
                self.drop_data(caller, text);
                self.ended(caller, ending);
            }
            _ => self.drop_data(caller, text),
        }
    }

    fn drop_data(&mut self, caller: usize, text: &Text) {
        if matches!(text, Text::Data(_)) {
            self.callers[caller].data.pop();
        }
    }

    fn feed(&mut self, caller: usize, input: Input) {
        let now_ms = self.now_ms;
        let Some((link, exchange)) = &mut self.callers[caller].exchange else {
            return;
        };
        let link = *link;
        match exchange.take(now_ms, input) {
            Output::AwaitLink { .. } => {
                let (entry, side) = (self.links[link].entry, self.links[link].side);
                let reopened = self.sides[side].reachable.then(|| self.link(entry, side));
                let incarnation = reopened.map(|l| self.links[l].incarnation);
                if let (Some(new), Some((current, _))) =
                    (reopened, &mut self.callers[caller].exchange)
                {
                    *current = new;
                }
                self.feed(caller, Input::Reopened(incarnation));
            }
            Output::Ask { resume_seq } => {
                let key = exchange.key().clone();
                let incarnation = exchange.incarnation();
                let query = Up::Query { caller, key, resume: resume_seq };
                self.links[link].up.push_back((incarnation, query));
            }
            Output::Ended(ending) => self.ended(caller, ending),
            Output::Wait | Output::Pass | Output::Whole => {}
        }
    }

    fn ended(&mut self, caller: usize, ending: Ending) {
        let now_ms = self.now_ms;
        let c = &mut self.callers[caller];
        let passed_on = false;
        c.exchange = None;
        match c.attempts.ended(now_ms, ending, passed_on, || true) {
            Next::Retry => self.hand_over(caller),
            Next::GiveUp { outcome: Outcome::Unknown, .. } => {
                self.present_again(caller, Outcome::Unknown);
            }
            Next::GiveUp { outcome, .. } => c.told = Told::GivenUp(outcome),
        }
    }

    /// Delivers what went silent, long after.
    fn flush_late(&mut self) {
        for (id, side, incarnation, message) in std::mem::take(&mut self.late) {
            self.now_ms += 1;
            self.side_takes(id, side, incarnation, message, None);
        }
        while !self.producing.is_empty() {
            self.produce();
        }
        self.now_ms += PAUSE_MS;
        for side in 0..self.sides.len() {
            let now_ms = self.now_ms;
            let commands = self.sides[side].gate.tick(now_ms);
            self.obey(side, commands, None);
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    Up(usize),
    Down(usize),
    Produce,
}

fn offer(link: LinkId, key: &CallKey, ticket: Option<&[u8]>) -> Offer {
    Offer {
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
