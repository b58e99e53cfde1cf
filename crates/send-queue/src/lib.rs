//! Reads the send queue of a TCP socket: how much of what was written the kernel has not sent yet, and how much the peer's
//! machine has not acknowledged.
//!
//! A completed write only means that the kernel has accepted the bytes. If the peer does not read, they stay in the kernel's
//! send queue, and an ordinary close of the socket leaves them there: the kernel goes on sending them.

use std::io;
use std::os::fd::{AsFd, AsRawFd, BorrowedFd};

/// `SIOCOUTQNSD` of `linux/sockios.h`: bytes of the send queue that have not been sent.
const UNSENT_BYTES_REQUEST: libc::Ioctl = 0x894B;
/// `SIOCOUTQ` of `linux/sockios.h`: bytes of the send queue that have not been acknowledged.
const UNACKNOWLEDGED_BYTES_REQUEST: libc::Ioctl = libc::TIOCOUTQ;

/// The bytes in the send queue of a TCP socket.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SendQueue {
    /// Bytes that this machine has not sent yet. The peer can't have received them.
    pub unsent_bytes: usize,
    /// Bytes that the peer's machine has not acknowledged, including the unsent ones.
    pub unacknowledged_bytes: usize,
}

impl SendQueue {
    /// Reads the queue of a connected socket.
    ///
    /// # Errors
    ///
    /// Fails with the system's error if the descriptor is not a TCP socket.
    pub fn read(socket: impl AsFd) -> io::Result<SendQueue> {
        let socket = socket.as_fd();
        // Read first: bytes may be sent and acknowledged between the two calls, but not the other way round.
        let unsent_bytes = query(socket, UNSENT_BYTES_REQUEST)?;
        let unacknowledged_bytes = query(socket, UNACKNOWLEDGED_BYTES_REQUEST)?;
        Ok(SendQueue {
            unsent_bytes: unsent_bytes.min(unacknowledged_bytes),
            unacknowledged_bytes,
        })
    }
}

fn query(socket: BorrowedFd<'_>, request: libc::Ioctl) -> io::Result<usize> {
    let mut bytes: libc::c_int = 0;
    // SAFETY: both requests write one `int` through the pointer, which is valid throughout the call.
    let result = unsafe { libc::ioctl(socket.as_raw_fd(), request, &raw mut bytes) };
    if result < 0 {
        return Err(io::Error::last_os_error());
    }
    Ok(usize::try_from(bytes).unwrap_or(0))
}
