//! Builds a whole configuration out of the operators' files, or says all that is wrong.
//!
//! Owns: the rules that files have to meet. Relies on: `reader` for sections and values.

mod pool;

use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_core::{
    ActiveConfig, AdmissionRule, ClientAccount, Generation, PoolShare, RateUnit, ServiceTerms,
    SharedRate, TargetEntry, TierRule, TokenHash,
};

use crate::problem::CheckReport;
use crate::reader::{IniFile, IniSection};
use crate::FileTexts;

/// Names and places of what the files refer to, for the check of references at the end.
#[derive(Default)]
struct ConfigBuilder {
    config: ActiveConfig,
    places: BTreeMap<(String, String), (String, String)>,
    targets: Vec<(TargetEntry, String, (String, String))>,
    rule_places: Vec<(String, String)>,
}

/// Checks all files together, references between files too.
///
/// # Errors
/// Every fault found, at once.
pub fn check_files(generation: Generation, files: &FileTexts) -> Result<ActiveConfig, CheckReport> {
    let mut report = CheckReport::default();
    let mut builder = ConfigBuilder::default();
    builder.config.generation = generation;
    for (name, text) in files {
        let file = IniFile::parse(name, text, &mut report);
        for section in file.sections() {
            builder.section(section, &mut report);
        }
    }
    let config = builder.finish(&mut report);
    report.into_result(config)
}

impl ConfigBuilder {
    fn section(&mut self, section: IniSection<'_>, report: &mut CheckReport) {
        match section.kind() {
            "tier" => self.tier(section, report),
            "account" => self.account(section, report),
            "pool" => self.pool(section, report),
            "target" => self.target(section, report),
            "rule" => self.rule(section, report),
            "callers" => self.callers(section, report),
            kind => {
                let message = format!(
                    "'{kind}' is no kind of section; known are tier, account, pool, target, rule, \
                     callers"
                );
                section.fault("", message, report);
            }
        }
    }

    /// Takes the name of a section and reports an earlier section with the same kind and name.
    fn claim(&mut self, section: &IniSection<'_>, report: &mut CheckReport) -> String {
        let name = section.name(report);
        let place = (section.file().to_string(), section.title().to_string());
        let id = (section.kind().to_string(), name.clone());
        if let Some((file, _)) = self.places.insert(id, place) {
            section.fault("", format!("stands already in {file}; each id may stand once"), report);
        }
        name
    }

    fn tier(&mut self, mut section: IniSection<'_>, report: &mut CheckReport) {
        let id = self.claim(&section, report);
        let rank = section.number("rank", 0, 0..=15, report) as u8;
        if section.text("rank").is_none() {
            section.fault("rank", "is missing; 0 is the highest tier", report);
        }
        if let Some(other) =
            self.config.tiers.values().find(|tier| tier.rank == rank && tier.id != id)
        {
            section.fault(
                "rank",
                format!("{rank} is the rank of tier {} too; ranks must differ", other.id),
                report,
            );
        }
        let deadline = section.duration("deadline", Duration::from_secs(30), report);
        section.finish(report);
        self.config.tiers.insert(id.clone(), TierRule { id, rank, deadline });
    }

    fn account(&mut self, mut section: IniSection<'_>, report: &mut CheckReport) {
        let id = self.claim(&section, report);
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
        let shared_rate = shared_rate(&mut section, report);
        let weight = section.number("weight", 1, 1..=1_000, report) as u32;
        let rate = section.number("rate_per_s", 0, 0..=1_000_000, report) as u32;
        let queue_limit = section.number("queue_limit", 10_000, 1..=1_000_000, report) as u32;
        for token in &tokens {
            if let Some(other) = self.config.tokens.insert(token.clone(), id.clone()) {
                section.fault(
                    "token_sha256",
                    format!("is the token of account {other} too"),
                    report,
                );
            }
        }
        let rate_per_s = (rate > 0).then_some(rate);
        let account = ClientAccount {
            id: id.clone(),
            tokens,
            rank,
            shared_rate,
            weight,
            rate_per_s,
            queue_limit,
        };
        self.config.accounts.insert(id, account);
        section.finish(report);
    }

