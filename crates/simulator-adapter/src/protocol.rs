//! The simulator's line protocol: one message per line, values separated by single spaces, `-` for a missing value.
//!
//! Errors state what was expected; the caller adds the line number.

mod actions;
mod catalog;
mod events;
mod values;

pub(crate) use actions::write_action;
pub(crate) use catalog::{rows_to_endpoints, CatalogRow};
pub(crate) use events::{parse_instance_message, parse_spawn, InstanceMessage};
pub(crate) use values::Values;

use poppykeel_scheduler::Seconds;

/// Name of the message that starts an instance.
pub(crate) const SPAWN: &str = "spawn";

/// A message that cannot be parsed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{message}: expected {expected}")]
pub(crate) struct ProtocolError {
    /// Name of the message, or the text in its place.
    pub(crate) message: String,
    pub(crate) expected: String,
}

/// The header of an endpoint list, whose rows follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Catalog {
    /// Identifies the catalog until a later catalog has the same number.
    pub(crate) number: u64,
    pub(crate) row_count: usize,
}

/// One line, parsed as far as is possible without the settings of the instance.
pub(crate) enum Line<'a> {
    /// A batch with this time begins.
    Frame(Seconds),
    EndOfBatch,
    /// A catalog begins; its rows follow.
    Catalog(Catalog),
    CatalogRow(CatalogRow),
    /// A message for one instance.
    Instance {
        number: u64,
        /// The values after the number.
        values: Values<'a>,
    },
}

pub(crate) fn parse_line(text: &str) -> Result<Line<'_>, ProtocolError> {
    let mut values = Values::new(text);
    match values.message() {
        "frame" => Ok(Line::Frame(values.seconds("time")?)),
        "eob" => Ok(Line::EndOfBatch),
        "catalog" => Ok(Line::Catalog(Catalog {
            number: values.required("ref")?,
            row_count: values.required("rowsIn")?,
        })),
        "worker" => Ok(Line::CatalogRow(catalog::parse_row(&mut values)?)),
        SPAWN | "roster_change" | "incoming" | "closed_attempt" | "memo" | "power_off"
        | "reminder" | "client_gone" | "pong" | "opened" => Ok(Line::Instance {
            number: values.required("who")?,
            values,
        }),
        _ => Err(values.expected("a known message")),
    }
}
