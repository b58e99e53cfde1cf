//! Tests of the fleet's wall clock, with fed readings and times.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use super::{FleetClock, TooFewClocks, COMPLETION_WAIT, MAX_AGE};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

const RIGHT: u64 = 1_800_000_000_000_000;
const YEAR: u64 = 365 * 86_400 * 1_000_000;

fn names(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(ToString::to_string).collect()
}

/// The clocks of five members of which this node's is a year ahead.
fn known_fleet(at: Instant) -> FleetClock {
    let mut clock = FleetClock::default();
    for (member, unix_us) in [
        ("own", RIGHT + YEAR),
        ("b", RIGHT),
        ("c", RIGHT),
        ("d", RIGHT - YEAR),
        ("e", RIGHT + 90_000_000),
    ] {
        clock.record(member, unix_us, at);
    }
    clock
}

#[test]
fn node_that_is_alone_does_not_go_by_its_own_wrong_clock() {
    let start = Instant::now();
    let mut clock = known_fleet(start);
    let all = names(&["own", "b", "c", "d", "e"]);
    assert_eq!(clock.now(&all, start), Ok(RIGHT));
    // All others have stopped, and the membership has dropped them.
    let later = start + Duration::from_secs(30);
    clock.record("own", RIGHT + YEAR + 30_000_000, later);
    assert_eq!(clock.now(&names(&["own"]), later), Ok(RIGHT + 30_000_000));
}

#[test]
fn step_of_the_own_clock_does_not_move_the_fleets() {
    let start = Instant::now();
    let mut clock = known_fleet(start);
    clock.record("own", RIGHT, start);
    let all = names(&["own", "b", "c", "d", "e"]);
    assert_eq!(clock.now(&all, start), Ok(RIGHT));
    let later = start + Duration::from_secs(1);
    clock.record("own", RIGHT + YEAR, later);
    assert_eq!(clock.now(&all, later), Ok(RIGHT + 1_000_000));
}

#[test]
fn no_time_is_given_until_all_clocks_or_after_a_while_a_majority_are_known() {
    let start = Instant::now();
    let mut clock = FleetClock::default();
    clock.record("own", RIGHT + YEAR, start);
    clock.record("b", RIGHT, start);
    clock.record("c", RIGHT, start);
    let all = names(&["own", "b", "c", "d", "e"]);
    let few = TooFewClocks {
        known: 3,
        members: 5,
    };
    assert_eq!(clock.now(&all, start), Err(few));
    let later = start + COMPLETION_WAIT;
    assert_eq!(clock.now(&all, later), Ok(RIGHT + 2_000_000));
    let mut alone = FleetClock::default();
    alone.record("own", RIGHT + YEAR, start);
    assert!(alone.now(&all, start).is_err());
    assert!(
        alone.now(&all, later).is_err(),
        "one of five names no interval"
    );
    // A fleet of one goes by its own clock.
    assert_eq!(alone.now(&names(&["own"]), start), Ok(RIGHT + YEAR));
}

#[test]
fn clock_that_has_not_answered_for_long_is_forgotten() {
    let start = Instant::now();
    let mut clock = known_fleet(start);
    let later = start + MAX_AGE;
    clock.record("own", RIGHT, later);
    let all = names(&["own", "b", "c", "d", "e"]);
    let few = TooFewClocks {
        known: 1,
        members: 5,
    };
    assert_eq!(clock.now(&all, later), Err(few));
}
