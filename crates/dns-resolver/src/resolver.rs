//! Keeps one service's list fresh: passes over what has expired, and tries again after failures.

#![expect(
    clippy::match_bool,
    clippy::min_ident_chars,
    clippy::missing_errors_doc,
    clippy::semicolon_if_nothing_returned,
    reason = "not yet converted"
)]

use crate::cache::Cache;
use crate::config::{Config, Micros};
use crate::exchange::{jitter, Asked, Counts, Ends, Exchange, Key, Means};
use crate::lookup::{survey, Found, Survey};
use crate::message::{name, normal, Question};
use rand::rngs::StdRng;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Surveys of one pass: each alias and each family may need one more.
const MOST_SURVEYS: u32 = 64;

/// What the driver is to do.
pub type Transmit = Asked;

/// What has been found out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The list, asked for anew; also where it is what it was.
    Listed(Found),
    /// The service could not be looked up; what was listed last stands, and is tried again at this time.
    Failed {
        /// Why.
        why: String,
        /// When it is tried again.
        again: Micros,
    },
}

impl Config {
    /// Checks what the types leave open; an error says what would be right.
    pub fn check(&self) -> Result<(), String> {
        name(&self.name).map_err(|e| format!("name: expected a domain name ({e})"))?;
        let bad = |what: &str| Err(what.to_string());
        match () {
            () if self.servers.is_empty() => bad("servers: expected at least one ADDRESS:PORT"),
            () if self.families.is_empty() => bad("families: expected ipv4, ipv6 or both"),
            () if self.timeout == 0 => bad("timeout: expected a time above 0"),
            () if self.rounds == 0 => bad("rounds: expected at least 1"),
            () if self.payload < 512 => bad("payload: expected at least 512 bytes"),
            () if self.lifetimes.floor > self.lifetimes.ceiling => {
                bad("ttl_floor: expected at most ttl_ceiling")
            }
            () if self.retry == 0 || self.retry > self.retry_most => {
                bad("retry: expected a time above 0 and at most retry_most")
            }
            () if self.most_questions == 0 || self.most_targets == 0 => {
                bad("most_questions, most_targets: expected at least 1")
            }
            () => Ok(()),
        }
    }
}

/// The resolver of one service.
pub struct Resolver {
    config: Config,
    service: Question,
    rng: StdRng,
    cache: Cache,
    exchanges: BTreeMap<Question, Exchange>,
    waiting: VecDeque<Question>,
    /// What could not be asked in this pass, and why.
    failed: BTreeMap<Question, String>,
    surveys: u32,
    /// A pass is under way.
    passing: bool,
    /// When the next one begins.
    next: Micros,
    failures: u32,
    /// The server that answered last is asked first.
    first: usize,
    keys: u64,
    counts: Counts,
    out: VecDeque<Asked>,
    events: VecDeque<Event>,
}

impl Resolver {
    /// A resolver that begins to ask at its first turn. `rng` makes ids; it must not be guessable.
    pub fn new(config: Config, rng: StdRng, now: Micros) -> Result<Self, String> {
        config.check()?;
        let service = Question::Srv(normal(&config.name));
        let (cache, exchanges, waiting, failed, out, events) = Default::default();
        Ok(Resolver {
            config,
            service,
            rng,
            cache,
            exchanges,
            waiting,
            failed,
            surveys: 0,
            passing: false,
            next: now,
            failures: 0,
            first: 0,
            keys: 0,
            counts: Counts::default(),
            out,
            events,
        })
    }

    /// When `turn` must be called next.
    pub fn due(&self) -> Micros {
        match self.passing {
            true => self.exchanges.values().map(|e| e.due).min().unwrap_or(0),
            false => self.next,
        }
    }

    /// What is to be sent next.
    pub fn transmit(&mut self) -> Option<Transmit> {
        self.out.pop_front()
    }

    /// What has been found out since.
    pub fn event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// What was passed over or had to be asked again so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Lets the time pass.
    pub fn turn(&mut self, now: Micros) {
        if !self.passing && now >= self.next {
            (self.passing, self.surveys) = (true, 0);
            self.failed.clear();
        }
        let due: Vec<Question> = self
            .exchanges
            .iter()
            .filter(|(_, e)| e.due <= now)
            .map(|(q, _)| q.clone())
            .collect();
        for question in due {
            self.with(now, &question, |exchange, means| exchange.turn(now, means));
        }
        self.go_on(now);
    }

