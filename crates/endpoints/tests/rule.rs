//! The rule by examples: each hard case once, in fed time.

#![expect(clippy::min_ident_chars, reason = "not yet converted")]

use poppykeel_endpoints::*;
use std::net::SocketAddr;

const SECOND: Micros = 1_000_000;
const MINUTE: Micros = 60 * SECOND;
const LIST: usize = 0;
const SRV: usize = 1;

fn addr(n: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 8000 + n))
}

fn id(n: u16) -> Entry {
    Entry::new(format!("s-{n}"), addr(n))
}

fn target(n: u16) -> Entry {
    Entry {
        priority: Some(10),
        ..Entry::new(format!("t{n}.example.test:{}", 8000 + n), addr(n))
    }
}

fn guard() -> Option<Guard> {
    Some(Guard {
        hold: 30 * SECOND,
        confirmations: 3,
        part: 0.5,
    })
}

fn settings() -> Settings {
    let list = SourceSettings {
        guard: guard(),
        ..SourceSettings::new("list", Kind::Naming)
    };
    let flaps = Flaps {
        free: 2,
        window: MINUTE,
        hold: 10 * SECOND,
        most: 5 * MINUTE,
    };
    let srv = SourceSettings::new("srv", Kind::Addressing);
    let srv = SourceSettings {
        guard: guard(),
        flaps: Some(flaps),
        ..srv
    };
    Settings {
        sources: vec![list, srv],
        ..Settings::default()
    }
}

fn ids(numbers: impl IntoIterator<Item = u16>) -> Told {
    Told::Whole(numbers.into_iter().map(id).collect())
}

fn targets(numbers: impl IntoIterator<Item = u16>) -> Told {
    Told::Whole(numbers.into_iter().map(target).collect())
}

fn change(n: u16, state: State) -> Told {
    Told::Changes(vec![Entry { state, ..id(n) }])
}

/// The ports, less 8000, of what takes work.
fn usable(members: &Membership) -> Vec<u16> {
    let mut ports: Vec<u16> = members
        .servers()
        .iter()
        .filter(|s| s.standing <= Standing::Held)
        .map(|s| s.entry.addr.port() - 8000)
        .collect();
    ports.sort_unstable();
    ports
}

#[test]
fn the_table_of_the_page_is_that_of_the_code_and_folds_in_any_order() {
    let page = include_str!("../../../docs/membership.md");
    let mut rows = 0;
    for line in page.lines() {
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        let word = |w: &str| OPINIONS.iter().copied().find(|o| o.word() == w);
        let [_, one, other, winner, stands, _] = cells[..] else {
            continue;
        };
        let (Some(one), Some(other)) = (word(one), word(other)) else {
            continue;
        };
        assert_eq!(wins(one, other), word(winner).unwrap(), "{line}");
        assert_eq!(standing(wins(one, other)).word(), stands, "{line}");
        rows += 1;
    }
    assert_eq!(rows, OPINIONS.len() * OPINIONS.len(), "every pair is a row");
    for a in OPINIONS {
        assert_eq!(wins(a, a), a);
        for b in OPINIONS {
            assert_eq!(wins(a, b), wins(b, a));
            for c in OPINIONS {
                assert_eq!(wins(wins(a, b), c), wins(a, wins(b, c)));
            }
        }
    }
}

#[test]
fn one_server_in_two_sources_is_one_server_with_the_lists_name() {
    let mut members = Membership::new(settings());
    members.told(0, SRV, targets([1, 2]));
    assert_eq!(
        members.servers()[0].name,
        "t1.example.test:8001@127.0.0.1:8001"
    );
    let changes = members.told(1, LIST, ids([1]));
    assert_eq!(
        changes.len(),
        2,
        "its DNS name leaves, its id comes: {changes:?}"
    );
    let servers = members.servers();
    let one = servers.iter().find(|s| s.name == "s-1").unwrap();
    assert_eq!((usable(&members), one.priority), (vec![1, 2], Some(10)));
    assert_eq!(members.sources(one).len(), 2);
}

