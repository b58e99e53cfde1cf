//! The streams of replicas, drawn for each request: prompt ones, slow ones that the node must forward to their end, and spoilt
//! ones without events, which it must end before their client gives up.

use super::plan::Plan;
use oorandom::Rand64;
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

const HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
const EVENT: &str =
    "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"oqvh\"},\"finish_reason\":null}]}\n\n";
const END_OF_STREAM: &str = "data: [DONE]\n\n";
const COMMENT: &str = ": ping\n\n";
const LAST_CHUNK: &str = "0\r\n\r\n";
/// Number of events of a slow stream after the first one, each after a pause of at most this many seconds.
const SLOW_EVENTS: usize = 3;
const MAX_SLOW_GAP_S: f64 = 2.4;
/// How long a replica goes on with a spoilt stream if the node keeps the connection open; longer than any client waits.
const SPOILT_TIME: Duration = Duration::from_secs(10);

/// The stream of one response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StreamKind {
    /// All of it at once.
    Prompt,
    /// Events with pauses, and comments between them.
    Slow,
    /// Bytes without an event, after an event or from the start.
    Spoilt { form: SpoiltForm, has_event: bool },
}

impl StreamKind {
    pub fn is_prompt(&self) -> bool {
        *self == StreamKind::Prompt
    }

    pub fn is_spoilt(&self) -> bool {
        matches!(self, StreamKind::Spoilt { .. })
    }
}

/// What a replica sends in place of events.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SpoiltForm {
    Silence,
    SizeLine,
    Extension,
    GiantChunk,
    Trailer,
    TrailerLine,
    Comments,
    LineOfData,
    LinesOfData,
    EmptyData,
    NoFields,
}

const FORMS: [SpoiltForm; 11] = [
    SpoiltForm::Silence,
    SpoiltForm::SizeLine,
    SpoiltForm::Extension,
    SpoiltForm::GiantChunk,
    SpoiltForm::Trailer,
    SpoiltForm::TrailerLine,
    SpoiltForm::Comments,
    SpoiltForm::LineOfData,
    SpoiltForm::LinesOfData,
    SpoiltForm::EmptyData,
    SpoiltForm::NoFields,
];

impl SpoiltForm {
    /// The bytes that begin this form, and those that are repeated.
    fn bytes(self) -> (&'static str, String) {
        match self {
            SpoiltForm::Silence => ("", String::new()),
            SpoiltForm::SizeLine => ("", "0".into()),
            SpoiltForm::Extension => ("5;", "x".into()),
            SpoiltForm::GiantChunk => ("80000000\r\n", EVENT.into()),
            SpoiltForm::Trailer => ("0\r\n", "X-A: b\r\n".into()),
            SpoiltForm::TrailerLine => ("0\r\n", "x".into()),
            SpoiltForm::Comments => ("", chunk(COMMENT)),
            SpoiltForm::LineOfData => ("", chunk("data: x")),
            SpoiltForm::LinesOfData => ("", chunk("data: x\n")),
            SpoiltForm::EmptyData => ("", chunk("data:\n\n")),
            SpoiltForm::NoFields => ("", chunk("Bad Gateway\n\n")),
        }
    }
}

fn chunk(data: &str) -> String {
    format!("{:x}\r\n{data}\r\n", data.len())
}

/// The stream of one response, drawn from the seed of the run and the id of the request.
pub struct DrawnStream {
    pub kind: StreamKind,
    rng: Rand64,
}

impl DrawnStream {
    pub fn draw(plan: &Plan, id: &str) -> DrawnStream {
        let id = u64::from_str_radix(id, 16).unwrap_or(0);
        let mut rng = Rand64::new(u128::from(plan.seed) << 64 | u128::from(id));
        let fraction = rng.rand_float();
        let kind = if fraction < plan.spoilt_stream_share {
            StreamKind::Spoilt {
                form: FORMS[rng.rand_range(0..FORMS.len() as u64) as usize],
                has_event: rng.rand_float() < 0.75,
            }
        } else if fraction < plan.spoilt_stream_share + plan.slow_stream_share {
            StreamKind::Slow
        } else {
            StreamKind::Prompt
        };
        DrawnStream { kind, rng }
    }

    /// Writes the response. Fails when the node has closed the connection.
    pub fn write(&mut self, stream: &mut TcpStream) -> std::io::Result<()> {
        stream.write_all(HEAD.as_bytes())?;
        match self.kind {
            StreamKind::Prompt => {}
            StreamKind::Slow => self.write_slow_events(stream)?,
            StreamKind::Spoilt { form, has_event } => {
                return self.write_spoilt(stream, form, has_event)
            }
        }
        stream.write_all(chunk(EVENT).as_bytes())?;
        stream.write_all(chunk(END_OF_STREAM).as_bytes())?;
        stream.write_all(LAST_CHUNK.as_bytes())
    }

    fn write_slow_events(&mut self, stream: &mut TcpStream) -> std::io::Result<()> {
        for _ in 0..SLOW_EVENTS {
            stream.write_all(chunk(EVENT).as_bytes())?;
            let half_gap = Duration::from_secs_f64(self.rng.rand_float() * MAX_SLOW_GAP_S / 2.0);
            std::thread::sleep(half_gap);
            stream.write_all(chunk(COMMENT).as_bytes())?;
            std::thread::sleep(half_gap);
        }
        Ok(())
    }

    fn write_spoilt(
        &mut self,
        stream: &mut TcpStream,
        form: SpoiltForm,
        has_event: bool,
    ) -> std::io::Result<()> {
        if has_event {
            stream.write_all(chunk(EVENT).as_bytes())?;
        }
        let (first, repeated) = form.bytes();
        stream.write_all(first.as_bytes())?;
        let pause = Duration::from_secs_f64(0.02 + self.rng.rand_float());
        let began_at = Instant::now();
        while began_at.elapsed() < SPOILT_TIME {
            std::thread::sleep(pause);
            stream.write_all(repeated.as_bytes())?;
        }
        Err(std::io::ErrorKind::TimedOut.into())
    }
}
