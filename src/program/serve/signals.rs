//! The signals that a node handles.

use super::error::ServeError;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// The action that a signal requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NodeSignal {
    /// SIGHUP: reload the settings.
    Reload,
    /// SIGTERM or SIGINT: shut down.
    ShutDown,
}

/// Receives the signals as long as it exists.
pub(super) struct NodeSignals {
    terminate: Signal,
    interrupt: Signal,
    /// SIGHUP would end the process if it were not handled, so it must be handled during the shutdown too.
    hangup: Signal,
}

impl NodeSignals {
    /// Installs the signal handlers.
    ///
    /// # Errors
    /// If the operating system refuses a handler.
    pub(super) fn install() -> Result<NodeSignals, ServeError> {
        let install = |kind| signal(kind).map_err(ServeError::Signals);
        Ok(NodeSignals {
            terminate: install(SignalKind::terminate())?,
            interrupt: install(SignalKind::interrupt())?,
            hangup: install(SignalKind::hangup())?,
        })
    }

    /// Waits for the next signal. Each branch is cancel-safe: a signal that arrives while another one is handled is returned
    /// by the next call.
    pub(super) async fn next(&mut self) -> NodeSignal {
        tokio::select! {
            _ = self.terminate.recv() => NodeSignal::ShutDown,
            _ = self.interrupt.recv() => NodeSignal::ShutDown,
            _ = self.hangup.recv() => NodeSignal::Reload,
        }
    }
}
