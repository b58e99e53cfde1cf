//! The dispatcher and its router without client sockets: the tests send the messages of client connections in orders that are
//! rare with real connections. The replica is a listener on loopback.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use bytes::Bytes;
use poppykeel::program::config::operator::OperatorConfig;
use poppykeel::program::config::{NodeConfig, Overrides};
use poppykeel::protocol::discovery::EndpointListResponse;
use poppykeel::routing::directory::EndpointDirectory;
use poppykeel::routing::RequestRouter;
use poppykeel::transport::clock::Clock;
use poppykeel::transport::dispatcher::Dispatcher;
use poppykeel::transport::endpoints::discovery::EndpointWatcher;
use poppykeel::transport::messages::{
    ClientRequest, ClientResponse, DispatcherMessage, RequestOwner, RequestPayload,
};
use poppykeel::transport::replica::attempts::ReplicaClient;
use poppykeel::transport::replica::pool::ConnectionPool;
use poppykeel::transport::replica::stream_monitor::{StreamMonitor, StreamSettings};
use poppykeel_scheduler::Scheduler;
use poppykeel_scheduler::{IncomingRequest, RequestId};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::LocalSet;

/// Time limit of each wait; exceeded only if the dispatcher hangs.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Capacity of the dispatcher's message queue.
const QUEUE_CAPACITY: usize = 16;

/// Starts a dispatcher whose endpoint list has this replica, and returns the sender of its messages.
fn start_dispatcher(replica: &TcpListener) -> mpsc::Sender<DispatcherMessage> {
    let config = include_str!("exchanges/config.json")
        .replace("REPLICA", &replica.local_addr().unwrap().to_string())
        .replace("DISCOVERY", "127.0.0.1:1");
    let config = NodeConfig::read(&config, Overrides::default()).unwrap();
    let (sender, messages) = mpsc::channel(QUEUE_CAPACITY);
    let clock = Clock::start();
    let limits = Rc::new(config.transport_limits);
    let site = Rc::new(config.settings);
    let scheduler = Scheduler::new(site.scheduler.clone(), config.seed).unwrap();
    let endpoint_watcher =
        EndpointWatcher::new(config.discovery, limits.clone(), sender.clone(), clock);
    let directory = EndpointDirectory::new(
        site.clone(),
        OperatorConfig::default().endpoint_source_settings(),
    );
    let pool = ConnectionPool::new(
        limits.max_replica_connections,
        limits.connect_timeout,
        limits.replica_idle_timeout,
    );
    let stream_monitor = Rc::new(StreamMonitor::new(clock, StreamSettings::default()));
    let replica_client =
        ReplicaClient::new(pool, sender.clone(), site, limits, stream_monitor, clock);
    let known_endpoints = config
        .known_endpoints
        .map(EndpointListResponse::into_source_update);
    let router = RequestRouter::new(scheduler);
    let dispatcher = Dispatcher::new(
        clock,
        router,
        directory,
        replica_client,
        endpoint_watcher,
        known_endpoints,
    );
    tokio::task::spawn_local(dispatcher.run(messages));
    sender
}

/// A request of the client connection `owner`, and the receiver of its response.
fn request(id: u64, owner: u64) -> (DispatcherMessage, oneshot::Receiver<ClientResponse>) {
    let request = IncomingRequest {
        id: RequestId(id),
        class: 0,
        tenant: 0,
        session: None,
        shared_prefix: None,
        time_left: TEST_TIMEOUT.as_secs_f64(),
        expected_work: None,
        prompt_tokens: 1,
        shared_prefix_tokens: 0,
        max_output_tokens: 1,
        is_client_retry: false,
    };
    let payload = RequestPayload {
        head: format!("POST /v1/chat/completions?id={id} HTTP/1.1\r\n").into_bytes(),
        body: Bytes::new(),
    };
    let (response, received) = oneshot::channel();
    let message = DispatcherMessage::ClientRequest(ClientRequest {
        request,
        payload,
        response,
        owner: RequestOwner(owner),
    });
    (message, received)
}

