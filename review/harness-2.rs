//! What the cases of this review share: processes, ports, a record, a small HTTP client, JSON, and stand-ins for discovery,
//! model servers and the collector of the fleet's report. Only the standard library is used.
//!
//! A case is a program `case.rs` in its folder; `build-2.sh` compiles it together with this file, `run.sh` starts it. Every
//! address is a loopback address with a port that was free when the case began. The project's program is started with the
//! line `run` of `deploy/balancer.toml`.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

/// The rule held.
pub const HELD: i32 = 0;
/// The rule was broken.
pub const BROKEN: i32 = 1;
/// The case could not run.
pub const COULD_NOT_RUN: i32 = 2;
/// A case that takes longer than this is ended and counts as one that could not run.
const TIME_LIMIT: Duration = Duration::from_secs(112);

pub fn secs(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

pub fn sleep(seconds: f64) {
    thread::sleep(secs(seconds));
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

// ---------------------------------------------------------------------------------------------------------------- the case

struct CaseState {
    root: PathBuf,
    temp: PathBuf,
    record: Mutex<File>,
    started: Instant,
    children: Mutex<Vec<(String, Child)>>,
    ports: Mutex<Vec<u16>>,
}

static CASE: OnceLock<CaseState> = OnceLock::new();

fn case() -> &'static CaseState {
    CASE.get().expect("the case has begun")
}

/// Begins a case: `case ROOT FOLDER`. Opens the record and starts the watch over the time limit.
pub fn begin() {
    let mut arguments = std::env::args().skip(1);
    let (Some(root), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: case ROOT FOLDER");
        std::process::exit(COULD_NOT_RUN);
    };
    let temp = std::env::temp_dir().join(format!("review-case-{}", std::process::id()));
    let record = fs::create_dir_all(&temp).and_then(|()| File::create(PathBuf::from(folder).join("record.txt")));
    let Ok(record) = record else {
        eprintln!("the record or the temporary folder cannot be made");
        std::process::exit(COULD_NOT_RUN);
    };
    let state = CaseState {
        root: root.into(),
        temp,
        record: Mutex::new(record),
        started: Instant::now(),
        children: Mutex::default(),
        ports: Mutex::default(),
    };
    let _ = CASE.set(state);
    std::panic::set_hook(Box::new(|panic| {
        end(COULD_NOT_RUN, &format!("the case itself failed: {panic}"));
    }));
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        end(COULD_NOT_RUN, "the time limit of the case is over");
    });
    note(&format!("trouble {}", if trouble() { "on" } else { "off (TROUBLE=0)" }));
}

/// Whether the disruption is part of this run.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Seconds since the case began.
pub fn now() -> f64 {
    case().started.elapsed().as_secs_f64()
}

/// Writes a line to the record and to standard output.
pub fn note(text: &str) {
    let line = format!("{:9.3} {text}", now());
    println!("{line}");
    let mut record = lock(&case().record);
    let _ = writeln!(record, "{line}");
}

/// Ends the case with this exit code: kills what it started and removes its temporary folder.
pub fn end(code: i32, verdict: &str) -> ! {
    let word = match code {
        HELD => "HELD",
        BROKEN => "BROKEN",
        _ => "COULD NOT RUN",
    };
    note(&format!("{word}: {verdict}"));
    for (_, child) in lock(&case().children).iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    if std::env::var("KEEP_TEMP").is_err() {
        let _ = fs::remove_dir_all(&case().temp);
    }
    std::process::exit(code);
}

/// The temporary folder of the case.
pub fn temp() -> PathBuf {
    case().temp.clone()
}

/// The ports that are tried: below those that the system gives to outgoing connections, so that no connection takes a port
/// between its choice here and the start of the process that listens there.
const FIRST_PORT: u64 = 20_000;
const PORT_COUNT: u64 = 12_000;

