//! Puts a node together, and ends it in order.

#![expect(
    clippy::cognitive_complexity,
    clippy::min_ident_chars,
    clippy::missing_errors_doc,
    clippy::redundant_closure_for_method_calls,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

use super::config::operator::Operator;
use super::config::Config;
use crate::routing::directory::EndpointDirectory;
use crate::routing::RequestRouter;
use crate::transport::admin::Admin;
use crate::transport::client::listener::accept_connections;
use crate::transport::client::registry::ConnectionRegistry;
use crate::transport::client::shutdown::FINAL_RESPONSE_TIMEOUT;
use crate::transport::clock::Clock;
use crate::transport::coordination::CoordinationDriver;
use crate::transport::dispatcher::Dispatcher;
use crate::transport::endpoints::discovery::EndpointWatcher;
use crate::transport::endpoints::srv::SrvWatcher;
use crate::transport::handover::LearnedStateHandover;
use crate::transport::messages::DispatcherMessage;
use crate::transport::node_phase::NodePhase;
use crate::transport::replica::attempts::ReplicaClient;
use crate::transport::replica::pool::ConnectionPool;
use crate::transport::replica::stream_monitor::StreamMonitor;
use poppykeel_scheduler::Scheduler;
use poppykeel_site_settings::SiteSettings;
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{spawn_local, LocalSet};

/// Messages that wait for the core; drivers that tell more wait themselves.
const MESSAGES: usize = 1024;
/// Connections that the kernel holds until they are accepted.
const BACKLOG: u32 = 1024;
/// How often idle connections are looked over.
const SWEEP: Duration = Duration::from_millis(500);
/// How often it is looked whether the last client has left.
const LOOK: Duration = Duration::from_millis(20);

/// For tests alone: this process ends with the one that started it, however that ends.
const WITH_PARENT: &str = "POPPYKEEL_TEST_WITH_PARENT";

/// Serves until told to stop and until what runs has ended; `reread` gives the configuration as it is by then.
pub fn serve(
    config: Config,
    operator: Operator,
    reread: impl Fn() -> Result<(Config, Operator), String>,
) -> Result<(), String> {
    if std::env::var_os(WITH_PARENT).is_some() {
        let kill = Some(rustix::process::Signal::KILL);
        rustix::process::set_parent_process_death_signal(kill)
            .map_err(|e| format!("{WITH_PARENT}: {e}"))?;
    }
    // The runtime would keep a panic inside its task, and the node would go on without that part.
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        report(panic);
        std::process::exit(101);
    }));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, run(config, operator, reread))
}

/// Listens beside another process of this node, too: a new version starts while the old one still serves.
fn listen(key: &str, addr: SocketAddr) -> Result<TcpListener, String> {
    let socket = if addr.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    };
    let listener = socket.and_then(|socket| {
        socket.set_reuseaddr(true)?;
        socket.set_reuseport(true)?;
        socket.bind(addr)?;
        socket.listen(BACKLOG)
    });
    listener.map_err(|e| format!("config: {key}: {addr}: {e}"))
}

/// What has been read again, if it may follow what is in force.
#[allow(clippy::type_complexity)]
fn follow(
    current: &Config,
    boot: &SiteSettings,
    (config, operator): (Config, Operator),
) -> Result<(Config, Operator, Rc<SiteSettings>), String> {
    config.replaces(current)?;
    let next = boot
        .updated_to(config.boot.clone())
        .map_err(|e| e.to_string())?;
    Ok((config, operator, Rc::new(next)))
}

/// Says that the node drains, before all else: what is answered from here on is the last on its connection. Then hands
/// over, for at most the time in which clients still come, and closes.
async fn drain(
    phase: &watch::Sender<NodePhase>,
    hand_over: impl Future<Output = ()>,
    linger: Duration,
) {
    let _ = phase.send(NodePhase::Draining);
    let _ = tokio::join!(
        tokio::time::timeout(linger, hand_over),
        tokio::time::sleep(linger)
    );
    let _ = phase.send(NodePhase::Closing);
}

