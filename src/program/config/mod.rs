//! Parses and validates all configuration and sets its defaults. Every error names its key.
//!
//! [`NodeConfig`] is the node configuration in JSON, which the platform that deploys the node generates; [`operator`] is
//! the operator file in TOML, which people edit. `program::files` locates and reads both files; `program::serve` runs a
//! node with them.

mod error;
mod node;
pub mod operator;
mod transport_limits;

pub use error::NodeConfigError;
pub use node::{NodeConfig, Overrides};
