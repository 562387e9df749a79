//! Plans the next expert map of a group whose demand moves all the time.
//!
//! Copying an expert to a rank takes long against the time that demand stays, so a plan brings only
//! a few experts to each rank, where they lower the load of the fullest ranks most, and is made again
//! as soon as it is in use. Of plans with more or fewer copies the one that gains fastest is taken.

use crate::routes::ExpertProfile;
use crate::switch::ExpertMap;

/// Weight of full ranks over others while planning: the fullest rank decides, and a high power of
/// the load still tells a plan that lowers the second fullest from one that does not.
const SHARPNESS: i32 = 10;
/// Slowing of passes while experts are copied, from the platform's pages.
const COPY_SLOWDOWN: f64 = 0.15;
/// Time that a plan is judged over. Demand of the users' days stays for about this long.
const HORIZON_MS: f64 = 3_000.0;
/// Time of a change besides the copying: seeing it done, holding, arming and the next plan.
const SWITCH_MS: f64 = 150.0;
/// Least gain of a plan over staying, as a share of the pass time; below it orders cost more.
const LEAST_GAIN: f64 = 0.02;
/// Most experts that a plan brings to one rank.
const MAX_COPIES: usize = 6;

/// A map with what it costs and gives.
#[derive(Clone, Debug, PartialEq)]
pub struct MapPlan {
    /// The map.
    pub map: ExpertMap,
    /// Most experts that are new to one rank.
    pub copies: usize,
    /// Load of the fullest rank over the mean, averaged over the sets, before.
    pub skew_before: f64,
    /// The same with the new map.
    pub skew_after: f64,
}

/// Plans a better map than `map` for these `rates` of choices by set and expert; nothing where no
/// plan is worth its copies.
pub fn plan(map: &ExpertMap, rates: &[Vec<f64>], figures: &ExpertProfile) -> Option<MapPlan> {
    let mut search = Search::new(map, rates, figures);
    let skew_before = search.skew();
    let before = pass_factor(skew_before, figures);
    let mut best: Option<(f64, MapPlan)> = None;
    for copies in 1..=MAX_COPIES {
        search.fill(copies);
        let skew_after = search.skew();
        let gain = before - pass_factor(skew_after, figures);
        let copy_ms = copies as f64 * figures.copy_ms;
        let gained = gain * (HORIZON_MS - copy_ms).max(0.0);
        if gain < LEAST_GAIN * before || gained < COPY_SLOWDOWN * before * copy_ms {
            continue;
        }
        let speed = gain / (copy_ms + SWITCH_MS);
        if best.as_ref().is_none_or(|(fastest, _)| speed > *fastest) {
            let map = search.map();
            best = Some((speed, MapPlan { map, copies, skew_before, skew_after }));
        }
    }
    best.map(|(_, plan)| plan)
}

/// Load of the fullest rank over the mean, averaged over the sets.
pub fn skew(map: &ExpertMap, rates: &[Vec<f64>], figures: &ExpertProfile) -> f64 {
    Search::new(map, rates, figures).skew()
}

/// Time of a pass against one with even ranks.
fn pass_factor(skew: f64, figures: &ExpertProfile) -> f64 {
    1.0 - figures.expert_share + figures.expert_share * skew
}

struct Search<'a> {
    sets: Vec<Set>,
    new_per_rank: Vec<usize>,
    figures: &'a ExpertProfile,
}

struct Set {
    /// Experts of each rank, and whether they are new to it.
    ranks: Vec<Vec<(u32, bool)>>,
    /// Experts of each rank in the map that is in use.
    present: Vec<Vec<u32>>,
    rates: Vec<f64>,
    /// Ranks of each expert.
    holders: Vec<Vec<usize>>,
    loads: Vec<f64>,
    /// Weights of the loads.
    weights: Vec<f64>,
    mean: f64,
    new_per_rank: Vec<usize>,
}

#[derive(Clone, Copy)]
struct Copy {
    set: usize,
    rank: usize,
    expert: u32,
    /// Index of the expert that gives way.
    replaced: Option<usize>,
}

impl<'a> Search<'a> {
    fn new(map: &ExpertMap, rates: &[Vec<f64>], figures: &'a ExpertProfile) -> Self {
        let sets: Vec<Set> =
            map.iter().zip(rates).map(|(set, rates)| Set::new(set, rates)).collect();
        let ranks = map.first().map_or(0, Vec::len);
        Self { sets, new_per_rank: vec![0; ranks], figures }
    }

    fn skew(&self) -> f64 {
        let total: f64 = self.sets.iter().map(Set::skew).sum();
        total / self.sets.len().max(1) as f64
    }

    fn map(&self) -> ExpertMap {
        let experts = |rank: &Vec<(u32, bool)>| rank.iter().map(|&(expert, _)| expert).collect();
        self.sets.iter().map(|set| set.ranks.iter().map(experts).collect()).collect()
    }

    /// Makes the best copies until each rank has `copies` new experts or none is worth it.
    fn fill(&mut self, copies: usize) {
        let mut best_of_set: Vec<Option<(f64, Copy)>> =
            (0..self.sets.len()).map(|set| self.best_copy(set, copies)).collect();
        loop {
            let best = best_of_set.iter().flatten().max_by(|a, b| a.0.total_cmp(&b.0));
            let Some(&(_, copy)) = best else {
                return;
            };
            self.make(copy);
            for (set, best) in best_of_set.iter_mut().enumerate() {
                let stale = set == copy.set
                    || best.is_some_and(|(_, other)| self.new_per_rank[other.rank] >= copies);
                if stale {
                    *best = self.best_copy(set, copies);
                }
            }
        }
    }

