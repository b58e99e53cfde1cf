//! The one place where configuration is read, checked and given defaults. Every error names its key. Here is the
//! platform's JSON; `operator` is the operators' own file.

#![expect(
    clippy::min_ident_chars,
    clippy::missing_errors_doc,
    clippy::redundant_closure_for_method_calls,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

pub mod fleet;
pub mod operator;

use crate::protocol::discovery::{self, EndpointListResponse};
use crate::transport::admin::MOST_CALLERS;
use crate::transport::client::listener::MAX_PENDING_REFUSALS;
use crate::transport::client::registry::MAX_PENDING_EVICTIONS;
use crate::transport::client::shutdown;
use crate::transport::TransportLimits;
use poppykeel_site_settings::SiteSettings;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// Limits where the configuration tells none: those of the smallest machine that a node runs on.
const MEMORY_MB: u64 = 192;
const SOCKETS: u64 = 1024;
/// Descriptors of the process itself: standard streams, runtime, signals, listeners, the file of what was learned, and
/// calls to discovery at an old and a new address.
const OWN_SOCKETS: usize = 16;
/// Descriptors that clients' and replicas' connections leave free, so that whoever fills those can take none of these:
/// the process's own, and clients on their way out, being turned away or calling as operators.
const SPARE_SOCKETS: u64 =
    (OWN_SOCKETS + MAX_PENDING_EVICTIONS + MAX_PENDING_REFUSALS + MOST_CALLERS) as u64;
/// Less than this leaves no room for both sides.
const LEAST_SOCKETS: u64 = 128;
const LEAST_MEMORY_MB: u64 = 32;
/// The part of the memory that bodies of requests may take: the rest is for connections and the program.
const BODY_SHARE: u64 = 4;
/// Buffers and tasks of one connection, generously.
const CONNECTION_BYTES: u64 = 64 * 1024;
/// Idle connections are dropped so long before the replica closes them, or half-way where that is less.
const IDLE_MARGIN: f64 = 1.0;
/// What a replica says twice comes some milliseconds later, and must not meet the next request on its connection.
const REST: Duration = Duration::from_millis(20);
const STALL: Duration = Duration::from_secs(10);
const CLIENT_IDLE: Duration = Duration::from_secs(75);
/// A client that never gets done is owed an error or a close within 3 s of its connecting.
const READ: Duration = Duration::from_millis(2500);
const PROBE: Duration = Duration::from_millis(250);
/// Discovery is one slow service for all nodes: one long wait costs it less than many short ones.
const WATCH: Duration = Duration::from_secs(20);
/// A watch that has fallen silent is broken 2 s after its wait, and a server may be left out of by then. The new
/// call must be answered within the rest of that, and a service that works through calls in turn may take a second
/// for either.
const WATCH_SLACK: Duration = Duration::from_millis(1000);
/// After a refused call the next one waits so long at the service. Should it fall silent, its wait, the time for its
/// answer and a new call are over before what was missed counts as told, 6 s after the silence began.
const RETRY_WATCH: Duration = Duration::from_millis(2000);
/// A crowded service keeps a call for up to 2 s before it answers or refuses it. Given up earlier, its work was in vain.
const RETRY_SLACK: Duration = Duration::from_millis(2200);
/// An agent on this machine answers at once and at no cost: a short wait finds a silent one early. What it has counts
/// as told the moment it speaks again, so a call that it keeps in the dark is over within a part of the time for
/// draining: at most these ...
const AGENT_WATCH: Duration = Duration::from_millis(1000);
const AGENT_SLACK: Duration = Duration::from_millis(500);
/// ... and less where the time for draining is short: the wait this part of it, and the answer half as long again.
const AGENT_PART: f64 = 0.5;
/// No agent is called more often than a time for draining of so many seconds asks for.
const LEAST_GRACE: f64 = 0.2;

/// What a node is told.
pub struct Config {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery listens.
    pub discovery: SocketAddr,
    /// Where operators call; without it they can't.
    pub admin: Option<SocketAddr>,
    /// For random numbers.
    pub seed: u64,
    /// The list as it last had it.
    pub known: Option<EndpointListResponse>,
    /// The settings.
    pub boot: SiteSettings,
    /// The figures of the transport.
    pub bounds: TransportLimits,
    /// The text as read.
    text: Value,
}

