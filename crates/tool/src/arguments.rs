//! Defines the command line.
//!
//! Owns: commands and flags, which are stable. Relies on: clap.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand, ValueEnum};

/// Checks, applies and shows the configuration of curlewcleat, and drains daemons.
///
/// Exit codes: 0 done; 1 the files fail the checks, or differ; 2 wrong usage; 3 another apply
/// changed the same file; 4 the platform or a daemon cannot be reached, or it is unknown
/// whether an apply took effect; 5 some daemons did not have it in force within the time to wait.
#[derive(Parser)]
#[command(version)]
pub struct Arguments {
    /// Platform's object API as ip:port.
    #[arg(long, global = true, env = "CURLEWCLEAT_PLATFORM", default_value = "127.0.0.1:7000")]
    pub platform: String,
    /// Operators' addresses of daemons as ip:port, separated by commas.
    #[arg(long, global = true, env = "CURLEWCLEAT_DAEMONS", value_delimiter = ',')]
    pub daemons: Vec<String>,
    /// Print JSON.
    #[arg(long, global = true)]
    pub json: bool,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(Subcommand)]
pub enum Command {
    /// Check files together, without the platform.
    Check(FileArguments),
    /// Put files in force; each replaces the whole earlier file of its name.
    Apply(ApplyArguments),
    /// Compare files with those in force; exits with 1 if they differ.
    Diff(FileArguments),
    /// Show what is in force and the state of the daemons.
    Show(ShowArguments),
    /// Show who applied what and when.
    History,
    /// Begin the planned stop of a daemon.
    Drain(DrainArguments),
    /// Let a request be served again that is refused because targets terminated while running it.
    Clear(ClearArguments),
    /// Explain what happened to a request, from the logs of daemons.
    Explain(ExplainArguments),
    /// Print a completion script for a shell.
    Completions(CompletionArguments),
}

/// Files to read.
#[derive(Args)]
pub struct FileArguments {
    /// INI files, or folders with them.
    #[arg(required = true)]
    pub files: Vec<PathBuf>,
}

/// What to apply and how.
#[derive(Args)]
pub struct ApplyArguments {
    /// INI files, or folders with them.
    #[arg(required = true)]
    pub files: Vec<PathBuf>,
    /// Wait until each daemon has the configuration in force.
    #[arg(long)]
    pub wait: bool,
    /// Seconds to wait.
    #[arg(long, default_value_t = 8)]
    pub wait_seconds: u64,
    /// Generation that the edit is based on; a later change to the same files is a conflict.
    #[arg(long)]
    pub expect_generation: Option<u64>,
    /// Name of the operator, for the history.
    #[arg(long, env = "USER", default_value = "operator")]
    pub operator: String,
}

/// What to show.
#[derive(Args)]
pub struct ShowArguments {
    /// What to show.
    pub what: ShowSubject,
    /// With `status`: a row for each daemon, however many there are.
    #[arg(long)]
    pub all: bool,
}

/// What can be shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum ShowSubject {
    /// Files in force at the platform.
    Config,
    /// Daemons: generation, requests, drain, roles.
    Status,
    /// VMs as the platform lists them.
    Vms,
    /// Targets as their schedulers see them.
    Targets,
    /// Client accounts in force.
    Accounts,
    /// Requests under which targets ended, those that are refused first.
    Suspects,
    /// Orders to move pools to targets of other versions.
    Rollouts,
}

/// Which request to explain.
#[derive(Args)]
pub struct ExplainArguments {
    /// Id of the request: the system's, or the one that its caller gave.
    pub request: String,
    /// Logs of daemons; `-` is standard input.
    #[arg(required = true)]
    pub logs: Vec<PathBuf>,
}

/// Which request to clear.
#[derive(Args)]
pub struct ClearArguments {
    /// Digest of the request, from `show suspects` or the logs.
    pub digest: String,
}

/// Which daemon to drain.
#[derive(Args)]
pub struct DrainArguments {
    /// Operators' address of the daemon as ip:port.
    pub daemon: String,
}

/// Which shell.
#[derive(Args)]
pub struct CompletionArguments {
    /// Shell.
    pub shell: clap_complete::Shell,
}