/// An address whose port is free for TCP and for UDP.
pub fn free_address() -> SocketAddr {
    let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).map_or(0, |since| since.as_nanos() as u64);
    let mut drawn = since_epoch ^ (u64::from(std::process::id()) << 32);
    for _ in 0..1000 {
        drawn = drawn.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let port = (FIRST_PORT + (drawn >> 33) % PORT_COUNT) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let mut taken = lock(&case().ports);
        if !taken.contains(&port) && TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            taken.push(port);
            return address;
        }
    }
    end(COULD_NOT_RUN, "no free port");
}

/// Waits until the condition holds; returns whether it did in time.
pub fn wait_until(limit: f64, mut condition: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + secs(limit);
    loop {
        if condition() {
            return true;
        }
        if Instant::now() >= deadline {
            return false;
        }
        thread::sleep(Duration::from_millis(20));
    }
}

// --------------------------------------------------------------------------------------------------------------- processes

extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

/// The command of `run` in the deploy file.
fn run_command() -> String {
    let path = case().root.join("deploy/balancer.toml");
    let text = fs::read_to_string(path).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("run = \""));
    let command = line.and_then(|rest| rest.split('"').next());
    match command {
        Some(command) => command.to_string(),
        None => end(COULD_NOT_RUN, "deploy/balancer.toml has no line `run`"),
    }
}

/// Starts a node by the deploy file's command, with these environment variables. Its log goes to a file of the temporary
/// folder. Returns the process id.
pub fn start_node(name: &str, environment: &[(&str, String)]) -> u32 {
    let log = File::options().create(true).append(true).open(temp().join(format!("{name}.log")));
    let Ok(log) = log else {
        end(COULD_NOT_RUN, "a log file cannot be made");
    };
    let mut command = Command::new("/bin/sh");
    command.arg("-c").arg(run_command()).current_dir(&case().root);
    for variable in ["GW_CONFIG", "GW_NAME", "GW_LISTEN", "GW_DISCOVERY", "GW_ADMIN", "POPPYKEEL_OPERATOR"] {
        command.env_remove(variable);
    }
    let scratch = temp().join(format!("tmp-{name}"));
    let _ = fs::create_dir_all(&scratch);
    command.env("TMPDIR", &scratch);
    for (variable, value) in environment {
        command.env(variable, value);
    }
    command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
    let child = start_child(name, command);
    let id = child.id();
    keep_child(name, child);
    note(&format!("started node {name}, process {id}"));
    id
}

/// Starts a process that does not outlive the case, however that ends.
pub fn start_child(name: &str, mut command: Command) -> Child {
    let set_death_signal = || {
        // SAFETY: prctl(PR_SET_PDEATHSIG, SIGKILL) takes plain numbers and changes only the calling process.
        unsafe { prctl(1, 9u64, 0u64, 0u64, 0u64) };
        Ok(())
    };
    // SAFETY: the closure makes one system call and neither allocates nor takes locks.
    unsafe { command.pre_exec(set_death_signal) };
    match command.spawn() {
        Ok(child) => child,
        Err(error) => end(COULD_NOT_RUN, &format!("{name} did not start: {error}")),
    }
}

/// Hands a process over to the case, which kills it at its end.
pub fn keep_child(name: &str, child: Child) {
    lock(&case().children).push((name.to_string(), child));
}

/// Sends a signal to a process that this case started.
pub fn signal(process: u32, signal: &str) {
    let sent = Command::new("/bin/sh").arg("-c").arg(format!("kill -{signal} {process}")).status();
    note(&format!("signal {signal} to process {process}"));
    if !sent.is_ok_and(|status| status.success()) {
        note("the signal could not be sent");
    }
}

/// Waits for a process to end; returns its exit code, or `None` if it was killed by a signal or has not ended in time.
pub fn wait_for_exit(process: u32, limit: f64) -> Option<i32> {
    let deadline = Instant::now() + secs(limit);
    while Instant::now() < deadline {
        if let Some(code) = exit_status(process) {
            note(&format!("process {process} ended: {code:?}"));
            return code;
        }
        thread::sleep(Duration::from_millis(20));
    }
    None
}

