//! Forecast of how often each expert of a group is selected, from the counters of its ranks.

/// Time constant of the short-term counts. It follows demand, which shifts every few seconds, and
/// still covers enough choices: a group makes about ten thousand in 0.1 s.
const SHORT_TERM_MS: f64 = 200.0;
/// Time constant of the long-term counts, which the short-term counts are compared with.
const LONG_TERM_MS: f64 = 500.0;
/// Factor by which the trend is extrapolated. The trend is the difference between the short-term and
/// the long-term counts, whose mean ages differ by 0.3 s. Short-term counts are 0.2 s old on average;
/// a plan takes effect 0.3 s after it is made and stays in use for about as long.
const TREND_FACTOR: f64 = 2.0;
/// Minimum forecast for an expert, as a share of its short-term count.
const MIN_FORECAST_SHARE: f64 = 0.3;
/// Minimum number of short-term choices in a set; the forecast from fewer is unusable.
const MIN_SET_CHOICES: f64 = 2_000.0;

/// Converts a rank's cumulative counters to increments.
#[derive(Clone, Debug, Default)]
pub struct CounterDeltas {
    last: Vec<u64>,
}

impl CounterDeltas {
    /// Records the counters and returns the increments since the previous call. Returns `None` on
    /// the first call, and after a restart of the rank, which makes a counter decrease.
    pub fn update(&mut self, counts: Vec<u64>) -> Option<Vec<u64>> {
        let is_same_process = self.last.len() == counts.len()
            && self.last.iter().zip(&counts).all(|(old, new)| old <= new);
        let choices = counts.iter().zip(&self.last).map(|(new, old)| new - old);
        let choices = is_same_process.then(|| choices.collect());
        self.last = counts;
        choices
    }
}

/// Choices of several ranks, added up until they are reported together.
#[derive(Clone, Debug, Default)]
pub struct CollectedChoices {
    sums: Vec<u64>,
}

impl CollectedChoices {
    /// Adds the choices of one rank. A report without choices changes nothing.
    pub fn add(&mut self, choices: &[u64]) {
        if choices.is_empty() {
            return;
        }
        self.sums.resize(choices.len(), 0);
        self.sums.iter_mut().zip(choices).for_each(|(sum, count)| *sum += count);
    }

    /// Moves the collected choices into those of the own rank, unless these were not read.
    pub fn move_into(&mut self, own: &mut [u64]) {
        if !own.is_empty() {
            let sums = std::mem::take(&mut self.sums);
            own.iter_mut().zip(sums).for_each(|(own, other)| *own += other);
        }
    }
}

/// Exponentially decayed choices by set and expert.
#[derive(Clone, Debug)]
pub struct Demand {
    experts: usize,
    /// Choices by set and expert, decayed with `SHORT_TERM_MS`.
    short_term: Vec<f64>,
    /// Choices by set and expert, decayed with `LONG_TERM_MS`.
    long_term: Vec<f64>,
    decayed_ms: u64,
}

impl Demand {
    /// Creates a forecast without any choices.
    pub fn new(sets: usize, experts: usize) -> Self {
        let none = vec![0.0; sets * experts];
        Self { experts, short_term: none.clone(), long_term: none, decayed_ms: 0 }
    }

    /// Adds the choices that one rank has counted since its previous reading.
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

    /// Returns the choices by set and expert that are expected when a new plan takes effect.
    /// Returns `None` if a set has too few choices.
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

/// Extrapolates the short-term counts by their difference from the scaled long-term counts. Returns
/// `None` if there are too few choices.
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