    /// A datagram has come on this socket, from there.
    pub fn datagram(&mut self, now: Micros, key: Key, from: SocketAddr, bytes: &[u8]) {
        if let Some(question) = self.owner(key) {
            self.with(now, &question, |exchange, means| {
                exchange.datagram(now, key, from, bytes, means)
            });
            self.go_on(now);
        }
    }

    /// Bytes of this connection.
    pub fn bytes(&mut self, now: Micros, key: Key, bytes: &[u8]) {
        if let Some(question) = self.owner(key) {
            self.with(now, &question, |exchange, means| {
                exchange.bytes(now, key, bytes, means)
            });
            self.go_on(now);
        }
    }

    /// This socket or connection has failed or ended.
    pub fn closed(&mut self, now: Micros, key: Key, why: &str) {
        if let Some(question) = self.owner(key) {
            self.with(now, &question, |exchange, means| {
                exchange.closed(now, key, why, means)
            });
            self.go_on(now);
        }
    }

    fn owner(&self, key: Key) -> Option<Question> {
        self.exchanges
            .iter()
            .find(|(_, e)| e.owns(key))
            .map(|(q, _)| q.clone())
    }

    /// Lets one exchange act, and takes its end over.
    fn with(
        &mut self,
        now: Micros,
        question: &Question,
        act: impl FnOnce(&mut Exchange, &mut Means<'_, StdRng>) -> Option<Ends>,
    ) {
        let Some(exchange) = self.exchanges.get_mut(question) else {
            return;
        };
        let mut out = Vec::new();
        let mut means = Means {
            config: &self.config,
            rng: &mut self.rng,
            keys: &mut self.keys,
            counts: &mut self.counts,
            out: &mut out,
        };
        let ends = act(exchange, &mut means);
        self.out.extend(out);
        let Some(ends) = ends else { return };
        self.exchanges.remove(question);
        match ends {
            Ends::Answered(answer) => {
                if let Err(why) = self
                    .cache
                    .take(now, question, &answer, &self.config.lifetimes)
                {
                    self.failed.insert(question.clone(), why);
                }
            }
            Ends::Failed(why) => {
                self.first += 1;
                self.failed.insert(question.clone(), why);
            }
        }
    }

    /// Asks what waits, and looks over what is there once all has been answered.
    fn go_on(&mut self, now: Micros) {
        while self.passing {
            while self.exchanges.len() < self.config.most_questions {
                let Some(question) = self.waiting.pop_front() else {
                    break;
                };
                let mut out = Vec::new();
                let mut means = Means {
                    config: &self.config,
                    rng: &mut self.rng,
                    keys: &mut self.keys,
                    counts: &mut self.counts,
                    out: &mut out,
                };
                let exchange = Exchange::begin(question.clone(), self.first, now, &mut means);
                self.out.extend(out);
                self.exchanges.insert(question, exchange);
            }
            if !self.exchanges.is_empty() {
                return;
            }
            self.surveys += 1;
            match survey(&self.config, &self.service, &self.cache, now, &self.failed) {
                Survey::Needs(questions) if self.surveys <= MOST_SURVEYS => {
                    self.waiting.extend(questions)
                }
                Survey::Needs(_) => {
                    self.fail(now, "the answers lead on without an end".to_string())
                }
                Survey::Failed(why) => self.fail(now, why),
                Survey::Complete(found, used) => {
                    self.cache.retain(&used);
                    self.passing = false;
                    if found.unresolved.is_empty() {
                        self.failures = 0;
                        self.next = found.expires.max(now + 1);
                    } else {
                        let again = self.again(now);
                        self.next = if found.expires > now {
                            found.expires.min(again)
                        } else {
                            again
                        };
                    }
                    self.events.push_back(Event::Listed(found));
                }
            }
        }
    }

    fn again(&mut self, now: Micros) -> Micros {
        let span = self
            .config
            .retry
            .saturating_mul(1 << self.failures.min(20))
            .min(self.config.retry_most);
        self.failures = self.failures.saturating_add(1);
        now.saturating_add(jitter(span, &mut self.rng).max(1))
    }

    fn fail(&mut self, now: Micros, why: String) {
        self.passing = false;
        self.next = self.again(now);
        self.events.push_back(Event::Failed {
            why,
            again: self.next,
        });
    }
}
