//! The settings of a site: everything that differs between deployments.
//!
//! The simulator passes the settings to each instance, and the configuration of a node contains them under `settings`. Both
//! programs parse them with [`SiteSettings::parse`]. README.md describes the keys. Unknown keys are ignored; missing keys
//! have defaults, except those for which parsing returns an error.

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

/// The settings of a site, which a reload replaces as a whole.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteSettings {
    /// Passed to the scheduler, which knows classes and tenants only by their positions in `names`.
    pub scheduler: SchedulerSettings,
    /// Names and connection limits, which the scheduler does not need.
    pub names: SiteNames,
    /// The meaning of each value of a load report, in order.
    report_fields: Vec<ReportField>,
    /// Weights in the endpoint list state capacity, not load.
    weights_are_capacities: bool,
}

impl SiteSettings {
    /// Parses settings from JSON.
    ///
    /// # Errors
    /// Returns what was expected, and for which key.
    pub fn parse(text: &str) -> Result<SiteSettings, SettingsParseError> {
        parse::parse(text)
    }

    /// Returns the new settings with the class indices of the running process. An unchanged class keeps its index, and a new
    /// or changed class gets a new index, so that the indices of requests in flight remain valid.
    ///
    /// # Errors
    /// Fails if a key has changed that determines the indices of replicas and tenants, or if the process has used too many
    /// different classes since its start.
    pub fn updated_to(&self, new: SiteSettings) -> Result<SiteSettings, SettingsUpdateError> {
        update::update(self, new)
    }

    /// Creates a load report from values in the order of the report fields. `None` is a missing value.
    pub fn load_report_in_order(&self, values: impl Iterator<Item = Option<f64>>) -> LoadReport {
        let mut report = LoadReport::default();
        for (value, field) in values.zip(&self.report_fields) {
            if let Some(value) = value {
                field.set(&mut report, value);
            }
        }
        report
    }

    /// Number of values in a load report.
    pub fn load_report_length(&self) -> usize {
        self.report_fields.len()
    }

    /// Creates a load report; `value` returns the value for a name, or `None` if it is missing. Replicas may use either of
    /// the protocol's two names for a field.
    pub fn load_report(&self, value: impl Fn(&str) -> Option<f64>) -> LoadReport {
        let mut report = LoadReport::default();
        for (name, field) in self.names.report_fields.iter().zip(&self.report_fields) {
            let value_by_equivalent_name = || report_fields::equivalent_name(name).and_then(&value);
            if let Some(value) = value(name).or_else(value_by_equivalent_name) {
                field.set(&mut report, value);
            }
        }
        report
    }

    /// Returns a weight of the endpoint list as a capacity, or `None` if the weight does not state a valid capacity.
    pub fn capacity_weight(&self, weight: Option<f64>) -> Option<f64> {
        weight.filter(|weight| self.weights_are_capacities && weight.is_finite() && *weight > 0.0)
    }
}
