//! Improves an expert map by few weight transfers.

use crate::map::LayerMap;

const SHARPNESS: i32 = 6;
/// Weight of a slot's squared share: load on few heavy replicas varies more from step to step.
const RISK: f64 = 0.6;
const HOT_RANKS: usize = 2;
const HOT_EXPERTS: usize = 8;
const MIN_SPREAD_SLOTS: usize = 8;
const SPREAD_TRIES: usize = 24;
const SPREAD_ROOM: usize = 8;
const COLD_RANKS: usize = 4;
const COLD_SLOTS: usize = 64;
const SPARE_SLOTS: usize = 64;
const COLD_EXPERTS: usize = 24;

/// One weight transfer: `expert` reholders what `slot` held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Transfer {
    /// Slot of the layer, rank by rank.
    pub slot: usize,
    /// Expert that the slot gets.
    pub expert: u32,
}

/// A better map with the transfers that lead to it, in the order of their worth.
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
    fn cost(self) -> usize {
        match self {
            Move::Replicate(_) => 1,
            Move::Swap(..) => 2,
        }
    }
}

/// Searches greedily from `map` for the transfers that lower the load of the fullest ranks most,
/// and stops after `budget` transfers or where the potential falls by less than `least_gain` of
/// itself per transfer.
pub fn improve(map: &LayerMap, loads: &[f64], budget: usize, least_gain: f64) -> Plan {
    let mut search = Search::new(map, loads);
    let mut transfers = search.descend(budget, least_gain);
    for expert in search.heaviest_experts() {
        let room = budget - transfers.len();
        if let Some((better, more)) = search.spread(expert, room, least_gain) {
            search = better;
            transfers.extend(more);
        }
    }
    let map = search.into_map(map);
    Plan { map, transfers }
}

/// Map under change with the sums that make a move's worth cheap to find.
#[derive(Clone)]
struct Search<'a> {
    loads: &'a [f64],
    per_rank: usize,
    slots: Vec<u32>,
    holders: Vec<Vec<u32>>,
    ranks: Vec<f64>,
    mean: f64,
}

impl<'a> Search<'a> {
    fn new(map: &LayerMap, loads: &'a [f64]) -> Self {
        let per_rank = map.slots_per_rank();
        let mut holders = vec![Vec::new(); map.experts()];
        for (slot, &expert) in map.slots().iter().enumerate() {
            holders[expert as usize].push((slot / per_rank) as u32);
        }
        let total: f64 = loads.iter().sum();
        let mean = (total / map.ranks() as f64).max(f64::MIN_POSITIVE);
        let ranks = vec![0.0; map.ranks()];
        let mut search =
            Self { loads, per_rank, slots: map.slots().to_vec(), holders, ranks, mean };
        search.recount();
        search
    }

    /// Makes the best moves one by one while each is worth its transfers.
    fn descend(&mut self, budget: usize, least_gain: f64) -> Vec<Transfer> {
        let mut transfers = Vec::new();
        while transfers.len() < budget {
            let room = budget - transfers.len();
            let Some((next, gain)) = self.best_move(room) else {
                break;
            };
            if gain < least_gain * self.potential() {
                break;
            }
            transfers.extend(self.apply(next));
        }
        transfers
    }

    fn heaviest_experts(&self) -> Vec<u32> {
        if self.per_rank < MIN_SPREAD_SLOTS {
            return Vec::new();
        }
        let mut experts: Vec<u32> = (0..self.loads.len() as u32).collect();
        experts.sort_by(|&a, &b| self.share(b).total_cmp(&self.share(a)));
        experts.truncate(SPREAD_TRIES);
        experts
    }

    /// A further replica of an expert that unbalances the ranks at first, with the moves that
    /// balance them again; where all of them together are worth it.
    fn spread(&self, expert: u32, room: usize, least_gain: f64) -> Option<(Self, Vec<Transfer>)> {
        let spare = self.spare_slots(&self.ranks_by_load());
        let fits = |&slot: &usize| self.may_replace(Transfer { slot, expert });
        let lightest = |&a: &usize, &b: &usize| {
            self.loads[self.slots[a] as usize].total_cmp(&self.loads[self.slots[b] as usize])
        };
        let slot = spare.into_iter().filter(fits).min_by(lightest).filter(|_| room > 0)?;
        let mut trial = self.clone();
        let mut transfers = trial.apply(Move::Replicate(Transfer { slot, expert }));
        transfers.extend(trial.descend((room - 1).min(SPREAD_ROOM), least_gain));
        let worth = 1.0 - least_gain * transfers.len() as f64;
        (trial.potential() < worth * self.potential()).then_some((trial, transfers))
    }

