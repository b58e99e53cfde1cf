//! Ports that a fleet lets go of for the moment in which its nodes start.

use super::*;

/// Far more than the fleets of one process take.
const MANY: usize = 2_000;

/// Guards against a fleet whose keeper can't start: the others of one process took its port in that moment, and while
/// one keeper of a new fleet is missing nobody ever holds a task.
#[tokio::test]
async fn a_port_is_given_out_once() {
    let mut ports = std::collections::BTreeSet::new();
    for _ in 0..MANY {
        let (socket, _listener) = lasting().await.unwrap();
        let port = socket.local_addr().unwrap().port();
        assert!((FIRST..FIRST + LASTING).contains(&port));
        assert!(ports.insert(port), "{port} is given out twice");
    }
}
