//! `config check-record` on valid and invalid configuration records, and its exit codes.
#![allow(clippy::unwrap_used)]

use std::path::PathBuf;
use std::process::Command;

use serde_json::Value;

const RECORD: &str = r#"{"version":7,
 "routes":[
  {"name":"r0","host":"a.example","path_prefix":"/a/","kind":"streaming","timeout_ms":8000,
   "target_latency_ms":400,"attempts":2,"resumable":true,"gap_target_ms":120,"sticky":true,
   "service":"s0"},
  {"name":"r1","host":"a.example","path_prefix":"/b/","kind":"idempotent",
   "timeout_ms":1200,"target_latency_ms":150,"service":"s1"}],
 "services":[{"name":"s0","health_path":"/health"},{"name":"s1","max_connections":110}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
  "idle_timeout_ms":15000},
 "tenants":[{"name":"w0","api_keys":["SECRET-0"]},{"name":"w1","api_keys":["SECRET-1"]}]}"#;

struct Checked {
    code: Option<i32>,
    out: String,
    err: String,
}

impl Checked {
    fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap()
    }

    /// Returns locations and codes of the entries of a list.
    fn codes(&self, list: &str) -> Vec<(String, String)> {
        let text = |value: &Value| value.as_str().unwrap().to_owned();
        let rows = self.json()[list].as_array().unwrap().clone();
        rows.iter().map(|row| (text(&row["location"]), text(&row["code"]))).collect()
    }
}

fn run(args: &[&str]) -> Checked {
    let mut command = Command::new(env!("CARGO_BIN_EXE_currantlink"));
    let output = command.args(["config", "check-record"]).args(args).output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    Checked { code: output.status.code(), out: text(output.stdout), err: text(output.stderr) }
}

/// Checks a record, with the active one if it is given.
fn check(options: &[&str], record: &str, active: Option<&str>) -> Checked {
    let directory = tempfile::tempdir().unwrap();
    let write = |name: &str, text: &str| -> PathBuf {
        let path = directory.path().join(name);
        std::fs::write(&path, text).unwrap();
        path
    };
    let record = write("new.json", record);
    let active = active.map(|text| write("active.json", text));
    let mut args = options.to_vec();
    if let Some(active) = &active {
        args.extend(["--active", active.to_str().unwrap()]);
    }
    args.push(record.to_str().unwrap());
    run(&args)
}

fn pair(location: &str, code: &str) -> (String, String) {
    (location.into(), code.into())
}

/// Guards against findings in an ordinary record.
#[test]
fn good_record() {
    let checked = check(&[], RECORD, None);
    assert_eq!((checked.code, checked.err.as_str()), (Some(0), ""));
    assert_eq!(checked.out, "errors: 0, warnings: 0\n");
    let json = check(&["--json"], RECORD, None).json();
    assert_eq!((json["version"].as_u64(), json["differences"].is_null()), (Some(7), true));
}