/// `None` while a process runs; otherwise its exit code, if it has one.
pub fn exit_status(process: u32) -> Option<Option<i32>> {
    let mut children = lock(&case().children);
    let (_, child) = children.iter_mut().find(|(_, child)| child.id() == process)?;
    child.try_wait().ok().flatten().map(|status| status.code())
}

// -------------------------------------------------------------------------------------------------------------------- HTTP

/// The answer to a call.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub body: String,
}

/// Makes a call on a connection of its own: `GET /path` or `POST /path`.
pub fn call(address: SocketAddr, request: &str, limit: f64) -> Option<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, secs(limit)).ok()?;
    stream.set_read_timeout(Some(secs(limit))).ok()?;
    let text = format!("{request} HTTP/1.1\r\nHost: node\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    stream.write_all(text.as_bytes()).ok()?;
    let mut bytes = Vec::new();
    // A read that times out or is reset ends the answer; what has arrived is parsed.
    let _ = stream.read_to_end(&mut bytes);
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some(Answer { status, body: body.to_string() })
}

/// A message as a stand-in server reads it.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start_line: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(&name.to_ascii_lowercase()).map_or("", String::as_str)
    }

    pub fn path(&self) -> &str {
        self.start_line.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads one message with a body of known length; `None` at the end of the connection. `pending` keeps what belongs to the
/// next message.
pub fn read_message(stream: &mut TcpStream, pending: &mut Vec<u8>) -> Option<Message> {
    let mut buffer = [0; 8192];
    loop {
        if let Some(end) = pending.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&pending[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let mut message = Message { start_line: lines.next()?.to_string(), ..Message::default() };
            for line in lines {
                if let Some((name, value)) = line.split_once(':') {
                    message.headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
                }
            }
            let length: usize = message.header("content-length").parse().unwrap_or(0);
            let total = end + 4 + length;
            while pending.len() < total {
                let read = stream.read(&mut buffer).ok().filter(|read| *read > 0)?;
                pending.extend_from_slice(&buffer[..read]);
            }
            message.body = pending[end + 4..total].to_vec();
            pending.drain(..total);
            return Some(message);
        }
        let read = stream.read(&mut buffer).ok().filter(|read| *read > 0)?;
        pending.extend_from_slice(&buffer[..read]);
    }
}

/// Listens at an address and serves each connection on a thread of its own.
pub fn serve(address: SocketAddr, handler: impl Fn(TcpStream) + Send + Sync + 'static) {
    let listener = match TcpListener::bind(address) {
        Ok(listener) => listener,
        Err(error) => end(COULD_NOT_RUN, &format!("a stand-in cannot listen: {error}")),
    };
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let handler = handler.clone();
            thread::spawn(move || handler(stream));
        }
    });
}

// -------------------------------------------------------------------------------------------------------------------- JSON