#[test]
fn a_drained_server_still_in_dns_stays_out_through_many_lifetimes() {
    let mut members = Membership::new(settings());
    members.told(0, LIST, ids(1..=4));
    members.told(0, SRV, targets(1..=4));
    members.told(SECOND, LIST, change(2, State::Draining));
    assert_eq!(usable(&members), [1, 3, 4]);
    for n in 0..300 {
        let now = 2 * SECOND + n * 2 * SECOND;
        members.told(now, SRV, targets(1..=4));
        if n == 50 {
            members.told(now, LIST, change(2, State::Removed));
        }
        if n == 100 {
            members.told(now, LIST, Told::Failed);
        }
        if n == 150 {
            // A whole list without it says nothing new.
            members.told(now, LIST, ids([1, 3, 4]));
        }
        if n == 200 {
            // DNS calls it by another name: that is no proof of a new start.
            let renamed = Entry {
                name: "other.example.test:8002".into(),
                ..target(2)
            };
            members.told(
                now,
                SRV,
                Told::Whole(vec![target(1), renamed, target(3), target(4)]),
            );
        }
        assert_eq!(usable(&members), [1, 3, 4], "at {n}");
    }
    let out = members
        .servers()
        .into_iter()
        .find(|s| s.entry.addr == addr(2))
        .unwrap();
    assert!(
        members.reason(&out).contains("list took it away"),
        "{}",
        members.reason(&out)
    );
    // Only the list takes it back.
    members.told(20 * MINUTE, LIST, change(2, State::Up));
    assert_eq!(usable(&members), [1, 2, 3, 4]);
}

#[test]
fn a_new_server_at_an_old_address_is_in_and_inherits_no_name() {
    let mut members = Membership::new(settings());
    members.told(0, LIST, ids([1, 2, 3]));
    members.told(0, SRV, targets([1, 2, 3]));
    members.told(1, LIST, change(1, State::Removed));
    assert_eq!(usable(&members), [2, 3]);
    let new = Entry {
        name: "s-9".into(),
        ..id(1)
    };
    members.told(2, LIST, Told::Changes(vec![new]));
    assert_eq!(usable(&members), [1, 2, 3]);
    assert!(members
        .servers()
        .iter()
        .any(|s| s.name == "s-9" && s.standing == Standing::In));
    // What DNS withdrew is back by a new start that the list has seen, and not by anything else.
    members.told(3, SRV, targets([1, 3]));
    assert_eq!(usable(&members), [1, 3]);
    members.told(4, LIST, change(2, State::Up));
    assert_eq!(usable(&members), [1, 3]);
    members.told(
        5,
        LIST,
        Told::Changes(vec![Entry {
            started_ms: 77,
            ..id(2)
        }]),
    );
    assert_eq!(usable(&members), [1, 2, 3]);
    // In DNS alone, another name altogether is another server.
    let mut members = Membership::new(settings());
    members.told(0, SRV, targets([1, 2]));
    let renamed = Entry {
        name: "new.example.test:8001".into(),
        ..target(1)
    };
    let changes = members.told(1, SRV, Told::Whole(vec![renamed, target(2)]));
    let names: Vec<_> = changes
        .iter()
        .map(|s| (s.name.as_str(), s.standing))
        .collect();
    assert_eq!(names.len(), 2, "{names:?}");
    assert!(names.contains(&("t1.example.test:8001@127.0.0.1:8001", Standing::Out)));
    assert_eq!(usable(&members), [1, 2]);
}

#[test]
fn two_names_of_one_address_are_one_server() {
    let mut members = Membership::new(settings());
    let second = Entry {
        name: "alias.example.test:8001".into(),
        ..target(1)
    };
    let changes = members.told(0, SRV, Told::Whole(vec![target(1), second.clone()]));
    assert_eq!(changes.len(), 1, "{changes:?}");
    // Losing one of the names changes nothing.
    assert!(members.told(1, SRV, Told::Whole(vec![second])).is_empty());
    assert_eq!(usable(&members), [1]);
}

