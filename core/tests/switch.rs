//! Map changes of a modelled group under lost and late orders, dead agents and dead leaders.
//!
//! The model follows the platform's rules for orders. Checked are: no pass begins while two ranks
//! have different maps, and a group is not left held.

mod common;

use std::collections::VecDeque;
use std::sync::Arc;

use currantlink_core::switch::{Action, Observed, Order, Phase, RankState, Switch};
use currantlink_standins::rank::Rank;
use proptest::prelude::*;

const RANKS: usize = 4;
const PASS_MS: u64 = 60;
const TICK_MS: u64 = 10;
const ORDER_LIMIT_MS: u64 = 40;

/// How orders fare, by draws.
#[derive(Clone, Debug)]
struct Fate {
    /// Of a hundred orders, those that get no answer.
    lost: u8,
    /// Delay of a lost order; it is carried out then.
    late_ms: u64,
}

struct World {
    now_ms: u64,
    next_pass_ms: u64,
    held_ms: u64,
    ranks: Vec<Rank>,
    late: Vec<(u64, usize, Order)>,
    giving: Vec<VecDeque<Order>>,
    busy_until_ms: Vec<u64>,
    draws: u64,
    fate: Fate,
    dead: Vec<bool>,
}

impl World {
    fn new(seed: u64, fate: Fate) -> Self {
        let rank = |rank| Rank::new("g", 1, rank, RANKS as u32);
        Self {
            now_ms: 0,
            next_pass_ms: PASS_MS,
            held_ms: 0,
            ranks: (0..RANKS as u32).map(rank).collect(),
            late: Vec::new(),
            giving: vec![VecDeque::new(); RANKS],
            busy_until_ms: vec![0; RANKS],
            draws: seed | 1,
            fate,
            dead: vec![false; RANKS],
        }
    }

    fn draw(&mut self) -> u64 {
        self.draws ^= self.draws << 13;
        self.draws ^= self.draws >> 7;
        self.draws ^= self.draws << 17;
        self.draws
    }

    fn observed(&self) -> Vec<Option<Observed>> {
        let observe = |rank: &Rank| Observed { state: rank.state.clone(), at_ms: self.now_ms };
        self.ranks.iter().map(|rank| Some(observe(rank))).collect()
    }

    fn give(&mut self, orders: Vec<(usize, Order)>) {
        for (rank, order) in orders {
            self.giving[rank].push_back(order);
        }
    }

    /// Lets time pass: orders, copies, passes.
    fn tick(&mut self) {
        self.now_ms += TICK_MS;
        let now_ms = self.now_ms;
        let (due, rest) = self.late.drain(..).partition(|(at, ..)| *at <= now_ms);
        self.late = rest;
        for (_, rank, order) in due {
            let _ = self.ranks[rank].take(now_ms, &order);
        }
        for rank in 0..RANKS {
            if self.dead[rank] || now_ms < self.busy_until_ms[rank] {
                continue;
            }
            if let Some(order) = self.giving[rank].pop_front() {
                let is_lost = self.draw() % 100 < u64::from(self.fate.lost);
                if is_lost {
                    let late_ms = self.draw() % self.fate.late_ms.max(1);
                    self.late.push((now_ms + late_ms, rank, order));
                    self.busy_until_ms[rank] = now_ms + ORDER_LIMIT_MS;
                } else {
                    let _ = self.ranks[rank].take(now_ms, &order);
                }
            }
        }
        self.ranks.iter_mut().for_each(|rank| rank.copy(now_ms));
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
            rank.begin(step);
        }
        let first = self.ranks[0].state.map_version;
        let same = self.ranks.iter().all(|rank| rank.state.map_version == first);
        assert!(same, "pass {step} begins with different maps");
    }
}

fn map() -> Arc<currantlink_core::switch::ExpertMap> {
    Arc::new(vec![vec![vec![0]; RANKS]])
}

/// Runs a leader for a time; starts a change whenever it may.
fn lead(world: &mut World, switch: &mut Switch, for_ms: u64) -> u32 {
    let (mut changes, until_ms) = (0, world.now_ms + for_ms);
    switch.know(map());
    while world.now_ms < until_ms {
        let observed = world.observed();
        if switch.is_ready(world.now_ms, &observed) {
            switch.start(world.now_ms, map());
            changes += 1;
        }
        let orders = switch.advance(world.now_ms, &observed);
        world.give(orders);
        world.tick();
    }
    changes
}

#[test]
fn calm_changes() {
    let mut world = World::new(1, Fate { lost: 0, late_ms: 0 });
    let mut switch = Switch::new(1, RANKS, 0);
    let changes = lead(&mut world, &mut switch, 10_000);
    assert!(changes > 15, "{changes} changes");
    assert!(world.ranks[0].state.map_version > 0);
}

