//! A node as a process with stub servers, and clients that send it requests: for tests and benches.
//!
//! `node` starts the process, `client` sends requests and reads responses, `stub_replica` stands in for a replica that a test
//! drives byte by byte, `drainable_replica` for one that drains and for a scripted discovery service,
//! `late_listener` for one whose connections come up late.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]
#![allow(
    dead_code,
    unused_imports,
    reason = "each file of tests uses a part of this module"
)]

mod client;
mod drainable_replica;
pub mod http_head;
mod late_listener;
mod node;
mod stub_replica;
pub mod watcher;

pub use client::{
    read_response, read_some, request_text, run_clients, send_request, send_request_within,
};
pub use drainable_replica::{DrainableReplica, PollAnswer, ScriptedDiscovery};
pub use late_listener::{
    entry, expect_no_bytes, expect_no_request, full_listener, is_connecting_to,
};
pub use node::{Node, NodeBuilder};
pub use stub_replica::{accept_request, answer_poll};

use std::time::{Duration, Instant};

/// How long a test waits for anything. Only a hang takes this long.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// How often a test looks whether something holds.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Waits until something holds; `what` names it where it never does.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < TEST_TIMEOUT, "{what} never came");
        std::thread::sleep(POLL_INTERVAL);
    }
}
