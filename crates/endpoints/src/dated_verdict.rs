//! A source's verdict on one endpoint with its time and cause.

use crate::listing::TrackedEndpoint;
use crate::update::{ListedState, MonotonicMicros};
use crate::verdict::SourceVerdict;
use std::net::SocketAddr;

/// A source's verdict on an endpoint, since when it holds, and what explains it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct DatedVerdict {
    pub(crate) verdict: SourceVerdict,
    pub(crate) since: MonotonicMicros,
    pub(crate) detail: VerdictDetail,
}

/// What explains a verdict beyond its name.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum VerdictDetail {
    /// Nothing.
    None,
    /// The endpoint is held; so many answers in a row lack it.
    MissingFromAnswers(u32),
    /// The endpoint's address comes and goes and is kept out until this time.
    DampedUntil(MonotonicMicros),
}

/// The endpoint on which a source is asked for its verdict.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndpointQuery<'a> {
    /// Its name, if a source that identifies endpoints by name lists it.
    pub(crate) name: Option<&'a str>,
    /// Its address.
    pub(crate) addr: SocketAddr,
    /// When its present start was first seen by any source. A start ends earlier drains and withdrawals of other
    /// sources.
    pub(crate) start_seen_at: Option<MonotonicMicros>,
}

impl DatedVerdict {
    /// A verdict that needs no explanation.
    pub(crate) fn new(verdict: SourceVerdict, since: MonotonicMicros) -> Self {
        DatedVerdict {
            verdict,
            since,
            detail: VerdictDetail::None,
        }
    }
}

impl TrackedEndpoint {
    /// The verdict of the source that lists this endpoint and cannot be asked since `failing_since`.
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
