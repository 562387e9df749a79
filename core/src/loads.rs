//! Recent expert loads of one layer.

use std::collections::VecDeque;

/// Maximum number of steps that are kept.
pub const WINDOW_STEPS: usize = 96;

const MIN_EXPECTED_TOKENS: f64 = 10.0;
const MAX_MISSING_STEPS: u32 = 64;

/// Loads of the last steps, each normalised to a mean of 1 per expert.
#[derive(Clone, Debug, Default)]
pub struct LoadHistory {
    steps: VecDeque<Vec<f64>>,
    missing_steps: Vec<u32>,
}

impl LoadHistory {
    /// Adds one step; a step without tokens is ignored.
    ///
    /// An expert that suddenly has no tokens although many are expected counts as unmeasured: its
    /// rank may have stalled, so its load is unknown. The expert's last load is
    /// used instead for up to `MAX_MISSING_STEPS` steps.
    pub fn push(&mut self, tokens: &[f64]) {
        let total: f64 = tokens.iter().sum();
        if total <= 0.0 {
            return;
        }
        let substitutes = self.substitute_loads(tokens, total);
        let missing: f64 = substitutes.iter().flatten().sum();
        let scale = (tokens.len() as f64 - missing) / total;
        let loads = tokens.iter().zip(substitutes).map(|(t, last)| last.unwrap_or(t * scale));
        self.steps.push_back(loads.collect());
        if self.steps.len() > WINDOW_STEPS {
            self.steps.pop_front();
        }
    }

    /// Returns the last loads of the experts that were not measured in this step.
    fn substitute_loads(&mut self, tokens: &[f64], total: f64) -> Vec<Option<f64>> {
        self.missing_steps.resize(tokens.len(), 0);
        let per_expert = total / tokens.len() as f64;
        let last = self.steps.back().filter(|l| l.len() == tokens.len());
        let mut substitutes = vec![None; tokens.len()];
        for (expert, &count) in tokens.iter().enumerate() {
            let before = last.map_or(0.0, |l| l[expert]);
            let expected = before * per_expert >= MIN_EXPECTED_TOKENS;
            let missing_steps = &mut self.missing_steps[expert];
            *missing_steps = if count == 0.0 && expected { *missing_steps + 1 } else { 0 };
            if (1..=MAX_MISSING_STEPS).contains(missing_steps) {
                substitutes[expert] = Some(before);
            }
        }
        substitutes
    }

    /// Returns the number of steps kept.
    pub fn len(&self) -> usize {
        self.steps.len()
    }

    /// Returns whether no step is kept.
    pub fn is_empty(&self) -> bool {
        self.steps.is_empty()
    }

    /// Returns the newest steps, oldest first.
    pub fn newest(&self, count: usize) -> impl Iterator<Item = &[f64]> {
        let skipped = self.steps.len().saturating_sub(count);
        self.steps.iter().skip(skipped).map(Vec::as_slice)
    }

    /// Returns the mean load per expert over the newest steps.
    pub fn mean(&self, count: usize) -> Vec<f64> {
        mean(self.newest(count))
    }

    /// Returns the mean load per expert over every other one of the newest steps.
    pub fn mean_of_alternate_steps(&self, count: usize) -> Vec<f64> {
        mean(self.newest(count).step_by(2))
    }
}

fn mean<'a>(steps: impl Iterator<Item = &'a [f64]>) -> Vec<f64> {
    let mut sums: Vec<f64> = Vec::new();
    let mut count = 0.0;
    for step in steps {
        sums.resize(step.len(), 0.0);
        sums.iter_mut().zip(step).for_each(|(sum, load)| *sum += load);
        count += 1.0;
    }
    sums.iter().map(|sum| sum / count).collect()
}
