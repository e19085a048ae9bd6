//! `curlewcleatd`: the daemon.
//!
//! Owns: the command line and the exit codes. Relies on: the library for everything else.

use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;

use anyhow::{Context, Result};
use clap::Parser;
use curlewcleat_config::{check_settings, PlatformKind};
use curlewcleat_platform::FleetClient;
use curlewcleat_store::HttpStore;
use curlewcleatd::{FilesAdapter, FleetAdapter, PlatformAdapter};

/// Request scheduler for unlike engines.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    /// Settings file (INI).
    #[arg(long)]
    settings: PathBuf,
    /// Check the settings, print them with all defaults and exit: 0 right, 1 wrong.
    #[arg(long)]
    check: bool,
}

fn main() -> ExitCode {
    match start() {
        Ok(code) => code,
        Err(error) => {
            eprintln!("curlewcleatd: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn start() -> Result<ExitCode> {
    let arguments = Arguments::parse();
    let name = arguments.settings.display().to_string();
    let text = std::fs::read_to_string(&arguments.settings)
        .with_context(|| format!("settings: cannot read {name}"))?;
    let settings = match check_settings(&name, &text) {
        Ok(settings) => settings,
        Err(report) => {
            report.problems.iter().for_each(|problem| eprintln!("{problem}"));
            return Ok(ExitCode::FAILURE);
        }
    };
    if arguments.check {
        println!("{settings:#?}");
        return Ok(ExitCode::SUCCESS);
    }
    curlewcleatd::start_logging(&settings.log_level)?;
    let (address, limit) = (&settings.platform_address, settings.platform_limit);
    let adapter: Box<dyn PlatformAdapter> = match settings.platform_kind {
        PlatformKind::Files => Box::new(FilesAdapter::new(Rc::new(HttpStore::new(address, limit)))),
        PlatformKind::Fleet => {
            let client = Rc::new(FleetClient::new(address, limit));
            Box::new(FleetAdapter::new(client, settings.clone(), &arguments.settings))
        }
    };
    curlewcleatd::run_daemon(settings, adapter)?;
    Ok(ExitCode::SUCCESS)
}