    fn into_map(self, old: &LayerMap) -> LayerMap {
        let ranks = self.ranks.len();
        LayerMap::new(old.experts(), ranks, self.slots).unwrap_or_else(|_| old.clone())
    }

    fn weight(&self, load: f64) -> f64 {
        (load / self.mean).powi(SHARPNESS)
    }

    fn potential(&self) -> f64 {
        self.ranks.iter().map(|&load| self.weight(load)).sum()
    }

    fn best_move(&self, room: usize) -> Option<(Move, f64)> {
        let mut best: Option<(Move, f64)> = None;
        let mut consider = |candidate: Move, gain: f64| {
            let per_transfer = gain / candidate.cost() as f64;
            if per_transfer > best.map_or(0.0, |(_, g)| g) {
                best = Some((candidate, per_transfer));
            }
        };
        let by_load = self.ranks_by_load();
        let (hot, cold) = self.hot_and_cold(&by_load);
        let spare = self.spare_slots(&by_load);
        for &rank in hot {
            for slot in self.heaviest_slots(rank) {
                self.consider_replicas(self.slots[slot], &spare, &mut consider);
                if room >= 2 {
                    self.consider_swaps(slot, cold, &mut consider);
                }
            }
        }
        let light = self.lightest_experts();
        for &rank in hot {
            self.consider_relief(rank, &light, &mut consider);
        }
        best
    }

