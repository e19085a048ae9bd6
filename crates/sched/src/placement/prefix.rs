//! Estimates which prefixes a target holds in its prompt cache.

use std::collections::BTreeMap;

/// A bounded set of prefix hashes that evicts the least recently used.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PrefixCache {
    /// Clock of the latest use, by prefix hash.
    by_hash: BTreeMap<u64, u64>,
    /// Prefix hash, by clock of its latest use.
    by_use: BTreeMap<u64, u64>,
    /// Number of uses so far.
    clock: u64,
}

impl PrefixCache {
    /// Returns whether the prefix is assumed to be cached.
    pub fn holds(&self, prefix: u64) -> bool {
        self.by_hash.contains_key(&prefix)
    }

    /// Records that the target has just computed or used the prefix, and evicts down to `limit` prefixes.
    /// Assuming too many cached prefixes costs more than assuming none.
    pub fn touch(&mut self, prefix: u64, limit: usize) {
        self.forget(prefix);
        self.clock += 1;
        self.by_hash.insert(prefix, self.clock);
        self.by_use.insert(self.clock, prefix);
        while self.by_hash.len() > limit {
            let Some((_, oldest)) = self.by_use.pop_first() else { return };
            self.by_hash.remove(&oldest);
        }
    }

    /// Removes all prefixes, for example after cache events were lost.
    pub fn clear(&mut self) {
        self.by_hash.clear();
        self.by_use.clear();
    }

    /// Removes a prefix that the target has evicted.
    pub fn forget(&mut self, prefix: u64) {
        if let Some(used) = self.by_hash.remove(&prefix) {
            self.by_use.remove(&used);
        }
    }
}
