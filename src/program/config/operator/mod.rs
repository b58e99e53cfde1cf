//! The operator file, in TOML. Each of its tables has a module; `deploy/operator.toml` lists every key with its default
//! and unit.
//!
//! [`OperatorConfig::read`] validates each key; an error names the key's path, its line and the expected value. Commands
//! read the file when they start, and `serve` rereads it at SIGHUP.

mod budgets;
mod duration;
mod error;
mod fleet;
mod handover;
mod membership;
mod srv;
mod streams;

pub use budgets::{BudgetConfig, BudgetsConfig};
pub use duration::ConfigDuration;
pub use error::{FleetConfigError, InvalidValue, OperatorConfigError};
pub use fleet::{FleetConfig, FleetReportConfig};
pub use handover::HandoverConfig;
pub use membership::{AbsencePolicyConfig, EndpointListConfig, EndpointSource, MembershipConfig};
pub use srv::{AddressFamily, SrvConfig};
pub use streams::StreamsConfig;

use crate::routing::directory::EndpointSourceSettings;
use crate::transport::endpoints::srv::SrvLookupSettings;
use crate::transport::replica::stream_monitor::StreamSettings;
use poppykeel_endpoints::DurationMicros;
use serde::Deserialize;
use std::fmt;
use toml::de::{DeTable, DeValue};

/// The operator file.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default, expecting = "tables")]
pub struct OperatorConfig {
    /// The endpoint sources. `None` uses only the discovery service's list, whose losses are applied at once.
    pub membership: Option<MembershipConfig>,
    /// How long streams may be silent, and whether they are continued.
    pub streams: StreamsConfig,
    /// The coordination with the other nodes of the fleet; `None` disables it.
    pub fleet: Option<FleetConfig>,
    /// How a process passes its learned state to the next process of the node.
    pub handover: HandoverConfig,
}

impl OperatorConfig {
    /// Parses and validates the file.
    ///
    /// # Errors
    /// If the text is not TOML, or a value is missing or invalid; the error names the line, the key's path and the expected
    /// value.
    pub fn read(text: &str) -> Result<OperatorConfig, OperatorConfigError> {
        let line_of = |error: &toml::de::Error| {
            let start = error.span().map(|span| span.start);
            start.map_or(1, |offset| line_at(text, offset))
        };
        let document =
            toml::Deserializer::parse(text).map_err(|source| OperatorConfigError::Syntax {
                line: line_of(&source),
                source: Box::new(source),
            })?;
        let config: OperatorConfig =
            serde_path_to_error::deserialize(document).map_err(|error| {
                OperatorConfigError::Type {
                    line: line_of(error.inner()),
                    path: error.path().to_string(),
                    source: Box::new(error.into_inner()),
                }
            })?;
        config
            .check()
            .map_err(|source| OperatorConfigError::Value {
                line: find_key(text, source.path()).map_or(1, |offset| line_at(text, offset)),
                source,
            })?;
        Ok(config)
    }

    /// Checks value ranges and constraints between keys, which the types don't enforce.
    fn check(&self) -> Result<(), InvalidValue> {
        self.streams.check()?;
        if let Some(fleet) = &self.fleet {
            fleet.check()?;
        }
        if let Some(membership) = &self.membership {
            membership.check()?;
        }
        Ok(())
    }

    /// The limits on silence in streams and on continuations, from `[streams]`.
    pub fn stream_settings(&self) -> StreamSettings {
        self.streams.settings()
    }

    /// The settings of SRV look-ups; `None` if SRV records are not an endpoint source.
    pub fn srv_lookup_settings(&self) -> Option<SrvLookupSettings> {
        let membership = self.membership.as_ref()?;
        if !membership.has_source(EndpointSource::Srv) {
            return None;
        }
        membership.srv.as_ref().map(SrvConfig::lookup_settings)
    }

    /// Whether the discovery service's list is an endpoint source.
    pub fn uses_endpoint_list(&self) -> bool {
        self.membership
            .as_ref()
            .is_none_or(|membership| membership.has_source(EndpointSource::List))
    }

    /// The endpoint sources and the rules that merge their lists, from `[membership]`.
    pub fn endpoint_source_settings(&self) -> EndpointSourceSettings {
        match &self.membership {
            Some(membership) => membership.source_settings(),
            None => membership::list_only_settings(),
        }
    }
}

/// The summary that `poppykeel check` prints.
impl fmt::Display for OperatorConfig {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let registry = self.endpoint_source_settings().registry;
        let names: Vec<&str> = registry
            .sources
            .iter()
            .map(|source| source.name.as_str())
            .collect();
        write!(f, "endpoints from {}", names.join(" and "))?;
        let guard = registry
            .sources
            .first()
            .and_then(|source| source.sudden_loss_guard);
        match guard {
            Some(guard) => write!(
                f,
                "; a loss of more than {:.0}% at once is held for {} and {} answers",
                guard.max_loss_fraction * 100.0,
                format_seconds(guard.hold_time),
                guard.confirmation_count
            )?,
            None => write!(f, "; every loss is applied at once")?,
        }
        let Some(lookup) = self.srv_lookup_settings() else {
            return Ok(());
        };
        let resolver = &lookup.resolver;
        let floor = format_seconds(resolver.ttl_bounds.floor);
        let ceiling = format_seconds(resolver.ttl_bounds.ceiling);
        write!(
            f,
            "\n{} from {:?}, refreshed every {floor} to {ceiling}",
            resolver.name, resolver.servers
        )
    }
}

fn format_seconds(duration: DurationMicros) -> String {
    format!("{} s", duration as f64 / 1e6)
}

/// The number of the line, from 1, that contains the byte at this offset.
fn line_at(text: &str, offset: usize) -> usize {
    let end = (offset + 1).min(text.len());
    text[..end].lines().count().max(1)
}

/// The byte offset of a key. If the key is missing, returns the offset of the innermost existing table on its path, or
/// `None` if no table on the path exists.
fn find_key(text: &str, path: &str) -> Option<usize> {
    let mut table = DeTable::parse(text).ok()?.into_inner();
    let mut offset = None;
    for name in path.split('.') {
        let Some((key, value)) = table.remove_entry(name) else {
            break;
        };
        offset = Some(key.span().start);
        match value.into_inner() {
            DeValue::Table(inner) => table = inner,
            _ => break,
        }
    }
    offset
}
