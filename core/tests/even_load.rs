//! Division of the slots of backends among gateways, and a model of gateways that choose backends by
//! reports which are out of date, under several rules.

use std::collections::VecDeque;

use currantlink_core::even_load::{self, Competition, GatewayShare, backend_number};
use currantlink_core::fleet::FleetKey;
use currantlink_core::least_loaded::{
    self, Candidate, Choice, Limits, LoadReport, competing_gateways, sample_size,
};

const SLOTS: u32 = 10;
const QUEUED: u32 = 1;
/// Mean duration of a request, and the factors of the sizes, which are equally frequent.
const DURATION_MS: f64 = 1_600.0;
const SIZES: [f64; 5] = [0.2, 0.5, 0.8, 1.2, 2.3];
/// Factor by which the first backend is slower.
const SLOWDOWN: f64 = 2.0;
/// Time for which reports name the same random number.
const DIVISION_MS: u64 = 240;
/// Share of the reports that is lost, in thousandths.
const LOST_PER_MILLE: u64 = 25;
/// Interval at which gateways learn each other's rates, and at which a tenth of them is replaced.
const HELLO_MS: u64 = 2_000;
const RENEWAL_MS: u64 = 4_000;
const WARM_UP_MS: u64 = 2_000;
const WAKE_MS: u64 = 20;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Rule {
    /// Knows all loads at any moment.
    Oracle,
    Random,
    LeastOfAll,
    TwoChoices,
    /// `least_loaded::choose`, the rule that the gateways used before.
    Before,
    /// `even_load::choose`.
    OwnSlots,
}

const RULES: [Rule; 6] =
    [Rule::Oracle, Rule::Random, Rule::LeastOfAll, Rule::TwoChoices, Rule::Before, Rule::OwnSlots];

#[derive(Clone, Copy, Debug)]
struct Scene {
    gateways: usize,
    backends: usize,
    /// Interval between reports, and how much later they are received.
    report_ms: (u64, u64),
    /// Whether a fifth of the gateways has four fifths of the callers.
    is_skewed: bool,
    load: f64,
    run_ms: u64,
}

#[derive(Clone, Default)]
struct Gateway {
    reports: Vec<Option<LoadReport>>,
    own: Vec<u32>,
    sent: Vec<u32>,
    ended: Vec<u32>,
    /// Arrival times of waiting requests.
    waiting: VecDeque<u64>,
    /// Rates of all gateways, as last heard.
    known_per_s: Vec<f64>,
}

#[derive(Clone, Default)]
struct Backend {
    /// Gateway and end of each running request.
    running: Vec<(usize, u64)>,
    /// Gateway and arrival of each queued request.
    queue: VecDeque<(usize, u64)>,
    draw: u64,
    on_the_way: VecDeque<LoadReport>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Figures {
    /// Mean number of requests that wait while as many slots are free, in percent of all slots.
    idle_wait: f64,
    /// Share of the time in which a backend queues while another one has a free slot.
    uneven_time: f64,
    /// Mean ratio of the most loaded backend to the mean.
    busiest: f64,
    wait_p50_ms: u64,
    wait_p99_ms: u64,
}

struct Play {
    scene: Scene,
    rule: Rule,
    gateways: Vec<Gateway>,
    names: Vec<String>,
    backends: Vec<Backend>,
    per_s: Vec<f64>,
    random: u64,
    now_ms: u64,
    waits_ms: Vec<u64>,
}

impl Play {
    fn new(scene: Scene, rule: Rule) -> Self {
        let Scene { gateways, backends, is_skewed, load, .. } = scene;
        let total_per_s = load * backends as f64 * f64::from(SLOTS) / DURATION_MS * 1_000.0;
        let busy = gateways.div_ceil(5);
        let part = |gateway| match (is_skewed, gateway < busy) {
            (false, _) => 1.0 / gateways as f64,
            (true, true) => 0.8 / busy as f64,
            (true, false) => 0.2 / (gateways - busy) as f64,
        };
        let per_s: Vec<f64> = (0..gateways).map(|gateway| total_per_s * part(gateway)).collect();
        let gateway = Gateway {
            reports: vec![None; backends],
            own: vec![0; backends],
            sent: vec![0; backends],
            ended: vec![0; backends],
            known_per_s: per_s.clone(),
            ..Gateway::default()
        };
        Self {
            scene,
            rule,
            gateways: vec![gateway; gateways],
            names: (0..gateways).map(|gateway| format!("{gateway:03}")).collect(),
            backends: vec![Backend::default(); backends],
            per_s,
            random: 0x9E37_79B9_7F4A_7C15,
            now_ms: 0,
            waits_ms: Vec::new(),
        }
    }

