//! How often each expert of a group is chosen of late, from counts of its ranks.

/// Time after which a choice counts for 1/e. Demand of the users' days moves every few seconds, and
/// a second holds some hundred thousand choices.
const MEMORY_MS: f64 = 300.0;
/// Choices of a set below which its rates say little.
const MIN_CHOICES: f64 = 2_000.0;

/// Turns a rank's counts since its start into choices since the reading before.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    last: Vec<u64>,
}

impl Meter {
    /// Takes a reading; returns the choices since the one before. Nothing at first, and where the
    /// rank was started anew, which lets it count less than before.
    pub fn read(&mut self, counts: Vec<u64>) -> Option<Vec<u64>> {
        let same_life = self.last.len() == counts.len()
            && self.last.iter().zip(&counts).all(|(before, after)| before <= after);
        let choices = counts.iter().zip(&self.last).map(|(after, before)| after - before);
        let choices = same_life.then(|| choices.collect());
        self.last = counts;
        choices
    }
}

/// Recent choices by set and expert.
#[derive(Clone, Debug)]
pub struct Demand {
    experts: usize,
    rates: Vec<f64>,
    decayed_ms: u64,
}

impl Demand {
    /// Starts with no choice seen.
    pub fn new(sets: usize, experts: usize) -> Self {
        Self { experts, rates: vec![0.0; sets * experts], decayed_ms: 0 }
    }

    /// Adds the choices of one rank since its reading before.
    pub fn add(&mut self, now_ms: u64, choices: &[u64]) {
        if choices.len() != self.rates.len() {
            return;
        }
        self.decay(now_ms);
        self.rates.iter_mut().zip(choices).for_each(|(rate, &count)| *rate += count as f64);
    }

    /// Returns the recent choices by set and expert, where there are enough to plan with.
    pub fn rates(&self) -> Option<Vec<Vec<f64>>> {
        let sets: Vec<Vec<f64>> =
            self.rates.chunks(self.experts.max(1)).map(<[_]>::to_vec).collect();
        let enough = |set: &Vec<f64>| set.iter().sum::<f64>() >= MIN_CHOICES;
        sets.iter().all(enough).then_some(sets)
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
