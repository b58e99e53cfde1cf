//! The decision module alone: hand-made events in, actions out.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]
#![expect(
    clippy::min_ident_chars,
    clippy::needless_pass_by_value,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

use poppykeel_scheduler::interface::*;
use poppykeel_scheduler::Scheduler;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

#[allow(dead_code)] // each file of tests uses a part
#[path = "support/rig.rs"]
mod rig;
use rig::*;

#[test]
fn higher_worth_leaves_first() {
    let mut rig = Rig::new(settings(), 1);
    let out = rig.fill();
    rig.tell(Event::RequestArrived(request(1, 1, 0, 30.0)));
    rig.tell(Event::RequestArrived(request(2, 0, 0, 30.0)));
    rig.tell(Event::ClientDisconnected(RequestId(1000 + out)));
    assert_eq!(
        sends(&rig.end(1000, 0, AttemptOutcome::Completed, true))[0].0,
        2
    );
}

#[test]
fn tenants_take_turns_whatever_their_backlogs() {
    let mut rig = Rig::new(settings(), 1);
    let out = rig.fill();
    rig.tell(Event::ClientDisconnected(RequestId(1000 + out)));
    for n in 0..3 {
        rig.tell(Event::RequestArrived(request(n, 1, 0, 30.0)));
    }
    rig.tell(Event::RequestArrived(request(10, 1, 1, 30.0)));
    let mut order = vec![];
    for n in 0..out {
        order.extend(
            sends(&rig.end(1000 + n, 0, AttemptOutcome::Completed, true))
                .iter()
                .map(|s| s.0),
        );
    }
    let place = order
        .iter()
        .position(|n| *n == 10)
        .expect("the second tenant is served");
    assert!(place <= 1, "order {order:?}");
}

#[test]
fn the_earliest_deadline_of_a_tenant_leaves_first() {
    let mut rig = Rig::new(settings(), 1);
    let out = rig.fill();
    rig.tell(Event::ClientDisconnected(RequestId(1000 + out)));
    rig.tell(Event::RequestArrived(request(1, 1, 0, 30.0)));
    rig.tell(Event::RequestArrived(request(2, 1, 0, 20.0)));
    assert_eq!(
        sends(&rig.end(1000, 0, AttemptOutcome::Completed, true))[0].0,
        2
    );
}

#[test]
fn nothing_is_refused_while_a_window_has_room() {
    let mut rig = Rig::new(settings(), 3);
    for n in 0..12 {
        let actions = rig.tell(Event::RequestArrived(request(n, 1, 0, 5.0)));
        assert!(
            answers(&actions).is_empty() && sends(&actions).len() == 1,
            "request {n}: {actions:?}"
        );
    }
}

#[test]
fn a_backlog_past_the_aim_refuses_with_advice_within_the_limit() {
    let mut rig = Rig::new(settings(), 1);
    rig.fill();
    let mut refused = None;
    for n in 0..400 {
        let actions = rig.tell(Event::RequestArrived(request(n, 1, 0, 5.0)));
        if let Some(Action::Reject { retry_after, .. }) = actions.first() {
            refused = Some(*retry_after);
            break;
        }
    }
    let advice = refused.expect("a refusal");
    assert!(advice > 1.0 && advice <= 2.0, "{advice}");
}

#[test]
fn a_held_request_is_refused_before_its_time_is_over() {
    let mut rig = Rig::new(settings(), 0);
    rig.tell(Event::RequestArrived(request(1, 1, 0, 0.5)));
    let early = answers(&rig.wait(0.4));
    let late = answers(&rig.wait(0.1));
    assert_eq!((early.len(), late), (0, vec![1]));
}

/// Guards against requests lost between two looks at the held ones.
#[test]
fn a_request_with_less_than_a_tick_left_is_answered_at_once() {
    let mut rig = Rig::new(settings(), 0);
    let actions = rig.tell(Event::RequestArrived(request(1, 1, 0, 0.008)));
    assert_eq!(answers(&actions), vec![1]);
}

#[test]
fn windows_grow_on_prompt_first_tokens_and_shrink_on_full() {
    let mut rig = Rig::new(settings(), 1);
    let before = rig.fill();
    for n in 0..before {
        rig.start(1000 + n, 0.01);
    }
    for n in 0..before {
        rig.end(1000 + n, 0, AttemptOutcome::Completed, true);
    }
    rig.wait(1.1);
    rig.tell(Event::ClientDisconnected(RequestId(1000 + before)));
    rig.end(1000 + before, 0, AttemptOutcome::Cancelled, true);
    let grown = rig.fill();
    assert!(grown > before, "{before} then {grown}");
    let mut rig = Rig::new(settings(), 1);
    let before = rig.fill();
    rig.end(1000, 0, AttemptOutcome::AtCapacity, false);
    for n in 1..before {
        rig.end(1000 + n, 0, AttemptOutcome::Cancelled, true);
    }
    rig.wait(30.0);
    rig.last.clear();
    let mut sent = 0;
    for n in 5000..5020 {
        sent += sends(&rig.tell(Event::RequestArrived(request(n, 0, 0, 30.0)))).len() as u64;
    }
    assert!(sent < before, "{before} then {sent}");
}

#[test]
fn drained_and_gone_replicas_get_nothing_more() {
    let mut rig = Rig::new(settings(), 2);
    rig.tell(Event::EndpointsChanged(vec![listing(
        0,
        EndpointState::Draining,
        None,
    )]));
    for n in 0..4 {
        let to = sends(&rig.tell(Event::RequestArrived(request(n, 1, 0, 5.0))));
        assert!(to.iter().all(|s| s.1 == replica(1)), "{to:?}");
    }
    rig.tell(Event::EndpointsReplaced(vec![listing(
        0,
        EndpointState::Available,
        None,
    )]));
    let to = sends(&rig.tell(Event::RequestArrived(request(9, 1, 0, 5.0))));
    assert!(to.iter().all(|s| s.1 == replica(0)), "{to:?}");
}

#[test]
fn a_cold_replica_gets_a_trickle_at_first() {
    let mut rig = Rig::new(settings(), 1);
    rig.tell(Event::EndpointsChanged(vec![listing(
        1,
        EndpointState::Available,
        Some(100.0),
    )]));
    let mut to_cold = 0;
    for n in 0..60 {
        let sent = sends(&rig.tell(Event::RequestArrived(request(n, 0, 0, 5.0))));
        for (id, to) in &sent {
            to_cold += usize::from(*to == replica(1));
            rig.tell(Event::FirstToken {
                request: RequestId(*id),
                attempt: 0,
                elapsed: 0.05,
            });
            rig.end(*id, 0, AttemptOutcome::Completed, true);
        }
        rig.wait(0.04);
    }
    assert!((1..=12).contains(&to_cold), "{to_cold} of 60");
}

/// Guards against the first sends of all routers meeting at a replica that has just started.
#[test]
fn routers_do_not_all_send_at_once_to_a_new_replica() {
    let mut at_once = 0;
    for seed in 0..12 {
        let mut rig = Rig::new(settings(), 1);
        let mut s = SchedulerSettings {
            router_count: 12,
            ..settings()
        };
        s.limits.allows_probes = false;
        rig.brain = Scheduler::new(s, seed).unwrap();
        rig.tell(Event::EndpointsReplaced(vec![listing(
            0,
            EndpointState::Available,
            None,
        )]));
        let out = rig.fill();
        rig.tell(Event::EndpointsChanged(vec![listing(
            1,
            EndpointState::Available,
            Some(100.0),
        )]));
        at_once += sends(&rig.wait(0.1)).len();
        assert!(out > 0);
    }
    assert!(at_once <= 3, "{at_once} of 12 routers sent at once");
}

#[test]
fn an_unsafe_request_that_may_have_run_is_neither_repeated_nor_refused() {
    for (outcome, again) in [
        (AttemptOutcome::ServerError, false),
        (AttemptOutcome::AtCapacity, true),
    ] {
        let mut rig = Rig::new(settings(), 2);
        rig.tell(Event::RequestArrived(request(1, 2, 0, 5.0)));
        let actions = rig.end(1, 0, outcome, false);
        assert_eq!(sends(&actions).len(), usize::from(again), "{outcome:?}");
        assert_eq!(
            actions.contains(&Action::Fail {
                request: RequestId(1)
            }),
            !again,
            "{outcome:?}"
        );
    }
}

