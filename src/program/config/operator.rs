//! The operators' file: TOML, each key checked, each error with the key's path and line. `deploy/operator.toml`
//! lists every key with its default and its unit.

#![expect(
    clippy::match_bool,
    clippy::min_ident_chars,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

use super::fleet::Fleet;
use crate::protocol::srv::SrvEndpointMapping;
use crate::routing::directory::EndpointSourceSettings;
use crate::transport::endpoints::srv::SrvLookupSettings;
use crate::transport::messages::{ENDPOINT_LIST_SOURCE, SRV_SOURCE};
use crate::transport::replica::stream_monitor::{ContinuationSettings, StreamSettings};
use poppykeel_dns_resolver::{Config, Family, Lifetimes};
use poppykeel_endpoints::{
    AbsencePolicy, DurationMicros, EndpointIdentity, FlapLimits, RegistrySettings, SourceSettings,
    SuddenLossGuard,
};

use poppykeel_stream_recovery::{ContinuationLimits, StallLimits};
use regex_lite::Regex;
use serde::de::{Error, Visitor};
use serde::{Deserialize, Deserializer};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The longest time that a key takes: a year.
const MOST_SPAN: DurationMicros = 365 * 86_400_000_000;

/// What the operators' file says.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Operator {
    /// Where servers come from; without it discovery's list alone, believed at once.
    pub membership: Option<Membership>,
    /// How long streams may be silent, and whether they are continued.
    pub streams: Streams,
    /// What this node has to do with the others; without it nothing.
    pub fleet: Option<Fleet>,
    /// What one process of the node leaves to the next.
    pub handover: Handover,
}

/// What one process of the node leaves to the next.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Handover {
    /// A folder that both have; `$TMPDIR` where that is set, and none if it is empty.
    pub folder: Option<PathBuf>,
}

impl Handover {
    /// The folder, if there is to be one.
    pub fn folder(&self) -> Option<PathBuf> {
        let folder = self
            .folder
            .clone()
            .or_else(|| std::env::var_os("TMPDIR").map(PathBuf::from));
        folder.filter(|folder| !folder.as_os_str().is_empty())
    }
}

/// Answers that stream.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
#[allow(missing_docs)] // each key is explained in deploy/operator.toml
pub struct Streams {
    pub stall_least: Span,
    pub stall_most: Span,
    pub stall_aims: f64,
    pub stall_gaps: f64,
    #[serde(rename = "continue")]
    pub continues: bool,
    pub tries: u32,
    pub share: f64,
    pub replica_share: f64,
    pub free: u32,
    pub window: Span,
    pub wait: Span,
}

/// A time, in microseconds; written as seconds or as text with units, such as "250ms".
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub DurationMicros);

/// The sources of servers.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Membership {
    /// Which, in this order where descriptions of one server differ.
    pub sources: Vec<Source>,
    /// A sudden loss is held so long; 0 believes it at once.
    pub hold: Span,
    /// And until so many answers in a row have said the same.
    pub confirmations: u32,
    /// More than this part lost within `hold` is sudden.
    pub loss_part: f64,
    /// Higher priority numbers wait while a lower one is in.
    pub standby: bool,
    /// What was taken away and nobody lists is forgotten after so long.
    pub forget: Span,
    /// Discovery's list.
    pub list: List,
    /// DNS.
    pub srv: Option<Srv>,
}

/// A source by its name.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Source {
    /// Discovery's list.
    List,
    /// DNS.
    Srv,
}

/// What it means that a source lists a server no longer.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Absent {
    /// It is taken away.
    Removes,
    /// The source has no opinion any more.
    Abstains,
}

/// Discovery's list.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct List {
    /// Where it listens, for `resolve` without the platform's configuration.
    pub discovery: Option<SocketAddr>,
    /// See there.
    pub absence: Absent,
}

