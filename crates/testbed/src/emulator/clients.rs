//! Generates the load of a run: requests of tenants, in sessions of several turns.
//!
//! The load is an open loop: arrivals do not wait for answers, so an overloaded fleet does not receive fewer requests.
//! The emulator and the load generator on sockets both draw their requests from [`ClientPopulation`]. Each method draws
//! its random numbers in a fixed order, because the results of a seed depend on it.

use super::description::{ClassDescription, RunDescription};
use super::model_server::SharedPrefix;
use crate::Micros;
use rand::{Rng, RngExt};
use rand_distr::{Distribution, Exp1, LogNormal};
use std::collections::VecDeque;

/// A request of a client. Each client retry submits the same request again.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest {
    /// The index of its class.
    pub class: usize,
    /// The index of its tenant.
    pub tenant: usize,
    /// The id of its session.
    pub session: u64,
    /// The beginning of the prompt, which other sessions share.
    pub prefix: SharedPrefix,
    /// Prompt length in tokens, with the session's earlier turns and the shared prefix.
    pub prompt_tokens: u32,
    /// Answer length in tokens, drawn before the request is sent.
    pub answer_tokens: u32,
    /// When the client first sent it.
    pub first_sent_at: Micros,
    /// How often the client has sent it: 1 without client retries.
    pub submission_count: u32,
}

/// A session that waits for its next turn.
#[derive(Clone, Copy, Debug)]
struct IdleSession {
    id: u64,
    prefix_id: u64,
    /// Tokens of the conversation so far; the prompt of the next turn begins with them.
    tokens: u32,
}

struct TenantLoad {
    /// Arrivals per second.
    arrival_rate: f64,
    /// Multiplies `arrival_rate`; 1 except during a burst.
    burst_factor: f64,
    idle_sessions: VecDeque<IdleSession>,
}

/// A class and the end of its interval of cumulative weights, for weighted sampling.
struct WeightedClass {
    cumulative_weight: f64,
    description: ClassDescription,
}

/// All clients of a run.
pub struct ClientPopulation {
    tenants: Vec<TenantLoad>,
    classes: Vec<WeightedClass>,
    next_session: u64,
}

impl ClientPopulation {
    /// Creates the clients of a run, without sessions.
    pub fn new(run: &RunDescription) -> Self {
        let total_rate = run.load.per_server * run.fleet.servers as f64;
        let total_weight: f64 = run.tenant.iter().map(|tenant| tenant.part).sum();
        let mut tenants = Vec::with_capacity(run.tenant.len());
        for tenant in &run.tenant {
            tenants.push(TenantLoad {
                arrival_rate: total_rate * tenant.part / total_weight,
                burst_factor: 1.0,
                idle_sessions: VecDeque::new(),
            });
        }
        let mut cumulative_weight = 0.0;
        let mut classes = Vec::with_capacity(run.class.len());
        for class in &run.class {
            cumulative_weight += class.part;
            classes.push(WeightedClass {
                cumulative_weight,
                description: class.clone(),
            });
        }
        ClientPopulation {
            tenants,
            classes,
            next_session: 1,
        }
    }

    /// Draws the time until a tenant's next arrival; `None` if its rate is 0.
    pub fn draw_interarrival_time(&self, tenant: usize, rng: &mut impl Rng) -> Option<Micros> {
        let load = &self.tenants[tenant];
        let drawn: f64 = Exp1.sample(rng);
        let rate = load.arrival_rate * load.burst_factor;
        (rate > 0.0).then(|| (drawn / rate * 1e6) as Micros)
    }

    /// Multiplies a tenant's arrival rate from now on; a factor of 1 ends a burst.
    pub fn set_burst_factor(&mut self, tenant: usize, factor: f64) {
        self.tenants[tenant].burst_factor = factor;
    }

    /// Draws a tenant's next request: the next turn of an idle session, or the first of a new one.
    pub fn draw_request(
        &mut self,
        now: Micros,
        tenant: usize,
        run: &RunDescription,
        rng: &mut impl Rng,
    ) -> ClientRequest {
        let load = &run.load;
        let session = self.draw_session(tenant, run, rng);
        let class = self.draw_class(rng);
        let description = &self.classes[class].description;
        let new_tokens = draw_token_count(
            rng,
            description.prompt_tokens,
            description.prompt_sigma,
            load.most_prompt,
        );
        let answer_tokens = draw_token_count(
            rng,
            description.answer_tokens,
            description.answer_sigma,
            description.answer_limit,
        );
        let prompt_tokens = (session.tokens + new_tokens).min(load.most_prompt.max(1));
        let has_prefix = session.prefix_id > 0;
        let prefix = SharedPrefix {
            id: session.prefix_id,
            tokens: if has_prefix {
                load.prefix_tokens.min(prompt_tokens)
            } else {
                0
            },
        };
        ClientRequest {
            class,
            tenant,
            session: session.id,
            prefix,
            prompt_tokens,
            answer_tokens,
            first_sent_at: now,
            submission_count: 0,
        }
    }

    /// Ends a request. If its answer is complete, its session becomes idle and may continue with another turn. A tenant
    /// has at most `max_idle_sessions`; the session that has been idle the longest is dropped for a new one.
    pub fn finish_request(
        &mut self,
        request: &ClientRequest,
        is_complete: bool,
        max_idle_sessions: usize,
    ) {
        if !is_complete || max_idle_sessions == 0 {
            return;
        }
        let idle_sessions = &mut self.tenants[request.tenant].idle_sessions;
        if idle_sessions.len() >= max_idle_sessions {
            idle_sessions.pop_front();
        }
        idle_sessions.push_back(IdleSession {
            id: request.session,
            prefix_id: request.prefix.id,
            tokens: request.prompt_tokens + request.answer_tokens,
        });
    }

    fn draw_session(
        &mut self,
        tenant: usize,
        run: &RunDescription,
        rng: &mut impl Rng,
    ) -> IdleSession {
        let idle_sessions = &mut self.tenants[tenant].idle_sessions;
        let continues_session =
            !idle_sessions.is_empty() && rng.random::<f64>() >= run.load.new_sessions;
        if continues_session {
            let index = rng.random_range(0..idle_sessions.len());
            if let Some(session) = idle_sessions.swap_remove_back(index) {
                return session;
            }
        }
        self.start_session(run, rng)
    }

    fn start_session(&mut self, run: &RunDescription, rng: &mut impl Rng) -> IdleSession {
        let load = &run.load;
        self.next_session += 1;
        let prefix_id = if load.prefixes > 0 {
            rng.random_range(0..load.prefixes) as u64 + 1
        } else {
            0
        };
        IdleSession {
            id: self.next_session << 16,
            prefix_id,
            tokens: if prefix_id > 0 { load.prefix_tokens } else { 0 },
        }
    }

    /// Draws the index of a class by weight.
    fn draw_class(&self, rng: &mut impl Rng) -> usize {
        let total_weight = self
            .classes
            .last()
            .map_or(0.0, |class| class.cumulative_weight);
        let drawn = rng.random::<f64>() * total_weight;
        self.classes
            .iter()
            .position(|class| drawn < class.cumulative_weight)
            .unwrap_or(0)
    }
}

/// Draws a token count from a log-normal distribution and clamps it to the range from 1 to `max_tokens`.
fn draw_token_count(rng: &mut impl Rng, median: f64, sigma: f64, max_tokens: u32) -> u32 {
    let drawn = match LogNormal::new(median.max(1.0).ln(), sigma) {
        Ok(distribution) => distribution.sample(rng),
        Err(_) => median,
    };
    (drawn.round().max(1.0) as u32).min(max_tokens.max(1))
}
