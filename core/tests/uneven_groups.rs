//! Choice between groups of unequal pace, and a model of three groups of which one is slow for some time.

use std::collections::VecDeque;

use currantlink_core::even_load::{self, Competition, GatewayShare, backend_number};
use currantlink_core::fleet::FleetKey;
use currantlink_core::group_choice::{
    GroupChooser, GroupKey, GroupView, RelayedPace, Targets, views,
};
use currantlink_core::least_loaded::{
    Candidate, Choice, Limits, LoadReport, competing_gateways, sample_size,
};
use currantlink_core::stream_pace::StreamPace;

const GATEWAYS: usize = 20;
const GROUPS: usize = 3;
const RANKS: usize = 24;
const SLOTS: u32 = 10;
const EVENTS: u32 = 23;
const PASS_MS: u64 = 70;
const REPORT_MS: u64 = 160;
/// Interval at which agents report the slowdown of their backend.
const PACE_REPORT_MS: u64 = 240;
const TARGETS: Targets = Targets { start_ms: 500.0, pause_ms: 150.0 };
const SLOW_MS: std::ops::Range<u64> = 4_000..12_000;
const RUN_MS: u64 = 22_000;
/// Period in which demand swings by half.
const SWING_MS: f64 = 6_000.0;

struct Stream {
    gateway: usize,
    sent_ms: u64,
    last_event_ms: u64,
    events: u32,
    is_late: bool,
}

#[derive(Default)]
struct Engine {
    running: Vec<Stream>,
    queue: VecDeque<Stream>,
    report: LoadReport,
}

#[derive(Default)]
struct Gateway {
    paces: [StreamPace; GROUPS],
    chooser: GroupChooser,
    own: Vec<u32>,
    sent: Vec<u32>,
    ended: Vec<u32>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    on_time: u32,
    late: u32,
    rejected: u32,
    /// Requests of the slow group when it becomes slow, which are late in any case.
    in_flight: u32,
    /// Requests sent to the slow group: while it is slow, and in the last 4 s.
    sent_while_slow: u32,
    sent_after: u32,
    all_after: u32,
}

struct Play {
    chooses_groups: bool,
    slowdown: u64,
    /// Mean demand as a share of the capacity.
    load: f64,
    engines: Vec<Engine>,
    gateways: Vec<Gateway>,
    next_pass_ms: [u64; GROUPS],
    reported_pace: [f64; GROUPS],
    random: u64,
    now_ms: u64,
    outcome: Outcome,
}

impl Play {
    fn new(slowdown: u64, load: f64, chooses_groups: bool) -> Self {
        let engines = GROUPS * RANKS;
        let none = || vec![0; engines];
        let gateway = || Gateway { own: none(), sent: none(), ended: none(), ..Gateway::default() };
        let report = |key: usize| LoadReport {
            is_serving: true,
            backend_number: backend_number(&key.to_string()),
            group: Some(GroupKey((key / RANKS) as u64)),
            ..LoadReport::default()
        };
        Self {
            chooses_groups,
            slowdown,
            load,
            engines: (0..engines)
                .map(|key| Engine { report: report(key), ..Engine::default() })
                .collect(),
            gateways: (0..GATEWAYS).map(|_| gateway()).collect(),
            next_pass_ms: [10, 30, 50],
            reported_pace: [1.0; GROUPS],
            random: 0x9E37_79B9_7F4A_7C15,
            now_ms: 0,
            outcome: Outcome::default(),
        }
    }

