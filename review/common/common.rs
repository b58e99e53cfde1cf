//! Shared parts of the review's stand-ins: record file, processes of the project, discovery, model servers, clients.
//! Standard library only. All addresses are loopback addresses.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::{self, File, OpenOptions};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn listen(fd: i32, backlog: i32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// The record of one run: what was sent, answered and run, with seconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("record.txt");
        Record { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    pub fn at(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!("{:9.3} {}\n", self.at(), text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

pub fn wait(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds.max(0.0)));
}

/// Whether the disruption is to happen.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A free TCP and UDP port on loopback.
pub fn free_address() -> SocketAddr {
    loop {
        let tcp = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = tcp.local_addr().unwrap();
        if std::net::UdpSocket::bind(addr).is_ok() {
            return addr;
        }
    }
}

/// A private temporary folder; removed at the end of the run.
pub struct WorkFolder(pub PathBuf);

impl WorkFolder {
    pub fn create() -> WorkFolder {
        let path = PathBuf::from(std::env::var("WORK").expect("WORK names the temporary folder"));
        fs::create_dir_all(&path).unwrap();
        WorkFolder(path)
    }

    pub fn file(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }

    pub fn folder(&self, name: &str) -> PathBuf {
        let path = self.0.join(name);
        fs::create_dir_all(&path).unwrap();
        path
    }
}

/// A process of the project, started with the deploy file's command. Killed when dropped.
pub struct Node {
    child: Child,
    pub name: String,
}

impl Node {
    /// Starts a node with `run` of the deploy file. Its log goes to `NAME.log` in the work folder.
    pub fn start(work: &WorkFolder, name: &str, config: &Path, operator: Option<&Path>) -> Node {
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(work.file(&format!("{name}.log")))
            .unwrap();
        let root = std::env::var("ROOT").expect("ROOT names the repository");
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", "exec target/release/poppykeel serve"])
            .current_dir(root)
            .env("GW_CONFIG", config)
            .env("TMPDIR", work.folder(&format!("{name}.tmp")))
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log);
        if let Some(operator) = operator {
            command.env("POPPYKEEL_OPERATOR", operator);
        }
        let child = command.spawn().expect("the node starts");
        let mut pids = OpenOptions::new().create(true).append(true).open(work.file("pids")).unwrap();
        writeln!(pids, "{}", child.id()).unwrap();
        Node { child, name: name.into() }
    }

    pub fn signal(&self, signal: i32) {
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// How the process has ended; `None` while it runs.
    pub fn exit_status(&mut self) -> Option<String> {
        self.child.try_wait().unwrap().map(|status| status.to_string())
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Waits until `GET /healthz` answers 200.
pub fn wait_until_ready(addr: SocketAddr, seconds: f64) -> bool {
    let end = Instant::now() + Duration::from_secs_f64(seconds);
    while Instant::now() < end {
        if let Ok(mut stream) = TcpStream::connect(addr) {
            let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
            let _ = stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
            let mut head = [0; 12];
            if stream.read_exact(&mut head).is_ok() && &head == b"HTTP/1.1 200" {
                return true;
            }
        }
        wait(0.05);
    }
    false
}

/// An HTTP message that was read.
pub struct Message {
    pub start: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

/// Reads one request with `Content-Length`, or a request without a body.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut start = String::new();
    if reader.read_line(&mut start).ok()? == 0 {
        return None;
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_string());
    }
    let length = headers.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Message { start: start.trim_end().into(), headers, body })
}

/// Discovery: the whole list or a watch on changes, as the protocol page describes.
#[derive(Clone)]
pub struct Discovery {
    pub addr: SocketAddr,
    state: Arc<(Mutex<(u64, String)>, Condvar)>,
}

impl Discovery {
    /// `servers`: the entries of the list, as JSON, without the brackets.
    pub fn start(servers: &str) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let state = Arc::new((Mutex::new((41, servers.to_string())), Condvar::new()));
        let discovery = Discovery { addr, state };
        let serving = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        discovery
    }

    pub fn set(&self, servers: &str) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        *state = (state.0 + 1, servers.to_string());
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            let target = request.start.split(' ').nth(1).unwrap_or("").to_string();
            let number = |key: &str| -> Option<u64> {
                let (_, rest) = target.split_once(&format!("{key}="))?;
                rest.split('&').next()?.parse().ok()
            };
            let since = number("since").unwrap_or(0);
            let timeout = Duration::from_millis(number("timeout_ms").unwrap_or(0).min(60_000));
            let (state, changed) = &*self.state;
            let state = state.lock().unwrap();
            let (state, _) = changed.wait_timeout_while(state, timeout, |state| state.0 <= since).unwrap();
            let body = if state.0 > since {
                format!("{{\"version\":{},\"full\":true,\"servers\":[{}]}}", state.0, state.1)
            } else {
                format!("{{\"version\":{},\"full\":false,\"servers\":[]}}", state.0)
            };
            drop(state);
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// An entry of the list of model servers.
pub fn entry(id: &str, addr: SocketAddr, zone: &str) -> String {
    format!(
        "{{\"id\":\"{id}\",\"addr\":\"{addr}\",\"zone\":\"{zone}\",\"kind\":\"k\",\"cell\":0,\"state\":\"up\",\"weight\":1.0,\"started_ms\":0}}"
    )
}

/// Sets the length of a listener's accept queue.
pub fn set_backlog(listener: &TcpListener, backlog: i32) {
    use std::os::fd::AsRawFd;
    unsafe { listen(listener.as_raw_fd(), backlog) };
}

/// One chunk of a chunked body.
pub fn chunk(data: &str) -> String {
    format!("{:x}\r\n{data}\r\n", data.len())
}

/// The head of an event stream.
pub fn stream_head(closes: bool) -> String {
    let connection = if closes { "Connection: close\r\n" } else { "" };
    format!("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n{connection}\r\n")
}

pub const LAST_CHUNK: &str = "0\r\n\r\n";

/// What a client saw.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if no answer came.
    pub status: u16,
    /// The bytes after the head, as they came.
    pub body: String,
    /// Whether the last chunk came.
    pub is_whole: bool,
    pub end: String,
}

