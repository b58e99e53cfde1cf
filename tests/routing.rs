//! The core with fed time: events in, commands out, no socket.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]
#![expect(
    clippy::min_ident_chars,
    clippy::semicolon_if_nothing_returned,
    reason = "not yet converted"
)]

use poppykeel::routing::directory::replica_id;
use poppykeel::routing::{MonotonicMicros, RequestRouter, RouterCommand, RouterEvent};
use poppykeel_scheduler::interface::*;
use poppykeel_scheduler::Scheduler;
use poppykeel_site_settings::SiteSettings;

const R: RequestId = RequestId(1);

fn router() -> RequestRouter {
    let config: serde_json::Value =
        serde_json::from_str(include_str!("exchanges/config.json")).unwrap();
    let boot = SiteSettings::parse(&config["settings"].to_string()).unwrap();
    let mut router = RequestRouter::new(Scheduler::new(boot.scheduler, 1).unwrap());
    let (id, state) = (replica_id("s-1"), EndpointState::Available);
    let list = vec![Endpoint {
        id,
        zone: 0,
        cell: 0,
        host_type: 0,
        state,
        capacity_weight: None,
        started_at: None,
    }];
    router.handle_event(0, RouterEvent::List { list, full: true }, &mut Vec::new());
    router
}

fn tell(
    router: &mut RequestRouter,
    now: MonotonicMicros,
    input: RouterEvent,
) -> Vec<RouterCommand> {
    let mut out = Vec::new();
    router.handle_event(now, input, &mut out);
    out
}

fn arrive(router: &mut RequestRouter, id: RequestId, time_left: Seconds) -> Vec<RouterCommand> {
    let arrival = IncomingRequest {
        id,
        class: 0,
        tenant: 0,
        session: None,
        shared_prefix: None,
        time_left,
        expected_work: None,
        prompt_tokens: 10,
        shared_prefix_tokens: 0,
        max_output_tokens: 10,
        is_client_retry: false,
    };
    tell(router, 1_000, RouterEvent::RequestArrived(arrival))
}

fn run_to(router: &mut RequestRouter, end: MonotonicMicros) -> Vec<RouterCommand> {
    let mut out = Vec::new();
    while let Some(due) = router.next_timer().filter(|d| *d <= end) {
        router.on_timer(due, &mut out);
    }
    out
}

fn ended(attempt: usize, outcome: AttemptOutcome) -> RouterEvent {
    RouterEvent::AttemptEnded {
        request: R,
        attempt,
        outcome,
        report: None,
    }
}

#[test]
fn the_first_event_binds_and_stops_the_deadline() {
    let mut router = router();
    let sent = arrive(&mut router, R, 1.0);
    assert!(
        matches!(
            sent[..],
            [RouterCommand::StartAttempt {
                deadline: 1_001_000,
                ..
            }]
        ),
        "{sent:?}"
    );
    let first = tell(
        &mut router,
        900_000,
        RouterEvent::FirstToken {
            request: R,
            attempt: 0,
        },
    );
    assert_eq!(
        first,
        [RouterCommand::BindStream {
            request: R,
            attempt: 0
        }]
    );
    let later = run_to(&mut router, 9_000_000);
    assert!(
        later.iter().all(|c| *c == RouterCommand::WatchEndpoints),
        "{later:?}"
    );
    tell(&mut router, 9_000_000, ended(0, AttemptOutcome::Completed));
    assert_eq!((router.active_count(), router.counters().completed), (0, 1));
}

#[test]
fn a_request_without_an_answer_is_abandoned_and_refused_at_its_deadline() {
    let mut router = router();
    arrive(&mut router, R, 1.0);
    let out = run_to(&mut router, 1_050_000);
    assert!(
        out.contains(&RouterCommand::AbandonAttempt {
            request: R,
            attempt: 0
        }),
        "{out:?}"
    );
    assert_eq!(
        out.iter()
            .filter(|c| matches!(c, RouterCommand::Reject { .. }))
            .count(),
        1,
        "{out:?}"
    );
    // What an abandoned attempt still says comes to nothing.
    assert!(tell(
        &mut router,
        1_060_000,
        RouterEvent::FirstToken {
            request: R,
            attempt: 0
        }
    )
    .is_empty());
    assert!(tell(&mut router, 1_060_000, ended(0, AttemptOutcome::Completed)).is_empty());
    assert_eq!(
        (
            router.active_count(),
            router.counters().failed_attempts[2],
            router.counters().completed
        ),
        (0, 1, 0)
    );
}

