//! The request router without sockets: the tests pass events with their times and check the commands that it returns.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use poppykeel::routing::cross_zone::{CrossZoneTraffic, MinuteCount, RequestGroup, TotalCount};
use poppykeel::routing::directory::replica_id;
use poppykeel::routing::{MonotonicMicros, RequestRouter, RouterCommand, RouterEvent};
use poppykeel_scheduler::Scheduler;
use poppykeel_scheduler::{
    AttemptOutcome, Endpoint, EndpointState, IncomingRequest, RequestId, Seconds,
};
use poppykeel_site_settings::SiteSettings;
use std::collections::BTreeSet;

const REQUEST: RequestId = RequestId(1);

const BIND_FIRST_ATTEMPT: RouterCommand = RouterCommand::BindStream {
    request: REQUEST,
    attempt: 0,
};

const ABANDON_FIRST_ATTEMPT: RouterCommand = RouterCommand::AbandonAttempt {
    request: REQUEST,
    attempt: 0,
};

/// A router whose endpoint list has one replica.
fn router_with_one_replica() -> RequestRouter {
    let config: serde_json::Value =
        serde_json::from_str(include_str!("exchanges/config.json")).unwrap();
    let site = SiteSettings::parse(&config["settings"].to_string()).unwrap();
    let mut router = RequestRouter::new(Scheduler::new(site.scheduler, 1).unwrap());
    let endpoints = vec![Endpoint {
        id: replica_id("s-1"),
        zone: 0,
        cell: 0,
        host_type: 0,
        state: EndpointState::Available,
        capacity_weight: None,
        started_at: None,
    }];
    let event = RouterEvent::EndpointsReplaced(endpoints);
    router.handle_event(0, event, &mut Vec::new());
    router
}

fn handle(
    router: &mut RequestRouter,
    now: MonotonicMicros,
    event: RouterEvent,
) -> Vec<RouterCommand> {
    let mut commands = Vec::new();
    router.handle_event(now, event, &mut commands);
    commands
}

