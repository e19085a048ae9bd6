//! Lets processes run in turns, as on VMs with a small part of a core: each runs for a moment and stands still for
//! a longer one, of drawn lengths.
//!
//! Owns: the thread that signals all processes. Relies on: handles of processes that stay with their process, so that
//! no other one that has got its id is signalled.

use std::collections::BTreeMap;
use std::ops::Range;
use std::os::fd::OwnedFd;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use anyhow::{anyhow, Context, Result};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rustix::process::{pidfd_open, pidfd_send_signal, Pid, PidfdFlags, Signal};

use crate::deployment::ChildProcess;

/// Id of a process.
pub type ProcessId = u32;

/// How processes stand still.
#[derive(Clone, Debug, PartialEq)]
pub struct DutyPattern {
    /// Part of its time in which a process runs, above 0 and below 1.
    pub run_share: f64,
    /// Range of the length of a standstill.
    pub standstill: Range<Duration>,
}

impl DutyPattern {
    /// Draws the length of a standstill and the time for which the process runs after it.
    fn draw(&self, random: &mut StdRng) -> (Duration, Duration) {
        let standstill = random.random_range(self.standstill.clone());
        (standstill, standstill.mul_f64(self.run_share / (1.0 - self.run_share)))
    }
}

/// A process that runs in turns.
struct CycledProcess {
    handle: OwnedFd,
    random: StdRng,
    is_stopped: bool,
    /// When it is stopped or continued next.
    next_change: Instant,
    /// Time for which it runs after its standstill.
    run_time: Duration,
}

/// The processes that run in turns.
#[derive(Default)]
struct CycleState {
    processes: BTreeMap<ProcessId, CycledProcess>,
    is_closed: bool,
}

#[derive(Default)]
struct SharedCycle {
    state: Mutex<CycleState>,
    changed: Condvar,
}

/// Stops and continues processes in turns until it is closed or dropped. No process is left stopped.
pub struct DutyCycle {
    seed: u64,
    shared: Arc<SharedCycle>,
    /// `None` once it has ended.
    thread: Option<JoinHandle<()>>,
}

impl DutyCycle {
    /// Starts without processes. The seed determines the lengths of their standstills.
    pub fn start(seed: u64, pattern: DutyPattern) -> DutyCycle {
        let shared = Arc::new(SharedCycle::default());
        let cycled = Arc::clone(&shared);
        let thread = std::thread::spawn(move || cycled.run(&pattern));
        DutyCycle { seed, shared, thread: Some(thread) }
    }

    /// Adds a process that was not killed before. `index` selects the sequence of its standstills, the first of which begins at once.
    ///
    /// # Errors
    /// Fails if the process has exited.
    pub fn add(&self, process: &ChildProcess, index: u64) -> Result<()> {
        let id = i32::try_from(process.id()).ok().and_then(Pid::from_raw);
        let id = id.ok_or_else(|| anyhow!("duty cycle: {} has no process id", process.name))?;
        let handle = pidfd_open(id, PidfdFlags::empty())
            .with_context(|| format!("duty cycle: {}", process.name))?;
        let cycled = CycledProcess {
            handle,
            random: StdRng::seed_from_u64(self.seed.rotate_left(32) ^ index),
            is_stopped: false,
            next_change: Instant::now(),
            run_time: Duration::ZERO,
        };
        self.shared.lock().processes.insert(process.id(), cycled);
        self.shared.changed.notify_all();
        Ok(())
    }

    /// Lets a process run without interruption again; has no effect on others than those that were added.
    pub fn remove(&self, process: ProcessId) {
        let removed = self.shared.lock().processes.remove(&process);
        if let Some(mut removed) = removed {
            removed.resume();
        }
    }

    /// Lets all processes run without interruption again.
    pub fn close(mut self) {
        self.end();
    }

    fn end(&mut self) {
        self.shared.lock().is_closed = true;
        self.shared.changed.notify_all();
        if let Some(thread) = self.thread.take() {
            // After a panic of the thread, the processes are continued below.
            let _ = thread.join();
        }
        self.shared.lock().processes.values_mut().for_each(CycledProcess::resume);
    }
}

impl Drop for DutyCycle {
    fn drop(&mut self) {
        self.end();
    }
}

impl SharedCycle {
    fn lock(&self) -> MutexGuard<'_, CycleState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Signals the processes when their turns begin and end.
    fn run(&self, pattern: &DutyPattern) {
        let mut state = self.lock();
        while !state.is_closed {
            let now = Instant::now();
            state.processes.retain(|_, process| process.next_change > now || process.turn(pattern));
            let next = state.processes.values().map(|process| process.next_change).min();
            state = match next {
                Some(next) => {
                    let wait = next.saturating_duration_since(Instant::now());
                    let waited = self.changed.wait_timeout(state, wait);
                    waited.unwrap_or_else(PoisonError::into_inner).0
                }
                None => self.changed.wait(state).unwrap_or_else(PoisonError::into_inner),
            };
        }
    }
}

impl CycledProcess {
    /// Stops or continues the process; returns whether it still exists.
    fn turn(&mut self, pattern: &DutyPattern) -> bool {
        let (signal, time) = if self.is_stopped {
            (Signal::CONT, self.run_time)
        } else {
            let (standstill, run_time) = pattern.draw(&mut self.random);
            self.run_time = run_time;
            (Signal::STOP, standstill)
        };
        self.is_stopped = !self.is_stopped;
        self.next_change = Instant::now() + time;
        pidfd_send_signal(&self.handle, signal).is_ok()
    }

    /// Continues the process. It may have exited.
    fn resume(&mut self) {
        self.is_stopped = false;
        let _ = pidfd_send_signal(&self.handle, Signal::CONT);
    }
}
