//! Command-line arguments of the daemon.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Load balancer for expert-parallel model groups.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub enum Args {
    /// Serve callers and operators over HTTP.
    #[bpaf(command)]
    Entry(#[bpaf(external(options))] Options),
    /// Run requests on one backend, which runs alongside this process.
    #[bpaf(command)]
    Side(#[bpaf(external(options))] Options),
    /// Proxy callers' requests to the backends of a deployment.
    #[bpaf(command)]
    Gateway(#[bpaf(external(options))] Options),
    /// Report the load of one model backend of a deployment and send it orders.
    #[bpaf(command)]
    Agent(#[bpaf(external(options))] Options),
}

/// Options of all roles.
#[derive(Clone, Debug, Bpaf)]
pub struct Options {
    /// Settings file in JSON.
    #[bpaf(argument("FILE"))]
    pub settings: PathBuf,
    /// Check the settings and exit.
    pub check: bool,
    /// Print the settings with all defaults and exit.
    pub print_settings: bool,
}

/// Action selected by the options.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Check the settings and exit.
    Check,
    /// Print the settings and exit.
    Print,
    /// Run the role.
    Serve,
}

impl Options {
    /// Returns the selected action. `--check` takes precedence over `--print-settings`.
    pub fn action(&self) -> Action {
        match self {
            Options { check: true, .. } => Action::Check,
            Options { print_settings: true, .. } => Action::Print,
            _ => Action::Serve,
        }
    }
}

/// Parses the command line. Prints help or an error and exits if help is requested or the command line
/// is invalid.
pub fn parse() -> Args {
    args().run()
}
