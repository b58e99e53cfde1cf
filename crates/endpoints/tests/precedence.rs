//! The rule by examples: each hard case once, in fed time.

#![expect(clippy::min_ident_chars, reason = "not yet converted")]

use poppykeel_endpoints::*;
use std::net::SocketAddr;

const SECOND: MonotonicMicros = 1_000_000;
const MINUTE: MonotonicMicros = 60 * SECOND;
const LIST: usize = 0;
const SRV: usize = 1;

fn addr(n: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 8000 + n))
}

fn id(n: u16) -> ListedEndpoint {
    ListedEndpoint::new(format!("s-{n}"), addr(n))
}

fn target(n: u16) -> ListedEndpoint {
    ListedEndpoint {
        priority: Some(10),
        ..ListedEndpoint::new(format!("t{n}.example.test:{}", 8000 + n), addr(n))
    }
}

fn guard() -> Option<SuddenLossGuard> {
    Some(SuddenLossGuard {
        hold_time: 30 * SECOND,
        confirmation_count: 3,
        max_loss_fraction: 0.5,
    })
}

fn settings() -> RegistrySettings {
    let list = SourceSettings {
        sudden_loss_guard: guard(),
        ..SourceSettings::new("list", EndpointIdentity::ByName)
    };
    let flaps = FlapLimits {
        free_return_count: 2,
        window: MINUTE,
        initial_hold: 10 * SECOND,
        max_hold: 5 * MINUTE,
    };
    let srv = SourceSettings::new("srv", EndpointIdentity::ByAddress);
    let srv = SourceSettings {
        sudden_loss_guard: guard(),
        flap_limits: Some(flaps),
        ..srv
    };
    RegistrySettings {
        sources: vec![list, srv],
        ..RegistrySettings::default()
    }
}

fn ids(numbers: impl IntoIterator<Item = u16>) -> SourceUpdate {
    SourceUpdate::FullList(numbers.into_iter().map(id).collect())
}

fn targets(numbers: impl IntoIterator<Item = u16>) -> SourceUpdate {
    SourceUpdate::FullList(numbers.into_iter().map(target).collect())
}

fn change(n: u16, state: ListedState) -> SourceUpdate {
    SourceUpdate::Changes(vec![ListedEndpoint { state, ..id(n) }])
}

/// The ports, less 8000, of what takes work.
fn usable(members: &EndpointRegistry) -> Vec<u16> {
    let mut ports: Vec<u16> = members
        .endpoints()
        .iter()
        .filter(|s| s.status <= EndpointStatus::Held)
        .map(|s| s.listing.addr.port() - 8000)
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
        let word = |w: &str| SourceVerdict::ALL.iter().copied().find(|o| o.label() == w);
        let [_, one, other, winner, stands, _] = cells[..] else {
            continue;
        };
        let (Some(one), Some(other)) = (word(one), word(other)) else {
            continue;
        };
        assert_eq!(
            prevailing_verdict(one, other),
            word(winner).unwrap(),
            "{line}"
        );
        assert_eq!(
            prevailing_verdict(one, other).status().label(),
            stands,
            "{line}"
        );
        rows += 1;
    }
    assert_eq!(
        rows,
        SourceVerdict::ALL.len() * SourceVerdict::ALL.len(),
        "every pair is a row"
    );
    for a in SourceVerdict::ALL {
        assert_eq!(prevailing_verdict(a, a), a);
        for b in SourceVerdict::ALL {
            assert_eq!(prevailing_verdict(a, b), prevailing_verdict(b, a));
            for c in SourceVerdict::ALL {
                assert_eq!(
                    prevailing_verdict(prevailing_verdict(a, b), c),
                    prevailing_verdict(a, prevailing_verdict(b, c))
                );
            }
        }
    }
}

#[test]
fn one_server_in_two_sources_is_one_server_with_the_lists_name() {
    let mut members = EndpointRegistry::new(settings());
    members.apply_update(0, SRV, targets([1, 2]));
    assert_eq!(
        members.endpoints()[0].name,
        "t1.example.test:8001@127.0.0.1:8001"
    );
    let changes = members.apply_update(1, LIST, ids([1]));
    assert_eq!(
        changes.len(),
        2,
        "its DNS name leaves, its id comes: {changes:?}"
    );
    let servers = members.endpoints();
    let one = servers.iter().find(|s| s.name == "s-1").unwrap();
    assert_eq!((usable(&members), one.priority), (vec![1, 2], Some(10)));
    assert_eq!(members.source_verdicts(one).len(), 2);
}

