//! The connection registry that client connections share, for tests that drive a connection without a node.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use poppykeel::program::config::{NodeConfig, Overrides};
use poppykeel::transport::client::registry::ConnectionRegistry;
use poppykeel::transport::clock::Clock;
use poppykeel::transport::messages::DispatcherMessage;
use poppykeel::transport::node_phase::NodePhase;
use poppykeel::transport::replica::stream_monitor::{StreamMonitor, StreamSettings};
use std::rc::Rc;
use tokio::sync::{mpsc, watch};

/// A minimal configuration with an unreachable replica and discovery service.
pub fn config() -> NodeConfig {
    let text = include_str!("../exchanges/config.json").replace("REPLICA", "127.0.0.1:1");
    NodeConfig::read(
        &text.replace("DISCOVERY", "127.0.0.1:2"),
        Overrides::default(),
    )
    .unwrap()
}

/// Creates a registry of client connections. Also returns the receiving end of the dispatcher's queue, which has a capacity of
/// one message.
pub fn registry(
    phases: watch::Receiver<NodePhase>,
) -> (Rc<ConnectionRegistry>, mpsc::Receiver<DispatcherMessage>) {
    let config = config();
    let (dispatcher, messages) = mpsc::channel(1);
    let settings = StreamSettings::default();
    let stream_monitor = Rc::new(StreamMonitor::new(Clock::start(), settings));
    let registry = ConnectionRegistry::new(
        Rc::new(config.settings),
        Rc::new(config.transport_limits),
        dispatcher,
        phases,
        stream_monitor,
    );
    (Rc::new(registry), messages)
}
