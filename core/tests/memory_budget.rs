//! The account of the memory and descriptors that callers make a process hold.

use currantlink_core::memory_budget::{
    BudgetLimits, ConnectionKey, MemoryBudget, Need, Phase, Purpose, SMALL_BYTES, STANDSTILL_MS,
};
use proptest::prelude::*;

const MB: usize = 1 << 20;
const FIXED_BYTES: usize = 32 << 10;

/// A budget of 60 MiB for callers, 30 of them for bodies.
fn smallest_gateway() -> MemoryBudget {
    let mut budget = MemoryBudget::default();
    budget.set_limits(BudgetLimits::new(112, 2_870));
    budget
}

fn body_of(key: ConnectionKey, bytes: usize) -> Need {
    Need::Memory(key, Purpose::Body, bytes)
}

fn receiving(budget: &mut MemoryBudget, client: u64, bytes: usize, now_ms: u64) -> ConnectionKey {
    let key = budget.open(client, FIXED_BYTES, now_ms);
    budget.set_phase(key, Phase::Receiving, now_ms);
    assert!(budget.try_reserve(key, Purpose::Body, bytes));
    key
}

#[test]
fn unlimited() {
    let mut budget = MemoryBudget::default();
    let key = budget.open(1, FIXED_BYTES, 0);
    assert!(budget.try_reserve(key, Purpose::Body, usize::MAX / 4));
    assert!(budget.has_room(FIXED_BYTES));
    assert!(budget.give_way(body_of(key, MB), 1_000_000).is_empty());
}

/// Guards against a limit that an ordinary client meets on the smallest gateway.
#[test]
fn single_body_in_calm() {
    let mut budget = smallest_gateway();
    let key = budget.open(1, FIXED_BYTES, 0);
    assert!(budget.try_reserve(key, Purpose::Body, 4 * MB));
    assert!(budget.try_reserve(key, Purpose::Response, 16 * MB));
}

/// Guards against bodies that leave no memory for small requests and for responses.
#[test]
fn reserve_for_small() {
    let mut budget = smallest_gateway();
    for client in 0..7 {
        receiving(&mut budget, client, 4 * MB, 0);
    }
    let large = budget.open(9, FIXED_BYTES, 0);
    assert!(!budget.try_reserve(large, Purpose::Body, 4 * MB));
    assert!(budget.try_reserve(large, Purpose::Response, 16 * MB));
    assert!(!budget.try_reserve(large, Purpose::Response, 16 * MB));
    let small = budget.open(10, FIXED_BYTES, 0);
    assert!(budget.try_reserve(small, Purpose::Body, SMALL_BYTES / 2));
    assert!(budget.try_reserve(small, Purpose::Response, SMALL_BYTES / 2));
}

#[test]
fn longest_standstill_first() {
    let mut budget = smallest_gateway();
    let keys: Vec<_> = (0..7).map(|n| receiving(&mut budget, n, 4 * MB, n * 10)).collect();
    let waiting = budget.open(9, FIXED_BYTES, 0);
    assert_eq!(budget.give_way(body_of(waiting, 4 * MB), STANDSTILL_MS - 1), []);
    budget.record_bytes(keys[0], MB, STANDSTILL_MS);
    let now_ms = 2 * STANDSTILL_MS - 1;
    assert_eq!(budget.give_way(body_of(waiting, 4 * MB), now_ms), [keys[1]]);
    assert_eq!(budget.give_way(body_of(waiting, 4 * MB), now_ms), [], "room is on its way");
    assert_eq!(budget.give_way(body_of(waiting, 8 * MB), now_ms), [keys[2]]);
}

/// Guards against a trickle of bytes that passes for progress.
#[test]
fn below_minimum_rate() {
    let mut budget = smallest_gateway();
    let keys: Vec<_> = (0..7).map(|n| receiving(&mut budget, n, 4 * MB, 0)).collect();
    for now_ms in 0..=STANDSTILL_MS {
        budget.record_bytes(keys[3], 1, now_ms);
        keys.iter().filter(|&&key| key != keys[3]).for_each(|&key| {
            budget.record_bytes(key, 1 << 10, now_ms);
        });
    }
    let waiting = budget.open(9, FIXED_BYTES, 0);
    assert_eq!(budget.give_way(body_of(waiting, 4 * MB), STANDSTILL_MS), [keys[3]]);
}

