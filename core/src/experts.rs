//! Decides when the expert maps of a group change, and which maps replace them.
//!
//! The policy uses only the tokens per expert of past steps. After the first placement it keeps a
//! map until the skew has risen significantly above the skew right after the map was applied. It
//! then moves only the few experts that matter, if the gain over the expected lifetime of the map
//! exceeds the cost of the transfers and of the lost steps.

use std::collections::VecDeque;

use derive_more::Display;

use crate::loads::LoadHistory;
use crate::map::LayerMap;
use crate::plan::{self, Plan};

/// Steps between two decisions.
pub const DECIDE_EVERY_STEPS: u64 = 2;

/// Observed steps before the first placement.
const MIN_PLACEMENT_STEPS: usize = 10;
const RECENT_SKEW_STEPS: usize = 16;
const MIN_BASELINE_STEPS: usize = 16;
const MAX_BASELINE_STEPS: usize = 48;
/// Consecutive steps with drift before a layer is planned again.
const MIN_DRIFT_STEPS: u64 = 4;
/// Delay before a layer is planned again after a plan without gain.
const REPLAN_DELAY_STEPS: u64 = 8;
const MIN_VALIDATION_STEPS: usize = 16;
/// Minimum decrease of the skew by a trial plan, in standard errors.
const MIN_TRIAL_T_STATISTIC: f64 = 2.5;
/// Candidate numbers of newest steps to plan on.
const PLAN_WINDOW_STEPS: [usize; 4] = [8, 16, 32, 64];
/// Newest steps that the candidate windows are compared on.
const WINDOW_TEST_STEPS: usize = 8;
const MAX_TRIAL_TRANSFERS: usize = 8;
/// Relative excess above the predicted skew at which the prediction becomes the reference.
const MAX_PREDICTION_ERROR: f64 = 0.25;
/// Minimum rise of the skew that counts as drift, in standard errors.
const MIN_DRIFT_T_STATISTIC: f64 = 4.0;
/// Share of the first placement's transfers that is charged against the allowance of later changes.
const PLACEMENT_CHARGE: f64 = 0.5;
/// Steps in which all slots are replaced at a transfer share of 1.
const FULL_REPLAN_STEPS: f64 = 50.0;
const INITIAL_LIFETIME_STEPS: f64 = 300.0;
const MIN_LIFETIME_STEPS: f64 = 200.0;
const MAX_LIFETIME_STEPS: f64 = 2_000.0;
/// Weight of a new lifetime in the expected lifetime.
const LIFETIME_SMOOTHING: f64 = 0.3;

/// Weights of skew and of moves, from the group's configuration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// Weight of one step's skew above 1.
    pub skew: f64,
    /// Weight of one step lost, or of one transfer per layer.
    pub moves: f64,
}

/// Costs of a change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Costs {
    /// Steps lost by one switch.
    pub switch_steps: f64,
    /// Transfers that the weight store completes in the time of one step.
    pub transfers_per_step: f64,
}

/// Thresholds of the policy, selected by the weights.
#[derive(Clone, Copy, Debug, PartialEq)]
struct PolicyParams {
    /// Steps whose transfer allowance the first placement may use.
    placement_steps: f64,
    /// Allowed transfers, relative to replacing all slots every `FULL_REPLAN_STEPS`.
    transfer_share: f64,
    /// Minimum rise of the skew, relative to the reference skew above 1, that triggers a change.
    min_drift: f64,
    /// Minimum decrease of the plan's potential per transfer, relative to the potential.
    min_gain: f64,
}

const LOW_SKEW_PARAMS: PolicyParams = PolicyParams {
    placement_steps: 300.0,
    transfer_share: 0.024,
    min_drift: 0.03,
    min_gain: 0.0003,
};
const FEW_MOVES_PARAMS: PolicyParams = PolicyParams {
    placement_steps: 350.0,
    transfer_share: 0.0028,
    min_drift: 0.25,
    min_gain: 0.01,
};

/// Reason for keeping the maps.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum KeepReason {
    /// Too few steps were observed.
    #[display("too-few-steps")]
    TooFewSteps,
    /// A change is in progress.
    #[display("under-way")]
    ChangePending,
    /// The skew is within noise of its reference.
    #[display("no-drift")]
    NoDrift,
    /// No set of transfers lowers the skew.
    #[display("no-gain")]
    NoGain,
    /// The gain does not exceed the cost.
    #[display("not-worth-it")]
    CostExceedsGain,
    /// The transfers that the weights allow are used up.
    #[display("no-budget")]
    NoBudget,
}

