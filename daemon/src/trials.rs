//! Trials of requests that may crash backends, shared by the traffic thread and the control thread.
//! See [`currantlink_core::trials`].

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use currantlink_core::suspects::prober;
use currantlink_core::trials::{Applicant, Granter, TrialEnd, TrialId};
use currantlink_wire::peers;
use indexmap::{IndexMap, IndexSet};
use tokio::sync::Notify;
use tokio::sync::futures::Notified;

use crate::clock::now_ms;

/// Trials that this gateway grants, waits for or runs.
#[derive(Default)]
pub struct SharedTrials {
    state: Mutex<State>,
    /// Notified when a request that waits may go on.
    changed: Notify,
    /// Notified when other gateways are to be told something.
    due: Notify,
}

#[derive(Default)]
struct State {
    granter: Granter,
    applicant: Applicant,
    /// Trials that have ended and whose granters have not been told.
    ended: Vec<(TrialId, TrialEnd)>,
}

/// The trials of one request. They end when it is dropped.
pub struct Trial {
    trials: Arc<SharedTrials>,
    begun: IndexSet<TrialId>,
    end: TrialEnd,
}

impl Trial {
    /// Creates a request without trials.
    pub fn new(trials: Arc<SharedTrials>) -> Self {
        Self { trials, begun: IndexSet::new(), end: TrialEnd::Over }
    }

    /// Begins trials, as far as they are granted. Returns whether all are begun.
    pub fn try_begin_all(&mut self, ids: impl IntoIterator<Item = TrialId>) -> bool {
        let is_begun = self.trials.lock().applicant.try_begin_all(&mut self.begun, ids, now_ms());
        if !is_begun {
            self.trials.due.notify_one();
        }
        is_begun
    }

    /// Returns whether the request is a trial of all these ids.
    pub fn covers(&self, ids: impl IntoIterator<Item = TrialId>) -> bool {
        ids.into_iter().all(|id| self.begun.contains(&id))
    }

    /// Returns whether the request is a trial of something.
    pub fn is_begun(&self) -> bool {
        !self.begun.is_empty()
    }

    /// Ends the trials because the backend crashed.
    pub fn end_with_crash(mut self) {
        self.end = TrialEnd::Crashed;
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        if self.begun.is_empty() {
            return;
        }
        let mut state = self.trials.lock();
        for &id in &self.begun {
            state.applicant.end(id);
            state.ended.push((id, self.end));
        }
        drop(state);
        self.trials.changed.notify_waiters();
        self.trials.due.notify_one();
    }
}

impl SharedTrials {
    /// Waits until a request that waits may go on.
    pub fn changed(&self) -> Notified<'_> {
        self.changed.notified()
    }

    /// Lets all requests that wait look again.
    pub fn wake_waiting(&self) {
        self.changed.notify_waiters();
    }

    /// Waits until other gateways are to be told something.
    pub async fn due(&self) {
        self.due.notified().await;
    }

    /// Lets other gateways be told soon.
    pub fn wake_control(&self) {
        self.due.notify_one();
    }

    /// Returns whether there is nothing to tell other gateways.
    pub fn is_idle(&self) -> bool {
        let state = self.lock();
        state.ended.is_empty() && state.applicant.is_idle()
    }

    /// Returns the messages that are due, by the name of the gateway that grants the trials. `own` is
    /// the name of this gateway and `holder` identifies its process.
    pub fn messages(
        &self,
        gateways: &[String],
        own: &str,
        holder: u64,
    ) -> IndexMap<String, peers::Trials> {
        let mut state = self.lock();
        let requests = state.applicant.due(now_ms());
        let ended = std::mem::take(&mut state.ended);
        let returned = requests.returned.into_iter().map(|id| (id, TrialEnd::Over));
        let ended = ended.into_iter().chain(returned);
        let mut messages = IndexMap::<String, peers::Trials>::new();
        let granter = |id: TrialId| prober(id.0, gateways).unwrap_or(own).to_owned();
        for (id, end) in ended {
            let message = messages.entry(granter(id)).or_default();
            match end {
                TrialEnd::Over => message.ended.push(id.0),
                TrialEnd::Crashed => message.crashed.push(id.0),
            }
        }
        for id in requests.asked {
            messages.entry(granter(id)).or_default().asked.push(id.0);
        }
        if let Some(own_message) = messages.swap_remove(own) {
            let granted = state.answer(own_message, holder);
            if state.record_grants(granted) {
                self.changed.notify_waiters();
            }
        }
        messages
    }

    /// Applies a message of the process `sender`. Returns the response, if there is one.
    pub fn receive(&self, message: peers::Trials, sender: u64) -> Option<peers::Trials> {
        let mut state = self.lock();
        let granted = message.granted.clone();
        let response =
            peers::Trials { granted: state.answer(message, sender), ..peers::Trials::default() };
        if !granted.is_empty() && state.record_grants(granted) {
            self.changed.notify_waiters();
        }
        if !state.ended.is_empty() {
            self.due.notify_one();
        }
        (!response.granted.is_empty()).then_some(response)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // Each update is complete or not begun, so the state stays consistent even if the lock is
        // poisoned.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Applies what the process `holder` says of trials that this gateway grants. Returns the trials that
    /// are granted to it.
    fn answer(&mut self, message: peers::Trials, holder: u64) -> Vec<u64> {
        let now = now_ms();
        for id in message.ended {
            self.granter.end(TrialId(id), holder, TrialEnd::Over, now);
        }
        for id in message.crashed {
            self.granter.end(TrialId(id), holder, TrialEnd::Crashed, now);
        }
        let asked = message.asked.into_iter();
        asked.filter(|&id| self.granter.ask(TrialId(id), holder, now)).collect()
    }

    /// Records trials that were granted to this gateway, and returns those that are not needed any more.
    /// Returns whether a request may go on.
    fn record_grants(&mut self, granted: impl IntoIterator<Item = u64>) -> bool {
        let mut is_any_needed = false;
        for id in granted.into_iter().map(TrialId) {
            match self.applicant.record_grant(id) {
                true => is_any_needed = true,
                false => self.ended.push((id, TrialEnd::Over)),
            }
        }
        is_any_needed
    }
}
