//! The roles of the currantlink daemon.
//!
//! `entry` serves callers and operators over HTTP; `side` runs requests on one backend. Both have
//! one thread for control state and a pool of threads for traffic. In deployments on the platform,
//! `gateway` proxies callers' requests to backends, and `agent` reports the load of one backend and
//! sends orders to that backend. Decisions are made in `currantlink-core`.

pub mod admission;
pub mod agent;
pub mod attempts;
pub mod backend;
pub mod backend_follower;
pub mod backend_reader;
pub mod backend_set;
pub mod call;
pub mod caller_limits;
pub mod caller_stream;
pub mod callers;
pub mod clock;
pub mod cold_backends;
pub mod context;
pub mod control;
pub mod conversions;
pub mod crash_ledger;
pub mod crashes;
pub mod departure;
pub mod deployment_settings;
pub mod engine;
pub mod entry;
pub mod error;
pub mod evacuations;
pub mod gateway;
pub mod gateway_rates;
pub mod group_leader;
pub mod groups;
pub mod in_flight;
pub mod ingress;
pub mod key;
pub mod known_maps;
pub mod leader;
pub mod link;
pub mod logs;
pub mod monitor;
pub mod operators;
pub mod order_sender;
pub mod orders;
pub mod peers;
pub mod placement;
pub mod platform;
pub mod pool;
pub mod rank_client;
pub mod recording;
pub mod rejection;
pub mod reload;
pub mod reply;
pub mod request_handler;
pub mod response_body;
pub mod routing;
pub mod routing_snapshot;
pub mod settings;
pub mod side;
pub mod side_control;
pub mod silent;
pub mod sockets;
pub mod stated_limits;
pub mod stop;
pub mod stream_relay;
pub mod telemetry;
pub mod threads;
pub mod trials;
pub mod turns;
pub mod uplink;
pub mod upstream;
pub mod view;
pub mod watcher;