#[test]
fn nothing_listed_is_held_until_time_and_answers_confirm_it() {
    let mut members = Membership::new(settings());
    members.told(0, SRV, targets(1..=4));
    members.told(SECOND, SRV, targets([]));
    assert_eq!(usable(&members), [1, 2, 3, 4]);
    assert!(members
        .servers()
        .iter()
        .all(|s| s.standing == Standing::Held));
    assert!(members
        .reason(&members.servers()[0])
        .contains("1 answers said so"));
    // Lifetimes end in the middle of the hold, and look-ups fail: neither confirms anything.
    for n in 2..60 {
        members.told(n * SECOND, SRV, Told::Failed);
    }
    assert_eq!(usable(&members).len(), 4);
    // Time alone is not enough, nor are answers alone.
    members.told(60 * SECOND, SRV, targets([]));
    assert_eq!(usable(&members).len(), 4);
    members.told(61 * SECOND, SRV, targets([]));
    assert!(usable(&members).is_empty());

    let mut members = Membership::new(settings());
    members.told(0, SRV, targets(1..=4));
    (1..20).for_each(|n| drop(members.told(n * SECOND, SRV, targets([]))));
    assert_eq!(usable(&members).len(), 4);
    // Two come back and are believed at once; the others' count goes on from where it was.
    members.told(20 * SECOND, SRV, targets([1, 2]));
    let held = members
        .servers()
        .iter()
        .filter(|s| s.standing == Standing::Held)
        .count();
    assert_eq!(
        (usable(&members).len(), held),
        (2, 0),
        "two of four is no sudden loss"
    );
}

#[test]
fn many_small_losses_are_as_sudden_as_one_large_one() {
    let mut members = Membership::new(settings());
    members.told(0, SRV, targets(0..20));
    for n in 1..20_u16 {
        members.told(u64::from(n) * SECOND, SRV, targets(n..20));
    }
    assert_eq!(usable(&members).len(), 10);
    // Explicit words are never held, however many.
    let mut members = Membership::new(settings());
    members.told(0, LIST, ids(0..20));
    let drains = (0..20)
        .map(|n| Entry {
            state: State::Draining,
            ..id(n)
        })
        .collect();
    members.told(1, LIST, Told::Changes(drains));
    assert!(usable(&members).is_empty());
}

#[test]
fn a_list_without_news_confirms_what_it_lacks() {
    let mut members = Membership::new(settings());
    members.told(0, LIST, ids(1..=4));
    members.told(SECOND, LIST, ids([]));
    members.told(20 * SECOND, LIST, Told::Changes(vec![]));
    assert_eq!(usable(&members).len(), 4);
    members.told(40 * SECOND, LIST, Told::Changes(vec![]));
    assert!(usable(&members).is_empty());
}

#[test]
fn a_failed_look_up_never_removes_and_never_takes_back() {
    let mut members = Membership::new(settings());
    members.told(0, SRV, targets([1, 2, 3]));
    members.told(0, LIST, ids([1, 2, 3]));
    members.told(1, LIST, change(3, State::Draining));
    for source in [SRV, LIST] {
        members.told(2, source, Told::Failed);
    }
    members.turn(365 * 24 * 60 * MINUTE);
    assert_eq!(usable(&members), [1, 2]);
    let standings: Vec<_> = members.servers().iter().map(|s| s.standing).collect();
    assert_eq!(
        standings,
        [Standing::Held, Standing::Held, Standing::Draining]
    );
}

#[test]
fn sources_that_disagree_for_ever_have_the_union_less_what_either_took_away() {
    let mut members = Membership::new(settings());
    members.told(0, LIST, ids([1, 2, 3]));
    members.told(0, SRV, targets([2, 3, 4]));
    for n in 1..500 {
        members.told(n * SECOND, SRV, targets([2, 3, 4]));
        members.told(n * SECOND, LIST, Told::Changes(vec![]));
        assert_eq!(usable(&members), [1, 2, 3, 4]);
    }
    let abstains = |mut s: Settings| {
        s.sources[SRV].absence = Absence::Abstains;
        s
    };
    let mut lenient = Membership::new(abstains(settings()));
    for members in [&mut members, &mut lenient] {
        members.told(600 * SECOND, LIST, ids([1, 2, 3]));
        members.told(600 * SECOND, SRV, targets([2, 3, 4]));
        members.told(601 * SECOND, SRV, targets([3, 4]));
    }
    assert_eq!(
        (usable(&members), usable(&lenient)),
        (vec![1, 3, 4], vec![1, 2, 3, 4])
    );
}