#[test]
fn no_pause() {
    let mut world = World::new(1, Fate { lost: 0, late_ms: 0 });
    let mut switch = Switch::new(1, RANKS, 0);
    lead(&mut world, &mut switch, 10_000);
    let passes = world.ranks[0].state.step;
    assert!(passes >= 10_000 / PASS_MS - 2, "{passes} passes");
}

#[test]
fn formed_again() {
    let mut world = World::new(1, Fate { lost: 0, late_ms: 0 });
    let mut switch = Switch::new(1, RANKS, 0);
    switch.start(0, map());
    lead(&mut world, &mut switch, 200);
    world.ranks = (0..RANKS as u32).map(|rank| Rank::new("g", 2, rank, RANKS as u32)).collect();
    world.giving.iter_mut().for_each(VecDeque::clear);
    switch.advance(world.now_ms, &world.observed());
    assert_eq!(*switch.phase(), Phase::Idle);
    assert!(lead(&mut world, &mut switch, 3_000) > 0);
}

#[test]
fn stale_state() {
    let mut world = World::new(1, Fate { lost: 0, late_ms: 0 });
    let mut switch = Switch::new(1, RANKS, 0);
    lead(&mut world, &mut switch, 500);
    let mut observed = world.observed();
    observed[2] = None;
    assert!(!switch.is_ready(world.now_ms, &observed));
}

proptest! {
    #![proptest_config(common::proptest_config(256))]

    #[test]
    fn orders_lost(seed in any::<u64>(), lost in 0u8..60, late_ms in 10u64..3_000) {
        let mut world = World::new(seed, Fate { lost, late_ms });
        let mut switch = Switch::new(1, RANKS, 0);
        lead(&mut world, &mut switch, 8_000);
        world.fate.lost = 0;
        lead(&mut world, &mut switch, 4_000);
        prop_assert!(world.held_ms < 1_000);
    }

    #[test]
    fn leaders_die(
        seed in any::<u64>(),
        lost in 0u8..50,
        lives in prop::collection::vec((10u64..1_200, 0usize..RANKS), 1..10),
    ) {
        let mut world = World::new(seed, Fate { lost, late_ms: 2_000 });
        let mut fence = 0;
        for (for_ms, holder) in lives {
            fence += 1;
            lead(&mut world, &mut Switch::new(fence, RANKS, holder), for_ms);
            // What was on its way to the agents is gone with the leader or still carried out.
            if seed.is_multiple_of(2) {
                world.giving.iter_mut().for_each(VecDeque::clear);
            }
        }
        world.fate.lost = 0;
        lead(&mut world, &mut Switch::new(fence + 1, RANKS, 0), 3_000);
        prop_assert!(world.held_ms < 1_000, "held for {} ms", world.held_ms);
    }

    #[test]
    fn two_leaders(seed in any::<u64>(), lost in 0u8..50, turns in 1usize..60) {
        let mut world = World::new(seed, Fate { lost, late_ms: 1_500 });
        let mut leaders = [Switch::new(1, RANKS, 0), Switch::new(2, RANKS, 1)];
        leaders.iter_mut().for_each(|switch| switch.know(map()));
        for turn in 0..turns * 10 {
            let switch = &mut leaders[usize::from(world.draw().is_multiple_of(2))];
            let observed = world.observed();
            if switch.is_ready(world.now_ms, &observed) {
                switch.start(world.now_ms, map());
            }
            let orders = switch.advance(world.now_ms, &observed);
            world.give(orders);
            if turn % 3 == 0 {
                world.tick();
            }
        }
        world.fate.lost = 0;
        lead(&mut world, &mut leaders[1], 4_000);
        prop_assert!(world.held_ms < 1_000, "held for {} ms", world.held_ms);
    }
}

/// The pass that is held after a preparation in which a pass took `pass_ms`.
fn held_pass(pass_ms: u64) -> u64 {
    const BEGUN: u64 = 50;
    let mut switch = Switch::new(1, 2, 0);
    let observe = |now_ms: u64, prepared_version| {
        let of_rank = |rank| {
            let step = now_ms / pass_ms + BEGUN;
            let (size, is_open, epoch) = (2, true, 1);
            let group = String::from("g");
            let rank =
                RankState { group, epoch, rank, size, is_open, step, ..RankState::default() };
            Some(Observed { state: RankState { prepared_version, ..rank }, at_ms: now_ms })
        };
        [of_rank(0), of_rank(1)]
    };
    switch.advance(0, &observe(0, None));
    let version = switch.start(0, map());
    switch.advance(0, &observe(0, None));
    let orders = switch.advance(400, &observe(400, Some(version)));
    match &orders[..] {
        [(0, Order { action: Action::Hold { step }, .. })] => step - BEGUN - 400 / pass_ms,
        _ => panic!("{orders:?}"),
    }
}

#[test]
fn nearest_pass() {
    assert_eq!(held_pass(100), 1, "arming takes less than a pass");
    assert_eq!(held_pass(25), 2);
    assert_eq!(held_pass(5), 8);
}
