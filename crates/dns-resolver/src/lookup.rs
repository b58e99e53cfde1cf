//! Resolves the service's name to addresses from cached answers; returns the questions that are still open, or the result.

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
    /// The address and port on which the target listens.
    pub addr: SocketAddr,
    /// Endpoints with a lower number are preferred (RFC 2782).
    pub priority: u16,
    /// The endpoint's relative share of the load among endpoints of the same priority (RFC 2782).
    pub weight: u16,
    /// When the first of the records that lead to this address (SRV, CNAME and address records) expires.
    pub expires_at: Micros,
    /// Whether the address comes from expired records that could not be refreshed.
    pub is_stale: bool,
}

/// The result of a lookup.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceLookup {
    /// The known addresses of the targets, sorted by target name.
    pub endpoints: Vec<Endpoint>,
    /// When the first of the used records expires, after which the lookup must be repeated.
    pub expires_at: Micros,
    /// Why the service has no targets; `None` if it has any.
    pub empty_reason: Option<EmptyReason>,
    /// Targets whose addresses could not be looked up or refreshed.
    pub unresolved: Vec<UnresolvedTarget>,
    /// The number of targets ignored beyond [`ResolverConfig::max_targets`].
    pub ignored_target_count: usize,
}

/// Why an answer has no usable records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EmptyReason {
    /// The name does not exist.
    #[error("the name does not exist")]
    NoSuchName,
    /// The name has no records of the queried type.
    #[error("the name has no records of the queried type")]
    NoSuchRecords,
    /// The only target is ".", which declares the service unavailable (RFC 2782).
    #[error("the service is declared unavailable (its only target is \".\")")]
    ServiceUnavailable,
}

/// A target whose addresses could not be looked up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnresolvedTarget {
    /// The target's name.
    pub target: String,
    /// The cause of the failure.
    pub reason: UnresolvedReason,
}

/// Why a target's addresses could not be looked up.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UnresolvedReason {
    /// The cached addresses have expired and could not be refreshed; they stay in use.
    #[error(
        "its addresses have expired and could not be refreshed; the last known ones stay in use"
    )]
    Stale,
    /// The lookup failed and no addresses are cached.
    #[error(transparent)]
    Failed(#[from] QuestionError),
}

#[derive(Debug)]
pub(crate) enum LookupProgress {
    /// These questions must be answered first.
    NeedsAnswers(Vec<Question>),
    /// The lookup is complete; `used` are the questions whose answers it has used.
    Complete {
        lookup: ServiceLookup,
        used: Vec<Question>,
    },
    /// The service itself could not be looked up.
    Failed(LookupError),
}

/// The end of the alias chain that starts at a question.
enum ChainEnd<'a> {
    /// A cached answer.
    Entry(ChainEntry<'a>),
    /// A question that must be answered first.
    NeedsAnswer(Question),
    /// A question that could not be answered.
    Failed(QuestionError),
}

/// A cached answer at the end of an alias chain.
struct ChainEntry<'a> {
    content: &'a AnswerContent,
    /// When the first answer of the chain expires.
    expires_at: Micros,
    /// Whether any answer of the chain has expired.
    is_stale: bool,
}

/// Follows aliases through the cached answers.
struct CnameChainFollower<'a> {
    cache: &'a Cache,
    now: Micros,
    /// The questions of this refresh that could not be answered.
    failed: &'a BTreeMap<Question, QuestionError>,
    /// The questions that were followed.
    used: Vec<Question>,
}

impl<'a> CnameChainFollower<'a> {
    /// Follows the alias chain of a question to its end.
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

    /// The cached answer to a question: a fresh one, or a stale one if the question could not be answered.
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

/// Priority, weight and port of a target from one SRV record.
struct TargetPort {
    priority: u16,
    weight: u16,
    port: u16,
}

/// Builds the result of a lookup.
struct LookupBuilder<'a> {
    config: &'a ResolverConfig,
    chains: CnameChainFollower<'a>,
    /// When the first answer that leads to the service's records expires.
    service_expires_at: Micros,
    lookup: ServiceLookup,
    needed: Vec<Question>,
}

/// Looks up a service from the cached answers.
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
        // The caller keeps the previous lookup in use, but its records could not be refreshed.
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

    /// Adds the addresses of a target, or the question that must be answered to get them.
    fn add_target(&mut self, target: &str, ports: &[TargetPort]) {
        match self.follow_target(target) {
            Some(ChainEnd::Entry(entry)) => self.add_endpoints(target, ports, &entry),
            Some(ChainEnd::NeedsAnswer(question)) => self.needed.push(question),
            Some(ChainEnd::Failed(error)) => self.add_unresolved(target, error.into()),
            None => {}
        }
    }

    /// Follows the aliases of a target in the first family that has any addresses. A family is used only if all families
    /// before it have a negative answer.
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
                Some(expires_at) => self.limit_expiry(expires_at),
                None => break,
            }
        }
        end
    }

    fn add_endpoints(&mut self, target: &str, ports: &[TargetPort], entry: &ChainEntry) {
        self.limit_expiry(entry.expires_at);
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

    /// Makes the lookup expire at this time at the latest.
    fn limit_expiry(&mut self, expires_at: Micros) {
        self.lookup.expires_at = self.lookup.expires_at.min(expires_at);
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

/// Groups SRV records by target.
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
