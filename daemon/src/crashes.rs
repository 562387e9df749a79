//! Relates crashes of backends to the requests that were in flight, and refuses requests that crash
//! backends. See [`currantlink_core::suspects`].

use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use currantlink_core::fleet::FleetKey;
use currantlink_core::ids::{Fingerprint, PromptPart};
use currantlink_core::retry::{Outcome, RetryState};
use currantlink_core::suspects::Verdict;
use currantlink_platform::response::KeepAlive;

use crate::clock::now_ms;
use crate::crash_ledger::RequestKeys;
use crate::rejection::{NotRunReason, Rejection};
use crate::request_handler::{Call, Gateway};
use crate::trials::Trial;
use crate::upstream::{Framing, Upstream, UpstreamError};

/// Timeout of the connections that show whether a backend's process still listens.
const CHECK_TIMEOUT: Duration = Duration::from_millis(100);
/// Longest time from the end of the connections of a process until its address refuses others.
const EXIT_TIME: Duration = Duration::from_millis(50);
/// Interval at which a backend that ends its connections is connected to again.
const EXIT_POLL: Duration = Duration::from_millis(5);
/// Time for which a backend that refused a connection is not tried again.
const REFUSED_PAUSE_MS: u64 = 1_000;
/// Time within which the list shows that a backend's process has ended.
const EXPLAINED_WITHIN_MS: u64 = 10_000;
/// Maximum number of losses that are not explained.
const MAX_UNEXPLAINED: usize = 256;
/// Longest time after which a request that waits for a trial looks again.
const TRIAL_POLL: Duration = Duration::from_millis(100);
/// Length of an unfinished answer that shows that its request does not crash the backend. Requests
/// that do crash it within a few tokens.
const SOUND_ANSWER: Duration = Duration::from_secs(1);
/// Length of an answer that speaks for its request if it breaks off and the backend lives on.
const BEGUN_ANSWER: Duration = Duration::from_millis(200);

/// State of a backend that ended a connection with a request in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendState {
    /// Nothing listens at its address any more: its process has ended.
    Crashed,
    /// It accepts connections.
    Alive,
    /// It does not respond.
    Unknown,
}

impl From<BackendState> for Outcome {
    fn from(state: BackendState) -> Self {
        match state {
            BackendState::Crashed => Outcome::Crashed,
            BackendState::Alive | BackendState::Unknown => Outcome::Unknown,
        }
    }
}

/// A request that a backend did not answer, for a reason that is not known yet.
pub(crate) struct UnexplainedLoss {
    key: FleetKey,
    at_ms: u64,
    service: String,
    parts: Vec<PromptPart>,
    fingerprint: Fingerprint,
    attempt: Fingerprint,
    is_trial: bool,
}

impl UnexplainedLoss {
    fn keys(&self) -> RequestKeys<'_> {
        let Self { service, parts, fingerprint, attempt, .. } = self;
        RequestKeys { service, parts, fingerprint: *fingerprint, attempt: *attempt }
    }
}

/// How far the answer of one backend has come.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerProgress {
    first_event_at: Option<Instant>,
    length: Duration,
}

impl AnswerProgress {
    /// Records an event. Returns whether the answer has become long enough to show that its request
    /// does not crash the backend.
    pub fn record_event(&mut self, now: Instant) -> bool {
        let was_sound = self.is_sound();
        self.length = now - *self.first_event_at.get_or_insert(now);
        self.is_sound() && !was_sound
    }

    fn is_sound(&self) -> bool {
        self.length >= SOUND_ANSWER
    }

    /// Returns whether an event was received.
    pub fn has_events(&self) -> bool {
        self.first_event_at.is_some()
    }

    /// Returns whether the answer speaks for its request if it breaks off.
    pub fn has_begun(&self) -> bool {
        self.length >= BEGUN_ANSWER
    }
}

impl Gateway {
    /// Finds out whether a backend crashed when the connection of a request failed with `error`.
    pub(crate) async fn check_lost(
        &self,
        call: &Call,
        key: FleetKey,
        error: &UpstreamError,
    ) -> BackendState {
        let state = match error {
            UpstreamError::Io(error) if error.kind() == io::ErrorKind::TimedOut => {
                BackendState::Unknown
            }
            _ => self.check_backend(call, key).await,
        };
        if state == BackendState::Crashed {
            self.log_crash(call, key);
        }
        state
    }

    /// Returns the outcome of an attempt whose connection failed before an answer had begun, and
    /// records a crash.
    pub(crate) async fn lost_outcome(
        &self,
        call: &Call,
        key: FleetKey,
        error: &UpstreamError,
    ) -> Outcome {
        let state = self.check_lost(call, key, error).await;
        match state {
            BackendState::Crashed => self.record_crash(call, key),
            BackendState::Alive | BackendState::Unknown => self.record_unexplained(call, key),
        }
        state.into()
    }

