//! One question put to the name servers until one has answered it: attempts, timeouts, truncation, wrong responses.
//!
//! Each attempt over UDP has a socket of its own, so that its port is random, and an id of its own (RFC 5452). A response
//! counts only from the address that was asked, on the socket that asked, with the id and the question. What does not match
//! is ignored and counted; the right response may still come. After a truncated response the same server is asked again over
//! TCP (RFC 7766), where a second truncation is a failure.

use crate::attempt::{framed_query, Attempt, SocketId, Transmit};
use crate::config::{Micros, ResolverConfig};
use crate::error::{AttemptFailure, DecodeError, QuestionError, Transport};
use crate::message::{decode_response, encode_query, response_code, DnsResponse, Question};
use rand::RngExt as Rng;
use std::net::SocketAddr;

/// How many attempts wait for a response; the oldest is given up where there are more.
const MAX_OPEN_ATTEMPTS: usize = 4;
/// The timeout doubles in this many rounds at most.
const MAX_TIMEOUT_DOUBLINGS: u32 = 6;
/// An attempt over TCP has this many times the timeout: connecting, asking and a long response are more than one datagram
/// each way.
const TCP_TIMEOUT_FACTOR: Micros = 4;

/// How an exchange has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ExchangeOutcome {
    /// A server has answered: no error, or no such name.
    Answered(DnsResponse),
    /// No server has answered; why the last attempt has failed.
    Failed(QuestionError),
}

/// What the exchanges of a resolver have sent and got.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExchangeCounters {
    /// Attempts over UDP.
    pub udp_attempts: u64,
    /// Attempts over TCP.
    pub tcp_attempts: u64,
    /// Responses that did not match a question: their address, id or question was another.
    pub mismatched: u64,
    /// Responses that could not be read.
    pub undecodable: u64,
    /// Attempts without a response in time.
    pub timeouts: u64,
    /// Truncated responses.
    pub truncated: u64,
    /// Responses with an error code.
    pub error_responses: u64,
}

/// What the exchanges of a resolver share.
pub(crate) struct ExchangeContext<'a, R> {
    pub(crate) config: &'a ResolverConfig,
    pub(crate) rng: &'a mut R,
    /// The number of the socket that was made last.
    pub(crate) last_socket: &'a mut u64,
    pub(crate) counters: &'a mut ExchangeCounters,
    /// What the driver is to do.
    pub(crate) transmits: &'a mut Vec<Transmit>,
}

impl<R: Rng> ExchangeContext<'_, R> {
    fn new_socket(&mut self) -> SocketId {
        *self.last_socket += 1;
        SocketId(*self.last_socket)
    }

    fn close(&mut self, socket: SocketId) {
        self.transmits.push(Transmit::Close { socket });
    }
}

/// One question on its way.
#[derive(Debug)]
pub(crate) struct Exchange {
    question: Question,
    /// The open attempts, the newest last.
    attempts: Vec<Attempt>,
    /// Attempts over UDP so far, repeats without EDNS not counted; it decides the server and the round of the next one.
    attempt_count: usize,
    /// When the newest attempt times out.
    deadline: Micros,
    /// The index of the server that is asked first.
    first_server: usize,
    /// Why the last attempt that failed did so.
    last_error: QuestionError,
}

impl Exchange {
    /// Asks for the first time, the server with this index.
    pub(crate) fn start<R: Rng>(
        question: Question,
        first_server: usize,
        now: Micros,
        context: &mut ExchangeContext<'_, R>,
    ) -> Self {
        let mut exchange = Exchange {
            question,
            attempts: Vec::new(),
            attempt_count: 0,
            deadline: now,
            first_server,
            last_error: QuestionError::NotAsked,
        };
        // A checked configuration has a server and a round, so that the first attempt is never the end.
        let _ = exchange.ask_next_server(now, context);
        exchange
    }

    /// When [`Exchange::on_timer`] must be called.
    pub(crate) fn deadline(&self) -> Micros {
        self.deadline
    }

    /// Whether this socket is one of the exchange.
    pub(crate) fn owns(&self, socket: SocketId) -> bool {
        self.find_attempt(socket).is_some()
    }

    fn find_attempt(&self, socket: SocketId) -> Option<usize> {
        self.attempts
            .iter()
            .position(|attempt| attempt.socket == socket)
    }

    /// Makes the next attempt, or ends the exchange after the last round.
    fn ask_next_server<R: Rng>(
        &mut self,
        now: Micros,
        context: &mut ExchangeContext<'_, R>,
    ) -> Option<ExchangeOutcome> {
        let server_count = context.config.servers.len();
        if self.attempt_count >= server_count * context.config.rounds as usize {
            self.close_all(context);
            return Some(ExchangeOutcome::Failed(self.last_error.clone()));
        }
        let index = (self.first_server + self.attempt_count) % server_count;
        let server = context.config.servers[index];
        let round = (self.attempt_count / server_count) as u32;
        self.attempt_count += 1;
        self.ask_over_udp(now, server, round, true, context);
        None
    }

