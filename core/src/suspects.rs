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
//! The evidence of several processes is merged by union, in any order and any number of times.

use std::collections::VecDeque;
use std::hash::Hash;

use derive_more::{Display, From};
use indexmap::{IndexMap, IndexSet};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::Fingerprint;

/// Time for which a crash is evidence.
const EVIDENCE_MS: i64 = 3_600_000;
/// Time for which other processes are told of a crash that no suspect is left of.
const ACQUITTAL_REPORT_MS: i64 = 30_000;
/// Time after the last crash with a guilty key after which a request with the key may show whether it
/// still crashes backends.
const PROBE_AFTER_MS: i64 = 600_000;
/// Minimum time until a request with a guilty key is said to be dispatched.
const MIN_REFUSAL_MS: i64 = 1_000;
/// Length of an episode: crashes within it may have a common cause, such as a loss of power.
const EPISODE_MS: i64 = 100;
/// Time since the first crash with a key in which sound requests with it would have been answered.
const MIN_AGE_MS: i64 = 2_000;
/// Time for which requests are in flight.
const EXPOSURE_MS: i64 = 1_000;
/// Time for which a crashed backend is down at least.
const DOWN_MS: i64 = 4_000;
/// Time for which crashes count that a key does not explain.
const HISTORY_MS: i64 = 300_000;
/// Number of recent requests that are known, and of recent ends of requests.
const MAX_ARRIVALS: usize = 128;
const MAX_ENDS: usize = 64;
/// Number of requests without a key that are assumed besides them.
const PRIOR_ARRIVALS: f64 = 8.0;
/// Maximum number of keys whose completed responses are known, and the time for which they are known at
/// least if there are too many.
const MAX_ANSWERED: usize = 4_096;
const ANSWERED_MS: i64 = 10_000;
/// Maximum number of crashes that are kept.
const MAX_CRASHES: usize = 64;
/// Maximum number of suspects of one crash, and of requests that are kept for each suspect.
const MAX_SUSPECTS: usize = 128;
const MAX_REQUESTS: usize = 4;

/// Identifies the end of one process of a backend.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, From)]
#[display("{_0:016x}")]
pub struct CrashId(pub u64);

impl CrashId {
    /// Returns the id of the crash of the backend `backend` that was started at `started_at_ms`.
    pub fn of(backend: &str, started_at_ms: u64) -> Self {
        Self(Fingerprint::of(&[backend.as_bytes(), &started_at_ms.to_le_bytes()]).0)
    }
}

/// What makes a key guilty.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Time from a crash until it is evidence: until other processes have reported requests that may
    /// explain it as well.
    pub settle_ms: u64,
    /// Minimum number of crashes.
    pub min_crashes: usize,
    /// Minimum number of different requests that were in flight at them. It tells a key that several
    /// requests share from a request that crashes backends for another reason.
    pub min_requests: usize,
    /// Minimum of the negative logarithm of the probability that its requests were at backends that
    /// crashed by chance.
    pub min_exposure: f64,
    /// Minimum of the negative logarithm of the probability that it was in flight at its share of the
    /// crashes by chance.
    pub min_presence: f64,
    /// The same minimum if it was likely that its requests were at backends that crashed.
    pub min_sole_presence: f64,
    /// The same minimum if another key was in flight at the same crashes.
    pub min_shared_presence: f64,
    /// Minimum of the negative logarithm of the probability that as many requests without the key end
    /// in crashes.
    pub min_mortality: f64,
    /// Maximum share of the recent requests that may be refused for one key.
    pub max_refused_share: f64,
}

/// Policy for parts of prompts, which sound requests share.
pub const PROMPT_PARTS: Policy = Policy {
    settle_ms: 600,
    min_crashes: 3,
    min_requests: 3,
    min_exposure: 2.5,
    min_presence: 6.0,
    min_sole_presence: 9.0,
    min_shared_presence: 12.0,
    min_mortality: 0.0,
    max_refused_share: 0.2,
};

