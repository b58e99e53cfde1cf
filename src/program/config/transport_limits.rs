//! Derives the limits of the transport from the machine limits and the site settings.

use super::error::NodeConfigError;
use crate::transport::admin::MAX_ADMIN_CONNECTIONS;
use crate::transport::client::listener::MAX_PENDING_REFUSALS;
use crate::transport::client::registry::MAX_PENDING_EVICTIONS;
use crate::transport::client::shutdown;
use crate::transport::TransportLimits;
use poppykeel_scheduler::EndpointListMode;
use poppykeel_site_settings::SiteSettings;
use std::time::Duration;

/// The default memory limit in MiB: the memory of the smallest machine that a node runs on.
pub(super) const DEFAULT_MEMORY_MB: u64 = 192;
/// The smallest accepted memory limit, in MiB; with less, there is no memory for connections to both clients and replicas.
pub(super) const MIN_MEMORY_MB: u64 = 32;
/// The default limit on file descriptors: that of the smallest machine that a node runs on.
pub(super) const DEFAULT_FILE_DESCRIPTORS: u64 = 1024;
/// The smallest accepted limit on file descriptors; with fewer, none are left for connections to both clients and replicas.
pub(super) const MIN_FILE_DESCRIPTORS: u64 = 128;

/// File descriptors of the process itself: standard streams, runtime, signals, listeners, the file of the learned state,
/// and polls of discovery at an old and a new address.
const PROCESS_FILE_DESCRIPTORS: usize = 16;
/// File descriptors that connections to clients and replicas can't exhaust. They are reserved for the process itself, for
/// clients that are being evicted or refused, and for admin requests.
const RESERVED_FILE_DESCRIPTORS: u64 = (PROCESS_FILE_DESCRIPTORS
    + MAX_PENDING_EVICTIONS
    + MAX_PENDING_REFUSALS
    + MAX_ADMIN_CONNECTIONS) as u64;
/// Request bodies may use the memory limit divided by this. The remaining memory is for connections and the program.
const BODY_MEMORY_DIVISOR: u64 = 4;
/// A generous estimate of the memory for the buffers and tasks of one connection.
const CONNECTION_BYTES: u64 = 64 * 1024;
/// The longest connect timeout or keep-alive time, in seconds: a day.
const MAX_CONNECTION_SECONDS: f64 = 86_400.0;

/// An idle connection is closed this many seconds before the replica's keep-alive time ends, but not before half of that
/// time.
const IDLE_MARGIN: f64 = 1.0;
/// The delay before a connection to a replica is reused. A duplicate response follows some milliseconds after the first
/// one and must not be taken for the response to the next request.
const REUSE_DELAY: Duration = Duration::from_millis(20);
const CLIENT_WRITE_TIMEOUT: Duration = Duration::from_secs(10);
const CLIENT_IDLE_TIMEOUT: Duration = Duration::from_secs(75);
/// A client that never finishes its request must get an error, or its connection must be closed, within 3 s of
/// connecting.
const REQUEST_READ_TIMEOUT: Duration = Duration::from_millis(2500);
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// How long a poll waits at the discovery service. All nodes share this one slow service, and a long poll costs it less
/// than many short ones.
const SERVICE_POLL_WAIT: Duration = Duration::from_secs(20);
/// How much longer than its wait a poll of the service may take. If a poll is not answered, a replica may have been removed
/// from the list meanwhile, so the next poll must be answered within 2 s of the end of the wait. A service that handles
/// polls sequentially may take a second for each of the two.
const SERVICE_POLL_SLACK: Duration = Duration::from_millis(1000);
/// How long the first poll after a refusal waits at the service. A node is expected to know each update at most
/// 6 s after the service's last answer. If the service becomes unresponsive during this poll, the wait, the slack and one
/// more poll end within that time.
const SERVICE_RETRY_WAIT: Duration = Duration::from_millis(2000);
/// How much longer than its wait a poll may take if the previous poll failed. An overloaded service takes up to 2 s to
/// answer or refuse a poll, and a shorter timeout would waste its work.
const SERVICE_RETRY_SLACK: Duration = Duration::from_millis(2200);

/// How long a poll waits at an agent on this machine. The agent answers at once and at no cost, and a short poll detects an
/// unresponsive agent early. The drain grace of an update starts as soon as the agent responds again, so an unanswered poll
/// must end within a fraction of the drain grace.
const AGENT_POLL_WAIT: Duration = Duration::from_millis(1000);
/// How much longer than its wait a poll of the agent may take.
const AGENT_POLL_SLACK: Duration = Duration::from_millis(500);
/// The longest wait at the agent as a fraction of the drain grace. The slack is at most half of the longest wait.
const AGENT_POLL_GRACE_FRACTION: f64 = 0.5;
/// The shortest drain grace that is taken into account, in seconds; a shorter one shortens polls no further.
const MIN_DRAIN_GRACE: f64 = 0.2;
/// The longest drain grace that is taken into account, in seconds: a day.
const MAX_DRAIN_GRACE: f64 = 86_400.0;