#[test]
fn a_keyed_request_stays_in_its_group_and_its_time() {
    for (group, memory, where_to) in [
        (DeduplicationScope::AllReplicas, 5.0, 3),
        (DeduplicationScope::Zone, 5.0, 1),
        (DeduplicationScope::Cell, 0.0, 0),
    ] {
        let mut s = settings();
        s.classes[0].idempotency = Idempotency::Keyed {
            scope: group,
            retention: memory,
        };
        let mut rig = Rig::new(s, 4);
        let first = sends(&rig.tell(Event::RequestArrived(request(1, 0, 0, 5.0))))[0].1;
        let actions = rig.end(1, 0, AttemptOutcome::ConnectionReset, false);
        let again = sends(&actions);
        assert_eq!(
            again.len(),
            usize::from(where_to > 0),
            "{group:?}: {actions:?}"
        );
        if where_to == 1 {
            let zone = |r: ReplicaId| (0..4).find(|n| replica(*n) == r).unwrap() % 2;
            assert_eq!(zone(again[0].1), zone(first));
        }
    }
}

/// Guards against first tokens that clear the failures of a replica whose streams never end whole.
#[test]
fn a_replica_whose_streams_break_in_a_row_gets_little_until_one_is_whole() {
    for outcome in [AttemptOutcome::TimedOut, AttemptOutcome::ConnectionReset] {
        let mut rig = Rig::new(settings(), 3);
        let mut sent = [[0; 3]; 2];
        for n in 0..800 {
            let out = rig.tell(Event::RequestArrived(request(n, 0, 0, 5.0)));
            let to = out.iter().find_map(|a| match a {
                Action::StartAttempt { replica, .. } => Some(*replica),
                _ => None,
            });
            let to = (0..3).find(|r| Some(replica(*r)) == to).unwrap();
            // First tokens come from it as from the others, and for the second half its streams are whole.
            let late = usize::from(n >= 400);
            sent[late][to] += 1;
            rig.tell(Event::FirstToken {
                request: RequestId(n),
                attempt: 0,
                elapsed: 0.01,
            });
            let whole = to != 0 || late == 1;
            rig.end(
                n,
                0,
                if whole {
                    AttemptOutcome::Completed
                } else {
                    outcome
                },
                true,
            );
            rig.wait(0.02);
        }
        // Three, then a trial after 0.7, 1.4 and 2.8 s, of 8.
        assert!((5..=7).contains(&sent[0][0]), "{outcome:?}: {sent:?}");
        assert!(sent[1][0] > 50, "{outcome:?}: {sent:?}");
    }
}

/// Guards against taking one pause, which ends all streams of a replica together, for streams that break in a row.
#[test]
fn streams_that_break_together_count_once() {
    let mut rig = Rig::new(settings(), 3);
    let mut at_first = Vec::new();
    for n in 0..24 {
        let out = rig.tell(Event::RequestArrived(request(n, 0, 0, 5.0)));
        rig.tell(Event::FirstToken {
            request: RequestId(n),
            attempt: 0,
            elapsed: 0.01,
        });
        if sends(&out).iter().any(|s| s.1 == replica(0)) {
            at_first.push(n);
        }
    }
    assert!(at_first.len() > 2, "{at_first:?}");
    for n in 0..24 {
        rig.end(
            n,
            0,
            if at_first.contains(&n) {
                AttemptOutcome::TimedOut
            } else {
                AttemptOutcome::Completed
            },
            true,
        );
    }
    let mut again = 0;
    for n in 100..130 {
        let out = rig.tell(Event::RequestArrived(request(n, 0, 0, 5.0)));
        again += sends(&out).iter().filter(|s| s.1 == replica(0)).count();
        rig.tell(Event::FirstToken {
            request: RequestId(n),
            attempt: 0,
            elapsed: 0.01,
        });
        rig.end(n, 0, AttemptOutcome::Completed, true);
    }
    assert!(again > 3, "{again} of 30 went there");
}

/// Guards against a replica that errors at once, frees room at once and draws every held request.
#[test]
fn a_replica_that_fails_at_once_is_ejected_and_tried_again_later() {
    let mut rig = Rig::new(settings(), 3);
    let mut bad = 0;
    for n in 0..60 {
        let mut sent = sends(&rig.tell(Event::RequestArrived(request(n, 0, 0, 5.0))));
        let mut attempt = 0;
        while let Some((id, to)) = sent.pop() {
            if to == replica(0) {
                bad += 1;
                sent = sends(&rig.end(id, attempt, AttemptOutcome::ServerError, false));
                attempt += 1;
            } else {
                rig.tell(Event::FirstToken {
                    request: RequestId(id),
                    attempt,
                    elapsed: 0.05,
                });
                rig.end(id, attempt, AttemptOutcome::Completed, true);
            }
        }
        rig.wait(0.1);
    }
    assert!(
        (3..=12).contains(&bad),
        "{bad} attempts at the failing replica"
    );
}

/// Guards against requests left with a replica that answers nothing at all.
#[test]
fn what_a_silent_replica_holds_moves_on_while_time_is_left() {
    let mut s = settings();
    s.classes[0].late_weight = 0.5;
    let mut rig = Rig::new(s, 3);
    let first = sends(&rig.tell(Event::RequestArrived(request(1, 0, 0, 8.0))))[0].1;
    let actions = rig.wait(1.3);
    assert!(
        actions.contains(&Action::CancelAttempt {
            request: RequestId(1),
            attempt: 0
        }),
        "{actions:?}"
    );
    let again = sends(&rig.end(1, 0, AttemptOutcome::Cancelled, false));
    assert!(again.len() == 1 && again[0].1 != first, "{again:?}");
}

/// Guards against a whole fleet ejected for a trouble that all replicas share.
#[test]
fn when_all_replicas_fail_they_are_still_tried() {
    let mut rig = Rig::new(settings(), 3);
    let mut tried = 0;
    for n in 0..40 {
        let mut sent = sends(&rig.tell(Event::RequestArrived(request(n, 0, 0, 5.0))));
        let mut attempt = 0;
        while let Some((id, _)) = sent.pop() {
            tried += usize::from(n >= 20);
            sent = sends(&rig.end(id, attempt, AttemptOutcome::ServerError, false));
            attempt += 1;
        }
        rig.wait(0.1);
    }
    assert!(tried >= 20, "{tried} attempts in the later half");
}

#[test]
fn a_session_returns_to_the_replica_that_read_it() {
    let mut rig = Rig::new(settings(), 4);
    let mut homes = BTreeSet::new();
    for n in 0..10 {
        let next = IncomingRequest {
            session: Some(7),
            prompt_tokens: 8000 + 100 * n,
            ..request(n, 0, 0, 5.0)
        };
        let to = sends(&rig.tell(Event::RequestArrived(next)))[0].1;
        homes.insert(to);
        rig.start(n, 0.1);
        rig.end(n, 0, AttemptOutcome::Completed, true);
        rig.now += 0.5;
    }
    assert_eq!(homes.len(), 1, "{homes:?}");
}

#[test]
fn work_beyond_a_share_waits_behind_work_within() {
    let mut s = settings();
    s.tenants[0].rate_limit = 1.0;
    let mut rig = Rig::new(s, 1);
    let out = rig.fill();
    rig.tell(Event::ClientDisconnected(RequestId(1000 + out)));
    rig.tell(Event::RequestArrived(request(1, 1, 0, 30.0)));
    rig.tell(Event::RequestArrived(request(2, 1, 1, 30.0)));
    assert_eq!(
        sends(&rig.end(1000, 0, AttemptOutcome::Completed, true))[0].0,
        2
    );
}

#[test]
fn a_late_outcome_frees_its_slot_and_sends_nothing() {
    let mut rig = Rig::new(settings(), 1);
    let out = rig.fill();
    rig.tell(Event::ClientDisconnected(RequestId(1000)));
    assert!(answers(&rig.end(1000, 0, AttemptOutcome::TimedOut, true)).is_empty());
    assert!(out >= 1 && rig.end(1000, 0, AttemptOutcome::TimedOut, true).is_empty());
}

/// Guards against routers that ask the list together, and against one that never asks again.
#[test]
fn an_asked_list_is_asked_for_apart_and_again_after_a_failure() {
    let mut at = BTreeSet::new();
    for me in 0..4 {
        let s = SchedulerSettings {
            router_index: me,
            router_count: 4,
            endpoint_list_mode: EndpointListMode::Polled,
            ..settings()
        };
        let mut rig = Rig::new(s, 1);
        let mut waited = 0;
        while !rig.wait(0.02).contains(&Action::WatchEndpoints) {
            waited += 1;
            assert!(waited < 200, "router {me} never asked");
        }
        at.insert(waited);
        rig.tell(Event::EndpointListFailed);
        let again = rig.wait(10.0);
        assert_eq!(
            again
                .iter()
                .filter(|a| **a == Action::WatchEndpoints)
                .count(),
            1
        );
    }
    assert_eq!(at.len(), 4, "asked after {at:?} ticks");
}

