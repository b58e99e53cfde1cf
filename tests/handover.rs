//! Handover of learned state from one process of a node to the next: which records the next process accepts, and a handover
//! between two running processes.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use poppykeel::routing::learned_state::{decode, encode, LearnedStateError, ProcessToken};
use poppykeel_scheduler::{CacheHitRates, LearnedState, PrefillTime, SessionRecord};
use poppykeel_site_settings::SiteNames;
use poppykeel_stub_model_server::{ClientOutcome, ReplyScript, StubServers};
use proptest::prelude::{any, prop_assert, proptest};
use std::process::Command;
use std::time::{Duration, Instant};
use support::{send_request, Node};

/// The process that writes the records, and the one that reads them.
const WRITER: ProcessToken = ProcessToken(1);
const READER: ProcessToken = ProcessToken(2);

/// Time at which records are written, in milliseconds of Unix time.
const NOW_MS: i64 = 1_000_000;

fn names() -> SiteNames {
    SiteNames {
        host_types: vec!["k".into()],
        classes: vec!["chat".into()],
        ..SiteNames::default()
    }
}

fn prefill_time(samples: f64, mean_logarithm: f64) -> PrefillTime {
    PrefillTime {
        host_type: 0,
        samples,
        mean_logarithm,
    }
}

fn learned_state() -> LearnedState {
    let session = SessionRecord {
        session: 7,
        replica: "10.0.0.1:80".parse().unwrap(),
        prompt_tokens: 800.0,
    };
    LearnedState {
        requests_seen: 9,
        mean_service_time: 1.0,
        sessions: vec![session],
        prefill_times: vec![prefill_time(4.0, 0.3)],
        ..LearnedState::default()
    }
}

/// Learned state with values that cannot result from traffic.
fn implausible_states() -> [LearnedState; 4] {
    [
        LearnedState {
            mean_time_to_first_token: f64::NAN,
            ..learned_state()
        },
        LearnedState {
            concurrency_per_replica: -1.0,
            ..learned_state()
        },
        LearnedState {
            prefill_times: vec![prefill_time(1.0, 1e6)],
            ..learned_state()
        },
        LearnedState {
            cache_hit_rates: CacheHitRates {
                shared_prefix: 2.0,
                affinity_replica: 2.0,
                previous_turn: 2.0,
            },
            ..learned_state()
        },
    ]
}

#[test]
fn accepts_only_fresh_records_of_another_process_of_the_same_site() {
    let names = names();
    let bytes = encode(WRITER, NOW_MS, &names, learned_state());
    let read_at = |unix_ms| decode(&bytes, READER, unix_ms, &names);
    assert_eq!(read_at(NOW_MS + 9_000), Ok(learned_state()));
    assert_eq!(
        decode(&bytes, WRITER, NOW_MS, &names),
        Err(LearnedStateError::WrittenByThisProcess)
    );
    assert_eq!(
        read_at(NOW_MS + 11_000),
        Err(LearnedStateError::AgeOutOfRange(11_000))
    );
    assert_eq!(
        read_at(NOW_MS - 2_000),
        Err(LearnedStateError::AgeOutOfRange(-2_000))
    );
    let other_site = SiteNames {
        host_types: vec!["other".into()],
        ..names.clone()
    };
    assert_eq!(
        decode(&bytes, READER, NOW_MS, &other_site),
        Err(LearnedStateError::DifferentSite)
    );
    for learned_state in implausible_states() {
        assert_eq!(
            decode(
                &encode(WRITER, NOW_MS, &names, learned_state),
                READER,
                NOW_MS,
                &names
            ),
            Err(LearnedStateError::Implausible)
        );
    }
    for at in 0..bytes.len() {
        assert_eq!(
            decode(&bytes[..at], READER, NOW_MS, &names),
            Err(LearnedStateError::Malformed),
            "cut at {at}"
        );
        let mut damaged = bytes.clone();
        damaged[at] ^= 0x10;
        assert_eq!(
            decode(&damaged, READER, NOW_MS, &names),
            Err(LearnedStateError::Malformed),
            "{at}"
        );
    }
}

proptest! {
    #[test]
    fn rejects_arbitrary_bytes_as_a_record(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        prop_assert!(decode(&bytes, READER, 0, &names()).is_err());
    }
}

/// Waits until a node has imported learned state `count` times, and returns its log.
fn log_after_imports(node: &Node, count: usize) -> String {
    let started_at = Instant::now();
    loop {
        let log = node.log.lock().unwrap().join("\n");
        let import_count = log
            .matches("learned state imported from the previous process")
            .count();
        if import_count >= count {
            return log;
        }
        assert!(started_at.elapsed() < Duration::from_secs(10), "{log}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn send_one_request(node: &Node) {
    let (id, mut stream) = send_request(node, "once more", 5);
    let served = support::read_response(id, "once more", 5, &mut stream);
    assert_eq!(served.outcome, ClientOutcome::Completed);
}

/// The old process writes its learned state when the new process requests it, and again when it is terminated.
#[test]
fn second_process_imports_the_learned_state_of_the_first() {
    let server = StubServers::start(vec![ReplyScript {
        token_count: 5,
        ..ReplyScript::default()
    }])
    .unwrap();
    let folder = std::env::temp_dir().join(format!("handover-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let operator = format!("[handover]\nfolder = {:?}\n", folder.display().to_string());
    let mut old = Node::builder("handover-old")
        .replicas(server.addrs())
        .operator(&operator)
        .start();
    for _ in 0..20 {
        send_one_request(&old);
    }
    let new = Node::builder("handover-new")
        .replicas(server.addrs())
        .operator(&operator)
        .listen(old.addr)
        .start();
    assert!(log_after_imports(&new, 1).contains("\"requests\":20"));
    assert!(Command::new("kill")
        .args(["-TERM", &old.child.id().to_string()])
        .status()
        .unwrap()
        .success());
    assert!(old.child.wait().unwrap().success());
    log_after_imports(&new, 2);
    send_one_request(&new);
    drop(new);
    std::fs::remove_dir_all(folder).unwrap();
}
