//! Command-line arguments.

use std::path::PathBuf;
use std::process;

use bpaf::Bpaf;

use crate::error::INPUT_EXIT_CODE;

/// Width of the help text in columns.
const HELP_WIDTH: usize = 100;

/// Operate a currantlink load balancer and send requests through it.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub enum Args {
    /// Check, publish and show the configuration.
    #[bpaf(command)]
    Config(#[bpaf(external(config_args))] ConfigArgs),
    /// Show the status of one entry.
    #[bpaf(command)]
    Status(#[bpaf(external(status))] Status),
    /// List the backends that one entry has links to.
    #[bpaf(command)]
    Backends(#[bpaf(external(backends))] Backends),
    /// Drain a backend, or return it to service.
    #[bpaf(command)]
    Drain(#[bpaf(external(drain))] Drain),
    /// Send a request to a model or service.
    #[bpaf(command)]
    Ask(#[bpaf(external(ask))] Ask),
    /// Print a request's log lines and the cause of its outcome.
    #[bpaf(command)]
    Explain(#[bpaf(external(explain))] Explain),
}

/// Arguments of `explain`.
#[derive(Clone, Debug, Bpaf)]
pub struct Explain {
    /// Id of the request.
    #[bpaf(positional("ID"))]
    pub request: String,
    /// Log files of the gateways.
    #[bpaf(positional("FILE"), some("no log file is given"))]
    pub files: Vec<PathBuf>,
}

/// Subcommands of `config`.
#[derive(Clone, Debug, Bpaf)]
pub enum ConfigArgs {
    /// Check a folder of currantlink's own configuration files offline.
    ///
    ///
    /// These are the files with workspaces, services, adapters, groups and backends that `config apply`
    /// publishes. For the configuration record of the platform, see `config check-record`.
    #[bpaf(command)]
    Check(#[bpaf(external(check))] Check),
    /// Check a file with the platform's configuration record before it is published.
    ///
    ///
    /// This is the JSON with version, routes, services, limits and tenants that the operator of a
    /// platform writes to its store. For currantlink's own files, see `config check`.
    ///
    ///
    /// Exit codes: 0 no errors, 1 errors found, 2 wrong arguments or the file cannot be read, 9 the
    /// active version cannot be read, so the file was checked but not compared.
    #[bpaf(command("check-record"))]
    CheckRecord(#[bpaf(external(check_record))] CheckRecord),
    /// Publish the files of a folder.
    #[bpaf(command)]
    Apply(#[bpaf(external(apply))] Apply),
    /// Write the configuration files in force to a folder.
    #[bpaf(command)]
    Pull(#[bpaf(external(pull))] Pull),
    /// Show the configuration files in force.
    #[bpaf(command)]
    Show(#[bpaf(external(show))] Show),
    /// Show accepted and refused changes.
    #[bpaf(command)]
    History(#[bpaf(external(history))] History),
}

/// Connection to an entry.
#[derive(Clone, Debug, Bpaf)]
pub struct Remote {
    /// Base URL of an entry.
    #[bpaf(argument("URL"), env("CURRANTLINK_ENTRY"))]
    pub entry: String,
    /// Bearer token. Prefer the environment variable: other users can see command-line arguments.
    #[bpaf(argument("TOKEN"), env("CURRANTLINK_TOKEN"))]
    pub token: String,
    /// PEM file with the CA certificates to trust for HTTPS.
    #[bpaf(argument("FILE"), env("CURRANTLINK_CA"), optional)]
    pub ca: Option<PathBuf>,
}

/// Arguments of `config check`.
#[derive(Clone, Debug, Bpaf)]
pub struct Check {
    /// Print JSON.
    pub json: bool,
    /// Folder with the configuration files.
    #[bpaf(positional("DIR"))]
    pub folder: PathBuf,
}

/// Arguments of `config check-record`.
#[derive(Clone, Debug, Bpaf)]
pub struct CheckRecord {
    /// File with the active version of the record. Prints also the differences from it.
    #[bpaf(argument("FILE"), optional)]
    pub active: Option<PathBuf>,
    /// Print JSON.
    pub json: bool,
    /// File with the record to check.
    #[bpaf(positional("FILE"))]
    pub file: PathBuf,
}

/// Arguments of `config apply`.
#[derive(Clone, Debug, Bpaf)]
pub struct Apply {
    #[bpaf(external(remote))]
    pub remote: Remote,
    /// Author that is recorded with the change.
    #[bpaf(argument("NAME"), env("USER"), fallback(String::from("operator")))]
    pub author: String,
    /// Print the difference without publishing it.
    pub dry_run: bool,
    /// Print JSON.
    pub json: bool,
    /// Folder with the configuration files.
    #[bpaf(positional("DIR"))]
    pub folder: PathBuf,
}

/// Arguments of `config pull`.
#[derive(Clone, Debug, Bpaf)]
pub struct Pull {
    #[bpaf(external(remote))]
    pub remote: Remote,
    /// Folder to write to.
    #[bpaf(positional("DIR"))]
    pub folder: PathBuf,
}

/// Arguments of `config show`.
#[derive(Clone, Debug, Bpaf)]
pub struct Show {
    #[bpaf(external(remote))]
    pub remote: Remote,
    /// Print JSON.
    pub json: bool,
}

/// Arguments of `config history`.
#[derive(Clone, Debug, Bpaf)]
pub struct History {
    #[bpaf(external(remote))]
    pub remote: Remote,
    /// Print JSON.
    pub json: bool,
}

/// Arguments of `status`.
#[derive(Clone, Debug, Bpaf)]
pub struct Status {
    #[bpaf(external(remote))]
    pub remote: Remote,
    /// Print JSON.
    pub json: bool,
}

/// Arguments of `backends`.
#[derive(Clone, Debug, Bpaf)]
pub struct Backends {
    #[bpaf(external(remote))]
    pub remote: Remote,
    /// Print JSON.
    pub json: bool,
}

/// Arguments of `drain`.
#[derive(Clone, Debug, Bpaf)]
pub struct Drain {
    #[bpaf(external(remote))]
    pub remote: Remote,
    /// End the draining of the backend.
    pub undo: bool,
    /// Print JSON.
    pub json: bool,
    /// Name of the backend.
    #[bpaf(positional("BACKEND"))]
    pub backend: String,
}

/// Arguments of `ask`.
#[derive(Clone, Debug, Bpaf)]
pub struct Ask {
    #[bpaf(external(remote))]
    pub remote: Remote,
    /// Print the status, headers and body as JSON.
    pub json: bool,
    /// Request a streamed response and print it as it arrives.
    pub stream: bool,
    /// Adapter for a model request.
    #[bpaf(argument("NAME"), optional)]
    pub adapter: Option<String>,
    /// Maximum number of tokens to generate for a model request.
    #[bpaf(argument("COUNT"), optional)]
    pub max_tokens: Option<u32>,
    /// HTTP method of a request to a plain service.
    #[bpaf(argument("METHOD"), fallback(String::from("POST")))]
    pub method: String,
    /// Path of a request to a plain service. Without a path, a model request is sent.
    #[bpaf(argument("PATH"), optional)]
    pub path: Option<String>,
    /// Time limit for the response.
    #[bpaf(argument("MS"), optional)]
    pub deadline_ms: Option<u64>,
    /// Priority class; 0 is the most urgent.
    #[bpaf(argument("CLASS"), optional)]
    pub priority: Option<u32>,
    /// Request id, which the response repeats.
    #[bpaf(argument("ID"), optional)]
    pub request_id: Option<String>,
    /// Name of the model or service.
    #[bpaf(positional("SERVICE"))]
    pub service: String,
    /// Prompt, or body of a request to a plain service.
    #[bpaf(positional("TEXT"), fallback(String::new()))]
    pub text: String,
}

/// Parses the command line. Prints help or an error and exits if requested or if parsing fails.
pub fn parse() -> Args {
    args().run_inner(bpaf::Args::current_args()).unwrap_or_else(|failure| {
        failure.print_message(HELP_WIDTH);
        match failure.exit_code() {
            0 => process::exit(0),
            _ => process::exit(i32::from(INPUT_EXIT_CODE)),
        }
    })
}
