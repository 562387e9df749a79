//! The roles of the currantlink daemon.
//!
//! `entry` serves callers and operators; `side` guards one backend. Each has one thread for its
//! control state and a pool of threads for traffic. All decisions are those of `currantlink-core`.

pub mod backend;
pub mod call;
pub mod callers;
pub mod clock;
pub mod context;
pub mod control;
pub mod engine;
pub mod entry;
pub mod error;
pub mod gatekeeper;
pub mod groups;
pub mod leader;
pub mod link;
pub mod logs;
pub mod monitor;
pub mod operators;
pub mod platform;
pub mod recording;
pub mod reply;
pub mod routing;
pub mod settings;
pub mod side;
pub mod stop;
pub mod telemetry;
pub mod threads;
pub mod uplink;
pub mod view;
pub mod wiring;
