//! Runs a resolver on tokio's sockets.
//!
//! Each attempt over UDP has its own socket, and so its own random port. Each socket and each connection has a task, and
//! all tasks report over one bounded channel. [`run`] owns the tasks and aborts them when it returns or is dropped.

use crate::attempt::{SocketId, Transmit};
use crate::config::{Micros, ResolverConfig};
use crate::error::ResolverConfigError;
use crate::resolver::{Resolver, ResolverEvent};
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UdpSocket};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

/// How many reads may be queued for the resolver; the socket tasks wait while the channel is full.
const READ_CHANNEL_CAPACITY: usize = 256;
/// The longest datagram that is received, in bytes.
const MAX_DATAGRAM_BYTES: usize = 4096;
/// The size of the read buffer of a connection, in bytes.
const STREAM_BUFFER_BYTES: usize = 16 * 1024;
/// The reason that is reported when the server closes a connection.
const CLOSED_BY_SERVER: &str = "connection closed before a complete response";

/// An event that the task of a socket or connection reports to the resolver.
enum SocketRead {
    Datagram {
        socket: SocketId,
        from: SocketAddr,
        bytes: Vec<u8>,
    },
    StreamBytes {
        socket: SocketId,
        bytes: Vec<u8>,
    },
    Closed {
        socket: SocketId,
        reason: String,
    },
}

/// Looks up the service repeatedly until the receiver of the events is dropped. `clock` returns the current time.
///
/// # Errors
/// If the configuration does not pass [`ResolverConfig::check`].
pub async fn run(
    config: ResolverConfig,
    clock: impl Fn() -> Micros,
    events: mpsc::Sender<ResolverEvent>,
) -> Result<(), ResolverConfigError> {
    let mut resolver = Resolver::new(config, rand::make_rng(), clock())?;
    let (read_sender, mut reads) = mpsc::channel(READ_CHANNEL_CAPACITY);
    let mut sockets = OpenSockets {
        tasks: BTreeMap::new(),
        reads: read_sender,
    };
    loop {
        resolver.on_timer(clock());
        loop {
            while let Some(transmit) = resolver.poll_transmit() {
                sockets.execute(transmit);
            }
            let Some(event) = resolver.poll_event() else {
                break;
            };
            if events.send(event).await.is_err() {
                return Ok(());
            }
        }
        let now = clock();
        let wait = Duration::from_micros(resolver.next_timer().saturating_sub(now));
        // All branches are cancel-safe: a read that is not received stays in the channel.
        tokio::select! {
            read = reads.recv() => match read {
                Some(read) => handle_read(&mut resolver, clock(), read),
                None => return Ok(()),
            },
            () = tokio::time::sleep(wait) => {}
            () = events.closed() => return Ok(()),
        }
    }
}

fn handle_read(resolver: &mut Resolver, now: Micros, read: SocketRead) {
    match read {
        SocketRead::Datagram {
            socket,
            from,
            bytes,
        } => resolver.on_datagram(now, socket, from, &bytes),
        SocketRead::StreamBytes { socket, bytes } => {
            resolver.on_stream_bytes(now, socket, &bytes);
        }
        SocketRead::Closed { socket, reason } => resolver.on_closed(now, socket, &reason),
    }
}

/// The tasks that own the open sockets; dropping this aborts them.
struct OpenSockets {
    tasks: BTreeMap<SocketId, AbortHandle>,
    /// The channel on which the tasks report.
    reads: mpsc::Sender<SocketRead>,
}

impl Drop for OpenSockets {
    fn drop(&mut self) {
        for task in self.tasks.values() {
            task.abort();
        }
    }
}

impl OpenSockets {
    fn execute(&mut self, transmit: Transmit) {
        let reads = self.reads.clone();
        match transmit {
            Transmit::Udp {
                socket,
                server,
                message,
            } => {
                let task = tokio::spawn(run_udp(socket, server, message, reads));
                self.tasks.insert(socket, task.abort_handle());
            }
            Transmit::Tcp {
                socket,
                server,
                framed_message,
            } => {
                let task = tokio::spawn(run_tcp(socket, server, framed_message, reads));
                self.tasks.insert(socket, task.abort_handle());
            }
            Transmit::Close { socket } => {
                if let Some(task) = self.tasks.remove(&socket) {
                    task.abort();
                }
            }
        }
    }
}

/// The task of a UDP socket; reports if the socket fails.
async fn run_udp(
    socket: SocketId,
    server: SocketAddr,
    message: Vec<u8>,
    reads: mpsc::Sender<SocketRead>,
) {
    if let Err(error) = exchange_datagrams(socket, server, &message, &reads).await {
        let reason = error.to_string();
        // Sending fails only if the driver has ended, and then the report is not needed.
        let _ = reads.send(SocketRead::Closed { socket, reason }).await;
    }
}

/// The task of a connection; reports when it is closed or fails.
async fn run_tcp(
    socket: SocketId,
    server: SocketAddr,
    framed_message: Vec<u8>,
    reads: mpsc::Sender<SocketRead>,
) {
    let reason = match exchange_over_stream(socket, server, &framed_message, &reads).await {
        Ok(()) => CLOSED_BY_SERVER.to_string(),
        Err(error) => error.to_string(),
    };
    // Sending fails only if the driver has ended, and then the report is not needed.
    let _ = reads.send(SocketRead::Closed { socket, reason }).await;
}

/// Sends a datagram and reports the datagrams received in return, until the driver has ended.
async fn exchange_datagrams(
    socket: SocketId,
    server: SocketAddr,
    message: &[u8],
    reads: &mpsc::Sender<SocketRead>,
) -> io::Result<()> {
    // With port 0 the kernel picks a random port.
    let any_address = match server {
        SocketAddr::V4(_) => SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
        SocketAddr::V6(_) => SocketAddr::from((Ipv6Addr::UNSPECIFIED, 0)),
    };
    let udp_socket = UdpSocket::bind(any_address).await?;
    // A connected socket receives only from the server, and fails immediately if no process listens at its port.
    udp_socket.connect(server).await?;
    udp_socket.send(message).await?;
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (size, from) = udp_socket.recv_from(&mut buffer).await?;
        let read = SocketRead::Datagram {
            socket,
            from,
            bytes: buffer[..size].to_vec(),
        };
        if reads.send(read).await.is_err() {
            return Ok(());
        }
    }
}

/// Sends a message over a connection and reports the bytes received, until the server closes the connection or the driver
/// has ended.
async fn exchange_over_stream(
    socket: SocketId,
    server: SocketAddr,
    framed_message: &[u8],
    reads: &mpsc::Sender<SocketRead>,
) -> io::Result<()> {
    let mut stream = TcpStream::connect(server).await?;
    stream.write_all(framed_message).await?;
    let mut buffer = vec![0; STREAM_BUFFER_BYTES];
    loop {
        let size = stream.read(&mut buffer).await?;
        if size == 0 {
            return Ok(());
        }
        let read = SocketRead::StreamBytes {
            socket,
            bytes: buffer[..size].to_vec(),
        };
        if reads.send(read).await.is_err() {
            return Ok(());
        }
    }
}
