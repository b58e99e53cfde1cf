//! One node and two model servers whose class is `keyed`: the two discard repeats of a request for `memorySpan`, together.
//! A request's first attempt is answered with 500 shortly before that time is over (it has run). The connection of the
//! second attempt comes up one second late. The servers record when they get each attempt.

#[path = "../common/common.rs"]
mod common;
use common::*;
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// `classes[].memorySpan` of the settings.
const MEMORY_SPAN: f64 = 2.0;
/// `limits.dialTimeout` of the settings.
const DIAL_TIMEOUT: f64 = 1.5;
/// Each time limit grows by this much on sockets.
const SLACK: f64 = 0.05;
/// When the first server answers with 500, after it got the request.
const FAILS_AFTER: f64 = 1.6;
const TRIALS: usize = 12;
/// Further requests before each trial, each on connections of its own that come up at once.
const OTHERS: usize = 3;

/// What the two servers know together: they discard repeats within `memorySpan`, as one group.
#[derive(Default)]
struct Group {
    /// When each request ran, by id.
    runs: HashMap<String, Vec<f64>>,
    /// The requests of the trials: the first attempt fails late.
    failing: HashMap<String, Option<usize>>,
}

struct Server {
    index: usize,
    addr: SocketAddr,
    listener: TcpListener,
    /// While false, connections stay in the accept queue.
    accepts: AtomicBool,
    /// Connections that fill the accept queue.
    fillers: Mutex<Vec<TcpStream>>,
}

impl Server {
    fn start(index: usize, group: Arc<Mutex<Group>>, record: Record) -> Arc<Server> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let server = Arc::new(Server {
            index,
            addr: listener.local_addr().unwrap(),
            listener,
            accepts: AtomicBool::new(true),
            fillers: Mutex::default(),
        });
        let accepting = server.clone();
        thread::spawn(move || loop {
            if accepting.accepts.load(Ordering::SeqCst) {
                if let Ok((stream, _)) = accepting.listener.accept() {
                    let _ = stream.set_nonblocking(false);
                    let (group, record, server) = (group.clone(), record.clone(), accepting.clone());
                    thread::spawn(move || server.serve(stream, group, record));
                    continue;
                }
            }
            wait(0.002);
        });
        server
    }

    /// From now on connections come up late: the accept queue is full, and the kernel of the other side tries again after 1 s.
    fn close_accept_queue(&self) {
        self.accepts.store(false, Ordering::SeqCst);
        wait(0.01);
        set_backlog(&self.listener, 0);
        let mut fillers = self.fillers.lock().unwrap();
        while let Ok(stream) = TcpStream::connect_timeout(&self.addr, Duration::from_millis(50)) {
            fillers.push(stream);
        }
    }

    fn open_accept_queue(&self) {
        set_backlog(&self.listener, 128);
        self.fillers.lock().unwrap().clear();
        self.accepts.store(true, Ordering::SeqCst);
    }

    /// Serves one request on a connection. A request runs unless it is a repeat within the group's memory.
    fn serve(&self, stream: TcpStream, group: Arc<Mutex<Group>>, record: Record) {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().unwrap();
        let Some(request) = read_request(&mut BufReader::new(stream)) else { return };
        let at = record.at();
        if !request.start.starts_with("POST") {
            let _ = writer.write_all(b"HTTP/1.1 404 Not Found\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        let id = request.headers.get("req-id").cloned().unwrap_or_default();
        let (fails, is_repeat) = {
            let mut group = group.lock().unwrap();
            let fails = match group.failing.get_mut(&id) {
                Some(first @ None) => {
                    *first = Some(self.index);
                    true
                }
                _ => false,
            };
            let runs = group.runs.entry(id.clone()).or_default();
            let is_repeat = runs.last().is_some_and(|last| at - last <= MEMORY_SPAN + SLACK);
            if !is_repeat {
                runs.push(at);
            }
            (fails, is_repeat)
        };
        record.note(format!(
            "server {} gets {id}: {}",
            self.index,
            if is_repeat { "a repeat, discarded" } else { "it runs" }
        ));
        if fails {
            wait(FAILS_AFTER);
            record.note(format!("server {} answers 500 to {id}", self.index));
            let _ = writer.write_all(b"HTTP/1.1 500 Internal Server Error\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        let events = [
            "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"oqvh\"},\"finish_reason\":\"stop\"}]}\n\n",
            "data: [DONE]\n\n",
        ];
        let body: String = events.iter().map(|event| chunk(event)).collect();
        let _ = writer.write_all(format!("{}{body}{LAST_CHUNK}", stream_head(true)).as_bytes());
    }
}

fn config(discovery: SocketAddr, listen: SocketAddr, servers: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"7",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"known":{{"version":41,"full":true,"servers":[{servers}]}},
"settings":{{"balancers":1,"me":0,"zone":0,"zones":["a"],"hostTypes":["k"],"tenants":[],
"classes":[{{"name":"answer","goalTime":4.0,"giveUp":6.0,"gain":1.0,"lateValue":0.5,"semantics":"keyed","dedupScope":"all",
 "memorySpan":{MEMORY_SPAN},"streaming":true}}],
"limits":{{"probes":false,"cancel":true,"secondCopies":false,"mostTries":5,"retryAfter":true,"maxRetryAfter":2.0,
 "dialTimeout":{DIAL_TIMEOUT},"keepalive":5.0}},
"report":{{"source":"inline","fields":["x0","x1"]}},
"rules":{{"drainGrace":0.75,"cold":10.0,"coldFrom":0.2,"overloadFactor":3.0,"fall":2.0,"askEvery":10.0}},
"costs":{{}},"membershipMode":"pushed"}}}}"#
    )
}

