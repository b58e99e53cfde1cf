//! Sends one question to the name servers until one has answered it, with timeouts, retries and fallback to TCP.
//!
//! Each attempt over UDP has its own socket, so that its port is random, and its own id (RFC 5452). A response is accepted
//! only if its source address, socket, id and question match the query. Over UDP a response that does not match is counted
//! and ignored, because the correct response may still arrive. After a truncated response the same server is queried over
//! TCP (RFC 7766), where truncation is a failure.

use crate::attempt::{encode_framed_query, Attempt, SocketId, Transmit};
use crate::config::{Micros, ResolverConfig};
use crate::error::{AttemptFailure, DecodeError, QuestionError, Transport};
use crate::message::{decode_response, encode_query, response_code, DnsResponse, Question};
use rand::RngExt as Rng;
use std::net::SocketAddr;

/// How many attempts of one exchange may be open at a time; the oldest is closed to make room for a new one.
const MAX_OPEN_ATTEMPTS: usize = 4;
/// The timeout of an attempt over UDP doubles at most this many times.
const MAX_TIMEOUT_DOUBLINGS: u32 = 6;
/// The timeout of an attempt over TCP is this many times the configured timeout: the handshake, the query and a long
/// response take longer than one datagram each way.
const TCP_TIMEOUT_FACTOR: Micros = 4;

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ExchangeOutcome {
    /// A server has answered with NOERROR or NXDOMAIN.
    Answered(DnsResponse),
    /// No server has answered; the error is that of the last attempt.
    Failed(QuestionError),
}

/// Counters of all exchanges of a resolver since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExchangeCounters {
    /// Attempts over UDP.
    pub udp_attempts: u64,
    /// Attempts over TCP.
    pub tcp_attempts: u64,
    /// Responses whose address, id or question did not match the query.
    pub mismatched: u64,
    /// Responses that could not be decoded.
    pub undecodable: u64,
    /// Attempts that timed out.
    pub timeouts: u64,
    /// Truncated responses.
    pub truncated: u64,
    /// Responses with an error code.
    pub error_responses: u64,
}

/// The resolver's state that all of its exchanges share.
pub(crate) struct ExchangeContext<'a, R> {
    pub(crate) config: &'a ResolverConfig,
    pub(crate) rng: &'a mut R,
    /// The number of the last socket created.
    pub(crate) last_socket_number: &'a mut u64,
    pub(crate) counters: &'a mut ExchangeCounters,
    /// Operations for the driver.
    pub(crate) transmits: &'a mut Vec<Transmit>,
}

impl<R: Rng> ExchangeContext<'_, R> {
    fn new_socket(&mut self) -> SocketId {
        *self.last_socket_number += 1;
        SocketId(*self.last_socket_number)
    }

    fn close(&mut self, socket: SocketId) {
        self.transmits.push(Transmit::Close { socket });
    }
}

/// One question in flight.
#[derive(Debug)]
pub(crate) struct Exchange {
    question: Question,
    /// The open attempts, oldest first.
    attempts: Vec<Attempt>,
    /// The number of attempts over UDP, not counting repeats without EDNS. Determines the server and the round of the next
    /// attempt.
    attempt_count: usize,
    /// When the newest attempt times out.
    deadline: Micros,
    /// The index, modulo the number of servers, of the server that is queried first.
    first_server: usize,
    /// The error of the last failed attempt.
    last_error: QuestionError,
}

