//! Builds a whole configuration out of the operators' files, or says all that is wrong.
//!
//! Owns: the rules that files have to meet together. Relies on: [`CheckedFile`] for those that each
//! meets by itself.

mod file;
mod pool;

use std::collections::BTreeMap;

use curlewcleat_core::{ActiveConfig, ClientAccount, Generation, TargetEntry, TierRule};

pub use file::CheckedFile;

use self::file::{CheckedSection, SectionContent};
use crate::problem::CheckReport;
use crate::FileTexts;

/// Checks all files together, references between files too.
///
/// # Errors
/// Every fault found, at once.
pub fn check_files(generation: Generation, files: &FileTexts) -> Result<ActiveConfig, CheckReport> {
    let files: Vec<CheckedFile> =
        files.iter().map(|(name, text)| CheckedFile::read(name, text)).collect();
    join_files(generation, files.iter())
}

/// Joins files that were checked by themselves, and checks their references.
///
/// # Errors
/// Every fault found, at once.
pub fn join_files<'f>(
    generation: Generation,
    files: impl Iterator<Item = &'f CheckedFile>,
) -> Result<ActiveConfig, CheckReport> {
    let mut report = CheckReport::default();
    let mut builder = ConfigBuilder::default();
    builder.config.generation = generation;
    for file in files {
        report.problems.extend(file.problems.iter().cloned());
        for section in &file.sections {
            builder.section(SectionPlace { file, section }, &mut report);
        }
    }
    let config = builder.finish(&mut report);
    report.into_result(config)
}

/// A section and its file.
#[derive(Clone, Copy)]
struct SectionPlace<'f> {
    file: &'f CheckedFile,
    section: &'f CheckedSection,
}

impl SectionPlace<'_> {
    fn fault(&self, key: &str, message: impl Into<String>, report: &mut CheckReport) {
        report.add(&self.file.name, &self.section.title, key, message);
    }
}

/// Names and places of what the files refer to, for the check of references at the end.
#[derive(Default)]
struct ConfigBuilder<'f> {
    config: ActiveConfig,
    /// The files in which sections stand, by kind and name.
    names: BTreeMap<(&'f str, &'f str), &'f CheckedFile>,
    targets: Vec<(&'f TargetEntry, &'f str, SectionPlace<'f>)>,
    rule_places: Vec<SectionPlace<'f>>,
}

impl<'f> ConfigBuilder<'f> {
    fn section(&mut self, place: SectionPlace<'f>, report: &mut CheckReport) {
        let section = place.section;
        self.claim(place, report);
        report.problems.extend(section.problems.iter().cloned());
        match &section.content {
            SectionContent::Tier(tier) => self.tier(tier, place, report),
            SectionContent::Account(account) => self.account(account, place, report),
            SectionContent::Callers(idle) => self.config.idle_limit = Some(*idle),
            SectionContent::Pool(pool) => {
                self.config.pools.insert(pool.id.clone(), pool.clone());
            }
            SectionContent::Target(target, pool) => self.targets.push((target, pool, place)),
            SectionContent::Rule(rule) => {
                self.rule_places.push(place);
                self.config.rules.push(rule.clone());
            }
            SectionContent::Unknown => {}
        }
    }

    /// Takes the name of a section and reports an earlier section with the same kind and name.
    fn claim(&mut self, place: SectionPlace<'f>, report: &mut CheckReport) {
        let section = place.section;
        if section.content == SectionContent::Unknown {
            return;
        }
        // The first word of the title is the kind.
        let kind = section.title.split_whitespace().next().unwrap_or_default();
        if let Some(other) = self.names.insert((kind, &section.name), place.file) {
            let message = format!("stands already in {}; each id may stand once", other.name);
            place.fault("", message, report);
        }
    }

    fn tier(&mut self, tier: &TierRule, place: SectionPlace<'_>, report: &mut CheckReport) {
        let (id, rank) = (&tier.id, tier.rank);
        let same = self.config.tiers.values().find(|tier| tier.rank == rank && tier.id != *id);
        if let Some(other) = same {
            let message = format!("{rank} is the rank of tier {} too; ranks must differ", other.id);
            place.fault("rank", message, report);
        }
        self.config.tiers.insert(id.clone(), tier.clone());
    }

    fn account(
        &mut self,
        account: &ClientAccount,
        place: SectionPlace<'_>,
        report: &mut CheckReport,
    ) {
        for token in &account.tokens {
            if let Some(other) = self.config.tokens.insert(token.clone(), account.id.clone()) {
                let message = format!("is the token of account {other} too");
                place.fault("token_sha256", message, report);
            }
        }
        self.config.accounts.insert(account.id.clone(), account.clone());
    }

    /// Checks the references and sorts the rules.
    fn finish(mut self, report: &mut CheckReport) -> ActiveConfig {
        for (target, pool, place) in std::mem::take(&mut self.targets) {
            match self.config.pools.get_mut(pool) {
                Some(entry) => {
                    entry.targets.insert(target.id.clone(), target.clone());
                }
                None if pool.is_empty() => {}
                None => place.fault("pool", format!("there is no [pool {pool}]"), report),
            }
        }
        for (rule, place) in self.config.rules.iter().zip(&self.rule_places) {
            if !rule.tier.is_empty() && !self.config.tiers.contains_key(&rule.tier) {
                place.fault("tier", format!("there is no [tier {}]", rule.tier), report);
            }
            for pool in rule.pools().filter(|pool| !pool.is_empty()) {
                if !self.config.pools.contains_key(pool) {
                    place.fault("pool", format!("there is no [pool {pool}]"), report);
                }
            }
            if let Some(account) =
                rule.account.as_ref().filter(|id| !self.config.accounts.contains_key(*id))
            {
                place.fault("account", format!("there is no [account {account}]"), report);
            }
        }
        self.config.rules.sort_by(|a, b| (a.order, &a.id).cmp(&(b.order, &b.id)));
        self.config
    }
}
