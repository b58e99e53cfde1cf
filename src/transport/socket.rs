//! A TCP socket that handles interrupted and short system calls as Linux documents them: a call interrupted by a signal is
//! repeated, and a short read or write does not mean that the kernel has no more data or space.
//!
//! All connections of clients and replicas use it. It owns the descriptor; dropping it closes the connection.

use crate::protocol::request::MAX_BODY_BYTES;
use poppykeel_send_queue::SendQueue;
use std::io::{self, ErrorKind};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, Interest, ReadBuf, Ready};
use tokio::net::TcpStream;

/// Maximum number of bytes read at once, even if the reader has room for more.
const MAX_READ_BYTES: usize = 16 * 1024;
/// Maximum number of bytes discarded after the last response.
const MAX_DISCARDED_BYTES: usize = 2 * MAX_BODY_BYTES;
/// Maximum number of bytes discarded at once.
const DISCARD_BUFFER_BYTES: usize = 4096;

/// What the kernel does when a socket is closed, also by the end of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseMode {
    /// It resets the connection and discards the bytes that it has not sent.
    Reset,
    /// It goes on sending the bytes that were written, then closes the connection.
    Orderly,
}

/// A connected socket.
#[derive(Debug)]
pub struct Socket {
    stream: TcpStream,
    /// When bytes were last read; at first, when the socket was created.
    last_read_at: Instant,
}

impl From<TcpStream> for Socket {
    /// Wraps a connection and turns Nagle's algorithm off, so that an event does not wait for the next one.
    fn from(stream: TcpStream) -> Socket {
        // This can fail if the connection has ended, which the first read or write reports.
        let _ = stream.set_nodelay(true);
        Socket {
            stream,
            last_read_at: Instant::now(),
        }
    }
}

/// Repeats a system call while signals interrupt it.
///
/// # Errors
///
/// Fails with any other error of the call.
pub fn uninterrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

impl Socket {
    /// Checks without waiting whether the kernel has input: 1 means that there are bytes, 0 that the peer has closed its
    /// end. This queries the kernel, since the runtime may not have been notified of either yet.
    ///
    /// # Errors
    ///
    /// Fails with `WouldBlock` if there is nothing to read, or with the connection's own error.
    pub fn unread(&self) -> io::Result<usize> {
        uninterrupted(|| socket2::SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]))
    }

    /// The time since the last read if everything that has arrived was read; `None` if the kernel has input that was not read
    /// yet. After the process stood still, or within a message whose bytes come one by one, this tells whether the peer is
    /// silent.
    pub fn silence(&self) -> Option<Duration> {
        match self.unread() {
            Err(e) if e.kind() == ErrorKind::WouldBlock => Some(self.last_read_at.elapsed()),
            Ok(_) | Err(_) => None,
        }
    }

    /// Waits until there are bytes to read, without consuming them. 0 means that the peer has closed its end. Cancel-safe.
    ///
    /// # Errors
    ///
    /// Fails with the connection's own error.
    pub async fn peek(&self) -> io::Result<usize> {
        let mut byte = [0];
        loop {
            match self.stream.peek(&mut byte).await {
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                result => return result,
            }
        }
    }

    /// Reads available bytes without waiting; 0 means that the peer has closed its end.
    ///
    /// # Errors
    ///
    /// Fails with `WouldBlock` if there is nothing to read, or with the connection's own error.
    pub fn try_read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        uninterrupted(|| self.stream.try_read(buffer))
    }

    /// Waits until the socket is ready for the given operations. Cancel-safe.
    ///
    /// # Errors
    ///
    /// Fails if the runtime is shutting down.
    pub async fn ready(&self, interest: Interest) -> io::Result<Ready> {
        self.stream.ready(interest).await
    }

    /// Waits until there may be something to read. Cancel-safe.
    ///
    /// # Errors
    ///
    /// Fails if the runtime is shutting down.
    pub async fn readable(&self) -> io::Result<()> {
        self.stream.readable().await
    }

    /// The socket's own address.
    ///
    /// # Errors
    ///
    /// Fails with the system's error, which a connected socket does not return.
    pub fn local_addr(&self) -> io::Result<std::net::SocketAddr> {
        self.stream.local_addr()
    }

    /// The peer's address.
    ///
    /// # Errors
    ///
    /// Fails if the connection has ended.
    pub fn peer_addr(&self) -> io::Result<std::net::SocketAddr> {
        self.stream.peer_addr()
    }

    /// Sets what happens when the socket is closed; [`CloseMode::Orderly`] at first.
    pub fn set_close_mode(&self, mode: CloseMode) {
        let linger = match mode {
            CloseMode::Reset => Some(Duration::ZERO),
            CloseMode::Orderly => None,
        };
        if let Err(e) = socket2::SockRef::from(&self.stream).set_linger(linger) {
            tracing::debug!(why = %e, ?mode, "the close mode of a connection can't be set");
        }
    }

    /// The bytes that were written but not sent or not acknowledged yet. Empty if the system does not report them.
    pub fn send_queue(&self) -> SendQueue {
        SendQueue::read(&self.stream).unwrap_or_default()
    }

    /// Reads and discards input, up to a limit, until the peer has closed its end. Closing with unread bytes would reset the
    /// connection, and the peer would lose the end of the last response.
    pub async fn discard_input(&mut self) {
        let mut buffer = [0; DISCARD_BUFFER_BYTES];
        let mut remaining = MAX_DISCARDED_BYTES;
        while let Ok(length @ 1..) = self.read(&mut buffer).await {
            remaining = remaining.saturating_sub(length);
            if remaining == 0 {
                return;
            }
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let socket = self.get_mut();
        let stream = &socket.stream;
        loop {
            // The runtime's own `poll_read` waits for a new readiness event after a short read, but the kernel may not send
            // one for bytes that have already arrived. So this waits only after a read has returned `WouldBlock`.
            ready!(stream.poll_read_ready(context))?;
            let length = buffer.remaining().min(MAX_READ_BYTES);
            match uninterrupted(|| stream.try_read(buffer.initialize_unfilled_to(length))) {
                Ok(read) => {
                    buffer.advance(read);
                    socket.last_read_at = Instant::now();
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let stream = &self.stream;
        loop {
            ready!(stream.poll_write_ready(context))?;
            match uninterrupted(|| stream.try_write(bytes)) {
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let stream = Pin::new(&mut self.get_mut().stream);
        stream.poll_shutdown(context)
    }
}
