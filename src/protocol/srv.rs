//! What a look-up of SRV records comes to as a source of servers. The zone and the kind of a server follow from its
//! target's name.

#![expect(clippy::min_ident_chars, reason = "not yet converted")]

use poppykeel_dns_resolver::Endpoint;
use poppykeel_endpoints::{ListedEndpoint, ListedState};
use regex_lite::Regex;
use std::collections::BTreeMap;

/// How a target's name and record are understood.
#[derive(Clone, Debug)]
pub struct SrvEndpointMapping {
    /// Matched with the target's name in lower case; its groups `zone`, `kind` and `cell` say what they name.
    pub target_pattern: Option<Regex>,
    /// Names found there to names of the settings; others are taken as they are.
    pub zone_names: BTreeMap<String, String>,
    /// The same for kinds.
    pub host_type_names: BTreeMap<String, String>,
    /// Where the name does not tell.
    pub default_zone: String,
    /// Where the name does not tell.
    pub default_host_type: String,
    /// Records of this priority say that their server drains.
    pub drain_priority: Option<u16>,
}

impl PartialEq for SrvEndpointMapping {
    fn eq(&self, other: &Self) -> bool {
        let parts = |n: &SrvEndpointMapping| {
            (
                n.zone_names.clone(),
                n.host_type_names.clone(),
                n.drain_priority,
            )
        };
        let pattern =
            |n: &SrvEndpointMapping| n.target_pattern.as_ref().map(|p| p.as_str().to_string());
        (
            parts(self),
            pattern(self),
            &self.default_zone,
            &self.default_host_type,
        ) == (
            parts(other),
            pattern(other),
            &other.default_zone,
            &other.default_host_type,
        )
    }
}

impl SrvEndpointMapping {
    /// The entry of one address.
    pub fn to_listed_endpoint(&self, endpoint: &Endpoint) -> ListedEndpoint {
        let found = self
            .target_pattern
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
        ListedEndpoint {
            name: format!("{}:{}", endpoint.target, endpoint.addr.port()),
            addr: endpoint.addr,
            state: if drains {
                ListedState::Draining
            } else {
                ListedState::Available
            },
            zone: place(group("zone"), &self.zone_names, &self.default_zone),
            host_type: place(
                group("kind"),
                &self.host_type_names,
                &self.default_host_type,
            ),
            cell: group("cell").and_then(|c| c.parse().ok()).unwrap_or(0),
            weight: Some(f64::from(endpoint.weight)),
            priority: Some(endpoint.priority),
            started_ms: 0,
        }
    }
}
