//! How often each expert of a group is chosen of late, from counts of its ranks.

/// Time after which a choice counts for 1/e. Demand of the users' days moves every few seconds, and
/// a second holds some hundred thousand choices.
const MEMORY_MS: f64 = 700.0;
/// Choices of a set below which its rates say little.
const MIN_CHOICES: f64 = 2_000.0;

/// Recent choices by set and expert.
#[derive(Clone, Debug)]
pub struct Demand {
    sets: usize,
    experts: usize,
    rates: Vec<f64>,
    last: Vec<Option<Vec<u64>>>,
    decayed_ms: u64,
}

impl Demand {
    /// Starts with no choice seen, for a group of `ranks` ranks.
    pub fn new(ranks: usize, sets: usize, experts: usize) -> Self {
        let rates = vec![0.0; sets * experts];
        Self { sets, experts, rates, last: vec![None; ranks], decayed_ms: 0 }
    }

    /// Takes the counts of one rank since its start. A rank that counts less than before was started
    /// anew.
    pub fn count(&mut self, now_ms: u64, rank: usize, counts: &[u64]) {
        if counts.len() != self.rates.len() || rank >= self.last.len() {
            return;
        }
        self.decay(now_ms);
        let last = self.last[rank].replace(counts.to_vec());
        let Some(last) = last.filter(|last| last.iter().zip(counts).all(|(a, b)| a <= b)) else {
            return;
        };
        for (rate, (after, before)) in self.rates.iter_mut().zip(counts.iter().zip(&last)) {
            *rate += (after - before) as f64;
        }
    }

    /// Returns the recent choices by set and expert, where there are enough to plan with.
    pub fn rates(&self) -> Option<Vec<Vec<f64>>> {
        let sets: Vec<Vec<f64>> =
            self.rates.chunks(self.experts.max(1)).map(<[_]>::to_vec).collect();
        let enough = |set: &Vec<f64>| set.iter().sum::<f64>() >= MIN_CHOICES;
        (sets.len() == self.sets && sets.iter().all(enough)).then_some(sets)
    }

    fn decay(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.decayed_ms) as f64;
        if elapsed_ms > 0.0 {
            let kept = (-elapsed_ms / MEMORY_MS).exp();
            self.rates.iter_mut().for_each(|rate| *rate *= kept);
            self.decayed_ms = now_ms;
        }
    }
}
