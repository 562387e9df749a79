//! Weighs the evidence that crashes of backends give against the keys that were in flight.
//!
//! See [`crate::suspects`] for what keys are and how evidence is collected.

use std::hash::Hash;

use derive_more::{Display, From};
use indexmap::{IndexMap, IndexSet};

use crate::ids::Fingerprint;

/// Length of an episode: crashes within it may have a common cause, such as a loss of power.
const EPISODE_MS: i64 = 100;
/// Time since the first crash with a key in which sound requests with it would have been answered.
pub(crate) const MIN_AGE_MS: i64 = 2_000;
/// Time for which requests are in flight.
const EXPOSURE_MS: i64 = 1_000;
/// Time for which a crashed backend is down at least.
const DOWN_MS: i64 = 4_000;
/// Time for which crashes count that a key does not explain.
const HISTORY_MS: i64 = 300_000;
/// Minimum evidence of the trials of a key that convicts it without other evidence.
const MIN_TRIAL_EVIDENCE: f64 = 7.0;
/// Evidence that a trial must exceed to count against its key. Keys that have many trials would be
/// convicted by chance otherwise.
const TRIAL_COST: f64 = 1.0;
/// Least share of requests that are assumed to end in crashes by chance.
const MIN_MORTALITY: f64 = 0.001;

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
    /// Time for which a trial is exposed to crashes that its request does not cause.
    pub trial_ms: u64,
    /// Minimum evidence of its trials.
    pub min_trial_evidence: f64,
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
    trial_ms: 1_000,
    min_trial_evidence: f64::NEG_INFINITY,
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
    trial_ms: 100,
    min_trial_evidence: 5.0,
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
    /// Backends have crashed in trials of the key. It is tried again after some time.
    #[display("convicted")]
    Convicted,
    /// The key crashes backends.
    #[display("guilty")]
    Guilty,
}

/// Requests with a key in flight at a crash.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sighting {
    pub(crate) share: f64,
    pub(crate) mortality: f64,
    pub(crate) requests: IndexSet<Fingerprint>,
    pub(crate) is_trial: bool,
}

impl Sighting {
    /// Returns how much the crash of a trial speaks against the key: the negative logarithm of the
    /// probability that a trial ends so by chance, less [`TRIAL_COST`]. A crash that was no trial does
    /// not count.
    pub(crate) fn trial_evidence(&self) -> f64 {
        match self.is_trial {
            true => -self.mortality.clamp(MIN_MORTALITY, 1.0).ln() - TRIAL_COST,
            false => 0.0,
        }
    }
}

/// A crash with the keys in flight at it.
#[derive(Clone, Debug)]
pub(crate) struct Crash<K> {
    pub(crate) at_ms: i64,
    pub(crate) backends: u32,
    /// Number of requests that were in flight.
    pub(crate) request_count: usize,
    pub(crate) suspects: IndexMap<K, Sighting>,
    pub(crate) acquitted: IndexSet<K>,
}

impl<K: Copy + Eq + Hash> Crash<K> {
    pub(crate) fn live(&self) -> impl Iterator<Item = (K, &Sighting)> {
        let is_live = |(key, _): &(&K, _)| !self.acquitted.contains(*key);
        self.suspects.iter().filter(is_live).map(|(key, sighting)| (*key, sighting))
    }

    /// Returns whether a key is a suspect that has not been acquitted.
    pub(crate) fn is_open(&self, key: K) -> bool {
        self.suspects.contains_key(&key) && !self.acquitted.contains(&key)
    }

    pub(crate) fn count_requests(&mut self) {
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
    /// Evidence of its trials.
    trial_evidence: f64,
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
        let mortality = (self.mortality_sum / self.crashes.len() as f64).clamp(MIN_MORTALITY, 1.0);
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

/// Returns the other keys that explain all crashes of a key.
fn rivals<'a, K: Eq>(
    cases: &'a IndexMap<K, Case>,
    key: K,
    case: &'a Case,
) -> impl Iterator<Item = &'a Case> {
    let others = cases.iter().filter(move |(other, _)| **other != key).map(|(_, other)| other);
    others.filter(|other| case.crashes.is_subset(&other.crashes))
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

/// The crashes of a service that are evidence, by time.
pub(crate) struct Evidence<'a, K> {
    pub(crate) policy: &'a Policy,
    pub(crate) crashes: &'a IndexMap<CrashId, Crash<K>>,
    /// Number of crashes, from the first one, that are evidence.
    pub(crate) settled: usize,
    pub(crate) now_ms: i64,
}

