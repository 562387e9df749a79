//! Detection of backends that have stopped or cannot be reached.

use currantlink_core::least_loaded::LoadReport;
use currantlink_core::silence::{
    LastHeard, SILENT_AFTER_RANGE_MS, SILENT_UNTIL_MS, silent_backends,
};

const NOW_MS: u64 = 100_000;
const IDLE_INTERVAL_MS: f64 = 240.0;
const BUSY_INTERVAL_MS: f64 = 80.0;
const LEAST_MS: u64 = SILENT_AFTER_RANGE_MS.0 as u64;
const MOST_MS: u64 = SILENT_AFTER_RANGE_MS.1 as u64;

fn silent(interval_ms: f64, ages_ms: &[u64]) -> Vec<usize> {
    let last_heard = |(key, age): (usize, &u64)| LastHeard {
        key,
        heard_at_ms: NOW_MS - age,
        interval_ms,
        is_agent_stopping: false,
    };
    let heard: Vec<_> = ages_ms.iter().enumerate().map(last_heard).collect();
    silent_backends(&heard, NOW_MS).into_iter().collect()
}

const NONE: [usize; 0] = [];

#[test]
fn one_silent() {
    assert_eq!(silent(IDLE_INTERVAL_MS, &[40, MOST_MS, 120]), [1]);
    assert_eq!(silent(IDLE_INTERVAL_MS, &[40, MOST_MS - 1, 120]), NONE);
}

#[test]
fn busy_backends() {
    assert_eq!(silent(BUSY_INTERVAL_MS, &[40, LEAST_MS, LEAST_MS - 1]), [1]);
}

#[test]
fn most_silent() {
    assert_eq!(silent(IDLE_INTERVAL_MS, &[2_000, 100, 3_000, 2_500]), [0, 2, 3]);
}

#[test]
fn nothing_received() {
    assert_eq!(silent(BUSY_INTERVAL_MS, &[1_000, 2_000, 4_000]), NONE, "the process was suspended");
    assert_eq!(silent(BUSY_INTERVAL_MS, &[1_000]), NONE, "one backend cannot be compared");
}

#[test]
fn agent_gone() {
    assert_eq!(silent(BUSY_INTERVAL_MS, &[40, SILENT_UNTIL_MS]), NONE, "the list governs by then");
}

#[test]
fn future_times() {
    let heard = |key, heard_at_ms| LastHeard {
        key,
        heard_at_ms,
        interval_ms: BUSY_INTERVAL_MS,
        is_agent_stopping: false,
    };
    let silent = silent_backends(&[heard(0, NOW_MS + 5), heard(1, NOW_MS - LEAST_MS)], NOW_MS);
    assert_eq!(silent.into_iter().collect::<Vec<_>>(), [1]);
}

#[test]
fn report_intervals() {
    let report = |received_at_ms| LoadReport { received_at_ms, ..LoadReport::default() };
    let mut last = report(0);
    for at_ms in (1..=40).map(|index| index * 80) {
        last = report(at_ms).following(&last);
    }
    assert!((last.interval_ms - BUSY_INTERVAL_MS).abs() < 5.0, "{}", last.interval_ms);
    let after_pause = report(last.received_at_ms + 60_000).following(&last);
    assert!(after_pause.interval_ms < IDLE_INTERVAL_MS, "one long pause is no interval");
}

/// Guards against a sound backend that counts as silent while its agent is restarted.
#[test]
fn agent_stopping() {
    let heard = |key, age_ms, is_agent_stopping| LastHeard {
        key,
        heard_at_ms: NOW_MS - age_ms,
        interval_ms: BUSY_INTERVAL_MS,
        is_agent_stopping,
    };
    let heard = [heard(0, 40, false), heard(1, 2 * MOST_MS, true), heard(2, 2 * MOST_MS, false)];
    assert_eq!(silent_backends(&heard, NOW_MS).into_iter().collect::<Vec<_>>(), [2]);
}
