//! Discrete-event emulator of a fleet: clients, nodes, model servers and the network between them.
//!
//! A [`Simulation`] runs a [`description::RunDescription`] with one [`policies::Policy`]. Nodes are the project's own
//! request router and scheduler, unchanged, or a baseline policy for comparison. A run is single-threaded and depends
//! only on its description, policy and seed: the same three give identical bytes.
//!
//! Experiments, the view and the benchmarks run simulations. The stub servers and the load generator on sockets use
//! [`model_server`], `ClientPopulation` and `OutcomeRecorder` for the same model in real time.

mod clients;
mod coordination;
pub mod description;
mod event_queue;
pub mod model_server;
mod node;
mod outcome;
mod outcome_recorder;
pub mod policies;
mod prefix_cache;
mod request_trace;
mod simulation;
mod time;

pub(crate) use clients::{ClientPopulation, ClientRequest};
pub(crate) use node::scheduler_settings;
pub(crate) use outcome_recorder::{OutcomeRecorder, ServerOccupancy};

pub use outcome::{
    CoordinationSummary, InvariantViolations, MessageRate, PromptTokenCounts, QuantileSummary,
    RequestEnd, RunOutcome, Tally, QUANTILES, TIME_SLICE_COUNT,
};
pub use request_trace::{TraceError, TraceWriter};
pub use simulation::{ServerStatus, Simulation, SimulationError};
