//! Keeps one service's list fresh: asks again for what has expired, and tries again after failures.
//!
//! A pass asks, in rounds, for all that the look-up needs and has no fresh answer; the next pass begins when the first
//! answer that was used expires.

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

/// How many rounds of questions a pass may need: each alias and each family may need one more.
const MAX_ROUNDS: u32 = 64;
/// The pause after a failure doubles this many times at most.
const MAX_PAUSE_DOUBLINGS: u32 = 20;

/// What the resolver has found out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResolverEvent {
    /// The service was looked up; the list may be the same as before.
    Listed(ServiceLookup),
    /// The service could not be looked up. What was listed last stands.
    Failed {
        /// Why.
        reason: LookupError,
        /// When it is looked up again.
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
    /// Questions of this pass that wait to be asked.
    waiting: VecDeque<Question>,
    /// Questions of this pass that have no answer.
    failed: BTreeMap<Question, QuestionError>,
    /// Rounds of this pass.
    round_count: u32,
    /// Whether a pass is under way.
    is_passing: bool,
    /// When the next pass begins.
    next_pass_at: Micros,
    /// Passes in a row that have failed or were incomplete.
    failure_count: u32,
    /// The server that is asked first, by its index modulo their number: the one that answered last.
    first_server: usize,
    last_socket: u64,
    counters: ExchangeCounters,
    transmits: VecDeque<Transmit>,
    events: VecDeque<ResolverEvent>,
}

