//! Memory of this process.
//!
//! Owns: nothing. Relies on: `/proc`.

use procfs::process::Process;

/// Memory of this process that is resident, in bytes.
///
/// # Errors
/// Where `/proc` cannot be read.
pub fn resident_bytes() -> procfs::ProcResult<u64> {
    Ok(Process::myself()?.statm()?.resident * procfs::page_size())
}
