//! `[fleet]` of the operators' file: what this node has to do with the others.

use super::operator::Span;
use crate::transport::fleet::{Place, Report};
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
    pub report: Option<ReportTo>,
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
            return bad("keepers", "expected 1, 3, 5 or 7 nodes with their addresses");
        }
        if let Some(name) =
            self.keepers.keys().chain(self.seeds.keys()).find(|n| n.is_empty() || n.len() > 64)
        {
            return bad("keepers", &format!("expected names of 1 to 64 bytes, not '{name}'"));
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
            return bad("patience", "expected a time above 0 and at most half of lease");
        }
        if self.report.as_ref().is_some_and(|r| r.every.0 < 1_000) {
            return bad("report.every", "expected a time from 1ms");
        }
        Ok(())
    }

    /// What the node of this name has to do.
    ///
    /// # Errors
    /// Names the key that is missing for it.
    pub fn place(&self, me: &str) -> Result<Place, String> {
        if self.keepers.contains_key(me) && self.folder.is_none() {
            return Err(format!("fleet.folder: expected a folder, since {me} is one of fleet.keepers"));
        }
        let addr = self.advertise.unwrap_or(self.listen);
        Ok(Place {
            node: poppykeel_fleet::Settings {
                fleet: self.name.clone(),
                me: me.into(),
                addr,
                seeds: self.seeds.clone(),
                keepers: self.keepers.clone(),
                keepers_number: self.keepers_number,
                lease: self.lease.0,
                drift: self.drift,
                trust_disk: self.trust_disk,
                probe: self.probe.0,
                patience: self.patience.0,
            },
            listen: self.listen,
            via: self.via.clone(),
            folder: self.folder.clone(),
            report: self.report.as_ref().map(|r| Report { to: r.to, every: r.every.0 }),
        })
    }
}
