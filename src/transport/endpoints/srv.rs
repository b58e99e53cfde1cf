//! DNS as a source of servers: the resolver's driver, and what it finds as the account of membership takes it.

#![expect(clippy::min_ident_chars, reason = "not yet converted")]

use crate::protocol::srv::SrvEndpointMapping;
use crate::transport::clock::Clock;
use crate::transport::messages::{Message, SRV};
use poppykeel_dns_resolver::{driver, Config, Event, Found};
use poppykeel_endpoints::{ListedEndpoint, SourceUpdate};
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

/// Events of the resolver that wait to be taken.
const EVENTS: usize = 16;

/// Where and how servers are looked up.
#[derive(Clone, Debug, PartialEq)]
pub struct SrvLookupSettings {
    /// The resolver's settings.
    pub resolver: Config,
    /// How names are understood.
    pub endpoint_mapping: SrvEndpointMapping,
}

/// The newest answer, for whoever shows records and lifetimes.
pub type LatestSrvLookup = Rc<RefCell<Option<Result<Found, String>>>>;

/// The look-ups of one node; nothing is looked up until they are set.
pub struct SrvWatcher {
    clock: Clock,
    tell: mpsc::Sender<Message>,
    running: Option<(SrvLookupSettings, AbortHandle)>,
    newest: LatestSrvLookup,
}

impl SrvWatcher {
    /// None yet.
    pub fn new(clock: Clock, tell: mpsc::Sender<Message>) -> Self {
        SrvWatcher {
            clock,
            tell,
            running: None,
            newest: LatestSrvLookup::default(),
        }
    }

    /// What was found last, or why nothing was.
    pub fn latest_lookup(&self) -> LatestSrvLookup {
        self.newest.clone()
    }

    /// Looks this service up from now on, or none. One that is looked up already goes on undisturbed.
    pub fn watch(&mut self, service: Option<SrvLookupSettings>) {
        if self.running.as_ref().map(|r| &r.0) == service.as_ref() {
            return;
        }
        if let Some((_, task)) = self.running.take() {
            task.abort();
        }
        if let Some(service) = service {
            let run = run(
                service.clone(),
                self.clock,
                self.tell.clone(),
                self.newest.clone(),
            );
            self.running = Some((service, tokio::task::spawn_local(run).abort_handle()));
        }
    }
}

async fn run(
    service: SrvLookupSettings,
    clock: Clock,
    tell: mpsc::Sender<Message>,
    newest: LatestSrvLookup,
) {
    let (events, mut found) = mpsc::channel(EVENTS);
    let SrvLookupSettings {
        resolver,
        endpoint_mapping: naming,
    } = service;
    let driver = driver::run(resolver, move || clock.now(), events);
    // What is listed as it was is no news, but one more answer that says so.
    let mut last: Option<Vec<ListedEndpoint>> = None;
    let take = async {
        while let Some(event) = found.recv().await {
            let told = match &event {
                Event::Listed(found) => news(&mut last, listed(found, &naming)),
                Event::Failed { why, .. } => {
                    tracing::warn!(source = SRV, why = %why, "no list");
                    SourceUpdate::Failed
                }
            };
            *newest.borrow_mut() = Some(match event {
                Event::Listed(found) => Ok(found),
                Event::Failed { why, .. } => Err(why),
            });
            if tell
                .send(Message::Told { source: SRV, told })
                .await
                .is_err()
            {
                return;
            }
        }
    };
    tokio::select! {
        end = driver => if let Err(why) = end {
            tracing::error!(source = SRV, why = %why, "no look-ups");
        },
        () = take => {}
    }
}

fn news(last: &mut Option<Vec<ListedEndpoint>>, listed: Vec<ListedEndpoint>) -> SourceUpdate {
    if last.as_ref() == Some(&listed) {
        return SourceUpdate::Changes(Vec::new());
    }
    *last = Some(listed.clone());
    SourceUpdate::FullList(listed)
}

fn listed(found: &Found, naming: &SrvEndpointMapping) -> Vec<ListedEndpoint> {
    if let Some(why) = &found.nothing {
        tracing::warn!(source = SRV, why = %why, "nothing listed");
    }
    for (target, why) in &found.unresolved {
        tracing::warn!(source = SRV, target_name = %target, why = %why, "target not resolved");
    }
    if found.left_out > 0 {
        tracing::warn!(
            source = SRV,
            left_out = found.left_out,
            "more targets than may be"
        );
    }
    found
        .endpoints
        .iter()
        .map(|e| naming.to_listed_endpoint(e))
        .collect()
}
