//! Observes the resident memory of a process.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

const INTERVAL: Duration = Duration::from_millis(5);

/// Observes the peak of a process until it is closed.
pub struct ResidentPeak {
    stopped: Arc<AtomicBool>,
    thread: JoinHandle<u64>,
}

impl ResidentPeak {
    /// Starts to observe a process.
    pub fn start(process: u32) -> ResidentPeak {
        let stopped = Arc::<AtomicBool>::default();
        let seen = Arc::clone(&stopped);
        let thread = std::thread::spawn(move || {
            let mut peak = 0;
            while !seen.load(Ordering::Relaxed) {
                // A process that has ended has no memory; its end is noticed elsewhere.
                peak = peak.max(resident_bytes(process).unwrap_or_default());
                std::thread::sleep(INTERVAL);
            }
            peak
        });
        ResidentPeak { stopped, thread }
    }

    /// Returns the peak in bytes.
    pub fn close(self) -> u64 {
        self.stopped.store(true, Ordering::Relaxed);
        self.thread.join().expect("the observer ends")
    }
}

fn resident_bytes(process: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kilobytes: u64 = line.trim().strip_suffix(" kB")?.parse().ok()?;
    Some(kilobytes << 10)
}
