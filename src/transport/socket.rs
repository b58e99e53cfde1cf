//! A TCP socket that takes system calls up again as Linux documents them: a call that a signal interrupts is made anew, and
//! a read or write that moves less than it could is no sign that the kernel has nothing more.

#![expect(clippy::missing_errors_doc, reason = "not yet converted")]

use std::io::{self, ErrorKind};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf, Ready};
use tokio::net::TcpStream;

/// Bytes read at once where the reader has room for more.
const READ_SIZE: usize = 16 * 1024;

/// A connected socket.
#[derive(Debug)]
pub struct Socket(TcpStream);

impl From<TcpStream> for Socket {
    /// Small writes go out at once: an event must not wait for the next.
    fn from(stream: TcpStream) -> Socket {
        let _ = stream.set_nodelay(true);
        Socket(stream)
    }
}

/// Makes a system call anew for as long as signals interrupt it.
pub fn uninterrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            done => return done,
        }
    }
}

impl Socket {
    /// What the kernel has for a reader: 1 where there are bytes, 0 where the other side has ended, an error of the
    /// kind `WouldBlock` where there is nothing. The runtime may not have heard of either yet.
    pub fn unread(&self) -> io::Result<usize> {
        uninterrupted(|| socket2::SockRef::from(&self.0).peek(&mut [MaybeUninit::uninit()]))
    }

    /// Waits until there are bytes, or the end: 0 bytes then.
    pub async fn peek(&self) -> io::Result<usize> {
        let mut byte = [0];
        loop {
            match self.0.peek(&mut byte).await {
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                done => return done,
            }
        }
    }

    /// Reads what the kernel has, without waiting.
    pub fn try_read(&self, piece: &mut [u8]) -> io::Result<usize> {
        uninterrupted(|| self.0.try_read(piece))
    }

    /// Waits until it is ready for this.
    pub async fn ready(&self, interest: Interest) -> io::Result<Ready> {
        self.0.ready(interest).await
    }

    /// Waits until there may be something to read.
    pub async fn readable(&self) -> io::Result<()> {
        self.0.readable().await
    }

    /// Its own address.
    pub fn local_addr(&self) -> io::Result<std::net::SocketAddr> {
        self.0.local_addr()
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let stream = &self.0;
        loop {
            // Only what the kernel itself calls empty is waited for: the runtime's own read takes a short one for the
            // last, and no further event may ever follow it.
            ready!(stream.poll_read_ready(context))?;
            let room = buffer.remaining().min(READ_SIZE);
            match uninterrupted(|| stream.try_read(buffer.initialize_unfilled_to(room))) {
                Ok(length) => {
                    buffer.advance(length);
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
        let stream = &self.0;
        loop {
            ready!(stream.poll_write_ready(context))?;
            match uninterrupted(|| stream.try_write(bytes)) {
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                done => return Poll::Ready(done),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let stream = Pin::new(&mut self.get_mut().0);
        stream.poll_shutdown(context)
    }
}
