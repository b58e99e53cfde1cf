//! Stub model server: serves the emulator's server model over HTTP/1.1 in real time.
//!
//! One task advances the model and passes generated tokens to the connections that stream them ([`answers`]). The
//! listener and each connection have their own tasks, which are aborted when the simulated process is stopped. Clones
//! share all state but the recorder of arrivals.

mod answers;

use super::error::SocketsError;
use crate::emulator::model_server::{
    AttemptKey, GeneratedTokens, ModelServer, RequestCounts, ServerOutput, ServerProfile,
};
use crate::sockets::restart_ports::listen_on_restart_port;
use crate::Micros;
use answers::AnswerSender;
use poppykeel_scheduler::RequestId;
use serde_json::json;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::Instant;

/// The maximum number of arrivals in a record; further ones are not recorded.
const MAX_ARRIVALS: usize = 4_000_000;
/// The maximum number of attempts to listen at the old address after a restart.
const MAX_RESTART_TRIES: usize = 200;
/// The time between these attempts.
const RESTART_INTERVAL: Duration = Duration::from_millis(10);
/// The pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);

struct ServerState {
    model: ModelServer,
    started_at: Instant,
    answers: HashMap<AttemptKey, AnswerSender>,
    last_request: u64,
    is_failing: bool,
    /// The tasks of the listener and of all connections; empty while the simulated process is stopped.
    tasks: Vec<AbortHandle>,
}

/// A request recorded by a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// The time of arrival, in microseconds since the beginning of the record.
    pub at: Micros,
    /// The index of the server.
    pub server: usize,
    /// The id of the request; `None` for a query of the server's load.
    pub id: Option<String>,
}

/// The arrivals recorded by all servers, in the order of arrival.
pub type ArrivalRecord = Rc<RefCell<Vec<Arrival>>>;

/// Records the arrivals at one server.
#[derive(Clone)]
struct ArrivalRecorder {
    since: Instant,
    record: ArrivalRecord,
    server: usize,
}

impl ArrivalRecorder {
    fn record_arrival(&self, id: Option<String>) {
        let mut record = self.record.borrow_mut();
        if record.len() < MAX_ARRIVALS {
            record.push(Arrival {
                at: self.since.elapsed().as_micros() as Micros,
                server: self.server,
                id,
            });
        }
    }
}

/// A handle to a server process simulated in real time over HTTP.
#[derive(Clone)]
pub struct StubModelServer {
    address: SocketAddr,
    state: Rc<RefCell<ServerState>>,
    /// Wakes the task that advances the model when the end of the next step has changed.
    changed: Rc<Notify>,
    recorder: Option<ArrivalRecorder>,
}

impl StubModelServer {
    /// Starts a warm server on a free port. Its tasks run until the enclosing `LocalSet` is dropped.
    pub async fn start(profile: ServerProfile) -> Result<StubModelServer, SocketsError> {
        let listener = listen_on_restart_port()
            .await
            .map_err(SocketsError::ModelServer)?;
        let address = listener.local_addr().map_err(SocketsError::ModelServer)?;
        let state = ServerState {
            model: ModelServer::new(profile),
            started_at: Instant::now(),
            answers: HashMap::new(),
            last_request: 0,
            is_failing: false,
            tasks: Vec::new(),
        };
        let server = StubModelServer {
            address,
            state: Rc::new(RefCell::new(state)),
            changed: Rc::new(Notify::new()),
            recorder: None,
        };
        server.listen(listener);
        spawn_local(server.clone().run_model());
        Ok(server)
    }

    /// The address at which the server listens, which a restart does not change.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Records arrivals from the next restart on. Several servers may share a record.
    pub fn set_arrival_record(&mut self, since: Instant, record: &ArrivalRecord, server: usize) {
        self.recorder = Some(ArrivalRecorder {
            since,
            record: record.clone(),
            server,
        });
    }

    /// Stops the simulated process: the server no longer listens, and requests in flight are lost.
    pub fn stop(&self) {
        let mut state = self.state.borrow_mut();
        for task in state.tasks.drain(..) {
            task.abort();
        }
        state.model.crash();
        state.answers.clear();
    }

