//! A node with stand-in model servers, and clients that ask it: for tests and measurements alike.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]
#![expect(
    clippy::min_ident_chars,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

use poppykeel_stub_model_server::{ClientObservation, ClientOutcome};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A node as a process of its own.
pub struct Node {
    /// The process.
    pub child: Child,
    /// Where it serves.
    pub addr: SocketAddr,
    /// What it has logged so far, in JSON.
    pub log: Arc<Mutex<Vec<String>>>,
    /// Its configuration and the operators' file.
    pub files: [PathBuf; 2],
}

impl Node {
    /// Starts one with these model servers on its list, the operators' text and one class of this effect.
    pub fn start(name: &str, servers: &[SocketAddr], operator: &str, semantics: &str) -> Node {
        Node::with_list(name, servers, operator, semantics, "127.0.0.1:1")
    }

    /// The same with discovery at this address.
    pub fn with_list(
        name: &str,
        servers: &[SocketAddr],
        operator: &str,
        semantics: &str,
        discovery: &str,
    ) -> Node {
        Node::process(name, servers, [operator, semantics, discovery], None)
    }

    #[allow(dead_code)] // each file of tests uses a part
    /// One whose process may hold so many descriptors.
    pub fn with_sockets(
        name: &str,
        servers: &[SocketAddr],
        discovery: &str,
        sockets: usize,
    ) -> Node {
        let change =
            |config: String| config.replace("\"sockets\":1024", &format!("\"sockets\":{sockets}"));
        Node::spawned(
            "n0",
            name,
            servers,
            ["", "safe", discovery],
            None,
            change,
            Vec::new(),
        )
    }

    #[allow(dead_code)] // each file of tests uses a part
    /// One with the process environment set before its start.
    pub fn with_environment(
        name: &str,
        servers: &[SocketAddr],
        semantics: &str,
        environment: Vec<(String, PathBuf)>,
    ) -> Node {
        let texts = ["", semantics, "127.0.0.1:1"];
        Node::spawned(
            "n0",
            name,
            servers,
            texts,
            None,
            |config| config,
            environment,
        )
    }

    #[allow(dead_code)] // for fleets of nodes alone
    /// One of this name in its configuration; `test` keeps its files apart from those of other tests.
    pub fn named(me: &str, test: &str, servers: &[SocketAddr], operator: &str) -> Node {
        Node::process_of(
            me,
            &format!("{test}-{me}"),
            servers,
            [operator, "safe", "127.0.0.1:1"],
            None,
        )
    }

    /// The same with the operators' text, the effect and discovery's address, and where it listens.
    pub fn process(
        name: &str,
        servers: &[SocketAddr],
        texts: [&str; 3],
        listen: Option<SocketAddr>,
    ) -> Node {
        Node::process_of("n0", name, servers, texts, listen)
    }

    fn process_of(
        me: &str,
        name: &str,
        servers: &[SocketAddr],
        texts: [&str; 3],
        listen: Option<SocketAddr>,
    ) -> Node {
        Node::spawned(
            me,
            name,
            servers,
            texts,
            listen,
            |config| config,
            Vec::new(),
        )
    }

    /// The same with the configuration changed before the start, and with the process environment.
    fn spawned(
        me: &str,
        name: &str,
        servers: &[SocketAddr],
        texts: [&str; 3],
        listen: Option<SocketAddr>,
        change: impl FnOnce(String) -> String,
        environment: Vec<(String, PathBuf)>,
    ) -> Node {
        let [operator, semantics, discovery] = texts;
        let entry = |(n, addr): (usize, &SocketAddr)| {
            format!(
                r#"{{"id":"s-{n}","addr":"{addr}","zone":"a","kind":"k","cell":0,"state":"up","weight":1.0,"started_ms":0}}"#
            )
        };
        let list = servers
            .iter()
            .enumerate()
            .map(entry)
            .collect::<Vec<_>>()
            .join(",");
        let config = include_str!("../exchanges/config.json").replace("DISCOVERY", discovery);
        let config = config.replace("\"n0\"", &format!("\"{me}\""));
        let (from, to) = (config.find("{\"id\"").unwrap(), config.find("]},").unwrap());
        let config = config
            .replace(&config[from..to], &list)
            .replace("\"safe\"", &format!("\"{semantics}\""));
        let config = change(config);
        let file = |kind: &str, text: &str| {
            let path =
                std::env::temp_dir().join(format!("streams-{name}-{}.{kind}", std::process::id()));
            std::fs::write(&path, text).unwrap();
            path
        };
        let files = [file("json", &config), file("toml", operator)];
        let mut child = Command::new(env!("CARGO_BIN_EXE_poppykeel"))
            .args(["serve", "--config"])
            .arg(&files[0])
            .arg("--operator")
            .arg(&files[1])
            .args(["--log-format", "json"])
            .env("GW_ADMIN", "127.0.0.1:0")
            .envs(environment)
            .args(
                listen
                    .iter()
                    .flat_map(|at| ["--listen".to_string(), at.to_string()]),
            )
            .env_remove("GW_DISCOVERY")
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut lines = BufReader::new(child.stderr.take().unwrap())
            .lines()
            .map_while(Result::ok);
        let line = lines
            .find(|l| l.contains("serving on"))
            .expect("the node serves");
        let log = Arc::new(Mutex::new(Vec::new()));
        let own = log.clone();
        std::thread::spawn(move || lines.for_each(|line| own.lock().unwrap().push(line)));
        let addr = line
            .split("serving on ")
            .nth(1)
            .and_then(|l| l.split('"').next())
            .unwrap();
        Node {
            child,
            addr: addr.parse().unwrap(),
            log,
            files,
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::thread::panicking() {
            self.log
                .lock()
                .unwrap()
                .iter()
                .for_each(|line| println!("{line}"));
        }
        self.files
            .iter()
            .for_each(|f| drop(std::fs::remove_file(f)));
    }
}

/// Only a hang runs into this.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// Waits until something holds.
pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < PATIENCE, "{what} never came");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[allow(dead_code)] // each file of tests uses a part
impl Node {
    /// Sends the process a signal, as `kill` names it.
    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill")
            .args([signal, &id])
            .status()
            .unwrap()
            .success());
    }

    /// Waits until a line of the log has this text.
    pub fn until_logged(&self, text: &str) {
        until(text, || {
            self.log
                .lock()
                .unwrap()
                .iter()
                .any(|line| line.contains(text))
        });
    }

    /// A connection to it.
    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.addr).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        stream
    }
}