    fn random(&mut self) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random
    }

    fn unit(&mut self) -> f64 {
        (self.random() >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn candidate(&self, gateway: usize, backend: usize) -> Candidate {
        let (own, known) = (&self.gateways[gateway], &self.backends[backend]);
        let is_known = self.rule == Rule::Oracle;
        let active = known.running.len() as u32;
        let queued = known.queue.len() as u32;
        let now = LoadReport { active, queued, is_serving: true, ..LoadReport::default() };
        Candidate {
            key: FleetKey(backend as u32),
            slots: SLOTS,
            own_requests: own.own[backend],
            sent_since_report: if is_known { 0 } else { own.sent[backend] },
            ended_since_report: if is_known { 0 } else { own.ended[backend] },
            report: if is_known { Some(now) } else { own.reports[backend] },
            ejected: false,
            local: true,
        }
    }

    fn choose(&mut self, gateway: usize) -> Choice {
        let draw = self.random();
        let Scene { gateways, backends, .. } = self.scene;
        let all: Vec<Candidate> = (0..backends).map(|b| self.candidate(gateway, b)).collect();
        let own = &self.gateways[gateway];
        let are_waiting = own.waiting.len() > 1;
        let limits = Limits { running: None, queued: if are_waiting { 0 } else { QUEUED } };
        let own_per_s = self.per_s[gateway];
        let per_ms = own_per_s / 1_000.0;
        let competing = competing_gateways(&all, limits, gateways, per_ms, are_waiting);
        let sample_size = sample_size(backends, gateways);
        match self.rule {
            Rule::Random => least_loaded::choose(&all, limits, 1, 1, draw),
            Rule::TwoChoices => least_loaded::choose(&all, limits, 1, 2, draw),
            Rule::LeastOfAll | Rule::Oracle => {
                least_loaded::choose(&all, limits, 1, backends, draw)
            }
            Rule::Before => least_loaded::choose(&all, limits, competing, sample_size, draw),
            Rule::OwnSlots => {
                let others = (0..gateways).filter(|&other| other != gateway);
                let others = others.map(|other| (&*self.names[other], own.known_per_s[other]));
                let share = GatewayShare::new(&self.names[gateway], own_per_s, others);
                let competition = Competition { share, competing, sample_size };
                even_load::choose(&all, limits, competition, draw).choice
            }
        }
    }

    fn send_waiting(&mut self, gateway: usize) {
        while !self.gateways[gateway].waiting.is_empty()
            && let Choice::Send(FleetKey(key)) = self.choose(gateway)
        {
            let own = &mut self.gateways[gateway];
            own.own[key as usize] += 1;
            own.sent[key as usize] += 1;
            if let Some(arrived_ms) = own.waiting.pop_front() {
                self.backends[key as usize].queue.push_back((gateway, arrived_ms));
                self.start_queued(key as usize);
            }
        }
    }

    fn start_queued(&mut self, key: usize) {
        while self.backends[key].running.len() < SLOTS as usize
            && let Some((gateway, arrived_ms)) = self.backends[key].queue.pop_front()
        {
            let size = SIZES[self.random() as usize % SIZES.len()] * (0.8 + 0.4 * self.unit());
            let pace = if key == 0 { SLOWDOWN } else { 1.0 };
            let end_ms = self.now_ms + (DURATION_MS * size * pace) as u64;
            self.backends[key].running.push((gateway, end_ms));
            if self.now_ms > WARM_UP_MS {
                self.waits_ms.push(self.now_ms - arrived_ms);
            }
        }
    }

    fn end_requests(&mut self, key: usize) {
        let now_ms = self.now_ms;
        for &(gateway, _) in self.backends[key].running.iter().filter(|(_, end)| *end <= now_ms) {
            self.gateways[gateway].own[key] -= 1;
            self.gateways[gateway].ended[key] += 1;
        }
        self.backends[key].running.retain(|&(_, end_ms)| end_ms > now_ms);
        self.start_queued(key);
    }

    fn report(&mut self, key: usize) {
        let (interval_ms, delay_ms) = self.scene.report_ms;
        let phase_ms = self.now_ms + key as u64 * 37;
        if phase_ms.is_multiple_of(DIVISION_MS) {
            self.backends[key].draw = self.random() % 65_536;
        }
        let backend = &mut self.backends[key];
        if phase_ms.is_multiple_of(interval_ms) {
            backend.on_the_way.push_back(LoadReport {
                active: backend.running.len() as u32,
                queued: backend.queue.len() as u32,
                received_at_ms: self.now_ms + delay_ms,
                is_serving: true,
                draw: backend.draw,
                room_number: backend.draw as u16,
                backend_number: backend_number(&key.to_string()),
                ..LoadReport::default()
            });
        }
        let is_due = |report: &mut LoadReport| report.received_at_ms <= self.now_ms;
        let Some(report) = backend.on_the_way.pop_front_if(is_due) else {
            return;
        };
        for gateway in 0..self.scene.gateways {
            if self.random() % 1_000 >= LOST_PER_MILLE {
                let draw = report.draw + gateway as u64;
                let own = &mut self.gateways[gateway];
                own.reports[key] = Some(LoadReport { draw, ..report });
                (own.sent[key], own.ended[key]) = (0, 0);
            }
        }
    }

    /// Replaces a tenth of the gateways by new ones, which know nothing and are unknown to the others.
    fn renew(&mut self) {
        for _ in 0..self.scene.gateways.div_ceil(10) {
            let new = self.random() as usize % self.scene.gateways;
            self.gateways.iter_mut().for_each(|gateway| gateway.known_per_s[new] = 0.0);
            self.gateways[new].known_per_s.fill(0.0);
            self.gateways[new].reports.fill(None);
        }
    }

    fn step(&mut self, due: &mut [f64]) {
        self.now_ms += 1;
        if self.now_ms.is_multiple_of(HELLO_MS) {
            let per_s = &self.per_s;
            self.gateways.iter_mut().for_each(|g| g.known_per_s.clone_from(per_s));
        }
        if self.now_ms % RENEWAL_MS == RENEWAL_MS / 4 {
            self.renew();
        }
        for key in 0..self.backends.len() {
            self.end_requests(key);
            self.report(key);
        }
        for (gateway, due) in due.iter_mut().enumerate() {
            *due += self.per_s[gateway] / 1_000.0 * 2.0 * self.unit();
            while *due >= 1.0 {
                *due -= 1.0;
                self.gateways[gateway].waiting.push_back(self.now_ms);
                self.send_waiting(gateway);
            }
            if self.now_ms.is_multiple_of(WAKE_MS) {
                self.send_waiting(gateway);
            }
        }
    }

    fn run(mut self) -> Figures {
        let mut due = vec![0.0; self.scene.gateways];
        let mut figures = Figures::default();
        let (slots, steps) = (self.backends.len() * SLOTS as usize, self.scene.run_ms as f64);
        while self.now_ms < WARM_UP_MS + self.scene.run_ms {
            self.step(&mut due);
            if self.now_ms <= WARM_UP_MS {
                continue;
            }
            let running: usize = self.backends.iter().map(|b| b.running.len()).sum();
            let queued: usize = self.backends.iter().map(|b| b.queue.len()).sum();
            let waiting: usize = self.gateways.iter().map(|g| g.waiting.len()).sum();
            let free = slots - running;
            let most = self.backends.iter().map(|b| b.running.len() + b.queue.len()).max();
            let mean = (running + queued).max(1) as f64 / self.backends.len() as f64;
            figures.idle_wait += free.min(queued + waiting) as f64 / slots as f64 * 100.0 / steps;
            figures.uneven_time += f64::from(free > 0 && queued > 0) / steps;
            figures.busiest += most.unwrap_or_default() as f64 / mean / steps;
        }
        self.waits_ms.sort_unstable();
        let wait_ms = |percent: usize| self.waits_ms[self.waits_ms.len() * percent / 100];
        Figures { wait_p50_ms: wait_ms(50), wait_p99_ms: wait_ms(99), ..figures }
    }
}

/// Prints the figures of all rules and returns those of the rule before and of own slots.
fn compare(scene: Scene) -> (Figures, Figures) {
    let figures = RULES.map(|rule| Play::new(scene, rule).run());
    println!("{scene:?}");
    for (rule, of_rule) in RULES.iter().zip(figures) {
        let Figures { idle_wait, uneven_time, busiest, wait_p50_ms, wait_p99_ms } = of_rule;
        let ratio = busiest / figures[0].busiest;
        println!(
            "  {:10} waiting beside free slots {idle_wait:6.3} %, uneven time {uneven_time:.3}, busiest \
            {busiest:.2} ({ratio:.2} x oracle), wait p50 {wait_p50_ms} ms, p99 {wait_p99_ms} ms",
            format!("{rule:?}"),
        );
    }
    (figures[4], figures[5])
}

const SMALL: (usize, usize) = (3, 12);
const MIDDLE: (usize, usize) = (14, 72);
const LARGE: (usize, usize) = (40, 480);
/// The oldest reports in use are 100, 300 and 500 ms old.
const REPORTS_MS: [(u64, u64); 3] = [(80, 20), (240, 60), (400, 100)];
const CALM: f64 = 0.6;
const BUSY: f64 = 0.85;
const OVERLOAD: f64 = 1.2;

fn compare_all(
    (gateways, backends): (usize, usize),
    load: f64,
    run_ms: u64,
) -> impl Iterator<Item = (Figures, Figures)> {
    let all = REPORTS_MS.into_iter().flat_map(|report_ms| [(report_ms, false), (report_ms, true)]);
    all.map(move |(report_ms, is_skewed)| {
        compare(Scene { gateways, backends, report_ms, is_skewed, load, run_ms })
    })
}

/// Guards against backends that queue while others have free slots, at any age of the reports and with
/// equal and uneven callers.
#[test]
fn busy() {
    for (size, run_ms) in [(MIDDLE, 8_000), (LARGE, 600)] {
        for (before, now) in compare_all(size, BUSY, run_ms) {
            assert!(now.idle_wait <= before.idle_wait / 2.0, "{now:?}, before {before:?}");
        }
    }
}

/// With few gateways and backends, chance has more weight, so the figures are those of all scenes.
#[test]
fn busy_small() {
    let all: Vec<(Figures, Figures)> = compare_all(SMALL, BUSY, 40_000).collect();
    let before: f64 = all.iter().map(|(before, _)| before.idle_wait).sum();
    let now: f64 = all.iter().map(|(_, now)| now.idle_wait).sum();
    assert!(now <= before * 0.6, "{now}, before {before}");
}

/// Guards against a choice that is worse where the one before had no fault.
#[test]
fn calm() {
    for (size, run_ms) in [(SMALL, 20_000), (MIDDLE, 4_000), (LARGE, 300)] {
        for (before, now) in compare_all(size, CALM, run_ms) {
            assert!(now.idle_wait <= before.idle_wait + 0.02, "{now:?}, before {before:?}");
            assert!(now.busiest <= before.busiest * 1.05, "{now:?}, before {before:?}");
        }
    }
}

/// Guards against room that belongs to gateways without requests while others have too many. Under
/// overload, waiting requests use all room, so equal callers gain little.
#[test]
fn overload() {
    for (index, (before, now)) in compare_all(MIDDLE, OVERLOAD, 3_000).enumerate() {
        let is_skewed = index % 2 == 1;
        let most = before.idle_wait * if is_skewed { 0.65 } else { 1.0 };
        assert!(now.idle_wait <= most, "skewed {is_skewed}: {now:?}, before {before:?}");
    }
}

/// Returns the shares of gateways that know the same rates.
fn shares(per_s: &[f64]) -> Vec<GatewayShare> {
    let names: Vec<String> = (0..per_s.len()).map(|gateway| format!("{gateway:03}")).collect();
    let all = || names.iter().map(String::as_str).zip(per_s.iter().copied());
    let share = |(own, own_per_s)| {
        GatewayShare::new(own, own_per_s, all().filter(move |(name, _)| *name != own))
    };
    all().filter_map(share).collect()
}

/// Guards against slots that belong to no gateway or to two.
#[test]
fn exact_division() {
    for gateways in [2, 3, 14, 40, 360] {
        let uneven: Vec<f64> = (0..gateways).map(|gateway| (gateway * 7 % 5) as f64).collect();
        for per_s in [uneven, vec![0.0; gateways], vec![2.5; gateways]] {
            let shares = shares(&per_s);
            for number in (0..=u16::MAX).step_by(997) {
                for slots in [0, 1, 10, 24] {
                    let sum: u32 = shares.iter().map(|share| share.own_slots(slots, number)).sum();
                    assert_eq!(sum, slots, "{gateways} gateways, number {number}");
                }
            }
        }
    }
}

/// Guards against equal shares of uneven demand, and against a gateway without any slots.
#[test]
fn shares_by_demand() {
    let shares = shares(&[80.0, 20.0, 0.0]);
    let own_slots = |share: &GatewayShare| -> u32 {
        (0..100).map(|backend| share.own_slots(10, backend_number(&backend.to_string()))).sum()
    };
    let slots: Vec<u32> = shares.iter().map(own_slots).collect();
    assert!(slots[0] > 3 * slots[1] && slots[1] > 3 * slots[2] && slots[2] > 10, "{slots:?}");
}

/// A gateway that knows of no other one has no share.
#[test]
fn one_gateway() {
    assert_eq!(GatewayShare::new("a", 3.0, []), None);
}

fn busy_backend(active: u32, own_requests: u32) -> Candidate {
    Candidate {
        key: FleetKey(1),
        slots: SLOTS,
        own_requests,
        sent_since_report: 0,
        ended_since_report: 0,
        report: Some(LoadReport { active, is_serving: true, ..LoadReport::default() }),
        ejected: false,
        local: true,
    }
}

/// Guards against own slots of backends that are ejected, forming, full or without a report, and against
/// a slot that is used twice, by its gateway and by others that compete.
#[test]
fn unusable_own_slots() {
    let share = GatewayShare::new("a", 1.0, [("b", 1.0)]);
    let is_own_beside = |competing: usize, candidate: Candidate| {
        let competition = Competition { share, competing, sample_size: 2 };
        let limits = Limits { running: Some(8), queued: 2 };
        even_load::choose(&[candidate], limits, competition, 0).is_own_slot
    };
    let is_own = |candidate| is_own_beside(1, candidate);
    let usable = busy_backend(7, 3);
    assert!(is_own(usable));
    assert!(!is_own_beside(2, usable), "others use all slots when they compete for room");
    assert!(!is_own(busy_backend(8, 3)), "the limit of running requests");
    assert!(!is_own(busy_backend(7, 4)), "half of the slots of the limit are in use");
    assert!(!is_own(Candidate { ejected: true, ..usable }));
    assert!(!is_own(Candidate { report: None, ..usable }));
    let forming = LoadReport { is_serving: false, ..LoadReport::default() };
    assert!(!is_own(Candidate { report: Some(forming), ..usable }));
}
