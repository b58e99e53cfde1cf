//! Hands what the scheduler has learned from one process of a node to the next, where both run side by side on one machine.
//!
//! The processes share a folder. The new one writes a question there, `poppykeel-NAME.ask`, which holds its random token. The
//! old one sees the question, removes it and leaves a record, `poppykeel-NAME.learned`; it leaves another one when it is told
//! to end. The new one takes each record and removes it. `routing::learned_state` decides whether a record is used.
//!
//! `program::serve` starts the task and calls [`LearnedStateHandover::publish`] at shutdown. The files are small and on a local
//! disk: they are read and written without leaving the runtime's thread.

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

/// How often a process looks for the other one's question or record.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// A question that nobody has answered for so long is removed: there is no other process.
const QUESTION_TIMEOUT: Duration = Duration::from_secs(2);
/// A record that nobody has taken for so long is removed.
const RECORD_TIMEOUT: Duration = Duration::from_secs(10);
/// Of a longer node name only the beginning is part of the files' names.
const MAX_NAME_CHARS: usize = 64;

const QUESTION: &str = "ask";
const RECORD: &str = "learned";

/// The handover between the processes of one node.
pub struct LearnedStateHandover {
    folder: PathBuf,
    /// The node's name as it stands in the files' names.
    name: String,
    /// Tells this process from the other one.
    token: ProcessToken,
    clock: Clock,
    dispatcher: mpsc::Sender<DispatcherMessage>,
    site: Rc<SiteSettings>,
    /// When this process left a record last. Until that is taken or removed, no other record is looked for.
    left_at: Cell<Option<Instant>>,
}

impl LearnedStateHandover {
    /// For the node of this name; the folder must exist.
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
            left_at: Cell::default(),
        }
    }

    /// Asks the other process, and from then on answers questions and takes records. Ends only where the folder cannot be
    /// written to; the log says so.
    pub async fn run(self: Rc<Self>) {
        let own_question = self.token.0.to_string();
        if let Err(e) = fs::write(self.path(QUESTION), &own_question) {
            tracing::warn!(folder = %self.folder.display(), why = %e, "learned state cannot be handed over");
            return;
        }
        let asked_at = Instant::now();
        let mut is_waiting_for_record = true;
        loop {
            if let Some(bytes) = self.take_record() {
                is_waiting_for_record = false;
                self.import(&bytes).await;
            }
            match fs::read_to_string(self.path(QUESTION)) {
                Ok(question) if question == own_question => {
                    if is_waiting_for_record && asked_at.elapsed() > QUESTION_TIMEOUT {
                        self.remove(QUESTION);
                    }
                }
                Ok(_) => {
                    self.remove(QUESTION);
                    self.publish().await;
                }
                Err(_) => {}
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Leaves a record of what this process has learned, if it has learned anything.
    pub async fn publish(&self) {
        let learned = query(&self.dispatcher, DispatcherQuery::LearnedState).await;
        let Some(learned) = learned.filter(|learned| learned.requests_seen > 0) else {
            return;
        };
        match self.write_record(learned) {
            Ok(()) => {
                self.left_at.set(Some(Instant::now()));
                tracing::info!("learned state left for the next process");
            }
            Err(e) => tracing::warn!(why = %e, "learned state cannot be handed over"),
        }
    }

    /// Writes a record under another name first, so that the other process finds it complete or not at all.
    fn write_record(&self, learned: LearnedState) -> io::Result<()> {
        let names = &self.site.names;
        let bytes = learned_state::encode(self.token, self.unix_ms(), names, learned);
        let draft = self.path(&format!("{:016x}", self.token.0));
        fs::write(&draft, bytes)?;
        fs::rename(&draft, self.path(RECORD))
    }

    /// Takes the record that the other process has left. One that is too long comes as no bytes, which are no record.
    fn take_record(&self) -> Option<Vec<u8>> {
        if let Some(left_at) = self.left_at.get() {
            if left_at.elapsed() > RECORD_TIMEOUT {
                self.remove(RECORD);
                self.left_at.set(None);
            }
            return None;
        }
        let path = self.path(RECORD);
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
                // Without a dispatcher the node has ended, and nobody needs what was learned.
                let _ = self.dispatcher.send(message).await;
            }
            Err(e) => {
                tracing::warn!(why = %e, "learned state of the previous process is not used");
            }
        }
    }

    fn remove(&self, kind: &str) {
        // The other process may have removed it first. A file that cannot be removed is seen again at the next poll.
        let _ = fs::remove_file(self.path(kind));
    }

    fn path(&self, kind: &str) -> PathBuf {
        self.folder.join(format!("poppykeel-{}.{kind}", self.name))
    }

    fn unix_ms(&self) -> i64 {
        self.clock.reading().unix_us / 1000
    }
}

/// A node's name with only letters, digits and hyphens, all others as underscores.
fn file_name_part(node_name: &str) -> String {
    let mut part = String::new();
    for char in node_name.chars().take(MAX_NAME_CHARS) {
        let is_safe = char.is_ascii_alphanumeric() || char == '-';
        part.push(if is_safe { char } else { '_' });
    }
    part
}
