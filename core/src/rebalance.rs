//! Plans the next expert map of a group under constantly shifting demand.
//!
//! Copying an expert to a rank is slow compared with how long demand stays the same. A plan
//! therefore copies only a few experts to each rank, selected to reduce the load of the most loaded
//! ranks most, and a new plan is made as soon as the previous one is in use. Among plans with
//! different numbers of copies, the one with the highest gain per time is selected.
//!
//! All ranks of a group execute each pass together, so a slow rank delays all of them. The load of a
//! rank is weighted by its pace: experts move away from a slow one.

use crate::pace::COPY_SLOWDOWN;
use crate::routes::ExpertProfile;
use crate::switch::ExpertMap;

/// Exponent of the load in the cost of a rank. The most loaded rank determines the pass time; a
/// high power still rewards a plan that lowers the second most loaded rank.
const LOAD_EXPONENT: i32 = 10;
/// Time over which a plan has to repay its copies, about as long as demand stays the same.
const PLAN_HORIZON_MS: f64 = 3_000.0;
/// Time of a change in addition to the copying: detecting its end, holding, arming and planning.
const CHANGE_OVERHEAD_MS: f64 = 150.0;
/// Minimum gain of a plan, as a share of the pass time; a smaller gain does not repay the orders.
const MIN_GAIN: f64 = 0.02;
/// Share of the excess load that starts a plan, below which a set gets no more copies.
const GOAL_SHARE: f64 = 0.5;
/// Maximum number of experts that a plan copies to one rank.
const MAX_COPIES: usize = 6;

/// A planned map with its copies and the expected skew.
#[derive(Clone, Debug, PartialEq)]
pub struct MapPlan {
    /// The planned map.
    pub map: ExpertMap,
    /// Maximum number of new experts on one rank.
    pub copies: usize,
    /// Load of the most loaded rank over the mean with the current map, averaged over the sets.
    pub skew_before: f64,
    /// Load of the most loaded rank over the mean with the planned map, averaged over the sets.
    pub skew_after: f64,
}

/// Plans a better map than `map` for `rates`, the choices by set and expert, and `paces`, the slowdown
/// factor of each rank, 1 where none is given. Returns `None` if the skew is at most `replan_skew` or
/// no plan repays its copies.
pub fn plan(
    map: &ExpertMap,
    rates: &[Vec<f64>],
    paces: &[f64],
    profile: &ExpertProfile,
    replan_skew: f64,
) -> Option<MapPlan> {
    let goal = 1.0 + GOAL_SHARE * (replan_skew - 1.0);
    let mut search = Search::new(map, rates, paces, profile, goal);
    let skew_before = search.skew();
    if skew_before <= replan_skew {
        return None;
    }
    let before = relative_pass_time(skew_before, profile);
    let mut best: Option<(f64, MapPlan)> = None;
    for copies in 1..=MAX_COPIES {
        search.add_copies(copies);
        let skew_after = search.skew();
        let gain = before - relative_pass_time(skew_after, profile);
        let copy_ms = copies as f64 * profile.copy_ms;
        let horizon_gain = gain * (PLAN_HORIZON_MS - copy_ms).max(0.0);
        if gain < MIN_GAIN * before || horizon_gain < COPY_SLOWDOWN * before * copy_ms {
            continue;
        }
        let gain_rate = gain / (copy_ms + CHANGE_OVERHEAD_MS);
        if best.as_ref().is_none_or(|(best_rate, _)| gain_rate > *best_rate) {
            let map = search.map();
            best = Some((gain_rate, MapPlan { map, copies, skew_before, skew_after }));
        }
    }
    best.map(|(_, plan)| plan)
}

/// Returns the load of the most loaded rank over the mean, averaged over the sets.
pub fn skew(map: &ExpertMap, rates: &[Vec<f64>], profile: &ExpertProfile) -> f64 {
    Search::new(map, rates, &[], profile, 1.0).skew()
}

/// Returns the time of a pass, relative to a pass with evenly loaded ranks.
fn relative_pass_time(skew: f64, profile: &ExpertProfile) -> f64 {
    1.0 - profile.expert_share + profile.expert_share * skew
}

struct Search<'a> {
    sets: Vec<SetState>,
    new_per_rank: Vec<usize>,
    profile: &'a ExpertProfile,
    /// Skew of a set from which on it gets no more copies.
    goal: f64,
}