    fn random(&mut self) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random
    }

    fn demand_per_ms(&self) -> f64 {
        let slots = (GROUPS * RANKS) as f64 * f64::from(SLOTS);
        let capacity_per_ms = slots / (f64::from(EVENTS) * PASS_MS as f64);
        let swing = (self.now_ms as f64 / SWING_MS * std::f64::consts::TAU).sin() / 2.0;
        self.load * (1.0 + swing) * capacity_per_ms
    }

    fn choose(&mut self, gateway: usize) -> Choice {
        let (now_ms, draw, group_draw) = (self.now_ms, self.random(), self.random());
        let own = &self.gateways[gateway];
        let candidate = |(index, engine): (usize, &Engine)| Candidate {
            key: FleetKey(index as u32),
            slots: SLOTS,
            own_requests: own.own[index],
            sent_since_report: own.sent[index],
            ended_since_report: own.ended[index],
            report: Some(engine.report),
            ejected: false,
            local: true,
        };
        let all: Vec<Candidate> = self.engines.iter().enumerate().map(candidate).collect();
        let relayed = |GroupKey(group)| {
            let pace = &own.paces[group as usize];
            let pause_ms = pace.pause_ms(now_ms).unwrap_or_default();
            RelayedPace { start_ms: pace.least_start_ms(now_ms), pause_ms }
        };
        let views = views(&all, |_| PASS_MS as f64, relayed);
        let names: Vec<String> = (0..GATEWAYS).map(|other| format!("{other:02}")).collect();
        let others = names.iter().filter(|name| **name != names[gateway]);
        let others = others.map(|name| (name.as_str(), 1.0));
        let share = GatewayShare::new(&names[gateway], 1.0, others);
        let own_per_ms = self.demand_per_ms() / GATEWAYS as f64;
        let choose = |candidates: &[Candidate], queued| {
            let limits = Limits { running: None, queued };
            let sample_size = sample_size(candidates.len(), GATEWAYS);
            let competing = competing_gateways(candidates, limits, GATEWAYS, own_per_ms, false);
            let competition = Competition { share, competing, sample_size };
            even_load::choose(candidates, limits, competition, draw).choice
        };
        let chooser = &mut self.gateways[gateway].chooser;
        chooser.record_late(&views, TARGETS, now_ms);
        let group = chooser.choose(&views, TARGETS, now_ms, group_draw);
        if let Some(GroupKey(group)) = group.filter(|_| self.chooses_groups) {
            let is_member = |c: &&Candidate| u64::from(c.key.0) / RANKS as u64 == group;
            let members: Vec<Candidate> = all.iter().filter(is_member).copied().collect();
            if let choice @ Choice::Send(_) = choose(&members, 0) {
                return choice;
            }
        }
        choose(&all, 1)
    }

    fn arrive(&mut self) {
        let gateway = self.random() as usize % GATEWAYS;
        let Choice::Send(FleetKey(key)) = self.choose(gateway) else {
            self.outcome.rejected += 1;
            return;
        };
        let (key, now_ms) = (key as usize, self.now_ms);
        self.gateways[gateway].own[key] += 1;
        self.gateways[gateway].sent[key] += 1;
        let is_slow_group = u32::from(key < RANKS);
        let is_after = now_ms + 4_000 >= RUN_MS;
        self.outcome.all_after += u32::from(is_after);
        self.outcome.sent_after += u32::from(is_after) * is_slow_group;
        self.outcome.sent_while_slow += u32::from(SLOW_MS.contains(&now_ms)) * is_slow_group;
        self.engines[key].queue.push_back(Stream {
            gateway,
            sent_ms: now_ms,
            last_event_ms: now_ms,
            events: 0,
            is_late: false,
        });
    }

    fn pass(&mut self, group: usize) {
        let now_ms = self.now_ms;
        for key in group * RANKS..(group + 1) * RANKS {
            let engine = &mut self.engines[key];
            for stream in &mut engine.running {
                let pace = &mut self.gateways[stream.gateway].paces[group];
                let pause_ms = (now_ms - stream.last_event_ms) as f64;
                let is_first = stream.events == 0;
                let target_ms = if is_first { TARGETS.start_ms } else { TARGETS.pause_ms };
                if is_first {
                    pace.record_start(now_ms, (now_ms - stream.sent_ms) as f64);
                    pace.begin_stream();
                }
                pace.record_event(now_ms, (!is_first).then_some(pause_ms));
                stream.is_late |= pause_ms > target_ms;
                (stream.events, stream.last_event_ms) = (stream.events + 1, now_ms);
            }
            for stream in engine.running.extract_if(.., |stream| stream.events == EVENTS) {
                let own = &mut self.gateways[stream.gateway];
                own.paces[group].end_stream();
                own.ended[key] += 1;
                own.own[key] -= 1;
                self.outcome.late += u32::from(stream.is_late);
                self.outcome.on_time += u32::from(!stream.is_late);
            }
            let free = SLOTS as usize - engine.running.len();
            let started = engine.queue.drain(..free.min(engine.queue.len()));
            engine.running.extend(started);
        }
        let is_slow = group == 0 && SLOW_MS.contains(&now_ms);
        self.next_pass_ms[group] = now_ms + PASS_MS * if is_slow { self.slowdown } else { 1 };
    }

    fn report(&mut self, key: usize) {
        let room_number = self.random() as u16;
        let slowdown = self.reported_pace[key / RANKS];
        let engine = &mut self.engines[key];
        let (active, queued) = (engine.running.len() as u32, engine.queue.len() as u32);
        engine.report = LoadReport { active, queued, room_number, slowdown, ..engine.report };
        for gateway in &mut self.gateways {
            (gateway.sent[key], gateway.ended[key]) = (0, 0);
        }
    }

    fn run(mut self) -> Outcome {
        let mut due = 0.0;
        while self.now_ms < RUN_MS {
            self.now_ms += 1;
            let now_ms = self.now_ms;
            due += self.demand_per_ms();
            while due >= 1.0 {
                due -= 1.0;
                self.arrive();
            }
            for group in 0..GROUPS {
                if now_ms >= self.next_pass_ms[group] {
                    self.pass(group);
                }
            }
            if now_ms == SLOW_MS.start {
                let members = &self.engines[..RANKS];
                let in_flight = members.iter().map(|e| e.running.len() + e.queue.len());
                self.outcome.in_flight = in_flight.sum::<usize>() as u32;
            }
            for key in 0..self.engines.len() {
                if (now_ms + key as u64 * 7).is_multiple_of(REPORT_MS) {
                    self.report(key);
                }
            }
            if now_ms.is_multiple_of(PACE_REPORT_MS) {
                let is_slow = SLOW_MS.contains(&now_ms);
                self.reported_pace[0] = if is_slow { self.slowdown as f64 } else { 1.0 };
            }
        }
        self.outcome
    }
}