/// Guards against one client that holds most of the memory and makes others give way.
#[test]
fn largest_client_first() {
    let mut budget = smallest_gateway();
    let other = receiving(&mut budget, 1, 4 * MB, 0);
    let keys: Vec<_> = (0..6).map(|_| receiving(&mut budget, 2, 4 * MB, 10)).collect();
    let waiting = budget.open(9, FIXED_BYTES, 0);
    let chosen = budget.give_way(body_of(waiting, 4 * MB), 10 * STANDSTILL_MS);
    assert!(keys.contains(&chosen[0]) && !chosen.contains(&other));
}

/// Guards against requests at backends that are ended although their caller does nothing wrong.
#[test]
fn work_stays() {
    let mut budget = smallest_gateway();
    for client in 0..7 {
        let key = receiving(&mut budget, client, 4 * MB, 0);
        budget.set_phase(key, Phase::Working, 0);
    }
    let waiting = budget.open(9, FIXED_BYTES, 0);
    assert_eq!(budget.give_way(body_of(waiting, 4 * MB), 1_000_000), []);
}

/// Guards against a chunked body that grows by a small step past the small size and waits although others
/// stand still.
#[test]
fn small_step_of_large_body() {
    let mut budget = smallest_gateway();
    let still: Vec<_> = (0..7).map(|n| receiving(&mut budget, n, 4 * MB, n)).collect();
    let growing = receiving(&mut budget, 8, SMALL_BYTES, 0);
    budget.set_phase(growing, Phase::Working, 0);
    let rest = budget.open(9, FIXED_BYTES, 0);
    assert!(budget.try_reserve(rest, Purpose::Body, 2 * MB - SMALL_BYTES));
    assert!(!budget.try_reserve(growing, Purpose::Body, SMALL_BYTES));
    let chosen = budget.give_way(body_of(growing, SMALL_BYTES), 2 * STANDSTILL_MS);
    assert_eq!(chosen, [still[0]]);
}

#[test]
fn idle_connections_first() {
    let mut budget = MemoryBudget::default();
    budget.set_limits(BudgetLimits::new(0, 300));
    let body = receiving(&mut budget, 1, 10, 0);
    let mut idle = Vec::new();
    while budget.has_room(FIXED_BYTES) {
        idle.push(budget.open(2, FIXED_BYTES, 10));
    }
    assert_eq!(budget.connections(), 12);
    assert_eq!(budget.give_way(Need::Connection, 10 + STANDSTILL_MS), [idle[0]]);
    budget.close(idle[0]);
    assert!(budget.has_room(FIXED_BYTES));
    idle.drain(1..).for_each(|key| budget.close(key));
    budget.open(3, FIXED_BYTES, 1_000);
    assert_eq!(budget.give_way(Need::Connection, 1_000), [body]);
}

proptest! {
    /// Whatever is reserved and released, the total stays under the limit and returns to zero.
    #[test]
    fn never_over(steps in prop::collection::vec((0..20_usize, any::<bool>(), 0..5 * MB), 1..200)) {
        let mut budget = smallest_gateway();
        let keys: Vec<_> = (0..20).map(|n| budget.open(n, FIXED_BYTES, 0)).collect();
        let mut held = Vec::new();
        for (index, is_body, bytes) in steps {
            let purpose = if is_body { Purpose::Body } else { Purpose::Response };
            if budget.try_reserve(keys[index], purpose, bytes) {
                held.push((keys[index], purpose, bytes));
            } else if let Some((key, purpose, bytes)) = held.pop() {
                budget.release(key, purpose, bytes);
            }
            prop_assert!(budget.used_bytes() <= 60 * MB);
        }
        keys.iter().for_each(|&key| budget.close(key));
        held.into_iter().for_each(|(key, purpose, bytes)| budget.release(key, purpose, bytes));
        prop_assert_eq!(budget.used_bytes(), 0);
    }
}
