//! Reads and checks the daemon's settings file, an INI file.
//!
//! Owns: names, ranges and defaults of the daemon's settings. Relies on: `bounds` for the section of that name, `reader`
//! for sections and values.

mod bounds;

use std::time::Duration;

use serde::Serialize;

pub use self::bounds::{FleetBounds, RolloutBounds};

use self::bounds::read_bounds;
use crate::problem::CheckReport;
use crate::reader::{IniFile, IniSection};

/// Smallest memory limit in bytes. A smaller one is a mistake in the unit.
const MIN_MEMORY_LIMIT: u64 = 1 << 20;

/// The settings of a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct DaemonSettings {
    /// Name of this VM, as the platform lists it.
    pub vm: String,
    /// Data centre of this VM.
    pub data_centre: String,
    /// Processor capacity of this VM in percent of a core; the daemons on the strongest VMs are the schedulers.
    pub capacity_percent: u32,
    /// Link speed of this VM in kilobits per second; limits to how many peers a configuration is sent at the same time.
    pub link_kbit_per_s: u64,
    /// Memory of this VM in bytes, of which a part may be held for slow readers; `None` for no limit on it.
    pub memory_limit: Option<u64>,
    /// `ip:port` for callers.
    pub caller_address: String,
    /// `ip:port` for operators: health, status and metrics.
    pub operator_address: String,
    /// Number of threads that serve callers.
    pub workers: usize,
    /// Maximum number of requests held at the same time.
    pub request_limit: usize,
    /// Maximum number of connections from callers held at the same time, per thread.
    pub connection_limit: usize,
    /// Time within which a caller must send the head of a request.
    pub head_limit: Duration,
    /// Time for which a caller may leave a part of its answer unread.
    pub stall_limit: Duration,
    /// Time during a drain from the first failing health check to the refusal of new requests.
    pub drain_grace: Duration,
    /// `ip:port` on which this daemon listens for peers.
    pub peer_address: String,
    /// `ip:port` at which peers reach this daemon, if it differs from the one that is bound.
    pub advertised_address: String,
    /// Port, the same on all VMs, at which each daemon makes connections to targets for peers that have lost their own
    /// links; `None` for no such connections.
    pub relay_port: Option<u16>,
    /// `ip:port` of the peers to contact first.
    pub seeds: Vec<String>,
    /// Time between heartbeats.
    pub beat: Duration,
    /// Time without heartbeats after which a peer counts as unreachable.
    pub suspect_after: Duration,
    /// `ip:port` of the platform's object API.
    pub platform_address: String,
    /// Time without any bytes of the answer after which a call to the object API fails.
    pub platform_limit: Duration,
    /// Number of slots of the key table, used if this daemon creates the table.
    pub key_slots: u16,
    /// Time for which keys are kept; callers must not retry for longer than half of it.
    pub key_retention: Duration,
    /// Maximum number of keys held.
    pub key_limit: usize,
    /// Minimum level of log lines: debug, info, warn or error.
    pub log_level: String,
    /// Which platform the daemon runs on.
    pub platform_kind: PlatformKind,
    /// Time to wait for the first response of a scheduler before the request is sent to it again.
    pub ask_limit: Duration,
    /// Requests sent to an unresponsive scheduler before the next one is tried.
    pub ask_tries: u32,
    /// Weight of work against age in the order of waiting requests of one account and tier: how much age makes up for a
    /// unit of work. 0 serves the oldest request first, a large number the shortest.
    pub age_per_work: u64,
    /// Whether placement uses what targets state of their load.
    pub uses_stated_loads: bool,
    /// Whether schedulers book when refused callers return, so that there is room for them.
    pub books_returns: bool,
    /// Bounds that the platform promises its users, for the daemons of a fleet.
    pub bounds: FleetBounds,
}

/// Which platform a daemon runs on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum PlatformKind {
    /// The product's own object API, with files that `curlewcleat apply` stores.
    Files,
    /// A platform that stores the configuration itself and on which targets register themselves.
    Fleet,
}

/// Reads and checks a settings file.
///
/// # Errors
/// All problems found.
pub fn check_settings(name: &str, text: &str) -> Result<DaemonSettings, CheckReport> {
    let mut report = CheckReport::default();
    let file = IniFile::parse(name, text, &mut report);
    let mut settings = defaults();
    let mut titles = Vec::new();
    for section in file.sections() {
        if titles.contains(&section.title()) {
            section.report_problem("", "occurs twice; keep one section", &mut report);
        }
        titles.push(section.title());
        read_section(section, &mut settings, &mut report);
    }
    for title in ["vm", "callers", "operators", "peers", "platform"] {
        if !titles.contains(&title) {
            report.add(name, title, "", "the section is missing; it is required");
        }
    }
    if settings.suspect_after < settings.beat * 3 {
        report.add(
            name,
            "peers",
            "suspect_after",
            "should be at least three beats (three times the value of beat)",
        );
    }
    report.into_result(settings)
}

fn defaults() -> DaemonSettings {
    DaemonSettings {
        vm: String::new(),
        data_centre: String::new(),
        capacity_percent: 100,
        link_kbit_per_s: 1_000_000,
        memory_limit: None,
        caller_address: String::new(),
        operator_address: String::new(),
        workers: 2,
        request_limit: 20_000,
        connection_limit: 10_000,
        head_limit: Duration::from_secs(5),
        stall_limit: Duration::from_secs(60),
        drain_grace: Duration::from_secs(2),
        peer_address: String::new(),
        advertised_address: String::new(),
        relay_port: None,
        seeds: Vec::new(),
        beat: Duration::from_millis(500),
        suspect_after: Duration::from_secs(2),
        platform_address: String::new(),
        platform_limit: Duration::from_secs(3),
        key_slots: 64,
        key_retention: Duration::from_secs(3_600),
        key_limit: 1_000_000,
        log_level: "info".to_string(),
        platform_kind: PlatformKind::Files,
        ask_limit: Duration::from_millis(250),
        ask_tries: 2,
        age_per_work: 32,
        uses_stated_loads: false,
        books_returns: false,
        bounds: FleetBounds::default(),
    }
}

