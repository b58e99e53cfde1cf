//! Test support: a node in a process of its own, stub servers, and clients that send requests to the node.
//!
//! `node` starts the process, `client` sends requests and reads responses, `stub_replica` is a replica that a test drives byte
//! by byte, `drainable_replica` has a replica that can drain and a scripted discovery service, `full_listener` delays
//! connections, and `watcher` runs the endpoint watcher without a node.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]
#![allow(
    dead_code,
    unused_imports,
    reason = "each test file uses a part of this module"
)]

mod client;
mod drainable_replica;
mod full_listener;
pub mod http_head;
mod node;
mod stub_replica;
pub mod watcher;

pub use client::{
    read_response, read_some, request_text, run_clients, send_request, send_request_within,
};
pub use drainable_replica::{DrainableReplica, PollAnswer, ScriptedDiscovery};
pub use full_listener::{
    entry, expect_no_bytes, expect_no_request, full_listener, is_connecting_to,
};
pub use node::{Node, NodeBuilder};
pub use stub_replica::{accept_request, answer_poll};

use std::time::{Duration, Instant};

/// Time limit of each wait of a test. Exceeded only if the node hangs.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// How often a test checks a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Waits until a condition holds; `what` names it in the error.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(
            start.elapsed() < TEST_TIMEOUT,
            "timed out waiting for {what}"
        );
        std::thread::sleep(POLL_INTERVAL);
    }
}
