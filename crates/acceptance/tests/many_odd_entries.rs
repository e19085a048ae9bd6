//! Ten thousand odd entries of another writer beside sound ones: real daemons follow the sound ones in time, and use
//! little memory, processor time and log.
//!
//! It has a file of its own so that no other daemons run beside it, which would take its processor time.

#[path = "odd_objects/objects.rs"]
mod objects;
mod support;

use std::time::{Duration, Instant};

use anyhow::Result;
use curlewcleat_platform::names::SERVERS;
use curlewcleat_standins::deployment::{get_json, wait_until};
use curlewcleat_standins::fleet::FleetDeployment;

use objects::odd_objects;
use support::{entry_daemons, load, wait_served};

const POOL: &str = "records";
/// A service that gets no requests.
const OTHER_POOL: &str = "engines";
const PATH: &str = "/once/open/a";
const DAEMONS: usize = 3;
/// Objects on a page of the store.
const PAGE_SIZE: usize = 500;
/// Sound entries, and odd ones beside them.
const SOUND_ENTRIES: usize = 300;
const ODD_ENTRIES: usize = 10_000;
/// Longest of these odd entries in bytes; ten thousand long ones would be more than a store holds.
const ODD_BYTES: usize = 1_000;
/// Time that an engine takes for a record.
const RECORD_TIME: Duration = Duration::from_millis(10);
/// Settings of the daemons with these bounds.
const BOUNDS: &str = "retry_saved = 100\nretry_ratio = 0.5";
/// Time within which daemons follow targets that appear: the required bound.
const LEAVE_LIMIT: Duration = Duration::from_secs(2);
/// Most memory of a daemon in kB: the smallest that a VM gives it.
const MEMORY_LIMIT: u64 = 110_000;
/// Most log lines about odd entries: a hundredth of their number.
const LINE_LIMIT: usize = ODD_ENTRIES / 100;

fn processes(fleet: &FleetDeployment) -> impl Iterator<Item = u32> + '_ {
    fleet.daemons.iter().map(|daemon| daemon.process.id())
}

/// What a process uses.
#[derive(Clone, Copy, Debug)]
struct ProcessUsage {
    /// Resident memory in kB.
    resident: u64,
    /// Processor time since its start.
    time: Duration,
}

fn usage(process: u32) -> Result<ProcessUsage> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status"))?;
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let resident = resident.and_then(|text| text.split_whitespace().next()?.parse().ok());
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat"))?;
    // The fields after the name of the program, which is in brackets, begin with the third.
    let fields: Vec<&str> =
        stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks: u64 = fields[11..13].iter().filter_map(|text| text.parse::<u64>().ok()).sum();
    Ok(ProcessUsage { resident: resident.unwrap_or(0), time: Duration::from_millis(ticks * 10) })
}

/// Returns the number of sound entries that a daemon knows.
async fn known_entries(fleet: &FleetDeployment, daemon: usize) -> Result<usize> {
    let status = get_json(&fleet.daemons[daemon].operators, "/status").await?.to_string();
    Ok(status.matches("\"id\":\"sound-").count())
}

/// Other writers leave ten thousand odd entries beside sound ones.
#[actix_rt::test]
async fn many_odd_entries_cost_little_and_hide_no_engine() -> Result<()> {
    let mut fleet = FleetDeployment::start("odd-many").await?;
    fleet.store.set_page_size(PAGE_SIZE);
    fleet.store_config()?;
    for _ in 0..3 {
        fleet.engine(POOL, 3, RECORD_TIME).await?;
    }
    for number in 0..SOUND_ENTRIES {
        fleet.announce(&format!("sound-{number}"), OTHER_POOL, "127.0.0.1:9", "ready")?;
    }
    fleet.daemons(DAEMONS, BOUNDS).await?;
    wait_served(&fleet, PATH).await?;
    let before: Vec<_> = processes(&fleet).map(usage).collect::<Result<_>>()?;
    let begun = Instant::now();
    let odd = odd_objects().filter(|object| object.kind == SERVERS);
    let odd: Vec<_> = odd.filter(|object| object.content.len() < ODD_BYTES).collect();
    for number in 0..ODD_ENTRIES {
        let odd = &odd[number % odd.len()];
        fleet.store.put_raw(SERVERS, &format!("{}-{number}", odd.name), &odd.content);
    }
    fleet.announce("sound-new", OTHER_POOL, "127.0.0.1:9", "ready")?;
    let written = Instant::now();
    for daemon in 0..DAEMONS {
        wait_until("the new entry", || async {
            known_entries(&fleet, daemon).await.is_ok_and(|count| count == SOUND_ENTRIES + 1)
        })
        .await?;
    }
    assert!(written.elapsed() < LEAVE_LIMIT, "followed after {:?}", written.elapsed());
    let results = load(entry_daemons(&fleet), PATH, Duration::from_secs(3)).await;
    assert!(results.iter().all(|result| result.status == 200), "{results:?}");
    for (daemon, (process, before)) in processes(&fleet).zip(before).enumerate() {
        let now = usage(process)?;
        let lines = fleet.log(daemon)?.lines().filter(|line| line.contains("\"entry_")).count();
        println!("daemon {daemon}: {before:?}, then {now:?}, {lines} lines");
        assert!(now.resident < MEMORY_LIMIT, "{now:?}");
        assert!(now.time - before.time < begun.elapsed() / 2, "{now:?}");
        assert!(lines < LINE_LIMIT, "{lines} lines");
    }
    let ended: Vec<_> = fleet.daemons.iter_mut().filter_map(|it| it.process.ended()).collect();
    assert!(ended.is_empty(), "{ended:?}");
    Ok(())
}
