//! The link from one node to another: datagrams and connections pass, or don't.

#![expect(clippy::min_ident_chars, reason = "not yet converted")]

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::OnceLock;
use std::time::Duration;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::task::{spawn_local, JoinHandle};

/// Datagrams held back at once on one link; more are lost.
const MOST_HELD: usize = 512;
/// Connections at once on one link.
const MOST_CONNECTIONS: usize = 32;
/// Ports of processes that start again at the same one: the first, and how many.
const FIRST: u16 = 10_000;
const LASTING: u16 = 20_000;

/// What a link does to what passes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Weather {
    /// Nothing passes.
    pub cut: bool,
    /// This part is lost.
    pub loss: f64,
    /// This part passes twice.
    pub repeat: f64,
    /// Each is held back by up to this, at random, so that what is sent later may come earlier.
    pub delay: Duration,
}

/// A link in one direction.
pub struct Relay {
    /// Where its sender finds it.
    pub addr: SocketAddr,
    /// Where what passes goes.
    pub to: SocketAddr,
    weather: Rc<Cell<Weather>>,
    twin: Rc<Cell<Option<SocketAddr>>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Relay {
    /// Starts one to this address.
    pub async fn start(to: SocketAddr, seed: u64) -> Result<Relay, String> {
        let named = |e: std::io::Error| format!("relay: {e}");
        let (socket, listener) = both().await.map_err(named)?;
        let addr = socket.local_addr().map_err(named)?;
        let weather: Rc<Cell<Weather>> = Rc::default();
        let twin: Rc<Cell<Option<SocketAddr>>> = Rc::default();
        let way = (to, twin.clone());
        let datagrams = spawn_local(datagrams(Rc::new(socket), way, weather.clone(), seed));
        let connections = spawn_local(connections(listener, to, weather.clone()));
        Ok(Relay {
            addr,
            to,
            weather,
            twin,
            tasks: vec![datagrams, connections],
        })
    }

    /// From now on.
    pub fn set(&self, weather: Weather) {
        self.weather.set(weather);
    }

    /// From now on every other datagram, as drawn, goes there: to a second process of the receiver's name.
    pub fn split(&self, twin: Option<SocketAddr>) {
        self.twin.set(twin);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// A port that is free for datagrams and connections alike.
pub async fn both() -> std::io::Result<(UdpSocket, TcpListener)> {
    both_at((0..50).map(|_| 0)).await
}

/// The same, where no outgoing connection takes it while the process that it is for is down. Each is given out once in a
/// process: a fleet lets go of its ports for the moment in which its nodes start, and another one must not take them.
pub async fn lasting() -> std::io::Result<(UdpSocket, TcpListener)> {
    both_at((0..LASTING).map(|_| next_lasting())).await
}

/// The next port below the range from which the system takes ports by itself.
fn next_lasting() -> u16 {
    static FIRST_TAKEN: OnceLock<u16> = OnceLock::new();
    static TAKEN: AtomicU16 = AtomicU16::new(0);
    // Two processes that play at once begin at different ones.
    let first = *FIRST_TAKEN.get_or_init(|| rand::rng().random_range(0..LASTING));
    let taken = TAKEN.fetch_add(1, Ordering::Relaxed);
    FIRST + (first + taken % LASTING) % LASTING
}

async fn both_at(ports: impl Iterator<Item = u16>) -> std::io::Result<(UdpSocket, TcpListener)> {
    let mut last = std::io::ErrorKind::AddrInUse.into();
    for port in ports {
        let found = async {
            let socket = UdpSocket::bind(("127.0.0.1", port)).await?;
            let listener = TcpListener::bind(socket.local_addr()?).await?;
            Ok((socket, listener))
        };
        match found.await {
            Ok(found) => return Ok(found),
            Err(e) => last = e,
        }
    }
    Err(last)
}

type Way = (SocketAddr, Rc<Cell<Option<SocketAddr>>>);

async fn datagrams(socket: Rc<UdpSocket>, way: Way, weather: Rc<Cell<Weather>>, seed: u64) {
    let rng = RefCell::new(Pcg64Mcg::seed_from_u64(seed));
    let held = Rc::new(Cell::new(0));
    let mut bytes = vec![0; 65_536];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut bytes).await else {
            continue;
        };
        let (w, mut rng) = (weather.get(), rng.borrow_mut());
        if w.cut || rng.random::<f64>() < w.loss {
            continue;
        }
        let times = if rng.random::<f64>() < w.repeat { 2 } else { 1 };
        let to = way.1.get().filter(|_| rng.random()).unwrap_or(way.0);
        for _ in 0..times {
            let wait = w.delay.mul_f64(rng.random());
            if wait.is_zero() {
                let _ = socket.try_send_to(&bytes[..length], to);
            } else if held.get() < MOST_HELD {
                held.set(held.get() + 1);
                let (socket, held, weather) = (socket.clone(), held.clone(), weather.clone());
                let bytes = bytes[..length].to_vec();
                spawn_local(async move {
                    tokio::time::sleep(wait).await;
                    held.set(held.get() - 1);
                    if !weather.get().cut {
                        let _ = socket.try_send_to(&bytes, to);
                    }
                });
            }
        }
    }
}

async fn connections(listener: TcpListener, to: SocketAddr, weather: Rc<Cell<Weather>>) {
    let open = Rc::new(Cell::new(0));
    loop {
        let Ok((mut from, _)) = listener.accept().await else {
            continue;
        };
        if weather.get().cut || open.get() >= MOST_CONNECTIONS {
            continue;
        }
        open.set(open.get() + 1);
        let (open, delay) = (open.clone(), weather.get().delay);
        spawn_local(async move {
            tokio::time::sleep(delay).await;
            if let Ok(mut stream) = TcpStream::connect(to).await {
                let _ = tokio::time::timeout(
                    Duration::from_secs(5),
                    copy_bidirectional(&mut from, &mut stream),
                )
                .await;
            }
            open.set(open.get() - 1);
        });
    }
}

#[cfg(test)]
mod tests;