#[test]
fn a_drained_server_still_in_dns_stays_out_through_many_lifetimes() {
    let mut members = EndpointRegistry::new(settings());
    members.apply_update(0, LIST, ids(1..=4));
    members.apply_update(0, SRV, targets(1..=4));
    members.apply_update(SECOND, LIST, change(2, ListedState::Draining));
    assert_eq!(usable(&members), [1, 3, 4]);
    for n in 0..300 {
        let now = 2 * SECOND + n * 2 * SECOND;
        members.apply_update(now, SRV, targets(1..=4));
        if n == 50 {
            members.apply_update(now, LIST, change(2, ListedState::Removed));
        }
        if n == 100 {
            members.apply_update(now, LIST, SourceUpdate::Failed);
        }
        if n == 150 {
            // A whole list without it says nothing new.
            members.apply_update(now, LIST, ids([1, 3, 4]));
        }
        if n == 200 {
            // DNS calls it by another name: that is no proof of a new start.
            let renamed = ListedEndpoint {
                name: "other.example.test:8002".into(),
                ..target(2)
            };
            members.apply_update(
                now,
                SRV,
                SourceUpdate::FullList(vec![target(1), renamed, target(3), target(4)]),
            );
        }
        assert_eq!(usable(&members), [1, 3, 4], "at {n}");
    }
    let out = members
        .endpoints()
        .into_iter()
        .find(|s| s.listing.addr == addr(2))
        .unwrap();
    assert!(
        members.status_reason(&out).contains("list took it away"),
        "{}",
        members.status_reason(&out)
    );
    // Only the list takes it back.
    members.apply_update(20 * MINUTE, LIST, change(2, ListedState::Available));
    assert_eq!(usable(&members), [1, 2, 3, 4]);
}

#[test]
fn a_new_server_at_an_old_address_is_in_and_inherits_no_name() {
    let mut members = EndpointRegistry::new(settings());
    members.apply_update(0, LIST, ids([1, 2, 3]));
    members.apply_update(0, SRV, targets([1, 2, 3]));
    members.apply_update(1, LIST, change(1, ListedState::Removed));
    assert_eq!(usable(&members), [2, 3]);
    let new = ListedEndpoint {
        name: "s-9".into(),
        ..id(1)
    };
    members.apply_update(2, LIST, SourceUpdate::Changes(vec![new]));
    assert_eq!(usable(&members), [1, 2, 3]);
    assert!(members
        .endpoints()
        .iter()
        .any(|s| s.name == "s-9" && s.status == EndpointStatus::InService));
    // What DNS withdrew is back by a new start that the list has seen, and not by anything else.
    members.apply_update(3, SRV, targets([1, 3]));
    assert_eq!(usable(&members), [1, 3]);
    members.apply_update(4, LIST, change(2, ListedState::Available));
    assert_eq!(usable(&members), [1, 3]);
    members.apply_update(
        5,
        LIST,
        SourceUpdate::Changes(vec![ListedEndpoint {
            started_ms: 77,
            ..id(2)
        }]),
    );
    assert_eq!(usable(&members), [1, 2, 3]);
    // In DNS alone, another name altogether is another server.
    let mut members = EndpointRegistry::new(settings());
    members.apply_update(0, SRV, targets([1, 2]));
    let renamed = ListedEndpoint {
        name: "new.example.test:8001".into(),
        ..target(1)
    };
    let changes = members.apply_update(1, SRV, SourceUpdate::FullList(vec![renamed, target(2)]));
    let names: Vec<_> = changes
        .iter()
        .map(|s| (s.name.as_str(), s.status))
        .collect();
    assert_eq!(names.len(), 2, "{names:?}");
    assert!(names.contains(&(
        "t1.example.test:8001@127.0.0.1:8001",
        EndpointStatus::OutOfService
    )));
    assert_eq!(usable(&members), [1, 2]);
}

#[test]
fn two_names_of_one_address_are_one_server() {
    let mut members = EndpointRegistry::new(settings());
    let second = ListedEndpoint {
        name: "alias.example.test:8001".into(),
        ..target(1)
    };
    let changes = members.apply_update(
        0,
        SRV,
        SourceUpdate::FullList(vec![target(1), second.clone()]),
    );
    assert_eq!(changes.len(), 1, "{changes:?}");
    // Losing one of the names changes nothing.
    assert!(members
        .apply_update(1, SRV, SourceUpdate::FullList(vec![second]))
        .is_empty());
    assert_eq!(usable(&members), [1]);
}

