//! How often each expert of a group is chosen of late, from counts of its ranks.

/// Time after which a choice counts for 1/e. Demand of the users' days moves every few seconds, and
/// a tenth of a second holds some ten thousand choices.
const RECENT_MS: f64 = 200.0;
/// The same for the choices that recent ones are compared with.
const BEFORE_MS: f64 = 500.0;
/// Change that is expected on top, against that between the two, which lie 0.3 s apart. Recent choices
/// are 0.2 s old on average; a plan is in use from 0.3 s after it is made for as long.
const AHEAD: f64 = 2.0;
/// Least share of its recent choices that is expected of an expert.
const LEAST_SHARE: f64 = 0.3;
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
    /// Choices, by the time for which they are remembered.
    recent: Vec<f64>,
    before: Vec<f64>,
    decayed_ms: u64,
}

impl Demand {
    /// Starts with no choice seen.
    pub fn new(sets: usize, experts: usize) -> Self {
        let none = vec![0.0; sets * experts];
        Self { experts, recent: none.clone(), before: none, decayed_ms: 0 }
    }

    /// Adds the choices of one rank since its reading before.
    pub fn add(&mut self, now_ms: u64, choices: &[u64]) {
        if choices.len() != self.recent.len() {
            return;
        }
        self.decay(now_ms);
        for ((recent, before), &count) in self.recent.iter_mut().zip(&mut self.before).zip(choices)
        {
            *recent += count as f64;
            *before += count as f64;
        }
    }

    /// Returns the choices by set and expert that are to be expected when a plan comes into use, where
    /// enough were seen to plan with.
    pub fn rates(&self) -> Option<Vec<Vec<f64>>> {
        let size = self.experts.max(1);
        let sets = self.recent.chunks(size).zip(self.before.chunks(size));
        sets.map(|(recent, before)| expected(recent, before)).collect()
    }

    fn decay(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.decayed_ms) as f64;
        if elapsed_ms > 0.0 {
            let kept = |memory_ms: f64| (-elapsed_ms / memory_ms).exp();
            let (recent, before) = (kept(RECENT_MS), kept(BEFORE_MS));
            self.recent.iter_mut().for_each(|count| *count *= recent);
            self.before.iter_mut().for_each(|count| *count *= before);
            self.decayed_ms = now_ms;
        }
    }
}

/// Recent choices, moved on by their change against those before. Nothing where there are too few.
fn expected(recent: &[f64], before: &[f64]) -> Option<Vec<f64>> {
    let (recent_sum, before_sum): (f64, f64) = (recent.iter().sum(), before.iter().sum());
    if recent_sum < MIN_CHOICES {
        return None;
    }
    let scale = recent_sum / before_sum.max(f64::MIN_POSITIVE);
    let moved_on = recent.iter().zip(before).map(|(recent, before)| {
        let change = recent - before * scale;
        (recent + AHEAD * change).max(LEAST_SHARE * recent)
    });
    Some(moved_on.collect())
}
