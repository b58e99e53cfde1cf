//! From the service's name to addresses, by the stored answers: what must still be asked, or what was found.

use crate::answer::{AnswerContent, MAX_ALIASES};
use crate::cache::{Cache, CacheEntry};
use crate::config::{Micros, ResolverConfig};
use crate::error::{AliasError, LookupError, QuestionError};
use crate::message::{Question, RecordData};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// One address of one target.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Endpoint {
    /// The target's name.
    pub target: String,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Endpoints with a lower number come first (RFC 2782).
    pub priority: u16,
    /// The endpoint's part of the load among those of its priority (RFC 2782).
    pub weight: u16,
    /// When the first record on the way to it expires.
    pub expires_at: Micros,
    /// Whether it comes from records that have expired and can't be asked for again.
    pub is_stale: bool,
}

/// The result of a look-up.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceLookup {
    /// The addresses, sorted.
    pub endpoints: Vec<Endpoint>,
    /// When the first record that was used expires.
    pub expires_at: Micros,
    /// Why the service has no targets, where it has none.
    pub empty_reason: Option<EmptyReason>,
    /// Targets that could not be looked up.
    pub unresolved: Vec<UnresolvedTarget>,
    /// How many targets were ignored, since there are more than the configuration allows.
    pub ignored_target_count: usize,
}

/// Why there are no records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EmptyReason {
    /// The name does not exist.
    #[error("there is no such name")]
    NoSuchName,
    /// The name has no records of this kind.
    #[error("the name has no such records")]
    NoSuchRecords,
    /// The only target is ".", which says that the service is not available (RFC 2782).
    #[error("the service is said not to be there (a target of \".\")")]
    ServiceUnavailable,
}

/// A target whose addresses could not be looked up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnresolvedTarget {
    /// The target's name.
    pub target: String,
    /// Why.
    pub reason: UnresolvedReason,
}

/// Why a target's addresses could not be looked up.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UnresolvedReason {
    /// The stored addresses have expired and are used further.
    #[error("its addresses cannot be asked anew; the last ones are used")]
    Stale,
    /// No addresses are stored.
    #[error(transparent)]
    Failed(#[from] QuestionError),
}

/// How far a look-up has come.
#[derive(Debug)]
pub(crate) enum LookupProgress {
    /// These questions must be asked.
    NeedsAnswers(Vec<Question>),
    /// The look-up is complete; it has used the answers to these questions.
    Complete {
        lookup: ServiceLookup,
        used: Vec<Question>,
    },
    /// The service itself could not be looked up.
    Failed(LookupError),
}

/// Where aliases lead from a question.
enum ChainEnd<'a> {
    /// To a stored answer.
    Entry(ChainEntry<'a>),
    /// To a question that must be asked.
    NeedsAnswer(Question),
    /// To one that has no answer.
    Failed(QuestionError),
}

/// A stored answer at the end of aliases.
struct ChainEntry<'a> {
    content: &'a AnswerContent,
    /// When the first answer on the way expires.
    expires_at: Micros,
    /// Whether any answer on the way has expired.
    is_stale: bool,
}

/// Follows aliases through the stored answers.
struct CnameChainFollower<'a> {
    cache: &'a Cache,
    now: Micros,
    /// The questions of this pass that have no answer.
    failed: &'a BTreeMap<Question, QuestionError>,
    /// The questions that were followed.
    used: Vec<Question>,
}

impl<'a> CnameChainFollower<'a> {
    /// Follows the aliases from a question to their end.
    fn follow(&mut self, mut question: Question) -> ChainEnd<'a> {
        let mut expires_at = Micros::MAX;
        let mut is_stale = false;
        let mut followed: Vec<Question> = Vec::new();
        loop {
            self.used.push(question.clone());
            let entry = match self.find_entry(&question) {
                Ok(entry) => entry,
                Err(end) => return end,
            };
            is_stale |= entry.expires_at <= self.now;
            expires_at = expires_at.min(entry.expires_at);
            let AnswerContent::Alias(target) = &entry.content else {
                return ChainEnd::Entry(ChainEntry {
                    content: &entry.content,
                    expires_at,
                    is_stale,
                });
            };
            let next = question.with_name(target.clone());
            followed.push(std::mem::replace(&mut question, next));
            if followed.contains(&question) {
                let name = question.name().to_string();
                return ChainEnd::Failed(AliasError::Loop { name }.into());
            }
            if followed.len() > MAX_ALIASES {
                let name = followed[0].name().to_string();
                return ChainEnd::Failed(AliasError::TooMany { name }.into());
            }
        }
    }

    /// The stored answer to a question: a fresh one, or a stale one where the question could not be asked.
    fn find_entry(&self, question: &Question) -> Result<&'a CacheEntry, ChainEnd<'a>> {
        if let Some(fresh) = self.cache.get_fresh(question, self.now) {
            return Ok(fresh);
        }
        match (self.failed.get(question), self.cache.get(question)) {
            (None, _) => Err(ChainEnd::NeedsAnswer(question.clone())),
            (Some(_), Some(stale)) => Ok(stale),
            (Some(error), None) => Err(ChainEnd::Failed(error.clone())),
        }
    }
}

/// Where one record says that a target listens.
struct TargetPort {
    priority: u16,
    weight: u16,
    port: u16,
}

/// A look-up under way.
struct LookupBuilder<'a> {
    config: &'a ResolverConfig,
    chains: CnameChainFollower<'a>,
    /// When the first answer on the way to the service's records expires.
    service_expires_at: Micros,
    lookup: ServiceLookup,
    needed: Vec<Question>,
}

