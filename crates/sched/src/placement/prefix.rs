//! What a target is believed to hold in its prompt cache.

use std::collections::BTreeMap;

/// A bounded set of prefix hashes that forgets the least recently used.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PrefixCache {
    by_hash: BTreeMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
    clock: u64,
}

impl PrefixCache {
    /// Whether the prefix is believed to be cached.
    pub fn holds(&self, prefix: u64) -> bool {
        self.by_hash.contains_key(&prefix)
    }

    /// Notes that the target has just computed or used the prefix; it is believed to hold `limit` of
    /// them. A belief that is too large costs more than none.
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

    /// Forgets everything, as when events about the cache were lost.
    pub fn clear(&mut self) {
        self.by_hash.clear();
        self.by_use.clear();
    }

    /// Notes that the target has evicted the prefix.
    pub fn forget(&mut self, prefix: u64) {
        if let Some(used) = self.by_hash.remove(&prefix) {
            self.by_use.remove(&used);
        }
    }
}
