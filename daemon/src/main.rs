//! The currantlink daemon, one process per role.

mod args;

use std::process::ExitCode;

use currantlink_daemon::{agent, deployment_settings, entry, gateway, logs, settings, side};

fn main() -> ExitCode {
    logs::init();
    let result = run(args::parse());
    logs::wait_for_writer();
    match result {
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
            let loaded = settings::load_entry(&options.settings)?;
            match options.action() {
                args::Action::Check => Ok(()),
                args::Action::Print => settings::print(&loaded.raw()),
                args::Action::Serve => entry::run(loaded),
            }
        }
        args::Args::Side(options) => {
            let loaded = settings::load_side(&options.settings)?;
            match options.action() {
                args::Action::Check => Ok(()),
                args::Action::Print => settings::print(&loaded.raw()),
                args::Action::Serve => side::run(loaded),
            }
        }
        args::Args::Gateway(options) => {
            let loaded = deployment_settings::load_gateway(&options.settings)?;
            match options.action() {
                args::Action::Check => Ok(()),
                args::Action::Print => settings::print(loaded.common.raw()),
                args::Action::Serve => gateway::run(loaded, options.settings),
            }
        }
        args::Args::Agent(options) => {
            let loaded = deployment_settings::load_agent(&options.settings)?;
            match options.action() {
                args::Action::Check => Ok(()),
                args::Action::Print => settings::print(loaded.common.raw()),
                args::Action::Serve => agent::run(loaded, options.settings),
            }
        }
    }
}
