//! What the drivers of single connections share in a node, for tests that run a driver without the node round it.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use poppykeel::program::config::Config;
use poppykeel::transport::client::registry::ConnectionRegistry;
use poppykeel::transport::clock::Clock;
use poppykeel::transport::messages::DispatcherMessage;
use poppykeel::transport::node_phase::NodePhase;
use poppykeel::transport::replica::stream_monitor::StreamMonitor;
use std::rc::Rc;
use tokio::sync::{mpsc, watch};

/// A small configuration whose replica and discovery are never there.
pub fn config() -> Config {
    let text = include_str!("../exchanges/config.json").replace("REPLICA", "127.0.0.1:1");
    Config::read(&text.replace("DISCOVERY", "127.0.0.1:2"), &[]).unwrap()
}

/// What a client connection shares with the others, and where the core would take what it tells: one message at a time.
pub fn shared(
    phases: watch::Receiver<NodePhase>,
) -> (Rc<ConnectionRegistry>, mpsc::Receiver<DispatcherMessage>) {
    let config = config();
    let (tell, told) = mpsc::channel(1);
    let streams = Rc::new(StreamMonitor::new(Clock::start(), Default::default()));
    let shared = ConnectionRegistry::new(
        Rc::new(config.boot),
        Rc::new(config.bounds),
        tell,
        phases,
        streams,
    );
    (Rc::new(shared), told)
}
