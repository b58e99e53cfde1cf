//! What the fields of a load report mean.

use poppykeel_scheduler::LoadReport;

/// The unit of the field of queued prompt tokens.
const TOKENS_PER_UNIT: f64 = 1000.0;

/// The protocol has two names for some fields: the simulator's and that on sockets.
const EQUIVALENT_NAMES: [(&str, &str); 2] = [("inflight", "busy_reqs"), ("queue", "pending")];

/// The meaning of one field.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ReportField {
    /// In thousands.
    QueuedPromptTokens,
    MemoryUtilization,
    RequestsHeld,
    RequestsQueued,
    /// Of no use to the scheduler.
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

/// The other name of the same field, where there is one.
pub(crate) fn other_name(name: &str) -> Option<&'static str> {
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
