//! Limits the processor time of a process as on a VM with part of a core: it is stopped and continued in turns.
//!
//! Owns: the thread that signals the process. Relies on: a process that its owner reaps only after
//! [`ProcessThrottle::close`], so that its id is not used again meanwhile.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use anyhow::{anyhow, Result};
use rustix::process::{kill_process, Pid, Signal};

use crate::deployment::ChildProcess;

/// Share of a core that a process gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessorShare {
    /// Time between two starts of the process.
    pub period: Duration,
    /// Part of the period in which it runs.
    pub run_time: Duration,
}

/// Stops and continues a process until it is closed or dropped.
pub struct ProcessThrottle {
    process: Pid,
    closed: Arc<AtomicBool>,
    /// `None` once it has ended.
    thread: Option<JoinHandle<()>>,
}

impl ProcessThrottle {
    /// Begins to limit a process. `offset` is the time until it runs for the first time.
    ///
    /// # Errors
    /// Fails if the process has no valid id.
    pub fn start(
        process: &ChildProcess,
        share: ProcessorShare,
        offset: Duration,
    ) -> Result<ProcessThrottle> {
        let id = i32::try_from(process.id()).ok().and_then(Pid::from_raw);
        let process = id.ok_or_else(|| anyhow!("throttle: {} has no process id", process.name))?;
        let closed = Arc::new(AtomicBool::new(false));
        let is_closed = Arc::clone(&closed);
        let thread = std::thread::spawn(move || run_in_turns(process, share, offset, &is_closed));
        Ok(ProcessThrottle { process, closed, thread: Some(thread) })
    }

    /// Lets the process run without a limit again.
    pub fn close(mut self) {
        self.stop();
    }

    fn stop(&mut self) {
        self.closed.store(true, Ordering::Relaxed);
        let Some(thread) = self.thread.take() else { return };
        // The thread only panics on a clock that runs backwards; the process continues in any case.
        let _ = thread.join();
        signal(self.process, Signal::CONT);
    }
}

impl Drop for ProcessThrottle {
    fn drop(&mut self) {
        self.stop();
    }
}

fn run_in_turns(process: Pid, share: ProcessorShare, offset: Duration, closed: &AtomicBool) {
    let mut run_from = Instant::now() + offset;
    signal(process, Signal::STOP);
    while !closed.load(Ordering::Relaxed) {
        sleep_until(run_from);
        signal(process, Signal::CONT);
        sleep_until(run_from + share.run_time);
        signal(process, Signal::STOP);
        run_from += share.period;
    }
}

fn sleep_until(moment: Instant) {
    std::thread::sleep(moment.saturating_duration_since(Instant::now()));
}

/// Sends a signal to a process. One that has been killed by its test is not reaped yet, so the signal has no effect.
fn signal(process: Pid, signal: Signal) {
    // The process may also have ended by itself, which its test notices.
    let _ = kill_process(process, signal);
}
