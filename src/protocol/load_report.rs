//! What a replica says of itself: load reports in responses and streams, and the outcome of a probe.

use poppykeel_scheduler::{AttemptOutcome, LoadReport};
use poppykeel_site_settings::SiteSettings;
use serde_json::Value;
use std::sync::atomic::{AtomicU64, Ordering};

/// Reports that were not JSON objects, and values of named fields that were not numbers of zero or more.
static IGNORED_VALUE_COUNT: AtomicU64 = AtomicU64::new(0);

/// A load report in JSON; `None` where it can't be read, since a bad report must not cost the response. A field that is
/// missing is left out; one whose value is not a finite number of zero or more is left out and counted.
pub fn parse_load_report(text: &str, settings: &SiteSettings) -> Option<LoadReport> {
    let report = serde_json::from_str(text).ok().filter(Value::is_object);
    let Some(report) = report else {
        count_ignored_value();
        return None;
    };
    Some(settings.load_report(|name| parse_value(&report[name])))
}

fn parse_value(value: &Value) -> Option<f64> {
    if value.is_null() {
        return None;
    }
    let number = value
        .as_f64()
        .filter(|number| number.is_finite() && *number >= 0.0);
    if number.is_none() {
        count_ignored_value();
    }
    number
}

fn count_ignored_value() {
    IGNORED_VALUE_COUNT.fetch_add(1, Ordering::Relaxed);
}

/// How many reports and values of reports were ignored since the start, for the log.
pub fn ignored_value_count() -> u64 {
    IGNORED_VALUE_COUNT.load(Ordering::Relaxed)
}

/// The outcome of a probe by the status code of its response.
pub fn probe_outcome(status: u16) -> AttemptOutcome {
    if status == 200 {
        AttemptOutcome::Completed
    } else {
        AttemptOutcome::ServerError
    }
}