/// The change of one layer.
#[derive(Clone, Debug)]
pub struct LayerChange {
    /// Index of the layer.
    pub layer: usize,
    /// Plan of the layer.
    pub plan: Plan,
    /// Skew of the planned map on the validation steps.
    pub predicted_skew: f64,
}

/// A change of the group's maps.
#[derive(Clone, Debug)]
pub struct Change {
    /// Layers that change.
    pub layers: Vec<LayerChange>,
    /// Expected decrease of the mean skew.
    pub gain: f64,
    /// Expected lifetime of the maps, in steps.
    pub lifetime_steps: f64,
    /// Weighted cost of the lost steps and of the transfers per layer, in steps.
    pub cost: f64,
}

impl Change {
    /// Returns the number of transfers in all layers.
    pub fn transfers(&self) -> usize {
        self.layers.iter().map(|l| l.plan.transfers.len()).sum()
    }
}

/// Result of a decision.
#[derive(Clone, Debug)]
pub enum Decision {
    /// Keep the maps, for this reason.
    Keep(KeepReason),
    /// Transfer the weights and switch to the new maps.
    Change(Change),
}

#[derive(Clone, Copy, Debug, Default)]
struct Moments {
    count: f64,
    mean: f64,
    squared_deviations: f64,
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
        self.squared_deviations += delta * (value - self.mean);
    }

    /// Returns the squared standard error of the mean.
    fn squared_standard_error(&self) -> f64 {
        if self.count < 2.0 {
            0.0
        } else {
            self.squared_deviations / (self.count - 1.0) / self.count
        }
    }
}

#[derive(Clone, Debug)]
struct LayerState {
    map: LayerMap,
    loads: LoadHistory,
    skews: VecDeque<f64>,
    baseline: Moments,
    /// Skew that was predicted for the map in use.
    predicted_skew: f64,
    /// Lowest baseline skew of all maps so far.
    min_baseline_skew: f64,
    drifted_steps: u64,
    /// Step before which the layer is not planned again.
    replan_at_step: u64,
}

impl LayerState {
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
        if self.skews.len() > RECENT_SKEW_STEPS {
            self.skews.pop_front();
        }
    }

    /// Returns whether the recent skew exceeds its reference by more than `min_drift` and by more
    /// than noise.
    fn has_drifted(&self, min_drift: f64) -> bool {
        let has_recent = self.skews.len() >= RECENT_SKEW_STEPS;
        if !has_recent || self.baseline.count < MIN_BASELINE_STEPS as f64 {
            return false;
        }
        let recent = Moments::of(self.skews.iter().copied());
        let reference = self.reference_skew();
        let excess = recent.mean - reference;
        let error =
            (recent.squared_standard_error() + self.baseline.squared_standard_error()).sqrt();
        excess > min_drift * (reference - 1.0).max(0.02) && excess > MIN_DRIFT_T_STATISTIC * error
    }

    /// Returns the skew to compare with: the lowest baseline, or the predicted skew if the map in
    /// use missed it by more than `MAX_PREDICTION_ERROR`.
    fn reference_skew(&self) -> f64 {
        let measured = self.baseline.mean.min(self.min_baseline_skew);
        let is_missed =
            measured - 1.0 > (1.0 + MAX_PREDICTION_ERROR) * (self.predicted_skew - 1.0).max(0.02);
        if is_missed { self.predicted_skew } else { measured }
    }

    fn apply_map(&mut self, map: LayerMap, predicted_skew: f64) {
        if self.baseline.count >= MIN_BASELINE_STEPS as f64 {
            self.min_baseline_skew = self.min_baseline_skew.min(self.baseline.mean);
        }
        self.map = map;
        self.predicted_skew = predicted_skew;
        self.skews.clear();
        self.baseline = Moments::default();
        self.drifted_steps = 0;
    }

    /// Returns the number of newest steps whose mean predicts the last steps best.
    fn best_window(&self) -> usize {
        let test_steps: Vec<&[f64]> =
            self.loads.newest(WINDOW_TEST_STEPS).skip(1).step_by(2).collect();
        let error = |window: usize| {
            let mean = self.loads.mean_of_alternate_steps(window);
            let squared_error = |load: &&[f64]| -> f64 {
                load.iter().zip(&mean).map(|(a, b)| (a - b) * (a - b)).sum()
            };
            test_steps.iter().map(squared_error).sum::<f64>()
        };
        let windows = PLAN_WINDOW_STEPS.into_iter().filter(|&w| w <= self.loads.len());
        windows.min_by(|&a, &b| error(a).total_cmp(&error(b))).unwrap_or(PLAN_WINDOW_STEPS[0])
    }
}

