//! One file, read and checked by itself.
//!
//! Owns: the rules that a section has to meet without a look at the others. Relies on: `reader` for
//! sections and values.

use std::sync::Arc;
use std::time::Duration;

use curlewcleat_core::{
    AdmissionRule, ClientAccount, PoolId, PoolShare, RateUnit, ServiceLimits, SharedRate,
    TargetEntry, TargetPool, TierRule, TokenHash,
};

use super::pool::target_pool;
use crate::problem::{CheckReport, ConfigProblem};
use crate::reader::{IniFile, IniSection};

/// What a section says.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum SectionContent {
    /// A tier.
    Tier(TierRule),
    /// A client account.
    Account(ClientAccount),
    /// Time for which callers' connections may rest.
    Callers(Duration),
    /// A pool without its targets.
    Pool(TargetPool),
    /// A target of a pool.
    Target(TargetEntry, PoolId),
    /// An admission rule.
    Rule(Arc<AdmissionRule>),
    /// A kind of section that is not known.
    Unknown,
}

/// A section and what is wrong with it by itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CheckedSection {
    /// Title as written.
    pub title: String,
    /// Name after the kind; two sections of a kind must not share it.
    pub name: String,
    /// What it says; defaults stand for what is wrong.
    pub content: SectionContent,
    /// What is wrong.
    pub problems: Vec<ConfigProblem>,
}

/// A file and what is wrong with it by itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CheckedFile {
    /// File name.
    pub name: String,
    /// Its sections in order.
    pub sections: Vec<CheckedSection>,
    /// What is wrong with the file as a whole.
    pub problems: Vec<ConfigProblem>,
}

impl CheckedFile {
    /// Reads a file.
    pub fn read(name: &str, text: &str) -> CheckedFile {
        let mut report = CheckReport::default();
        let file = IniFile::parse(name, text, &mut report);
        let sections = file.sections().map(checked_section).collect();
        CheckedFile { name: name.to_string(), sections, problems: report.problems }
    }
}

