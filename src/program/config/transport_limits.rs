//! The bounds of the transport, which follow from the limits of the machine and the site's settings.

use super::error::NodeConfigError;
use crate::transport::admin::MAX_ADMIN_CONNECTIONS;
use crate::transport::client::listener::MAX_PENDING_REFUSALS;
use crate::transport::client::registry::MAX_PENDING_EVICTIONS;
use crate::transport::client::shutdown;
use crate::transport::TransportLimits;
use poppykeel_scheduler::EndpointListMode;
use poppykeel_site_settings::SiteSettings;
use std::time::Duration;

/// The memory in MiB where the configuration has no limit: that of the smallest machine that a node runs on.
pub(super) const DEFAULT_MEMORY_MB: u64 = 192;
/// Less memory than this has no room for connections to both clients and replicas, in MiB.
pub(super) const MIN_MEMORY_MB: u64 = 32;
/// The file descriptors where the configuration has no limit: those of the smallest machine that a node runs on.
pub(super) const DEFAULT_SOCKETS: u64 = 1024;
/// Fewer file descriptors than this leave no room for connections to both clients and replicas.
pub(super) const MIN_SOCKETS: u64 = 128;

/// File descriptors of the process itself: standard streams, runtime, signals, listeners, the file of the learned state,
/// and calls to discovery at an old and a new address.
const OWN_SOCKETS: usize = 16;
/// File descriptors that connections to clients and replicas leave free, so that whoever fills those can take none of
/// these: the process's own, and clients that are leaving, are turned away or call as operators.
const RESERVED_SOCKETS: u64 =
    (OWN_SOCKETS + MAX_PENDING_EVICTIONS + MAX_PENDING_REFUSALS + MAX_ADMIN_CONNECTIONS) as u64;
/// One part in this many of the memory is for bodies of requests; the others are for connections and the program.
const BODY_MEMORY_DIVISOR: u64 = 4;
/// The buffers and tasks of one connection, estimated generously.
const CONNECTION_BYTES: u64 = 64 * 1024;
/// The longest time to connect or to keep a connection, in seconds: a day.
const MAX_CONNECTION_SECONDS: f64 = 86_400.0;

/// An idle connection is closed this many seconds before the replica closes it, or half-way where that is earlier.
const IDLE_MARGIN: f64 = 1.0;
/// What a replica sends twice comes some milliseconds later, and must not meet the next request on its connection.
const REST_AFTER_STREAM: Duration = Duration::from_millis(20);
const STALL_TIMEOUT: Duration = Duration::from_secs(10);
const CLIENT_IDLE_TIMEOUT: Duration = Duration::from_secs(75);
/// A client that never finishes its request must get an error or a close within 3 s of its connecting.
const READ_TIMEOUT: Duration = Duration::from_millis(2500);
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Discovery is one slow service for all nodes: one long wait costs it less than many short ones.
const SERVICE_WATCH: Duration = Duration::from_secs(20);
/// A watch without an answer is given up 2 s after its wait, and by then a server may have been left out. The new call
/// must be answered within the rest of that, and a service that works through calls in turn may take a second for either.
const SERVICE_WATCH_SLACK: Duration = Duration::from_millis(1000);
/// After a refused call the next one waits this long at the service. If it becomes unresponsive then, its wait, the time
/// for its answer and a new call are over before the missed update counts as delivered, 6 s after the last answer.
const SERVICE_RETRY_WATCH: Duration = Duration::from_millis(2000);
/// A crowded service keeps a call for up to 2 s before it answers or refuses it. Given up earlier, its work is wasted.
const SERVICE_RETRY_SLACK: Duration = Duration::from_millis(2200);

/// An agent on this machine answers at once and at no cost: a short wait finds an unresponsive one early. What it has
/// counts as delivered the moment it answers again, so that a call that it leaves unanswered must be over within a part of
/// the grace for draining.
const AGENT_WATCH: Duration = Duration::from_millis(1000);
const AGENT_WATCH_SLACK: Duration = Duration::from_millis(500);
/// Where the grace for draining is short, the wait at the agent is this part of it, and the slack half as long.
const AGENT_WATCH_FRACTION: f64 = 0.5;
/// No agent is called more often than this grace for draining asks for, in seconds.
const MIN_DRAIN_GRACE: f64 = 0.2;
/// The grace for draining counts for at most this, in seconds: a day.
const MAX_DRAIN_GRACE: f64 = 86_400.0;