    /// Records that the answer of a backend has broken off.
    pub(crate) fn record_broken(
        &self,
        call: &Call,
        key: FleetKey,
        state: BackendState,
        sent_at_ms: u64,
        answer: AnswerProgress,
    ) {
        match state {
            BackendState::Crashed if !answer.is_sound() => self.record_crash(call, key),
            // The backend has begun the answer and goes on: another one has crashed, or none.
            BackendState::Alive if answer.has_begun() => {
                self.crashes.record_begun(call.keys(), sent_at_ms);
            }
            _ if !answer.is_sound() => self.record_unexplained(call, key),
            _ => {}
        }
    }

    /// Checks that an answer has ended, and not the process of its backend: an answer without a length
    /// ends with its connection, as do the connections of a process that is killed.
    ///
    /// Returns whether the answer shows that its request does not crash the backend.
    ///
    /// # Errors
    ///
    /// Fails if the process has ended, so that the answer may not be complete.
    pub(crate) async fn check_end(
        &self,
        call: &Call,
        key: FleetKey,
        framing: Framing,
    ) -> Result<bool, UpstreamError> {
        if framing != Framing::UntilClose {
            return Ok(true);
        }
        match self.check_backend(call, key).await {
            BackendState::Crashed => Err(UpstreamError::Closed),
            BackendState::Alive => Ok(self.crashes.is_suspect(call.keys())),
            BackendState::Unknown => Ok(false),
        }
    }

    /// Records that a request does not crash backends.
    pub(crate) fn record_sound(&self, call: &Call) {
        self.crashes.record_answer(call.keys());
        call.end_trial();
        // Requests that wait for another trial of the same key may be sent now.
        self.trials.wake_waiting();
    }

    /// Waits until a request may be sent as a trial, if requests like it may crash backends.
    ///
    /// # Errors
    ///
    /// Fails if requests like it are refused, or if its turn does not come in time.
    pub(crate) async fn begin_trial(
        &self,
        call: &Call,
        relay: &RetryState,
    ) -> Result<(), Rejection> {
        // An earlier attempt may have been a trial.
        call.end_trial();
        let mut trial = Trial::new(Arc::clone(&self.trials));
        let since = tokio::time::Instant::now();
        let until = call.deadline.min(since + self.trial_wait(call, relay));
        let is_probe = self.crashes.is_refused(call.keys());
        self.check_suspicion(call, relay)?;
        loop {
            let changed = self.trials.changed();
            if trial.try_begin_all(self.crashes.trial_ids(call.keys())) {
                break;
            }
            let now = tokio::time::Instant::now();
            if now >= until {
                return Err(self.untried_rejection(call));
            }
            // An interval without a change has the same effect as a change.
            drop(tokio::time::timeout_at(until.min(now + TRIAL_POLL), changed).await);
            if !is_probe {
                self.check_suspicion(call, relay)?;
            }
        }
        if trial.is_begun() {
            log::info!(request = call.attempt_id.as_str(), fingerprint:% = call.fingerprint,
                prompt_parts = call.prompt_parts_text(),
                waited_ms = since.elapsed().as_millis() as u64;
                "request becomes a trial: requests like it may crash backends");
            metrics::counter!("currantlink_trials_total").increment(1);
            call.trial.replace(Some(trial));
        }
        Ok(())
    }

    /// Returns whether a request may not be sent because it is not the trial that it must be by now.
    pub(crate) fn must_wait_for_trial(&self, call: &Call) -> bool {
        let ids = self.crashes.trial_ids(call.keys());
        !ids.is_empty() && !call.trial.borrow().as_ref().is_some_and(|trial| trial.covers(ids))
    }

    fn untried_rejection(&self, call: &Call) -> Rejection {
        log::info!(request = call.attempt_id.as_str(), fingerprint:% = call.fingerprint,
            prompt_parts = call.prompt_parts_text();
            "another request like this one is on trial");
        self.not_run_rejection(call, NotRunReason::Suspected)
    }

    /// Rejects a request if requests like it crash backends.
    ///
    /// # Errors
    ///
    /// Fails if the request must not be dispatched.
    pub(crate) fn check_suspicion(&self, call: &Call, relay: &RetryState) -> Result<(), Rejection> {
        let retry_after = match self.crashes.judge(call.keys()) {
            Verdict::Unsuspected | Verdict::Trial => return Ok(()),
            Verdict::Suspected if !relay.has_crashed() => return Ok(()),
            Verdict::Suspected => Duration::ZERO,
            Verdict::Refused { for_ms } => Duration::from_millis(for_ms),
        };
        log::info!(request = call.attempt_id.as_str(), fingerprint:% = call.fingerprint,
            prompt_parts = call.prompt_parts_text(),
            retry_after_ms = retry_after.as_millis() as u64;
            "requests like this one crash backends");
        metrics::counter!("currantlink_crash_refusals_total").increment(1);
        Err(Rejection::NotRun { reason: NotRunReason::CrashesBackends, retry_after })
    }

    /// Logs that a request is sent although something of it was in flight at crashes.
    pub(crate) fn log_suspect(&self, call: &Call, backend: &str) {
        let crashes = self.crashes.crash_count(call.keys());
        if crashes > 0 {
            log::info!(request = call.attempt_id.as_str(), backend, crashes,
                fingerprint:% = call.fingerprint, prompt_parts = call.prompt_parts_text();
                "request sent although it may crash the backend");
            metrics::counter!("currantlink_suspects_sent_total").increment(1);
        }
    }