/// The resources of the machine that the node may use.
#[derive(Clone, Copy, Debug)]
pub(super) struct MachineLimits {
    pub memory_bytes: u64,
    /// At least [`MIN_FILE_DESCRIPTORS`].
    pub file_descriptors: u64,
}

/// How long polls wait at discovery, and how much longer their answers may take.
struct PollTimes {
    wait: Duration,
    slack: Duration,
    /// The wait of the first poll after a refusal.
    retry_wait: Duration,
    /// The slack of a poll if the previous poll failed in any way.
    retry_slack: Duration,
}

impl PollTimes {
    fn new(settings: &SiteSettings) -> PollTimes {
        match settings.scheduler.endpoint_list_mode {
            EndpointListMode::Pushed => {
                PollTimes::for_agent(settings.scheduler.lifecycle.drain_grace)
            }
            EndpointListMode::Polled => PollTimes::for_service(),
        }
    }

    /// The times for polls of the discovery service.
    fn for_service() -> PollTimes {
        PollTimes {
            wait: SERVICE_POLL_WAIT,
            slack: SERVICE_POLL_SLACK,
            retry_wait: SERVICE_RETRY_WAIT,
            retry_slack: SERVICE_RETRY_SLACK,
        }
    }

    /// The times for polls of an agent on this machine, with a drain grace in seconds.
    fn for_agent(drain_grace: f64) -> PollTimes {
        let grace = drain_grace.clamp(MIN_DRAIN_GRACE, MAX_DRAIN_GRACE);
        let max_wait = Duration::from_secs_f64(grace * AGENT_POLL_GRACE_FRACTION);
        let slack = AGENT_POLL_SLACK.min(max_wait / 2);
        PollTimes {
            wait: AGENT_POLL_WAIT.min(max_wait),
            slack,
            retry_wait: Duration::ZERO,
            retry_slack: slack,
        }
    }
}

/// Derives the limits of the transport.
///
/// # Errors
/// If a duration in the site settings is out of range.
pub(super) fn derive_transport_limits(
    machine: MachineLimits,
    settings: &SiteSettings,
) -> Result<TransportLimits, NodeConfigError> {
    let connect_timeout = connection_seconds("dialTimeout", settings.names.connect_timeout)?;
    let keep_alive = connection_seconds("keepalive", settings.names.keep_alive)?;
    let poll_times = PollTimes::new(settings);
    let connections = connections_per_side(machine);
    Ok(TransportLimits {
        max_client_connections: connections,
        max_replica_connections: connections,
        max_body_memory_bytes: (machine.memory_bytes / BODY_MEMORY_DIVISOR) as usize,
        connect_timeout: Duration::from_secs_f64(connect_timeout),
        replica_idle_timeout: Duration::from_secs_f64(
            (keep_alive - IDLE_MARGIN).max(keep_alive / 2.0),
        ),
        reuse_delay: REUSE_DELAY,
        client_write_timeout: CLIENT_WRITE_TIMEOUT,
        client_idle_timeout: CLIENT_IDLE_TIMEOUT,
        request_read_timeout: REQUEST_READ_TIMEOUT,
        probe_timeout: PROBE_TIMEOUT,
        long_poll_wait: poll_times.wait,
        long_poll_slack: poll_times.slack,
        short_poll_wait: poll_times.retry_wait,
        short_poll_slack: poll_times.retry_slack,
        drain_duration: shutdown::ADMISSION_DURATION,
    })
}

/// The largest number of connections to clients; the same number applies to replicas. Connections use at most half of the
/// memory, because the smallest machines need the other half for request bodies and the program.
fn connections_per_side(machine: MachineLimits) -> usize {
    let file_descriptors = machine.file_descriptors - RESERVED_FILE_DESCRIPTORS;
    let connections = file_descriptors.min(machine.memory_bytes / 2 / CONNECTION_BYTES);
    (connections / 2) as usize
}

/// Checks the range of a duration in the site settings, in seconds.
fn connection_seconds(key: &'static str, seconds: f64) -> Result<f64, NodeConfigError> {
    if (0.0..=MAX_CONNECTION_SECONDS).contains(&seconds) {
        Ok(seconds)
    } else {
        Err(NodeConfigError::InvalidTime { key })
    }
}
