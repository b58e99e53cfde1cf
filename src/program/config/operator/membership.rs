//! `[membership]` of the operators' file: which sources list endpoints, and when a loss of endpoints is believed.

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

/// How long a sudden loss is held, where the file says nothing.
const DEFAULT_HOLD: ConfigDuration = ConfigDuration::from_micros(30_000_000);
/// How many answers in a row must confirm a sudden loss, where the file says nothing.
const DEFAULT_CONFIRMATIONS: u32 = 3;
/// Which part of the endpoints makes a loss sudden, where the file says nothing.
const DEFAULT_LOSS_PART: f64 = 0.5;
/// When a withdrawn endpoint is forgotten, where the file says nothing: after a day.
const DEFAULT_FORGET: ConfigDuration = ConfigDuration::from_micros(24 * 3_600_000_000);

/// `[membership]`. The fields have the names of the keys, which `deploy/operator.toml` explains.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default, expecting = "struct Membership")]
pub struct MembershipConfig {
    /// The endpoint sources; where descriptions of one endpoint differ the earlier source wins.
    pub sources: Vec<EndpointSource>,
    /// A sudden loss is held this long; 0 believes it at once.
    pub hold: ConfigDuration,
    /// A sudden loss is held until this many answers in a row have confirmed it.
    pub confirmations: u32,
    /// A loss of more than this part of the endpoints within `hold` is sudden.
    pub loss_part: f64,
    /// Whether endpoints with a higher priority number stand by while one with a lower number is available.
    pub standby: bool,
    /// An endpoint that was withdrawn and that no source lists is forgotten after this time.
    pub forget: ConfigDuration,
    /// The discovery service's list.
    pub list: EndpointListConfig,
    /// SRV records.
    pub srv: Option<SrvConfig>,
}

/// The name of an endpoint source.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase", expecting = "enum Source")]
pub enum EndpointSource {
    /// The discovery service's list.
    List,
    /// SRV records.
    Srv,
}

/// What it means that a source lists an endpoint no longer.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase", expecting = "enum Absent")]
pub enum AbsenceMeaning {
    /// The source withdraws the endpoint.
    Removes,
    /// The source says nothing of the endpoint any more.
    Abstains,
}

impl From<AbsenceMeaning> for AbsencePolicy {
    fn from(meaning: AbsenceMeaning) -> Self {
        match meaning {
            AbsenceMeaning::Removes => AbsencePolicy::Removes,
            AbsenceMeaning::Abstains => AbsencePolicy::Abstains,
        }
    }
}

/// `[membership.list]`: the discovery service's list.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default, expecting = "struct List")]
pub struct EndpointListConfig {
    /// The address of the discovery service, for `resolve` without the platform's configuration.
    pub discovery: Option<SocketAddr>,
    /// What it means that the list names an endpoint no longer.
    pub absence: AbsenceMeaning,
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
            absence: AbsenceMeaning::Removes,
        }
    }
}

impl MembershipConfig {
    /// Checks what the types leave open.
    pub(super) fn check(&self) -> Result<(), InvalidValue> {
        self.check_sources()?;
        if !(0.0..1.0).contains(&self.loss_part) {
            return Err(invalid(
                "loss_part",
                "expected a part from 0 up to, but not, 1",
            ));
        }
        if self.confirmations == 0 {
            return Err(invalid("confirmations", "expected at least 1"));
        }
        match &self.srv {
            Some(srv) => srv.check(),
            None if self.has_source(EndpointSource::Srv) => Err(invalid(
                "sources",
                "\"srv\" expects a table [membership.srv] with name and servers",
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

    /// Whether endpoints come from this source.
    pub(super) fn has_source(&self, source: EndpointSource) -> bool {
        self.sources.contains(&source)
    }

    /// The settings of the endpoint sources and of the rules by which their lists become one.
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

    /// When a sudden loss is believed; `None` believes it at once.
    fn sudden_loss_guard(&self) -> Option<SuddenLossGuard> {
        let guard = SuddenLossGuard {
            hold_time: self.hold.as_micros(),
            confirmation_count: self.confirmations,
            max_loss_fraction: self.loss_part,
        };
        (guard.hold_time > 0).then_some(guard)
    }
}

/// The settings without a table `[membership]`: the discovery service's list alone, believed at once.
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
