//! From the service's name to addresses, by what is in the cache: what must still be asked, or what was found.

#![expect(
    clippy::min_ident_chars,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

use crate::cache::{Cache, Kept, Meaning, MOST_ALIASES};
use crate::config::{Config, Micros};
use crate::message::{Data, Question};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

/// One address of one target.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Endpoint {
    /// The target's name.
    pub target: String,
    /// Where it listens.
    pub addr: SocketAddr,
    /// RFC 2782: lower ones first.
    pub priority: u16,
    /// RFC 2782: how much, among equal priorities.
    pub weight: u16,
    /// When the first record on the way to it expires.
    pub expires: Micros,
    /// It rests on records that have expired and cannot be asked anew.
    pub stale: bool,
}

/// What was found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Found {
    /// The addresses, in order.
    pub endpoints: Vec<Endpoint>,
    /// When the first of the records used expires.
    pub expires: Micros,
    /// Why nothing is listed, where nothing is.
    pub nothing: Option<String>,
    /// Targets that could not be looked up, and why.
    pub unresolved: Vec<(String, String)>,
    /// Targets above the bound, left out.
    pub left_out: usize,
}

/// How far a pass has come.
#[derive(Debug)]
pub(crate) enum Survey {
    /// These must be asked.
    Needs(Vec<Question>),
    /// The pass is complete.
    Complete(Found, Vec<Question>),
    /// The service itself could not be looked up.
    Failed(String),
}

/// Where a name leads.
enum Way<'a> {
    Kept(&'a Kept, Micros, bool),
    Ask(Question),
    Failed(String),
}

struct Walk<'a> {
    cache: &'a Cache,
    now: Micros,
    /// What could not be asked in this pass.
    failed: &'a BTreeMap<Question, String>,
    used: Vec<Question>,
}

impl<'a> Walk<'a> {
    /// Follows aliases from a question to what is kept; the least end of lifetimes, and whether any is over.
    fn follow(&mut self, question: Question) -> Way<'a> {
        let (mut question, mut until, mut stale) = (question, Micros::MAX, false);
        let mut seen = Vec::new();
        loop {
            self.used.push(question.clone());
            let fresh = self.cache.fresh(&question, self.now);
            let kept = match (fresh, self.failed.get(&question), self.cache.get(&question)) {
                (Some(kept), _, _) => kept,
                (None, None, _) => return Way::Ask(question),
                (None, Some(_), Some(kept)) => {
                    stale = true;
                    kept
                }
                (None, Some(why), None) => return Way::Failed(why.clone()),
            };
            until = until.min(kept.until);
            let Meaning::Alias(to) = &kept.meaning else {
                return Way::Kept(kept, until, stale);
            };
            let next = question.of(to.clone());
            seen.push(std::mem::replace(&mut question, next));
            if seen.contains(&question) {
                return Way::Failed(format!(
                    "{}: its aliases go round in a circle",
                    question.name()
                ));
            }
            if seen.len() > MOST_ALIASES {
                return Way::Failed(format!(
                    "{}: more than {MOST_ALIASES} aliases",
                    seen[0].name()
                ));
            }
        }
    }
}

pub(crate) fn survey(
    config: &Config,
    service: &Question,
    cache: &Cache,
    now: Micros,
    failed: &BTreeMap<Question, String>,
) -> Survey {
    let mut walk = Walk {
        cache,
        now,
        failed,
        used: Vec::new(),
    };
    let (kept, until, old) = match walk.follow(service.clone()) {
        Way::Kept(kept, until, stale) => (kept, until, stale),
        Way::Ask(question) => return Survey::Needs(vec![question]),
        Way::Failed(why) => return Survey::Failed(why),
    };
    if old {
        // What was listed stands, but it has not been said again.
        return Survey::Failed(failed.values().next().cloned().unwrap_or_default());
    }
    let mut found = Found {
        expires: until,
        ..Found::default()
    };
    let records = match &kept.meaning {
        Meaning::Records(records) => &records[..],
        Meaning::Nothing(why) => {
            found.nothing = Some((*why).to_string());
            &[]
        }
        Meaning::Alias(_) => &[],
    };
    let mut targets: BTreeMap<&str, Vec<(u16, u16, u16)>> = BTreeMap::new();
    for record in records {
        if let Data::Srv {
            priority,
            weight,
            port,
            target,
        } = record
        {
            targets
                .entry(target)
                .or_default()
                .push((*priority, *weight, *port));
        }
    }
    if targets.remove("").is_some() && targets.is_empty() {
        found.nothing = Some("the service is said not to be there (a target of \".\")".to_string());
    }
    found.left_out = targets.len().saturating_sub(config.most_targets);
    let mut needs = Vec::new();
    for (target, places) in targets.into_iter().take(config.most_targets) {
        let mut way = None;
        for family in &config.families {
            way = Some(walk.follow(Question::Addr(target.to_string(), *family)));
            match &way {
                // The next family counts only where this one has no addresses for certain.
                Some(Way::Kept(kept, until, _)) if matches!(kept.meaning, Meaning::Nothing(_)) => {
                    found.expires = found.expires.min(*until);
                }
                _ => break,
            }
        }
        match way {
            Some(Way::Kept(kept, addr_until, stale)) => {
                let expires = until.min(addr_until);
                found.expires = found.expires.min(addr_until);
                if stale {
                    let why =
                        "its addresses cannot be asked anew; the last ones are used".to_string();
                    found.unresolved.push((target.to_string(), why));
                }
                let Meaning::Records(addrs) = &kept.meaning else {
                    continue;
                };
                for addr in addrs.iter().filter_map(ip) {
                    for (priority, weight, port) in places.iter().copied() {
                        let (addr, target) = (SocketAddr::new(addr, port), target.to_string());
                        found.endpoints.push(Endpoint {
                            target,
                            addr,
                            priority,
                            weight,
                            expires,
                            stale,
                        });
                    }
                }
            }
            Some(Way::Ask(question)) => needs.push(question),
            Some(Way::Failed(why)) => found.unresolved.push((target.to_string(), why)),
            None => {}
        }
    }
    if !needs.is_empty() {
        return Survey::Needs(needs);
    }
    found.endpoints.sort();
    found
        .endpoints
        .dedup_by(|a, b| (&a.target, a.addr) == (&b.target, b.addr));
    Survey::Complete(found, walk.used)
}

fn ip(data: &Data) -> Option<IpAddr> {
    match data {
        Data::Addr(addr) => Some(*addr),
        _ => None,
    }
}
