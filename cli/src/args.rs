//! Arguments of the command line.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Operate and use currantlink.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub enum Args {
    /// Configuration in force and in folders.
    #[bpaf(command)]
    Config(#[bpaf(external(config_args))] ConfigArgs),
    /// Show the state of one entry.
    #[bpaf(command)]
    Status(#[bpaf(external(status))] Status),
    /// List the backends that one entry links to.
    #[bpaf(command)]
    Backends(#[bpaf(external(backends))] Backends),
    /// Take a backend out of service or back into it.
    #[bpaf(command)]
    Drain(#[bpaf(external(drain))] Drain),
    /// Send a request as a caller.
    #[bpaf(command)]
    Ask(#[bpaf(external(ask))] Ask),
    /// Print a request's history and its cause from the logs of gateways.
    #[bpaf(command)]
    Explain(#[bpaf(external(explain))] Explain),
}

/// `explain`
#[derive(Clone, Debug, Bpaf)]
pub struct Explain {
    /// Id of the request.
    #[bpaf(positional("ID"))]
    pub request: String,
    /// Logs of gateways.
    #[bpaf(positional("FILE"), some("no log is named"))]
    pub files: Vec<PathBuf>,
}

/// Subcommands of `config`.
#[derive(Clone, Debug, Bpaf)]
pub enum ConfigArgs {
    /// Check a folder without an entry.
    #[bpaf(command)]
    Check(#[bpaf(external(check))] Check),
    /// Bring a folder into force.
    #[bpaf(command)]
    Apply(#[bpaf(external(apply))] Apply),
    /// Write the files in force to a folder.
    #[bpaf(command)]
    Pull(#[bpaf(external(pull))] Pull),
    /// Show the files in force.
    #[bpaf(command)]
    Show(#[bpaf(external(show))] Show),
    /// Show accepted and refused changes.
    #[bpaf(command)]
    History(#[bpaf(external(history))] History),
}

/// Where to connect to.
#[derive(Clone, Debug, Bpaf)]
pub struct Remote {
    /// Base URL of an entry.
    #[bpaf(argument("URL"), env("CURRANTLINK_ENTRY"))]
    pub entry: String,
    /// Bearer token; better given by the environment.
    #[bpaf(argument("TOKEN"), env("CURRANTLINK_TOKEN"))]
    pub token: String,
    /// PEM file with the certificates to trust for https.
    #[bpaf(argument("FILE"), env("CURRANTLINK_CA"), optional)]
    pub ca: Option<PathBuf>,
}

/// `config check`
#[derive(Clone, Debug, Bpaf)]
pub struct Check {
    /// Print JSON.
    pub json: bool,
    /// Folder with the files.
    #[bpaf(positional("DIR"))]
    pub folder: PathBuf,
}

/// `config apply`
#[derive(Clone, Debug, Bpaf)]
pub struct Apply {
    #[bpaf(external(remote))]
    pub remote: Remote,
    /// Name that the change is published under.
    #[bpaf(argument("NAME"), env("USER"), fallback(String::from("operator")))]
    pub author: String,
    /// Show the difference and change nothing.
    pub dry_run: bool,
    /// Print JSON.
    pub json: bool,
    /// Folder with the files.
    #[bpaf(positional("DIR"))]
    pub folder: PathBuf,
}

/// `config pull`
#[derive(Clone, Debug, Bpaf)]
pub struct Pull {
    #[bpaf(external(remote))]
    pub remote: Remote,
    /// Folder to write to.
    #[bpaf(positional("DIR"))]
    pub folder: PathBuf,
}

/// `config show`
#[derive(Clone, Debug, Bpaf)]
pub struct Show {
    #[bpaf(external(remote))]
    pub remote: Remote,
    /// Print JSON.
    pub json: bool,
}

/// `config history`
#[derive(Clone, Debug, Bpaf)]
pub struct History {
    #[bpaf(external(remote))]
    pub remote: Remote,
    /// Print JSON.
    pub json: bool,
}

/// `status`
#[derive(Clone, Debug, Bpaf)]
pub struct Status {
    #[bpaf(external(remote))]
    pub remote: Remote,
    /// Print JSON.
    pub json: bool,
}

/// `backends`
#[derive(Clone, Debug, Bpaf)]
pub struct Backends {
    #[bpaf(external(remote))]
    pub remote: Remote,
    /// Print JSON.
    pub json: bool,
}

/// `drain`
#[derive(Clone, Debug, Bpaf)]
pub struct Drain {
    #[bpaf(external(remote))]
    pub remote: Remote,
    /// Put the backend back into service.
    pub undo: bool,
    /// Print JSON.
    pub json: bool,
    /// Name of the backend.
    #[bpaf(positional("BACKEND"))]
    pub backend: String,
}

/// `ask`
#[derive(Clone, Debug, Bpaf)]
pub struct Ask {
    #[bpaf(external(remote))]
    pub remote: Remote,
    /// Print JSON with status and headers.
    pub json: bool,
    /// Answer piece by piece.
    pub stream: bool,
    /// Adapter of a model request.
    #[bpaf(argument("NAME"), optional)]
    pub adapter: Option<String>,
    /// Most tokens of a model request.
    #[bpaf(argument("COUNT"), optional)]
    pub max_tokens: Option<u32>,
    /// Method of a plain call.
    #[bpaf(argument("METHOD"), fallback(String::from("POST")))]
    pub method: String,
    /// Path of a plain call; a model request has none.
    #[bpaf(argument("PATH"), optional)]
    pub path: Option<String>,
    /// Time for the answer.
    #[bpaf(argument("MS"), optional)]
    pub deadline_ms: Option<u64>,
    /// Priority class, 0 is the most urgent.
    #[bpaf(argument("CLASS"), optional)]
    pub priority: Option<u32>,
    /// Id that the answer echoes.
    #[bpaf(argument("ID"), optional)]
    pub request_id: Option<String>,
    /// Name of the model or service.
    #[bpaf(positional("SERVICE"))]
    pub service: String,
    /// Prompt, or body of a plain call.
    #[bpaf(positional("TEXT"), fallback(String::new()))]
    pub text: String,
}

/// Parses the command line; prints help and exits where asked to or where it is wrong.
pub fn parse() -> Args {
    args().run()
}
