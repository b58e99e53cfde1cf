//! The drivers on loopback sockets, with the runtime's clock fed: no real time passes and none is asserted.

use futures_util::{SinkExt, StreamExt};
use poppykeel::program::config::Config;
use poppykeel::protocol::http::{Out, Part};
use poppykeel::routing::directory::identity;
use poppykeel::transport::client::{Client, Shared};
use poppykeel::transport::clock::Clock;
use poppykeel::transport::messages::Phase;
use poppykeel::transport::pool::Pool;
use poppykeel::transport::streams::Streams;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const MINUTE: Duration = Duration::from_secs(60);

#[tokio::test]
async fn a_connection_with_bytes_left_over_or_another_replicas_is_not_used_again() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let peer = (identity("s-1"), listener.local_addr().unwrap());
    let pool = Pool::new(9, MINUTE, MINUTE);
    let mut conn = pool.get(peer).await.ok().unwrap();
    let mut replica = listener.accept().unwrap().0;
    conn.wire.send(Out::Raw("GET / HTTP/1.1\r\n\r\n".into())).await.unwrap();
    replica.write_all(ANSWER).unwrap();
    assert!(matches!(conn.wire.next().await, Some(Ok(Part::Head(_)))));
    assert!(matches!(conn.wire.next().await, Some(Ok(Part::End))));
    let port = conn.wire.get_ref().local_addr().unwrap();
    pool.put(peer, conn);

    // A new replica at the old address starts with a connection of its own.
    let other = pool.get((identity("s-2"), peer.1)).await.ok().unwrap();
    assert_ne!(other.wire.get_ref().local_addr().unwrap(), port);
    let conn = pool.get(peer).await.ok().unwrap();
    assert_eq!(conn.wire.get_ref().local_addr().unwrap(), port);
    pool.put(peer, conn);

    // The runtime has had no turn since these bytes came, so only the kernel knows of them.
    replica.write_all(ANSWER).unwrap();
    let conn = pool.get(peer).await.ok().unwrap();
    assert_ne!(conn.wire.get_ref().local_addr().unwrap(), port);
}

#[tokio::test(start_paused = true)]
async fn a_request_that_is_never_whole_ends_its_connection() {
    let config = include_str!("exchanges/config.json").replace("REPLICA", "127.0.0.1:1");
    let config = Config::read(&config.replace("DISCOVERY", "127.0.0.1:2"), &[]).unwrap();
    let read = config.bounds.read;
    assert!(read < Duration::from_secs(3));
    let (tell, _told) = mpsc::channel(1);
    let (_phase, phases) = watch::channel(Phase::Serving);
    let streams = Rc::new(Streams::new(Clock::start(), Default::default()));
    let shared = Rc::new(Shared::new(Rc::new(config.boot), Rc::new(config.bounds), tell, phases, streams));
    for (bytes, answer) in [
        ("", ""),
        ("POST /v1/", "HTTP/1.1 408 "),
        ("GET /healthz HTTP/1.1\r\nContent-Length: 9\r\n\r\nx", "HTTP/1.1 408 "),
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