#[test]
fn a_client_that_leaves_takes_its_stream_along() {
    let mut router = router();
    arrive(&mut router, R, 1.0);
    tell(
        &mut router,
        2_000,
        RouterEvent::FirstToken {
            request: R,
            attempt: 0,
        },
    );
    let out = tell(&mut router, 3_000, RouterEvent::ClientDisconnected(R));
    assert_eq!(
        out,
        [RouterCommand::AbandonAttempt {
            request: R,
            attempt: 0
        }]
    );
    assert!(tell(
        &mut router,
        4_000,
        ended(0, AttemptOutcome::ConnectionReset)
    )
    .is_empty());
    assert_eq!(
        (router.active_count(), router.counters().failed_attempts[5]),
        (0, 1)
    );
}

#[test]
fn a_broken_stream_ends_its_request_and_is_not_sent_again() {
    let mut router = router();
    arrive(&mut router, R, 1.0);
    tell(
        &mut router,
        2_000,
        RouterEvent::FirstToken {
            request: R,
            attempt: 0,
        },
    );
    assert!(tell(
        &mut router,
        3_000,
        ended(0, AttemptOutcome::ConnectionReset)
    )
    .is_empty());
    assert_eq!((router.active_count(), router.counters().broken), (0, 1));
}

#[test]
fn an_id_used_again_has_no_timer_left_over() {
    let mut router = router();
    arrive(&mut router, R, 1.0);
    tell(
        &mut router,
        2_000,
        RouterEvent::FirstToken {
            request: R,
            attempt: 0,
        },
    );
    tell(&mut router, 3_000, ended(0, AttemptOutcome::Completed));
    arrive(&mut router, R, 9.0);
    let out = run_to(&mut router, 2_000_000);
    assert!(
        !out.contains(&RouterCommand::AbandonAttempt {
            request: R,
            attempt: 0
        }),
        "{out:?}"
    );
}

/// The account of crossings: by minute, class and tenant, an hour of minutes, and all of it in the totals.
#[test]
fn crossings_are_counted_by_minute_and_the_oldest_minutes_leave_the_table_alone() {
    let mut crossings = poppykeel::routing::cross_zone::CrossZoneTraffic::default();
    for minute in 0..70i64 {
        (0..=minute % 3).for_each(|n| crossings.record(minute * 60_000_000 + n, 0, 1));
        crossings.record(minute * 60_000_000 + 59_999_999, 1, 0);
    }
    let rows: Vec<_> = crossings.by_minute().collect();
    assert_eq!(
        (rows.len(), rows[0], rows[1]),
        (120, (10, 0, 1, 2), (10, 1, 0, 1))
    );
    assert_eq!(
        crossings.totals().collect::<Vec<_>>(),
        [(0, 1, 139), (1, 0, 70)]
    );
    // A clock set back by a year begins its minutes anew, and the table stays bounded.
    (0..5).for_each(|n| crossings.record(n * 60_000_000, 0, 0));
    assert!(
        crossings
            .by_minute()
            .map(|r| r.0)
            .collect::<std::collections::BTreeSet<_>>()
            .len()
            <= 60
    );
}

/// A node that ends: whoever waits is answered once by the time given, whether sent, held since all room is taken, or yet to
/// come, and a stream goes on.
#[test]
fn all_who_wait_are_answered_by_the_time_at_which_the_node_ends() {
    const WAITING: u64 = 60;
    let streams = RequestId(1_000);
    let mut router = router();
    arrive(&mut router, streams, 60.0);
    tell(
        &mut router,
        2_000,
        RouterEvent::FirstToken {
            request: streams,
            attempt: 0,
        },
    );
    let mut sent = Vec::new();
    let mut answered = Vec::new();
    let mut note = |out: &[RouterCommand]| {
        for command in out {
            match command {
                RouterCommand::StartAttempt { request, .. } => sent.push(*request),
                RouterCommand::Reject { request, .. } | RouterCommand::Fail { request } => {
                    answered.push(*request)
                }
                RouterCommand::AbandonAttempt { request, .. } => assert_ne!(*request, streams),
                _ => {}
            }
        }
    };
    for number in 1..=WAITING {
        note(&arrive(&mut router, RequestId(number), 60.0));
    }
    router.set_answer_deadline(3_500_000);
    note(&arrive(&mut router, RequestId(WAITING + 1), 60.0));
    note(&run_to(&mut router, 3_550_000));
    assert!(sent.len() < WAITING as usize, "some are held");
    // What was due later must find nothing left.
    run_to(&mut router, 60_000_000);
    answered.sort();
    assert_eq!(
        answered,
        (1..=WAITING + 1).map(RequestId).collect::<Vec<_>>()
    );
}
