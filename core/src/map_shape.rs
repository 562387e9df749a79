//! Number of sets, ranks and experts of an expert map, and the map of a new group of that shape.

use currantlink_wire::peers;

use crate::switch::ExpertMap;

/// Maximum number of experts, over all sets, of a map that is made from its shape.
const MAX_SHAPE_EXPERTS: usize = 1 << 20;

/// Number of sets, ranks and experts of a map.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MapShape {
    /// Number of sets.
    pub sets: usize,
    /// Number of ranks.
    pub ranks: usize,
    /// Number of experts of a set.
    pub experts: usize,
}

impl MapShape {
    /// Returns the shape of a map that has all experts.
    pub fn of(map: &ExpertMap) -> Self {
        let greatest = map.iter().flatten().flatten().max();
        Self {
            sets: map.len(),
            ranks: map.first().map_or(0, Vec::len),
            experts: greatest.map_or(0, |&greatest| greatest as usize + 1),
        }
    }

    /// Returns the map that assigns the experts to the ranks in turn, or `None` if it has no ranks or
    /// is too large.
    pub fn assign_in_turn(self) -> Option<ExpertMap> {
        let Self { sets, ranks, experts } = self;
        let is_valid = ranks > 0
            && sets.checked_mul(experts.max(ranks)).is_some_and(|all| all <= MAX_SHAPE_EXPERTS);
        let rank = |rank: usize| (rank..experts).step_by(ranks).map(|e| e as u32).collect();
        is_valid.then(|| vec![(0..ranks).map(rank).collect(); sets])
    }
}

impl From<MapShape> for peers::MapShape {
    fn from(shape: MapShape) -> Self {
        let MapShape { sets, ranks, experts } = shape;
        Self { sets: sets as u32, ranks: ranks as u32, experts: experts as u32 }
    }
}

impl From<peers::MapShape> for MapShape {
    fn from(shape: peers::MapShape) -> Self {
        let peers::MapShape { sets, ranks, experts } = shape;
        Self { sets: sets as usize, ranks: ranks as usize, experts: experts as usize }
    }
}
