//! The discovery service of a run. It reports drains, has the faults of the plan, and listens at two addresses.

use super::plan::{DiscoveryFault, Plan};
use super::records::{Drain, ListAnswer, RecordsRef, UnansweredPoll};
use super::support::http_head::read_head;
use serde_json::{json, Value};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

const UNAVAILABLE: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
/// Interval at which a waiting poll checks for a newer version.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Time after which an overloaded service answers a poll.
const OVERLOAD_DELAY: Duration = Duration::from_millis(900);
/// An overloaded service answers one in this many polls with the list, and the others with 503.
const OVERLOAD_ANSWER_INTERVAL: u64 = 3;
/// Time between two pieces of an answer.
const PIECE_GAP: Duration = Duration::from_millis(20);
const PIECES: usize = 4;

/// A discovery service on threads of its own.
pub struct Discovery {
    /// Its two addresses, which give the same answers.
    pub addrs: [SocketAddr; 2],
}

#[derive(Clone)]
struct Service {
    plan: Arc<Plan>,
    replicas: Arc<Vec<SocketAddr>>,
    records: RecordsRef,
}

impl Discovery {
    pub fn start(plan: Arc<Plan>, replicas: Vec<SocketAddr>, records: RecordsRef) -> Discovery {
        let service = Service {
            plan,
            replicas: Arc::new(replicas),
            records,
        };
        let listeners = [(), ()].map(|()| TcpListener::bind("127.0.0.1:0").unwrap());
        let addrs = [
            listeners[0].local_addr().unwrap(),
            listeners[1].local_addr().unwrap(),
        ];
        for listener in listeners {
            let service = service.clone();
            std::thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let service = service.clone();
                    std::thread::spawn(move || service.answer_polls(stream));
                }
            });
        }
        Discovery { addrs }
    }
}

/// The full list of `version` if `since` is 0, or the changes after version `since`.
pub fn list(replicas: &[SocketAddr], drains: &[Drain], since: u64, version: u64) -> Value {
    let mut servers = Vec::new();
    for (index, addr) in replicas.iter().enumerate() {
        let drain = drains
            .iter()
            .find(|drain| drain.replica == index && drain.version <= version);
        let is_changed = drain.is_some_and(|drain| drain.version > since);
        if since > 0 && !is_changed {
            continue;
        }
        let state = if drain.is_some() { "draining" } else { "up" };
        servers.push(json!({"id": format!("s-{index}"), "addr": addr.to_string(), "zone": "a", "kind": "k", "cell": 0,
            "state": state, "weight": 1.0, "started_ms": 0}));
    }
    json!({"version": version, "full": since == 0, "servers": servers})
}

impl Service {
    fn answer_polls(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut poll_number = 0;
        while let Some(head) = read_head(&mut stream) {
            poll_number += 1;
            if self.answer_poll(&mut stream, &head, poll_number).is_none() {
                return;
            }
        }
    }

    /// Answers one poll; returns `None` if the connection is to be closed.
    fn answer_poll(&self, stream: &mut TcpStream, head: &str, poll_number: u64) -> Option<()> {
        let since: u64 = query_value(head, "since")?;
        let wait = Duration::from_millis(query_value(head, "timeout_ms")?);
        let received_at = self.records.clock.now();
        if self.fault() == Some(DiscoveryFault::Overloaded) {
            std::thread::sleep(OVERLOAD_DELAY);
            if !(received_at.as_micros() as u64 + poll_number)
                .is_multiple_of(OVERLOAD_ANSWER_INTERVAL)
            {
                return stream.write_all(UNAVAILABLE.as_bytes()).ok();
            }
        }
        loop {
            let now = self.records.clock.now();
            let version = self.version();
            match self.fault() {
                Some(DiscoveryFault::Down) => {
                    // Waiting and new polls are answered with 503.
                    let _ = stream.write_all(UNAVAILABLE.as_bytes());
                    return None;
                }
                Some(DiscoveryFault::Unresponsive) => {
                    self.leave_unanswered(stream, received_at, wait);
                    return None;
                }
                _ if version > since || now >= received_at + wait => {
                    return self.write_list(stream, since, version);
                }
                _ => std::thread::sleep(CHECK_INTERVAL),
            }
        }
    }

    /// Leaves a poll unanswered until the node closes its connection.
    fn leave_unanswered(&self, stream: &mut TcpStream, began_at: Duration, wait: Duration) {
        let polls = &self.records.all.unanswered_polls;
        let index = {
            let mut polls = polls.lock().unwrap();
            polls.push(UnansweredPoll {
                began_at,
                wait,
                closed_at: None,
            });
            polls.len() - 1
        };
        while read_head(stream).is_some() {}
        polls.lock().unwrap()[index].closed_at = Some(self.records.clock.now());
    }

    fn fault(&self) -> Option<DiscoveryFault> {
        self.plan.fault_at(self.records.clock.now())
    }

    /// The version of the list; 1 before the first drain.
    fn version(&self) -> u64 {
        let drains = self.records.all.drains.lock().unwrap();
        drains.last().map_or(1, |drain| drain.version)
    }

    fn write_list(&self, stream: &mut TcpStream, since: u64, version: u64) -> Option<()> {
        let drains = self.records.all.drains.lock().unwrap().clone();
        let body = list(&self.replicas, &drains, since, version).to_string();
        let answer = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let bytes = answer.as_bytes();
        let fault = self.fault();
        let is_cut = matches!(
            fault,
            Some(DiscoveryFault::Truncated | DiscoveryFault::Stalled)
        );
        let index = self.record_answer(version);
        if is_cut {
            stream
                .write_all(&bytes[..bytes.len() - body.len() / 2])
                .ok()?;
            if fault == Some(DiscoveryFault::Stalled) {
                while read_head(stream).is_some() {}
            }
            return None;
        }
        if fault == Some(DiscoveryFault::Fragmented) {
            for piece in bytes.chunks(bytes.len() / PIECES + 1) {
                stream.write_all(piece).ok()?;
                std::thread::sleep(PIECE_GAP);
            }
        } else {
            stream.write_all(bytes).ok()?;
        }
        self.records.all.answers.lock().unwrap()[index].is_complete = true;
        Some(())
    }

    /// Records that an answer begins, and returns the index of its record.
    fn record_answer(&self, version: u64) -> usize {
        let mut answers = self.records.all.answers.lock().unwrap();
        answers.push(ListAnswer {
            version,
            written_at: self.records.clock.now(),
            is_complete: false,
        });
        answers.len() - 1
    }
}

/// A numeric query parameter of the request line; `None` if it is absent or not a number.
fn query_value(head: &str, key: &str) -> Option<u64> {
    let query = head.split(' ').nth(1)?.split_once('?')?.1;
    let value = query
        .split('&')
        .find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='))?;
    value.parse().ok()
}
