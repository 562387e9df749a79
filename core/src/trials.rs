//! Lets requests that may crash backends run one at a time in the whole deployment.
//!
//! A key is something that requests have in common, see [`crate::suspects`]. For each key, one gateway
//! grants trials: one at a time, until the trial has ended or its time has passed. The others ask it
//! for as long as a request waits. Gateways that disagree about which of them grants may let one trial
//! run each.

use std::collections::BTreeSet;

use indexmap::{IndexMap, IndexSet};

use crate::ids::Fingerprint;

/// Time for which a trial is granted. It is asked for again while it runs, so that it ends soon if its
/// gateway stops or the message about its end is lost.
const GRANT_MS: u64 = 700;
/// Interval at which a running trial is asked for.
const RENEW_INTERVAL_MS: u64 = 200;
/// Time from a crash during a trial until the next trial, so that all gateways know of the crash.
const CRASH_PAUSE_MS: u64 = 700;
/// Interval at which a trial is asked for, since messages may be lost.
const ASK_INTERVAL_MS: u64 = 100;
/// Time since a request last waited for a trial after which it is given up.
const WANTED_MS: u64 = 250;

/// Identifies a key of one service for trials.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TrialId(pub u64);

impl TrialId {
    /// Returns the id of a key of a service. Keys of different kinds are independent.
    pub fn of(service: &str, kind: &str, key: u64) -> Self {
        Self(Fingerprint::of(&[service.as_bytes(), kind.as_bytes(), &key.to_le_bytes()]).0)
    }
}

/// How a trial ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrialEnd {
    /// The request was answered or has left, or its backend failed in another way.
    Over,
    /// The backend crashed.
    Crashed,
}

/// Trials that a gateway has granted to others and itself.
#[derive(Clone, Debug, Default)]
pub struct Granter {
    grants: IndexMap<TrialId, Grant>,
}

#[derive(Clone, Copy, Debug)]
struct Grant {
    /// Process that runs the trial, or `None` during the pause after a crash.
    holder: Option<u64>,
    until_ms: u64,
}

impl Granter {
    /// Grants a trial to the process `holder`, or extends it, unless another one has it.
    pub fn ask(&mut self, id: TrialId, holder: u64, now_ms: u64) -> bool {
        self.grants.retain(|_, grant| now_ms < grant.until_ms);
        let new = Grant { holder: Some(holder), until_ms: now_ms + GRANT_MS };
        let grant = self.grants.entry(id).or_insert(new);
        let is_own = grant.holder == Some(holder);
        if is_own {
            *grant = new;
        }
        is_own
    }

    /// Records the end of a trial of the process `holder`.
    pub fn end(&mut self, id: TrialId, holder: u64, end: TrialEnd, now_ms: u64) {
        let is_current = self.grants.get(&id).is_none_or(|grant| grant.holder == Some(holder));
        match end {
            TrialEnd::Crashed => {
                let pause = Grant { holder: None, until_ms: now_ms + CRASH_PAUSE_MS };
                self.grants.insert(id, pause);
            }
            TrialEnd::Over if is_current => drop(self.grants.swap_remove(&id)),
            TrialEnd::Over => {}
        }
    }
}

/// Trials that requests of a gateway wait for or run.
#[derive(Clone, Debug, Default)]
pub struct Applicant {
    trials: IndexMap<TrialId, Trial>,
}

#[derive(Clone, Copy, Debug)]
struct Trial {
    stage: Stage,
    /// Time at which a request last waited for it.
    wanted_at_ms: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Wanted { asked_at_ms: Option<u64> },
    Granted,
    Running { renewed_at_ms: u64 },
}

/// What a gateway has to tell those that grant trials.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Requests {
    /// Trials that are asked for, or that run.
    pub asked: Vec<TrialId>,
    /// Granted trials that no request needs any more.
    pub returned: Vec<TrialId>,
}

impl Applicant {
    /// Returns whether no request waits for a trial or runs as one.
    pub fn is_idle(&self) -> bool {
        self.trials.is_empty()
    }

    /// Begins a trial if it is granted. Otherwise it is asked for as long as this is called again.
    pub fn try_begin(&mut self, id: TrialId, now_ms: u64) -> bool {
        let wanted = Trial { stage: Stage::Wanted { asked_at_ms: None }, wanted_at_ms: now_ms };
        let trial = self.trials.entry(id).or_insert(wanted);
        trial.wanted_at_ms = now_ms;
        let is_granted = trial.stage == Stage::Granted;
        if is_granted {
            trial.stage = Stage::Running { renewed_at_ms: now_ms };
        }
        is_granted
    }

    /// Begins the trials of a request, those that it has begun already excepted. Returns whether all are
    /// begun. The order of the ids keeps two requests from waiting for each other.
    pub fn try_begin_all(
        &mut self,
        begun: &mut IndexSet<TrialId>,
        ids: impl IntoIterator<Item = TrialId>,
        now_ms: u64,
    ) -> bool {
        for id in ids.into_iter().collect::<BTreeSet<_>>() {
            if !begun.contains(&id) && !self.try_begin(id, now_ms) {
                return false;
            }
            begun.insert(id);
        }
        true
    }

    /// Records that a trial was granted. Returns false if it is not needed any more.
    pub fn record_grant(&mut self, id: TrialId) -> bool {
        match self.trials.get_mut(&id) {
            Some(trial) => {
                if let Stage::Wanted { .. } = trial.stage {
                    trial.stage = Stage::Granted;
                }
                true
            }
            None => false,
        }
    }

    /// Records the end of a trial that a request has begun.
    pub fn end(&mut self, id: TrialId) {
        self.trials.swap_remove(&id);
    }

    /// Returns what is to be told now.
    pub fn due(&mut self, now_ms: u64) -> Requests {
        let mut requests = Requests::default();
        self.trials.retain(|&id, trial| {
            let is_unwanted = trial.wanted_at_ms + WANTED_MS < now_ms;
            match &mut trial.stage {
                Stage::Running { renewed_at_ms } => {
                    if *renewed_at_ms + RENEW_INTERVAL_MS <= now_ms {
                        *renewed_at_ms = now_ms;
                        requests.asked.push(id);
                    }
                    true
                }
                Stage::Granted if is_unwanted => {
                    requests.returned.push(id);
                    false
                }
                Stage::Granted => true,
                // A grant that is still on its way is returned when it arrives.
                Stage::Wanted { .. } if is_unwanted => false,
                Stage::Wanted { asked_at_ms } => {
                    if asked_at_ms.is_none_or(|at_ms| at_ms + ASK_INTERVAL_MS <= now_ms) {
                        *asked_at_ms = Some(now_ms);
                        requests.asked.push(id);
                    }
                    true
                }
            }
        });
        requests
    }
}
