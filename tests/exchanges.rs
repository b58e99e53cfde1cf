//! Replays recorded byte exchanges against a node on loopback sockets and compares the bytes.
//!
//! A file is a sequence of steps. A line `@PARTY ACTION` begins a step; the party is a client, one of the node's peers, the
//! node or its name server. The lines after it are bytes: each ends with CRLF unless it ends in `\`, and `{*}` matches any
//! bytes. A `.toml` file of the same name is the operator file, in which `DNS` stands for the address of a stub name server. A
//! first line `#= FROM => TO` replaces the text FROM in `config.json`.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]
#![expect(
    clippy::min_ident_chars,
    clippy::semicolon_if_nothing_returned,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

use poppykeel_stub_dns_server::{FaultyReply, Script, StubDnsServer};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

/// Longer than the 0.15 s for which the platform may hold up a process, so that the node detects a suspension.
const SUSPENSION: Duration = Duration::from_millis(400);
/// Time limit of each wait; exceeded only if the node hangs.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

struct Node {
    child: Child,
    config: PathBuf,
    operator: Option<PathBuf>,
    dns: StubDnsServer,
    log_lines: Receiver<String>,
    addr: String,
    listeners: HashMap<&'static str, TcpListener>,
    /// The open connection of each party.
    connections: HashMap<String, TcpStream>,
    /// Bytes from each party that were received but not yet matched by a step.
    received: HashMap<String, Vec<u8>>,
    /// The configuration with placeholders for the listeners' addresses.
    config_template: String,
}

/// The configuration of an exchange: `config.json` with the replacement in the exchange's first line.
fn config_template(exchange: &str) -> String {
    let text = include_str!("exchanges/config.json").to_string();
    let first = exchange.lines().next().and_then(|l| l.strip_prefix("#= "));
    match first.and_then(|l| l.split_once(" => ")) {
        Some((from, to)) => {
            assert!(text.contains(from), "config.json has no '{from}'");
            text.replace(from, to)
        }
        None => text,
    }
}

/// Confirms the endpoint list of the configuration: answers the first poll without a change, and leaves later polls
/// unanswered.
fn confirm_list(discovery: TcpListener) {
    std::thread::spawn(move || {
        let mut held = Vec::new();
        for (number, mut stream) in discovery.incoming().flatten().enumerate() {
            if number == 0 {
                let list = r#"{"version":41,"full":false,"servers":[]}"#;
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}", list.len());
                let _ = stream.write_all(format!("{head}\r\n\r\n{list}").as_bytes());
            }
            held.push(stream);
        }
    });
}

