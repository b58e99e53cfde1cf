//! One question put to the name servers until one has answered it: tries, time limits, truncation, lies.
//!
//! Each try over UDP has a socket of its own, so that its port is random, and an id of its own (RFC 5452). An
//! answer counts only from the address that was asked, on the socket that asked, with the id and the question.
//! What does not fit is passed over and counted; the right answer may still come. A truncated answer is asked for
//! again from the same server over TCP (RFC 7766), where a second truncation is a failure.

#![expect(
    clippy::min_ident_chars,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

use crate::config::{Config, Micros};
use crate::message::{self, code, Answer, Question};
use rand::RngExt as Rng;
use std::net::SocketAddr;

/// Names one socket of the driver: a UDP socket of one question, or one TCP connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub u64);

/// The longest message over TCP, its length not counted.
const MOST_BYTES: usize = 65_535;
/// Tries whose answers are still waited for; older ones are let go.
const MOST_OPEN: usize = 4;

/// What the driver is to do for one exchange.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Asked {
    /// Send this from a new UDP socket.
    Udp(Key, SocketAddr, Vec<u8>),
    /// Connect, and send this once connected.
    Tcp(Key, SocketAddr, Vec<u8>),
    /// Close this socket.
    Close(Key),
}

/// How an exchange has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ends {
    /// With an answer: no error, or no such name.
    Answered(Answer),
    /// With none; why the last try failed.
    Failed(String),
}

/// What was passed over or had to be asked again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Tries over UDP.
    pub udp: u64,
    /// Tries over TCP.
    pub tcp: u64,
    /// Answers that did not belong to a question: address, id or question were others.
    pub strange: u64,
    /// Answers that could not be read.
    pub unreadable: u64,
    /// Tries without an answer in time.
    pub late: u64,
    /// Truncated answers.
    pub truncated: u64,
    /// Answers with an error code.
    pub refused: u64,
}

#[derive(Debug)]
struct Try {
    key: Key,
    server: SocketAddr,
    id: u16,
    tcp: Option<Vec<u8>>,
    edns: bool,
}

/// One question on its way.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) question: Question,
    tries: Vec<Try>,
    /// Tries over UDP so far; it names the server and the round of the next one.
    made: usize,
    pub(crate) due: Micros,
    first: usize,
    why: String,
}

/// What exchanges share.
pub(crate) struct Means<'a, R> {
    pub(crate) config: &'a Config,
    pub(crate) rng: &'a mut R,
    pub(crate) keys: &'a mut u64,
    pub(crate) counts: &'a mut Counts,
    pub(crate) out: &'a mut Vec<Asked>,
}

impl<R: Rng> Means<'_, R> {
    fn key(&mut self) -> Key {
        *self.keys += 1;
        Key(*self.keys)
    }
}

impl Exchange {
    /// Asks for the first time. `first` is the server to begin with.
    pub(crate) fn begin<R: Rng>(
        question: Question,
        first: usize,
        now: Micros,
        means: &mut Means<'_, R>,
    ) -> Self {
        let (tries, why) = (Vec::new(), String::new());
        let mut exchange = Exchange {
            question,
            tries,
            made: 0,
            due: now,
            first,
            why,
        };
        exchange.next(now, means);
        exchange
    }

    /// Whether this socket is one of its own.
    pub(crate) fn owns(&self, key: Key) -> bool {
        self.tries.iter().any(|t| t.key == key)
    }

    /// The next try, or the end.
    fn next<R: Rng>(&mut self, now: Micros, means: &mut Means<'_, R>) -> Option<Ends> {
        let servers = means.config.servers.len();
        if self.made >= servers * means.config.rounds as usize {
            let why = std::mem::take(&mut self.why);
            return Some(self.end(Ends::Failed(why), means));
        }
        let server = means.config.servers[(self.first + self.made) % servers];
        let round = (self.made / servers) as u32;
        self.made += 1;
        self.ask(now, server, round, true, means);
        None
    }

    fn ask<R: Rng>(
        &mut self,
        now: Micros,
        server: SocketAddr,
        round: u32,
        edns: bool,
        means: &mut Means<'_, R>,
    ) {
        let (key, id) = (means.key(), means.rng.random::<u16>());
        let payload = edns.then_some(means.config.payload);
        means.out.push(Asked::Udp(
            key,
            server,
            message::write(id, &self.question, payload),
        ));
        means.counts.udp += 1;
        self.open(
            Try {
                key,
                server,
                id,
                tcp: None,
                edns,
            },
            means,
        );
        let limit = means.config.timeout.saturating_mul(1 << round.min(6));
        self.due = now.saturating_add(jitter(limit, means.rng));
    }

    fn ask_tcp<R: Rng>(&mut self, now: Micros, server: SocketAddr, means: &mut Means<'_, R>) {
        let (key, id) = (means.key(), means.rng.random::<u16>());
        let bytes = message::write(id, &self.question, Some(means.config.payload));
        let mut framed = (bytes.len() as u16).to_be_bytes().to_vec();
        framed.extend_from_slice(&bytes);
        means.out.push(Asked::Tcp(key, server, framed));
        means.counts.tcp += 1;
        self.open(
            Try {
                key,
                server,
                id,
                tcp: Some(Vec::new()),
                edns: true,
            },
            means,
        );
        // Connecting, asking and a long answer: more than one datagram each way.
        let limit = means.config.timeout.saturating_mul(4);
        self.due = now.saturating_add(jitter(limit, means.rng));
    }

