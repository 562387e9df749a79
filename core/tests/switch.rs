//! Map changes of a simulated group under lost or delayed orders and with crashed or competing
//! leaders.
//!
//! The simulated ranks follow the platform's rules for orders. The tests check that no pass begins
//! while two ranks have different maps, and that a group is not left held.

mod common;

use std::collections::VecDeque;
use std::sync::Arc;

use currantlink_core::switch::{Action, ObservedState, Order, Phase, RankState, Switch};
use currantlink_standins::rank::Rank;
use proptest::prelude::*;

const RANKS: usize = 4;
const PASS_MS: u64 = 60;
const TICK_MS: u64 = 10;
const ORDER_TIMEOUT_MS: u64 = 40;

/// Faults of orders, drawn at random.
#[derive(Clone, Debug)]
struct OrderFaults {
    /// Percentage of orders that get no response.
    lost_percent: u8,
    /// Maximum delay after which a lost order is still executed.
    max_delay_ms: u64,
}

struct Simulation {
    now_ms: u64,
    next_pass_ms: u64,
    held_ms: u64,
    ranks: Vec<Rank>,
    delayed: Vec<(u64, usize, Order)>,
    queued: Vec<VecDeque<Order>>,
    busy_until_ms: Vec<u64>,
    rng_state: u64,
    faults: OrderFaults,
    is_agent_dead: Vec<bool>,
    /// Rank on a frozen machine, which executes no orders and reports no state.
    frozen_rank: Option<usize>,
}

impl Simulation {
    fn new(seed: u64, faults: OrderFaults) -> Self {
        let rank = |rank| Rank::new("g", 1, rank, RANKS as u32);
        Self {
            now_ms: 0,
            next_pass_ms: PASS_MS,
            held_ms: 0,
            ranks: (0..RANKS as u32).map(rank).collect(),
            delayed: Vec::new(),
            queued: vec![VecDeque::new(); RANKS],
            busy_until_ms: vec![0; RANKS],
            rng_state: seed | 1,
            faults,
            is_agent_dead: vec![false; RANKS],
            frozen_rank: None,
        }
    }

    fn next_random(&mut self) -> u64 {
        self.rng_state ^= self.rng_state << 13;
        self.rng_state ^= self.rng_state >> 7;
        self.rng_state ^= self.rng_state << 17;
        self.rng_state
    }

    fn observed(&self) -> Vec<Option<ObservedState>> {
        let observe = |rank: &Rank| ObservedState { state: rank.state.clone(), at_ms: self.now_ms };
        let is_frozen = |rank: &Rank| self.frozen_rank == Some(rank.state.rank as usize);
        self.ranks.iter().map(|rank| (!is_frozen(rank)).then(|| observe(rank))).collect()
    }

    fn queue(&mut self, orders: Vec<(usize, Order)>) {
        for (rank, order) in orders {
            self.queued[rank].push_back(order);
        }
    }

    /// Advances the time by one tick: orders, copies and passes.
    fn tick(&mut self) {
        self.now_ms += TICK_MS;
        let now_ms = self.now_ms;
        let frozen_rank = self.frozen_rank;
        let (due, rest) = self
            .delayed
            .drain(..)
            .partition(|&(at, rank, _)| at <= now_ms && frozen_rank != Some(rank));
        self.delayed = rest;
        for (_, rank, order) in due {
            let _ = self.ranks[rank].apply(now_ms, &order);
        }
        for rank in 0..RANKS {
            if self.is_agent_dead[rank]
                || frozen_rank == Some(rank)
                || now_ms < self.busy_until_ms[rank]
            {
                continue;
            }
            if let Some(order) = self.queued[rank].pop_front() {
                let is_lost = self.next_random() % 100 < u64::from(self.faults.lost_percent);
                if is_lost {
                    let delay_ms = self.next_random() % self.faults.max_delay_ms.max(1);
                    self.delayed.push((now_ms + delay_ms, rank, order));
                    self.busy_until_ms[rank] = now_ms + ORDER_TIMEOUT_MS;
                } else {
                    let _ = self.ranks[rank].apply(now_ms, &order);
                }
            }
        }
        self.ranks.iter_mut().for_each(|rank| rank.finish_copy(now_ms));
        self.pass();
    }

