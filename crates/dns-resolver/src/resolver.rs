//! Keeps the lookup result of one service fresh: refreshes expired answers and retries after failures.
//!
//! A refresh sends, in rounds, all questions that the lookup needs and that have no fresh answer in the cache. The next
//! refresh starts when the first answer that was used expires.

use crate::attempt::{SocketId, Transmit};
use crate::cache::Cache;
use crate::config::{Micros, ResolverConfig};
use crate::error::{LookupError, QuestionError, ResolverConfigError};
use crate::exchange::{with_jitter, Exchange, ExchangeContext, ExchangeCounters, ExchangeOutcome};
use crate::lookup::{look_up, LookupProgress, ServiceLookup};
use crate::message::{normalize_name, Question};
use rand::rngs::StdRng;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Limit on rounds of questions in a refresh: each alias and each address family may need a further round.
pub(crate) const MAX_QUESTION_ROUNDS: u32 = 64;
/// The pause after a failure doubles at most this many times.
const MAX_PAUSE_DOUBLINGS: u32 = 20;

/// The result of a refresh.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResolverEvent {
    /// The service was looked up; the result may be unchanged.
    Listed(ServiceLookup),
    /// The service could not be looked up. The result of the previous lookup stays valid.
    Failed {
        /// The cause of the failure.
        reason: LookupError,
        /// When the next lookup starts.
        retry_at: Micros,
    },
}

/// The resolver of one service.
pub struct Resolver {
    config: ResolverConfig,
    service: Question,
    rng: StdRng,
    cache: Cache,
    exchanges: BTreeMap<Question, Exchange>,
    /// Questions of this refresh that have not been sent yet.
    pending: VecDeque<Question>,
    /// Questions of this refresh that could not be answered.
    failed: BTreeMap<Question, QuestionError>,
    /// Rounds of questions in this refresh.
    round_count: u32,
    /// Whether a refresh is in progress.
    is_refreshing: bool,
    /// When the next refresh starts.
    next_refresh_at: Micros,
    /// The number of consecutive refreshes that failed or left targets unresolved.
    failure_count: u32,
    /// The index, modulo the number of servers, of the server that is queried first. Advances when a question fails.
    first_server: usize,
    last_socket_number: u64,
    counters: ExchangeCounters,
    transmits: VecDeque<Transmit>,
    events: VecDeque<ResolverEvent>,
}

impl Resolver {
    /// A resolver that sends its first query at the first call of [`Resolver::on_timer`]. `rng` generates the ids of
    /// queries and must be unpredictable.
    ///
    /// # Errors
    /// If the configuration does not pass [`ResolverConfig::check`].
    pub fn new(
        config: ResolverConfig,
        rng: StdRng,
        now: Micros,
    ) -> Result<Self, ResolverConfigError> {
        config.check()?;
        Ok(Resolver {
            service: Question::Srv(normalize_name(&config.name)),
            config,
            rng,
            cache: Cache::default(),
            exchanges: BTreeMap::new(),
            pending: VecDeque::new(),
            failed: BTreeMap::new(),
            round_count: 0,
            is_refreshing: false,
            next_refresh_at: now,
            failure_count: 0,
            first_server: 0,
            last_socket_number: 0,
            counters: ExchangeCounters::default(),
            transmits: VecDeque::new(),
            events: VecDeque::new(),
        })
    }

    /// When [`Resolver::on_timer`] must be called next.
    pub fn next_timer(&self) -> Micros {
        if !self.is_refreshing {
            return self.next_refresh_at;
        }
        let deadlines = self.exchanges.values().map(Exchange::deadline);
        deadlines.min().unwrap_or(0)
    }

    /// The next operation for the driver; `None` if there is none now.
    pub fn poll_transmit(&mut self) -> Option<Transmit> {
        self.transmits.pop_front()
    }

    /// The next event; `None` if there is none now.
    pub fn poll_event(&mut self) -> Option<ResolverEvent> {
        self.events.pop_front()
    }

    /// Counters of queries and responses since the start.
    pub fn counters(&self) -> ExchangeCounters {
        self.counters
    }

    /// Starts a refresh if it is due, and handles attempts that have timed out.
    pub fn on_timer(&mut self, now: Micros) {
        if !self.is_refreshing && now >= self.next_refresh_at {
            self.is_refreshing = true;
            self.round_count = 0;
            self.failed.clear();
        }
        let mut due = Vec::new();
        for (question, exchange) in &self.exchanges {
            if exchange.deadline() <= now {
                due.push(question.clone());
            }
        }
        for question in due {
            self.update_exchange(now, &question, |exchange, context| {
                exchange.on_timer(now, context)
            });
        }
        self.advance(now);
    }

    /// Handles a datagram received on this socket from this address.
    pub fn on_datagram(&mut self, now: Micros, socket: SocketId, from: SocketAddr, bytes: &[u8]) {
        if let Some(question) = self.question_for_socket(socket) {
            self.update_exchange(now, &question, |exchange, context| {
                exchange.on_datagram(now, socket, from, bytes, context)
            });
            self.advance(now);
        }
    }

