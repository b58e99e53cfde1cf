//! Reads values of a JSON object by key. Errors state what was expected.

use crate::error::SettingsParseError;
use serde_json::Value;

/// An object within the settings. A value that is not an object counts as an empty object.
#[derive(Clone, Copy)]
pub(crate) struct Section<'a>(pub(crate) &'a Value);

fn expected(expected: &'static str, key: &'static str) -> SettingsParseError {
    SettingsParseError::Value { expected, key }
}

impl<'a> Section<'a> {
    pub(crate) fn section(self, key: &str) -> Section<'a> {
        Section(&self.0[key])
    }

    pub(crate) fn has(self, key: &str) -> bool {
        !self.0[key].is_null()
    }

    pub(crate) fn text(self, key: &str) -> Option<&'a str> {
        self.0[key].as_str()
    }

    pub(crate) fn number(self, key: &'static str) -> Result<f64, SettingsParseError> {
        self.0[key].as_f64().ok_or(expected("a number", key))
    }

    pub(crate) fn number_or(
        self,
        key: &'static str,
        default: f64,
    ) -> Result<f64, SettingsParseError> {
        if self.has(key) {
            self.number(key)
        } else {
            Ok(default)
        }
    }

    pub(crate) fn positive_number(self, key: &'static str) -> Result<f64, SettingsParseError> {
        let number = self.0[key].as_f64().filter(|number| *number > 0.0);
        number.ok_or(expected("a number above 0", key))
    }

    /// A missing flag is false.
    pub(crate) fn flag(self, key: &'static str) -> Result<bool, SettingsParseError> {
        match &self.0[key] {
            Value::Null => Ok(false),
            value => value.as_bool().ok_or(expected("true or false", key)),
        }
    }

    /// A missing list is empty.
    pub(crate) fn list(self, key: &'static str) -> Result<&'a [Value], SettingsParseError> {
        match &self.0[key] {
            Value::Null => Ok(&[]),
            Value::Array(values) => Ok(values),
            _ => Err(expected("a list", key)),
        }
    }

    /// A list of strings. Values of other types become empty strings.
    pub(crate) fn strings(self, key: &'static str) -> Result<Vec<String>, SettingsParseError> {
        let values = self.list(key)?.iter();
        Ok(values
            .map(|value| string_or_empty(value).to_string())
            .collect())
    }

    /// The value of `name` in each object of a list. A missing name becomes an empty string.
    pub(crate) fn names(self, key: &'static str) -> Result<Vec<String>, SettingsParseError> {
        let values = self.list(key)?.iter();
        Ok(values
            .map(|value| string_or_empty(&value["name"]).to_string())
            .collect())
    }
}

fn string_or_empty(value: &Value) -> &str {
    value.as_str().unwrap_or_default()
}
