//! Forwards streams to a client.

use super::{ClientConnection, ConnectionClosed};
use crate::protocol::http::EncodedMessage;
use crate::transport::messages::{ClientResponse, StreamChunk};
use crate::transport::replica::stream_recovery::{RecoveryStep, StreamRecovery};
use bytes::Bytes;
use tokio::sync::mpsc::{self, error::TryRecvError};

/// How a stream to a client ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StreamEnd {
    /// The client has received the complete stream and its last chunk.
    Complete,
    /// The stream is incomplete, and the client gets no last chunk.
    Broken,
}

/// The result of recovering a stream.
enum RecoveryOutcome {
    /// Another replica continues the stream with these chunks.
    Continued(mpsc::Receiver<StreamChunk>),
    /// The stream has ended.
    Ended(StreamEnd),
}

impl ClientConnection {
    /// Forwards a stream unchanged.
    pub(super) async fn forward_stream(
        &mut self,
        mut chunks: mpsc::Receiver<StreamChunk>,
    ) -> Result<StreamEnd, ConnectionClosed> {
        loop {
            let mut next = self.until_disconnected(chunks.recv()).await?;
            // Chunks that arrived together are sent with one flush.
            loop {
                match next {
                    Some(StreamChunk::Bytes(bytes)) => {
                        self.feed(EncodedMessage::Chunk(bytes)).await?;
                    }
                    Some(StreamChunk::End) => {
                        self.send(EncodedMessage::EndOfChunks).await?;
                        return Ok(StreamEnd::Complete);
                    }
                    None => {
                        self.flush().await?;
                        return Ok(StreamEnd::Broken);
                    }
                }
                match chunks.try_recv() {
                    Ok(chunk) => next = Some(chunk),
                    Err(TryRecvError::Empty) => break,
                    Err(TryRecvError::Disconnected) => next = None,
                }
            }
            self.flush().await?;
        }
    }

    /// Forwards a stream, and continues it on another replica if it is interrupted.
    pub(super) async fn forward_recoverable_stream(
        &mut self,
        recovery: &mut StreamRecovery,
        mut chunks: mpsc::Receiver<StreamChunk>,
    ) -> Result<StreamEnd, ConnectionClosed> {
        loop {
            match self.until_disconnected(chunks.recv()).await? {
                Some(StreamChunk::Bytes(bytes)) => {
                    let forwarded = recovery.forward(&bytes);
                    self.send_chunk(forwarded.bytes.into()).await?;
                    if forwarded.has_data {
                        recovery.record_event_sent();
                    }
                    continue;
                }
                Some(StreamChunk::End) => {
                    recovery.record_completion();
                    let partial_event = recovery.take_partial_event();
                    self.feed(EncodedMessage::Chunk(partial_event)).await?;
                    self.send(EncodedMessage::EndOfChunks).await?;
                    return Ok(StreamEnd::Complete);
                }
                None => {}
            }
            match self.recover(recovery).await? {
                RecoveryOutcome::Continued(continuation) => chunks = continuation,
                RecoveryOutcome::Ended(end) => return Ok(end),
            }
        }
    }

    /// Requests the remainder of an interrupted stream, or ends the stream.
    async fn recover(
        &mut self,
        recovery: &mut StreamRecovery,
    ) -> Result<RecoveryOutcome, ConnectionClosed> {
        match recovery.recover(self.is_last_response()) {
            RecoveryStep::Continue(continuation) => {
                let response = self
                    .dispatch(continuation.request, continuation.payload)
                    .await?;
                if let ClientResponse::Stream {
                    replica, chunks, ..
                } = response
                {
                    recovery.set_replica(replica);
                    return Ok(RecoveryOutcome::Continued(chunks));
                }
                let error_event = recovery.handle_refused_continuation();
                self.send_chunk(error_event).await?;
                Ok(RecoveryOutcome::Ended(StreamEnd::Broken))
            }
            RecoveryStep::Complete(closing_events) => {
                self.send_chunk(closing_events).await?;
                self.send(EncodedMessage::EndOfChunks).await?;
                Ok(RecoveryOutcome::Ended(StreamEnd::Complete))
            }
            RecoveryStep::Fail(error_event) => {
                self.send_chunk(error_event).await?;
                Ok(RecoveryOutcome::Ended(StreamEnd::Broken))
            }
        }
    }

    /// Sends bytes as one chunk. Sends nothing if there are no bytes, since an empty chunk would end the stream.
    async fn send_chunk(&mut self, bytes: Bytes) -> Result<(), ConnectionClosed> {
        if bytes.is_empty() {
            return Ok(());
        }
        self.send(EncodedMessage::Chunk(bytes)).await
    }
}
