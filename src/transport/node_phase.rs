//! The phases of a node's life. A `watch` channel shows the present one to all tasks that accept clients or close their
//! connections; the operators' address, the rolling restart and the end of the process change it.

/// A phase of a node's life. Later phases compare as greater.
///
/// | from | when | to |
/// | --- | --- | --- |
/// | `Serving` | an operator or a rolling restart evacuates the node | `Evacuating` |
/// | `Evacuating` | clients have had their time to leave | `Evacuated` |
/// | `Evacuating`, `Evacuated` | the node is told to serve again | `Serving` |
/// | any but `Closing` | the process is told to end | `Draining` |
/// | `Draining` | the time in which clients may still connect is over | `Closing` |
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum NodePhase {
    /// Clients may connect and stay.
    Serving,
    /// Each response is the last on its connection, since the node is being evacuated.
    Evacuating,
    /// Connections without a request are closed, too, until the node serves again.
    Evacuated,
    /// Clients may connect, and each response is the last on its connection.
    Draining,
    /// Connections without a request are closed, and no new one is accepted.
    Closing,
}
