//! What a replica reports of its load.

/// A load report. What a site's replicas do not report is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Prompt tokens waiting to be read.
    pub queued_prompt_tokens: Option<f64>,
    /// The part of memory held by running requests, from 0 to 1.
    pub memory_utilization: Option<f64>,
    /// Requests that the replica holds, running or queued.
    pub requests_held: Option<f64>,
    /// Requests queued there for a place in the batch.
    pub requests_queued: Option<f64>,
    /// Prompt tokens of this answer that the replica found in its cache.
    pub cached_prompt_tokens: Option<f64>,
}
