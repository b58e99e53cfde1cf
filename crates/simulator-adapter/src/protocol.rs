//! The simulator's line protocol: one message a line, values separated by single spaces, `-` for a missing value.
//!
//! Nothing is decided here. Errors say what was expected; the caller adds the number of the line.

mod actions;
mod catalog;
mod events;
mod values;

pub(crate) use actions::write_action;
pub(crate) use catalog::{endpoints, CatalogRow};
pub(crate) use events::{parse_instance_message, parse_spawn, InstanceMessage};
pub(crate) use values::Values;

use poppykeel_scheduler::Seconds;

/// The message that starts an instance.
pub(crate) const SPAWN: &str = "spawn";

/// A message that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{message}: expected {expected}")]
pub(crate) struct ProtocolError {
    /// The name of the message, or the text found in its place.
    pub(crate) message: String,
    /// What was expected.
    pub(crate) expected: String,
}

/// A list of endpoints of which the rows follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Catalog {
    /// Its number, until the next catalog of that number.
    pub(crate) number: u64,
    /// How many rows follow.
    pub(crate) row_count: usize,
}

/// One line, as far as it can be read without knowing the instance.
pub(crate) enum Line<'a> {
    /// A batch of this time begins.
    Frame(Seconds),
    /// The batch is complete.
    EndOfBatch,
    /// A catalog begins.
    Catalog(Catalog),
    /// A row of the catalog.
    CatalogRow(CatalogRow),
    /// A message for one instance.
    Instance {
        /// The number of the instance.
        number: u64,
        /// The rest of the message.
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
