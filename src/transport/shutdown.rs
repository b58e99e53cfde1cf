//! The order to stop, and how long ago it came.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// The order to stop, once it has come. It can't be taken back.
#[derive(Debug, Default)]
pub struct Shutdown {
    ordered_at: Cell<Option<Instant>>,
}

impl Shutdown {
    /// The order has come; a second one changes nothing.
    pub fn order(&self) {
        if self.ordered_at.get().is_none() {
            self.ordered_at.set(Some(Instant::now()));
        }
    }

    /// How long ago the order came; nothing before it.
    pub fn elapsed(&self) -> Option<Duration> {
        self.ordered_at.get().map(|at| at.elapsed())
    }

    /// The same in milliseconds, for the log.
    pub fn elapsed_ms(&self) -> Option<u64> {
        self.elapsed().map(|elapsed| elapsed.as_millis() as u64)
    }
}