#[allow(dead_code)] // each file of tests uses a part
/// The text of a request whose client waits for so many seconds; `more` is further lines of its head.
pub fn request_within(id: &str, more: &str, body: &str, deadline: f64) -> String {
    let length = body.len();
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nReq-Id: {id}\r\nReq-Kind: chat\r\nReq-Deadline: {deadline}\r\n{more}\
         Content-Length: {length}\r\n\r\n{body}"
    )
}

#[allow(dead_code)] // each file of tests uses a part
/// Reads what is there. A read with a time limit is not taken up again by the system after a signal.
pub fn read_some(stream: &mut TcpStream, piece: &mut [u8]) -> std::io::Result<usize> {
    loop {
        match stream.read(piece) {
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            done => return done,
        }
    }
}

#[allow(dead_code)] // each file of tests uses a part
/// Takes the request of the next connection, and keeps the connection.
pub fn taken(replica: &TcpListener) -> TcpStream {
    replica.set_nonblocking(true).unwrap();
    let mut stream = None;
    until("a connection", || {
        stream = replica.accept().ok();
        stream.is_some()
    });
    let mut stream = stream.unwrap().0;
    stream.set_nonblocking(false).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    let (mut text, mut byte) = (Vec::new(), [0]);
    while !text.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).unwrap();
        text.push(byte[0]);
    }
    stream
}

static IDS: AtomicU64 = AtomicU64::new(1);

/// Sends one request and returns its connection.
pub fn ask(node: &Node, prompt: &str, tokens: usize) -> (String, TcpStream) {
    ask_within(node, prompt, tokens, 10.0)
}

/// The same with so many seconds for the first token.
pub fn ask_within(node: &Node, prompt: &str, tokens: usize, deadline: f64) -> (String, TcpStream) {
    let id = format!("{:016x}", IDS.fetch_add(1, Ordering::Relaxed));
    let mut stream = TcpStream::connect(node.addr).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    let body = serde_json::json!({
        "model": "chat", "stream": true, "max_tokens": tokens, "stream_options": {"include_usage": true},
        "messages": [{"role": "user", "content": prompt}],
    })
    .to_string();
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nReq-Id: {id}\r\nReq-Kind: chat\r\nReq-Deadline: {deadline}\r\n\
         Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).unwrap();
    (id, stream)
}

/// Reads an answer to its end, and takes the chunk framing off.
pub fn read(id: String, prompt: &str, tokens: usize, stream: &mut TcpStream) -> ClientObservation {
    let mut bytes = Vec::new();
    let end = stream.read_to_end(&mut bytes);
    let (prompt, usage) = (prompt.to_string(), true);
    let seen = |outcome, body| ClientObservation {
        id,
        prompt,
        expected_token_count: tokens,
        wants_usage: usage,
        outcome,
        body,
    };
    let Some(head) = bytes.windows(4).position(|w| w == b"\r\n\r\n") else {
        return seen(ClientOutcome::NoResponse, Vec::new());
    };
    let status = String::from_utf8_lossy(&bytes[9..12]).parse().unwrap_or(0);
    if status != 200 {
        return seen(ClientOutcome::Rejected(status), Vec::new());
    }
    let (mut rest, mut body, mut last) = (&bytes[head + 4..], Vec::new(), false);
    while let Some(line) = rest.windows(2).position(|w| w == b"\r\n") {
        let size = usize::from_str_radix(&String::from_utf8_lossy(&rest[..line]), 16).unwrap();
        if size == 0 {
            last = true;
            break;
        }
        let Some(chunk) = rest.get(line + 2..line + 2 + size) else {
            break;
        };
        body.extend_from_slice(chunk);
        rest = rest.get(line + 4 + size..).unwrap_or_default();
    }
    let told = String::from_utf8_lossy(&body).contains("data: {\"error\"");
    let outcome = match (last, told, end.is_ok()) {
        (true, ..) => ClientOutcome::Completed,
        (_, true, true) => ClientOutcome::FailedWithError,
        (_, _, true) => ClientOutcome::Truncated,
        _ => ClientOutcome::NoResponse,
    };
    seen(outcome, body)
}

/// Asks so many times from a few threads; prompts are made from the number.
pub fn run(
    node: &Node,
    threads: usize,
    count: usize,
    tokens: usize,
    prompt: impl Fn(usize) -> String + Sync,
) -> Vec<ClientObservation> {
    let next = AtomicU64::new(0);
    std::thread::scope(|scope| {
        let work = || {
            let mut seen = Vec::new();
            loop {
                let n = next.fetch_add(1, Ordering::Relaxed) as usize;
                if n >= count {
                    return seen;
                }
                let prompt = prompt(n);
                let (id, mut stream) = ask(node, &prompt, tokens);
                seen.push(read(id, &prompt, tokens, &mut stream));
            }
        };
        let threads: Vec<_> = (0..threads).map(|_| scope.spawn(work)).collect();
        threads
            .into_iter()
            .flat_map(|t| t.join().unwrap())
            .collect()
    })
}
