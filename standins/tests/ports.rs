//! Guards against `free_address` returning a port that cannot be bound while other threads start
//! processes: a child process inherits the sockets that are open when it is started.

#![allow(clippy::unwrap_used)]

use std::net::TcpListener;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};

use currantlink_standins::ports::free_address;

const SPAWNER_THREADS: usize = 8;
const ADDRESSES: usize = 2_000;

#[test]
fn concurrent_spawns() {
    let is_done = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for _ in 0..SPAWNER_THREADS {
            scope.spawn(|| {
                while !is_done.load(Ordering::Relaxed) {
                    Command::new("true").status().unwrap();
                }
            });
        }
        let failed_binds =
            (0..ADDRESSES).filter(|_| TcpListener::bind(free_address()).is_err()).count();
        is_done.store(true, Ordering::Relaxed);
        assert_eq!(failed_binds, 0);
    });
}