/// Sends one request on a new connection and reads the answer to its end, or until the time is up.
pub fn ask(node: SocketAddr, headers: &str, body: &str, limit: f64) -> Answer {
    let mut answer = Answer::default();
    let mut stream = match TcpStream::connect(node) {
        Ok(stream) => stream,
        Err(e) => {
            answer.end = format!("connect: {e}");
            return answer;
        }
    };
    let _ = stream.set_nodelay(true);
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    if let Err(e) = stream.write_all(request.as_bytes()) {
        answer.end = format!("write: {e}");
        return answer;
    }
    let end = Instant::now() + Duration::from_secs_f64(limit);
    let mut bytes = Vec::new();
    let mut piece = [0; 16384];
    loop {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            answer.end = "no end in time".into();
            break;
        }
        let _ = stream.set_read_timeout(Some(left));
        match stream.read(&mut piece) {
            Ok(0) => {
                answer.end = "closed".into();
                break;
            }
            Ok(length) => bytes.extend_from_slice(&piece[..length]),
            Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => continue,
            Err(e) => {
                answer.end = e.to_string();
                break;
            }
        }
        let text = String::from_utf8_lossy(&bytes);
        if let Some((head, rest)) = text.split_once("\r\n\r\n") {
            let lower = head.to_ascii_lowercase();
            let length = lower
                .split("\r\n")
                .find_map(|line| line.strip_prefix("content-length:"))
                .and_then(|length| length.trim().parse::<usize>().ok());
            let is_whole = match length {
                Some(length) => rest.len() >= length,
                None => rest.ends_with("\r\n0\r\n\r\n") || rest == LAST_CHUNK,
            };
            if is_whole {
                answer.is_whole = true;
                answer.end = "whole".into();
                break;
            }
        }
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    if let Some((head, rest)) = text.split_once("\r\n\r\n") {
        answer.status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
        answer.body = rest.to_string();
    }
    answer
}

/// Ends the run: notes the verdict and exits with its code.
pub fn finish(record: &Record, code: i32, verdict: &str) -> ! {
    record.note(format!("verdict: exit {code}: {verdict}"));
    println!("exit {code}: {verdict}");
    std::process::exit(code);
}
