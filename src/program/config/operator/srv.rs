//! `[membership.srv]` of the operator file: the endpoint source that looks up SRV records.

use super::duration::ConfigDuration;
use super::error::InvalidValue;
use super::membership::AbsencePolicyConfig;
use crate::protocol::srv::SrvEndpointMapping;
use crate::transport::endpoints::srv::SrvLookupSettings;
use poppykeel_dns_resolver::{self as dns, ResolverConfig, TtlBounds};
use poppykeel_endpoints::FlapLimits;
use regex_lite::Regex;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The lowest value of `ttl_floor` and `ttl_ceiling`, in microseconds: with 0, look-ups would follow each other without a
/// pause.
const MIN_TTL_BOUND: u64 = 1;

/// `[membership.srv]`. Field names are the keys, which `deploy/operator.toml` documents.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(
    deny_unknown_fields,
    expecting = "a table with the keys of [membership.srv]"
)]
pub struct SrvConfig {
    /// The name of the service, such as `_llm._tcp.example.test`.
    pub name: String,
    /// The name servers. Each attempt at a query goes to the next server in this order.
    pub servers: Vec<SocketAddr>,
    /// The address families to look up, in order of preference.
    #[serde(default = "default_families")]
    pub families: Vec<AddressFamily>,
    /// The lower bound of a record's TTL.
    #[serde(default = "default_ttl_floor")]
    pub ttl_floor: ConfigDuration,
    /// The upper bound of a record's TTL.
    #[serde(default = "default_ttl_ceiling")]
    pub ttl_ceiling: ConfigDuration,
    /// The upper bound of the TTL of a negative answer.
    #[serde(default = "default_ttl_negative")]
    pub ttl_negative: ConfigDuration,
    /// The timeout of an attempt in the first round of all name servers; doubles with each further round.
    #[serde(default = "default_timeout")]
    pub timeout: ConfigDuration,
    /// The number of rounds: how often each name server is tried before a query fails.
    #[serde(default = "default_rounds")]
    pub rounds: u32,
    /// The pause after a failed look-up, which doubles with each further failure.
    #[serde(default = "default_retry")]
    pub retry: ConfigDuration,
    /// The longest pause after a failed look-up.
    #[serde(default = "default_retry_most")]
    pub retry_most: ConfigDuration,
    /// The advertised size of answers over UDP, in bytes.
    #[serde(default = "default_payload")]
    pub payload: u16,
    /// The largest number of targets; further ones are ignored.
    #[serde(default = "default_most_targets")]
    pub most_targets: usize,
    /// The largest number of DNS queries in flight.
    #[serde(default = "default_most_questions")]
    pub most_questions: usize,
    /// What happens to an endpoint that the records no longer list.
    #[serde(default = "default_absence")]
    pub absence: AbsencePolicyConfig,
    /// How often an endpoint may return within `flap_window` before flap damping applies.
    #[serde(default = "default_flap_free")]
    pub flap_free: u32,
    /// Returns are counted together if each follows the previous one within this time.
    #[serde(default = "default_flap_window")]
    pub flap_window: ConfigDuration,
    /// How long an endpoint is excluded at first if it returns too often; doubles with each further return. 0 disables flap
    /// damping.
    #[serde(default = "default_flap_hold")]
    pub flap_hold: ConfigDuration,
    /// The longest time for which an endpoint that returns too often is excluded.
    #[serde(default = "default_flap_most")]
    pub flap_most: ConfigDuration,
    /// A regular expression that is matched against the target's name. Its groups `zone`, `kind` and `cell` capture the
    /// zone, host type and cell; `None` captures nothing.
    pub target: Option<String>,
    /// The zone names of the site settings, by the zone captured from a target.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
    /// The host type names of the site settings, by the host type captured from a target.
    #[serde(default)]
    pub kinds: BTreeMap<String, String>,
    /// The zone of an endpoint if `target` captures none.
    #[serde(default)]
    pub zone: String,
    /// The host type of an endpoint if `target` captures none.
    #[serde(default)]
    pub kind: String,
    /// Records with this priority mark their endpoint as draining; `None` marks none.
    pub drain_priority: Option<u16>,
    /// The capacity of an endpoint is the weight of its record divided by this; with `None` the weight does not state a
    /// capacity.
    pub weight_unit: Option<f64>,
}

/// An IP address family.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum AddressFamily {
    /// IPv4, by A records.
    Ipv4,
    /// IPv6, by AAAA records.
    Ipv6,
}

impl From<AddressFamily> for dns::AddressFamily {
    fn from(family: AddressFamily) -> Self {
        match family {
            AddressFamily::Ipv4 => dns::AddressFamily::V4,
            AddressFamily::Ipv6 => dns::AddressFamily::V6,
        }
    }
}

