//! What users would otherwise deploy: simple policies behind the same inputs and commands as the project's core. Each
//! sends at once, holds nothing back, tries again elsewhere where that is allowed, and leaves a server alone for a
//! while after failures in a row (as passive checks of common proxies do).

#![expect(
    clippy::min_ident_chars,
    clippy::single_match_else,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

use poppykeel::routing::{MonotonicMicros, RouterCommand, RouterEvent};
use poppykeel_scheduler::{
    AttemptOutcome, Endpoint, EndpointState, Idempotency, IncomingRequest, ReplicaId, RequestId,
    SchedulerSettings,
};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Failures in a row after which a server is left alone ...
const FAILURES: u32 = 3;
/// ... for so long; then requests come again, and the next failure counts anew.
const ALONE: MonotonicMicros = 10_000_000;
/// Points of each server on the ring of prefix-affine hashing.
const POINTS: u64 = 40;
/// No server holds more than so many times the mean (Mirrokni et al., "Consistent hashing with bounded loads", 2018).
const BOUND: f64 = 1.25;

/// The ways to choose a server.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// The project's own core and module.
    Poppykeel,
    /// Any.
    Random,
    /// One after the other.
    RoundRobin,
    /// The one with the fewest requests of this node under way.
    LeastOutstanding,
    /// The better of two at random by requests under way (Mitzenmacher, 2001).
    TwoChoices,
    /// The one that reported the fewest prompt tokens waiting.
    LeastReported,
    /// A session's own place on a ring, unless that holds too much.
    PrefixAffine,
}

impl Policy {
    /// All of them, the project's own first.
    pub const ALL: [Policy; 7] = [
        Policy::Poppykeel,
        Policy::Random,
        Policy::RoundRobin,
        Policy::LeastOutstanding,
        Policy::TwoChoices,
        Policy::LeastReported,
        Policy::PrefixAffine,
    ];
}

impl std::fmt::Display for Policy {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Policy::Poppykeel => "poppykeel",
            Policy::Random => "random",
            Policy::RoundRobin => "round-robin",
            Policy::LeastOutstanding => "least-outstanding",
            Policy::TwoChoices => "two-choices",
            Policy::LeastReported => "least-reported",
            Policy::PrefixAffine => "prefix-affine",
        })
    }
}

struct Peer {
    id: ReplicaId,
    up: bool,
    in_flight: u32,
    reported: f64,
    failures: u32,
    alone_until: MonotonicMicros,
}

struct Held {
    arrival: IncomingRequest,
    deadline: MonotonicMicros,
    attempts: u32,
    /// The attempt under way: its server and until when it is waited for.
    at: Option<(usize, MonotonicMicros)>,
    streaming: bool,
}

/// One node that goes by a simple policy.
pub struct Simple {
    policy: Policy,
    classes: Vec<Idempotency>,
    most_attempts: u32,
    peers: Vec<Peer>,
    places: HashMap<ReplicaId, usize>,
    ring: Vec<(u64, usize)>,
    held: BTreeMap<RequestId, Held>,
    timers: BTreeSet<(MonotonicMicros, RequestId)>,
    next: usize,
    rng: rand_pcg::Pcg64Mcg,
    in_flight: u64,
}

