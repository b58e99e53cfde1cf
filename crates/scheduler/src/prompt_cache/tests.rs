//! Unit tests of the prompt cache model.

use super::{CacheSource, PreviousTurn, PromptCacheModel, SessionTable, MAX_SESSIONS};
use crate::types::{IncomingRequest, ReplicaId, RequestId};

fn replica() -> ReplicaId {
    ReplicaId("10.0.0.1:80".parse().unwrap())
}

fn request(prompt_tokens: u64) -> IncomingRequest {
    IncomingRequest {
        id: RequestId(1),
        class: 0,
        tenant: 0,
        session: Some(7),
        shared_prefix: None,
        time_left: 1.0,
        expected_work: None,
        prompt_tokens,
        shared_prefix_tokens: 0,
        max_output_tokens: 100,
        is_client_retry: false,
    }
}

#[test]
fn answer_sets_the_previous_turn_of_its_session() {
    let mut model = PromptCacheModel::new();
    assert!(model.previous_turn(7).is_none());
    model.record_cached_tokens(&request(900), replica(), CacheSource::AffinityReplica, 0.0);
    let turn = model.previous_turn(7).unwrap();
    assert_eq!((turn.replica, turn.prompt_tokens), (replica(), 900.0));
}

#[test]
fn hit_rate_falls_if_nothing_is_found() {
    let mut model = PromptCacheModel::new();
    let before = model.hit_rate(CacheSource::AffinityReplica);
    model.record_cached_tokens(&request(1000), replica(), CacheSource::AffinityReplica, 0.0);
    let after = model.hit_rate(CacheSource::AffinityReplica);
    assert!(after < before);
    assert_eq!(model.hit_rate(CacheSource::SharedPrefix), 1.0);
}

#[test]
fn prompt_without_expected_tokens_does_not_change_the_hit_rate() {
    let mut model = PromptCacheModel::new();
    model.record_cached_tokens(&request(1000), replica(), CacheSource::SharedPrefix, 0.0);
    assert_eq!(model.hit_rate(CacheSource::SharedPrefix), 1.0);
}

#[test]
fn oldest_session_is_evicted_first() {
    let mut sessions = SessionTable::default();
    let turn = PreviousTurn {
        replica: replica(),
        prompt_tokens: 1.0,
    };
    for session in 0..=MAX_SESSIONS as u64 {
        sessions.insert(session, turn);
    }
    assert!(sessions.get(0).is_none());
    assert!(sessions.get(1).is_some());
    assert_eq!(sessions.turns.len(), MAX_SESSIONS);
}
