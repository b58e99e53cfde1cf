//! The loop round the core: it reads the clock once a turn, feeds what has come, and carries out commands.

#![expect(
    clippy::min_ident_chars,
    clippy::needless_pass_by_value,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

use crate::protocol::admin::Figures;
use crate::routing::cross_zone::{MinuteCount, RequestGroup, TotalCount};
use crate::routing::directory::{EndpointChange, EndpointDirectory};
use crate::routing::{MonotonicMicros, ReplicaStatus, RequestRouter, RouterCommand, RouterEvent};
use crate::transport::clock::Clock;
use crate::transport::discovery::Watch;
use crate::transport::messages::{
    ClientResponse, CrossZoneMinute, DispatcherMessage, RequestOwner, RequestPayload, StreamChunk,
    ENDPOINT_LIST_SOURCE,
};
use crate::transport::upstream::{AttemptRequest, Upstream};
use poppykeel_endpoints::Told;
use poppykeel_scheduler::interface::{
    AttemptOutcome, Endpoint, EndpointState, ReplicaId, RequestId,
};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;

/// Messages taken in one turn.
const TURN: usize = 256;

/// Askers of requests that are over and that may be kept beside those of live ones.
const FORGOTTEN_ASKERS: usize = 256;

/// How often the log says what has happened so far.
const SUMMARY: MonotonicMicros = 10_000_000;

struct Client {
    payload: Rc<RequestPayload>,
    /// The class's wish for the time between tokens, in microseconds.
    token_aim: Option<MonotonicMicros>,
    /// Its class and its tenant.
    of: RequestGroup,
    answer: oneshot::Sender<ClientResponse>,
}

/// Work on its way to a replica.
struct InFlightAttempt {
    replica: ReplicaId,
    /// Something of it has been written, or may have been.
    begun: Rc<Cell<bool>>,
    task: AbortHandle,
}

/// The hub of one node.
pub struct Dispatcher {
    clock: Clock,
    router: RequestRouter,
    directory: EndpointDirectory,
    upstream: Upstream,
    watch: Watch,
    clients: HashMap<RequestId, Client>,
    /// Who has asked for which request; those of requests that are over are forgotten now and then.
    askers: HashMap<RequestId, RequestOwner>,
    attempts: HashMap<(RequestId, usize), InFlightAttempt>,
    /// A stream whose first event is being told to the core.
    offered: Option<(String, ReplicaId, mpsc::Receiver<StreamChunk>)>,
    commands: Vec<RouterCommand>,
}

impl Dispatcher {
    /// A hub round a core. `known` is the list as the node last had it.
    pub fn new(
        clock: Clock,
        router: RequestRouter,
        directory: EndpointDirectory,
        upstream: Upstream,
        watch: Watch,
        known: Option<Told>,
    ) -> Self {
        let (clients, askers, attempts, offered, commands) = Default::default();
        let mut hub = Dispatcher {
            clock,
            router,
            directory,
            upstream,
            watch,
            clients,
            askers,
            attempts,
            offered,
            commands,
        };
        let now = hub.clock.now();
        // The module begins with what it first hears of. Without this a node that knows no replica would ask for the
        // list with its first request only, and that one would wait for it.
        hub.router.handle_event(
            now,
            RouterEvent::EndpointsChanged(Vec::new()),
            &mut hub.commands,
        );
        if let Some(told) = known {
            hub.take(
                now,
                DispatcherMessage::EndpointUpdate {
                    source: ENDPOINT_LIST_SOURCE,
                    update: told,
                },
            );
        }
        hub
    }