async fn run(
    mut config: Config,
    operator: Operator,
    reread: impl Fn() -> Result<(Config, Operator), String>,
) -> Result<(), String> {
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("signals: {e}"))?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|e| format!("signals: {e}"))?;
    // Not caught, it would end the process. Caught it stays until the end, also while the node drains.
    let mut hangup = signal(SignalKind::hangup()).map_err(|e| format!("signals: {e}"))?;
    let listener = listen("listen", config.listen)?;
    let admins = config.admin.map(|addr| listen("admin", addr)).transpose()?;
    let bound = listener
        .local_addr()
        .map_err(|e| format!("config: listen: {e}"))?;
    let brain =
        Scheduler::new(config.boot.scheduler.clone(), config.seed).map_err(|e| e.to_string())?;
    let mut boot = Rc::new(config.boot.clone());
    let bounds = Rc::new(config.bounds.clone());
    let (tell, told) = mpsc::channel(MESSAGES);
    let (phase, phases) = watch::channel(NodePhase::Serving);
    let phase = Rc::new(phase);
    let pool = ConnectionPool::new(
        bounds.max_replica_connections,
        bounds.connect_timeout,
        bounds.replica_idle_timeout,
    );
    let clock = Clock::start();
    let streams = Rc::new(StreamMonitor::new(clock, operator.streams()));
    let replica_client = ReplicaClient::new(
        pool.clone(),
        tell.clone(),
        boot.clone(),
        bounds.clone(),
        streams.clone(),
        clock,
    );
    let discovery = EndpointWatcher::new(config.discovery, bounds.clone(), tell.clone(), clock);
    discovery.set_enabled(operator.lists());
    if let Some(known) = &config.known {
        discovery.set_known_version(known.version());
    }
    // Where lists are pushed the module never asks: the agent's list is watched from the start.
    let pushed = boot.scheduler.endpoint_list_mode == poppykeel_scheduler::EndpointListMode::Pushed;
    let discovery = if pushed {
        discovery.into_pushed()
    } else {
        discovery
    };
    let known = config
        .known
        .clone()
        .filter(|_| operator.lists())
        .map(|k| k.into_source_update());
    let directory = EndpointDirectory::new(boot.clone(), operator.members());
    let dispatcher = Dispatcher::new(
        clock,
        RequestRouter::new(brain),
        directory,
        replica_client,
        discovery.clone(),
        known,
    );
    let mut lookups = SrvWatcher::new(clock, tell.clone());
    lookups.watch(operator.service());
    spawn_local(dispatcher.run(told));
    spawn_local(async move {
        loop {
            tokio::time::sleep(SWEEP).await;
            pool.close_expired();
        }
    });
    // Before clients are told to come: a node that can't take its place must not serve as if it had.
    let place = operator
        .fleet
        .as_ref()
        .map(|fleet| fleet.place(&config.name, &boot.names.tenants))
        .transpose()?;
    let fleet = match place {
        Some(place) => Some(
            CoordinationDriver::start(place, tell.clone(), phase.clone(), clock)
                .await
                .map_err(|e| e.to_string())?,
        ),
        None => None,
    };
    let handover = operator.handover.folder().map(|folder| {
        let handover =
            LearnedStateHandover::new(&folder, &config.name, boot.clone(), tell.clone(), clock);
        Rc::new(handover)
    });
    if let Some(handover) = &handover {
        spawn_local(handover.clone().run());
    }
    let shared = Rc::new(ConnectionRegistry::new(
        boot.clone(),
        bounds.clone(),
        tell.clone(),
        phases.clone(),
        streams.clone(),
    ));
    spawn_local(accept_connections(listener, shared.clone(), phases));
    tracing::info!(node = %config.name, listen = %bound, zone = boot.scheduler.zone, "serving on {bound}");
    let admin = Rc::new(Admin {
        tell: tell.clone(),
        phase: phase.clone(),
        reloads: Cell::default(),
        fleet: fleet.clone(),
        clients: shared.clone(),
    });
    let (mut taken, mut turned_down) = (0, 0);
    if let Some(listener) = admins {
        let at = listener
            .local_addr()
            .map_err(|e| format!("config: admin: {e}"))?;
        tracing::info!(node = %config.name, admin = %at, "operators call at {at}");
        spawn_local(admin.clone().serve(listener));
    }

    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => match reread().and_then(|read| follow(&config, &boot, read)).and_then(|read| {
                match (&fleet, &read.1.fleet) {
                    (Some(fleet), Some(settings)) => fleet.update(&settings.place(&read.0.name, &read.2.names.tenants)?).map_err(|e| e.to_string())?,
                    (None, None) => {}
                    _ => return Err("operator: fleet: expected to come or go with a restart alone".into()),
                }
                Ok(read)
            }) {
                Ok((read, operator, next)) => {
                    // The core first: a request of a new class must find it known there.
                    let (done, settled) = oneshot::channel();
                    if tell.send(DispatcherMessage::UpdateSettings { settings: next.clone(), applied: done }).await.is_ok() {
                        let _ = settled.await;
                    }
                    shared.set_site(next.clone());
                    boot = next;
                    tracing::info!(node = %read.name, discovery = %read.discovery, "read again");
                    // First the settings: what a new source tells must find its place.
                    let _ = tell.send(DispatcherMessage::SetEndpointSources(operator.members())).await;
                    discovery.set_enabled(operator.lists());
                    discovery.set_service_addr(read.discovery);
                    config = read;
                    lookups.watch(operator.service());
                    streams.set_settings(operator.streams());
                    taken += 1;
                }
                // A bad file must not take down what serves by the good one before it.
                Err(e) => {
                    tracing::error!(why = %e, "kept as it was");
                    turned_down += 1;
                }
            },
        }
        admin.reloads.set((taken, turned_down));
    }
    shared.shutdown().order();
    tracing::info!(node = %config.name, connections = shared.open_count(), "draining");
    if let Some(fleet) = &fleet {
        fleet.leave();
    }
    let leave = async {
        let _ = tell
            .send(DispatcherMessage::SetAnswerDeadline(FINAL_RESPONSE_TIMEOUT))
            .await;
        if let Some(handover) = &handover {
            handover.leave().await;
        }
    };
    drain(&phase, leave, bounds.drain_duration).await;
    let since_stop_ms = shared.shutdown().elapsed_ms();
    tracing::info!(node = %config.name, connections = shared.open_count(), since_stop_ms, "closing");
    tokio::time::sleep(LOOK).await;
    while shared.open_count() > 0 {
        tokio::time::sleep(LOOK).await;
    }
    let (done, summed) = oneshot::channel();
    if tell.send(DispatcherMessage::LogSummary(done)).await.is_ok() {
        let _ = summed.await;
    }
    tracing::info!(node = %config.name, since_stop_ms = shared.shutdown().elapsed_ms(), "done");
    Ok(())
}

#[cfg(test)]
mod tests;
