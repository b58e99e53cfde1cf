//! `poppykeel resolve`: queries each endpoint source once, or continuously with `--watch`, and shows the answers of the
//! sources and the combined endpoint list. It accepts no clients and sends nothing to any endpoint.

mod report;

use super::config::operator::OperatorConfig;
use super::config::NodeConfig;
use super::files::{ConfigOverrideArgs, OperatorFileArgs, SettingsFileError};
use crate::transport::clock::Clock;
use crate::transport::endpoints::discovery::EndpointWatcher;
use crate::transport::endpoints::srv::{LatestSrvLookup, SrvWatcher};
use crate::transport::messages::{DispatcherMessage, ENDPOINT_LIST_SOURCE};
use crate::transport::TransportLimits;
use poppykeel_endpoints::{EndpointRegistry, SourceUpdate};
use report::{EndpointFingerprint, ResolveReport, SourceProgress};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio::time::Instant;

/// The number of source updates that can be queued. The watchers wait while the channel is full.
const UPDATE_CHANNEL_CAPACITY: usize = 64;
/// How long one poll of discovery waits for a newer list.
const LONG_POLL_WAIT: Duration = Duration::from_millis(1000);
/// How much longer than [`LONG_POLL_WAIT`] the answer to a poll may take.
const POLL_SLACK: Duration = Duration::from_millis(1500);
/// The pause between a failed poll of the list and the next poll.
const RETRY_PAUSE: Duration = Duration::from_secs(2);
/// How long to sleep if the registry has no pending timer; an update ends the sleep early.
const SLEEP_WITHOUT_TIMER: Duration = Duration::from_secs(3600);
/// The longest value of `--wait`, in seconds: one day.
const MAX_WAIT_S: f64 = 86_400.0;

#[derive(clap::Args)]
pub(super) struct ResolveCommand {
    #[command(flatten)]
    operator_file: OperatorFileArgs,
    /// Node configuration (JSON); only its discovery address is used
    #[arg(long, env = "GW_CONFIG", value_name = "FILE")]
    config: Option<PathBuf>,
    #[command(flatten)]
    overrides: ConfigOverrideArgs,
    /// Print one JSON object, or with --watch one per change
    #[arg(long)]
    json: bool,
    /// Keep running and show each change, until interrupted
    #[arg(long)]
    watch: bool,
    /// Longest time to wait for the sources; ignored with --watch
    #[arg(long, default_value_t = 10.0, value_name = "SECONDS")]
    wait: f64,
}

