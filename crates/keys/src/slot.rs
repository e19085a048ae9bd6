//! The records of one slot.
//!
//! Owns: the records of one slot. Relies on: `home` for the limits.

use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_core::{
    AccountId, DaemonId, IdempotencyKey, KeyClaim, KeyDecision, KeyOutcome, KeyRecord, Refusal,
    RefusalReason, Verdict, WallTime,
};

/// Advice when to ask again for an attempt in progress.
const IN_PROGRESS_WAIT: Duration = Duration::from_secs(1);

/// A slot that this daemon holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct SlotRecords {
    /// Since when the history is complete; zero since ever.
    pub complete_since: WallTime,
    /// The daemon that takes the slot over, and whether it has the records.
    pub passing: Option<(DaemonId, bool)>,
    /// What is known by account and key.
    pub records: BTreeMap<(AccountId, IdempotencyKey), KeyRecord>,
}

impl SlotRecords {
    /// A slot without records, whose history begins at a time.
    pub fn new(complete_since: WallTime) -> SlotRecords {
        SlotRecords { complete_since, passing: None, records: BTreeMap::new() }
    }

    /// Decides on a claim whose key has a record.
    pub fn claim_known(&mut self, now: WallTime, claim: &KeyClaim) -> Option<KeyDecision> {
        let record = self.records.get_mut(&(claim.account.clone(), claim.key.clone()))?;
        if record.request == claim.request {
            // The same request asks again because its answer was lost.
            return Some(if self.passing.is_some() {
                passing_refusal()
            } else {
                KeyDecision::First
            });
        }
        let decision = match (record.verdict, &record.answer) {
            (None, _) => {
                known(Refusal::may_have_run(RefusalReason::KeyInProgress, Some(IN_PROGRESS_WAIT)))
            }
            (Some(Verdict::Ran), Some(answer)) => KeyDecision::Answer(answer.clone()),
            (Some(Verdict::Ran), None) => known(ran_refusal()),
            (Some(Verdict::MayHaveRun), _) => {
                known(Refusal::may_have_run(RefusalReason::KeyMayHaveRun, None))
            }
            (Some(Verdict::NotRun), _) if self.passing.is_some() => passing_refusal(),
            (Some(Verdict::NotRun), _) => {
                record.request = claim.request;
                record.verdict = None;
                record.touched = now;
                KeyDecision::First
            }
        };
        Some(decision)
    }

    /// Records a claim that is let run.
    pub fn insert(&mut self, now: WallTime, claim: &KeyClaim) {
        let key = (claim.account.clone(), claim.key.clone());
        let record = KeyRecord {
            key: key.clone(),
            request: claim.request,
            verdict: None,
            answer: None,
            touched: now,
        };
        self.records.insert(key, record);
    }

    /// Records how a claimed request ended. Only the request that holds the claim may say so; the
    /// first word of "may have run" or "ran" stays.
    pub fn outcome(&mut self, now: WallTime, outcome: KeyOutcome) {
        let key = (outcome.claim.account.clone(), outcome.claim.key.clone());
        let request = outcome.claim.request;
        let fresh =
            KeyRecord { key: key.clone(), request, verdict: None, answer: None, touched: now };
        let record = self.records.entry(key).or_insert(fresh);
        if record.request != request || record.verdict.is_some() {
            return;
        }
        record.verdict = Some(outcome.verdict);
        record.answer = outcome.answer;
        record.touched = now;
    }
}

pub(crate) fn known(refusal: Refusal) -> KeyDecision {
    KeyDecision::Known(refusal)
}

fn ran_refusal() -> Refusal {
    Refusal { reason: RefusalReason::KeyRan, verdict: Verdict::Ran, retry_after: None }
}

/// While a slot is handed over, no daemon lets an unclaimed key run.
pub(crate) fn passing_refusal() -> KeyDecision {
    known(Refusal::not_run(RefusalReason::KeyHomeUnreachable, Some(IN_PROGRESS_WAIT)))
}
