//! Rare moments, forced on loopback sockets: a departure, a drain or a close that crosses a request, with the node as a
//! process of its own.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]
#![expect(
    clippy::min_ident_chars,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

#[allow(dead_code)] // each file of tests uses a part
mod support;

use poppykeel_stub_model_server::{ClientOutcome, ReplyScript, StubServers};
use socket2::{Domain, Socket, Type};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};
use support::{ask, read, read_some, request_within, taken, until, Node};

/// A request whose client waits for ten seconds.
fn request(id: &str, more: &str, body: &str) -> String {
    request_within(id, more, body, 10.0)
}

/// Guards against a client that ends another one's request: it sends an id that is in use and leaves before it has
/// been told so. The node stands still meanwhile, so it sees request and departure in one turn.
#[test]
fn a_repeated_id_whose_client_leaves_does_not_end_the_first_ones_request() {
    let replica = TcpListener::bind("127.0.0.1:0").unwrap();
    let node = Node::start("repeated", &[replica.local_addr().unwrap()], "", "safe");
    let id = "00000000000000aa";
    let mut first = node.connect();
    first.write_all(request(id, "", "").as_bytes()).unwrap();
    let mut stream = taken(&replica);
    node.signal("-STOP");
    let mut second = node.connect();
    second.write_all(request(id, "", "").as_bytes()).unwrap();
    drop(second);
    node.signal("-CONT");
    // Both have been seen once a third, which came later, is answered.
    let mut third = node.connect();
    third
        .write_all(b"GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n")
        .unwrap();
    third.read_to_end(&mut Vec::new()).unwrap();
    stream
        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ndata: 1\n\n")
        .unwrap();
    let mut text = String::new();
    let mut piece = [0; 4096];
    while !text.ends_with("0\r\n\r\n") {
        let n = read_some(&mut first, &mut piece).unwrap();
        assert!(n > 0, "the first client's connection ended after '{text}'");
        text.push_str(&String::from_utf8_lossy(&piece[..n]));
    }
    assert!(
        text.starts_with("HTTP/1.1 200 ") && text.contains("data: 1"),
        "{text}"
    );
}

fn entry(id: &str, addr: SocketAddr, state: &str) -> String {
    format!(
        r#"{{"id":"{id}","addr":"{addr}","zone":"a","kind":"k","cell":0,"state":"{state}","weight":1.0,"started_ms":0}}"#
    )
}

/// A listener whose queue is full: a dial to it hangs until something is accepted.
fn full_listener() -> (TcpListener, Vec<TcpStream>) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket
        .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .unwrap();
    socket.listen(0).unwrap();
    let listener = TcpListener::from(socket);
    let addr = listener.local_addr().unwrap();
    let mut held = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&addr, Duration::from_millis(300)) {
        held.push(stream);
        assert!(held.len() < 16, "the queue is never full");
    }
    (listener, held)
}

/// Whether somebody's dial to this port hangs.
fn dialled(port: u16) -> bool {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let to = format!(":{port:04X}");
    table.lines().skip(1).any(|line| {
        let mut fields = line.split_whitespace().skip(2);
        fields.next().is_some_and(|remote| remote.ends_with(&to)) && fields.next() == Some("02")
    })
}

