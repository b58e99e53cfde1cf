//! DNS as a source of servers: the resolver's driver, and what it finds as the account of membership takes it.

#![expect(clippy::min_ident_chars, reason = "not yet converted")]

use super::clock::Clock;
use super::messages::{DispatcherMessage, SRV_SOURCE};
use crate::protocol::srv::Naming;
use poppykeel_dns_resolver::{driver, Config, Event, Found};
use poppykeel_endpoints::{Entry, Told};
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

/// Events of the resolver that wait to be taken.
const EVENTS: usize = 16;

/// Where and how servers are looked up.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The resolver's settings.
    pub resolver: Config,
    /// How names are understood.
    pub naming: Naming,
}

/// The newest answer, for whoever shows records and lifetimes.
pub type Newest = Rc<RefCell<Option<Result<Found, String>>>>;

/// The look-ups of one node; nothing is looked up until they are set.
pub struct Lookups {
    clock: Clock,
    tell: mpsc::Sender<DispatcherMessage>,
    running: Option<(Service, AbortHandle)>,
    newest: Newest,
}

impl Lookups {
    /// None yet.
    pub fn new(clock: Clock, tell: mpsc::Sender<DispatcherMessage>) -> Self {
        Lookups {
            clock,
            tell,
            running: None,
            newest: Newest::default(),
        }
    }

    /// What was found last, or why nothing was.
    pub fn newest(&self) -> Newest {
        self.newest.clone()
    }

    /// Looks this service up from now on, or none. One that is looked up already goes on undisturbed.
    pub fn set(&mut self, service: Option<Service>) {
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
    service: Service,
    clock: Clock,
    tell: mpsc::Sender<DispatcherMessage>,
    newest: Newest,
) {
    let (events, mut found) = mpsc::channel(EVENTS);
    let Service { resolver, naming } = service;
    let driver = driver::run(resolver, move || clock.now(), events);
    // What is listed as it was is no news, but one more answer that says so.
    let mut last: Option<Vec<Entry>> = None;
    let take = async {
        while let Some(event) = found.recv().await {
            let told = match &event {
                Event::Listed(found) => news(&mut last, listed(found, &naming)),
                Event::Failed { why, .. } => {
                    tracing::warn!(source = SRV_SOURCE, why = %why, "no list");
                    Told::Failed
                }
            };
            *newest.borrow_mut() = Some(match event {
                Event::Listed(found) => Ok(found),
                Event::Failed { why, .. } => Err(why),
            });
            if tell
                .send(DispatcherMessage::EndpointUpdate {
                    source: SRV_SOURCE,
                    update: told,
                })
                .await
                .is_err()
            {
                return;
            }
        }
    };
    tokio::select! {
        end = driver => if let Err(why) = end {
            tracing::error!(source = SRV_SOURCE, why = %why, "no look-ups");
        },
        () = take => {}
    }
}

fn news(last: &mut Option<Vec<Entry>>, listed: Vec<Entry>) -> Told {
    if last.as_ref() == Some(&listed) {
        return Told::Changes(Vec::new());
    }
    *last = Some(listed.clone());
    Told::Whole(listed)
}

fn listed(found: &Found, naming: &Naming) -> Vec<Entry> {
    if let Some(why) = &found.nothing {
        tracing::warn!(source = SRV_SOURCE, why = %why, "nothing listed");
    }
    for (target, why) in &found.unresolved {
        tracing::warn!(source = SRV_SOURCE, target_name = %target, why = %why, "target not resolved");
    }
    if found.left_out > 0 {
        tracing::warn!(
            source = SRV_SOURCE,
            left_out = found.left_out,
            "more targets than may be"
        );
    }
    found.endpoints.iter().map(|e| naming.entry(e)).collect()
}