/// A value of JSON.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut parser = JsonParser { bytes: text.as_bytes(), at: 0 };
        parser.value()
    }

    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Object(object) => object.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn number(&self) -> Option<f64> {
        match self {
            Json::Number(number) => Some(*number),
            _ => None,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

struct JsonParser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl JsonParser<'_> {
    fn skip_space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        self.skip_space();
        (self.bytes.get(self.at) == Some(&byte)).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.bytes[self.at..].starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_space();
        match self.bytes.get(self.at)? {
            b'{' => self.object(),
            b'[' => self.array(),
            b'"' => self.string().map(Json::Text),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => self.digits(),
        }
    }

    fn digits(&mut self) -> Option<Json> {
        let start = self.at;
        while self.bytes.get(self.at).is_some_and(|byte| b"+-.eE0123456789".contains(byte)) {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
        text.parse().ok().map(Json::Number)
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'u' => {
                            let digits = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?).ok()?;
                            let code = u32::from_str_radix(digits, 16).ok()?;
                            self.at += 4;
                            let character = char::from_u32(code).unwrap_or('?');
                            bytes.extend_from_slice(character.to_string().as_bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                other => bytes.push(other),
            }
        }
    }

    fn array(&mut self) -> Option<Json> {
        self.take(b'[')?;
        let mut list = Vec::new();
        if self.take(b']').is_some() {
            return Some(Json::List(list));
        }
        loop {
            list.push(self.value()?);
            if self.take(b',').is_none() {
                self.take(b']')?;
                return Some(Json::List(list));
            }
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.take(b'{')?;
        let mut object = BTreeMap::new();
        if self.take(b'}').is_some() {
            return Some(Json::Object(object));
        }
        loop {
            self.skip_space();
            let key = self.string()?;
            self.take(b':')?;
            object.insert(key, self.value()?);
            if self.take(b',').is_none() {
                self.take(b'}')?;
                return Some(Json::Object(object));
            }
        }
    }
}

// --------------------------------------------------------------------------------------------------------------- discovery

/// A model server on the list of discovery.
#[derive(Clone, Debug)]
pub struct Entry {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub state: String,
    pub started_ms: u64,
    /// The version of the list that changed the entry last.
    pub version: u64,
}

impl Entry {
    pub fn up(id: &str, address: SocketAddr) -> Entry {
        Entry { id: id.into(), address, zone: "a".into(), state: "up".into(), started_ms: 0, version: 1 }
    }

    fn json(&self) -> String {
        format!(
            r#"{{"id":"{}","addr":"{}","zone":"{}","kind":"k","cell":0,"state":"{}","weight":1.0,"started_ms":{}}}"#,
            self.id, self.address, self.zone, self.state, self.started_ms
        )
    }
}

#[derive(Default)]
struct DiscoveryState {
    version: u64,
    entries: Vec<Entry>,
    /// While this is set, connections are closed and new ones get no answer.
    is_down: bool,
}

/// A stand-in for discovery: lists and watches as the protocol page describes them.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<DiscoveryState>, Condvar)>,
}

impl Discovery {
    pub fn start(entries: Vec<Entry>) -> Discovery {
        let state = DiscoveryState { version: 1, entries, is_down: false };
        let discovery = Discovery {
            address: free_address(),
            state: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let serving = discovery.clone();
        serve(discovery.address, move |mut stream| {
            let mut pending = Vec::new();
            while let Some(call) = read_message(&mut stream, &mut pending) {
                let Some(body) = serving.answer(call.path()) else {
                    return;
                };
                let head = format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n", body.len());
                if stream.write_all(format!("{head}{body}").as_bytes()).is_err() {
                    return;
                }
            }
        });
        discovery
    }

    /// The whole list as it is now.
    pub fn list(&self) -> String {
        let state = lock(&self.state.0);
        list_json(state.version, true, &state.entries)
    }

    /// Changes the state of an entry and wakes the watches.
    pub fn set_state(&self, id: &str, new_state: &str) {
        let mut state = lock(&self.state.0);
        state.version += 1;
        let version = state.version;
        for entry in state.entries.iter_mut().filter(|entry| entry.id == id) {
            entry.state = new_state.into();
            entry.version = version;
        }
        note(&format!("discovery lists {id} as {new_state} (version {version})"));
        self.state.1.notify_all();
    }

    /// Discovery is down: watches end, and calls end without an answer.
    pub fn go_down(&self) {
        lock(&self.state.0).is_down = true;
        self.state.1.notify_all();
        note("discovery is down");
    }

    pub fn come_back(&self) {
        lock(&self.state.0).is_down = false;
        note("discovery is back");
    }

    /// The answer to a call; `None` if discovery is down.
    fn answer(&self, path: &str) -> Option<String> {
        let query = path.split_once('?').map_or("", |(_, query)| query);
        let value = |key: &str| -> Option<u64> {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(name, _)| *name == key)?.1.parse().ok()
        };
        let mut state = lock(&self.state.0);
        let Some(since) = value("since").filter(|since| *since > 0) else {
            return (!state.is_down).then(|| list_json(state.version, true, &state.entries));
        };
        let deadline = Instant::now() + Duration::from_millis(value("timeout_ms").unwrap_or(0).min(60_000));
        while state.version <= since && Instant::now() < deadline && !state.is_down {
            let left = deadline - Instant::now();
            state = self.state.1.wait_timeout(state, left).map_or_else(|poisoned| poisoned.into_inner().0, |woken| woken.0);
        }
        if state.is_down {
            return None;
        }
        if since > state.version {
            return Some(list_json(state.version, true, &state.entries));
        }
        let changed: Vec<Entry> = state.entries.iter().filter(|entry| entry.version > since).cloned().collect();
        Some(list_json(state.version, false, &changed))
    }
}

