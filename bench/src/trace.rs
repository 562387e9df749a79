//! Traces of expert loads that are read from a file or generated.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::str::FromStr;

use derive_more::{Display, Error};
use indexmap::IndexMap;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, LogNormal};
use serde::Deserialize;

use crate::error::BenchError;

const TOKENS_PER_STEP: f64 = 16_384.0;
const ZIPF_EXPONENT: f64 = 0.8;
const NOISE_SIGMA: f64 = 0.10;
const DRIFT_SIGMA: f64 = 0.012;
/// Interval of turnovers, and the step of the single change in a hot trace.
const TURNOVER_INTERVAL_STEPS: u64 = 250;
const TURNOVER_SHARE: f64 = 0.25;
const HOT_FACTOR: f64 = 20.0;
const STALL_STEPS: u64 = 40;

/// Tokens per expert in each step and layer.
pub struct Trace {
    /// Tokens as `steps[step][layer][expert]`.
    pub steps: Vec<Vec<Vec<f64>>>,
}

/// Shape of a generated trace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// The popularity of every expert follows a slow random walk.
    Drift,
    /// At fixed intervals, random pairs of experts swap their popularity. The number of pairs is a
    /// quarter of the number of experts.
    Turnover,
    /// Popularity is constant, and only the steps are noisy.
    Noise,
    /// The popularity of one expert rises by a large factor.
    Hot,
    /// The tokens of the first eight experts, those of one rank, are not counted during periodic
    /// stalls of the rank.
    Stall,
}

/// Error for an unknown shape name.
#[derive(Clone, Debug, Display, Error)]
#[display("unknown shape; use drift, turnover, noise, hot or stall")]
pub struct ShapeError;

impl FromStr for Shape {
    type Err = ShapeError;

    fn from_str(name: &str) -> Result<Self, ShapeError> {
        match name {
            "drift" => Ok(Shape::Drift),
            "turnover" => Ok(Shape::Turnover),
            "noise" => Ok(Shape::Noise),
            "hot" => Ok(Shape::Hot),
            "stall" => Ok(Shape::Stall),
            _ => Err(ShapeError),
        }
    }
}

#[derive(Deserialize)]
struct Line {
    step: u64,
    layer: u64,
    tokens: Vec<f64>,
}

impl Trace {
    /// Returns the number of layers.
    pub fn layers(&self) -> usize {
        self.steps.first().map_or(0, Vec::len)
    }

    /// Returns the number of experts of a layer.
    pub fn experts(&self) -> usize {
        self.steps.first().and_then(|s| s.first()).map_or(0, Vec::len)
    }

    /// Reads a trace of JSON lines.
    ///
    /// A layer that is missing in a step counts as a layer without tokens.
    ///
    /// # Errors
    ///
    /// Fails with the file that cannot be read or the line that is invalid.
    pub fn read(path: &Path) -> Result<Self, BenchError> {
        let read_error = |source| BenchError::Read { path: path.to_owned(), source };
        let reader = BufReader::new(File::open(path).map_err(read_error)?);
        let mut steps: IndexMap<u64, IndexMap<u64, Vec<f64>>> = IndexMap::new();
        let mut experts = None;
        for (index, text) in reader.lines().enumerate() {
            let text = text.map_err(read_error)?;
            if text.trim().is_empty() {
                continue;
            }
            let line_error = |detail: String| BenchError::Trace { line: index + 1, detail };
            let line: Line = serde_json::from_str(&text).map_err(|e| line_error(e.to_string()))?;
            let invalid = line.tokens.iter().any(|t| !t.is_finite() || *t < 0.0);
            if invalid || line.tokens.len() != *experts.get_or_insert(line.tokens.len()) {
                return Err(line_error(String::from(
                    "expected one finite, non-negative count per expert, as in the first line",
                )));
            }
            steps.entry(line.step).or_default().insert(line.layer, line.tokens);
        }
        Self::from_steps(steps, experts.unwrap_or(0))
    }

