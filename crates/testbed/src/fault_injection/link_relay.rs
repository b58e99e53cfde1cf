//! The link from one node to another: a relay of datagrams and connections with configurable faults.
//!
//! Two tasks own the relay's sockets and are aborted when the relay is dropped. Each delayed datagram and each
//! connection has its own task, which ends soon afterwards.

use super::error::FaultInjectionError;
use super::ports::bind_any_port;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::task::{spawn_local, AbortHandle};

/// The maximum number of delayed datagrams on one link; further ones are dropped.
const MAX_DELAYED_DATAGRAMS: usize = 512;
/// The maximum number of connections on one link; further ones are closed.
const MAX_CONNECTIONS: usize = 32;
/// Connections are closed after this time.
const MAX_CONNECTION_DURATION: Duration = Duration::from_secs(5);
/// The size of the receive buffer, enough for the longest UDP datagram.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// The faults of a link. By default everything passes without delay.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct LinkFaults {
    /// Whether the link drops everything.
    pub(super) is_cut: bool,
    /// The fraction of datagrams that is dropped.
    pub(super) loss: f64,
    /// The fraction of datagrams that is sent twice.
    pub(super) duplication: f64,
    /// Datagrams are delayed by a random time up to this one, so that they may be reordered; connections are delayed by
    /// exactly this time.
    pub(super) max_delay: Duration,
}

impl LinkFaults {
    /// Drops everything.
    pub(super) fn cut() -> Self {
        LinkFaults {
            is_cut: true,
            ..LinkFaults::default()
        }
    }

    /// Delays everything by up to this time.
    pub(super) fn delayed(max_delay: Duration) -> Self {
        LinkFaults {
            max_delay,
            ..LinkFaults::default()
        }
    }
}

/// The state that a relay shares with its tasks, which read it for each datagram and connection.
struct LinkState {
    target: SocketAddr,
    faults: Cell<LinkFaults>,
    /// The address of a second process under the target's name, which receives half of the datagrams, at random.
    duplicate_target: Cell<Option<SocketAddr>>,
    delayed_datagrams: Cell<usize>,
    open_connections: Cell<usize>,
}

/// A link in one direction.
pub(super) struct LinkRelay {
    address: SocketAddr,
    state: Rc<LinkState>,
    tasks: [AbortHandle; 2],
}

impl LinkRelay {
    /// Starts a relay to `target`. Its random faults are drawn from `seed`.
    pub(super) async fn start(
        target: SocketAddr,
        seed: u64,
    ) -> Result<LinkRelay, FaultInjectionError> {
        let port = bind_any_port().await.map_err(FaultInjectionError::Relay)?;
        let state = Rc::new(LinkState {
            target,
            faults: Cell::default(),
            duplicate_target: Cell::default(),
            delayed_datagrams: Cell::default(),
            open_connections: Cell::default(),
        });
        let datagrams = relay_datagrams(Rc::new(port.socket), state.clone(), seed);
        let connections = accept_connections(port.listener, state.clone());
        Ok(LinkRelay {
            address: port.address,
            state,
            tasks: [
                spawn_local(datagrams).abort_handle(),
                spawn_local(connections).abort_handle(),
            ],
        })
    }

    /// The address to which the sending node connects.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(super) fn set_faults(&self, faults: LinkFaults) {
        self.state.faults.set(faults);
    }

    /// Sends half of the datagrams, at random, to a second process under the receiver's name; `None` ends that.
    pub(super) fn set_duplicate(&self, duplicate_target: Option<SocketAddr>) {
        self.state.duplicate_target.set(duplicate_target);
    }
}

impl Drop for LinkRelay {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

async fn relay_datagrams(socket: Rc<UdpSocket>, state: Rc<LinkState>, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        let faults = state.faults.get();
        if faults.is_cut || rng.random::<f64>() < faults.loss {
            continue;
        }
        let copies = if rng.random::<f64>() < faults.duplication {
            2
        } else {
            1
        };
        let duplicate_target = state.duplicate_target.get().filter(|_| rng.random());
        let target = duplicate_target.unwrap_or(state.target);
        for _ in 0..copies {
            let delay = faults.max_delay.mul_f64(rng.random());
            relay_datagram(&socket, &state, &buffer[..length], target, delay);
        }
    }
}

/// Sends a datagram after a delay. If the socket's buffer is full the datagram is dropped, as on a network.
fn relay_datagram(
    socket: &Rc<UdpSocket>,
    state: &Rc<LinkState>,
    datagram: &[u8],
    target: SocketAddr,
    delay: Duration,
) {
    if delay.is_zero() {
        let _ = socket.try_send_to(datagram, target);
        return;
    }
    if state.delayed_datagrams.get() >= MAX_DELAYED_DATAGRAMS {
        return;
    }
    state
        .delayed_datagrams
        .set(state.delayed_datagrams.get() + 1);
    let socket = socket.clone();
    let state = state.clone();
    let datagram = datagram.to_vec();
    spawn_local(async move {
        tokio::time::sleep(delay).await;
        state
            .delayed_datagrams
            .set(state.delayed_datagrams.get() - 1);
        if !state.faults.get().is_cut {
            // Dropped if the socket's buffer is full.
            let _ = socket.try_send_to(&datagram, target);
        }
    });
}

async fn accept_connections(listener: TcpListener, state: Rc<LinkState>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        if state.faults.get().is_cut || state.open_connections.get() >= MAX_CONNECTIONS {
            continue;
        }
        state.open_connections.set(state.open_connections.get() + 1);
        let delay = state.faults.get().max_delay;
        spawn_local(relay_connection(stream, state.clone(), delay));
    }
}

async fn relay_connection(mut stream: TcpStream, state: Rc<LinkState>, delay: Duration) {
    tokio::time::sleep(delay).await;
    if let Ok(mut target) = TcpStream::connect(state.target).await {
        let copying = copy_bidirectional(&mut stream, &mut target);
        // Whether copying ended, failed or timed out, both sides are closed when the streams are dropped.
        let _ = tokio::time::timeout(MAX_CONNECTION_DURATION, copying).await;
    }
    state.open_connections.set(state.open_connections.get() - 1);
}
