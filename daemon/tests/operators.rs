//! Runs the command line against a running system.
#![allow(clippy::unwrap_used)]

mod common;

use std::path::PathBuf;
use std::process::{Command, Output};

use common::{OPERATOR, System, TOKEN, Topology};

/// Returns the path of the command line's binary. A workspace build places it next to the daemon.
fn program() -> Option<PathBuf> {
    let path = PathBuf::from(env!("CARGO_BIN_EXE_currantlinkd")).with_file_name("currantlink");
    path.exists().then_some(path)
}

fn run(program: &PathBuf, url: &str, token: &str, args: &[&str]) -> Output {
    let remote = ["--entry", url, "--token", token];
    Command::new(program).args(args).args(remote).output().unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn conflicting_folders() {
    let Some(program) = program() else {
        panic!("build the workspace first: cargo build --workspace");
    };
    let system = System::start(Topology::default()).await;
    let url = system.entry_urls[0].clone();
    let folders = [tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap()];
    for folder in &folders {
        let pulled = run(&program, &url, OPERATOR, &["config", "pull", path(folder)]);
        assert!(pulled.status.success(), "{pulled:?}");
    }
    for (number, folder) in folders.iter().enumerate() {
        let text = system.configuration().replace("\"member\"", &format!("\"member-{number}\""));
        std::fs::write(folder.path().join("10.json"), text).unwrap();
    }
    let apply = |n: usize| run(&program, &url, OPERATOR, &["config", "apply", path(&folders[n])]);
    let first = apply(0);
    assert!(first.status.success(), "{first:?}");
    let second = apply(1);
    assert_eq!(second.status.code(), Some(4), "{second:?}");
    let again = apply(0);
    assert!(String::from_utf8(again.stdout).unwrap().contains("nothing to change"));
}

fn path(folder: &tempfile::TempDir) -> &str {
    folder.path().to_str().unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn ask_command() {
    let Some(program) = program() else {
        panic!("build the workspace first: cargo build --workspace");
    };
    let system = System::start(Topology::default()).await;
    let url = system.entry_urls[0].clone();
    let asked = run(&program, &url, TOKEN, &["ask", "api", "one", "--path", "entries"]);
    assert!(String::from_utf8(asked.stdout).unwrap().contains("\"body\":\"one\""));
    assert_eq!(system.runs_of("one"), 1);
    let refused = run(&program, &url, "wrong", &["ask", "api", "two", "--path", "entries"]);
    assert_eq!(refused.status.code(), Some(5), "{refused:?}");
    assert_eq!(system.runs_of("two"), 0);
}
