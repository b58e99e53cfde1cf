//! Load reports of replicas.

/// A load report. A value that the site's replicas do not report is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Prompt tokens waiting for prefill.
    pub queued_prompt_tokens: Option<f64>,
    /// The fraction of memory used by running requests, from 0 to 1.
    pub memory_utilization: Option<f64>,
    /// Running and queued requests at the replica.
    pub requests_held: Option<f64>,
    /// Requests queued at the replica for a batch slot.
    pub requests_queued: Option<f64>,
    /// Prompt tokens of this request that the replica found in its cache.
    pub cached_prompt_tokens: Option<f64>,
}
