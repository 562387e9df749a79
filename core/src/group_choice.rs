//! Chooses between the groups of one service, of which some may be slower than others.
//!
//! All ranks of a group execute each pass together, so one slow rank delays every stream of its group. New
//! requests go to groups where their first event and their pauses are expected within the targets.

use derive_more::Display;
use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;

use crate::least_loaded::{Candidate, mean_running};

/// Part of a target above which a group is left, so that its callers are not late yet.
const LEAVE_SHARE: f64 = 0.8;
/// Part of the usual share of requests that a group gets while it is left, if it is not expected to be late
/// any more. Their events show its pace.
const PROBE_SHARE: f64 = 0.05;
/// Time in which a group that was left returns to its usual share: a stream takes up to 2 s, so the requests
/// that return first show their pauses before the others follow.
const RETURN_MS: f64 = 2_000.0;
/// Time after which nothing is remembered of a group that was late.
const MAX_LATE_AGE_MS: u64 = 60_000;

/// Hash of the name of a group.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
#[display("{_0:016x}")]
pub struct GroupKey(pub u64);

impl GroupKey {
    /// Returns the key of the group with this name, or `None` for an empty name.
    pub fn new(name: &str) -> Option<Self> {
        (!name.is_empty()).then(|| Self(xxh3_64(name.as_bytes())))
    }
}

/// What is known of a group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GroupView {
    /// The group.
    pub key: GroupKey,
    /// Number of free slots.
    pub free: u32,
    /// Expected time from the dispatch of a request to its first event.
    pub start_ms: f64,
    /// Expected pause between two events.
    pub pause_ms: f64,
    /// Whether it is formed and makes progress.
    pub is_serving: bool,
}

/// Targets of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Targets {
    /// Time from the dispatch to the first event.
    pub start_ms: f64,
    /// Longest pause between two events.
    pub pause_ms: f64,
}

impl GroupView {
    fn is_late(&self, targets: Targets) -> bool {
        self.pause_ms > targets.pause_ms * LEAVE_SHARE
            || self.start_ms > targets.start_ms * LEAVE_SHARE
    }
}

/// What a gateway has seen of the streams that it relays from a group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RelayedPace {
    /// Time from the dispatch of a request to its first event.
    pub start_ms: f64,
    /// Pause between two events, or 0 without streams.
    pub pause_ms: f64,
}

/// Returns what is known of the groups of the candidates, from their reports, the time that an engine of
/// normal speed needs for a pass with a number of running requests, and the streams that this gateway
/// relays.
///
/// The slowest backend determines the pace of a group, so `candidates` includes backends that are too slow
/// to take requests. Their part of a pass shrinks as their own requests end; for others the mean of all
/// counts.
pub fn views(
    candidates: &[Candidate],
    pass_ms: impl Fn(f64) -> f64,
    relayed: impl Fn(GroupKey) -> RelayedPace,
) -> Vec<GroupView> {
    let usual_ms = pass_ms(mean_running(candidates));
    let mut groups: IndexMap<GroupKey, GroupView> = IndexMap::new();
    let reports = candidates.iter().filter_map(|c| Some((c, c.report?, c.report?.group?)));
    for (candidate, report, key) in reports {
        let group = groups.entry(key).or_insert_with(|| {
            let RelayedPace { start_ms, pause_ms } = relayed(key);
            GroupView { key, free: 0, start_ms, pause_ms, is_serving: true }
        });
        let free = candidate.slots.saturating_sub(candidate.load());
        group.free = group.free.saturating_add(free);
        let expected_ms = match report.slowdown {
            slowdown if slowdown > 1.0 => slowdown * pass_ms(candidate.running()),
            _ => usual_ms,
        };
        group.pause_ms = group.pause_ms.max(expected_ms);
        group.is_serving &= report.is_serving;
    }
    groups.into_values().collect()
}

/// Groups that were left recently, for requests with the same targets.
#[derive(Clone, Debug, Default)]
pub struct GroupChooser {
    /// When a group was last expected to be late.
    late_at_ms: IndexMap<GroupKey, u64>,
}

impl GroupChooser {
    /// Records the groups that are expected to be late now, and returns those that were not before.
    pub fn record_late(
        &mut self,
        groups: &[GroupView],
        targets: Targets,
        now_ms: u64,
    ) -> Vec<GroupView> {
        self.late_at_ms.retain(|_, at_ms| now_ms.saturating_sub(*at_ms) < MAX_LATE_AGE_MS);
        let late = groups.iter().filter(|group| group.is_late(targets));
        let newly = late.filter(|group| {
            let had_returned = self.share(group.key, now_ms) >= 1.0;
            self.late_at_ms.insert(group.key, now_ms);
            had_returned
        });
        newly.copied().collect()
    }

    /// Selects a group for a request, in proportion to free slots and pace among those that are expected to
    /// be on time. Returns `None` if there are fewer than two groups, or if all that serve are expected to
    /// be late: then the groups make no difference. `draw` is a uniform random number.
    pub fn choose(
        &self,
        groups: &[GroupView],
        targets: Targets,
        now_ms: u64,
        draw: u64,
    ) -> Option<GroupKey> {
        if groups.len() < 2 {
            return None;
        }
        let weight = |group: &GroupView| self.weight(group, targets, now_ms);
        let total: f64 = groups.iter().map(weight).sum();
        let mut left = (draw >> 11) as f64 / (1_u64 << 53) as f64 * total;
        let chosen = groups.iter().find(|group| {
            left -= weight(group);
            left < 0.0
        });
        chosen.map(|group| group.key)
    }

    /// Returns the part of its usual requests that a group gets.
    pub fn share(&self, key: GroupKey, now_ms: u64) -> f64 {
        self.late_at_ms.get(&key).map_or(1.0, |&at_ms| {
            let since_ms = now_ms.saturating_sub(at_ms) as f64;
            (since_ms / RETURN_MS).clamp(PROBE_SHARE, 1.0)
        })
    }

    fn weight(&self, group: &GroupView, targets: Targets, now_ms: u64) -> f64 {
        if !group.is_serving || group.is_late(targets) {
            return 0.0;
        }
        let pace = 1.0 / group.pause_ms.max(1.0);
        f64::from(group.free) * pace * self.share(group.key, now_ms)
    }
}