    fn pass(&mut self) {
        if self.now_ms < self.next_pass_ms {
            return;
        }
        let step = self.ranks[0].state.step + 1;
        if self.ranks.iter().any(|rank| rank.state.held_step.is_some_and(|held| held <= step)) {
            self.held_ms += TICK_MS;
            return;
        }
        self.held_ms = 0;
        self.next_pass_ms = self.now_ms + PASS_MS;
        for rank in &mut self.ranks {
            rank.begin_pass(step);
        }
        let first = self.ranks[0].state.map_version;
        let same = self.ranks.iter().all(|rank| rank.state.map_version == first);
        assert!(same, "pass {step} begins with different maps");
    }
}

fn map() -> Arc<currantlink_core::switch::ExpertMap> {
    Arc::new(vec![vec![vec![0]; RANKS]])
}

/// Runs a leader for a duration, starts a change whenever one may start, and returns their number.
fn run_leader(simulation: &mut Simulation, switch: &mut Switch, for_ms: u64) -> u32 {
    let (mut changes, until_ms) = (0, simulation.now_ms + for_ms);
    switch.set_map_in_use(map());
    while simulation.now_ms < until_ms {
        let observed = simulation.observed();
        if switch.is_ready(simulation.now_ms, &observed) {
            switch.start(simulation.now_ms, map());
            changes += 1;
        }
        let orders = switch.advance(simulation.now_ms, &observed);
        simulation.queue(orders);
        simulation.tick();
    }
    changes
}

#[test]
fn no_faults() {
    let mut simulation = Simulation::new(1, OrderFaults { lost_percent: 0, max_delay_ms: 0 });
    let mut switch = Switch::new(1, RANKS, 0);
    let changes = run_leader(&mut simulation, &mut switch, 10_000);
    assert!(changes > 15, "{changes} changes");
    assert!(simulation.ranks[0].state.map_version > 0);
}

#[test]
fn no_pause() {
    let mut simulation = Simulation::new(1, OrderFaults { lost_percent: 0, max_delay_ms: 0 });
    let mut switch = Switch::new(1, RANKS, 0);
    run_leader(&mut simulation, &mut switch, 10_000);
    let passes = simulation.ranks[0].state.step;
    assert!(passes >= 10_000 / PASS_MS - 2, "{passes} passes");
}

#[test]
fn group_reformed() {
    let mut simulation = Simulation::new(1, OrderFaults { lost_percent: 0, max_delay_ms: 0 });
    let mut switch = Switch::new(1, RANKS, 0);
    switch.start(0, map());
    run_leader(&mut simulation, &mut switch, 200);
    simulation.ranks =
        (0..RANKS as u32).map(|rank| Rank::new("g", 2, rank, RANKS as u32)).collect();
    simulation.queued.iter_mut().for_each(VecDeque::clear);
    switch.advance(simulation.now_ms, &simulation.observed());
    assert_eq!(*switch.phase(), Phase::Idle);
    assert!(run_leader(&mut simulation, &mut switch, 3_000) > 0);
}

#[test]
fn stale_state() {
    let mut simulation = Simulation::new(1, OrderFaults { lost_percent: 0, max_delay_ms: 0 });
    let mut switch = Switch::new(1, RANKS, 0);
    run_leader(&mut simulation, &mut switch, 500);
    let mut observed = simulation.observed();
    observed[2] = None;
    assert!(!switch.is_ready(simulation.now_ms, &observed));
}

/// Guards against versions that a later leader gives out again: a leader that has made very many changes
/// does not reach those of the next fencing token.
#[test]
fn version_range() {
    const FENCE: u64 = 5;
    let mut switch = Switch::new(FENCE, RANKS, 0);
    let ranks = Simulation::new(1, OrderFaults { lost_percent: 0, max_delay_ms: 0 }).observed();
    switch.advance(0, &ranks);
    let (mut changes, mut version) = (0, 0);
    while switch.is_ready(0, &ranks) && changes < 2 << 20 {
        changes += 1;
        version = switch.start(0, map());
        switch.abandon_preparation(0);
    }
    assert!(changes > 100_000, "{changes} changes");
    assert!(version < (FENCE + 1) << 20, "{changes} changes up to {version}");
    assert!(switch.is_exhausted());
}

