//! Finds out which keys the requests that crash backends have in common: parts of their prompts, or the
//! fingerprint of one request that comes again.
//!
//! A crash makes the keys of all requests that were in flight at the backend suspects. A key is
//! acquitted of the crashes known so far by a response that is completed with it, and of the crashes
//! during a response that was begun with it at a backend that lives on. A key is guilty if chance does
//! not explain the crashes that remain, and no other key does: it is unlikely that so many requests with
//! it were at backends that crashed (all of them are if all backends crash at once), and that a key
//! which is as rare among the requests was in flight at so many of the crashes.
//!
//! Chance explains crashes of all backends at once, or with a key that many requests have. So requests
//! with a suspect are sent one at a time, as trials (see [`crate::trials`]), until it is acquitted or
//! has crashed several backends in trials.
//!
//! The evidence of several processes is merged by union, in any order and any number of times.

use std::collections::VecDeque;
use std::hash::Hash;
use std::ops::Range;

use indexmap::{IndexMap, IndexSet};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::evidence::{self, Crash, Evidence, Sighting};
pub use crate::evidence::{CrashId, PROMPT_PARTS, Policy, REPEATED_REQUESTS, Standing};
use crate::ids::Fingerprint;

/// Time for which a crash is evidence.
const EVIDENCE_MS: i64 = 3_600_000;
/// Time for which other processes are told of a crash that no suspect is left of.
const ACQUITTAL_REPORT_MS: i64 = 30_000;
/// Time after the last crash with a guilty key after which a request with the key may show whether it
/// still crashes backends.
const PROBE_AFTER_MS: i64 = 600_000;
/// Share of requests ending in crashes by chance from which on trials tell nothing.
const MAX_MORTALITY: f64 = 0.3;
/// Time until a key that is convicted by one trial has another one. Each further trial doubles it, up to
/// `PROBE_AFTER_MS`.
const TRIAL_BACKOFF_MS: i64 = 60_000;
/// Time over which crashes without a key are counted to tell how likely one is by chance.
const LOSS_WINDOW_MS: i64 = 10_000;
/// Minimum time until a request with a guilty key is said to be dispatched.
const MIN_REFUSAL_MS: i64 = 1_000;
/// Number of recent requests that are known, and of recent ends of requests.
const MAX_ARRIVALS: usize = 128;
const MAX_ENDS: usize = 256;
/// Number of recent requests from which on the share with a key is known.
const MIN_SHARE_ARRIVALS: usize = 10;
/// Number of requests without a key that are assumed besides them.
const PRIOR_ARRIVALS: f64 = 8.0;
/// Number of requests that are assumed to have ended without a crash besides them.
const PRIOR_ENDS: f64 = 20.0;
/// Maximum number of keys whose completed responses are known, and the time for which they are known at
/// least if there are too many.
const MAX_ANSWERED: usize = 4_096;
const ANSWERED_MS: i64 = 10_000;
/// Maximum number of crashes that are kept.
const MAX_CRASHES: usize = 64;
/// Maximum number of suspects of one crash, and of requests that are kept for each suspect.
const MAX_SUSPECTS: usize = 128;
const MAX_REQUESTS: usize = 4;

/// What may be done with a request, the strictest last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// The request may be dispatched.
    Unsuspected,
    /// The request may be dispatched as a trial of its suspects.
    Trial,
    /// The request may be dispatched as a trial, but not again after a crash.
    Suspected,
    /// The request crashes backends. No request with the key is dispatched before this time has passed.
    Refused {
        /// Time until a request with the key may be dispatched.
        for_ms: u64,
    },
}

/// A key in flight at a crash, with some of its requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Suspect<K> {
    /// The key.
    pub key: K,
    /// Share of the recent requests that have the key.
    pub share: f64,
    /// Share of the recent requests without the key that ended in a crash without it.
    pub mortality: f64,
    /// Requests with the key.
    pub requests: Vec<Fingerprint>,
    /// Whether one of the requests was a trial of the key.
    pub is_trial: bool,
}

/// What a process knows of a crash.
#[derive(Clone, Debug, PartialEq)]
pub struct CrashReport<K> {
    /// The crash.
    pub id: CrashId,
    /// Time since the crash.
    pub age_ms: u64,
    /// Number of backends of the service at the crash.
    pub backends: u32,
    /// Keys in flight at the crash.
    pub suspects: Vec<Suspect<K>>,
    /// Keys that have been acquitted of the crash.
    pub acquitted: Vec<K>,
}