/// What the machine gives the node.
#[derive(Clone, Copy, Debug)]
pub(super) struct MachineLimits {
    /// The memory in bytes.
    pub memory_bytes: u64,
    /// The file descriptors, at least [`MIN_SOCKETS`].
    pub sockets: u64,
}

/// How long watches at discovery wait, and how much longer their answers may take.
struct WatchTimes {
    watch: Duration,
    watch_slack: Duration,
    retry_watch: Duration,
    retry_slack: Duration,
}

impl WatchTimes {
    fn new(settings: &SiteSettings) -> WatchTimes {
        match settings.scheduler.endpoint_list_mode {
            EndpointListMode::Pushed => {
                WatchTimes::at_agent(settings.scheduler.lifecycle.drain_grace)
            }
            EndpointListMode::Polled => WatchTimes::at_service(),
        }
    }

    /// The times at the discovery service.
    fn at_service() -> WatchTimes {
        WatchTimes {
            watch: SERVICE_WATCH,
            watch_slack: SERVICE_WATCH_SLACK,
            retry_watch: SERVICE_RETRY_WATCH,
            retry_slack: SERVICE_RETRY_SLACK,
        }
    }

    /// The times at an agent on this machine, for a grace for draining in seconds.
    fn at_agent(drain_grace: f64) -> WatchTimes {
        let grace = drain_grace.clamp(MIN_DRAIN_GRACE, MAX_DRAIN_GRACE);
        let max_watch = Duration::from_secs_f64(grace * AGENT_WATCH_FRACTION);
        let slack = AGENT_WATCH_SLACK.min(max_watch / 2);
        WatchTimes {
            watch: AGENT_WATCH.min(max_watch),
            watch_slack: slack,
            retry_watch: Duration::ZERO,
            retry_slack: slack,
        }
    }
}

/// The bounds of the transport on a machine, by the site's settings.
///
/// # Errors
/// Where a time of the site's settings is out of its range.
pub(super) fn derive_transport_limits(
    machine: MachineLimits,
    settings: &SiteSettings,
) -> Result<TransportLimits, NodeConfigError> {
    let connect_timeout = connection_seconds("dialTimeout", settings.names.connect_timeout)?;
    let keep_alive = connection_seconds("keepalive", settings.names.keep_alive)?;
    let watch_times = WatchTimes::new(settings);
    let connections = connections_per_side(machine);
    Ok(TransportLimits {
        max_client_connections: connections,
        max_replica_connections: connections,
        max_body_memory_bytes: (machine.memory_bytes / BODY_MEMORY_DIVISOR) as usize,
        connect_timeout: Duration::from_secs_f64(connect_timeout),
        replica_idle_timeout: Duration::from_secs_f64(
            (keep_alive - IDLE_MARGIN).max(keep_alive / 2.0),
        ),
        reuse_delay: REST_AFTER_STREAM,
        client_write_timeout: STALL_TIMEOUT,
        client_idle_timeout: CLIENT_IDLE_TIMEOUT,
        request_read_timeout: READ_TIMEOUT,
        probe_timeout: PROBE_TIMEOUT,
        long_poll_wait: watch_times.watch,
        long_poll_slack: watch_times.watch_slack,
        short_poll_wait: watch_times.retry_watch,
        short_poll_slack: watch_times.retry_slack,
        drain_duration: shutdown::ADMISSION_DURATION,
    })
}

/// How many connections there may be to clients, and as many to replicas. The node is sized for the smallest machines:
/// half of the memory at most is for connections, also where there is more.
fn connections_per_side(machine: MachineLimits) -> usize {
    let sockets = machine.sockets - RESERVED_SOCKETS;
    let connections = sockets.min(machine.memory_bytes / 2 / CONNECTION_BYTES);
    (connections / 2) as usize
}

/// A time of the site's settings in seconds, if it is in its range.
fn connection_seconds(key: &'static str, seconds: f64) -> Result<f64, NodeConfigError> {
    if (0.0..=MAX_CONNECTION_SECONDS).contains(&seconds) {
        Ok(seconds)
    } else {
        Err(NodeConfigError::InvalidTime { key })
    }
}