/// DNS.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
#[allow(missing_docs)] // each key is explained in deploy/operator.toml
pub struct Srv {
    pub name: String,
    pub servers: Vec<SocketAddr>,
    #[serde(default = "Srv::families")]
    pub families: Vec<AddressFamily>,
    #[serde(default = "Srv::ttl_floor")]
    pub ttl_floor: Span,
    #[serde(default = "Srv::ttl_ceiling")]
    pub ttl_ceiling: Span,
    #[serde(default = "Srv::ttl_negative")]
    pub ttl_negative: Span,
    #[serde(default = "Srv::timeout")]
    pub timeout: Span,
    #[serde(default = "Srv::rounds")]
    pub rounds: u32,
    #[serde(default = "Srv::retry")]
    pub retry: Span,
    #[serde(default = "Srv::retry_most")]
    pub retry_most: Span,
    #[serde(default = "Srv::payload")]
    pub payload: u16,
    #[serde(default = "Srv::most_targets")]
    pub most_targets: usize,
    #[serde(default = "Srv::most_questions")]
    pub most_questions: usize,
    #[serde(default = "Srv::absence")]
    pub absence: Absent,
    #[serde(default = "Srv::flap_free")]
    pub flap_free: u32,
    #[serde(default = "Srv::flap_window")]
    pub flap_window: Span,
    #[serde(default = "Srv::flap_hold")]
    pub flap_hold: Span,
    #[serde(default = "Srv::flap_most")]
    pub flap_most: Span,
    pub target: Option<String>,
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
    #[serde(default)]
    pub kinds: BTreeMap<String, String>,
    #[serde(default)]
    pub zone: String,
    #[serde(default)]
    pub kind: String,
    pub drain_priority: Option<u16>,
    pub weight_unit: Option<f64>,
}

/// A family of addresses.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
#[allow(missing_docs)]
pub enum AddressFamily {
    Ipv4,
    Ipv6,
}

impl Default for Membership {
    fn default() -> Self {
        Membership {
            sources: vec![Source::List],
            hold: Span(30_000_000),
            confirmations: 3,
            loss_part: 0.5,
            standby: false,
            forget: Span(24 * 3_600_000_000),
            list: List::default(),
            srv: None,
        }
    }
}

impl Default for Streams {
    fn default() -> Self {
        let (limits, budget) = (StallLimits::default(), ContinuationLimits::default());
        Streams {
            stall_least: Span(limits.min_silence),
            stall_most: Span(limits.max_silence),
            stall_aims: limits.objective_factor,
            stall_gaps: limits.long_gap_factor,
            continues: false,
            tries: budget.max_per_stream,
            share: budget.share,
            replica_share: 0.5,
            free: budget.min_allowed,
            window: Span(budget.window),
            wait: Span(5_000_000),
        }
    }
}

impl Default for List {
    fn default() -> Self {
        List {
            discovery: None,
            absence: Absent::Removes,
        }
    }
}