#[test]
fn nothing_forbidden_is_done_where_the_settings_allow_nothing() {
    let mut s = settings();
    s.limits = SiteLimits {
        allows_probes: false,
        allows_cancellation: false,
        allows_hedging: false,
        max_attempts: 1,
        max_retry_after: 0.0,
    };
    (s.tenants, s.load_report_source) = (vec![], LoadReportSource::Off);
    let mut rig = Rig::new(s, 2);
    rig.tell(Event::RequestArrived(request(1, 0, 0, 3.0)));
    let mut actions = rig.wait(2.0);
    actions.extend(rig.end(1, 0, AttemptOutcome::ServerError, false));
    assert_eq!((sends(&actions).len(), answers(&actions)), (0, vec![1]));
    assert!(
        !actions
            .iter()
            .any(|a| matches!(a, Action::Probe { .. } | Action::CancelAttempt { .. })),
        "{actions:?}"
    );
}

/// Guards against windows that never grow where answers do not stream.
#[test]
fn windows_grow_on_whole_answers_too() {
    let mut rig = Rig::new(settings(), 1);
    let before = rig.fill();
    for n in 0..=before {
        rig.end(1000 + n, 0, AttemptOutcome::Completed, true);
    }
    rig.wait(1.1);
    let sent = (5000..5040)
        .map(|n| sends(&rig.tell(Event::RequestArrived(request(n, 0, 0, 30.0)))).len() as u64);
    let after: u64 = sent.sum();
    assert!(after > before, "{before} then {after}");
}

/// Guards against turns read anew because each router looked for their session somewhere else.
#[test]
fn all_routers_look_for_a_session_at_the_same_replica() {
    let mut homes = BTreeSet::new();
    for me in 0..20 {
        let mut rig = Rig::new(
            SchedulerSettings {
                router_index: me,
                router_count: 20,
                ..settings()
            },
            1,
        );
        rig.brain = Scheduler::new(
            SchedulerSettings {
                router_index: me,
                router_count: 20,
                ..settings()
            },
            me as u64,
        )
        .unwrap();
        rig.tell(Event::EndpointsReplaced(
            (0..30)
                .map(|n| listing(n, EndpointState::Available, None))
                .collect(),
        ));
        let turn = IncomingRequest {
            session: Some(7),
            prompt_tokens: 9000,
            ..request(1, 0, 0, 5.0)
        };
        homes.insert(sends(&rig.tell(Event::RequestArrived(turn)))[0].1);
    }
    assert_eq!(homes.len(), 1, "{homes:?}");
}

/// Guards against slow replicas that get as many sessions as fast ones.
#[test]
fn larger_replicas_are_home_to_more_sessions() {
    let mut rig = Rig::new(settings(), 0);
    let sized = |n| Endpoint {
        capacity_weight: Some(if n < 5 { 3.0 } else { 1.0 }),
        ..listing(n, EndpointState::Available, None)
    };
    rig.tell(Event::EndpointsReplaced((0..10).map(sized).collect()));
    let mut large = 0;
    for n in 0..200 {
        let to = sends(&rig.tell(Event::RequestArrived(request(n, 0, 0, 5.0))))[0].1;
        large += usize::from((0..5).any(|l| replica(l) == to));
        rig.end(n, 0, AttemptOutcome::Cancelled, true);
    }
    assert!(
        (130..=170).contains(&large),
        "{large} of 200, three quarters are due"
    );
}

/// Guards against places in an order so coarse that they fall together: a few replicas were home to all.
#[test]
fn homes_stay_spread_whatever_the_learned_pace() {
    let mut rig = Rig::new(settings(), 50);
    let mut homes: BTreeMap<ReplicaId, usize> = BTreeMap::new();
    for n in 0..2000 {
        let to = sends(&rig.tell(Event::RequestArrived(request(n, 0, 0, 5.0))))[0].1;
        *homes.entry(to).or_default() += usize::from(n >= 1000);
        rig.start(n, 0.0005);
        rig.end(n, 0, AttemptOutcome::Completed, true);
    }
    let (most, least) = (homes.values().max().unwrap(), homes.values().min().unwrap());
    assert!(
        homes.len() == 50 && *most <= 45 && *least >= 5,
        "{least} to {most} of 1000 at 50 replicas"
    );
}

fn reported(rig: &mut Rig, replica: ReplicaId, tokens: f64) -> Vec<Action> {
    let report = LoadReport {
        queued_prompt_tokens: Some(tokens),
        memory_utilization: Some(0.1),
        ..LoadReport::default()
    };
    rig.tell(Event::ProbeEnded {
        replica,
        outcome: AttemptOutcome::Completed,
        report: Some(report),
    })
}

fn probes(actions: &[Action]) -> Vec<ReplicaId> {
    let probe = |a: &Action| match a {
        Action::Probe { replica } => Some(*replica),
        _ => None,
    };
    actions.iter().filter_map(probe).collect()
}

/// Reports steer the draw: a session leaves a home with much to read for the next in its order.
#[test]
fn reports_are_asked_for_before_a_send_and_steer_it() {
    let mut away = 0;
    for session in 0..20 {
        let mut rig = Rig::new(
            SchedulerSettings {
                load_report_source: LoadReportSource::Probes,
                ..settings()
            },
            8,
        );
        let turn = IncomingRequest {
            session: Some(session),
            ..request(1, 0, 0, 5.0)
        };
        let actions = rig.tell(Event::RequestArrived(turn));
        let asked = probes(&actions);
        assert_eq!((asked.len(), sends(&actions).len()), (2, 0), "{actions:?}");
        rig.brain
            .handle_event(rig.now, Event::EndpointsChanged(vec![]), &mut vec![]);
        let mut sent = sends(&reported(&mut rig, asked[0], 60_000.0));
        sent.extend(sends(&reported(&mut rig, asked[1], 0.0)));
        assert_eq!(sent.len(), 1);
        away += usize::from(sent[0].1 != asked[0]);
    }
    assert!(away >= 18, "{away} of 20");
    let mut rig = Rig::new(
        SchedulerSettings {
            load_report_source: LoadReportSource::Probes,
            ..settings()
        },
        8,
    );
    rig.tell(Event::RequestArrived(request(1, 0, 0, 5.0)));
    assert_eq!(
        sends(&rig.wait(0.02)).len(),
        1,
        "a probe that is not answered holds nothing for long"
    );
}

/// Guards against a report that cannot be true and turns sessions away from their home.
#[test]
fn a_report_that_cannot_be_true_counts_as_missing() {
    for tokens in [f64::NAN, f64::INFINITY, 1e300, -1e300] {
        let mut rig = Rig::new(
            SchedulerSettings {
                load_report_source: LoadReportSource::Probes,
                ..settings()
            },
            8,
        );
        for n in 0..20 {
            let turn = IncomingRequest {
                prompt_tokens: 9000,
                ..request(n, 0, 0, 5.0)
            };
            let mut actions = rig.tell(Event::RequestArrived(turn));
            let home = probes(&actions).first().copied();
            for asked in probes(&actions) {
                actions.extend(reported(
                    &mut rig,
                    asked,
                    if Some(asked) == home { tokens } else { 2000.0 },
                ));
            }
            actions.extend(rig.wait(0.02));
            assert_eq!(
                sends(&actions)
                    .iter()
                    .map(|s| Some(s.1))
                    .collect::<Vec<_>>(),
                [home],
                "{tokens}"
            );
            rig.end(n, 0, AttemptOutcome::Cancelled, true);
            rig.now += 2.0;
        }
    }
}

/// Guards against the windows of many routers that add up to more than a replica can hold.
#[test]
fn many_routers_share_what_a_replica_may_hold() {
    for (routers, sent) in [(1, 32), (4, 8), (32, 1), (300, 1)] {
        let mut s = SchedulerSettings {
            router_count: routers,
            ..settings()
        };
        s.limits.allows_probes = false;
        let mut rig = Rig::new(s, 4);
        assert_eq!(rig.fill(), sent, "{routers} routers");
    }
}

/// Guards against one late replica that closes the room of all: cuts are shallow, and growth makes up for them.
#[test]
fn late_first_tokens_shrink_the_pool_and_early_ones_grow_it_again() {
    let mut rig = Rig::new(settings(), 4);
    let before = rig.fill();
    rig.tell(Event::ClientDisconnected(RequestId(1000 + before)));
    for n in 0..before {
        rig.start(1000 + n, 0.9);
        rig.end(1000 + n, 0, AttemptOutcome::Completed, true);
    }
    let in_flight = |rig: &mut Rig, from: u64| {
        let sent = (from..from + 60)
            .map(|n| sends(&rig.tell(Event::RequestArrived(request(n, 0, 0, 30.0)))).len());
        sent.sum::<usize>() as u64
    };
    let small = in_flight(&mut rig, 5000);
    assert!(
        small < before && small > before / 3,
        "{before} then {small}"
    );
    for n in 5000..5000 + small {
        rig.start(n, 0.01);
        rig.end(n, 0, AttemptOutcome::Completed, true);
    }
    let grown = in_flight(&mut rig, 6000) + 60 - small;
    assert!(grown > small, "{small} then {grown}");
}

