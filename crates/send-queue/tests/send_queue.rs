//! The send queue of loopback connections whose peer reads or does not read.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use poppykeel_send_queue::SendQueue;
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};

/// Writes until the kernel accepts no more bytes. Returns the number of bytes that it has accepted.
fn fill(socket: &mut TcpStream) -> usize {
    socket.set_nonblocking(true).unwrap();
    let mut written = 0;
    loop {
        match socket.write(&[b'x'; 64 * 1024]) {
            Ok(length) => written += length,
            Err(e) if e.kind() == ErrorKind::WouldBlock => return written,
            Err(e) => panic!("{e}"),
        }
    }
}

#[test]
fn bytes_stay_queued_until_the_peer_reads() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut sender = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let mut receiver = listener.accept().unwrap().0;
    assert_eq!(SendQueue::read(&sender).unwrap(), SendQueue::default());

    let written = fill(&mut sender);
    let queue = SendQueue::read(&sender).unwrap();
    assert!(queue.unsent_bytes > 0, "{queue:?}");
    assert!(queue.unsent_bytes <= queue.unacknowledged_bytes);
    assert!(queue.unacknowledged_bytes <= written);

    receiver.read_exact(&mut vec![0; written]).unwrap();
    // The last acknowledgement may be delayed; the read of all bytes shows that they were sent.
    assert_eq!(SendQueue::read(&sender).unwrap().unsent_bytes, 0);
}

#[test]
fn descriptor_that_is_no_socket_is_an_error() {
    let file = std::fs::File::open("/dev/null").unwrap();
    assert!(SendQueue::read(&file).is_err());
}
