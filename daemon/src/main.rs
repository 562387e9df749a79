//! The currantlink daemon, one process per role.

mod args;

use std::process::ExitCode;

use currantlink_daemon::{agent, deployed, entry, gateway, logs, settings, side};

fn main() -> ExitCode {
    logs::init();
    let ended = run(args::parse());
    logs::settle();
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("currantlinkd: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: args::Args) -> Result<(), currantlink_daemon::error::DaemonError> {
    match args {
        args::Args::Entry(options) => {
            let checked = settings::load_entry(&options.settings)?;
            match options.action() {
                args::Action::Check => Ok(()),
                args::Action::Print => settings::print(&checked.raw()),
                args::Action::Serve => entry::run(checked),
            }
        }
        args::Args::Side(options) => {
            let checked = settings::load_side(&options.settings)?;
            match options.action() {
                args::Action::Check => Ok(()),
                args::Action::Print => settings::print(&checked.raw()),
                args::Action::Serve => side::run(checked),
            }
        }
        args::Args::Gateway(options) => {
            let checked = deployed::load_gateway(&options.settings)?;
            match options.action() {
                args::Action::Check => Ok(()),
                args::Action::Print => settings::print(checked.common.raw()),
                args::Action::Serve => gateway::run(checked, options.settings),
            }
        }
        args::Args::Agent(options) => {
            let checked = deployed::load_agent(&options.settings)?;
            match options.action() {
                args::Action::Check => Ok(()),
                args::Action::Print => settings::print(checked.common.raw()),
                args::Action::Serve => agent::run(checked, options.settings),
            }
        }
    }
}