/// Guards against an even part of an allowance under one request a second that turns work within it away.
#[test]
fn a_small_part_of_an_allowance_still_covers_requests_that_come_together() {
    let mut s = SchedulerSettings {
        router_count: 100,
        ..settings()
    };
    s.tenants[0].rate_limit = 20.0;
    let mut rig = Rig::new(s, 200);
    for n in 0..8 {
        rig.tell(Event::RequestArrived(request(n, 1, 0, 5.0)));
        assert_eq!(rig.end(n, 0, AttemptOutcome::Cancelled, true).len(), 0);
    }
    let held = rig.fill();
    assert!(held >= 1, "{held}");
}

/// Work beyond a share leaves the rest of the pool to work that others may hold.
#[test]
fn work_beyond_a_share_takes_only_spare_room() {
    let mut s = settings();
    s.tenants[0].rate_limit = 0.0;
    let mut rig = Rig::new(s, 4);
    let sent =
        (0..60).map(|n| sends(&rig.tell(Event::RequestArrived(request(n, 1, 0, 30.0)))).len());
    let (beyond, all) = (sent.sum::<usize>(), 32);
    assert!(beyond > 8 && beyond < all / 2 + 8, "{beyond} of {all}");
    assert_eq!(
        sends(&rig.tell(Event::RequestArrived(request(90, 1, 1, 30.0)))).len(),
        1,
        "within its share"
    );
}

#[test]
fn illegal_settings_are_errors() {
    let spoil: [fn(&mut SchedulerSettings); 5] = [
        |s| s.classes.clear(),
        |s| s.router_count = 0,
        |s| s.limits.max_attempts = 0,
        |s| s.lifecycle.slow_start_duration = f64::NAN,
        |s| s.tenants.iter_mut().for_each(|t| t.quota = 0.0),
    ];
    for (n, spoil) in spoil.iter().enumerate() {
        let mut s = settings();
        spoil(&mut s);
        assert!(Scheduler::new(s, 0).is_err(), "case {n}");
    }
}

#[test]
fn odd_events_are_harmless() {
    let mut rig = Rig::new(settings(), 1);
    let odd = IncomingRequest {
        class: 99,
        ..request(1, 0, 0, 5.0)
    };
    assert_eq!(answers(&rig.tell(Event::RequestArrived(odd))), vec![1]);
    let nan = IncomingRequest {
        time_left: f64::NAN,
        tenant: 77,
        ..request(2, 0, 0, 0.0)
    };
    rig.tell(Event::RequestArrived(nan));
    assert!(rig.end(55, 3, AttemptOutcome::Completed, true).is_empty());
    rig.now = f64::NAN;
    assert!(rig
        .tell(Event::ClientDisconnected(RequestId(55)))
        .is_empty());
}

/// One step of a random but legal history.
#[derive(Clone, Debug)]
enum Step {
    Arrive {
        class: usize,
        tenant: usize,
        left: u16,
    },
    Start(usize),
    End(usize, u8),
    Gone(usize),
    Drain(usize),
    Up(usize),
    Fresh(usize),
    Wait(u8),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..3usize, 0..2usize, 1..4000u16)
            .prop_map(|(class, tenant, left)| Step::Arrive { class, tenant, left }),
        3 => (0..50usize).prop_map(Step::Start),
        4 => (0..50usize, 0..7u8).prop_map(|(n, o)| Step::End(n, o)),
        1 => (0..50usize).prop_map(Step::Gone),
        1 => (0..4usize).prop_map(Step::Drain),
        1 => (0..4usize).prop_map(Step::Up),
        1 => (0..4usize).prop_map(Step::Fresh),
        4 => (1..30u8).prop_map(Step::Wait),
    ];
    proptest::collection::vec(step, 1..200)
}

/// Plays a history as a fair world would and checks every action; returns all actions.
fn play(steps: &[Step], copies: bool) -> Vec<Action> {
    let mut s = settings();
    s.limits.allows_hedging = copies;
    s.classes[1].idempotency = Idempotency::Keyed {
        scope: DeduplicationScope::Zone,
        retention: 1.0,
    };
    let mut rig = Rig::new(s, 4);
    let mut open: BTreeMap<u64, Seconds> = BTreeMap::new();
    let mut attempts: Vec<(u64, usize, ReplicaId, bool)> = vec![];
    let mut made: BTreeMap<u64, usize> = BTreeMap::new();
    let mut drained = BTreeSet::new();
    let (mut next, mut all) = (0u64, vec![]);
    let tell = |rig: &mut Rig,
                event: Event,
                open: &mut BTreeMap<u64, Seconds>,
                attempts: &mut Vec<(u64, usize, ReplicaId, bool)>,
                made: &mut BTreeMap<u64, usize>,
                drained: &BTreeSet<ReplicaId>| {
        let actions = rig.tell(event);
        for action in &actions {
            match action {
                Action::StartAttempt {
                    request, replica, ..
                } => {
                    assert!(
                        open.contains_key(&request.0),
                        "a send for a request that has its answer"
                    );
                    assert!(!drained.contains(replica), "a send to a drained replica");
                    let count = made.entry(request.0).or_default();
                    let out = attempts.iter().filter(|a| a.0 == request.0).count();
                    assert!(copies || out == 0, "two attempts out together");
                    attempts.push((request.0, *count, *replica, false));
                    let (in_flight, most) = (attempts.len(), rig.pool);
                    assert!(
                        in_flight as f64 <= most,
                        "{in_flight} in flight, pool {most} at most"
                    );
                    *count += 1;
                    assert!(*count <= 4);
                }
                Action::Reject { request, .. } | Action::Fail { request } => {
                    assert!(
                        open.remove(&request.0).is_some(),
                        "a second answer for {request:?}"
                    );
                }
                _ => {}
            }
        }
        actions
    };
    for step in steps {
        let event = match step {
            Step::Arrive {
                class,
                tenant,
                left,
            } => {
                next += 1;
                open.insert(next, rig.now + f64::from(*left) / 1000.0);
                Event::RequestArrived(request(next, *class, *tenant, f64::from(*left) / 1000.0))
            }
            Step::Start(n) => {
                let Some(a) = attempts
                    .get_mut(*n)
                    .filter(|a| !a.3 && open.contains_key(&a.0))
                else {
                    continue;
                };
                a.3 = true;
                rig.pool = (rig.pool + 1.0).max(rig.pool * 1.04);
                open.insert(a.0, f64::INFINITY);
                Event::FirstToken {
                    request: RequestId(a.0),
                    attempt: a.1,
                    elapsed: 0.1,
                }
            }
            Step::End(n, o) if *n < attempts.len() => {
                let a = attempts.remove(*n);
                rig.pool = (rig.pool + 1.0).max(rig.pool * 1.04);
                let all = [
                    AttemptOutcome::Completed,
                    AttemptOutcome::ServerError,
                    AttemptOutcome::AtCapacity,
                    AttemptOutcome::ConnectionReset,
                    AttemptOutcome::ConnectFailed,
                ];
                let outcome = if a.3 {
                    [AttemptOutcome::Completed, AttemptOutcome::ConnectionReset][*o as usize % 2]
                } else {
                    all[*o as usize % 5]
                };
                let last = outcome == AttemptOutcome::Completed || a.3 || !open.contains_key(&a.0);
                if last {
                    open.remove(&a.0);
                }
                Event::AttemptEnded {
                    request: RequestId(a.0),
                    attempt: a.1,
                    outcome,
                    is_request_finished: last,
                    report: None,
                }
            }
            Step::Gone(n) => {
                let Some(id) = open.keys().nth(*n).copied() else {
                    continue;
                };
                open.remove(&id);
                Event::ClientDisconnected(RequestId(id))
            }
            Step::Drain(n) => {
                drained.insert(replica(*n));
                Event::EndpointsChanged(vec![listing(*n, EndpointState::Draining, None)])
            }
            Step::Up(n) => {
                drained.remove(&replica(*n));
                Event::EndpointsChanged(vec![listing(*n, EndpointState::Available, None)])
            }
            Step::Fresh(n) => {
                drained.remove(&replica(*n));
                Event::EndpointsChanged(vec![listing(*n, EndpointState::Available, Some(rig.now))])
            }
            Step::Wait(n) => {
                for _ in 0..*n {
                    rig.now += 0.02;
                    all.extend(tell(
                        &mut rig,
                        Event::TimerFired,
                        &mut open,
                        &mut attempts,
                        &mut made,
                        &drained,
                    ));
                    let late = open.iter().find(|o| *o.1 + 1e-9 < rig.now);
                    assert!(late.is_none(), "no answer in time: {late:?} at {}", rig.now);
                }
                continue;
            }
            Step::End(..) => continue,
        };
        all.extend(tell(
            &mut rig,
            event,
            &mut open,
            &mut attempts,
            &mut made,
            &drained,
        ));
    }
    all
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn histories_keep_the_rules(steps in steps(), copies in any::<bool>()) {
        let first = play(&steps, copies);
        prop_assert_eq!(first, play(&steps, copies));
    }
}

