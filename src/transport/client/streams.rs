//! Passes streams on to a client.

#![expect(clippy::too_many_lines, reason = "not yet converted")]

use super::{Client, Leave};
use crate::protocol::http::EncodedMessage;
use crate::transport::messages::{ClientResponse, StreamChunk};
use crate::transport::relay::{Next, Relay};
use tokio::sync::mpsc;

impl Client {
    /// Passes a stream on as it comes; false where it broke.
    pub(super) async fn stream(
        &mut self,
        mut body: mpsc::Receiver<StreamChunk>,
    ) -> Result<bool, Leave> {
        loop {
            let mut next = self.until_gone(body.recv()).await?;
            // What has come together goes out together.
            loop {
                match next {
                    Some(StreamChunk::Bytes(bytes)) => {
                        self.feed(EncodedMessage::Chunk(bytes)).await?;
                    }
                    Some(StreamChunk::End) => {
                        self.send(EncodedMessage::EndOfChunks).await?;
                        return Ok(true);
                    }
                    None => {
                        self.flush().await?;
                        return Ok(false);
                    }
                }
                match body.try_recv() {
                    Ok(piece) => next = Some(piece),
                    Err(mpsc::error::TryRecvError::Empty) => break,
                    Err(mpsc::error::TryRecvError::Disconnected) => next = None,
                }
            }
            self.flush().await?;
        }
    }

    /// Passes a stream on and saves it where it can be saved; false where it failed.
    pub(super) async fn saved(
        &mut self,
        relay: &mut Relay,
        mut body: mpsc::Receiver<StreamChunk>,
    ) -> Result<bool, Leave> {
        loop {
            let whole = match self.until_gone(body.recv()).await? {
                Some(StreamChunk::Bytes(bytes)) => {
                    let bytes = relay.pass(&bytes);
                    if !bytes.is_empty() {
                        self.send(EncodedMessage::Chunk(bytes)).await?;
                    }
                    continue;
                }
                Some(StreamChunk::End) => relay.whole(),
                None => false,
            };
            if whole {
                let rest = relay.rest();
                if !rest.is_empty() {
                    self.feed(EncodedMessage::Chunk(rest)).await?;
                }
                self.send(EncodedMessage::EndOfChunks).await?;
                return Ok(true);
            }
            let mut next = relay.ended(self.last());
            if let Next::Ask(asked) = next {
                let (arrival, payload) = *asked;
                next = match self.ask(arrival, payload).await?? {
                    ClientResponse::Stream {
                        replica,
                        chunks: rest,
                        ..
                    } => {
                        relay.carried_on(replica);
                        body = rest;
                        continue;
                    }
                    _ => relay.refused(),
                };
            }
            let (last, whole) = match next {
                Next::Complete(last) => (last, true),
                Next::Fail(last) => (last, false),
                Next::Ask(_) => return Ok(false),
            };
            if !last.is_empty() {
                self.send(EncodedMessage::Chunk(last)).await?;
            }
            if whole {
                self.send(EncodedMessage::EndOfChunks).await?;
            }
            return Ok(whole);
        }
    }
}