/// A change of the standing of a key. `None` stands for a key without suspicion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StandingChange<K> {
    /// The key.
    pub key: K,
    /// Standing before.
    pub before: Option<Standing>,
    /// Standing now.
    pub now: Option<Standing>,
}

/// Returns the gateway that probes a guilty key, the same at all gateways.
pub fn prober(key: u64, gateways: &[String]) -> Option<&str> {
    let rank = |name: &&String| xxh3_64_with_seed(name.as_bytes(), key);
    gateways.iter().min_by_key(rank).map(String::as_str)
}

/// Crashes that a key has not been acquitted of.
#[derive(Clone, Copy, Debug, Default)]
struct OpenCrashes {
    /// Probability that a trial ends in a crash by chance, as of the last crash.
    mortality: f64,
    /// Largest share of the recent requests that had the key.
    share: f64,
    /// Number of the crashes during trials of the key.
    trials: u32,
}

impl OpenCrashes {
    /// Returns the time from the last crash or probe until the next trial.
    fn backoff_ms(self) -> i64 {
        let doublings = self.trials.saturating_sub(1).min(16);
        TRIAL_BACKOFF_MS.saturating_mul(1 << doublings).min(PROBE_AFTER_MS)
    }
}

/// Crashes of the backends of one service, and the keys that are suspected of having caused them.
#[derive(Clone, Debug)]
pub struct Suspects<K> {
    policy: Policy,
    /// Crashes by time.
    crashes: IndexMap<CrashId, Crash<K>>,
    /// Number of crashes, from the first one, that are evidence.
    settled: usize,
    /// Number of crashes, from the first one, after which sound requests would have been answered.
    mature: usize,
    /// Whether other evidence has changed since the last evaluation.
    is_changed: bool,
    updated_at_ms: i64,
    standings: IndexMap<K, Standing>,
    /// Crashes that each suspect has not been acquitted of, or `None` if they must be counted again.
    open: Option<IndexMap<K, OpenCrashes>>,
    /// Time of the last probe, by key.
    probed_at_ms: IndexMap<K, i64>,
    /// Time of the last completed response, by key. Crashes before it may be reported later.
    answered_at_ms: IndexMap<K, i64>,
    /// Keys of the last requests.
    arrivals: VecDeque<Vec<K>>,
    /// Keys of the last requests that were answered or in flight at a crash, with the crash.
    ends: VecDeque<(Vec<K>, Option<CrashId>)>,
    /// Acquittals that were found here and that no other process is known to know.
    unsent: IndexSet<(CrashId, K)>,
}

