//! Attempts at a replica without a node round them.

use bytes::Bytes;
use poppykeel::program::config::NodeConfig;
use poppykeel::routing::MonotonicMicros;
use poppykeel::transport::clock::Clock;
use poppykeel::transport::messages::{DispatcherMessage, RequestPayload};
use poppykeel::transport::replica::attempts::{AttemptRequest, ReplicaClient};
use poppykeel::transport::replica::pool::{ConnectionPool, ReplicaAddress};
use poppykeel::transport::replica::stream_monitor::{StreamMonitor, StreamSettings};
use poppykeel::transport::TransportLimits;
use poppykeel_scheduler::RequestId;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

const MINUTE: Duration = Duration::from_secs(60);

/// A replica client with this reuse delay, which reports to `dispatcher`.
pub fn replica_client(
    config: NodeConfig,
    reuse_delay: Duration,
    dispatcher: mpsc::Sender<DispatcherMessage>,
    clock: Clock,
) -> ReplicaClient {
    let limits = TransportLimits {
        reuse_delay,
        ..config.transport_limits
    };
    ReplicaClient::new(
        ConnectionPool::new(9, MINUTE, MINUTE),
        dispatcher,
        Rc::new(config.settings),
        Rc::new(limits),
        Rc::new(StreamMonitor::new(clock, StreamSettings::default())),
        clock,
    )
}

/// The first attempt of a request, without limits of time.
pub fn attempt_request(request: u64, address: ReplicaAddress, body: Bytes) -> AttemptRequest {
    let payload = RequestPayload {
        head: b"POST / HTTP/1.1\r\n".to_vec(),
        body,
    };
    AttemptRequest {
        request: RequestId(request),
        attempt: 0,
        address,
        placed_at: 0,
        deadline: MonotonicMicros::MAX,
        write_by: None,
        begin_by: None,
        inter_token_objective: None,
        cross_zone_group: None,
        payload: Rc::new(payload),
        has_begun: Rc::default(),
    }
}