/// Prints and returns what callers get with the rule before and with a choice of groups.
fn compare(slowdown: u64, load: f64) -> (Outcome, Outcome) {
    let [before, now] = [false, true].map(|chooses| Play::new(slowdown, load, chooses).run());
    println!("slowdown {slowdown}, load {load}\n  before {before:?}\n  now    {now:?}");
    (before, now)
}

/// Guards against requests that go on to a group whose passes take longer than callers accept, and against
/// a group that stays unused after it has recovered. The other groups can serve all requests.
#[test]
fn slow_group() {
    for slowdown in [3, 4, 6] {
        let (before, now) = compare(slowdown, 0.4);
        let avoidable =
            |outcome: Outcome| (outcome.late + outcome.rejected).saturating_sub(outcome.in_flight);
        assert!(avoidable(now) * 10 <= avoidable(before), "{now:?}, before {before:?}");
        assert!(now.sent_after * 4 >= now.all_after, "{now:?}");
    }
}

/// Guards against a rush on the other groups when they cannot serve all requests, for a part of the time or
/// for most of it.
#[test]
fn slow_group_overload() {
    for (slowdown, load) in [(3, 0.5), (4, 0.5), (6, 0.5), (3, 0.65), (4, 0.65), (6, 0.65)] {
        let (before, now) = compare(slowdown, load);
        let (before_missed, now_missed) = (before.late + before.rejected, now.late + now.rejected);
        assert!(now_missed <= before_missed, "{now:?}, before {before:?}");
        assert!(now.sent_after * 4 >= now.all_after, "{now:?}");
    }
}

/// Guards against a choice of groups that costs callers something while all are equal.
#[test]
fn equal_groups() {
    let (before, now) = compare(1, 0.5);
    assert!(now.late <= before.late && now.rejected <= before.rejected, "{now:?}, {before:?}");
}

/// Returns the pauses that are expected in two groups of two engines. One engine of the first group runs at
/// a fifth of the normal speed and has `running` requests.
fn expected_pauses_ms(running: u32) -> Vec<f64> {
    let candidate = |key: u32| {
        let (active, slowdown) = if key == 0 { (running, 5.0) } else { (4, 1.0) };
        let group = Some(GroupKey(u64::from(key / 2)));
        let report =
            LoadReport { active, slowdown, group, is_serving: true, ..LoadReport::default() };
        Candidate {
            key: FleetKey(key),
            slots: SLOTS,
            own_requests: 0,
            sent_since_report: 0,
            ended_since_report: 0,
            report: Some(report),
            ejected: false,
            local: true,
        }
    };
    let candidates: Vec<Candidate> = (0..4).map(candidate).collect();
    let relayed = |_| RelayedPace { start_ms: 0.0, pause_ms: 0.0 };
    let views = views(&candidates, |running| 20.0 + 5.0 * running, relayed);
    views.iter().map(|group| group.pause_ms).collect()
}