#[test]
fn nothing_listed_is_held_until_time_and_answers_confirm_it() {
    let mut members = EndpointRegistry::new(settings());
    members.apply_update(0, SRV, targets(1..=4));
    members.apply_update(SECOND, SRV, targets([]));
    assert_eq!(usable(&members), [1, 2, 3, 4]);
    assert!(members
        .endpoints()
        .iter()
        .all(|s| s.status == EndpointStatus::Held));
    assert!(members
        .status_reason(&members.endpoints()[0])
        .contains("1 answers said so"));
    // Lifetimes end in the middle of the hold, and look-ups fail: neither confirms anything.
    for n in 2..60 {
        members.apply_update(n * SECOND, SRV, SourceUpdate::Failed);
    }
    assert_eq!(usable(&members).len(), 4);
    // Time alone is not enough, nor are answers alone.
    members.apply_update(60 * SECOND, SRV, targets([]));
    assert_eq!(usable(&members).len(), 4);
    members.apply_update(61 * SECOND, SRV, targets([]));
    assert!(usable(&members).is_empty());

    let mut members = EndpointRegistry::new(settings());
    members.apply_update(0, SRV, targets(1..=4));
    (1..20).for_each(|n| drop(members.apply_update(n * SECOND, SRV, targets([]))));
    assert_eq!(usable(&members).len(), 4);
    // Two come back and are believed at once; the others' count goes on from where it was.
    members.apply_update(20 * SECOND, SRV, targets([1, 2]));
    let held = members
        .endpoints()
        .iter()
        .filter(|s| s.status == EndpointStatus::Held)
        .count();
    assert_eq!(
        (usable(&members).len(), held),
        (2, 0),
        "two of four is no sudden loss"
    );
}

#[test]
fn many_small_losses_are_as_sudden_as_one_large_one() {
    let mut members = EndpointRegistry::new(settings());
    members.apply_update(0, SRV, targets(0..20));
    for n in 1..20_u16 {
        members.apply_update(u64::from(n) * SECOND, SRV, targets(n..20));
    }
    assert_eq!(usable(&members).len(), 10);
    // Explicit words are never held, however many.
    let mut members = EndpointRegistry::new(settings());
    members.apply_update(0, LIST, ids(0..20));
    let drains = (0..20)
        .map(|n| ListedEndpoint {
            state: ListedState::Draining,
            ..id(n)
        })
        .collect();
    members.apply_update(1, LIST, SourceUpdate::Changes(drains));
    assert!(usable(&members).is_empty());
}

#[test]
fn a_list_without_news_confirms_what_it_lacks() {
    let mut members = EndpointRegistry::new(settings());
    members.apply_update(0, LIST, ids(1..=4));
    members.apply_update(SECOND, LIST, ids([]));
    members.apply_update(20 * SECOND, LIST, SourceUpdate::Changes(vec![]));
    assert_eq!(usable(&members).len(), 4);
    members.apply_update(40 * SECOND, LIST, SourceUpdate::Changes(vec![]));
    assert!(usable(&members).is_empty());
}

#[test]
fn a_failed_look_up_never_removes_and_never_takes_back() {
    let mut members = EndpointRegistry::new(settings());
    members.apply_update(0, SRV, targets([1, 2, 3]));
    members.apply_update(0, LIST, ids([1, 2, 3]));
    members.apply_update(1, LIST, change(3, ListedState::Draining));
    for source in [SRV, LIST] {
        members.apply_update(2, source, SourceUpdate::Failed);
    }
    members.on_timer(365 * 24 * 60 * MINUTE);
    assert_eq!(usable(&members), [1, 2]);
    let standings: Vec<_> = members.endpoints().iter().map(|s| s.status).collect();
    assert_eq!(
        standings,
        [
            EndpointStatus::Held,
            EndpointStatus::Held,
            EndpointStatus::Draining
        ]
    );
}

