//! Stub servers on loopback sockets. All servers of a [`StubServers`] run on one thread, which ends when it is dropped.

mod connection;
mod request_head;
mod state;

use crate::script::ReplyScript;
use connection::serve_connection;
use state::{lock, SharedState, State};
use std::io::Error;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::oneshot;

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Record of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct ServedRequest {
    /// Index of the server.
    pub server: usize,
    /// The value of the request's `req-id` header; empty if there is none.
    pub id: String,
    /// The prompt, without the partial answer that the request continued.
    pub prompt: String,
    /// Number of tokens in the partial answer that the request continued.
    pub tokens_before: usize,
    /// Number of tokens of the planned response if the connection is not cut.
    pub planned_token_count: usize,
    /// Number of body bytes written.
    pub written_bytes: usize,
    /// Whether all steps of the plan were executed, including a planned cut.
    pub is_complete: bool,
}

/// Running stub servers. Dropping this value stops them.
pub struct StubServers {
    addrs: Vec<SocketAddr>,
    state: SharedState,
    /// Stops the servers' thread when dropped.
    _stop: oneshot::Sender<()>,
}

impl StubServers {
    /// Starts one server per script, each on a free port of the loopback address.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if a socket or the runtime cannot be created.
    pub fn start(scripts: Vec<ReplyScript>) -> Result<StubServers, Error> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let listeners = scripts
            .iter()
            .map(|_| bind_loopback())
            .collect::<Result<Vec<_>, _>>()?;
        let addrs = listeners
            .iter()
            .map(std::net::TcpListener::local_addr)
            .collect::<Result<_, _>>()?;
        let state = Arc::new(Mutex::new(State::new(scripts)));
        let (stop, stopped) = oneshot::channel();
        let servers_state = state.clone();
        std::thread::spawn(move || {
            runtime.block_on(async move {
                for (server, listener) in listeners.into_iter().enumerate() {
                    let Ok(listener) = TcpListener::from_std(listener) else {
                        continue;
                    };
                    tokio::spawn(accept_connections(server, listener, servers_state.clone()));
                }
                // The sender never sends: the receiver resolves with an error when the handle is dropped.
                let _ = stopped.await;
            });
        });
        Ok(StubServers {
            addrs,
            state,
            _stop: stop,
        })
    }

    /// The addresses of the servers, in script order.
    pub fn addrs(&self) -> &[SocketAddr] {
        &self.addrs
    }

    /// Replaces the script of a server. Responses in progress keep the old script.
    pub fn set_script(&self, server: usize, script: ReplyScript) {
        lock(&self.state).set_script(server, script);
    }

    /// The requests recorded so far, in order of arrival.
    pub fn served_requests(&self) -> Vec<ServedRequest> {
        lock(&self.state).served.clone()
    }

    /// Number of responses that were also sent on an idle connection because of
    /// [`ReplyFault::DuplicateOnIdleConnection`](crate::ReplyFault::DuplicateOnIdleConnection).
    pub fn unsolicited_count(&self) -> u64 {
        lock(&self.state).unsolicited_count
    }
}

fn bind_loopback() -> Result<std::net::TcpListener, Error> {
    let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

async fn accept_connections(server: usize, listener: TcpListener, state: SharedState) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let state = state.clone();
                tokio::spawn(async move {
                    // Errors of a connection are ignored: the records contain what was written.
                    let _ = serve_connection(server, stream, &state).await;
                });
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}
