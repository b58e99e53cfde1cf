//! A model of the replicas' prompt caches, learned from the cached tokens reported with answers.

use crate::statistics::LEARNING_RATE;
use crate::types::{CacheHitRates, IncomingRequest, LearnedState, ReplicaId, SessionRecord};
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of sessions whose last turn is stored.
const MAX_SESSIONS: usize = 16_384;
/// Initial mean of the tokens expected in a cache.
const DEFAULT_EXPECTED_TOKENS: f64 = 1000.0;
/// Weight of one answer in the mean of expected tokens.
const EXPECTED_TOKENS_WEIGHT: f64 = 0.05;
/// Weight in a hit rate of an answer with the mean number of expected tokens.
const HIT_RATE_WEIGHT: f64 = LEARNING_RATE / 2.0;
/// Upper bound of the weight of one long prompt in a hit rate.
const MAX_HIT_RATE_WEIGHT: f64 = 0.5;
/// With fewer expected tokens than this, an answer does not change the hit rate.
const MIN_EXPECTED_TOKENS: f64 = 1.0;

/// Why a replica is expected to have part of a prompt in its cache.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) enum CacheSource {
    /// Only the prefix that the prompt shares with other sessions is expected.
    SharedPrefix,
    /// The replica is the session's affinity replica, and the previous turn is unknown to this router.
    AffinityReplica,
    /// This router sent the previous turn to the replica.
    PreviousTurn,
}

/// The learned hit rate of one cache source.
#[derive(Clone, Copy)]
struct HitRate {
    /// The fraction, from 0 to 1, of the expected tokens that was found.
    rate: f64,
    mean_expected_tokens: f64,
}

impl HitRate {
    fn new(rate: f64) -> Self {
        HitRate {
            rate,
            mean_expected_tokens: DEFAULT_EXPECTED_TOKENS,
        }
    }

    /// Records an answer. The mean is over tokens, not requests, because first turns are frequent but have few cached
    /// tokens.
    fn record(&mut self, found_tokens: f64, expected_tokens: f64) {
        if expected_tokens < MIN_EXPECTED_TOKENS {
            return;
        }
        let weight = HIT_RATE_WEIGHT * expected_tokens / self.mean_expected_tokens;
        let deviation = expected_tokens - self.mean_expected_tokens;
        self.mean_expected_tokens += EXPECTED_TOKENS_WEIGHT * deviation;
        let found = (found_tokens / expected_tokens).clamp(0.0, 1.0);
        self.rate += weight.min(MAX_HIT_RATE_WEIGHT) * (found - self.rate);
    }
}

#[derive(Clone, Copy)]
pub(crate) struct PreviousTurn {
    pub(crate) replica: ReplicaId,
    pub(crate) prompt_tokens: f64,
}

/// The last turn of this router's sessions. Beyond [`MAX_SESSIONS`] the oldest session is evicted.
#[derive(Default)]
struct SessionTable {
    turns: BTreeMap<u64, PreviousTurn>,
    oldest_first: VecDeque<u64>,
}

impl SessionTable {
    fn get(&self, session: u64) -> Option<PreviousTurn> {
        self.turns.get(&session).copied()
    }

    fn insert(&mut self, session: u64, turn: PreviousTurn) {
        if self.turns.insert(session, turn).is_none() {
            self.oldest_first.push_back(session);
        }
        if self.oldest_first.len() > MAX_SESSIONS {
            if let Some(oldest) = self.oldest_first.pop_front() {
                self.turns.remove(&oldest);
            }
        }
    }
}

pub(crate) struct PromptCacheModel {
    sessions: SessionTable,
    shared_prefix: HitRate,
    affinity_replica: HitRate,
    previous_turn: HitRate,
}

impl PromptCacheModel {
    pub(crate) fn new() -> Self {
        PromptCacheModel {
            sessions: SessionTable::default(),
            shared_prefix: HitRate::new(1.0),
            // With a lower rate affinity replicas would be avoided, and then little would be found in their caches.
            affinity_replica: HitRate::new(0.8),
            previous_turn: HitRate::new(1.0),
        }
    }

    /// The session's previous turn, if this router sent it or imported it.
    pub(crate) fn previous_turn(&self, session: u64) -> Option<PreviousTurn> {
        self.sessions.get(session)
    }

    /// The fraction, from 0 to 1, of the expected tokens of this source that is found.
    pub(crate) fn hit_rate(&self, source: CacheSource) -> f64 {
        match source {
            CacheSource::SharedPrefix => self.shared_prefix.rate,
            CacheSource::AffinityReplica => self.affinity_replica.rate,
            CacheSource::PreviousTurn => self.previous_turn.rate,
        }
    }

    /// Records the cached tokens that `replica` reported with an answer; `source` is why they were expected.
    pub(crate) fn record_cached_tokens(
        &mut self,
        request: &IncomingRequest,
        replica: ReplicaId,
        source: CacheSource,
        cached_tokens: f64,
    ) {
        let prompt = request.prompt_tokens as f64;
        let shared = (request.shared_prefix_tokens as f64).min(prompt);
        let previous = request
            .session
            .and_then(|session| self.previous_turn(session));
        match source {
            CacheSource::SharedPrefix => self.shared_prefix.record(cached_tokens, shared),
            CacheSource::AffinityReplica => {
                self.affinity_replica
                    .record(cached_tokens - shared, prompt - shared);
            }
            CacheSource::PreviousTurn => {
                let expected = previous.map_or(0.0, |turn| turn.prompt_tokens.min(prompt));
                self.previous_turn.record(cached_tokens, expected);
            }
        }
        if let Some(session) = request.session {
            let turn = PreviousTurn {
                replica,
                prompt_tokens: prompt,
            };
            self.sessions.insert(session, turn);
        }
    }

    /// Writes hit rates and sessions to the learned state.
    pub(crate) fn export(&self, state: &mut LearnedState) {
        state.cache_hit_rates = CacheHitRates {
            shared_prefix: self.shared_prefix.rate,
            affinity_replica: self.affinity_replica.rate,
            previous_turn: self.previous_turn.rate,
        };
        for session in &self.sessions.oldest_first {
            if let Some(turn) = self.sessions.get(*session) {
                state.sessions.push(SessionRecord {
                    session: *session,
                    replica: turn.replica.0,
                    prompt_tokens: turn.prompt_tokens,
                });
            }
        }
    }

    /// Adds the sessions of another process that are unknown here.
    pub(crate) fn add_unknown_sessions(&mut self, sessions: &[SessionRecord]) {
        for record in sessions {
            if self.sessions.get(record.session).is_none() {
                let turn = PreviousTurn {
                    replica: ReplicaId(record.replica),
                    prompt_tokens: record.prompt_tokens,
                };
                self.sessions.insert(record.session, turn);
            }
        }
    }

    /// Restores the hit rates that another process has learned.
    pub(crate) fn restore_hit_rates(&mut self, rates: CacheHitRates) {
        self.shared_prefix.rate = rates.shared_prefix;
        self.affinity_replica.rate = rates.affinity_replica;
        self.previous_turn.rate = rates.previous_turn;
    }
}

#[cfg(test)]
mod tests;
