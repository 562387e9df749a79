//! Crashes of backends and their suspects, shared by the traffic thread and the control thread.

use std::fmt::Display;
use std::hash::Hash;
use std::sync::{Mutex, MutexGuard, PoisonError};

use currantlink_core::fleet::Member;
use currantlink_core::ids::{Fingerprint, PromptPart};
use currantlink_core::suspects::{
    self, CrashId, CrashReport, Standing, StandingChange, Suspect, Suspects, Verdict,
};
use currantlink_core::trials::TrialId;
use currantlink_wire::peers;
use indexmap::IndexMap;
use rand::random_range;

use crate::clock::now_ms;

/// Number of suspects in one message, unless a single crash has more, and number of messages at a time. A
/// datagram of many packets would often be lost.
const MAX_ENTRIES: usize = 100;
const MAX_MESSAGES: usize = 10;
/// Time after a crash seen here within which all gateways are told repeatedly, since messages may be
/// lost.
const PUSH_MS: u64 = 2_000;
/// Maximum random delay of messages about acquittals. Other gateways that find the same ones need not
/// send them then.
const ACQUITTAL_JITTER_MS: u64 = 400;
const PROMPT_PART: &str = "prompt part";
const REQUEST: &str = "request";

/// Crashes known here or from other gateways, by service.
pub struct CrashLedger(Mutex<Ledger>);

struct Ledger {
    own_name: String,
    gateways: Vec<String>,
    services: IndexMap<String, ServiceSuspects>,
    /// Time of the last crash that was seen here.
    crash_seen_at_ms: Option<u64>,
    is_unsent: bool,
    acquittals_due_ms: Option<u64>,
}

struct ServiceSuspects {
    parts: Suspects<PromptPart>,
    requests: Suspects<Fingerprint>,
}

/// What a request may have in common with requests that crash backends.
#[derive(Clone, Copy, Debug)]
pub struct RequestKeys<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Shared parts of the prompt.
    pub parts: &'a [PromptPart],
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Hash of the id of the client's attempt.
    pub attempt: Fingerprint,
}

/// Which gateways are told of the crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Audience {
    /// All: a crash or an acquittal was found here.
    All,
    /// Some: they may have missed earlier messages, or have just started.
    Some,
}

impl CrashLedger {
    /// Creates the ledger of the gateway `own_name`.
    pub fn new(own_name: &str) -> Self {
        Self(Mutex::new(Ledger {
            own_name: own_name.to_owned(),
            gateways: Vec::new(),
            services: IndexMap::new(),
            crash_seen_at_ms: None,
            is_unsent: false,
            acquittals_due_ms: None,
        }))
    }

    /// Replaces the names of the gateways, or `None` while they are unknown, and evaluates the evidence.
    pub fn update(&self, gateways: Option<&[String]>) {
        let mut ledger = self.lock();
        ledger.gateways = gateways.unwrap_or_default().to_vec();
        for (service, ServiceSuspects { parts, requests }) in &mut ledger.services {
            log_changes(service, PROMPT_PART, &parts.update(now_ms()), parts);
            log_changes(service, REQUEST, &requests.update(now_ms()), requests);
        }
    }

    /// Records the first attempt of a client's request.
    pub fn record_arrival(&self, request: RequestKeys<'_>) {
        let mut ledger = self.lock();
        let suspects = ledger.service(request.service);
        suspects.parts.record_arrival(request.parts.iter().copied());
        suspects.requests.record_arrival([request.fingerprint]);
    }

    /// Decides on a request.
    pub fn judge(&self, request: RequestKeys<'_>) -> Verdict {
        let mut ledger = self.lock();
        let Ledger { own_name, gateways, services, .. } = &mut *ledger;
        let Some(ServiceSuspects { parts, requests }) = services.get_mut(request.service) else {
            return Verdict::Unsuspected;
        };
        let may_probe = |key| suspects::prober(key, gateways) == Some(own_name.as_str());
        let now = now_ms();
        let by_parts = parts.judge(request.parts.iter().copied(), |part| may_probe(part.0), now);
        let by_request = requests.judge([request.fingerprint], |hash| may_probe(hash.0), now);
        by_parts.max(by_request)
    }

    /// Returns whether requests like this one are refused. One of them may be sent as a probe.
    pub fn is_refused(&self, request: RequestKeys<'_>) -> bool {
        let ledger = self.lock();
        ledger.services.get(request.service).is_some_and(|suspects| {
            let is_refused = |standing| standing >= Some(Standing::Convicted);
            request.parts.iter().any(|&part| is_refused(suspects.parts.standing(part)))
                || is_refused(suspects.requests.standing(request.fingerprint))
        })
    }

    /// Returns the trials that a request must be for what it has in common with requests at crashes.
    pub fn trial_ids(&self, request: RequestKeys<'_>) -> Vec<TrialId> {
        let mut ledger = self.lock();
        let Some(ServiceSuspects { parts, requests }) = ledger.services.get_mut(request.service)
        else {
            return Vec::new();
        };
        let id = |kind, key| TrialId::of(request.service, kind, key);
        let needed = request.parts.iter().filter(|&&part| parts.needs_trial(part));
        let by_part = needed.map(|part| id(PROMPT_PART, part.0));
        let by_request = requests.needs_trial(request.fingerprint);
        by_part.chain(by_request.then(|| id(REQUEST, request.fingerprint.0))).collect()
    }