    /// Restarts the server at its address, with an empty cache and at the reduced speed of a cold start.
    ///
    /// # Errors
    ///
    /// [`SocketsError::AddressTaken`] if the address is not free in time.
    pub async fn restart(&self) -> Result<(), SocketsError> {
        for _ in 0..MAX_RESTART_TRIES {
            if let Ok(listener) = TcpListener::bind(self.address).await {
                let now = self.now();
                self.state.borrow_mut().model.start(now);
                self.listen(listener);
                return Ok(());
            }
            tokio::time::sleep(RESTART_INTERVAL).await;
        }
        Err(SocketsError::AddressTaken {
            address: self.address,
        })
    }

    /// Sets whether the server responds to every request with an error.
    pub fn set_failing(&self, is_failing: bool) {
        self.state.borrow_mut().is_failing = is_failing;
    }

    /// Sets the factor by which the steps of the model take longer.
    pub fn set_slowdown(&self, factor: f64) {
        let now = self.now();
        self.state.borrow_mut().model.set_slowdown(now, factor);
        self.changed.notify_one();
    }

    /// Suspends the model for `duration`.
    pub fn stall(&self, duration: Duration) {
        let now = self.now();
        let until = now + duration.as_micros() as Micros;
        self.state.borrow_mut().model.stall(now, until);
        self.changed.notify_one();
    }

    /// The numbers of running and queued requests.
    pub fn request_counts(&self) -> RequestCounts {
        self.state.borrow().model.request_counts()
    }

    /// The time of the model, in microseconds since the start of the server.
    fn now(&self) -> Micros {
        self.state.borrow().started_at.elapsed().as_micros() as Micros
    }

    /// The load report, as JSON.
    fn load_report(&self) -> String {
        let load = self.state.borrow().model.reported_load();
        json!({"x0": load.memory_utilization, "x1": load.queued_prompt_tokens}).to_string()
    }

    fn listen(&self, listener: TcpListener) {
        let task = spawn_local(self.clone().accept_connections(listener));
        self.state.borrow_mut().tasks.push(task.abort_handle());
    }

    async fn accept_connections(self, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let server = self.clone();
            let task = spawn_local(async move { server.serve(stream).await });
            let tasks = &mut self.state.borrow_mut().tasks;
            tasks.retain(|task| !task.is_finished());
            tasks.push(task.abort_handle());
        }
    }

    /// Advances the model in real time, and sends the generated tokens.
    async fn run_model(self) {
        loop {
            let step_end = self.next_step_end();
            match step_end {
                // Both branches are cancel-safe: `Notify` stores a notification that arrives before the wait, and the
                // end of the step is read again in the next iteration.
                Some(step_end) => tokio::select! {
                    () = tokio::time::sleep_until(step_end) => {}
                    () = self.changed.notified() => {}
                },
                None => self.changed.notified().await,
            }
            self.send_new_tokens();
        }
    }

    fn next_step_end(&self) -> Option<Instant> {
        let state = self.state.borrow();
        let step_end = state.model.step_end()?;
        Some(state.started_at + Duration::from_micros(step_end))
    }

    /// Advances the model to the present time, and passes new tokens to the connections of their answers. An answer
    /// whose channel is closed or full is cancelled.
    fn send_new_tokens(&self) {
        let now = self.now();
        let state = &mut *self.state.borrow_mut();
        let mut outputs = Vec::new();
        state.model.catch_up(now, &mut outputs);
        // The gaps are discarded: on sockets, clients measure them.
        state.model.take_token_gaps().for_each(drop);
        let mut undeliverable = Vec::new();
        for GeneratedTokens { key, tokens } in state.model.answers_in_progress() {
            if let Some(answer) = state.answers.get_mut(&key) {
                if !answer.send_tokens_up_to(tokens) {
                    undeliverable.push(key);
                }
            }
        }
        for output in outputs {
            if let ServerOutput::Completed { key, cached_tokens } = output {
                if let Some(answer) = state.answers.remove(&key) {
                    answer.complete(cached_tokens);
                }
            }
        }
        for key in undeliverable {
            state.answers.remove(&key);
            state.model.cancel(now, key);
        }
    }

    /// The key of a new request, which has only one attempt at this server.
    fn next_key(state: &mut ServerState) -> AttemptKey {
        state.last_request += 1;
        AttemptKey {
            request: RequestId(state.last_request),
            attempt: 0,
        }
    }

    /// Cancels a request whose client has disconnected.
    fn cancel(&self, key: AttemptKey) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        state.answers.remove(&key);
        state.model.cancel(now, key);
        drop(state);
        self.changed.notify_one();
    }
}
