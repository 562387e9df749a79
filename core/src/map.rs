//! Expert maps: the expert in each slot of each rank.

use derive_more::{Display, Error};

/// Reason why slots are not a valid map.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum MapError {
    /// The number of slots is not a multiple of the number of ranks.
    #[display("{slots} slots do not divide among {ranks} ranks")]
    Shape {
        /// Slots of the layer.
        slots: usize,
        /// Ranks of the group.
        ranks: usize,
    },
    /// An expert has no slot.
    #[display("expert {_0} has no slot")]
    Missing(#[error(not(source))] u32),
    /// A slot holds an expert that does not exist.
    #[display("expert {_0} does not exist")]
    Unknown(#[error(not(source))] u32),
}

/// Map of one layer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LayerMap {
    experts: usize,
    slots_per_rank: usize,
    slots: Vec<u32>,
}

impl LayerMap {
    /// Creates a map from the experts of all slots, rank by rank.
    ///
    /// # Errors
    ///
    /// Fails if an expert has no slot, if a slot names an unknown expert, or if the
    /// slots do not divide among the ranks.
    pub fn new(experts: usize, ranks: usize, slots: Vec<u32>) -> Result<Self, MapError> {
        if ranks == 0 || !slots.len().is_multiple_of(ranks) {
            return Err(MapError::Shape { slots: slots.len(), ranks });
        }
        let mut seen = vec![false; experts];
        for &expert in &slots {
            *seen.get_mut(expert as usize).ok_or(MapError::Unknown(expert))? = true;
        }
        if let Some(missing) = seen.iter().position(|&s| !s) {
            return Err(MapError::Missing(missing as u32));
        }
        Ok(Self { experts, slots_per_rank: slots.len() / ranks, slots })
    }

    /// Assigns the experts to the slots round robin, rank by rank.
    ///
    /// # Errors
    ///
    /// Fails if there are fewer slots than experts.
    pub fn round_robin(
        experts: usize,
        ranks: usize,
        slots_per_rank: usize,
    ) -> Result<Self, MapError> {
        let slots = (0..ranks * slots_per_rank).map(|slot| (slot % experts.max(1)) as u32);
        Self::new(experts, ranks, slots.collect())
    }

    /// Returns the number of experts.
    pub fn experts(&self) -> usize {
        self.experts
    }

    /// Returns the number of ranks.
    pub fn ranks(&self) -> usize {
        self.slots.len() / self.slots_per_rank
    }

    /// Returns the number of slots of one rank.
    pub fn slots_per_rank(&self) -> usize {
        self.slots_per_rank
    }

    /// Returns the experts of all slots, rank by rank.
    pub fn slots(&self) -> &[u32] {
        &self.slots
    }

    /// Returns the number of replicas of each expert.
    pub fn replicas(&self) -> Vec<u32> {
        let mut replicas = vec![0; self.experts];
        for &expert in &self.slots {
            replicas[expert as usize] += 1;
        }
        replicas
    }

    /// Returns the load of each rank; the load of an expert splits evenly over its replicas.
    pub fn rank_loads(&self, loads: &[f64]) -> Vec<f64> {
        let replicas = self.replicas();
        let share = |expert: u32| loads[expert as usize] / f64::from(replicas[expert as usize]);
        let ranks = self.slots.chunks(self.slots_per_rank);
        ranks.map(|slots| slots.iter().map(|&e| share(e)).sum()).collect()
    }

    /// Returns the load of the most loaded rank over the mean, or 1 without load.
    pub fn skew(&self, loads: &[f64]) -> f64 {
        let ranks = self.rank_loads(loads);
        let mean = ranks.iter().sum::<f64>() / ranks.len() as f64;
        let max = ranks.iter().copied().fold(0.0, f64::max);
        if mean > 0.0 { max / mean } else { 1.0 }
    }

    /// Replaces the expert of one slot.
    ///
    /// # Errors
    ///
    /// Fails and leaves the map unchanged if the expert is unknown or if the replaced
    /// expert would lose its last slot.
    pub fn set(&mut self, slot: usize, expert: u32) -> Result<(), MapError> {
        let old = self.slots[slot];
        let replicas = self.slots.iter().filter(|&&e| e == old).count();
        match expert {
            _ if expert as usize >= self.experts => Err(MapError::Unknown(expert)),
            _ if expert != old && replicas == 1 => Err(MapError::Missing(old)),
            _ => {
                self.slots[slot] = expert;
                Ok(())
            }
        }
    }

    /// Returns the number of weight transfers from `self` to `next`: experts that are new to a
    /// rank.
    pub fn transfers_to(&self, next: &LayerMap) -> usize {
        let slots_per_rank = self.slots_per_rank;
        let ranks = self.slots.chunks(slots_per_rank).zip(next.slots.chunks(slots_per_rank));
        ranks.map(|(old, new)| missing_count(old, new)).sum()
    }
}

fn missing_count(old: &[u32], new: &[u32]) -> usize {
    let mut unmatched = old.to_vec();
    let mut missing = 0;
    for expert in new {
        match unmatched.iter().position(|e| e == expert) {
            Some(index) => {
                unmatched.swap_remove(index);
            }
            None => missing += 1,
        }
    }
    missing
}
