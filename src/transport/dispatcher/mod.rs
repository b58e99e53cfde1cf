//! The loop round the core: it reads the clock once a turn, feeds what has come, and carries out commands.

#![expect(
    clippy::min_ident_chars,
    clippy::needless_pass_by_value,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

use crate::protocol::admin::Figures;
use crate::routing::directory::{Changed, Directory};
use crate::routing::{Command, Input, Micros, Router};
use crate::transport::clock::Clock;
use crate::transport::discovery::Watch;
use crate::transport::messages::{Answer, Asker, Crossed, Message, Payload, Piece, Replica, LIST};
use crate::transport::upstream::{Job, Upstream};
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
const SUMMARY: Micros = 10_000_000;

struct Client {
    payload: Rc<Payload>,
    /// The class's wish for the time between tokens, in microseconds.
    token_aim: Option<Micros>,
    /// Its class and its tenant.
    of: (usize, usize),
    answer: oneshot::Sender<Answer>,
}

/// Work on its way to a replica.
struct Outgoing {
    replica: ReplicaId,
    /// Something of it has been written, or may have been.
    begun: Rc<Cell<bool>>,
    task: AbortHandle,
}

/// The hub of one node.
pub struct Hub {
    clock: Clock,
    router: Router,
    directory: Directory,
    upstream: Upstream,
    watch: Watch,
    clients: HashMap<RequestId, Client>,
    /// Who has asked for which request; those of requests that are over are forgotten now and then.
    askers: HashMap<RequestId, Asker>,
    attempts: HashMap<(RequestId, usize), Outgoing>,
    /// A stream whose first event is being told to the core.
    offered: Option<(String, ReplicaId, mpsc::Receiver<Piece>)>,
    commands: Vec<Command>,
}

