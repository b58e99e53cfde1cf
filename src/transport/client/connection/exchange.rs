//! Serves one request: reads its body, passes it to the dispatcher, and sends the client the response.

use super::disconnect::ClientDisconnected;
use super::requests::BodyError;
use super::responses::LocalResponse;
use super::streams::StreamEnd;
use super::{log_lifecycle, ClientConnection, CloseReason, ConnectionClosed};
use crate::protocol::http::{EncodedMessage, Head};
use crate::protocol::request::{self, RequestError, Route};
use crate::transport::client::registry::BodyMemoryPermit;
use crate::transport::messages::{
    ClientRequest, ClientResponse, DispatcherMessage, RequestPayload, StreamChunk,
};
use crate::transport::replica::stream_recovery::{StreamRecovery, StreamedRequest};
use bytes::Bytes;
use poppykeel_scheduler::{IncomingRequest, ReplicaId, RequestId};
use poppykeel_site_settings::SiteSettings;
use tokio::sync::{mpsc, oneshot};

/// Why the dispatcher sent no response to a request.
#[derive(Debug, PartialEq, thiserror::Error)]
pub(super) enum DispatchError {
    /// The client has disconnected.
    #[error(transparent)]
    ClientDisconnected(#[from] ClientDisconnected),
    /// The dispatcher has ended.
    #[error("the dispatcher has ended")]
    DispatcherEnded,
}

impl From<DispatchError> for ConnectionClosed {
    fn from(error: DispatchError) -> ConnectionClosed {
        match error {
            DispatchError::ClientDisconnected(disconnected) => disconnected.into(),
            DispatchError::DispatcherEnded => ConnectionClosed(CloseReason::DispatcherEnded),
        }
    }
}

/// A completion request to which the dispatcher has responded.
struct DispatchedRequest {
    request: IncomingRequest,
    head: Head,
    body: Bytes,
    body_memory: BodyMemoryPermit,
    /// Whether the connection closes after the response.
    is_last: bool,
}

/// A replica's stream whose first token has arrived.
struct ReplicaStream {
    content_type: String,
    replica: ReplicaId,
    chunks: mpsc::Receiver<StreamChunk>,
}

impl ClientConnection {
    /// Serves the request with this head. An error closes the connection.
    pub(super) async fn serve(&mut self, head: Head) -> Result<(), ConnectionClosed> {
        let route = match request::route(&head) {
            Ok(route) => route,
            Err(reject) => return Err(self.reject(&reject, None).await),
        };
        let mut body_memory = BodyMemoryPermit::new(self.registry.clone());
        let body = match self.read_body(&head, &mut body_memory).await {
            Ok(body) => body,
            Err(BodyError::Closed(closed)) => return Err(closed),
            Err(BodyError::Rejected {
                reject,
                retry_after,
            }) => return Err(self.reject(&reject, retry_after).await),
        };
        match route {
            Route::Health => self.serve_health(&head).await,
            Route::Completions => self.serve_completion(head, body, body_memory).await,
        }
    }

    async fn serve_health(&mut self, head: &Head) -> Result<(), ConnectionClosed> {
        let is_draining = self.is_last_response();
        let (status, text) = if is_draining {
            (503, "draining")
        } else {
            (200, "ok")
        };
        self.respond(LocalResponse {
            status,
            text,
            retry_after: None,
            is_last: is_draining || !head.keeps_connection,
        })
        .await
    }

    /// Serves a completion request whose body has been read.
    async fn serve_completion(
        &mut self,
        head: Head,
        body: Bytes,
        body_memory: BodyMemoryPermit,
    ) -> Result<(), ConnectionClosed> {
        let site = self.registry.site();
        let request = match request::parse_request(&head.headers, &site.names, body.len()) {
            Ok(request) => request,
            Err(reject) => return Err(self.reject(&reject, None).await),
        };
        let id = request.id;
        if !self.registry.shutdown().admits_requests() {
            return Err(self.reject_during_shutdown().await);
        }
        self.log_admitted(&request);
        let payload = RequestPayload {
            head: request::replica_request_head(&head, body.len(), None),
            body: body.clone(),
        };
        let response = match self.dispatch(request.clone(), payload).await {
            Ok(response) => response,
            Err(DispatchError::ClientDisconnected(disconnected)) => {
                return Err(self.report_disconnect(id, disconnected.into()).await);
            }
            Err(DispatchError::DispatcherEnded) => {
                return Err(ConnectionClosed(CloseReason::DispatcherEnded));
            }
        };
        let is_last = self.is_last_response() || !head.keeps_connection;
        let dispatched = DispatchedRequest {
            request,
            head,
            body,
            body_memory,
            is_last,
        };
        self.send_response(&site, dispatched, response).await
    }

    fn log_admitted(&self, request: &IncomingRequest) {
        log_lifecycle!(
            self,
            request = %request.id,
            nth = self.request_count,
            deadline_s = request.time_left,
            "request admitted"
        );
    }

