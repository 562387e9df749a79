//! Plays bursts of callers of three urgency classes, gateways and engines, and counts what callers get.

#![allow(clippy::unwrap_used)]

use std::collections::{BTreeMap, VecDeque};

use currantlink_core::admission::{Admission, Room, turned_away_after_ms};
use currantlink_core::arrivals::ArrivalRate;
use currantlink_core::fleet::FleetKey;
use currantlink_core::least_loaded::{
    Candidate, Choice, Limits, LoadReport, choose, competing_gateways, queue_limit, retry_after_ms,
    sample_size,
};
use currantlink_core::pace::pass_ms;
use currantlink_core::routes::EngineProfile;
use currantlink_core::stream_pace::StreamPace;
use currantlink_core::turns::{
    Origin, SendLeft, TurnKey, UrgencyClass, WaitQueue, Waiting, WorkspaceKey,
};

const SLOTS: u32 = 10;
const EVENTS: u32 = 23;
const DEADLINE_MS: u64 = 8_000;
/// Time without an event after which callers leave.
const PATIENCE_MS: u64 = 2_000;
const REPORT_MS: u64 = 160;
const LOST_PER_MILLE: u64 = 25;
const HELLO_MS: u64 = 500;
const WAKE_MS: u64 = 20;
const RUN_MS: u64 = 40_000;
/// Bursts: begin and end, class, and factor of its rate.
const BURSTS: [(u64, u64, usize, f64); 3] =
    [(8_000, 14_000, 2, 2.4), (16_000, 19_500, 0, 1.8), (24_000, 30_000, 2, 2.4)];
/// Engines for which the rates of the classes hold.
const NOMINAL_ENGINES: f64 = 72.0;
/// Share of the requests that the largest of four workspaces has.
const LARGE_WORKSPACE_PERCENT: u64 = 70;
const WORKSPACES: usize = 4;

struct Class {
    per_s: f64,
    target_ms: u64,
    value: f64,
    late: f64,
}

/// The routes of the customer site.
const CLASSES: [Class; 3] = [
    Class { per_s: 92.0, target_ms: 400, value: 3.5, late: 0.34 },
    Class { per_s: 40.0, target_ms: 400, value: 1.8, late: 0.46 },
    Class { per_s: 121.0, target_ms: 1_000, value: 0.92, late: 0.35 },
];
/// Part of the value that a request costs if it ends without a response after it has returned.
const LOST_AGAIN: f64 = 0.3;

#[derive(Clone, Copy)]
struct Request {
    class: usize,
    workspace: usize,
    first_at_ms: u64,
    arrived_ms: u64,
    has_returned: bool,
}

struct Stream {
    request: Request,
    gateway: usize,
    sent_ms: u64,
    events: u32,
}

#[derive(Default)]
struct Engine {
    running: Vec<Stream>,
    queue: VecDeque<Stream>,
}

struct Gateway {
    reports: Vec<LoadReport>,
    own: Vec<u32>,
    sent: Vec<u32>,
    ended: Vec<u32>,
    turns: WaitQueue,
    waiting: BTreeMap<TurnKey, (Request, Waiting)>,
    pace: StreamPace,
    arrivals: ArrivalRate,
    admission: Option<Admission>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    asked: f64,
    on_time: f64,
    late: f64,
    returned: f64,
    /// Requests that ended without a response after they had returned.
    lost: f64,
    /// Rejections after more than an eighth of the target time.
    rejected_late: f64,
}

impl Outcome {
    fn served_share(&self) -> f64 {
        (self.on_time + self.late) / self.asked
    }

    fn on_time_share(&self) -> f64 {
        self.on_time / self.asked
    }

    fn value(&self, class: &Class) -> f64 {
        class.value * (self.on_time + class.late * self.late - LOST_AGAIN * self.lost)
    }
}

#[derive(Debug, Default)]
struct Outcomes {
    classes: [Outcome; 3],
    workspaces: [Outcome; WORKSPACES],
    /// Rejections while less than half of the slots are taken and nothing waits.
    rejected_with_room: u32,
}