fn list_json(version: u64, full: bool, entries: &[Entry]) -> String {
    let shown = entries.iter().filter(|entry| !full || entry.state != "removed");
    let servers: Vec<String> = shown.map(Entry::json).collect();
    format!(r#"{{"version":{version},"full":{full},"servers":[{}]}}"#, servers.join(","))
}

// ---------------------------------------------------------------------------------------------------------- a model server

/// Starts a model server that answers every completion with a short whole stream, and probes with 200.
pub fn start_model_server() -> SocketAddr {
    let address = free_address();
    serve(address, |mut stream| {
        let mut pending = Vec::new();
        while let Some(request) = read_message(&mut stream, &mut pending) {
            let answer = if request.start_line.starts_with("POST") {
                let mut body = String::new();
                for event in [
                    r#"{"choices":[{"index":0,"delta":{"content":"ok"},"finish_reason":"stop"}]}"#,
                    r#"{"choices":[],"usage":{"prompt_tokens":4,"completion_tokens":1,"prompt_tokens_details":{"cached_tokens":0}}}"#,
                    "[DONE]",
                ] {
                    let event = format!("data: {event}\n\n");
                    body.push_str(&format!("{:x}\r\n{event}\r\n", event.len()));
                }
                format!("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n{body}0\r\n\r\n")
            } else {
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}".to_string()
            };
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    });
    address
}

// ------------------------------------------------------------------------------------------------------------- the fleet

/// The settings of a small deployment: one zone, one class whose requests may be repeated.
pub const SETTINGS: &str = r#"{"balancers":BALANCERS,"me":ME,"zone":0,"zones":["a"],"hostTypes":["k"],"tenants":[],
"classes":[{"name":"chat","goalTime":2.0,"giveUp":10.0,"gain":1.0,"lateValue":0.0,"semantics":"safe","streaming":true}],
"limits":{"probes":true,"cancel":true,"secondCopies":true,"mostTries":6,"retryAfter":true,"maxRetryAfter":2.0,
 "dialTimeout":0.5,"keepalive":10.0},
"report":{"source":"off","fields":[]},
"rules":{"drainGrace":0.75,"cold":23.0,"coldFrom":0.15,"overloadFactor":4.0,"fall":1.0,"askEvery":10.0},
"costs":{},"membershipMode":"on_request"}"#;

/// A node of a fleet: its addresses and files.
#[derive(Clone, Debug)]
pub struct FleetNode {
    pub name: String,
    pub listen: SocketAddr,
    pub admin: SocketAddr,
    /// The address for messages of other nodes.
    pub peer: SocketAddr,
}

impl FleetNode {
    pub fn new(name: &str) -> FleetNode {
        FleetNode { name: name.into(), listen: free_address(), admin: free_address(), peer: free_address() }
    }

    fn path(&self, kind: &str) -> PathBuf {
        temp().join(format!("{}.{kind}", self.name))
    }

    /// Writes the node's configuration.
    pub fn write_config(&self, position: usize, balancers: usize, discovery: &Discovery) {
        self.write_config_with(position, balancers, discovery, SETTINGS);
    }

    /// Writes the node's configuration with these settings, in which BALANCERS and ME are replaced.
    pub fn write_config_with(&self, position: usize, balancers: usize, discovery: &Discovery, settings: &str) {
        let settings = settings.replace("BALANCERS", &balancers.to_string()).replace("ME", &position.to_string());
        let config = format!(
            r#"{{"name":"{}","listen":"{}","admin":"{}","discovery":"{}","seed":"{}","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{},"settings":{settings}}}"#,
            self.name, self.listen, self.admin, discovery.address, position + 7, discovery.list()
        );
        write_file(self.path("json"), &config);
    }