fn disconnect(id: u64, owner: u64) -> DispatcherMessage {
    DispatcherMessage::ClientDisconnected {
        request: RequestId(id),
        owner: RequestOwner(owner),
    }
}

async fn send(dispatcher: &mpsc::Sender<DispatcherMessage>, message: DispatcherMessage) {
    assert!(
        dispatcher.send(message).await.is_ok(),
        "the dispatcher has stopped"
    );
}

async fn accept_request(replica: &TcpListener) -> TcpStream {
    accept_request_with_id(replica).await.0
}

/// Accepts the next request at this replica. Returns its connection and the id in its query string.
async fn accept_request_with_id(replica: &TcpListener) -> (TcpStream, RequestId) {
    let (mut stream, _) = tokio::time::timeout(TEST_TIMEOUT, replica.accept())
        .await
        .unwrap()
        .unwrap();
    let mut text = Vec::new();
    while !text.ends_with(b"\r\n\r\n") {
        text.push(stream.read_u8().await.unwrap());
    }
    let text = String::from_utf8(text).unwrap();
    let id = text
        .split_once("?id=")
        .and_then(|(_, after)| after.split(' ').next())
        .unwrap();
    (stream, RequestId(id.parse().unwrap()))
}

/// Guards against a client that ends the request of another client: it sends an id that is in use and disconnects before it
/// receives the rejection, so the dispatcher receives the disconnect right after the request.
#[tokio::test]
async fn disconnect_ends_only_the_request_of_its_own_client() {
    let replica = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let test = async {
        let dispatcher = start_dispatcher(&replica);
        let (first, first_response) = request(7, 1);
        send(&dispatcher, first).await;
        let mut stream = accept_request(&replica).await;
        let (second, second_response) = request(7, 2);
        send(&dispatcher, second).await;
        send(&dispatcher, disconnect(7, 2)).await;
        assert!(matches!(
            second_response.await,
            Ok(ClientResponse::Duplicate)
        ));
        stream
            .write_all(
                b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 23\r\n\r\ndata: 1\n\ndata: [DONE]\n\n",
            )
            .await
            .unwrap();
        let response = tokio::time::timeout(TEST_TIMEOUT, first_response)
            .await
            .unwrap();
        assert!(
            matches!(response, Ok(ClientResponse::Stream { .. })),
            "the first client's request was ended"
        );

        // A disconnect of the client that owns the request ends it.
        let (first, first_response) = request(8, 3);
        send(&dispatcher, first).await;
        let _stream = accept_request(&replica).await;
        send(&dispatcher, disconnect(8, 3)).await;
        assert!(tokio::time::timeout(TEST_TIMEOUT, first_response)
            .await
            .unwrap()
            .is_err());
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against attempts for a client that has disconnected while the disconnect message is still queued: the first attempt
/// of a request, and the retry after a connection reset.
#[tokio::test]
async fn no_attempt_starts_for_a_client_whose_disconnect_is_still_queued() {
    let replica = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let test = async {
        let dispatcher = start_dispatcher(&replica);
        let (abandoned, abandoned_response) = request(7, 1);
        drop(abandoned_response);
        send(&dispatcher, abandoned).await;

        let (reset, reset_response) = request(8, 2);
        send(&dispatcher, reset).await;
        // If the first request had been dispatched, the replica would accept its connection before this one.
        let stream = accept_request(&replica).await;
        drop(reset_response);
        stream.set_zero_linger().unwrap();
        drop(stream);

        let (last, _last_response) = request(9, 3);
        let (done, logged) = oneshot::channel();
        // Gives the dispatcher time to handle the reset before the last request is sent.
        tokio::time::sleep(Duration::from_millis(300)).await;
        send(&dispatcher, DispatcherMessage::LogSummary(done)).await;
        logged.await.unwrap();
        send(&dispatcher, last).await;
        let (_stream, id) = accept_request_with_id(&replica).await;
        assert_eq!(
            id,
            RequestId(9),
            "an attempt started for a client that has disconnected"
        );
    };
    LocalSet::new().run_until(test).await;
}