/// Sends of `n` sessions to the router's own zone, of four replicas that are half there, after as many early
/// first tokens.
fn near_sends(cross_zone: f64, n: u64) -> usize {
    let settings = SchedulerSettings {
        costs: CostWeights {
            cross_zone,
            ..CostWeights::default()
        },
        ..settings()
    };
    let mut rig = Rig::new(settings, 4);
    let mut near = 0;
    for id in 1..=n {
        let out = rig.tell(Event::RequestArrived(request(id, 0, 0, 30.0)));
        let zone_0 = |a: &Action| matches!(a, Action::StartAttempt { replica: r, .. } if *r == replica(0) || *r == replica(2));
        near += out.iter().filter(|a| zone_0(a)).count();
        rig.start(id, 0.001);
        rig.end(id, 0, AttemptOutcome::Completed, true);
    }
    near
}

#[test]
fn the_price_of_crossing_zones_weighs_in_the_order_of_replicas() {
    // Without a price half of the sends crossed, and the price was the largest of all on this site.
    let (free, priced) = (near_sends(0.0, 300), near_sends(0.16, 300));
    assert!((100..200).contains(&free), "{free}");
    assert!(priced > 255, "{priced}");
}

#[test]
fn a_stream_that_breaks_shrinks_the_windows() {
    // The design cuts windows on broken streams; only time-outs and "full" did.
    let room_after = |outcome| {
        let mut rig = Rig::new(settings(), 1);
        for id in 1..=60 {
            rig.tell(Event::RequestArrived(request(id, 0, 0, 30.0)));
            rig.start(id, 0.2);
            rig.end(id, 0, outcome, true);
        }
        rig.wait(0.8);
        rig.fill()
    };
    assert!(room_after(AttemptOutcome::ConnectionReset) < room_after(AttemptOutcome::Completed));
}

#[test]
fn replicas_that_have_gone_are_forgotten_once_they_owe_nothing() {
    let mut rig = Rig::new(settings(), 1);
    assert_eq!(
        sends(&rig.tell(Event::RequestArrived(request(1, 1, 0, 5.0)))).len(),
        1
    );
    for n in 0..50 {
        rig.tell(Event::EndpointsChanged(vec![
            listing(n, EndpointState::Removed, None),
            listing(n + 1, EndpointState::Available, None),
        ]));
    }
    // The first one still holds a request.
    assert_eq!(rig.brain.gauges().replica_count, 2);
    rig.end(1, 0, AttemptOutcome::Completed, true);
    rig.tell(Event::EndpointsReplaced(vec![listing(
        50,
        EndpointState::Available,
        None,
    )]));
    assert_eq!(rig.brain.gauges().replica_count, 1);
}

#[test]
fn windows_do_not_shrink_while_requests_wait_longer_here_than_there() {
    let mut rig = Rig::new(settings(), 1);
    let before = rig.fill();
    for n in 0..before {
        rig.start(1000 + n, 0.2);
    }
    for n in 0..40 {
        // The next one has been held for longer than its first token then takes.
        rig.wait(0.5);
        rig.end(1000 + n, 0, AttemptOutcome::Completed, true);
        rig.start(1000 + before + n, 0.4);
        rig.tell(Event::RequestArrived(request(
            1001 + before + n,
            0,
            0,
            30.0,
        )));
    }
    for n in 40..=before + 40 {
        rig.end(1000 + n, 0, AttemptOutcome::Completed, true);
    }
    rig.tell(Event::ClientDisconnected(RequestId(1000 + before + 40)));
    let mut sent = 0;
    for n in 5000..5030 {
        sent += sends(&rig.tell(Event::RequestArrived(request(n, 0, 0, 30.0)))).len() as u64;
    }
    assert!(sent >= before, "{before} then {sent}");
}

#[test]
fn a_request_at_fault_fails_at_once_and_is_held_against_no_replica() {
    let mut rig = Rig::new(settings(), 1);
    for n in 0..6 {
        assert_eq!(
            sends(&rig.tell(Event::RequestArrived(request(n, 0, 0, 30.0)))).len(),
            1,
            "request {n}"
        );
        let actions = rig.end(n, 0, AttemptOutcome::InvalidRequest, false);
        assert_eq!(
            actions,
            [Action::Fail {
                request: RequestId(n)
            }]
        );
    }
}

/// Many routers that share replicas, each with little traffic of its own: what shows only in the sum.
struct Crowd {
    rigs: Vec<Rig>,
    next: u64,
    /// Sends by replica.
    sent: BTreeMap<ReplicaId, usize>,
}

impl Crowd {
    /// 100 routers on so many warm replicas, whose tenants may send two requests a second for each of these.
    fn new(replicas: usize) -> Crowd {
        let rig = |me| {
            let tenant = Tenant {
                quota: 1.0,
                rate_limit: 2.0 * replicas as f64,
            };
            let s = SchedulerSettings {
                router_index: me,
                router_count: 100,
                tenants: vec![tenant],
                ..settings()
            };
            let mut rig = Rig::new(s.clone(), 0);
            rig.brain = Scheduler::new(s, me as u64).unwrap();
            rig.tell(Event::EndpointsReplaced(
                (0..replicas)
                    .map(|n| listing(n, EndpointState::Available, None))
                    .collect(),
            ));
            rig
        };
        Crowd {
            rigs: (0..100).map(rig).collect(),
            next: 0,
            sent: BTreeMap::new(),
        }
    }
    fn list(&mut self, list: Vec<Endpoint>) {
        self.rigs
            .iter_mut()
            .for_each(|r| drop(r.tell(Event::EndpointsChanged(list.clone()))));
    }
    /// Lets so many seconds pass with `rate` requests a second in all; `first` gives a replica's time to its first
    /// token. Answers end half a second later.
    fn run(&mut self, seconds: Seconds, rate: f64, first: impl Fn(ReplicaId) -> Seconds) {
        let mut due: BTreeMap<(u64, usize, u64), (Seconds, bool)> = BTreeMap::new();
        let (mut owed, start) = (0.0, self.rigs[0].now);
        while self.rigs[0].now < start + seconds {
            owed += rate * 0.02;
            let now = self.rigs[0].now + 0.02;
            for (n, rig) in self.rigs.iter_mut().enumerate() {
                rig.now = now;
                let mut out = rig.tell(Event::TimerFired);
                while owed >= 1.0 && (self.next % 100) as usize == n {
                    (self.next, owed) = (self.next + 1, owed - 1.0);
                    out.extend(rig.tell(Event::RequestArrived(request(self.next, 0, 0, 5.0))));
                }
                for (id, to) in sends(&out) {
                    *self.sent.entry(to).or_default() += 1;
                    due.insert((((now + first(to)) * 1e6) as u64, n, id), (first(to), true));
                }
            }
            while let Some(entry) = due
                .first_entry()
                .filter(|e| e.key().0 <= (now * 1e6) as u64)
            {
                let ((at, n, id), (elapsed, starts)) = entry.remove_entry();
                let event = if starts {
                    due.insert((at + 500_000, n, id), (elapsed, false));
                    Event::FirstToken {
                        request: RequestId(id),
                        attempt: 0,
                        elapsed,
                    }
                } else {
                    let (request, outcome) = (RequestId(id), AttemptOutcome::Completed);
                    Event::AttemptEnded {
                        request,
                        attempt: 0,
                        outcome,
                        is_request_finished: true,
                        report: None,
                    }
                };
                for (id, to) in sends(&self.rigs[n].tell(event)) {
                    *self.sent.entry(to).or_default() += 1;
                    due.insert((((now + first(to)) * 1e6) as u64, n, id), (first(to), true));
                }
            }
        }
    }
    fn sent_to(&self, replicas: std::ops::Range<usize>) -> usize {
        replicas
            .map(|n| self.sent.get(&replica(n)).copied().unwrap_or(0))
            .sum()
    }
}