    /// Runs until every driver is gone.
    pub async fn run(mut self, mut told: mpsc::Receiver<DispatcherMessage>) {
        let mut turn = Vec::with_capacity(TURN);
        let mut summary_at = SUMMARY;
        loop {
            let due = self
                .router
                .next_timer()
                .into_iter()
                .chain(self.directory.next_timer())
                .min();
            let due = due.map(|at| self.clock.instant(at));
            let timer = async {
                match due {
                    Some(at) => tokio::time::sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                count = told.recv_many(&mut turn, TURN) => if count == 0 { return },
                () = timer => {}
            }
            let now = self.clock.now();
            for message in turn.drain(..) {
                self.take(now, message);
            }
            if self.directory.next_timer().is_some_and(|at| at <= now) {
                let list = self.directory.on_timer(self.clock.reading());
                self.list(now, "time", list);
            }
            self.router.on_timer(now, &mut self.commands);
            self.carry_out(now);
            if now >= summary_at {
                summary_at = now + SUMMARY;
                self.sum_up();
            }
        }
    }

    fn take(&mut self, now: MonotonicMicros, message: DispatcherMessage) {
        let input = match message {
            DispatcherMessage::Input(input) => input,
            DispatcherMessage::ClientRequest {
                request: arrival,
                response: answer,
                ..
            } if self.router.is_active(arrival.id) => {
                let _ = answer.send(ClientResponse::Duplicate);
                return;
            }
            DispatcherMessage::ClientRequest {
                request: arrival,
                response: answer,
                ..
            } if answer.is_closed() => {
                return tracing::debug!(request = %arrival.id, "its client left while it waited to be taken");
            }
            DispatcherMessage::ClientRequest {
                request: arrival,
                payload,
                response: answer,
                owner: asker,
            } => {
                self.remember(arrival.id, asker);
                let class = self.upstream.boot.scheduler.classes.get(arrival.class);
                let token_aim = class
                    .map(|c| c.inter_token_objective * 1e6)
                    .filter(|aim| aim.is_finite());
                let token_aim = token_aim.map(|aim| aim as MonotonicMicros);
                let of = RequestGroup {
                    class: arrival.class,
                    tenant: arrival.tenant,
                };
                let payload = Rc::new(payload);
                self.clients.insert(
                    arrival.id,
                    Client {
                        payload,
                        token_aim,
                        of,
                        answer,
                    },
                );
                RouterEvent::RequestArrived(arrival)
            }
            DispatcherMessage::ClientDisconnected {
                request,
                owner: asker,
            } if self.askers.get(&request) == Some(&asker) => {
                RouterEvent::ClientDisconnected(request)
            }
            DispatcherMessage::ClientDisconnected { request, .. } => {
                return tracing::debug!(%request, "a client has left whose request this is not");
            }
            DispatcherMessage::CrossZoneTraffic(told) => {
                let crossings = self.upstream.cross_zone_traffic.borrow();
                let _ = told.send(crossings.by_minute().map(|row| self.named(row)).collect());
                return;
            }
            DispatcherMessage::ExportLearnedState(told) => {
                let _ = told.send(self.router.export_learned_state());
                return;
            }
            DispatcherMessage::ImportLearnedState(memory) => {
                return self.router.import_learned_state(&memory)
            }
            DispatcherMessage::Telemetry(figures) => {
                let _ = figures.send(self.figures());
                return;
            }
            DispatcherMessage::SetBudgetGrants(allowed) => {
                self.watch.allow(&allowed);
                return self.router.set_budget_grants(&allowed);
            }
            DispatcherMessage::BudgetDemand(told) => {
                // Calls for the list are the watch's to count.
                let mut wanted = self.router.budget_demand();
                wanted.extend(self.watch.wanted());
                let _ = told.send(wanted);
                return;
            }
            DispatcherMessage::ReplicaStatuses(told) => {
                let all = self
                    .router
                    .replica_statuses()
                    .into_iter()
                    .filter_map(|status| {
                        Some((self.directory.name(status.replica)?.to_string(), status))
                    });
                let _ = told.send(all.collect());
                return;
            }
            DispatcherMessage::OutlierAdvice(advice) => {
                // A name that is not on this node's list adds nothing.
                for ReplicaStatus { replica, .. } in self.router.replica_statuses() {
                    let verdict = advice
                        .iter()
                        .find(|(name, _)| self.directory.name(replica) == Some(name));
                    if let Some((_, well)) = verdict {
                        let input = RouterEvent::OutlierAdvice {
                            replica,
                            is_healthy: *well,
                        };
                        log_input(&input);
                        self.router.handle_event(now, input, &mut self.commands);
                    }
                }
                return self.carry_out(now);
            }
            DispatcherMessage::UpdateSettings(boot, done) => {
                match self.router.update_settings(boot.scheduler.clone()) {
                    Ok(()) => self.upstream.boot = boot,
                    Err(e) => tracing::error!(why = %e, "settings kept as they were"),
                }
                let _ = done.send(());
                return;
            }
            DispatcherMessage::SetAnswerDeadline(span) => {
                return self
                    .router
                    .set_answer_deadline(now.saturating_add(span.as_micros() as MonotonicMicros));
            }
            DispatcherMessage::LogSummary(done) => {
                self.sum_up();
                let _ = done.send(());
                return;
            }
            DispatcherMessage::StreamStarted {
                request,
                attempt,
                content_type,
                replica,
                chunks: body,
            } => {
                self.offered = Some((content_type, replica, body));
                RouterEvent::FirstToken { request, attempt }
            }
            DispatcherMessage::EndpointUpdate {
                source,
                update: told,
            } => {
                let failed = told == Told::Failed;
                let list = self
                    .directory
                    .apply_update(source, told, self.clock.reading());
                self.list(now, source, list);
                // The module says when discovery is asked again; other sources see to that themselves.
                if !(failed && source == ENDPOINT_LIST_SOURCE) {
                    return;
                }
                RouterEvent::EndpointListFailed
            }
            DispatcherMessage::SetEndpointSources(members) => {
                let list = self
                    .directory
                    .update_settings(members, self.clock.reading());
                return self.list(now, "settings", list);
            }
        };
        match &input {
            RouterEvent::ClientDisconnected(id) => drop(self.clients.remove(id)),
            RouterEvent::AttemptEnded {
                request, attempt, ..
            } => drop(self.attempts.remove(&(*request, *attempt))),
            _ => {}
        }
        log_input(&input);
        self.router.handle_event(now, input, &mut self.commands);
        self.carry_out(now);
        self.offered = None;
    }

    /// Tells the core what has changed in the list, and the log why.
    fn list(&mut self, now: MonotonicMicros, source: &str, list: Vec<EndpointChange>) {
        if list.is_empty() {
            return;
        }
        for EndpointChange {
            endpoint: listing,
            name,
        } in &list
        {
            tracing::info!(source, replica = %listing.id.0, name, state = ?listing.state, "list changed");
        }
        let list: Vec<Endpoint> = list.into_iter().map(|c| c.endpoint).collect();
        let leaving = list
            .iter()
            .filter(|l| l.state != EndpointState::Available)
            .map(|l| l.id)
            .collect();
        self.router
            .handle_event(now, RouterEvent::EndpointsChanged(list), &mut self.commands);
        self.recall(now, leaving);
        self.carry_out(now);
    }

    /// Calls back what has not been written to replicas that leave: a connection that comes up late would carry it
    /// there long after they were to get nothing new. It has never run, and the module finds it another place. Probes
    /// are left alone: with their connection they take a quarter of a second at most.
    fn recall(&mut self, now: MonotonicMicros, leaving: BTreeSet<ReplicaId>) {
        if leaving.is_empty() {
            return;
        }
        let unwritten = |o: &InFlightAttempt| leaving.contains(&o.replica) && !o.begun.get();
        let attempts = self
            .attempts
            .iter()
            .filter(|(_, o)| unwritten(o))
            .map(|(of, _)| *of);
        let mut attempts: Vec<(RequestId, usize)> = attempts.collect();
        attempts.sort_unstable();
        let outcome = AttemptOutcome::NotSent;
        for (request, attempt) in attempts {
            self.attempts
                .remove(&(request, attempt))
                .iter()
                .for_each(|o| o.task.abort());
            tracing::info!(%request, attempt, "called back from a replica that leaves");
            let input = RouterEvent::AttemptEnded {
                request,
                attempt,
                outcome,
                report: None,
            };
            self.router.handle_event(now, input, &mut self.commands);
        }
    }

    /// Keeps who has asked, and forgets the askers of requests that are over once they are the most.
    fn remember(&mut self, request: RequestId, asker: RequestOwner) {
        if self.askers.len() > 2 * self.router.active_count() + FORGOTTEN_ASKERS {
            let router = &self.router;
            self.askers.retain(|request, _| router.is_active(*request));
        }
        self.askers.insert(request, asker);
    }

    fn figures(&self) -> Figures {
        // A class whose settings have changed has had several places.
        let mut replies: Vec<(String, [u64; 3])> = Vec::new();
        for (class, name) in self.upstream.boot.names.classes.iter().enumerate() {
            let counts = self.router.response_counts(class);
            let counts = [counts.completed, counts.rejected, counts.failed];
            match replies.iter_mut().find(|known| known.0 == *name) {
                Some((_, sum)) => sum
                    .iter_mut()
                    .zip(counts)
                    .for_each(|(sum, count)| *sum += count),
                None => replies.push((name.clone(), counts)),
            }
        }
        Figures {
            replies,
            dispatches: self.upstream.written.get(),
            concurrent: self.router.active_count(),
            targets: self.directory.listed_count(),
            targets_disabled: self.router.unavailable_replica_count(),
            crossings: self.crossings(),
            reloads: (0, 0),
            fleet: Vec::new(),
            attempt_ends: (self.router.failed_attempt_counts().into_iter())
                .map(|counted| (counted.outcome, counted.count))
                .collect(),
            closes: Vec::new(),
        }
    }

    /// A row of the account of crossings with names in place of the module's numbers.
    fn named(&self, row: MinuteCount) -> CrossZoneMinute {
        let names = &self.upstream.boot.names;
        let name = |all: &[String], n: usize| all.get(n).cloned().unwrap_or_default();
        CrossZoneMinute {
            minute: row.minute,
            class: name(&names.classes, row.group.class),
            tenant: name(&names.tenants, row.group.tenant),
            count: row.count,
        }
    }

    /// Since the start, by class and tenant; a class whose settings have changed has had several places.
    fn crossings(&self) -> Vec<(String, String, u64)> {
        let mut sums: BTreeMap<(String, String), u64> = BTreeMap::new();
        for TotalCount { group, count } in self.upstream.cross_zone_traffic.borrow().totals() {
            let row = self.named(MinuteCount {
                minute: 0,
                group,
                count,
            });
            *sums.entry((row.class, row.tenant)).or_default() += count;
        }
        sums.into_iter()
            .map(|((class, tenant), count)| (class, tenant, count))
            .collect()
    }

    fn sum_up(&self) {
        let (c, gauges) = (self.router.counters(), self.router.gauges());
        tracing::info!(
            uptime_s = self.clock.now() / 1_000_000,
            window = (gauges.concurrency_limit * 10.0).round() / 10.0,
            out = gauges.in_flight,
            waiting = ?gauges.queued_by_tenant,
            live = self.router.active_count(),
            replicas = gauges.replica_count,
            connections = self.upstream.pool.open(),
            arrived = c.arrived,
            served = c.completed,
            refused = c.rejected,
            failed = c.failed,
            broken = c.broken,
            gone = c.disconnected,
            sent = c.attempts_started,
            ends = ?c.failed_attempts,
            reports_passed_over = crate::protocol::report::passed_over(),
            "summary"
        );
        self.upstream
            .streams
            .log(|replica| self.directory.name(replica).map(String::from));
    }

    fn carry_out(&mut self, now: MonotonicMicros) {
        for command in std::mem::take(&mut self.commands) {
            log_command(&command);
            match command {
                RouterCommand::StartAttempt { request, .. } if self.has_left(request) => {
                    self.clients.remove(&request);
                    self.router.handle_event(
                        now,
                        RouterEvent::ClientDisconnected(request),
                        &mut self.commands,
                    );
                }
                RouterCommand::StartAttempt {
                    request,
                    attempt,
                    replica,
                    deadline: until,
                } => {
                    if let Some(after) = self.router.last_attempt_outcome(request) {
                        tracing::debug!(%request, attempt, replica = %replica.0, ?after, "retry");
                    }
                    let addr = self.directory.addr(replica);
                    let payload = self.clients.get(&request).map(|c| c.payload.clone());
                    let (Some(addr), Some(payload)) = (addr, payload) else {
                        // The list has lost it since: the attempt never left.
                        let outcome = AttemptOutcome::NotSent;
                        let input = RouterEvent::AttemptEnded {
                            request,
                            attempt,
                            outcome,
                            report: None,
                        };
                        self.router.handle_event(now, input, &mut self.commands);
                        continue;
                    };
                    let (peer, wait) = ((replica, addr), until.saturating_sub(now));
                    let client = self.clients.get(&request);
                    let token_aim = client.and_then(|c| c.token_aim);
                    let crosses =
                        self.directory.zone(replica) != Some(self.upstream.boot.scheduler.zone);
                    let crosses = client.map(|c| c.of).filter(|_| crosses);
                    let begun = Rc::new(Cell::new(false));
                    let told = begun.clone();
                    let job = AttemptRequest {
                        request,
                        attempt,
                        peer,
                        timeout: wait,
                        inter_token_objective: token_aim,
                        crosses,
                        payload,
                        has_begun: told,
                    };
                    let task =
                        tokio::task::spawn_local(self.upstream.clone().attempt(job)).abort_handle();
                    self.attempts.insert(
                        (request, attempt),
                        InFlightAttempt {
                            replica,
                            begun,
                            task,
                        },
                    );
                }
                RouterCommand::AbandonAttempt { request, attempt } => {
                    if let Some(outgoing) = self.attempts.remove(&(request, attempt)) {
                        outgoing.task.abort();
                    }
                }
                RouterCommand::BindStream { request, .. } => {
                    if let (Some(client), Some((content_type, replica, body))) =
                        (self.clients.remove(&request), self.offered.take())
                    {
                        let _ = client.answer.send(ClientResponse::Stream {
                            content_type,
                            replica,
                            chunks: body,
                        });
                    }
                }
                RouterCommand::Reject {
                    request,
                    retry_after,
                } => {
                    self.answer(request, ClientResponse::Rejected(retry_after));
                }
                RouterCommand::Fail { request } => self.answer(request, ClientResponse::Failed),
                RouterCommand::Probe { replica } => {
                    let addr = self.directory.addr(replica);
                    tokio::task::spawn_local(self.upstream.clone().probe(replica, addr));
                }
                RouterCommand::WatchEndpoints => self.watch.start(),
            }
        }
        if !self.commands.is_empty() {
            self.carry_out(now);
        }
    }

    /// Whether nobody waits for this request's answer any more. The client's departure may still be on its way behind
    /// other messages, and no attempt may begin meanwhile.
    fn has_left(&self, request: RequestId) -> bool {
        self.clients
            .get(&request)
            .is_some_and(|client| client.answer.is_closed())
    }

    fn answer(&mut self, request: RequestId, answer: ClientResponse) {
        if let Some(client) = self.clients.remove(&request) {
            let _ = client.answer.send(answer);
        }
    }
}

fn log_input(input: &RouterEvent) {
    match input {
        RouterEvent::RequestArrived(a) => {
            let (session, prefix) = (a.session, a.shared_prefix);
            let (prompt_tokens, prefix_tokens) = (a.prompt_tokens, a.shared_prefix_tokens);
            let (request, class, tenant) = (a.id, a.class, a.tenant);
            tracing::debug!(
                %request, class, tenant, session, prefix, prompt_tokens, prefix_tokens, "arrived"
            );
        }
        RouterEvent::ClientDisconnected(id) => tracing::debug!(request = %id, "client gone"),
        RouterEvent::FirstToken { request, attempt } => {
            tracing::debug!(%request, attempt, "first event");
        }
        RouterEvent::AttemptEnded {
            request,
            attempt,
            outcome,
            report,
        } => {
            tracing::debug!(%request, attempt, ?outcome, ?report, "ended");
        }
        RouterEvent::ProbeEnded {
            replica,
            outcome,
            report,
        } => {
            tracing::debug!(replica = %replica.0, ?outcome, ?report, "probed");
        }
        RouterEvent::EndpointsReplaced(list) => {
            tracing::debug!(entries = list.len(), full = true, "list");
        }
        RouterEvent::EndpointsChanged(list) => {
            tracing::debug!(entries = list.len(), full = false, "list");
        }
        RouterEvent::OutlierAdvice {
            replica,
            is_healthy: well,
        } => tracing::debug!(replica = %replica.0, well, "advised"),
        RouterEvent::EndpointListFailed => tracing::debug!("list failed"),
    }
}

fn log_command(command: &RouterCommand) {
    match command {
        RouterCommand::StartAttempt {
            request,
            attempt,
            replica,
            deadline: until,
        } => {
            tracing::debug!(%request, attempt, replica = %replica.0, until, "send");
        }
        RouterCommand::AbandonAttempt { request, attempt } => {
            tracing::debug!(%request, attempt, "abandon");
        }
        RouterCommand::BindStream { request, attempt } => {
            tracing::debug!(%request, attempt, "bind");
        }
        RouterCommand::Reject {
            request,
            retry_after,
        } => {
            tracing::debug!(%request, retry_after, "refuse");
        }
        RouterCommand::Fail { request } => tracing::debug!(%request, "fail"),
        RouterCommand::Probe { replica } => tracing::debug!(replica = %replica.0, "probe"),
        RouterCommand::WatchEndpoints => tracing::debug!("watch"),
    }
}
