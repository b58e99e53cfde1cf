//! The bytes that a client sends before the response to its current request is complete.

use crate::protocol::request::MAX_BODY_BYTES;
use crate::transport::client::registry::{BodyMemoryPermit, ConnectionRegistry};
use std::rc::Rc;

/// Number of bytes that are kept for each connection, however much memory others use.
const UNCOUNTED_BYTES: usize = 16 * 1024;
/// Maximum number of bytes kept for one connection: a request with the longest body.
const MAX_KEPT_BYTES: usize = UNCOUNTED_BYTES + MAX_BODY_BYTES;
/// Maximum number of bytes discarded for one connection. A client that sends more is not served any further.
const MAX_DISCARDED_BYTES: usize = 16 * 1024 * 1024;

/// What a client has sent ahead: its memory, and whether some of it was discarded.
pub(super) struct SentAhead {
    registry: Rc<ConnectionRegistry>,
    memory: BodyMemoryPermit,
    has_overrun: bool,
    discarded_bytes: usize,
}

impl SentAhead {
    pub(super) fn new(registry: Rc<ConnectionRegistry>) -> SentAhead {
        SentAhead {
            memory: BodyMemoryPermit::new(registry.clone()),
            registry,
            has_overrun: false,
            discarded_bytes: 0,
        }
    }

    /// Whether bytes were discarded. The connection can then serve no further request.
    pub(super) fn has_overrun(&self) -> bool {
        self.has_overrun
    }

    /// Takes memory for further bytes in addition to those that are kept already. Returns false if they must be discarded, and
    /// all that follow.
    pub(super) fn try_keep(&mut self, new_bytes: usize, kept_bytes: usize) -> bool {
        let total = kept_bytes + new_bytes;
        let is_within_limit = total <= UNCOUNTED_BYTES
            || (total <= MAX_KEPT_BYTES && self.memory.try_grow_read_ahead(new_bytes));
        self.has_overrun |= !is_within_limit;
        !self.has_overrun
    }

    pub(super) fn record_discarded(&mut self, bytes: usize) {
        self.discarded_bytes += bytes;
    }

    /// Whether so much was discarded that the client counts as one that has left.
    pub(super) fn is_endless(&self) -> bool {
        self.discarded_bytes > MAX_DISCARDED_BYTES
    }

    /// Frees the memory once the bytes have been read as a request.
    pub(super) fn release(&mut self) {
        self.memory = BodyMemoryPermit::new(self.registry.clone());
    }
}
