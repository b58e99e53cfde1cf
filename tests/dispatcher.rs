//! The hub round the core, fed with what drivers tell it in an order that sockets bring about only now and then; its
//! replica is a real socket.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]
#![expect(
    clippy::redundant_closure_for_method_calls,
    reason = "not yet converted"
)]

use poppykeel::program::config::operator::Operator;
use poppykeel::program::config::Config;
use poppykeel::routing::directory::EndpointDirectory;
use poppykeel::routing::RequestRouter;
use poppykeel::transport::clock::Clock;
use poppykeel::transport::discovery::Watch;
use poppykeel::transport::dispatcher::Dispatcher;
use poppykeel::transport::messages::{
    ClientResponse, DispatcherMessage, RequestOwner, RequestPayload,
};
use poppykeel::transport::pool::Pool;
use poppykeel::transport::streams::Streams;
use poppykeel::transport::upstream::Upstream;
use poppykeel_scheduler::interface::{IncomingRequest, RequestId};
use poppykeel_scheduler::Scheduler;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::LocalSet;

/// Only a hang runs into this.
const PATIENCE: Duration = Duration::from_secs(20);

/// Starts a hub with this replica on its list; what drivers would tell it goes in here.
fn hub(replica: &TcpListener) -> mpsc::Sender<DispatcherMessage> {
    let config = include_str!("exchanges/config.json")
        .replace("REPLICA", &replica.local_addr().unwrap().to_string())
        .replace("DISCOVERY", "127.0.0.1:1");
    let config = Config::read(&config, &[]).unwrap();
    let (tell, told) = mpsc::channel(16);
    let (clock, bounds, boot) = (Clock::start(), Rc::new(config.bounds), Rc::new(config.boot));
    let brain = Scheduler::new(boot.scheduler.clone(), config.seed).unwrap();
    let watch = Watch::new(config.discovery, bounds.clone(), tell.clone(), clock);
    let directory = EndpointDirectory::new(boot.clone(), Operator::default().members());
    let upstream = Upstream {
        pool: Pool::new(bounds.upstream, bounds.dial, bounds.idle),
        tell: tell.clone(),
        boot,
        bounds,
        streams: Rc::new(Streams::new(clock, Default::default())),
        written: Rc::default(),
        cross_zone_traffic: Rc::default(),
        clock,
    };
    let known = config.known.map(|known| known.told());
    let hub = Dispatcher::new(
        clock,
        RequestRouter::new(brain),
        directory,
        upstream,
        watch,
        known,
    );
    tokio::task::spawn_local(hub.run(told));
    tell
}

fn request(id: u64, asker: RequestOwner) -> (DispatcherMessage, oneshot::Receiver<ClientResponse>) {
    let arrival = IncomingRequest {
        id: RequestId(id),
        class: 0,
        tenant: 0,
        session: None,
        shared_prefix: None,
        time_left: PATIENCE.as_secs_f64(),
        expected_work: None,
        prompt_tokens: 1,
        shared_prefix_tokens: 0,
        max_output_tokens: 1,
        is_client_retry: false,
    };
    let head = format!("POST /v1/chat/completions?id={id} HTTP/1.1\r\n").into_bytes();
    let payload = RequestPayload {
        head,
        body: Default::default(),
    };
    let (answer, answered) = oneshot::channel();
    (
        DispatcherMessage::ClientRequest {
            request: arrival,
            payload,
            response: answer,
            owner: asker,
        },
        answered,
    )
}

async fn taken(replica: &TcpListener) -> TcpStream {
    taken_with_id(replica).await.0
}

/// The next request at this replica, with the id that its target ends in.
async fn taken_with_id(replica: &TcpListener) -> (TcpStream, RequestId) {
    let mut stream = tokio::time::timeout(PATIENCE, replica.accept())
        .await
        .unwrap()
        .unwrap()
        .0;
    let mut text = Vec::new();
    while !text.ends_with(b"\r\n\r\n") {
        text.push(stream.read_u8().await.unwrap());
    }
    let text = String::from_utf8(text).unwrap();
    let id = text
        .split_once("?id=")
        .and_then(|(_, rest)| rest.split(' ').next())
        .unwrap();
    (stream, RequestId(id.parse().unwrap()))
}

/// Guards against a client that ends another one's request: it sends an id that is in use, and leaves before it has
/// heard that it is. So the hub finds the departure right behind the request.
#[tokio::test]
async fn a_departure_ends_the_request_of_the_client_that_left_and_no_other() {
    let replica = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let test = async {
        let tell = hub(&replica);
        let (first, answered) = request(7, 1);
        tell.send(first).await.ok().unwrap();
        let mut stream = taken(&replica).await;
        let (second, repeated) = request(7, 2);
        tell.send(second).await.ok().unwrap();
        tell.send(DispatcherMessage::ClientDisconnected {
            request: RequestId(7),
            owner: 2,
        })
        .await
        .ok()
        .unwrap();
        assert!(matches!(repeated.await, Ok(ClientResponse::Duplicate)));
        stream
            .write_all(
                b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 9\r\n\r\ndata: 1\n\n",
            )
            .await
            .unwrap();
        let answer = tokio::time::timeout(PATIENCE, answered).await.unwrap();
        assert!(
            matches!(answer, Ok(ClientResponse::Stream { .. })),
            "the first client's request was ended"
        );

        // The first one's own departure does end it.
        let (first, answered) = request(8, 3);
        tell.send(first).await.ok().unwrap();
        let _stream = taken(&replica).await;
        tell.send(DispatcherMessage::ClientDisconnected {
            request: RequestId(8),
            owner: 3,
        })
        .await
        .ok()
        .unwrap();
        assert!(tokio::time::timeout(PATIENCE, answered)
            .await
            .unwrap()
            .is_err());
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against attempts that begin for a client that has left while the news of it waits behind other messages: the
/// first attempt of a request, and the repeat of one that was reset.
#[tokio::test]
async fn no_attempt_begins_for_a_client_whose_departure_is_still_on_its_way() {
    let replica = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let test = async {
        let tell = hub(&replica);
        let (unsent, answered) = request(7, 1);
        drop(answered);
        tell.send(unsent).await.ok().unwrap();

        let (reset, answered) = request(8, 2);
        tell.send(reset).await.ok().unwrap();
        // Had the first one been sent on, its connection would come before this one.
        let stream = taken(&replica).await;
        drop(answered);
        stream.set_zero_linger().unwrap();
        drop(stream);

        let (last, _answered) = request(9, 3);
        let (done, summed) = oneshot::channel();
        // The reset is seen and answered before the last request is told.
        tokio::time::sleep(Duration::from_millis(300)).await;
        tell.send(DispatcherMessage::LogSummary(done))
            .await
            .ok()
            .unwrap();
        summed.await.unwrap();
        tell.send(last).await.ok().unwrap();
        let (_stream, id) = taken_with_id(&replica).await;
        assert_eq!(
            id,
            RequestId(9),
            "an attempt began for a client that has left"
        );
    };
    LocalSet::new().run_until(test).await;
}
