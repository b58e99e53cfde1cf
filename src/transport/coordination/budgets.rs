//! The fleet's budgets at this node: sends the scheduler's demand to the allocating node, and passes the grants to the
//! scheduler.
//!
//! [`poppykeel_coordination::budget`] makes the decisions, and the scheduler spends the budgets. Guaranteed rates apply from
//! the start, even without an allocating node.

use super::CoordinationDriver;
use crate::routing::seconds;
use crate::transport::messages::{query, DispatcherMessage, DispatcherQuery};
use poppykeel_coordination::budget::{
    BudgetAllocation, BudgetMessage, BudgetParticipant, BudgetSettings, CumulativeDemand,
};
use poppykeel_coordination::envelope::MessageBody;
use poppykeel_coordination::Micros;
use poppykeel_scheduler::{BudgetDemand, BudgetGrant, BudgetGrants, BudgetKind};
use serde_json::{json, Value};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Task name of the lease under which budgets are allocated.
pub const LEASE_TASK: &str = "budgets";
/// Prefix of a tenant's budget name; the tenant's name follows.
pub const TENANT_BUDGET_PREFIX: &str = "tenant:";
/// Names of all other budgets in messages between nodes.
const BUDGET_NAMES: [(&str, BudgetKind); 6] = [
    ("retries", BudgetKind::Retries),
    ("copies", BudgetKind::HedgedAttempts),
    ("probes", BudgetKind::Probes),
    ("crossings", BudgetKind::CrossZone),
    ("cold", BudgetKind::SlowStart),
    ("discovery", BudgetKind::Discovery),
];
/// Coordination counts in thousandths of a unit, the scheduler in units.
const MILLI_PER_UNIT: f64 = 1e3;
/// Coordination expresses a demand's weight in hundredths.
const WEIGHT_SCALE: f64 = 100.0;

/// Made from `[fleet.budgets]` and the names of the site's tenants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetBudgets {
    /// The limits of the budgets.
    pub settings: BudgetSettings,
    /// Names of the site's tenants; [`BudgetKind::Tenant`] holds an index of this list.
    pub tenants: Vec<String>,
}

fn units(milli: u64) -> f64 {
    milli as f64 / MILLI_PER_UNIT
}

impl FleetBudgets {
    /// The kind of budget with this name; `None` if the name or its tenant is unknown.
    fn kind_of(&self, name: &str) -> Option<BudgetKind> {
        let known = BUDGET_NAMES.iter().find(|(known, _)| *known == name);
        if let Some((_, kind)) = known {
            return Some(*kind);
        }
        let tenant = name.strip_prefix(TENANT_BUDGET_PREFIX)?;
        let index = self.tenants.iter().position(|known| known == tenant)?;
        Some(BudgetKind::Tenant(index))
    }

    /// Converts the participant's quotas to grants for the scheduler. `now` is the time of the participant's clock,
    /// `scheduler_now` that of the scheduler's.
    pub fn grants(
        &self,
        participant: &BudgetParticipant,
        now: Micros,
        scheduler_now: Micros,
    ) -> BudgetGrants {
        let mut grants = BudgetGrants::new();
        for (name, limit) in &participant.settings().limits {
            let Some(kind) = self.kind_of(name) else {
                continue;
            };
            let quota = participant.quota(name, now);
            let time_left = quota.until.saturating_sub(now);
            let grant = BudgetGrant {
                rate: units(quota.rate),
                burst: units(quota.burst),
                guaranteed_rate: units(limit.guaranteed_rate),
                guaranteed_burst: units(limit.guaranteed_burst),
                expires_at: seconds(scheduler_now.saturating_add(time_left)),
            };
            grants.insert(kind, grant);
        }
        grants
    }

    /// Converts the scheduler's demand to the units of coordination, by budget name.
    pub fn cumulative_demand(
        &self,
        demand_by_kind: &BTreeMap<BudgetKind, BudgetDemand>,
    ) -> BTreeMap<String, CumulativeDemand> {
        let mut demands = BTreeMap::new();
        for name in self.settings.limits.keys() {
            let kind = self.kind_of(name);
            if let Some(demand) = kind.and_then(|kind| demand_by_kind.get(&kind)) {
                let cumulative = CumulativeDemand {
                    units: (demand.units * MILLI_PER_UNIT) as u64,
                    weight_sum: demand.priority_weight,
                };
                demands.insert(name.clone(), cumulative);
            }
        }
        demands
    }
}

/// This node's state of the fleet's budgets; `None` before the start and if the fleet has none.
#[derive(Default)]
pub(super) struct BudgetDriver {
    budgets: RefCell<Option<FleetBudgets>>,
    participant: RefCell<Option<BudgetParticipant>>,
}

impl CoordinationDriver {
    /// Periodically requests this node's grants, and allocates the budgets while this node holds the lease. Runs until the
    /// process ends.
    pub(super) async fn run_budgets(self: Rc<Self>, budgets: FleetBudgets) {
        let process = self.node.borrow().process_id();
        let participant = BudgetParticipant::new(process, budgets.settings.clone());
        let interval = Duration::from_micros(participant.request_interval());
        self.budgets.participant.replace(Some(participant));
        self.budgets.budgets.replace(Some(budgets));
        self.request_lease(LEASE_TASK);
        loop {
            // Sending fails only if the dispatcher has ended, and the process with it.
            let grants = DispatcherMessage::SetBudgetGrants(self.budget_grants());
            let _ = self.dispatcher.send(grants).await;
            let demand = self.cumulative_demand().await;
            self.send_budget_request(demand);
            tokio::time::sleep(interval).await;
        }
    }

