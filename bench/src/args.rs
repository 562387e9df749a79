//! Arguments of the measurements.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;

use crate::trace::Shape;

/// Measure currantlink.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub enum Args {
    /// Compare expert map policies on a trace.
    #[bpaf(command)]
    Experts(#[bpaf(external(experts))] Experts),
    /// Compare routing policies against fake backends in virtual time.
    #[bpaf(command)]
    Routing(#[bpaf(external(routing))] Routing),
    /// Measure the whole path on loopback.
    #[bpaf(command)]
    Path(#[bpaf(external(path))] Path),
    /// Measure what one more of a thing costs.
    #[bpaf(command)]
    Slopes(#[bpaf(external(slopes))] Slopes),
    /// Compare the rules that pick a backend for an adapter.
    #[bpaf(command)]
    Placement(#[bpaf(external(placement))] Placement),
    /// Load a small deployment with gateways and agents, and count what callers get.
    #[bpaf(command)]
    Platform(#[bpaf(external(platform))] Platform),
    /// Disturb a small deployment at random from outside, and check its promises.
    #[bpaf(command)]
    Soak(#[bpaf(external(soak))] Soak),
    /// Run one process of `path`.
    #[bpaf(command, hide)]
    Role(#[bpaf(external(role))] Role),
}

/// `platform`
#[derive(Clone, Debug, Bpaf)]
pub struct Platform {
    /// The daemon.
    #[bpaf(argument("FILE"), fallback("target/release/currantlinkd".into()))]
    pub program: PathBuf,
    /// Length.
    #[bpaf(argument("S"), fallback(10))]
    pub seconds: u64,
    /// Requests per second.
    #[bpaf(argument("N"), fallback(60.0))]
    pub rate: f64,
    /// Seed of the kinds of requests and of the faults.
    #[bpaf(argument("N"), fallback(1))]
    pub seed: u64,
    /// Let the store and backends fail.
    pub faults: bool,
    /// Folder that keeps settings and logs.
    #[bpaf(argument("DIR"), optional)]
    pub keep: Option<PathBuf>,
    /// Print JSON lines.
    pub json: bool,
}

/// `soak`
#[derive(Clone, Debug, Bpaf)]
pub struct Soak {
    /// The daemon.
    #[bpaf(argument("FILE"), fallback("target/release/currantlinkd".into()))]
    pub program: PathBuf,
    /// First seed.
    #[bpaf(argument("N"), fallback(1))]
    pub seed: u64,
    /// Number of seeds.
    #[bpaf(argument("N"), fallback(10))]
    pub seeds: u64,
    /// Time of faults for each seed.
    #[bpaf(argument("S"), fallback(5))]
    pub seconds: u64,
}

/// `path`
#[derive(Clone, Debug, Bpaf)]
pub struct Path {
    /// Time of each of the four loads.
    #[bpaf(argument("S"), fallback(5))]
    pub seconds: u64,
    /// Requests per second for the latencies; default half of the saturated rate.
    #[bpaf(argument("N"), optional)]
    pub rate: Option<f64>,
    /// Print JSON lines.
    pub json: bool,
}

/// `slopes`
#[derive(Clone, Debug, Bpaf)]
pub struct Slopes {
    /// Print JSON lines.
    pub json: bool,
}

/// `placement`
#[derive(Clone, Debug, Bpaf)]
pub struct Placement {
    /// Seed of sizes and demand.
    #[bpaf(argument("N"), fallback(1))]
    pub seed: u64,
    /// Print JSON lines.
    pub json: bool,
}

/// `role`
#[derive(Clone, Debug, Bpaf)]
pub enum Role {
    /// An entry with its settings.
    #[bpaf(command)]
    Entry(#[bpaf(positional("FILE"))] PathBuf),
    /// A side with its settings.
    #[bpaf(command)]
    Side(#[bpaf(positional("FILE"))] PathBuf),
    /// A plain service with its address.
    #[bpaf(command)]
    Plain(#[bpaf(positional("IP:PORT"))] SocketAddr),
}

/// `routing`
#[derive(Clone, Debug, Bpaf)]
pub struct Routing {
    /// Seed of arrivals and choices.
    #[bpaf(argument("N"), fallback(1))]
    pub seed: u64,
    /// Virtual time of one run.
    #[bpaf(argument("S"), fallback(30))]
    pub seconds: u64,
    /// Lag of load reports.
    #[bpaf(argument("MS"), fallback(300))]
    pub lag_ms: u64,
    /// Print JSON lines.
    pub json: bool,
}

/// `experts`
#[derive(Clone, Debug, Bpaf)]
pub struct Experts {
    /// Trace of JSON lines; without it one is generated.
    #[bpaf(argument("FILE"), optional)]
    pub trace: Option<PathBuf>,
    /// Seed of a generated trace.
    #[bpaf(argument("N"), fallback(1))]
    pub seed: u64,
    /// Shape of a generated trace: drift, turnover, noise, hot or stall.
    #[bpaf(argument("SHAPE"), fallback(Shape::Drift))]
    pub shape: Shape,
    /// Steps of a generated trace.
    #[bpaf(argument("COUNT"), fallback(1_000))]
    pub steps: u64,
    /// Layers of a generated trace.
    #[bpaf(argument("COUNT"), fallback(2))]
    pub layers: usize,
    /// Experts per layer of a generated trace.
    #[bpaf(argument("COUNT"), fallback(256))]
    pub experts: usize,
    /// Ranks of the group.
    #[bpaf(argument("R"))]
    pub ranks: usize,
    /// Expert slots per rank and layer.
    #[bpaf(argument("S"))]
    pub slots: usize,
    /// Weight of skew.
    #[bpaf(argument("A"))]
    pub skew_weight: f64,
    /// Weight of moves.
    #[bpaf(argument("B"))]
    pub move_weight: f64,
    /// Steps lost by one switch.
    #[bpaf(argument("X"), fallback(1.0))]
    pub switch_steps: f64,
    /// Transfers of the weight store in the time of one step.
    #[bpaf(argument("Y"), fallback(64.0))]
    pub transfers_per_step: f64,
    /// Only this policy: static, periodic, oracle or drift.
    #[bpaf(argument("NAME"), optional)]
    pub policy: Option<String>,
    /// Print JSON lines.
    pub json: bool,
}

/// Parses the command line; prints help and exits where asked to or where it is wrong.
pub fn parse() -> Args {
    args().run()
}