    /// Records that one of `backends` backends crashed at `at_ms` while it had a request. `is_trial` tells
    /// whether the request was a trial.
    pub fn record_crash(
        &self,
        backend: &Member,
        backends: u32,
        request: RequestKeys<'_>,
        is_trial: bool,
        at_ms: u64,
    ) {
        let id = CrashId::of(&backend.id, backend.announcement.started_at_ms);
        let RequestKeys { service, parts, fingerprint, attempt } = request;
        let mut ledger = self.lock();
        let suspects = ledger.service(service);
        let parts = parts.iter().copied();
        suspects.parts.record_crash(id, backends, fingerprint, parts, is_trial, at_ms);
        suspects.requests.record_crash(id, backends, attempt, [fingerprint], is_trial, at_ms);
        ledger.crash_seen_at_ms = Some(now_ms());
        ledger.is_unsent = true;
    }

    /// Returns the largest number of crashes that something of the request is a suspect of.
    pub fn crash_count(&self, request: RequestKeys<'_>) -> usize {
        let ledger = self.lock();
        let Some(ServiceSuspects { parts, requests }) = ledger.services.get(request.service) else {
            return 0;
        };
        let by_part = request.parts.iter().map(|&part| parts.crash_count(part)).max();
        by_part.unwrap_or_default().max(requests.crash_count(request.fingerprint))
    }

    /// Returns whether something of the request is a suspect of a crash.
    pub fn is_suspect(&self, request: RequestKeys<'_>) -> bool {
        let ledger = self.lock();
        ledger.services.get(request.service).is_some_and(|suspects| {
            request.parts.iter().any(|&part| suspects.parts.is_suspect(part))
                || suspects.requests.is_suspect(request.fingerprint)
        })
    }

    /// Records that a response to a request was completed.
    pub fn record_answer(&self, request: RequestKeys<'_>) {
        let mut ledger = self.lock();
        let suspects = ledger.service(request.service);
        suspects.parts.record_answer(request.parts, now_ms());
        suspects.requests.record_answer(&[request.fingerprint], now_ms());
    }

    /// Records that a backend had begun a response to a request that was sent at `sent_at_ms`, and that
    /// the backend lives on.
    pub fn record_begun(&self, request: RequestKeys<'_>, sent_at_ms: u64) {
        let mut ledger = self.lock();
        let suspects = ledger.service(request.service);
        suspects.parts.record_begun(request.parts, sent_at_ms);
        suspects.requests.record_begun(&[request.fingerprint], sent_at_ms);
    }

    /// Records what another gateway knows of crashes.
    pub fn learn(&self, crashes: Vec<peers::Crash>) {
        let mut ledger = self.lock();
        let now = now_ms();
        for crash in crashes {
            let peers::Crash { service, id, age_ms, backends, .. } = crash;
            let suspects = ledger.service(&service);
            let header = (CrashId(id), age_ms, backends);
            let (keys, acquitted) = (crash.prompt_parts, crash.acquitted_prompt_parts);
            suspects.parts.merge([crash_report(header, keys, acquitted)], now);
            let (keys, acquitted) = (crash.requests, crash.acquitted_requests);
            suspects.requests.merge([crash_report(header, keys, acquitted)], now);
        }
    }

    /// Returns whether a crash was found here that no other gateway has been told of.
    pub fn is_unsent(&self) -> bool {
        self.lock().is_unsent
    }

    /// Returns which gateways are to be told now. `is_interval` tells whether the interval between
    /// repeated messages has passed.
    pub fn audience(&self, is_interval: bool) -> Option<Audience> {
        let mut ledger = self.lock();
        let now = now_ms();
        let is_recent = ledger.crash_seen_at_ms.is_some_and(|at_ms| now < at_ms + PUSH_MS);
        let is_known = ledger.services.values().any(|s| s.has_reports(now));
        ledger.acquittals_due_ms = match ledger.services.values().any(ServiceSuspects::has_unsent) {
            true => ledger.acquittals_due_ms.or(Some(now + random_range(0..ACQUITTAL_JITTER_MS))),
            false => None,
        };
        let is_due = ledger.acquittals_due_ms.is_some_and(|due_ms| due_ms <= now);
        let is_unsent = std::mem::take(&mut ledger.is_unsent) || is_due;
        match is_known {
            true if is_unsent || is_interval && is_recent => {
                ledger.services.values_mut().for_each(ServiceSuspects::record_sent);
                Some(Audience::All)
            }
            true if is_interval => Some(Audience::Some),
            _ => None,
        }
    }

