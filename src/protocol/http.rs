//! HTTP/1.1 as a codec for `Framed`: a head, then its body in pieces, then its end.
//!
//! Pieces are copied out of the read buffer as they come, so that one bounded buffer serves a connection for
//! as long as it lives, whatever the size of the bodies that pass.

#![expect(
    clippy::min_ident_chars,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::io;
use tokio_util::codec::{Decoder, Encoder};

/// The longest head that is read.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The most headers of one head.
const MOST_HEADERS: usize = 64;
/// The longest chunk of an answer. Replicas' bodies are short; one said to hold gigabytes never ends.
const MOST_CHUNK: u64 = 256 * 1024;
/// The most interim answers before one final answer: without a bound they could come for ever.
const MOST_INTERIM: u32 = 16;
/// The longest line that announces a chunk, and the longest trailer line.
const MOST_LINE: usize = 4 * 1024;

/// Header fields in the order in which they came.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Headers(Vec<(String, Vec<u8>)>);

impl Headers {
    /// The first value under a name, where it is text.
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.0.iter().find(|h| h.0.eq_ignore_ascii_case(name));
        found.and_then(|h| std::str::from_utf8(&h.1).ok())
    }
    /// All values under a name.
    pub fn values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        self.iter()
            .filter(move |h| h.0.eq_ignore_ascii_case(name))
            .map(|h| h.1)
    }
    /// Every field.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.0.iter().map(|h| (h.0.as_str(), h.1.as_slice()))
    }
    /// Whether a comma-separated field holds a word.
    pub fn has_token(&self, name: &str, word: &str) -> bool {
        let text = |v| std::str::from_utf8(v).unwrap_or_default();
        self.values(name)
            .flat_map(|v| text(v).split(','))
            .any(|w| w.trim().eq_ignore_ascii_case(word))
    }
}

/// The first line of a message.
#[derive(Clone, Debug, PartialEq)]
pub enum StartLine {
    /// A request.
    Request {
        /// Its method.
        method: String,
        /// Path and query.
        target: String,
    },
    /// An answer.
    Status(u16),
}

/// The head of a message.
#[derive(Clone, Debug, PartialEq)]
pub struct Head {
    /// Its first line.
    pub start_line: StartLine,
    /// Its fields.
    pub headers: Headers,
    /// The length of its body, where the head tells it.
    pub body_length: Option<u64>,
    /// Whether the connection may carry another message afterwards.
    pub keeps_connection: bool,
}

/// What a decoder yields.
#[derive(Clone, Debug, PartialEq)]
pub enum MessagePart {
    /// A message begins.
    Head(Box<Head>),
    /// The next bytes of its body.
    Body(Bytes),
    /// The message is complete.
    End,
}

/// Why a message could not be read.
#[derive(Debug)]
pub enum HttpParseError {
    /// It breaks the framing.
    Malformed(&'static str),
    /// Its head is longer than is read here.
    HeadTooLong,
    /// A version other than HTTP/1.1.
    UnsupportedVersion,
    /// It took too long to come.
    ReadTimeout,
    /// The node ends before the message is whole.
    ShuttingDown,
    /// The connection ended inside it.
    UnexpectedEof,
    /// The connection failed.
    Io(io::Error),
}

impl From<io::Error> for HttpParseError {
    fn from(e: io::Error) -> Self {
        HttpParseError::Io(e)
    }
}

impl std::fmt::Display for HttpParseError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            HttpParseError::Malformed(what) => write!(f, "malformed message: {what}"),
            HttpParseError::HeadTooLong => write!(
                f,
                "head longer than {MAX_HEAD_BYTES} bytes or {MOST_HEADERS} fields"
            ),
            HttpParseError::UnsupportedVersion => write!(f, "only HTTP/1.1 is spoken here"),
            HttpParseError::ReadTimeout => write!(f, "the request took too long to come"),
            HttpParseError::ShuttingDown => write!(f, "the node ends before the request is whole"),
            HttpParseError::UnexpectedEof => write!(f, "the connection ended inside a message"),
            HttpParseError::Io(e) => write!(f, "{e}"),
        }
    }
}

/// Which end of a connection this is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Role {
    /// Reads requests.
    Server,
    /// Reads answers.
    Client,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum DecoderState {
    Head,
    Fixed(u64),
    ChunkLine,
    Chunk(u64),
    ChunkEnd,
    Trailer,
    ToClose,
    Ended,
}

/// What an encoder takes.
#[derive(Clone, Debug, PartialEq)]
pub enum EncodedMessage {
    /// Bytes as they are: a head, or a body of known length.
    Raw(Bytes),
    /// A piece of a chunked body.
    Chunk(Bytes),
    /// The end of a chunked body.
    EndOfChunks,
}

