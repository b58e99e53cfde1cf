//! The phases of a node's life. A `watch` channel publishes the current phase to all tasks that accept clients or close
//! their connections; the admin address, rolling restarts and the shutdown of the process change it.

/// A phase of a node's life. Later phases compare as greater.
///
/// | from | when | to |
/// | --- | --- | --- |
/// | `Serving` | an operator or a rolling restart evacuates the node | `Evacuating` |
/// | `Evacuating` | the grace period for clients has ended | `Evacuated` |
/// | `Evacuating`, `Evacuated` | an operator or a rolling restart has the node serve again | `Serving` |
/// | any but `Closing` | the process receives the shutdown signal | `Draining` |
/// | `Draining` | the time in which clients may still connect has ended | `Closing` |
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum NodePhase {
    /// Clients may connect and stay connected.
    Serving,
    /// Each response is the last on its connection, because the node is being evacuated.
    Evacuating,
    /// Connections without a request are also closed, until the node serves again.
    Evacuated,
    /// The process shuts down. Clients may still connect, and each response is the last on its connection.
    Draining,
    /// Connections without a request are closed, and no connection is accepted.
    Closing,
}