/// Guards against new requests in a group with a very slow engine, and against a group that stays unused
/// although that engine has ended its requests and the group is on time again.
#[test]
fn slow_engine_drains() {
    assert_eq!(expected_pauses_ms(4), [200.0, 40.0]);
    let drained = expected_pauses_ms(0);
    assert!(drained[0] == 100.0 && drained[0] < TARGETS.pause_ms, "{drained:?}");
}

fn group(key: u64, pause_ms: f64) -> GroupView {
    GroupView { key: GroupKey(key), free: 100, start_ms: 120.0, pause_ms, is_serving: true }
}

/// Returns how many of 1,000 requests get each of the groups, and none.
fn counts(chooser: &mut GroupChooser, groups: &[GroupView], now_ms: u64) -> Vec<usize> {
    let mut counts = vec![0; groups.len() + 1];
    chooser.record_late(groups, TARGETS, now_ms);
    for request in 0..1_000_u64 {
        let draw = request.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let chosen = chooser.choose(groups, TARGETS, now_ms, draw);
        let index = groups.iter().position(|group| Some(group.key) == chosen);
        counts[index.unwrap_or(groups.len())] += 1;
    }
    counts
}

/// Guards against new work for a group that is late, and against a return of all requests at once.
#[test]
fn gradual_return() {
    let mut chooser = GroupChooser::default();
    let late = [group(1, 70.0), group(2, 130.0)];
    assert_eq!(counts(&mut chooser, &late, 1_000), [1_000, 0, 0]);
    let recovered = [group(1, 70.0), group(2, 70.0)];
    let returning = [1_050, 2_000, 3_000].map(|now_ms| counts(&mut chooser, &recovered, now_ms)[1]);
    assert!((20..100).contains(&returning[0]), "{returning:?}");
    assert!((250..400).contains(&returning[1]), "{returning:?}");
    assert!((450..550).contains(&returning[2]), "{returning:?}");
}

/// Guards against work for a group that is forming or stalled, and against a preference where no group is
/// better, or there is only one.
#[test]
fn no_preference() {
    let mut chooser = GroupChooser::default();
    let forming = GroupView { is_serving: false, ..group(1, 70.0) };
    assert_eq!(counts(&mut chooser, &[forming, group(2, 70.0)], 0), [0, 1_000, 0]);
    assert_eq!(counts(&mut chooser, &[group(1, 300.0), group(2, 400.0)], 0), [0, 0, 1_000]);
    assert_eq!(counts(&mut chooser, &[group(1, 70.0)], 0), [0, 1_000]);
}

/// Guards against a group whose pace is that of its first backend, or which gets work although one of its
/// backends has stalled.
#[test]
fn slowest_backend() {
    let candidate = |key: u32, slowdown, is_serving| Candidate {
        key: FleetKey(key),
        slots: SLOTS,
        own_requests: 0,
        sent_since_report: 0,
        ended_since_report: 0,
        report: Some(LoadReport {
            active: 4,
            is_serving,
            group: GroupKey::new(if key < 2 { "a" } else { "b" }),
            slowdown,
            ..LoadReport::default()
        }),
        ejected: false,
        local: true,
    };
    let all = [candidate(0, 1.0, true), candidate(1, 3.0, true), candidate(2, 0.0, false)];
    let relayed = |_| RelayedPace { start_ms: 120.0, pause_ms: 80.0 };
    let groups = views(&all, |_| 70.0, relayed);
    let found: Vec<_> = groups.iter().map(|g| (g.free, g.pause_ms, g.is_serving)).collect();
    assert_eq!(found, [(12, 210.0, true), (6, 80.0, false)]);
}

/// Guards against equal shares of groups that differ in pace or room.
#[test]
fn room_and_pace() {
    let mut chooser = GroupChooser::default();
    let groups = [group(1, 60.0), group(2, 90.0), GroupView { free: 50, ..group(3, 60.0) }];
    let counts = counts(&mut chooser, &groups, 0);
    assert!(counts[0] > counts[1] && counts[1] > counts[2] && counts[2] > 150, "{counts:?}");
}
