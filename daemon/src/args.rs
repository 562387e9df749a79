//! Arguments of the daemon.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Load balancer for expert-parallel model groups.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub enum Args {
    /// Serve callers and operators over HTTP.
    #[bpaf(command)]
    Entry(#[bpaf(external(options))] Options),
    /// Guard the backend beside this process.
    #[bpaf(command)]
    Side(#[bpaf(external(options))] Options),
    /// Serve a deployment's callers from its backends.
    #[bpaf(command)]
    Gateway(#[bpaf(external(options))] Options),
    /// Stand beside a deployment's model backend.
    #[bpaf(command)]
    Agent(#[bpaf(external(options))] Options),
}

/// Options of both roles.
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

/// What the daemon is started for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Check the settings.
    Check,
    /// Print the settings.
    Print,
    /// Serve.
    Serve,
}

impl Options {
    /// Returns what the daemon is started for.
    pub fn action(&self) -> Action {
        match self {
            Options { check: true, .. } => Action::Check,
            Options { print_settings: true, .. } => Action::Print,
            _ => Action::Serve,
        }
    }
}

/// Parses the command line; prints help and exits where asked to or where it is wrong.
pub fn parse() -> Args {
    args().run()
}