    fn ask_over_udp<R: Rng>(
        &mut self,
        now: Micros,
        server: SocketAddr,
        round: u32,
        uses_edns: bool,
        context: &mut ExchangeContext<'_, R>,
    ) {
        let socket = context.new_socket();
        let id = context.rng.random::<u16>();
        let payload_bytes = uses_edns.then_some(context.config.udp_payload_bytes);
        context.transmits.push(Transmit::Udp {
            socket,
            server,
            message: encode_query(id, &self.question, payload_bytes),
        });
        context.counters.udp_attempts += 1;
        let attempt = Attempt {
            socket,
            server,
            id,
            uses_edns,
            stream: None,
        };
        self.add_attempt(attempt, context);
        let factor = 1 << round.min(MAX_TIMEOUT_DOUBLINGS);
        self.set_deadline(now, factor, context);
    }

    fn ask_over_tcp<R: Rng>(
        &mut self,
        now: Micros,
        server: SocketAddr,
        context: &mut ExchangeContext<'_, R>,
    ) {
        let socket = context.new_socket();
        let id = context.rng.random::<u16>();
        let payload_bytes = context.config.udp_payload_bytes;
        context.transmits.push(Transmit::Tcp {
            socket,
            server,
            framed_message: framed_query(id, &self.question, payload_bytes),
        });
        context.counters.tcp_attempts += 1;
        let attempt = Attempt {
            socket,
            server,
            id,
            uses_edns: true,
            stream: Some(Vec::new()),
        };
        self.add_attempt(attempt, context);
        self.set_deadline(now, TCP_TIMEOUT_FACTOR, context);
    }

    fn add_attempt<R: Rng>(&mut self, attempt: Attempt, context: &mut ExchangeContext<'_, R>) {
        if self.attempts.len() >= MAX_OPEN_ATTEMPTS {
            self.close_attempt(0, context);
        }
        self.attempts.push(attempt);
    }

    /// The newest attempt times out after this many times the timeout, with jitter.
    fn set_deadline<R: Rng>(
        &mut self,
        now: Micros,
        factor: Micros,
        context: &mut ExchangeContext<'_, R>,
    ) {
        let timeout = context.config.timeout.saturating_mul(factor);
        self.deadline = now.saturating_add(with_jitter(timeout, context.rng));
    }

    fn close_attempt<R: Rng>(&mut self, index: usize, context: &mut ExchangeContext<'_, R>) {
        let attempt = self.attempts.remove(index);
        context.close(attempt.socket);
    }

    fn close_all<R: Rng>(&mut self, context: &mut ExchangeContext<'_, R>) {
        for attempt in self.attempts.drain(..) {
            context.close(attempt.socket);
        }
    }

    /// Asks the next server if the newest attempt has timed out. The older attempts may still be answered.
    pub(crate) fn on_timer<R: Rng>(
        &mut self,
        now: Micros,
        context: &mut ExchangeContext<'_, R>,
    ) -> Option<ExchangeOutcome> {
        if now < self.deadline {
            return None;
        }
        context.counters.timeouts += 1;
        if let Some(newest) = self.attempts.last() {
            let transport = if newest.is_tcp() {
                Transport::Tcp
            } else {
                Transport::Udp
            };
            self.last_error = QuestionError::Attempt {
                server: newest.server,
                failure: AttemptFailure::Timeout(transport),
            };
        }
        self.ask_next_server(now, context)
    }

    /// Takes a datagram that has come on a socket of the exchange.
    pub(crate) fn on_datagram<R: Rng>(
        &mut self,
        now: Micros,
        socket: SocketId,
        from: SocketAddr,
        bytes: &[u8],
        context: &mut ExchangeContext<'_, R>,
    ) -> Option<ExchangeOutcome> {
        let index = self.find_attempt(socket)?;
        let attempt = &self.attempts[index];
        if attempt.is_tcp() {
            return None;
        }
        if attempt.server != from {
            context.counters.mismatched += 1;
            return None;
        }
        self.take_message(now, index, bytes, context)
    }

    /// Takes bytes of a connection of the exchange, in pieces of any size.
    pub(crate) fn on_stream_bytes<R: Rng>(
        &mut self,
        now: Micros,
        socket: SocketId,
        bytes: &[u8],
        context: &mut ExchangeContext<'_, R>,
    ) -> Option<ExchangeOutcome> {
        let index = self.find_attempt(socket)?;
        let message = self.attempts[index].take_stream_bytes(bytes)?;
        self.take_message(now, index, &message, context)
    }