/// Map policy of one group.
#[derive(Clone, Debug)]
pub struct Policy {
    weights: Weights,
    costs: Costs,
    params: PolicyParams,
    layers: Vec<LayerState>,
    steps: u64,
    slot_count: f64,
    transfer_allowance: f64,
    is_placed: bool,
    is_change_pending: bool,
    lifetime_steps: f64,
    changed_at_step: u64,
}

impl Policy {
    /// Creates a policy for a group with the given maps, one per layer.
    pub fn new(weights: Weights, costs: Costs, maps: impl IntoIterator<Item = LayerMap>) -> Self {
        let layers: Vec<LayerState> = maps
            .into_iter()
            .map(|map| LayerState {
                map,
                loads: LoadHistory::default(),
                skews: VecDeque::new(),
                baseline: Moments::default(),
                predicted_skew: f64::INFINITY,
                min_baseline_skew: f64::INFINITY,
                drifted_steps: 0,
                replan_at_step: 0,
            })
            .collect();
        let params = if weights.moves > weights.skew { FEW_MOVES_PARAMS } else { LOW_SKEW_PARAMS };
        let slot_count = layers.iter().map(|l| l.map.slots().len() as f64).sum();
        Self {
            weights,
            costs,
            params,
            layers,
            steps: 0,
            slot_count,
            transfer_allowance: 0.0,
            is_placed: false,
            is_change_pending: false,
            lifetime_steps: INITIAL_LIFETIME_STEPS,
            changed_at_step: 0,
        }
    }

    /// Records the tokens per expert of one layer in one step.
    pub fn observe(&mut self, layer: usize, tokens: &[f64]) {
        if let Some(layer) = self.layers.get_mut(layer) {
            layer.observe(tokens);
        }
    }

    /// Ends a step after the tokens of all layers are recorded.
    pub fn end_step(&mut self) {
        self.steps += 1;
        let min_drift = self.params.min_drift;
        for layer in &mut self.layers {
            let drifted = layer.has_drifted(min_drift);
            layer.drifted_steps = if drifted { layer.drifted_steps + 1 } else { 0 };
        }
        if self.is_placed {
            self.transfer_allowance += self.allowed_transfers_per_step();
        }
    }

    /// Returns the number of transfers per step that the weights allow.
    fn allowed_transfers_per_step(&self) -> f64 {
        let full = (self.slot_count / FULL_REPLAN_STEPS).min(self.costs.transfers_per_step);
        full * self.params.transfer_share
    }

    /// Returns the map in use in a layer.
    pub fn map(&self, layer: usize) -> Option<&LayerMap> {
        self.layers.get(layer).map(|l| &l.map)
    }

    /// Records that a change took effect.
    pub fn change_applied(&mut self, change: &Change) {
        for layer in &change.layers {
            self.layers[layer.layer].apply_map(layer.plan.map.clone(), layer.predicted_skew);
        }
        self.is_change_pending = false;
    }

    /// Records that a change was abandoned and its maps did not take effect.
    pub fn change_abandoned(&mut self) {
        self.is_change_pending = false;
    }

    /// Decides whether to change the maps after a step.
    pub fn decide(&mut self) -> Decision {
        if self.is_change_pending {
            return Decision::Keep(KeepReason::ChangePending);
        }
        let is_first = !self.is_placed;
        let layers: Vec<usize> = match is_first {
            true if self.layers.iter().any(|l| l.loads.len() < MIN_PLACEMENT_STEPS) => {
                return Decision::Keep(KeepReason::TooFewSteps);
            }
            true => (0..self.layers.len()).collect(),
            false => self.drifted_layers(),
        };
        if layers.is_empty() {
            return Decision::Keep(KeepReason::NoDrift);
        }
        let placement_budget = self.params.placement_steps * self.allowed_transfers_per_step();
        let budget = if is_first { placement_budget } else { self.transfer_allowance };
        if budget < 1.0 {
            return Decision::Keep(KeepReason::NoBudget);
        }
        self.is_placed = true;
        self.plan_changes(&layers, budget, is_first)
    }

