//! Ports that are given out can be listened on, also while other threads start processes.

#![allow(clippy::unwrap_used)]

use std::net::TcpListener;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};

use currantlink_standins::ports::free_address;

const STARTERS: usize = 8;
const ADDRESSES: usize = 2_000;

#[test]
fn starts_meanwhile() {
    let is_over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for _ in 0..STARTERS {
            scope.spawn(|| {
                while !is_over.load(Ordering::Relaxed) {
                    Command::new("true").status().unwrap();
                }
            });
        }
        let refused = (0..ADDRESSES).filter(|_| TcpListener::bind(free_address()).is_err()).count();
        is_over.store(true, Ordering::Relaxed);
        assert_eq!(refused, 0);
    });
}