impl Hub {
    /// A hub round a core. `known` is the list as the node last had it.
    pub fn new(
        clock: Clock,
        router: Router,
        directory: Directory,
        upstream: Upstream,
        watch: Watch,
        known: Option<Told>,
    ) -> Self {
        let (clients, askers, attempts, offered, commands) = Default::default();
        let mut hub = Hub {
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
        hub.router.handle(
            now,
            Input::List {
                list: Vec::new(),
                full: false,
            },
            &mut hub.commands,
        );
        if let Some(told) = known {
            hub.take(now, Message::Told { source: LIST, told });
        }
        hub
    }

    /// Runs until every driver is gone.
    pub async fn run(mut self, mut told: mpsc::Receiver<Message>) {
        let mut turn = Vec::with_capacity(TURN);
        let mut summary_at = SUMMARY;
        loop {
            let due = self
                .router
                .due()
                .into_iter()
                .chain(self.directory.due())
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
            if self.directory.due().is_some_and(|at| at <= now) {
                let list = self.directory.turn(self.clock.moment());
                self.list(now, "time", list);
            }
            self.router.turn(now, &mut self.commands);
            self.carry_out(now);
            if now >= summary_at {
                summary_at = now + SUMMARY;
                self.sum_up();
            }
        }
    }

    fn take(&mut self, now: Micros, message: Message) {
        let input = match message {
            Message::Input(input) => input,
            Message::Request {
                arrival, answer, ..
            } if self.router.is_live(arrival.id) => {
                let _ = answer.send(Answer::Duplicate);
                return;
            }
            Message::Request {
                arrival, answer, ..
            } if answer.is_closed() => {
                return tracing::debug!(request = %arrival.id, "its client left while it waited to be taken");
            }
            Message::Request {
                arrival,
                payload,
                answer,
                asker,
            } => {
                self.remember(arrival.id, asker);
                let class = self.upstream.boot.scheduler.classes.get(arrival.class);
                let token_aim = class
                    .map(|c| c.inter_token_objective * 1e6)
                    .filter(|aim| aim.is_finite());
                let token_aim = token_aim.map(|aim| aim as Micros);
                let of = (arrival.class, arrival.tenant);
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
                Input::Arrived(arrival)
            }
            Message::Left { request, asker } if self.askers.get(&request) == Some(&asker) => {
                Input::ClientGone(request)
            }
            Message::Left { request, .. } => {
                return tracing::debug!(%request, "a client has left whose request this is not");
            }
            Message::Crossings(told) => {
                let crossings = self.upstream.crossings.borrow();
                let _ = told.send(crossings.by_minute().map(|row| self.named(row)).collect());
                return;
            }
            Message::Learned(told) => {
                let _ = told.send(self.router.memory());
                return;
            }
            Message::Recall(memory) => return self.router.recall(&memory),
            Message::Figures(figures) => {
                let _ = figures.send(self.figures());
                return;
            }
            Message::Allow(allowed) => {
                self.watch.allow(&allowed);
                return self.router.allow(&allowed);
            }
            Message::Wanted(told) => {
                // Calls for the list are the watch's to count.
                let mut wanted = self.router.wanted();
                wanted.extend(self.watch.wanted());
                let _ = told.send(wanted);
                return;
            }
            Message::Replicas(told) => {
                let all =
                    self.router
                        .standings()
                        .into_iter()
                        .filter_map(|(id, ejected, well_since)| {
                            Some((
                                self.directory.name(id)?.to_string(),
                                Replica {
                                    ejected,
                                    well_since,
                                },
                            ))
                        });
                let _ = told.send(all.collect());
                return;
            }
            Message::Advice(advice) => {
                // A name that is not on this node's list adds nothing.
                for (replica, ..) in self.router.standings() {
                    let verdict = advice
                        .iter()
                        .find(|(name, _)| self.directory.name(replica) == Some(name));
                    if let Some((_, well)) = verdict {
                        let input = Input::Advised {
                            replica,
                            well: *well,
                        };
                        log_input(&input);
                        self.router.handle(now, input, &mut self.commands);
                    }
                }
                return self.carry_out(now);
            }
            Message::Settings(boot, done) => {
                match self.router.resettle(boot.scheduler.clone()) {
                    Ok(()) => self.upstream.boot = boot,
                    Err(e) => tracing::error!(why = %e, "settings kept as they were"),
                }
                let _ = done.send(());
                return;
            }
            Message::AnswerAllWithin(span) => {
                return self
                    .router
                    .answer_all_by(now.saturating_add(span.as_micros() as Micros));
            }
            Message::SumUp(done) => {
                self.sum_up();
                let _ = done.send(());
                return;
            }
            Message::First {
                request,
                attempt,
                content_type,
                replica,
                body,
            } => {
                self.offered = Some((content_type, replica, body));
                Input::First { request, attempt }
            }
            Message::Told { source, told } => {
                let failed = told == Told::Failed;
                let list = self.directory.told(source, told, self.clock.moment());
                self.list(now, source, list);
                // The module says when discovery is asked again; other sources see to that themselves.
                if !(failed && source == LIST) {
                    return;
                }
                Input::ListFailed
            }
            Message::Members(members) => {
                let list = self.directory.set(members, self.clock.moment());
                return self.list(now, "settings", list);
            }
        };
        match &input {
            Input::ClientGone(id) => drop(self.clients.remove(id)),
            Input::Ended {
                request, attempt, ..
            } => drop(self.attempts.remove(&(*request, *attempt))),
            _ => {}
        }
        log_input(&input);
        self.router.handle(now, input, &mut self.commands);
        self.carry_out(now);
        self.offered = None;
    }

    /// Tells the core what has changed in the list, and the log why.
    fn list(&mut self, now: Micros, source: &str, list: Vec<Changed>) {
        if list.is_empty() {
            return;
        }
        for Changed { listing, name } in &list {
            tracing::info!(source, replica = %listing.id.0, name, state = ?listing.state, "list changed");
        }
        let list: Vec<Endpoint> = list.into_iter().map(|c| c.listing).collect();
        let leaving = list
            .iter()
            .filter(|l| l.state != EndpointState::Available)
            .map(|l| l.id)
            .collect();
        self.router
            .handle(now, Input::List { list, full: false }, &mut self.commands);
        self.recall(now, leaving);
        self.carry_out(now);
    }

    /// Calls back what has not been written to replicas that leave: a connection that comes up late would carry it
    /// there long after they were to get nothing new. It has never run, and the module finds it another place. Probes
    /// are left alone: with their connection they take a quarter of a second at most.
    fn recall(&mut self, now: Micros, leaving: BTreeSet<ReplicaId>) {
        if leaving.is_empty() {
            return;
        }
        let unwritten = |o: &Outgoing| leaving.contains(&o.replica) && !o.begun.get();
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
            let input = Input::Ended {
                request,
                attempt,
                outcome,
                report: None,
            };
            self.router.handle(now, input, &mut self.commands);
        }
    }