    fn drifted_layers(&self) -> Vec<usize> {
        let is_due =
            |l: &LayerState| l.drifted_steps > MIN_DRIFT_STEPS && l.replan_at_step <= self.steps;
        let drifted = self.layers.iter().enumerate().filter(|(_, l)| is_due(l));
        drifted.map(|(index, _)| index).collect()
    }

    fn plan_changes(&mut self, layers: &[usize], budget: f64, is_first: bool) -> Decision {
        let share = (budget / layers.len() as f64).max(1.0);
        let mut remaining = budget;
        let mut gain = 0.0;
        let mut changes = Vec::new();
        for &index in layers {
            let max_transfers = share.min(remaining) as usize;
            if let Some((change, reduction)) = self.plan_layer(index, max_transfers) {
                remaining -= change.plan.transfers.len() as f64;
                gain += reduction / self.layers.len() as f64;
                changes.push(change);
            } else {
                self.layers[index].replan_at_step = self.steps + REPLAN_DELAY_STEPS;
            }
        }
        if changes.is_empty() {
            return Decision::Keep(KeepReason::NoGain);
        }
        let mut change =
            Change { layers: changes, gain, lifetime_steps: self.lifetime_steps, cost: 0.0 };
        change.cost = self.cost(change.transfers());
        if self.weights.skew * gain * self.lifetime_steps <= change.cost {
            return Decision::Keep(KeepReason::CostExceedsGain);
        }
        let charge = if is_first { PLACEMENT_CHARGE } else { 1.0 };
        self.transfer_allowance -= change.transfers() as f64 * charge;
        self.update_lifetime();
        self.is_change_pending = true;
        Decision::Change(change)
    }

    /// Plans one layer on the recent steps, with at most `max_transfers` transfers. A trial plan is
    /// made on every other step and validated on the steps between, which rejects plans that only
    /// fit noise.
    fn plan_layer(&self, index: usize, max_transfers: usize) -> Option<(LayerChange, f64)> {
        let layer = &self.layers[index];
        let window = layer.best_window();
        let training = layer.loads.mean_of_alternate_steps(window);
        let validation: Vec<&[f64]> =
            layer.loads.newest(window.max(MIN_VALIDATION_STEPS)).skip(1).step_by(2).collect();
        let min_gain = self.params.min_gain;
        let trial =
            plan::improve(&layer.map, &training, max_transfers.min(MAX_TRIAL_TRANSFERS), min_gain);
        let reductions = validation.iter().map(|load| layer.map.skew(load) - trial.map.skew(load));
        let reductions = Moments::of(reductions);
        if trial.transfers.is_empty()
            || reductions.mean <= MIN_TRIAL_T_STATISTIC * reductions.squared_standard_error().sqrt()
        {
            return None;
        }
        let plan = plan::improve(&layer.map, &layer.loads.mean(window), max_transfers, min_gain);
        let before = Moments::of(validation.iter().map(|load| layer.map.skew(load))).mean;
        let predicted_skew = Moments::of(validation.iter().map(|load| plan.map.skew(load))).mean;
        let reduction = before - predicted_skew;
        (reduction > 0.0).then_some((LayerChange { layer: index, plan, predicted_skew }, reduction))
    }

    fn cost(&self, transfers: usize) -> f64 {
        let per_layer = transfers as f64 / self.layers.len() as f64;
        self.weights.moves * (per_layer + self.costs.switch_steps)
    }

    fn update_lifetime(&mut self) {
        let lifetime_steps = (self.steps - self.changed_at_step) as f64;
        let lifetime_steps =
            self.lifetime_steps + LIFETIME_SMOOTHING * (lifetime_steps - self.lifetime_steps);
        self.lifetime_steps = lifetime_steps.clamp(MIN_LIFETIME_STEPS, MAX_LIFETIME_STEPS);
        self.changed_at_step = self.steps;
    }
}
