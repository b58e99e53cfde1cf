//! A step of the wall clock must not make a newly started replica count as warm.
//!
//! Discovery reports a replica's start in Unix time. The node converts it to its monotonic clock, for which it reads its own
//! wall clock. If that clock has been set forward by an hour, a replica that started a second ago would count as an hour old,
//! get the load of a warm replica from all nodes at once and be overloaded. The tests check the start times that the directory
//! passes to the scheduler.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use poppykeel::program::config::{NodeConfig, Overrides};
use poppykeel::protocol::discovery::parse_endpoint_list;
use poppykeel::routing::directory::EndpointDirectory;
use poppykeel::routing::ClockReading;
use poppykeel_endpoints::SourceUpdate;
use poppykeel_scheduler::Seconds;
use std::rc::Rc;

const UNIX_START_US: i64 = 1_700_000_000_000_000;
const SECOND_US: i64 = 1_000_000;
const HOUR_S: i64 = 3_600;
/// Age of the new replica when discovery reports it.
const AGE_S: i64 = 1;
/// When discovery reports the replica, in seconds after the start of the process.
const REPORTED_AT_S: i64 = 10;

fn directory() -> EndpointDirectory {
    let text = include_str!("exchanges/config.json")
        .replace("REPLICA", "127.0.0.1:1")
        .replace("DISCOVERY", "127.0.0.1:2");
    let config = NodeConfig::read(&text, Overrides::default()).unwrap();
    let sources = poppykeel::program::config::operator::OperatorConfig::default();
    EndpointDirectory::new(Rc::new(config.settings), sources.endpoint_source_settings())
}

/// A list with one replica that started at this Unix time.
fn list(started_us: i64) -> SourceUpdate {
    let text = format!(
        r#"{{"version":2,"full":true,"servers":[{{"id":"s-1","addr":"127.0.0.1:1","zone":"a","kind":"k","cell":0,
            "state":"up","weight":1.0,"started_ms":{}}}]}}"#,
        started_us / 1000
    );
    parse_endpoint_list(&serde_json::from_str(&text).unwrap())
        .unwrap()
        .into_source_update()
}

/// A clock reading `seconds` after the start of the process, with a wall clock that is `offset_s` ahead of the true time.
fn clock_reading(seconds: i64, offset_s: i64) -> ClockReading {
    ClockReading {
        monotonic: (seconds * SECOND_US) as u64,
        unix_us: UNIX_START_US + (seconds + offset_s) * SECOND_US,
    }
}

/// The start time that the directory derives for a replica of age `age_s`. The wall clock is ahead by `before_s` at the start
/// of the process and by `after_s` when discovery reports the replica.
fn started_at(age_s: i64, before_s: i64, after_s: i64) -> Seconds {
    let mut directory = directory();
    let empty = SourceUpdate::FullList(Vec::new());
    directory.apply_update("list", empty, clock_reading(0, before_s));
    let started_us = UNIX_START_US + (REPORTED_AT_S - age_s) * SECOND_US;
    let changes = directory.apply_update(
        "list",
        list(started_us),
        clock_reading(REPORTED_AT_S, after_s),
    );
    changes[0].endpoint.started_at.unwrap()
}

#[test]
fn new_replica_counts_as_new_after_a_wall_clock_step() {
    let expected = (REPORTED_AT_S - AGE_S) as Seconds;
    for (before_s, after_s) in [
        (0, 0),
        (0, HOUR_S),
        (0, -HOUR_S),
        (HOUR_S, 0),
        (-HOUR_S, 0),
        (0, 5),
        (0, -5),
    ] {
        let started_at = started_at(AGE_S, before_s, after_s);
        assert!(
            started_at >= expected - 1e-3,
            "clock offset changed from {before_s} s to {after_s} s: {started_at}"
        );
    }
}

#[test]
fn old_replica_counts_as_old_after_a_wall_clock_step() {
    for (before_s, after_s) in [(0, 0), (0, HOUR_S), (0, -HOUR_S)] {
        let started_at = started_at(10 * HOUR_S, before_s, after_s);
        assert!(started_at < -(HOUR_S as Seconds), "{started_at}");
    }
}