proptest! {
    #![proptest_config(common::proptest_config(256))]

    #[test]
    fn orders_lost(seed in any::<u64>(), lost_percent in 0u8..60, max_delay_ms in 10u64..3_000) {
        let mut simulation = Simulation::new(seed, OrderFaults { lost_percent, max_delay_ms });
        let mut switch = Switch::new(1, RANKS, 0);
        run_leader(&mut simulation, &mut switch, 8_000);
        simulation.faults.lost_percent = 0;
        run_leader(&mut simulation, &mut switch, 4_000);
        prop_assert!(simulation.held_ms < 1_000);
    }

    #[test]
    fn leaders_crash(
        seed in any::<u64>(),
        lost_percent in 0u8..50,
        leaders in prop::collection::vec((10u64..1_200, 0usize..RANKS), 1..10),
    ) {
        let faults = OrderFaults { lost_percent, max_delay_ms: 2_000 };
        let mut simulation = Simulation::new(seed, faults);
        let mut fence = 0;
        for (for_ms, hold_rank) in leaders {
            fence += 1;
            run_leader(&mut simulation, &mut Switch::new(fence, RANKS, hold_rank), for_ms);
            // Orders queued at the agents are either lost with the leader or still executed.
            if seed.is_multiple_of(2) {
                simulation.queued.iter_mut().for_each(VecDeque::clear);
            }
        }
        simulation.faults.lost_percent = 0;
        run_leader(&mut simulation, &mut Switch::new(fence + 1, RANKS, 0), 3_000);
        prop_assert!(simulation.held_ms < 1_000, "held for {} ms", simulation.held_ms);
    }

    /// The machine of a leader freezes at any step of a change. The next leader releases the group
    /// although the rank on that machine does not respond, unless all other ranks are armed.
    #[test]
    fn frozen_leader(
        seed in any::<u64>(),
        lost_percent in 0u8..30,
        run_ms in 10u64..1_500,
        frozen in 0usize..RANKS,
        next in 1usize..RANKS,
    ) {
        let mut simulation =
            Simulation::new(seed, OrderFaults { lost_percent, max_delay_ms: 1_500 });
        let mut leaders =
            [Switch::new(1, RANKS, frozen), Switch::new(2, RANKS, (frozen + next) % RANKS)];
        leaders.iter_mut().for_each(|switch| switch.set_map_in_use(map()));
        run_leader(&mut simulation, &mut leaders[0], run_ms);
        let last_observed = simulation.observed();
        simulation.frozen_rank = Some(frozen);
        simulation.faults.lost_percent = 0;
        run_leader(&mut simulation, &mut leaders[1], 2_500);
        let others = simulation.ranks.iter().filter(|rank| rank.state.rank as usize != frozen);
        let all_armed = others.clone().all(|rank| rank.state.armed.is_some());
        let held_ms = simulation.held_ms;
        prop_assert!(all_armed || held_ms < 1_000, "held for {held_ms} ms");
        // After it wakes, the first leader acts on messages that it received before.
        simulation.frozen_rank = None;
        let now_ms = simulation.now_ms;
        let late = last_observed.into_iter().flatten();
        let late: Vec<_> = late.map(|o| Some(ObservedState { at_ms: now_ms, ..o })).collect();
        let orders = leaders[0].advance(now_ms, &late);
        simulation.queue(orders);
        for _ in 0..20 {
            for switch in &mut leaders {
                let observed = simulation.observed();
                let orders = switch.advance(simulation.now_ms, &observed);
                simulation.queue(orders);
            }
            simulation.tick();
        }
        run_leader(&mut simulation, &mut leaders[1], 4_000);
        prop_assert!(simulation.held_ms < 1_000, "held for {} ms", simulation.held_ms);
    }

    #[test]
    fn two_leaders(seed in any::<u64>(), lost_percent in 0u8..50, turns in 1usize..60) {
        let faults = OrderFaults { lost_percent, max_delay_ms: 1_500 };
        let mut simulation = Simulation::new(seed, faults);
        let mut leaders = [Switch::new(1, RANKS, 0), Switch::new(2, RANKS, 1)];
        leaders.iter_mut().for_each(|switch| switch.set_map_in_use(map()));
        for turn in 0..turns * 10 {
            let switch = &mut leaders[usize::from(simulation.next_random().is_multiple_of(2))];
            let observed = simulation.observed();
            if switch.is_ready(simulation.now_ms, &observed) {
                switch.start(simulation.now_ms, map());
            }
            let orders = switch.advance(simulation.now_ms, &observed);
            simulation.queue(orders);
            if turn % 3 == 0 {
                simulation.tick();
            }
        }
        simulation.faults.lost_percent = 0;
        run_leader(&mut simulation, &mut leaders[1], 4_000);
        prop_assert!(simulation.held_ms < 1_000, "held for {} ms", simulation.held_ms);
    }
}

