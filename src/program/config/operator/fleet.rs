//! `[fleet]` of the operator file: the coordination of this node with the other nodes of its fleet.

use super::budgets::BudgetsConfig;
use super::duration::ConfigDuration;
use super::error::{FleetConfigError, InvalidValue};
use crate::transport::coordination::budgets::FleetBudgets;
use crate::transport::coordination::{CoordinationSettings, ReportSettings};
use poppykeel_coordination::budget::BudgetSettings;
use poppykeel_coordination::node::NodeSettings;
use serde::Deserialize;
use std::borrow::Cow;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The longest name of a fleet or a node, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// The largest number of lease servers.
const MAX_LEASE_SERVERS: usize = 7;
/// The largest configurable clock drift, in parts per million.
const MAX_DRIFT_PPM: u32 = 200_000;
const MIN_LEASE: ConfigDuration = ConfigDuration::from_micros(100_000);
const MAX_LEASE: ConfigDuration = ConfigDuration::from_micros(600_000_000);
const MIN_PROBE_INTERVAL: ConfigDuration = ConfigDuration::from_micros(10_000);
const MIN_REPORT_INTERVAL: ConfigDuration = ConfigDuration::from_micros(1_000);

/// `[fleet]`. Field names are the keys, which `deploy/operator.toml` documents.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, expecting = "a table with the keys of [fleet]")]
pub struct FleetConfig {
    /// The fleet's name: nodes ignore messages of other fleets.
    pub name: String,
    /// The address on which this node listens for messages of other nodes.
    pub listen: SocketAddr,
    /// The address that other nodes use for this node; `None` means `listen`.
    pub advertise: Option<SocketAddr>,
    /// The addresses, by node name, of the nodes from which this node first learns the other members.
    #[serde(default)]
    pub seeds: BTreeMap<String, SocketAddr>,
    /// Addresses of nodes, by name, that override the ones that they advertise.
    #[serde(default)]
    pub via: BTreeMap<String, SocketAddr>,
    /// The addresses of the nodes that host a lease server, by node name.
    pub keepers: BTreeMap<String, SocketAddr>,
    /// The version of the list of lease servers, which must increase whenever the list changes.
    #[serde(default = "default_keepers_number")]
    pub keepers_number: u32,
    /// The folder for the log of the lease server on this node; `None` if it hosts none.
    pub folder: Option<PathBuf>,
    /// Whether a lease server trusts its log after a restart. If not, it recovers its grants from the other lease servers.
    #[serde(default)]
    pub trust_disk: bool,
    /// From 100 ms to 10 minutes; a task whose holder has failed waits about this long.
    #[serde(default = "default_lease")]
    pub lease: ConfigDuration,
    /// The largest drift of a node's clock, in parts per million.
    #[serde(default = "default_drift")]
    pub drift: u32,
    /// The interval between health checks of another node.
    #[serde(default = "default_probe")]
    pub probe: ConfigDuration,
    /// How long to wait for a response of another node, such as a lease server.
    #[serde(default = "default_patience")]
    pub patience: ConfigDuration,
    /// The budgets that all nodes share; `None` sets no budget.
    pub budgets: Option<BudgetsConfig>,
    /// Where the report on the whole fleet is sent; `None` sends no report.
    pub report: Option<FleetReportConfig>,
}

/// `[fleet.report]`: where the report on the whole fleet is sent, and how often.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, expecting = "a table with to and every")]
pub struct FleetReportConfig {
    /// The collector's address.
    pub to: SocketAddr,
    /// The interval between reports.
    #[serde(default = "default_report_interval")]
    pub every: ConfigDuration,
}

fn default_keepers_number() -> u32 {
    1
}

fn default_lease() -> ConfigDuration {
    ConfigDuration::from_micros(5_000_000)
}

fn default_drift() -> u32 {
    1000
}

fn default_probe() -> ConfigDuration {
    ConfigDuration::from_micros(1_000_000)
}

fn default_patience() -> ConfigDuration {
    ConfigDuration::from_micros(500_000)
}

fn default_report_interval() -> ConfigDuration {
    ConfigDuration::from_micros(60_000_000)
}

impl FleetConfig {
    /// Checks value ranges and constraints between keys, which the types don't enforce.
    pub(super) fn check(&self) -> Result<(), InvalidValue> {
        self.check_names()?;
        self.check_durations()?;
        if let Some(budgets) = &self.budgets {
            budgets.check(self.drift)?;
        }
        if let Some(report) = &self.report {
            if report.every < MIN_REPORT_INTERVAL {
                return Err(invalid(
                    "report.every",
                    "expected a duration of at least 1ms",
                ));
            }
        }
        Ok(())
    }

