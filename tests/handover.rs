//! What one process of a node leaves to the next: what of it is believed, what the module makes of it, and two processes
//! side by side.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]
#![expect(clippy::too_many_lines, reason = "not yet converted")]

#[allow(dead_code)] // the rest is for tests of streams
mod support;

use poppykeel::routing::handover::{read, write, Doubt};
use poppykeel_scheduler::interface::*;
use poppykeel_site_settings::SiteNames;
use poppykeel_stub_model_server::{Outcome as Seen, Script, Standin};
use proptest::prelude::*;
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
    let place = SessionRecord {
        session: 7,
        replica: "10.0.0.1:80".parse().unwrap(),
        prompt_tokens: 800.0,
    };
    LearnedState {
        requests_seen: 9,
        mean_service_time: 1.0,
        sessions: vec![place],
        prefill_times: vec![PrefillTime {
            host_type: 0,
            samples: 4.0,
            mean_logarithm: 0.3,
        }],
        ..LearnedState::default()
    }
}

#[test]
fn a_record_is_believed_for_a_short_time_by_another_process_of_the_same_site_alone() {
    let (now, names) = (1_000_000, names());
    let bytes = write(1, now, &names, memory());
    assert_eq!(read(&bytes, 2, now + 9_000, &names), Ok(memory()));
    assert_eq!(read(&bytes, 1, now, &names), Err(Doubt::Own));
    assert_eq!(
        read(&bytes, 2, now + 11_000, &names),
        Err(Doubt::Age(11_000))
    );
    assert_eq!(
        read(&bytes, 2, now - 2_000, &names),
        Err(Doubt::Age(-2_000))
    );
    let other = SiteNames {
        host_types: vec!["other".into()],
        ..names.clone()
    };
    assert_eq!(read(&bytes, 2, now, &other), Err(Doubt::OtherSite));
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
            prefill_times: vec![PrefillTime {
                host_type: 0,
                samples: 1.0,
                mean_logarithm: 1e6,
            }],
            ..memory()
        },
        LearnedState {
            cache_hit_rates: CacheHitRates {
                shared_prefix: 2.0,
                affinity_replica: 2.0,
                previous_turn: 2.0,
            },
            ..memory()
        },
    ];
    for memory in absurd {
        assert_eq!(
            read(&write(1, now, &names, memory), 2, now, &names),
            Err(Doubt::Absurd)
        );
    }
    for at in 0..bytes.len() {
        assert_eq!(
            read(&bytes[..at], 2, now, &names),
            Err(Doubt::Garbled),
            "cut at {at}"
        );
        let mut bad = bytes.clone();
        bad[at] ^= 0x10;
        assert_eq!(read(&bad, 2, now, &names), Err(Doubt::Garbled), "{at}");
    }
}

proptest! {
    #[test]
    fn bytes_from_anywhere_are_no_record(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        prop_assert!(read(&bytes, 2, 0, &names()).is_err());
    }
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
