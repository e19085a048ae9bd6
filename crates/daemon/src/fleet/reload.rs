//! Reloads a changed settings file while the daemon runs.
//!
//! Owns: the settings read last. Relies on: SIGHUP, or the file's modification time.

use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use anyhow::{Context, Result};
use curlewcleat_config::{check_settings, DaemonSettings};
use curlewcleat_node::NodeEvent;
use spdlog::prelude::*;
use tokio::signal::unix::{signal, SignalKind};

use crate::context::DaemonContext;

/// Interval at which the file is checked, as it may change without a signal.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Watches a daemon's settings file and applies its changes.
pub struct SettingsReloader {
    path: PathBuf,
    settings: DaemonSettings,
    modified: Option<SystemTime>,
}

impl SettingsReloader {
    /// Creates a watcher of the file from which `settings` were read.
    pub fn new(settings: DaemonSettings, path: &Path) -> SettingsReloader {
        let modified = modified(path);
        SettingsReloader { path: path.to_path_buf(), settings, modified }
    }

    /// Starts the task that watches the file.
    ///
    /// # Errors
    /// If the signal handler cannot be installed.
    pub fn follow(mut self, context: DaemonContext) -> Result<()> {
        let mut hangup = signal(SignalKind::hangup()).context("signals")?;
        actix_rt::spawn(async move {
            loop {
                let signalled = tokio::select! {
                    _ = hangup.recv() => true,
                    _ = tokio::time::sleep(CHECK_INTERVAL) => false,
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

    /// Applies the settings that may change in a running daemon. An invalid file changes nothing.
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
        context.send_event(NodeEvent::SeedsChanged(settings.seeds.clone()));
        let restart = needs_restart(&self.settings, &settings);
        info!("settings_reloaded", kv: { needs_restart = restart });
        self.settings = settings;
    }
}

/// Returns whether a setting changed that takes effect only after a restart: any except bounds and seeds.
fn needs_restart(before: &DaemonSettings, after: &DaemonSettings) -> bool {
    let with_new_reloadable = DaemonSettings {
        bounds: after.bounds.clone(),
        seeds: after.seeds.clone(),
        ..before.clone()
    };
    with_new_reloadable != *after
}

fn modified(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|metadata| metadata.modified()).ok()
}
