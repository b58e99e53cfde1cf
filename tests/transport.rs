//! The drivers on loopback sockets, with the runtime's clock fed: no real time passes and none is asserted.

#![expect(
    clippy::semicolon_if_nothing_returned,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

#[path = "support/drivers.rs"]
mod drivers;

use drivers::{config, shared};
use futures_util::{SinkExt, StreamExt};
use poppykeel::protocol::http::{EncodedMessage, MessagePart};
use poppykeel::routing::directory::replica_id;
use poppykeel::transport::client::Client;
use poppykeel::transport::clock::Clock;
use poppykeel::transport::listener::accept;
use poppykeel::transport::messages::RequestPayload;
use poppykeel::transport::node_phase::NodePhase;
use poppykeel::transport::pool::Pool;
use poppykeel::transport::streams::Streams;
use poppykeel::transport::upstream::{AttemptRequest, Upstream};
use poppykeel::transport::Bounds;
use poppykeel_scheduler::RequestId;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::sync::{mpsc, watch};

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const STREAM: &[u8] =
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: 1\n\n\r\n0\r\n\r\n";
const MINUTE: Duration = Duration::from_secs(60);

#[tokio::test]
async fn a_connection_with_bytes_left_over_or_another_replicas_is_not_used_again() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let peer = (replica_id("s-1"), listener.local_addr().unwrap());
    let pool = Pool::new(9, MINUTE, MINUTE);
    let mut conn = pool.get(peer).await.ok().unwrap();
    let mut replica = listener.accept().unwrap().0;
    conn.wire
        .send(EncodedMessage::Raw("GET / HTTP/1.1\r\n\r\n".into()))
        .await
        .unwrap();
    replica.write_all(ANSWER).unwrap();
    assert!(matches!(
        conn.wire.next().await,
        Some(Ok(MessagePart::Head(_)))
    ));
    assert!(matches!(conn.wire.next().await, Some(Ok(MessagePart::End))));
    let port = conn.wire.get_ref().local_addr().unwrap();
    pool.put(peer, conn, Duration::ZERO);

    // A new replica at the old address starts with a connection of its own.
    let other = pool.get((replica_id("s-2"), peer.1)).await.ok().unwrap();
    assert_ne!(other.wire.get_ref().local_addr().unwrap(), port);
    let conn = pool.get(peer).await.ok().unwrap();
    assert_eq!(conn.wire.get_ref().local_addr().unwrap(), port);
    pool.put(peer, conn, Duration::ZERO);

    // The runtime has had no turn since these bytes came, so only the kernel knows of them.
    replica.write_all(ANSWER).unwrap();
    let conn = pool.get(peer).await.ok().unwrap();
    assert_ne!(conn.wire.get_ref().local_addr().unwrap(), port);
}

/// Guards against the second answer of a replica that says one twice, some milliseconds later: it would be taken for
/// the answer of the next request on that connection.
#[tokio::test]
async fn a_connection_rests_after_a_stream_and_is_used_again_where_nothing_came() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let peer = (replica_id("s-1"), listener.local_addr().unwrap());
    let pool = Pool::new(9, MINUTE, 9 * MINUTE);
    let port = |conn: &poppykeel::transport::pool::Conn| conn.wire.get_ref().local_addr().unwrap();
    for twice in [false, true] {
        let conn = pool.get(peer).await.ok().unwrap();
        let (rested, mut replica) = (port(&conn), listener.accept().unwrap().0);
        tokio::time::pause();
        pool.put(peer, conn, MINUTE);
        let next = pool.get(peer);
        tokio::pin!(next);
        assert!(
            tokio::time::timeout(MINUTE / 2, &mut next).await.is_err(),
            "it is used before it has rested"
        );
        if twice {
            replica.write_all(ANSWER).unwrap();
        }
        tokio::time::advance(MINUTE).await;
        tokio::time::resume();
        let next = next.await.ok().unwrap();
        assert_eq!(port(&next) != rested, twice);
        drop((next, replica));
    }
}

/// Guards against new connections for clients that leave in the moment in which theirs rests.
#[tokio::test]
async fn a_connection_whose_rest_was_waited_for_in_vain_is_kept() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let peer = (replica_id("s-1"), listener.local_addr().unwrap());
    let pool = Pool::new(9, MINUTE, 9 * MINUTE);
    let conn = pool.get(peer).await.ok().unwrap();
    let (rested, _replica) = (
        conn.wire.get_ref().local_addr().unwrap(),
        listener.accept().unwrap().0,
    );
    tokio::time::pause();
    pool.put(peer, conn, MINUTE);
    assert!(tokio::time::timeout(MINUTE / 2, pool.get(peer))
        .await
        .is_err());
    tokio::time::advance(MINUTE).await;
    tokio::time::resume();
    assert_eq!(
        pool.get(peer)
            .await
            .ok()
            .unwrap()
            .wire
            .get_ref()
            .local_addr()
            .unwrap(),
        rested
    );
}

