//! What the drivers of single connections share in a node, for tests that run a driver without the node round it.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use poppykeel::program::config::{NodeConfig, Overrides};
use poppykeel::transport::clients::Shared;
use poppykeel::transport::clock::Clock;
use poppykeel::transport::messages::DispatcherMessage;
use poppykeel::transport::node_phase::NodePhase;
use poppykeel::transport::streams::Streams;
use std::rc::Rc;
use tokio::sync::{mpsc, watch};

/// A small configuration whose replica and discovery are never there.
pub fn config() -> NodeConfig {
    let text = include_str!("../exchanges/config.json").replace("REPLICA", "127.0.0.1:1");
    NodeConfig::read(
        &text.replace("DISCOVERY", "127.0.0.1:2"),
        Overrides::default(),
    )
    .unwrap()
}

/// What a client connection shares with the others, and where the core would take what it tells: one message at a time.
pub fn shared(
    phases: watch::Receiver<NodePhase>,
) -> (Rc<Shared>, mpsc::Receiver<DispatcherMessage>) {
    let config = config();
    let (tell, told) = mpsc::channel(1);
    let streams = Rc::new(Streams::new(Clock::start(), Default::default()));
    let shared = Shared::new(
        Rc::new(config.settings),
        Rc::new(config.bounds),
        tell,
        phases,
        streams,
    );
    (Rc::new(shared), told)
}
