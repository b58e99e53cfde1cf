//! Load reports of replicas in responses and streams, and the outcome of a probe.

use poppykeel_scheduler::{AttemptOutcome, LoadReport};
use poppykeel_site_settings::SiteSettings;
use serde_json::Value;
use std::sync::atomic::{AtomicU64, Ordering};

/// The number of reports ignored because they were not JSON objects, and of values ignored because they were not finite,
/// non-negative numbers.
static IGNORED_VALUE_COUNT: AtomicU64 = AtomicU64::new(0);

/// Parses a load report in JSON. Returns `None` instead of an error for an invalid one, because an invalid report must not
/// make the response fail. Missing fields are ignored; fields that are not finite, non-negative numbers are ignored and
/// counted.
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

/// The number of invalid reports and values that were ignored since the process started, for the log.
pub fn ignored_value_count() -> u64 {
    IGNORED_VALUE_COUNT.load(Ordering::Relaxed)
}

/// The outcome of a probe whose response has this status code.
pub fn probe_outcome(status: u16) -> AttemptOutcome {
    if status == 200 {
        AttemptOutcome::Completed
    } else {
        AttemptOutcome::ServerError
    }
}
