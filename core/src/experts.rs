//! Decides when the expert maps of a group change, and to what.
//!
//! The policy sees the tokens per expert of past steps only. After a first placement it stays with
//! a map until the skew has risen significantly above what the map gave at first; then it moves
//! the few experts that matter, where the gain over the expected life of the map pays for the
//! transfers and the lost steps.

use std::collections::VecDeque;

use derive_more::Display;

use crate::loads::Loads;
use crate::map::LayerMap;
use crate::plan::{self, Plan};

/// Steps between two decisions.
pub const DECIDE_EVERY_STEPS: u64 = 2;

const FIRST_STEPS: usize = 10;
const RECENT_STEPS: usize = 16;
const BASELINE_STEPS: usize = 16;
const MAX_BASELINE_STEPS: usize = 48;
const SETTLE_STEPS: u64 = 4;
const REST_STEPS: u64 = 8;
const MIN_CHECK_STEPS: usize = 16;
const MIN_TRIAL_T: f64 = 2.5;
const PLAN_WINDOWS: [usize; 4] = [8, 16, 32, 64];
const JUDGED_STEPS: usize = 8;
const TRIAL_TRANSFERS: usize = 8;
const MISSED_GAIN: f64 = 0.25;
const MIN_T: f64 = 4.0;
/// Share of the first placement's transfers that later allowance has to make up for.
const FIRST_REPAID: f64 = 0.5;
const REPLAN_STEPS: f64 = 50.0;
const FIRST_LIFE_STEPS: f64 = 300.0;
const MIN_LIFE_STEPS: f64 = 200.0;
const MAX_LIFE_STEPS: f64 = 2_000.0;
const LIFE_SMOOTHING: f64 = 0.3;

/// How much skew and moves weigh, from the group's configuration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// Weight of one step's skew above 1.
    pub skew: f64,
    /// Weight of one step lost, or of one transfer per layer.
    pub moves: f64,
}

/// What a change costs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Costs {
    /// Steps lost by one switch.
    pub switch_steps: f64,
    /// Transfers that the weight store makes in the time of one step.
    pub transfers_per_step: f64,
}

/// How readily maps change, as follows from the weights.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Stance {
    /// Steps' worth of allowance that the first placement may use.
    first_steps: f64,
    /// Transfers allowed per transfer of a full new plan every `REPLAN_STEPS`.
    share: f64,
    /// Rise of the skew's excess, relative to itself, that calls for a change.
    rise: f64,
    /// Least relative fall of the plan's potential per transfer.
    least_gain: f64,
}

const SKEW_FIRST: Stance =
    Stance { first_steps: 300.0, share: 0.024, rise: 0.03, least_gain: 0.0003 };
const MOVES_FIRST: Stance =
    Stance { first_steps: 350.0, share: 0.0028, rise: 0.25, least_gain: 0.01 };

/// Why nothing changes.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Stay {
    /// Too few steps were seen.
    #[display("too-few-steps")]
    TooFewSteps,
    /// A change is under way.
    #[display("under-way")]
    UnderWay,
    /// The skew is what the map gave at first, within noise.
    #[display("no-drift")]
    NoDrift,
    /// No transfer would lower the skew.
    #[display("no-gain")]
    NoGain,
    /// The gain would not pay for the cost.
    #[display("not-worth-it")]
    NotWorthIt,
    /// The transfers allowed by the weights are used up.
    #[display("no-budget")]
    NoBudget,
}

/// The change of one layer.
#[derive(Clone, Debug)]
pub struct LayerChange {
    /// Index of the layer.
    pub layer: usize,
    /// Its plan.
    pub plan: Plan,
    /// Skew that the plan gives on the steps it was made from.
    pub promised: f64,
}

/// A change of the group's maps.
#[derive(Clone, Debug)]
pub struct Change {
    /// Layers that change.
    pub layers: Vec<LayerChange>,
    /// Expected fall of the mean skew.
    pub gain: f64,
    /// Expected life of the maps in steps.
    pub life_steps: f64,
    /// Weighted cost in steps.
    pub cost: f64,
}

impl Change {
    /// Returns the number of transfers.
    pub fn transfers(&self) -> usize {
        self.layers.iter().map(|l| l.plan.transfers.len()).sum()
    }
}

/// Result of a decision.
#[derive(Clone, Debug)]
pub enum Decision {
    /// Keep the maps.
    Stay(Stay),
    /// Transfer and switch.
    Change(Change),
}

#[derive(Clone, Copy, Debug, Default)]
struct Moments {
    count: f64,
    mean: f64,
    square: f64,
}

impl Moments {
    fn of(values: impl Iterator<Item = f64>) -> Self {
        let mut moments = Moments::default();
        values.for_each(|value| moments.add(value));
        moments
    }

    fn add(&mut self, value: f64) {
        self.count += 1.0;
        let delta = value - self.mean;
        self.mean += delta / self.count;
        self.square += delta * (value - self.mean);
    }

