//! A source's verdict on one endpoint, with its time and cause.

use crate::listing::TrackedEndpoint;
use crate::update::{ListedState, MonotonicMicros};
use crate::verdict::SourceVerdict;
use std::net::SocketAddr;

/// A source's verdict on an endpoint, the time since which it holds, and its cause.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct DatedVerdict {
    pub(crate) verdict: SourceVerdict,
    pub(crate) since: MonotonicMicros,
    pub(crate) detail: VerdictDetail,
}

/// The cause of a verdict; `None` if the verdict alone explains it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum VerdictDetail {
    None,
    /// The endpoint is held, because this number of consecutive answers lack it.
    MissingFromAnswers(u32),
    /// The endpoint's address is flapping and is suppressed until this time.
    DampedUntil(MonotonicMicros),
}

/// Identifies the endpoint for which a source is queried for its verdict.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndpointQuery<'a> {
    /// The endpoint's name; `None` if no source that identifies endpoints by name lists it.
    pub(crate) name: Option<&'a str>,
    pub(crate) addr: SocketAddr,
    /// When any source first saw the endpoint's current start. A start overrides earlier drains and withdrawals of
    /// other sources.
    pub(crate) start_seen_at: Option<MonotonicMicros>,
}

impl DatedVerdict {
    pub(crate) fn new(verdict: SourceVerdict, since: MonotonicMicros) -> Self {
        DatedVerdict {
            verdict,
            since,
            detail: VerdictDetail::None,
        }
    }
}

impl TrackedEndpoint {
    /// The verdict of the source that lists this endpoint. `failing_since` is when the source became unreachable;
    /// `None` while it is reachable.
    pub(crate) fn verdict(&self, failing_since: Option<MonotonicMicros>) -> DatedVerdict {
        if self.listed.state == ListedState::Draining {
            return DatedVerdict::new(SourceVerdict::Draining, self.state_since);
        }
        if let Some(streak) = self.missing {
            return DatedVerdict {
                verdict: SourceVerdict::Held,
                since: streak.since,
                detail: VerdictDetail::MissingFromAnswers(streak.answer_count),
            };
        }
        match failing_since {
            Some(failing_since) => DatedVerdict::new(SourceVerdict::Stale, failing_since),
            None => DatedVerdict::new(SourceVerdict::Listed, self.state_since),
        }
    }
}
