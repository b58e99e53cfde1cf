//! The watcher of discovery's endpoint list against a service on a real socket that falls silent, resets its connections
//! or moves.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use poppykeel::program::config::{NodeConfig, Overrides};
use poppykeel_endpoints::SourceUpdate;
use std::time::Duration;
use support::watcher::{answer, next_poll, next_update, start_watcher, DRAIN, NO_CHANGES};
use support::TEST_TIMEOUT;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::task::LocalSet;

/// Guards against a node that sends requests to draining endpoints because it waits, after the silence itself, until the
/// scheduler starts the watcher again.
#[tokio::test]
async fn silent_poll_is_repeated_on_a_new_connection_before_a_failure_is_reported() {
    let test = async {
        for partial_answer in [
            "",
            "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"version\":42,\"full\"",
        ] {
            let (service, _watcher, mut messages) =
                start_watcher(Duration::from_secs(2), false).await;
            let (mut silent, text) = next_poll(&service, None).await;
            assert!(
                text.starts_with("GET /v1/servers?since=41&timeout_ms=50 "),
                "{text}"
            );
            // The connection stays open and silent, also in the middle of an answer.
            silent.write_all(partial_answer.as_bytes()).await.unwrap();
            let (mut reconnected, text) = next_poll(&service, None).await;
            assert!(
                text.starts_with("GET /v1/servers?since=41&timeout_ms=0 "),
                "{text}"
            );
            answer(&mut reconnected, DRAIN).await;
            let SourceUpdate::Changes(changes) = next_update(&mut messages).await else {
                panic!("a failure was reported")
            };
            assert_eq!(changes[0].name, "s-1");
            // The next poll is a long poll again, on the connection that answers.
            let (_reconnected, text) = next_poll(&service, Some(reconnected)).await;
            assert!(
                text.starts_with("GET /v1/servers?since=42&timeout_ms=50 "),
                "{text}"
            );
        }
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a herd on a service that is cut off: after one more poll the scheduler decides when to poll.
#[tokio::test]
async fn service_that_stays_silent_gets_one_more_poll_until_the_watcher_is_started_again() {
    let test = async {
        let (service, watcher, mut messages) =
            start_watcher(Duration::from_millis(200), false).await;
        let _silent = next_poll(&service, None).await;
        let (_silent_too, text) = next_poll(&service, None).await;
        assert!(text.contains("timeout_ms=0 "), "{text}");
        assert_eq!(next_update(&mut messages).await, SourceUpdate::Failed);
        let unasked = tokio::time::timeout(Duration::from_millis(300), service.accept()).await;
        assert!(unasked.is_err(), "polled again without a request");
        // Started again, the watcher finds out at once whether anybody answers.
        watcher.start();
        let (mut reconnected, text) = next_poll(&service, None).await;
        assert!(text.contains("timeout_ms=0 "), "{text}");
        answer(&mut reconnected, NO_CHANGES).await;
        assert_eq!(
            next_update(&mut messages).await,
            SourceUpdate::Changes(Vec::new())
        );
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a herd on a service that went down: its polls end together, and must not come back together.
#[tokio::test]
async fn reset_poll_is_reported_as_a_failure() {
    let test = async {
        let (service, _watcher, mut messages) = start_watcher(Duration::from_secs(2), false).await;
        let (reset, _) = next_poll(&service, None).await;
        reset.set_zero_linger().unwrap();
        drop(reset);
        assert_eq!(next_update(&mut messages).await, SourceUpdate::Failed);
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a poll that waits in vain for a whole long poll after the service was down: a refused poll is followed
/// by one that waits for a short time, and a silent one by one that does not wait.
#[tokio::test]
async fn poll_after_a_refusal_waits_for_a_short_time_and_its_silence_shows_soon() {
    let refusals = [
        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
        "",
    ];
    let test = async {
        for refusal in refusals {
            let (service, watcher, mut messages) =
                start_watcher(Duration::from_secs(2), false).await;
            let (mut refused, _) = next_poll(&service, None).await;
            refused.write_all(refusal.as_bytes()).await.unwrap();
            drop(refused);
            assert_eq!(next_update(&mut messages).await, SourceUpdate::Failed);
            // The scheduler decides when to poll again.
            watcher.start();
            let (_silent, text) = next_poll(&service, None).await;
            assert!(text.contains("since=41&timeout_ms=30 "), "{text}");
            let (mut reconnected, text) = next_poll(&service, None).await;
            assert!(text.contains("since=41&timeout_ms=0 "), "{text}");
            answer(&mut reconnected, DRAIN).await;
            assert!(
                matches!(next_update(&mut messages).await, SourceUpdate::Changes(changes) if changes.len() == 1)
            );
            let (_reconnected, text) = next_poll(&service, Some(reconnected)).await;
            assert!(text.contains("since=42&timeout_ms=50 "), "{text}");
        }
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against rare forms of answers: no changes, a full list where changes were asked for, and a list of an earlier
/// version, as a service has that has lost its count. The latest answer is what counts.
#[tokio::test]
async fn next_poll_asks_for_the_version_of_any_form_of_answer() {
    let full_list = DRAIN.replace("false", "true");
    let older_list = full_list.replace("42", "7");
    let test = async {
        for (body, since, endpoint_count, is_full) in [
            (NO_CHANGES, 41, 0, false),
            (full_list.as_str(), 42, 1, true),
            (older_list.as_str(), 7, 1, true),
        ] {
            let (service, _watcher, mut messages) =
                start_watcher(Duration::from_secs(2), false).await;
            let (mut stream, _) = next_poll(&service, None).await;
            answer(&mut stream, body).await;
            match next_update(&mut messages).await {
                SourceUpdate::FullList(list) => assert!(is_full && list.len() == endpoint_count),
                SourceUpdate::Changes(list) => assert!(!is_full && list.len() == endpoint_count),
                SourceUpdate::Failed => panic!("a failure was reported"),
            }
            let (_stream, text) = next_poll(&service, Some(stream)).await;
            assert!(
                text.contains(&format!("since={since}&timeout_ms=50 ")),
                "{text}"
            );
        }
    };
    LocalSet::new().run_until(test).await;
}

/// By the node's own bounds alone, the time from a refused poll to the list is under 6 s while the list can be had.
#[test]
fn refused_silent_and_new_poll_fit_into_six_seconds() {
    let config = include_str!("exchanges/config.json").replace("REPLICA", "127.0.0.1:1");
    let bounds = NodeConfig::read(
        &config.replace("DISCOVERY", "127.0.0.1:2"),
        Overrides::default(),
    )
    .unwrap()
    .transport_limits;
    assert!(bounds.short_poll_wait + bounds.short_poll_slack < Duration::from_secs(6));
    assert!(
        bounds.short_poll_slack >= Duration::from_secs(2),
        "an overloaded service answers after 2 s"
    );
}

/// Guards against a new address that inherits a poll, or the pause after a failed one, from the previous service.
#[tokio::test]
async fn moved_service_is_polled_at_once_while_a_poll_waits_at_the_previous_address() {
    let test = async {
        let (previous, watcher, mut messages) = start_watcher(TEST_TIMEOUT, false).await;
        let (_waiting, _) = next_poll(&previous, None).await;
        let new = TcpListener::bind("127.0.0.1:0").await.unwrap();
        watcher.set_service_addr(new.local_addr().unwrap());
        let (mut connection, text) = next_poll(&new, None).await;
        assert!(
            text.contains("timeout_ms=0 "),
            "the list is confirmed there at once: {text}"
        );
        answer(&mut connection, DRAIN).await;
        assert!(
            matches!(next_update(&mut messages).await, SourceUpdate::Changes(changes) if changes.len() == 1)
        );
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against an agent that was silent while discovery was down: a change counts as notified from the moment in which
/// the agent answers again, so it is polled again and again, and no poll waits for long.
#[tokio::test]
async fn silent_agent_of_a_pushed_list_is_polled_until_it_answers() {
    let test = async {
        let (agent, _watcher, mut messages) = start_watcher(Duration::from_millis(200), true).await;
        let mut held = vec![next_poll(&agent, None).await.0];
        for _ in 0..3 {
            let (silent, text) = next_poll(&agent, None).await;
            assert!(text.contains("timeout_ms=0 "), "{text}");
            held.push(silent);
        }
        let (mut answering, _) = next_poll(&agent, None).await;
        answer(&mut answering, DRAIN).await;
        loop {
            match next_update(&mut messages).await {
                SourceUpdate::Failed => {}
                SourceUpdate::Changes(changes) => break assert_eq!(changes[0].name, "s-1"),
                SourceUpdate::FullList(_) => panic!("never sent"),
            }
        }
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a drain that is heeded late because a poll hung at an agent that was silent for a moment: a change
/// counts as notified when the agent answers again, so a poll without an answer must be over, and be repeated, well
/// within the drain grace.
#[test]
fn poll_of_a_pushed_list_ends_within_the_drain_grace() {
    for grace_s in [0.2, 0.35, 0.5, 0.75, 3.0, 60.0] {
        let config = include_str!("exchanges/config.json")
            .replace("REPLICA", "127.0.0.1:1")
            .replace("DISCOVERY", "127.0.0.1:2")
            .replace("on_request", "pushed")
            .replace("\"drainGrace\":0.5", &format!("\"drainGrace\":{grace_s}"));
        let bounds = NodeConfig::read(&config, Overrides::default())
            .unwrap()
            .transport_limits;
        let poll_time = bounds.long_poll_wait + bounds.long_poll_slack;
        assert!(
            poll_time.as_secs_f64() <= 0.76 * grace_s,
            "{poll_time:?} of {grace_s} s"
        );
        assert!(
            poll_time >= Duration::from_millis(100),
            "{poll_time:?}: the agent is polled all the time"
        );
    }
}
