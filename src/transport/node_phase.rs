//! The phases of a node's life, which a `watch` channel shows to all tasks that take clients or let them go.

/// How far the node's life has come. Later phases compare as greater.
///
/// | from | when | to |
/// | --- | --- | --- |
/// | `Serving` | an operator or a rolling restart evacuates the node | `Evacuating` |
/// | `Evacuating` | clients have had their time to leave | `Evacuated` |
/// | `Evacuating`, `Evacuated` | the node is called back | `Serving` |
/// | any but `Closing` | the process is told to end | `Draining` |
/// | `Draining` | the time in which clients may still come is over | `Closing` |
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum NodePhase {
    /// Clients may come and stay.
    Serving,
    /// Each response is the last on its connection: an operator has ordered the clients away.
    Evacuating,
    /// Connections without a request are closed, too, until the node is called back.
    Evacuated,
    /// Clients may come, and each response is the last on its connection.
    Draining,
    /// Connections without a request are closed.
    Closing,
}
