//! One emulated node: the project's own request router or a baseline policy, and the state of the node's process.
//!
//! The simulation passes events with their time to a node, executes the commands of the node and calls it when its next
//! timer is due.

use super::description::{ClassDescription, RepeatSafety, RunDescription};
use super::policies::{BaselinePolicy, Policy};
use crate::Micros;
use poppykeel::routing::{RequestRouter, RouterCommand, RouterEvent};
use poppykeel_scheduler::{
    BudgetDemand, BudgetGrants, BudgetKind, CostWeights, EndpointListMode, Idempotency,
    LifecycleRules, LoadReportSource, ReplicaId, RequestClass, Scheduler, SchedulerSettings,
    SettingsError, SiteLimits, Tenant,
};
use rand::SeedableRng;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

/// The address of the first server, 10.0.0.0; the others follow it.
const FIRST_SERVER_ADDRESS: u32 = 0x0a00_0000;
/// The port of every server.
const SERVER_PORT: u16 = 8000;

/// The policy of a node, with its state.
enum PolicyState {
    Router(Box<RequestRouter>),
    Baseline(Box<BaselinePolicy>),
}

/// A node. The simulation maintains its public fields.
pub struct Node {
    policy: PolicyState,
    /// The index of its zone.
    pub zone: usize,
    /// Whether its process is running.
    pub is_up: bool,
    /// The number of earlier processes of this node. Events for an earlier process are dropped.
    pub generation: u32,
    /// The earliest scheduled timer; `None` if none is scheduled.
    pub scheduled_timer: Option<Micros>,
    /// For each server, since when this node has known that it is draining; `None` if it is not.
    pub drain_known_since: Vec<Option<Micros>>,
}

/// The id of a server in the nodes' scheduler.
pub fn replica_id(server: usize) -> ReplicaId {
    let address = Ipv4Addr::from(FIRST_SERVER_ADDRESS + server as u32);
    ReplicaId(SocketAddr::from((address, SERVER_PORT)))
}

/// The index of the server with this id; the inverse of [`replica_id`].
pub fn server_index(id: ReplicaId) -> usize {
    match id.0 {
        SocketAddr::V4(address) => (address.ip().to_bits() - FIRST_SERVER_ADDRESS) as usize,
        SocketAddr::V6(_) => unreachable!("ids are made by `replica_id`"),
    }
}

/// The scheduler settings of a node. Nodes that serve on sockets are configured from them as well.
pub fn scheduler_settings(run: &RunDescription, node: usize) -> SchedulerSettings {
    let fleet = &run.fleet;
    SchedulerSettings {
        router_index: node,
        router_count: fleet.nodes,
        zone: node % fleet.zones,
        classes: run.class.iter().map(request_class).collect(),
        tenants: tenants(run),
        over_quota_weight: 1.0,
        limits: SiteLimits {
            allows_probes: fleet.probes,
            allows_cancellation: true,
            allows_hedging: fleet.second_copies,
            max_attempts: fleet.attempts,
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
            slow_start_initial_fraction: fleet.server.cold_from,
            slow_start_duration: fleet.server.cold_s,
            overload_factor: 3.0,
            overload_window: 2.0,
            poll_interval: 0.1,
        },
        endpoint_list_mode: EndpointListMode::Pushed,
    }
}

fn request_class(class: &ClassDescription) -> RequestClass {
    let idempotency = match class.repeats {
        RepeatSafety::Safe => Idempotency::Idempotent,
        RepeatSafety::Unsafe => Idempotency::NonIdempotent,
    };
    RequestClass {
        priority_weight: class.worth,
        late_weight: class.late_worth,
        ttft_objective: class.aim_s,
        ttft_objective_per_prompt_token: 0.0,
        inter_token_objective: class.token_aim_s,
        ttft_objective_per_work_second: 0.0,
        idempotency,
        streaming: true,
    }
}

/// The tenants with their quotas. A single tenant is left out, as there are no others to share with.
fn tenants(run: &RunDescription) -> Vec<Tenant> {
    if run.tenant.len() <= 1 {
        return Vec::new();
    }
    let total_quota: f64 = run.tenant.iter().map(|tenant| tenant.share).sum();
    let total_rate = run.load.per_server * run.fleet.servers as f64;
    let mut tenants = Vec::with_capacity(run.tenant.len());
    for tenant in &run.tenant {
        tenants.push(Tenant {
            quota: tenant.share,
            rate_limit: total_rate * tenant.share / total_quota,
        });
    }
    tenants
}

impl Node {
    /// Creates a node whose process has just started and has no endpoint list yet.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if the scheduler rejects the settings of the run.
    pub fn new(
        run: &RunDescription,
        node: usize,
        policy: Policy,
        seed: u64,
    ) -> Result<Node, SettingsError> {
        let settings = scheduler_settings(run, node);
        settings.check()?;
        let zone = settings.zone;
        let policy = if policy == Policy::Poppykeel {
            let scheduler = Scheduler::new(settings, seed)?;
            PolicyState::Router(Box::new(RequestRouter::new(scheduler)))
        } else {
            let rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
            PolicyState::Baseline(Box::new(BaselinePolicy::new(policy, &settings, rng)))
        };
        Ok(Node {
            policy,
            zone,
            is_up: true,
            generation: 0,
            scheduled_timer: None,
            drain_known_since: vec![None; run.fleet.servers],
        })
    }

    /// Handles one event and appends the resulting commands.
    pub fn handle_event(
        &mut self,
        now: Micros,
        event: RouterEvent,
        commands: &mut Vec<RouterCommand>,
    ) {
        match &mut self.policy {
            PolicyState::Router(router) => router.handle_event(now, event, commands),
            PolicyState::Baseline(baseline) => baseline.handle_event(now, event, commands),
        }
    }

    /// Runs the timers that are due and appends the resulting commands.
    pub fn on_timer(&mut self, now: Micros, commands: &mut Vec<RouterCommand>) {
        match &mut self.policy {
            PolicyState::Router(router) => router.on_timer(now, commands),
            PolicyState::Baseline(baseline) => baseline.on_timer(now, commands),
        }
    }

    /// Sets the budget grants of the node. Baseline policies have no budgets.
    pub fn set_budget_grants(&mut self, grants: &BudgetGrants) {
        if let PolicyState::Router(router) = &mut self.policy {
            router.set_budget_grants(grants);
        }
    }

    /// The demand on each budget of the fleet since the node started.
    pub fn budget_demand(&self) -> BTreeMap<BudgetKind, BudgetDemand> {
        match &self.policy {
            PolicyState::Router(router) => router.budget_demand(),
            PolicyState::Baseline(_) => BTreeMap::new(),
        }
    }

    /// Requests queued in the node, by tenant; empty for baseline policies, which queue none.
    pub fn queued_by_tenant(&self) -> Vec<usize> {
        match &self.policy {
            PolicyState::Router(router) => router.gauges().queued_by_tenant,
            PolicyState::Baseline(_) => Vec::new(),
        }
    }

    /// When [`Self::on_timer`] must be called next; `None` if no timer is set.
    pub fn next_timer(&self) -> Option<Micros> {
        match &self.policy {
            PolicyState::Router(router) => router.next_timer(),
            PolicyState::Baseline(baseline) => baseline.next_timer(),
        }
    }
}
