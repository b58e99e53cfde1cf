//! The fleet of a run on loopback sockets: stub model servers, stub discovery, the node as a process, and clients.
//!
//! Stub servers go by the emulator's own model in real time, and clients send by the same description. One thread serves
//! all of it but the nodes, in a `LocalSet` of tokio.
//!
//! - [`play_load`] plays a run to its end, for the sub-command `load`.
//! - [`LocalDeployment`] is a node to try with all that it needs, for the sub-command `up`.
//! - Fault injection uses the stubs and the configuration of nodes.

mod error;
mod load;
mod local_deployment;
mod local_fleet;
mod node_config;
mod serving_node;
mod stub_discovery;
mod stub_model_server;

pub use error::SocketsError;
pub use load::play_load;
pub use local_deployment::LocalDeployment;
pub(crate) use node_config::node_config;
pub use serving_node::node_program;
pub(crate) use stub_discovery::{DiscoveryEntry, StubDiscovery};
pub(crate) use stub_model_server::StubModelServer;
pub use stub_model_server::{Arrival, ArrivalRecord};