impl Outcomes {
    fn count(&mut self, request: &Request, update: impl Fn(&mut Outcome)) {
        update(&mut self.classes[request.class]);
        update(&mut self.workspaces[request.workspace]);
    }

    /// Returns the value as a share of that of all requests, if all were on time.
    fn value_share(&self) -> f64 {
        let classes = || self.classes.iter().zip(&CLASSES);
        let most: f64 = classes().map(|(outcome, class)| class.value * outcome.asked).sum();
        classes().map(|(outcome, class)| outcome.value(class)).sum::<f64>() / most
    }

    fn sum(&self, field: impl Fn(&Outcome) -> f64) -> f64 {
        self.classes.iter().map(field).sum()
    }

    fn served_share(&self) -> f64 {
        self.sum(|o| o.on_time + o.late) / self.sum(|o| o.asked)
    }
}

/// How requests of the classes are ordered and admitted.
#[derive(Clone, Copy, PartialEq)]
enum Rule {
    /// By origin before urgency, without admission levels.
    Origin,
    /// By urgency class, with admission levels.
    Class,
}

#[derive(Clone, Copy, Debug)]
struct Shape {
    gateways: usize,
    engines: usize,
    /// Whether a fifth of the gateways have all callers.
    is_skewed: bool,
    load: f64,
    /// Factor of the rate of the most urgent class.
    urgent_factor: f64,
}

struct Play {
    shape: Shape,
    rule: Rule,
    engines: Vec<Engine>,
    gateways: Vec<Gateway>,
    returning: Vec<(u64, Request)>,
    random: u64,
    now_ms: u64,
    next_pass_ms: u64,
    outcomes: Outcomes,
}

fn profile() -> EngineProfile {
    EngineProfile {
        slots: SLOTS,
        stride_steps: 6,
        step_ms: 10.0,
        per_request_ms: 0.4,
        prefill_tokens_per_ms: 74.8,
        mean_prompt_tokens: 840.0,
        mean_response_tokens: f64::from(EVENTS * 6),
        experts: None,
    }
}

impl Play {
    fn new(shape: Shape, rule: Rule) -> Self {
        let engines = shape.engines;
        let admission = (rule == Rule::Class).then(|| Admission::new(CLASSES.len() as u8, 0));
        let gateway = |_| Gateway {
            reports: vec![LoadReport { is_serving: true, ..LoadReport::default() }; engines],
            own: vec![0; engines],
            sent: vec![0; engines],
            ended: vec![0; engines],
            turns: WaitQueue::default(),
            waiting: BTreeMap::new(),
            pace: StreamPace::default(),
            arrivals: ArrivalRate::default(),
            admission: admission.clone(),
        };
        Self {
            shape,
            rule,
            engines: (0..engines).map(|_| Engine::default()).collect(),
            gateways: (0..shape.gateways).map(gateway).collect(),
            returning: Vec::new(),
            random: 0x9E37_79B9_7F4A_7C15,
            now_ms: 0,
            next_pass_ms: 0,
            outcomes: Outcomes::default(),
        }
    }

