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
/// With less memory than this, in MiB, there is no room for connections to both clients and replicas.
pub(super) const MIN_MEMORY_MB: u64 = 32;
/// The default limit of file descriptors: that of the smallest machine that a node runs on.
pub(super) const DEFAULT_FILE_DESCRIPTORS: u64 = 1024;
/// With fewer file descriptors than this there is no room for connections to both clients and replicas.
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
/// Request bodies get the memory divided by this; the remaining memory is for connections and the program.
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
/// A client that never finishes its request must get an error or a close within 3 s of connecting.
const REQUEST_READ_TIMEOUT: Duration = Duration::from_millis(2500);
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// All nodes share one slow discovery service: one long poll costs it less than many short ones.
const SERVICE_POLL_WAIT: Duration = Duration::from_secs(20);
/// An unanswered poll must be over within 2 s of its wait, because a replica may have been removed from the list by then.
/// The next poll must be answered within the remaining time, and a service that handles polls sequentially may take a
/// second for each of the two.
const SERVICE_POLL_SLACK: Duration = Duration::from_millis(1000);
/// How long the first poll after a refused one waits at the service. If the service becomes unresponsive at that time, this
/// wait, the slack and a new poll are over before the missed update counts as delivered, 6 s after the last answer.
const SERVICE_RETRY_WAIT: Duration = Duration::from_millis(2000);
/// An overloaded service takes up to 2 s to answer or refuse a poll. A shorter timeout would waste its work.
const SERVICE_RETRY_SLACK: Duration = Duration::from_millis(2200);

/// An agent on this machine answers at once and at no cost, and a short poll detects an unresponsive one early. Its updates
/// count as delivered as soon as it answers again, so an unanswered poll must be over within a fraction of the drain grace.
const AGENT_POLL_WAIT: Duration = Duration::from_millis(1000);
const AGENT_POLL_SLACK: Duration = Duration::from_millis(500);
/// The longest wait at the agent as a fraction of the drain grace. The slack is at most half of that wait.
const AGENT_POLL_GRACE_FRACTION: f64 = 0.5;
/// A shorter drain grace than this, in seconds, does not shorten polls of the agent any further.
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
    retry_wait: Duration,
    retry_slack: Duration,
}

impl PollTimes {
    fn new(settings: &SiteSettings) -> PollTimes {
        match settings.scheduler.endpoint_list_mode {
            EndpointListMode::Pushed => {
                PollTimes::of_agent(settings.scheduler.lifecycle.drain_grace)
            }
            EndpointListMode::Polled => PollTimes::of_service(),
        }
    }

    /// The times for polls of the discovery service.
    fn of_service() -> PollTimes {
        PollTimes {
            wait: SERVICE_POLL_WAIT,
            slack: SERVICE_POLL_SLACK,
            retry_wait: SERVICE_RETRY_WAIT,
            retry_slack: SERVICE_RETRY_SLACK,
        }
    }

    /// The times for polls of an agent on this machine, with a drain grace in seconds.
    fn of_agent(drain_grace: f64) -> PollTimes {
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

/// The largest number of connections to clients, which is also that to replicas. At most half of the memory is for
/// connections on machines of every size, because the smallest ones need the other half.
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