impl Srv {
    fn families() -> Vec<AddressFamily> {
        vec![AddressFamily::Ipv4, AddressFamily::Ipv6]
    }
    fn resolver() -> Config {
        Config::new("", Vec::new())
    }
    fn ttl_floor() -> Span {
        Span(Lifetimes::default().floor)
    }
    fn ttl_ceiling() -> Span {
        Span(Lifetimes::default().ceiling)
    }
    fn ttl_negative() -> Span {
        Span(Lifetimes::default().negative)
    }
    fn timeout() -> Span {
        Span(Self::resolver().timeout)
    }
    fn rounds() -> u32 {
        Self::resolver().rounds
    }
    fn retry() -> Span {
        Span(Self::resolver().retry)
    }
    fn retry_most() -> Span {
        Span(Self::resolver().retry_most)
    }
    fn payload() -> u16 {
        Self::resolver().payload
    }
    fn most_targets() -> usize {
        Self::resolver().most_targets
    }
    fn most_questions() -> usize {
        Self::resolver().most_questions
    }
    fn absence() -> Absent {
        Absent::Removes
    }
    fn flap_free() -> u32 {
        2
    }
    fn flap_window() -> Span {
        Span(60_000_000)
    }
    fn flap_hold() -> Span {
        Span(10_000_000)
    }
    fn flap_most() -> Span {
        Span(300_000_000)
    }
}

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Span, D::Error> {
        struct Time;
        impl Visitor<'_> for Time {
            type Value = Span;
            fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(
                    "a time from 0 to a year, in seconds or as text with a unit such as \"250ms\"",
                )
            }
            fn visit_f64<E: Error>(self, seconds: f64) -> Result<Span, E> {
                let most = MOST_SPAN as f64 / 1e6;
                match (0.0..=most).contains(&seconds) {
                    true => Ok(Span((seconds * 1e6).round() as DurationMicros)),
                    false => Err(E::invalid_value(
                        serde::de::Unexpected::Float(seconds),
                        &self,
                    )),
                }
            }
            fn visit_i64<E: Error>(self, seconds: i64) -> Result<Span, E> {
                self.visit_f64(seconds as f64)
            }
            fn visit_str<E: Error>(self, text: &str) -> Result<Span, E> {
                let bad = || E::invalid_value(serde::de::Unexpected::Str(text), &self);
                let span = humantime::parse_duration(text).map_err(|_| bad())?;
                let span = u64::try_from(span.as_micros())
                    .ok()
                    .filter(|s| *s <= MOST_SPAN);
                span.map(Span).ok_or_else(bad)
            }
        }
        from.deserialize_any(Time)
    }
}

impl Operator {
    /// Reads the file's text; an error names the key's path and its line.
    pub fn read(text: &str) -> Result<Operator, String> {
        let at = |offset: usize| text[..offset.min(text.len())].lines().count().max(1);
        let source = toml::Deserializer::parse(text).map_err(|e| {
            let line = e.span().map_or(1, |s| at(s.start + 1));
            format!("line {line}: {}", e.message())
        })?;
        let operator: Operator = serde_path_to_error::deserialize(source).map_err(|e| {
            let line = e.inner().span().map_or(1, |s| at(s.start + 1));
            format!(
                "line {line}: {}: {}",
                e.path(),
                e.inner().message().replace('\n', " ")
            )
        })?;
        operator.check().map_err(|(path, what)| {
            let line = locate(text, &path).map_or(1, |offset| at(offset + 1));
            format!("line {line}: {path}: {what}")
        })?;
        Ok(operator)
    }

    /// What the types leave open: the key at fault, and what would be right.
    fn check(&self) -> Result<(), (String, String)> {
        self.check_streams()?;
        self.fleet.as_ref().map_or(Ok(()), Fleet::check)?;
        let Some(members) = &self.membership else {
            return Ok(());
        };
        let bad = |key: &str, what: &str| Err((format!("membership.{key}"), what.to_string()));
        if members.sources.is_empty() {
            return bad("sources", "expected at least one of \"list\" and \"srv\"");
        }
        if members
            .sources
            .iter()
            .enumerate()
            .any(|(n, s)| members.sources[..n].contains(s))
        {
            return bad("sources", "expected each source once");
        }
        if !(0.0..1.0).contains(&members.loss_part) {
            return bad("loss_part", "expected a part from 0 up to, but not, 1");
        }
        if members.confirmations == 0 {
            return bad("confirmations", "expected at least 1");
        }
        let listed = members.sources.contains(&Source::Srv);
        let Some(srv) = &members.srv else {
            return match listed {
                true => bad(
                    "sources",
                    "\"srv\" expects a table [membership.srv] with name and servers",
                ),
                false => Ok(()),
            };
        };
        if let Some(target) = &srv.target {
            if let Err(e) = Regex::new(target) {
                return bad(
                    "srv.target",
                    &format!("expected a regular expression ({e})"),
                );
            }
        }
        if srv.weight_unit.is_some_and(|u| !(u.is_finite() && u > 0.0)) {
            return bad("srv.weight_unit", "expected a number above 0");
        }
        if srv.flap_hold > srv.flap_most {
            return bad("srv.flap_hold", "expected at most flap_most");
        }
        // The resolver names its own keys, which are those of the file.
        self.resolver(srv).check().or_else(|what| {
            let (key, what) = what.split_once(": ").unwrap_or(("", &what));
            let key = key.split(',').next().unwrap_or(key);
            bad(&format!("srv.{key}"), what)
        })
    }

