//! One poll of the discovery service: an HTTP request for the endpoint list and its response on one connection.
//!
//! This module has timeouts only for connecting and for a response that has begun: the watcher limits the total time of an
//! exchange, which may be long because the service delays its answer, and drops the exchange if the service moves. A dropped exchange leaves the connection in the middle of a
//! message, so the connection must be dropped with it.

use crate::protocol::discovery::{parse_endpoint_list, EndpointListError, EndpointListResponse};
use crate::protocol::http::{
    EncodedMessage, HttpCodec, HttpParseError, MessagePart, Role, StartLine,
};
use crate::protocol::request;
use crate::transport::HttpConnection;
use futures_util::{SinkExt, StreamExt};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio_util::codec::Framed;

/// Maximum length of a response body.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// A response without further bytes for this time has stalled. Discovery considers the node notified of a draining replica
/// once the response has begun, so the limit leaves time for another poll within the drain grace.
const MAX_RESPONSE_GAP: Duration = Duration::from_millis(300);

/// A response that has begun must be complete within this time, and the time that its body takes at
/// [`MIN_TRANSFER_BYTES_PER_MILLI`]. Otherwise a service that sends it byte by byte would keep the node from polling again.
const MAX_RESPONSE_TIME: Duration = Duration::from_secs(2);

/// The rate at which a long list must arrive, in bytes per millisecond.
const MIN_TRANSFER_BYTES_PER_MILLI: usize = 256;

/// Status of a response with a list.
const STATUS_OK: u16 = 200;

