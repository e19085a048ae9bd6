//! `curlewcleat`: the command-line client for operators.
//!
//! Owns: the exit codes. Relies on: the other modules for the commands.

mod apply;
mod arguments;
mod daemons;
mod explain;
mod files;
mod show;
mod table;

use std::process::ExitCode;

use clap::{CommandFactory, Parser};

use crate::arguments::{Arguments, Command};

/// Result of a command, which is the exit code of the tool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ToolExit {
    /// Done.
    Done = 0,
    /// The files fail the checks or differ from those in force, or no log line has the request's id.
    Invalid = 1,
    /// Another apply changed the same file.
    Conflict = 3,
    /// The platform or a daemon cannot be reached, or another error occurred.
    Unreachable = 4,
    /// Some daemons did not have the configuration in force within the time to wait.
    NotEverywhere = 5,
}

#[actix_rt::main]
async fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let result = match &arguments.command {
        Command::Check(options) => files::check(&arguments, options),
        Command::Apply(options) => apply::apply(&arguments, options).await,
        Command::Diff(options) => apply::diff(&arguments, options).await,
        Command::Show(options) => show::show(&arguments, options).await,
        Command::History => show::history(&arguments).await,
        Command::Drain(options) => daemons::drain(options).await,
        Command::Clear(options) => daemons::clear(&arguments, options).await,
        Command::Explain(options) => explain::explain(&arguments, options),
        Command::Completions(options) => {
            clap_complete::generate(
                options.shell,
                &mut Arguments::command(),
                "curlewcleat",
                &mut std::io::stdout(),
            );
            Ok(ToolExit::Done)
        }
    };
    match result {
        Ok(exit) => ExitCode::from(exit as u8),
        Err(error) => {
            eprintln!("curlewcleat: {error:#}");
            ExitCode::from(ToolExit::Unreachable as u8)
        }
    }
}
