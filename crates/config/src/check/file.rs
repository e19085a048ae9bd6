//! Reads and checks one file by itself.
//!
//! Owns: the checks of a section that need no other section. Relies on: `reader` for sections and values.

use std::sync::Arc;
use std::time::Duration;

use curlewcleat_core::{
    AdmissionRule, ClientAccount, PoolId, PoolShare, RateUnit, ServiceLimits, SharedRate,
    TargetEntry, TargetPool, TierRule, TokenHash,
};

use super::defaults::{ACCOUNT_QUEUE_LIMIT, TIER_DEADLINE};
use super::pool::read_target_pool;
use crate::problem::{CheckReport, ConfigProblem};
use crate::reader::{IniFile, IniSection};

/// Value of `token_sha256` for an account that has no tokens.
const NO_TOKENS: &str = "none";

/// The content of a section.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum SectionContent {
    /// A tier.
    Tier(TierRule),
    /// A client account.
    Account(ClientAccount),
    /// Time for which a caller's connection may be idle.
    Callers(Duration),
    /// A pool without its targets.
    Pool(TargetPool),
    /// A target of a pool.
    Target(TargetEntry, PoolId),
    /// An admission rule.
    Rule(Arc<AdmissionRule>),
    /// A section of an unknown kind.
    Unknown,
}

/// A section and the problems found in it by itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CheckedSection {
    /// Title as written.
    pub title: String,
    /// Name after the kind; unique among the sections of a kind.
    pub name: String,
    /// The content; an invalid value is replaced by its default or an empty one.
    pub content: SectionContent,
    /// Problems of the section.
    pub problems: Vec<ConfigProblem>,
}

/// A file and the problems found in it by itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CheckedFile {
    /// File name.
    pub name: String,
    /// The sections in the order of the file.
    pub sections: Vec<CheckedSection>,
    /// Problems of the file as a whole.
    pub problems: Vec<ConfigProblem>,
}

impl CheckedFile {
    /// Reads and checks a file.
    pub fn read(name: &str, text: &str) -> CheckedFile {
        let mut report = CheckReport::default();
        let file = IniFile::parse(name, text, &mut report);
        let sections = file.sections().map(check_section).collect();
        CheckedFile { name: name.to_string(), sections, problems: report.problems }
    }
}

fn check_section(mut section: IniSection<'_>) -> CheckedSection {
    let mut report = CheckReport::default();
    let title = section.title().to_string();
    let read_content = match section.kind() {
        "tier" => read_tier,
        "account" => read_account,
        "pool" => read_pool,
        "target" => read_target,
        "rule" => read_rule,
        "callers" => read_callers,
        kind => {
            let message = format!(
                "'{kind}' is no kind of section; known kinds are tier, account, pool, target, rule, \
                 callers"
            );
            section.report_problem("", message, &mut report);
            let content = SectionContent::Unknown;
            return CheckedSection {
                title,
                name: String::new(),
                content,
                problems: report.problems,
            };
        }
    };
    let name = section.name(&mut report);
    let content = read_content(name.clone(), &mut section, &mut report);
    section.finish(&mut report);
    CheckedSection { title, name, content, problems: report.problems }
}

fn read_tier(id: String, section: &mut IniSection<'_>, report: &mut CheckReport) -> SectionContent {
    let rank = section.number("rank", 0, 0..=15, report) as u8;
    if section.text("rank").is_none() {
        section.report_problem(
            "rank",
            "is missing; it should be a whole number from 0, the highest tier, to 15",
            report,
        );
    }
    let deadline = section.duration("deadline", TIER_DEADLINE, report);
    SectionContent::Tier(TierRule { id, rank, deadline })
}

fn read_account(
    id: String,
    section: &mut IniSection<'_>,
    report: &mut CheckReport,
) -> SectionContent {
    let tokens = read_tokens(section, report);
    let rank = section.text("rank").map(|_| section.number("rank", 0, 0..=15, report) as u8);
    let shared_rate = read_shared_rate(section, report);
    let weight = section.number("weight", 1, 1..=1_000, report) as u32;
    let rate = section.number("rate_per_s", 0, 0..=1_000_000, report) as u32;
    let queue_limit =
        section.number("queue_limit", ACCOUNT_QUEUE_LIMIT.into(), 1..=1_000_000, report) as u32;
    let rate_per_s = (rate > 0).then_some(rate);
    SectionContent::Account(ClientAccount {
        id,
        tokens,
        rank,
        shared_rate,
        weight,
        rate_per_s,
        queue_limit,
        closed: false,
    })
}

/// Reads the hashes of an account's tokens. An account without tokens stays an account, which no caller can use.
fn read_tokens(section: &mut IniSection<'_>, report: &mut CheckReport) -> Vec<TokenHash> {
    let text = section.required("token_sha256", report);
    if text == NO_TOKENS {
        return Vec::new();
    }
    let tokens: Vec<TokenHash> = text.split(',').filter_map(TokenHash::from_hex).collect();
    if tokens.len() != text.split(',').count() && !text.is_empty() {
        section.report_problem(
            "token_sha256",
            "should be the 64 hexadecimal digits of the token's SHA-256, several of these separated by commas, or none",
            report,
        );
    }
    tokens
}

