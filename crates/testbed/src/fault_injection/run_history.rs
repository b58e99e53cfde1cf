//! The history of a run for human readers: one JSON object per line for each event, in order.

use super::error::FaultInjectionError;
use crate::Micros;
use serde_json::{json, Value};
use std::cell::RefCell;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::rc::Rc;
use std::time::Instant;

/// The name of the file in the folder of the run.
const FILE_NAME: &str = "history.jsonl";

/// The history file of a run and the run's clock. Clones write to the same file.
#[derive(Clone)]
pub(super) struct RunHistory {
    started_at: Instant,
    file: Rc<RefCell<BufWriter<File>>>,
}

impl RunHistory {
    /// Creates the history in the folder of the run. If the folder has a history already, it is emptied first: the
    /// nodes would otherwise load the disks of the earlier run.
    pub(super) fn create(folder: &Path) -> Result<RunHistory, FaultInjectionError> {
        let path = folder.join(FILE_NAME);
        if path.exists() {
            std::fs::remove_dir_all(folder).map_err(FaultInjectionError::file(folder))?;
        }
        std::fs::create_dir_all(folder).map_err(FaultInjectionError::file(folder))?;
        let file = File::create(&path).map_err(FaultInjectionError::file(&path))?;
        Ok(RunHistory {
            started_at: Instant::now(),
            file: Rc::new(RefCell::new(BufWriter::new(file))),
        })
    }

    /// Microseconds since the beginning of the run.
    pub(super) fn now(&self) -> Micros {
        self.started_at.elapsed().as_micros() as Micros
    }

    /// Appends an event.
    pub(super) fn add(&self, event: &str, details: &Value) {
        let line = json!({"t_us": self.now(), "what": event, "more": details});
        let mut file = self.file.borrow_mut();
        // Errors are ignored: the verdict does not depend on the history, so a full disk must not end the run.
        let _ = writeln!(file, "{line}").and_then(|()| file.flush());
    }
}
