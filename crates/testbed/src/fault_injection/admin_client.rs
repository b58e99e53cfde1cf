//! Client of the nodes' admin interface.

use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// The status of an accepted call, and of the readiness check of a ready node.
pub(super) const STATUS_OK: u16 = 200;
/// The status of the readiness check of a node that is not ready.
pub(super) const STATUS_UNAVAILABLE: u16 = 503;

pub(super) struct AdminResponse {
    pub(super) status: u16,
    pub(super) body: String,
}

/// The node that holds the lease of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LeaseHolder {
    pub(super) node: usize,
    pub(super) epoch: u64,
}

/// Sends a request such as `GET /api/fleet`. Returns `None` if the node does not send a valid response in time. Dropping
/// the future closes the connection.
pub(super) async fn call(node: SocketAddr, request_line: &str) -> Option<AdminResponse> {
    let response = exchange(node, request_line);
    tokio::time::timeout(CALL_TIMEOUT, response).await.ok()?
}

async fn exchange(node: SocketAddr, request_line: &str) -> Option<AdminResponse> {
    let mut stream = TcpStream::connect(node).await.ok()?;
    let request = format!("{request_line} HTTP/1.1\r\nHost: {node}\r\nContent-Length: 0\r\n\r\n");
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut response = String::new();
    stream.read_to_string(&mut response).await.ok()?;
    let (head, body) = response.split_once("\r\n\r\n")?;
    Some(AdminResponse {
        status: head.split(' ').nth(1)?.parse().ok()?,
        body: body.to_string(),
    })
}

pub(super) async fn get_json(node: SocketAddr, path: &str) -> Option<Value> {
    let response = call(node, &format!("GET {path}")).await?;
    serde_json::from_str(&response.body).ok()
}

/// Returns the fleet status as this node sees it.
pub(super) async fn get_fleet_status(node: SocketAddr) -> Option<Value> {
    get_json(node, "/api/fleet").await
}

pub(super) async fn get_readiness(node: SocketAddr) -> Option<AdminResponse> {
    call(node, "GET /api/ready").await
}

/// The epoch under which the node with this status holds the lease of a task, or `None` if it does not hold it.
pub(super) fn held_epoch(fleet_status: &Value, task: &str) -> Option<u64> {
    let claims = fleet_status["claims"].as_array()?;
    let claim = claims.iter().find(|claim| claim["task"] == task)?;
    claim["held_epoch"].as_u64()
}

/// The first node that reports that it holds the lease of a task.
pub(super) async fn find_holder(nodes: &[SocketAddr], task: &str) -> Option<LeaseHolder> {
    for (node, address) in nodes.iter().enumerate() {
        let status = get_fleet_status(*address).await;
        if let Some(epoch) = status.and_then(|status| held_epoch(&status, task)) {
            return Some(LeaseHolder { node, epoch });
        }
    }
    None
}
