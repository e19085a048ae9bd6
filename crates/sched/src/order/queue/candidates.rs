//! Selects the requests of one account that may be granted next.
//!
//! Owns: how many there are. Relies on: the order of the account's queue.

use crate::order::waiting::WaitingRequest;

/// Requests of an account's queue that are candidates, so that one that suits no target does not delay the others.
const CANDIDATES_PER_ACCOUNT: usize = 4;

/// Requests of an account's queue that are searched for candidates beside those that are limited to a version.
const SEARCHED_PER_ACCOUNT: usize = 32;

/// Returns the candidates among the requests of an account. Those that are limited to a version of the targets are
/// counted apart, so that they do not delay the others while the targets of their version are busy.
pub(super) fn first_candidates<'a>(
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