/// A replica that answers twice, through the driver of attempts: the request right after does not get the second one.
#[tokio::test]
async fn a_request_right_after_an_answer_does_not_meet_that_answer_again() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = (replica_id("s-1"), listener.local_addr().unwrap());
    let config = config();
    let (tell, _told) = mpsc::channel(16);
    let clock = Clock::start();
    let upstream = Upstream {
        pool: Pool::new(9, MINUTE, MINUTE),
        tell,
        boot: Rc::new(config.settings),
        bounds: Rc::new(Bounds {
            rest: MINUTE,
            ..config.bounds
        }),
        streams: Rc::new(Streams::new(clock, Default::default())),
        written: Rc::default(),
        cross_zone_traffic: Rc::default(),
        clock,
    };
    let attempt = |request| {
        let payload = RequestPayload {
            head: b"POST / HTTP/1.1\r\n".to_vec(),
            body: Default::default(),
        };
        let (request, payload, begun) = (RequestId(request), Rc::new(payload), Rc::default());
        let job = AttemptRequest {
            request,
            attempt: 0,
            peer,
            timeout: 1,
            inter_token_objective: None,
            cross_zone_group: None,
            payload,
            has_begun: begun,
        };
        tokio::task::spawn_local(upstream.clone().attempt(job))
    };
    let test = async {
        let first = attempt(1);
        let mut replica = listener.accept().await.unwrap().0;
        replica.write_all(STREAM).await.unwrap();
        first.await.unwrap();
        tokio::time::pause();
        let _second = attempt(2);
        tokio::task::yield_now().await;
        // The clock stands still: this comes while the connection rests.
        let mut replica = replica.into_std().unwrap();
        replica.write_all(STREAM).unwrap();
        tokio::time::advance(MINUTE).await;
        tokio::time::resume();
        let other = tokio::time::timeout(MINUTE / 3, listener.accept()).await;
        assert!(
            other.is_ok(),
            "the second request went out where a second answer was to come"
        );
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// Guards against requests lost at the end: they are in the kernel, and the runtime has had no turn since they came.
#[tokio::test]
async fn what_the_kernel_has_when_the_node_closes_is_answered() {
    const HEALTH: &[u8] = b"GET /healthz HTTP/1.1\r\n\r\n";
    let answer = |stream: &mut std::net::TcpStream| {
        let mut text = String::new();
        stream.read_to_string(&mut text).unwrap();
        text
    };
    let (phase, phases) = watch::channel(NodePhase::Serving);
    let (shared, _) = shared(phases.clone());
    let test = async {
        // A connection that nobody has accepted yet.
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let at = listener.local_addr().unwrap();
        let mut new = std::net::TcpStream::connect(at).unwrap();
        new.write_all(HEALTH).unwrap();
        phase.send(NodePhase::Closing).unwrap();
        accept(listener, shared.clone(), phases.clone()).await;
        let new = tokio::task::spawn_blocking(move || answer(&mut new))
            .await
            .unwrap();
        assert!(
            new.starts_with("HTTP/1.1 503 "),
            "the new connection: '{new}'"
        );

        // A request on a connection that rests.
        phase.send(NodePhase::Serving).unwrap();
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut kept = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let client = Client::new(listener.accept().await.unwrap().0, shared.clone());
        let client = tokio::task::spawn_local(client.run());
        kept.write_all(HEALTH).unwrap();
        let mut kept = tokio::task::spawn_blocking(move || {
            let mut piece = [0; 4096];
            assert!(kept.read(&mut piece).unwrap() > 0);
            kept
        })
        .await
        .unwrap();
        tokio::task::yield_now().await;
        kept.write_all(HEALTH).unwrap();
        phase.send(NodePhase::Closing).unwrap();
        let kept = tokio::task::spawn_blocking(move || answer(&mut kept))
            .await
            .unwrap();
        assert!(
            kept.starts_with("HTTP/1.1 503 "),
            "the kept connection: '{kept}'"
        );
        client.await.unwrap();
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

#[tokio::test(start_paused = true)]
async fn a_request_that_is_never_whole_ends_its_connection() {
    let read = config().bounds.read;
    assert!(read < Duration::from_secs(3));
    let (_phase, phases) = watch::channel(NodePhase::Serving);
    let (shared, _) = shared(phases);
    for (bytes, answer) in [
        ("", ""),
        ("POST /v1/", "HTTP/1.1 408 "),
        (
            "GET /healthz HTTP/1.1\r\nContent-Length: 9\r\n\r\nx",
            "HTTP/1.1 408 ",
        ),
    ] {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut bad = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let client = Client::new(listener.accept().await.unwrap().0, shared.clone());
        bad.write_all(bytes.as_bytes()).unwrap();
        // A client that trickles on gets no more time by it.
        let mut trickle = bad.try_clone().unwrap();
        let more = async {
            while !bytes.is_empty() {
                tokio::time::sleep(read / 4).await;
                let _ = trickle.write_all(b"x");
            }
            std::future::pending::<()>().await
        };
        tokio::select! {
            () = client.run() => {}
            () = more => {}
            () = tokio::time::sleep(read * 2) => panic!("still open after '{bytes}'"),
        }
        let mut text = String::new();
        let _ = bad.read_to_string(&mut text);
        assert!(text.starts_with(answer), "{text}");
    }
}