    /// Squared standard error of the mean.
    fn error_square(&self) -> f64 {
        if self.count < 2.0 { 0.0 } else { self.square / (self.count - 1.0) / self.count }
    }
}

#[derive(Clone, Debug)]
struct Layer {
    map: LayerMap,
    loads: Loads,
    skews: VecDeque<f64>,
    baseline: Moments,
    /// Skew that the plan of the map in use promised.
    promised: f64,
    /// Least skew that a map gave at first.
    floor: f64,
    drifted_steps: u64,
    /// Step before which no further plan is tried.
    rest_until: u64,
}

impl Layer {
    fn observe(&mut self, tokens: &[f64]) {
        self.loads.push(tokens);
        let Some(load) = self.loads.newest(1).next() else {
            return;
        };
        let skew = self.map.skew(load);
        if self.baseline.count < MAX_BASELINE_STEPS as f64 {
            self.baseline.add(skew);
        }
        self.skews.push_back(skew);
        if self.skews.len() > RECENT_STEPS {
            self.skews.pop_front();
        }
    }

    /// Whether the recent skew lies above the baseline by more than `rise` and by more than noise.
    fn has_drifted(&self, rise: f64) -> bool {
        let full = self.skews.len() >= RECENT_STEPS;
        if !full || self.baseline.count < BASELINE_STEPS as f64 {
            return false;
        }
        let recent = Moments::of(self.skews.iter().copied());
        let reference = self.reference();
        let excess = recent.mean - reference;
        let error = (recent.error_square() + self.baseline.error_square()).sqrt();
        excess > rise * (reference - 1.0).max(0.02) && excess > MIN_T * error
    }

    /// Skew to compare with: the least that a map gave at first, or what was promised where the
    /// map in use missed that by far.
    fn reference(&self) -> f64 {
        let measured = self.baseline.mean.min(self.floor);
        let missed = measured - 1.0 > (1.0 + MISSED_GAIN) * (self.promised - 1.0).max(0.02);
        if missed { self.promised } else { measured }
    }

    fn switch_to(&mut self, map: LayerMap, promised: f64) {
        if self.baseline.count >= BASELINE_STEPS as f64 {
            self.floor = self.floor.min(self.baseline.mean);
        }
        self.map = map;
        self.promised = promised;
        self.skews.clear();
        self.baseline = Moments::default();
        self.drifted_steps = 0;
    }

    /// Number of newest steps whose mean predicts the last steps best.
    fn window(&self) -> usize {
        let judged: Vec<&[f64]> = self.loads.newest(JUDGED_STEPS).skip(1).step_by(2).collect();
        let error = |window: usize| {
            let mean = self.loads.mean_of_every_other(window);
            let square = |load: &&[f64]| -> f64 {
                load.iter().zip(&mean).map(|(a, b)| (a - b) * (a - b)).sum()
            };
            judged.iter().map(square).sum::<f64>()
        };
        let fitting = PLAN_WINDOWS.into_iter().filter(|&w| w <= self.loads.len());
        fitting.min_by(|&a, &b| error(a).total_cmp(&error(b))).unwrap_or(PLAN_WINDOWS[0])
    }
}

/// Map policy of one group.
#[derive(Clone, Debug)]
pub struct Policy {
    weights: Weights,
    costs: Costs,
    stance: Stance,
    layers: Vec<Layer>,
    steps: u64,
    slots: f64,
    allowance: f64,
    placed: bool,
    under_way: bool,
    life_steps: f64,
    changed_at: u64,
}

impl Policy {
    /// Starts with the maps in use.
    pub fn new(weights: Weights, costs: Costs, maps: impl IntoIterator<Item = LayerMap>) -> Self {
        let layers: Vec<Layer> = maps
            .into_iter()
            .map(|map| Layer {
                map,
                loads: Loads::default(),
                skews: VecDeque::new(),
                baseline: Moments::default(),
                promised: f64::INFINITY,
                floor: f64::INFINITY,
                drifted_steps: 0,
                rest_until: 0,
            })
            .collect();
        let stance = if weights.moves > weights.skew { MOVES_FIRST } else { SKEW_FIRST };
        let slots = layers.iter().map(|l| l.map.slots().len() as f64).sum();
        Self {
            weights,
            costs,
            stance,
            layers,
            steps: 0,
            slots,
            allowance: 0.0,
            placed: false,
            under_way: false,
            life_steps: FIRST_LIFE_STEPS,
            changed_at: 0,
        }
    }

    /// Takes the tokens per expert of one layer in one step.
    pub fn observe(&mut self, layer: usize, tokens: &[f64]) {
        if let Some(layer) = self.layers.get_mut(layer) {
            layer.observe(tokens);
        }
    }

    /// Ends a step.
    pub fn step(&mut self) {
        self.steps += 1;
        let rise = self.stance.rise;
        for layer in &mut self.layers {
            let drifted = layer.has_drifted(rise);
            layer.drifted_steps = if drifted { layer.drifted_steps + 1 } else { 0 };
        }
        if self.placed {
            self.allowance += self.allowed_per_step();
        }
    }