impl Node {
    /// Starts a node for an exchange. If the exchange has no `@discovery` step, the endpoint list is confirmed for it.
    fn start(name: &str, exchange: &str, operator: Option<&str>) -> Node {
        let config_template = config_template(exchange);
        let listeners = ["replica", "discovery", "moved", "spare"]
            .map(|n| (n, TcpListener::bind("127.0.0.1:0").unwrap()));
        if !exchange.contains("@discovery") {
            confirm_list(listeners[1].1.try_clone().unwrap());
        }
        let dns = StubDnsServer::start("127.0.0.1:0".parse().unwrap(), Script::default()).unwrap();
        let addr = |n: usize| listeners[n].1.local_addr().unwrap().to_string();
        let config = config_template.replace("REPLICA", &addr(0));
        let path =
            std::env::temp_dir().join(format!("exchange-{name}-{}.json", std::process::id()));
        std::fs::write(&path, config.replace("DISCOVERY", &addr(1))).unwrap();
        let operator = operator.map(|text| {
            let path = path.with_extension("toml");
            std::fs::write(&path, text.replace("DNS", &dns.addr().to_string())).unwrap();
            path
        });
        let mut child = Command::new(env!("CARGO_BIN_EXE_poppykeel"))
            .args(["serve", "--config"])
            .arg(&path)
            .args(
                operator
                    .iter()
                    .flat_map(|o| ["--operator".as_ref(), o.as_os_str()]),
            )
            .env("GW_DISCOVERY", addr(1))
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap())
            .lines()
            .map_while(Result::ok);
        let line = log
            .find(|l| l.contains("serving on"))
            .expect("the node did not start to serve");
        let (log_sender, log_lines) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            log.for_each(|line| {
                println!("{line}");
                let _ = log_sender.send(line);
            })
        });
        let addr = line
            .split("serving on ")
            .nth(1)
            .and_then(|l| l.split(' ').next())
            .unwrap()
            .to_string();
        let (connections, received) = Default::default();
        Node {
            child,
            config: path,
            operator,
            dns,
            log_lines,
            addr,
            listeners: HashMap::from(listeners),
            connections,
            received,
            config_template,
        }
    }

    /// The connection of a party. On first use, it is accepted if the party is a listener, and opened to the node otherwise. A
    /// number after a listener's name distinguishes its connections.
    fn connection(&mut self, name: &str) -> TcpStream {
        let connect = || match self.listeners.get(name.trim_end_matches(char::is_numeric)) {
            Some(listener) => accept(listener),
            None => TcpStream::connect(&self.addr).unwrap(),
        };
        let stream = self
            .connections
            .entry(name.to_string())
            .or_insert_with(connect);
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        stream.try_clone().unwrap()
    }

    /// Reads until all received bytes match the pattern; panics if the connection ends or times out before.
    fn expect_bytes(&mut self, party: &str, pattern: &str) {
        let mut stream = self.connection(party);
        let mut received = self.received.remove(party).unwrap_or_default();
        loop {
            let text = String::from_utf8_lossy(&received).into_owned();
            if matches(pattern, &text) {
                return;
            }
            let mut buffer = [0; 65536];
            match stream.read(&mut buffer) {
                Ok(n @ 1..) => received.extend_from_slice(&buffer[..n]),
                end => panic!("{party}: {end:?}, received\n{text}\nexpected\n{pattern}"),
            }
        }
    }

    fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill")
            .args([signal, &id])
            .status()
            .unwrap()
            .success());
    }

    fn run_step(&mut self, step: &str, bytes: &str) {
        let (party, action) = step.split_once(' ').unwrap_or((step, ""));
        match action {
            "sends" => self.connection(party).write_all(bytes.as_bytes()).unwrap(),
            "gets" => self.expect_bytes(party, bytes),
            "closes" => self
                .connections
                .remove(party)
                .unwrap()
                .shutdown(Shutdown::Both)
                .unwrap(),
            "sees the end" => {
                let mut rest = Vec::new();
                let end = self.connection(party).read_to_end(&mut rest);
                let timed_out = end.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock);
                assert!(
                    !timed_out && rest.is_empty(),
                    "{party}: {}",
                    String::from_utf8_lossy(&rest)
                );
                self.connections.remove(party);
            }
            "is told to stop" => self.signal("-TERM"),
            "is suspended" => {
                self.signal("-STOP");
                std::thread::sleep(SUSPENSION);
                self.signal("-CONT");
            }
            "is given a bad file" => {
                std::fs::write(&self.config, "{}").unwrap();
                self.signal("-HUP");
            }
            "is moved" => {
                let addr = |name| self.listeners[name].local_addr().unwrap().to_string();
                let text = self.config_template.replace("REPLICA", &addr("replica"));
                std::fs::write(&self.config, text.replace("DISCOVERY", &addr("moved"))).unwrap();
                self.signal("-HUP");
            }
            "forgets its operators" => {
                std::fs::write(self.operator.as_ref().unwrap(), "").unwrap();
                self.signal("-HUP");
            }
            "is silent" => self
                .dns
                .set_script(Script::default().with_fault(FaultyReply::NoReply)),
            _ if action.starts_with("logs ") => {
                let matches_log = |line: &String| {
                    action["logs ".len()..]
                        .split("{*}")
                        .all(|part| line.contains(part))
                };
                while !matches_log(&self.log_lines.recv_timeout(TEST_TIMEOUT).expect(action)) {}
            }
            _ if action.starts_with("lists ") => {
                let named = action["lists ".len()..]
                    .split(' ')
                    .filter_map(|n| self.listeners.get(n));
                let addrs: Vec<_> = named.map(|l| l.local_addr().unwrap()).collect();
                self.dns
                    .set_script(Script::service("_llm._tcp.example.test", 0, &addrs));
            }
            "is not called" => {
                let listener = &self.listeners[party];
                listener.set_nonblocking(true).unwrap();
                assert!(listener.accept().is_err(), "the node connected to {party}");
            }
            "exits with 0" => assert!(self.child.wait().unwrap().success()),
            _ => panic!("unknown step '{step}'"),
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
        self.operator
            .iter()
            .for_each(|o| drop(std::fs::remove_file(o)));
    }
}

