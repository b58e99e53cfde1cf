//! What happened, in order: one JSON object a line.

#![expect(
    clippy::missing_errors_doc,
    clippy::needless_pass_by_value,
    reason = "not yet converted"
)]

use crate::Micros;
use serde_json::{json, Value};
use std::cell::RefCell;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::rc::Rc;
use std::time::Instant;

/// The log of a run. Clones write to the same.
#[derive(Clone)]
pub struct History {
    began: Instant,
    file: Rc<RefCell<BufWriter<File>>>,
}

impl History {
    /// Begins one in a folder of its own: disks and logs of an earlier run would be taken for this one's.
    pub fn fresh(folder: &Path) -> Result<History, String> {
        let path = folder.join("history.jsonl");
        let named = |e: std::io::Error| format!("{}: {e}", folder.display());
        if path.exists() {
            std::fs::remove_dir_all(folder).map_err(named)?;
        }
        std::fs::create_dir_all(folder).map_err(named)?;
        History::begin(&path)
    }
    fn begin(path: &Path) -> Result<History, String> {
        let file = File::create(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Ok(History {
            began: Instant::now(),
            file: Rc::new(RefCell::new(BufWriter::new(file))),
        })
    }
    /// Microseconds since the beginning.
    pub fn now(&self) -> Micros {
        self.began.elapsed().as_micros() as Micros
    }
    /// Adds a line.
    pub fn add(&self, what: &str, more: Value) {
        let line = json!({"t_us": self.now(), "what": what, "more": more});
        let mut file = self.file.borrow_mut();
        let _ = writeln!(file, "{line}").and_then(|()| file.flush());
    }
}
