//! Takes a changed settings file over while the daemon runs.
//!
//! Owns: the settings file as read last. Relies on: SIGHUP, or the file's time of change.

use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use anyhow::{Context, Result};
use curlewcleat_config::{check_settings, DaemonSettings};
use curlewcleat_node::NodeEvent;
use spdlog::prelude::*;
use tokio::signal::unix::{signal, SignalKind};

use crate::context::DaemonContext;

/// Time between looks at the file, which may change without a signal.
const LOOK_EVERY: Duration = Duration::from_secs(2);

/// Watches the settings file of a daemon.
pub struct SettingsReloader {
    path: PathBuf,
    settings: DaemonSettings,
    modified: Option<SystemTime>,
}

impl SettingsReloader {
    /// A watcher of the file from which `settings` were read.
    pub fn new(settings: DaemonSettings, path: &Path) -> SettingsReloader {
        let modified = modified(path);
        SettingsReloader { path: path.to_path_buf(), settings, modified }
    }

    /// Begins to watch.
    ///
    /// # Errors
    /// Where the signal cannot be taken.
    pub fn follow(mut self, context: DaemonContext) -> Result<()> {
        let mut hangup = signal(SignalKind::hangup()).context("signals")?;
        actix_rt::spawn(async move {
            loop {
                let signalled = tokio::select! {
                    _ = hangup.recv() => true,
                    _ = tokio::time::sleep(LOOK_EVERY) => false,
                };
                let modified = modified(&self.path);
                if signalled || modified != self.modified {
                    self.modified = modified;
                    self.reload(&context);
                }
            }
        });
        Ok(())
    }

    /// Takes over what may change in a running daemon. A file with faults changes nothing.
    fn reload(&mut self, context: &DaemonContext) {
        let name = self.path.display().to_string();
        let text = match std::fs::read_to_string(&self.path) {
            Ok(text) => text,
            Err(error) => {
                return error!("settings_unreadable", kv: { error = error.to_string() });
            }
        };
        let settings = match check_settings(&name, &text) {
            Ok(settings) => settings,
            Err(report) => {
                return error!("settings_invalid", kv: { problems = report.to_string() });
            }
        };
        context.set_bounds(settings.bounds.clone());
        context.tell(NodeEvent::SeedsChanged(settings.seeds.clone()));
        let restart = needs_restart(&self.settings, &settings);
        info!("settings_reloaded", kv: { needs_restart = restart });
        self.settings = settings;
    }
}

/// Whether something changed that only a restart puts in force: all but bounds and seeds.
fn needs_restart(before: &DaemonSettings, after: &DaemonSettings) -> bool {
    let same = DaemonSettings {
        bounds: after.bounds.clone(),
        seeds: after.seeds.clone(),
        ..before.clone()
    };
    same != *after
}

fn modified(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|metadata| metadata.modified()).ok()
}
