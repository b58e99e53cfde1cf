//! Holds the scheduler instances and processes batches line by line.

use crate::protocol::{self, Catalog, CatalogRow, InstanceMessage, Line, ProtocolError, Values};
use poppykeel_scheduler::{Event, Scheduler, Seconds, SettingsError};
use poppykeel_site_settings::SiteSettings;
use std::collections::BTreeMap;

/// Why a line is rejected.
#[derive(Debug, thiserror::Error)]
pub(crate) enum HostError {
    /// The line cannot be parsed.
    #[error(transparent)]
    Protocol(#[from] ProtocolError),
    /// The message is not allowed at this point of the input.
    #[error("{message}: expected {expected}")]
    Unexpected { message: String, expected: String },
    /// The scheduler rejects the settings of an instance.
    #[error("spawn: {0}")]
    Spawn(#[from] SettingsError),
}

impl HostError {
    fn unexpected(message: &str, expected: impl Into<String>) -> Self {
        HostError::Unexpected {
            message: message.to_string(),
            expected: expected.into(),
        }
    }
}

/// The state of the current batch after a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BatchStatus {
    /// More lines of the batch follow.
    Incomplete,
    /// The batch is complete and its reply is due.
    Complete,
}

struct Instance {
    scheduler: Scheduler,
    settings: SiteSettings,
}

/// The latest catalog and the number of its rows that have not been read yet.
#[derive(Default)]
struct CurrentCatalog {
    number: u64,
    remaining_rows: usize,
}

/// All instances and the state of the current batch.
#[derive(Default)]
pub(crate) struct Host {
    /// The time of the current batch; `None` between batches.
    batch_time: Option<Seconds>,
    /// Catalogs by number. A catalog replaces an earlier one with the same number.
    catalogs: BTreeMap<u64, Vec<CatalogRow>>,
    current_catalog: CurrentCatalog,
    instances: BTreeMap<u64, Instance>,
    reply: String,
}

impl Host {
    pub(crate) fn is_within_batch(&self) -> bool {
        self.batch_time.is_some()
    }

    /// Returns the reply to the complete batch and clears it for the next batch.
    pub(crate) fn take_reply(&mut self) -> String {
        std::mem::take(&mut self.reply)
    }

    pub(crate) fn process_line(&mut self, text: &str) -> Result<BatchStatus, HostError> {
        let line = protocol::parse_line(text)?;
        let Some(now) = self.batch_time else {
            return self.begin_batch(text, &line);
        };
        if self.current_catalog.remaining_rows > 0 {
            return self.add_catalog_row(text, line);
        }
        match line {
            Line::Frame(_) => Err(HostError::unexpected("frame", "eob before the next batch")),
            Line::CatalogRow(_) => Err(HostError::unexpected("worker", "a catalog before it")),
            Line::EndOfBatch => {
                self.batch_time = None;
                Ok(BatchStatus::Complete)
            }
            Line::Catalog(catalog) => {
                self.begin_catalog(catalog);
                Ok(BatchStatus::Incomplete)
            }
            Line::Instance { number, values } => {
                self.process_instance_message(now, number, values)?;
                Ok(BatchStatus::Incomplete)
            }
        }
    }

    fn begin_batch(&mut self, text: &str, line: &Line<'_>) -> Result<BatchStatus, HostError> {
        let Line::Frame(time) = line else {
            return Err(HostError::unexpected(message_name(text), "frame"));
        };
        self.batch_time = Some(*time);
        Ok(BatchStatus::Incomplete)
    }

    fn begin_catalog(&mut self, catalog: Catalog) {
        self.catalogs.insert(catalog.number, Vec::new());
        self.current_catalog = CurrentCatalog {
            number: catalog.number,
            remaining_rows: catalog.row_count,
        };
    }

    fn add_catalog_row(&mut self, text: &str, line: Line<'_>) -> Result<BatchStatus, HostError> {
        let Line::CatalogRow(row) = line else {
            let remaining = self.current_catalog.remaining_rows;
            let expected = format!("{remaining} more worker lines");
            return Err(HostError::unexpected(message_name(text), expected));
        };
        self.current_catalog.remaining_rows -= 1;
        self.catalogs
            .entry(self.current_catalog.number)
            .or_default()
            .push(row);
        Ok(BatchStatus::Incomplete)
    }

    fn process_instance_message(
        &mut self,
        now: Seconds,
        number: u64,
        values: Values<'_>,
    ) -> Result<(), HostError> {
        if values.message() == protocol::SPAWN {
            let (seed, settings) = protocol::parse_spawn(values)?;
            let scheduler = Scheduler::new(settings.scheduler.clone(), seed)?;
            let instance = Instance {
                scheduler,
                settings,
            };
            self.instances.insert(number, instance);
            return Ok(());
        }
        let message = values.message();
        let Some(instance) = self.instances.get_mut(&number) else {
            let expected = format!("a known instance, not {number}");
            return Err(HostError::unexpected(message, expected));
        };
        let event = match protocol::parse_instance_message(values, &instance.settings)? {
            InstanceMessage::Event(event) => event,
            InstanceMessage::EndpointList { catalog, is_full } => {
                let rows = self.catalogs.get(&catalog).ok_or_else(|| {
                    HostError::unexpected(message, format!("a known catalog, not {catalog}"))
                })?;
                let endpoints = protocol::rows_to_endpoints(rows, &instance.settings)?;
                if is_full {
                    Event::EndpointsReplaced(endpoints)
                } else {
                    Event::EndpointsChanged(endpoints)
                }
            }
            InstanceMessage::PowerOff => {
                self.instances.remove(&number);
                return Ok(());
            }
            InstanceMessage::Ignored => return Ok(()),
        };
        let mut actions = Vec::new();
        instance.scheduler.handle_event(now, event, &mut actions);
        for action in &actions {
            protocol::write_action(&mut self.reply, number, action);
        }
        Ok(())
    }
}

/// Returns the name of the message in a line, for error messages.
fn message_name(text: &str) -> &str {
    text.split(' ').next().unwrap_or(text)
}
