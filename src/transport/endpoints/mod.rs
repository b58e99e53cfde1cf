//! The watchers of the endpoint sources: `discovery` polls the endpoint list over HTTP, `srv` looks up DNS SRV
//! records. Each sends what its source reports to the dispatcher, which owns the combined list.

pub mod discovery;
pub mod srv;