    fn open<R>(&mut self, new: Try, means: &mut Means<'_, R>) {
        if self.tries.len() >= MOST_OPEN {
            means.out.push(Asked::Close(self.tries.remove(0).key));
        }
        self.tries.push(new);
    }

    fn end<R>(&mut self, ends: Ends, means: &mut Means<'_, R>) -> Ends {
        means
            .out
            .extend(self.tries.drain(..).map(|t| Asked::Close(t.key)));
        ends
    }

    /// The time of the newest try may be out.
    pub(crate) fn turn<R: Rng>(&mut self, now: Micros, means: &mut Means<'_, R>) -> Option<Ends> {
        if now < self.due {
            return None;
        }
        means.counts.late += 1;
        if let Some(last) = self.tries.last() {
            let how = if last.tcp.is_some() {
                "over TCP"
            } else {
                "over UDP"
            };
            self.why = format!("{}: no answer in time {how}", last.server);
        }
        self.next(now, means)
    }

    /// A datagram has come on a socket of its own.
    pub(crate) fn datagram<R: Rng>(
        &mut self,
        now: Micros,
        key: Key,
        from: SocketAddr,
        bytes: &[u8],
        means: &mut Means<'_, R>,
    ) -> Option<Ends> {
        let found = self
            .tries
            .iter()
            .position(|t| t.key == key && t.tcp.is_none())?;
        if self.tries[found].server != from {
            means.counts.strange += 1;
            return None;
        }
        self.message(now, found, bytes, means)
    }

    /// Bytes of a connection of its own, in pieces of any size.
    pub(crate) fn bytes<R: Rng>(
        &mut self,
        now: Micros,
        key: Key,
        bytes: &[u8],
        means: &mut Means<'_, R>,
    ) -> Option<Ends> {
        let found = self.tries.iter().position(|t| t.key == key)?;
        let held = self.tries[found].tcp.as_mut()?;
        held.extend_from_slice(bytes);
        held.truncate(2 + MOST_BYTES);
        let length = usize::from(u16::from_be_bytes([*held.first()?, *held.get(1)?]));
        if held.len() < 2 + length {
            return None;
        }
        let message = held[2..2 + length].to_vec();
        held.clear();
        self.message(now, found, &message, means)
    }

    /// A connection, or the way to a server, has ended.
    pub(crate) fn closed<R: Rng>(
        &mut self,
        now: Micros,
        key: Key,
        why: &str,
        means: &mut Means<'_, R>,
    ) -> Option<Ends> {
        let found = self.tries.iter().position(|t| t.key == key)?;
        self.fail(now, found, why, means)
    }

    /// One try has failed; the next follows at once if it was the newest one.
    fn fail<R: Rng>(
        &mut self,
        now: Micros,
        found: usize,
        why: &str,
        means: &mut Means<'_, R>,
    ) -> Option<Ends> {
        let newest = found + 1 == self.tries.len();
        let failed = self.tries.remove(found);
        means.out.push(Asked::Close(failed.key));
        self.why = format!("{}: {why}", failed.server);
        if newest {
            self.next(now, means)
        } else {
            None
        }
    }

    fn message<R: Rng>(
        &mut self,
        now: Micros,
        found: usize,
        bytes: &[u8],
        means: &mut Means<'_, R>,
    ) -> Option<Ends> {
        let (id, server, tcp) = (
            self.tries[found].id,
            self.tries[found].server,
            self.tries[found].tcp.is_some(),
        );
        let answer = match message::read(bytes) {
            Ok(answer) => answer,
            Err(e) => {
                means.counts.unreadable += 1;
                // Whoever guesses the port can send rubbish: over UDP only the server's own id ends the try.
                let own = bytes.get(..2).is_some_and(|b| b == id.to_be_bytes());
                return if tcp || own {
                    self.fail(now, found, &format!("unreadable answer ({})", e.0), means)
                } else {
                    None
                };
            }
        };
        // A truncated or refusing answer may lack the question; one with another question is not ours.
        let other = answer
            .question
            .as_ref()
            .is_some_and(|q| *q != self.question);
        let lacking = answer.question.is_none() && answer.code == code::NO_ERROR;
        if answer.id != id || other || (lacking && !answer.truncated) {
            means.counts.strange += 1;
            // Over TCP nobody else can speak: the server is out of step.
            return if tcp {
                self.fail(now, found, "answer to another question", means)
            } else {
                None
            };
        }
        if answer.truncated {
            means.counts.truncated += 1;
            if tcp {
                return self.fail(now, found, "answer truncated over TCP too", means);
            }
            means.out.push(Asked::Close(self.tries.remove(found).key));
            self.ask_tcp(now, server, means);
            return None;
        }
        match answer.code {
            _ if answer.refers() => self.fail(now, found, "it refers to other servers", means),
            code::NO_ERROR | code::NX_DOMAIN if answer.question.is_some() => {
                Some(self.end(Ends::Answered(answer), means))
            }
            code::FORM_ERR | code::NOT_IMP if self.tries[found].edns && !tcp => {
                // RFC 6891, section 7: a server that does not know EDNS is asked without.
                means.counts.refused += 1;
                means.out.push(Asked::Close(self.tries.remove(found).key));
                self.ask(now, server, 0, false, means);
                None
            }
            code => {
                means.counts.refused += 1;
                self.fail(now, found, &format!("response code {code}"), means)
            }
        }
    }
}

/// A quarter more or less, so that nodes that ask together do not ask together again.
pub(crate) fn jitter<R: Rng>(span: Micros, rng: &mut R) -> Micros {
    let part = span / 4;
    span - part + rng.random_range(0..=2 * part)
}
