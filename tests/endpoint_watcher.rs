//! The endpoint watcher against a discovery service on a real socket that stops answering, resets connections or moves to
//! another address.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use poppykeel::program::config::{NodeConfig, Overrides};
use poppykeel_endpoints::SourceUpdate;
use std::time::Duration;
use support::watcher::{answer, next_poll, next_update, start_watcher, DRAIN, NO_CHANGES};
use support::TEST_TIMEOUT;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;

/// Guards against requests to draining endpoints: the watcher must repeat an unanswered poll by itself, before it reports a
/// failure and waits until the scheduler starts it again.
#[tokio::test]
async fn unanswered_poll_is_repeated_on_a_new_connection_before_a_failure_is_reported() {
    let test = async {
        for partial_answer in [
            "",
            "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"version\":42,\"full\"",
        ] {
            let (service, _watcher, mut messages) =
                start_watcher(Duration::from_secs(2), false).await;
            let (mut unanswered, text) = next_poll(&service, None).await;
            assert!(
                text.starts_with("GET /v1/servers?since=41&timeout_ms=50 "),
                "{text}"
            );
            // The connection stays open without further bytes, also after a partial answer.
            unanswered
                .write_all(partial_answer.as_bytes())
                .await
                .unwrap();
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
            // The next poll is a long poll again, on the connection that was answered.
            let (_reconnected, text) = next_poll(&service, Some(reconnected)).await;
            assert!(
                text.starts_with("GET /v1/servers?since=42&timeout_ms=50 "),
                "{text}"
            );
        }
    };
    LocalSet::new().run_until(test).await;
}

/// Writes an answer with its body in pieces of this size, with this pause after each. Stops when the watcher has closed the
/// connection.
async fn answer_in_pieces(stream: &mut TcpStream, body: &str, size: usize, pause: Duration) {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    stream.write_all(head.as_bytes()).await.unwrap();
    for piece in body.as_bytes().chunks(size) {
        if stream.write_all(piece).await.is_err() {
            return;
        }
        tokio::time::sleep(pause).await;
    }
}

