//! The stand-in on loopback sockets, UDP and TCP on one port, from threads of its own that end with it.

#![expect(
    clippy::min_ident_chars,
    clippy::missing_errors_doc,
    reason = "not yet converted"
)]

use crate::script::Script;
use crate::server::{Over, Reply, Server, Then};
use std::collections::BTreeMap;
use std::io::{Error, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// How often threads look whether they are to end.
const LOOK: Duration = Duration::from_millis(50);
/// Late answers and connections at a time; further ones are dropped.
const MOST_THREADS: usize = 256;

/// A running stand-in; dropping it ends it.
pub struct Standin {
    addr: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    server: Mutex<Server>,
    ended: AtomicBool,
    threads: AtomicUsize,
}

impl Standin {
    /// Listens on a loopback address; port 0 takes a free one.
    pub fn start(listen: SocketAddr, script: Script) -> Result<Standin, Error> {
        if !listen.ip().is_loopback() {
            return Err(Error::other(
                "a stand-in listens on loopback addresses only",
            ));
        }
        let listener = TcpListener::bind(listen)?;
        let addr = listener.local_addr()?;
        let socket = UdpSocket::bind(addr)?;
        socket.set_read_timeout(Some(LOOK))?;
        listener.set_nonblocking(true)?;
        let server = Mutex::new(Server::new(script));
        let (ended, threads) = (AtomicBool::new(false), AtomicUsize::new(0));
        let shared = Arc::new(Shared {
            server,
            ended,
            threads,
        });
        let (udp, tcp) = (shared.clone(), shared.clone());
        thread::spawn(move || datagrams(&udp, &socket));
        thread::spawn(move || connections(&tcp, &listener));
        Ok(Standin { addr, shared })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// From now on it goes by another script.
    pub fn set(&self, script: Script) {
        self.shared.server().set(script);
    }

    /// Questions so far, as "NAME TYPE", with their number.
    pub fn asked(&self) -> BTreeMap<String, u64> {
        self.shared.server().asked.clone()
    }
}

impl Drop for Standin {
    fn drop(&mut self) {
        self.shared.ended.store(true, Ordering::SeqCst);
    }
}

impl Shared {
    fn server(&self) -> std::sync::MutexGuard<'_, Server> {
        self.server.lock().unwrap_or_else(PoisonError::into_inner)
    }
    fn ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }
    /// Runs something on a thread, within the bound.
    fn spawn(self: &Arc<Self>, work: impl FnOnce(&Arc<Shared>) + Send + 'static) {
        if self.threads.fetch_add(1, Ordering::SeqCst) >= MOST_THREADS {
            self.threads.fetch_sub(1, Ordering::SeqCst);
            return;
        }
        let shared = self.clone();
        thread::spawn(move || {
            work(&shared);
            shared.threads.fetch_sub(1, Ordering::SeqCst);
        });
    }
}

fn datagrams(shared: &Arc<Shared>, socket: &UdpSocket) {
    let mut held = [0; 4096];
    while !shared.ended() {
        let Ok((size, from)) = socket.recv_from(&mut held) else {
            continue;
        };
        let replies = shared.server().answer(&held[..size], Over::Udp);
        for reply in replies {
            let Ok(own) = socket.try_clone() else {
                continue;
            };
            let send = move |reply: &Reply| {
                if reply.other_port {
                    let other = UdpSocket::bind(SocketAddr::new(from.ip(), 0));
                    let _ = other.and_then(|s| s.send_to(&reply.bytes, from));
                } else {
                    let _ = own.send_to(&reply.bytes, from);
                }
            };
            if reply.after.is_zero() {
                send(&reply);
            } else {
                shared.spawn(move |_| {
                    thread::sleep(reply.after);
                    send(&reply);
                });
            }
        }
    }
}

fn connections(shared: &Arc<Shared>, listener: &TcpListener) {
    while !shared.ended() {
        match listener.accept() {
            Ok((stream, _)) => shared.spawn(move |shared| {
                let _ = connection(shared, stream);
            }),
            Err(_) => thread::sleep(Duration::from_millis(2)),
        }
    }
}

fn connection(shared: &Arc<Shared>, mut stream: TcpStream) -> Result<(), Error> {
    stream.set_nonblocking(false)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(LOOK))?;
    let (mut held, mut piece) = (Vec::new(), [0; 4096]);
    while !shared.ended() {
        match stream.read(&mut piece) {
            Ok(0) => return Ok(()),
            Ok(size) => held.extend_from_slice(&piece[..size]),
            Err(e)
                if matches!(
                    e.kind(),
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                ) =>
            {
                continue
            }
            Err(e) => return Err(e),
        }
        while held.len() >= 2 {
            let length = usize::from(u16::from_be_bytes([held[0], held[1]]));
            if held.len() < 2 + length {
                break;
            }
            let question: Vec<u8> = held.drain(..2 + length).skip(2).collect();
            let replies = shared.server().answer(&question, Over::Tcp);
            for reply in replies {
                thread::sleep(reply.after);
                let mut framed = (reply.bytes.len() as u16).to_be_bytes().to_vec();
                framed.extend_from_slice(&reply.bytes);
                framed.truncate(reply.cut.unwrap_or(usize::MAX));
                let size = if reply.drip { 1 } else { framed.len().max(1) };
                for part in framed.chunks(size) {
                    stream.write_all(part)?;
                }
                while reply.then == Then::Silence && !shared.ended() {
                    thread::sleep(LOOK);
                }
            }
        }
    }
    Ok(())
}
