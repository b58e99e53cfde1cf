//! The output of `poppykeel resolve`: the answers of the sources and the combined endpoint list, as JSON or text.
//!
//! Field names are the keys of the JSON output, which scripts read; they must not change.

use crate::transport::endpoints::srv::SrvLookupResult;
use crate::transport::messages::SRV_SOURCE;
use poppykeel_dns_resolver::{Endpoint, ServiceLookup};
use poppykeel_endpoints::{EndpointRegistry, MonotonicMicros, RegisteredEndpoint};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

/// Whether a source has reported to `resolve`, and the kind of its latest report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum SourceProgress {
    /// The source has reported nothing yet.
    Silent,
    /// The latest report of the source is an answer.
    Answered,
    /// The latest report of the source is a failure.
    Failed,
}

/// The complete output.
#[derive(Debug, Serialize)]
pub(super) struct ResolveReport {
    /// The number of endpoints that take new requests.
    usable: usize,
    servers: Vec<EndpointReport>,
    sources: Vec<SourceReport>,
}

/// One endpoint of the combined list.
#[derive(Debug, Serialize)]
struct EndpointReport {
    name: String,
    addr: SocketAddr,
    /// The label of the endpoint's status.
    state: &'static str,
    /// The names of the sources that have a verdict on the endpoint, in the order of the settings.
    sources: Vec<String>,
    /// The labels of these verdicts, by source.
    opinions: BTreeMap<String, &'static str>,
    reason: String,
    zone: String,
    kind: String,
    weight: Option<f64>,
    priority: Option<u16>,
}

#[derive(Debug, Serialize)]
struct SourceReport {
    name: String,
    state: SourceProgress,
    /// The latest completed look-up; `None` if there is none yet, or if the source is not DNS.
    #[serde(flatten)]
    lookup: Option<LookupReport>,
}

/// A completed look-up of SRV records.
#[derive(Debug, Serialize)]
#[serde(untagged)]
enum LookupReport {
    Found {
        records: Vec<RecordReport>,
        /// The time until the first record expires.
        expires_s: f64,
        /// Why the service has no targets; `None` if it has any.
        nothing: Option<String>,
        unresolved: Vec<UnresolvedTarget>,
    },
    Failed {
        why: String,
    },
}

/// One address of one SRV target.
#[derive(Debug, Serialize)]
struct RecordReport {
    target: String,
    addr: SocketAddr,
    priority: u16,
    weight: u16,
    expires_s: f64,
    stale: bool,
}

/// A target whose addresses could not be looked up.
#[derive(Debug, Serialize)]
struct UnresolvedTarget {
    target: String,
    why: String,
}

/// The fields of an endpoint whose changes are shown with `--watch`. The reason is left out, because the times and counts
/// in it change continually.
#[derive(Debug, PartialEq)]
pub(super) struct EndpointFingerprint {
    name: String,
    addr: SocketAddr,
    state: &'static str,
    opinions: BTreeMap<String, &'static str>,
}

impl ResolveReport {
    pub(super) fn new(
        registry: &EndpointRegistry,
        progress: &BTreeMap<String, SourceProgress>,
        latest_lookup: &SrvLookupResult,
        now: MonotonicMicros,
    ) -> Self {
        let servers = registry
            .endpoints()
            .iter()
            .map(|endpoint| EndpointReport::new(registry, endpoint))
            .collect();
        let sources = registry
            .settings()
            .sources
            .iter()
            .map(|source| SourceReport {
                name: source.name.clone(),
                state: progress
                    .get(&source.name)
                    .copied()
                    .unwrap_or(SourceProgress::Silent),
                lookup: if source.name == SRV_SOURCE {
                    LookupReport::new(latest_lookup, now)
                } else {
                    None
                },
            })
            .collect();
        ResolveReport {
            usable: registry.usable_count(),
            servers,
            sources,
        }
    }

    /// The fields whose change makes `--watch` print the report again.
    pub(super) fn fingerprint(&self) -> Vec<EndpointFingerprint> {
        self.servers
            .iter()
            .map(|endpoint| EndpointFingerprint {
                name: endpoint.name.clone(),
                addr: endpoint.addr,
                state: endpoint.state,
                opinions: endpoint.opinions.clone(),
            })
            .collect()
    }
}