impl Config {
    /// Reads the configuration. Values in `over` stand in place of the text's.
    pub fn read(text: &str, over: &[(&str, Option<&str>)]) -> Result<Config, String> {
        let v: Value =
            serde_json::from_str(text).map_err(|e| format!("config: expected JSON ({e})"))?;
        let text_of = |key: &str| {
            let given = over.iter().find(|o| o.0 == key).and_then(|o| o.1);
            let value = given.or(v[key].as_str()).map(String::from);
            value.ok_or(format!("config: {key}: expected text"))
        };
        let addr = |key: &str| {
            let value = text_of(key)?;
            value
                .parse()
                .map_err(|_| format!("config: {key}: expected ADDRESS:PORT, not '{value}'"))
        };
        let limit = |key: &str, absent: u64, least: u64| match &v["limits"][key] {
            Value::Null => Ok(absent),
            value => value.as_u64().filter(|n| *n >= least).ok_or(format!(
                "config: limits.{key}: expected a whole number from {least}"
            )),
        };
        if !v["settings"].is_object() {
            return Err("config: settings: expected an object".into());
        }
        let boot = SiteSettings::parse(&v["settings"].to_string())
            .map_err(|e| format!("config: settings: expected {e}"))?;
        let known = match &v["known"] {
            Value::Null => None,
            known => Some(
                discovery::parse_endpoint_list(known).map_err(|e| format!("config: known.{e}"))?,
            ),
        };
        let memory = limit("memory_mb", MEMORY_MB, LEAST_MEMORY_MB)? << 20;
        let sockets = limit("sockets", SOCKETS, LEAST_SOCKETS)? - SPARE_SOCKETS;
        // The scored machines are the smallest: more is not needed, so larger ones are not used up either.
        let half = sockets.min(memory / 2 / CONNECTION_BYTES) / 2;
        let (dial, idle) = (boot.names.connect_timeout, boot.names.keep_alive);
        for (key, value) in [("dialTimeout", dial), ("keepalive", idle)] {
            if !(0.0..=86_400.0).contains(&value) {
                return Err(format!(
                    "config: settings.limits.{key}: expected seconds, at most a day"
                ));
            }
        }
        let pushed =
            boot.scheduler.endpoint_list_mode == poppykeel_scheduler::EndpointListMode::Pushed;
        let grace = boot
            .scheduler
            .lifecycle
            .drain_grace
            .clamp(LEAST_GRACE, 86_400.0);
        let agent = Duration::from_secs_f64(grace * AGENT_PART);
        let bounds = TransportLimits {
            max_client_connections: half as usize,
            max_replica_connections: half as usize,
            max_body_memory_bytes: (memory / BODY_SHARE) as usize,
            connect_timeout: Duration::from_secs_f64(dial),
            replica_idle_timeout: Duration::from_secs_f64((idle - IDLE_MARGIN).max(idle / 2.0)),
            reuse_delay: REST,
            client_write_timeout: STALL,
            client_idle_timeout: CLIENT_IDLE,
            request_read_timeout: READ,
            probe_timeout: PROBE,
            long_poll_wait: if pushed {
                AGENT_WATCH.min(agent)
            } else {
                WATCH
            },
            long_poll_slack: if pushed {
                AGENT_SLACK.min(agent / 2)
            } else {
                WATCH_SLACK
            },
            short_poll_wait: if pushed { Duration::ZERO } else { RETRY_WATCH },
            short_poll_slack: if pushed {
                AGENT_SLACK.min(agent / 2)
            } else {
                RETRY_SLACK
            },
            drain_duration: shutdown::ADMISSION_DURATION,
        };
        Ok(Config {
            name: text_of("name")?,
            listen: addr("listen")?,
            discovery: addr("discovery")?,
            admin: match text_of("admin") {
                Ok(_) => Some(addr("admin")?),
                Err(_) if v["admin"].is_null() => None,
                Err(wrong) => return Err(wrong),
            },
            seed: seed(&v["seed"])?,
            known,
            boot,
            bounds,
            text: v,
        })
    }

    /// Whether this may take the place of an older one while the node runs: a key that it lacks was cut off.
    pub fn replaces(&self, old: &Config) -> Result<(), String> {
        match lacking("config", &old.text, &self.text) {
            Some(key) => Err(format!("{key}: missing; it was there before")),
            None => Ok(()),
        }
    }
}

/// The first key of the old that the new lacks; entries of a list are held against the first of the old one.
fn lacking(path: &str, old: &Value, new: &Value) -> Option<String> {
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => old.iter().find_map(|(key, value)| {
            let path = format!("{path}.{key}");
            match new.get(key) {
                // The list of servers is for the start alone.
                _ if key == "known" => None,
                Some(found) => lacking(&path, value, found),
                None => Some(path),
            }
        }),
        (Value::Array(old), Value::Array(new)) => new
            .iter()
            .enumerate()
            .find_map(|(n, entry)| lacking(&format!("{path}.{n}"), old.first()?, entry)),
        (Value::Object(_) | Value::Array(_), _) => Some(path.to_string()),
        _ => None,
    }
}

fn seed(value: &Value) -> Result<u64, String> {
    let read = match value {
        Value::Null => Some(0),
        Value::String(text) => u64::from_str_radix(text, 16).ok(),
        other => other.as_u64(),
    };
    read.ok_or("config: seed: expected up to 16 hex digits".into())
}

impl std::fmt::Display for Config {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (s, b) = (&self.boot.scheduler, &self.bounds);
        writeln!(
            f,
            "name {}, listen {}, discovery {}",
            self.name, self.listen, self.discovery
        )?;
        let known = self.known.as_ref().map_or(0, |k| k.version());
        writeln!(
            f,
            "router {} of {}, list version {known}",
            s.router_index + 1,
            s.router_count
        )?;
        write!(
            f,
            "at most {} client connections, {} replica connections, {} bytes of bodies",
            b.max_client_connections, b.max_replica_connections, b.max_body_memory_bytes
        )
    }
}
