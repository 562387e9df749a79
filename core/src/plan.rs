//! Improves an expert map with few weight transfers.

use crate::map::LayerMap;

/// Exponent of the load in the cost of a rank.
const LOAD_EXPONENT: i32 = 6;
/// Weight of the squared load of a replica: load on few heavy replicas varies more between steps.
const VARIANCE_WEIGHT: f64 = 0.6;
const MAX_HOT_RANKS: usize = 2;
const MAX_HOT_EXPERTS: usize = 8;
/// Minimum number of slots per rank for adding replicas that unbalance the ranks at first.
const MIN_SPREAD_SLOTS: usize = 8;
const MAX_SPREAD_EXPERTS: usize = 24;
/// Maximum number of transfers that balance the ranks again after such a replica.
const MAX_SPREAD_TRANSFERS: usize = 8;
const MIN_COLD_RANKS: usize = 4;
const MIN_COLD_SLOTS: usize = 64;
const MAX_SPARE_SLOTS: usize = 64;
const MAX_LIGHT_EXPERTS: usize = 24;

/// One weight transfer: `expert` replaces the expert in `slot`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Transfer {
    /// Slot of the layer, rank by rank.
    pub slot: usize,
    /// Expert to load into the slot.
    pub expert: u32,
}

/// An improved map with the transfers that lead to it, most useful first.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The map after all transfers.
    pub map: LayerMap,
    /// The transfers.
    pub transfers: Vec<Transfer>,
}

#[derive(Clone, Copy, Debug)]
enum Move {
    Replicate(Transfer),
    Swap(usize, usize),
}

impl Move {
    fn transfer_count(self) -> usize {
        match self {
            Move::Replicate(_) => 1,
            Move::Swap(..) => 2,
        }
    }
}

/// Searches greedily for the transfers that lower the load of the most loaded ranks most.
///
/// The search minimizes the potential, the sum of the costs of all ranks. It stops after `budget`
/// transfers, or if a transfer lowers the potential by a share of less than `min_gain`.
pub fn improve(map: &LayerMap, loads: &[f64], budget: usize, min_gain: f64) -> Plan {
    let mut search = Search::new(map, loads);
    let mut transfers = search.apply_best_moves(budget, min_gain);
    for expert in search.heaviest_experts() {
        let max_transfers = budget - transfers.len();
        if let Some((better, added)) = search.try_replica(expert, max_transfers, min_gain) {
            search = better;
            transfers.extend(added);
        }
    }
    let map = search.into_map(map);
    Plan { map, transfers }
}

/// Map under change, with cached sums that make the gain of a move cheap to compute.
#[derive(Clone)]
struct Search<'a> {
    loads: &'a [f64],
    slots_per_rank: usize,
    slots: Vec<u32>,
    replica_ranks: Vec<Vec<u32>>,
    rank_loads: Vec<f64>,
    mean: f64,
}

impl<'a> Search<'a> {
    fn new(map: &LayerMap, loads: &'a [f64]) -> Self {
        let slots_per_rank = map.slots_per_rank();
        let mut replica_ranks = vec![Vec::new(); map.experts()];
        for (slot, &expert) in map.slots().iter().enumerate() {
            replica_ranks[expert as usize].push((slot / slots_per_rank) as u32);
        }
        let total: f64 = loads.iter().sum();
        let mean = (total / map.ranks() as f64).max(f64::MIN_POSITIVE);
        let rank_loads = vec![0.0; map.ranks()];
        let mut search = Self {
            loads,
            slots_per_rank,
            slots: map.slots().to_vec(),
            replica_ranks,
            rank_loads,
            mean,
        };
        search.recompute();
        search
    }

    /// Applies the best move repeatedly while its gain justifies its transfers.
    fn apply_best_moves(&mut self, budget: usize, min_gain: f64) -> Vec<Transfer> {
        let mut transfers = Vec::new();
        while transfers.len() < budget {
            let max_transfers = budget - transfers.len();
            let Some((next, gain)) = self.best_move(max_transfers) else {
                break;
            };
            if gain < min_gain * self.potential() {
                break;
            }
            transfers.extend(self.apply(next));
        }
        transfers
    }

    fn heaviest_experts(&self) -> Vec<u32> {
        if self.slots_per_rank < MIN_SPREAD_SLOTS {
            return Vec::new();
        }
        let mut experts: Vec<u32> = (0..self.loads.len() as u32).collect();
        experts.sort_by(|&a, &b| {
            self.current_replica_load(b).total_cmp(&self.current_replica_load(a))
        });
        experts.truncate(MAX_SPREAD_EXPERTS);
        experts
    }

