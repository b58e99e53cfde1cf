//! One run by discrete events in whole microseconds: clients, nodes, servers and what is between them. Nodes are the
//! project's own core and module, unchanged, or a policy to compare with. A run is one thread and depends on nothing
//! but its description, its policy and its seed: the same three give the same bytes.

mod clients;
pub mod description;
mod faults;
mod measure;
mod node;
pub mod policies;
mod prefixes;
mod queue;
pub mod server;
mod together;
mod trace;
mod world;

pub(crate) use clients::{Clients, Work};
pub(crate) use measure::Measure;
pub(crate) use node::settings;

pub use measure::{Broken, End, Outcome, Spread, Talked, Tally, PARTS, PIECES};
pub use trace::Trace;
pub use world::World;