struct SetState {
    /// Experts of each rank, each with whether it is new to the rank.
    ranks: Vec<Vec<(u32, bool)>>,
    /// Experts of each rank in the map in use.
    current_experts: Vec<Vec<u32>>,
    rates: Vec<f64>,
    /// Ranks of each expert.
    replica_ranks: Vec<Vec<usize>>,
    /// Slowdown factor of each rank.
    paces: Vec<f64>,
    /// Load of each rank, weighted by its pace.
    loads: Vec<f64>,
    /// Cost of each rank's load.
    rank_costs: Vec<f64>,
    mean: f64,
    new_per_rank: Vec<usize>,
}

#[derive(Clone, Copy)]
struct ExpertCopy {
    set: usize,
    rank: usize,
    expert: u32,
    /// Index of the expert that is replaced, if the rank has no free slot.
    replaced: Option<usize>,
}

impl<'a> Search<'a> {
    fn new(
        map: &ExpertMap,
        rates: &[Vec<f64>],
        paces: &[f64],
        profile: &'a ExpertProfile,
        goal: f64,
    ) -> Self {
        let ranks = map.first().map_or(0, Vec::len);
        let pace = |rank: usize| paces.get(rank).copied().unwrap_or(1.0);
        let paces: Vec<f64> = (0..ranks).map(pace).collect();
        let sets: Vec<SetState> =
            map.iter().zip(rates).map(|(set, rates)| SetState::new(set, rates, &paces)).collect();
        Self { sets, new_per_rank: vec![0; ranks], profile, goal }
    }

    fn skew(&self) -> f64 {
        let total: f64 = self.sets.iter().map(SetState::skew).sum();
        total / self.sets.len().max(1) as f64
    }

    fn map(&self) -> ExpertMap {
        let experts = |rank: &Vec<(u32, bool)>| rank.iter().map(|&(expert, _)| expert).collect();
        self.sets.iter().map(|set| set.ranks.iter().map(experts).collect()).collect()
    }

    /// Applies the best copies until each rank has `copies` new experts or no copy has a gain.
    fn add_copies(&mut self, copies: usize) {
        let mut best_of_set: Vec<Option<(f64, ExpertCopy)>> =
            (0..self.sets.len()).map(|set| self.best_copy(set, copies)).collect();
        loop {
            let best = best_of_set.iter().flatten().max_by(|a, b| a.0.total_cmp(&b.0));
            let Some(&(_, copy)) = best else {
                return;
            };
            self.apply(copy);
            for (set, best) in best_of_set.iter_mut().enumerate() {
                let stale = set == copy.set
                    || best.is_some_and(|(_, other)| self.new_per_rank[other.rank] >= copies);
                if stale {
                    *best = self.best_copy(set, copies);
                }
            }
        }
    }

    /// Returns the copy that lowers the potential of a set most, with its gain. The potential is the
    /// sum of the costs of all ranks.
    fn best_copy(&self, index: usize, copies: usize) -> Option<(f64, ExpertCopy)> {
        let set = &self.sets[index];
        if set.skew() <= self.goal {
            return None;
        }
        let most_loaded = set.most_loaded()?;
        let mut best: Option<(f64, ExpertCopy)> = None;
        for rank in (0..set.ranks.len()).filter(|&rank| self.may_add(set, rank, copies)) {
            let replaced = match set.ranks[rank].len() < self.profile.slots_per_rank {
                true => None,
                false => match set.replaceable(rank) {
                    Some(index) => Some(index),
                    None => continue,
                },
            };
            for &(expert, _) in &set.ranks[most_loaded] {
                let copy = ExpertCopy { set: index, rank, expert, replaced };
                if set.holds(rank, expert) {
                    continue;
                }
                let gain = set.gain(copy);
                if gain > best.map_or(1e-9, |(gain, _)| gain) {
                    best = Some((gain, copy));
                }
            }
        }
        best
    }

    fn may_add(&self, set: &SetState, rank: usize, copies: usize) -> bool {
        self.new_per_rank[rank] < copies && set.new_per_rank[rank] < self.profile.new_per_set
    }

    fn apply(&mut self, copy: ExpertCopy) {
        let is_new = !self.sets[copy.set].current_experts[copy.rank].contains(&copy.expert);
        self.new_per_rank[copy.rank] += usize::from(is_new);
        self.sets[copy.set].apply(copy, is_new);
    }
}

