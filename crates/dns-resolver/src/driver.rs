//! The thin layer between a resolver and tokio's sockets: each question over UDP has a socket and so a random
//! port of its own, each connection a task. All of them report over one bounded channel.

use crate::config::{Config, Micros};
use crate::exchange::{Asked, Key};
use crate::resolver::{Event, Resolver};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UdpSocket};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

/// Messages of sockets that wait for the resolver.
const MESSAGES: usize = 256;
/// The longest datagram that is read.
const DATAGRAM: usize = 4096;
/// A connection's bytes are read in pieces of this size.
const PIECE: usize = 16 * 1024;

enum Heard {
    Datagram(Key, SocketAddr, Vec<u8>),
    Bytes(Key, Vec<u8>),
    Closed(Key, String),
}

/// Looks the service up until nobody listens any more. `clock` gives the time of the caller's clock.
///
/// # Errors
/// A configuration that does not pass [`Config::check`].
pub async fn run(
    config: Config,
    clock: impl Fn() -> Micros,
    events: mpsc::Sender<Event>,
) -> Result<(), String> {
    let mut resolver = Resolver::new(config, rand::make_rng(), clock())?;
    let (tell, mut told) = mpsc::channel(MESSAGES);
    let mut sockets = Sockets(BTreeMap::new());
    loop {
        resolver.turn(clock());
        loop {
            while let Some(asked) = resolver.transmit() {
                sockets.carry_out(asked, &tell);
            }
            let Some(event) = resolver.event() else { break };
            if events.send(event).await.is_err() {
                return Ok(());
            }
        }
        let now = clock();
        let wait = Duration::from_micros(resolver.due().saturating_sub(now));
        tokio::select! {
            heard = told.recv() => {
                let now = clock();
                match heard {
                    Some(Heard::Datagram(key, from, bytes)) => resolver.datagram(now, key, from, &bytes),
                    Some(Heard::Bytes(key, bytes)) => resolver.bytes(now, key, &bytes),
                    Some(Heard::Closed(key, why)) => resolver.closed(now, key, &why),
                    None => return Ok(()),
                }
            }
            () = tokio::time::sleep(wait) => {}
            () = events.closed() => return Ok(()),
        }
    }
}

/// The tasks of open sockets; dropping this ends them.
struct Sockets(BTreeMap<Key, AbortHandle>);

impl Drop for Sockets {
    fn drop(&mut self) {
        self.0.values().for_each(AbortHandle::abort);
    }
}

impl Sockets {
    fn carry_out(&mut self, asked: Asked, tell: &mpsc::Sender<Heard>) {
        let tell = tell.clone();
        match asked {
            Asked::Udp(key, server, bytes) => {
                let task = tokio::spawn(async move {
                    if let Err(e) = datagrams(key, server, &bytes, &tell).await {
                        let _ = tell.send(Heard::Closed(key, e.to_string())).await;
                    }
                });
                self.0.insert(key, task.abort_handle());
            }
            Asked::Tcp(key, server, bytes) => {
                let task = tokio::spawn(async move {
                    let why = match stream(key, server, &bytes, &tell).await {
                        Ok(()) => "connection closed before an answer".to_string(),
                        Err(e) => e.to_string(),
                    };
                    let _ = tell.send(Heard::Closed(key, why)).await;
                });
                self.0.insert(key, task.abort_handle());
            }
            Asked::Close(key) => {
                if let Some(task) = self.0.remove(&key) {
                    task.abort();
                }
            }
        }
    }
}

async fn datagrams(
    key: Key,
    server: SocketAddr,
    bytes: &[u8],
    tell: &mpsc::Sender<Heard>,
) -> std::io::Result<()> {
    // The kernel picks a random port.
    let any = match server {
        SocketAddr::V4(_) => SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
        SocketAddr::V6(_) => SocketAddr::from((Ipv6Addr::UNSPECIFIED, 0)),
    };
    let socket = UdpSocket::bind(any).await?;
    // Connected, it hears nobody else, and hears at once where nobody listens.
    socket.connect(server).await?;
    socket.send(bytes).await?;
    let mut held = vec![0; DATAGRAM];
    loop {
        let (size, from) = socket.recv_from(&mut held).await?;
        let heard = Heard::Datagram(key, from, held[..size].to_vec());
        if tell.send(heard).await.is_err() {
            return Ok(());
        }
    }
}

async fn stream(
    key: Key,
    server: SocketAddr,
    bytes: &[u8],
    tell: &mpsc::Sender<Heard>,
) -> std::io::Result<()> {
    let mut socket = TcpStream::connect(server).await?;
    socket.write_all(bytes).await?;
    let mut held = vec![0; PIECE];
    loop {
        let size = socket.read(&mut held).await?;
        if size == 0
            || tell
                .send(Heard::Bytes(key, held[..size].to_vec()))
                .await
                .is_err()
        {
            return Ok(());
        }
    }
}