/// Returns the distance in passes from the last pass to the held one, for passes of `pass_ms`.
fn passes_until_hold(pass_ms: u64) -> u64 {
    const FIRST_PASS: u64 = 50;
    let mut switch = Switch::new(1, 2, 0);
    let observe = |now_ms: u64, prepared_version| {
        let of_rank = |rank| {
            let step = now_ms / pass_ms + FIRST_PASS;
            let (size, is_open, epoch) = (2, true, 1);
            let group = String::from("g");
            let rank =
                RankState { group, epoch, rank, size, is_open, step, ..RankState::default() };
            Some(ObservedState { state: RankState { prepared_version, ..rank }, at_ms: now_ms })
        };
        [of_rank(0), of_rank(1)]
    };
    switch.advance(0, &observe(0, None));
    let version = switch.start(0, map());
    switch.advance(0, &observe(0, None));
    let orders = switch.advance(400, &observe(400, Some(version)));
    match &orders[..] {
        [(1, Order { action: Action::Hold { step }, .. })] => step - FIRST_PASS - 400 / pass_ms,
        _ => panic!("{orders:?}"),
    }
}

#[test]
fn nearest_pass() {
    assert_eq!(passes_until_hold(100), 1, "arming takes less than a pass");
    assert_eq!(passes_until_hold(25), 2);
    assert_eq!(passes_until_hold(5), 8);
}

/// A leader that releases the hold of another one has not measured how long arming takes.
#[test]
fn release_not_measured() {
    const FIRST_PASS: u64 = 100;
    let observe = |now_ms: u64, held_step, armed, prepared_version| {
        let of_rank = |rank| {
            let state = RankState {
                group: String::from("g"),
                epoch: 1,
                rank,
                size: 2,
                is_open: true,
                step: now_ms / 60 + FIRST_PASS,
                held_step: if rank == 0 { held_step } else { None },
                armed,
                prepared_version,
                ..RankState::default()
            };
            Some(ObservedState { state, at_ms: now_ms })
        };
        [of_rank(0), of_rank(1)]
    };
    let mut switch = Switch::new(2, 2, 0);
    switch.set_map_in_use(map());
    let held = observe(60_000, Some(1_101), Some((7, 1_101)), Some(7));
    switch.advance(60_000, &held);
    assert_eq!(*switch.phase(), Phase::Go { step: 1_101 });
    switch.advance(60_060, &observe(60_060, None, None, None));
    assert_eq!(*switch.phase(), Phase::Idle);
    let version = switch.start(60_120, map());
    switch.advance(60_120, &observe(60_120, None, None, None));
    let orders = switch.advance(60_720, &observe(60_720, None, None, Some(version)));
    let last_pass = 60_720 / 60 + FIRST_PASS;
    match &orders[..] {
        [(1, Order { action: Action::Hold { step }, .. })] => assert_eq!(*step, last_pass + 1),
        _ => panic!("{orders:?}"),
    }
}