fn read_section(
    mut section: IniSection<'_>,
    settings: &mut DaemonSettings,
    report: &mut CheckReport,
) {
    match section.title() {
        "vm" => read_vm(&mut section, settings, report),
        "callers" => read_callers(&mut section, settings, report),
        "operators" => {
            settings.operator_address = section.address("address", report);
            read_log_level(&mut section, settings, report);
        }
        "peers" => read_peers(&mut section, settings, report),
        "scheduling" => {
            settings.age_per_work =
                section.number("age_per_work", settings.age_per_work, 0..=1_000, report);
            settings.uses_stated_loads =
                section.flag("stated_loads", settings.uses_stated_loads, report);
            settings.books_returns = section.flag("book_returns", settings.books_returns, report);
        }
        "bounds" => read_bounds(&mut section, &mut settings.bounds, report),
        "platform" => read_platform(&mut section, settings, report),
        "keys" => {
            settings.key_slots = section.number("slots", 64, 0..=4_096, report) as u16;
            settings.key_retention = section.duration("retention", settings.key_retention, report);
            settings.key_limit =
                section.number("limit", 1_000_000, 1..=100_000_000, report) as usize;
        }
        title => {
            let message = format!(
                "'{title}' is not known; known sections are vm, callers, operators, peers, platform, \
                 keys, scheduling, bounds"
            );
            section.report_problem("", message, report);
            return;
        }
    }
    section.finish(report);
}

fn read_vm(section: &mut IniSection<'_>, settings: &mut DaemonSettings, report: &mut CheckReport) {
    settings.vm = section.required("name", report);
    settings.data_centre = section.required("data_centre", report);
    let cores = section.number_rounded_down("cores", 1, 1..=1_024, report);
    let share = section.percent("core_share", 100, report);
    settings.capacity_percent = u32::try_from(cores * share).unwrap_or(u32::MAX);
    settings.link_kbit_per_s = section.thousandths("link_mbps", settings.link_kbit_per_s, report);
    settings.memory_limit = section.bytes("memory_limit", MIN_MEMORY_LIMIT, report);
}

fn read_callers(
    section: &mut IniSection<'_>,
    settings: &mut DaemonSettings,
    report: &mut CheckReport,
) {
    settings.caller_address = section.address("address", report);
    settings.workers = section.number("workers", 2, 1..=64, report) as usize;
    settings.request_limit =
        section.number("request_limit", 20_000, 1..=1_000_000, report) as usize;
    settings.connection_limit =
        section.number("connection_limit", 10_000, 1..=1_000_000, report) as usize;
    settings.head_limit = section.duration("head_limit", settings.head_limit, report);
    settings.stall_limit = section.duration("stall_limit", settings.stall_limit, report);
    settings.drain_grace = section.duration("drain_grace", settings.drain_grace, report);
}

fn read_peers(
    section: &mut IniSection<'_>,
    settings: &mut DaemonSettings,
    report: &mut CheckReport,
) {
    settings.peer_address = section.address("address", report);
    settings.advertised_address = match section.text("advertised_address") {
        Some(_) => section.address("advertised_address", report),
        None => settings.peer_address.clone(),
    };
    if section.text("relay_port").is_some() {
        settings.relay_port = Some(section.number("relay_port", 0, 1..=65_535, report) as u16);
    }
    settings.seeds = read_seeds(section, report);
    settings.beat = section.duration("beat", settings.beat, report);
    settings.suspect_after = section.duration("suspect_after", settings.suspect_after, report);
    settings.ask_limit = section.duration("ask_limit", settings.ask_limit, report);
    settings.ask_tries = section.number("ask_tries", 2, 1..=10, report) as u32;
}

fn read_platform(
    section: &mut IniSection<'_>,
    settings: &mut DaemonSettings,
    report: &mut CheckReport,
) {
    settings.platform_address = section.address("address", report);
    settings.platform_limit = section.duration("call_limit", settings.platform_limit, report);
    settings.platform_kind = match section.text("kind").as_deref() {
        None | Some("files") => PlatformKind::Files,
        Some("fleet") => PlatformKind::Fleet,
        Some(other) => {
            section.report_problem("kind", format!("'{other}' should be files or fleet"), report);
            PlatformKind::Files
        }
    };
}

fn read_log_level(
    section: &mut IniSection<'_>,
    settings: &mut DaemonSettings,
    report: &mut CheckReport,
) {
    let Some(level) = section.text("log_level") else { return };
    if !["debug", "info", "warn", "error"].contains(&level.as_str()) {
        section.report_problem(
            "log_level",
            format!("'{level}' should be debug, info, warn or error"),
            report,
        );
    }
    settings.log_level = level;
}

fn read_seeds(section: &mut IniSection<'_>, report: &mut CheckReport) -> Vec<String> {
    // Seeds are optional.
    let text = section.text("seeds").unwrap_or_default();
    let seeds: Vec<String> =
        text.split(',').map(|seed| seed.trim().to_string()).filter(|s| !s.is_empty()).collect();
    for seed in &seeds {
        if seed.parse::<std::net::SocketAddr>().is_err() {
            section.report_problem(
                "seeds",
                format!("'{seed}' should be an IP number and port, such as 10.0.0.1:9000"),
                report,
            );
        }
    }
    seeds
}
