//! Durations in the operator file: a number of seconds, or a string with a unit such as `"250ms"`.

use poppykeel_endpoints::DurationMicros;
use serde::de::{Deserialize, Deserializer, Error, Unexpected, Visitor};
use std::fmt;

/// The longest accepted duration, in microseconds: a year.
const MAX_DURATION: DurationMicros = 365 * 86_400_000_000;
const MICROS_PER_SECOND: f64 = 1e6;

/// A duration in the operator file, from 0 to a year.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConfigDuration(DurationMicros);

impl ConfigDuration {
    /// A duration of this many microseconds, whose range is not checked.
    pub const fn from_micros(micros: DurationMicros) -> ConfigDuration {
        ConfigDuration(micros)
    }

    /// The duration in microseconds.
    pub const fn as_micros(self) -> DurationMicros {
        self.0
    }
}

/// Deserializes a [`ConfigDuration`] from a number or a string.
struct DurationVisitor;

impl Visitor<'_> for DurationVisitor {
    type Value = ConfigDuration;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a duration from 0 to a year: a number of seconds or a string with a unit such as \"250ms\"")
    }

    fn visit_f64<E: Error>(self, seconds: f64) -> Result<ConfigDuration, E> {
        let max_seconds = MAX_DURATION as f64 / MICROS_PER_SECOND;
        if !(0.0..=max_seconds).contains(&seconds) {
            return Err(E::invalid_value(Unexpected::Float(seconds), &self));
        }
        let micros = (seconds * MICROS_PER_SECOND).round();
        Ok(ConfigDuration(micros as DurationMicros))
    }

    fn visit_i64<E: Error>(self, seconds: i64) -> Result<ConfigDuration, E> {
        self.visit_f64(seconds as f64)
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<ConfigDuration, E> {
        let invalid = || E::invalid_value(Unexpected::Str(text), &self);
        let duration = humantime::parse_duration(text).map_err(|_| invalid())?;
        let micros = u64::try_from(duration.as_micros()).map_err(|_| invalid())?;
        if micros > MAX_DURATION {
            return Err(invalid());
        }
        Ok(ConfigDuration(micros))
    }
}

impl<'de> Deserialize<'de> for ConfigDuration {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<ConfigDuration, D::Error> {
        deserializer.deserialize_any(DurationVisitor)
    }
}
