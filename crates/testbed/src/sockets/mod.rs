//! Runs a fleet on loopback sockets: stub model servers, stub discovery, node processes and clients.
//!
//! The stub servers run the emulator's server model in real time, and the clients follow the same run description as in
//! the emulator. Everything but the node processes runs on one thread in a tokio `LocalSet`.
//!
//! - [`run_load`] executes a run, for the sub-command `load`.
//! - [`LocalDeployment`] is a fleet for manual tests, for the sub-command `up`.
//! - Fault injection uses the stubs and the node configuration.

mod error;
mod load;
mod local_deployment;
mod local_fleet;
mod node_config;
pub(crate) mod restart_ports;
mod serving_node;
mod stub_discovery;
mod stub_model_server;

pub use error::SocketsError;
pub use load::run_load;
pub use local_deployment::LocalDeployment;
pub(crate) use node_config::node_config;
pub use serving_node::node_program;
pub(crate) use stub_discovery::{DiscoveryEntry, StubDiscovery};
pub(crate) use stub_model_server::StubModelServer;
pub use stub_model_server::{Arrival, ArrivalRecord};
