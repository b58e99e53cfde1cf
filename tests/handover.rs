//! What one process of a node leaves to the next: what of it is believed, what the module makes of it, and two processes
//! side by side.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]
#![expect(
    clippy::min_ident_chars,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

#[allow(dead_code)] // each file of tests uses a part
#[path = "../crates/scheduler/tests/support/rig.rs"]
mod rig;
#[allow(dead_code)] // the rest is for tests of streams
mod support;

use poppykeel::routing::learned_state::{decode, encode, LearnedStateError};
use poppykeel_scheduler::interface::*;
use poppykeel_site_settings::SiteNames;
use poppykeel_stub_model_server::{Outcome as Seen, Script, Standin};
use proptest::prelude::*;
use rig::*;
use std::process::Command;
use std::time::{Duration, Instant};
use support::{ask, Node};

fn names() -> SiteNames {
    SiteNames {
        host_types: vec!["k".into()],
        classes: vec!["chat".into()],
        ..SiteNames::default()
    }
}

fn memory() -> LearnedState {
    let place = (7, "10.0.0.1:80".parse().unwrap(), 800.0);
    LearnedState {
        requests_seen: 9,
        mean_service_time: 1.0,
        sessions: vec![place],
        prefill_times: vec![(0, 4.0, 0.3)],
        ..LearnedState::default()
    }
}

#[test]
fn a_record_is_believed_for_a_short_time_by_another_process_of_the_same_site_alone() {
    let (now, names) = (1_000_000, names());
    let bytes = encode(1, now, &names, memory());
    assert_eq!(decode(&bytes, 2, now + 9_000, &names), Ok(memory()));
    assert_eq!(
        decode(&bytes, 1, now, &names),
        Err(LearnedStateError::WrittenByThisProcess)
    );
    assert_eq!(
        decode(&bytes, 2, now + 11_000, &names),
        Err(LearnedStateError::AgeOutOfRange(11_000))
    );
    assert_eq!(
        decode(&bytes, 2, now - 2_000, &names),
        Err(LearnedStateError::AgeOutOfRange(-2_000))
    );
    let other = SiteNames {
        host_types: vec!["other".into()],
        ..names.clone()
    };
    assert_eq!(
        decode(&bytes, 2, now, &other),
        Err(LearnedStateError::DifferentSite)
    );
    let absurd = [
        LearnedState {
            mean_time_to_first_token: f64::NAN,
            ..memory()
        },
        LearnedState {
            concurrency_per_replica: -1.0,
            ..memory()
        },
        LearnedState {
            prefill_times: vec![(0, 1.0, 1e6)],
            ..memory()
        },
        LearnedState {
            cache_hit_rates: [2.0; 3],
            ..memory()
        },
    ];
    for memory in absurd {
        assert_eq!(
            decode(&encode(1, now, &names, memory), 2, now, &names),
            Err(LearnedStateError::Implausible)
        );
    }
    for at in 0..bytes.len() {
        assert_eq!(
            decode(&bytes[..at], 2, now, &names),
            Err(LearnedStateError::Malformed),
            "cut at {at}"
        );
        let mut bad = bytes.clone();
        bad[at] ^= 0x10;
        assert_eq!(
            decode(&bad, 2, now, &names),
            Err(LearnedStateError::Malformed),
            "{at}"
        );
    }
}

proptest! {
    #[test]
    fn bytes_from_anywhere_are_no_record(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        prop_assert!(decode(&bytes, 2, 0, &names()).is_err());
    }
}

/// A router that takes over sends a session's next turn where the one before it sent the last, and lets as many
/// requests out; without what was handed over it does neither.
#[test]
fn a_router_goes_on_where_the_one_before_it_was() {
    let turn = |n: u64, session: u64| IncomingRequest {
        session: Some(session),
        ..request(n, 0, 0, 30.0)
    };
    let mut old = Rig::new(settings(), 8);
    for n in 1..=400 {
        let sent = sends(&old.tell(Event::RequestArrived(turn(n, n % 40))));
        assert_eq!(sent.len(), 1);
        old.now += 0.05;
        old.start(n, 0.05);
        let report = LoadReport {
            cached_prompt_tokens: Some(700.0),
            ..LoadReport::default()
        };
        let (request, outcome) = (RequestId(n), AttemptOutcome::Completed);
        old.tell(Event::AttemptEnded {
            request,
            attempt: 0,
            outcome,
            is_request_finished: true,
            report: Some(report),
        });
    }
    let memory = old.brain.export_learned_state();
    assert!(
        memory.is_plausible() && memory.sessions.len() == 40,
        "{memory:?}"
    );
    let same = |recall: bool| {
        let mut new = Rig::new(settings(), 8);
        if recall {
            new.brain.import_learned_state(&memory);
        }
        let places = memory
            .sessions
            .iter()
            .enumerate()
            .filter(|(n, (session, at, _))| {
                let n = 1000 + *n as u64;
                let sent = sends(&new.tell(Event::RequestArrived(turn(n, *session))));
                new.end(n, 0, AttemptOutcome::Completed, true);
                sent.first().is_some_and(|s| s.1 .0 == *at)
            });
        (places.count(), new.brain.gauges().0)
    };
    let (with, without) = (same(true), same(false));
    assert!(with.0 >= 36 && without.0 < 30, "{with:?} {without:?}");
    assert!(
        (with.1 - old.brain.gauges().0).abs() < 60.0,
        "{with:?} {}",
        old.brain.gauges().0
    );
}

/// The new process asks, the old one leaves what it has learned, and once more when it is told to end.
#[test]
fn a_second_process_learns_from_the_first_one() {
    let server = Standin::start(vec![Script {
        tokens: 5,
        ..Script::default()
    }])
    .unwrap();
    let folder = std::env::temp_dir().join(format!("handover-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let operator = format!("[handover]\nfolder = {:?}\n", folder.display().to_string());
    let mut old = Node::start("hand-old", server.addrs(), &operator, "safe");
    let serve = |node: &Node| {
        let (id, mut stream) = ask(node, "once more", 5);
        assert_eq!(
            support::read(id, "once more", 5, &mut stream).outcome,
            Seen::Whole
        );
    };
    (0..20).for_each(|_| serve(&old));
    let new = Node::process(
        "hand-new",
        server.addrs(),
        [&operator, "safe", "127.0.0.1:1"],
        Some(old.addr),
    );
    let learned = |count: usize| {
        let began = Instant::now();
        loop {
            let log = new.log.lock().unwrap().join("\n");
            if log.matches("learned from the process before").count() >= count {
                return log;
            }
            assert!(began.elapsed() < Duration::from_secs(10), "{log}");
            std::thread::sleep(Duration::from_millis(20));
        }
    };
    assert!(learned(1).contains("\"requests\":20"));
    assert!(Command::new("kill")
        .args(["-TERM", &old.child.id().to_string()])
        .status()
        .unwrap()
        .success());
    assert!(old.child.wait().unwrap().success());
    learned(2);
    serve(&new);
    drop(new);
    std::fs::remove_dir_all(folder).unwrap();
}
