//! Command-line tool for operators and callers of currantlink.

mod apply;
mod args;
mod ask;
mod backends;
mod check;
mod check_record;
mod client;
mod drain;
mod error;
mod explain;
mod folder;
mod history;
mod logline;
mod output;
mod pull;
mod show;
mod status;

use std::process::ExitCode;

use crate::args::{Args, ConfigArgs};
use crate::error::CliError;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    match run(args::parse()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) if error.is_broken_pipe() => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("currantlink: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

async fn run(args: Args) -> Result<(), CliError> {
    match args {
        Args::Config(ConfigArgs::Check(command)) => command.run(),
        Args::Config(ConfigArgs::CheckRecord(command)) => command.run(),
        Args::Config(ConfigArgs::Apply(command)) => command.run().await,
        Args::Config(ConfigArgs::Pull(command)) => command.run().await,
        Args::Config(ConfigArgs::Show(command)) => command.run().await,
        Args::Config(ConfigArgs::History(command)) => command.run().await,
        Args::Status(command) => command.run().await,
        Args::Backends(command) => command.run().await,
        Args::Drain(command) => command.run().await,
        Args::Ask(command) => command.run().await,
        Args::Explain(command) => command.run(),
    }
}