impl SetState {
    fn new(map: &[Vec<u32>], rates: &[f64], paces: &[f64]) -> Self {
        let ranks = map.iter().map(|rank| rank.iter().map(|&e| (e, false)).collect()).collect();
        let mut replica_ranks = vec![Vec::new(); rates.len()];
        for (rank, experts) in map.iter().enumerate() {
            experts.iter().for_each(|&expert| replica_ranks[expert as usize].push(rank));
        }
        let total: f64 = rates.iter().sum();
        let mean = (total / map.len().max(1) as f64).max(f64::MIN_POSITIVE);
        let mut set = Self {
            ranks,
            current_experts: map.to_vec(),
            rates: rates.to_vec(),
            replica_ranks,
            paces: paces.to_vec(),
            loads: vec![0.0; map.len()],
            rank_costs: vec![0.0; map.len()],
            mean,
            new_per_rank: vec![0; map.len()],
        };
        set.recompute();
        set
    }

    fn recompute(&mut self) {
        for rank in 0..self.ranks.len() {
            let load: f64 =
                self.ranks[rank].iter().map(|&(e, _)| self.current_replica_load(e)).sum();
            self.loads[rank] = self.paces[rank] * load;
            self.rank_costs[rank] = self.rank_cost(self.loads[rank]);
        }
    }

    fn current_replica_load(&self, expert: u32) -> f64 {
        self.replica_load(expert, self.replicas(expert).max(1))
    }

    /// Returns the load of one of `replicas` replicas.
    fn replica_load(&self, expert: u32, replicas: usize) -> f64 {
        self.rates[expert as usize] / replicas as f64
    }

    fn replicas(&self, expert: u32) -> usize {
        self.replica_ranks[expert as usize].len()
    }

    fn skew(&self) -> f64 {
        self.loads.iter().copied().fold(self.mean, f64::max) / self.mean
    }

    fn most_loaded(&self) -> Option<usize> {
        (0..self.loads.len()).max_by(|&a, &b| self.loads[a].total_cmp(&self.loads[b]))
    }

    fn holds(&self, rank: usize, expert: u32) -> bool {
        self.replica_ranks[expert as usize].contains(&rank)
    }

    /// Returns the index of the expert on a rank that has other replicas and adds the least load to
    /// them if it is removed. Experts that are new to the rank are excluded.
    fn replaceable(&self, rank: usize) -> Option<usize> {
        let experts = self.ranks[rank].iter().enumerate();
        let candidates = experts.filter(|&(_, &(e, is_new))| !is_new && self.replicas(e) > 1);
        let load_after_removal = |e: u32| self.replica_load(e, self.replicas(e) - 1);
        candidates
            .min_by(|(_, a), (_, b)| load_after_removal(a.0).total_cmp(&load_after_removal(b.0)))
            .map(|(index, _)| index)
    }

    fn rank_cost(&self, load: f64) -> f64 {
        (load / self.mean).powi(LOAD_EXPONENT)
    }

    /// Returns the decrease of the potential by a copy. Only the loads of ranks with one of the two
    /// experts change.
    fn gain(&self, copy: ExpertCopy) -> f64 {
        let new = copy.expert;
        let old = copy.replaced.map(|index| self.ranks[copy.rank][index].0);
        let new_share = self.replica_load(new, self.replicas(new) + 1);
        let new_shift = new_share - self.current_replica_load(new);
        let old_share = old.map_or(0.0, |e| self.current_replica_load(e));
        let old_shift = old.map_or(0.0, |e| self.replica_load(e, self.replicas(e) - 1) - old_share);
        let old_ranks = old.map_or(&[][..], |e| &self.replica_ranks[e as usize]);
        let mut gain = self.shift_gain(copy.rank, new_share - old_share);
        for &rank in &self.replica_ranks[new as usize] {
            let old_part = if old_ranks.contains(&rank) { old_shift } else { 0.0 };
            gain += self.shift_gain(rank, new_shift + old_part);
        }
        for &rank in old_ranks {
            if rank != copy.rank && !self.holds(rank, new) {
                gain += self.shift_gain(rank, old_shift);
            }
        }
        gain
    }

    /// Returns the decrease of the potential if the unweighted load of a rank changes by `shift`.
    fn shift_gain(&self, rank: usize, shift: f64) -> f64 {
        self.rank_costs[rank] - self.rank_cost(self.loads[rank] + self.paces[rank] * shift)
    }

    fn apply(&mut self, copy: ExpertCopy, is_new: bool) {
        let slot = (copy.expert, is_new);
        match copy.replaced {
            Some(index) => {
                let (old, _) = std::mem::replace(&mut self.ranks[copy.rank][index], slot);
                self.replica_ranks[old as usize].retain(|&rank| rank != copy.rank);
            }
            None => self.ranks[copy.rank].push(slot),
        }
        self.replica_ranks[copy.expert as usize].push(copy.rank);
        self.new_per_rank[copy.rank] += usize::from(is_new);
        self.recompute();
    }
}
