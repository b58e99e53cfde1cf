//! Terminal view of a simulation, or of a running node from its log: rates, tenant queues, server states and streams.
//!
//! [`ViewState`] holds the data, [`draw()`] renders it on a terminal of any size, and [`show_simulation`] and
//! [`follow_node_log`] are the main loops of the sub-command `view`.

mod draw;
mod state;
mod terminal;

pub use draw::draw;
pub use state::{ConcurrencyUse, NamedCount, ServerRow, TenantQueue, ViewState};
pub use terminal::{follow_node_log, show_simulation, ViewError};