    /// Handles bytes received on this connection.
    pub fn on_stream_bytes(&mut self, now: Micros, socket: SocketId, bytes: &[u8]) {
        if let Some(question) = self.question_for_socket(socket) {
            self.update_exchange(now, &question, |exchange, context| {
                exchange.on_stream_bytes(now, socket, bytes, context)
            });
            self.advance(now);
        }
    }

    /// Fails the attempt whose socket has failed or whose connection has closed. `reason` becomes part of the error.
    pub fn on_closed(&mut self, now: Micros, socket: SocketId, reason: &str) {
        if let Some(question) = self.question_for_socket(socket) {
            self.update_exchange(now, &question, |exchange, context| {
                exchange.on_closed(now, socket, reason, context)
            });
            self.advance(now);
        }
    }

    /// The question of the exchange that owns this socket; `None` if it is closed already.
    fn question_for_socket(&self, socket: SocketId) -> Option<Question> {
        self.exchanges
            .iter()
            .find(|(_, exchange)| exchange.owns(socket))
            .map(|(question, _)| question.clone())
    }

    /// Updates one exchange, and handles its outcome if it has ended.
    fn update_exchange(
        &mut self,
        now: Micros,
        question: &Question,
        update: impl FnOnce(&mut Exchange, &mut ExchangeContext<'_, StdRng>) -> Option<ExchangeOutcome>,
    ) {
        let Some(exchange) = self.exchanges.get_mut(question) else {
            return;
        };
        let mut transmits = Vec::new();
        let mut context = ExchangeContext {
            config: &self.config,
            rng: &mut self.rng,
            last_socket_number: &mut self.last_socket_number,
            counters: &mut self.counters,
            transmits: &mut transmits,
        };
        let outcome = update(exchange, &mut context);
        self.transmits.extend(transmits);
        if let Some(outcome) = outcome {
            self.exchanges.remove(question);
            self.handle_outcome(now, question, outcome);
        }
    }

    fn handle_outcome(&mut self, now: Micros, question: &Question, outcome: ExchangeOutcome) {
        let error = match outcome {
            ExchangeOutcome::Answered(response) => {
                let bounds = &self.config.ttl_bounds;
                match self.cache.insert(now, question, &response, bounds) {
                    Ok(()) => return,
                    Err(error) => error.into(),
                }
            }
            ExchangeOutcome::Failed(error) => {
                self.first_server += 1;
                error
            }
        };
        self.failed.insert(question.clone(), error);
    }

    /// Sends pending questions, and looks up the service once all questions are answered or have failed.
    fn advance(&mut self, now: Micros) {
        while self.is_refreshing {
            self.send_pending(now);
            if !self.exchanges.is_empty() {
                return;
            }
            self.round_count += 1;
            let progress = look_up(&self.config, &self.service, &self.cache, now, &self.failed);
            match progress {
                LookupProgress::NeedsAnswers(questions)
                    if self.round_count <= MAX_QUESTION_ROUNDS =>
                {
                    self.pending.extend(questions);
                }
                LookupProgress::NeedsAnswers(_) => self.fail(now, LookupError::TooManyRounds),
                LookupProgress::Failed(error) => self.fail(now, error),
                LookupProgress::Complete { lookup, used } => {
                    self.cache.retain(&used);
                    self.complete(now, lookup);
                }
            }
        }
    }

    /// Sends pending questions up to the limit on questions in flight.
    fn send_pending(&mut self, now: Micros) {
        while self.exchanges.len() < self.config.max_questions {
            let Some(question) = self.pending.pop_front() else {
                break;
            };
            let mut transmits = Vec::new();
            let mut context = ExchangeContext {
                config: &self.config,
                rng: &mut self.rng,
                last_socket_number: &mut self.last_socket_number,
                counters: &mut self.counters,
                transmits: &mut transmits,
            };
            let exchange = Exchange::start(question.clone(), self.first_server, now, &mut context);
            self.transmits.extend(transmits);
            self.exchanges.insert(question, exchange);
        }
    }

    /// Ends a refresh in which the service was looked up, possibly with unresolved targets.
    fn complete(&mut self, now: Micros, lookup: ServiceLookup) {
        self.is_refreshing = false;
        if lookup.unresolved.is_empty() {
            self.failure_count = 0;
            self.next_refresh_at = lookup.expires_at.max(now + 1);
        } else {
            let retry_at = self.schedule_retry(now);
            self.next_refresh_at = if lookup.expires_at > now {
                lookup.expires_at.min(retry_at)
            } else {
                retry_at
            };
        }
        self.events.push_back(ResolverEvent::Listed(lookup));
    }

    /// Ends a refresh in which the service could not be looked up.
    fn fail(&mut self, now: Micros, reason: LookupError) {
        self.is_refreshing = false;
        self.next_refresh_at = self.schedule_retry(now);
        self.events.push_back(ResolverEvent::Failed {
            reason,
            retry_at: self.next_refresh_at,
        });
    }

    /// Counts a failure and returns the time of the next refresh.
    fn schedule_retry(&mut self, now: Micros) -> Micros {
        let factor = 1 << self.failure_count.min(MAX_PAUSE_DOUBLINGS);
        let pause = self.config.retry_pause.saturating_mul(factor);
        let pause = pause.min(self.config.max_retry_pause);
        self.failure_count = self.failure_count.saturating_add(1);
        now.saturating_add(with_jitter(pause, &mut self.rng).max(1))
    }
}
