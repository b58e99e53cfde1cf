//! The loop of a run: what happens next, and what follows from it.

#![expect(
    clippy::min_ident_chars,
    clippy::missing_errors_doc,
    clippy::struct_excessive_bools,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

use super::clients::{ClientPopulation, ClientRequest};
use super::description::{RepeatSafety, RunDescription};
use super::measure::{OutcomeRecorder, RequestEnd, RunOutcome};
use super::node::{name, number, Node};
use super::policies::Policy;
use super::queue::EventQueue;
use super::server::{AttemptKey, ModelServer, ReportedLoad, ServerJob, ServerOutput};
use super::together::{Talk, Together};
use super::trace::{AttemptTrace, RequestTrace, TraceWriter};
use crate::Micros;
use poppykeel::routing::{RouterCommand, RouterEvent};
use poppykeel_scheduler::{Endpoint, EndpointState, IncomingRequest, LoadReport, RequestId};
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, LogNormal};
use std::collections::HashMap;

/// After the last arrival a run goes on for so long at most, so that what is under way may end.
const AFTER: Micros = 60_000_000;
/// Without advice a client that was turned away or failed comes again after this.
const PAUSE: Micros = 500_000;

/// What a node is told.
#[derive(Clone, Copy, Debug)]
pub(super) enum Word {
    Arrived,
    Gone,
    First(u8),
    Ended(
        u8,
        poppykeel_scheduler::AttemptOutcome,
        Option<ReportedLoad>,
    ),
}

/// What a client is told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Told {
    First,
    Whole,
    Broken,
    Failed,
    Refused(Micros),
}

/// What happens.
#[derive(Debug)]
pub(super) enum Event {
    Turn {
        tenant: usize,
    },
    Again(Box<ClientRequest>),
    AtNode {
        node: u32,
        epoch: u32,
        id: u64,
        word: Word,
    },
    Wake {
        node: u32,
        epoch: u32,
    },
    Probed {
        node: u32,
        epoch: u32,
        server: u32,
        outcome: poppykeel_scheduler::AttemptOutcome,
        shown: Option<ReportedLoad>,
    },
    Listed {
        node: u32,
        epoch: u32,
        server: u32,
        state: EndpointState,
        born: Option<Micros>,
    },
    AtServer {
        server: u32,
        id: u64,
        attempt: u8,
    },
    Probe {
        node: u32,
        epoch: u32,
        server: u32,
    },
    Cancel {
        server: u32,
        key: AttemptKey,
    },
    Step {
        server: u32,
        stamp: u32,
    },
    AtClient {
        id: u64,
        told: Told,
    },
    GiveUp {
        id: u64,
    },
    Fault {
        fault: usize,
        begins: bool,
    },
    Stall {
        fault: usize,
        until: Micros,
    },
    Silent {
        id: u64,
        attempt: u8,
    },
    Restart {
        server: u32,
    },
    Wave {
        fault: usize,
        from: usize,
    },
    Talk {
        node: u32,
        start: u64,
        talk: Talk,
    },
    Look,
    Sample,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub(super) server: u32,
    /// The node has heard how it ended, or does not want to.
    pub(super) over: bool,
    /// The server has taken it.
    ran: bool,
    pub(super) streaming: bool,
    /// What the server says of it no longer arrives.
    pub(super) lost: bool,
}

/// One try of a client's request.
pub(super) struct Try {
    id: u64,
    work: ClientRequest,
    pub(super) node: u32,
    sent: Micros,
    pub(super) attempts: Vec<Attempt>,
    hops: Vec<AttemptTrace>,
    bound: Option<usize>,
    /// Its node has given its one final answer, or begun it.
    answered: bool,
    first: Option<Micros>,
    /// The client has its final answer.
    over: bool,
}

impl Try {
    pub(super) fn id(&self) -> u64 {
        self.id
    }

    /// Its client has seen a first token.
    pub(super) fn begun(&self) -> bool {
        self.first.is_some()
    }
}

pub(super) struct Place {
    pub(super) server: ModelServer,
    pub(super) zone: usize,
    /// Its process is there.
    pub(super) up: bool,
    pub(super) failing: bool,
    pub(super) frozen: bool,
    pub(super) born: Option<Micros>,
    pub(super) listed: EndpointState,
    shown: (Micros, ReportedLoad),
    /// Steps that were planned before count no longer.
    stamp: u32,
}

