//! The terminal's view of a run of the emulator or of a running node by its log: rates, queues per tenant, servers with
//! their state, streams. `state` is what is known, `draw` puts it on the terminal, `terminal` is the loop.

mod draw;
mod state;
mod terminal;

pub use draw::draw;
pub use state::{Row, State};
pub use terminal::{node, run};