    fn callers(&mut self, mut section: IniSection<'_>, report: &mut CheckReport) {
        // The name is of no use; a second section of the kind is reported.
        let _ = self.claim(&section, report);
        let idle = section.duration("idle_limit", Duration::from_secs(15), report);
        self.config.idle_limit = Some(idle);
        section.finish(report);
    }

    fn pool(&mut self, mut section: IniSection<'_>, report: &mut CheckReport) {
        let id = self.claim(&section, report);
        let pool = pool::target_pool(id.clone(), &mut section, report);
        section.finish(report);
        self.config.pools.insert(id, pool);
    }

    fn target(&mut self, mut section: IniSection<'_>, report: &mut CheckReport) {
        let id = self.claim(&section, report);
        let pool = section.required("pool", report);
        let target = TargetEntry {
            id,
            address: section.address("address", report),
            vm: section.required("vm", report),
            // A target without one counts as near to all daemons.
            data_centre: section.text("data_centre").unwrap_or_default(),
            slots: section.number("slots", 8, 1..=4_096, report) as u32,
        };
        let place = (section.file().to_string(), section.title().to_string());
        section.finish(report);
        self.targets.push((target, pool, place));
    }

    fn rule(&mut self, mut section: IniSection<'_>, report: &mut CheckReport) {
        let id = self.claim(&section, report);
        let path = section.required("path", report);
        if !path.is_empty() && !path.starts_with('/') {
            section.fault("path", format!("'{path}' should begin with /"), report);
        }
        let header = section.text("header").and_then(|text| match text.split_once('=') {
            Some((name, value)) => {
                Some((name.trim().to_ascii_lowercase(), value.trim().to_string()))
            }
            None => {
                section.fault("header", format!("'{text}' should be name=value"), report);
                None
            }
        });
        let service = service_terms(&mut section, report);
        let rule = AdmissionRule {
            id,
            host: section.text("host").filter(|text| !text.is_empty()),
            split: pool_shares(&mut section, report),
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
        };
        self.rule_places.push((section.file().to_string(), section.title().to_string()));
        section.finish(report);
        self.config.rules.push(rule);
    }

    /// Checks the references and sorts the rules.
    fn finish(mut self, report: &mut CheckReport) -> ActiveConfig {
        for (target, pool, (file, title)) in std::mem::take(&mut self.targets) {
            match self.config.pools.get_mut(&pool) {
                Some(entry) => {
                    entry.targets.insert(target.id.clone(), target);
                }
                None if pool.is_empty() => {}
                None => report.add(&file, &title, "pool", format!("there is no [pool {pool}]")),
            }
        }
        for (rule, (file, title)) in self.config.rules.iter().zip(&self.rule_places) {
            if !rule.tier.is_empty() && !self.config.tiers.contains_key(&rule.tier) {
                report.add(file, title, "tier", format!("there is no [tier {}]", rule.tier));
            }
            for pool in rule.pools().filter(|pool| !pool.is_empty()) {
                if !self.config.pools.contains_key(pool) {
                    report.add(file, title, "pool", format!("there is no [pool {pool}]"));
                }
            }
            if let Some(account) =
                rule.account.as_ref().filter(|id| !self.config.accounts.contains_key(*id))
            {
                report.add(file, title, "account", format!("there is no [account {account}]"));
            }
        }
        self.config.rules.sort_by(|a, b| (a.order, &a.id).cmp(&(b.order, &b.id)));
        self.config
    }
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

fn service_terms(section: &mut IniSection<'_>, report: &mut CheckReport) -> ServiceTerms {
    let defaults = ServiceTerms::default();
    let mut time = |key: &'static str| {
        section.text(key).map(|_| section.duration(key, Duration::from_secs(30), report))
    };
    let timeout = time("timeout");
    let objective = time("objective");
    let pause_limit = time("pause_limit");
    let attempts = section.number("attempt_limit", defaults.attempt_limit.into(), 1..=100, report);
    ServiceTerms {
        timeout,
        objective,
        pause_limit,
        attempt_limit: attempts as u32,
        streams: section.flag("streams", false, report),
        resumable: section.flag("resumable", false, report),
    }
}
