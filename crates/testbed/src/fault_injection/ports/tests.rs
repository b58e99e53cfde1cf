//! Ports that a fleet lets go of for the moment in which its nodes start.

use super::*;

/// Far more than the fleets of one process take.
const MANY: usize = 2_000;

/// Guards against a fleet whose lease server can't start: the others of one process took its port in that moment, and
/// while one lease server of a new fleet is missing nobody ever holds a lease.
#[tokio::test]
async fn gives_out_each_restart_port_once() {
    let mut ports = std::collections::BTreeSet::new();
    for _ in 0..MANY {
        let bound = bind_restart_port().await.unwrap();
        let port = bound.socket.local_addr().unwrap().port();
        let range = FIRST_RESTART_PORT..FIRST_RESTART_PORT + RESTART_PORT_COUNT;
        assert!(range.contains(&port));
        assert!(ports.insert(port), "{port} is given out twice");
    }
}