fn mix(x: u64) -> u64 {
    // The finalizer of SplitMix64.
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

impl Simple {
    /// A node that knows nobody yet.
    pub fn new(policy: Policy, settings: &SchedulerSettings, rng: rand_pcg::Pcg64Mcg) -> Self {
        Simple {
            policy,
            classes: settings.classes.iter().map(|c| c.idempotency).collect(),
            most_attempts: settings.limits.max_attempts as u32,
            peers: Vec::new(),
            places: HashMap::new(),
            ring: Vec::new(),
            held: BTreeMap::new(),
            timers: BTreeSet::new(),
            next: 0,
            rng,
            in_flight: 0,
        }
    }

    /// When `turn` must be called next.
    pub fn due(&self) -> Option<MonotonicMicros> {
        self.timers.first().map(|t| t.0)
    }

    /// Lets the timers run that are due.
    pub fn turn(&mut self, now: MonotonicMicros, out: &mut Vec<RouterCommand>) {
        while let Some((_, request)) = self.timers.first().copied().filter(|t| t.0 <= now) {
            self.timers.pop_first();
            if let Some(attempt) = self.held.get(&request).map(|h| h.attempts as usize - 1) {
                out.push(RouterCommand::AbandonAttempt { request, attempt });
                self.ended(now, request, attempt, AttemptOutcome::TimedOut, out);
            }
        }
    }

    /// Takes one event.
    pub fn handle(
        &mut self,
        now: MonotonicMicros,
        input: RouterEvent,
        out: &mut Vec<RouterCommand>,
    ) {
        match input {
            RouterEvent::RequestArrived(arrival) => {
                let id = arrival.id;
                let deadline = now + (arrival.time_left * 1e6) as MonotonicMicros;
                self.held.insert(
                    id,
                    Held {
                        arrival,
                        deadline,
                        attempts: 0,
                        at: None,
                        streaming: false,
                    },
                );
                self.send(now, id, None, out);
            }
            RouterEvent::ClientDisconnected(request) => {
                let attempt = self
                    .held
                    .get(&request)
                    .map_or(0, |h| h.attempts.saturating_sub(1) as usize);
                if self.free(request).is_some() {
                    out.push(RouterCommand::AbandonAttempt { request, attempt });
                }
                self.held.remove(&request);
            }
            RouterEvent::FirstToken { request, attempt } => {
                let Some(held) = self.held.get_mut(&request) else {
                    return;
                };
                if let Some((place, until)) = held.at {
                    held.streaming = true;
                    self.timers.remove(&(until, request));
                    self.peers[place].failures = 0;
                    out.push(RouterCommand::BindStream { request, attempt });
                }
            }
            RouterEvent::AttemptEnded {
                request,
                attempt,
                outcome,
                report,
            } => {
                let place = self.held.get(&request).and_then(|h| h.at).map(|at| at.0);
                if let (Some(place), Some(waiting)) =
                    (place, report.and_then(|r| r.queued_prompt_tokens))
                {
                    self.peers[place].reported = waiting;
                }
                self.ended(now, request, attempt, outcome, out);
            }
            RouterEvent::EndpointsReplaced(list) => self.list(list, true),
            RouterEvent::EndpointsChanged(list) => self.list(list, false),
            RouterEvent::ProbeEnded { .. }
            | RouterEvent::OutlierAdvice { .. }
            | RouterEvent::EndpointListFailed => {}
        }
    }

    fn list(&mut self, list: Vec<Endpoint>, full: bool) {
        if full {
            self.peers.iter_mut().for_each(|p| p.up = false);
        }
        for entry in list {
            let up = entry.state == EndpointState::Available;
            match self.places.get(&entry.id) {
                Some(place) => {
                    let peer = &mut self.peers[*place];
                    (peer.alone_until, peer.up) = (if peer.up { peer.alone_until } else { 0 }, up);
                }
                None => {
                    let place = self.peers.len();
                    self.places.insert(entry.id, place);
                    let id = entry.id;
                    let (in_flight, reported, failures, alone_until) = (0, 0.0, 0, 0);
                    self.peers.push(Peer {
                        id,
                        up,
                        in_flight,
                        reported,
                        failures,
                        alone_until,
                    });
                    let seed = mix(place as u64 + 1);
                    self.ring
                        .extend((0..POINTS).map(|n| (mix(seed ^ mix(n + 77)), place)));
                }
            }
        }
        self.ring.sort_unstable();
    }

    fn free(&mut self, request: RequestId) -> Option<usize> {
        let (place, until) = self.held.get_mut(&request)?.at.take()?;
        self.timers.remove(&(until, request));
        self.peers[place].in_flight -= 1;
        self.in_flight -= 1;
        Some(place)
    }

    fn ended(
        &mut self,
        now: MonotonicMicros,
        id: RequestId,
        attempt: usize,
        outcome: AttemptOutcome,
        out: &mut Vec<RouterCommand>,
    ) {
        if self
            .held
            .get(&id)
            .is_none_or(|h| h.attempts as usize != attempt + 1)
        {
            return;
        }
        let Some(place) = self.free(id) else { return };
        if matches!(
            outcome,
            AttemptOutcome::ConnectFailed
                | AttemptOutcome::ServerError
                | AttemptOutcome::TimedOut
                | AttemptOutcome::ConnectionReset
        ) {
            let peer = &mut self.peers[place];
            peer.failures += 1;
            if peer.failures >= FAILURES {
                (peer.failures, peer.alone_until) = (0, now + ALONE);
            }
        }
        let held = &self.held[&id];
        if held.streaming || outcome == AttemptOutcome::Completed {
            // A stream's end, whole or not, is its request's.
            self.held.remove(&id);
            return;
        }
        let harmless = matches!(
            outcome,
            AttemptOutcome::AtCapacity | AttemptOutcome::ConnectFailed
        ) || self.classes[held.arrival.class] == Idempotency::Idempotent;
        if harmless && held.attempts < self.most_attempts && now < held.deadline {
            return self.send(now, id, Some(place), out);
        }
        self.held.remove(&id);
        out.push(match outcome {
            AttemptOutcome::AtCapacity => RouterCommand::Reject {
                request: id,
                retry_after: 1_000_000,
            },
            _ => RouterCommand::Fail { request: id },
        });
    }

    fn send(
        &mut self,
        now: MonotonicMicros,
        request: RequestId,
        not: Option<usize>,
        out: &mut Vec<RouterCommand>,
    ) {
        let Some(place) = self.choose(now, request, not) else {
            self.held.remove(&request);
            return out.push(RouterCommand::Reject {
                request,
                retry_after: 1_000_000,
            });
        };
        let Some(held) = self.held.get_mut(&request) else {
            return;
        };
        let (attempt, until) = (held.attempts as usize, held.deadline);
        held.attempts += 1;
        held.at = Some((place, until));
        self.timers.insert((until, request));
        let peer = &mut self.peers[place];
        peer.in_flight += 1;
        self.in_flight += 1;
        out.push(RouterCommand::StartAttempt {
            request,
            attempt,
            replica: peer.id,
            deadline: until,
        });
    }

    fn choose(&mut self, now: MonotonicMicros, id: RequestId, not: Option<usize>) -> Option<usize> {
        // Where all are left alone, all are tried.
        let any = |alone: bool, p: &Peer| p.up && (alone || now >= p.alone_until);
        let well = self.peers.iter().any(|p| any(false, p));
        let count = self.peers.len();
        let fit = |place: usize, p: &Peer| any(!well, p) && (Some(place) != not || count == 1);
        let fits = |place: &usize| fit(*place, &self.peers[*place]);
        let rng = &mut self.rng;
        let mut draw = || -> Option<usize> {
            // Nearly always the first draw fits; where hardly any does, all are looked through.
            let quick = (0..8)
                .map(|_| rng.random_range(0..count.max(1)))
                .find(|p| *p < count && fits(p));
            quick.or_else(|| {
                let all: Vec<usize> = (0..count).filter(fits).collect();
                (!all.is_empty()).then(|| all[rng.random_range(0..all.len())])
            })
        };
        match self.policy {
            Policy::Poppykeel | Policy::Random => draw(),
            Policy::TwoChoices => {
                let (a, b) = (draw()?, draw()?);
                Some(if self.peers[a].in_flight <= self.peers[b].in_flight {
                    a
                } else {
                    b
                })
            }
            Policy::RoundRobin => {
                let place = (0..count).map(|n| (self.next + n) % count).find(fits)?;
                self.next = place + 1;
                Some(place)
            }
            Policy::LeastOutstanding => {
                // Begun at a random place, so that ties do not all go to the first.
                let from = rng.random_range(0..count.max(1));
                let all = (0..count).map(|n| (from + n) % count).filter(fits);
                all.min_by_key(|p| self.peers[*p].in_flight)
            }
            Policy::LeastReported => {
                let from = rng.random_range(0..count.max(1));
                let all = (0..count).map(|n| (from + n) % count).filter(fits);
                all.min_by(|a, b| self.peers[*a].reported.total_cmp(&self.peers[*b].reported))
            }
            Policy::PrefixAffine => {
                let arrival = &self.held.get(&id)?.arrival;
                let point = mix(arrival.session.unwrap_or(arrival.id.0));
                let from = self.ring.partition_point(|p| p.0 < point);
                let up = self.peers.iter().filter(|p| p.up).count().max(1);
                let most = (BOUND * (self.in_flight + 1) as f64 / up as f64).ceil() as u32;
                let order = (0..self.ring.len()).map(|n| self.ring[(from + n) % self.ring.len()].1);
                let mut order = order.filter(fits).take(4 * count.max(16));
                let first = order.next()?;
                if self.peers[first].in_flight < most {
                    return Some(first);
                }
                order
                    .find(|p| self.peers[*p].in_flight < most)
                    .or(Some(first))
            }
        }
    }
}
