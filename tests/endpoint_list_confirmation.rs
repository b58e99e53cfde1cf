//! When the endpoint watcher reports that its list is unconfirmed, and when it polls again to confirm the list.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use poppykeel::transport::clock::Clock;
use poppykeel::transport::endpoints::discovery::EndpointWatcher;
use poppykeel::transport::messages::DispatcherMessage;
use poppykeel_endpoints::SourceUpdate;
use poppykeel_scheduler::{BudgetGrant, BudgetGrants, BudgetKind};
use std::time::Duration;
use support::watcher::{
    answer, next_message, next_poll, next_update, start_watcher, transport_limits, DRAIN,
    NO_CHANGES,
};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::LocalSet;

/// A node counts as notified of a drain once discovery begins to write an answer with it. An answer that is truncated, stalls
/// or is not a list may have contained a drain, so the list becomes unconfirmed, and the watcher polls again at once, on a new
/// connection and with a timeout of 0.
#[tokio::test]
async fn incomplete_answer_makes_the_list_unconfirmed_and_is_polled_again_at_once() {
    let incomplete = [
        (true, "HTTP/1.1 200 OK\r\nContent-Length: 90\r\nConnection: close\r\n\r\n{\"version\":42,\"full\""),
        (true, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nno list\r\n"),
        (false, "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"version\":42"),
        (false, "HTTP/1.1 200"),
    ];
    let test = async {
        for (closes, bytes) in incomplete {
            let (service, _watcher, mut messages) =
                start_watcher(Duration::from_secs(2), false).await;
            let (mut first, text) = next_poll(&service, None).await;
            assert!(text.contains("since=41&timeout_ms=50 "), "{text}");
            first.write_all(bytes.as_bytes()).await.unwrap();
            let _open = (!closes).then_some(first);
            assert!(
                matches!(
                    next_message(&mut messages).await,
                    DispatcherMessage::EndpointListStatusChanged(_)
                ),
                "'{bytes}' does not make the list unconfirmed"
            );
            let (mut repeated, text) = next_poll(&service, None).await;
            assert!(text.contains("since=41&timeout_ms=0 "), "{text}");
            answer(&mut repeated, DRAIN).await;
            assert!(
                matches!(next_update(&mut messages).await, SourceUpdate::Changes(changes) if changes.len() == 1)
            );
            let (_repeated, text) = next_poll(&service, Some(repeated)).await;
            assert!(text.contains("since=42&timeout_ms=50 "), "{text}");
        }
    };
    LocalSet::new().run_until(test).await;
}

/// A list that was restored at the start is unconfirmed until the first poll is answered. The timeout of this poll is 0, so
/// that the service answers at once.
#[tokio::test]
async fn first_poll_after_a_restored_list_has_a_zero_timeout() {
    let test = async {
        let service = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (dispatcher, mut messages) = mpsc::channel(16);
        let watcher = EndpointWatcher::new(
            service.local_addr().unwrap(),
            transport_limits(Duration::from_secs(2)),
            dispatcher,
            Clock::start(),
        );
        watcher.set_restored_version(41);
        watcher.start();
        let (mut stream, text) = next_poll(&service, None).await;
        assert!(text.contains("since=41&timeout_ms=0 "), "{text}");
        answer(&mut stream, NO_CHANGES).await;
        assert_eq!(
            next_update(&mut messages).await,
            SourceUpdate::Changes(Vec::new())
        );
        let (_stream, text) = next_poll(&service, Some(stream)).await;
        assert!(text.contains("since=41&timeout_ms=50 "), "{text}");
    };
    LocalSet::new().run_until(test).await;
}

/// A service that has lost its version counter answers with changes of an earlier version. The watcher cannot apply them to
/// its list, so the list becomes unconfirmed and the watcher requests the full list.
#[tokio::test]
async fn changes_of_an_earlier_version_cause_a_poll_for_the_full_list() {
    let test = async {
        let (service, _watcher, mut messages) = start_watcher(Duration::from_secs(2), false).await;
        let (mut stream, text) = next_poll(&service, None).await;
        assert!(text.contains("since=41&"), "{text}");
        answer(&mut stream, &NO_CHANGES.replace("41", "7")).await;
        assert!(matches!(
            next_message(&mut messages).await,
            DispatcherMessage::EndpointListStatusChanged(_)
        ));
        let (mut stream, text) = next_poll(&service, None).await;
        assert!(text.contains("since=0&timeout_ms=0 "), "{text}");
        answer(&mut stream, &DRAIN.replace("false", "true")).await;
        assert!(
            matches!(next_update(&mut messages).await, SourceUpdate::FullList(list) if list.len() == 1)
        );
    };
    LocalSet::new().run_until(test).await;
}

/// While the fleet's budget delays the next poll, the watcher would not learn of changes. So the list is unconfirmed until that
/// poll is answered.
#[tokio::test]
async fn list_is_unconfirmed_while_the_next_poll_waits_for_the_budget() {
    let test = async {
        let (service, watcher, mut messages) = start_watcher(Duration::from_secs(2), false).await;
        let (mut stream, _) = next_poll(&service, None).await;
        let grant = BudgetGrant {
            rate: 0.0,
            burst: 0.0,
            guaranteed_rate: 0.0,
            guaranteed_burst: 0.0,
            expires_at: f64::INFINITY,
        };
        watcher.set_budget_grants(&BudgetGrants::from([(BudgetKind::Discovery, grant)]));
        answer(&mut stream, NO_CHANGES).await;
        assert!(matches!(
            next_message(&mut messages).await,
            DispatcherMessage::EndpointUpdate { .. }
        ));
        assert!(matches!(
            next_message(&mut messages).await,
            DispatcherMessage::EndpointListStatusChanged(_)
        ));
        watcher.set_budget_grants(&BudgetGrants::new());
        let (_stream, text) = next_poll(&service, Some(stream)).await;
        assert!(text.contains("timeout_ms=50 "), "{text}");
    };
    LocalSet::new().run_until(test).await;
}