/// Guards against cold replicas left idle because each of many routers, by its own little traffic, waits too long,
/// and against the sum of what many routers send them at once.
#[test]
fn many_routers_together_send_cold_replicas_their_part_and_no_more() {
    let mut crowd = Crowd::new(16);
    crowd.run(10.0, 30.0, |_| 0.1);
    // Ten of the sixteen are replaced; their like bear two a second when warm, a tenth of it at the start.
    let start = crowd.rigs[0].now;
    let gone = (0..10).map(|n| listing(n, EndpointState::Removed, None));
    let new = (16..26).map(|n| listing(n, EndpointState::Available, Some(start)));
    crowd.list(gone.chain(new).collect());
    // What is left is slow: requests wait for room.
    let first = |to: ReplicaId| {
        if (10..16).any(|n| replica(n) == to) {
            2.0
        } else {
            0.3
        }
    };
    crowd.run(1.0, 90.0, first);
    let at_once = (16..26).map(|n| crowd.sent_to(n..n + 1)).max().unwrap();
    assert!(at_once <= 3, "{at_once} to one of them in its first second");
    crowd.run(9.0, 90.0, first);
    // 2/s x (0.1 + 0.45 x t/10) over 10 s, for ten replicas: 65 in all.
    let to_cold = crowd.sent_to(16..26);
    assert!((40..=72).contains(&to_cold), "{to_cold}");
}

/// Guards against windows that many routers learn too late: replicas that go take their part of them along.
#[test]
fn the_pool_of_every_router_follows_the_warm_replicas() {
    let mut rig = Rig::new(settings(), 8);
    let before = rig.brain.gauges().concurrency_limit;
    rig.tell(Event::EndpointsChanged(
        (0..6)
            .map(|n| listing(n, EndpointState::Draining, None))
            .collect(),
    ));
    assert!(
        (rig.brain.gauges().concurrency_limit - before / 4.0).abs() < 1e-9,
        "{:?}",
        rig.brain.gauges()
    );
    rig.tell(Event::EndpointsChanged(
        (0..6)
            .map(|n| listing(n, EndpointState::Available, None))
            .collect(),
    ));
    assert!(
        (rig.brain.gauges().concurrency_limit - before).abs() < 1e-9,
        "{:?}",
        rig.brain.gauges()
    );
}

/// A router among 100 on four replicas, that asks before it sends.
fn one_of_many() -> Rig {
    let mut rig = Rig::new(settings(), 0);
    rig.brain = Scheduler::new(
        SchedulerSettings {
            router_count: 100,
            ..settings()
        },
        1,
    )
    .unwrap();
    rig.tell(Event::EndpointsReplaced(
        (0..4)
            .map(|n| listing(n, EndpointState::Available, None))
            .collect(),
    ));
    rig
}

fn asked(actions: &[Action]) -> Vec<ReplicaId> {
    let probe = |a: &Action| {
        if let Action::Probe { replica } = a {
            Some(*replica)
        } else {
            None
        }
    };
    actions.iter().filter_map(probe).collect()
}

fn probed(rig: &mut Rig, replica: ReplicaId, tokens: f64, memory: f64) -> Vec<Action> {
    let report = LoadReport {
        queued_prompt_tokens: Some(tokens),
        memory_utilization: Some(memory),
        ..LoadReport::default()
    };
    rig.tell(Event::ProbeEnded {
        replica,
        outcome: AttemptOutcome::Completed,
        report: Some(report),
    })
}

/// Guards against draws without knowledge: among many routers the last report of a replica is a minute old.
#[test]
fn where_answers_are_rare_both_candidates_are_asked_before_a_request_goes_out() {
    for (full, memory) in [(20_000.0, 0.1), (0.0, 0.9)] {
        let mut spared = 0;
        for n in 0..40 {
            let mut rig = one_of_many();
            let to = asked(&rig.tell(Event::RequestArrived(request(n, 0, 0, 5.0))));
            assert_eq!((to.len(), sends(&rig.last).len()), (2, 0));
            assert_eq!(
                sends(&probed(&mut rig, to[1], 0.0, 0.1)),
                [],
                "it waits for both answers"
            );
            let sent = sends(&probed(&mut rig, to[0], full, memory));
            assert_eq!(sent.len(), 1);
            spared += usize::from(sent[0].1 == to[1]);
            // What has just said how it is is not asked again.
            assert!(
                asked(&rig.tell(Event::RequestArrived(request(1000 + n, 0, 0, 5.0))))
                    .iter()
                    .all(|r| !to.contains(r))
            );
        }
        assert!(spared >= 36, "{spared} of 40 went to the emptier one");
    }
}

/// Guards against requests that wait for a probe's answer from a replica that says nothing any more.
#[test]
fn a_replica_that_does_not_answer_a_probe_holds_nothing_up() {
    for n in 0..20 {
        let mut rig = one_of_many();
        let to = asked(&rig.tell(Event::RequestArrived(request(n, 0, 0, 5.0))));
        probed(&mut rig, to[1], 0.0, 0.1);
        assert_eq!(sends(&rig.wait(0.03)), [(n, to[1])]);
    }
}

/// Guards against requests held by a pool too coarse for a router's few requests while replicas are idle.
#[test]
fn an_idle_replica_has_room_beside_a_small_pool() {
    for (tokens, more) in [(0.0, 1), (5_000.0, 0)] {
        let mut rig = one_of_many();
        // The pool of one of a hundred holds a single request.
        for replica in asked(&rig.tell(Event::RequestArrived(request(1, 0, 0, 5.0)))) {
            probed(&mut rig, replica, tokens, 0.1);
        }
        let mut sent = 0;
        for replica in asked(&rig.tell(Event::RequestArrived(IncomingRequest {
            session: Some(7),
            ..request(2, 0, 0, 5.0)
        }))) {
            sent += sends(&probed(&mut rig, replica, tokens, 0.1)).len();
        }
        assert_eq!(sent, more, "{tokens} tokens waiting");
    }
}

/// Guards against sessions that are scattered over idle replicas, where all is read anew, since the pool is used up and
/// their home is not idle.
#[test]
fn a_session_goes_to_its_home_beside_a_used_up_pool() {
    let mut s = SchedulerSettings {
        router_count: 100,
        ..settings()
    };
    s.classes[0].ttft_objective = 10.0;
    for n in 0..20 {
        let mut rig = one_of_many();
        rig.brain = Scheduler::new(s.clone(), n).unwrap();
        rig.tell(Event::EndpointsReplaced(
            (0..4)
                .map(|n| listing(n, EndpointState::Available, None))
                .collect(),
        ));
        // The pool of one of a hundred holds a single request, and this one stays.
        for replica in asked(&rig.tell(Event::RequestArrived(request(1, 0, 0, 60.0)))) {
            probed(&mut rig, replica, 0.0, 0.1);
        }
        rig.wait(1.1);
        // All reports are old by now: the session's whole order is asked.
        rig.wait(1.1);
        let later = IncomingRequest {
            session: Some(100 + n),
            prompt_tokens: 20_000,
            ..request(2, 0, 0, 60.0)
        };
        let order = asked(&rig.tell(Event::RequestArrived(later)));
        let mut sent = Vec::new();
        for replica in order.iter().rev() {
            let tokens = if *replica == order[0] { 1_000.0 } else { 0.0 };
            sent.extend(sends(&probed(&mut rig, *replica, tokens, 0.1)));
        }
        assert_eq!(sent, [(2, order[0])]);
    }
}

/// Guards against small fleets that pay for probes they do not need: their reports come with every answer.
#[test]
fn where_answers_are_many_nothing_is_asked() {
    let mut rig = Rig::new(
        SchedulerSettings {
            router_count: 4,
            ..settings()
        },
        12,
    );
    assert_eq!(
        asked(&rig.tell(Event::RequestArrived(request(1, 0, 0, 5.0)))),
        []
    );
}

/// Guards against room spent on held requests whose first token cannot come in time any more.
#[test]
fn what_cannot_have_its_first_token_in_time_is_given_up_while_held() {
    let mut given_up = Vec::new();
    for first in [0.01, 0.5] {
        let mut rig = Rig::new(settings(), 1);
        for n in 0..80 {
            rig.tell(Event::RequestArrived(request(n, 0, 0, 5.0)));
            rig.tell(Event::FirstToken {
                request: RequestId(n),
                attempt: 0,
                elapsed: first,
            });
            rig.end(n, 0, AttemptOutcome::Completed, true);
        }
        rig.fill();
        rig.tell(Event::RequestArrived(request(1, 0, 0, 5.0)));
        let start = rig.now;
        while !rig.last.iter().any(|a| matches!(a, Action::Reject { .. })) && rig.now < start + 5.0
        {
            rig.wait(0.02);
        }
        given_up.push(rig.now - start);
    }
    assert!(given_up[0] > 0.9 && given_up[0] < 1.04, "{given_up:?}");
    assert!(given_up[1] > 0.4 && given_up[1] < 0.7, "{given_up:?}");
}

