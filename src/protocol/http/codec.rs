//! Decodes the bytes of a connection to parts of messages, and encodes messages to bytes.

use super::error::HttpParseError;
use super::framing::{body_framing, parse_chunk_size, take_line};
use super::head::{parse_head, Head, StartLine, MAX_HEAD_BYTES};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use tokio_util::codec::{Decoder, Encoder};

/// The longest accepted chunk of a response, in bytes. Replicas send short chunks. A chunk size of gigabytes is an error:
/// the response would practically never end.
const MAX_CHUNK_BYTES: u64 = 256 * 1024;
/// The largest number of interim responses before a final response. Without a limit they could continue forever.
const MAX_INTERIM_RESPONSES: u32 = 16;
/// The longest accepted trailer, in bytes. Without a limit a message could go on forever after its last chunk.
const MAX_TRAILER_BYTES: usize = MAX_HEAD_BYTES;
/// The end of the data of a chunk.
const CHUNK_END: &[u8] = b"\r\n";
/// The last chunk and an empty trailer, which end a chunked body.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// The output of the decoder.
#[derive(Clone, Debug, PartialEq)]
pub enum MessagePart {
    /// The head of a message.
    Head(Box<Head>),
    /// The next bytes of the body.
    Body(Bytes),
    /// The message is complete.
    End,
}

/// The input of the encoder.
#[derive(Clone, Debug, PartialEq)]
pub enum EncodedMessage {
    /// Bytes that are written unchanged: a head, or a body of known length.
    Raw(Bytes),
    /// The data of one chunk of a chunked body.
    Chunk(Bytes),
    /// The end of a chunked body.
    EndOfChunks,
}

/// The side of the connection that a codec is on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Role {
    /// Reads requests.
    Server,
    /// Reads responses.
    Client,
}

/// What the decoder expects next.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum DecoderState {
    /// The head of a message.
    Head,
    /// This many remaining bytes of a body of known length.
    FixedLength(u64),
    /// The line with the size of a chunk.
    ChunkLine,
    /// This many remaining bytes of a chunk.
    Chunk(u64),
    /// The end of the data of a chunk.
    ChunkEnd,
    /// The trailer of a chunked body.
    Trailer,
    /// A body that ends with the connection.
    UntilClose,
    /// Nothing: the message is complete, and [`MessagePart::End`] has yet to be returned.
    Ended,
}

/// The result of decoding a head.
enum DecodedHead {
    /// More bytes are needed.
    Incomplete,
    /// An interim response, which is ignored.
    Interim,
    Final(Box<Head>),
}

/// The codec of one connection.
#[derive(Debug)]
pub struct HttpCodec {
    role: Role,
    state: DecoderState,
    /// The number of interim responses since the last final one.
    interim_count: u32,
    /// The length of the trailer so far.
    trailer_bytes: usize,
}

impl HttpCodec {
    /// Creates a codec for a new connection.
    pub fn new(role: Role) -> Self {
        HttpCodec {
            role,
            state: DecoderState::Head,
            interim_count: 0,
            trailer_bytes: 0,
        }
    }

    /// The part of a message that the decoder expects next, for the log.
    pub fn expected_part(&self) -> &'static str {
        match self.state {
            DecoderState::Head => "head",
            DecoderState::FixedLength(_) | DecoderState::UntilClose => "body",
            DecoderState::ChunkLine => "chunk size",
            DecoderState::Chunk(_) => "chunk",
            DecoderState::ChunkEnd => "end of a chunk",
            DecoderState::Trailer => "trailer",
            DecoderState::Ended => "nothing",
        }
    }

    /// Whether the decoder is outside a message; part of a head may be buffered.
    pub fn is_between_messages(&self) -> bool {
        self.state == DecoderState::Head
    }

    fn decode_head(&mut self, buffer: &mut BytesMut) -> Result<DecodedHead, HttpParseError> {
        let Some(parsed) = parse_head(self.role, buffer)? else {
            return Ok(DecodedHead::Incomplete);
        };
        buffer.advance(parsed.size);
        if matches!(parsed.start_line, StartLine::Status(100..=199)) {
            self.interim_count += 1;
            if self.interim_count > MAX_INTERIM_RESPONSES {
                return Err(HttpParseError::Malformed("interim answers"));
            }
            return Ok(DecodedHead::Interim);
        }
        self.interim_count = 0;
        let framing = body_framing(&parsed.start_line, &parsed.headers)?;
        self.state = framing.state;
        let ends_with_connection = framing.state == DecoderState::UntilClose;
        let has_close_token = parsed.headers.has_token("connection", "close");
        Ok(DecodedHead::Final(Box::new(Head {
            start_line: parsed.start_line,
            headers: parsed.headers,
            body_length: framing.body_length,
            keeps_connection: !ends_with_connection && !has_close_token,
        })))
    }

    /// Decodes the line with the size of a chunk. Returns whether the line was complete.
    fn decode_chunk_line(&mut self, buffer: &mut BytesMut) -> Result<bool, HttpParseError> {
        let Some(line) = take_line(buffer)? else {
            return Ok(false);
        };
        let size = parse_chunk_size(&line)?;
        if self.role == Role::Client && size > MAX_CHUNK_BYTES {
            return Err(HttpParseError::Malformed("chunk longer than an answer"));
        }
        self.trailer_bytes = 0;
        self.state = if size == 0 {
            DecoderState::Trailer
        } else {
            DecoderState::Chunk(size)
        };
        Ok(true)
    }

    /// Skips a line of the trailer. Returns whether the line was complete.
    fn decode_trailer_line(&mut self, buffer: &mut BytesMut) -> Result<bool, HttpParseError> {
        let buffered_bytes = buffer.len();
        let Some(line) = take_line(buffer)? else {
            return Ok(false);
        };
        if line.is_empty() {
            self.state = DecoderState::Ended;
            return Ok(true);
        }
        self.trailer_bytes += buffered_bytes - buffer.len();
        if self.trailer_bytes > MAX_TRAILER_BYTES {
            return Err(HttpParseError::Malformed("trailer"));
        }
        Ok(true)
    }

    /// Skips the end of the data of a chunk. Returns whether it was complete.
    fn decode_chunk_end(&mut self, buffer: &mut BytesMut) -> Result<bool, HttpParseError> {
        if buffer.len() < CHUNK_END.len() {
            return Ok(false);
        }
        if !buffer.starts_with(CHUNK_END) {
            return Err(HttpParseError::Malformed("end of a chunk"));
        }
        buffer.advance(CHUNK_END.len());
        self.state = DecoderState::ChunkLine;
        Ok(true)
    }

    /// Takes the next bytes of a body of known length.
    fn take_fixed(&mut self, buffer: &mut BytesMut, remaining: u64) -> MessagePart {
        let bytes = take_bytes(buffer, remaining);
        let remaining = remaining - bytes.len() as u64;
        self.state = if remaining == 0 {
            DecoderState::Ended
        } else {
            DecoderState::FixedLength(remaining)
        };
        MessagePart::Body(bytes)
    }

    /// Takes the next bytes of a chunk.
    fn take_chunk(&mut self, buffer: &mut BytesMut, remaining: u64) -> MessagePart {
        let bytes = take_bytes(buffer, remaining);
        let remaining = remaining - bytes.len() as u64;
        self.state = if remaining == 0 {
            DecoderState::ChunkEnd
        } else {
            DecoderState::Chunk(remaining)
        };
        MessagePart::Body(bytes)
    }
}

