//! An endpoint of the merged list, with its status and a readable reason for that status.

use crate::dated_verdict::{DatedVerdict, VerdictDetail};
use crate::update::{DurationMicros, ListedEndpoint, MonotonicMicros};
use crate::verdict::{EndpointStatus, SourceVerdict};
use std::sync::Arc;

/// An endpoint of the merged list.
#[derive(Clone, Debug, PartialEq)]
pub struct RegisteredEndpoint {
    /// Unique name, never reused for another endpoint: the id from a source that identifies endpoints by name,
    /// otherwise the first of its DNS names with its address.
    pub name: String,
    /// Whether the endpoint takes requests; follows from the prevailing verdict and the priority standby.
    pub status: EndpointStatus,
    /// The description from the first source that lists the endpoint.
    pub listing: Arc<ListedEndpoint>,
    /// The weight from the first source that gives one; `None` if no source does.
    pub weight: Option<f64>,
    /// The priority from the first source that gives one; `None` if no source does.
    pub priority: Option<u16>,
    /// The verdict of each source, in the order of the settings.
    pub verdicts: Vec<SourceVerdict>,
    pub(crate) decision: StatusDecision,
}

/// The verdict that determines an endpoint's status.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct StatusDecision {
    /// The index of the source whose verdict prevails.
    pub(crate) source_index: usize,
    pub(crate) dated_verdict: DatedVerdict,
    /// Whether the endpoint is out of service only because usable endpoints have a lower priority number.
    pub(crate) is_standby: bool,
}

impl RegisteredEndpoint {
    /// Whether the registry reports the change from `previous`. It reports no change of the reason or the verdicts
    /// alone.
    pub(crate) fn differs_from(&self, previous: &RegisteredEndpoint) -> bool {
        let has_same_listing =
            Arc::ptr_eq(&previous.listing, &self.listing) || previous.listing == self.listing;
        let is_same = previous.status == self.status
            && previous.weight == self.weight
            && previous.priority == self.priority
            && has_same_listing;
        !is_same
    }
}

impl StatusDecision {
    /// A readable reason for the status. `source_name` is the source whose verdict prevails; `is_listed` is whether
    /// any source still lists the endpoint.
    pub(crate) fn explain(
        &self,
        now: MonotonicMicros,
        source_name: &str,
        is_listed: bool,
    ) -> String {
        if self.is_standby {
            return format!(
                "{source_name} lists it; on standby, as usable endpoints have a lower priority number"
            );
        }
        if !is_listed {
            return "no source lists it any more".to_string();
        }
        let DatedVerdict {
            verdict,
            since,
            detail,
        } = self.dated_verdict;
        let age = format_seconds(now.saturating_sub(since));
        match (verdict, detail) {
            (_, VerdictDetail::DampedUntil(damped_until)) => {
                let remaining = format_seconds(damped_until.saturating_sub(now));
                format!(
                    "its record in {source_name} is flapping; excluded for another {remaining}"
                )
            }
            (SourceVerdict::Held, VerdictDetail::MissingFromAnswers(answer_count)) => format!(
                "{source_name} has not listed it for {age}; held because many endpoints disappeared at once \
                 (consecutive answers without it: {answer_count})"
            ),
            (SourceVerdict::Listed, _) => format!("{source_name} lists it"),
            (SourceVerdict::Draining, _) => {
                format!("{source_name} has listed it as draining for {age}")
            }
            (SourceVerdict::Stale, _) => format!(
                "{source_name} listed it in its last answer but has been unreachable for {age}"
            ),
            (SourceVerdict::Removed, _) => format!("{source_name} removed it {age} ago"),
            _ => "no source lists it".to_string(),
        }
    }
}

fn format_seconds(duration: DurationMicros) -> String {
    format!("{:.1} s", duration as f64 / 1e6)
}
