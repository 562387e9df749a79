//! How often each expert of a group is chosen of late, from counts of its ranks.

/// Time after which a choice counts for 1/e. Demand of the users' days moves every few seconds, and
/// a tenth of a second holds some ten thousand choices.
const SHORT_TERM_MS: f64 = 200.0;
/// The same for the choices that recent ones are compared with.
const LONG_TERM_MS: f64 = 500.0;
/// Change that is expected on top, against that between the two, which lie 0.3 s apart. Recent choices
/// are 0.2 s old on average; a plan is in use from 0.3 s after it is made for as long.
const TREND_FACTOR: f64 = 2.0;
/// Least share of its recent choices that is expected of an expert.
const MIN_FORECAST_SHARE: f64 = 0.3;
/// Choices of a set below which its rates say little.
const MIN_SET_CHOICES: f64 = 2_000.0;

/// Turns a rank's counts since its start into choices since the reading before.
#[derive(Clone, Debug, Default)]
pub struct CounterDeltas {
    last: Vec<u64>,
}

impl CounterDeltas {
    /// Takes a reading; returns the choices since the one before. Nothing at first, and where the
    /// rank was started anew, which lets it count less than before.
    pub fn update(&mut self, counts: Vec<u64>) -> Option<Vec<u64>> {
        let is_same_process = self.last.len() == counts.len()
            && self.last.iter().zip(&counts).all(|(old, new)| old <= new);
        let choices = counts.iter().zip(&self.last).map(|(new, old)| new - old);
        let choices = is_same_process.then(|| choices.collect());
        self.last = counts;
        choices
    }
}

/// Recent choices by set and expert.
#[derive(Clone, Debug)]
pub struct Demand {
    experts: usize,
    /// Choices, by the time for which they are remembered.
    short_term: Vec<f64>,
    long_term: Vec<f64>,
    decayed_ms: u64,
}

impl Demand {
    /// Starts with no choice seen.
    pub fn new(sets: usize, experts: usize) -> Self {
        let none = vec![0.0; sets * experts];
        Self { experts, short_term: none.clone(), long_term: none, decayed_ms: 0 }
    }

    /// Adds the choices of one rank since its reading before.
    pub fn add(&mut self, now_ms: u64, choices: &[u64]) {
        if choices.len() != self.short_term.len() {
            return;
        }
        self.decay(now_ms);
        for ((short_term, long_term), &count) in
            self.short_term.iter_mut().zip(&mut self.long_term).zip(choices)
        {
            *short_term += count as f64;
            *long_term += count as f64;
        }
    }

    /// Returns the choices by set and expert that are to be expected when a plan comes into use, where
    /// enough were seen to plan with.
    pub fn forecast(&self) -> Option<Vec<Vec<f64>>> {
        let size = self.experts.max(1);
        let sets = self.short_term.chunks(size).zip(self.long_term.chunks(size));
        sets.map(|(short_term, long_term)| extrapolate(short_term, long_term)).collect()
    }

    fn decay(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.decayed_ms) as f64;
        if elapsed_ms > 0.0 {
            let decay_factor = |time_constant_ms: f64| (-elapsed_ms / time_constant_ms).exp();
            let (short_term, long_term) = (decay_factor(SHORT_TERM_MS), decay_factor(LONG_TERM_MS));
            self.short_term.iter_mut().for_each(|count| *count *= short_term);
            self.long_term.iter_mut().for_each(|count| *count *= long_term);
            self.decayed_ms = now_ms;
        }
    }
}

/// Recent choices, moved on by their change against those before. Nothing where there are too few.
fn extrapolate(short_term: &[f64], long_term: &[f64]) -> Option<Vec<f64>> {
    let (short_term_sum, long_term_sum): (f64, f64) =
        (short_term.iter().sum(), long_term.iter().sum());
    if short_term_sum < MIN_SET_CHOICES {
        return None;
    }
    let scale = short_term_sum / long_term_sum.max(f64::MIN_POSITIVE);
    let forecast = short_term.iter().zip(long_term).map(|(short_term, long_term)| {
        let trend = short_term - long_term * scale;
        (short_term + TREND_FACTOR * trend).max(MIN_FORECAST_SHARE * short_term)
    });
    Some(forecast.collect())
}
