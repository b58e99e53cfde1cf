//! Starts the tasks of a node: listeners, dispatcher, watchers of endpoint sources, coordination with the fleet, handover
//! of the learned state and connections.
//!
//! Each task owns its sockets. The tasks end with the runtime.

use super::error::ServeError;
use super::listeners::{admin_with_address, Listeners};
use super::ServeSettings;
use crate::program::config::operator::OperatorConfig;
use crate::program::config::NodeConfig;
use crate::routing::directory::EndpointDirectory;
use crate::routing::RequestRouter;
use crate::transport::admin::AdminServer;
use crate::transport::client::listener::accept_connections;
use crate::transport::client::registry::ConnectionRegistry;
use crate::transport::clock::Clock;
use crate::transport::coordination::CoordinationDriver;
use crate::transport::dispatcher::Dispatcher;
use crate::transport::endpoints::discovery::EndpointWatcher;
use crate::transport::endpoints::srv::SrvWatcher;
use crate::transport::handover::LearnedStateHandover;
use crate::transport::messages::{DispatcherMessage, ENDPOINT_LIST_SOURCE};
use crate::transport::node_phase::NodePhase;
use crate::transport::replica::attempts::ReplicaClient;
use crate::transport::replica::pool::ConnectionPool;
use crate::transport::replica::stream_monitor::StreamMonitor;
use crate::transport::TransportLimits;
use poppykeel_endpoints::SourceUpdate;
use poppykeel_scheduler::{EndpointListMode, Scheduler};
use poppykeel_site_settings::SiteSettings;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;

/// The number of messages that can be queued for the dispatcher. Senders wait while the channel is full.
const DISPATCHER_CHANNEL_CAPACITY: usize = 1024;
/// How often connections to replicas that have been idle for too long are closed.
const IDLE_CONNECTION_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The state that the tasks of a node share.
struct NodeContext {
    config: NodeConfig,
    operator: OperatorConfig,
    site: Rc<SiteSettings>,
    limits: Rc<TransportLimits>,
    dispatcher: mpsc::Sender<DispatcherMessage>,
    phase: Rc<watch::Sender<NodePhase>>,
    clock: Clock,
    stream_monitor: Rc<StreamMonitor>,
    pool: ConnectionPool,
}

/// Handles to the tasks of a running node, for reloads of the settings and the shutdown.
pub(super) struct Node {
    /// The current node configuration.
    pub(super) config: NodeConfig,
    /// The current site settings.
    pub(super) site: Rc<SiteSettings>,
    pub(super) limits: Rc<TransportLimits>,
    pub(super) dispatcher: mpsc::Sender<DispatcherMessage>,
    pub(super) phase: Rc<watch::Sender<NodePhase>>,
    pub(super) stream_monitor: Rc<StreamMonitor>,
    pub(super) list_watcher: EndpointWatcher,
    /// Owns the look-ups, which end when it is dropped.
    pub(super) srv_watcher: SrvWatcher,
    /// `None` if the node belongs to no fleet.
    pub(super) coordination: Option<Rc<CoordinationDriver>>,
    /// `None` if the handover of the learned state is disabled.
    pub(super) handover: Option<Rc<LearnedStateHandover>>,
    /// The state that client connections share.
    pub(super) clients: Rc<ConnectionRegistry>,
    pub(super) admin: Rc<AdminServer>,
}

impl Node {
    /// Starts the tasks of a node. The node joins its fleet before it accepts clients, because a node that can't join must
    /// not serve.
    ///
    /// # Errors
    /// If the node can't listen at a configured address, the settings conflict, or the coordination with the fleet can't
    /// start.
    pub(super) async fn start(settings: ServeSettings) -> Result<Node, ServeError> {
        let listeners = Listeners::bind(&settings.node)?;
        let scheduler =
            Scheduler::new(settings.node.settings.scheduler.clone(), settings.node.seed)?;
        let (dispatcher, messages) = mpsc::channel(DISPATCHER_CHANNEL_CAPACITY);
        let (phase_sender, phase) = watch::channel(NodePhase::Serving);
        let context = NodeContext::new(settings, dispatcher, phase_sender);
        let list_watcher = context.create_list_watcher();
        let dispatcher_task = context.create_dispatcher(scheduler, list_watcher.clone());
        let mut srv_watcher = SrvWatcher::new(context.clock, context.dispatcher.clone());
        srv_watcher.watch(context.operator.srv_lookup_settings());
        spawn_local(dispatcher_task.run(messages));
        spawn_local(close_idle_connections(context.pool.clone()));
        let coordination = context.join_fleet().await?;
        let handover = context.start_handover();
        let clients = context.create_client_registry(phase.clone());
        let client = listeners.client;
        spawn_local(accept_connections(client.listener, clients.clone(), phase));
        let bound = client.address;
        tracing::info!(node = %context.config.name, listen = %bound, zone = context.site.scheduler.zone, "serving on {bound}");
        let admin = Rc::new(AdminServer {
            dispatcher: context.dispatcher.clone(),
            phase: context.phase.clone(),
            reloads: Cell::default(),
            coordination: coordination.clone(),
            clients: clients.clone(),
        });
        if let Some(listener) = listeners.admin {
            serve_admin(&admin, listener, &context.config.name)?;
        }
        Ok(Node {
            config: context.config,
            site: context.site,
            limits: context.limits,
            dispatcher: context.dispatcher,
            phase: context.phase,
            stream_monitor: context.stream_monitor,
            list_watcher,
            srv_watcher,
            coordination,
            handover,
            clients,
            admin,
        })
    }
}

