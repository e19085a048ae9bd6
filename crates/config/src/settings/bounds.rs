//! Bounds that the platform promises its users, from the section `bounds` of the settings.
//!
//! Owns: names, ranges and defaults of the bounds. Relies on: `reader` for the values.

use std::time::Duration;

use serde::Serialize;

use crate::problem::CheckReport;
use crate::reader::IniSection;

/// Bounds that the daemons of a fleet must meet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FleetBounds {
    /// Maximum age of the proof that the configuration is the newest; above it, requests with a key are refused. `None`
    /// for no limit.
    pub config_age_limit: Option<Duration>,
    /// Time within which a stored configuration must be in force.
    pub config_apply_limit: Duration,
    /// Time after which a leaving target gets no new requests.
    pub leave_limit: Duration,
    /// Time after which the targets of an evacuated data centre get no new requests; `None` if the platform has no
    /// evacuations.
    pub evacuation_limit: Option<Duration>,
    /// Time from the stop signal until the process is killed.
    pub stop_limit: Duration,
    /// Retries allowed per hundred requests of a pool, over all daemons.
    pub retry_percent: u64,
    /// Retries of a pool allowed beyond that share, over all daemons.
    pub retry_saved: u64,
    /// Time window over which retries and requests are counted.
    pub retry_window: Duration,
    /// Percentage by which an account's shared rate may be exceeded.
    pub rate_percent: u64,
    /// Units of the rate by which it may be exceeded in addition.
    pub rate_slack: u64,
    /// Time window over which the excess is counted.
    pub rate_window: Duration,
    /// Limit on the requests to a version under rollout until it has proved healthy; `None` if there are no rollouts.
    pub rollout: Option<RolloutBounds>,
}

/// Limit on a pool's requests to a version that may be faulty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct RolloutBounds {
    /// Thousandths of all requests since the rollout was ordered.
    pub share_permille: u64,
    /// Requests allowed in addition.
    pub slack: u64,
}

impl Default for FleetBounds {
    fn default() -> FleetBounds {
        FleetBounds {
            config_age_limit: None,
            config_apply_limit: Duration::from_secs(2),
            leave_limit: Duration::from_secs(2),
            evacuation_limit: None,
            stop_limit: Duration::from_secs(8),
            retry_percent: 10,
            retry_saved: 20,
            retry_window: Duration::from_secs(10),
            rate_percent: 0,
            rate_slack: 0,
            rate_window: Duration::from_secs(8),
            rollout: None,
        }
    }
}

/// Reads the section `bounds`; a bound that it does not name keeps its value.
pub(super) fn read_bounds(
    section: &mut IniSection<'_>,
    bounds: &mut FleetBounds,
    report: &mut CheckReport,
) {
    if section.text("config_age_limit").is_some() {
        let limit = section.duration("config_age_limit", Duration::from_secs(5), report);
        bounds.config_age_limit = Some(limit);
    }
    bounds.config_apply_limit =
        section.duration("config_apply_limit", bounds.config_apply_limit, report);
    bounds.leave_limit = section.duration("leave_limit", bounds.leave_limit, report);
    if section.text("evacuation_limit").is_some() {
        let limit = section.duration("evacuation_limit", Duration::from_secs(5), report);
        bounds.evacuation_limit = Some(limit);
    }
    bounds.stop_limit = section.duration("stop_limit", bounds.stop_limit, report);
    bounds.retry_percent = section.percent("retry_ratio", bounds.retry_percent, report);
    bounds.retry_window = section.duration("retry_window", bounds.retry_window, report);
    bounds.rate_percent = section.percent("rate_overshoot", bounds.rate_percent, report);
    bounds.rate_slack =
        section.number_rounded_down("rate_slack", bounds.rate_slack, 0..=1 << 40, report);
    bounds.rate_window = section.duration("rate_window", bounds.rate_window, report);
    bounds.retry_saved =
        section.number_rounded_down("retry_saved", bounds.retry_saved, 0..=1_000_000, report);
    bounds.rollout = read_rollout(section, report);
}

/// Reads the limits of rollouts; without `rollout_share` the daemon does not look for rollouts.
fn read_rollout(section: &mut IniSection<'_>, report: &mut CheckReport) -> Option<RolloutBounds> {
    section.text("rollout_share")?;
    Some(RolloutBounds {
        share_permille: section.thousandths("rollout_share", 0, report).min(1_000),
        slack: section.number_rounded_down("rollout_slack", 0, 0..=1_000_000, report),
    })
}
