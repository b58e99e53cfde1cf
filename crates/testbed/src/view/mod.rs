//! The view on the terminal, of a simulation or of a running node by its log: rates, queues of tenants, servers with
//! their states, streams.
//!
//! [`ViewState`] is what is known, [`draw`] puts it on a terminal of any size, and [`show_simulation`] and
//! [`follow_node_log`] are the loops of the sub-command `view`.

mod draw;
mod state;
mod terminal;

pub use draw::draw;
pub use state::{ConcurrencyUse, NamedCount, ServerRow, TenantQueue, ViewState};
pub use terminal::{follow_node_log, show_simulation, ViewError};
