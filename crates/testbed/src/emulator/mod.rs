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

pub(crate) use clients::{ClientPopulation, ClientRequest};
pub(crate) use measure::OutcomeRecorder;
pub(crate) use node::settings;

pub use measure::{
    CoordinationSummary, QuantileSummary, RequestEnd, RuleViolations, RunOutcome, Tally, QUANTILES,
    TIME_SLICE_COUNT,
};
pub use trace::TraceWriter;
pub use world::Simulation;
