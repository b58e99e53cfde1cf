//! The prefix cache of a model server, with least-recently-used eviction.
//!
//! vLLM and `SGLang` cache blocks of tokens; here an entry is a whole prefix under the id of its session or shared
//! prefix. The cache itself has no capacity: its owner, [`super::model_server::ModelServer`], evicts entries when
//! running requests need memory.

use std::collections::{HashMap, VecDeque};

/// Stale uses are removed when the number of uses exceeds twice that of the entries by more than this.
const STALE_USE_ALLOWANCE: usize = 64;

/// One cached prefix.
#[derive(Clone, Copy, Debug)]
struct Entry {
    tokens: u32,
    /// The sequence number of its latest use.
    last_use: u64,
}

/// One use of an entry. It is stale if the entry has been used again since.
#[derive(Clone, Copy, Debug)]
struct Use {
    prefix_id: u64,
    sequence_number: u64,
}

/// Cached token counts by prefix id.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    /// Only used for lookups and never iterated: the order of iteration would differ between runs.
    entries: HashMap<u64, Entry>,
    /// Uses in chronological order, including stale ones.
    uses: VecDeque<Use>,
    next_use: u64,
    cached_tokens: u64,
}

impl PrefixCache {
    /// Returns the number of tokens cached under an id, or 0. A hit counts as a use.
    pub fn lookup(&mut self, prefix_id: u64) -> u32 {
        let sequence_number = self.next_use;
        let Some(entry) = self.entries.get_mut(&prefix_id) else {
            return 0;
        };
        entry.last_use = sequence_number;
        let tokens = entry.tokens;
        self.record_use(prefix_id);
        tokens
    }

    /// Caches a prefix of `tokens` under an id and replaces the previous entry.
    pub fn insert(&mut self, prefix_id: u64, tokens: u32) {
        let entry = Entry {
            tokens,
            last_use: self.next_use,
        };
        let previous = self.entries.insert(prefix_id, entry);
        let previous_tokens = previous.map_or(0, |previous| previous.tokens);
        self.cached_tokens = self.cached_tokens + u64::from(tokens) - u64::from(previous_tokens);
        self.record_use(prefix_id);
    }

    /// Evicts the least recently used entries until at most `max_tokens` are cached.
    pub fn evict_down_to(&mut self, max_tokens: u64) {
        while self.cached_tokens > max_tokens {
            let Some(oldest) = self.uses.pop_front() else {
                return;
            };
            if self.is_latest_use(oldest) {
                let evicted = self.entries.remove(&oldest.prefix_id);
                self.cached_tokens -= evicted.map_or(0, |entry| u64::from(entry.tokens));
            }
        }
    }

    fn record_use(&mut self, prefix_id: u64) {
        self.uses.push_back(Use {
            prefix_id,
            sequence_number: self.next_use,
        });
        self.next_use += 1;
        self.remove_stale_uses();
    }

    fn is_latest_use(&self, candidate: Use) -> bool {
        self.entries
            .get(&candidate.prefix_id)
            .is_some_and(|entry| entry.last_use == candidate.sequence_number)
    }

    /// Prevents stale uses from accumulating when nothing is evicted.
    fn remove_stale_uses(&mut self) {
        if self.uses.len() <= 2 * self.entries.len() + STALE_USE_ALLOWANCE {
            return;
        }
        let entries = &self.entries;
        self.uses.retain(|candidate| {
            entries
                .get(&candidate.prefix_id)
                .is_some_and(|entry| entry.last_use == candidate.sequence_number)
        });
    }
}

#[cfg(test)]
mod tests;