    fn check_streams(&self) -> Result<(), (String, String)> {
        let s = &self.streams;
        let bad = |key: &str, what: &str| Err((format!("streams.{key}"), what.to_string()));
        if s.stall_least > s.stall_most || s.stall_least.0 == 0 {
            return bad(
                "stall_least",
                "expected a time above 0 and at most stall_most",
            );
        }
        for (key, value) in [("stall_aims", s.stall_aims), ("stall_gaps", s.stall_gaps)] {
            if !(value.is_finite() && value >= 0.0) {
                return bad(key, "expected a number from 0");
            }
        }
        for (key, value) in [("share", s.share), ("replica_share", s.replica_share)] {
            if !(0.0..=1.0).contains(&value) {
                return bad(key, "expected a part from 0 to 1");
            }
        }
        if s.window.0 == 0 {
            return bad("window", "expected a time above 0");
        }
        Ok(())
    }

    /// How streams are treated.
    pub fn streams(&self) -> StreamSettings {
        let s = &self.streams;
        let (least, most) = (s.stall_least.0, s.stall_most.0);
        let limits = StallLimits {
            min_silence: least,
            max_silence: most,
            objective_factor: s.stall_aims,
            long_gap_factor: s.stall_gaps,
        };
        let budget = ContinuationLimits {
            max_per_stream: s.tries,
            share: s.share,
            min_allowed: s.free,
            window: s.window.0,
        };
        let wait = std::time::Duration::from_micros(s.wait.0);
        let continuation = ContinuationSettings {
            limits: budget,
            max_replica_share: s.replica_share,
            max_wait: wait,
        };
        StreamSettings {
            stall_limits: limits,
            continuation: s.continues.then_some(continuation),
        }
    }

    fn resolver(&self, srv: &Srv) -> Config {
        Config {
            name: srv.name.clone(),
            servers: srv.servers.clone(),
            families: srv
                .families
                .iter()
                .map(|f| match f {
                    AddressFamily::Ipv4 => Family::V4,
                    AddressFamily::Ipv6 => Family::V6,
                })
                .collect(),
            timeout: srv.timeout.0,
            rounds: srv.rounds,
            payload: srv.payload,
            lifetimes: Lifetimes {
                floor: srv.ttl_floor.0.max(1),
                ceiling: srv.ttl_ceiling.0.max(1),
                negative: srv.ttl_negative.0,
            },
            retry: srv.retry.0,
            retry_most: srv.retry_most.0,
            most_questions: srv.most_questions,
            most_targets: srv.most_targets,
        }
    }

    /// What is looked up in DNS, where anything is.
    pub fn service(&self) -> Option<SrvLookupSettings> {
        let members = self
            .membership
            .as_ref()
            .filter(|m| m.sources.contains(&Source::Srv))?;
        let srv = members.srv.as_ref()?;
        let naming = SrvEndpointMapping {
            target_pattern: srv.target.as_ref().and_then(|t| Regex::new(t).ok()),
            zone_names: srv.zones.clone(),
            host_type_names: srv.kinds.clone(),
            default_zone: srv.zone.clone(),
            default_host_type: srv.kind.clone(),
            drain_priority: srv.drain_priority,
        };
        Some(SrvLookupSettings {
            resolver: self.resolver(srv),
            endpoint_mapping: naming,
        })
    }

    /// Whether discovery is watched.
    pub fn lists(&self) -> bool {
        self.membership
            .as_ref()
            .is_none_or(|m| m.sources.contains(&Source::List))
    }