fn headers(id: &str) -> String {
    format!("Req-Id: {id}\r\nReq-Kind: answer\r\nReq-Deadline: 6.000\r\nReq-Extra: prompt_len=40,max_out=20\r\n")
}

const BODY: &str = "{\"model\":\"chat\",\"stream\":true,\"max_tokens\":20,\"messages\":[{\"role\":\"user\",\"content\":\"...\"}]}";

fn run(record: &Record) -> (i32, String) {
    let work = WorkFolder::create();
    let group = Arc::new(Mutex::new(Group::default()));
    let servers: Vec<_> = (0..2).map(|index| Server::start(index, group.clone(), record.clone())).collect();
    let list = format!("{},{}", entry("s-1", servers[0].addr, "a"), entry("s-2", servers[1].addr, "a"));
    let discovery = Discovery::start(&list);
    let listen = free_address();
    let config_file = work.file("n0.json");
    std::fs::write(&config_file, config(discovery.addr, listen, &list)).unwrap();
    let mut node = Node::start(&work, "n0", &config_file, None);
    if !wait_until_ready(listen, 20.0) {
        return (2, "the node did not become ready".into());
    }
    let mut retried = 0;
    for trial in 0..TRIALS {
        for other in 0..OTHERS {
            let id = format!("{:016x}", 0x0100_0000 + (trial * OTHERS + other) as u64);
            let answer = ask(listen, &headers(&id), BODY, 7.0);
            record.note(format!("client {id}: status {}, {}", answer.status, answer.end));
        }
        let id = format!("{:016x}", 0x0200_0000 + trial as u64);
        group.lock().unwrap().failing.insert(id.clone(), None);
        record.note(format!("client sends {id}"));
        let client = {
            let (id, record) = (id.clone(), record.clone());
            thread::spawn(move || {
                let answer = ask(listen, &headers(&id), BODY, 7.0);
                record.note(format!("client {id}: status {}, {}", answer.status, answer.end));
            })
        };
        let mut first = None;
        for _ in 0..100 {
            first = *group.lock().unwrap().failing.get(&id).unwrap();
            if first.is_some() {
                break;
            }
            wait(0.01);
        }
        let Some(first) = first else {
            let _ = client.join();
            continue;
        };
        if has_trouble() {
            let other = &servers[1 - first];
            other.close_accept_queue();
            record.note(format!("connections to server {} come up late from now on", other.index));
            wait(FAILS_AFTER + 0.3);
            other.open_accept_queue();
            record.note(format!("server {} accepts connections", other.index));
        }
        let _ = client.join();
        let group = group.lock().unwrap();
        retried += usize::from(group.runs[&id].len() > 1);
    }
    if let Some(status) = node.exit_status() {
        return (2, format!("the node ended: {status}"));
    }
    let group = group.lock().unwrap();
    let mut twice: Vec<_> = group.runs.iter().filter(|(_, runs)| runs.len() > 1).collect();
    twice.sort_by_key(|(id, _)| id.to_string());
    match twice.first() {
        None => (0, format!("no request ran twice; {} requests", group.runs.len())),
        Some((id, runs)) => (
            1,
            format!(
                "{retried} of {TRIALS} requests ran twice: {id} at {:.3} s and at {:.3} s, {:.3} s later, memorySpan {MEMORY_SPAN} s",
                runs[0], runs[1], runs[1] - runs[0]
            ),
        ),
    }
}

fn main() {
    let record = Record::create(Path::new(&std::env::args().nth(1).expect("the record's path")));
    let (mut code, mut verdict) = run(&record);
    // A port that was free may be taken before the node listens there: once more, with other ports.
    if code == 2 {
        record.note(format!("could not run: {verdict}; once more"));
        (code, verdict) = run(&record);
    }
    finish(&record, code, &verdict);
}
