//! What a replica says of itself: load reports in answers and streams, and the outcome of a probe.

use crate::interface::{Outcome, Report};
use crate::wire::Boot;
use serde_json::Value;

/// A load report in JSON; none where it can't be read, since a bad report must not cost the answer.
pub fn report(text: &str, boot: &Boot) -> Option<Report> {
    let value: Value = serde_json::from_str(text).ok()?;
    value.is_object().then(|| boot.report(|name| value[name].as_f64()))
}

/// The outcome of a probe by its status.
pub fn probed(status: u16) -> Outcome {
    if status == 200 {
        Outcome::Served
    } else {
        Outcome::Error
    }
}
