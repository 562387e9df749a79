//! `explain` finds a request's lines in several logs and prints the cause of its outcome.
//!
//! The log lines were recorded with `currantlink-bench platform --faults`.

#![allow(clippy::unwrap_used)]

use std::process::Command;

const GATEWAY_0: &str = r#"2026-12-03T23:18:38.184Z INFO currantlink_daemon::serve msg="request placed" request=once-308 route=once backend=plain-0 load=0 report_age_ms=None candidates=2 queue_limit=280 tried=0 config_version=1
2026-12-03T23:18:38.185Z INFO currantlink_daemon::serve msg="attempt failed" request=once-308 backend=plain-0 error="connection closed early" after_ms=1
2026-12-03T23:18:38.185Z INFO currantlink_daemon::serve msg="attempt ended" request=once-308 outcome=unknown next=give-up sends=1
2026-12-03T23:18:38.185Z INFO currantlink_daemon::serve msg="request rejected" request=once-308 outcome=answer-lost status=502 after_ms=1
not a line of a log
2026-12-03T23:18:39.001Z INFO currantlink_daemon::serve msg="request rejected" request=stream-9 outcome="not-run: full" status=503 after_ms=0
"#;
const GATEWAY_1: &str = r#"2026-12-03T23:18:38.900Z INFO currantlink_daemon::serve msg="request placed" request=stream-9 route=resumable backend=model-2 load=3 report_age_ms=41 candidates=4 queue_limit=9 tried=0 config_version=1
2026-12-03T23:18:40.210Z INFO currantlink_daemon::serve msg="request placed" request=stream-10 route=resumable backend=model-1 load=7 report_age_ms=12 candidates=4 queue_limit=9 tried=0 config_version=1
2026-12-03T23:18:41.720Z INFO currantlink_daemon::serve msg="request served" request=stream-10 backend=model-1 status=200 after_ms=1510
2026-12-03T23:18:41.720Z INFO currantlink_daemon::relayed msg="stream ended" request=stream-10 longest_pause_ms=165 mean_pause_ms=101 running=8
2026-12-03T23:18:42.001Z INFO currantlink_daemon::placing msg="backends full" request=stream-11 route=resumable least_load=6 slots=10 queue_limit=1 running_limit=6 excess=1 candidates=72 returned=false config_version=1
2026-12-03T23:18:42.001Z INFO currantlink_daemon::serve msg="request rejected" request=stream-11 outcome="not-run: full" status=503 after_ms=0
2026-12-04T10:20:11.101Z INFO currantlink_daemon::placement msg="backends at their rate limits" request=plain-12 wait_ms=640 route=once
2026-12-04T10:20:11.101Z INFO currantlink_daemon::request_handler msg="request rejected" request=plain-12 outcome="not-run: rate-limited" status=503 after_ms=0
2026-12-04T10:20:12.301Z INFO currantlink_daemon::placement msg="request placed" request=stream-13 route=resumable backend=model-0 load=5 report_age_ms=15 candidates=12 queue_limit=3 running_limit=12 tried=0 config_version=1
2026-12-04T10:20:14.300Z INFO currantlink_daemon::departure msg="caller left" request=stream-13 after_ms=1999 waits_for=backend backend=model-0 since_sent_ms=1994 sends=1 is_silent=true
2026-12-04T10:20:15.001Z INFO currantlink_daemon::placement msg="request placed" request=stream-14 route=resumable backend=model-0 load=5 report_age_ms=15 candidates=12 queue_limit=3 running_limit=12 tried=0 config_version=1
2026-12-04T10:20:15.700Z INFO currantlink_daemon::stream_relay msg="stream ended early" request=stream-14 reason=silent after_ms=699 last_event=4
2026-12-04T13:02:08.920Z INFO currantlink_daemon::crashes msg="requests like this one crash backends" request=bad-15 fingerprint=2ee491ea0c2f17a5 prompt_parts=f1,c1,bad0 retry_after_ms=599677
2026-12-04T13:02:08.920Z INFO currantlink_daemon::request_handler msg="request rejected" request=bad-15 outcome="not-run: crashes-backends" status=503 after_ms=0
2026-12-05T09:40:01.100Z INFO currantlink_daemon::placement msg="request placed" request=stream-16 route=resumable backend=model-3 load=10 report_age_ms=9 candidates=16 queue_limit=0 running_limit=12 tried=0 config_version=83
2026-12-05T09:40:03.000Z INFO currantlink_daemon::request_handler msg="request rejected" request=stream-16 outcome=no-event status=504 after_ms=1900
2026-12-05T09:40:04.000Z INFO currantlink_daemon::stream_relay msg="stream ended early" request=stream-17 reason=no-event after_ms=4100 last_event=8
2026-12-06T07:10:02.500Z INFO currantlink_daemon::placement msg="backends are cold and at their limits" request=plain-18 wait_ms=212 route=once
2026-12-06T07:10:02.500Z INFO currantlink_daemon::request_handler msg="request rejected" request=plain-18 outcome="not-run: rate-limited" status=503 after_ms=0
"#;

