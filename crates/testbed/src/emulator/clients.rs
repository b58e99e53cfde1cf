//! Who asks: tenants with sessions, turn after turn. Arrivals do not wait for answers (an open loop), so an
//! overloaded fleet is not asked for less.

#![expect(clippy::min_ident_chars, reason = "not yet converted")]

use super::description::{ClassDescription, RunDescription};
use crate::Micros;
use rand::{Rng, RngExt};
use rand_distr::{Distribution, Exp1, LogNormal};
use std::collections::VecDeque;

/// A request as its client knows it, over all its tries.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest {
    /// Its class.
    pub class: usize,
    /// Its tenant.
    pub tenant: usize,
    /// Its session.
    pub session: u64,
    /// The beginning shared with other sessions, and its tokens.
    pub prefix: (u64, u32),
    /// Prompt tokens.
    pub prompt: u32,
    /// Tokens that the answer will have.
    pub answer: u32,
    /// Its first try's time.
    pub sent: Micros,
    /// Tries so far.
    pub tries: u32,
}

/// A session whose next turn may come.
#[derive(Clone, Copy, Debug)]
struct Session {
    id: u64,
    prefix: u64,
    tokens: u32,
}

struct Tenant {
    /// Arrivals a second.
    rate: f64,
    /// So many times as many now.
    burst: f64,
    idle: VecDeque<Session>,
}

/// All clients.
pub struct ClientPopulation {
    tenants: Vec<Tenant>,
    classes: Vec<(f64, ClassDescription)>,
    next: u64,
}

fn tokens(rng: &mut impl Rng, median: f64, sigma: f64, most: u32) -> u32 {
    let drawn = LogNormal::new(median.max(1.0).ln(), sigma).map_or(median, |d| d.sample(rng));
    (drawn.round().max(1.0) as u32).min(most.max(1))
}

impl ClientPopulation {
    /// The clients of a run.
    pub fn new(run: &RunDescription) -> Self {
        let rate = run.load.per_server * run.fleet.servers as f64;
        let parts: f64 = run.tenant.iter().map(|t| t.part).sum();
        let tenant = |part: f64| Tenant {
            rate: rate * part / parts,
            burst: 1.0,
            idle: VecDeque::new(),
        };
        let tenants = run.tenant.iter().map(|t| tenant(t.part)).collect();
        let mut sum = 0.0;
        let classes = run.class.iter().map(|c| {
            sum += c.part;
            (sum, c.clone())
        });
        ClientPopulation {
            classes: classes.collect(),
            tenants,
            next: 1,
        }
    }

    /// The time until a tenant's next arrival; none where it sends nothing.
    pub fn pause(&self, tenant: usize, rng: &mut impl Rng) -> Option<Micros> {
        let t = &self.tenants[tenant];
        let drawn: f64 = Exp1.sample(rng);
        (t.rate * t.burst > 0.0).then(|| (drawn / (t.rate * t.burst) * 1e6) as Micros)
    }

    /// A tenant sends so many times as much from now on.
    pub fn burst(&mut self, tenant: usize, factor: f64) {
        self.tenants[tenant].burst = factor;
    }

    /// A tenant's next request.
    pub fn ask(
        &mut self,
        now: Micros,
        tenant: usize,
        run: &RunDescription,
        rng: &mut impl Rng,
    ) -> ClientRequest {
        let load = &run.load;
        let idle = &mut self.tenants[tenant].idle;
        let goes_on = !idle.is_empty() && rng.random::<f64>() >= load.new_sessions;
        let session = if goes_on {
            let place = rng.random_range(0..idle.len());
            idle.swap_remove_back(place)
        } else {
            None
        };
        let session = session.unwrap_or_else(|| {
            self.next += 1;
            let prefix = if load.prefixes > 0 {
                rng.random_range(0..load.prefixes) as u64 + 1
            } else {
                0
            };
            Session {
                id: self.next << 16,
                prefix,
                tokens: if prefix > 0 { load.prefix_tokens } else { 0 },
            }
        });
        let drawn = rng.random::<f64>() * self.classes.last().map_or(0.0, |c| c.0);
        let class = self.classes.iter().position(|c| drawn < c.0).unwrap_or(0);
        let c = &self.classes[class].1;
        let fresh = tokens(rng, c.prompt_tokens, c.prompt_sigma, load.most_prompt);
        let answer = tokens(rng, c.answer_tokens, c.answer_sigma, c.answer_limit);
        let prompt = (session.tokens + fresh).min(load.most_prompt.max(1));
        let prefix = (
            session.prefix,
            if session.prefix > 0 {
                load.prefix_tokens.min(prompt)
            } else {
                0
            },
        );
        ClientRequest {
            class,
            tenant,
            session: session.id,
            prefix,
            prompt,
            answer,
            sent: now,
            tries: 0,
        }
    }

    /// A request is over; where it was whole, its session's next turn may come.
    pub fn over(&mut self, work: &ClientRequest, whole: bool, most: usize) {
        let idle = &mut self.tenants[work.tenant].idle;
        if whole && most > 0 {
            if idle.len() >= most {
                idle.pop_front();
            }
            idle.push_back(Session {
                id: work.session,
                prefix: work.prefix.0,
                tokens: work.prompt + work.answer,
            });
        }
    }
}
