//! One node of the balancer: the project's core or a simple policy, and when it must be woken.

#![allow(clippy::wildcard_imports, reason = "not yet converted")]
#![expect(
    clippy::min_ident_chars,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

use super::description::{RepeatSafety, RunDescription};
use super::policies::{Policy, Simple};
use crate::Micros;
use poppykeel::routing::{RequestRouter, RouterCommand, RouterEvent};
use poppykeel_scheduler::Scheduler;
use poppykeel_scheduler::*;
use rand::SeedableRng;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

enum PolicyState {
    Core(Box<RequestRouter>),
    Simple(Box<Simple>),
}

/// A node.
pub struct Node {
    mind: PolicyState,
    /// Its zone.
    pub zone: usize,
    /// It serves.
    pub up: bool,
    /// Which of the processes in its place this is.
    pub epoch: u32,
    /// When it is woken next, as things stand.
    pub wakes: Option<Micros>,
    /// Servers that it has been told drain, and when.
    pub drains: Vec<Option<Micros>>,
}

/// A server's name for nodes.
pub fn name(server: usize) -> ReplicaId {
    ReplicaId(SocketAddr::from((
        Ipv4Addr::from(0x0a00_0000 + server as u32),
        8000,
    )))
}

/// The server of this name.
pub fn number(id: ReplicaId) -> usize {
    match id.0 {
        SocketAddr::V4(addr) => (addr.ip().to_bits() - 0x0a00_0000) as usize,
        SocketAddr::V6(_) => unreachable!("names are made by `name`"),
    }
}

/// What the module is told at its start.
pub fn settings(run: &RunDescription, me: usize) -> SchedulerSettings {
    let f = &run.fleet;
    let class = |c: &super::description::ClassDescription| RequestClass {
        priority_weight: c.worth,
        late_weight: c.late_worth,
        ttft_objective: c.aim_s,
        ttft_objective_per_prompt_token: 0.0,
        inter_token_objective: c.token_aim_s,
        ttft_objective_per_work_second: 0.0,
        idempotency: if c.repeats == RepeatSafety::Safe {
            Idempotency::Idempotent
        } else {
            Idempotency::NonIdempotent
        },
        streaming: true,
    };
    let shares: f64 = run.tenant.iter().map(|t| t.share).sum();
    let rate = run.load.per_server * f.servers as f64;
    let tenants = run.tenant.iter().map(|t| Tenant {
        quota: t.share,
        rate_limit: rate * t.share / shares,
    });
    SchedulerSettings {
        router_index: me,
        router_count: f.nodes,
        zone: me % f.zones,
        classes: run.class.iter().map(class).collect(),
        // One tenant is none to the module: there is nobody to be fair to.
        tenants: if run.tenant.len() > 1 {
            tenants.collect()
        } else {
            Vec::new()
        },
        over_quota_weight: 1.0,
        limits: SiteLimits {
            allows_probes: f.probes,
            allows_cancellation: true,
            allows_hedging: f.second_copies,
            max_attempts: f.attempts,
            max_retry_after: run.load.heeds_s,
        },
        costs: CostWeights {
            cross_zone: 0.0,
            probe: 0.0,
            waste: 0.0,
        },
        load_report_source: LoadReportSource::Inline,
        lifecycle: LifecycleRules {
            drain_grace: 0.5,
            slow_start_initial_fraction: f.server.cold_from,
            slow_start_duration: f.server.cold_s,
            overload_factor: 3.0,
            overload_window: 2.0,
            poll_interval: 0.1,
        },
        endpoint_list_mode: EndpointListMode::Pushed,
    }
}

impl Node {
    /// A node that knows no server yet.
    pub fn new(run: &RunDescription, me: usize, policy: Policy, seed: u64) -> Result<Node, String> {
        let settings = settings(run, me);
        settings.check().map_err(|e| e.to_string())?;
        let zone = settings.zone;
        let mind = match policy {
            Policy::Poppykeel => {
                let brain = Scheduler::new(settings, seed).map_err(|e| e.to_string())?;
                PolicyState::Core(Box::new(RequestRouter::new(brain)))
            }
            other => {
                let rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
                PolicyState::Simple(Box::new(Simple::new(other, &settings, rng)))
            }
        };
        Ok(Node {
            mind,
            zone,
            up: true,
            epoch: 0,
            wakes: None,
            drains: vec![None; run.fleet.servers],
        })
    }

    /// Tells it something.
    pub fn handle(&mut self, now: Micros, input: RouterEvent, out: &mut Vec<RouterCommand>) {
        match &mut self.mind {
            PolicyState::Core(router) => router.handle_event(now, input, out),
            PolicyState::Simple(simple) => simple.handle(now, input, out),
        }
    }

    /// Lets its timers run.
    pub fn turn(&mut self, now: Micros, out: &mut Vec<RouterCommand>) {
        match &mut self.mind {
            PolicyState::Core(router) => router.on_timer(now, out),
            PolicyState::Simple(simple) => simple.turn(now, out),
        }
    }

    /// What the fleet allows it from now on.
    pub fn allow(&mut self, allowed: &BudgetGrants) {
        if let PolicyState::Core(router) = &mut self.mind {
            router.set_budget_grants(allowed);
        }
    }

    /// What it has wanted since its start of what the fleet has budgets for.
    pub fn wanted(&self) -> BTreeMap<BudgetKind, BudgetDemand> {
        match &self.mind {
            PolicyState::Core(router) => router.budget_demand(),
            PolicyState::Simple(_) => BTreeMap::new(),
        }
    }

    /// Requests that wait in it, by tenant.
    pub fn waiting(&self) -> Vec<usize> {
        match &self.mind {
            PolicyState::Core(router) => router.gauges().queued_by_tenant,
            PolicyState::Simple(_) => Vec::new(),
        }
    }

    /// When its timers want to run.
    pub fn due(&self) -> Option<Micros> {
        match &self.mind {
            PolicyState::Core(router) => router.next_timer(),
            PolicyState::Simple(simple) => simple.due(),
        }
    }
}