/// Guards against replicas that were only slow and then, taken for just started, get a trickle.
#[test]
fn only_a_long_silence_makes_a_replica_cold() {
    for (silence, warm) in [(0.5, true), (4.0, false)] {
        let mut rig = Rig::new(settings(), 2);
        let (before, to) = (
            rig.brain.gauges().concurrency_limit,
            sends(&rig.tell(Event::RequestArrived(request(1, 0, 0, 9.0))))[0].1,
        );
        rig.wait(1.2);
        rig.wait(silence);
        rig.tell(Event::ProbeEnded {
            replica: to,
            outcome: AttemptOutcome::Completed,
            report: None,
        });
        rig.wait(0.02);
        assert_eq!(
            rig.brain.gauges().concurrency_limit == before,
            warm,
            "{silence} s: {:?}",
            rig.brain.gauges()
        );
    }
}

/// A probe's answer of a replica with nothing to read that holds so many requests, of which so many wait.
fn held(replica: ReplicaId, holding: Option<f64>, queued: f64) -> Event {
    let report = LoadReport {
        queued_prompt_tokens: Some(0.0),
        requests_held: holding,
        requests_queued: Some(queued),
        ..LoadReport::default()
    };
    Event::ProbeEnded {
        replica,
        outcome: AttemptOutcome::Completed,
        report: Some(report),
    }
}

/// Guards against a draw that reads memory and prompt tokens only: where batches are small, a request sent to a
/// replica whose batch is full waits there for a whole answer, though nothing is left to read.
#[test]
fn a_replica_with_requests_queued_is_passed_over() {
    let mut away = 0;
    for session in 0..20 {
        let mut rig = Rig::new(
            SchedulerSettings {
                load_report_source: LoadReportSource::Probes,
                ..settings()
            },
            8,
        );
        let turn = IncomingRequest {
            session: Some(session),
            ..request(1, 0, 0, 5.0)
        };
        let asked = probes(&rig.tell(Event::RequestArrived(turn)));
        let mut sent = sends(&rig.tell(held(asked[0], None, 12.0)));
        sent.extend(sends(&rig.tell(held(asked[1], None, 0.0))));
        assert_eq!(sent.len(), 1);
        away += usize::from(sent[0].1 != asked[0]);
    }
    assert!(
        away >= 18,
        "{away} of 20 went to the replica without a queue"
    );
}

/// Guards against a draw that knows only reports: two replicas with batches of 2 reported one request each, and
/// what this router sent to one of them since then fills it.
#[test]
fn what_a_router_sent_since_a_report_fills_a_learned_batch() {
    let mut away = 0;
    for session in 0..40 {
        let mut rig = Rig::new(settings(), 2);
        for n in [0, 1] {
            rig.tell(held(replica(n), Some(3.0), 1.0));
            rig.tell(held(replica(n), Some(1.0), 0.0));
        }
        let turn = |n| IncomingRequest {
            session: Some(100 * n + session),
            ..request(n, 0, 0, 5.0)
        };
        let first = sends(&rig.tell(Event::RequestArrived(turn(1))));
        away += usize::from(sends(&rig.tell(Event::RequestArrived(turn(2))))[0].1 != first[0].1);
    }
    assert!(away >= 36, "{away} of 40 passed over the full batch");
}

/// A whole answer of attempt 0, with so many prompt tokens found kept.
fn served(rig: &mut Rig, n: u64, kept: f64) {
    rig.start(n, 0.05);
    let report = Some(LoadReport {
        cached_prompt_tokens: Some(kept),
        ..LoadReport::default()
    });
    rig.tell(Event::AttemptEnded {
        request: RequestId(n),
        attempt: 0,
        outcome: AttemptOutcome::Completed,
        is_request_finished: true,
        report,
    });
}

/// Guards against turns looked for at their session's home, though this router sent the turns before elsewhere.
#[test]
fn a_turn_follows_where_this_router_sent_the_one_before() {
    let mut back = 0;
    for session in 0..20 {
        let turn = |n| IncomingRequest {
            session: Some(session),
            prompt_tokens: 6000,
            ..request(n, 0, 0, 5.0)
        };
        let mut rig = Rig::new(settings(), 8);
        let home = sends(&rig.tell(Event::RequestArrived(turn(1))))[0].1;
        rig.end(1, 0, AttemptOutcome::Cancelled, true);
        let entry = |n: usize, state| Endpoint {
            id: home,
            ..listing(n, state, None)
        };
        rig.tell(Event::EndpointsChanged(vec![entry(
            0,
            EndpointState::Draining,
        )]));
        let away = sends(&rig.tell(Event::RequestArrived(turn(2))))[0].1;
        served(&mut rig, 2, 0.0);
        rig.tell(Event::EndpointsChanged(vec![entry(
            0,
            EndpointState::Available,
        )]));
        back += usize::from(sends(&rig.tell(Event::RequestArrived(turn(3))))[0].1 == away);
    }
    assert!(
        back >= 18,
        "{back} of 20 went where the turn before was read"
    );
}

/// Guards against homes that pull sessions of one turn: nothing of their prompts is kept anywhere.
#[test]
fn homes_that_are_found_to_keep_nothing_lose_their_pull() {
    let sent_to = |kept: f64| {
        let mut rig = Rig::new(settings(), 8);
        for n in 0..150 {
            rig.tell(Event::RequestArrived(IncomingRequest {
                prompt_tokens: 6000,
                ..request(n, 0, 0, 5.0)
            }));
            served(&mut rig, n, kept);
        }
        let mut seen = BTreeSet::new();
        for n in 1000..1040 {
            let turn = IncomingRequest {
                session: Some(7777),
                prompt_tokens: 6000,
                ..request(n, 0, 0, 5.0)
            };
            seen.insert(sends(&rig.tell(Event::RequestArrived(turn)))[0].1);
            rig.end(n, 0, AttemptOutcome::Cancelled, true);
        }
        seen.len()
    };
    let (none, all) = (sent_to(0.0), sent_to(6000.0));
    assert!(
        none >= 6 && all <= 2,
        "{none} replicas where nothing is kept, {all} where all is"
    );
}

/// Guards against a hung replica that goes on getting its part until a whole aim is over: at the next sends, once
/// its first is overdue, the others count for more.
#[test]
fn a_replica_that_leaves_a_send_unanswered_gets_less_at_once() {
    let mut s = settings();
    s.classes[0].ttft_objective = 4.0;
    s.limits.allows_probes = false;
    let (mut hung_gets, mut sent) = (0, 0);
    for seed in 0..10 {
        let mut rig = Rig::new(s.clone(), 4);
        rig.brain = Scheduler::new(s.clone(), seed).unwrap();
        rig.tell(Event::EndpointsReplaced(
            (0..4)
                .map(|n| listing(n, EndpointState::Available, None))
                .collect(),
        ));
        let mut hung = None;
        for n in 0..60 {
            let Some((id, to)) = sends(&rig.tell(Event::RequestArrived(request(n, 0, 0, 9.0))))
                .first()
                .copied()
            else {
                continue;
            };
            hung = hung.or((n >= 20).then_some(to));
            let counted = n >= 40;
            (sent, hung_gets) = (
                sent + u32::from(counted),
                hung_gets + u32::from(counted && hung == Some(to)),
            );
            if hung != Some(to) {
                served(&mut rig, id, 0.0);
            }
            rig.wait(0.06);
        }
    }
    assert!(
        sent >= 190 && hung_gets * 20 <= sent,
        "{hung_gets} of {sent} to the hung one of four"
    );
}

/// Second copies of overdue requests: they go to another replica in time, for a part of the sends only.
#[test]
fn an_overdue_request_gets_a_copy_elsewhere_while_it_can_be_in_time() {
    let mut s = settings();
    s.classes[0].ttft_objective = 4.0;
    for (copies, due) in [(true, 1), (false, 0)] {
        s.limits.allows_hedging = copies;
        let mut rig = Rig::new(s.clone(), 4);
        for n in 0..100 {
            rig.tell(Event::RequestArrived(request(n, 0, 0, 9.0)));
            served(&mut rig, n, 0.0);
            rig.wait(0.04);
        }
        let first = sends(&rig.tell(Event::RequestArrived(request(500, 0, 0, 9.0))))[0].1;
        let second = sends(&rig.wait(1.0));
        assert_eq!(second.len(), due, "{second:?}");
        assert!(second.iter().all(|s| s.1 != first));
    }
    s.limits.allows_hedging = true;
    let mut rig = Rig::new(s, 8);
    let (mut firsts, mut copied) = (0, 0);
    for n in 0..100 {
        firsts += sends(&rig.tell(Event::RequestArrived(request(n, 0, 0, 3.0)))).len();
        copied += sends(&rig.wait(0.1)).len();
    }
    assert!(
        copied <= 3 + firsts / 8,
        "{copied} copies of {firsts} where nothing answers"
    );
}

