//! Tests of port allocation.

use super::*;
use crate::sockets::restart_ports::FIRST_RESTART_PORT;

/// Far more ports than the fleets of one process use.
const ALLOCATION_COUNT: usize = 2_000;

/// Guards against a lease server that cannot start because another fleet of the same process bound its port just before
/// the start. While one lease server of a new fleet is missing, no node acquires a lease.
#[tokio::test]
async fn allocates_each_restart_port_once() {
    let mut ports = std::collections::BTreeSet::new();
    for _ in 0..ALLOCATION_COUNT {
        let bound = bind_restart_port().await.unwrap();
        let port = bound.socket.local_addr().unwrap().port();
        let range = FIRST_RESTART_PORT..FIRST_RESTART_PORT + RESTART_PORT_COUNT;
        assert!(range.contains(&port));
        assert!(ports.insert(port), "port {port} was allocated twice");
    }
}