    /// Finds out whether the process of a backend that did not answer a request still listens. If the
    /// request is a suspect, a process that is about to end is told from one that lives on.
    async fn check_backend(&self, call: &Call, key: FleetKey) -> BackendState {
        let since = tokio::time::Instant::now();
        let until = match self.crashes.is_suspect(call.keys()) {
            true => since + EXIT_TIME,
            false => since,
        };
        loop {
            let limit = CHECK_TIMEOUT.saturating_sub(since.elapsed());
            match self.check_connect(key, limit).await {
                Ok(upstream) if upstream.stays_open(until).await => {
                    self.pool.put_idle(key, upstream, KeepAlive::Unspecified);
                    return BackendState::Alive;
                }
                Err(BackendState::Crashed) => return BackendState::Crashed,
                _ if tokio::time::Instant::now() >= until => return BackendState::Unknown,
                _ => tokio::time::sleep(EXIT_POLL).await,
            }
        }
    }

    /// Connects to a backend within `limit`. Returns its state if that fails.
    async fn check_connect(
        &self,
        key: FleetKey,
        limit: Duration,
    ) -> Result<Upstream, BackendState> {
        let snapshot = self.snapshot.load();
        let member = snapshot.fleet.get(key).ok_or(BackendState::Unknown)?;
        let connected = Upstream::connect(member.announcement.address, limit).await;
        connected.map_err(|error| {
            self.record_unconnected(key, &error);
            match error.kind() {
                io::ErrorKind::ConnectionRefused => BackendState::Crashed,
                kind => {
                    log::info!(backend = member.id.as_str(), error:% = error, kind:? = kind;
                        "backend's state is not known: connection failed");
                    BackendState::Unknown
                }
            }
        })
    }

    /// Records that a connection to a backend failed. One that refuses connections is not tried again
    /// for some time: its process has ended, but it stays listed until its announcements are missed.
    pub(crate) fn record_unconnected(&self, key: FleetKey, error: &io::Error) {
        if error.kind() == io::ErrorKind::ConnectionRefused {
            let until_ms = now_ms() + REFUSED_PAUSE_MS;
            self.observations.borrow_mut().refused_until_ms.insert(key, until_ms);
            self.stated_limits.record_absent(key);
        }
    }

    fn record_crash(&self, call: &Call, key: FleetKey) {
        let trial = call.trial.take();
        self.record_crash_of(key, call.keys(), trial.is_some(), now_ms());
        trial.into_iter().for_each(Trial::end_with_crash);
    }

    fn record_crash_of(&self, key: FleetKey, keys: RequestKeys<'_>, is_trial: bool, at_ms: u64) {
        let snapshot = self.snapshot.load();
        // A backend that leaves exits by itself.
        if let Some(member) = snapshot.fleet.get(key).filter(|member| !member.leaving) {
            let backends = snapshot.fleet.available(&member.announcement.service).count() as u32;
            self.crashes.record_crash(member, backends, keys, is_trial, at_ms);
            self.trials.wake_control();
        }
    }

    /// Records that a backend did not answer a request, for a reason that is not known yet.
    pub(crate) fn record_unexplained(&self, call: &Call, key: FleetKey) {
        let RequestKeys { service, parts, fingerprint, attempt } = call.keys();
        let loss = UnexplainedLoss {
            key,
            at_ms: now_ms(),
            service: service.to_owned(),
            parts: parts.to_vec(),
            fingerprint,
            attempt,
            is_trial: call.is_trial(),
        };
        let losses = &mut self.observations.borrow_mut().unexplained_losses;
        if losses.len() == MAX_UNEXPLAINED {
            losses.pop_front();
        }
        losses.push_back(loss);
    }

    /// Records crashes for losses that the list explains by now: another process has the backend's id or
    /// its address.
    pub(crate) fn explain_losses(&self) {
        let (snapshot, now) = (self.snapshot.load(), now_ms());
        let losses = std::mem::take(&mut self.observations.borrow_mut().unexplained_losses);
        for loss in losses {
            match snapshot.fleet.is_replaced(loss.key) {
                true => {
                    log::info!(fingerprint:% = loss.fingerprint, after_ms = now - loss.at_ms;
                        "a request was lost with the process of its backend");
                    self.record_crash_of(loss.key, loss.keys(), loss.is_trial, loss.at_ms);
                }
                false if loss.at_ms + EXPLAINED_WITHIN_MS > now => {
                    self.observations.borrow_mut().unexplained_losses.push_back(loss);
                }
                false => {}
            }
        }
    }

    fn log_crash(&self, call: &Call, key: FleetKey) {
        let snapshot = self.snapshot.load();
        let backend = snapshot.fleet.get(key).map(|member| member.id.as_str());
        let prompt_parts = call.prompt_parts_text();
        log::warn!(backend, request = call.attempt_id.as_str(), fingerprint:% = call.fingerprint,
            prompt_parts; "backend crashed with a request in flight");
        metrics::counter!("currantlink_requests_crashed_total").increment(1);
    }
}