    fn send_budget_request(self: &Rc<Self>, demand: BTreeMap<String, CumulativeDemand>) {
        let now = self.clock.now();
        let held_epoch = self.held_epoch(LEASE_TASK);
        let request = match &mut *self.budgets.participant.borrow_mut() {
            Some(participant) => participant.next_request(demand, held_epoch, now),
            None => return,
        };
        let allocator = if held_epoch.is_some() {
            Some(self.settings.node.name.clone())
        } else {
            self.node.borrow().other_holder(LEASE_TASK)
        };
        if let Some(allocator) = allocator {
            self.send_to(allocator, MessageBody::Budget(request));
        }
    }

    /// Replaces the limits, if the fleet has budgets. Grants stay valid until they expire, so a lower limit takes full
    /// effect one grant duration after the allocating node has applied it.
    pub(super) fn set_budget_limits(&self, budgets: &FleetBudgets) {
        if let Some(participant) = &mut *self.budgets.participant.borrow_mut() {
            participant.set_limits(budgets.settings.limits.clone());
            self.budgets.budgets.replace(Some(budgets.clone()));
        }
    }

    pub(super) fn handle_budget_message(self: &Rc<Self>, sender: String, message: BudgetMessage) {
        let now = self.clock.now();
        let held_epoch = self.held_epoch(LEASE_TASK);
        let is_answer = !matches!(message, BudgetMessage::Request(_));
        let reply = match &mut *self.budgets.participant.borrow_mut() {
            Some(participant) => participant.handle_message(message, held_epoch, now),
            None => None,
        };
        if let Some(reply) = reply {
            self.send_to(sender, MessageBody::Budget(reply));
        }
        if is_answer {
            // If the dispatcher's channel is full, the next iteration of `run_budgets` sends the grants.
            let grants = DispatcherMessage::SetBudgetGrants(self.budget_grants());
            let _ = self.dispatcher.try_send(grants);
        }
    }

    /// The grants in force, in the scheduler's form; empty if the fleet has no budgets.
    fn budget_grants(&self) -> BudgetGrants {
        let now = self.clock.now();
        let scheduler_now = self.scheduler_now();
        let participant = self.budgets.participant.borrow();
        match (&*participant, &*self.budgets.budgets.borrow()) {
            (Some(participant), Some(budgets)) => budgets.grants(participant, now, scheduler_now),
            _ => BudgetGrants::new(),
        }
    }

    /// The scheduler's demand for each budget since it started.
    async fn cumulative_demand(&self) -> BTreeMap<String, CumulativeDemand> {
        let demand = query(&self.dispatcher, DispatcherQuery::BudgetDemand).await;
        let demand = demand.unwrap_or_default();
        match &*self.budgets.budgets.borrow() {
            Some(budgets) => budgets.cumulative_demand(&demand),
            None => BTreeMap::new(),
        }
    }

    /// The budgets as shown to operators; `null` if the fleet has none.
    pub(super) fn budget_status(&self) -> Value {
        let participant = self.budgets.participant.borrow();
        let Some(participant) = &*participant else {
            return Value::Null;
        };
        let now = self.clock.now();
        let own: Vec<Value> = participant
            .settings()
            .limits
            .keys()
            .map(|name| own_budget_status(participant, name, now))
            .collect();
        let allocator = participant.allocator_status(now).map(|status| {
            let budgets: Vec<Value> = status.budgets.iter().map(allocation_status).collect();
            json!({"epoch": status.epoch, "budgets": budgets})
        });
        json!({"own": own, "divided": allocator})
    }

    /// Metrics of the budgets: this node's rate of each budget, in thousandths of a unit per second.
    pub(super) fn budget_metrics(&self) -> Vec<(String, u64)> {
        let participant = self.budgets.participant.borrow();
        let Some(participant) = &*participant else {
            return Vec::new();
        };
        let now = self.clock.now();
        let mut metrics = Vec::new();
        for (name, limit) in &participant.settings().limits {
            let metric = format!("fleet_budget_milli{{budget=\"{name}\"}}");
            let rate = participant.quota(name, now).rate + limit.guaranteed_rate;
            metrics.push((metric, rate));
        }
        metrics
    }
}

/// One budget as this node uses it.
fn own_budget_status(participant: &BudgetParticipant, name: &str, now: Micros) -> Value {
    let limit = participant.settings().limits[name];
    let quota = participant.quota(name, now);
    let demand = participant.demand(name);
    json!({
        "budget": name,
        "whole": units(limit.rate),
        "floor": units(limit.guaranteed_rate),
        "share": units(quota.rate),
        "wanted": units(demand.rate),
        "worth": f64::from(demand.weight) / WEIGHT_SCALE,
        "left_ms": quota.until.saturating_sub(now) / 1000,
    })
}

/// One budget as this node allocates it.
fn allocation_status(allocation: &BudgetAllocation) -> Value {
    let nodes: Vec<Value> = allocation
        .nodes
        .iter()
        .map(|node| json!({"node": node.process.node, "share": units(node.rate)}))
        .collect();
    let free = allocation.allocatable.saturating_sub(allocation.allocated);
    json!({
        "budget": allocation.budget,
        "divided": units(allocation.allocatable),
        "given": units(allocation.allocated),
        "free": units(free),
        "lowered_in_ms": allocation.excess_expires_in / 1000,
        "nodes": nodes,
    })
}
