//! Builds a configuration from the operators' files, or reports all their problems.
//!
//! Owns: the checks across files: unique names, ranks and tokens, and references. Relies on: [`CheckedFile`] for the
//! checks within one file.

mod defaults;
mod file;
mod pool;

use std::collections::BTreeMap;

use curlewcleat_core::{
    AccountId, ActiveConfig, AdmissionRule, ClientAccount, Generation, TargetEntry, TierRule,
};

pub use defaults::{default_pool, ACCOUNT_QUEUE_LIMIT, TIER_DEADLINE};
pub use file::CheckedFile;

use self::file::{CheckedSection, SectionContent};
use crate::problem::CheckReport;
use crate::FileTexts;

/// Checks all files, each by itself and all together.
///
/// # Errors
/// All problems found.
pub fn check_files(generation: Generation, files: &FileTexts) -> Result<ActiveConfig, CheckReport> {
    let files: Vec<CheckedFile> =
        files.iter().map(|(name, text)| CheckedFile::read(name, text)).collect();
    merge_files(generation, files.iter())
}

/// Merges files that were checked by themselves into a configuration, and checks them together.
///
/// # Errors
/// All problems found, including those of the single files.
pub fn merge_files<'f>(
    generation: Generation,
    files: impl Iterator<Item = &'f CheckedFile>,
) -> Result<ActiveConfig, CheckReport> {
    let mut report = CheckReport::default();
    let mut builder = ConfigBuilder::default();
    builder.config.generation = generation;
    for file in files {
        report.problems.extend(file.problems.iter().cloned());
        for section in &file.sections {
            builder.add_section(SectionLocation { file, section }, &mut report);
        }
    }
    let config = builder.finish(&mut report);
    report.into_result(config)
}

/// A section with the file that contains it.
#[derive(Clone, Copy)]
struct SectionLocation<'f> {
    file: &'f CheckedFile,
    section: &'f CheckedSection,
}

impl SectionLocation<'_> {
    fn report_problem(&self, key: &str, message: impl Into<String>, report: &mut CheckReport) {
        report.add(&self.file.name, &self.section.title, key, message);
    }
}

/// Collects the sections of all files, and checks the references between them at the end.
#[derive(Default)]
struct ConfigBuilder<'f> {
    config: ActiveConfig,
    /// The file that contains each section, by the section's kind and name.
    section_files: BTreeMap<(&'f str, &'f str), &'f CheckedFile>,
    targets: Vec<(&'f TargetEntry, &'f str, SectionLocation<'f>)>,
    rule_locations: Vec<SectionLocation<'f>>,
}

impl<'f> ConfigBuilder<'f> {
    fn add_section(&mut self, location: SectionLocation<'f>, report: &mut CheckReport) {
        let section = location.section;
        self.register_name(location, report);
        report.problems.extend(section.problems.iter().cloned());
        match &section.content {
            SectionContent::Tier(tier) => self.add_tier(tier, location, report),
            SectionContent::Account(account) => self.add_account(account, location, report),
            SectionContent::Callers(idle) => self.config.idle_limit = Some(*idle),
            SectionContent::Pool(pool) => {
                self.config.pools.insert(pool.id.clone(), pool.clone());
            }
            SectionContent::Target(target, pool) => self.targets.push((target, pool, location)),
            SectionContent::Rule(rule) => {
                self.rule_locations.push(location);
                self.config.rules.push(rule.clone());
            }
            SectionContent::Unknown => {}
        }
    }

    /// Registers the name of a section, and reports a problem if an earlier section has the same kind and name.
    fn register_name(&mut self, location: SectionLocation<'f>, report: &mut CheckReport) {
        let section = location.section;
        if section.content == SectionContent::Unknown {
            return;
        }
        // The first word of the title is the kind.
        let kind = section.title.split_whitespace().next().unwrap_or_default();
        if let Some(other) = self.section_files.insert((kind, &section.name), location.file) {
            let message =
                format!("stands already in {}; each kind and name may occur once", other.name);
            location.report_problem("", message, report);
        }
    }

    fn add_tier(
        &mut self,
        tier: &TierRule,
        location: SectionLocation<'_>,
        report: &mut CheckReport,
    ) {
        let (id, rank) = (&tier.id, tier.rank);
        let duplicate = self.config.tiers.values().find(|tier| tier.rank == rank && tier.id != *id);
        if let Some(other) = duplicate {
            let message =
                format!("{rank} is also the rank of tier {}; ranks must differ", other.id);
            location.report_problem("rank", message, report);
        }
        self.config.tiers.insert(id.clone(), tier.clone());
    }

    fn add_account(
        &mut self,
        account: &ClientAccount,
        location: SectionLocation<'_>,
        report: &mut CheckReport,
    ) {
        for token in &account.tokens {
            if let Some(other) = self.config.tokens.insert(token.clone(), account.id.clone()) {
                let message =
                    format!("contains a token of account {other}; each token may occur once");
                location.report_problem("token_sha256", message, report);
            }
        }
        self.config.accounts.insert(account.id.clone(), account.clone());
    }

    /// Checks the references and sorts the rules by order and id.
    fn finish(mut self, report: &mut CheckReport) -> ActiveConfig {
        self.place_targets(report);
        for (rule, location) in self.config.rules.iter().zip(&self.rule_locations) {
            self.check_references(rule, *location, report);
        }
        self.config.rules.sort_by(|a, b| (a.order, &a.id).cmp(&(b.order, &b.id)));
        self.config
    }

    /// Adds each target to its pool. This follows the last section, since a target may precede its pool.
    fn place_targets(&mut self, report: &mut CheckReport) {
        for (target, pool, location) in std::mem::take(&mut self.targets) {
            match self.config.pools.get_mut(pool) {
                Some(target_pool) => {
                    target_pool.targets.insert(target.id.clone(), target.clone());
                }
                None if pool.is_empty() => {}
                None => report_missing_pool(pool, location, report),
            }
        }
    }

    /// Reports the tier, pools and account that a rule names and no section defines.
    fn check_references(
        &self,
        rule: &AdmissionRule,
        location: SectionLocation<'_>,
        report: &mut CheckReport,
    ) {
        if !rule.tier.is_empty() && !self.config.tiers.contains_key(&rule.tier) {
            let message =
                format!("there is no [tier {}]; it should name an existing tier", rule.tier);
            location.report_problem("tier", message, report);
        }
        for pool in rule.pools().filter(|pool| !pool.is_empty()) {
            if !self.config.pools.contains_key(pool) {
                report_missing_pool(pool, location, report);
            }
        }
        let missing = |id: &&AccountId| !self.config.accounts.contains_key(*id);
        if let Some(account) = rule.account.as_ref().filter(missing) {
            let message =
                format!("there is no [account {account}]; it should be an existing account or *");
            location.report_problem("account", message, report);
        }
    }
}

fn report_missing_pool(pool: &str, location: SectionLocation<'_>, report: &mut CheckReport) {
    let message = format!("there is no [pool {pool}]; it should name an existing pool");
    location.report_problem("pool", message, report);
}
