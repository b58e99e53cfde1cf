//! A stub server on loopback, over UDP and TCP on the same port. Its threads end when it is dropped.

use crate::responder::{AfterReply, Reply, Responder, Transport};
use crate::script::Script;
use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// How often threads check whether the server has shut down.
const SHUTDOWN_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How long the accepting thread sleeps if no connection is waiting.
const ACCEPT_PAUSE: Duration = Duration::from_millis(2);
/// Limit on threads for delayed replies and connections; beyond it, replies and connections are dropped.
const MAX_THREADS: usize = 256;
/// The size of a read buffer, in bytes.
const READ_BUFFER_BYTES: usize = 4096;
/// The size of the length prefix of a message over TCP.
const LENGTH_BYTES: usize = 2;

/// A running stub server; dropping it shuts it down.
pub struct StubDnsServer {
    addr: SocketAddr,
    shared: Arc<SharedState>,
}

/// The state that the threads of a server share.
struct SharedState {
    responder: Mutex<Responder>,
    is_shut_down: AtomicBool,
    thread_count: AtomicUsize,
}

impl StubDnsServer {
    /// Starts a server on a loopback address; port 0 selects a free port.
    ///
    /// # Errors
    /// If the address is not a loopback address, or can't be bound.
    pub fn start(listen: SocketAddr, script: Script) -> Result<StubDnsServer, io::Error> {
        if !listen.ip().is_loopback() {
            return Err(io::Error::other(format!(
                "expected a loopback address, not {listen}"
            )));
        }
        let listener = TcpListener::bind(listen)?;
        let addr = listener.local_addr()?;
        let socket = UdpSocket::bind(addr)?;
        socket.set_read_timeout(Some(SHUTDOWN_CHECK_INTERVAL))?;
        listener.set_nonblocking(true)?;
        let shared = Arc::new(SharedState {
            responder: Mutex::new(Responder::new(script)),
            is_shut_down: AtomicBool::new(false),
            thread_count: AtomicUsize::new(0),
        });
        let udp_state = shared.clone();
        thread::spawn(move || serve_datagrams(&udp_state, &socket));
        let tcp_state = shared.clone();
        thread::spawn(move || accept_connections(&tcp_state, &listener));
        Ok(StubDnsServer { addr, shared })
    }

    /// The address on which the server listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Replaces the script; the rules count questions from 0 again.
    pub fn set_script(&self, script: Script) {
        self.shared.responder().set_script(script);
    }

    /// The number of questions received, by "NAME TYPE". A new script does not reset it.
    pub fn question_counts(&self) -> BTreeMap<String, u64> {
        self.shared.responder().question_counts().clone()
    }
}

impl Drop for StubDnsServer {
    fn drop(&mut self) {
        self.shared.is_shut_down.store(true, Ordering::SeqCst);
    }
}

impl SharedState {
    fn responder(&self) -> MutexGuard<'_, Responder> {
        self.responder
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn is_shut_down(&self) -> bool {
        self.is_shut_down.load(Ordering::SeqCst)
    }

    /// Runs a task on a new thread; drops it if the limit on threads is reached.
    fn spawn(self: &Arc<Self>, task: impl FnOnce(&Arc<SharedState>) + Send + 'static) {
        if self.thread_count.fetch_add(1, Ordering::SeqCst) >= MAX_THREADS {
            self.thread_count.fetch_sub(1, Ordering::SeqCst);
            return;
        }
        let shared = self.clone();
        thread::spawn(move || {
            task(&shared);
            shared.thread_count.fetch_sub(1, Ordering::SeqCst);
        });
    }
}

/// Answers datagrams until the server shuts down.
fn serve_datagrams(shared: &Arc<SharedState>, socket: &UdpSocket) {
    let mut buffer = [0; READ_BUFFER_BYTES];
    while !shared.is_shut_down() {
        let Ok((size, from)) = socket.recv_from(&mut buffer) else {
            continue;
        };
        let replies = shared.responder().reply(&buffer[..size], Transport::Udp);
        for reply in replies {
            let Ok(own_socket) = socket.try_clone() else {
                continue;
            };
            if reply.delay.is_zero() {
                send_datagram(&own_socket, from, &reply);
            } else {
                shared.spawn(move |_| {
                    thread::sleep(reply.delay);
                    send_datagram(&own_socket, from, &reply);
                });
            }
        }
    }
}

fn send_datagram(own_socket: &UdpSocket, to: SocketAddr, reply: &Reply) {
    let sent = if reply.uses_other_port {
        UdpSocket::bind(SocketAddr::new(to.ip(), 0))
            .and_then(|other_socket| other_socket.send_to(&reply.bytes, to))
    } else {
        own_socket.send_to(&reply.bytes, to)
    };
    // An error is ignored: resolvers must expect that datagrams are lost.
    let _ = sent;
}

/// Accepts connections until the server shuts down.
fn accept_connections(shared: &Arc<SharedState>, listener: &TcpListener) {
    while !shared.is_shut_down() {
        match listener.accept() {
            Ok((stream, _)) => shared.spawn(move |shared| {
                // An error means that the resolver has closed the connection.
                let _ = serve_connection(shared, stream);
            }),
            Err(_) => thread::sleep(ACCEPT_PAUSE),
        }
    }
}

/// Answers the queries of a connection until it is closed or the server shuts down.
fn serve_connection(shared: &Arc<SharedState>, mut stream: TcpStream) -> io::Result<()> {
    stream.set_nonblocking(false)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(SHUTDOWN_CHECK_INTERVAL))?;
    let mut received = Vec::new();
    let mut buffer = [0; READ_BUFFER_BYTES];
    while !shared.is_shut_down() {
        match stream.read(&mut buffer) {
            Ok(0) => return Ok(()),
            Ok(size) => received.extend_from_slice(&buffer[..size]),
            Err(error) if is_timeout(&error) => continue,
            Err(error) => return Err(error),
        }
        while let Some(question) = extract_message(&mut received) {
            let replies = shared.responder().reply(&question, Transport::Tcp);
            for reply in replies {
                send_over_stream(shared, &mut stream, &reply)?;
            }
        }
    }
    Ok(())
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}

/// Removes the first message from the received bytes; `None` if it is not complete yet.
fn extract_message(received: &mut Vec<u8>) -> Option<Vec<u8>> {
    let length = u16::from_be_bytes([*received.first()?, *received.get(1)?]);
    let end = LENGTH_BYTES + usize::from(length);
    if received.len() < end {
        return None;
    }
    Some(received.drain(..end).skip(LENGTH_BYTES).collect())
}

fn send_over_stream(shared: &SharedState, stream: &mut TcpStream, reply: &Reply) -> io::Result<()> {
    thread::sleep(reply.delay);
    let mut framed = (reply.bytes.len() as u16).to_be_bytes().to_vec();
    framed.extend_from_slice(&reply.bytes);
    framed.truncate(reply.max_bytes.unwrap_or(usize::MAX));
    let chunk_bytes = if reply.is_byte_by_byte {
        1
    } else {
        framed.len().max(1)
    };
    for chunk in framed.chunks(chunk_bytes) {
        stream.write_all(chunk)?;
    }
    while reply.after == AfterReply::StopResponding && !shared.is_shut_down() {
        thread::sleep(SHUTDOWN_CHECK_INTERVAL);
    }
    Ok(())
}
