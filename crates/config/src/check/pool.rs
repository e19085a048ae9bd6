//! Reads the section of a pool.
//!
//! Owns: the ranges of a pool's keys. Relies on: `defaults` for missing values, `reader` for values and the report of
//! problems.

use curlewcleat_core::{PoolId, PoolKind, TargetLimits, TargetPool};

use super::defaults::default_pool;
use crate::problem::CheckReport;
use crate::reader::IniSection;

/// Reads a pool; its targets have sections of their own and are added later.
pub fn read_target_pool(
    id: PoolId,
    section: &mut IniSection<'_>,
    report: &mut CheckReport,
) -> TargetPool {
    let defaults = default_pool(id, read_pool_kind(section, report));
    let (queue_limit, cached_prefixes) =
        (defaults.queue_limit.into(), defaults.cached_prefixes.into());
    let (prompt_token, output_token) = (defaults.prompt_token_us, defaults.output_token_us);
    TargetPool {
        not_started_status: read_not_started_status(section, report),
        queue_limit: section.number("queue_limit", queue_limit, 1..=1_000_000, report) as u32,
        reserve_percent: section.number("reserve_percent", 0, 0..=90, report) as u32,
        cached_prefixes: section.number("cached_prefixes", cached_prefixes, 0..=100_000, report)
            as u32,
        prompt_token_us: section.number("prompt_token_us", prompt_token, 0..=1_000_000, report),
        output_token_us: section.number("output_token_us", output_token, 0..=1_000_000, report),
        base_us: section.number("base_us", defaults.base_us, 1..=600_000_000, report),
        limits: read_target_limits(defaults.limits, section, report),
        end_event: section.text("end_event").filter(|text| !text.is_empty()),
        resumable: section.flag("resumable", false, report),
        reuse_connections: section.flag("reuse_connections", false, report),
        connection_limit: read_connection_limit(section, report),
        report_path: read_report_path(section, report),
        ..defaults
    }
}

fn read_target_limits(
    defaults: TargetLimits,
    section: &mut IniSection<'_>,
    report: &mut CheckReport,
) -> TargetLimits {
    TargetLimits {
        connect: section.duration("connect_limit", defaults.connect, report),
        first_byte: section.duration("first_byte_limit", defaults.first_byte, report),
        between_bytes: section.duration("between_bytes_limit", defaults.between_bytes, report),
    }
}

/// Reads the maximum number of connections to a target; 0 for no limit.
fn read_connection_limit(section: &mut IniSection<'_>, report: &mut CheckReport) -> Option<u32> {
    let limit = section.number("connection_limit", 0, 0..=1 << 20, report) as u32;
    (limit > 0).then_some(limit)
}

fn read_report_path(section: &mut IniSection<'_>, report: &mut CheckReport) -> Option<String> {
    let path = section.text("report_path").filter(|text| !text.is_empty());
    if path.as_ref().is_some_and(|path| !path.starts_with('/')) {
        section.report_problem("report_path", "should begin with /, such as /report", report);
    }
    path
}

fn read_pool_kind(section: &mut IniSection<'_>, report: &mut CheckReport) -> PoolKind {
    match section.required("kind", report).as_str() {
        "engine" => PoolKind::Engine,
        "service" | "" => PoolKind::Service,
        other => {
            section.report_problem(
                "kind",
                format!("'{other}' should be engine or service"),
                report,
            );
            PoolKind::Service
        }
    }
}

/// Reads the status with which a target reports that it did not start a request; 0 for none.
fn read_not_started_status(section: &mut IniSection<'_>, report: &mut CheckReport) -> Option<u16> {
    let status = section.number("not_started_status", 0, 0..=599, report) as u16;
    if status != 0 && status < 400 {
        let message = format!("'{status}' should be 0 or a status from 400 to 599");
        section.report_problem("not_started_status", message, report);
    }
    (status > 0).then_some(status)
}
