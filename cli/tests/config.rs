//! `config check` on valid and invalid folders, and errors of the command line.
#![allow(clippy::unwrap_used)]

use std::process::{Command, Output};

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_currantlink"))
        .args(args)
        .env_remove("CURRANTLINK_ENTRY")
        .env_remove("CURRANTLINK_TOKEN")
        .output()
        .unwrap()
}

fn folder(files: &[(&str, &str)]) -> tempfile::TempDir {
    let dir = tempfile::tempdir().unwrap();
    for (name, text) in files {
        std::fs::write(dir.path().join(name), text).unwrap();
    }
    dir
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).unwrap()
}

#[test]
fn good_folder() {
    let dir = folder(&[
        ("10.json", r#"{"services": [{"name": "a", "kind": "plain"}]}"#),
        (
            "20.json",
            r#"{"backends": [{"name": "r", "service": "a", "side_address": "127.0.0.1:1"}]}"#,
        ),
        ("notes.txt", "not read"),
    ]);
    let output = run(&["config", "check", dir.path().to_str().unwrap()]);
    assert!(output.status.success(), "{output:?}");
}

#[test]
fn sample_folder() {
    let output = run(&["config", "check", concat!(env!("CARGO_MANIFEST_DIR"), "/../sample")]);
    assert!(output.status.success(), "{output:?}");
}

#[test]
fn all_problems() {
    let dir = folder(&[
        ("10.json", r#"{"services": [{"name": "a", "kind": "odd"}]}"#),
        ("20.json", r#"{"backend": []}"#),
    ]);
    let output = run(&["config", "check", "--json", dir.path().to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(3));
    let problems: Vec<String> = serde_json::from_slice(&output.stdout).unwrap();
    assert!(problems[0].contains("20.json") && problems[1].contains("services[0].kind"));
    assert_eq!(text(&output.stderr).lines().count(), 1);
}

#[test]
fn missing_folder() {
    let output = run(&["config", "check", "/nowhere/at/all"]);
    assert_eq!(output.status.code(), Some(1));
    let error = text(&output.stderr);
    assert!(error.starts_with("currantlink: could not read /nowhere/at/all"), "{error}");
}

#[test]
fn unreachable_entry() {
    let output = run(&["status", "--entry", "http://127.0.0.1:1", "--token", "t"]);
    assert_eq!(output.status.code(), Some(8));
    assert!(text(&output.stderr).contains("refused"), "{output:?}");
}

#[test]
fn shell_completions() {
    let output = run(&["--bpaf-complete-style-bash"]);
    assert!(output.status.success());
    assert!(text(&output.stdout).contains("currantlink"));
}
