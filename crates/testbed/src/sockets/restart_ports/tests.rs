//! Tests of the ports of servers that restart.

use super::{FIRST_RESTART_PORT, RESTART_PORT_COUNT};
use crate::emulator::model_server::ServerProfile;
use crate::sockets::StubModelServer;
use tokio::task::LocalSet;

/// Guards against a stub model server that cannot restart because an outgoing connection has taken its port meanwhile.
#[tokio::test]
async fn model_server_listens_on_a_port_that_no_outgoing_connection_takes() {
    let start = StubModelServer::start(ServerProfile::default());
    let server = LocalSet::new().run_until(start).await;
    let port = server.ok().map(|server| server.address().port());
    let range = FIRST_RESTART_PORT..FIRST_RESTART_PORT + RESTART_PORT_COUNT;
    assert!(port.is_some_and(|port| range.contains(&port)), "{port:?}");
}
