//! Recorded byte exchanges, played against the program on loopback sockets and compared. In a file, lines
//! after a step are bytes, each with CRLF at its end unless it ends in `\`; `{*}` stands for any bytes. Where a file
//! of the same name ends in `.toml`, it is the operators' file, with a stand-in name server at `DNS`. A file whose
//! first line is `#= FROM => TO` plays against `config.json` with that text replaced.

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

/// Only a hang runs into this.
/// Longer than a process may be held up.
const SUSPENSION: Duration = Duration::from_millis(400);
const PATIENCE: Duration = Duration::from_secs(10);

struct Node {
    child: Child,
    config: PathBuf,
    operator: Option<PathBuf>,
    dns: StubDnsServer,
    lines: Receiver<String>,
    addr: String,
    listeners: HashMap<&'static str, TcpListener>,
    open: HashMap<String, TcpStream>,
    read: HashMap<String, Vec<u8>>,
    /// The configuration as this file has it, with the listeners' addresses still to be put in.
    text: String,
}

/// The configuration of a file: `config.json`, with what its first line replaces.
fn configuration(exchange: &str) -> String {
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

/// Confirms the endpoint list of the start: answers the first poll without a change, and no other.
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
    /// Starts a node for an exchange. One without a step of `@discovery` is about something else than the list.
    fn start(name: &str, exchange: &str, operator: Option<&str>) -> Node {
        let text = configuration(exchange);
        let listeners = ["replica", "discovery", "moved", "spare"]
            .map(|n| (n, TcpListener::bind("127.0.0.1:0").unwrap()));
        if !exchange.contains("@discovery") {
            confirm_list(listeners[1].1.try_clone().unwrap());
        }
        let dns = StubDnsServer::start("127.0.0.1:0".parse().unwrap(), Script::default()).unwrap();
        let addr = |n: usize| listeners[n].1.local_addr().unwrap().to_string();
        let config = text.replace("REPLICA", &addr(0));
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
            .expect("the node serves");
        let (tell, lines) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            log.for_each(|line| {
                println!("{line}");
                let _ = tell.send(line);
            })
        });
        let addr = line
            .split("serving on ")
            .nth(1)
            .and_then(|l| l.split(' ').next())
            .unwrap()
            .to_string();
        let (open, read) = Default::default();
        Node {
            child,
            config: path,
            operator,
            dns,
            lines,
            addr,
            listeners: HashMap::from(listeners),
            open,
            read,
            text,
        }
    }

    fn party(&mut self, name: &str) -> TcpStream {
        let connect = || match self.listeners.get(name.trim_end_matches(char::is_numeric)) {
            Some(listener) => accept(listener),
            None => TcpStream::connect(&self.addr).unwrap(),
        };
        let stream = self.open.entry(name.to_string()).or_insert_with(connect);
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        stream.try_clone().unwrap()
    }

    /// Reads until what has come matches; at the end of the connection it matches or never will.
    fn get(&mut self, party: &str, pattern: &str) {
        let mut stream = self.party(party);
        let mut have = self.read.remove(party).unwrap_or_default();
        loop {
            let text = String::from_utf8_lossy(&have).into_owned();
            if matches(pattern, &text) {
                return;
            }
            let mut piece = [0; 65536];
            match stream.read(&mut piece) {
                Ok(n @ 1..) => have.extend_from_slice(&piece[..n]),
                end => panic!("{party}: {end:?} after\n{text}\nwhere was expected\n{pattern}"),
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

    fn play(&mut self, step: &str, bytes: &str) {
        let (party, what) = step.split_once(' ').unwrap_or((step, ""));
        match what {
            "sends" => self.party(party).write_all(bytes.as_bytes()).unwrap(),
            "gets" => self.get(party, bytes),
            "closes" => self
                .open
                .remove(party)
                .unwrap()
                .shutdown(Shutdown::Both)
                .unwrap(),
            "sees the end" => {
                let mut rest = Vec::new();
                let end = self.party(party).read_to_end(&mut rest);
                let timed_out = end.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock);
                assert!(
                    !timed_out && rest.is_empty(),
                    "{party}: {}",
                    String::from_utf8_lossy(&rest)
                );
                self.open.remove(party);
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
                let text = self.text.replace("REPLICA", &addr("replica"));
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
            _ if what.starts_with("logs ") => {
                let has = |line: &String| {
                    what["logs ".len()..]
                        .split("{*}")
                        .all(|part| line.contains(part))
                };
                while !has(&self.lines.recv_timeout(PATIENCE).expect(what)) {}
            }
            _ if what.starts_with("lists ") => {
                let named = what["lists ".len()..]
                    .split(' ')
                    .filter_map(|n| self.listeners.get(n));
                let addrs: Vec<_> = named.map(|l| l.local_addr().unwrap()).collect();
                self.dns
                    .set_script(Script::service("_llm._tcp.example.test", 0, &addrs));
            }
            "is not called" => {
                let listener = &self.listeners[party];
                listener.set_nonblocking(true).unwrap();
                assert!(listener.accept().is_err(), "{party} is called");
            }
            "exits with 0" => assert!(self.child.wait().unwrap().success()),
            _ => panic!("no step '{step}'"),
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

/// Waits no longer for a connection than for bytes.
fn accept(listener: &TcpListener) -> TcpStream {
    listener.set_nonblocking(true).unwrap();
    let start = Instant::now();
    while start.elapsed() < PATIENCE {
        if let Ok((stream, _)) = listener.accept() {
            stream.set_nonblocking(false).unwrap();
            return stream;
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    panic!("the node does not connect");
}

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

/// Plays one file. A line `@party does` begins a step; `#` begins a comment.
fn play(name: &str, text: &str, operator: Option<&str>) {
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
        node.play(
            step.trim(),
            &bytes.collect::<String>().replace("REPLICA", &replica),
        );
    }
}

macro_rules! exchanges {
    ($($name:ident)*) => {$(
        #[test]
        fn $name() {
            play(stringify!($name), include_str!(concat!("exchanges/", stringify!($name), ".txt")), None);
        }
    )*};
}

macro_rules! exchanges_with_operators {
    ($($name:ident)*) => {$(
        #[test]
        fn $name() {
            let operator = include_str!(concat!("exchanges/", stringify!($name), ".toml"));
            play(stringify!($name), include_str!(concat!("exchanges/", stringify!($name), ".txt")), Some(operator));
        }
    )*};
}

exchanges! {
    served broken declined rejected gone chunked_request duplicate drained stopped pipelined reloaded spoilt at_fault
    pushed silent_agent gone_ahead garbage_behind begun_at_the_end
}
exchanges_with_operators! { srv srv_alone srv_moves srv_suspended }