/// Policy for the fingerprints of requests. The requests with a key are attempts of the same request,
/// which may be much of a service's traffic.
pub const REPEATED_REQUESTS: Policy = Policy {
    settle_ms: 200,
    min_crashes: 3,
    min_requests: 3,
    min_exposure: 1.5,
    min_presence: 3.0,
    min_sole_presence: 4.0,
    min_shared_presence: 12.0,
    min_mortality: 2.5,
    max_refused_share: 1.0,
};

/// What the evidence says of a key.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// One more crash would make the key guilty.
    #[display("suspected")]
    Suspected,
    /// The key crashes backends.
    #[display("guilty")]
    Guilty,
}

/// What may be done with a request, the strictest last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// The request may be dispatched.
    Unsuspected,
    /// The request may be dispatched, but not again after a crash.
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
    /// Share of the recent requests without the key that ended in a crash.
    pub mortality: f64,
    /// Requests with the key.
    pub requests: Vec<Fingerprint>,
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

/// Requests with a key in flight at a crash.
#[derive(Clone, Debug, Default)]
struct Sighting {
    share: f64,
    mortality: f64,
    requests: IndexSet<Fingerprint>,
}

#[derive(Clone, Debug)]
struct Crash<K> {
    at_ms: i64,
    backends: u32,
    /// Number of requests that were in flight.
    request_count: usize,
    suspects: IndexMap<K, Sighting>,
    acquitted: IndexSet<K>,
}

impl<K: Copy + Eq + Hash> Crash<K> {
    fn live(&self) -> impl Iterator<Item = (K, &Sighting)> {
        let is_live = |(key, _): &(&K, _)| !self.acquitted.contains(*key);
        self.suspects.iter().filter(is_live).map(|(key, sighting)| (*key, sighting))
    }

    fn count_requests(&mut self) {
        let requests = self.suspects.values().flat_map(|sighting| &sighting.requests);
        self.request_count = requests.collect::<IndexSet<_>>().len();
    }
}

/// Evidence against one key.
#[derive(Default)]
struct Case {
    crashes: IndexSet<CrashId>,
    first_at_ms: i64,
    requests: IndexSet<Fingerprint>,
    /// Number of episodes, each by the share of its crashes at which the key was in flight.
    episodes: f64,
    /// Sums over the crashes of the share of the requests that have the key, and of the probability
    /// that one of the requests in flight has it.
    share_sum: f64,
    presence_sum: f64,
    /// Sum over the crashes of the share of the requests without the key that ended in crashes.
    mortality_sum: f64,
    /// Negative logarithms of probabilities; see [`Policy`].
    exposure: f64,
    presence: f64,
}

impl Case {
    fn mean_share(&self) -> f64 {
        self.share_sum / self.crashes.len() as f64
    }

    /// Returns the negative logarithm of the probability that as many requests without the key end in
    /// crashes.
    fn mortality(&self) -> f64 {
        let mortality = (self.mortality_sum / self.crashes.len() as f64).clamp(0.001, 1.0);
        -mortality.ln() * self.requests.len() as f64
    }

    /// Sets `presence`, given the number of episodes in which the key can have been in flight.
    fn set_presence(&mut self, episodes: f64) {
        let expected = (self.presence_sum / self.crashes.len() as f64).clamp(0.001, 0.999);
        let observed = (self.episodes / episodes).min(1.0);
        self.presence = match observed > expected {
            true => episodes * divergence(observed, expected),
            false => 0.0,
        };
    }
}

/// Returns the Kullback-Leibler divergence of two Bernoulli distributions.
fn divergence(observed: f64, expected: f64) -> f64 {
    let term = |observed: f64, expected: f64| match observed > 0.0 {
        true => observed * (observed / expected).ln(),
        false => 0.0,
    };
    term(observed, expected) + term(1.0 - observed, 1.0 - expected)
}

/// Crashes that may have a common cause.
struct Episode<'a, K> {
    crashes: Vec<(CrashId, &'a Crash<K>)>,
    /// Number of backends that had crashed shortly before.
    down: usize,
    /// Number of these that crashed while requests of this episode may have been in flight.
    recent: usize,
}

