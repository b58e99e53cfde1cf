//! `poppykeel resolve`: asks each endpoint source once, or for as long as it is watched, and shows what the sources
//! answer and the combined list. It accepts no clients and sends nothing to any endpoint.

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

/// The updates of the sources that wait to be applied. The watchers wait while the channel is full.
const UPDATE_CHANNEL_CAPACITY: usize = 64;
/// How long one poll of discovery waits for a newer list.
const LONG_POLL_WAIT: Duration = Duration::from_millis(1000);
/// How much longer the answer to a poll may take.
const POLL_SLACK: Duration = Duration::from_millis(1500);
/// A list that could not be had is polled again after this time.
const RETRY_PAUSE: Duration = Duration::from_secs(2);
/// How long to sleep if the registry has no timer.
const NO_TIMER: Duration = Duration::from_secs(3600);
/// The longest time to wait for the sources that the command line may ask for, in seconds: one day.
const MAX_WAIT_S: f64 = 86_400.0;

#[derive(clap::Args)]
pub(super) struct ResolveCommand {
    #[command(flatten)]
    operator_file: OperatorFileArgs,
    /// The platform's configuration, as JSON, for where discovery listens
    #[arg(long, env = "GW_CONFIG", value_name = "FILE")]
    config: Option<PathBuf>,
    #[command(flatten)]
    overrides: ConfigOverrideArgs,
    /// Print one JSON object, or one for each change
    #[arg(long)]
    json: bool,
    /// Go on and show each change, until interrupted
    #[arg(long)]
    watch: bool,
    /// Without --watch, wait at most so many seconds for the sources
    #[arg(long, default_value_t = 10.0, value_name = "SECONDS")]
    wait: f64,
}

/// Why the command could not do its work.
#[derive(Debug, thiserror::Error)]
pub(super) enum ResolveError {
    /// A file of settings could not be read.
    #[error(transparent)]
    Settings(#[from] SettingsFileError),
    /// The address of discovery on the command line is not an address.
    #[error("discovery: expected ADDRESS:PORT, not '{0}'")]
    DiscoveryAddress(String),
    /// The runtime could not be built.
    #[error("runtime: {0}")]
    Runtime(#[source] std::io::Error),
    /// The report could not be written.
    #[error("standard output: {0}")]
    Output(#[source] std::io::Error),
}

impl ResolveCommand {
    /// Asks the sources and shows the list. Returns whether any endpoint of it takes requests.
    ///
    /// # Errors
    /// Settings that cannot be read, or a standard output that cannot be written.
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

    /// Where discovery listens, by the command line, the operators' file or the platform's configuration, in this
    /// order. `None` if none of them says.
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
        let from_operator = operator
            .membership
            .as_ref()
            .and_then(|membership| membership.list.discovery);
        if from_operator.is_some() {
            return Ok(from_operator);
        }
        let Some(path) = &self.config else {
            return Ok(None);
        };
        let config: NodeConfig = self.overrides.read(path)?;
        Ok(Some(config.discovery))
    }

    async fn resolve(
        &self,
        operator: &OperatorConfig,
        discovery: Option<SocketAddr>,
    ) -> Result<bool, ResolveError> {
        let clock = Clock::start();
        let (update_sender, updates) = mpsc::channel(UPDATE_CHANNEL_CAPACITY);
        // Owns the look-ups: they end when this is dropped.
        let mut srv_watcher = SrvWatcher::new(clock, update_sender.clone());
        srv_watcher.watch(operator.srv_lookup_settings());
        let list_watcher = discovery.map(|addr| {
            EndpointWatcher::new(addr, Rc::new(bounds()), update_sender.clone(), clock)
        });
        if let Some(watcher) = &list_watcher {
            watcher.start();
        } else if operator.uses_endpoint_list() {
            eprintln!("poppykeel: list: where discovery listens is not told: expected --discovery, --config or membership.list.discovery");
        }
        let registry = EndpointRegistry::new(operator.endpoint_source_settings().registry);
        let mut session = ResolveSession {
            command: self,
            clock,
            progress: initial_progress(&registry, list_watcher.is_some()),
            registry,
            list_watcher,
            latest_lookup: srv_watcher.latest_lookup(),
            shown: None,
        };
        session.run(updates).await?;
        Ok(session.registry.usable_count() > 0)
    }

    fn show(&self, report: &ResolveReport) -> Result<(), ResolveError> {
        let text = if self.json {
            // By way of a value, whose keys are in alphabetical order.
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

/// All sources are silent at first. A list of which nobody knows the address has failed.
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

/// One run of the command.
struct ResolveSession<'a> {
    command: &'a ResolveCommand,
    clock: Clock,
    registry: EndpointRegistry,
    list_watcher: Option<EndpointWatcher>,
    /// How far each source has come, by name.
    progress: BTreeMap<String, SourceProgress>,
    latest_lookup: LatestSrvLookup,
    /// What was shown last.
    shown: Option<Vec<EndpointFingerprint>>,
}

impl ResolveSession<'_> {
    /// Applies updates until every source has reported once or the time is over, and shows the list. While watching
    /// it goes on until the process is interrupted, and shows each change.
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
                self.show_change()?;
            }
            let until_timer = self.registry.next_timer().map_or(NO_TIMER, |timer| {
                Duration::from_micros(timer.saturating_sub(self.clock.now()))
            });
            // Every branch is safe to cancel: a message stays in the channel, and timers are set anew.
            tokio::select! {
                message = updates.recv() => {
                    if let Some(DispatcherMessage::EndpointUpdate { source, update: told, .. }) = message {
                        self.apply_update(source, told);
                    }
                }
                () = tokio::time::sleep(until_timer) => {
                    self.registry.on_timer(self.clock.now());
                }
                () = tokio::time::sleep_until(deadline), if !is_watching => break,
            }
        }
        self.command.show(&self.report())
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

    /// A watcher stops after a failure; in a node the scheduler says when it starts again.
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

    /// Shows the list if it is not the one shown last.
    fn show_change(&mut self) -> Result<(), ResolveError> {
        let report = self.report();
        let fingerprint = Some(report.fingerprint());
        if fingerprint != self.shown {
            self.command.show(&report)?;
            self.shown = fingerprint;
        }
        Ok(())
    }
}

/// The bounds of the list's watcher; nothing else of the transport runs.
fn bounds() -> TransportLimits {
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