    /// Writes the operators' file; `keepers` are the lease servers, `more` further lines.
    pub fn write_operator(&self, keepers: &[&FleetNode], number: u32, seeds: &[&FleetNode], settings: &str, more: &str) {
        let list = |nodes: &[&FleetNode]| -> String {
            let entries: Vec<String> = nodes.iter().map(|node| format!("{} = \"{}\"", node.name, node.peer)).collect();
            entries.join(", ")
        };
        let folder = temp().join(format!("{}-disk", self.name));
        let text = format!(
            "[handover]\nfolder = \"\"\n\n[fleet]\nname = \"despacho\"\nlisten = \"{}\"\nseeds = {{ {} }}\nkeepers = {{ {} }}\nkeepers_number = {number}\nfolder = \"{}\"\n{settings}\n{more}",
            self.peer, list(seeds), list(keepers), folder.display()
        );
        write_file(self.path("toml"), &text);
    }

    /// Starts the node's process.
    pub fn start(&self) -> u32 {
        start_node(&self.name, &[
            ("GW_CONFIG", self.path("json").display().to_string()),
            ("POPPYKEEL_OPERATOR", self.path("toml").display().to_string()),
        ])
    }

    /// Starts the node's process without an operators' file.
    pub fn start_alone(&self) -> u32 {
        start_node(&self.name, &[("GW_CONFIG", self.path("json").display().to_string())])
    }

    /// Whether the node says that it is ready at the clients' address; `None` if it does not answer.
    pub fn health(&self) -> Option<u16> {
        call(self.listen, "GET /healthz", 1.0).map(|answer| answer.status)
    }

    /// The fleet as this node shows it (`GET /api/fleet`).
    pub fn fleet(&self) -> Json {
        let answer = call(self.admin, "GET /api/fleet", 1.0);
        answer.and_then(|answer| Json::parse(&answer.body)).unwrap_or(Json::Null)
    }

    /// The epoch under which this node may act for a task, by its own answer.
    pub fn held_epoch(&self, task: &str) -> Option<u64> {
        let fleet = self.fleet();
        let claim = fleet.get("claims").list().iter().find(|claim| claim.get("task").text() == task)?.clone();
        claim.get("held_epoch").number().map(|epoch| epoch as u64)
    }

    pub fn member_count(&self) -> usize {
        self.fleet().get("members").list().len()
    }

    /// The state of the lease server of this node.
    pub fn keeper_standing(&self) -> String {
        self.fleet().get("keeper").get("standing").text().to_string()
    }
}

/// A node's answer: it may act for a task under this epoch.
pub struct Holding {
    pub at: f64,
    pub node: String,
    pub epoch: u64,
}

/// Asks all nodes in turn, for so many seconds, whether they may act for a task.
pub fn sample_holders(nodes: &[FleetNode], task: &str, seconds: f64) -> Vec<Holding> {
    let mut samples = Vec::new();
    let deadline = now() + seconds;
    while now() < deadline {
        for node in nodes {
            let asked_at = now();
            if let Some(epoch) = node.held_epoch(task) {
                // The node's own moment lies between its question and its answer.
                let at = asked_at + (now() - asked_at) / 2.0;
                note(&format!("{} may act for `{task}` under epoch {epoch}", node.name));
                samples.push(Holding { at, node: node.name.clone(), epoch });
            }
        }
        sleep(0.2);
    }
    samples
}

/// Two nodes held at one moment if one held an epoch before and after the other one held: a holding has one epoch of its own
/// and does not begin again.
pub fn find_overlap(samples: &[Holding]) -> Option<String> {
    for other in samples {
        let of_another = |sample: &&Holding| sample.node != other.node;
        for before in samples.iter().filter(of_another).filter(|before| before.at < other.at) {
            let again = |after: &&Holding| after.node == before.node && after.epoch == before.epoch && after.at > other.at;
            if let Some(after) = samples.iter().find(again) {
                return Some(format!(
                    "{} could act under epoch {} at {:.3} and at {:.3}, and {} under epoch {} at {:.3}",
                    before.node, before.epoch, before.at, after.at, other.node, other.epoch, other.at
                ));
            }
        }
    }
    None
}

