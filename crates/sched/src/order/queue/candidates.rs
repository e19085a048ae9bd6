//! Selects the requests of one account that may be granted next.
//!
//! Owns: how many there are. Relies on: the order of the account's queue.

use std::collections::BTreeMap;

use curlewcleat_core::{PermitId, RequestId, Uptime, VersionDigest};

use crate::order::waiting::{AccountQueue, QueueKey, TierQueue, WaitingRequest};

/// Requests of an account's queue that are candidates, so that one that suits no target does not delay the others.
const CANDIDATES_PER_ACCOUNT: usize = 4;

/// Requests of an account's queue that are searched for candidates beside those that are limited to a version.
const SEARCHED_PER_ACCOUNT: usize = 32;

/// Position of the first request of an account's queue that takes up no stream.
const FIRST_NEW: QueueKey = QueueKey {
    is_new: true,
    order: Uptime::ZERO,
    permit: PermitId { request: RequestId::from_u128(0), attempt: 0 },
};

/// Returns the first accounts of a queue. Those that only take up streams are counted apart: all targets of their
/// versions may be busy.
pub(super) fn first_accounts(
    queue: &TierQueue,
    accounts: usize,
) -> impl Iterator<Item = &AccountQueue> {
    let in_order = queue.by_served.iter();
    let mut counted = 0;
    in_order.filter_map(|(_, account)| queue.accounts.get(account)).take_while(
        move |account_queue| {
            counted += usize::from(account_queue.has_new());
            counted <= accounts
        },
    )
}

/// Returns the candidates among the requests of an account: those that take up streams, then the others.
pub(super) fn first_candidates(
    waiting: &BTreeMap<QueueKey, WaitingRequest>,
) -> impl Iterator<Item = &WaitingRequest> {
    let take_ups = waiting.range(..FIRST_NEW).map(|(_, waiting)| waiting);
    let new = waiting.range(FIRST_NEW..).map(|(_, waiting)| waiting);
    first_of_versions(take_ups).chain(first_new(new))
}

/// Returns the candidates among the requests that take up streams, counted for each version.
fn first_of_versions<'a>(
    waiting: impl Iterator<Item = &'a WaitingRequest>,
) -> impl Iterator<Item = &'a WaitingRequest> {
    let mut counts: BTreeMap<Option<VersionDigest>, usize> = BTreeMap::new();
    waiting.take(SEARCHED_PER_ACCOUNT).filter(move |waiting| {
        let count = counts.entry(waiting.request.version).or_default();
        *count += 1;
        *count <= CANDIDATES_PER_ACCOUNT
    })
}

/// Returns the candidates among the other requests. Those that are limited to a version of the targets are counted apart,
/// so that they do not delay the others while the targets of their version are busy.
fn first_new<'a>(
    waiting: impl Iterator<Item = &'a WaitingRequest>,
) -> impl Iterator<Item = &'a WaitingRequest> {
    let (mut limited, mut others) = (0, 0);
    let counted = waiting.take(SEARCHED_PER_ACCOUNT).map_while(move |waiting| {
        if others == CANDIDATES_PER_ACCOUNT {
            return None;
        }
        let count = if waiting.request.version.is_some() { &mut limited } else { &mut others };
        *count += 1;
        Some((*count <= CANDIDATES_PER_ACCOUNT).then_some(waiting))
    });
    counted.flatten()
}
