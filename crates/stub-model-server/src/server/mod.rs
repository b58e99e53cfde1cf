//! Stub servers on loopback sockets: any number of them on one thread of their own, which ends when they are dropped.

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

/// How long a server waits after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);

/// What a server recorded of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct ServedRequest {
    /// The server's number.
    pub server: usize,
    /// The request's id, as it came.
    pub id: String,
    /// Its prompt.
    pub prompt: String,
    /// Tokens of the answer that the request had already.
    pub tokens_before: usize,
    /// Tokens of this answer, if all of it was sent.
    pub planned_token_count: usize,
    /// Bytes of the body that were written.
    pub written_bytes: usize,
    /// Whether the whole plan was carried out.
    pub is_complete: bool,
}

/// Running servers. Dropping them ends them.
pub struct StubServers {
    addrs: Vec<SocketAddr>,
    state: SharedState,
    /// Ends the servers' thread when it is dropped.
    _stop: oneshot::Sender<()>,
}

impl StubServers {
    /// Starts one server for each script, on free ports of the loopback address.
    ///
    /// # Errors
    ///
    /// Returns the system's error if a socket or the runtime cannot be created.
    pub fn start(scripts: Vec<ReplyScript>) -> Result<StubServers, Error> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let listeners = scripts
            .iter()
            .map(|_| listen())
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
                    tokio::spawn(accept(server, listener, servers_state.clone()));
                }
                // An error means that the handle was dropped, which is the order to stop.
                let _ = stopped.await;
            });
        });
        Ok(StubServers {
            addrs,
            state,
            _stop: stop,
        })
    }

    /// The addresses of the servers, in the order of the scripts.
    pub fn addrs(&self) -> &[SocketAddr] {
        &self.addrs
    }

    /// Gives a server another script. Answers under way keep the old one.
    pub fn set_script(&self, server: usize, script: ReplyScript) {
        lock(&self.state).set_script(server, script);
    }

    /// What has been recorded so far.
    pub fn served_requests(&self) -> Vec<ServedRequest> {
        lock(&self.state).served.clone()
    }

    /// How many answers were also written to a connection on which nothing had been asked.
    pub fn unsolicited_count(&self) -> u64 {
        lock(&self.state).unsolicited_count
    }
}

fn listen() -> Result<std::net::TcpListener, Error> {
    let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

async fn accept(server: usize, listener: TcpListener, state: SharedState) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let state = state.clone();
                tokio::spawn(async move {
                    // A connection that breaks is the client's affair: what was written is in the records.
                    let _ = serve_connection(server, stream, &state).await;
                });
            }
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}
