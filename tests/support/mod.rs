//! Test support: a node in a process of its own, stub servers, and clients that send requests to the node.
//!
//! `node` starts the process, `client` sends requests and reads responses, `stub_replica` accepts requests and polls
//! for tests that write the responses themselves, `drainable_replica` has a replica that can drain and a scripted discovery
//! service, `free_address` finds addresses for the nodes of a fleet, `full_listener` delays connections, and `watcher` runs the
//! endpoint watcher without a node.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]
#![allow(
    dead_code,
    unused_imports,
    reason = "each test file uses a part of this module"
)]

mod client;
mod drainable_replica;
mod free_address;
mod full_listener;
pub mod http_head;
mod node;
mod stub_replica;
pub mod watcher;

pub use client::{
    format_request, read_response, read_some, run_clients, send_request, send_request_within,
};
pub use drainable_replica::{DrainableReplica, PollAnswer, ScriptedDiscovery};
pub use free_address::free_address;
pub use full_listener::{
    endpoint_entry, expect_no_bytes, expect_no_request, is_connecting_to, start_full_listener,
};
pub use node::{Node, NodeBuilder};
pub use stub_replica::{accept_request, answer_poll};

use std::time::{Duration, Instant};

/// Time limit of each wait of a test; a wait takes longer only if the node hangs.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Waits until a condition holds. Panics after [`TEST_TIMEOUT`] with `what`, the name of the condition.
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