    fn random(&mut self) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random
    }

    fn draw(&mut self) -> f64 {
        (self.random() >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn candidates(&self, gateway: usize) -> Vec<Candidate> {
        let own = &self.gateways[gateway];
        let candidate = |engine: usize| Candidate {
            key: FleetKey(engine as u32),
            slots: SLOTS,
            own_requests: own.own[engine],
            sent_since_report: own.sent[engine],
            ended_since_report: own.ended[engine],
            report: Some(own.reports[engine]),
            ejected: false,
            local: true,
        };
        (0..self.engines.len()).map(candidate).collect()
    }

    fn room(&self, gateway: usize) -> Room {
        let candidates = self.candidates(gateway);
        let taken: u32 = candidates.iter().map(Candidate::load).sum();
        let slots = candidates.len() as u32 * SLOTS;
        let are_waiting = !self.gateways[gateway].turns.is_empty();
        Room { taken: f64::from(taken) / f64::from(slots), are_waiting }
    }

    fn place(&mut self, gateway: usize, request: Request) -> bool {
        let (gateways, draw, now_ms) = (self.gateways.len(), self.random(), self.now_ms);
        let reserve_draw = self.draw();
        let candidates = self.candidates(gateway);
        let own = &mut self.gateways[gateway];
        let class = UrgencyClass(request.class as u8);
        let admission = own.admission.as_mut();
        let reserve = admission.map_or(0, |a| a.reserve(class, now_ms, SLOTS, reserve_draw));
        let duration_ms = own.pace.duration_ms(now_ms, &profile());
        let target_ms = CLASSES[request.class].target_ms;
        let queued = queue_limit(target_ms, duration_ms, SLOTS, own.turns.is_busy(now_ms));
        let running = (reserve > 0).then_some(SLOTS - reserve);
        let limits = Limits { running, queued };
        let (rate_per_ms, are_waiting) = (own.arrivals.per_ms(now_ms), !own.turns.is_empty());
        let sample = sample_size(candidates.len(), gateways);
        let competing = competing_gateways(&candidates, limits, gateways, rate_per_ms, are_waiting);
        let Choice::Send(FleetKey(key)) = choose(&candidates, limits, competing, sample, draw)
        else {
            return false;
        };
        own.sent[key as usize] += 1;
        own.own[key as usize] += 1;
        let stream = Stream { request, gateway, sent_ms: now_ms, events: 0 };
        self.engines[key as usize].queue.push_back(stream);
        if let Some(admission) = &mut self.gateways[gateway].admission {
            admission.record_sent(class, now_ms, now_ms - request.arrived_ms, target_ms);
        }
        true
    }

    /// Returns the queue entry of a request that arrives.
    fn waiting(&mut self, gateway: usize, request: &Request) -> Waiting {
        let now_ms = self.now_ms;
        let own = &self.gateways[gateway];
        let origin = if request.has_returned { Origin::Returned } else { Origin::New };
        let target_ms = CLASSES[request.class].target_ms;
        let left = SendLeft {
            on_time_ms: target_ms.saturating_sub(own.pace.start_ms() as u64),
            awaited_ms: request.first_at_ms + DEADLINE_MS - now_ms,
        };
        let waiting = Waiting::new(origin, request.class as u8, now_ms, left);
        let class = UrgencyClass(request.class as u8);
        match &own.admission {
            Some(admission) => {
                let class = if admission.is_starved(class) { UrgencyClass(0) } else { class };
                waiting.in_class(class, WorkspaceKey(request.workspace as u64))
            }
            // The penalty of client retries.
            None => {
                Waiting { urgency: waiting.urgency + 4 * u8::from(request.has_returned), ..waiting }
            }
        }
    }

    fn arrive(&mut self, request: Request) {
        let with_callers = match self.shape.is_skewed {
            true => self.gateways.len().div_ceil(5),
            false => self.gateways.len(),
        };
        let gateway = self.random() as usize % with_callers;
        let (now_ms, draw, room) = (self.now_ms, self.draw(), self.room(gateway));
        let own = &mut self.gateways[gateway];
        own.arrivals.record(now_ms);
        let class = UrgencyClass(request.class as u8);
        if let Some(admission) = own.admission.as_mut().filter(|_| !request.has_returned) {
            admission.record_arrival(class, now_ms);
            if !admission.admits(class, now_ms, draw) && !room.is_free() {
                self.reject(gateway, request, true);
                return;
            }
        }
        let waiting = self.waiting(gateway, &request);
        let turns = &self.gateways[gateway].turns;
        if turns.may_overtake_in(waiting.class, waiting.origin, now_ms)
            && self.place(gateway, request)
        {
            self.gateways[gateway].turns.record_sent_directly_in(waiting.class);
            return;
        }
        let interval_ms = self.interval_ms(gateway);
        let own = &mut self.gateways[gateway];
        match own.turns.join(now_ms, waiting, interval_ms) {
            Some(key) => drop(own.waiting.insert(key, (request, waiting))),
            None => self.reject(gateway, request, false),
        }
        self.reject_yielded(gateway);
    }

    fn interval_ms(&self, gateway: usize) -> f64 {
        let own = &self.gateways[gateway];
        let share = self.engines.len() as u32 * SLOTS / self.gateways.len() as u32;
        let in_flight = own.own.iter().sum::<u32>().max(share).max(1);
        own.pace.duration_ms(self.now_ms, &profile()) / f64::from(in_flight)
    }

    fn reject_yielded(&mut self, gateway: usize) {
        for key in self.gateways[gateway].turns.take_yielded() {
            let (request, _) = self.gateways[gateway].waiting.remove(&key).unwrap();
            self.reject(gateway, request, false);
        }
    }

    fn reject(&mut self, gateway: usize, request: Request, is_held_back: bool) {
        let now_ms = self.now_ms;
        let held_ms = now_ms - request.arrived_ms;
        let is_late = held_ms > CLASSES[request.class].target_ms / 8;
        self.outcomes.count(&request, |o| o.rejected_late += f64::from(u8::from(is_late)));
        let room = self.room(gateway);
        if room.taken < 0.5 && !room.are_waiting {
            self.outcomes.rejected_with_room += 1;
        }
        let admission = self.gateways[gateway].admission.as_mut();
        if let Some(admission) = admission.filter(|_| !is_held_back) {
            let origin = if request.has_returned { Origin::Returned } else { Origin::New };
            admission.record_without_room(UrgencyClass(request.class as u8), origin, now_ms);
        }
        if request.has_returned {
            self.outcomes.count(&request, |o| o.lost += 1.0);
            return;
        }
        let left_ms = request.first_at_ms + DEADLINE_MS - now_ms;
        let after_ms = match self.rule == Rule::Class {
            true => turned_away_after_ms(0, left_ms, self.draw()),
            false => retry_after_ms(false, 0, left_ms, self.random()),
        };
        self.outcomes.count(&request, |o| o.returned += 1.0);
        let at_ms = now_ms + after_ms;
        self.returning.push((at_ms, Request { arrived_ms: at_ms, has_returned: true, ..request }));
    }

    /// Sends waiting requests while there is room, and rejects those whose wait is over.
    fn wake(&mut self, gateway: usize) {
        let now_ms = self.now_ms;
        let own = &mut self.gateways[gateway];
        let over = own.waiting.iter().filter(|(_, (_, waiting))| waiting.until_ms <= now_ms);
        for key in over.map(|(&key, _)| key).collect::<Vec<_>>() {
            let own = &mut self.gateways[gateway];
            own.turns.remove(key);
            let (request, waiting) = own.waiting.remove(&key).unwrap();
            own.turns.record_rejected_in(waiting.class, waiting.origin, now_ms);
            self.reject(gateway, request, false);
        }
        if self.rule == Rule::Class {
            let interval_ms = self.interval_ms(gateway);
            self.gateways[gateway].turns.yield_late(now_ms, interval_ms, |_| true);
            self.reject_yielded(gateway);
        }
        while let Some(key) = self.next_turn(gateway) {
            let request = self.gateways[gateway].waiting[&key].0;
            if !self.place(gateway, request) {
                return;
            }
            self.gateways[gateway].turns.record_sent(key);
            self.gateways[gateway].waiting.remove(&key);
        }
    }

    fn next_turn(&self, gateway: usize) -> Option<TurnKey> {
        self.gateways[gateway].turns.next_turns(self.now_ms).next()
    }

    fn pass(&mut self) {
        let now_ms = self.now_ms;
        for index in 0..self.engines.len() {
            let mut engine = std::mem::take(&mut self.engines[index]);
            let has_left = |s: &Stream| s.request.arrived_ms + PATIENCE_MS < now_ms;
            let (left, queue): (VecDeque<_>, _) = engine.queue.into_iter().partition(has_left);
            engine.queue = queue;
            for stream in left {
                self.end(index, &stream);
                self.outcomes.count(&stream.request, |o| o.lost += 1.0);
            }
            for stream in &mut engine.running {
                stream.events += 1;
                let pace = &mut self.gateways[stream.gateway].pace;
                if stream.events == 1 {
                    pace.record_start(now_ms, (now_ms - stream.sent_ms) as f64);
                    pace.begin_stream();
                    let target_ms = CLASSES[stream.request.class].target_ms;
                    let is_on_time = now_ms - stream.request.first_at_ms <= target_ms;
                    self.outcomes.count(&stream.request, |o| match is_on_time {
                        true => o.on_time += 1.0,
                        false => o.late += 1.0,
                    });
                }
                let pause_ms = pass_ms(&profile(), f64::from(SLOTS));
                pace.record_event(now_ms, (stream.events > 1).then_some(pause_ms));
            }
            let (done, running) = engine.running.into_iter().partition(|s| s.events == EVENTS);
            engine.running = running;
            for stream in &done as &Vec<Stream> {
                self.gateways[stream.gateway].pace.end_stream();
                self.end(index, stream);
            }
            while engine.running.len() < SLOTS as usize
                && let Some(stream) = engine.queue.pop_front()
            {
                engine.running.push(stream);
            }
            self.engines[index] = engine;
        }
        let most = self.engines.iter().map(|engine| engine.running.len()).max().unwrap_or(0);
        self.next_pass_ms = now_ms + pass_ms(&profile(), most as f64) as u64;
        (0..self.gateways.len()).for_each(|gateway| self.wake(gateway));
    }

    fn end(&mut self, engine: usize, stream: &Stream) {
        let own = &mut self.gateways[stream.gateway];
        own.own[engine] -= 1;
        own.ended[engine] += 1;
    }

    fn report(&mut self, engine: usize) {
        let (active, queued) =
            (self.engines[engine].running.len() as u32, self.engines[engine].queue.len() as u32);
        let number = self.random();
        for gateway in 0..self.gateways.len() {
            if self.random() % 1_000 < LOST_PER_MILLE {
                continue;
            }
            let draw = number.wrapping_add(gateway as u64);
            let own = &mut self.gateways[gateway];
            own.reports[engine] =
                LoadReport { active, queued, is_serving: true, draw, ..LoadReport::default() };
            (own.sent[engine], own.ended[engine]) = (0, 0);
        }
    }

    /// Announces the level of a gateway to the others.
    fn hello(&mut self, gateway: usize) {
        let (now_ms, name) = (self.now_ms, gateway.to_string());
        let own = self.gateways[gateway].admission.as_mut();
        let Some(level) = own.and_then(|admission| admission.announced(now_ms)) else {
            return;
        };
        for other in (0..self.gateways.len()).filter(|&other| other != gateway) {
            let is_lost = self.random() % 1_000 < LOST_PER_MILLE;
            if let Some(admission) = self.gateways[other].admission.as_mut().filter(|_| !is_lost) {
                admission.learn(&name, level, now_ms);
            }
        }
    }

    fn rate_per_ms(&self, class: usize) -> f64 {
        let is_burst = |&&(begin_ms, end_ms, of_class, _): &&(u64, u64, usize, f64)| {
            of_class == class && (begin_ms..end_ms).contains(&self.now_ms)
        };
        let factor = BURSTS.iter().find(is_burst).map_or(1.0, |&(_, _, _, factor)| factor);
        let scale = self.shape.load * self.engines.len() as f64 / NOMINAL_ENGINES;
        let urgent_factor = if class == 0 { self.shape.urgent_factor } else { 1.0 };
        CLASSES[class].per_s * factor * urgent_factor * scale / 1_000.0
    }

    fn arrivals(&mut self, due: &mut [f64; 3]) {
        for (class, due) in due.iter_mut().enumerate() {
            *due += self.rate_per_ms(class) * 2.0 * self.draw();
            while *due >= 1.0 {
                *due -= 1.0;
                let workspace = match self.random() % 100 {
                    draw if draw < LARGE_WORKSPACE_PERCENT => 0,
                    draw => 1 + draw as usize % (WORKSPACES - 1),
                };
                let now_ms = self.now_ms;
                let request = Request {
                    class,
                    workspace,
                    first_at_ms: now_ms,
                    arrived_ms: now_ms,
                    has_returned: false,
                };
                self.outcomes.count(&request, |o| o.asked += 1.0);
                self.arrive(request);
            }
        }
    }

    fn run(mut self) -> Outcomes {
        let mut due = [0.0; 3];
        while self.now_ms < RUN_MS {
            self.now_ms += 1;
            let now_ms = self.now_ms;
            self.arrivals(&mut due);
            let (back, later) = self.returning.drain(..).partition(|(at_ms, _)| *at_ms <= now_ms);
            self.returning = later;
            for (_, request) in back as Vec<(u64, Request)> {
                self.arrive(request);
            }
            if now_ms >= self.next_pass_ms {
                self.pass();
            }
            for engine in 0..self.engines.len() {
                if (now_ms + engine as u64 * 7).is_multiple_of(REPORT_MS) {
                    self.report(engine);
                }
            }
            for gateway in 0..self.gateways.len() {
                if (now_ms + gateway as u64 * 37).is_multiple_of(HELLO_MS) {
                    self.hello(gateway);
                }
                if now_ms.is_multiple_of(WAKE_MS) {
                    self.wake(gateway);
                }
            }
        }
        self.outcomes
    }
}

impl Shape {
    fn of(gateways: usize, engines: usize) -> Self {
        Self { gateways, engines, is_skewed: false, load: 1.0, urgent_factor: 1.0 }
    }
}

fn shapes() -> impl Iterator<Item = Shape> {
    [(3, 24), (14, 72), (40, 96)].into_iter().flat_map(|(gateways, engines)| {
        [(false, 1.0), (true, 1.0), (false, 1.3), (true, 1.3)].map(|(is_skewed, load)| Shape {
            is_skewed,
            load,
            ..Shape::of(gateways, engines)
        })
    })
}

/// Runs a rule and prints what it gives, for the record.
fn run(shape: Shape, rule: Rule) -> Outcomes {
    let outcomes = Play::new(shape, rule).run();
    println!("{shape:?}: {}", if rule == Rule::Class { "by class" } else { "by origin" });
    println!("  value share {:.4}", outcomes.value_share());
    for (outcome, class) in outcomes.classes.iter().zip(&CLASSES) {
        let value_share = outcome.value(class) / (outcome.asked * class.value);
        println!("  value share {value_share:.3} {outcome:.0?}");
    }
    outcomes
}

// In bursts of the least urgent class, the most urgent one was rejected more often and earned a lower
// share of its value than the least urgent one.
#[test]
fn urgent_before_less_urgent() {
    for shape in shapes() {
        let outcomes = run(shape, Rule::Class);
        for pair in outcomes.classes.windows(2) {
            let (more, less) = (&pair[0], &pair[1]);
            assert!(more.served_share() + 0.005 >= less.served_share(), "{shape:?}: {outcomes:?}");
            assert!(more.on_time_share() >= less.on_time_share(), "{shape:?}: {outcomes:?}");
        }
        assert_eq!(outcomes.rejected_with_room, 0, "{shape:?}");
    }
}

// Without admission by class, requests that returned were rejected again, and were held for long
// before that.
#[test]
fn better_than_by_origin() {
    for shape in shapes() {
        let (by_class, by_origin) = (run(shape, Rule::Class), run(shape, Rule::Origin));
        assert!(by_class.value_share() > by_origin.value_share(), "{shape:?}");
        let lost_again =
            |outcomes: &Outcomes| outcomes.sum(|o| o.lost) / outcomes.sum(|o| o.returned);
        assert!(lost_again(&by_class) < lost_again(&by_origin), "{shape:?}");
        let held = |outcomes: &Outcomes| outcomes.sum(|o| o.rejected_late);
        assert!(held(&by_class) < held(&by_origin), "{shape:?}");
    }
}

// A class or a workspace with few requests must not be crowded out, even if the most urgent class alone
// needs more than there is.
#[test]
fn no_starvation() {
    let urgent_flood = Shape { urgent_factor: 6.0, ..Shape::of(14, 72) };
    for shape in shapes().chain([urgent_flood]) {
        let outcomes = run(shape, Rule::Class);
        let least = outcomes.served_share() / 4.0;
        for outcome in outcomes.classes.iter().chain(&outcomes.workspaces) {
            assert!(outcome.served_share() >= least, "{shape:?}: {outcomes:?}");
        }
    }
}