    /// Keeps who has asked, and forgets the askers of requests that are over once they are the most.
    fn remember(&mut self, request: RequestId, asker: Asker) {
        if self.askers.len() > 2 * self.router.live() + FORGOTTEN_ASKERS {
            let router = &self.router;
            self.askers.retain(|request, _| router.is_live(*request));
        }
        self.askers.insert(request, asker);
    }

    fn figures(&self) -> Figures {
        // A class whose settings have changed has had several places.
        let mut replies: Vec<(String, [u64; 3])> = Vec::new();
        for (class, name) in self.upstream.boot.names.classes.iter().enumerate() {
            let counts = self.router.replies(class);
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
            concurrent: self.router.live(),
            targets: self.directory.listed(),
            targets_disabled: self.router.avoided(),
            crossings: self.crossings(),
            reloads: (0, 0),
            fleet: Vec::new(),
            attempt_ends: self.router.attempt_ends(),
            closes: Vec::new(),
        }
    }

    /// A row of the account of crossings with names in place of the module's numbers.
    fn named(&self, (minute, class, tenant, count): (u64, usize, usize, u64)) -> Crossed {
        let names = &self.upstream.boot.names;
        let name = |all: &[String], n: usize| all.get(n).cloned().unwrap_or_default();
        Crossed {
            minute,
            class: name(&names.classes, class),
            tenant: name(&names.tenants, tenant),
            count,
        }
    }

    /// Since the start, by class and tenant; a class whose settings have changed has had several places.
    fn crossings(&self) -> Vec<(String, String, u64)> {
        let mut sums: BTreeMap<(String, String), u64> = BTreeMap::new();
        for (class, tenant, count) in self.upstream.crossings.borrow().totals() {
            let row = self.named((0, class, tenant, count));
            *sums.entry((row.class, row.tenant)).or_default() += count;
        }
        sums.into_iter()
            .map(|((class, tenant), count)| (class, tenant, count))
            .collect()
    }

    fn sum_up(&self) {
        let (c, (window, out)) = (self.router.counts(), self.router.window());
        tracing::info!(
            uptime_s = self.clock.now() / 1_000_000,
            window = (window * 10.0).round() / 10.0,
            out,
            waiting = ?self.router.waiting(),
            live = self.router.live(),
            replicas = self.router.replicas(),
            connections = self.upstream.pool.open(),
            arrived = c.arrived,
            served = c.served,
            refused = c.refused,
            failed = c.failed,
            broken = c.broken,
            gone = c.gone,
            sent = c.sent,
            ends = ?c.ends,
            reports_passed_over = crate::protocol::report::passed_over(),
            "summary"
        );
        self.upstream
            .streams
            .log(|replica| self.directory.name(replica).map(String::from));
    }