/// Handles the arrival of a request 1 ms after the start.
fn arrive(router: &mut RequestRouter, id: RequestId, time_left: Seconds) -> Vec<RouterCommand> {
    let request = IncomingRequest {
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
    handle(router, 1_000, RouterEvent::RequestArrived(request))
}

/// Runs all timers that are due by `end`.
fn run_timers_until(router: &mut RequestRouter, end: MonotonicMicros) -> Vec<RouterCommand> {
    let mut commands = Vec::new();
    while let Some(due_at) = router.next_timer().filter(|due_at| *due_at <= end) {
        router.on_timer(due_at, &mut commands);
    }
    commands
}

fn first_token(request: RequestId, attempt: usize) -> RouterEvent {
    RouterEvent::FirstToken { request, attempt }
}

fn attempt_ended(attempt: usize, outcome: AttemptOutcome) -> RouterEvent {
    RouterEvent::AttemptEnded {
        request: REQUEST,
        attempt,
        outcome,
        report: None,
    }
}

#[test]
fn binds_the_stream_and_lifts_the_deadline_at_the_first_token() {
    let mut router = router_with_one_replica();
    let started = arrive(&mut router, REQUEST, 1.0);
    assert!(
        matches!(
            started[..],
            [RouterCommand::StartAttempt {
                deadline: 1_001_000,
                ..
            }]
        ),
        "{started:?}"
    );
    let bound = handle(&mut router, 900_000, first_token(REQUEST, 0));
    assert_eq!(bound, [BIND_FIRST_ATTEMPT]);
    let later = run_timers_until(&mut router, 9_000_000);
    assert!(
        later
            .iter()
            .all(|command| *command == RouterCommand::WatchEndpoints),
        "{later:?}"
    );
    let end = attempt_ended(0, AttemptOutcome::Completed);
    handle(&mut router, 9_000_000, end);
    assert_eq!((router.active_count(), router.counters().completed), (0, 1));
}

#[test]
fn abandons_and_rejects_a_request_without_a_first_token_at_its_deadline() {
    let mut router = router_with_one_replica();
    arrive(&mut router, REQUEST, 1.0);
    let commands = run_timers_until(&mut router, 1_050_000);
    assert!(commands.contains(&ABANDON_FIRST_ATTEMPT), "{commands:?}");
    let rejection_count = commands
        .iter()
        .filter(|command| matches!(command, RouterCommand::Reject { .. }))
        .count();
    assert_eq!(rejection_count, 1, "{commands:?}");
    // Later reports of an abandoned attempt are ignored.
    assert!(handle(&mut router, 1_060_000, first_token(REQUEST, 0)).is_empty());
    let end = attempt_ended(0, AttemptOutcome::Completed);
    assert!(handle(&mut router, 1_060_000, end).is_empty());
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
fn abandons_the_stream_of_a_client_that_disconnects() {
    let mut router = router_with_one_replica();
    arrive(&mut router, REQUEST, 1.0);
    handle(&mut router, 2_000, first_token(REQUEST, 0));
    let disconnected = RouterEvent::ClientDisconnected(REQUEST);
    let commands = handle(&mut router, 3_000, disconnected);
    assert_eq!(commands, [ABANDON_FIRST_ATTEMPT]);
    let end = attempt_ended(0, AttemptOutcome::ConnectionReset);
    assert!(handle(&mut router, 4_000, end).is_empty());
    assert_eq!(
        (router.active_count(), router.counters().failed_attempts[5]),
        (0, 1)
    );
}

#[test]
fn ends_a_request_whose_stream_broke_and_does_not_retry_it() {
    let mut router = router_with_one_replica();
    arrive(&mut router, REQUEST, 1.0);
    handle(&mut router, 2_000, first_token(REQUEST, 0));
    let end = attempt_ended(0, AttemptOutcome::ConnectionReset);
    assert!(handle(&mut router, 3_000, end).is_empty());
    assert_eq!((router.active_count(), router.counters().broken), (0, 1));
}

#[test]
fn timers_of_a_completed_request_do_not_affect_a_request_with_the_same_id() {
    let mut router = router_with_one_replica();
    arrive(&mut router, REQUEST, 1.0);
    handle(&mut router, 2_000, first_token(REQUEST, 0));
    let end = attempt_ended(0, AttemptOutcome::Completed);
    handle(&mut router, 3_000, end);
    arrive(&mut router, REQUEST, 9.0);
    let commands = run_timers_until(&mut router, 2_000_000);
    assert!(!commands.contains(&ABANDON_FIRST_ATTEMPT), "{commands:?}");
}

/// The table has one row per minute, class and tenant for the last 60 minutes; the totals cover all traffic.
#[test]
fn counts_cross_zone_traffic_by_minute_and_drops_only_the_oldest_minutes() {
    const MINUTE_US: i64 = 60_000_000;
    let class_0 = RequestGroup {
        class: 0,
        tenant: 1,
    };
    let class_1 = RequestGroup {
        class: 1,
        tenant: 0,
    };
    let mut traffic = CrossZoneTraffic::default();
    for minute in 0..70i64 {
        for offset in 0..=minute % 3 {
            traffic.record(minute * MINUTE_US + offset, class_0);
        }
        traffic.record(minute * MINUTE_US + 59_999_999, class_1);
    }
    let rows: Vec<_> = traffic.by_minute().collect();
    assert_eq!(rows.len(), 120);
    let first_rows = [(class_0, 2), (class_1, 1)].map(|(group, count)| MinuteCount {
        minute: 10,
        group,
        count,
    });
    assert_eq!(rows[..2], first_rows);
    let totals = [(class_0, 139), (class_1, 70)].map(|(group, count)| TotalCount { group, count });
    assert_eq!(traffic.totals().collect::<Vec<_>>(), totals);
    // A clock that is set back adds rows for earlier minutes, and the table stays bounded.
    let group = RequestGroup {
        class: 0,
        tenant: 0,
    };
    for minute in 0..5 {
        traffic.record(minute * MINUTE_US, group);
    }
    let minutes: BTreeSet<u64> = traffic.by_minute().map(|row| row.minute).collect();
    assert!(minutes.len() <= 60);
}

/// Requests that a router's commands have started or answered.
#[derive(Default)]
struct CommandLog {
    started: Vec<RequestId>,
    answered: Vec<RequestId>,
}

impl CommandLog {
    /// Records these commands, and asserts that the streaming request is not abandoned.
    fn record(&mut self, commands: &[RouterCommand], streaming: RequestId) {
        for command in commands {
            match command {
                RouterCommand::StartAttempt { request, .. } => self.started.push(*request),
                RouterCommand::Reject { request, .. } | RouterCommand::Fail { request } => {
                    self.answered.push(*request);
                }
                RouterCommand::AbandonAttempt { request, .. } => assert_ne!(*request, streaming),
                _ => {}
            }
        }
    }
}

/// The router answers each waiting request once by the response deadline, whether the request was sent to a replica, is queued
/// for lack of capacity, or arrives after the deadline was set. A stream continues.
#[test]
fn answers_every_waiting_request_by_the_answer_deadline_of_a_shutdown() {
    const WAITING: u64 = 60;
    let streaming = RequestId(1_000);
    let mut router = router_with_one_replica();
    arrive(&mut router, streaming, 60.0);
    handle(&mut router, 2_000, first_token(streaming, 0));
    let mut log = CommandLog::default();
    for number in 1..=WAITING {
        log.record(&arrive(&mut router, RequestId(number), 60.0), streaming);
    }
    router.set_response_deadline(3_500_000);
    let late = arrive(&mut router, RequestId(WAITING + 1), 60.0);
    log.record(&late, streaming);
    log.record(&run_timers_until(&mut router, 3_550_000), streaming);
    assert!(
        log.started.len() < WAITING as usize,
        "no request was queued"
    );
    // Timers that are due later must not answer a request again.
    run_timers_until(&mut router, 60_000_000);
    log.answered.sort();
    assert_eq!(
        log.answered,
        (1..=WAITING + 1).map(RequestId).collect::<Vec<_>>()
    );
}