/// Why the command failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum ResolveError {
    /// A settings file can't be read or is invalid.
    #[error(transparent)]
    Settings(#[from] SettingsFileError),
    /// The address of the discovery service on the command line is invalid.
    #[error("--discovery or GW_DISCOVERY: expected ADDRESS:PORT, not '{0}'")]
    DiscoveryAddress(String),
    /// The async runtime can't be built.
    #[error("cannot start the async runtime: {0}")]
    Runtime(#[source] std::io::Error),
    /// The report can't be written to standard output.
    #[error("cannot write to standard output: {0}")]
    Output(#[source] std::io::Error),
}

impl ResolveCommand {
    /// Queries the sources and shows the combined list. Returns whether any endpoint is usable.
    ///
    /// # Errors
    /// If the settings can't be read or standard output can't be written.
    pub(super) fn run(&self) -> Result<bool, ResolveError> {
        let operator = self.operator_file.read()?;
        let discovery = if operator.uses_endpoint_list() {
            self.discovery_addr(&operator)?
        } else {
            None
        };
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(ResolveError::Runtime)?;
        LocalSet::new().block_on(&runtime, self.resolve(&operator, discovery))
    }

    /// The address of the discovery service from the command line, the operator file or the node configuration, in this
    /// order of precedence. `None` if none of them has it.
    fn discovery_addr(
        &self,
        operator: &OperatorConfig,
    ) -> Result<Option<SocketAddr>, ResolveError> {
        if let Some(text) = &self.overrides.discovery {
            return text
                .parse()
                .map(Some)
                .map_err(|_| ResolveError::DiscoveryAddress(text.clone()));
        }
        let operator_discovery = operator
            .membership
            .as_ref()
            .and_then(|membership| membership.list.discovery);
        if operator_discovery.is_some() {
            return Ok(operator_discovery);
        }
        let Some(path) = &self.config else {
            return Ok(None);
        };
        let config: NodeConfig = self.overrides.read_config(path)?;
        Ok(Some(config.discovery))
    }

    async fn resolve(
        &self,
        operator: &OperatorConfig,
        discovery: Option<SocketAddr>,
    ) -> Result<bool, ResolveError> {
        let clock = Clock::start();
        let (update_sender, updates) = mpsc::channel(UPDATE_CHANNEL_CAPACITY);
        // Owns the look-ups, which end when it is dropped.
        let mut srv_watcher = SrvWatcher::new(clock, update_sender.clone());
        srv_watcher.watch(operator.srv_lookup_settings());
        let list_watcher = discovery.map(|addr| {
            EndpointWatcher::new(
                addr,
                Rc::new(watcher_limits()),
                update_sender.clone(),
                clock,
            )
        });
        if let Some(watcher) = &list_watcher {
            watcher.start();
        } else if operator.uses_endpoint_list() {
            eprintln!(
                "poppykeel: source 'list' fails because the address of the discovery service is unknown; set --discovery, \
                 --config or the key membership.list.discovery"
            );
        }
        let registry = EndpointRegistry::new(operator.endpoint_source_settings().registry);
        let mut session = ResolveSession {
            command: self,
            clock,
            progress: initial_progress(&registry, list_watcher.is_some()),
            registry,
            list_watcher,
            latest_lookup: srv_watcher.latest_lookup(),
            last_printed: None,
        };
        session.run(updates).await?;
        Ok(session.registry.usable_count() > 0)
    }

    fn print(&self, report: &ResolveReport) -> Result<(), ResolveError> {
        let text = if self.json {
            // The conversion to a value sorts the keys alphabetically.
            let value = serde_json::to_value(report)
                .map_err(|e| ResolveError::Output(std::io::Error::other(e)))?;
            format!("{value}\n")
        } else {
            report.to_string()
        };
        std::io::stdout()
            .write_all(text.as_bytes())
            .map_err(ResolveError::Output)
    }
}

/// All sources are silent at first, except that the discovery service's list has failed if its address is unknown.
fn initial_progress(
    registry: &EndpointRegistry,
    is_list_watched: bool,
) -> BTreeMap<String, SourceProgress> {
    let sources = &registry.settings().sources;
    sources
        .iter()
        .map(|source| {
            let progress = if source.name == ENDPOINT_LIST_SOURCE && !is_list_watched {
                SourceProgress::Failed
            } else {
                SourceProgress::Silent
            };
            (source.name.clone(), progress)
        })
        .collect()
}

/// The state of one run of the command.
struct ResolveSession<'a> {
    command: &'a ResolveCommand,
    clock: Clock,
    registry: EndpointRegistry,
    list_watcher: Option<EndpointWatcher>,
    /// The progress of each source, by name.
    progress: BTreeMap<String, SourceProgress>,
    latest_lookup: LatestSrvLookup,
    /// The fingerprint of the last printed report; `None` before the first one.
    last_printed: Option<Vec<EndpointFingerprint>>,
}

impl ResolveSession<'_> {
    /// Applies updates until every source has reported once or `--wait` has passed, then prints the report. With `--watch`,
    /// prints each change until the process is interrupted.
    async fn run(
        &mut self,
        mut updates: mpsc::Receiver<DispatcherMessage>,
    ) -> Result<(), ResolveError> {
        let is_watching = self.command.watch;
        let wait = Duration::from_secs_f64(self.command.wait.clamp(0.0, MAX_WAIT_S));
        let deadline = Instant::now() + wait;
        loop {
            if self.has_every_source_reported() {
                if !is_watching {
                    break;
                }
                self.print_if_changed()?;
            }
            let until_timer = self
                .registry
                .next_timer()
                .map_or(SLEEP_WITHOUT_TIMER, |timer| {
                    Duration::from_micros(timer.saturating_sub(self.clock.now()))
                });
            // Every branch is cancel-safe: a message stays in the channel, and the next iteration sets the timers again.
            tokio::select! {
                message = updates.recv() => {
                    if let Some(DispatcherMessage::EndpointUpdate { source, update, .. }) = message {
                        self.apply_update(source, update);
                    }
                }
                () = tokio::time::sleep(until_timer) => {
                    self.registry.on_timer(self.clock.now());
                }
                () = tokio::time::sleep_until(deadline), if !is_watching => break,
            }
        }
        self.command.print(&self.report())
    }

    fn has_every_source_reported(&self) -> bool {
        !self
            .progress
            .values()
            .any(|progress| *progress == SourceProgress::Silent)
    }

    fn apply_update(&mut self, source: &'static str, update: SourceUpdate) {
        let progress = if update == SourceUpdate::Failed {
            SourceProgress::Failed
        } else {
            SourceProgress::Answered
        };
        let is_failed_list = progress == SourceProgress::Failed && source == ENDPOINT_LIST_SOURCE;
        if is_failed_list && self.command.watch {
            self.restart_list_watcher_later();
        }
        self.progress.insert(source.to_string(), progress);
        let source_index = self
            .registry
            .settings()
            .sources
            .iter()
            .position(|settings| settings.name == source);
        if let Some(source_index) = source_index {
            self.registry
                .apply_update(self.clock.now(), source_index, update);
        }
    }

    /// Restarts the watcher of the list after a pause. The watcher stops after a failure; in a node the scheduler restarts
    /// it, but `resolve` has no scheduler.
    fn restart_list_watcher_later(&self) {
        let Some(watcher) = self.list_watcher.clone() else {
            return;
        };
        tokio::task::spawn_local(async move {
            tokio::time::sleep(RETRY_PAUSE).await;
            watcher.start();
        });
    }

    fn report(&self) -> ResolveReport {
        ResolveReport::new(
            &self.registry,
            &self.progress,
            &self.latest_lookup.borrow(),
            self.clock.now(),
        )
    }

    /// Prints the report if it differs from the last printed one in any field of the fingerprint.
    fn print_if_changed(&mut self) -> Result<(), ResolveError> {
        let report = self.report();
        let fingerprint = Some(report.fingerprint());
        if fingerprint != self.last_printed {
            self.command.print(&report)?;
            self.last_printed = fingerprint;
        }
        Ok(())
    }
}

/// The limits for the watcher of the list. No other part of the transport that reads limits runs in this command.
fn watcher_limits() -> TransportLimits {
    let unused = Duration::ZERO;
    TransportLimits {
        max_client_connections: 0,
        max_replica_connections: 0,
        max_body_memory_bytes: 0,
        connect_timeout: unused,
        replica_idle_timeout: unused,
        reuse_delay: unused,
        client_write_timeout: unused,
        client_idle_timeout: unused,
        request_read_timeout: unused,
        probe_timeout: unused,
        long_poll_wait: LONG_POLL_WAIT,
        long_poll_slack: POLL_SLACK,
        short_poll_wait: LONG_POLL_WAIT,
        short_poll_slack: POLL_SLACK,
        drain_duration: unused,
    }
}