/// The codec of one connection.
#[derive(Debug)]
pub struct HttpCodec {
    side: Role,
    reading: DecoderState,
    /// Interim answers since the last final one.
    interim: u32,
}

impl HttpCodec {
    /// A codec at the start of a connection.
    pub fn new(side: Role) -> Self {
        HttpCodec {
            side,
            reading: DecoderState::Head,
            interim: 0,
        }
    }
    /// Between two messages.
    pub fn is_between_messages(&self) -> bool {
        self.reading == DecoderState::Head
    }

    fn head(&mut self, src: &mut BytesMut) -> Result<Option<MessagePart>, HttpParseError> {
        let mut fields = [httparse::EMPTY_HEADER; MOST_HEADERS];
        let (start, version, parsed) = match self.side {
            Role::Server => {
                let mut r = httparse::Request::new(&mut fields);
                let parsed = r.parse(src);
                let (method, target) = (r.method.unwrap_or_default(), r.path.unwrap_or_default());
                (
                    StartLine::Request {
                        method: method.into(),
                        target: target.into(),
                    },
                    r.version,
                    parsed,
                )
            }
            Role::Client => {
                let mut r = httparse::Response::new(&mut fields);
                let parsed = r.parse(src);
                (StartLine::Status(r.code.unwrap_or(0)), r.version, parsed)
            }
        };
        let length = match parsed {
            Ok(httparse::Status::Complete(length)) if length <= MAX_HEAD_BYTES => length,
            Ok(httparse::Status::Partial) if src.len() < MAX_HEAD_BYTES => return Ok(None),
            Ok(_) | Err(httparse::Error::TooManyHeaders) => {
                return Err(HttpParseError::HeadTooLong)
            }
            Err(httparse::Error::Version) => return Err(HttpParseError::UnsupportedVersion),
            Err(_) => return Err(HttpParseError::Malformed("head")),
        };
        if version != Some(1) {
            return Err(HttpParseError::UnsupportedVersion);
        }
        let set = fields.iter().take_while(|h| !h.name.is_empty());
        let headers = Headers(
            set.map(|h| (h.name.to_string(), h.value.to_vec()))
                .collect(),
        );
        src.advance(length);
        if matches!(start, StartLine::Status(100..=199)) {
            self.interim += 1;
            return if self.interim > MOST_INTERIM {
                Err(HttpParseError::Malformed("interim answers"))
            } else {
                Ok(None)
            };
        }
        self.interim = 0;
        let (reading, length) = framing(&start, &headers)?;
        self.reading = reading;
        let keep = reading != DecoderState::ToClose && !headers.has_token("connection", "close");
        Ok(Some(MessagePart::Head(Box::new(Head {
            start_line: start,
            headers,
            body_length: length,
            keeps_connection: keep,
        }))))
    }
}

/// How the body of a message ends. A length beside chunks is how requests are smuggled: it is refused.
fn framing(
    start: &StartLine,
    headers: &Headers,
) -> Result<(DecoderState, Option<u64>), HttpParseError> {
    let mut length = None;
    for value in headers.values("content-length") {
        let digits = !value.is_empty() && value.len() < 19 && value.iter().all(u8::is_ascii_digit);
        let text = std::str::from_utf8(value).ok().filter(|_| digits);
        let value = text
            .and_then(|t| t.parse().ok())
            .ok_or(HttpParseError::Malformed("Content-Length"))?;
        if length.is_some_and(|l: u64| l != value) {
            return Err(HttpParseError::Malformed("two values of Content-Length"));
        }
        length = Some(value);
    }
    let mut codings = headers.values("transfer-encoding");
    if let Some(coding) = codings.next() {
        if length.is_some() {
            return Err(HttpParseError::Malformed(
                "Content-Length with Transfer-Encoding",
            ));
        }
        if !coding.eq_ignore_ascii_case(b"chunked") || codings.next().is_some() {
            return Err(HttpParseError::Malformed(
                "Transfer-Encoding other than chunked",
            ));
        }
        return Ok((DecoderState::ChunkLine, None));
    }
    Ok(match (start, length) {
        (StartLine::Status(204 | 304), _) | (_, Some(0)) => (DecoderState::Ended, Some(0)),
        (_, Some(length)) => (DecoderState::Fixed(length), Some(length)),
        (StartLine::Request { .. }, None) => (DecoderState::Ended, Some(0)),
        (StartLine::Status(_), None) => (DecoderState::ToClose, None),
    })
}