/// Guards against places in a batch taken for as many as the first guess where reports do not say what a replica
/// holds: a queue while it held few shows a small batch, and requests then spread over what has room.
#[test]
fn a_reported_queue_shows_a_batch_where_reports_do_not_say_what_is_held() {
    let second_elsewhere = |queued: f64| {
        let mut elsewhere = 0;
        for session in 0..20 {
            let mut rig = Rig::new(settings(), 2);
            let turn = |n: u64| IncomingRequest {
                session: Some(100 * n + session),
                ..request(n, 0, 0, 5.0)
            };
            for n in 10..30 {
                rig.tell(Event::RequestArrived(turn(n)));
                rig.tell(held(replica(n as usize % 2), None, queued));
                rig.end(n, 0, AttemptOutcome::Cancelled, true);
            }
            let reports = [held(replica(0), None, 0.0), held(replica(1), None, 0.0)];
            reports
                .into_iter()
                .for_each(|report| drop(rig.tell(report)));
            let sent: Vec<_> = (1..=6)
                .flat_map(|n| sends(&rig.tell(Event::RequestArrived(turn(n)))))
                .collect();
            let first = sent.iter().filter(|s| s.1 == replica(0)).count();
            elsewhere += usize::from(sent.len() == 6 && first == 3);
        }
        elsewhere
    };
    let (small, unknown) = (second_elsewhere(1.0), second_elsewhere(0.0));
    assert!(
        small >= 12 && small > unknown + 4,
        "{small} of 20 evenly with a batch of 2, {unknown} with none shown"
    );
}

/// Hints of the work in a request weigh in the round robin; one that is absent, zero or absurd harms nobody.
#[test]
fn hints_of_work_weigh_in_the_round_robin_and_absurd_ones_are_bounded() {
    let light_sent = |light: Option<f64>, heavy: Option<f64>| {
        let mut s = settings();
        s.classes[0].ttft_objective = 500.0;
        let mut rig = Rig::new(s, 1);
        rig.fill();
        for n in 0..40 {
            let (tenant, work) = if n % 2 == 0 { (0, light) } else { (1, heavy) };
            let hinted = IncomingRequest {
                expected_work: work,
                ..request(n, 0, tenant, 900.0)
            };
            assert!(answers(&rig.tell(Event::RequestArrived(hinted))).is_empty());
        }
        let mut sent = Vec::new();
        let mut n = 1000;
        while sent.len() < 15 && n < 1100 {
            sent.extend(sends(&rig.end(n, 0, AttemptOutcome::Cancelled, true)));
            n += 1;
        }
        sent.iter().filter(|s| s.0 % 2 == 0).count()
    };
    let (even, uneven) = (light_sent(None, None), light_sent(Some(0.5), Some(1.5)));
    assert!(
        uneven > even + 1,
        "{even} of 15 without hints, {uneven} of the light ones"
    );
    for absurd in [0.0, -1.0, f64::NAN, f64::INFINITY, 1e300, 1e-300] {
        let light = light_sent(Some(1.0), Some(absurd));
        assert!((2..=13).contains(&light), "{absurd}: {light} of 15");
    }
}

/// Guards against a pause that grows with the time the settings give for asking, and against routers that all come back
/// to a service at once: a change counts as told 6 s after it could be had, also where the first call after that is
/// kept and refused by a crowded service.
#[test]
fn a_failed_call_for_the_list_is_made_again_within_fixed_times_spread_over_routers() {
    const TOLD: Seconds = 6.0;
    /// A crowded service keeps a call for so long, and the one who calls waits a little longer.
    const KEPT: Seconds = 2.2;
    let mut pauses = Vec::new();
    for me in 0..200 {
        let rules = LifecycleRules {
            poll_interval: 60.0,
            ..settings().lifecycle
        };
        let settings = SchedulerSettings {
            router_index: me,
            router_count: 200,
            lifecycle: rules,
            endpoint_list_mode: EndpointListMode::Polled,
            ..settings()
        };
        let mut brain = Scheduler::new(settings, me as u64).unwrap();
        let (mut now, mut out) = (100.0, Vec::new());
        brain.handle_event(now, Event::EndpointListFailed, &mut out);
        while !out.contains(&Action::WatchEndpoints) {
            now += 0.02;
            assert!(
                2.0 * (now - 100.0) + KEPT < TOLD,
                "router {me} has not asked again"
            );
            brain.handle_event(now, Event::TimerFired, &mut out);
        }
        pauses.push(now - 100.0);
    }
    pauses.sort_by(f64::total_cmp);
    // No tenth of a second in which more than a tenth of them come.
    for (n, pause) in pauses.iter().enumerate() {
        assert!(
            pauses[n..].iter().filter(|p| **p < pause + 0.1).count() <= 20,
            "a herd at {pause}"
        );
    }
}

/// A router of one replica that has served requests of new sessions: `due` prompt tokens each, of which `found` were
/// found kept. Returned is the part of a prompt it then expects to find at a session's home.
fn expected_at_home(requests: impl IntoIterator<Item = (u64, f64)>) -> f64 {
    let mut rig = Rig::new(settings(), 1);
    for (n, (due, found)) in requests.into_iter().enumerate() {
        let n = n as u64 + 1;
        rig.tell(Event::RequestArrived(IncomingRequest {
            prompt_tokens: due,
            ..request(n, 0, 0, 10.0)
        }));
        rig.start(n, 0.1);
        let (request, outcome) = (RequestId(n), AttemptOutcome::Completed);
        let report = Some(LoadReport {
            cached_prompt_tokens: Some(found),
            ..LoadReport::default()
        });
        rig.tell(Event::AttemptEnded {
            request,
            attempt: 0,
            outcome,
            is_request_finished: true,
            report,
        });
    }
    rig.brain
        .export_learned_state()
        .cache_hit_rates
        .affinity_replica
}

/// Guards against homes that are passed over since most requests are first turns, which have nothing to be found: the
/// long prompts of later turns are what reading them elsewhere would cost.
#[test]
fn what_is_found_at_homes_is_learned_by_tokens() {
    // Four first turns for each later one, whose prompt is fifteen times as long and found whole.
    let turns = (0..200).map(|n| {
        if n % 5 == 4 {
            (15_000, 15_000.0)
        } else {
            (1_000, 0.0)
        }
    });
    let expected = expected_at_home(turns);
    assert!(
        expected > 0.6,
        "{expected}: 79 in a hundred tokens were found"
    );
    let nothing = expected_at_home((0..200).map(|_| (8_000, 0.0)));
    assert!(
        nothing < 0.1,
        "{nothing} is still expected where nothing was found"
    );
}

/// Guards against turns that are read anew elsewhere because their replica is a little busier: reading holds up all
/// that run where it is done.
#[test]
fn the_more_requests_run_the_more_a_long_prompt_stays_with_its_replica() {
    let mut stayed = 0;
    for seed in 0..40 {
        let mut rig = Rig {
            brain: Scheduler::new(settings(), seed).unwrap(),
            ..Rig::new(settings(), 0)
        };
        rig.tell(Event::EndpointsReplaced(
            (0..2)
                .map(|n| listing(n, EndpointState::Available, None))
                .collect(),
        ));
        let turn = |n: u64, prompt_tokens: u64| {
            Event::RequestArrived(IncomingRequest {
                session: Some(7),
                prompt_tokens,
                ..request(n, 0, 0, 30.0)
            })
        };
        let home = sends(&rig.tell(turn(1, 600)))[0].1;
        rig.start(1, 0.1);
        let report = Some(LoadReport {
            cached_prompt_tokens: Some(0.0),
            ..LoadReport::default()
        });
        let (request_id, outcome) = (RequestId(1), AttemptOutcome::Completed);
        rig.tell(Event::AttemptEnded {
            request: request_id,
            attempt: 0,
            outcome,
            is_request_finished: true,
            report,
        });
        // Others come until both are busy, and the other replica gets rid of a few of its requests more.
        let mut held = std::collections::BTreeMap::new();
        for n in 100..128 {
            for (n, to) in sends(&rig.tell(Event::RequestArrived(request(n, 0, 0, 30.0)))) {
                rig.start(n, 0.05);
                held.entry(to).or_insert_with(Vec::new).push(n);
            }
        }
        let at_home = held[&home].len();
        assert!(at_home >= 8, "{at_home} at home");
        for (to, requests) in held {
            let keep = if to == home {
                at_home
            } else {
                at_home.saturating_sub(3)
            };
            requests
                .iter()
                .skip(keep)
                .for_each(|n| drop(rig.end(*n, 0, AttemptOutcome::Completed, true)));
        }
        let sent = sends(&rig.tell(turn(2, 600)));
        stayed += usize::from(sent.first().is_some_and(|s| s.1 == home));
    }
    assert!(
        stayed >= 36,
        "{stayed} of 40 went to where the turn before was read"
    );
}
