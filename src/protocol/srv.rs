//! Maps DNS SRV records to endpoints. The name of a record's target determines the zone, host type and cell.
//!
//! `program::config::operator` builds a [`SrvEndpointMapping`] from the settings, and `transport::endpoints::srv` applies it
//! to each answer of the resolver.

use poppykeel_dns_resolver::Endpoint;
use poppykeel_endpoints::{ListedEndpoint, ListedState};
use regex_lite::{Captures, Regex};
use std::collections::BTreeMap;

/// How a target's name and its record are mapped to an endpoint.
#[derive(Clone, Debug)]
pub struct SrvEndpointMapping {
    /// Matched against the target's name in lower case. Its groups `zone`, `kind` and `cell` capture the endpoint's
    /// zone, host type and cell. `None` captures nothing.
    pub target_pattern: Option<Regex>,
    /// The zone names of the site settings, by captured zone. Other captured zones are used unchanged.
    pub zone_names: BTreeMap<String, String>,
    /// The host type names of the site settings, by captured host type. Other captured host types are used unchanged.
    pub host_type_names: BTreeMap<String, String>,
    /// The zone of an endpoint if `target_pattern` captures none in its target's name.
    pub default_zone: String,
    /// The host type of an endpoint if `target_pattern` captures none in its target's name.
    pub default_host_type: String,
    /// Endpoints of records with this priority are draining; if `None`, no endpoint is.
    pub drain_priority: Option<u16>,
}

impl PartialEq for SrvEndpointMapping {
    /// Patterns are compared by their text, since `Regex` has no equality.
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
    /// Maps one address of a look-up's result to an endpoint.
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

/// The configured name for the text that a group captured, that text if no name is configured, or the default if the group
/// captured nothing.
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
