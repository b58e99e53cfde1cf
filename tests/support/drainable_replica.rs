//! A replica that a test can drain, and a discovery service that answers polls by a script. Both run on threads of
//! their own until the test process ends.

use super::http_head::{header, read_head};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

const STREAM: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n\
                      17\r\ndata: 1\n\ndata: [DONE]\n\n\r\n0\r\n\r\n";
const PROBE_RESPONSE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
const UNAVAILABLE: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
const DECLINED: &str =
    "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";

/// A replica that answers probes and requests with 200, or with 503 once it drains.
pub struct DrainableReplica {
    /// Where it listens.
    pub addr: SocketAddr,
    state: Arc<ReplicaState>,
}

#[derive(Default)]
struct ReplicaState {
    is_draining: AtomicBool,
    /// Ids of the requests that have reached the replica, whether it served or declined them.
    requests: Mutex<Vec<String>>,
}

impl DrainableReplica {
    /// Starts a replica that does not drain.
    pub fn start() -> DrainableReplica {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let state = Arc::new(ReplicaState::default());
        let listener_state = state.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = listener_state.clone();
                std::thread::spawn(move || serve(stream, &state));
            }
        });
        DrainableReplica { addr, state }
    }

    /// Makes the replica answer all further probes and requests with 503.
    pub fn drain(&self) {
        self.state.is_draining.store(true, Ordering::SeqCst);
    }

    /// Ids of the requests that have reached the replica so far.
    pub fn requests(&self) -> Vec<String> {
        self.state.requests.lock().unwrap().clone()
    }
}

fn serve(mut stream: TcpStream, state: &ReplicaState) {
    while let Some(head) = read_head(&mut stream) {
        let is_draining = state.is_draining.load(Ordering::SeqCst);
        let answer = if head.starts_with("GET ") {
            [PROBE_RESPONSE, UNAVAILABLE][usize::from(is_draining)]
        } else {
            let id = header(&head, "Req-Id").unwrap_or_default();
            state.requests.lock().unwrap().push(id);
            [STREAM, DECLINED][usize::from(is_draining)]
        };
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// How a [`ScriptedDiscovery`] handles one poll.
#[derive(Clone)]
pub enum PollAnswer {
    /// Answers with this list.
    List(String),
    /// Answers with the first half of this list and keeps the connection open.
    Half(String),
    /// Answers with the first half of this list and closes the connection.
    Cut(String),
    /// Answers with 503.
    Refused,
    /// Does not answer, and keeps the connection open.
    Silent,
    /// Closes the connection.
    Closed,
    /// Waits until the test calls [`ScriptedDiscovery::release`], then answers with this list.
    Held(String),
    /// Like [`PollAnswer::Held`], but with the first half of this list only.
    HeldHalf(String),
}

/// A discovery service that answers each poll with the next entry of a script. Polls after the last entry get no answer.
pub struct ScriptedDiscovery {
    /// Where it listens.
    pub addr: SocketAddr,
    state: Arc<DiscoveryState>,
}

struct DiscoveryState {
    /// The entries for further polls; the last one is for the next poll.
    script: Mutex<Vec<PollAnswer>>,
    /// Heads of the polls received so far.
    polls: Mutex<Vec<String>>,
    is_released: AtomicBool,
}

impl ScriptedDiscovery {
    /// Starts a service with this script.
    pub fn start(script: &[PollAnswer]) -> ScriptedDiscovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let state = Arc::new(DiscoveryState {
            script: Mutex::new(script.iter().rev().cloned().collect()),
            polls: Mutex::default(),
            is_released: AtomicBool::new(false),
        });
        let listener_state = state.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = listener_state.clone();
                std::thread::spawn(move || answer_polls(stream, &state));
            }
        });
        ScriptedDiscovery { addr, state }
    }

    /// Answers all waiting and further polls whose entry is [`PollAnswer::Held`] or [`PollAnswer::HeldHalf`].
    pub fn release(&self) {
        self.state.is_released.store(true, Ordering::SeqCst);
    }

    /// Number of polls received so far.
    pub fn poll_count(&self) -> usize {
        self.state.polls.lock().unwrap().len()
    }
}

fn answer_polls(mut stream: TcpStream, state: &DiscoveryState) {
    // The connection of an unanswered poll stays open until the node closes it.
    while let Some(head) = read_head(&mut stream) {
        state.polls.lock().unwrap().push(head);
        let answer = state.script.lock().unwrap().pop();
        let bytes = match answer {
            None | Some(PollAnswer::Silent) => continue,
            Some(PollAnswer::Closed) => return,
            Some(PollAnswer::Refused) => UNAVAILABLE.to_string(),
            Some(PollAnswer::List(list)) => format_list_answer(&list),
            Some(PollAnswer::Half(list)) => format_half_answer(&list),
            Some(PollAnswer::Cut(list)) => {
                // The connection is closed even if the write fails.
                let _ = stream.write_all(format_half_answer(&list).as_bytes());
                return;
            }
            Some(PollAnswer::Held(list)) => {
                wait_for_release(state);
                format_list_answer(&list)
            }
            Some(PollAnswer::HeldHalf(list)) => {
                wait_for_release(state);
                format_half_answer(&list)
            }
        };
        if stream.write_all(bytes.as_bytes()).is_err() {
            return;
        }
    }
}

fn wait_for_release(state: &DiscoveryState) {
    super::wait_until("the release of a poll", || {
        state.is_released.load(Ordering::SeqCst)
    });
}

fn format_half_answer(list: &str) -> String {
    let answer = format_list_answer(list);
    answer[..answer.len() - list.len() / 2].to_string()
}

fn format_list_answer(list: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}",
        list.len()
    )
}