#[test]
fn a_target_that_moves_is_another_server_and_a_moved_id_the_same_one() {
    let mut members = Membership::new(settings());
    members.told(0, SRV, targets([1, 2, 3]));
    let moved = Entry {
        addr: addr(7),
        ..target(1)
    };
    let changes = members.told(1, SRV, Told::Whole(vec![moved, target(2), target(3)]));
    assert_eq!(changes.len(), 2, "{changes:?}");
    assert_eq!(usable(&members), [2, 3, 7]);

    let mut members = Membership::new(settings());
    members.told(0, LIST, ids([1]));
    members.told(0, SRV, targets([1]));
    let changes = members.told(
        1,
        LIST,
        Told::Changes(vec![Entry {
            addr: addr(7),
            ..id(1)
        }]),
    );
    assert_eq!(changes[0].name, "s-1");
    // DNS still has the address that it left.
    assert_eq!(usable(&members), [7]);
}

#[test]
fn flapping_records_are_kept_out_and_a_source_that_always_flaps_is_not() {
    let mut members = Membership::new(settings());
    members.told(0, SRV, targets(0..10));
    let mut changes = 0;
    for n in 1..=60_u64 {
        let all = n % 2 == 0;
        changes += members
            .told(n * SECOND, SRV, targets(if all { 0..10 } else { 1..10 }))
            .len();
        changes += members.turn(n * SECOND + SECOND / 2).len();
    }
    assert!(changes <= 8, "{changes} changes for 60 flaps");
    assert_eq!(usable(&members), (1..10).collect::<Vec<_>>());
    // Listed steadily it is let in when its time is out.
    let due = members.due().unwrap();
    assert!(due > 60 * SECOND && due <= 60 * SECOND + 5 * MINUTE);
    assert_eq!(members.turn(due).len(), 1);
    assert_eq!(usable(&members).len(), 10);
    // Same name, same server: nothing was lost by it.
    assert!(members
        .servers()
        .iter()
        .any(|s| s.name == "t0.example.test:8000@127.0.0.1:8000"));

    // Each answer has another half: none is kept out for it.
    let mut members = Membership::new(settings());
    for n in 0..40_u64 {
        let from = (n % 2) as u16 * 2;
        members.told(n * SECOND, SRV, targets(from..from + 8));
        assert!(usable(&members).len() >= 8);
    }
}

#[test]
fn a_higher_priority_number_waits_where_that_is_set() {
    let backup = Entry {
        priority: Some(20),
        ..target(3)
    };
    let told = || Told::Whole(vec![target(1), target(2), backup.clone()]);
    let mut members = Membership::new(Settings {
        standby: true,
        ..settings()
    });
    members.told(0, SRV, told());
    assert_eq!(usable(&members), [1, 2]);
    let drains = [1, 2].map(|n| Entry {
        state: State::Draining,
        ..target(n)
    });
    members.told(
        1,
        SRV,
        Told::Whole([drains.to_vec(), vec![backup.clone()]].concat()),
    );
    assert_eq!(usable(&members), [3]);
    let mut members = Membership::new(settings());
    members.told(0, SRV, told());
    assert_eq!(usable(&members), [1, 2, 3]);
}

#[test]
fn new_settings_keep_what_sources_told() {
    let mut members = Membership::new(settings());
    members.told(0, LIST, ids([1, 2]));
    members.told(0, SRV, targets([1, 2, 3]));
    members.told(1, LIST, change(1, State::Draining));
    let mut only = settings();
    only.sources.reverse();
    members.set(2, only.clone());
    assert_eq!(usable(&members), [2, 3]);
    only.sources.truncate(1);
    members.set(3, only);
    assert_eq!(
        usable(&members),
        [1, 2, 3],
        "a source that is no longer asked has no say"
    );
}
