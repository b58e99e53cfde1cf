//! What a model server has kept of earlier prompts, least recently used first out (as vLLM's and SGLang's prefix
//! caches do it by blocks; here an entry is a whole beginning).

#![expect(clippy::doc_markdown, reason = "not yet converted")]

use std::collections::{HashMap, VecDeque};

/// Kept beginnings by name, with their tokens.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    /// Only looked up, never walked: a walk's order would differ from run to run.
    kept: HashMap<u64, (u32, u64)>,
    /// Uses in order; one whose number is no longer its entry's is stale.
    uses: VecDeque<(u64, u64)>,
    next: u64,
    tokens: u64,
}

impl PrefixCache {
    /// Tokens kept under this name, which counts as a use.
    pub fn used(&mut self, name: u64) -> u32 {
        let next = self.next;
        let Some(entry) = self.kept.get_mut(&name) else {
            return 0;
        };
        entry.1 = next;
        self.next += 1;
        self.uses.push_back((name, next));
        let tokens = entry.0;
        self.tidy();
        tokens
    }

    /// Keeps so many tokens under this name.
    pub fn keep(&mut self, name: u64, tokens: u32) {
        let before = self
            .kept
            .insert(name, (tokens, self.next))
            .map_or(0, |e| e.0);
        self.uses.push_back((name, self.next));
        self.next += 1;
        self.tokens = self.tokens + u64::from(tokens) - u64::from(before);
        self.tidy();
    }

    /// Lets go of what was used longest ago until no more than this is kept.
    pub fn shrink(&mut self, most: u64) {
        while self.tokens > most {
            let Some((name, number)) = self.uses.pop_front() else {
                return;
            };
            if self.kept.get(&name).is_some_and(|e| e.1 == number) {
                self.tokens -= self.kept.remove(&name).map_or(0, |e| u64::from(e.0));
            }
        }
    }

    /// Stale uses must not pile up where nothing is ever evicted.
    fn tidy(&mut self) {
        if self.uses.len() > 2 * self.kept.len() + 64 {
            let kept = &self.kept;
            self.uses
                .retain(|(name, number)| kept.get(name).is_some_and(|e| e.1 == *number));
        }
    }
}

#[cfg(test)]
mod tests;