impl Exchange {
    /// Starts an exchange with a query to the server with index `first_server`, modulo the number of servers.
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
        // A valid configuration has at least one server and one round, so the first attempt cannot end the exchange.
        let _ = exchange.query_next_server(now, context);
        exchange
    }

    /// When [`Exchange::on_timer`] must be called.
    pub(crate) fn deadline(&self) -> Micros {
        self.deadline
    }

    /// Whether the socket belongs to this exchange.
    pub(crate) fn owns(&self, socket: SocketId) -> bool {
        self.find_attempt(socket).is_some()
    }

    fn find_attempt(&self, socket: SocketId) -> Option<usize> {
        self.attempts
            .iter()
            .position(|attempt| attempt.socket == socket)
    }

    /// Starts the next attempt, or fails the exchange after the last round.
    fn query_next_server<R: Rng>(
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
        self.query_over_udp(now, server, round, true, context);
        None
    }

    fn query_over_udp<R: Rng>(
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

    fn query_over_tcp<R: Rng>(
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
            framed_message: encode_framed_query(id, &self.question, payload_bytes),
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

    /// Sets the deadline of the newest attempt to `factor` times the timeout, with jitter.
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

    /// Queries the next server if the newest attempt has timed out. Older attempts stay open and may still be answered.
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
        self.query_next_server(now, context)
    }

    /// Handles a datagram received on a socket of this exchange.
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
        self.handle_message(now, index, bytes, context)
    }

    /// Handles bytes received on a connection of this exchange, in chunks of any size.
    pub(crate) fn on_stream_bytes<R: Rng>(
        &mut self,
        now: Micros,
        socket: SocketId,
        bytes: &[u8],
        context: &mut ExchangeContext<'_, R>,
    ) -> Option<ExchangeOutcome> {
        let index = self.find_attempt(socket)?;
        let message = self.attempts[index].push_stream_bytes(bytes)?;
        self.handle_message(now, index, &message, context)
    }

    /// Fails the attempt whose socket has failed or whose connection has closed.
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

    /// Closes a failed attempt. If it was the newest, the next attempt starts immediately.
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
            self.query_next_server(now, context)
        } else {
            None
        }
    }

    /// Handles a complete message received for an attempt.
    fn handle_message<R: Rng>(
        &mut self,
        now: Micros,
        index: usize,
        bytes: &[u8],
        context: &mut ExchangeContext<'_, R>,
    ) -> Option<ExchangeOutcome> {
        let response = match decode_response(bytes) {
            Ok(response) => response,
            Err(error) => return self.handle_undecodable(now, index, bytes, error, context),
        };
        let attempt = &self.attempts[index];
        let is_tcp = attempt.is_tcp();
        if !self.matches(attempt, &response) {
            context.counters.mismatched += 1;
            // Only the server can send on a connection, so the mismatch is its fault.
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
            self.query_over_tcp(now, server, context);
            return None;
        }
        self.handle_response(now, index, response, context)
    }

    /// Counts a message that can't be decoded. Over UDP it fails the attempt only if it begins with the id of the query,
    /// because anyone who guesses the port can send such messages.
    fn handle_undecodable<R: Rng>(
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

    /// Whether a response has the id and the question of an attempt. The question may be missing if the response is
    /// truncated or has an error code.
    fn matches(&self, attempt: &Attempt, response: &DnsResponse) -> bool {
        let matches_question = match &response.question {
            Some(question) => *question == self.question,
            None => response.is_truncated || response.code != response_code::NO_ERROR,
        };
        response.id == attempt.id && matches_question
    }

    /// Handles a complete response that matches an attempt.
    fn handle_response<R: Rng>(
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
                // The server may not support EDNS: repeat the query without it (RFC 6891, section 7).
                context.counters.error_responses += 1;
                let server = attempt.server;
                self.close_attempt(index, context);
                self.query_over_udp(now, server, 0, false, context);
                None
            }
            code => {
                context.counters.error_responses += 1;
                self.fail_attempt(now, index, AttemptFailure::ErrorResponse(code), context)
            }
        }
    }
}

/// Changes a duration by a random amount of up to a quarter in either direction, so that nodes do not stay
/// synchronized.
pub(crate) fn with_jitter<R: Rng>(duration: Micros, rng: &mut R) -> Micros {
    let max_deviation = duration / 4;
    duration - max_deviation + rng.random_range(0..=2 * max_deviation)
}
