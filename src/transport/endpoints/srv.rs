//! The watcher of DNS: keeps a service's SRV records looked up and reports the endpoints found.
//!
//! [`SrvWatcher`] owns the task that runs the resolver. The task sends every answer and every failure to the dispatcher
//! and keeps the latest one for whoever shows records and lifetimes. `program::serve` and `program::resolve` own a
//! watcher and set what it looks up.

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

/// The events of the resolver that wait to be reported. The resolver waits while the channel is full, which is while
/// the dispatcher is busy.
const EVENT_CHANNEL_CAPACITY: usize = 16;

/// What is looked up, and how the answers are understood.
#[derive(Clone, Debug, PartialEq)]
pub struct SrvLookupSettings {
    /// The resolver's settings.
    pub resolver: ResolverConfig,
    /// How targets and records are mapped to endpoints.
    pub endpoint_mapping: SrvEndpointMapping,
}

/// How the latest look-up ended.
#[derive(Clone, Debug, Default)]
pub enum SrvLookupResult {
    /// None has ended yet.
    #[default]
    Pending,
    /// The service was looked up.
    Found(ServiceLookup),
    /// The service could not be looked up, for this reason.
    Failed(LookupError),
}

/// The latest look-up, shared with the watcher's task, which replaces it.
pub type LatestSrvLookup = Rc<RefCell<SrvLookupResult>>;

/// The look-ups of one node. Nothing is looked up until [`SrvWatcher::watch`] says what.
pub struct SrvWatcher {
    clock: Clock,
    dispatcher: mpsc::Sender<DispatcherMessage>,
    running: Option<RunningLookup>,
    latest: LatestSrvLookup,
}

/// The task that looks one service up. Dropping this ends it.
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
    /// A watcher that looks nothing up yet.
    pub fn new(clock: Clock, dispatcher: mpsc::Sender<DispatcherMessage>) -> Self {
        SrvWatcher {
            clock,
            dispatcher,
            running: None,
            latest: LatestSrvLookup::default(),
        }
    }

    /// The latest look-up, also of services that are set later.
    pub fn latest_lookup(&self) -> LatestSrvLookup {
        self.latest.clone()
    }

    /// Looks this service up from now on, or none. Look-ups with the same settings go on undisturbed.
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

/// Runs the resolver and reports its events, until the dispatcher has gone or the settings turn out to be invalid.
async fn run(resolver: ResolverConfig, clock: Clock, reporter: LookupReporter) {
    let (event_sender, events) = mpsc::channel(EVENT_CHANNEL_CAPACITY);
    let driver = driver::run(resolver, move || clock.now(), event_sender);
    // Neither branch is polled again after the other has ended, so nothing depends on their cancellation: the driver
    // owns its sockets and closes them when it is dropped, and events that were not reported are lost with it.
    tokio::select! {
        result = driver => if let Err(reason) = result {
            tracing::error!(source = SRV_SOURCE, %reason, "look-ups stopped");
        },
        () = reporter.report_all(events) => {}
    }
}

/// Turns the resolver's events into updates of the source.
struct LookupReporter {
    mapping: SrvEndpointMapping,
    dispatcher: mpsc::Sender<DispatcherMessage>,
    latest: LatestSrvLookup,
    /// The endpoints reported last.
    last_listed: Option<Vec<ListedEndpoint>>,
}

impl LookupReporter {
    /// Reports events until there are no more, or until the dispatcher has gone.
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

    /// A list that equals the previous one is an empty change list, which confirms it.
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
        tracing::warn!(source = SRV_SOURCE, %reason, "nothing listed");
    }
    for UnresolvedTarget { target, reason } in &lookup.unresolved {
        tracing::warn!(source = SRV_SOURCE, target_name = %target, %reason, "target not resolved");
    }
    if lookup.ignored_target_count > 0 {
        tracing::warn!(
            source = SRV_SOURCE,
            omitted_count = lookup.ignored_target_count,
            "too many targets"
        );
    }
}
