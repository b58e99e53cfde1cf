//! `[fleet]` of the operators' file: what this node has to do with the others.

#![expect(clippy::min_ident_chars, reason = "not yet converted")]

use super::operator::Span;
use crate::transport::coordination::budgets::{FleetBudgets, TENANT_PREFIX};
use crate::transport::coordination::{CoordinationSettings, ReportSettings};
use poppykeel_coordination::budget::{BudgetLimit, BudgetSettings, MAX_BUDGETS};
use poppykeel_coordination::node::NodeSettings;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// A fleet larger than this has another way of being run.
const MOST_KEEPERS: usize = 7;
/// A clock that runs more wrong than this is no clock.
const MOST_DRIFT: u32 = 200_000;
const LONGEST_LEASE: u64 = 600_000_000;
const SHORTEST_LEASE: u64 = 100_000;
/// Budgets are bounded in number, and most of them are tenants'.
const MOST_TENANTS: usize = MAX_BUDGETS - 8;

/// What the file says of the fleet.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
#[allow(missing_docs)] // each key is explained in deploy/operator.toml
pub struct Fleet {
    pub name: String,
    pub listen: SocketAddr,
    pub advertise: Option<SocketAddr>,
    #[serde(default)]
    pub seeds: BTreeMap<String, SocketAddr>,
    #[serde(default)]
    pub via: BTreeMap<String, SocketAddr>,
    pub keepers: BTreeMap<String, SocketAddr>,
    #[serde(default = "Fleet::first")]
    pub keepers_number: u32,
    pub folder: Option<PathBuf>,
    #[serde(default)]
    pub trust_disk: bool,
    #[serde(default = "Fleet::lease")]
    pub lease: Span,
    #[serde(default = "Fleet::drift")]
    pub drift: u32,
    #[serde(default = "Fleet::probe")]
    pub probe: Span,
    #[serde(default = "Fleet::patience")]
    pub patience: Span,
    pub budgets: Option<Budgets>,
    pub report: Option<ReportTo>,
}

/// Budgets of the whole fleet.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
#[allow(missing_docs)]
pub struct Budgets {
    pub most_nodes: u32,
    #[serde(default = "Budgets::share")]
    pub share: Span,
    pub retries: Option<Budget>,
    pub copies: Option<Budget>,
    pub probes: Option<Budget>,
    pub crossings: Option<Budget>,
    pub cold: Option<Budget>,
    pub discovery: Option<Budget>,
    #[serde(default)]
    pub tenants: BTreeMap<String, Budget>,
}

/// One of them.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
#[allow(missing_docs)]
pub struct Budget {
    pub rate: f64,
    pub burst: f64,
    pub floor: f64,
    pub floor_burst: f64,
}

impl Budgets {
    fn share() -> Span {
        Span(2_000_000)
    }

    /// Each by its name between nodes and its key in the file.
    fn all(&self) -> impl Iterator<Item = (String, String, Budget)> + '_ {
        let named = [
            ("retries", self.retries),
            ("copies", self.copies),
            ("probes", self.probes),
            ("crossings", self.crossings),
            ("cold", self.cold),
            ("discovery", self.discovery),
        ];
        let named = named
            .into_iter()
            .filter_map(|(name, budget)| Some((name.into(), name.into(), budget?)));
        let tenants = self.tenants.iter();
        named.chain(tenants.map(|(name, b)| {
            (
                format!("{TENANT_PREFIX}{name}"),
                format!("tenants.{name}"),
                *b,
            )
        }))
    }

    fn limits(&self) -> BTreeMap<String, BudgetLimit> {
        let thousandths = |x: f64| (x * 1e3).round() as u64;
        let limit = |b: Budget| BudgetLimit {
            rate: thousandths(b.rate),
            burst: thousandths(b.burst),
            guaranteed_rate: thousandths(b.floor),
            guaranteed_burst: thousandths(b.floor_burst),
            max_nodes: self.most_nodes,
        };
        self.all()
            .map(|(name, _, budget)| (name, limit(budget)))
            .collect()
    }

    fn check(&self, drift: u32) -> Result<(), (String, String)> {
        let bad = |key: &str, what: &str| Err((format!("fleet.budgets.{key}"), what.to_string()));
        if self.most_nodes == 0 || self.most_nodes > 4096 {
            return bad("most_nodes", "expected 1 to 4096 nodes");
        }
        if !(200_000..=600_000_000).contains(&self.share.0) {
            return bad("share", "expected a time from 200ms to 10m");
        }
        if self.tenants.len() > MOST_TENANTS {
            return bad(
                "tenants",
                &format!("expected at most {MOST_TENANTS} tenants with budgets"),
            );
        }
        for (_, name, b) in self.all() {
            for (key, value) in [
                ("rate", b.rate),
                ("burst", b.burst),
                ("floor", b.floor),
                ("floor_burst", b.floor_burst),
            ] {
                if !(0.0..=1e9).contains(&value) {
                    return bad(
                        &format!("{name}.{key}"),
                        "expected a number from 0 to 1000000000",
                    );
                }
            }
            if b.rate > 0.0 && b.floor_burst < 1.0 {
                return bad(
                    &format!("{name}.floor_burst"),
                    "expected at least 1: less is never one whole unit",
                );
            }
        }
        let limits = self.limits();
        for (name, at, _) in self.all() {
            if let Err(error) = limits[&name].validate(drift) {
                return bad(&format!("{at}.{}", error.key()), &error.to_string());
            }
        }
        Ok(())
    }
}