impl SrvConfig {
    /// Checks value ranges and constraints between keys, which the types don't enforce.
    pub(super) fn check(&self) -> Result<(), InvalidValue> {
        if let Some(target) = &self.target {
            if let Err(error) = Regex::new(target) {
                let expected = format!("expected a regular expression ({error})");
                return Err(invalid("target", expected));
            }
        }
        let has_invalid_unit = self
            .weight_unit
            .is_some_and(|unit| !unit.is_finite() || unit <= 0.0);
        if has_invalid_unit {
            return Err(invalid("weight_unit", "expected a number above 0"));
        }
        if self.flap_hold > self.flap_most {
            return Err(invalid("flap_hold", "expected at most flap_most"));
        }
        self.resolver_config()
            .check()
            .map_err(|error| invalid(error.key(), error.expected()))
    }

    fn resolver_config(&self) -> ResolverConfig {
        ResolverConfig {
            name: self.name.clone(),
            servers: self.servers.clone(),
            families: self.families.iter().copied().map(Into::into).collect(),
            timeout: self.timeout.as_micros(),
            rounds: self.rounds,
            udp_payload_bytes: self.payload,
            ttl_bounds: TtlBounds {
                floor: self.ttl_floor.as_micros().max(MIN_TTL_BOUND),
                ceiling: self.ttl_ceiling.as_micros().max(MIN_TTL_BOUND),
                negative: self.ttl_negative.as_micros(),
            },
            retry_pause: self.retry.as_micros(),
            max_retry_pause: self.retry_most.as_micros(),
            max_questions: self.most_questions,
            max_targets: self.most_targets,
        }
    }

    /// The settings of the resolver, and how records are mapped to endpoints.
    pub(super) fn lookup_settings(&self) -> SrvLookupSettings {
        let endpoint_mapping = SrvEndpointMapping {
            target_pattern: self
                .target
                .as_ref()
                .and_then(|target| Regex::new(target).ok()),
            zone_names: self.zones.clone(),
            host_type_names: self.kinds.clone(),
            default_zone: self.zone.clone(),
            default_host_type: self.kind.clone(),
            drain_priority: self.drain_priority,
        };
        SrvLookupSettings {
            resolver: self.resolver_config(),
            endpoint_mapping,
        }
    }

    /// The limits of flap damping; `None` if it is disabled.
    pub(super) fn flap_limits(&self) -> Option<FlapLimits> {
        let limits = FlapLimits {
            free_return_count: self.flap_free,
            window: self.flap_window.as_micros(),
            initial_hold: self.flap_hold.as_micros(),
            max_hold: self.flap_most.as_micros(),
        };
        (limits.initial_hold > 0).then_some(limits)
    }
}

fn invalid(key: &str, expected: impl Into<std::borrow::Cow<'static, str>>) -> InvalidValue {
    InvalidValue::new(format!("membership.srv.{key}"), expected)
}

/// The resolver's defaults, with no name and no servers.
fn resolver_defaults() -> ResolverConfig {
    ResolverConfig::new("", Vec::new())
}

fn default_families() -> Vec<AddressFamily> {
    vec![AddressFamily::Ipv4, AddressFamily::Ipv6]
}

fn default_ttl_floor() -> ConfigDuration {
    ConfigDuration::from_micros(TtlBounds::default().floor)
}

fn default_ttl_ceiling() -> ConfigDuration {
    ConfigDuration::from_micros(TtlBounds::default().ceiling)
}

fn default_ttl_negative() -> ConfigDuration {
    ConfigDuration::from_micros(TtlBounds::default().negative)
}

fn default_timeout() -> ConfigDuration {
    ConfigDuration::from_micros(resolver_defaults().timeout)
}

fn default_rounds() -> u32 {
    resolver_defaults().rounds
}

fn default_retry() -> ConfigDuration {
    ConfigDuration::from_micros(resolver_defaults().retry_pause)
}

fn default_retry_most() -> ConfigDuration {
    ConfigDuration::from_micros(resolver_defaults().max_retry_pause)
}

fn default_payload() -> u16 {
    resolver_defaults().udp_payload_bytes
}

fn default_most_targets() -> usize {
    resolver_defaults().max_targets
}

fn default_most_questions() -> usize {
    resolver_defaults().max_questions
}

fn default_absence() -> AbsencePolicyConfig {
    AbsencePolicyConfig::Removes
}

fn default_flap_free() -> u32 {
    2
}

fn default_flap_window() -> ConfigDuration {
    ConfigDuration::from_micros(60_000_000)
}

fn default_flap_hold() -> ConfigDuration {
    ConfigDuration::from_micros(10_000_000)
}

fn default_flap_most() -> ConfigDuration {
    ConfigDuration::from_micros(300_000_000)
}
