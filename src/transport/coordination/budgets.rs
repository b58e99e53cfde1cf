//! The fleet's budgets at this node: what the scheduler has wanted goes to the allocator, and what this node may spend goes
//! to the scheduler.
//!
//! The decisions are [`poppykeel_coordination::budget`]'s, and spending is the scheduler's. Guaranteed rates hold from the
//! first moment, whoever allocates.

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

/// The name of the lease under which budgets are allocated.
pub const LEASE_TASK: &str = "budgets";
/// A tenant's budget is named so, with the tenant's name behind it.
pub const TENANT_BUDGET_PREFIX: &str = "tenant:";
/// The names of all other budgets, as they travel between nodes.
const BUDGET_NAMES: [(&str, BudgetKind); 6] = [
    ("retries", BudgetKind::Retries),
    ("copies", BudgetKind::HedgedAttempts),
    ("probes", BudgetKind::Probes),
    ("crossings", BudgetKind::CrossZone),
    ("cold", BudgetKind::SlowStart),
    ("discovery", BudgetKind::Discovery),
];
/// Thousandths in one unit: coordination counts in thousandths, the scheduler in units.
const MILLI_PER_UNIT: f64 = 1e3;
/// A demand's weight is told in so many parts of one.
const WEIGHT_SCALE: f64 = 100.0;

/// The budgets of a fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetBudgets {
    /// What is allocated.
    pub settings: BudgetSettings,
    /// The site's tenants, in the scheduler's order.
    pub tenants: Vec<String>,
}

fn units(milli: u64) -> f64 {
    milli as f64 / MILLI_PER_UNIT
}

impl FleetBudgets {
    /// What a budget is spent on, by its name.
    fn kind_of(&self, name: &str) -> Option<BudgetKind> {
        let known = BUDGET_NAMES.iter().find(|(known, _)| *known == name);
        if let Some((_, kind)) = known {
            return Some(*kind);
        }
        let tenant = name.strip_prefix(TENANT_BUDGET_PREFIX)?;
        let index = self.tenants.iter().position(|known| known == tenant)?;
        Some(BudgetKind::Tenant(index))
    }

    /// What the scheduler may spend. `now` is the time by the participant's clock, `scheduler_now` that by the
    /// scheduler's.
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

    /// What the scheduler has wanted, by the budgets' names.
    pub fn cumulative_demand(
        &self,
        wanted: &BTreeMap<BudgetKind, BudgetDemand>,
    ) -> BTreeMap<String, CumulativeDemand> {
        let mut demands = BTreeMap::new();
        for name in self.settings.limits.keys() {
            let kind = self.kind_of(name);
            if let Some(wanted) = kind.and_then(|kind| wanted.get(&kind)) {
                let demand = CumulativeDemand {
                    units: (wanted.units * MILLI_PER_UNIT) as u64,
                    weight_sum: wanted.priority_weight,
                };
                demands.insert(name.clone(), demand);
            }
        }
        demands
    }
}

/// What this node knows of budgets; nothing where the fleet has none.
#[derive(Default)]
pub(super) struct BudgetDriver {
    budgets: RefCell<Option<FleetBudgets>>,
    participant: RefCell<Option<BudgetParticipant>>,
}

impl CoordinationDriver {
    /// Asks for this node's grants again and again, and allocates while this node holds the lease. Runs until the process
    /// ends.
    pub(super) async fn run_budgets(self: Rc<Self>, budgets: FleetBudgets) {
        let process = self.node.borrow().process_id();
        let participant = BudgetParticipant::new(process, budgets.settings.clone());
        let interval = Duration::from_micros(participant.request_interval());
        self.budgets.participant.replace(Some(participant));
        self.budgets.budgets.replace(Some(budgets));
        self.request_lease(LEASE_TASK);
        loop {
            // An error says that the dispatcher has ended, and the process with it.
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

    /// Other limits are in force from now on, where there are budgets at all. What was granted stays granted until it
    /// runs out, so a lower limit holds one grant's duration after the allocating node has read it.
    pub(super) fn set_budget_limits(&self, budgets: &FleetBudgets) {
        if let Some(participant) = &mut *self.budgets.participant.borrow_mut() {
            participant.set_limits(budgets.settings.limits.clone());
            self.budgets.budgets.replace(Some(budgets.clone()));
        }
    }

    /// Takes a message about budgets.
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
            // Where the dispatcher's queue is full, the next turn of `run_budgets` tells it.
            let grants = DispatcherMessage::SetBudgetGrants(self.budget_grants());
            let _ = self.dispatcher.try_send(grants);
        }
    }

    /// What the scheduler may spend at this moment.
    fn budget_grants(&self) -> BudgetGrants {
        let now = self.clock.now();
        let scheduler_now = self.scheduler_now();
        let participant = self.budgets.participant.borrow();
        match (&*participant, &*self.budgets.budgets.borrow()) {
            (Some(participant), Some(budgets)) => budgets.grants(participant, now, scheduler_now),
            _ => BudgetGrants::new(),
        }
    }

    /// What the scheduler has wanted of each budget since it began.
    async fn cumulative_demand(&self) -> BTreeMap<String, CumulativeDemand> {
        let demand = query(&self.dispatcher, DispatcherQuery::BudgetDemand).await;
        let demand = demand.unwrap_or_default();
        match &*self.budgets.budgets.borrow() {
            Some(budgets) => budgets.cumulative_demand(&demand),
            None => BTreeMap::new(),
        }
    }

    /// The budgets as operators are shown them; `null` where the fleet has none.
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

    /// Metrics of the budgets: by budget, what this node may spend a second, in thousandths.
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

/// One budget as this node has it.
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
