//! The watcher of DNS: repeatedly looks up a service's SRV records and reports the endpoints found.
//!
//! [`SrvWatcher`] owns the task that runs the resolver. The task sends every answer and every failure to the dispatcher and
//! stores the latest one for `poppykeel resolve`, which shows records and their lifetimes. `program::serve` and
//! `program::resolve` own a watcher and configure its look-ups.

use crate::protocol::srv::SrvEndpointMapping;
use crate::transport::clock::Clock;
use crate::transport::messages::{DispatcherMessage, SRV_SOURCE};
use poppykeel_dns_resolver::{
    driver, LookupError, ResolverConfig, ResolverEvent, ServiceLookup, UnresolvedTarget,
};
use poppykeel_endpoints::{ListedEndpoint, SourceUpdate};
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

/// Number of resolver events that may wait to be reported. The resolver waits while the channel is full, that is, while the
/// dispatcher is busy.
const EVENT_CHANNEL_CAPACITY: usize = 16;

/// Settings of the look-ups.
#[derive(Clone, Debug, PartialEq)]
pub struct SrvLookupSettings {
    /// The resolver's settings.
    pub resolver: ResolverConfig,
    /// How targets and records are mapped to endpoints.
    pub endpoint_mapping: SrvEndpointMapping,
}

/// The result of the latest look-up.
#[derive(Clone, Debug, Default)]
pub enum SrvLookupResult {
    /// No look-up has ended yet.
    #[default]
    Pending,
    /// The look-up succeeded.
    Found(ServiceLookup),
    /// The look-up failed.
    Failed(LookupError),
}

/// The result of the latest look-up, shared with the watcher's task, which replaces it.
pub type LatestSrvLookup = Rc<RefCell<SrvLookupResult>>;

/// The DNS look-ups of one node. [`SrvWatcher::watch`] starts them.
pub struct SrvWatcher {
    clock: Clock,
    dispatcher: mpsc::Sender<DispatcherMessage>,
    running: Option<RunningLookup>,
    latest: LatestSrvLookup,
}

/// The task that looks up one service. Dropping this aborts it.
struct RunningLookup {
    settings: SrvLookupSettings,
    task: AbortHandle,
}

impl Drop for RunningLookup {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl SrvWatcher {
    /// Creates a watcher without look-ups.
    pub fn new(clock: Clock, dispatcher: mpsc::Sender<DispatcherMessage>) -> Self {
        SrvWatcher {
            clock,
            dispatcher,
            running: None,
            latest: LatestSrvLookup::default(),
        }
    }

    /// The shared result of the latest look-up. It continues to be replaced after a change of settings.
    pub fn latest_lookup(&self) -> LatestSrvLookup {
        self.latest.clone()
    }

    /// Replaces the look-ups by those of this service; `None` ends them. Look-ups with unchanged settings continue
    /// undisturbed.
    pub fn watch(&mut self, settings: Option<SrvLookupSettings>) {
        let current = self.running.as_ref().map(|running| &running.settings);
        if current == settings.as_ref() {
            return;
        }
        self.running = None;
        let Some(settings) = settings else {
            return;
        };
        let reporter = LookupReporter {
            mapping: settings.endpoint_mapping.clone(),
            dispatcher: self.dispatcher.clone(),
            latest: self.latest.clone(),
            last_listed: None,
        };
        let run = run(settings.resolver.clone(), self.clock, reporter);
        self.running = Some(RunningLookup {
            settings,
            task: tokio::task::spawn_local(run).abort_handle(),
        });
    }
}

/// Runs the resolver and reports its events, until the dispatcher has ended or the settings turn out to be invalid.
async fn run(resolver: ResolverConfig, clock: Clock, reporter: LookupReporter) {
    let (event_sender, events) = mpsc::channel(EVENT_CHANNEL_CAPACITY);
    let driver = driver::run(resolver, move || clock.now(), event_sender);
    // Neither branch is polled after the other has ended, so cancel safety is not needed: the driver owns its sockets and
    // closes them when it is dropped, and unreported events are lost with it.
    tokio::select! {
        result = driver => if let Err(reason) = result {
            tracing::error!(source = SRV_SOURCE, %reason, "DNS look-ups stopped: invalid resolver settings");
        },
        () = reporter.report_all(events) => {}
    }
}

/// Converts the resolver's events to updates of the source.
struct LookupReporter {
    mapping: SrvEndpointMapping,
    dispatcher: mpsc::Sender<DispatcherMessage>,
    latest: LatestSrvLookup,
    /// The endpoints reported last.
    last_listed: Option<Vec<ListedEndpoint>>,
}

impl LookupReporter {
    /// Reports events until the channel closes or the dispatcher has ended.
    async fn report_all(mut self, mut events: mpsc::Receiver<ResolverEvent>) {
        while let Some(event) = events.recv().await {
            let update = self.update_for(&event);
            *self.latest.borrow_mut() = match event {
                ResolverEvent::Listed(lookup) => SrvLookupResult::Found(lookup),
                ResolverEvent::Failed { reason, .. } => SrvLookupResult::Failed(reason),
            };
            let message = DispatcherMessage::EndpointUpdate {
                is_current: true,
                source: SRV_SOURCE,
                update,
            };
            if self.dispatcher.send(message).await.is_err() {
                return;
            }
        }
    }

    fn update_for(&mut self, event: &ResolverEvent) -> SourceUpdate {
        match event {
            ResolverEvent::Listed(lookup) => {
                log_incomplete_answer(lookup);
                let endpoints = lookup.endpoints.iter();
                let listed = endpoints.map(|endpoint| self.mapping.to_listed_endpoint(endpoint));
                self.list_update(listed.collect())
            }
            ResolverEvent::Failed { reason, .. } => {
                tracing::warn!(source = SRV_SOURCE, %reason, "no list");
                SourceUpdate::Failed
            }
        }
    }

    /// The update for a list of endpoints. For an unchanged list, it is an empty list of changes, which confirms the
    /// previous list.
    fn list_update(&mut self, listed: Vec<ListedEndpoint>) -> SourceUpdate {
        if self.last_listed.as_ref() == Some(&listed) {
            return SourceUpdate::Changes(Vec::new());
        }
        self.last_listed = Some(listed.clone());
        SourceUpdate::FullList(listed)
    }
}

fn log_incomplete_answer(lookup: &ServiceLookup) {
    if let Some(reason) = &lookup.empty_reason {
        tracing::warn!(source = SRV_SOURCE, %reason, "nothing listed: the SRV answer has no usable endpoint");
    }
    for UnresolvedTarget { target, reason } in &lookup.unresolved {
        tracing::warn!(source = SRV_SOURCE, target_name = %target, %reason, "SRV target not resolved");
    }
    if lookup.ignored_target_count > 0 {
        tracing::warn!(
            source = SRV_SOURCE,
            omitted_count = lookup.ignored_target_count,
            "more SRV targets than most_targets allows; ignoring the others"
        );
    }
}
