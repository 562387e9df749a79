//! Determines which backends can be expected to send events: their group makes passes and they are heard.

use std::hash::Hash;

use indexmap::IndexSet;

use crate::group_choice::GroupKey;
use crate::silence::SILENT_AFTER_RANGE_MS;

/// Age after which a report or a sign of life says nothing of the present: the time after which every
/// backend counts as silent.
const MAX_AGE_MS: u64 = SILENT_AFTER_RANGE_MS.1 as u64;

/// What is known of a backend.
#[derive(Clone, Copy, Debug)]
pub struct BackendState<K> {
    /// The backend.
    pub key: K,
    /// Its last report, or `None` if it has sent none. Not every backend has an agent.
    pub report: Option<PassReport>,
}

/// What the last report of a backend says of its group, and when the backend was last heard.
#[derive(Clone, Copy, Debug)]
pub struct PassReport {
    /// Group of the backend, if it belongs to one.
    pub group: Option<GroupKey>,
    /// Whether the group is formed and makes progress.
    pub is_serving: bool,
    /// Age of the report.
    pub age_ms: u64,
    /// Time since the last report or response bytes.
    pub heard_age_ms: u64,
    /// Whether the agent has announced that it stops. The lack of reports then says nothing of the backend.
    pub is_agent_stopping: bool,
}

impl PassReport {
    fn shows_stall(&self) -> bool {
        self.age_ms < MAX_AGE_MS && !self.is_serving
    }

    fn is_unheard(&self) -> bool {
        self.heard_age_ms >= MAX_AGE_MS && !self.is_agent_stopping
    }
}

/// Returns the backends of one service that can be expected to send events.
///
/// A stall stops all ranks of a group, so the report of one rank applies to all. A backend without a report
/// may belong to any group, so a stall of any group of the service applies to it.
pub fn sound_backends<K: Copy + Eq + Hash>(backends: &[BackendState<K>]) -> IndexSet<K> {
    let reports = backends.iter().filter_map(|backend| backend.report);
    let stalls: Vec<_> = reports.filter(PassReport::shows_stall).collect();
    let groups: IndexSet<GroupKey> = stalls.iter().filter_map(|report| report.group).collect();
    let is_stalled = |report: Option<PassReport>| match report {
        None => !stalls.is_empty(),
        Some(report) => {
            report.shows_stall()
                || report.is_unheard()
                || report.group.is_some_and(|group| groups.contains(&group))
        }
    };
    let sound = backends.iter().filter(|backend| !is_stalled(backend.report));
    sound.map(|backend| backend.key).collect()
}
