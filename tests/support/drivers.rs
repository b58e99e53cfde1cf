//! What the connections of clients share in a node, for tests that drive a connection without the node round it.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use poppykeel::program::config::{NodeConfig, Overrides};
use poppykeel::transport::client::registry::ConnectionRegistry;
use poppykeel::transport::clock::Clock;
use poppykeel::transport::messages::DispatcherMessage;
use poppykeel::transport::node_phase::NodePhase;
use poppykeel::transport::replica::stream_monitor::{StreamMonitor, StreamSettings};
use std::rc::Rc;
use tokio::sync::{mpsc, watch};

/// A small configuration whose replica and discovery can't be reached.
pub fn config() -> NodeConfig {
    let text = include_str!("../exchanges/config.json").replace("REPLICA", "127.0.0.1:1");
    NodeConfig::read(
        &text.replace("DISCOVERY", "127.0.0.1:2"),
        Overrides::default(),
    )
    .unwrap()
}

/// What a connection of a client shares with the others, and the dispatcher's end of the channel, which holds one message.
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