impl EndpointReport {
    fn new(registry: &EndpointRegistry, endpoint: &RegisteredEndpoint) -> Self {
        let verdicts = registry.source_verdicts(endpoint);
        EndpointReport {
            name: endpoint.name.clone(),
            addr: endpoint.listing.addr,
            state: endpoint.status.label(),
            sources: verdicts.iter().map(|named| named.source.clone()).collect(),
            opinions: verdicts
                .into_iter()
                .map(|named| (named.source, named.verdict.label()))
                .collect(),
            reason: registry.status_reason(endpoint),
            zone: endpoint.listing.zone.clone(),
            kind: endpoint.listing.host_type.clone(),
            weight: endpoint.weight,
            priority: endpoint.priority,
        }
    }
}

impl LookupReport {
    /// Returns `None` if no look-up has completed yet.
    fn new(lookup: &SrvLookupResult, now: MonotonicMicros) -> Option<Self> {
        match lookup {
            SrvLookupResult::Pending => None,
            SrvLookupResult::Found(lookup) => Some(LookupReport::from_lookup(lookup, now)),
            SrvLookupResult::Failed(reason) => Some(LookupReport::Failed {
                why: reason.to_string(),
            }),
        }
    }

    fn from_lookup(lookup: &ServiceLookup, now: MonotonicMicros) -> Self {
        LookupReport::Found {
            records: lookup
                .endpoints
                .iter()
                .map(|endpoint| RecordReport::new(endpoint, now))
                .collect(),
            expires_s: seconds_until(lookup.expires_at, now),
            nothing: lookup.empty_reason.map(|reason| reason.to_string()),
            unresolved: lookup
                .unresolved
                .iter()
                .map(|unresolved| UnresolvedTarget {
                    target: unresolved.target.clone(),
                    why: unresolved.reason.to_string(),
                })
                .collect(),
        }
    }
}

impl RecordReport {
    fn new(endpoint: &Endpoint, now: MonotonicMicros) -> Self {
        RecordReport {
            target: endpoint.target.clone(),
            addr: endpoint.addr,
            priority: endpoint.priority,
            weight: endpoint.weight,
            expires_s: seconds_until(endpoint.expires_at, now),
            stale: endpoint.is_stale,
        }
    }
}

fn seconds_until(time: MonotonicMicros, now: MonotonicMicros) -> f64 {
    time.saturating_sub(now) as f64 / 1e6
}

impl fmt::Display for ResolveReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for source in &self.sources {
            write!(f, "{source}")?;
        }
        let endpoint_count = self.servers.len();
        writeln!(f, "{} of {endpoint_count} servers take work", self.usable)?;
        for endpoint in &self.servers {
            writeln!(
                f,
                "  {:<9} {:<22} {:<9} {} ({})",
                endpoint.state,
                endpoint.addr.to_string(),
                endpoint.sources.join("+"),
                endpoint.name,
                endpoint.reason
            )?;
        }
        Ok(())
    }
}

impl fmt::Display for SourceReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let state = match self.state {
            SourceProgress::Silent => "silent",
            SourceProgress::Answered => "answered",
            SourceProgress::Failed => "failed",
        };
        write!(f, "{} {state}", self.name)?;
        match &self.lookup {
            None => writeln!(f),
            Some(LookupReport::Failed { why }) => writeln!(f, ": {why}"),
            Some(LookupReport::Found {
                records,
                nothing,
                unresolved,
                ..
            }) => {
                if let Some(reason) = nothing {
                    write!(f, ": {reason}")?;
                }
                writeln!(f)?;
                for record in records {
                    writeln!(f, "  {record}")?;
                }
                for target in unresolved {
                    writeln!(f, "  {}: {}", target.target, target.why)?;
                }
                Ok(())
            }
        }
    }
}

impl fmt::Display for RecordReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} priority {} weight {} at {}, {:.1} s left",
            self.target, self.priority, self.weight, self.addr, self.expires_s
        )
    }
}
