//! The meanings of load report fields.

use poppykeel_scheduler::LoadReport;

/// Replicas report queued prompt tokens in thousands.
const TOKENS_PER_UNIT: f64 = 1000.0;

/// Fields that have two names in the protocol: one for the simulator and one for replicas over sockets.
const EQUIVALENT_NAMES: [(&str, &str); 2] = [("inflight", "busy_reqs"), ("queue", "pending")];

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ReportField {
    /// Reported in thousands.
    QueuedPromptTokens,
    MemoryUtilization,
    RequestsHeld,
    RequestsQueued,
    /// Not used by the scheduler.
    Ignored,
}

impl ReportField {
    pub(crate) fn set(self, report: &mut LoadReport, value: f64) {
        match self {
            ReportField::QueuedPromptTokens => {
                report.queued_prompt_tokens = Some(value * TOKENS_PER_UNIT);
            }
            ReportField::MemoryUtilization => report.memory_utilization = Some(value),
            ReportField::RequestsHeld => report.requests_held = Some(value),
            ReportField::RequestsQueued => report.requests_queued = Some(value),
            ReportField::Ignored => {}
        }
    }
}

/// Returns the other name of the same field, if it has two.
pub(crate) fn equivalent_name(name: &str) -> Option<&'static str> {
    EQUIVALENT_NAMES.iter().find_map(|(first, second)| {
        if name == *first {
            Some(*second)
        } else if name == *second {
            Some(*first)
        } else {
            None
        }
    })
}
