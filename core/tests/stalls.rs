//! Backends that can be expected to send events.

use currantlink_core::group_choice::GroupKey;
use currantlink_core::silence::SILENT_AFTER_RANGE_MS;
use currantlink_core::stalls::{BackendState, PassReport, sound_backends};

const OLD_MS: u64 = SILENT_AFTER_RANGE_MS.1 as u64;
const NONE: [usize; 0] = [];
const SOUND: PassReport = PassReport {
    group: Some(GroupKey(1)),
    is_serving: true,
    age_ms: 80,
    heard_age_ms: 80,
    is_agent_stopping: false,
};
const STALLED: PassReport = PassReport { is_serving: false, ..SOUND };
const OTHER_GROUP: PassReport = PassReport { group: Some(GroupKey(2)), ..SOUND };
/// A backend whose agent and connections are not heard.
const UNHEARD: PassReport = PassReport { age_ms: OLD_MS, heard_age_ms: OLD_MS, ..OTHER_GROUP };

fn stalled(reports: impl IntoIterator<Item = Option<PassReport>>) -> Vec<usize> {
    let states = reports.into_iter().enumerate();
    let states: Vec<_> = states.map(|(key, report)| BackendState { key, report }).collect();
    let sound = sound_backends(&states);
    (0..states.len()).filter(|key| !sound.contains(key)).collect()
}

/// Guards against an end of streams whose sound backends pause.
#[test]
fn pausing_backends() {
    assert_eq!(stalled([Some(SOUND), Some(OTHER_GROUP), None]), NONE);
    assert_eq!(stalled([None, None]), NONE, "no backend has an agent");
}

/// Guards against streams that wait at a rank whose own report does not show the stall.
#[test]
fn whole_group() {
    assert_eq!(stalled([Some(SOUND), Some(STALLED), Some(OTHER_GROUP)]), [0, 1]);
}

/// Guards against streams that wait at a rank whose agent has stopped before its first report.
#[test]
fn unknown_group() {
    assert_eq!(stalled([None, Some(STALLED), Some(OTHER_GROUP)]), [0, 1]);
}

/// Guards against conclusions from a report of an earlier stall.
#[test]
fn old_stall() {
    let old = PassReport { age_ms: OLD_MS, ..STALLED };
    assert_eq!(stalled([Some(SOUND), Some(old), None]), NONE, "its connections are heard");
}

/// Guards against streams that wait at a backend that is cut off.
#[test]
fn unheard_backend() {
    assert_eq!(stalled([Some(SOUND), Some(UNHEARD), None]), [1]);
    let stopping = PassReport { is_agent_stopping: true, ..UNHEARD };
    assert_eq!(stalled([Some(SOUND), Some(stopping)]), NONE, "only its agent stops");
}