impl NodeContext {
    fn new(
        settings: ServeSettings,
        dispatcher: mpsc::Sender<DispatcherMessage>,
        phase: watch::Sender<NodePhase>,
    ) -> NodeContext {
        let ServeSettings {
            node: config,
            operator,
        } = settings;
        let limits = Rc::new(config.transport_limits.clone());
        let pool = ConnectionPool::new(
            limits.max_replica_connections,
            limits.connect_timeout,
            limits.replica_idle_timeout,
        );
        let clock = Clock::start();
        NodeContext {
            site: Rc::new(config.settings.clone()),
            stream_monitor: Rc::new(StreamMonitor::new(clock, operator.stream_settings())),
            config,
            operator,
            limits,
            dispatcher,
            phase: Rc::new(phase),
            clock,
            pool,
        }
    }

    /// Creates the watcher of the discovery service's list. A pushed list is watched from the start, because the scheduler
    /// never requests it.
    fn create_list_watcher(&self) -> EndpointWatcher {
        let watcher = EndpointWatcher::new(
            self.config.discovery,
            self.limits.clone(),
            self.dispatcher.clone(),
            self.clock,
        );
        watcher.set_enabled(self.operator.uses_endpoint_list());
        if let Some(known) = &self.config.known_endpoints {
            watcher.set_restored_version(known.version());
        }
        match self.site.scheduler.endpoint_list_mode {
            EndpointListMode::Pushed => watcher.into_pushed(),
            EndpointListMode::Polled => watcher,
        }
    }

    /// Returns and logs the endpoint list to start with; `None` if the configuration has none or the list is no endpoint
    /// source.
    fn restore_known_endpoints(&self) -> Option<SourceUpdate> {
        if !self.operator.uses_endpoint_list() {
            return None;
        }
        let known = self.config.known_endpoints.clone()?;
        tracing::info!(
            source = ENDPOINT_LIST_SOURCE,
            version = known.version(),
            "endpoint list restored from the configuration; not yet confirmed by discovery"
        );
        Some(known.into_source_update())
    }

    fn create_dispatcher(&self, scheduler: Scheduler, list_watcher: EndpointWatcher) -> Dispatcher {
        let replica_client = ReplicaClient::new(
            self.pool.clone(),
            self.dispatcher.clone(),
            self.site.clone(),
            self.limits.clone(),
            self.stream_monitor.clone(),
            self.clock,
        );
        let sources = self.operator.endpoint_source_settings();
        Dispatcher::new(
            self.clock,
            RequestRouter::new(scheduler),
            EndpointDirectory::new(self.site.clone(), sources),
            replica_client,
            list_watcher,
            self.restore_known_endpoints(),
        )
    }

    /// Starts the coordination with the fleet; returns `None` if the node belongs to none.
    async fn join_fleet(&self) -> Result<Option<Rc<CoordinationDriver>>, ServeError> {
        let Some(fleet) = &self.operator.fleet else {
            return Ok(None);
        };
        let settings = fleet.coordination_settings(&self.config.name, &self.site.names.tenants)?;
        let dispatcher = self.dispatcher.clone();
        let phase = self.phase.clone();
        let driver = CoordinationDriver::start(settings, dispatcher, phase, self.clock).await?;
        Ok(Some(driver))
    }

    /// Starts the task that writes and reads the learned state; returns `None` if the handover is disabled.
    fn start_handover(&self) -> Option<Rc<LearnedStateHandover>> {
        let folder = self.operator.handover.folder()?;
        let handover = Rc::new(LearnedStateHandover::new(
            &folder,
            &self.config.name,
            self.site.clone(),
            self.dispatcher.clone(),
            self.clock,
        ));
        spawn_local(handover.clone().run());
        Some(handover)
    }

    fn create_client_registry(&self, phase: watch::Receiver<NodePhase>) -> Rc<ConnectionRegistry> {
        Rc::new(ConnectionRegistry::new(
            self.site.clone(),
            self.limits.clone(),
            self.dispatcher.clone(),
            phase,
            self.stream_monitor.clone(),
        ))
    }
}

/// Starts the task that serves admin requests, and logs their address.
fn serve_admin(
    admin: &Rc<AdminServer>,
    listener: TcpListener,
    node_name: &str,
) -> Result<(), ServeError> {
    let bound = admin_with_address(listener)?;
    let address = bound.address;
    tracing::info!(node = %node_name, admin = %address, "operators call at {address}");
    spawn_local(admin.clone().serve(bound.listener));
    Ok(())
}

/// Periodically closes connections to replicas that have been idle for too long.
async fn close_idle_connections(pool: ConnectionPool) {
    loop {
        tokio::time::sleep(IDLE_CONNECTION_CHECK_INTERVAL).await;
        pool.close_expired();
    }
}