    fn carry_out(&mut self, now: Micros) {
        for command in std::mem::take(&mut self.commands) {
            log_command(&command);
            match command {
                Command::Send { request, .. } if self.has_left(request) => {
                    self.clients.remove(&request);
                    self.router
                        .handle(now, Input::ClientGone(request), &mut self.commands);
                }
                Command::Send {
                    request,
                    attempt,
                    replica,
                    until,
                } => {
                    if let Some(after) = self.router.last_outcome(request) {
                        tracing::debug!(%request, attempt, replica = %replica.0, ?after, "retry");
                    }
                    let addr = self.directory.addr(replica);
                    let payload = self.clients.get(&request).map(|c| c.payload.clone());
                    let (Some(addr), Some(payload)) = (addr, payload) else {
                        // The list has lost it since: the attempt never left.
                        let outcome = AttemptOutcome::NotSent;
                        let input = Input::Ended {
                            request,
                            attempt,
                            outcome,
                            report: None,
                        };
                        self.router.handle(now, input, &mut self.commands);
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
                    let job = Job {
                        request,
                        attempt,
                        peer,
                        wait,
                        token_aim,
                        crosses,
                        payload,
                        begun: told,
                    };
                    let task =
                        tokio::task::spawn_local(self.upstream.clone().attempt(job)).abort_handle();
                    self.attempts.insert(
                        (request, attempt),
                        Outgoing {
                            replica,
                            begun,
                            task,
                        },
                    );
                }
                Command::Abandon { request, attempt } => {
                    if let Some(outgoing) = self.attempts.remove(&(request, attempt)) {
                        outgoing.task.abort();
                    }
                }
                Command::Bind { request, .. } => {
                    if let (Some(client), Some((content_type, replica, body))) =
                        (self.clients.remove(&request), self.offered.take())
                    {
                        let _ = client.answer.send(Answer::Stream {
                            content_type,
                            replica,
                            body,
                        });
                    }
                }
                Command::Refuse {
                    request,
                    retry_after,
                } => {
                    self.answer(request, Answer::Refused(retry_after));
                }
                Command::Fail { request } => self.answer(request, Answer::Failed),
                Command::Probe { replica } => {
                    let addr = self.directory.addr(replica);
                    tokio::task::spawn_local(self.upstream.clone().probe(replica, addr));
                }
                Command::Watch => self.watch.start(),
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

    fn answer(&mut self, request: RequestId, answer: Answer) {
        if let Some(client) = self.clients.remove(&request) {
            let _ = client.answer.send(answer);
        }
    }
}

fn log_input(input: &Input) {
    match input {
        Input::Arrived(a) => {
            let (session, prefix) = (a.session, a.shared_prefix);
            let (prompt_tokens, prefix_tokens) = (a.prompt_tokens, a.shared_prefix_tokens);
            let (request, class, tenant) = (a.id, a.class, a.tenant);
            tracing::debug!(
                %request, class, tenant, session, prefix, prompt_tokens, prefix_tokens, "arrived"
            );
        }
        Input::ClientGone(id) => tracing::debug!(request = %id, "client gone"),
        Input::First { request, attempt } => tracing::debug!(%request, attempt, "first event"),
        Input::Ended {
            request,
            attempt,
            outcome,
            report,
        } => {
            tracing::debug!(%request, attempt, ?outcome, ?report, "ended");
        }
        Input::Probed {
            replica,
            outcome,
            report,
        } => {
            tracing::debug!(replica = %replica.0, ?outcome, ?report, "probed");
        }
        Input::List { list, full } => tracing::debug!(entries = list.len(), full, "list"),
        Input::Advised { replica, well } => tracing::debug!(replica = %replica.0, well, "advised"),
        Input::ListFailed => tracing::debug!("list failed"),
    }
}

fn log_command(command: &Command) {
    match command {
        Command::Send {
            request,
            attempt,
            replica,
            until,
        } => {
            tracing::debug!(%request, attempt, replica = %replica.0, until, "send");
        }
        Command::Abandon { request, attempt } => {
            tracing::debug!(%request, attempt, "abandon");
        }
        Command::Bind { request, attempt } => tracing::debug!(%request, attempt, "bind"),
        Command::Refuse {
            request,
            retry_after,
        } => {
            tracing::debug!(%request, retry_after, "refuse");
        }
        Command::Fail { request } => tracing::debug!(%request, "fail"),
        Command::Probe { replica } => tracing::debug!(replica = %replica.0, "probe"),
        Command::Watch => tracing::debug!("watch"),
    }
}