/// One run.
pub struct Simulation<'a> {
    pub(super) run: &'a RunDescription,
    policy: Policy,
    seed: u64,
    rng: rand_pcg::Pcg64Mcg,
    pub(super) queue: EventQueue<Event>,
    pub(super) clients: ClientPopulation,
    pub(super) nodes: Vec<Node>,
    pub(super) places: Vec<Place>,
    pub(super) tries: Vec<Option<Try>>,
    free: Vec<u32>,
    next: u64,
    /// Idle connections of a node to a server. Only looked up, never walked.
    idle: HashMap<(u32, u32), u16>,
    measure: OutcomeRecorder,
    pub(super) cut: Option<usize>,
    pub(super) no_list: bool,
    commands: Vec<RouterCommand>,
    said: Vec<ServerOutput>,
    trace: Option<TraceWriter>,
    events: u64,
    pub(super) together: Option<Box<Together>>,
}

impl<'a> Simulation<'a> {
    /// A world before its first moment; `run` has been checked.
    pub fn new(
        run: &'a RunDescription,
        policy: Policy,
        seed: u64,
    ) -> Result<Simulation<'a>, String> {
        let f = &run.fleet;
        let nodes = (0..f.nodes).map(|n| Node::new(run, n, policy, seed ^ ((n as u64 + 1) << 32)));
        let place = |n: usize| Place {
            server: ModelServer::new(f.server.clone()),
            zone: n % f.zones,
            up: true,
            failing: false,
            frozen: false,
            born: None,
            listed: EndpointState::Available,
            shown: (0, ReportedLoad::default()),
            stamp: 0,
        };
        let mut world = Simulation {
            run,
            policy,
            seed,
            rng: rand_pcg::Pcg64Mcg::seed_from_u64(seed),
            queue: EventQueue::default(),
            clients: ClientPopulation::new(run),
            nodes: nodes.collect::<Result<_, _>>()?,
            places: (0..f.servers).map(place).collect(),
            tries: Vec::new(),
            free: Vec::new(),
            next: 1,
            idle: HashMap::new(),
            measure: OutcomeRecorder::new(run),
            cut: None,
            no_list: false,
            commands: Vec::new(),
            said: Vec::new(),
            trace: None,
            events: 0,
            together: run
                .together
                .as_ref()
                .map(|t| Box::new(Together::new(t, f.nodes))),
        };
        (0..f.nodes).for_each(|node| world.join(node));
        for node in 0..f.nodes {
            world.whole_list(node);
        }
        for tenant in 0..run.tenant.len() {
            world.next_turn(tenant);
        }
        for (fault, f) in run.fault.iter().enumerate() {
            world.queue.put(
                micros(f.at_s),
                Event::Fault {
                    fault,
                    begins: true,
                },
            );
            world.queue.put(
                micros(f.at_s + f.for_s),
                Event::Fault {
                    fault,
                    begins: false,
                },
            );
        }
        world.queue.put(0, Event::Sample);
        Ok(world)
    }

    /// Writes every request's path there.
    pub fn trace(&mut self, trace: TraceWriter) {
        self.trace = Some(trace);
    }

    /// Time that has passed.
    pub fn now(&self) -> Micros {
        self.queue.now()
    }

    /// What has been measured so far.
    pub fn so_far(&mut self) -> &RunOutcome {
        self.measure.counts()
    }

    /// Tries that are not forgotten yet.
    pub fn held(&self) -> usize {
        self.tries.len() - self.free.len()
    }

    /// Requests that wait in nodes, by tenant; a simple policy holds none.
    pub fn waiting(&self) -> Vec<u64> {
        let mut all = vec![0; self.run.tenant.len()];
        for node in self.nodes.iter().filter(|n| n.up) {
            all.iter_mut()
                .zip(node.waiting())
                .for_each(|(sum, n)| *sum += n as u64);
        }
        all
    }

    /// For a view: each server's requests under way and waiting, whether it is there, and its state on the list.
    pub fn servers(&self) -> impl Iterator<Item = (usize, usize, bool, EndpointState)> + '_ {
        self.places
            .iter()
            .map(|p| (p.server.load().0, p.server.load().1, p.up, p.listed))
    }

    /// Lets so many events happen at most; false once all is over.
    pub fn go(&mut self, events: u64) -> bool {
        let end = micros(self.run.load.seconds) + AFTER;
        for _ in 0..events {
            match self.queue.take() {
                Some((now, event)) if now <= end => {
                    self.events += 1;
                    self.happen(now, event);
                }
                _ => return false,
            }
        }
        true
    }

    /// Runs to the end.
    pub fn finish(mut self) -> Result<RunOutcome, String> {
        while self.go(1 << 20) {}
        let open = self.tries.iter().flatten().filter(|t| !t.over).count() as u64;
        let talked = self.talked();
        let preempted = self.places.iter().map(|p| p.server.preempted).sum();
        let out = self.measure.counts();
        out.broken.lost = open;
        out.preempted = preempted;
        out.talked = talked;
        if let Some(trace) = self.trace {
            trace.finish()?;
        }
        Ok(self.measure.done(self.events))
    }

    fn happen(&mut self, now: Micros, event: Event) {
        match event {
            Event::Turn { tenant } => {
                if now < micros(self.run.load.seconds) {
                    let work = self.clients.ask(now, tenant, self.run, &mut self.rng);
                    self.send_try(now, work);
                    self.next_turn(tenant);
                }
            }
            Event::Again(work) => self.send_try(now, *work),
            Event::AtNode {
                node,
                epoch,
                id,
                word,
            } => self.at_node(now, node, epoch, id, word),
            Event::Wake { node, epoch } => {
                let n = &mut self.nodes[node as usize];
                if n.epoch == epoch && n.up {
                    n.wakes = None;
                    n.turn(now, &mut self.commands);
                    self.carry_out(now, node);
                }
            }
            Event::Probed {
                node,
                epoch,
                server,
                outcome,
                shown,
            } => {
                let input = RouterEvent::ProbeEnded {
                    replica: name(server as usize),
                    outcome,
                    report: shown.map(report),
                };
                self.tell(now, node, epoch, input);
            }
            Event::Listed {
                node,
                epoch,
                server,
                state,
                born,
            } => {
                let drains = state == EndpointState::Draining;
                if self.nodes[node as usize].epoch == epoch {
                    self.nodes[node as usize].drains[server as usize] = drains.then_some(now);
                }
                let list = vec![self.listing(server as usize, state, born)];
                self.tell(now, node, epoch, RouterEvent::EndpointsChanged(list));
            }
            Event::AtServer {
                server,
                id,
                attempt,
            } => self.at_server(now, server, id, attempt),
            Event::Probe {
                node,
                epoch,
                server,
            } => self.probed(now, node, epoch, server),
            Event::Cancel { server, key } => {
                self.places[server as usize].server.cancel(now, key);
                self.plan(server);
            }
            Event::Step { server, stamp } => self.step(now, server, stamp),
            Event::AtClient { id, told } => self.at_client(now, id, told),
            Event::GiveUp { id } => self.give_up(now, id),
            Event::Silent { id, attempt } => self.silent(now, id, attempt),
            Event::Talk { node, start, talk } => self.talk(now, node, start, talk),
            Event::Look => self.look_at_holders(now),
            Event::Sample => {
                let slots = self.run.fleet.server.slots;
                let loads = self
                    .places
                    .iter()
                    .map(|p| (p.server.load().0 + p.server.load().1, slots));
                self.measure.sample(now, loads, self.places.len());
                if now < micros(self.run.load.seconds) {
                    self.queue.put(now + self.measure.piece(), Event::Sample);
                }
            }
            Event::Fault { .. }
            | Event::Stall { .. }
            | Event::Restart { .. }
            | Event::Wave { .. } => {
                self.goes_wrong(now, event);
            }
        }
    }

    // Clients.

    fn next_turn(&mut self, tenant: usize) {
        if let Some(pause) = self.clients.pause(tenant, &mut self.rng) {
            self.queue
                .put(self.queue.now() + pause, Event::Turn { tenant });
        }
    }

    fn send_try(&mut self, now: Micros, mut work: ClientRequest) {
        work.tries += 1;
        let up: usize = self.nodes.iter().filter(|n| n.up).count();
        if up == 0 {
            // Nobody listens: refused connections are a failure at once.
            return self.over(now, &work, None, RequestEnd::Failed);
        }
        let place = self.rng.random_range(0..up);
        let node = self
            .nodes
            .iter()
            .enumerate()
            .filter(|n| n.1.up)
            .nth(place)
            .map_or(0, |n| n.0) as u32;
        let slot = self.free.pop().unwrap_or_else(|| {
            self.tries.push(None);
            self.tries.len() as u32 - 1
        });
        let id = self.next << 32 | u64::from(slot);
        self.next += 1;
        let deadline = micros(self.run.class[work.class].deadline_s);
        self.measure.counts().tries += 1;
        self.tries[slot as usize] = Some(Try {
            id,
            work,
            node,
            sent: now,
            attempts: Vec::new(),
            hops: Vec::new(),
            bound: None,
            answered: false,
            first: None,
            over: false,
        });
        let epoch = self.nodes[node as usize].epoch;
        let near = self.run.fleet.near_us;
        self.queue.put(
            now + near,
            Event::AtNode {
                node,
                epoch,
                id,
                word: Word::Arrived,
            },
        );
        self.queue.put(now + deadline, Event::GiveUp { id });
    }

    pub(super) fn find(&mut self, id: u64) -> Option<&mut Try> {
        self.tries
            .get_mut(id as u32 as usize)?
            .as_mut()
            .filter(|t| t.id == id)
    }

    fn at_client(&mut self, now: Micros, id: u64, told: Told) {
        // A client that has left hears nothing more.
        let Some(t) = self.find(id).filter(|t| !t.over) else {
            return;
        };
        match told {
            Told::First => {
                t.first.get_or_insert(now);
            }
            Told::Whole => self.final_word(now, id, RequestEnd::Good, 0),
            Told::Broken => self.final_word(now, id, RequestEnd::Broken, 0),
            Told::Failed => self.final_word(now, id, RequestEnd::Failed, PAUSE),
            Told::Refused(after) => self.final_word(now, id, RequestEnd::Refused, after),
        }
    }

    fn give_up(&mut self, now: Micros, id: u64) {
        let Some(t) = self.find(id).filter(|t| !t.over && t.first.is_none()) else {
            return;
        };
        let node = t.node;
        let epoch = self.nodes[node as usize].epoch;
        let near = self.run.fleet.near_us;
        self.queue.put(
            now + near,
            Event::AtNode {
                node,
                epoch,
                id,
                word: Word::Gone,
            },
        );
        self.final_word(now, id, RequestEnd::Left, 0);
    }

    /// The one place where a try ends for its client.
    pub(super) fn final_word(&mut self, now: Micros, id: u64, end: RequestEnd, after: Micros) {
        let Some(t) = self.find(id).filter(|t| !t.over) else {
            return;
        };
        t.over = true;
        let (work, first, sent, node) = (t.work.clone(), t.first, t.sent, t.node);
        let hops = std::mem::take(&mut t.hops);
        let load = &self.run.load;
        let again = match end {
            RequestEnd::Refused => work.tries <= load.retries && after <= micros(load.heeds_s),
            RequestEnd::Failed => {
                work.tries <= load.retries
                    && self.run.class[work.class].repeats == RepeatSafety::Safe
            }
            _ => false,
        };
        if let Some(trace) = &mut self.trace {
            let (class, tenant, session) = (work.class, work.tenant, work.session);
            let (tries, prompt, over) = (work.tries, work.prompt, now);
            let end = (!again).then_some(end);
            trace.add(&RequestTrace {
                id,
                class,
                tenant,
                session,
                tries,
                prompt,
                node,
                sent,
                first,
                over,
                end,
                hops: &hops,
            });
        }
        self.tidy(id);
        if again {
            // Spread over a tenth, so that those turned away together do not come back together.
            let spread = self.rng.random_range(0..=after / 10 + 1);
            self.queue
                .put(now + after + spread, Event::Again(Box::new(work)));
        } else {
            self.over(now, &work, first, end);
        }
    }

    fn over(&mut self, now: Micros, work: &ClientRequest, first: Option<Micros>, end: RequestEnd) {
        let class = &self.run.class[work.class];
        let whole = self.measure.end(class, work, now, first, end);
        self.clients.over(work, whole, self.run.load.sessions);
    }

    /// A try is forgotten once its client is answered and its node owes nothing for it.
    pub(super) fn tidy(&mut self, id: u64) {
        if self
            .find(id)
            .is_some_and(|t| t.over && t.attempts.iter().all(|a| a.over))
        {
            let slot = id as u32;
            self.tries[slot as usize] = None;
            self.free.push(slot);
        }
    }

    // Nodes.

    fn tell(&mut self, now: Micros, node: u32, epoch: u32, input: RouterEvent) {
        let n = &mut self.nodes[node as usize];
        if n.epoch == epoch {
            n.handle(now, input, &mut self.commands);
            self.carry_out(now, node);
        }
    }

    fn at_node(&mut self, now: Micros, node: u32, epoch: u32, id: u64, word: Word) {
        if self.nodes[node as usize].epoch != epoch {
            return;
        }
        let input = match word {
            Word::Arrived => {
                let run = self.run;
                let Some(t) = self.find(id).filter(|t| !t.over) else {
                    return;
                };
                let (work, sent) = (&t.work, t.sent);
                let class = &run.class[work.class];
                let time_left = class.deadline_s - (now - sent) as f64 / 1e6;
                RouterEvent::RequestArrived(IncomingRequest {
                    id: RequestId(id),
                    class: work.class,
                    tenant: work.tenant,
                    session: Some(work.session),
                    shared_prefix: Some(work.prefix.0).filter(|_| work.prefix.1 > 0),
                    time_left,
                    expected_work: None,
                    prompt_tokens: u64::from(work.prompt),
                    shared_prefix_tokens: u64::from(work.prefix.1),
                    max_output_tokens: u64::from(class.answer_limit),
                    is_client_retry: work.tries > 1,
                })
            }
            Word::Gone => {
                self.tell(
                    now,
                    node,
                    epoch,
                    RouterEvent::ClientDisconnected(RequestId(id)),
                );
                return self.tidy(id);
            }
            Word::First(attempt) => {
                let Some(t) = self.find(id) else { return };
                let Some(a) = t
                    .attempts
                    .get_mut(attempt as usize)
                    .filter(|a| !a.over && !a.lost)
                else {
                    return;
                };
                a.streaming = true;
                RouterEvent::FirstToken {
                    request: RequestId(id),
                    attempt: attempt as usize,
                }
            }
            Word::Ended(attempt, outcome, shown) => {
                let Some(t) = self.find(id) else { return };
                let place = attempt as usize;
                let Some(a) = t.attempts.get_mut(place).filter(|a| !a.over) else {
                    return;
                };
                a.over = true;
                let (server, streaming) = (a.server, a.streaming);
                if let Some(hop) = t.hops.get_mut(place) {
                    hop.ended = Some(words(outcome));
                }
                let bound = t.bound == Some(place);
                if outcome == poppykeel_scheduler::AttemptOutcome::Completed {
                    let idle = self.idle.entry((node, server)).or_default();
                    *idle = (*idle + 1).min(self.run.fleet.idle);
                }
                let report = shown.map(report);
                let request = RequestId(id);
                self.tell(
                    now,
                    node,
                    epoch,
                    RouterEvent::AttemptEnded {
                        request,
                        attempt: place,
                        outcome,
                        report,
                    },
                );
                if bound && streaming {
                    let told = if outcome == poppykeel_scheduler::AttemptOutcome::Completed {
                        Told::Whole
                    } else {
                        Told::Broken
                    };
                    self.queue
                        .put(now + self.run.fleet.near_us, Event::AtClient { id, told });
                }
                return self.tidy(id);
            }
        };
        self.tell(now, node, epoch, input);
    }

    fn carry_out(&mut self, now: Micros, node: u32) {
        let near = self.run.fleet.near_us;
        let mut commands = std::mem::take(&mut self.commands);
        for command in commands.drain(..) {
            match command {
                RouterCommand::StartAttempt {
                    request,
                    attempt,
                    replica,
                    ..
                } => {
                    self.send(now, node, request.0, attempt, number(replica) as u32);
                }
                RouterCommand::AbandonAttempt { request, attempt } => {
                    self.abandon(now, request.0, attempt);
                }
                RouterCommand::BindStream { request, attempt } => {
                    self.answered(request.0);
                    if let Some(t) = self.find(request.0) {
                        t.bound = Some(attempt);
                        self.queue.put(
                            now + near,
                            Event::AtClient {
                                id: request.0,
                                told: Told::First,
                            },
                        );
                    }
                }
                RouterCommand::Reject {
                    request,
                    retry_after,
                } => {
                    let told = Told::Refused(retry_after);
                    self.answered(request.0);
                    self.queue.put(
                        now + near,
                        Event::AtClient {
                            id: request.0,
                            told,
                        },
                    );
                }
                RouterCommand::Fail { request } => {
                    self.answered(request.0);
                    self.queue.put(
                        now + near,
                        Event::AtClient {
                            id: request.0,
                            told: Told::Failed,
                        },
                    );
                }
                RouterCommand::Probe { replica } => {
                    let server = number(replica) as u32;
                    self.measure.counts().probes += 1;
                    let way = self.way(
                        self.nodes[node as usize].zone,
                        self.places[server as usize].zone,
                    );
                    let epoch = self.nodes[node as usize].epoch;
                    self.queue.put(
                        now + way,
                        Event::Probe {
                            node,
                            epoch,
                            server,
                        },
                    );
                }
                RouterCommand::WatchEndpoints => {}
            }
        }
        self.commands = commands;
        let n = &mut self.nodes[node as usize];
        if let Some(due) = n
            .due()
            .filter(|due| n.wakes.is_none_or(|wakes| *due < wakes))
        {
            n.wakes = Some(due);
            self.queue.put(
                due,
                Event::Wake {
                    node,
                    epoch: n.epoch,
                },
            );
        }
    }

    /// A node's final answer to a try, or its beginning; a second one breaks the first rule.
    fn answered(&mut self, id: u64) {
        let again = self
            .find(id)
            .is_some_and(|t| std::mem::replace(&mut t.answered, true));
        self.measure.counts().broken.doubled += u64::from(again);
    }

    fn send(&mut self, now: Micros, node: u32, id: u64, attempt: usize, server: u32) {
        let f = &self.run.fleet;
        let n = &self.nodes[node as usize];
        let (from, epoch) = (n.zone, n.epoch);
        let place = &self.places[server as usize];
        let (to, up) = (place.zone, place.up);
        let grace = 500_000 + f.list_ms * 1000;
        let drained = n.drains[server as usize].is_some_and(|told| now > told + grace);
        let way = self.way(from, to);
        let cut = self.is_cut(from, to);
        let dial = micros(f.dial_s);
        let connect = 2 * way + f.connect_us;
        let idle = self.idle.entry((node, server)).or_default();
        let fresh = *idle == 0;
        *idle = idle.saturating_sub(1);
        let out = self.measure.counts();
        out.attempts += 1;
        out.crossed += u64::from(from != to);
        out.connected += u64::from(fresh);
        out.broken.drained += u64::from(drained);
        let run = self.run;
        let Some(t) = self.find(id) else { return };
        let unsafe_class = run.class[t.work.class].repeats == RepeatSafety::Unsafe;
        let again = unsafe_class && t.attempts.iter().any(|a| a.ran);
        t.attempts.push(Attempt {
            server,
            over: false,
            ran: false,
            streaming: false,
            lost: cut,
        });
        debug_assert_eq!(t.attempts.len(), attempt + 1);
        t.hops.push(AttemptTrace {
            server,
            sent: now,
            ended: None,
        });
        self.measure.counts().broken.repeated += u64::from(again);
        let attempt = attempt as u8;
        let failed = Word::Ended(
            attempt,
            poppykeel_scheduler::AttemptOutcome::ConnectFailed,
            None,
        );
        if cut {
            self.queue.put(
                now + dial,
                Event::AtNode {
                    node,
                    epoch,
                    id,
                    word: failed,
                },
            );
        } else if !up {
            self.idle.insert((node, server), 0);
            self.queue.put(
                now + 2 * way,
                Event::AtNode {
                    node,
                    epoch,
                    id,
                    word: failed,
                },
            );
        } else {
            let delay = way + if fresh { connect } else { 0 };
            self.queue.put(
                now + delay,
                Event::AtServer {
                    server,
                    id,
                    attempt,
                },
            );
        }
    }

    fn abandon(&mut self, now: Micros, id: u64, attempt: usize) {
        let Some(t) = self.find(id) else { return };
        let node = t.node;
        let Some(a) = t.attempts.get_mut(attempt).filter(|a| !a.over) else {
            return;
        };
        a.over = true;
        let server = a.server;
        let way = self.way(
            self.nodes[node as usize].zone,
            self.places[server as usize].zone,
        );
        self.queue.put(
            now + way,
            Event::Cancel {
                server,
                key: (id, attempt),
            },
        );
        self.tidy(id);
    }

    /// A node that has just started learns the whole list.
    pub(super) fn whole_list(&mut self, node: usize) {
        let now = self.queue.now();
        let all =
            (0..self.places.len()).filter(|s| self.places[*s].listed != EndpointState::Removed);
        let list: Vec<Endpoint> = all
            .map(|s| self.listing(s, self.places[s].listed, self.places[s].born))
            .collect();
        for (server, place) in self.places.iter().enumerate() {
            // Known since the first word of it, and no longer once the whole list says otherwise.
            let told = &mut self.nodes[node].drains[server];
            *told = (place.listed == EndpointState::Draining).then(|| told.unwrap_or(now));
        }
        let epoch = self.nodes[node].epoch;
        self.tell(
            now,
            node as u32,
            epoch,
            RouterEvent::EndpointsReplaced(list),
        );
    }

    fn listing(&self, server: usize, state: EndpointState, born: Option<Micros>) -> Endpoint {
        let zone = self.places[server].zone;
        let born = born.map(|b| b as f64 / 1e6);
        Endpoint {
            id: name(server),
            zone,
            cell: 0,
            host_type: 0,
            state,
            capacity_weight: Some(1.0),
            started_at: born,
        }
    }

    /// What the list says of a server from now on; nodes hear of it a little later.
    pub(super) fn list(&mut self, now: Micros, server: usize, state: EndpointState) {
        self.places[server].listed = state;
        if self.no_list {
            return;
        }
        let born = self.places[server].born;
        let at = now + self.run.fleet.list_ms * 1000;
        for (node, n) in self.nodes.iter().enumerate().filter(|n| n.1.up) {
            let (node, server) = (node as u32, server as u32);
            self.queue.put(
                at,
                Event::Listed {
                    node,
                    epoch: n.epoch,
                    server,
                    state,
                    born,
                },
            );
        }
    }

    pub(super) fn renew(&mut self, node: usize) -> Option<Node> {
        let epoch = self.nodes[node].epoch;
        let seed = self.seed ^ ((node as u64 + 1) << 32) ^ u64::from(epoch);
        Node::new(self.run, node, self.policy, seed).ok()
    }

    // Servers.

    pub(super) fn way(&self, from: usize, to: usize) -> Micros {
        if from == to {
            self.run.fleet.near_us
        } else {
            self.run.fleet.far_us
        }
    }

    pub(super) fn is_cut(&self, from: usize, to: usize) -> bool {
        from != to && self.cut.is_some_and(|zone| zone == from || zone == to)
    }

    /// Says something of an attempt to its node, unless the network is cut or the attempt is lost.
    pub(super) fn say(&mut self, now: Micros, key: AttemptKey, word: Word) {
        let Some(t) = self.find(key.0) else { return };
        let node = t.node;
        let Some(a) = t.attempts.get(key.1).filter(|a| !a.over && !a.lost) else {
            return;
        };
        let server = a.server;
        let (epoch, zone) = (
            self.nodes[node as usize].epoch,
            self.nodes[node as usize].zone,
        );
        let way = self.way(zone, self.places[server as usize].zone);
        self.queue.put(
            now + way,
            Event::AtNode {
                node,
                epoch,
                id: key.0,
                word,
            },
        );
    }

    fn at_server(&mut self, now: Micros, server: u32, id: u64, attempt: u8) {
        let key = (id, attempt as usize);
        let place = &self.places[server as usize];
        let (up, failing) = (place.up, place.failing);
        let Some(t) = self.find(id) else { return };
        let work = &t.work;
        let job = ServerJob {
            key,
            session: work.session,
            prefix: work.prefix,
            prompt: work.prompt,
            answer: work.answer,
        };
        let Some(a) = t.attempts.get_mut(key.1).filter(|a| !a.over && !a.lost) else {
            return;
        };
        if !up {
            return self.say(
                now,
                key,
                Word::Ended(
                    attempt,
                    poppykeel_scheduler::AttemptOutcome::ConnectFailed,
                    None,
                ),
            );
        }
        a.ran = true;
        if attempt > 0 {
            self.measure.counts().repeats += 1;
            self.repeated(now);
        }
        if failing {
            return self.say(
                now + 1000,
                key,
                Word::Ended(
                    attempt,
                    poppykeel_scheduler::AttemptOutcome::ServerError,
                    None,
                ),
            );
        }
        if self.places[server as usize].server.take(now, job) {
            self.plan(server);
        } else {
            if let Some(a) = self.find(id).and_then(|t| t.attempts.get_mut(key.1)) {
                a.ran = false;
            }
            let shown = self.show(now, server);
            self.say(
                now,
                key,
                Word::Ended(
                    attempt,
                    poppykeel_scheduler::AttemptOutcome::AtCapacity,
                    Some(shown),
                ),
            );
        }
    }

    fn probed(&mut self, now: Micros, node: u32, epoch: u32, server: u32) {
        let place = &self.places[server as usize];
        let zone = self.nodes[node as usize].zone;
        let (way, cut) = (self.way(zone, place.zone), self.is_cut(zone, place.zone));
        let (outcome, delay) = match (cut || place.server.stalled(now), place.up, place.failing) {
            (true, ..) => (poppykeel_scheduler::AttemptOutcome::TimedOut, 1_000_000),
            (_, false, _) => (poppykeel_scheduler::AttemptOutcome::ConnectFailed, way),
            (_, _, true) => (poppykeel_scheduler::AttemptOutcome::ServerError, way),
            _ => (poppykeel_scheduler::AttemptOutcome::Completed, way),
        };
        let shown = (outcome == poppykeel_scheduler::AttemptOutcome::Completed)
            .then(|| self.show(now, server));
        self.queue.put(
            now + delay,
            Event::Probed {
                node,
                epoch,
                server,
                outcome,
                shown,
            },
        );
    }

    /// A server's report: up to `report_ms` old, and off by the set noise.
    fn show(&mut self, now: Micros, server: u32) -> ReportedLoad {
        let f = &self.run.fleet;
        let place = &mut self.places[server as usize];
        if now - place.shown.0 >= f.report_ms * 1000 && !place.frozen {
            place.shown = (now, place.server.shown());
        }
        let shown = place.shown.1;
        if f.report_noise <= 0.0 {
            return shown;
        }
        let noise = LogNormal::new(0.0, f.report_noise).map_or(1.0, |d| d.sample(&mut self.rng));
        ReportedLoad {
            waiting: shown.waiting * noise,
            ..shown
        }
    }

    fn step(&mut self, now: Micros, server: u32, stamp: u32) {
        let place = &mut self.places[server as usize];
        if place.stamp != stamp {
            return;
        }
        let mut said = std::mem::take(&mut self.said);
        place.server.wake(now, &mut said);
        for (gap, count) in place.server.gaps() {
            self.measure.gap(gap, count);
        }
        for word in said.drain(..) {
            match word {
                ServerOutput::First(key) => self.say(now, key, Word::First(key.1 as u8)),
                ServerOutput::Done(key, kept) => {
                    if let Some(prompt) = self.find(key.0).map(|t| t.work.prompt) {
                        let out = self.measure.counts();
                        out.prompt = (
                            out.prompt.0 + u64::from(prompt),
                            out.prompt.1 + u64::from(kept),
                        );
                    }
                    let shown = self.show(now, server);
                    let word = Word::Ended(
                        key.1 as u8,
                        poppykeel_scheduler::AttemptOutcome::Completed,
                        Some(shown),
                    );
                    self.say(now, key, word);
                }
            }
        }
        self.said = said;
        self.plan(server);
    }

    /// Puts a server's next step on the calendar, in place of what was there.
    pub(super) fn plan(&mut self, server: u32) {
        let place = &mut self.places[server as usize];
        place.stamp += 1;
        if let Some(due) = place.server.due() {
            self.queue.put(
                due,
                Event::Step {
                    server,
                    stamp: place.stamp,
                },
            );
        }
    }
}

fn report(shown: ReportedLoad) -> LoadReport {
    LoadReport {
        queued_prompt_tokens: Some(shown.waiting),
        memory_utilization: Some(shown.memory),
        ..LoadReport::default()
    }
}

fn words(outcome: poppykeel_scheduler::AttemptOutcome) -> &'static str {
    use poppykeel_scheduler::AttemptOutcome;
    match outcome {
        AttemptOutcome::Completed => "served",
        AttemptOutcome::ServerError => "error",
        AttemptOutcome::AtCapacity => "full",
        AttemptOutcome::TimedOut => "timed-out",
        AttemptOutcome::ConnectFailed => "connect-failed",
        AttemptOutcome::ConnectionReset => "reset",
        AttemptOutcome::Cancelled => "cancelled",
        AttemptOutcome::NotSent => "moot",
        AttemptOutcome::InvalidRequest => "rejected",
    }
}

/// Seconds of a description as microseconds.
pub(super) fn micros(seconds: f64) -> Micros {
    (seconds.max(0.0) * 1e6).round() as Micros
}