#[test]
fn sources_that_disagree_for_ever_have_the_union_less_what_either_took_away() {
    let mut members = EndpointRegistry::new(settings());
    members.apply_update(0, LIST, ids([1, 2, 3]));
    members.apply_update(0, SRV, targets([2, 3, 4]));
    for n in 1..500 {
        members.apply_update(n * SECOND, SRV, targets([2, 3, 4]));
        members.apply_update(n * SECOND, LIST, SourceUpdate::Changes(vec![]));
        assert_eq!(usable(&members), [1, 2, 3, 4]);
    }
    let abstains = |mut s: RegistrySettings| {
        s.sources[SRV].absence_policy = AbsencePolicy::Abstains;
        s
    };
    let mut lenient = EndpointRegistry::new(abstains(settings()));
    for members in [&mut members, &mut lenient] {
        members.apply_update(600 * SECOND, LIST, ids([1, 2, 3]));
        members.apply_update(600 * SECOND, SRV, targets([2, 3, 4]));
        members.apply_update(601 * SECOND, SRV, targets([3, 4]));
    }
    assert_eq!(
        (usable(&members), usable(&lenient)),
        (vec![1, 3, 4], vec![1, 2, 3, 4])
    );
}

#[test]
fn a_target_that_moves_is_another_server_and_a_moved_id_the_same_one() {
    let mut members = EndpointRegistry::new(settings());
    members.apply_update(0, SRV, targets([1, 2, 3]));
    let moved = ListedEndpoint {
        addr: addr(7),
        ..target(1)
    };
    let changes = members.apply_update(
        1,
        SRV,
        SourceUpdate::FullList(vec![moved, target(2), target(3)]),
    );
    assert_eq!(changes.len(), 2, "{changes:?}");
    assert_eq!(usable(&members), [2, 3, 7]);

    let mut members = EndpointRegistry::new(settings());
    members.apply_update(0, LIST, ids([1]));
    members.apply_update(0, SRV, targets([1]));
    let changes = members.apply_update(
        1,
        LIST,
        SourceUpdate::Changes(vec![ListedEndpoint {
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
    let mut members = EndpointRegistry::new(settings());
    members.apply_update(0, SRV, targets(0..10));
    let mut changes = 0;
    for n in 1..=60_u64 {
        let all = n % 2 == 0;
        changes += members
            .apply_update(n * SECOND, SRV, targets(if all { 0..10 } else { 1..10 }))
            .len();
        changes += members.on_timer(n * SECOND + SECOND / 2).len();
    }
    assert!(changes <= 8, "{changes} changes for 60 flaps");
    assert_eq!(usable(&members), (1..10).collect::<Vec<_>>());
    // Listed steadily it is let in when its time is out.
    let due = members.next_timer().unwrap();
    assert!(due > 60 * SECOND && due <= 60 * SECOND + 5 * MINUTE);
    assert_eq!(members.on_timer(due).len(), 1);
    assert_eq!(usable(&members).len(), 10);
    // Same name, same server: nothing was lost by it.
    assert!(members
        .endpoints()
        .iter()
        .any(|s| s.name == "t0.example.test:8000@127.0.0.1:8000"));

    // Each answer has another half: none is kept out for it.
    let mut members = EndpointRegistry::new(settings());
    for n in 0..40_u64 {
        let from = (n % 2) as u16 * 2;
        members.apply_update(n * SECOND, SRV, targets(from..from + 8));
        assert!(usable(&members).len() >= 8);
    }
}

#[test]
fn a_higher_priority_number_waits_where_that_is_set() {
    let backup = ListedEndpoint {
        priority: Some(20),
        ..target(3)
    };
    let told = || SourceUpdate::FullList(vec![target(1), target(2), backup.clone()]);
    let mut members = EndpointRegistry::new(RegistrySettings {
        has_priority_standby: true,
        ..settings()
    });
    members.apply_update(0, SRV, told());
    assert_eq!(usable(&members), [1, 2]);
    let drains = [1, 2].map(|n| ListedEndpoint {
        state: ListedState::Draining,
        ..target(n)
    });
    members.apply_update(
        1,
        SRV,
        SourceUpdate::FullList([drains.to_vec(), vec![backup.clone()]].concat()),
    );
    assert_eq!(usable(&members), [3]);
    let mut members = EndpointRegistry::new(settings());
    members.apply_update(0, SRV, told());
    assert_eq!(usable(&members), [1, 2, 3]);
}

#[test]
fn new_settings_keep_what_sources_told() {
    let mut members = EndpointRegistry::new(settings());
    members.apply_update(0, LIST, ids([1, 2]));
    members.apply_update(0, SRV, targets([1, 2, 3]));
    members.apply_update(1, LIST, change(1, ListedState::Draining));
    let mut only = settings();
    only.sources.reverse();
    members.update_settings(2, only.clone());
    assert_eq!(usable(&members), [2, 3]);
    only.sources.truncate(1);
    members.update_settings(3, only);
    assert_eq!(
        usable(&members),
        [1, 2, 3],
        "a source that is no longer asked has no say"
    );
}
