//! The same fleet on loopback sockets: model servers that go by the emulator's own model, discovery, the node as a
//! process, and clients that send by the same description. One thread serves all of it but the nodes.

mod discovery;
mod fleet;
mod load;
mod model;
mod nodes;
mod up;

pub(crate) use discovery::{Discovery, Entry};
pub use load::play;
pub(crate) use model::Model;
pub use model::{Arrival, Arrivals};
pub(crate) use nodes::config;
pub use nodes::program;
pub use up::{up, Up};