    fn ranks_by_load(&self) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.ranks.len()).collect();
        order.sort_by(|&a, &b| self.ranks[b].total_cmp(&self.ranks[a]));
        order
    }

    fn hot_and_cold<'b>(&self, by_load: &'b [usize]) -> (&'b [usize], &'b [usize]) {
        let hot = HOT_RANKS.min(by_load.len());
        let cold = COLD_RANKS.max(COLD_SLOTS / self.per_rank).min(by_load.len());
        (&by_load[..hot], &by_load[by_load.len() - cold..])
    }

    /// Slots whose expert has another one, on the least loaded ranks that have such.
    fn spare_slots(&self, by_load: &[usize]) -> Vec<usize> {
        let slots = by_load.iter().rev().flat_map(|&rank| self.slots_of(rank));
        let spare = slots.filter(|&slot| self.holders[self.slots[slot] as usize].len() > 1);
        spare.take(SPARE_SLOTS).collect()
    }

    fn share(&self, expert: u32) -> f64 {
        self.share_of(expert as usize, self.holders[expert as usize].len() as f64)
    }

    /// Load of one of several replicas, with its risk.
    fn share_of(&self, expert: usize, replicas: f64) -> f64 {
        let share = self.loads[expert] / replicas;
        share + RISK * share * share / self.mean
    }

    fn heaviest_slots(&self, rank: usize) -> Vec<usize> {
        let mut slots: Vec<usize> = self.slots_of(rank).collect();
        let share = |slot: usize| self.share(self.slots[slot]);
        slots.sort_by(|&a, &b| share(b).total_cmp(&share(a)));
        slots.truncate(HOT_EXPERTS);
        slots
    }

    fn lightest_experts(&self) -> Vec<u32> {
        let mut experts: Vec<u32> = (0..self.loads.len() as u32).collect();
        let count = COLD_EXPERTS.min(experts.len());
        if count < experts.len() {
            let by_share = |a: &u32, b: &u32| self.share(*a).total_cmp(&self.share(*b));
            experts.select_nth_unstable_by(count, by_share);
            experts.truncate(count);
        }
        experts
    }

    fn slots_of(&self, rank: usize) -> std::ops::Range<usize> {
        rank * self.per_rank..(rank + 1) * self.per_rank
    }

    /// A further replica of a hot expert in place of one that has others.
    fn consider_replicas(
        &self,
        expert: u32,
        spare: &[usize],
        consider: &mut impl FnMut(Move, f64),
    ) {
        for &slot in spare {
            let transfer = Transfer { slot, expert };
            if self.may_replace(transfer) {
                consider(Move::Replicate(transfer), self.replica_gain(transfer));
            }
        }
    }

    /// A replica on a hot rank gives way to one of a light expert.
    fn consider_relief(&self, rank: usize, light: &[u32], consider: &mut impl FnMut(Move, f64)) {
        for slot in self.slots_of(rank) {
            if self.holders[self.slots[slot] as usize].len() < 2 {
                continue;
            }
            for &expert in light {
                let transfer = Transfer { slot, expert };
                if self.may_replace(transfer) {
                    consider(Move::Replicate(transfer), self.replica_gain(transfer));
                }
            }
        }
    }

    fn may_replace(&self, transfer: Transfer) -> bool {
        let old = self.slots[transfer.slot];
        let rank = (transfer.slot / self.per_rank) as u32;
        let present = self.holders[transfer.expert as usize].contains(&rank);
        old != transfer.expert && !present && self.holders[old as usize].len() > 1
    }

    fn consider_swaps(
        &self,
        hot_slot: usize,
        cold: &[usize],
        consider: &mut impl FnMut(Move, f64),
    ) {
        let hot = self.slots[hot_slot];
        let hot_share = self.share(hot);
        let hot_rank = hot_slot / self.per_rank;
        let hot_load = self.ranks[hot_rank];
        for slot in cold.iter().flat_map(|&rank| self.slots_of(rank)) {
            let rank = slot / self.per_rank;
            let other = self.slots[slot];
            let shift = hot_share - self.share(other);
            let fits = shift > 0.0 && self.ranks[rank] + shift < hot_load;
            if !fits || self.is_on(hot, rank) || self.is_on(other, hot_rank) {
                continue;
            }
            let before = self.weight(hot_load) + self.weight(self.ranks[rank]);
            let after = self.weight(hot_load - shift) + self.weight(self.ranks[rank] + shift);
            consider(Move::Swap(hot_slot, slot), before - after);
        }
    }

    fn is_on(&self, expert: u32, rank: usize) -> bool {
        self.holders[expert as usize].contains(&(rank as u32))
    }

    fn replica_gain(&self, transfer: Transfer) -> f64 {
        let rank = (transfer.slot / self.per_rank) as u32;
        let (old, new) = (self.slots[transfer.slot] as usize, transfer.expert as usize);
        let (old_count, new_count) =
            (self.holders[old].len() as f64, self.holders[new].len() as f64);
        let old_shift = self.share_of(old, old_count - 1.0) - self.share_of(old, old_count);
        let new_shift = self.share_of(new, new_count + 1.0) - self.share_of(new, new_count);
        let shift_of = |r: u32| match r {
            _ if r == rank => {
                self.share_of(new, new_count + 1.0) - self.share_of(old, old_count)
                    + f64::from(u8::from(self.doubled(old, rank))) * old_shift
            }
            _ => {
                let gets_old = f64::from(u8::from(self.holders[old].contains(&r)));
                let gives_new = f64::from(u8::from(self.holders[new].contains(&r)));
                gets_old * old_shift + gives_new * new_shift
            }
        };
        let mut gain = self.shifted(rank, shift_of(rank));
        for &r in self.holders[old].iter().filter(|&&r| r != rank) {
            gain += self.shifted(r, shift_of(r));
        }
        for &r in self.holders[new].iter().filter(|r| !self.holders[old].contains(r)) {
            gain += self.shifted(r, shift_of(r));
        }
        gain
    }

    fn doubled(&self, expert: usize, rank: u32) -> bool {
        self.holders[expert].iter().filter(|&&r| r == rank).count() > 1
    }

    fn shifted(&self, rank: u32, shift: f64) -> f64 {
        let load = self.ranks[rank as usize];
        self.weight(load) - self.weight((load + shift).max(0.0))
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
        self.recount();
        transfers
    }

    fn recount(&mut self) {
        self.holders.iter_mut().for_each(Vec::clear);
        for (slot, &expert) in self.slots.iter().enumerate() {
            self.holders[expert as usize].push((slot / self.per_rank) as u32);
        }
        self.ranks.fill(0.0);
        for (slot, &expert) in self.slots.iter().enumerate() {
            let share = self.share(expert);
            self.ranks[slot / self.per_rank] += share;
        }
    }
}