    /// Tries an additional replica of an expert, which unbalances the ranks at first, and the moves
    /// that balance them again. Returns `None` if the total gain does not justify the transfers.
    fn try_replica(
        &self,
        expert: u32,
        max_transfers: usize,
        min_gain: f64,
    ) -> Option<(Self, Vec<Transfer>)> {
        let spare_slots = self.spare_slots(&self.ranks_by_load());
        let fits = |&slot: &usize| self.may_replace(Transfer { slot, expert });
        let lightest = |&a: &usize, &b: &usize| {
            self.loads[self.slots[a] as usize].total_cmp(&self.loads[self.slots[b] as usize])
        };
        let slot =
            spare_slots.into_iter().filter(fits).min_by(lightest).filter(|_| max_transfers > 0)?;
        let mut trial = self.clone();
        let mut transfers = trial.apply(Move::Replicate(Transfer { slot, expert }));
        transfers.extend(
            trial.apply_best_moves((max_transfers - 1).min(MAX_SPREAD_TRANSFERS), min_gain),
        );
        let max_ratio = 1.0 - min_gain * transfers.len() as f64;
        (trial.potential() < max_ratio * self.potential()).then_some((trial, transfers))
    }

    fn into_map(self, old: &LayerMap) -> LayerMap {
        let ranks = self.rank_loads.len();
        LayerMap::new(old.experts(), ranks, self.slots).unwrap_or_else(|_| old.clone())
    }

    fn rank_cost(&self, load: f64) -> f64 {
        (load / self.mean).powi(LOAD_EXPONENT)
    }

    fn potential(&self) -> f64 {
        self.rank_loads.iter().map(|&load| self.rank_cost(load)).sum()
    }

    fn best_move(&self, max_transfers: usize) -> Option<(Move, f64)> {
        let mut best: Option<(Move, f64)> = None;
        let mut consider = |candidate: Move, gain: f64| {
            let per_transfer = gain / candidate.transfer_count() as f64;
            if per_transfer > best.map_or(0.0, |(_, g)| g) {
                best = Some((candidate, per_transfer));
            }
        };
        let by_load = self.ranks_by_load();
        let (hot, cold) = self.hot_and_cold(&by_load);
        let spare_slots = self.spare_slots(&by_load);
        for &rank in hot {
            for slot in self.heaviest_slots(rank) {
                self.consider_replicas(self.slots[slot], &spare_slots, &mut consider);
                if max_transfers >= 2 {
                    self.consider_swaps(slot, cold, &mut consider);
                }
            }
        }
        let light_experts = self.lightest_experts();
        for &rank in hot {
            self.consider_offloads(rank, &light_experts, &mut consider);
        }
        best
    }