/// Accepts a connection; panics if there is none within [`TEST_TIMEOUT`].
fn accept(listener: &TcpListener) -> TcpStream {
    listener.set_nonblocking(true).unwrap();
    let start = Instant::now();
    while start.elapsed() < TEST_TIMEOUT {
        if let Ok((stream, _)) = listener.accept() {
            stream.set_nonblocking(false).unwrap();
            return stream;
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    panic!("the node did not connect");
}

/// Whether the whole text matches a pattern, in which `{*}` stands for any bytes.
fn matches(pattern: &str, text: &str) -> bool {
    let mut parts = pattern.split("{*}");
    let Some(mut rest) = text.strip_prefix(parts.next().unwrap_or_default()) else {
        return false;
    };
    let mut last = None;
    for part in parts {
        let Some(at) = rest.find(part) else {
            return false;
        };
        (rest, last) = (&rest[at + part.len()..], Some(part));
    }
    rest.is_empty() || last == Some("")
}

/// Runs one exchange file. A line `@PARTY ACTION` starts a step; a line that starts with `#` is a comment.
fn run_exchange(name: &str, text: &str, operator: Option<&str>) {
    let mut node = Node::start(name, text, operator);
    for step in text
        .strip_suffix('\n')
        .unwrap_or(text)
        .split("\n@")
        .map(|s| s.trim_start_matches('@'))
        .filter(|s| !s.starts_with('#'))
    {
        let (step, lines) = step.split_once('\n').unwrap_or((step, ""));
        let lines: Vec<&str> = lines.split('\n').filter(|l| !l.starts_with('#')).collect();
        let bytes = lines.iter().map(|l| {
            l.strip_suffix('\\')
                .map_or(format!("{l}\r\n"), String::from)
        });
        let replica = node.listeners["replica"].local_addr().unwrap().to_string();
        node.run_step(
            step.trim(),
            &bytes.collect::<String>().replace("REPLICA", &replica),
        );
    }
}

macro_rules! exchanges {
    ($($name:ident)*) => {$(
        #[test]
        fn $name() {
            run_exchange(stringify!($name), include_str!(concat!("exchanges/", stringify!($name), ".txt")), None);
        }
    )*};
}

macro_rules! exchanges_with_operator_file {
    ($($name:ident)*) => {$(
        #[test]
        fn $name() {
            let operator = include_str!(concat!("exchanges/", stringify!($name), ".toml"));
            run_exchange(stringify!($name), include_str!(concat!("exchanges/", stringify!($name), ".txt")), Some(operator));
        }
    )*};
}

exchanges! {
    served broken declined rejected gone chunked_request duplicate drained stopped pipelined reloaded spoilt at_fault
    pushed silent_agent gone_ahead garbage_behind begun_at_the_end
}
exchanges_with_operator_file! { srv srv_alone srv_moves srv_suspended }
