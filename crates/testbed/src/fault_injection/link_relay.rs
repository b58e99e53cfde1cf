//! The link from one node to another: a relay of datagrams and connections that can fail in a controlled way.
//!
//! A relay owns its sockets through two tasks, which end when it is dropped. What it holds back, and connections that
//! pass through it, are tasks of their own that end by themselves soon after.

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

/// Datagrams held back at once on one link; more are lost.
const MAX_DELAYED_DATAGRAMS: usize = 512;
/// Connections at once on one link; more are closed.
const MAX_CONNECTIONS: usize = 32;
/// Connections are closed after this time.
const MAX_CONNECTION_DURATION: Duration = Duration::from_secs(5);
/// The longest datagram.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// What a link does to what passes. By default everything passes at once.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct LinkFaults {
    /// Nothing passes.
    pub(super) is_cut: bool,
    /// The fraction of datagrams that is lost.
    pub(super) loss: f64,
    /// The fraction of datagrams that passes twice.
    pub(super) duplication: f64,
    /// Datagrams are held back for up to this time, at random, so that later ones may overtake them; connections are
    /// held back for this time.
    pub(super) max_delay: Duration,
}

impl LinkFaults {
    /// Nothing passes.
    pub(super) fn cut() -> Self {
        LinkFaults {
            is_cut: true,
            ..LinkFaults::default()
        }
    }

    /// Everything passes, held back for up to this time.
    pub(super) fn delayed(max_delay: Duration) -> Self {
        LinkFaults {
            max_delay,
            ..LinkFaults::default()
        }
    }
}

/// What the tasks of a link read each time something passes.
struct LinkState {
    target: SocketAddr,
    faults: Cell<LinkFaults>,
    /// A second process under the name of the target, which gets every other datagram.
    twin: Cell<Option<SocketAddr>>,
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
    /// Starts a relay to this address; `seed` is that of its random faults.
    pub(super) async fn start(
        target: SocketAddr,
        seed: u64,
    ) -> Result<LinkRelay, FaultInjectionError> {
        let port = bind_any_port().await.map_err(FaultInjectionError::Relay)?;
        let state = Rc::new(LinkState {
            target,
            faults: Cell::default(),
            twin: Cell::default(),
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

    /// The address that the sender uses.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets what the link does from now on.
    pub(super) fn set_faults(&self, faults: LinkFaults) {
        self.state.faults.set(faults);
    }

    /// Sends every other datagram, as drawn, to a second process under the receiver's name from now on.
    pub(super) fn set_twin(&self, twin: Option<SocketAddr>) {
        self.state.twin.set(twin);
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
        let twin = state.twin.get().filter(|_| rng.random());
        let target = twin.unwrap_or(state.target);
        for _ in 0..copies {
            let delay = faults.max_delay.mul_f64(rng.random());
            relay_datagram(&socket, &state, &buffer[..length], target, delay);
        }
    }
}

/// Sends a datagram after a delay. One that the socket does not take is lost, as on a network.
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
            // Lost where the socket does not take it.
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
        // However it ends, the connection is closed on both sides.
        let _ = tokio::time::timeout(MAX_CONNECTION_DURATION, copying).await;
    }
    state.open_connections.set(state.open_connections.get() - 1);
}