fn explain(request: &str) -> (bool, String, String) {
    let directory = tempfile::tempdir().unwrap();
    let files = [("gateway-0.log", GATEWAY_0), ("gateway-1.log", GATEWAY_1)];
    let paths = files.map(|(name, text)| {
        let path = directory.path().join(name);
        std::fs::write(&path, text).unwrap();
        path
    });
    let mut command = Command::new(env!("CARGO_BIN_EXE_currantlink"));
    let output = command.args(["explain", request]).args(paths).output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (output.status.success(), text(output.stdout), text(output.stderr))
}

#[test]
fn lost_answer() {
    let (success, out, _) = explain("once-308");
    assert!(success && out.lines().count() == 5, "{out}");
    let cause = "cause: may have run; lost with backend plain-0 (connection closed early)";
    assert_eq!(out.lines().last(), Some(cause));
}

#[test]
fn two_logs() {
    let (_, out, _) = explain("stream-9");
    let lines: Vec<&str> = out.lines().collect();
    assert!(lines[0].contains("request placed") && lines[1].contains("request rejected"), "{out}");
    assert_eq!(lines[2], "cause: not run; every backend had its slots and queue full");
}

#[test]
fn late_answer() {
    let (_, out, _) = explain("stream-10");
    let cause = "cause: served after 1510 ms by model-1, which had 7 requests when it was placed \
                 (report of 12 ms before); longest pause between events 165 ms";
    assert_eq!(out.lines().last(), Some(cause));
}

#[test]
fn running_limit() {
    let (_, out, _) = explain("stream-11");
    let cause = "cause: not run; with more than 6 requests at each backend streams pause too long";
    assert_eq!(out.lines().last(), Some(cause));
}

#[test]
fn rate_limited() {
    let (_, out, _) = explain("plain-12");
    let cause = "cause: not run; its backends were at the rate limits that they name, the next one \
                 for 640 ms";
    assert_eq!(out.lines().last(), Some(cause));
}

/// Guards against a cause that names a rate limit although the backends are cold.
#[test]
fn cold_backends() {
    let (_, out, _) = explain("plain-18");
    let cause = "cause: not run; its backends were cold and got as much as they tolerate, the next one \
                 takes a request after 212 ms";
    assert_eq!(out.lines().last(), Some(cause));
}

#[test]
fn caller_left() {
    let (_, out, _) = explain("stream-13");
    let cause = "cause: the caller left after 1999 ms, 1994 ms after it was sent to model-0 (send 1, \
                 silent: true), waiting for the backend";
    assert_eq!(out.lines().last(), Some(cause));
}

#[test]
fn silent_backend() {
    let (_, out, _) = explain("stream-14");
    let cause = "cause: backend model-0 fell silent after event 4, and no other one took the \
                 stream over";
    assert_eq!(out.lines().last(), Some(cause));
}

#[test]
fn unknown_request() {
    let (success, _, err) = explain("nothing");
    assert!(!success);
    assert_eq!(err, "currantlink: no log line found for request \"nothing\"\n");
}

#[test]
fn crashing_request() {
    let (_, out, _) = explain("bad-15");
    let cause = "cause: not run; requests like it crash backends (fingerprint 2ee491ea0c2f17a5, prompt parts f1,c1,bad0)";
    assert_eq!(out.lines().last(), Some(cause));
}

#[test]
fn missing_event() {
    let (_, out, _) = explain("stream-16");
    let cause = "may have run; no event came from backend model-3 for as long as its caller waits";
    assert!(out.ends_with(&format!("cause: {cause}\n")), "{out}");
    let (_, out, _) = explain("stream-17");
    assert!(out.contains("broken off after event 8: no other one came"), "{out}");
}
