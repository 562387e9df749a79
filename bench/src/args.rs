//! Command-line arguments of the measurements.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;

use crate::trace::Shape;

/// Measure currantlink's decisions, overhead and behavior under faults.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub enum Args {
    /// Compare expert map policies on a trace of expert loads.
    #[bpaf(command)]
    Experts(#[bpaf(external(experts))] Experts),
    /// Compare routing policies on simulated backends in virtual time.
    #[bpaf(command)]
    Routing(#[bpaf(external(routing))] Routing),
    /// Measure throughput and latency of the whole request path on loopback.
    #[bpaf(command)]
    Path(#[bpaf(external(path))] Path),
    /// Measure the marginal cost of each workspace, record, request and similar item.
    #[bpaf(command)]
    Slopes(#[bpaf(external(slopes))] Slopes),
    /// Compare the rules that choose the backend to load an adapter on.
    #[bpaf(command)]
    Placement(#[bpaf(external(placement))] Placement),
    /// Send load to a small deployment with gateways and agents, and count the responses.
    #[bpaf(command)]
    Platform(#[bpaf(external(platform))] Platform),
    /// Inject random faults into a small deployment and check its guarantees.
    #[bpaf(command)]
    Soak(#[bpaf(external(soak))] Soak),
    /// Stop the gateways of a small deployment in overlapping series and check what callers get.
    #[bpaf(command)]
    Stops(#[bpaf(external(soak))] Soak),
    /// Run one of the processes that `path` measures.
    #[bpaf(command, hide)]
    Role(#[bpaf(external(role))] Role),
}

/// Arguments of `platform`.
#[derive(Clone, Debug, Bpaf)]
pub struct Platform {
    /// Path of the `currantlinkd` executable.
    #[bpaf(argument("FILE"), fallback("target/release/currantlinkd".into()))]
    pub program: PathBuf,
    /// Duration of the load.
    #[bpaf(argument("S"), fallback(10))]
    pub seconds: u64,
    /// Requests per second.
    #[bpaf(argument("N"), fallback(60.0))]
    pub rate: f64,
    /// Seed of the random request kinds and faults.
    #[bpaf(argument("N"), fallback(1))]
    pub seed: u64,
    /// Inject faults into the store and the backends.
    pub faults: bool,
    /// Folder in which to keep the settings and logs.
    #[bpaf(argument("DIR"), optional)]
    pub keep: Option<PathBuf>,
    /// Print JSON lines.
    pub json: bool,
}

/// Arguments of `soak` and `stops`.
#[derive(Clone, Debug, Bpaf)]
pub struct Soak {
    /// Path of the `currantlinkd` executable.
    #[bpaf(argument("FILE"), fallback("target/release/currantlinkd".into()))]
    pub program: PathBuf,
    /// First seed.
    #[bpaf(argument("N"), fallback(1))]
    pub seed: u64,
    /// Number of seeds.
    #[bpaf(argument("N"), fallback(10))]
    pub seeds: u64,
    /// Duration of the faults or stops for each seed. An evacuation is checked in runs of over 6 s.
    #[bpaf(argument("S"), fallback(10))]
    pub seconds: u64,
}

/// Arguments of `path`.
#[derive(Clone, Debug, Bpaf)]
pub struct Path {
    /// Duration of each of the four loads.
    #[bpaf(argument("S"), fallback(5))]
    pub seconds: u64,
    /// Requests per second for the latencies. The default is half of the saturated rate.
    #[bpaf(argument("N"), optional)]
    pub rate: Option<f64>,
    /// Print JSON lines.
    pub json: bool,
}

/// Arguments of `slopes`.
#[derive(Clone, Debug, Bpaf)]
pub struct Slopes {
    /// Print JSON lines.
    pub json: bool,
}

/// Arguments of `placement`.
#[derive(Clone, Debug, Bpaf)]
pub struct Placement {
    /// Seed of the random adapter sizes and requests.
    #[bpaf(argument("N"), fallback(1))]
    pub seed: u64,
    /// Print JSON lines.
    pub json: bool,
}

/// Arguments of `role`.
#[derive(Clone, Debug, Bpaf)]
pub enum Role {
    /// Run an entry with a settings file.
    #[bpaf(command)]
    Entry(#[bpaf(positional("FILE"))] PathBuf),
    /// Run a side with a settings file.
    #[bpaf(command)]
    Side(#[bpaf(positional("FILE"))] PathBuf),
    /// Run a plain backend that listens on an address.
    #[bpaf(command)]
    Plain(#[bpaf(positional("IP:PORT"))] SocketAddr),
}

/// Arguments of `routing`.
#[derive(Clone, Debug, Bpaf)]
pub struct Routing {
    /// Seed of the random arrivals and routing choices.
    #[bpaf(argument("N"), fallback(1))]
    pub seed: u64,
    /// Virtual duration of one simulation.
    #[bpaf(argument("S"), fallback(30))]
    pub seconds: u64,
    /// Delay of load reports.
    #[bpaf(argument("MS"), fallback(300))]
    pub lag_ms: u64,
    /// Print JSON lines.
    pub json: bool,
}

/// Arguments of `experts`.
#[derive(Clone, Debug, Bpaf)]
pub struct Experts {
    /// Trace file of JSON lines. Without a file, a trace is generated.
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
    /// Weight of skew in the cost.
    #[bpaf(argument("A"))]
    pub skew_weight: f64,
    /// Weight of moves in the cost.
    #[bpaf(argument("B"))]
    pub move_weight: f64,
    /// Steps lost by one switch.
    #[bpaf(argument("X"), fallback(1.0))]
    pub switch_steps: f64,
    /// Weight transfers that fit into the time of one step.
    #[bpaf(argument("Y"), fallback(64.0))]
    pub transfers_per_step: f64,
    /// Run only this policy: static, periodic, oracle or drift.
    #[bpaf(argument("NAME"), optional)]
    pub policy: Option<String>,
    /// Print JSON lines.
    pub json: bool,
}

/// Parses the command line. Prints help or an error and exits if requested or if parsing fails.
pub fn parse() -> Args {
    args().run()
}