/// Guards against a service that keeps the watcher busy with an answer that comes byte by byte, while a replica drains: the
/// watcher must poll again. An answer in a few pieces is used.
#[tokio::test]
async fn answer_that_comes_byte_by_byte_is_given_up_and_one_in_pieces_is_used() {
    let test = async {
        let (service, _watcher, mut messages) = start_watcher(Duration::from_secs(30), false).await;
        let (mut dribbled, _) = next_poll(&service, None).await;
        let pause = Duration::from_millis(100);
        let dribble = async {
            answer_in_pieces(&mut dribbled, DRAIN, 1, pause).await;
            // The whole answer was read: there is no second poll until the next one is due.
            std::future::pending::<()>().await;
        };
        let (mut reconnected, text) = tokio::select! {
            () = dribble => unreachable!("the future never ends"),
            poll = next_poll(&service, None) => poll,
        };
        assert!(text.contains("since=41&timeout_ms=0 "), "{text}");
        let size = 40;
        answer_in_pieces(&mut reconnected, DRAIN, size, pause * 2).await;
        let SourceUpdate::Changes(changes) = next_update(&mut messages).await else {
            panic!("a failure was reported")
        };
        assert_eq!(changes[0].name, "s-1");
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a thundering herd on an unresponsive service: the watcher repeats an unanswered poll once, and then waits
/// until the scheduler starts it again.
#[tokio::test]
async fn unresponsive_service_gets_one_more_poll_until_the_watcher_is_started_again() {
    let test = async {
        let (service, watcher, mut messages) =
            start_watcher(Duration::from_millis(200), false).await;
        let _unanswered = next_poll(&service, None).await;
        let (_unanswered_repeat, text) = next_poll(&service, None).await;
        assert!(text.contains("timeout_ms=0 "), "{text}");
        assert_eq!(next_update(&mut messages).await, SourceUpdate::Failed);
        let early_poll = tokio::time::timeout(Duration::from_millis(300), service.accept()).await;
        assert!(
            early_poll.is_err(),
            "polled again before the watcher was started"
        );
        // Once started again, the watcher polls with a timeout of 0, which shows at once whether the service answers.
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

/// Guards against a thundering herd on a service that goes down: the polls of all nodes are reset at the same time, so a
/// watcher must not repeat a reset poll at once.
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

/// Guards against a long poll that gets no answer after an outage of the service and delays the next list. The poll after a
/// refused one is short, and if it gets no answer, a poll with a timeout of 0 follows.
#[tokio::test]
async fn poll_after_a_refusal_is_short_and_is_repeated_soon_if_unanswered() {
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
            let (_unanswered, text) = next_poll(&service, None).await;
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

/// Each form of answer sets the version from which the next poll continues: no changes, a full list in answer to a poll for
/// changes, and a full list of an earlier version from a service that has lost its version counter.
#[tokio::test]
async fn next_poll_continues_from_the_version_of_changes_and_of_a_full_list() {
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

/// After a refused poll, the next list may take at most 6 s. The timeout of the short poll that follows must be shorter, so
/// that the poll with a timeout of 0 after it is sent in time.
#[test]
fn refused_unanswered_and_repeated_poll_take_less_than_six_seconds() {
    let config = include_str!("exchanges/config.json").replace("REPLICA", "127.0.0.1:1");
    let limits = NodeConfig::read(
        &config.replace("DISCOVERY", "127.0.0.1:2"),
        Overrides::default(),
    )
    .unwrap()
    .transport_limits;
    assert!(limits.short_poll_wait + limits.short_poll_slack < Duration::from_secs(6));
    assert!(
        limits.short_poll_slack >= Duration::from_secs(2),
        "an overloaded service answers after 2 s"
    );
}

/// Guards against a late first poll at a new address: the watcher must wait neither for the end of its poll at the previous
/// address, nor for the end of a pause after a failed poll there.
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

/// A pushed list comes from an agent on the node's machine, which does not answer while discovery is down. The node counts as
/// notified of a change as soon as the agent answers again, so the watcher must keep polling, with a timeout of 0 after each
/// unanswered poll.
#[tokio::test]
async fn unresponsive_agent_of_a_pushed_list_is_polled_until_it_answers() {
    let test = async {
        let (agent, _watcher, mut messages) = start_watcher(Duration::from_millis(200), true).await;
        let mut held = vec![next_poll(&agent, None).await.0];
        for _ in 0..3 {
            let (unanswered, text) = next_poll(&agent, None).await;
            assert!(text.contains("timeout_ms=0 "), "{text}");
            held.push(unanswered);
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

/// Guards against a drain that takes effect late because a poll hangs at an agent that briefly did not answer. The node counts
/// as notified of a change once the agent answers again, so an unanswered poll must time out and be repeated well within the
/// drain grace.
#[test]
fn poll_of_a_pushed_list_ends_within_the_drain_grace() {
    for grace_s in [0.2, 0.35, 0.5, 0.75, 3.0, 60.0] {
        let config = include_str!("exchanges/config.json")
            .replace("REPLICA", "127.0.0.1:1")
            .replace("DISCOVERY", "127.0.0.1:2")
            .replace("on_request", "pushed")
            .replace("\"drainGrace\":0.5", &format!("\"drainGrace\":{grace_s}"));
        let limits = NodeConfig::read(&config, Overrides::default())
            .unwrap()
            .transport_limits;
        let poll_time = limits.long_poll_wait + limits.long_poll_slack;
        assert!(
            poll_time.as_secs_f64() <= 0.76 * grace_s,
            "{poll_time:?} of {grace_s} s"
        );
        assert!(
            poll_time >= Duration::from_millis(100),
            "{poll_time:?}: the agent is polled continuously"
        );
    }
}
