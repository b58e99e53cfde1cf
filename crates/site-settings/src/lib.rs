//! The settings of a site: everything in which one deployment differs from another.
//!
//! The simulator gives an instance this object, and the configuration of a node holds it under `settings`; both programs
//! read it with [`SiteSettings::parse`]. Nothing is decided here. What the keys mean is listed in README.md; an unknown key
//! is ignored, and a missing one has a default unless an error says otherwise.

mod error;
mod json;
mod names;
mod parse;
mod report_fields;
mod update;

pub use error::{SettingsParseError, SettingsUpdateError};
pub use names::SiteNames;

use poppykeel_scheduler::{LoadReport, SchedulerSettings};
use report_fields::ReportField;

/// The settings of a site.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteSettings {
    /// What the scheduler is told.
    pub scheduler: SchedulerSettings,
    /// Names and limits that only a node on real sockets needs.
    pub names: SiteNames,
    /// What the values of a load report mean, in order.
    report_fields: Vec<ReportField>,
    /// Weights in the endpoint list tell capacity, not load.
    weights_are_capacities: bool,
}

impl SiteSettings {
    /// Reads the settings from their JSON text.
    ///
    /// # Errors
    /// Says what was expected, and for which key.
    pub fn parse(text: &str) -> Result<SiteSettings, SettingsParseError> {
        parse::parse(text)
    }

    /// Newer settings in the place of these. A class that has not changed keeps its position; one that changes or is new
    /// gets a new position, and requests in flight keep theirs.
    ///
    /// # Errors
    /// What replicas and tenants are numbered by cannot change while a process runs, and the number of classes since its
    /// start is bounded.
    pub fn updated_to(&self, new: SiteSettings) -> Result<SiteSettings, SettingsUpdateError> {
        update::update(self, new)
    }

    /// A load report from its values in the order of the settings' fields; `None` where a value is missing.
    pub fn load_report_in_order(&self, values: impl Iterator<Item = Option<f64>>) -> LoadReport {
        let mut report = LoadReport::default();
        for (value, field) in values.zip(&self.report_fields) {
            if let Some(value) = value {
                field.set(&mut report, value);
            }
        }
        report
    }

    /// How many values a load report has.
    pub fn load_report_length(&self) -> usize {
        self.report_fields.len()
    }

    /// A load report from its values by name. Replicas may use either of the protocol's two names for a field.
    pub fn load_report(&self, value: impl Fn(&str) -> Option<f64>) -> LoadReport {
        let mut report = LoadReport::default();
        for (name, field) in self.names.report_fields.iter().zip(&self.report_fields) {
            let other_name = || report_fields::other_name(name).and_then(&value);
            if let Some(value) = value(name).or_else(other_name) {
                field.set(&mut report, value);
            }
        }
        report
    }

    /// A weight of the endpoint list as a capacity, where it tells one.
    pub fn capacity_weight(&self, weight: Option<f64>) -> Option<f64> {
        weight.filter(|weight| self.weights_are_capacities && weight.is_finite() && *weight > 0.0)
    }
}
