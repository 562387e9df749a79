//! Command-line tool that runs one measurement.

use std::process::ExitCode;

use currantlink_bench::args::{self, Args};
use currantlink_bench::error::BenchError;
use currantlink_bench::{experts, path, placement, platform, routing, slopes, soak, stops};

fn main() -> ExitCode {
    match run(args::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) if error.is_broken_pipe() => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("currantlink-bench: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: Args) -> Result<(), BenchError> {
    match args {
        Args::Experts(options) => experts::run(&options),
        Args::Routing(options) => routing::run(&options),
        Args::Path(options) => path::run(&options),
        Args::Slopes(options) => slopes::run(&options),
        Args::Placement(options) => placement::run(&options),
        Args::Platform(options) => platform::run(&options),
        Args::Soak(options) => soak::run(&options),
        Args::Stops(options) => stops::run(&options),
        Args::Role(role) => path::role(&role),
    }
}