impl Resolver {
    /// A resolver that begins to ask at its first timer. The generator makes the ids of queries; it must not be guessable.
    ///
    /// # Errors
    /// Where the configuration does not pass [`ResolverConfig::check`].
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
            waiting: VecDeque::new(),
            failed: BTreeMap::new(),
            round_count: 0,
            is_passing: false,
            next_pass_at: now,
            failure_count: 0,
            first_server: 0,
            last_socket: 0,
            counters: ExchangeCounters::default(),
            transmits: VecDeque::new(),
            events: VecDeque::new(),
        })
    }

    /// When [`Resolver::on_timer`] must be called next.
    pub fn next_timer(&self) -> Micros {
        if !self.is_passing {
            return self.next_pass_at;
        }
        let deadlines = self.exchanges.values().map(Exchange::deadline);
        deadlines.min().unwrap_or(0)
    }

    /// What the driver is to do next.
    pub fn poll_transmit(&mut self) -> Option<Transmit> {
        self.transmits.pop_front()
    }

    /// What has been found out since the last call.
    pub fn poll_event(&mut self) -> Option<ResolverEvent> {
        self.events.pop_front()
    }

    /// What was sent and received so far.
    pub fn counters(&self) -> ExchangeCounters {
        self.counters
    }

    /// Begins a pass if it is time, and ends attempts that have timed out.
    pub fn on_timer(&mut self, now: Micros) {
        if !self.is_passing && now >= self.next_pass_at {
            self.is_passing = true;
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
            self.with_exchange(now, &question, |exchange, context| {
                exchange.on_timer(now, context)
            });
        }
        self.advance(now);
    }

    /// Takes a datagram that has come on this socket, from this address.
    pub fn on_datagram(&mut self, now: Micros, socket: SocketId, from: SocketAddr, bytes: &[u8]) {
        if let Some(question) = self.owner(socket) {
            self.with_exchange(now, &question, |exchange, context| {
                exchange.on_datagram(now, socket, from, bytes, context)
            });
            self.advance(now);
        }
    }

    /// Takes bytes of this connection.
    pub fn on_stream_bytes(&mut self, now: Micros, socket: SocketId, bytes: &[u8]) {
        if let Some(question) = self.owner(socket) {
            self.with_exchange(now, &question, |exchange, context| {
                exchange.on_stream_bytes(now, socket, bytes, context)
            });
            self.advance(now);
        }
    }

    /// This socket has failed, or this connection has ended.
    pub fn on_closed(&mut self, now: Micros, socket: SocketId, reason: &str) {
        if let Some(question) = self.owner(socket) {
            self.with_exchange(now, &question, |exchange, context| {
                exchange.on_closed(now, socket, reason, context)
            });
            self.advance(now);
        }
    }

    /// The question of the exchange that has this socket.
    fn owner(&self, socket: SocketId) -> Option<Question> {
        self.exchanges
            .iter()
            .find(|(_, exchange)| exchange.owns(socket))
            .map(|(question, _)| question.clone())
    }

    /// Lets one exchange act, and takes its outcome if it ends.
    fn with_exchange(
        &mut self,
        now: Micros,
        question: &Question,
        act: impl FnOnce(&mut Exchange, &mut ExchangeContext<'_, StdRng>) -> Option<ExchangeOutcome>,
    ) {
        let Some(exchange) = self.exchanges.get_mut(question) else {
            return;
        };
        let mut transmits = Vec::new();
        let mut context = ExchangeContext {
            config: &self.config,
            rng: &mut self.rng,
            last_socket: &mut self.last_socket,
            counters: &mut self.counters,
            transmits: &mut transmits,
        };
        let outcome = act(exchange, &mut context);
        self.transmits.extend(transmits);
        if let Some(outcome) = outcome {
            self.exchanges.remove(question);
            self.take_outcome(now, question, outcome);
        }
    }

    fn take_outcome(&mut self, now: Micros, question: &Question, outcome: ExchangeOutcome) {
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

    /// Asks the questions that wait, and looks the service up once all have an answer or have failed.
    fn advance(&mut self, now: Micros) {
        while self.is_passing {
            self.ask_waiting(now);
            if !self.exchanges.is_empty() {
                return;
            }
            self.round_count += 1;
            let progress = look_up(&self.config, &self.service, &self.cache, now, &self.failed);
            match progress {
                LookupProgress::NeedsAnswers(questions) if self.round_count <= MAX_ROUNDS => {
                    self.waiting.extend(questions);
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

    /// Asks questions that wait, as many as may be in flight.
    fn ask_waiting(&mut self, now: Micros) {
        while self.exchanges.len() < self.config.max_questions {
            let Some(question) = self.waiting.pop_front() else {
                break;
            };
            let mut transmits = Vec::new();
            let mut context = ExchangeContext {
                config: &self.config,
                rng: &mut self.rng,
                last_socket: &mut self.last_socket,
                counters: &mut self.counters,
                transmits: &mut transmits,
            };
            let exchange = Exchange::start(question.clone(), self.first_server, now, &mut context);
            self.transmits.extend(transmits);
            self.exchanges.insert(question, exchange);
        }
    }

    /// Ends a pass in which the service was looked up.
    fn complete(&mut self, now: Micros, lookup: ServiceLookup) {
        self.is_passing = false;
        if lookup.unresolved.is_empty() {
            self.failure_count = 0;
            self.next_pass_at = lookup.expires_at.max(now + 1);
        } else {
            let retry_at = self.retry_time(now);
            self.next_pass_at = if lookup.expires_at > now {
                lookup.expires_at.min(retry_at)
            } else {
                retry_at
            };
        }
        self.events.push_back(ResolverEvent::Listed(lookup));
    }

    /// Ends a pass in which the service could not be looked up.
    fn fail(&mut self, now: Micros, reason: LookupError) {
        self.is_passing = false;
        self.next_pass_at = self.retry_time(now);
        self.events.push_back(ResolverEvent::Failed {
            reason,
            retry_at: self.next_pass_at,
        });
    }

    /// Counts a failure; returns when to try again.
    fn retry_time(&mut self, now: Micros) -> Micros {
        let factor = 1 << self.failure_count.min(MAX_PAUSE_DOUBLINGS);
        let pause = self.config.retry_pause.saturating_mul(factor);
        let pause = pause.min(self.config.max_retry_pause);
        self.failure_count = self.failure_count.saturating_add(1);
        now.saturating_add(with_jitter(pause, &mut self.rng).max(1))
    }
}