/// Removes up to this many bytes from the start of the buffer and returns a copy of them.
fn take_bytes(buffer: &mut BytesMut, max_bytes: u64) -> Bytes {
    let max_bytes = usize::try_from(max_bytes).unwrap_or(usize::MAX);
    let size = max_bytes.min(buffer.len());
    let bytes = Bytes::copy_from_slice(&buffer[..size]);
    buffer.advance(size);
    bytes
}

impl Decoder for HttpCodec {
    type Item = MessagePart;
    type Error = HttpParseError;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<MessagePart>, HttpParseError> {
        loop {
            if self.state == DecoderState::Ended {
                self.state = DecoderState::Head;
                return Ok(Some(MessagePart::End));
            }
            if buffer.is_empty() {
                return Ok(None);
            }
            let has_advanced = match self.state {
                DecoderState::Head => match self.decode_head(buffer)? {
                    DecodedHead::Incomplete => false,
                    // The same call goes on to decode the bytes that follow the interim response.
                    DecodedHead::Interim => true,
                    DecodedHead::Final(head) => return Ok(Some(MessagePart::Head(head))),
                },
                DecoderState::ChunkLine => self.decode_chunk_line(buffer)?,
                DecoderState::Trailer => self.decode_trailer_line(buffer)?,
                DecoderState::ChunkEnd => self.decode_chunk_end(buffer)?,
                DecoderState::Ended => true,
                DecoderState::UntilClose => {
                    return Ok(Some(MessagePart::Body(take_bytes(buffer, u64::MAX))))
                }
                DecoderState::FixedLength(remaining) => {
                    return Ok(Some(self.take_fixed(buffer, remaining)))
                }
                DecoderState::Chunk(remaining) => {
                    return Ok(Some(self.take_chunk(buffer, remaining)))
                }
            };
            if !has_advanced {
                return Ok(None);
            }
        }
    }

    fn decode_eof(&mut self, buffer: &mut BytesMut) -> Result<Option<MessagePart>, HttpParseError> {
        if let Some(part) = self.decode(buffer)? {
            return Ok(Some(part));
        }
        match self.state {
            DecoderState::UntilClose => {
                self.state = DecoderState::Head;
                Ok(Some(MessagePart::End))
            }
            DecoderState::Head if buffer.is_empty() => Ok(None),
            _ => Err(HttpParseError::UnexpectedEof),
        }
    }
}

impl Encoder<EncodedMessage> for HttpCodec {
    type Error = HttpParseError;

    fn encode(
        &mut self,
        message: EncodedMessage,
        buffer: &mut BytesMut,
    ) -> Result<(), HttpParseError> {
        match message {
            EncodedMessage::Raw(bytes) => buffer.extend_from_slice(&bytes),
            // An empty chunk would end the body.
            EncodedMessage::Chunk(bytes) if bytes.is_empty() => {}
            EncodedMessage::Chunk(bytes) => {
                buffer.put_slice(format!("{:x}\r\n", bytes.len()).as_bytes());
                buffer.put_slice(&bytes);
                buffer.put_slice(CHUNK_END);
            }
            EncodedMessage::EndOfChunks => buffer.put_slice(LAST_CHUNK),
        }
        Ok(())
    }
}
