//! Costs of accounts, targets, rules and keys in a daemon.

use std::hint::black_box;
use std::time::{Duration, Instant};

use anyhow::{ensure, Context, Result};
use curlewcleat_config::{check_files, ConfigArchive, ConfigStore, OfferResult};
use curlewcleat_core::{hash_token, ConfigBundle, KeyClaim, KeyDecision, RequestId};
use curlewcleat_keys::{KeyHolder, KeyHolderOptions, KeyTable};

use crate::support::{configuration, configured, daemon, resident, time_each};

/// Measures the check and the activation of a configuration by the number of accounts and targets.
pub fn measure_accounts() -> Result<()> {
    println!(
        "accounts | targets | configuration bytes | check (ms) | activate (ms) | resident bytes"
    );
    for (accounts, targets) in [(5, 22), (300, 1_000), (2_700, 1_000), (2_700, 10_000)] {
        let files = configuration(targets, accounts);
        let length: usize = files.values().map(String::len).sum();
        let started = Instant::now();
        let checked = check_files(1, &files).context("the configuration is not valid")?;
        let check = started.elapsed();
        black_box(checked);
        let before = resident();
        let started = Instant::now();
        let node = configured(targets, accounts);
        let activation = started.elapsed();
        let bytes = resident().saturating_sub(before);
        black_box(&node);
        println!(
            "{accounts:>8} | {targets:>7} | {length:>9} | {:>7.2} | {:>7.2} | {bytes:>9}",
            check.as_secs_f64() * 1e3,
            activation.as_secs_f64() * 1e3
        );
    }
    Ok(())
}

/// Rules in one file of the measured configurations.
const RULES_PER_FILE: usize = 256;

/// Measures the first check of a configuration, a change of one of its files, and packing and unpacking it for another
/// daemon.
pub fn measure_changes() -> Result<()> {
    println!("rules | text bytes | check (ms) | one file changed (ms) | packed bytes | pack (ms) | unpack (ms)");
    for count in [250, 1_000, 4_000, 16_000] {
        let mut store = ConfigStore::default();
        let first = rule_bundle(1, count);
        let bytes = first.text_bytes();
        let (check, _) = timed(|| store.offer(first));
        let mut second = rule_bundle(2, count);
        if let Some(text) = second.files.get_mut("rules-00000.ini") {
            text.push_str("; changed\n");
        }
        let (change, outcome) = timed(|| store.offer(second));
        ensure!(outcome == OfferResult::Accepted, "{outcome:?}");
        let (pack, archive) = timed(|| store.archive().map(|archive| archive.cloned()));
        let archive = archive?.context("there is no archive")?;
        let mut packed = Vec::new();
        while let Some(part) = archive.part(packed.len() as u32) {
            packed.extend_from_slice(&part.bytes);
        }
        let (unpack, bundle) = timed(|| ConfigArchive::unpack(archive.id(), &packed));
        black_box(bundle?);
        let length = packed.len();
        println!(
            "{count:>5} | {bytes:>10} | {check:>7.2} | {change:>7.2} | {length:>8} | {pack:>6.2} | {unpack:>6.2}"
        );
    }
    Ok(())
}

/// Returns a configuration of rules like those of the users' platform. Names are taken from hashes, so that they don't
/// compress better than real ones.
fn rule_bundle(generation: u64, count: usize) -> ConfigBundle {
    let hex = |number: usize| -> String {
        let hash = hash_token(number.to_string());
        hash.bytes().iter().take(4).map(|byte| format!("{byte:02x}")).collect()
    };
    let rule = |index: usize| {
        format!(
            "[rule r-{0}]\norder = {1}\nhost = {2}.example\npath = /{3}/*\ntier = t\npool = p\n\
             repeatable = yes\nstreams = yes\nresumable = yes\npublic = no\nbody_limit = 4194304\n\
             timeout = 12000ms\nobjective = 1000ms\npause_limit = 800ms\nattempt_limit = 2\n",
            hex(index),
            1_000 + index % 20,
            hex(index % 100),
            hex(index + 1_000_000)
        )
    };
    let base = "[tier t]\nrank = 0\n[pool p]\nkind = engine\n".to_string();
    let rules: Vec<String> = (0..count).map(rule).collect();
    let files = rules.chunks(RULES_PER_FILE).enumerate();
    let files = files.map(|(index, rules)| (format!("rules-{index:05}.ini"), rules.concat()));
    let base = std::iter::once(("base.ini".to_string(), base));
    ConfigBundle { generation, files: base.chain(files).collect() }
}

/// Returns the duration of a call in milliseconds, and its result.
fn timed<T>(call: impl FnOnce() -> T) -> (f64, T) {
    let started = Instant::now();
    let result = call();
    (started.elapsed().as_secs_f64() * 1e3, result)
}

/// Measures one claim by the number of keys that are held.
pub fn measure_keys() {
    println!("keys held | one claim (ns) | resident bytes per key");
    for count in [10_000u32, 100_000, 400_000] {
        let mut holder = KeyHolder::new(
            daemon(0),
            KeyHolderOptions { key_limit: 10_000_000, ..KeyHolderOptions::default() },
        );
        holder.apply_table(1, KeyTable::distribute(64, &[daemon(0)]));
        let before = resident();
        let wall = Duration::from_secs(1_000_000);
        let claim = |number: u32| KeyClaim {
            request: RequestId::from_u128(u128::from(number)),
            account: "account-0001".to_string(),
            key: format!("0190a5b8-0000-4000-8000-{number:012}"),
            attempt: None,
        };
        let each = time_each(count, |number| {
            let decision = holder.claim(wall, &claim(number));
            assert_eq!(decision, KeyDecision::First);
        });
        let bytes = resident().saturating_sub(before) / u64::from(count);
        println!("{count:>9} | {:>8} | {bytes:>6}", each.as_nanos());
    }
}
