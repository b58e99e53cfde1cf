//! Parses the values of one message in order.

use super::ProtocolError;
use poppykeel_scheduler::{AttemptOutcome, LoadReport, ReplicaId, RequestId, Seconds};
use poppykeel_site_settings::SiteSettings;
use std::str::FromStr;

/// Placeholder for a missing value.
const MISSING: &str = "-";
/// Number of digits of a hexadecimal value.
const HEX_DIGITS: usize = 16;

/// A message whose values are consumed one by one.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Values<'a> {
    message: &'a str,
    remaining: Option<&'a str>,
}

impl<'a> Values<'a> {
    pub(crate) fn new(line: &'a str) -> Self {
        match line.split_once(' ') {
            Some((message, remaining)) => Values {
                message,
                remaining: Some(remaining),
            },
            None => Values {
                message: line,
                remaining: None,
            },
        }
    }

    pub(crate) fn message(&self) -> &'a str {
        self.message
    }

    /// Creates an error about this message.
    pub(crate) fn expected(&self, expected: impl Into<String>) -> ProtocolError {
        ProtocolError {
            message: self.message.to_string(),
            expected: expected.into(),
        }
    }

    /// Returns the next value, or `None` if it is missing or the line has ended.
    pub(crate) fn next(&mut self) -> Option<&'a str> {
        let text = self.remaining?;
        let (value, remaining) = match text.split_once(' ') {
            Some((value, remaining)) => (value, Some(remaining)),
            None => (text, None),
        };
        self.remaining = remaining;
        Some(value).filter(|value| *value != MISSING && !value.is_empty())
    }

    /// Returns the remaining text of the line.
    pub(crate) fn take_remaining(&mut self) -> Option<&'a str> {
        self.remaining.take()
    }

    pub(crate) fn optional<T: FromStr>(&mut self, name: &str) -> Result<Option<T>, ProtocolError> {
        let Some(text) = self.next() else {
            return Ok(None);
        };
        match text.parse() {
            Ok(value) => Ok(Some(value)),
            Err(_) => Err(self.expected(format!("a valid value for {name}, not '{text}'"))),
        }
    }

    pub(crate) fn required<T: FromStr>(&mut self, name: &str) -> Result<T, ProtocolError> {
        let value = self.optional(name)?;
        value.ok_or_else(|| self.expected(format!("a value for {name}")))
    }

    pub(crate) fn seconds(&mut self, name: &str) -> Result<Seconds, ProtocolError> {
        let value: f64 = self.required(name)?;
        if value.is_finite() {
            Ok(value)
        } else {
            Err(self.expected(format!("a finite number of seconds for {name}")))
        }
    }

    pub(crate) fn hex(&mut self, name: &str) -> Result<Option<u64>, ProtocolError> {
        let Some(text) = self.next() else {
            return Ok(None);
        };
        match u64::from_str_radix(text, 16) {
            Ok(value) if text.len() == HEX_DIGITS => Ok(Some(value)),
            _ => Err(self.expected(format!("{HEX_DIGITS} hex digits for {name}, not '{text}'"))),
        }
    }

    pub(crate) fn request(&mut self) -> Result<RequestId, ProtocolError> {
        let ticket = self.hex("ticket")?.map(RequestId);
        ticket.ok_or_else(|| self.expected("a value for ticket"))
    }

    pub(crate) fn replica(&mut self) -> Result<ReplicaId, ProtocolError> {
        self.required("worker").map(ReplicaId)
    }

    pub(crate) fn flag(&mut self, name: &str) -> Result<bool, ProtocolError> {
        match self.next() {
            Some("1") => Ok(true),
            Some("0") => Ok(false),
            _ => Err(self.expected(format!("1 or 0 for {name}"))),
        }
    }

    pub(crate) fn outcome(&mut self) -> Result<AttemptOutcome, ProtocolError> {
        match self.required::<u16>("disposition")? {
            0 => Ok(AttemptOutcome::Completed),
            255 => Ok(AttemptOutcome::ServerError),
            254 => Ok(AttemptOutcome::AtCapacity),
            253 => Ok(AttemptOutcome::TimedOut),
            252 => Ok(AttemptOutcome::ConnectFailed),
            251 => Ok(AttemptOutcome::ConnectionReset),
            250 => Ok(AttemptOutcome::Cancelled),
            249 => Ok(AttemptOutcome::NotSent),
            code => Err(self.expected(format!("a known disposition, not {code}"))),
        }
    }

    /// Parses an index below `count`. A missing index is `default`, or an error if there is no default.
    pub(crate) fn index(
        &mut self,
        name: &str,
        count: usize,
        default: Option<usize>,
    ) -> Result<usize, ProtocolError> {
        let value = match self.optional(name)? {
            Some(value) => value,
            None => default.ok_or_else(|| self.expected(format!("a value for {name}")))?,
        };
        if value < count {
            Ok(value)
        } else {
            Err(self.expected(format!("a {name} below {count}, not {value}")))
        }
    }

    /// Parses a load report: values separated by commas, in the order of the report fields in the settings.
    pub(crate) fn load_report(
        &mut self,
        settings: &SiteSettings,
    ) -> Result<Option<LoadReport>, ProtocolError> {
        let Some(text) = self.next() else {
            return Ok(None);
        };
        let mut values = Vec::new();
        for text in text.split(',').take(settings.load_report_length()) {
            let value = if text == MISSING || text.is_empty() {
                None
            } else {
                let value = text.parse();
                Some(value.map_err(|_| self.expected("numbers in the load report"))?)
            };
            values.push(value);
        }
        Ok(Some(settings.load_report_in_order(values.into_iter())))
    }
}
