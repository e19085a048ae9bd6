//! Reads the memory use of this process.
//!
//! Owns: nothing. Relies on: `/proc`.

use procfs::process::Process;

/// Returns the resident memory of this process in bytes.
///
/// # Errors
/// If `/proc` cannot be read.
pub fn resident_bytes() -> procfs::ProcResult<u64> {
    Ok(Process::myself()?.statm()?.resident * procfs::page_size())
}
