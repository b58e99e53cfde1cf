//! The one place where configuration is read, checked and given defaults. Every error names its key.
//!
//! [`NodeConfig`] is the platform's JSON, [`operator`] the operators' own file in TOML. `program::files` finds and reads
//! both; `program::serve` runs a node by them.

mod error;
mod node;
pub mod operator;
mod transport_limits;

pub use error::NodeConfigError;
pub use node::{NodeConfig, Overrides};
