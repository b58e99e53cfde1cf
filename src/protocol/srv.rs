//! DNS SRV records as listed endpoints. Zone, host type and cell of an endpoint follow from its target's name.
//!
//! `program::config::operator` builds a [`SrvEndpointMapping`] out of the settings, and `transport::endpoints::srv` maps
//! each answer of the resolver with it.

use poppykeel_dns_resolver::Endpoint;
use poppykeel_endpoints::{ListedEndpoint, ListedState};
use regex_lite::{Captures, Regex};
use std::collections::BTreeMap;

/// How a target's name and its record are mapped to a listed endpoint.
#[derive(Clone, Debug)]
pub struct SrvEndpointMapping {
    /// Matched against the target's name in lower case. Its groups `zone`, `kind` and `cell` capture the endpoint's
    /// zone, host type and cell.
    pub target_pattern: Option<Regex>,
    /// From captured zones to the names of zones in the settings; others are taken as they are.
    pub zone_names: BTreeMap<String, String>,
    /// From captured host types to the names of host types in the settings; others are taken as they are.
    pub host_type_names: BTreeMap<String, String>,
    /// The zone of an endpoint whose target's name has none.
    pub default_zone: String,
    /// The host type of an endpoint whose target's name has none.
    pub default_host_type: String,
    /// Records of this priority mean that their endpoint is draining.
    pub drain_priority: Option<u16>,
}

impl PartialEq for SrvEndpointMapping {
    /// Two mappings are equal if they have the same settings; patterns are compared by their text.
    fn eq(&self, other: &Self) -> bool {
        let pattern = self.target_pattern.as_ref().map(Regex::as_str);
        let other_pattern = other.target_pattern.as_ref().map(Regex::as_str);
        pattern == other_pattern
            && self.zone_names == other.zone_names
            && self.host_type_names == other.host_type_names
            && self.default_zone == other.default_zone
            && self.default_host_type == other.default_host_type
            && self.drain_priority == other.drain_priority
    }
}

impl SrvEndpointMapping {
    /// The listed endpoint of one address that a look-up has found.
    pub fn to_listed_endpoint(&self, endpoint: &Endpoint) -> ListedEndpoint {
        let captures = self
            .target_pattern
            .as_ref()
            .and_then(|pattern| pattern.captures(&endpoint.target));
        let captures = captures.as_ref();
        let is_draining = self.drain_priority == Some(endpoint.priority);
        ListedEndpoint {
            name: format!("{}:{}", endpoint.target, endpoint.addr.port()),
            addr: endpoint.addr,
            state: if is_draining {
                ListedState::Draining
            } else {
                ListedState::Available
            },
            zone: captured_name(captures, "zone", &self.zone_names, &self.default_zone),
            host_type: captured_name(
                captures,
                "kind",
                &self.host_type_names,
                &self.default_host_type,
            ),
            cell: captured(captures, "cell")
                .and_then(|cell| cell.parse().ok())
                .unwrap_or(0),
            weight: Some(f64::from(endpoint.weight)),
            priority: Some(endpoint.priority),
            started_ms: 0,
        }
    }
}

fn captured<'a>(captures: Option<&Captures<'a>>, group: &str) -> Option<&'a str> {
    captures?.name(group).map(|capture| capture.as_str())
}

/// The name in the settings of what a group has captured, or the default if it has captured nothing.
fn captured_name(
    captures: Option<&Captures<'_>>,
    group: &str,
    names: &BTreeMap<String, String>,
    default: &str,
) -> String {
    let Some(text) = captured(captures, group) else {
        return default.to_string();
    };
    names.get(text).map_or(text, String::as_str).to_string()
}
