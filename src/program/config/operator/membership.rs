//! `[membership]` of the operator file: the endpoint sources, and when a loss of endpoints is applied.

use super::duration::ConfigDuration;
use super::error::InvalidValue;
use super::srv::SrvConfig;
use crate::routing::directory::EndpointSourceSettings;
use crate::transport::messages::{ENDPOINT_LIST_SOURCE, SRV_SOURCE};
use poppykeel_endpoints::{
    AbsencePolicy, EndpointIdentity, RegistrySettings, SourceSettings, SuddenLossGuard,
};
use serde::Deserialize;
use std::net::SocketAddr;

const DEFAULT_HOLD: ConfigDuration = ConfigDuration::from_micros(30_000_000);
const DEFAULT_CONFIRMATIONS: u32 = 3;
const DEFAULT_LOSS_PART: f64 = 0.5;
const DEFAULT_FORGET: ConfigDuration = ConfigDuration::from_micros(24 * 3_600_000_000);

/// `[membership]`. Field names are the keys, which `deploy/operator.toml` documents.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(
    deny_unknown_fields,
    default,
    expecting = "a table with the keys of [membership]"
)]
pub struct MembershipConfig {
    /// The endpoint sources. If their descriptions of an endpoint differ, the earlier source takes precedence.
    pub sources: Vec<EndpointSource>,
    /// The shortest time for which suddenly lost endpoints stay in use; 0 applies every loss at once.
    pub hold: ConfigDuration,
    /// The number of consecutive answers that must confirm a sudden loss before it is applied.
    pub confirmations: u32,
    /// A loss of more than this fraction of the endpoints within `hold` is sudden.
    pub loss_part: f64,
    /// Whether endpoints with a higher priority number are on standby while one with a lower number is available.
    pub standby: bool,
    /// How long a withdrawn endpoint that no source lists is remembered.
    pub forget: ConfigDuration,
    /// The discovery service's list.
    pub list: EndpointListConfig,
    /// How SRV records are looked up; must not be `None` if `sources` has `srv`.
    pub srv: Option<SrvConfig>,
}

/// The name of an endpoint source.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase", expecting = "\"list\" or \"srv\"")]
pub enum EndpointSource {
    /// The discovery service's list.
    List,
    /// SRV records.
    Srv,
}

/// What happens to an endpoint that a source no longer lists.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase", expecting = "\"removes\" or \"abstains\"")]
pub enum AbsencePolicyConfig {
    /// The endpoint is removed, even if other sources list it.
    Removes,
    /// The source has no further influence on the endpoint; the other sources decide.
    Abstains,
}

impl From<AbsencePolicyConfig> for AbsencePolicy {
    fn from(policy: AbsencePolicyConfig) -> Self {
        match policy {
            AbsencePolicyConfig::Removes => AbsencePolicy::Removes,
            AbsencePolicyConfig::Abstains => AbsencePolicy::Abstains,
        }
    }
}

/// `[membership.list]`: the discovery service's list.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(
    deny_unknown_fields,
    default,
    expecting = "a table with the keys of [membership.list]"
)]
pub struct EndpointListConfig {
    /// The address of the discovery service for `resolve`; `None` uses the address in the node configuration. `serve`
    /// ignores the key.
    pub discovery: Option<SocketAddr>,
    /// What happens to an endpoint that the list no longer names.
    pub absence: AbsencePolicyConfig,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        MembershipConfig {
            sources: vec![EndpointSource::List],
            hold: DEFAULT_HOLD,
            confirmations: DEFAULT_CONFIRMATIONS,
            loss_part: DEFAULT_LOSS_PART,
            standby: false,
            forget: DEFAULT_FORGET,
            list: EndpointListConfig::default(),
            srv: None,
        }
    }
}

impl Default for EndpointListConfig {
    fn default() -> Self {
        EndpointListConfig {
            discovery: None,
            absence: AbsencePolicyConfig::Removes,
        }
    }
}

impl MembershipConfig {
    /// Checks value ranges and constraints between keys, which the types don't enforce.
    pub(super) fn check(&self) -> Result<(), InvalidValue> {
        self.check_sources()?;
        if !(0.0..1.0).contains(&self.loss_part) {
            return Err(invalid(
                "loss_part",
                "expected a fraction of at least 0 and below 1",
            ));
        }
        if self.confirmations == 0 {
            return Err(invalid("confirmations", "expected at least 1"));
        }
        match &self.srv {
            Some(srv) => srv.check(),
            None if self.has_source(EndpointSource::Srv) => Err(invalid(
                "sources",
                "\"srv\" requires a table [membership.srv] with name and servers",
            )),
            None => Ok(()),
        }
    }

    fn check_sources(&self) -> Result<(), InvalidValue> {
        if self.sources.is_empty() {
            return Err(invalid(
                "sources",
                "expected at least one of \"list\" and \"srv\"",
            ));
        }
        for (index, source) in self.sources.iter().enumerate() {
            if self.sources[..index].contains(source) {
                return Err(invalid("sources", "expected each source once"));
            }
        }
        Ok(())
    }

    pub(super) fn has_source(&self, source: EndpointSource) -> bool {
        self.sources.contains(&source)
    }

    /// The settings of the endpoint sources and of the rules that combine their lists.
    pub(super) fn source_settings(&self) -> EndpointSourceSettings {
        let mut weight_unit = None;
        let mut sources = Vec::new();
        for source in &self.sources {
            match (source, &self.srv) {
                (EndpointSource::Srv, Some(srv)) => {
                    weight_unit = srv.weight_unit;
                    sources.push(self.srv_source(srv));
                }
                (EndpointSource::Srv, None) => {}
                (EndpointSource::List, _) => sources.push(self.list_source()),
            }
        }
        let registry = RegistrySettings {
            sources,
            has_priority_standby: self.standby,
            withdrawal_retention: self.forget.as_micros(),
        };
        EndpointSourceSettings {
            registry,
            weight_unit,
        }
    }

    fn srv_source(&self, srv: &SrvConfig) -> SourceSettings {
        SourceSettings {
            name: SRV_SOURCE.to_string(),
            identity: EndpointIdentity::ByAddress,
            absence_policy: srv.absence.into(),
            sudden_loss_guard: self.sudden_loss_guard(),
            flap_limits: srv.flap_limits(),
        }
    }

    fn list_source(&self) -> SourceSettings {
        SourceSettings {
            name: ENDPOINT_LIST_SOURCE.to_string(),
            identity: EndpointIdentity::ByName,
            absence_policy: self.list.absence.into(),
            sudden_loss_guard: self.sudden_loss_guard(),
            flap_limits: None,
        }
    }

    /// When a sudden loss is applied; `None` applies every loss at once.
    fn sudden_loss_guard(&self) -> Option<SuddenLossGuard> {
        let guard = SuddenLossGuard {
            hold_time: self.hold.as_micros(),
            confirmation_count: self.confirmations,
            max_loss_fraction: self.loss_part,
        };
        (guard.hold_time > 0).then_some(guard)
    }
}

/// The settings without a table `[membership]`: only the discovery service's list, whose losses are applied at once.
pub(super) fn list_only_settings() -> EndpointSourceSettings {
    let list = SourceSettings::new(ENDPOINT_LIST_SOURCE, EndpointIdentity::ByName);
    EndpointSourceSettings {
        registry: RegistrySettings {
            sources: vec![list],
            ..RegistrySettings::default()
        },
        weight_unit: None,
    }
}

fn invalid(key: &str, expected: &'static str) -> InvalidValue {
    InvalidValue::new(format!("membership.{key}"), expected)
}