/// Looks a service up by the stored answers.
pub(crate) fn look_up(
    config: &ResolverConfig,
    service: &Question,
    cache: &Cache,
    now: Micros,
    failed: &BTreeMap<Question, QuestionError>,
) -> LookupProgress {
    let mut chains = CnameChainFollower {
        cache,
        now,
        failed,
        used: Vec::new(),
    };
    let entry = match chains.follow(service.clone()) {
        ChainEnd::Entry(entry) => entry,
        ChainEnd::NeedsAnswer(question) => return LookupProgress::NeedsAnswers(vec![question]),
        ChainEnd::Failed(error) => return LookupProgress::Failed(error.into()),
    };
    if entry.is_stale {
        // What was listed last stands, but it has not been confirmed.
        let first_error = failed.values().next().cloned();
        let error = first_error.unwrap_or(QuestionError::NotAsked);
        return LookupProgress::Failed(error.into());
    }
    let mut builder = LookupBuilder {
        config,
        chains,
        service_expires_at: entry.expires_at,
        lookup: ServiceLookup {
            expires_at: entry.expires_at,
            ..ServiceLookup::default()
        },
        needed: Vec::new(),
    };
    builder.add_service(entry.content);
    builder.finish()
}

impl<'a> LookupBuilder<'a> {
    /// Adds the targets of the service's records.
    fn add_service(&mut self, content: &AnswerContent) {
        let records = match content {
            AnswerContent::Records(records) => &records[..],
            AnswerContent::Empty(reason) => {
                self.lookup.empty_reason = Some(*reason);
                &[]
            }
            AnswerContent::Alias(_) => &[],
        };
        let mut targets = ports_by_target(records);
        if targets.remove("").is_some() && targets.is_empty() {
            self.lookup.empty_reason = Some(EmptyReason::ServiceUnavailable);
        }
        let max_targets = self.config.max_targets;
        self.lookup.ignored_target_count = targets.len().saturating_sub(max_targets);
        for (target, ports) in targets.into_iter().take(max_targets) {
            self.add_target(target, &ports);
        }
    }

    /// Adds the addresses of a target, or the question for them.
    fn add_target(&mut self, target: &str, ports: &[TargetPort]) {
        match self.follow_target(target) {
            Some(ChainEnd::Entry(entry)) => self.add_endpoints(target, ports, &entry),
            Some(ChainEnd::NeedsAnswer(question)) => self.needed.push(question),
            Some(ChainEnd::Failed(error)) => self.add_unresolved(target, error.into()),
            None => {}
        }
    }

    /// Follows the aliases of a target in the first family that has any addresses. The next family counts only where the
    /// one before it has no addresses for certain.
    fn follow_target(&mut self, target: &str) -> Option<ChainEnd<'a>> {
        let mut end = None;
        for family in &self.config.families {
            let question = Question::Address(target.to_string(), *family);
            let family_end = self.chains.follow(question);
            let empty_until = match &family_end {
                ChainEnd::Entry(entry) if matches!(entry.content, AnswerContent::Empty(_)) => {
                    Some(entry.expires_at)
                }
                _ => None,
            };
            end = Some(family_end);
            match empty_until {
                Some(expires_at) => self.expire_at(expires_at),
                None => break,
            }
        }
        end
    }

    fn add_endpoints(&mut self, target: &str, ports: &[TargetPort], entry: &ChainEntry) {
        self.expire_at(entry.expires_at);
        if entry.is_stale {
            self.add_unresolved(target, UnresolvedReason::Stale);
        }
        let AnswerContent::Records(records) = entry.content else {
            return;
        };
        for record in records {
            let RecordData::Address(address) = record else {
                continue;
            };
            for port in ports {
                self.lookup.endpoints.push(Endpoint {
                    target: target.to_string(),
                    addr: SocketAddr::new(*address, port.port),
                    priority: port.priority,
                    weight: port.weight,
                    expires_at: self.service_expires_at.min(entry.expires_at),
                    is_stale: entry.is_stale,
                });
            }
        }
    }

    fn add_unresolved(&mut self, target: &str, reason: UnresolvedReason) {
        self.lookup.unresolved.push(UnresolvedTarget {
            target: target.to_string(),
            reason,
        });
    }

    /// The look-up expires at this time at the latest.
    fn expire_at(&mut self, time: Micros) {
        self.lookup.expires_at = self.lookup.expires_at.min(time);
    }

    fn finish(mut self) -> LookupProgress {
        if !self.needed.is_empty() {
            return LookupProgress::NeedsAnswers(self.needed);
        }
        let endpoints = &mut self.lookup.endpoints;
        endpoints.sort();
        endpoints.dedup_by(|later, earlier| {
            later.target == earlier.target && later.addr == earlier.addr
        });
        LookupProgress::Complete {
            lookup: self.lookup,
            used: self.chains.used,
        }
    }
}

/// Where the targets of SRV records listen, by the target's name.
fn ports_by_target(records: &[RecordData]) -> BTreeMap<&str, Vec<TargetPort>> {
    let mut targets: BTreeMap<&str, Vec<TargetPort>> = BTreeMap::new();
    for record in records {
        let RecordData::Srv {
            priority,
            weight,
            port,
            target,
        } = record
        else {
            continue;
        };
        targets.entry(target).or_default().push(TargetPort {
            priority: *priority,
            weight: *weight,
            port: *port,
        });
    }
    targets
}