/// Why a poll did not return a list.
#[derive(Debug, thiserror::Error)]
pub(super) enum PollError {
    /// The connection was not established in time.
    #[error("connect timeout")]
    ConnectTimeout,
    /// The connection could not be opened, or failed before the first byte of a response.
    #[error("{0}")]
    Connect(#[source] std::io::Error),
    /// The request could not be sent.
    #[error("{0}")]
    Http(HttpParseError),
    /// The service closed the connection without a response.
    #[error("connection closed without a response")]
    Closed,
    /// The service closed the connection before the response was complete.
    #[error("connection closed before the response was complete")]
    ClosedMidResponse,
    /// The response stopped for [`MAX_RESPONSE_GAP`].
    #[error("response stalled for {} ms", MAX_RESPONSE_GAP.as_millis())]
    Stalled,
    /// The response had begun, but took longer than [`MAX_RESPONSE_TIME`] and its length allow.
    #[error("response of {received_bytes} bytes so far is too slow")]
    TooSlow {
        /// The length of the body so far.
        received_bytes: usize,
    },
    /// The connection failed before the response was complete, or the response is not valid HTTP.
    #[error("{0}")]
    Incomplete(HttpParseError),
    /// The response body is longer than [`MAX_RESPONSE_BYTES`].
    #[error("response body longer than {MAX_RESPONSE_BYTES} bytes")]
    TooLong,
    /// The status of the response is not 200.
    #[error("status {0}, expected 200")]
    Status(u16),
    /// The response body is not JSON.
    #[error("response is not JSON: {0}")]
    Json(#[source] serde_json::Error),
    /// The response is not an endpoint list.
    #[error("{0}")]
    List(#[source] EndpointListError),
    /// The response has changes of an earlier version than the list that the node has.
    #[error("response has changes of version {version}, expected {known_version} or later")]
    OlderChanges {
        /// The version of the response.
        version: u64,
        /// The version of the list that the node has.
        known_version: u64,
    },
    /// No complete response arrived in time.
    #[error("no complete response in time")]
    Timeout,
}

impl PollError {
    /// Whether the service refused the connection.
    pub(super) fn is_unreachable(&self) -> bool {
        matches!(self, PollError::Connect(e) if e.kind() == ErrorKind::ConnectionRefused)
    }

    /// Whether a part of a response arrived that may have been a list.
    pub(super) fn is_incomplete_response(&self) -> bool {
        matches!(
            self,
            PollError::ClosedMidResponse
                | PollError::Stalled
                | PollError::TooSlow { .. }
                | PollError::Incomplete(_)
                | PollError::Json(_)
                | PollError::List(_)
                | PollError::OlderChanges { .. }
        )
    }
}

#[derive(Clone, Copy, Debug)]
pub(super) struct PollRequest {
    /// The address of the service, for the request's `Host`.
    pub(super) service_addr: SocketAddr,
    /// The version of the list that the node has. Only newer changes are requested; 0 requests the full list.
    pub(super) known_version: u64,
    /// How long the service may delay its answer until there is a newer list.
    pub(super) wait: Duration,
}

/// A complete response.
pub(super) struct PollResponse {
    status: u16,
    body: Vec<u8>,
    /// Whether the connection may be reused for another request.
    pub(super) keeps_connection: bool,
}

/// Opens a connection to the service.
///
/// # Errors
/// Fails if the connection is refused, or not established within `timeout`.
pub(super) async fn connect(
    service_addr: SocketAddr,
    timeout: Duration,
) -> Result<HttpConnection, PollError> {
    let socket = tokio::time::timeout(timeout, TcpStream::connect(service_addr))
        .await
        .map_err(|_| PollError::ConnectTimeout)?
        .map_err(PollError::Connect)?;
    Ok(Framed::new(socket.into(), HttpCodec::new(Role::Client)))
}

/// Sends the request of a poll.
///
/// # Errors
/// Fails if the connection fails.
pub(super) async fn send(
    connection: &mut HttpConnection,
    poll: PollRequest,
) -> Result<(), PollError> {
    let target = format!(
        "/v1/servers?since={}&timeout_ms={}",
        poll.known_version,
        poll.wait.as_millis()
    );
    let head = request::get_request(&target, &poll.service_addr.to_string());
    connection
        .send(EncodedMessage::Raw(head))
        .await
        .map_err(PollError::Http)
}

/// Waits for the first byte of a response.
///
/// # Errors
/// Fails if the connection fails or closes first.
pub(super) async fn wait_for_response(connection: &HttpConnection) -> Result<(), PollError> {
    match connection.get_ref().peek().await {
        Ok(0) => Err(PollError::Closed),
        Ok(_) => Ok(()),
        Err(e) => Err(PollError::Connect(e)),
    }
}

/// Reads a response that has begun, with any status.
///
/// # Errors
/// Fails if the connection fails, stalls or closes before the response is complete, or if the response is too slow or too
/// long.
pub(super) async fn read_response(
    connection: &mut HttpConnection,
) -> Result<PollResponse, PollError> {
    let mut response = PollResponse {
        status: 0,
        body: Vec::new(),
        keeps_connection: false,
    };
    let began_at = Instant::now();
    loop {
        let deadline = began_at + max_transfer_time(response.body.len());
        let stall_at = Instant::now() + MAX_RESPONSE_GAP;
        let part = tokio::time::timeout_at(deadline.min(stall_at), connection.next()).await;
        let Ok(part) = part else {
            return Err(if deadline < stall_at {
                PollError::TooSlow {
                    received_bytes: response.body.len(),
                }
            } else {
                PollError::Stalled
            });
        };
        match part {
            Some(Ok(MessagePart::Head(head))) => {
                response.keeps_connection = head.keeps_connection;
                response.status = match head.start_line {
                    StartLine::Status(status) => status,
                    StartLine::Request { .. } => 0,
                };
            }
            Some(Ok(MessagePart::Body(bytes))) => {
                if response.body.len() + bytes.len() > MAX_RESPONSE_BYTES {
                    return Err(PollError::TooLong);
                }
                response.body.extend_from_slice(&bytes);
            }
            Some(Ok(MessagePart::End)) => return Ok(response),
            Some(Err(fault)) => return Err(PollError::Incomplete(fault)),
            None => return Err(PollError::ClosedMidResponse),
        }
    }
}

/// How long a response may take of whose body this much has arrived.
fn max_transfer_time(received_bytes: usize) -> Duration {
    let body_millis = received_bytes / MIN_TRANSFER_BYTES_PER_MILLI;
    MAX_RESPONSE_TIME + Duration::from_millis(body_millis as u64)
}

impl PollResponse {
    /// Checks that the response's status is 200.
    ///
    /// # Errors
    /// Returns any other status.
    pub(super) fn check_status(&self) -> Result<(), PollError> {
        if self.status == STATUS_OK {
            Ok(())
        } else {
            Err(PollError::Status(self.status))
        }
    }

    /// Parses the list.
    ///
    /// # Errors
    /// Fails if the body is not JSON, or not an endpoint list.
    pub(super) fn parse(&self) -> Result<EndpointListResponse, PollError> {
        let list = serde_json::from_slice(&self.body).map_err(PollError::Json)?;
        parse_endpoint_list(&list).map_err(PollError::List)
    }
}
