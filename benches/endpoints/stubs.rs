//! Stub services: a replica that records the time of its latest request, and a discovery service with a configurable list.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long a poll waits for a newer version of the endpoint list; the service then answers with the list it has.
const LONG_POLL_LIMIT: Duration = Duration::from_secs(15);

/// Serves each connection on a thread of its own until the process ends.
fn serve(
    listener: TcpListener,
    serve_connection: impl Fn(TcpStream) -> std::io::Result<()> + Clone + Send + 'static,
) {
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let serve_connection = serve_connection.clone();
            thread::spawn(move || {
                // An error, for example because the node has ended, ends only this connection.
                let _ = serve_connection(stream);
            });
        }
    });
}

/// A replica that answers each request with a stream of one event.
pub struct Replica {
    /// The address at which it listens.
    pub addr: SocketAddr,
    last_request_at: Arc<Mutex<Option<Instant>>>,
}

impl Replica {
    /// Starts a replica on a free port.
    pub fn start() -> Replica {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let last_request_at = Arc::new(Mutex::new(None));
        let shared = last_request_at.clone();
        serve(listener, move |stream| answer_requests(stream, &shared));
        Replica {
            addr,
            last_request_at,
        }
    }

    /// When the latest request arrived; `None` if there was none.
    pub fn last_request_at(&self) -> Option<Instant> {
        *self.last_request_at.lock().unwrap()
    }
}

fn answer_requests(
    stream: TcpStream,
    last_request_at: &Mutex<Option<Instant>>,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    let mut line = String::new();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Ok(());
        }
        if line == "\r\n" {
            *last_request_at.lock().unwrap() = Some(Instant::now());
            let response = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
                            Transfer-Encoding: chunked\r\n\r\n17\r\ndata: 1\n\ndata: [DONE]\n\n\r\n0\r\n\r\n";
            writer.write_all(response.as_bytes())?;
        }
    }
}

/// An endpoint list and its version.
struct EndpointList {
    version: u64,
    /// The endpoints as a JSON array.
    endpoints: String,
}

/// A discovery service with long polls. Clones share the list.
#[derive(Clone)]
pub struct Discovery {
    list: Arc<Mutex<EndpointList>>,
    list_changed: Arc<Condvar>,
}

impl Discovery {
    /// Starts a service with an empty list on a free port.
    pub fn start() -> (Discovery, SocketAddr) {
        let discovery = Discovery {
            list: Arc::new(Mutex::new(EndpointList {
                version: 1,
                endpoints: "[]".to_string(),
            })),
            list_changed: Arc::default(),
        };
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let shared = discovery.clone();
        serve(listener, move |stream| shared.answer_polls(stream));
        (discovery, addr)
    }

    fn answer_polls(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut writer = stream;
        let mut known_version = 0;
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            if let Some(query) = line.split("since=").nth(1) {
                known_version = query
                    .split('&')
                    .next()
                    .and_then(|version| version.parse().ok())
                    .unwrap_or(0);
            }
            if line == "\r\n" {
                let body = self.wait_for_newer_list(known_version);
                write!(
                    writer,
                    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                )?;
            }
        }
    }

    fn wait_for_newer_list(&self, known_version: u64) -> String {
        let list = self.list.lock().unwrap();
        let (list, _) = self
            .list_changed
            .wait_timeout_while(list, LONG_POLL_LIMIT, |list| list.version <= known_version)
            .unwrap();
        let is_full = known_version == 0;
        format!(
            r#"{{"version":{},"full":{is_full},"servers":{}}}"#,
            list.version, list.endpoints
        )
    }

    /// Sets the endpoints of the following answers, as a new version of the list, and wakes waiting polls.
    pub fn set_endpoints(&self, endpoints: &[String]) {
        let mut list = self.list.lock().unwrap();
        list.version += 1;
        list.endpoints = format!("[{}]", endpoints.join(","));
        self.list_changed.notify_all();
    }
}

/// An entry of the endpoint list, as JSON.
pub fn listed_endpoint(number: usize, addr: SocketAddr, state: &str) -> String {
    format!(
        r#"{{"id":"s-{number}","addr":"{addr}","zone":"a","kind":"k","cell":0,"state":"{state}","weight":1.0,"started_ms":0}}"#
    )
}