    /// The settings of the account of membership.
    pub fn members(&self) -> EndpointSourceSettings {
        let Some(members) = &self.membership else {
            let sources = vec![SourceSettings::new(
                ENDPOINT_LIST_SOURCE,
                EndpointIdentity::ByName,
            )];
            let settings = RegistrySettings {
                sources,
                ..RegistrySettings::default()
            };
            return EndpointSourceSettings {
                registry: settings,
                weight_unit: None,
            };
        };
        let absence = |a: Absent| match a {
            Absent::Removes => AbsencePolicy::Removes,
            Absent::Abstains => AbsencePolicy::Abstains,
        };
        let guard = (members.hold.0 > 0).then_some(SuddenLossGuard {
            hold_time: members.hold.0,
            confirmation_count: members.confirmations,
            max_loss_fraction: members.loss_part,
        });
        let mut weight_unit = None;
        let mut sources = Vec::new();
        for source in &members.sources {
            sources.push(match (source, &members.srv) {
                (Source::Srv, Some(srv)) => {
                    weight_unit = srv.weight_unit;
                    let flaps = (srv.flap_hold.0 > 0).then_some(FlapLimits {
                        free_return_count: srv.flap_free,
                        window: srv.flap_window.0,
                        initial_hold: srv.flap_hold.0,
                        max_hold: srv.flap_most.0,
                    });
                    let (name, kind) = (SRV_SOURCE.to_string(), EndpointIdentity::ByAddress);
                    SourceSettings {
                        name,
                        identity: kind,
                        absence_policy: absence(srv.absence),
                        sudden_loss_guard: guard,
                        flap_limits: flaps,
                    }
                }
                (Source::Srv, None) => continue,
                (Source::List, _) => {
                    let (name, kind) = (ENDPOINT_LIST_SOURCE.to_string(), EndpointIdentity::ByName);
                    let absence = absence(members.list.absence);
                    SourceSettings {
                        name,
                        identity: kind,
                        absence_policy: absence,
                        sudden_loss_guard: guard,
                        flap_limits: None,
                    }
                }
            });
        }
        let settings = RegistrySettings {
            sources,
            has_priority_standby: members.standby,
            withdrawal_retention: members.forget.0,
        };
        EndpointSourceSettings {
            registry: settings,
            weight_unit,
        }
    }
}

impl std::fmt::Display for Operator {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let EndpointSourceSettings {
            registry: settings, ..
        } = self.members();
        let names: Vec<&str> = settings.sources.iter().map(|s| s.name.as_str()).collect();
        write!(f, "servers from {}", names.join(" and "))?;
        match settings.sources.first().and_then(|s| s.sudden_loss_guard) {
            Some(guard) => write!(
                f,
                "; more than {:.0}% lost at once is held for {} and {} answers",
                guard.max_loss_fraction * 100.0,
                seconds(guard.hold_time),
                guard.confirmation_count
            )?,
            None => write!(f, "; every loss is believed at once")?,
        }
        let Some(service) = self.service() else {
            return Ok(());
        };
        let r = &service.resolver;
        let (floor, ceiling) = (seconds(r.lifetimes.floor), seconds(r.lifetimes.ceiling));
        write!(
            f,
            "\n{} at {:?}, asked anew every {floor} to {ceiling}",
            r.name, r.servers
        )
    }
}

fn seconds(span: DurationMicros) -> String {
    format!("{} s", span as f64 / 1e6)
}

/// Where a key stands in the text; where it is lacking, the nearest table that is there.
fn locate(text: &str, path: &str) -> Option<usize> {
    let table = toml::de::DeTable::parse(text).ok()?;
    let (mut table, mut found) = (table.into_inner(), None);
    for part in path.split('.') {
        let Some((key, value)) = table.remove_entry(part) else {
            break;
        };
        found = Some(key.span().start);
        match value.into_inner() {
            toml::de::DeValue::Table(inner) => table = inner,
            _ => break,
        }
    }
    found
}
