//! An endpoint watcher without a node, and a discovery service whose polls the test itself answers.

use super::TEST_TIMEOUT;
use poppykeel::program::config::{NodeConfig, Overrides};
use poppykeel::transport::clock::Clock;
use poppykeel::transport::endpoints::discovery::EndpointWatcher;
use poppykeel::transport::messages::DispatcherMessage;
use poppykeel::transport::TransportLimits;
use poppykeel_endpoints::SourceUpdate;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

pub const NO_CHANGES: &str = r#"{"version":41,"full":false,"servers":[]}"#;
pub const DRAIN: &str = r#"{
  "version": 42,
  "full": false,
  "servers": [
    {"id": "s-1", "addr": "127.0.0.1:1", "zone": "a", "kind": "k", "cell": 0, "state": "draining"}
  ]
}"#;

/// Transport limits with 50 ms for a long poll and 30 ms for a short poll. The watcher waits `slack` longer for the answer.
pub fn transport_limits(slack: Duration) -> Rc<TransportLimits> {
    let config = include_str!("../exchanges/config.json").replace("REPLICA", "127.0.0.1:1");
    let config = NodeConfig::read(
        &config.replace("DISCOVERY", "127.0.0.1:2"),
        Overrides::default(),
    )
    .unwrap();
    let long_poll_wait = Duration::from_millis(50);
    let short_poll_wait = Duration::from_millis(30);
    Rc::new(TransportLimits {
        long_poll_wait,
        long_poll_slack: slack,
        short_poll_wait,
        short_poll_slack: slack,
        ..config.transport_limits
    })
}

/// Receives the next poll, on `connection` or, if that is `None`, on a new connection. Returns the connection and the
/// head of the poll.
pub async fn next_poll(
    service: &TcpListener,
    connection: Option<TcpStream>,
) -> (TcpStream, String) {
    let poll = async {
        let mut stream = match connection {
            Some(stream) => stream,
            None => service.accept().await.unwrap().0,
        };
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await.unwrap());
        }
        (stream, String::from_utf8(head).unwrap())
    };
    tokio::time::timeout(TEST_TIMEOUT, poll)
        .await
        .expect("the watcher did not poll")
}

pub async fn answer(stream: &mut TcpStream, body: &str) {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    stream.write_all((head + body).as_bytes()).await.unwrap();
}

/// Receives the next list update that the watcher sends to the dispatcher. Skips messages that the list has become confirmed
/// or unconfirmed.
pub async fn next_update(messages: &mut mpsc::Receiver<DispatcherMessage>) -> SourceUpdate {
    loop {
        match next_message(messages).await {
            DispatcherMessage::EndpointUpdate { update, .. } => return update,
            DispatcherMessage::EndpointListStatusChanged(_) => {}
            _ => panic!("the watcher sent an unexpected message"),
        }
    }
}

pub async fn next_message(messages: &mut mpsc::Receiver<DispatcherMessage>) -> DispatcherMessage {
    tokio::time::timeout(TEST_TIMEOUT, messages.recv())
        .await
        .expect("no message was sent in time")
        .expect("the watcher has stopped")
}

/// Starts a watcher that has version 41 of the list. If `has_pushed_list` is set, its service is the local agent of a pushed
/// list. Returns the listener of the service, the watcher, and the receiver of the watcher's messages to the dispatcher.
pub async fn start_watcher(
    slack: Duration,
    has_pushed_list: bool,
) -> (
    TcpListener,
    EndpointWatcher,
    mpsc::Receiver<DispatcherMessage>,
) {
    let service = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (dispatcher, messages) = mpsc::channel(16);
    let watcher = EndpointWatcher::new(
        service.local_addr().unwrap(),
        transport_limits(slack),
        dispatcher,
        Clock::start(),
    );
    watcher.set_known_version(41);
    let watcher = if has_pushed_list {
        watcher.into_pushed()
    } else {
        watcher
    };
    watcher.start();
    (service, watcher, messages)
}
