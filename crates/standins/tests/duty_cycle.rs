//! Processes that run in turns.

use std::path::Path;
use std::time::Duration;

use curlewcleat_standins::deployment::{create_temp_folder, spawn, ChildProcess};
use curlewcleat_standins::duty_cycle::{DutyCycle, DutyPattern};

const SAMPLES: usize = 300;
const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);
/// State that the system reports of a stopped process.
const STOPPED: char = 'T';

fn weak() -> DutyPattern {
    let standstill = Duration::from_millis(20)..Duration::from_millis(60);
    DutyPattern { run_share: 0.25, standstill }
}

fn start_process(name: &str) -> ChildProcess {
    let folder = create_temp_folder("duty").expect("a folder");
    spawn(Path::new("sleep"), "", "", &folder, name, &["60"]).expect("a process")
}

fn is_stopped(process: &ChildProcess) -> bool {
    let text = std::fs::read_to_string(format!("/proc/{}/stat", process.id())).expect("a state");
    let (_, state) = text.rsplit_once(") ").expect("a state behind the name");
    state.starts_with(STOPPED)
}

/// Returns how many of the samples saw each process stopped.
fn stopped_samples(processes: &[ChildProcess]) -> Vec<usize> {
    let mut counts = vec![0; processes.len()];
    for _ in 0..SAMPLES {
        for (count, process) in counts.iter_mut().zip(processes) {
            *count += usize::from(is_stopped(process));
        }
        std::thread::sleep(SAMPLE_INTERVAL);
    }
    counts
}

#[test]
fn given_processes_run_in_turns_and_others_without_interruption() {
    let processes = ["first", "second", "other"].map(start_process);
    let cycle = DutyCycle::start(1, weak());
    cycle.add(&processes[0], 0).expect("added");
    cycle.add(&processes[1], 1).expect("added");
    let counts = stopped_samples(&processes);
    let is_most = |count: usize| count * 2 > SAMPLES && count < SAMPLES;
    assert!(is_most(counts[0]) && is_most(counts[1]) && counts[2] == 0, "{counts:?}");
}

/// Guards against processes that stay stopped once nothing continues them.
#[test]
fn no_process_is_left_stopped() {
    let processes = ["removed", "closed", "dropped"].map(start_process);
    let (closed, dropped) = (DutyCycle::start(1, weak()), DutyCycle::start(2, weak()));
    closed.add(&processes[0], 0).expect("added");
    closed.add(&processes[1], 1).expect("added");
    dropped.add(&processes[2], 0).expect("added");
    std::thread::sleep(SAMPLE_INTERVAL);
    closed.remove(processes[0].id());
    closed.close();
    drop(dropped);
    assert_eq!(stopped_samples(&processes), [0, 0, 0]);
}

#[test]
fn process_that_ends_does_not_disturb_the_others() {
    let mut processes = ["killed", "other"].map(start_process);
    let cycle = DutyCycle::start(1, weak());
    cycle.add(&processes[0], 0).expect("added");
    cycle.add(&processes[1], 1).expect("added");
    processes[0].kill();
    assert!(stopped_samples(&processes[1..])[0] * 2 > SAMPLES);
}