    /// A socket of the exchange has failed, or a connection has ended.
    pub(crate) fn on_closed<R: Rng>(
        &mut self,
        now: Micros,
        socket: SocketId,
        reason: &str,
        context: &mut ExchangeContext<'_, R>,
    ) -> Option<ExchangeOutcome> {
        let index = self.find_attempt(socket)?;
        let failure = AttemptFailure::SocketClosed(reason.to_string());
        self.fail_attempt(now, index, failure, context)
    }

    /// Ends an attempt that has failed. If it was the newest one the next follows at once.
    fn fail_attempt<R: Rng>(
        &mut self,
        now: Micros,
        index: usize,
        failure: AttemptFailure,
        context: &mut ExchangeContext<'_, R>,
    ) -> Option<ExchangeOutcome> {
        let is_newest = index + 1 == self.attempts.len();
        let server = self.attempts[index].server;
        self.close_attempt(index, context);
        self.last_error = QuestionError::Attempt { server, failure };
        if is_newest {
            self.ask_next_server(now, context)
        } else {
            None
        }
    }

    /// Takes a whole message that has come for an attempt.
    fn take_message<R: Rng>(
        &mut self,
        now: Micros,
        index: usize,
        bytes: &[u8],
        context: &mut ExchangeContext<'_, R>,
    ) -> Option<ExchangeOutcome> {
        let response = match decode_response(bytes) {
            Ok(response) => response,
            Err(error) => return self.take_undecodable(now, index, bytes, error, context),
        };
        let attempt = &self.attempts[index];
        let is_tcp = attempt.is_tcp();
        if !self.matches(attempt, &response) {
            context.counters.mismatched += 1;
            // Nobody else can send on a connection: the server has lost track.
            if is_tcp {
                return self.fail_attempt(now, index, AttemptFailure::Mismatched, context);
            }
            return None;
        }
        if response.is_truncated {
            context.counters.truncated += 1;
            if is_tcp {
                return self.fail_attempt(now, index, AttemptFailure::TruncatedOverTcp, context);
            }
            let server = attempt.server;
            self.close_attempt(index, context);
            self.ask_over_tcp(now, server, context);
            return None;
        }
        self.take_response(now, index, response, context)
    }

    /// Counts a message that can't be read. Whoever guesses the port can send such messages: over UDP only one with the id
    /// of the query ends the attempt.
    fn take_undecodable<R: Rng>(
        &mut self,
        now: Micros,
        index: usize,
        bytes: &[u8],
        error: DecodeError,
        context: &mut ExchangeContext<'_, R>,
    ) -> Option<ExchangeOutcome> {
        context.counters.undecodable += 1;
        let attempt = &self.attempts[index];
        if !attempt.is_tcp() && !bytes.starts_with(&attempt.id.to_be_bytes()) {
            return None;
        }
        self.fail_attempt(now, index, AttemptFailure::Undecodable(error), context)
    }

    /// Whether a response has the id and the question of an attempt. A truncated response or one with an error may lack the
    /// question.
    fn matches(&self, attempt: &Attempt, response: &DnsResponse) -> bool {
        let matches_question = match &response.question {
            Some(question) => *question == self.question,
            None => response.is_truncated || response.code != response_code::NO_ERROR,
        };
        response.id == attempt.id && matches_question
    }

    /// Takes a whole response that matches an attempt.
    fn take_response<R: Rng>(
        &mut self,
        now: Micros,
        index: usize,
        response: DnsResponse,
        context: &mut ExchangeContext<'_, R>,
    ) -> Option<ExchangeOutcome> {
        if response.is_referral() {
            return self.fail_attempt(now, index, AttemptFailure::Referral, context);
        }
        let attempt = &self.attempts[index];
        match response.code {
            response_code::NO_ERROR | response_code::NX_DOMAIN if response.question.is_some() => {
                self.close_all(context);
                Some(ExchangeOutcome::Answered(response))
            }
            response_code::FORMAT_ERROR | response_code::NOT_IMPLEMENTED
                if attempt.uses_edns && !attempt.is_tcp() =>
            {
                // A server that does not know EDNS is asked without (RFC 6891, section 7).
                context.counters.error_responses += 1;
                let server = attempt.server;
                self.close_attempt(index, context);
                self.ask_over_udp(now, server, 0, false, context);
                None
            }
            code => {
                context.counters.error_responses += 1;
                self.fail_attempt(now, index, AttemptFailure::ErrorResponse(code), context)
            }
        }
    }
}

/// A time with up to a quarter more or less, so that nodes that ask together do not ask together again.
pub(crate) fn with_jitter<R: Rng>(time: Micros, rng: &mut R) -> Micros {
    let max_deviation = time / 4;
    time - max_deviation + rng.random_range(0..=2 * max_deviation)
}