/// Where the fleet's report goes.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
#[allow(missing_docs)]
pub struct ReportTo {
    pub to: SocketAddr,
    #[serde(default = "ReportTo::every")]
    pub every: Span,
}

impl ReportTo {
    fn every() -> Span {
        Span(60_000_000)
    }
}

impl Fleet {
    fn first() -> u32 {
        1
    }
    fn lease() -> Span {
        Span(5_000_000)
    }
    fn drift() -> u32 {
        1000
    }
    fn probe() -> Span {
        Span(1_000_000)
    }
    fn patience() -> Span {
        Span(500_000)
    }

    /// What the types leave open: the key at fault, and what would be right.
    pub(super) fn check(&self) -> Result<(), (String, String)> {
        let bad = |key: &str, what: &str| Err((format!("fleet.{key}"), what.to_string()));
        if self.name.is_empty() || self.name.len() > 64 {
            return bad("name", "expected a name of 1 to 64 bytes");
        }
        if self.keepers.len().is_multiple_of(2) || self.keepers.len() > MOST_KEEPERS {
            return bad(
                "keepers",
                "expected 1, 3, 5 or 7 nodes with their addresses",
            );
        }
        if let Some(name) = self
            .keepers
            .keys()
            .chain(self.seeds.keys())
            .find(|n| n.is_empty() || n.len() > 64)
        {
            return bad(
                "keepers",
                &format!("expected names of 1 to 64 bytes, not '{name}'"),
            );
        }
        if !(SHORTEST_LEASE..=LONGEST_LEASE).contains(&self.lease.0) {
            return bad("lease", "expected a time from 100ms to 10m");
        }
        if self.drift > MOST_DRIFT {
            return bad("drift", "expected parts in a million, at most 200000");
        }
        if self.probe.0 < 10_000 {
            return bad("probe", "expected a time from 10ms");
        }
        if self.patience.0 == 0 || self.patience.0 > self.lease.0 / 2 {
            return bad(
                "patience",
                "expected a time above 0 and at most half of lease",
            );
        }
        if let Some(budgets) = &self.budgets {
            budgets.check(self.drift)?;
        }
        if self.report.as_ref().is_some_and(|r| r.every.0 < 1_000) {
            return bad("report.every", "expected a time from 1ms");
        }
        Ok(())
    }

    /// What the node of this name has to do at a site with these tenants.
    ///
    /// # Errors
    /// Names the key that is missing for it.
    pub fn place(&self, me: &str, tenants: &[String]) -> Result<CoordinationSettings, String> {
        let budgeted = self.budgets.iter().flat_map(|b| b.tenants.keys());
        if let Some(name) = budgeted.into_iter().find(|name| !tenants.contains(name)) {
            let known = if tenants.is_empty() {
                "it has none".into()
            } else {
                tenants.join(", ")
            };
            return Err(format!(
                "fleet.budgets.tenants.{name}: expected a tenant of the site's settings ({known})"
            ));
        }
        if self.keepers.contains_key(me) && self.folder.is_none() {
            return Err(format!(
                "fleet.folder: expected a folder, since {me} is one of fleet.keepers"
            ));
        }
        let addr = self.advertise.unwrap_or(self.listen);
        Ok(CoordinationSettings {
            node: NodeSettings {
                fleet: self.name.clone(),
                name: me.into(),
                address: addr,
                seeds: self.seeds.clone(),
                lease_servers: self.keepers.clone(),
                lease_servers_number: self.keepers_number,
                lease_duration: self.lease.0,
                drift_ppm: self.drift,
                trusts_log: self.trust_disk,
                probe_interval: self.probe.0,
                response_timeout: self.patience.0,
            },
            listen: self.listen,
            address_overrides: self.via.clone(),
            log_folder: self.folder.clone(),
            budgets: self.budgets.as_ref().map(|b| FleetBudgets {
                settings: BudgetSettings {
                    grant_duration: b.share.0,
                    drift_ppm: self.drift,
                    limits: b.limits(),
                },
                tenants: tenants.to_vec(),
            }),
            report: self.report.as_ref().map(|r| ReportSettings {
                collector: r.to,
                interval: r.every.0,
            }),
        })
    }
}
