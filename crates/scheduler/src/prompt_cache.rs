//! What of a prompt is expected to be found in a replica's cache, learned from what answers say they found there.

use crate::statistics::LEARNING_RATE;
use crate::types::{CacheHitRates, IncomingRequest, LearnedState, ReplicaId, SessionRecord};
use std::collections::{BTreeMap, VecDeque};

/// Sessions remembered; the oldest is forgotten for a new one.
const MAX_SESSIONS: usize = 16_384;
/// Tokens expected in a cache, the mean before any answer.
const DEFAULT_EXPECTED_TOKENS: f64 = 1000.0;
/// Weight of one answer in the mean of tokens expected.
const EXPECTED_TOKENS_WEIGHT: f64 = 0.05;
/// Weight of one answer of mean length in a hit rate.
const HIT_RATE_WEIGHT: f64 = LEARNING_RATE / 2.0;
/// The most that one long prompt counts in a hit rate.
const MAX_HIT_RATE_WEIGHT: f64 = 0.5;
/// Fewer tokens than this expected in a cache teach nothing.
const MIN_EXPECTED_TOKENS: f64 = 1.0;

/// Why a replica is expected to hold a part of a prompt in its cache.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) enum CacheSource {
    /// At most the beginning that the prompt shares with other sessions.
    SharedPrefix,
    /// It is the session's affinity replica, and this router has not seen the session's earlier turns.
    AffinityReplica,
    /// This router sent the previous turn there.
    PreviousTurn,
}

/// How far one cache source can be relied on.
#[derive(Clone, Copy)]
struct HitRate {
    /// The part of the tokens expected that was found, from 0 to 1.
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

    /// The mean is over tokens, not requests: first turns are many, and they have little to be found.
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

/// Where the previous turn of a session was read.
#[derive(Clone, Copy)]
pub(crate) struct PreviousTurn {
    pub(crate) replica: ReplicaId,
    /// The prompt tokens read there.
    pub(crate) prompt_tokens: f64,
}

/// Where this router sent the last turn of its sessions. Bounded: the oldest session is forgotten first.
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

/// What has been learned of the replicas' prompt caches.
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
            // If it is believed too little, affinity replicas are passed over, and then there is little to be found there.
            affinity_replica: HitRate::new(0.8),
            previous_turn: HitRate::new(1.0),
        }
    }

    /// Where this router sent the session's previous turn.
    pub(crate) fn previous_turn(&self, session: u64) -> Option<PreviousTurn> {
        self.sessions.get(session)
    }

    /// The part, from 0 to 1, of the tokens expected from this source that are found.
    pub(crate) fn hit_rate(&self, source: CacheSource) -> f64 {
        match source {
            CacheSource::SharedPrefix => self.shared_prefix.rate,
            CacheSource::AffinityReplica => self.affinity_replica.rate,
            CacheSource::PreviousTurn => self.previous_turn.rate,
        }
    }

    /// Takes what an answer says it found in the cache of `replica`, where it was sent for `source`.
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
                let read = previous.map_or(0.0, |turn| turn.prompt_tokens.min(prompt));
                self.previous_turn.record(cached_tokens, read);
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

    /// Adds what has been learned to the state for another process.
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

    /// Takes over those sessions of another process that are not known here.
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

    /// Continues from the hit rates that another process has learned.
    pub(crate) fn restore_hit_rates(&mut self, rates: CacheHitRates) {
        self.shared_prefix.rate = rates.shared_prefix;
        self.affinity_replica.rate = rates.affinity_replica;
        self.previous_turn.rate = rates.previous_turn;
    }
}

#[cfg(test)]
mod tests;
