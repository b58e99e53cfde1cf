//! When the watcher of discovery's endpoint list says that the list may be out of date, and how soon it is confirmed.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use poppykeel::transport::clock::Clock;
use poppykeel::transport::endpoints::discovery::EndpointWatcher;
use poppykeel::transport::messages::DispatcherMessage;
use poppykeel_endpoints::SourceUpdate;
use poppykeel_scheduler::{BudgetGrant, BudgetGrants, BudgetKind};
use std::time::Duration;
use support::watcher::{
    answer, bounds, next_message, next_poll, next_update, start_watcher, DRAIN, NO_CHANGES,
};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::LocalSet;

/// An answer that is cut, stalls or is no list may have held a drain, which counts as delivered: the list is doubtful, and
/// the poll is repeated at once on a new connection, without a wait at the service.
#[tokio::test]
async fn incomplete_answer_makes_the_list_doubtful_and_is_polled_again_at_once() {
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
                "'{bytes}' is doubtful"
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

/// A restored list is confirmed by the first poll, which does not wait at the service.
#[tokio::test]
async fn first_poll_after_a_restored_list_does_not_wait_at_the_service() {
    let test = async {
        let service = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (dispatcher, mut messages) = mpsc::channel(16);
        let watcher = EndpointWatcher::new(
            service.local_addr().unwrap(),
            bounds(Duration::from_secs(2)),
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

/// A service that has lost its count answers with changes of an earlier version: they do not belong on the list that the node
/// has, which is doubtful then. The whole list is asked for.
#[tokio::test]
async fn changes_of_an_earlier_version_have_the_whole_list_asked_for() {
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

/// A poll that waits for the fleet's budget leaves the list unwatched: it is doubtful until the poll after it is answered.
#[tokio::test]
async fn list_is_doubtful_while_the_next_poll_waits_for_the_budget() {
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