    fn from_steps(
        mut steps: IndexMap<u64, IndexMap<u64, Vec<f64>>>,
        experts: usize,
    ) -> Result<Self, BenchError> {
        steps.sort_keys();
        let mut layers: Vec<u64> = steps.values().flat_map(|s| s.keys().copied()).collect();
        layers.sort_unstable();
        layers.dedup();
        if layers.is_empty() || experts == 0 {
            return Err(BenchError::EmptyTrace);
        }
        let complete = |mut step: IndexMap<u64, Vec<f64>>| {
            let tokens = |l: &u64| step.swap_remove(l).unwrap_or_else(|| vec![0.0; experts]);
            layers.iter().map(tokens).collect()
        };
        Ok(Self { steps: steps.into_values().map(complete).collect() })
    }

    /// Generates a trace from a seed.
    pub fn generate(shape: Shape, seed: u64, steps: u64, layers: usize, experts: usize) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut generators: Vec<LayerGenerator> =
            (0..layers).map(|_| LayerGenerator::new(shape, experts, &mut rng)).collect();
        let steps = (0..steps)
            .map(|step| generators.iter_mut().map(|s| s.step(step, &mut rng)).collect())
            .collect();
        Self { steps }
    }
}

/// Generator of the loads of one layer from the popularity of its experts.
struct LayerGenerator {
    shape: Shape,
    popularity: Vec<f64>,
}

impl LayerGenerator {
    fn new(shape: Shape, experts: usize, rng: &mut StdRng) -> Self {
        let mut popularity: Vec<f64> =
            (1..=experts).map(|rank| (rank as f64).powf(-ZIPF_EXPONENT)).collect();
        shuffle(&mut popularity, rng);
        Self { shape, popularity }
    }

    fn step(&mut self, step: u64, rng: &mut StdRng) -> Vec<f64> {
        match self.shape {
            Shape::Drift => self.drift(rng),
            Shape::Turnover if step % TURNOVER_INTERVAL_STEPS == TURNOVER_INTERVAL_STEPS - 1 => {
                self.turn_over(rng)
            }
            Shape::Hot if step == TURNOVER_INTERVAL_STEPS => self.popularity[0] *= HOT_FACTOR,
            _ => {}
        }
        let mut tokens = self.sample(rng);
        let stalled = self.shape == Shape::Stall && step % 300 >= 300 - STALL_STEPS;
        if stalled {
            tokens.iter_mut().take(8).for_each(|t| *t = 0.0);
        }
        tokens
    }

    fn drift(&mut self, rng: &mut StdRng) {
        let change = lognormal(DRIFT_SIGMA);
        self.popularity.iter_mut().for_each(|p| *p *= change.sample(rng));
    }

    fn turn_over(&mut self, rng: &mut StdRng) {
        let count = self.popularity.len();
        for _ in 0..(count as f64 * TURNOVER_SHARE) as usize {
            let (a, b) = (rng.random_range(0..count), rng.random_range(0..count));
            self.popularity.swap(a, b);
        }
    }

    fn sample(&self, rng: &mut StdRng) -> Vec<f64> {
        let total: f64 = self.popularity.iter().sum();
        let noise = lognormal(NOISE_SIGMA);
        let tokens = self.popularity.iter().map(|p| {
            let expected = p / total * TOKENS_PER_STEP * noise.sample(rng);
            let spread = expected.sqrt() * (rng.random::<f64>() - 0.5) * 3.4;
            (expected + spread).round().max(0.0)
        });
        tokens.collect()
    }
}

#[allow(clippy::expect_used)]
fn lognormal(sigma: f64) -> LogNormal<f64> {
    LogNormal::new(0.0, sigma).expect("a finite sigma is allowed")
}

fn shuffle(values: &mut [f64], rng: &mut StdRng) {
    for index in (1..values.len()).rev() {
        values.swap(index, rng.random_range(0..=index));
    }
}
