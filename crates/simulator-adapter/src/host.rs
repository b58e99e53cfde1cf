//! The instances that the simulator has started, and the batch that is being read.

use crate::protocol::{self, Catalog, CatalogRow, InstanceMessage, Line, ProtocolError, Values};
use poppykeel_scheduler::{Event, Scheduler, Seconds, SettingsError};
use poppykeel_site_settings::SiteSettings;
use std::collections::BTreeMap;

/// Why a line is not taken.
#[derive(Debug, thiserror::Error)]
pub(crate) enum HostError {
    /// The line itself cannot be read.
    #[error(transparent)]
    Protocol(#[from] ProtocolError),
    /// The line makes no sense where it stands.
    #[error("{message}: expected {expected}")]
    Unexpected {
        /// The name of the message.
        message: String,
        /// What should have stood there.
        expected: String,
    },
    /// The settings of an instance are not accepted.
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

/// Where a batch stands after a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    /// More lines of the batch follow.
    BatchContinues,
    /// The batch is complete and its reply is due.
    BatchComplete,
}

/// One scheduler with its settings.
struct Instance {
    scheduler: Scheduler,
    settings: SiteSettings,
}

/// The catalog whose rows are being read.
#[derive(Default)]
struct OpenCatalog {
    number: u64,
    missing_rows: usize,
}

/// All instances, and the batch that is being read.
#[derive(Default)]
pub(crate) struct Host {
    /// The time of the batch that is being read.
    batch_time: Option<Seconds>,
    /// Catalogs by number; a number that is used again means the newer catalog.
    catalogs: BTreeMap<u64, Vec<CatalogRow>>,
    open_catalog: OpenCatalog,
    instances: BTreeMap<u64, Instance>,
    reply: String,
}

impl Host {
    pub(crate) fn is_within_batch(&self) -> bool {
        self.batch_time.is_some()
    }

    /// The reply to the batch that is complete.
    pub(crate) fn take_reply(&mut self) -> String {
        std::mem::take(&mut self.reply)
    }

    pub(crate) fn take_line(&mut self, text: &str) -> Result<Progress, HostError> {
        let line = protocol::parse_line(text)?;
        let Some(now) = self.batch_time else {
            return self.begin_batch(text, &line);
        };
        if self.open_catalog.missing_rows > 0 {
            return self.take_catalog_row(text, line);
        }
        match line {
            Line::Frame(_) => Err(HostError::unexpected("frame", "eob before the next batch")),
            Line::CatalogRow(_) => Err(HostError::unexpected("worker", "a catalog before it")),
            Line::EndOfBatch => {
                self.batch_time = None;
                Ok(Progress::BatchComplete)
            }
            Line::Catalog(catalog) => {
                self.open(catalog);
                Ok(Progress::BatchContinues)
            }
            Line::Instance { number, values } => {
                self.take_instance_message(now, number, values)?;
                Ok(Progress::BatchContinues)
            }
        }
    }

    fn begin_batch(&mut self, text: &str, line: &Line<'_>) -> Result<Progress, HostError> {
        let Line::Frame(time) = line else {
            return Err(HostError::unexpected(message_name(text), "frame"));
        };
        self.batch_time = Some(*time);
        Ok(Progress::BatchContinues)
    }

    fn open(&mut self, catalog: Catalog) {
        self.catalogs.insert(catalog.number, Vec::new());
        self.open_catalog = OpenCatalog {
            number: catalog.number,
            missing_rows: catalog.row_count,
        };
    }

    fn take_catalog_row(&mut self, text: &str, line: Line<'_>) -> Result<Progress, HostError> {
        let Line::CatalogRow(row) = line else {
            let missing = self.open_catalog.missing_rows;
            let expected = format!("{missing} more worker lines");
            return Err(HostError::unexpected(message_name(text), expected));
        };
        self.open_catalog.missing_rows -= 1;
        self.catalogs
            .entry(self.open_catalog.number)
            .or_default()
            .push(row);
        Ok(Progress::BatchContinues)
    }

    fn take_instance_message(
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
                let endpoints = protocol::endpoints(rows, &instance.settings)?;
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

/// The name of the message in a line, for errors.
fn message_name(text: &str) -> &str {
    text.split(' ').next().unwrap_or(text)
}
