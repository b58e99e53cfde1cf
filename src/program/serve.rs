//! Puts a node together, and ends it in order.

use super::config::Config;
use crate::routing::Router;
use crate::transport::client::Shared;
use crate::transport::clock::Clock;
use crate::transport::discovery::Watch;
use crate::transport::hub::Hub;
use crate::transport::listener::accept;
use crate::transport::messages::Phase;
use crate::transport::pool::Pool;
use crate::transport::upstream::Upstream;
use crate::Brain;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, watch};
use tokio::task::{spawn_local, LocalSet};

/// Messages that wait for the core; drivers that tell more wait themselves.
const MESSAGES: usize = 1024;
/// How often idle connections are looked over.
const SWEEP: Duration = Duration::from_millis(500);
/// How often it is looked whether the last client has left.
const LOOK: Duration = Duration::from_millis(20);

/// Serves until told to stop and until what runs has ended; `reread` gives the configuration as it is by then.
pub fn serve(
    config: Config,
    verbose: bool,
    reread: impl Fn() -> Result<Config, String>,
) -> Result<(), String> {
    let level = if verbose { tracing::Level::DEBUG } else { tracing::Level::INFO };
    tracing_subscriber::fmt().with_max_level(level).with_writer(std::io::stderr).init();
    // The runtime would keep a panic inside its task, and the node would go on without that part.
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        report(panic);
        std::process::exit(101);
    }));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, run(config, reread))
}

async fn run(config: Config, reread: impl Fn() -> Result<Config, String>) -> Result<(), String> {
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("signals: {e}"))?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|e| format!("signals: {e}"))?;
    // Not caught, it would end the process. Caught it stays until the end, also while the node drains.
    let mut hangup = signal(SignalKind::hangup()).map_err(|e| format!("signals: {e}"))?;
    let listener = TcpListener::bind(config.listen)
        .await
        .map_err(|e| format!("config: listen: {}: {e}", config.listen))?;
    let bound = listener.local_addr().map_err(|e| format!("config: listen: {e}"))?;
    let brain = Brain::new(config.boot.settings.clone(), config.seed).map_err(|e| e.to_string())?;
    let (boot, bounds) = (Rc::new(config.boot), Rc::new(config.bounds));
    let (tell, told) = mpsc::channel(MESSAGES);
    let (phase, phases) = watch::channel(Phase::Serving);
    let pool = Pool::new(bounds.upstream, bounds.dial, bounds.idle);
    let upstream =
        Upstream { pool: pool.clone(), tell: tell.clone(), boot: boot.clone(), bounds: bounds.clone() };
    let discovery = Watch::new(config.discovery, boot.clone(), bounds.clone(), tell.clone());
    let hub = Hub::new(Clock::start(), Router::new(brain), upstream, discovery.clone(), config.known);
    spawn_local(hub.run(told));
    spawn_local(async move {
        loop {
            tokio::time::sleep(SWEEP).await;
            pool.sweep();
        }
    });
    let shared = Rc::new(Shared::new(boot, bounds.clone(), tell, phases.clone()));
    spawn_local(accept(listener, shared.clone(), phases));
    tracing::info!("{}: serving on {}", config.name, bound);

    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => match reread() {
                Ok(config) => {
                    tracing::info!("{}: read again, discovery {}", config.name, config.discovery);
                    discovery.move_to(config.discovery);
                }
                // A bad file must not take down what serves by the good one before it.
                Err(e) => tracing::error!("kept as it was: {e}"),
            },
        }
    }
    tracing::info!("{}: draining", config.name);
    let _ = phase.send(Phase::Draining);
    tokio::time::sleep(bounds.linger).await;
    let _ = phase.send(Phase::Closing);
    tokio::time::sleep(LOOK).await;
    while shared.open() > 0 {
        tokio::time::sleep(LOOK).await;
    }
    tracing::info!("{}: done", config.name);
    Ok(())
}