    /// Transfers per step that the weights allow.
    fn allowed_per_step(&self) -> f64 {
        let full = (self.slots / REPLAN_STEPS).min(self.costs.transfers_per_step);
        full * self.stance.share
    }

    /// Returns the map in use in a layer.
    pub fn map(&self, layer: usize) -> Option<&LayerMap> {
        self.layers.get(layer).map(|l| &l.map)
    }

    /// Notes that a change is in force.
    pub fn in_force(&mut self, change: &Change) {
        for layer in &change.layers {
            self.layers[layer.layer].switch_to(layer.plan.map.clone(), layer.promised);
        }
        self.under_way = false;
    }

    /// Notes that a change was given up; its maps did not come into force.
    pub fn given_up(&mut self) {
        self.under_way = false;
    }

    /// Decides after a step.
    pub fn decide(&mut self) -> Decision {
        if self.under_way {
            return Decision::Stay(Stay::UnderWay);
        }
        let first = !self.placed;
        let layers: Vec<usize> = match first {
            true if self.layers.iter().any(|l| l.loads.len() < FIRST_STEPS) => {
                return Decision::Stay(Stay::TooFewSteps);
            }
            true => (0..self.layers.len()).collect(),
            false => self.drifted(),
        };
        if layers.is_empty() {
            return Decision::Stay(Stay::NoDrift);
        }
        let first_budget = self.stance.first_steps * self.allowed_per_step();
        let budget = if first { first_budget } else { self.allowance };
        if budget < 1.0 {
            return Decision::Stay(Stay::NoBudget);
        }
        self.placed = true;
        self.weigh(&layers, budget, first)
    }

    fn drifted(&self) -> Vec<usize> {
        let settled = |l: &Layer| l.drifted_steps > SETTLE_STEPS && l.rest_until <= self.steps;
        let drifted = self.layers.iter().enumerate().filter(|(_, l)| settled(l));
        drifted.map(|(index, _)| index).collect()
    }

    fn weigh(&mut self, layers: &[usize], budget: f64, first: bool) -> Decision {
        let share = (budget / layers.len() as f64).max(1.0);
        let mut left = budget;
        let mut gain = 0.0;
        let mut changes = Vec::new();
        for &index in layers {
            let room = share.min(left) as usize;
            if let Some((change, fall)) = self.plan(index, room) {
                left -= change.plan.transfers.len() as f64;
                gain += fall / self.layers.len() as f64;
                changes.push(change);
            } else {
                self.layers[index].rest_until = self.steps + REST_STEPS;
            }
        }
        if changes.is_empty() {
            return Decision::Stay(Stay::NoGain);
        }
        let mut change = Change { layers: changes, gain, life_steps: self.life_steps, cost: 0.0 };
        change.cost = self.cost(change.transfers());
        if self.weights.skew * gain * self.life_steps <= change.cost {
            return Decision::Stay(Stay::NotWorthIt);
        }
        let repaid = if first { FIRST_REPAID } else { 1.0 };
        self.allowance -= change.transfers() as f64 * repaid;
        self.note_life();
        self.under_way = true;
        Decision::Change(change)
    }

    /// Plans on the recent steps. A trial on every other step, checked on the steps between, keeps
    /// out plans that only fit noise.
    fn plan(&self, index: usize, room: usize) -> Option<(LayerChange, f64)> {
        let layer = &self.layers[index];
        let window = layer.window();
        let fit = layer.loads.mean_of_every_other(window);
        let check: Vec<&[f64]> =
            layer.loads.newest(window.max(MIN_CHECK_STEPS)).skip(1).step_by(2).collect();
        let least_gain = self.stance.least_gain;
        let trial = plan::improve(&layer.map, &fit, room.min(TRIAL_TRANSFERS), least_gain);
        let falls = check.iter().map(|load| layer.map.skew(load) - trial.map.skew(load));
        let falls = Moments::of(falls);
        if trial.transfers.is_empty() || falls.mean <= MIN_TRIAL_T * falls.error_square().sqrt() {
            return None;
        }
        let plan = plan::improve(&layer.map, &layer.loads.mean(window), room, least_gain);
        let before = Moments::of(check.iter().map(|load| layer.map.skew(load))).mean;
        let promised = Moments::of(check.iter().map(|load| plan.map.skew(load))).mean;
        let fall = before - promised;
        (fall > 0.0).then_some((LayerChange { layer: index, plan, promised }, fall))
    }

    fn cost(&self, transfers: usize) -> f64 {
        let per_layer = transfers as f64 / self.layers.len() as f64;
        self.weights.moves * (per_layer + self.costs.switch_steps)
    }

    fn note_life(&mut self) {
        let life = (self.steps - self.changed_at) as f64;
        let life = self.life_steps + LIFE_SMOOTHING * (life - self.life_steps);
        self.life_steps = life.clamp(MIN_LIFE_STEPS, MAX_LIFE_STEPS);
        self.changed_at = self.steps;
    }
}