/// Guards against errors that stop at the first one, and warnings that count as errors.
#[test]
fn all_findings() {
    let record = RECORD
        .replace(r#""path_prefix":"/b/""#, r#""path_prefix":"/a/""#)
        .replace(r#""service":"s1""#, r#""service":"s9""#)
        .replace("SECRET-1", "SECRET-0");
    let checked = check(&["--json"], &record, None);
    assert_eq!(checked.code, Some(1));
    let expected = [
        pair("routes[1].service", "unknown-service"),
        pair("routes[1]", "duplicate-route"),
        pair("services[1]", "unused-service"),
        pair("tenants[1].api_keys[0]", "shared-key"),
    ];
    assert_eq!(checked.codes("findings"), expected);
    let finding = &checked.json()["findings"][1];
    assert_eq!((&finding["severity"], &finding["related"]), (&"error".into(), &"routes[0]".into()));

    let text = check(&[], &record, None);
    let first = "error: routes[1].service: service \"s9\" is not defined [unknown-service]";
    assert_eq!(text.out.lines().next(), Some(first));
    assert_eq!(text.out.lines().last(), Some("errors: 3, warnings: 1"));
    assert!(text.err.ends_with("new.json: 3\n"), "{}", text.err);
    assert!(!checked.out.contains("SECRET") && !text.out.contains("SECRET"));

    let warnings = check(&[], &RECORD.replace("1200", "100"), None);
    assert_eq!(warnings.code, Some(0), "{}", warnings.out);
    assert!(warnings.out.contains("warning: routes[1].timeout_ms: "), "{}", warnings.out);
}

/// Guards against a rejected record whose mistake has no position.
#[test]
fn rejected_record() {
    let syntax = check(&["--json"], &RECORD.replace(r#""kind":"idempotent","#, "kind,"), None);
    assert_eq!(syntax.code, Some(1));
    let finding = &syntax.json()["findings"][0];
    assert_eq!((&finding["code"], &finding["line"]), (&"invalid-json".into(), &6.into()));
    assert!(finding["column"].as_u64().is_some_and(|column| column > 1), "{finding}");

    let value = check(&["--json"], &RECORD.replace("8000", "\"long\""), None);
    assert_eq!(value.codes("findings"), [pair("routes[0].timeout_ms", "invalid-value")]);
    assert_eq!(value.json()["findings"][0]["line"], 3);
    let text = check(&[], &RECORD.replace("8000", "\"long\""), None).out;
    assert!(text.starts_with("error: routes[0].timeout_ms (line 3, column "), "{text}");

    let trailing = check(&["--json"], &format!("{RECORD}\n{RECORD}"), None);
    assert_eq!(trailing.code, Some(1));
    assert_eq!(trailing.codes("findings"), [pair("line 12, column 1", "trailing-text")]);
    let keys = check(&[], &RECORD.replace(r#"["SECRET-1"]"#, r#""SECRET-1""#), None);
    assert_eq!(keys.code, Some(1));
    assert!(!keys.out.contains("SECRET") && !keys.err.contains("SECRET"), "{}", keys.out);
}

/// Guards against changes that are not shown, and keys that are.
#[test]
fn active_version() {
    let record = RECORD
        .replace("\"version\":7", "\"version\":8")
        .replace("1200", "900")
        .replace("SECRET-1", "SECRET-2")
        .replace("\"name\":\"w0\"", "\"name\":\"w2\"");
    let checked = check(&["--json"], &record, Some(RECORD));
    assert_eq!((checked.code, checked.err.as_str()), (Some(0), ""));
    assert_eq!(checked.codes("findings"), []);
    let expected = [
        pair("routes[1].timeout_ms", "changed"),
        pair("tenants[0]", "added"),
        pair("tenants[1].api_keys", "changed"),
        pair("tenants[0]", "removed"),
    ];
    assert_eq!(checked.codes("differences"), expected);
    let timeout = &checked.json()["differences"][0];
    assert_eq!((&timeout["before"], &timeout["after"]), (&"1200".into(), &"900".into()));
    let text = check(&[], &record, Some(RECORD)).out;
    let line = "changed: routes[1].timeout_ms (\"r1\"): 1200 -> 900";
    assert!(text.lines().any(|found| found == line), "{text}");
    let last = "errors: 0, warnings: 0, differences from version 7: 4";
    assert_eq!(text.lines().last(), Some(last));
    assert!(!checked.out.contains("SECRET") && !text.contains("SECRET"), "{text}");

    let same = check(&["--json"], RECORD, Some(RECORD));
    assert_eq!(same.code, Some(1), "processes ignore a version that is not higher");
    assert_eq!(same.codes("findings"), [pair("version", "version-not-higher")]);
    assert_eq!(same.codes("differences"), []);
}

/// Guards against findings that are lost because the active version is unusable, and against an exit
/// code that hides that nothing was compared.
#[test]
fn failed_comparison() {
    let broken = check(&["--json"], &RECORD.replace("1200", "100"), Some("{"));
    assert_eq!(broken.code, Some(9));
    assert_eq!(broken.codes("findings"), [pair("routes[1].timeout_ms", "timeout-below-target")]);
    assert!(broken.json()["differences"].is_null());
    assert!(broken.json()["comparison_error"].is_string());
    assert!(broken.err.contains("could not compare with"), "{}", broken.err);

    let directory = tempfile::tempdir().unwrap();
    let record = directory.path().join("new.json");
    std::fs::write(&record, RECORD.replace(r#""service":"s1""#, r#""service":"s9""#)).unwrap();
    let missing = run(&["--active", "/nowhere/at/all", record.to_str().unwrap()]);
    assert_eq!(missing.code, Some(9));
    assert!(missing.out.contains("[unknown-service]"), "{}", missing.out);
    assert!(missing.err.contains("/nowhere/at/all"), "{}", missing.err);
}

/// Guards against an unreadable file or wrong arguments that look like errors in the record.
#[test]
fn wrong_input() {
    let missing = run(&["/nowhere/at/all"]);
    assert_eq!((missing.code, missing.out.as_str()), (Some(2), ""));
    assert!(
        missing.err.starts_with("currantlink: could not read /nowhere/at/all"),
        "{}",
        missing.err
    );
    assert_eq!(run(&[]).code, Some(2));
    assert_eq!(run(&["--no-such-option", "x"]).code, Some(2));
    let help = run(&["--help"]);
    assert_eq!(help.code, Some(0));
    assert!(help.out.contains("config check"), "{}", help.out);
}
