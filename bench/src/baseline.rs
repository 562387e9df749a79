//! Greedy replication and packing of experts that ignores the current placement.

use currantlink_core::map::{LayerMap, MapError};

/// Packs the experts of a layer onto ranks without regard to moves.
///
/// Adds replicas to the experts with the highest load per replica, then places the replicas in
/// descending order of load, each on the least loaded rank with a free slot.
///
/// # Errors
///
/// Fails if there are fewer slots than experts.
pub fn pack(loads: &[f64], ranks: usize, slots_per_rank: usize) -> Result<LayerMap, MapError> {
    let replicas = replicate(loads, ranks, ranks * slots_per_rank);
    let mut items: Vec<(f64, u32)> = Vec::new();
    for (expert, &count) in replicas.iter().enumerate() {
        let share = loads[expert] / count as f64;
        items.extend(std::iter::repeat_n((share, expert as u32), count));
    }
    items.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
    let mut rank_loads = vec![0.0; ranks];
    let mut slots: Vec<Vec<u32>> = vec![Vec::new(); ranks];
    for (share, expert) in items {
        let rank = least_loaded(&rank_loads, &slots, slots_per_rank, expert);
        rank_loads[rank] += share;
        slots[rank].push(expert);
    }
    LayerMap::new(loads.len(), ranks, slots.concat())
}

fn replicate(loads: &[f64], ranks: usize, slots: usize) -> Vec<usize> {
    let mut replicas = vec![1; loads.len()];
    for _ in loads.len()..slots {
        let share = |e: &usize| loads[*e] / replicas[*e] as f64;
        let eligible = (0..loads.len()).filter(|&e| replicas[e] < ranks);
        if let Some(heaviest) = eligible.max_by(|a, b| share(a).total_cmp(&share(b))) {
            replicas[heaviest] += 1;
        }
    }
    replicas
}

fn least_loaded(
    rank_loads: &[f64],
    slots: &[Vec<u32>],
    slots_per_rank: usize,
    expert: u32,
) -> usize {
    let eligible = (0..rank_loads.len()).filter(|&r| slots[r].len() < slots_per_rank);
    let key = |r: &usize| (slots[*r].contains(&expert), rank_loads[*r]);
    eligible
        .min_by(|a, b| {
            let (a, b) = (key(a), key(b));
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
        })
        .unwrap_or(0)
}
