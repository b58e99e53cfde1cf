//! Edge cases of connections to a node in a process of its own: disconnects and signals that coincide with requests, unread
//! bytes, exhausted descriptors, and a discovery service that does not answer or has lost its state.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use poppykeel_stub_model_server::{ClientOutcome, ReplyScript, StubServers};
use socket2::Socket;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;
use support::{
    accept_request, answer_poll, endpoint_entry, format_request, read_response, read_some,
    send_request, wait_until, Node,
};

/// How long clients wait for the first token, in seconds.
const DEADLINE_S: f64 = 10.0;
/// A health check on a connection that closes after it.
const HEALTH_AND_CLOSE: &[u8] = b"GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n";
/// A replica's response with one event.
const ONE_EVENT: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Length: 23\r\n\r\ndata: 1\n\ndata: [DONE]\n\n";

/// The text of a request. `headers` holds further header lines, each with its CRLF.
fn request(id: &str, headers: &str, body: &str) -> String {
    format_request(id, headers, body, DEADLINE_S)
}

/// A stub server whose streams have three tokens.
fn stub_server() -> StubServers {
    StubServers::start(vec![ReplyScript {
        token_count: 3,
        ..ReplyScript::default()
    }])
    .unwrap()
}

/// Number of open file descriptors of the node's process.
fn descriptor_count(node: &Node) -> usize {
    let folder = format!("/proc/{}/fd", node.child.id());
    std::fs::read_dir(folder).unwrap().count()
}

/// Guards against a client that ends the request of another client: it sends an id that is in use and disconnects before it
/// receives the rejection. The node is suspended meanwhile, so it sees the request and the disconnect at the same time.
#[test]
fn disconnect_of_client_with_duplicate_id_does_not_end_the_first_request() {
    let replica = TcpListener::bind("127.0.0.1:0").unwrap();
    let node = Node::builder("repeated")
        .replicas(&[replica.local_addr().unwrap()])
        .start();
    let id = "00000000000000aa";
    let mut first = node.connect();
    first.write_all(request(id, "", "").as_bytes()).unwrap();
    let mut stream = accept_request(&replica);
    node.signal("-STOP");
    let mut second = node.connect();
    second.write_all(request(id, "", "").as_bytes()).unwrap();
    drop(second);
    node.signal("-CONT");
    // Once a later client has its response, the node has handled the second request and its disconnect.
    let mut third = node.connect();
    third.write_all(HEALTH_AND_CLOSE).unwrap();
    third.read_to_end(&mut Vec::new()).unwrap();
    stream.write_all(ONE_EVENT).unwrap();
    let mut text = String::new();
    let mut buffer = [0; 4096];
    while !text.ends_with("0\r\n\r\n") {
        let length = read_some(&mut first, &mut buffer).unwrap();
        assert!(
            length > 0,
            "the first client's connection ended after '{text}'"
        );
        text.push_str(&String::from_utf8_lossy(&buffer[..length]));
    }
    assert!(
        text.starts_with("HTTP/1.1 200 ") && text.contains("data: 1"),
        "{text}"
    );
}

/// Guards against a truncated response: if the node closes a socket with unread request bytes, the kernel resets the
/// connection, and the client may lose the end of the response.
#[test]
fn last_response_arrives_complete_despite_unread_request_bytes() {
    let replica = TcpListener::bind("127.0.0.1:0").unwrap();
    let node = Node::builder("unread")
        .replicas(&[replica.local_addr().unwrap()])
        .start();
    for is_broken in [false, true] {
        let mut client = node.connect();
        let id = if is_broken {
            "00000000000000b2"
        } else {
            "00000000000000b1"
        };
        client
            .write_all(request(id, "Connection: close\r\n", "").as_bytes())
            .unwrap();
        let mut stream = accept_request(&replica);
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: 1\n\n\r\n")
            .unwrap();
        // The node reads only a limited number of bytes ahead, so part of these bytes stays in the kernel.
        client
            .write_all(request("00000000000000b3", "", &"x".repeat(100_000)).as_bytes())
            .unwrap();
        if is_broken {
            // The stream breaks: the client receives the forwarded bytes, but no last chunk.
            drop(stream);
        } else {
            stream
                .write_all(b"e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n")
                .unwrap();
        }
        let mut bytes = Vec::new();
        let end = client.read_to_end(&mut bytes);
        let text = String::from_utf8_lossy(&bytes);
        assert!(end.is_ok(), "{end:?} after '{text}'");
        assert!(
            text.contains("data: 1") && text.ends_with("0\r\n\r\n") != is_broken,
            "{text}"
        );
    }
}

