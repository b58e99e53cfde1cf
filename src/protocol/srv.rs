//! What a look-up of SRV records comes to as a source of servers. The zone and the kind of a server follow from its
//! target's name.

#![expect(clippy::min_ident_chars, reason = "not yet converted")]

use poppykeel_dns_resolver::Endpoint;
use poppykeel_endpoints::{Entry, State};
use regex_lite::Regex;
use std::collections::BTreeMap;

/// How a target's name and record are understood.
#[derive(Clone, Debug)]
pub struct Naming {
    /// Matched with the target's name in lower case; its groups `zone`, `kind` and `cell` say what they name.
    pub pattern: Option<Regex>,
    /// Names found there to names of the settings; others are taken as they are.
    pub zones: BTreeMap<String, String>,
    /// The same for kinds.
    pub kinds: BTreeMap<String, String>,
    /// Where the name does not tell.
    pub zone: String,
    /// Where the name does not tell.
    pub kind: String,
    /// Records of this priority say that their server drains.
    pub drain_priority: Option<u16>,
}

impl PartialEq for Naming {
    fn eq(&self, other: &Self) -> bool {
        let parts = |n: &Naming| (n.zones.clone(), n.kinds.clone(), n.drain_priority);
        let pattern = |n: &Naming| n.pattern.as_ref().map(|p| p.as_str().to_string());
        (parts(self), pattern(self), &self.zone, &self.kind)
            == (parts(other), pattern(other), &other.zone, &other.kind)
    }
}

impl Naming {
    /// The entry of one address.
    pub fn entry(&self, endpoint: &Endpoint) -> Entry {
        let found = self
            .pattern
            .as_ref()
            .and_then(|p| p.captures(&endpoint.target));
        let group = |name: &str| {
            found
                .as_ref()
                .and_then(|f| f.name(name))
                .map(|m| m.as_str())
        };
        let place =
            |group: Option<&str>, names: &BTreeMap<String, String>, absent: &str| match group {
                Some(text) => names.get(text).cloned().unwrap_or_else(|| text.to_string()),
                None => absent.to_string(),
            };
        let drains = self.drain_priority == Some(endpoint.priority);
        Entry {
            name: format!("{}:{}", endpoint.target, endpoint.addr.port()),
            addr: endpoint.addr,
            state: if drains { State::Draining } else { State::Up },
            zone: place(group("zone"), &self.zones, &self.zone),
            kind: place(group("kind"), &self.kinds, &self.kind),
            cell: group("cell").and_then(|c| c.parse().ok()).unwrap_or(0),
            weight: Some(f64::from(endpoint.weight)),
            priority: Some(endpoint.priority),
            started_ms: 0,
        }
    }
}
