//! Values of a JSON object by key, with errors that say what was expected.

use crate::error::SettingsParseError;
use serde_json::Value;

/// One object of the settings; a value that is no object has no keys.
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

    /// A missing flag is not set.
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

    /// A list of words; what is no text counts as an empty one.
    pub(crate) fn words(self, key: &'static str) -> Result<Vec<String>, SettingsParseError> {
        let values = self.list(key)?.iter();
        Ok(values.map(|value| word(value).to_string()).collect())
    }

    /// The names of the objects of a list.
    pub(crate) fn names(self, key: &'static str) -> Result<Vec<String>, SettingsParseError> {
        let values = self.list(key)?.iter();
        Ok(values
            .map(|value| word(&value["name"]).to_string())
            .collect())
    }
}

fn word(value: &Value) -> &str {
    value.as_str().unwrap_or_default()
}