/// Guards against an attempt that continues after its client has disconnected: more bytes than the node reads ahead precede
/// the close.
#[test]
fn notices_disconnect_behind_more_bytes_than_are_read_ahead() {
    let replica = TcpListener::bind("127.0.0.1:0").unwrap();
    let node = Node::builder("behind")
        .replicas(&[replica.local_addr().unwrap()])
        .start();
    let mut client = node.connect();
    // The deadline exceeds the test's time limit, so the request does not end by itself.
    let first = request("00000000000000c1", "", "").replace("Deadline: 10", "Deadline: 60");
    client.write_all(first.as_bytes()).unwrap();
    let mut stream = accept_request(&replica);
    client
        .write_all(request("00000000000000c2", "", &"x".repeat(100_000)).as_bytes())
        .unwrap();
    drop(client);
    let end = read_some(&mut stream, &mut [0]);
    let reset = |e: &std::io::Error| e.kind() == ErrorKind::ConnectionReset;
    assert!(
        end.as_ref().map_or_else(reset, |length| *length == 0),
        "{end:?}: the node did not close the attempt's connection"
    );
}

/// Many clients disconnect at the same time while their requests are queued for lack of a replica. The node forwards none of
/// these requests when a replica is listed.
#[test]
fn does_not_forward_queued_requests_whose_clients_disconnected() {
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    let discovery_addr = discovery.local_addr().unwrap().to_string();
    let replica = stub_server();
    let node = Node::builder("left")
        .replicas(&[])
        .discovery(&discovery_addr)
        .start();
    let mut poll = accept_request(&discovery);
    let mut clients: Vec<TcpStream> = (0..40).map(|_| node.connect()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client
            .write_all(request(&format!("{:016x}", 0xd00 + n), "", "").as_bytes())
            .unwrap();
    }
    node.signal("-STOP");
    for (n, client) in clients.into_iter().enumerate() {
        match n % 3 {
            0 => drop(client),
            1 => client.shutdown(std::net::Shutdown::Write).unwrap(),
            _ => Socket::from(client)
                .set_linger(Some(Duration::ZERO))
                .unwrap(),
        }
    }
    node.signal("-CONT");
    let mut later = node.connect();
    later.write_all(HEALTH_AND_CLOSE).unwrap();
    later.read_to_end(&mut Vec::new()).unwrap();
    let list = endpoint_entry("s-9", replica.addrs()[0], "up");
    let body = format!(r#"{{"version":42,"full":false,"servers":[{list}]}}"#);
    answer_poll(&mut poll, &body);
    node.wait_for_log("s-9");
    let (id, mut client) = send_request(&node, "later", 3);
    assert_eq!(
        read_response(id, "later", 3, &mut client).outcome,
        ClientOutcome::Completed
    );
    assert_eq!(replica.served_requests().len(), 1);
}

/// Reads to the end of a connection.
fn read_to_close(client: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    client.read_to_end(&mut bytes).unwrap();
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Two SIGHUPs, two SIGTERMs and a SIGINT arrive together: no response is lost, and the node exits with status 0.
#[test]
fn concurrent_signals_do_not_lose_a_response() {
    let replica = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut node = Node::builder("signals")
        .replicas(&[replica.local_addr().unwrap()])
        .semantics("unsafe")
        .start();
    let mut client = node.connect();
    client
        .write_all(request("00000000000000e1", "", "").as_bytes())
        .unwrap();
    let mut stream = accept_request(&replica);
    node.signal("-STOP");
    for sent in ["-HUP", "-TERM", "-HUP", "-TERM", "-INT"] {
        node.signal(sent);
    }
    // A request that arrives together with the signals is admitted, too.
    let mut late = node.connect();
    late.write_all(request("00000000000000e2", "", "").as_bytes())
        .unwrap();
    node.signal("-CONT");
    let mut second = accept_request(&replica);
    for stream in [&mut stream, &mut second] {
        stream.write_all(ONE_EVENT).unwrap();
    }
    for client in [&mut client, &mut late] {
        let text = read_to_close(client);
        assert!(
            text.starts_with("HTTP/1.1 200 ") && text.ends_with("0\r\n\r\n"),
            "{text}"
        );
    }
    wait_until("the end of the process", || {
        node.child.try_wait().unwrap().is_some()
    });
    assert_eq!(node.child.wait().unwrap().code(), Some(0));
}

/// If discovery accepts the poll and never answers, the node is ready and routes by the endpoint list of its configuration.
#[test]
fn node_with_unresponsive_discovery_serves_by_its_known_endpoint_list() {
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    let discovery_addr = discovery.local_addr().unwrap().to_string();
    let replica = stub_server();
    let node = Node::builder("silent")
        .replicas(replica.addrs())
        .discovery(&discovery_addr)
        .start();
    let _poll = accept_request(&discovery);
    let mut health = node.connect();
    health.write_all(HEALTH_AND_CLOSE).unwrap();
    assert!(read_to_close(&mut health).starts_with("HTTP/1.1 200 "));
    let (id, mut client) = send_request(&node, "silent", 3);
    assert_eq!(
        read_response(id, "silent", 3, &mut client).outcome,
        ClientOutcome::Completed
    );
}

/// Clients send oversized bodies, partial bodies, pipelined requests or garbage, and disconnect. Other clients are served
/// meanwhile, and the node releases the descriptors.
#[test]
fn flood_of_large_abandoned_requests_leaks_no_descriptors() {
    let replica = stub_server();
    let node = Node::builder("flood").replicas(replica.addrs()).start();
    let before = descriptor_count(&node);
    let body = "x".repeat(200_000);
    for n in 0..120u64 {
        let mut client = node.connect();
        let id = format!("{:016x}", 0xf000 + n);
        let text = match n % 4 {
            0 => request(&id, "", &"x".repeat(600_000)),
            1 => request(&id, "", &body)[..100_000].to_string(),
            2 => request(&id, "", "no body that a model knows").repeat(50),
            _ => "\0\u{1}garbage".repeat(20_000),
        };
        // The node may respond and close before all bytes are written.
        let _ = client.write_all(text.as_bytes());
        if n % 2 == 0 {
            Socket::from(client)
                .set_linger(Some(Duration::ZERO))
                .unwrap();
        }
        if n % 10 == 0 {
            let (id, mut client) = send_request(&node, "among them", 3);
            assert_eq!(
                read_response(id, "among them", 3, &mut client).outcome,
                ClientOutcome::Completed
            );
        }
    }
    // The limit leaves room for pooled connections to the replica.
    wait_until("the release of descriptors", || {
        descriptor_count(&node) <= before + 16
    });
}

/// Guards against idle clients that use up all descriptors while discovery is down: polls, replicas, admin calls and clients
/// with requests still get descriptors, and the process stays below its limit.
#[test]
fn idle_clients_do_not_exhaust_descriptors_for_discovery_replicas_and_admin_calls() {
    const MAX_DESCRIPTORS: usize = 128;
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    let discovery_addr = discovery.local_addr().unwrap();
    drop(discovery);
    let replica = stub_server();
    let node = Node::builder("idle")
        .replicas(replica.addrs())
        .discovery(&discovery_addr.to_string())
        .max_sockets(MAX_DESCRIPTORS)
        .start();
    let mut admin = None;
    wait_until("the admin address", || {
        let log = node.log.lock().unwrap();
        let line = log
            .iter()
            .find_map(|line| line.split("operators call at ").nth(1).map(String::from));
        admin = line.and_then(|line| line.split('"').next()?.parse::<SocketAddr>().ok());
        admin.is_some()
    });
    let admin = admin.unwrap();
    let mut idle = Vec::new();
    let mut max_descriptor_count = 0;
    for n in 0..4 * MAX_DESCRIPTORS {
        idle.push(node.connect());
        // Idle admin connections use descriptors, too.
        if n % 4 == 0 {
            idle.push(TcpStream::connect(admin).unwrap());
        }
        max_descriptor_count = max_descriptor_count.max(descriptor_count(&node));
        if n % 64 == 63 {
            // While idle connections use up the node's connection limit, it may close new ones unread; the client then
            // tries again.
            wait_until("a response among idle clients", || {
                let (id, mut client) = send_request(&node, "among idle ones", 3);
                read_response(id, "among idle ones", 3, &mut client).outcome
                    == ClientOutcome::Completed
            });
        }
    }
    assert!(
        max_descriptor_count <= MAX_DESCRIPTORS,
        "{max_descriptor_count} descriptors"
    );
    let mut operator = TcpStream::connect(admin).unwrap();
    operator
        .write_all(b"GET /api/ready HTTP/1.1\r\n\r\n")
        .unwrap();
    assert!(read_to_close(&mut operator).starts_with("HTTP/1.1 200 "));
    // When discovery is up again, the node polls it despite the idle connections.
    let discovery = TcpListener::bind(discovery_addr).unwrap();
    let _poll = accept_request(&discovery);
    assert!(descriptor_count(&node) <= MAX_DESCRIPTORS);
}

/// Removes the chunk framing of a body that may be incomplete.
fn remove_chunk_framing(mut chunks: &str) -> String {
    let mut text = String::new();
    while let Some((size, after_size)) = chunks.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).unwrap();
        text.push_str(&after_size[..size.min(after_size.len())]);
        chunks = after_size.get(size + 2..).unwrap_or("");
    }
    text
}

