//! What a replica says of itself: load reports in answers and streams, and the outcome of a probe.

#![expect(clippy::min_ident_chars, reason = "not yet converted")]

use poppykeel_scheduler::{AttemptOutcome, LoadReport};
use poppykeel_site_settings::SiteSettings;
use serde_json::Value;
use std::sync::atomic::{AtomicU64, Ordering};

/// Reports that were not JSON objects, and values of named fields that were not numbers of zero or more.
static PASSED_OVER: AtomicU64 = AtomicU64::new(0);

/// A load report in JSON; none where it can't be read, since a bad report must not cost the answer. A field that
/// is absent is left out; one whose value is not a finite number of zero or more is left out and counted.
pub fn parse_load_report(text: &str, boot: &SiteSettings) -> Option<LoadReport> {
    let value: Option<Value> = serde_json::from_str(text).ok().filter(Value::is_object);
    let Some(value) = value else {
        PASSED_OVER.fetch_add(1, Ordering::Relaxed);
        return None;
    };
    Some(boot.load_report(|name| match &value[name] {
        Value::Null => None,
        given => {
            let number = given.as_f64().filter(|v| v.is_finite() && *v >= 0.0);
            if number.is_none() {
                PASSED_OVER.fetch_add(1, Ordering::Relaxed);
            }
            number
        }
    }))
}

/// Reports and report values passed over since the start, for the log.
pub fn ignored_value_count() -> u64 {
    PASSED_OVER.load(Ordering::Relaxed)
}

/// The outcome of a probe by its status.
pub fn probe_outcome(status: u16) -> AttemptOutcome {
    if status == 200 {
        AttemptOutcome::Completed
    } else {
        AttemptOutcome::ServerError
    }
}