/// Takes one line without its end, if it is there.
fn line(src: &mut BytesMut) -> Result<Option<BytesMut>, HttpParseError> {
    let Some(end) = src.iter().position(|b| *b == b'\n') else {
        return if src.len() > MOST_LINE {
            Err(HttpParseError::Malformed("chunk line"))
        } else {
            Ok(None)
        };
    };
    let mut line = src.split_to(end + 1);
    let ending = if line.ends_with(b"\r\n") { 2 } else { 1 };
    line.truncate(line.len() - ending);
    Ok(Some(line))
}

fn chunk_size(line: &[u8]) -> Result<u64, HttpParseError> {
    let digits = line
        .split(|b| *b == b';')
        .next()
        .unwrap_or_default()
        .trim_ascii();
    let hex = (1..16).contains(&digits.len()) && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).ok().filter(|_| hex);
    text.and_then(|t| u64::from_str_radix(t, 16).ok())
        .ok_or(HttpParseError::Malformed("chunk size"))
}

fn take(src: &mut BytesMut, left: u64) -> Bytes {
    let n = usize::try_from(left).unwrap_or(usize::MAX).min(src.len());
    let piece = Bytes::copy_from_slice(&src[..n]);
    src.advance(n);
    piece
}

impl Decoder for HttpCodec {
    type Item = MessagePart;
    type Error = HttpParseError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<MessagePart>, HttpParseError> {
        loop {
            match self.reading {
                DecoderState::Head if src.is_empty() => return Ok(None),
                DecoderState::Head => {
                    let interim = self.interim;
                    match self.head(src)? {
                        // An interim answer is passed over: what stands behind it is read in the same turn.
                        None if self.interim > interim => {}
                        head => return Ok(head),
                    }
                }
                DecoderState::Ended => {
                    self.reading = DecoderState::Head;
                    return Ok(Some(MessagePart::End));
                }
                DecoderState::ChunkLine => {
                    let Some(line) = line(src)? else {
                        return Ok(None);
                    };
                    let size = chunk_size(&line)?;
                    if self.side == Role::Client && size > MOST_CHUNK {
                        return Err(HttpParseError::Malformed("chunk longer than an answer"));
                    }
                    self.reading = if size == 0 {
                        DecoderState::Trailer
                    } else {
                        DecoderState::Chunk(size)
                    };
                }
                DecoderState::Trailer => {
                    let Some(line) = line(src)? else {
                        return Ok(None);
                    };
                    if line.is_empty() {
                        self.reading = DecoderState::Ended;
                    }
                }
                DecoderState::ChunkEnd => {
                    if src.len() < 2 {
                        return Ok(None);
                    }
                    if &src[..2] != b"\r\n" {
                        return Err(HttpParseError::Malformed("end of a chunk"));
                    }
                    src.advance(2);
                    self.reading = DecoderState::ChunkLine;
                }
                _ if src.is_empty() => return Ok(None),
                DecoderState::ToClose => return Ok(Some(MessagePart::Body(take(src, u64::MAX)))),
                DecoderState::Fixed(left) => {
                    let piece = take(src, left);
                    let left = left - piece.len() as u64;
                    self.reading = if left == 0 {
                        DecoderState::Ended
                    } else {
                        DecoderState::Fixed(left)
                    };
                    return Ok(Some(MessagePart::Body(piece)));
                }
                DecoderState::Chunk(left) => {
                    let piece = take(src, left);
                    let left = left - piece.len() as u64;
                    self.reading = if left == 0 {
                        DecoderState::ChunkEnd
                    } else {
                        DecoderState::Chunk(left)
                    };
                    return Ok(Some(MessagePart::Body(piece)));
                }
            }
        }
    }

    fn decode_eof(&mut self, src: &mut BytesMut) -> Result<Option<MessagePart>, HttpParseError> {
        if let Some(part) = self.decode(src)? {
            return Ok(Some(part));
        }
        match self.reading {
            DecoderState::ToClose => {
                self.reading = DecoderState::Head;
                Ok(Some(MessagePart::End))
            }
            DecoderState::Head if src.is_empty() => Ok(None),
            _ => Err(HttpParseError::UnexpectedEof),
        }
    }
}

impl Encoder<EncodedMessage> for HttpCodec {
    type Error = HttpParseError;

    fn encode(&mut self, item: EncodedMessage, dst: &mut BytesMut) -> Result<(), HttpParseError> {
        match item {
            EncodedMessage::Raw(bytes) => dst.extend_from_slice(&bytes),
            // A chunk of no bytes would end the body.
            EncodedMessage::Chunk(bytes) if bytes.is_empty() => {}
            EncodedMessage::Chunk(bytes) => {
                dst.put_slice(format!("{:x}\r\n", bytes.len()).as_bytes());
                dst.put_slice(&bytes);
                dst.put_slice(b"\r\n");
            }
            EncodedMessage::EndOfChunks => dst.put_slice(b"0\r\n\r\n"),
        }
        Ok(())
    }
}
