//! The signals that a node obeys.

use super::error::ServeError;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// What a signal asks of the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NodeSignal {
    /// SIGHUP: read the settings again.
    Reload,
    /// SIGTERM or SIGINT: shut down.
    ShutDown,
}

/// The signals, caught as long as this lives.
pub(super) struct NodeSignals {
    terminate: Signal,
    interrupt: Signal,
    /// Not caught, SIGHUP would end the process; so it stays caught until the end, also while the node drains.
    hangup: Signal,
}

impl NodeSignals {
    /// Begins to catch the signals.
    ///
    /// # Errors
    /// Where the system doesn't allow it.
    pub(super) fn install() -> Result<NodeSignals, ServeError> {
        let install = |kind| signal(kind).map_err(ServeError::Signals);
        Ok(NodeSignals {
            terminate: install(SignalKind::terminate())?,
            interrupt: install(SignalKind::interrupt())?,
            hangup: install(SignalKind::hangup())?,
        })
    }

    /// Waits for the next signal. Each branch is cancel-safe: a signal that comes while another is handled is returned by
    /// the next call.
    pub(super) async fn next(&mut self) -> NodeSignal {
        tokio::select! {
            _ = self.terminate.recv() => NodeSignal::ShutDown,
            _ = self.interrupt.recv() => NodeSignal::ShutDown,
            _ = self.hangup.recv() => NodeSignal::Reload,
        }
    }
}
