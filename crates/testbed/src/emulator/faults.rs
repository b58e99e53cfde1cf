//! What goes wrong in a run, and how it ends.

#![expect(
    clippy::min_ident_chars,
    clippy::needless_pass_by_value,
    clippy::redundant_closure_for_method_calls,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

use super::description::{FaultDescription, FaultKind};
use super::measure::RequestEnd;
use super::server::AttemptKey;
use super::world::{micros, Event, Simulation, Word};
use crate::Micros;
use poppykeel_scheduler::EndpointState;
use std::ops::Range;

/// A server that ends is started again after so long, where the fault does not say when.
const RESTART: Micros = 1_000_000;
/// A fault of stalls lets servers stand still once in each such span.
const STALLS: Micros = 2_000_000;

impl Simulation<'_> {
    fn befallen(&self, fault: &FaultDescription) -> Range<usize> {
        0..((self.places.len() as f64 * fault.part).ceil() as usize).min(self.places.len())
    }

    pub(super) fn goes_wrong(&mut self, now: Micros, event: Event) {
        match event {
            Event::Fault { fault, begins } => self.fault(now, fault, begins),
            Event::Stall { fault, until } => self.stalls(now, fault, until),
            Event::Restart { server } => self.start(now, server as usize),
            Event::Wave { fault, from } => self.wave(now, fault, from),
            _ => {}
        }
    }

    fn fault(&mut self, now: Micros, number: usize, begins: bool) {
        let run = self.run;
        let fault = &run.fault[number];
        let until = micros(fault.at_s + fault.for_s);
        let all = self.befallen(fault);
        match (fault.what, begins) {
            (FaultKind::Die, true) => all.for_each(|s| self.end(now, s)),
            (FaultKind::Die, false) => all.for_each(|s| self.start(now, s)),
            (FaultKind::ColdRestart, true) => {
                for server in all {
                    self.end(now, server);
                    self.queue.put(
                        now + RESTART,
                        Event::Restart {
                            server: server as u32,
                        },
                    );
                }
            }
            (FaultKind::Silent, true) => all.for_each(|s| self.stall(now, s, until)),
            (FaultKind::Stall, true) => self.stalls(now, number, until),
            (FaultKind::FailFast, on) => all.for_each(|s| self.places[s].failing = on),
            (FaultKind::LateReports, on) => all.for_each(|s| self.places[s].frozen = on),
            (FaultKind::Slow, on) => {
                for server in all {
                    self.places[server]
                        .server
                        .slow(now, if on { fault.size } else { 1.0 });
                    self.plan(server as u32);
                }
            }
            (FaultKind::Burst, on) => self
                .clients
                .burst(fault.tenant, if on { fault.size } else { 1.0 }),
            (FaultKind::ZoneCut, true) => {
                self.cut = Some(fault.zone);
                self.lose_across(now);
            }
            (FaultKind::ZoneCut, false) => self.cut = None,
            (FaultKind::NoList, true) => self.no_list = true,
            (FaultKind::NoList, false) => {
                self.no_list = false;
                // Nodes ask anew and hear of all that they have missed.
                (0..self.nodes.len()).for_each(|n| self.whole_list(n));
            }
            (FaultKind::NodeKill, on) => {
                let count =
                    ((self.nodes.len() as f64 * fault.part).ceil() as usize).min(self.nodes.len());
                for node in 0..count {
                    if on {
                        self.kill(now, node);
                    } else {
                        self.node_up(node);
                    }
                }
            }
            (FaultKind::Deploys, true) => self.wave(now, number, 0),
            (
                FaultKind::Silent | FaultKind::Stall | FaultKind::ColdRestart | FaultKind::Deploys,
                false,
            ) => {}
        }
    }

    /// A server's process ends: its connections are reset.
    fn end(&mut self, now: Micros, server: usize) {
        if !std::mem::replace(&mut self.places[server].up, false) {
            return;
        }
        for key in self.places[server].server.crash() {
            self.say(
                now,
                key,
                Word::Ended(
                    key.1 as u8,
                    poppykeel_scheduler::AttemptOutcome::ConnectionReset,
                    None,
                ),
            );
        }
        self.plan(server as u32);
        let noticed = now + self.run.fleet.notice_ms * 1000;
        self.list(noticed, server, EndpointState::Removed);
    }

    fn start(&mut self, now: Micros, server: usize) {
        let place = &mut self.places[server];
        if std::mem::replace(&mut place.up, true) {
            return;
        }
        place.born = Some(now);
        place.server.start(now);
        self.list(now, server, EndpointState::Available);
    }

    fn stall(&mut self, now: Micros, server: usize, until: Micros) {
        self.places[server].server.stall(now, until);
        self.plan(server as u32);
        let limit = micros(self.run.fleet.silence_s);
        if until > now + limit {
            // What has begun is given up by its nodes after the limit.
            let streaming: Vec<AttemptKey> = self.places[server].server.streaming().collect();
            for (id, attempt) in streaming {
                self.queue.put(
                    now + limit,
                    Event::Silent {
                        id,
                        attempt: attempt as u8,
                    },
                );
            }
        }
    }

    fn stalls(&mut self, now: Micros, number: usize, until: Micros) {
        let run = self.run;
        let fault = &run.fault[number];
        for server in self.befallen(fault) {
            self.stall(now, server, (now + micros(fault.size)).min(until));
        }
        if now + STALLS < until {
            self.queue.put(
                now + STALLS,
                Event::Stall {
                    fault: number,
                    until,
                },
            );
        }
    }

    /// A node gives up a stream that has been silent for its limit.
    pub(super) fn silent(&mut self, now: Micros, id: u64, attempt: u8) {
        let Some(t) = self.find(id) else { return };
        let node = t.node;
        let Some(a) = t
            .attempts
            .get_mut(attempt as usize)
            .filter(|a| !a.over && a.streaming)
        else {
            return;
        };
        let server = a.server;
        // Whatever was on its way is no longer wanted.
        a.lost = true;
        let epoch = self.nodes[node as usize].epoch;
        let word = Word::Ended(attempt, poppykeel_scheduler::AttemptOutcome::TimedOut, None);
        self.queue.put(
            now,
            Event::AtNode {
                node,
                epoch,
                id,
                word,
            },
        );
        self.queue.put(
            now,
            Event::Cancel {
                server,
                key: (id, attempt as usize),
            },
        );
    }

    /// What is under way across the cut stays unheard of.
    fn lose_across(&mut self, now: Micros) {
        let limit = micros(self.run.fleet.silence_s);
        let mut across = Vec::new();
        for t in self.tries.iter().flatten() {
            let zone = self.nodes[t.node as usize].zone;
            for (n, a) in t.attempts.iter().enumerate().filter(|a| !a.1.over) {
                if self.is_cut(zone, self.places[a.server as usize].zone) {
                    across.push((t.id(), n, a.streaming));
                }
            }
        }
        for (id, attempt, streaming) in across {
            if let Some(a) = self.find(id).and_then(|t| t.attempts.get_mut(attempt)) {
                a.lost = true;
            }
            if streaming {
                self.queue.put(
                    now + limit,
                    Event::Silent {
                        id,
                        attempt: attempt as u8,
                    },
                );
            }
        }
    }

    /// A node's process ends with all that it had taken.
    fn kill(&mut self, now: Micros, node: usize) {
        let n = &mut self.nodes[node];
        if !std::mem::replace(&mut n.up, false) {
            return;
        }
        n.epoch += 1;
        self.leave(node);
        let held: Vec<u64> = self
            .tries
            .iter()
            .flatten()
            .filter(|t| t.node as usize == node)
            .map(|t| t.id())
            .collect();
        for id in held {
            let Some(t) = self.find(id) else { continue };
            let begun = t.begun();
            let mut left = Vec::new();
            for (n, a) in t.attempts.iter_mut().enumerate().filter(|a| !a.1.over) {
                a.over = true;
                left.push((a.server, n));
            }
            for (server, attempt) in left {
                self.queue.put(
                    now + self.run.fleet.near_us,
                    Event::Cancel {
                        server,
                        key: (id, attempt),
                    },
                );
            }
            self.final_word(
                now,
                id,
                if begun {
                    RequestEnd::Broken
                } else {
                    RequestEnd::Failed
                },
                100_000,
            );
            self.tidy(id);
        }
    }

    pub(super) fn node_up(&mut self, node: usize) {
        if self.nodes[node].up {
            return;
        }
        let epoch = self.nodes[node].epoch;
        if let Some(fresh) = self.renew(node) {
            self.nodes[node] = fresh;
            self.nodes[node].epoch = epoch;
            self.whole_list(node);
            self.join(node);
        }
    }

    /// Drains the next servers and starts the ones before them anew.
    fn wave(&mut self, now: Micros, number: usize, from: usize) {
        let run = self.run;
        let fault = &run.fault[number];
        let size = self.befallen(fault).len().max(1);
        let count = self.places.len();
        let before = from.saturating_sub(size)..from;
        for server in before.filter(|s| *s < count) {
            self.end(now, server);
            self.queue.put(
                now + RESTART,
                Event::Restart {
                    server: server as u32,
                },
            );
        }
        for server in from..(from + size).min(count) {
            self.list(now, server, EndpointState::Draining);
        }
        if from < count {
            self.queue.put(
                now + micros(fault.size),
                Event::Wave {
                    fault: number,
                    from: from + size,
                },
            );
        }
    }
}