    fn ranks_by_load(&self) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.rank_loads.len()).collect();
        order.sort_by(|&a, &b| self.rank_loads[b].total_cmp(&self.rank_loads[a]));
        order
    }

    fn hot_and_cold<'b>(&self, by_load: &'b [usize]) -> (&'b [usize], &'b [usize]) {
        let hot = MAX_HOT_RANKS.min(by_load.len());
        let cold = MIN_COLD_RANKS.max(MIN_COLD_SLOTS / self.slots_per_rank).min(by_load.len());
        (&by_load[..hot], &by_load[by_load.len() - cold..])
    }

    /// Returns slots whose expert has another replica, on the least loaded ranks first.
    fn spare_slots(&self, by_load: &[usize]) -> Vec<usize> {
        let slots = by_load.iter().rev().flat_map(|&rank| self.slots_of(rank));
        let spare_slots =
            slots.filter(|&slot| self.replica_ranks[self.slots[slot] as usize].len() > 1);
        spare_slots.take(MAX_SPARE_SLOTS).collect()
    }

    fn current_replica_load(&self, expert: u32) -> f64 {
        self.replica_load(expert as usize, self.replica_ranks[expert as usize].len() as f64)
    }

    /// Returns the load of one of `replicas` replicas, with a penalty for its variance.
    fn replica_load(&self, expert: usize, replicas: f64) -> f64 {
        let share = self.loads[expert] / replicas;
        share + VARIANCE_WEIGHT * share * share / self.mean
    }

    fn heaviest_slots(&self, rank: usize) -> Vec<usize> {
        let mut slots: Vec<usize> = self.slots_of(rank).collect();
        let share = |slot: usize| self.current_replica_load(self.slots[slot]);
        slots.sort_by(|&a, &b| share(b).total_cmp(&share(a)));
        slots.truncate(MAX_HOT_EXPERTS);
        slots
    }

    fn lightest_experts(&self) -> Vec<u32> {
        let mut experts: Vec<u32> = (0..self.loads.len() as u32).collect();
        let count = MAX_LIGHT_EXPERTS.min(experts.len());
        if count < experts.len() {
            let by_share = |a: &u32, b: &u32| {
                self.current_replica_load(*a).total_cmp(&self.current_replica_load(*b))
            };
            experts.select_nth_unstable_by(count, by_share);
            experts.truncate(count);
        }
        experts
    }

    fn slots_of(&self, rank: usize) -> std::ops::Range<usize> {
        rank * self.slots_per_rank..(rank + 1) * self.slots_per_rank
    }

    /// Considers an additional replica of a hot expert in place of a redundant replica.
    fn consider_replicas(
        &self,
        expert: u32,
        spare_slots: &[usize],
        consider: &mut impl FnMut(Move, f64),
    ) {
        for &slot in spare_slots {
            let transfer = Transfer { slot, expert };
            if self.may_replace(transfer) {
                consider(Move::Replicate(transfer), self.replica_gain(transfer));
            }
        }
    }

    /// Considers replacing a redundant replica on a hot rank by a replica of a light expert.
    fn consider_offloads(
        &self,
        rank: usize,
        light_experts: &[u32],
        consider: &mut impl FnMut(Move, f64),
    ) {
        for slot in self.slots_of(rank) {
            if self.replica_ranks[self.slots[slot] as usize].len() < 2 {
                continue;
            }
            for &expert in light_experts {
                let transfer = Transfer { slot, expert };
                if self.may_replace(transfer) {
                    consider(Move::Replicate(transfer), self.replica_gain(transfer));
                }
            }
        }
    }

    fn may_replace(&self, transfer: Transfer) -> bool {
        let old = self.slots[transfer.slot];
        let rank = (transfer.slot / self.slots_per_rank) as u32;
        let present = self.replica_ranks[transfer.expert as usize].contains(&rank);
        old != transfer.expert && !present && self.replica_ranks[old as usize].len() > 1
    }

    fn consider_swaps(
        &self,
        hot_slot: usize,
        cold: &[usize],
        consider: &mut impl FnMut(Move, f64),
    ) {
        let hot = self.slots[hot_slot];
        let hot_share = self.current_replica_load(hot);
        let hot_rank = hot_slot / self.slots_per_rank;
        let hot_load = self.rank_loads[hot_rank];
        for slot in cold.iter().flat_map(|&rank| self.slots_of(rank)) {
            let rank = slot / self.slots_per_rank;
            let other = self.slots[slot];
            let shift = hot_share - self.current_replica_load(other);
            let fits = shift > 0.0 && self.rank_loads[rank] + shift < hot_load;
            if !fits || self.has_replica(hot, rank) || self.has_replica(other, hot_rank) {
                continue;
            }
            let before = self.rank_cost(hot_load) + self.rank_cost(self.rank_loads[rank]);
            let after =
                self.rank_cost(hot_load - shift) + self.rank_cost(self.rank_loads[rank] + shift);
            consider(Move::Swap(hot_slot, slot), before - after);
        }
    }

    fn has_replica(&self, expert: u32, rank: usize) -> bool {
        self.replica_ranks[expert as usize].contains(&(rank as u32))
    }

    fn replica_gain(&self, transfer: Transfer) -> f64 {
        let rank = (transfer.slot / self.slots_per_rank) as u32;
        let (old, new) = (self.slots[transfer.slot] as usize, transfer.expert as usize);
        let (old_count, new_count) =
            (self.replica_ranks[old].len() as f64, self.replica_ranks[new].len() as f64);
        let old_shift = self.replica_load(old, old_count - 1.0) - self.replica_load(old, old_count);
        let new_shift = self.replica_load(new, new_count + 1.0) - self.replica_load(new, new_count);
        let load_shift = |r: u32| match r {
            _ if r == rank => {
                self.replica_load(new, new_count + 1.0) - self.replica_load(old, old_count)
                    + f64::from(u8::from(self.has_two_replicas(old, rank))) * old_shift
            }
            _ => {
                let holds_old = f64::from(u8::from(self.replica_ranks[old].contains(&r)));
                let holds_new = f64::from(u8::from(self.replica_ranks[new].contains(&r)));
                holds_old * old_shift + holds_new * new_shift
            }
        };
        let mut gain = self.shift_gain(rank, load_shift(rank));
        for &r in self.replica_ranks[old].iter().filter(|&&r| r != rank) {
            gain += self.shift_gain(r, load_shift(r));
        }
        for &r in self.replica_ranks[new].iter().filter(|r| !self.replica_ranks[old].contains(r)) {
            gain += self.shift_gain(r, load_shift(r));
        }
        gain
    }

    fn has_two_replicas(&self, expert: usize, rank: u32) -> bool {
        self.replica_ranks[expert].iter().filter(|&&r| r == rank).count() > 1
    }

    fn shift_gain(&self, rank: u32, shift: f64) -> f64 {
        let load = self.rank_loads[rank as usize];
        self.rank_cost(load) - self.rank_cost((load + shift).max(0.0))
    }

    fn apply(&mut self, next: Move) -> Vec<Transfer> {
        let transfers = match next {
            Move::Replicate(transfer) => vec![transfer],
            Move::Swap(a, b) => vec![
                Transfer { slot: a, expert: self.slots[b] },
                Transfer { slot: b, expert: self.slots[a] },
            ],
        };
        for transfer in &transfers {
            self.slots[transfer.slot] = transfer.expert;
        }
        self.recompute();
        transfers
    }

    fn recompute(&mut self) {
        self.replica_ranks.iter_mut().for_each(Vec::clear);
        for (slot, &expert) in self.slots.iter().enumerate() {
            self.replica_ranks[expert as usize].push((slot / self.slots_per_rank) as u32);
        }
        self.rank_loads.fill(0.0);
        for (slot, &expert) in self.slots.iter().enumerate() {
            let share = self.current_replica_load(expert);
            self.rank_loads[slot / self.slots_per_rank] += share;
        }
    }
}