/// Guards against events that stay in a buffer of the node until a flush or further bytes: each event reaches the client
/// before the replica writes the next, also if it arrives in two parts or in a burst that exceeds the socket buffers.
#[test]
fn forwards_each_event_before_the_next_is_written() {
    let replica = TcpListener::bind("127.0.0.1:0").unwrap();
    let node = Node::builder("events")
        .replicas(&[replica.local_addr().unwrap()])
        .start();
    let mut client = node.connect();
    client
        .write_all(request("00000000000000f1", "Connection: close\r\n", "").as_bytes())
        .unwrap();
    let mut stream = accept_request(&replica);
    stream
        .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        .unwrap();
    let (mut text, mut buffer) = (String::new(), vec![0; 65_536]);
    let mut sent = String::new();
    for n in 0..40 {
        // Every tenth chunk is a burst that exceeds a socket buffer, so a flush has to wait for the client.
        let (repeats, lines) = if n % 10 == 5 { (80, 15) } else { (1, 1) };
        let event = format!(
            "{}\n",
            format!("data: {n} {}\n", "x".repeat(3000)).repeat(lines)
        );
        let chunk = format!("{:x}\r\n{event}\r\n", event.len()).repeat(repeats);
        let (first, second) = chunk.split_at(chunk.len() / 2);
        sent.push_str(&event.repeat(repeats));
        std::thread::scope(|scope| {
            scope.spawn(|| {
                stream.write_all(first.as_bytes()).unwrap();
                stream.write_all(second.as_bytes()).unwrap();
            });
            let received_length = |text: &str| {
                text.split_once("\r\n\r\n")
                    .map_or(0, |(_, body)| remove_chunk_framing(body).len())
            };
            while received_length(&text) < sent.len() {
                let length = read_some(&mut client, &mut buffer).unwrap();
                assert!(length > 0, "the stream ended before event {n}");
                text.push_str(&String::from_utf8_lossy(&buffer[..length]));
            }
        });
    }
    stream
        .write_all(b"e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n")
        .unwrap();
    sent.push_str("data: [DONE]\n\n");
    text.push_str(&read_to_close(&mut client));
    assert_eq!(
        remove_chunk_framing(text.split_once("\r\n\r\n").unwrap().1),
        sent
    );
}

/// A discovery service that has lost its state sends a full endpoint list with an older version. The node replaces its list by
/// it.
#[test]
fn follows_full_endpoint_list_with_an_older_version() {
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    let discovery_addr = discovery.local_addr().unwrap().to_string();
    let removed = stub_server();
    let remaining = stub_server();
    let node = Node::builder("older")
        .replicas(removed.addrs())
        .discovery(&discovery_addr)
        .start();
    let mut poll = accept_request(&discovery);
    let list = endpoint_entry("s-9", remaining.addrs()[0], "up");
    let body = format!(r#"{{"version":7,"full":true,"servers":[{list}]}}"#);
    answer_poll(&mut poll, &body);
    node.wait_for_log("s-9");
    for _ in 0..5 {
        let (id, mut client) = send_request(&node, "older", 3);
        assert_eq!(
            read_response(id, "older", 3, &mut client).outcome,
            ClientOutcome::Completed
        );
    }
    assert_eq!(removed.served_requests().len(), 0);
    assert_eq!(remaining.served_requests().len(), 5);
}
