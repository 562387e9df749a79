//! Decisions of currantlink.
//!
//! Nothing here opens a socket, reads a clock, starts a thread or draws a random number: callers
//! pass in events, the time in milliseconds and random draws, and get back commands.

pub mod answer;
pub mod attempt;
pub mod budget;
pub mod config;
pub mod coordinator;
pub mod demand;
pub mod events;
pub mod exchange;
pub mod experts;
pub mod fleet;
pub mod fold;
pub mod gate;
pub mod group;
pub mod health;
pub mod ids;
pub mod loads;
pub mod map;
pub mod pace;
pub mod plan;
pub mod prefix;
pub mod queue;
pub mod reader;
pub mod rebalance;
pub mod relay;
pub mod router;
pub mod routes;
pub mod share;
pub mod spread;
pub mod submission;
pub mod subset;
pub mod switch;
pub mod ticket;
