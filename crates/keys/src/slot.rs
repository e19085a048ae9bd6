//! Decides on claims by the records of one slot.
//!
//! Owns: the key records of one slot. Relies on: `KeyHolder` for the limits.

use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_core::{
    AccountId, DaemonId, IdempotencyKey, KeyClaim, KeyDecision, KeyOutcome, KeyRecord, Refusal,
    RefusalReason, Verdict, WallTime,
};

/// `Retry-After` of refusals for an attempt in progress or a slot that is being handed over.
const RETRY_WAIT: Duration = Duration::from_secs(1);

/// Records of a slot that this daemon holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct SlotRecords {
    /// Time since which the history is complete; zero where it has been complete since the first table.
    pub complete_since: WallTime,
    /// During a hand-over, the daemon that receives the slot and whether it has acknowledged the records.
    pub hand_over: Option<(DaemonId, bool)>,
    /// Records by account and key.
    pub records: BTreeMap<(AccountId, IdempotencyKey), KeyRecord>,
}

impl SlotRecords {
    /// Creates a slot without records and with a history that begins at `complete_since`.
    pub fn new(complete_since: WallTime) -> SlotRecords {
        SlotRecords { complete_since, hand_over: None, records: BTreeMap::new() }
    }

    /// Decides on a claim whose key has a record; returns `None` where it has none.
    pub fn claim_recorded(&mut self, now: WallTime, claim: &KeyClaim) -> Option<KeyDecision> {
        let record = self.records.get_mut(&(claim.account.clone(), claim.key.clone()))?;
        if record.request == claim.request {
            // The request repeats its claim because the answer to it was lost.
            return Some(if self.hand_over.is_some() {
                hand_over_refusal()
            } else {
                KeyDecision::First
            });
        }
        let decision = match (record.verdict, &record.answer) {
            (None, _) => {
                refused(Refusal::may_have_run(RefusalReason::KeyInProgress, Some(RETRY_WAIT)))
            }
            (Some(Verdict::Ran), Some(answer)) => KeyDecision::Answer(answer.clone()),
            (Some(Verdict::Ran), None) => refused(ran_refusal()),
            (Some(Verdict::MayHaveRun), _) => {
                refused(Refusal::may_have_run(RefusalReason::KeyMayHaveRun, None))
            }
            (Some(Verdict::NotRun), _) if self.hand_over.is_some() => hand_over_refusal(),
            (Some(Verdict::NotRun), _) => {
                record.request = claim.request;
                record.verdict = None;
                record.touched = now;
                KeyDecision::First
            }
        };
        Some(decision)
    }

    /// Records a claim whose request may run.
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

    /// Records how a claimed request ended. An outcome is ignored where it comes from another request than the
    /// record's, or where the record has a verdict already.
    pub fn outcome(&mut self, now: WallTime, outcome: KeyOutcome) {
        let key = (outcome.claim.account.clone(), outcome.claim.key.clone());
        let request = outcome.claim.request;
        let new_record =
            KeyRecord { key: key.clone(), request, verdict: None, answer: None, touched: now };
        let record = self.records.entry(key).or_insert(new_record);
        if record.request != request || record.verdict.is_some() {
            return;
        }
        record.verdict = Some(outcome.verdict);
        record.answer = outcome.answer;
        record.touched = now;
    }
}

/// Returns the decision that refuses a claim.
pub(crate) fn refused(refusal: Refusal) -> KeyDecision {
    KeyDecision::Known(refusal)
}

/// Returns the refusal of a claim whose key ran and has no stored answer.
fn ran_refusal() -> Refusal {
    Refusal { reason: RefusalReason::KeyRan, verdict: Verdict::Ran, retry_after: None }
}

/// Returns the decision on a claim while its slot is being handed over, when no daemon allows an unclaimed key to run.
pub(crate) fn hand_over_refusal() -> KeyDecision {
    refused(Refusal::not_run(RefusalReason::KeyHomeUnreachable, Some(RETRY_WAIT)))
}
