//! Faults of the links from single daemons to the engines, to the other daemons and to the store.
//!
//! All processes of a test share one loopback interface, so a link that fails for one of them only is simulated inside
//! its process, by a small library (`link_fault/link_fault.c`) that the system's loader adds to it.
//!
//! Owns: the library and the files through which the faults are set. Relies on: engines with addresses from
//! [`free_engine_address`](crate::address::free_engine_address) and
//! daemons with those of [`daemon_ip`](crate::address::daemon_ip).

use std::path::{Path, PathBuf};
use std::process::Command;

use anyhow::{bail, Context, Result};

use crate::address::lock_probe_or_spawn;

/// Source of the library.
const SOURCE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/link_fault/link_fault.c");
/// Variable with which the library finds its file.
const FILE_VARIABLE: &str = "LINK_FAULT";
/// Byte that makes the links to all daemons silent.
const SILENT_TO_DAEMONS: u8 = b'd';
/// Byte that makes the link to the store silent.
const SILENT_TO_STORE: u8 = b's';
/// Byte that makes the links to the first daemon silent; those of the others follow on it.
const SILENT_TO_FIRST_DAEMON: u8 = b'1';

/// A fault of the links from one daemon to all engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineLinkFault {
    /// No fault.
    None,
    /// New connections hang, and nothing arrives on open ones in either direction.
    Silent,
    /// New connections are refused, and open ones are reset.
    Reset,
    /// New connections are refused, and open ones work.
    RefuseNew,
    /// Like [`Silent`](EngineLinkFault::Silent), but only for the engines with even ports.
    SilentForHalf,
}

impl EngineLinkFault {
    /// Returns the byte that sets the fault in the library.
    fn code(self) -> u8 {
        match self {
            EngineLinkFault::None => b'-',
            EngineLinkFault::Silent => b'h',
            EngineLinkFault::Reset => b'r',
            EngineLinkFault::RefuseNew => b'n',
            EngineLinkFault::SilentForHalf => b'p',
        }
    }
}

/// Sets the link faults of daemons.
pub struct EngineLinks {
    folder: PathBuf,
    library: PathBuf,
    loader_variable: String,
}

impl EngineLinks {
    /// Compiles the library into a folder. `loader_variable` names the variable in which the system's loader expects
    /// additional libraries.
    ///
    /// # Errors
    /// Fails if there is no C compiler.
    pub fn build(folder: &Path, loader_variable: &str) -> Result<EngineLinks> {
        let library = folder.join("link_fault.so");
        let mut compiler = Command::new("cc");
        compiler.args(["-shared", "-fPIC", "-O1", "-o"]).args([
            library.as_os_str(),
            SOURCE.as_ref(),
            "-ldl".as_ref(),
        ]);
        let mut process = {
            let _guard = lock_probe_or_spawn();
            compiler.spawn().context("link faults: start the C compiler")?
        };
        if !process.wait()?.success() {
            bail!("link faults: the library does not compile");
        }
        let loader_variable = loader_variable.to_string();
        Ok(EngineLinks { folder: folder.to_path_buf(), library, loader_variable })
    }

    /// Returns the variables for a daemon's process.
    ///
    /// # Errors
    /// Fails if the daemon's file cannot be written.
    pub fn variables(&self, daemon: &str) -> Result<Vec<(String, String)>> {
        if !self.file(daemon).exists() {
            self.set(daemon, EngineLinkFault::None)?;
        }
        let variable = |name: &str, path: &Path| (name.to_string(), path.display().to_string());
        Ok(vec![
            variable(&self.loader_variable, &self.library),
            variable(FILE_VARIABLE, &self.file(daemon)),
        ])
    }

    /// Sets the fault of a daemon's links.
    ///
    /// # Errors
    /// Fails if the daemon's file cannot be written.
    pub fn set(&self, daemon: &str, fault: EngineLinkFault) -> Result<()> {
        self.write_code(daemon, fault.code())
    }

    /// Cuts the daemon with this index off from the others of a fleet of `daemons`, in both directions. Ends other
    /// faults; [`EngineLinkFault::None`], set for each daemon, ends this one.
    ///
    /// # Errors
    /// Fails if a daemon's file cannot be written.
    pub fn cut_off(&self, index: usize, daemons: usize) -> Result<()> {
        let towards = SILENT_TO_FIRST_DAEMON + u8::try_from(index)?;
        (0..daemons).try_for_each(|daemon| {
            let code = if daemon == index { SILENT_TO_DAEMONS } else { towards };
            self.write_code(&format!("vm-{daemon}"), code)
        })
    }

    /// Cuts a daemon off from the store, where the store has the address of
    /// [`FleetDeployment::use_separate_store`](super::FleetDeployment::use_separate_store). Ends other faults.
    ///
    /// # Errors
    /// Fails if the daemon's file cannot be written.
    pub fn cut_off_from_store(&self, daemon: &str) -> Result<()> {
        self.write_code(daemon, SILENT_TO_STORE)
    }

    fn write_code(&self, daemon: &str, code: u8) -> Result<()> {
        // The library maps the file, so it is changed in place and never truncated.
        let mut options = std::fs::OpenOptions::new();
        let file = options.create(true).write(true).truncate(false).open(self.file(daemon))?;
        std::os::unix::fs::FileExt::write_all_at(&file, &[code], 0)?;
        Ok(())
    }

    fn file(&self, daemon: &str) -> PathBuf {
        self.folder.join(format!("{daemon}.link"))
    }
}