    fn check_names(&self) -> Result<(), InvalidValue> {
        if !is_valid_name(&self.name) {
            return Err(invalid("name", "expected a name of 1 to 64 bytes"));
        }
        let lease_server_count = self.keepers.len();
        if lease_server_count.is_multiple_of(2) || lease_server_count > MAX_LEASE_SERVERS {
            return Err(invalid(
                "keepers",
                "expected the names and addresses of 1, 3, 5 or 7 nodes",
            ));
        }
        for name in self.keepers.keys().chain(self.seeds.keys()) {
            if !is_valid_name(name) {
                let expected = format!("expected names of 1 to 64 bytes, not '{name}'");
                return Err(invalid("keepers", expected));
            }
        }
        Ok(())
    }

    fn check_durations(&self) -> Result<(), InvalidValue> {
        if !(MIN_LEASE..=MAX_LEASE).contains(&self.lease) {
            return Err(invalid("lease", "expected a duration from 100ms to 10m"));
        }
        if self.drift > MAX_DRIFT_PPM {
            return Err(invalid(
                "drift",
                "expected at most 200000 parts per million",
            ));
        }
        if self.probe < MIN_PROBE_INTERVAL {
            return Err(invalid("probe", "expected a duration of at least 10ms"));
        }
        let response_timeout = self.patience.as_micros();
        if response_timeout == 0 || response_timeout > self.lease.as_micros() / 2 {
            return Err(invalid(
                "patience",
                "expected a duration above 0 and at most half of lease",
            ));
        }
        Ok(())
    }

    /// The coordination settings of the node with this name, at a site with these tenants.
    ///
    /// # Errors
    /// If a tenant with a budget is not in the site settings, or a lease server has no folder; the error names the key.
    pub fn coordination_settings(
        &self,
        node_name: &str,
        tenants: &[String],
    ) -> Result<CoordinationSettings, FleetConfigError> {
        self.check_node_and_tenants(node_name, tenants)?;
        Ok(CoordinationSettings {
            node: self.node_settings(node_name),
            listen: self.listen,
            address_overrides: self.via.clone(),
            log_folder: self.folder.clone(),
            budgets: self
                .budgets
                .as_ref()
                .map(|budgets| self.fleet_budgets(budgets, tenants)),
            report: self.report.as_ref().map(|report| ReportSettings {
                collector: report.to,
                interval: report.every.as_micros(),
            }),
        })
    }

    /// Checks that every tenant with a budget exists, and that a lease server has a folder.
    fn check_node_and_tenants(
        &self,
        node_name: &str,
        tenants: &[String],
    ) -> Result<(), FleetConfigError> {
        let budgeted_tenants = self
            .budgets
            .iter()
            .flat_map(|budgets| budgets.tenants.keys());
        for tenant in budgeted_tenants {
            if !tenants.contains(tenant) {
                return Err(FleetConfigError::UnknownTenant {
                    tenant: tenant.clone(),
                    known_tenants: tenants.to_vec(),
                });
            }
        }
        if self.keepers.contains_key(node_name) && self.folder.is_none() {
            return Err(FleetConfigError::MissingFolder {
                node: node_name.into(),
            });
        }
        Ok(())
    }

    fn node_settings(&self, node_name: &str) -> NodeSettings {
        NodeSettings {
            fleet: self.name.clone(),
            name: node_name.into(),
            address: self.advertise.unwrap_or(self.listen),
            seeds: self.seeds.clone(),
            lease_servers: self.keepers.clone(),
            lease_servers_number: self.keepers_number,
            lease_duration: self.lease.as_micros(),
            drift_ppm: self.drift,
            trusts_log: self.trust_disk,
            probe_interval: self.probe.as_micros(),
            response_timeout: self.patience.as_micros(),
        }
    }

    fn fleet_budgets(&self, budgets: &BudgetsConfig, tenants: &[String]) -> FleetBudgets {
        FleetBudgets {
            settings: BudgetSettings {
                grant_duration: budgets.share.as_micros(),
                drift_ppm: self.drift,
                limits: budgets.limits(),
            },
            tenants: tenants.to_vec(),
        }
    }
}

/// Whether a fleet or node name has a valid length.
fn is_valid_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME_BYTES
}

fn invalid(key: &str, expected: impl Into<Cow<'static, str>>) -> InvalidValue {
    InvalidValue::new(format!("fleet.{key}"), expected)
}
