//! Compares stored formats with golden files: the learned-state record, and the JSON log that `poppykeel streams` reads. Files
//! that an earlier version wrote must stay readable.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use poppykeel::routing::learned_state::{decode, encode, ProcessToken};
use poppykeel_scheduler::{
    BatchSize, CacheHitRates, LearnedState, PrefillTime, ServiceTime, SessionRecord,
};
use poppykeel_site_settings::SiteNames;
use poppykeel_stub_model_server::{ReplyScript, StubServers};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;
use support::Node;

const LEARNED_STATE: &str = "learned-state.record";
/// The log of a node, written by `serve --log-format json`.
const NODE_LOG: &str = "node-log.jsonl";
/// Output of `poppykeel streams` for that log.
const STREAMS_TABLE: &str = "streams-table.txt";
/// Fields of the summary that were renamed after the golden log was written: the old and the present name.
const RENAMED_FIELDS: [(&str, &str); 9] = [
    ("window", "concurrency_limit"),
    ("out", "in_flight"),
    ("waiting", "queued_by_tenant"),
    ("live", "active"),
    ("served", "completed"),
    ("refused", "rejected"),
    ("gone", "disconnected"),
    ("sent", "attempts_started"),
    ("ends", "failed_attempts"),
];
/// Log messages that `poppykeel streams` and the testbed's view read. They also read `list changed`, which is not checked
/// here.
const SUMMARIES: [&str; 3] = ["summary", "streams", "streams of a replica"];
/// The process that wrote the record.
const WRITER: ProcessToken = ProcessToken(0x0123_4567_89ab_cdef);
/// The process that reads the record.
const READER: ProcessToken = ProcessToken(2);
/// When the record was written, in milliseconds of Unix time.
const WRITTEN_AT: i64 = 1_700_000_000_123;

/// Path of a golden file.
fn golden_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name)
}

/// Asserts that `written`, the output of the present code, equals the golden file.
fn assert_equals_golden_file(name: &str, written: &[u8]) {
    let committed = fs::read(golden_path(name)).unwrap();
    assert!(written == committed, "{name}: the bytes differ");
}

/// The names of the site at which the record was written.
fn names() -> SiteNames {
    SiteNames {
        classes: vec!["chat".into(), "batch".into()],
        zones: vec!["east".into(), "west".into(), "north".into()],
        host_types: vec!["small".into(), "large".into()],
        ..SiteNames::default()
    }
}

fn prefill_time(host_type: usize, samples: f64, mean_logarithm: f64) -> PrefillTime {
    PrefillTime {
        host_type,
        samples,
        mean_logarithm,
    }
}

fn service_time(host_type: usize, mean: f64) -> ServiceTime {
    ServiceTime { host_type, mean }
}

fn batch_size(host_type: usize, requests: f64) -> BatchSize {
    BatchSize {
        host_type,
        requests,
    }
}

fn session_record(session: u64, replica: &str, prompt_tokens: f64) -> SessionRecord {
    SessionRecord {
        session,
        replica: replica.parse().unwrap(),
        prompt_tokens,
    }
}

/// Learned state with a distinct value in every field.
fn learned_state() -> LearnedState {
    LearnedState {
        requests_seen: 1_000_001,
        mean_request_cost: 2.5,
        mean_time_to_first_token: 0.375,
        mean_service_time: 4.25,
        dispatched_cost_rate: 5.125,
        attempt_rate: 6.0625,
        concurrency_per_replica: 7.75,
        prefill_times: vec![prefill_time(0, 801.0, -8.25), prefill_time(1, 802.0, 8.5)],
        service_times: vec![service_time(0, 9.25), service_time(1, 9.5)],
        batch_sizes: vec![batch_size(0, 10.25), batch_size(1, 10.5)],
        cache_hit_rates: CacheHitRates {
            shared_prefix: 0.125,
            affinity_replica: 0.25,
            previous_turn: 0.5,
        },
        tokens_per_work_second: Some(1_200.5),
        mean_queued_tokens: 13.75,
        sessions: vec![
            session_record(141, "192.0.2.14:8014", 1_400.5),
            session_record(u64::MAX, "[2001:db8::15]:8015", 1_500.25),
        ],
    }
}

#[test]
fn golden_learned_state_stays_readable() {
    let record = fs::read(golden_path(LEARNED_STATE)).unwrap();
    let one_second_later = WRITTEN_AT + 1_000;
    let read_back = decode(&record, READER, one_second_later, &names());
    assert_eq!(read_back, Ok(learned_state()));
}

#[test]
fn same_learned_state_is_written_as_the_same_record() {
    let record = encode(WRITER, WRITTEN_AT, &names(), learned_state());
    assert_equals_golden_file(LEARNED_STATE, &record);
}

#[test]
fn streams_table_of_golden_log_stays_the_same() {
    let output = Command::new(env!("CARGO_BIN_EXE_poppykeel"))
        .arg("streams")
        .arg(golden_path(NODE_LOG))
        .output()
        .unwrap();
    assert!(output.status.success(), "{output:?}");
    assert_equals_golden_file(STREAMS_TABLE, &output.stdout);
}

/// The present name of a field of the golden log. Only fields of the summary have been renamed.
fn present_name(message: &str, field: &str) -> String {
    let renamed = RENAMED_FIELDS.iter().find(|(golden, _)| *golden == field);
    match renamed {
        Some((_, present)) if message == "summary" => present.to_string(),
        _ => field.to_string(),
    }
}

/// The field names of the last log event with each message in a JSON log.
fn fields_by_message(log: &str) -> BTreeMap<String, BTreeSet<String>> {
    let mut fields = BTreeMap::new();
    for line in log.lines() {
        let event: Value = serde_json::from_str(line).unwrap();
        let message = event["message"].as_str().unwrap().to_string();
        let names = event.as_object().unwrap().keys().cloned().collect();
        fields.insert(message, names);
    }
    fields
}

/// The log of a node that has served a few streams, up to its first summary.
fn present_log() -> String {
    let servers = StubServers::start(vec![ReplyScript::default()]).unwrap();
    let node = Node::builder("golden-log")
        .replicas(servers.addrs())
        .start();
    let observations = support::run_clients(&node, 2, 4, 12, |number| format!("prompt {number}"));
    assert_eq!(observations.len(), 4);
    node.wait_for_log("streams of a replica");
    let lines = node.log.lock().unwrap();
    lines.join("\n")
}

#[test]
fn present_summaries_have_the_fields_of_the_golden_log() {
    let golden_log = fs::read_to_string(golden_path(NODE_LOG)).unwrap();
    let golden = fields_by_message(&golden_log);
    let present = fields_by_message(&present_log());
    for message in SUMMARIES {
        let golden_fields = golden[message].iter();
        let expected: BTreeSet<String> = golden_fields
            .map(|field| present_name(message, field))
            .collect();
        assert_eq!(present.get(message), Some(&expected), "{message}");
    }
}
