//! Leads one expert map change of a group.
//!
//! Any process may coordinate at any time. The group is released only once every side has reported
//! the same map while held under this coordinator's ballot, so whoever dies in between, a later
//! coordinator finds the group either held or uniform.

use derive_more::Display;

use crate::group::{Ballot, Order, Step};
use crate::ids::Incarnation;

/// What an engine reports with each answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct EngineReport {
    /// Version of the map in use.
    pub map_version: u64,
    /// Newest version staged beside it, 0 for none.
    pub staged_version: u64,
    /// The ranks are held.
    pub held: bool,
}

/// A side's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Answer {
    /// Index of the side.
    pub member: usize,
    /// The order's ballot.
    pub ballot: Ballot,
    /// The order's step.
    pub step: Step,
    /// The side obeyed.
    pub accepted: bool,
    /// The side's greatest promise.
    pub promised: Ballot,
    /// The engine's state.
    pub report: EngineReport,
}

/// What the change is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Goal {
    /// Bring a new map into use.
    Switch {
        /// Its version, greater than all before it.
        map_version: u64,
    },
    /// Make the group uniform again and release it.
    Recover,
}

/// State of a change.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Phase {
    /// Waits for all sides at this step.
    #[display("{_0}")]
    Running(Step),
    /// All sides were released on one map.
    #[display("done")]
    Done,
    /// A side refused; a new try needs a round above this one.
    #[display("abandoned below round {_0}")]
    Abandoned(u64),
}

/// One try of a change.
#[derive(Clone, Debug)]
pub struct Coordinator {
    ballot: Ballot,
    goal: Goal,
    incarnations: Vec<Incarnation>,
    reports: Vec<Option<EngineReport>>,
    target_version: u64,
    phase: Phase,
}

impl Coordinator {
    /// Starts a try with the sides' incarnations as last seen.
    pub fn new(ballot: Ballot, goal: Goal, incarnations: Vec<Incarnation>) -> Self {
        let reports = vec![None; incarnations.len()];
        let phase = Phase::Running(Step::Prepare);
        Self { ballot, goal, incarnations, reports, target_version: 0, phase }
    }

    /// Returns the state of the change.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns the version of the map that the group ends on, known after `Step::Prepare`.
    pub fn target_version(&self) -> u64 {
        self.target_version
    }

    /// Returns the orders that have no answer yet, by index of the side.
    pub fn pending_orders(&self) -> Vec<(usize, Order)> {
        let Phase::Running(step) = self.phase else {
            return Vec::new();
        };
        let unanswered = self.reports.iter().enumerate().filter(|(_, r)| r.is_none());
        unanswered.map(|(member, _)| (member, self.order_for(member, step))).collect()
    }

    /// Takes an answer; returns whether new orders are pending.
    pub fn handle_answer(&mut self, answer: Answer) -> bool {
        if answer.ballot != self.ballot || self.phase != Phase::Running(answer.step) {
            return false;
        }
        if !answer.accepted || !self.is_expected(answer.step, answer.report) {
            let round = answer.promised.round.max(self.ballot.round);
            self.phase = Phase::Abandoned(round);
            return false;
        }
        self.reports[answer.member] = Some(answer.report);
        if self.reports.iter().any(Option::is_none) {
            return false;
        }
        self.advance(answer.step);
        matches!(self.phase, Phase::Running(_))
    }

    /// Notes that a side was replaced or cannot be reached.
    pub fn abandon(&mut self) {
        if let Phase::Running(_) = self.phase {
            self.phase = Phase::Abandoned(self.ballot.round);
        }
    }

    fn order_for(&self, member: usize, step: Step) -> Order {
        Order {
            incarnation: self.incarnations[member],
            ballot: self.ballot,
            step,
            map_version: self.target_version,
        }
    }

    fn is_expected(&self, step: Step, report: EngineReport) -> bool {
        match step {
            Step::Prepare | Step::Stage => true,
            Step::Hold => report.held,
            Step::Switch | Step::Confirm => {
                report.held && report.map_version == self.target_version
            }
            Step::Release => report.map_version == self.target_version,
        }
    }

    fn advance(&mut self, step: Step) {
        if step == Step::Prepare {
            self.target_version = self.choose_target_version();
        }
        self.phase = step.next().map_or(Phase::Done, Phase::Running);
        self.reports.fill(None);
    }

    fn choose_target_version(&self) -> u64 {
        let newest = self.reports.iter().flatten().map(|r| r.map_version).max().unwrap_or(0);
        match self.goal {
            Goal::Switch { map_version } if map_version > newest => map_version,
            _ => newest,
        }
    }
}