/// Writes to the record what each node says of the lease servers and of a task.
pub fn note_lease_servers(nodes: &[FleetNode], task: &str) {
    for node in nodes {
        let fleet = node.fleet();
        let number = fleet.get("keepers_number").number().map_or("none".to_string(), |number| number.to_string());
        note(&format!("{}: keepers_number {number}, its keeper is \"{}\", it may act for `{task}` under epoch {:?}",
            node.name, fleet.get("keeper").get("standing").text(), node.held_epoch(task)));
    }
}

/// Writes to the record the last lines of a node's log that hold this text, and their number.
pub fn note_log_lines(node: &FleetNode, text: &str) {
    let log = fs::read_to_string(node.path("log")).unwrap_or_default();
    let lines: Vec<&str> = log.lines().filter(|line| line.contains(text)).collect();
    note(&format!("{} lines of the log of {} hold \"{text}\"", lines.len(), node.name));
    for line in lines.iter().rev().take(3).rev() {
        note(&format!("log: {line}"));
    }
}

pub fn write_file(path: PathBuf, text: &str) {
    if let Err(error) = fs::write(&path, text) {
        end(COULD_NOT_RUN, &format!("{} cannot be written: {error}", path.display()));
    }
}

/// Waits until every node answers `/healthz` with 200.
pub fn wait_until_ready(nodes: &[&FleetNode]) {
    for node in nodes {
        if !wait_until(15.0, || node.health() == Some(200)) {
            end(COULD_NOT_RUN, &format!("node {} is not ready in time", node.name));
        }
    }
}

// ----------------------------------------------------------------------------------------------------------- the collector

/// A report as the collector received it.
#[derive(Clone, Debug)]
pub struct Report {
    pub at: f64,
    pub node: String,
    pub epoch: u64,
    pub slot: u64,
    pub accepted: bool,
}

/// Starts a collector of the fleet's report. It refuses an epoch below the highest that it has received, and a second
/// report of an interval.
pub fn start_collector() -> (SocketAddr, Arc<Mutex<Vec<Report>>>) {
    let address = free_address();
    let reports: Arc<Mutex<Vec<Report>>> = Arc::default();
    let shared = reports.clone();
    serve(address, move |mut stream| {
        let mut pending = Vec::new();
        while let Some(request) = read_message(&mut stream, &mut pending) {
            let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
            let number = |key: &str| body.get(key).number().unwrap_or(0.0) as u64;
            let epoch = request.header("fleet-epoch").parse().unwrap_or(0);
            let slot = number("slot");
            let accepted = {
                let mut reports = lock(&shared);
                let is_old = reports.iter().any(|report| report.accepted && report.epoch > epoch);
                let is_repeat = reports.iter().any(|report| report.accepted && report.slot == slot);
                let report = Report { at: now(), node: body.get("node").text().into(), epoch, slot, accepted: !is_old && !is_repeat };
                note(&format!("collector: report of {} under epoch {epoch}, slot {slot}: {}", report.node,
                    if report.accepted { "accepted" } else if is_old { "refused, lower epoch" } else { "refused, second of its interval" }));
                let accepted = report.accepted;
                reports.push(report);
                accepted
            };
            let status = if accepted { "200 OK" } else { "409 Conflict" };
            let answer = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
            let _ = stream.write_all(answer.as_bytes());
            return;
        }
    });
    (address, reports)
}

pub fn reports(list: &Arc<Mutex<Vec<Report>>>) -> Vec<Report> {
    lock(list).clone()
}

/// A flag that threads share.
#[derive(Clone, Default)]
pub struct Flag(Arc<AtomicBool>);

impl Flag {
    pub fn set(&self) {
        self.0.store(true, Ordering::SeqCst);
    }

    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}