/// Guards against a request that goes to a server long after it was told leaving, since its connection came up late.
#[test]
fn a_connection_that_comes_up_after_its_server_was_told_leaving_carries_nothing() {
    let (late, held) = full_listener();
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    let standin = StubServers::start(vec![ReplyScript {
        token_count: 3,
        ..ReplyScript::default()
    }])
    .unwrap();
    let (at, service) = (
        late.local_addr().unwrap(),
        discovery.local_addr().unwrap().to_string(),
    );
    let node = Node::with_list("late", &[at], "", "unsafe", &service);
    let mut watch = taken(&discovery);
    let (id, mut client) = ask(&node, "late", 3);
    until("the dial", || dialled(at.port()));
    let list = [
        entry("s-0", at, "draining"),
        entry("s-9", standin.addrs()[0], "up"),
    ]
    .join(",");
    let body = format!(r#"{{"version":42,"full":false,"servers":[{list}]}}"#);
    write!(
        watch,
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .unwrap();
    until("the drain", || {
        node.log
            .lock()
            .unwrap()
            .iter()
            .any(|l| l.contains("Draining"))
    });
    // From now on the connection can come up, with the kernel's next try.
    drop(held);
    late.set_nonblocking(true).unwrap();
    let mut up = Vec::new();
    let answer = std::thread::spawn(move || read(id, "late", 3, &mut client));
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(4) {
        if let Ok((stream, _)) = late.accept() {
            stream.set_nonblocking(true).unwrap();
            up.push(stream);
        }
        for stream in &mut up {
            match read_some(stream, &mut [0; 64]) {
                Ok(0) => {}
                Ok(n) => panic!("{n} bytes came to a server that leaves"),
                Err(e) => assert!(matches!(
                    e.kind(),
                    ErrorKind::WouldBlock | ErrorKind::ConnectionReset
                )),
            }
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    // It has never run there, so the server that stays has it, also where it may not be repeated.
    assert_eq!(answer.join().unwrap().outcome, ClientOutcome::Completed);
    assert_eq!(standin.served_requests().len(), 1);
}

/// Guards against the end of an answer that goes with the reset of a close over unread bytes.
#[test]
fn the_last_answer_on_a_connection_arrives_whole_also_over_bytes_that_nobody_reads() {
    let replica = TcpListener::bind("127.0.0.1:0").unwrap();
    let node = Node::start("unread", &[replica.local_addr().unwrap()], "", "safe");
    for begun in [false, true] {
        let mut client = node.connect();
        let id = if begun {
            "00000000000000b2"
        } else {
            "00000000000000b1"
        };
        client
            .write_all(request(id, "Connection: close\r\n", "").as_bytes())
            .unwrap();
        let mut stream = taken(&replica);
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: 1\n\n\r\n")
            .unwrap();
        // More than is read ahead stays in the kernel.
        client
            .write_all(request("00000000000000b3", "", &"x".repeat(100_000)).as_bytes())
            .unwrap();
        if begun {
            // The stream breaks: what has passed arrives, and no last chunk.
            drop(stream);
        } else {
            stream.write_all(b"0\r\n\r\n").unwrap();
        }
        let mut bytes = Vec::new();
        let end = client.read_to_end(&mut bytes);
        let text = String::from_utf8_lossy(&bytes);
        assert!(end.is_ok(), "{end:?} after '{text}'");
        assert!(
            text.contains("data: 1") && text.ends_with("0\r\n\r\n") != begun,
            "{text}"
        );
    }
}

/// Guards against a stream that runs on for nobody: the client has closed behind more bytes than are read ahead.
#[test]
fn a_client_that_leaves_behind_many_bytes_is_missed() {
    let replica = TcpListener::bind("127.0.0.1:0").unwrap();
    let node = Node::start("behind", &[replica.local_addr().unwrap()], "", "safe");
    let mut client = node.connect();
    // Its time is longer than the patience: it does not end by itself.
    let first = request("00000000000000c1", "", "").replace("Deadline: 10", "Deadline: 60");
    client.write_all(first.as_bytes()).unwrap();
    let mut stream = taken(&replica);
    client
        .write_all(request("00000000000000c2", "", &"x".repeat(100_000)).as_bytes())
        .unwrap();
    drop(client);
    let end = read_some(&mut stream, &mut [0]);
    let reset = |e: &std::io::Error| e.kind() == ErrorKind::ConnectionReset;
    assert!(
        end.as_ref().map_or_else(reset, |n| *n == 0),
        "{end:?}: nobody waits for this answer"
    );
}

/// Many clients leave in one instant while their requests wait for a server: none is sent on when one comes.
#[test]
fn requests_whose_clients_left_while_they_waited_are_never_sent_on() {
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    let service = discovery.local_addr().unwrap().to_string();
    let standin = StubServers::start(vec![ReplyScript {
        token_count: 3,
        ..ReplyScript::default()
    }])
    .unwrap();
    let node = Node::with_list("left", &[], "", "safe", &service);
    let mut watch = taken(&discovery);
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
    later
        .write_all(b"GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n")
        .unwrap();
    later.read_to_end(&mut Vec::new()).unwrap();
    let list = entry("s-9", standin.addrs()[0], "up");
    let body = format!(r#"{{"version":42,"full":false,"servers":[{list}]}}"#);
    write!(
        watch,
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .unwrap();
    until("the server", || {
        node.log.lock().unwrap().iter().any(|l| l.contains("s-9"))
    });
    let (id, mut client) = ask(&node, "later", 3);
    assert_eq!(
        read(id, "later", 3, &mut client).outcome,
        ClientOutcome::Completed
    );
    assert_eq!(standin.served_requests().len(), 1);
}

/// Reads to the end of a connection.
fn rest(client: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    client.read_to_end(&mut bytes).unwrap();
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Settings that are read again and an order to stop, each twice and all at once, take no request its answer, and the
/// node ends in order.
#[test]
fn signals_that_cross_leave_a_request_its_answer() {
    let replica = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut node = Node::start("signals", &[replica.local_addr().unwrap()], "", "unsafe");
    let mut client = node.connect();
    client
        .write_all(request("00000000000000e1", "", "").as_bytes())
        .unwrap();
    let mut stream = taken(&replica);
    node.signal("-STOP");
    for sent in ["-HUP", "-TERM", "-HUP", "-TERM", "-INT"] {
        node.signal(sent);
    }
    // One that comes with them is taken, too.
    let mut late = node.connect();
    late.write_all(request("00000000000000e2", "", "").as_bytes())
        .unwrap();
    node.signal("-CONT");
    let mut second = taken(&replica);
    for stream in [&mut stream, &mut second] {
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ndata: 1\n\n")
            .unwrap();
    }
    for client in [&mut client, &mut late] {
        let text = rest(client);
        assert!(
            text.starts_with("HTTP/1.1 200 ") && text.ends_with("0\r\n\r\n"),
            "{text}"
        );
    }
    until("the end", || node.child.try_wait().unwrap().is_some());
    assert_eq!(node.child.wait().unwrap().code(), Some(0));
}

/// A node is ready and serves by the list that it knows, though discovery takes its call and never says a word.
#[test]
fn a_node_whose_discovery_is_silent_is_ready_and_serves_by_what_it_knows() {
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    let service = discovery.local_addr().unwrap().to_string();
    let standin = StubServers::start(vec![ReplyScript {
        token_count: 3,
        ..ReplyScript::default()
    }])
    .unwrap();
    let node = Node::with_list("silent", standin.addrs(), "", "safe", &service);
    let _watch = taken(&discovery);
    let mut health = node.connect();
    health
        .write_all(b"GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n")
        .unwrap();
    assert!(rest(&mut health).starts_with("HTTP/1.1 200 "));
    let (id, mut client) = ask(&node, "silent", 3);
    assert_eq!(
        read(id, "silent", 3, &mut client).outcome,
        ClientOutcome::Completed
    );
}

/// Clients that send much at once and go, with whole bodies that are too long, parts of bodies, and requests one behind
/// the other: others are answered meanwhile, and the node gets all its room back.
#[test]
fn a_flood_of_clients_that_send_much_and_go_leaves_nothing_behind() {
    let standin = StubServers::start(vec![ReplyScript {
        token_count: 3,
        ..ReplyScript::default()
    }])
    .unwrap();
    let node = Node::start("flood", standin.addrs(), "", "safe");
    let descriptors = || {
        std::fs::read_dir(format!("/proc/{}/fd", node.child.id()))
            .unwrap()
            .count()
    };
    let before = descriptors();
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
        // The node may have answered and closed before all is written.
        let _ = client.write_all(text.as_bytes());
        if n % 2 == 0 {
            Socket::from(client)
                .set_linger(Some(Duration::ZERO))
                .unwrap();
        }
        if n % 10 == 0 {
            let (id, mut client) = ask(&node, "among them", 3);
            assert_eq!(
                read(id, "among them", 3, &mut client).outcome,
                ClientOutcome::Completed
            );
        }
    }
    // A few connections to the server stay for later use.
    until("the room", || descriptors() <= before + 16);
}

/// Guards against idle clients that take all descriptors while discovery is down: calls for the list, servers, operators
/// and clients that ask keep theirs, and the process stays below what it may hold.
#[test]
fn idle_clients_that_fill_the_descriptors_leave_those_of_discovery_servers_and_operators() {
    const MAY_HOLD: usize = 128;
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    let service = discovery.local_addr().unwrap();
    drop(discovery);
    let standin = StubServers::start(vec![ReplyScript {
        token_count: 3,
        ..ReplyScript::default()
    }])
    .unwrap();
    let node = Node::with_sockets("idle", standin.addrs(), &service.to_string(), MAY_HOLD);
    let descriptors = || {
        std::fs::read_dir(format!("/proc/{}/fd", node.child.id()))
            .unwrap()
            .count()
    };
    let mut admin = None;
    until("the operators' address", || {
        let log = node.log.lock().unwrap();
        let line = log
            .iter()
            .find_map(|l| l.split("operators call at ").nth(1).map(String::from));
        admin = line.and_then(|l| l.split('"').next()?.parse::<SocketAddr>().ok());
        admin.is_some()
    });
    let admin = admin.unwrap();
    let mut idle = Vec::new();
    let mut most = 0;
    for n in 0..4 * MAY_HOLD {
        idle.push(node.connect());
        // Operators that say nothing hold theirs, too.
        if n % 4 == 0 {
            idle.push(TcpStream::connect(admin).unwrap());
        }
        most = most.max(descriptors());
        if n % 64 == 63 {
            // New connections may be shut unread while idle ones fill the node; their clients come again.
            until("an answer among idle clients", || {
                let (id, mut client) = ask(&node, "among idle ones", 3);
                read(id, "among idle ones", 3, &mut client).outcome == ClientOutcome::Completed
            });
        }
    }
    assert!(most <= MAY_HOLD, "{most} descriptors");
    let mut operator = TcpStream::connect(admin).unwrap();
    operator
        .write_all(b"GET /api/ready HTTP/1.1\r\n\r\n")
        .unwrap();
    assert!(rest(&mut operator).starts_with("HTTP/1.1 200 "));
    // Discovery is back: the node's call comes, whoever else is there.
    let discovery = TcpListener::bind(service).unwrap();
    let _watch = taken(&discovery);
    assert!(descriptors() <= MAY_HOLD);
}

/// The payload of a chunked body as far as it has come.
fn payload(mut chunks: &str) -> String {
    let mut text = String::new();
    while let Some((size, rest)) = chunks.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).unwrap();
        text.push_str(&rest[..size.min(rest.len())]);
        chunks = rest.get(size + 2..).unwrap_or("");
    }
    text
}

/// Guards against events that wait behind a flush, or in a buffer for more to come: each one has reached the client
/// before its server writes the next, also where it comes in two parts or in a burst that waits for the client.
#[test]
fn each_event_reaches_its_client_before_the_next_is_written() {
    let replica = TcpListener::bind("127.0.0.1:0").unwrap();
    let node = Node::start("events", &[replica.local_addr().unwrap()], "", "safe");
    let mut client = node.connect();
    client
        .write_all(request("00000000000000f1", "Connection: close\r\n", "").as_bytes())
        .unwrap();
    let mut stream = taken(&replica);
    stream
        .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        .unwrap();
    let (mut text, mut piece) = (String::new(), vec![0; 65_536]);
    let mut sent = String::new();
    for n in 0..40 {
        // Some come in a burst that a socket's buffer does not hold, so that a flush has to wait for the client.
        let (times, lines) = if n % 10 == 5 { (80, 15) } else { (1, 1) };
        let event = format!(
            "{}\n",
            format!("data: {n} {}\n", "x".repeat(3000)).repeat(lines)
        );
        let chunk = format!("{:x}\r\n{event}\r\n", event.len()).repeat(times);
        let (first, second) = chunk.split_at(chunk.len() / 2);
        sent.push_str(&event.repeat(times));
        std::thread::scope(|scope| {
            scope.spawn(|| {
                stream.write_all(first.as_bytes()).unwrap();
                stream.write_all(second.as_bytes()).unwrap();
            });
            let come = |text: &str| {
                text.split_once("\r\n\r\n")
                    .map_or(0, |(_, body)| payload(body).len())
            };
            while come(&text) < sent.len() {
                let length = read_some(&mut client, &mut piece).unwrap();
                assert!(length > 0, "the stream ended before event {n}");
                text.push_str(&String::from_utf8_lossy(&piece[..length]));
            }
        });
    }
    stream.write_all(b"0\r\n\r\n").unwrap();
    text.push_str(&rest(&mut client));
    assert_eq!(payload(text.split_once("\r\n\r\n").unwrap().1), sent);
}

/// A service that has lost its count says the whole list with an older number: what it says last is what holds, for the
/// whole node.
#[test]
fn a_whole_list_with_an_older_number_is_followed() {
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    let service = discovery.local_addr().unwrap().to_string();
    let script = || {
        StubServers::start(vec![ReplyScript {
            token_count: 3,
            ..ReplyScript::default()
        }])
        .unwrap()
    };
    let (left, stays) = (script(), script());
    let node = Node::with_list("older", left.addrs(), "", "safe", &service);
    let mut watch = taken(&discovery);
    let list = entry("s-9", stays.addrs()[0], "up");
    let body = format!(r#"{{"version":7,"full":true,"servers":[{list}]}}"#);
    write!(
        watch,
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .unwrap();
    until("the list", || {
        node.log.lock().unwrap().iter().any(|l| l.contains("s-9"))
    });
    for _ in 0..5 {
        let (id, mut client) = ask(&node, "older", 3);
        assert_eq!(
            read(id, "older", 3, &mut client).outcome,
            ClientOutcome::Completed
        );
    }
    assert_eq!(
        (left.served_requests().len(), stays.served_requests().len()),
        (0, 5)
    );
}