fn checked_section(mut section: IniSection<'_>) -> CheckedSection {
    let mut report = CheckReport::default();
    let title = section.title().to_string();
    let read = match section.kind() {
        "tier" => tier,
        "account" => account,
        "pool" => pool,
        "target" => target,
        "rule" => rule,
        "callers" => callers,
        kind => {
            let message = format!(
                "'{kind}' is no kind of section; known are tier, account, pool, target, rule, \
                 callers"
            );
            section.fault("", message, &mut report);
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
    let content = read(name.clone(), &mut section, &mut report);
    section.finish(&mut report);
    CheckedSection { title, name, content, problems: report.problems }
}

fn tier(id: String, section: &mut IniSection<'_>, report: &mut CheckReport) -> SectionContent {
    let rank = section.number("rank", 0, 0..=15, report) as u8;
    if section.text("rank").is_none() {
        section.fault("rank", "is missing; 0 is the highest tier", report);
    }
    let deadline = section.duration("deadline", Duration::from_secs(30), report);
    SectionContent::Tier(TierRule { id, rank, deadline })
}

fn account(id: String, section: &mut IniSection<'_>, report: &mut CheckReport) -> SectionContent {
    let text = section.required("token_sha256", report);
    let tokens: Vec<TokenHash> = text.split(',').filter_map(TokenHash::from_hex).collect();
    if tokens.len() != text.split(',').count() && !text.is_empty() {
        section.fault(
            "token_sha256",
            "should be the 64 hexadecimal digits of the token's SHA-256, or several by commas",
            report,
        );
    }
    let rank = section.text("rank").map(|_| section.number("rank", 0, 0..=15, report) as u8);
    let shared_rate = shared_rate(section, report);
    let weight = section.number("weight", 1, 1..=1_000, report) as u32;
    let rate = section.number("rate_per_s", 0, 0..=1_000_000, report) as u32;
    let queue_limit = section.number("queue_limit", 10_000, 1..=1_000_000, report) as u32;
    let rate_per_s = (rate > 0).then_some(rate);
    SectionContent::Account(ClientAccount {
        id,
        tokens,
        rank,
        shared_rate,
        weight,
        rate_per_s,
        queue_limit,
    })
}

fn callers(_: String, section: &mut IniSection<'_>, report: &mut CheckReport) -> SectionContent {
    SectionContent::Callers(section.duration("idle_limit", Duration::from_secs(15), report))
}

fn pool(id: String, section: &mut IniSection<'_>, report: &mut CheckReport) -> SectionContent {
    SectionContent::Pool(target_pool(id, section, report))
}

fn target(id: String, section: &mut IniSection<'_>, report: &mut CheckReport) -> SectionContent {
    let pool = section.required("pool", report);
    let target = TargetEntry {
        id,
        address: section.address("address", report),
        vm: section.required("vm", report),
        // A target without one counts as near to all daemons.
        data_centre: section.text("data_centre").unwrap_or_default(),
        slots: section.number("slots", 8, 1..=4_096, report) as u32,
        // Files name no start: the id stands for the target's life.
        start: None,
        version: None,
    };
    SectionContent::Target(target, pool)
}

fn rule(id: String, section: &mut IniSection<'_>, report: &mut CheckReport) -> SectionContent {
    let path = section.required("path", report);
    if !path.is_empty() && !path.starts_with('/') {
        section.fault("path", format!("'{path}' should begin with /"), report);
    }
    let header = section.text("header").and_then(|text| match text.split_once('=') {
        Some((name, value)) => Some((name.trim().to_ascii_lowercase(), value.trim().to_string())),
        None => {
            section.fault("header", format!("'{text}' should be name=value"), report);
            None
        }
    });
    let service = service_terms(section, report);
    SectionContent::Rule(Arc::new(AdmissionRule {
        id,
        host: section.text("host").filter(|text| !text.is_empty()),
        split: pool_shares(section, report),
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
    }))
}

/// The rate of an account that holds over all daemons together.
fn shared_rate(section: &mut IniSection<'_>, report: &mut CheckReport) -> Option<SharedRate> {
    let per_s = section.number("shared_rate_per_s", 0, 0..=u64::MAX >> 20, report);
    let burst = section.number("shared_burst", per_s, 0..=u64::MAX >> 20, report);
    let plain = section.number("plain_request_tokens", 0, 0..=u64::MAX >> 20, report);
    let unit = match section.text("shared_rate_unit").as_deref() {
        None | Some("requests") => RateUnit::Request,
        Some("tokens") => RateUnit::Tokens(plain),
        Some(other) => {
            let message = format!("'{other}' should be requests or tokens");
            section.fault("shared_rate_unit", message, report);
            RateUnit::Request
        }
    };
    (per_s > 0).then_some(SharedRate { per_s, burst, unit })
}

/// Pools and weights, written as `name:weight` by commas.
fn pool_shares(section: &mut IniSection<'_>, report: &mut CheckReport) -> Vec<PoolShare> {
    let Some(text) = section.text("split") else { return Vec::new() };
    let mut shares = Vec::new();
    for part in text.split(',') {
        let share = part.trim().rsplit_once(':').and_then(|(pool, weight)| {
            Some(PoolShare { pool: pool.to_string(), weight: weight.parse().ok()? })
        });
        match share {
            Some(share) => shares.push(share),
            None => section.fault("split", format!("'{part}' should be pool:weight"), report),
        }
    }
    shares
}

fn service_terms(section: &mut IniSection<'_>, report: &mut CheckReport) -> ServiceLimits {
    let defaults = ServiceLimits::default();
    let mut time = |key: &'static str| {
        section.text(key).map(|_| section.duration(key, Duration::from_secs(30), report))
    };
    let timeout = time("timeout");
    let objective = time("objective");
    let pause_limit = time("pause_limit");
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