    /// The copy in a set that lowers the potential most, with its gain.
    fn best_copy(&self, index: usize, copies: usize) -> Option<(f64, Copy)> {
        let set = &self.sets[index];
        let fullest = set.fullest()?;
        let mut best: Option<(f64, Copy)> = None;
        for rank in (0..set.ranks.len()).filter(|&rank| self.has_room(set, rank, copies)) {
            let replaced = match set.ranks[rank].len() < self.figures.slots_per_rank {
                true => None,
                false => match set.dispensable(rank) {
                    Some(index) => Some(index),
                    None => continue,
                },
            };
            for &(expert, _) in &set.ranks[fullest] {
                let copy = Copy { set: index, rank, expert, replaced };
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

    fn has_room(&self, set: &Set, rank: usize, copies: usize) -> bool {
        self.new_per_rank[rank] < copies && set.new_per_rank[rank] < self.figures.new_per_set
    }

    fn make(&mut self, copy: Copy) {
        let is_new = !self.sets[copy.set].present[copy.rank].contains(&copy.expert);
        self.new_per_rank[copy.rank] += usize::from(is_new);
        self.sets[copy.set].make(copy, is_new);
    }
}

impl Set {
    fn new(map: &[Vec<u32>], rates: &[f64]) -> Self {
        let ranks = map.iter().map(|rank| rank.iter().map(|&e| (e, false)).collect()).collect();
        let mut holders = vec![Vec::new(); rates.len()];
        for (rank, experts) in map.iter().enumerate() {
            experts.iter().for_each(|&expert| holders[expert as usize].push(rank));
        }
        let total: f64 = rates.iter().sum();
        let mean = (total / map.len().max(1) as f64).max(f64::MIN_POSITIVE);
        let mut set = Self {
            ranks,
            present: map.to_vec(),
            rates: rates.to_vec(),
            holders,
            loads: vec![0.0; map.len()],
            weights: vec![0.0; map.len()],
            mean,
            new_per_rank: vec![0; map.len()],
        };
        set.recount();
        set
    }

    fn recount(&mut self) {
        for rank in 0..self.ranks.len() {
            self.loads[rank] = self.ranks[rank].iter().map(|&(e, _)| self.share(e)).sum();
            self.weights[rank] = self.weight(self.loads[rank]);
        }
    }

    fn share(&self, expert: u32) -> f64 {
        self.share_among(expert, self.replicas(expert).max(1))
    }

    /// Load of one of `replicas` replicas.
    fn share_among(&self, expert: u32, replicas: usize) -> f64 {
        self.rates[expert as usize] / replicas as f64
    }

    fn replicas(&self, expert: u32) -> usize {
        self.holders[expert as usize].len()
    }

    fn skew(&self) -> f64 {
        self.loads.iter().copied().fold(self.mean, f64::max) / self.mean
    }

    fn fullest(&self) -> Option<usize> {
        (0..self.loads.len()).max_by(|&a, &b| self.loads[a].total_cmp(&self.loads[b]))
    }

    fn holds(&self, rank: usize, expert: u32) -> bool {
        self.holders[expert as usize].contains(&rank)
    }

    /// Expert of a rank that has other replicas and adds least load; never one that is new.
    fn dispensable(&self, rank: usize) -> Option<usize> {
        let experts = self.ranks[rank].iter().enumerate();
        let usable = experts.filter(|&(_, &(e, is_new))| !is_new && self.replicas(e) > 1);
        let harm = |e: u32| self.share_among(e, self.replicas(e) - 1);
        usable.min_by(|(_, a), (_, b)| harm(a.0).total_cmp(&harm(b.0))).map(|(index, _)| index)
    }

    fn weight(&self, load: f64) -> f64 {
        (load / self.mean).powi(SHARPNESS)
    }

    /// Fall of the potential by a copy. Only ranks with one of the two experts change.
    fn gain(&self, copy: Copy) -> f64 {
        let new = copy.expert;
        let old = copy.replaced.map(|index| self.ranks[copy.rank][index].0);
        let new_share = self.share_among(new, self.replicas(new) + 1);
        let new_shift = new_share - self.share(new);
        let old_share = old.map_or(0.0, |e| self.share(e));
        let old_shift = old.map_or(0.0, |e| self.share_among(e, self.replicas(e) - 1) - old_share);
        let old_holders = old.map_or(&[][..], |e| &self.holders[e as usize]);
        let mut gain = self.fall(copy.rank, new_share - old_share);
        for &rank in &self.holders[new as usize] {
            let gets = if old_holders.contains(&rank) { old_shift } else { 0.0 };
            gain += self.fall(rank, new_shift + gets);
        }
        for &rank in old_holders {
            if rank != copy.rank && !self.holds(rank, new) {
                gain += self.fall(rank, old_shift);
            }
        }
        gain
    }

    /// Fall of the potential where the load of a rank changes.
    fn fall(&self, rank: usize, shift: f64) -> f64 {
        self.weights[rank] - self.weight(self.loads[rank] + shift)
    }

    fn make(&mut self, copy: Copy, is_new: bool) {
        let slot = (copy.expert, is_new);
        match copy.replaced {
            Some(index) => {
                let (old, _) = std::mem::replace(&mut self.ranks[copy.rank][index], slot);
                self.holders[old as usize].retain(|&rank| rank != copy.rank);
            }
            None => self.ranks[copy.rank].push(slot),
        }
        self.holders[copy.expert as usize].push(copy.rank);
        self.new_per_rank[copy.rank] += usize::from(is_new);
        self.recount();
    }
}