    /// Returns the messages that other gateways are sent, newest crashes first.
    pub fn announced(&self) -> Vec<peers::Crashes> {
        let ledger = self.lock();
        let now = now_ms();
        let crashes = ledger.services.iter().flat_map(|(name, s)| s.messages(name, now));
        let mut messages = Vec::<peers::Crashes>::new();
        let mut entries = MAX_ENTRIES;
        for crash in crashes {
            let suspects = crash.prompt_parts.len() + crash.requests.len();
            let acquitted = crash.acquitted_prompt_parts.len() + crash.acquitted_requests.len();
            let own_entries = 1 + suspects + acquitted;
            entries += own_entries;
            match messages.last_mut() {
                Some(message) if entries <= MAX_ENTRIES => message.crashes.push(crash),
                _ => {
                    entries = own_entries;
                    messages.push(peers::Crashes { crashes: vec![crash] });
                }
            }
        }
        messages.truncate(MAX_MESSAGES);
        messages
    }

    /// Returns the number of prompt parts and of requests that are refused.
    pub fn refused_counts(&self) -> (usize, usize) {
        let ledger = self.lock();
        let parts = ledger.services.values().map(|s| s.parts.guilty_count()).sum();
        (parts, ledger.services.values().map(|s| s.requests.guilty_count()).sum())
    }

    fn lock(&self) -> MutexGuard<'_, Ledger> {
        // Evidence is merged by union, so the ledger stays consistent even if the lock is poisoned.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Ledger {
    fn service(&mut self, name: &str) -> &mut ServiceSuspects {
        if !self.services.contains_key(name) {
            self.services.insert(name.to_owned(), ServiceSuspects::default());
        }
        &mut self.services[name]
    }
}

impl Default for ServiceSuspects {
    fn default() -> Self {
        let parts = Suspects::new(suspects::PROMPT_PARTS);
        Self { parts, requests: Suspects::new(suspects::REPEATED_REQUESTS) }
    }
}

impl ServiceSuspects {
    fn has_reports(&self, now_ms: u64) -> bool {
        self.parts.reports(now_ms).next().is_some()
            || self.requests.reports(now_ms).next().is_some()
    }

    fn has_unsent(&self) -> bool {
        self.parts.has_unsent() || self.requests.has_unsent()
    }

    fn record_sent(&mut self) {
        self.parts.record_sent();
        self.requests.record_sent();
    }

    /// Returns the messages about the crashes of the service `name`.
    fn messages(&self, name: &str, now_ms: u64) -> Vec<peers::Crash> {
        let mut crashes = IndexMap::<CrashId, peers::Crash>::new();
        let new = |id: CrashId, age_ms, backends| peers::Crash {
            service: name.to_owned(),
            id: id.0,
            age_ms,
            backends,
            ..peers::Crash::default()
        };
        for report in self.parts.reports(now_ms) {
            let CrashReport { id, age_ms, backends, suspects, acquitted } = report;
            let crash = crashes.entry(id).or_insert_with(|| new(id, age_ms, backends));
            crash.prompt_parts = suspects.into_iter().map(suspect_message).collect();
            crash.acquitted_prompt_parts = acquitted.into_iter().map(u64::from).collect();
        }
        for report in self.requests.reports(now_ms) {
            let CrashReport { id, age_ms, backends, suspects, acquitted } = report;
            let crash = crashes.entry(id).or_insert_with(|| new(id, age_ms, backends));
            crash.requests = suspects.into_iter().map(suspect_message).collect();
            crash.acquitted_requests = acquitted.into_iter().map(u64::from).collect();
        }
        crashes.into_values().collect()
    }
}

fn crash_report<K: From<u64>>(
    (id, age_ms, backends): (CrashId, u64, u32),
    suspects: Vec<peers::Suspect>,
    acquitted: Vec<u64>,
) -> CrashReport<K> {
    let suspect = |suspect: peers::Suspect| Suspect {
        key: K::from(suspect.key),
        share: suspect.share,
        mortality: suspect.mortality,
        requests: suspect.requests.into_iter().map(Fingerprint).collect(),
        is_trial: suspect.is_trial,
    };
    CrashReport {
        id,
        age_ms,
        backends,
        suspects: suspects.into_iter().map(suspect).collect(),
        acquitted: acquitted.into_iter().map(K::from).collect(),
    }
}

fn suspect_message<K: Into<u64>>(suspect: Suspect<K>) -> peers::Suspect {
    peers::Suspect {
        key: suspect.key.into(),
        share: suspect.share,
        mortality: suspect.mortality,
        requests: suspect.requests.into_iter().map(u64::from).collect(),
        is_trial: suspect.is_trial,
    }
}

fn log_changes<K: Copy + Eq + Hash + Display>(
    service: &str,
    kind: &str,
    changes: &[StandingChange<K>],
    suspects: &Suspects<K>,
) {
    for StandingChange { key, now, .. } in changes {
        let crashes = suspects.crash_count(*key);
        match now {
            Some(Standing::Convicted | Standing::Guilty) => {
                log::warn!(service, kind, key:%, crashes;
                "requests crash backends and are refused")
            }
            Some(Standing::Suspected) => log::info!(service, kind, key:%, crashes;
                "requests are suspected of crashing backends"),
            None => log::info!(service, kind, key:%, crashes; "requests are no longer suspected"),
        }
    }
}