impl<K: Copy + Eq + Hash> Evidence<'_, K> {
    /// Finds the guilty keys one after the other, beginning with the most evidence. A crash that a
    /// guilty key explains is no evidence against other keys.
    pub(crate) fn evaluate(&self) -> IndexMap<K, Standing> {
        let mut standings = IndexMap::new();
        let mut explained = IndexSet::new();
        loop {
            let cases = self.cases(&explained);
            let is_refusable = |case: &Case| case.mean_share() <= self.policy.max_refused_share;
            let is_guilty = |(key, case): &(&K, &Case)| {
                self.suffices(case, 0)
                    && is_refusable(case)
                    && case.first_at_ms + MIN_AGE_MS <= self.now_ms
                    && self.is_only_explanation(&cases, **key, case)
            };
            let is_convicted = |(key, case): &(&K, &Case)| {
                case.trial_evidence >= MIN_TRIAL_EVIDENCE
                    && is_refusable(case)
                    && !self.has_better_explanation(&cases, **key, case)
            };
            let guilty = cases.iter().filter(is_guilty);
            let guilty = guilty.max_by(|(_, a), (_, b)| a.presence.total_cmp(&b.presence));
            let convicted = || {
                let convicted = cases.iter().filter(is_convicted);
                // The rarer of two keys explains the same crashes better.
                convicted.max_by(|(_, a), (_, b)| {
                    let by_crashes = a.crashes.len().cmp(&b.crashes.len());
                    by_crashes.then(a.presence.total_cmp(&b.presence))
                })
            };
            let standing = if guilty.is_some() { Standing::Guilty } else { Standing::Convicted };
            match guilty.or_else(convicted) {
                Some((&key, case)) => {
                    standings.insert(key, standing);
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
                    case.trial_evidence += sighting.trial_evidence();
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
            let is_recent = episode.at_ms() + HISTORY_MS > self.now_ms;
            episodes += f64::from(u8::from(crashed > 0.0 && is_recent));
        }
        for case in cases.values_mut() {
            case.set_presence(episodes.max(case.episodes));
        }
        cases
    }

    /// Returns whether a key is guilty by the evidence and by `missing` more crashes.
    fn suffices(&self, case: &Case, missing: usize) -> bool {
        let Policy { min_crashes, min_requests, min_exposure, min_presence, .. } = *self.policy;
        let Policy { min_trial_evidence, min_mortality, min_sole_presence, .. } = *self.policy;
        let known = 1.0 - missing as f64 / min_crashes as f64;
        case.crashes.len() + missing >= min_crashes
            && case.requests.len() + missing >= min_requests
            && case.trial_evidence >= min_trial_evidence * known
            && case.mortality() >= min_mortality * known
            && (case.exposure >= min_exposure * known && case.presence >= min_presence * known
                || case.presence >= min_sole_presence)
    }

    /// Returns whether no other key explains the crashes of a key. Keys that explain exactly the same
    /// crashes are all guilty if the evidence is large.
    fn is_only_explanation(&self, cases: &IndexMap<K, Case>, key: K, case: &Case) -> bool {
        match rivals(cases, key, case).map(|rival| rival.crashes.len()).max() {
            None => true,
            Some(most) => {
                most == case.crashes.len() && case.presence >= self.policy.min_shared_presence
            }
        }
    }

    /// Returns whether another key explains the crashes of a key and more.
    fn has_better_explanation(&self, cases: &IndexMap<K, Case>, key: K, case: &Case) -> bool {
        rivals(cases, key, case).any(|rival| rival.crashes.len() > case.crashes.len())
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