impl<K> Episode<'_, K> {
    /// Returns the time of the first crash.
    fn at_ms(&self) -> i64 {
        self.crashes.iter().map(|(_, crash)| crash.at_ms).min().unwrap_or_default()
    }

    /// Returns the negative logarithm of the probability that a request was at one of the backends.
    fn weight(&self) -> f64 {
        let backends = self.crashes.iter().map(|(_, crash)| crash.backends).max().unwrap_or(0);
        let running = (backends as usize).saturating_sub(self.down).max(self.crashes.len());
        let crashed = self.crashes.len() + self.recent;
        ((running + 1) as f64 / crashed as f64).ln().max(0.0)
    }
}

/// Returns the gateway that probes a guilty key, the same at all gateways.
pub fn prober(key: u64, gateways: &[String]) -> Option<&str> {
    let rank = |name: &&String| xxh3_64_with_seed(name.as_bytes(), key);
    gateways.iter().min_by_key(rank).map(String::as_str)
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
    /// Time of the last probe, by key.
    probed_at_ms: IndexMap<K, i64>,
    /// Time of the last completed response, by key. Crashes before it may be reported later.
    answered_at_ms: IndexMap<K, i64>,
    /// Keys of the last requests.
    arrivals: VecDeque<Vec<K>>,
    /// Keys of the last requests that were answered or crashed a backend, and which of both.
    ends: VecDeque<(Vec<K>, bool)>,
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
            probed_at_ms: IndexMap::new(),
            answered_at_ms: IndexMap::new(),
            arrivals: VecDeque::new(),
            ends: VecDeque::new(),
            unsent: IndexSet::new(),
        }
    }

    /// Records that a backend of `backends` crashed while it had a request with some keys.
    pub fn record_crash(
        &mut self,
        id: CrashId,
        backends: u32,
        request: Fingerprint,
        keys: impl IntoIterator<Item = K>,
        now_ms: u64,
    ) {
        let keys: Vec<K> = keys.into_iter().collect();
        self.record_end(&keys, true);
        let suspect = |&key: &K| Suspect {
            key,
            share: self.share(key),
            mortality: self.mortality(key),
            requests: vec![request],
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
        for Suspect { key, share, mortality, requests } in report.suspects {
            if self.answered_at_ms.get(&key).is_some_and(|&answered| answered > crash.at_ms)
                && crash.acquitted.insert(key)
            {
                self.unsent.insert((report.id, key));
            }
            if crash.suspects.len() < MAX_SUSPECTS || crash.suspects.contains_key(&key) {
                let known = crash.suspects.entry(key).or_default();
                known.share = known.share.max(share);
                known.mortality = known.mortality.max(mortality);
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
        self.record_end(keys, false);
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

    fn record_end(&mut self, keys: &[K], has_crashed: bool) {
        if self.ends.len() == MAX_ENDS {
            self.ends.pop_front();
        }
        self.ends.push_back((keys.to_vec(), has_crashed));
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
            }
        }
    }

    /// Returns whether a key is a suspect of a crash.
    pub fn is_suspect(&self, key: K) -> bool {
        let is_live = |c: &Crash<K>| c.suspects.contains_key(&key) && !c.acquitted.contains(&key);
        self.crashes.values().any(is_live)
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
        let now_ms = now_ms as i64;
        let standing = |key: K| self.standings.get(&key).map(|standing| (*standing, key));
        match keys.into_iter().filter_map(standing).max_by_key(|(standing, _)| *standing) {
            None => Verdict::Unsuspected,
            Some((Standing::Suspected, _)) => Verdict::Suspected,
            Some((Standing::Guilty, key)) => {
                let probe_at_ms = self.last_tried_ms(key) + PROBE_AFTER_MS;
                if probe_at_ms <= now_ms && may_probe(key) {
                    self.probed_at_ms.insert(key, now_ms);
                    return Verdict::Suspected;
                }
                let for_ms = (probe_at_ms - now_ms).max(MIN_REFUSAL_MS) as u64;
                Verdict::Refused { for_ms }
            }
        }
    }

    /// Returns the standing of a key, if it is under suspicion.
    pub fn standing(&self, key: K) -> Option<Standing> {
        self.standings.get(&key).copied()
    }

    /// Returns the number of guilty keys.
    pub fn guilty_count(&self) -> usize {
        self.standings.values().filter(|&&standing| standing == Standing::Guilty).count()
    }

    /// Returns the number of crashes that a key has not been acquitted of.
    pub fn crash_count(&self, key: K) -> usize {
        self.crashes.values().filter(|crash| crash.live().any(|(live, _)| live == key)).count()
    }

    /// Removes evidence that is too old and updates all standings. To be called periodically. Returns
    /// the changes of standings.
    pub fn update(&mut self, now_ms: u64) -> Vec<StandingChange<K>> {
        if self.answered_at_ms.len() >= MAX_ANSWERED {
            self.answered_at_ms.retain(|_, at_ms| *at_ms + ANSWERED_MS >= now_ms as i64);
        }
        self.crashes.retain(|_, crash| crash.at_ms + EVIDENCE_MS >= now_ms as i64);
        self.updated_at_ms = now_ms as i64;
        let older_than = |ms| {
            let is_older = |crash: &&Crash<K>| crash.at_ms + ms <= now_ms as i64;
            self.crashes.values().filter(is_older).count()
        };
        let (settled, mature) = (older_than(self.policy.settle_ms as i64), older_than(MIN_AGE_MS));
        if (settled, mature) == (self.settled, self.mature) && !self.is_changed {
            return Vec::new();
        }
        (self.settled, self.mature) = (settled, mature);
        self.update_standings()
    }

    /// Returns what other processes are told, newest crashes first.
    pub fn reports(&self, now_ms: u64) -> impl Iterator<Item = CrashReport<K>> {
        let suspect = |(key, sighting): (K, &Sighting)| Suspect {
            key,
            share: sighting.share,
            mortality: sighting.mortality,
            requests: sighting.requests.iter().copied().collect(),
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

    /// Returns the share of the recent requests without a key that ended in a crash.
    fn mortality(&self, key: K) -> f64 {
        let others = || self.ends.iter().filter(|(keys, _)| !keys.contains(&key));
        let crashed = others().filter(|(_, has_crashed)| *has_crashed).count();
        (crashed as f64 + 0.5) / (others().count() as f64 + 2.0)
    }

    /// Returns when a request with the key last crashed a backend or was probed.
    fn last_tried_ms(&self, key: K) -> i64 {
        let with_key = self.crashes.values().filter(|crash| crash.suspects.contains_key(&key));
        let crashed_at_ms = with_key.map(|crash| crash.at_ms).max();
        crashed_at_ms.max(self.probed_at_ms.get(&key).copied()).unwrap_or_default()
    }

    fn update_standings(&mut self) -> Vec<StandingChange<K>> {
        self.is_changed = false;
        let now = self.evaluate();
        let before = std::mem::replace(&mut self.standings, now);
        let keys: IndexSet<K> = before.keys().chain(self.standings.keys()).copied().collect();
        self.probed_at_ms.retain(|key, _| self.standings.contains_key(key));
        let change = |key| StandingChange {
            key,
            before: before.get(&key).copied(),
            now: self.standings.get(&key).copied(),
        };
        keys.into_iter().map(change).filter(|change| change.before != change.now).collect()
    }

    /// Finds the guilty keys one after the other, beginning with the most evidence. A crash that a
    /// guilty key explains is no evidence against other keys.
    fn evaluate(&self) -> IndexMap<K, Standing> {
        let mut standings = IndexMap::new();
        let mut explained = IndexSet::new();
        loop {
            let cases = self.cases(&explained);
            let is_guilty = |(key, case): &(&K, &Case)| {
                self.suffices(case, 0)
                    && case.mean_share() <= self.policy.max_refused_share
                    && case.first_at_ms + MIN_AGE_MS <= self.updated_at_ms
                    && self.is_only_explanation(&cases, **key, case)
            };
            let guilty = cases.iter().filter(is_guilty);
            match guilty.max_by(|(_, a), (_, b)| a.presence.total_cmp(&b.presence)) {
                Some((&key, case)) => {
                    standings.insert(key, Standing::Guilty);
                    explained.extend(case.crashes.iter().copied());
                }
                None => {
                    let suspected = cases.iter().filter(|(key, case)| {
                        !standings.contains_key(*key) && self.suffices(case, 1)
                    });
                    let suspected: Vec<K> = suspected.map(|(key, _)| *key).collect();
                    standings.extend(suspected.into_iter().map(|key| (key, Standing::Suspected)));
                    return standings;
                }
            }
        }
    }

    /// Returns the evidence against each key, without crashes that are explained. An episode counts by
    /// the share of its crashes at which the key was in flight.
    fn cases(&self, explained: &IndexSet<CrashId>) -> IndexMap<K, Case> {
        let mut cases = IndexMap::<K, Case>::new();
        let mut episodes = 0.0;
        for episode in self.episodes() {
            let is_open = |(id, _): &&(CrashId, &Crash<K>)| !explained.contains(id);
            let crashed = episode.crashes.iter().filter(is_open).count() as f64;
            let mut counts = IndexMap::<K, usize>::new();
            for (id, crash) in episode.crashes.iter().filter(is_open) {
                let requests = crash.request_count as f64;
                for (key, sighting) in crash.live() {
                    *counts.entry(key).or_default() += 1;
                    let first_at_ms = crash.at_ms;
                    let case = cases.entry(key).or_insert(Case { first_at_ms, ..Case::default() });
                    case.crashes.insert(*id);
                    case.requests.extend(&sighting.requests);
                    case.share_sum += sighting.share;
                    case.mortality_sum += sighting.mortality;
                    case.presence_sum += 1.0 - (1.0 - sighting.share).powf(requests);
                }
            }
            for (key, count) in counts {
                let case = cases.entry(key).or_default();
                let share = count as f64 / crashed;
                case.episodes += share;
                case.exposure += episode.weight() * share.powi(2);
            }
            let is_recent = episode.at_ms() + HISTORY_MS > self.updated_at_ms;
            episodes += f64::from(u8::from(crashed > 0.0 && is_recent));
        }
        for case in cases.values_mut() {
            case.set_presence(episodes.max(case.episodes));
        }
        cases
    }

    /// Returns whether a key is guilty by the evidence and by `missing` more crashes.
    fn suffices(&self, case: &Case, missing: usize) -> bool {
        let Policy { min_crashes, min_requests, min_exposure, min_presence, .. } = self.policy;
        let min_sole_presence = self.policy.min_sole_presence;
        let known = 1.0 - missing as f64 / min_crashes as f64;
        case.crashes.len() + missing >= min_crashes
            && case.requests.len() + missing >= min_requests
            && case.mortality() >= self.policy.min_mortality * known
            && (case.exposure >= min_exposure * known && case.presence >= min_presence * known
                || case.presence >= min_sole_presence)
    }

    /// Returns whether no other key explains the crashes of a key. Keys that explain the same ones are
    /// told apart only if the evidence is small.
    fn is_only_explanation(&self, cases: &IndexMap<K, Case>, key: K, case: &Case) -> bool {
        let explains = |other: &Case| case.crashes.iter().all(|id| other.crashes.contains(id));
        let rivals = cases.iter().filter(|(other, case)| **other != key && explains(case));
        match rivals.map(|(_, rival)| rival.crashes.len()).max() {
            None => true,
            Some(most) => {
                most == case.crashes.len() && case.presence >= self.policy.min_shared_presence
            }
        }
    }

    /// Returns the crashes by episode. An episode begins with the first crash after the last one.
    fn episodes(&self) -> Vec<Episode<'_, K>> {
        let mut episodes = Vec::<Episode<'_, K>>::new();
        let mut ends_ms = i64::MIN;
        for (&id, crash) in self.crashes.iter().take(self.settled) {
            match episodes.last_mut() {
                Some(episode) if crash.at_ms < ends_ms => episode.crashes.push((id, crash)),
                _ => {
                    ends_ms = crash.at_ms + EPISODE_MS;
                    let within = |ms| {
                        let times = crash.at_ms - ms..crash.at_ms;
                        self.crashes.values().filter(|c| times.contains(&c.at_ms)).count()
                    };
                    let (down, recent) = (within(DOWN_MS), within(EXPOSURE_MS));
                    episodes.push(Episode { crashes: vec![(id, crash)], down, recent });
                }
            }
        }
        episodes
    }
}