    /// Sends the client the response to its request.
    async fn send_response(
        &mut self,
        site: &SiteSettings,
        dispatched: DispatchedRequest,
        response: ClientResponse,
    ) -> Result<(), ConnectionClosed> {
        let id = dispatched.request.id;
        let is_last = dispatched.is_last;
        match response {
            ClientResponse::Stream {
                content_type,
                replica,
                chunks,
            } => {
                let stream = ReplicaStream {
                    content_type,
                    replica,
                    chunks,
                };
                self.send_stream(site, dispatched, stream).await
            }
            ClientResponse::Duplicate => {
                let reject = RequestError {
                    status: 400,
                    reason: "Req-Id is that of a request that is being served or may have run"
                        .to_string(),
                };
                Err(self.reject(&reject, None).await)
            }
            ClientResponse::Rejected(retry_after) => {
                log_lifecycle!(self, request = %id, status = 503, "request rejected by the dispatcher");
                self.respond(LocalResponse {
                    status: 503,
                    text: "no replica has room for this request now",
                    retry_after: Some(retry_after),
                    is_last,
                })
                .await
            }
            ClientResponse::Failed => {
                log_lifecycle!(self, request = %id, status = 502, "request failed");
                self.respond(LocalResponse {
                    status: 502,
                    text: "the replicas failed this request",
                    retry_after: None,
                    is_last,
                })
                .await
            }
        }
    }

    /// Sends a stream to the client, and recovers it if it is interrupted and can be recovered.
    async fn send_stream(
        &mut self,
        site: &SiteSettings,
        dispatched: DispatchedRequest,
        stream: ReplicaStream,
    ) -> Result<(), ConnectionClosed> {
        let DispatchedRequest {
            request,
            head,
            body,
            body_memory,
            is_last,
        } = dispatched;
        let ReplicaStream {
            content_type,
            replica,
            chunks,
        } = stream;
        let id = request.id;
        log_lifecycle!(self, request = %id, replica = %replica.0, "stream started");
        let streamed = StreamedRequest {
            request,
            head,
            body,
            replica,
        };
        let monitor = self.registry.stream_monitor();
        let mut recovery = StreamRecovery::new(monitor, site, streamed, &content_type);
        // Only a stream that can be recovered keeps its request body, and thus the body's memory, until it ends.
        let _body_memory = recovery.is_some().then_some(body_memory);
        let response_head = request::stream_response_head(&content_type, is_last);
        self.feed(EncodedMessage::Raw(response_head)).await?;
        let end = match &mut recovery {
            None => self.forward_stream(chunks).await,
            Some(recovery) => self.forward_recoverable_stream(recovery, chunks).await,
        };
        self.log_stream_end(id, &end);
        match end {
            Ok(StreamEnd::Complete) if !is_last => Ok(()),
            Ok(StreamEnd::Complete) => Err(ConnectionClosed(CloseReason::LastResponse)),
            // The missing last chunk shows the client that the stream is incomplete.
            Ok(StreamEnd::Broken) => Err(ConnectionClosed(CloseReason::StreamBroken)),
            Err(closed) => {
                let last_id = recovery.map_or(id, |recovery| recovery.request_id());
                Err(self.report_disconnect(last_id, closed).await)
            }
        }
    }

    fn log_stream_end(&self, id: RequestId, end: &Result<StreamEnd, ConnectionClosed>) {
        let is_complete = *end == Ok(StreamEnd::Complete);
        log_lifecycle!(self, request = %id, whole = is_complete, "stream ended");
    }

    /// Sends a request to the dispatcher and waits for the response while the client stays connected.
    pub(super) async fn dispatch(
        &mut self,
        request: IncomingRequest,
        payload: RequestPayload,
    ) -> Result<ClientResponse, DispatchError> {
        let (response, responded) = oneshot::channel();
        let owner = self.registry.new_request_owner();
        self.owner = owner;
        // The dispatcher's channel may be full. If the client disconnects in the meantime, the request is not sent.
        let dispatcher = self.registry.dispatcher().clone();
        let Ok(permit) = self.until_disconnected(dispatcher.reserve()).await? else {
            return Err(DispatchError::DispatcherEnded);
        };
        permit.send(DispatcherMessage::ClientRequest(ClientRequest {
            request,
            payload,
            response,
            owner,
        }));
        let response = self.until_disconnected(responded).await?;
        response.map_err(|_| DispatchError::DispatcherEnded)
    }

    /// Notifies the dispatcher that the client of this request has disconnected.
    async fn report_disconnect(
        &mut self,
        id: RequestId,
        closed: ConnectionClosed,
    ) -> ConnectionClosed {
        log_lifecycle!(self, request = %id, why = closed.0.label(), "client connection lost during the request");
        let message = DispatcherMessage::ClientDisconnected {
            request: id,
            owner: self.owner,
        };
        // Sending fails only if the dispatcher has ended; it then serves no requests.
        let _ = self.registry.dispatcher().send(message).await;
        closed
    }
}
