//! Decision logic of currantlink, without I/O.
//!
//! This crate opens no sockets, reads no clock, starts no threads and generates no random numbers.
//! The caller passes in events, the current time in milliseconds and random draws, and executes the
//! returned commands.

pub mod admission;
pub mod arrivals;
pub mod attempt;
pub mod budget;
pub mod cold;
pub mod concurrency;
pub mod config;
pub mod coordinator;
pub mod deadlines;
pub mod demand;
pub mod durations;
pub mod election;
pub mod evacuation;
pub mod even_load;
pub mod events;
pub mod evidence;
pub mod exchange;
pub mod experts;
pub mod fanout;
pub mod fleet;
pub mod fold;
pub mod gate;
pub mod gateway_rates;
pub mod group;
pub mod group_choice;
pub mod health;
pub mod ids;
pub mod least_loaded;
pub mod loads;
pub mod map;
pub mod map_shape;
pub mod membership;
pub mod memory_budget;
pub mod pace;
pub mod patience;
pub mod pauses;
pub mod plan;
pub mod prefix;
pub mod queue;
pub mod rate_lanes;
pub mod rate_limit;
pub mod reader;
pub mod rebalance;

pub mod response;
pub mod retry;
pub mod router;
pub mod routes;
pub mod share;
pub mod shared_reads;
pub mod silence;
pub mod stalls;
pub mod stop;
pub mod stream_pace;
pub mod submission;
pub mod subset;
pub mod suspects;
pub mod switch;
pub mod ticket;
pub mod trials;
pub mod turns;
