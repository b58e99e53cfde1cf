//! Handover of the scheduler's learned state from one process of a node to the next, when both run side by side on one
//! machine.
//!
//! The processes share a folder. The new process writes a request file there, `poppykeel-NAME.ask`, which holds its random
//! token. The old process finds the request, removes it and writes a record, `poppykeel-NAME.learned`; it writes another
//! record when it shuts down. The new process reads each record and removes it. `routing::learned_state` decides whether a
//! record is used.
//!
//! `program::serve` starts the task and calls [`LearnedStateHandover::publish`] at shutdown. The files are small and on a
//! local disk, so file access blocks the runtime's thread only briefly.

use super::clock::Clock;
use super::messages::{query, DispatcherMessage, DispatcherQuery};
use crate::routing::learned_state::{self, ProcessToken, MAX_RECORD_BYTES};
use poppykeel_scheduler::LearnedState;
use poppykeel_site_settings::SiteSettings;
use std::cell::Cell;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// How often a process checks the folder for a request or record of the other process.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// A request without an answer is removed after this time: there is no other process.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// A record that has not been read is removed after this time.
const RECORD_TIMEOUT: Duration = Duration::from_secs(10);
/// Longer node names are truncated to this length in file names.
const MAX_NAME_CHARS: usize = 64;

const REQUEST_EXTENSION: &str = "ask";
const RECORD_EXTENSION: &str = "learned";

/// The handover of learned state between the processes of one node.
pub struct LearnedStateHandover {
    folder: PathBuf,
    /// The node's name in the form used in file names.
    name: String,
    /// Distinguishes this process from the other one.
    token: ProcessToken,
    clock: Clock,
    dispatcher: mpsc::Sender<DispatcherMessage>,
    site: Rc<SiteSettings>,
    /// When this process last wrote a record; `None` before that and once the record has expired. While this is set, a record
    /// in the folder is this process's own and is not read.
    written_at: Cell<Option<Instant>>,
}

impl LearnedStateHandover {
    /// Creates the handover for the node of this name. The folder must exist.
    pub fn new(
        folder: &Path,
        node_name: &str,
        site: Rc<SiteSettings>,
        dispatcher: mpsc::Sender<DispatcherMessage>,
        clock: Clock,
    ) -> Self {
        LearnedStateHandover {
            folder: folder.to_path_buf(),
            name: file_name_part(node_name),
            token: ProcessToken(rand::random()),
            clock,
            dispatcher,
            site,
            written_at: Cell::default(),
        }
    }

    /// Requests the other process's learned state, then answers requests and reads records. Returns only if the request
    /// can't be written to the folder, which is logged.
    pub async fn run(self: Rc<Self>) {
        let own_request = self.token.0.to_string();
        if let Err(e) = fs::write(self.path(REQUEST_EXTENSION), &own_request) {
            tracing::warn!(folder = %self.folder.display(), why = %e, "cannot write the request for learned state; starting without learned state");
            return;
        }
        let requested_at = Instant::now();
        let mut is_waiting_for_record = true;
        loop {
            if let Some(bytes) = self.take_record() {
                is_waiting_for_record = false;
                self.import(&bytes).await;
            }
            match fs::read_to_string(self.path(REQUEST_EXTENSION)) {
                Ok(request) if request == own_request => {
                    if is_waiting_for_record && requested_at.elapsed() > REQUEST_TIMEOUT {
                        self.remove(REQUEST_EXTENSION);
                    }
                }
                Ok(_) => {
                    self.remove(REQUEST_EXTENSION);
                    self.publish().await;
                }
                Err(_) => {}
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Writes a record of this process's learned state, unless it has seen no requests.
    pub async fn publish(&self) {
        let learned = query(&self.dispatcher, DispatcherQuery::LearnedState).await;
        let Some(learned) = learned.filter(|learned| learned.requests_seen > 0) else {
            return;
        };
        match self.write_record(learned) {
            Ok(()) => {
                self.written_at.set(Some(Instant::now()));
                tracing::info!("learned state written for the next process");
            }
            Err(e) => {
                tracing::warn!(why = %e, "cannot write learned state for the next process");
            }
        }
    }

    /// Writes a record under a temporary name first, so that the other process sees it complete or not at all.
    fn write_record(&self, learned: LearnedState) -> io::Result<()> {
        let names = &self.site.names;
        let bytes = learned_state::encode(self.token, self.unix_ms(), names, learned);
        let temporary_path = self.path(&format!("{:016x}", self.token.0));
        fs::write(&temporary_path, bytes)?;
        fs::rename(&temporary_path, self.path(RECORD_EXTENSION))
    }

    /// Reads and removes the record written by the other process. A record that is too long is returned as empty bytes,
    /// which are not a valid record.
    fn take_record(&self) -> Option<Vec<u8>> {
        if let Some(written_at) = self.written_at.get() {
            if written_at.elapsed() > RECORD_TIMEOUT {
                self.remove(RECORD_EXTENSION);
                self.written_at.set(None);
            }
            return None;
        }
        let path = self.path(RECORD_EXTENSION);
        let length = fs::metadata(&path).ok()?.len();
        let bytes = if length <= MAX_RECORD_BYTES {
            fs::read(&path).ok()?
        } else {
            Vec::new()
        };
        fs::remove_file(&path).ok()?;
        Some(bytes)
    }

    async fn import(&self, bytes: &[u8]) {
        let names = &self.site.names;
        match learned_state::decode(bytes, self.token, self.unix_ms(), names) {
            Ok(learned) => {
                let requests = learned.requests_seen;
                let sessions = learned.sessions.len();
                tracing::info!(
                    requests,
                    sessions,
                    "learned state imported from the previous process"
                );
                let message = DispatcherMessage::ImportLearnedState(Box::new(learned));
                // Sending fails only if the dispatcher has ended; the state is then not needed.
                let _ = self.dispatcher.send(message).await;
            }
            Err(e) => {
                tracing::warn!(why = %e, "learned state of the previous process rejected; starting without learned state");
            }
        }
    }

    fn remove(&self, extension: &str) {
        // The other process may have removed the file first. A file that cannot be removed is seen again at the next poll.
        let _ = fs::remove_file(self.path(extension));
    }

    fn path(&self, extension: &str) -> PathBuf {
        self.folder
            .join(format!("poppykeel-{}.{extension}", self.name))
    }

    fn unix_ms(&self) -> i64 {
        self.clock.reading().unix_us / 1000
    }
}

/// Replaces all characters of a node's name except ASCII letters, digits and hyphens by underscores.
fn file_name_part(node_name: &str) -> String {
    let mut part = String::new();
    for char in node_name.chars().take(MAX_NAME_CHARS) {
        let is_safe = char.is_ascii_alphanumeric() || char == '-';
        part.push(if is_safe { char } else { '_' });
    }
    part
}