impl<K: Copy + Eq + Hash> Suspects<K> {
    /// Creates a service without crashes.
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            crashes: IndexMap::new(),
            settled: 0,
            mature: 0,
            is_changed: false,
            updated_at_ms: 0,
            standings: IndexMap::new(),
            open: None,
            probed_at_ms: IndexMap::new(),
            answered_at_ms: IndexMap::new(),
            arrivals: VecDeque::new(),
            ends: VecDeque::new(),
            unsent: IndexSet::new(),
        }
    }

    /// Records that a backend of `backends` crashed while it had a request with some keys. `is_trial`
    /// tells whether the request was a trial of its suspects.
    pub fn record_crash(
        &mut self,
        id: CrashId,
        backends: u32,
        request: Fingerprint,
        keys: impl IntoIterator<Item = K>,
        is_trial: bool,
        now_ms: u64,
    ) {
        let keys: Vec<K> = keys.into_iter().collect();
        self.record_end(&keys, Some(id));
        let suspect = |&key: &K| Suspect {
            key,
            share: self.share(key),
            mortality: self.mortality(key),
            requests: vec![request],
            is_trial: is_trial && self.is_suspect(key),
        };
        let suspects = keys.iter().map(suspect).collect();
        let report = CrashReport { id, age_ms: 0, backends, suspects, acquitted: Vec::new() };
        self.merge([report], now_ms);
    }

    /// Merges what a process knows of crashes. They are evidence once other processes have had time to
    /// report their requests; see [`Self::update`].
    pub fn merge(&mut self, reports: impl IntoIterator<Item = CrashReport<K>>, now_ms: u64) {
        for report in reports {
            self.merge_one(report, now_ms as i64);
        }
        self.crashes.sort_by(|_, a, _, b| a.at_ms.cmp(&b.at_ms));
        let excess = self.crashes.len().saturating_sub(MAX_CRASHES);
        self.crashes.drain(..excess);
        self.open = None;
    }

    fn merge_one(&mut self, report: CrashReport<K>, now_ms: i64) {
        let at_ms = now_ms - report.age_ms.min(i64::MAX as u64) as i64;
        if at_ms + EVIDENCE_MS < now_ms {
            return;
        }
        let (suspects, acquitted) = (IndexMap::new(), IndexSet::new());
        let new = Crash { at_ms, backends: 0, request_count: 0, suspects, acquitted };
        let crash = self.crashes.entry(report.id).or_insert(new);
        crash.at_ms = crash.at_ms.min(at_ms);
        crash.backends = crash.backends.max(report.backends);
        for &key in &report.acquitted {
            self.unsent.swap_remove(&(report.id, key));
        }
        for Suspect { key, share, mortality, requests, is_trial } in report.suspects {
            if self.answered_at_ms.get(&key).is_some_and(|&answered| answered > crash.at_ms)
                && crash.acquitted.insert(key)
            {
                self.unsent.insert((report.id, key));
            }
            if crash.suspects.len() < MAX_SUSPECTS || crash.suspects.contains_key(&key) {
                let known = crash.suspects.entry(key).or_default();
                known.share = known.share.max(share.min(1.0));
                known.mortality = known.mortality.max(mortality.min(1.0));
                known.is_trial |= is_trial;
                let room = MAX_REQUESTS.saturating_sub(known.requests.len());
                known.requests.extend(requests.into_iter().take(room));
            }
        }
        crash.acquitted.extend(report.acquitted.into_iter().take(MAX_SUSPECTS));
        crash.count_requests();
        self.is_changed = true;
    }

    /// Records that a response to a request with some keys was completed.
    pub fn record_answer(&mut self, keys: &[K], now_ms: u64) {
        self.record_end(keys, None);
        for &key in keys {
            let is_known = self.answered_at_ms.contains_key(&key);
            if is_known || self.answered_at_ms.len() < MAX_ANSWERED {
                self.answered_at_ms.insert(key, now_ms as i64);
            }
            self.acquit(key, i64::MIN);
        }
    }

    /// Records that a backend had begun a response to a request with some keys that was sent at
    /// `sent_at_ms`, and that the backend lives on.
    pub fn record_begun(&mut self, keys: &[K], sent_at_ms: u64) {
        keys.iter().for_each(|&key| self.acquit(key, sent_at_ms as i64));
    }

    fn record_end(&mut self, keys: &[K], crash: Option<CrashId>) {
        if self.ends.len() == MAX_ENDS {
            self.ends.pop_front();
        }
        self.ends.push_back((keys.to_vec(), crash));
    }

    /// Returns whether acquittals were found here that no other process is known to know.
    pub fn has_unsent(&self) -> bool {
        !self.unsent.is_empty()
    }

    /// Records that all other processes are told of the acquittals.
    pub fn record_sent(&mut self) {
        self.unsent.clear();
    }

    fn acquit(&mut self, key: K, since_ms: i64) {
        for (&id, crash) in &mut self.crashes {
            if crash.at_ms >= since_ms
                && crash.suspects.contains_key(&key)
                && crash.acquitted.insert(key)
            {
                self.unsent.insert((id, key));
                self.is_changed = true;
                self.open = None;
            }
        }
    }

    /// Returns whether a key is a suspect of a crash.
    pub fn is_suspect(&self, key: K) -> bool {
        self.crashes.values().any(|crash| crash.is_open(key))
    }

    /// Returns whether requests with a key are sent as trials of it.
    pub fn needs_trial(&mut self, key: K) -> bool {
        self.open_crashes(key).is_some_and(|open| self.may_be_tried(key, open))
    }

    /// Returns whether trials of a key tell something: not if too many requests have it for them to be
    /// refused, or if so many requests end in crashes by chance.
    fn may_be_tried(&self, key: K, open: OpenCrashes) -> bool {
        let max_share = self.policy.max_refused_share;
        let is_rare = open.share <= max_share && self.recent_share(key) <= max_share;
        is_rare && open.mortality < MAX_MORTALITY
    }

    /// Returns the crashes that a key has not been acquitted of, if there are any.
    fn open_crashes(&mut self, key: K) -> Option<OpenCrashes> {
        let crashes = &self.crashes;
        let open = self.open.get_or_insert_with(|| {
            let mut open = IndexMap::<K, OpenCrashes>::new();
            for (key, sighting) in crashes.values().flat_map(Crash::live) {
                let counts = open.entry(key).or_default();
                counts.mortality = sighting.mortality;
                counts.share = counts.share.max(sighting.share);
                counts.trials += u32::from(sighting.is_trial);
            }
            open
        });
        open.get(&key).copied()
    }

    /// Returns the share of the recent requests that have a key, without an assumption about others.
    fn recent_share(&self, key: K) -> f64 {
        let with_key = self.arrivals.iter().filter(|keys| keys.contains(&key)).count();
        with_key as f64 / self.arrivals.len().max(MIN_SHARE_ARRIVALS) as f64
    }

    /// Records the first attempt of a client's request with some keys.
    pub fn record_arrival(&mut self, keys: impl IntoIterator<Item = K>) {
        if self.arrivals.len() == MAX_ARRIVALS {
            self.arrivals.pop_front();
        }
        self.arrivals.push_back(keys.into_iter().collect());
    }

    /// Decides on a request with some keys. `may_probe` tells whether this process is the one that
    /// probes a key.
    pub fn judge(
        &mut self,
        keys: impl IntoIterator<Item = K>,
        may_probe: impl Fn(K) -> bool,
        now_ms: u64,
    ) -> Verdict {
        let judge = |key| self.judge_key(key, &may_probe, now_ms as i64);
        keys.into_iter().map(judge).max().unwrap_or(Verdict::Unsuspected)
    }

    fn judge_key(&mut self, key: K, may_probe: impl Fn(K) -> bool, now_ms: i64) -> Verdict {
        let Some(open) = self.open_crashes(key) else {
            return Verdict::Unsuspected;
        };
        let may_be_tried = self.may_be_tried(key, open);
        let wait_ms = match self.standings.get(&key) {
            Some(Standing::Guilty) => PROBE_AFTER_MS,
            Some(Standing::Convicted) if may_be_tried => open.backoff_ms(),
            Some(Standing::Convicted) => return Verdict::Unsuspected,
            Some(Standing::Suspected) => return Verdict::Suspected,
            None if may_be_tried => return Verdict::Trial,
            None => return Verdict::Unsuspected,
        };
        let probe_at_ms = self.last_tried_ms(key) + wait_ms;
        if probe_at_ms <= now_ms && may_probe(key) {
            self.probed_at_ms.insert(key, now_ms);
            return Verdict::Suspected;
        }
        Verdict::Refused { for_ms: (probe_at_ms - now_ms).max(MIN_REFUSAL_MS) as u64 }
    }

    /// Returns the standing of a key, if it is under suspicion.
    pub fn standing(&self, key: K) -> Option<Standing> {
        self.standings.get(&key).copied()
    }

    /// Returns the number of guilty keys.
    pub fn guilty_count(&self) -> usize {
        self.standings.values().filter(|&&standing| standing >= Standing::Convicted).count()
    }

    /// Returns the number of crashes that a key has not been acquitted of.
    pub fn crash_count(&self, key: K) -> usize {
        self.crashes.values().filter(|crash| crash.is_open(key)).count()
    }

    /// Removes evidence that is too old and updates all standings. To be called periodically. Returns
    /// the changes of standings.
    pub fn update(&mut self, now_ms: u64) -> Vec<StandingChange<K>> {
        if self.answered_at_ms.len() >= MAX_ANSWERED {
            self.answered_at_ms.retain(|_, at_ms| *at_ms + ANSWERED_MS >= now_ms as i64);
        }
        let before = self.crashes.len();
        self.crashes.retain(|_, crash| crash.at_ms + EVIDENCE_MS >= now_ms as i64);
        if self.crashes.len() < before {
            self.open = None;
        }
        self.updated_at_ms = now_ms as i64;
        let older_than = |ms| {
            let is_older = |crash: &&Crash<K>| crash.at_ms + ms <= now_ms as i64;
            self.crashes.values().filter(is_older).count()
        };
        let (settled, mature) =
            (older_than(self.policy.settle_ms as i64), older_than(evidence::MIN_AGE_MS));
        if (settled, mature) == (self.settled, self.mature) && !self.is_changed {
            return Vec::new();
        }
        self.update_mortality(self.settled..settled);
        (self.settled, self.mature) = (settled, mature);
        self.open = None;
        self.update_standings()
    }

    /// Returns what other processes are told, newest crashes first.
    pub fn reports(&self, now_ms: u64) -> impl Iterator<Item = CrashReport<K>> {
        let suspect = |(key, sighting): (K, &Sighting)| Suspect {
            key,
            share: sighting.share,
            mortality: sighting.mortality,
            requests: sighting.requests.iter().copied().collect(),
            is_trial: sighting.is_trial,
        };
        let suspects = move |crash: &Crash<K>| crash.live().map(suspect).collect();
        let is_relevant = move |(_, crash): &(&CrashId, &Crash<K>)| {
            crash.at_ms + ACQUITTAL_REPORT_MS > now_ms as i64 || crash.live().next().is_some()
        };
        self.crashes.iter().rev().filter(is_relevant).map(move |(&id, crash)| CrashReport {
            id,
            age_ms: (now_ms as i64 - crash.at_ms).max(0) as u64,
            backends: crash.backends,
            suspects: suspects(crash),
            acquitted: crash.acquitted.iter().copied().collect(),
        })
    }

    /// Returns the share of the recent requests that have a key, besides one of them that has it.
    fn share(&self, key: K) -> f64 {
        let with_key = self.arrivals.iter().filter(|keys| keys.contains(&key)).count();
        (with_key.saturating_sub(1) as f64 + 0.5) / (self.arrivals.len() as f64 + PRIOR_ARRIVALS)
    }

    /// Updates what is known of crashes that become evidence now: backends that crashed with them have
    /// been noticed since.
    fn update_mortality(&mut self, settling: Range<usize>) {
        for index in settling {
            let keys =
                self.crashes.get_index(index).into_iter().flat_map(|(_, crash)| crash.live());
            let mortality =
                keys.map(|(key, _)| (key, self.mortality(key).max(self.loss_rate(key, index))));
            let mortality = mortality.collect::<Vec<_>>();
            let Some((_, crash)) = self.crashes.get_index_mut(index) else {
                return;
            };
            for (key, mortality) in mortality {
                if let Some(sighting) = crash.suspects.get_mut(&key) {
                    sighting.mortality = sighting.mortality.max(mortality);
                }
            }
        }
    }

    /// Returns the share of the recent requests without a key that ended in a crash without it.
    fn mortality(&self, key: K) -> f64 {
        let is_other = |id: &CrashId| self.crashes.get(id).is_none_or(|crash| !crash.is_open(key));
        let others = || self.ends.iter().filter(|(keys, _)| !keys.contains(&key));
        let crashed = others().filter(|(_, crash)| crash.as_ref().is_some_and(is_other)).count();
        (crashed as f64 + 0.5) / (others().count() as f64 + PRIOR_ENDS)
    }

    /// Returns the probability that a trial ends in a crash by chance, by the number of backends that
    /// crashed without the key in the time before the crash `index`.
    fn loss_rate(&self, key: K, index: usize) -> f64 {
        let Some((_, crash)) = self.crashes.get_index(index) else {
            return 0.0;
        };
        let recent = crash.at_ms - LOSS_WINDOW_MS..=crash.at_ms + self.policy.settle_ms as i64;
        let others = self.crashes.values().filter(|c| recent.contains(&c.at_ms) && !c.is_open(key));
        let per_backend = others.count() as f64 / f64::from(crash.backends.max(1));
        (per_backend * self.policy.trial_ms as f64 / LOSS_WINDOW_MS as f64).min(1.0)
    }

    /// Returns when a request with the key last crashed a backend or was probed.
    fn last_tried_ms(&self, key: K) -> i64 {
        let with_key = self.crashes.values().filter(|crash| crash.suspects.contains_key(&key));
        let crashed_at_ms = with_key.map(|crash| crash.at_ms).max();
        crashed_at_ms.max(self.probed_at_ms.get(&key).copied()).unwrap_or_default()
    }

    fn update_standings(&mut self) -> Vec<StandingChange<K>> {
        self.is_changed = false;
        let evidence = Evidence {
            policy: &self.policy,
            crashes: &self.crashes,
            settled: self.settled,
            now_ms: self.updated_at_ms,
        };
        let now = evidence.evaluate();
        let before = std::mem::replace(&mut self.standings, now);
        let crashes = &self.crashes;
        self.probed_at_ms.retain(|key, _| crashes.values().any(|crash| crash.is_open(*key)));
        let keys: IndexSet<K> = before.keys().chain(self.standings.keys()).copied().collect();
        let change = |key| StandingChange {
            key,
            before: before.get(&key).copied(),
            now: self.standings.get(&key).copied(),
        };
        keys.into_iter().map(change).filter(|change| change.before != change.now).collect()
    }
}