fn read_callers(
    _: String,
    section: &mut IniSection<'_>,
    report: &mut CheckReport,
) -> SectionContent {
    SectionContent::Callers(section.duration("idle_limit", Duration::from_secs(15), report))
}

fn read_pool(id: String, section: &mut IniSection<'_>, report: &mut CheckReport) -> SectionContent {
    SectionContent::Pool(read_target_pool(id, section, report))
}

fn read_target(
    id: String,
    section: &mut IniSection<'_>,
    report: &mut CheckReport,
) -> SectionContent {
    let pool = section.required("pool", report);
    let target = TargetEntry {
        id,
        address: section.address("address", report),
        vm: section.required("vm", report),
        // A target without a data centre counts as near to all daemons.
        data_centre: section.text("data_centre").unwrap_or_default(),
        slots: section.number("slots", 8, 1..=4_096, report) as u32,
        // Files give no start time: the id alone identifies the target instance.
        start: None,
        version: None,
    };
    SectionContent::Target(target, pool)
}

fn read_rule(id: String, section: &mut IniSection<'_>, report: &mut CheckReport) -> SectionContent {
    let path = section.required("path", report);
    if !path.is_empty() && !path.starts_with('/') {
        section.report_problem("path", format!("'{path}' should begin with /"), report);
    }
    let header = section.text("header").and_then(|text| match text.split_once('=') {
        Some((name, value)) => Some((name.trim().to_ascii_lowercase(), value.trim().to_string())),
        None => {
            section.report_problem("header", format!("'{text}' should be name=value"), report);
            None
        }
    });
    let service = read_service_limits(section, report);
    SectionContent::Rule(Arc::new(AdmissionRule {
        id,
        host: section.text("host").filter(|text| !text.is_empty()),
        split: read_pool_shares(section, report),
        public: section.flag("public", false, report),
        service,
        order: section.number("order", 100, 0..=100_000, report) as u32,
        method: section.text("method"),
        path,
        account: section.text("account").filter(|text| text != "*"),
        header,
        tier: section.required("tier", report),
        pool: section.required("pool", report),
        repeatable: section.flag("repeatable", false, report),
        body_limit: section.number("body_limit", 1 << 20, 1..=1 << 30, report) as usize,
        closed: false,
    }))
}

/// Reads the rate limit of an account that all daemons share.
fn read_shared_rate(section: &mut IniSection<'_>, report: &mut CheckReport) -> Option<SharedRate> {
    let per_s = section.number("shared_rate_per_s", 0, 0..=u64::MAX >> 20, report);
    let burst = section.number("shared_burst", per_s, 0..=u64::MAX >> 20, report);
    let default_tokens = section.number("plain_request_tokens", 0, 0..=u64::MAX >> 20, report);
    let unit = match section.text("shared_rate_unit").as_deref() {
        None | Some("requests") => RateUnit::Request,
        Some("tokens") => RateUnit::Tokens(default_tokens),
        Some(other) => {
            let message = format!("'{other}' should be requests or tokens");
            section.report_problem("shared_rate_unit", message, report);
            RateUnit::Request
        }
    };
    (per_s > 0).then_some(SharedRate { per_s, burst, unit, scale: 1 })
}

/// Reads pools and their weights, written as `name:weight` and separated by commas.
fn read_pool_shares(section: &mut IniSection<'_>, report: &mut CheckReport) -> Vec<PoolShare> {
    let Some(text) = section.text("split") else { return Vec::new() };
    let mut shares = Vec::new();
    for part in text.split(',') {
        let share = part.trim().rsplit_once(':').and_then(|(pool, weight)| {
            Some(PoolShare { pool: pool.to_string(), weight: weight.parse().ok()? })
        });
        match share {
            Some(share) => shares.push(share),
            None => section.report_problem(
                "split",
                format!("'{part}' should be pool:weight, such as main:90"),
                report,
            ),
        }
    }
    shares
}

fn read_service_limits(section: &mut IniSection<'_>, report: &mut CheckReport) -> ServiceLimits {
    let defaults = ServiceLimits::default();
    let mut optional_duration = |key: &'static str| {
        section.text(key).map(|_| section.duration(key, Duration::from_secs(30), report))
    };
    let timeout = optional_duration("timeout");
    let objective = optional_duration("objective");
    let pause_limit = optional_duration("pause_limit");
    let attempts = section.number("attempt_limit", defaults.attempt_limit.into(), 1..=100, report);
    ServiceLimits {
        timeout,
        objective,
        pause_limit,
        attempt_limit: attempts as u32,
        streams: section.flag("streams", false, report),
        resumable: section.flag("resumable", false, report),
    }
}
