//! Budgets of the whole fleet: what the core has wanted goes to this node's part in them, and what that may spend goes
//! to the core. The decisions are `poppykeel_coordination::budget`'s, and spending is the module's.

#![expect(
    clippy::min_ident_chars,
    clippy::needless_pass_by_value,
    reason = "not yet converted"
)]

use super::Fleet;
use crate::routing::{seconds, Micros};
use crate::transport::messages::Message;
use poppykeel_coordination::budget::{self, Count, Party};
use poppykeel_coordination::envelope::Body;
use poppykeel_scheduler::interface::{BudgetDemand, BudgetGrant, BudgetGrants, BudgetKind};
use serde_json::{json, Value};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// The task's name.
pub const TASK: &str = "budgets";
/// A tenant's budget is named so, with the tenant's name behind it.
pub const TENANT: &str = "tenant:";
/// The names of all others.
const NAMES: [(&str, BudgetKind); 6] = [
    ("retries", BudgetKind::Retries),
    ("copies", BudgetKind::HedgedAttempts),
    ("probes", BudgetKind::Probes),
    ("crossings", BudgetKind::CrossZone),
    ("cold", BudgetKind::SlowStart),
    ("discovery", BudgetKind::Discovery),
];

/// The budgets of a fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Budgets {
    /// What is divided.
    pub settings: budget::Settings,
    /// The site's tenants, in the module's order.
    pub tenants: Vec<String>,
}

impl Budgets {
    /// What a budget is spent on, by its name.
    fn spend(&self, name: &str) -> Option<BudgetKind> {
        let tenant = |name: &str| {
            self.tenants
                .iter()
                .position(|t| t == name)
                .map(BudgetKind::Tenant)
        };
        let known = NAMES
            .iter()
            .find(|known| known.0 == name)
            .map(|known| known.1);
        known.or_else(|| name.strip_prefix(TENANT).and_then(tenant))
    }

    /// What the core may spend, by the party's clock at `now` and the core's at `core`.
    pub fn allowed(&self, party: &Party, now: Micros, core: Micros) -> BudgetGrants {
        let thousandths = |x: u64| x as f64 / 1e3;
        let all = party.settings().wholes.iter().filter_map(|(name, whole)| {
            let (rate, burst, until) = party.share(name, now);
            let budget = BudgetGrant {
                rate: thousandths(rate),
                burst: thousandths(burst),
                guaranteed_rate: thousandths(whole.floor),
                guaranteed_burst: thousandths(whole.floor_burst),
                expires_at: seconds(core.saturating_add(until.saturating_sub(now))),
            };
            Some((self.spend(name)?, budget))
        });
        all.collect()
    }

    /// What the core has wanted, by the budgets' names.
    pub fn counted(&self, wanted: &BTreeMap<BudgetKind, BudgetDemand>) -> BTreeMap<String, Count> {
        let counted = self.settings.wholes.keys().filter_map(|name| {
            let wanted = wanted.get(&self.spend(name)?)?;
            Some((
                name.clone(),
                Count {
                    units: (wanted.units * 1e3) as u64,
                    worth: wanted.priority_weight,
                },
            ))
        });
        counted.collect()
    }
}

/// What this node knows of budgets.
#[derive(Default)]
pub(super) struct Divided {
    budgets: RefCell<Option<Budgets>>,
    party: RefCell<Option<Party>>,
}

impl Fleet {
    /// Keeps this node's shares, and divides while it holds the lease.
    pub(super) async fn divide(self: Rc<Self>, budgets: Budgets) {
        let party = Party::new(self.node.borrow().me(), budgets.settings.clone());
        let step = Duration::from_micros(party.step());
        self.budgets.party.replace(Some(party));
        self.budgets.budgets.replace(Some(budgets));
        self.node.borrow_mut().want(TASK, self.clock.now());
        self.wake.notify_one();
        loop {
            // Floors hold from the first moment, whoever divides.
            let _ = self.tell.send(Message::Allow(self.allowed())).await;
            let counted = self.counted().await;
            let (now, epoch) = (self.clock.now(), self.may_act(TASK));
            let ask = self
                .budgets
                .party
                .borrow_mut()
                .as_mut()
                .map(|party| party.ask(counted, epoch, now));
            let chief = match epoch {
                Some(_) => Some(self.place.node.me.clone()),
                None => self.node.borrow().status_of(TASK),
            };
            if let (Some(ask), Some(chief)) = (ask, chief) {
                self.tell_budget(chief, ask);
            }
            tokio::time::sleep(step).await;
        }
    }

    /// Other wholes from now on, where there are budgets at all. What was given stays given until it runs out, so a
    /// lower whole holds one share's time after the node that divides has read it.
    pub(super) fn set_wholes(&self, new: &Budgets) {
        if let Some(party) = &mut *self.budgets.party.borrow_mut() {
            party.set(new.settings.wholes.clone());
            self.budgets.budgets.replace(Some(new.clone()));
        }
    }

    fn tell_budget(self: &Rc<Self>, to: String, message: budget::Message) {
        let out = self.node.borrow_mut().post(to, None, Body::Budget(message));
        self.carry_out(vec![out]);
    }

    /// A message about it has come.
    pub(super) fn budgeting(self: &Rc<Self>, from: String, message: budget::Message) {
        let (now, epoch) = (self.clock.now(), self.may_act(TASK));
        let answers = !matches!(message, budget::Message::Ask { .. });
        let back = self
            .budgets
            .party
            .borrow_mut()
            .as_mut()
            .and_then(|party| party.receive(message, epoch, now));
        back.into_iter()
            .for_each(|back| self.tell_budget(from.clone(), back));
        if answers {
            // Where the core is behind, the next turn tells it.
            let _ = self.tell.try_send(Message::Allow(self.allowed()));
        }
    }

    fn allowed(&self) -> BudgetGrants {
        let (now, core) = (self.clock.now(), self.uptime());
        let (party, budgets) = (self.budgets.party.borrow(), self.budgets.budgets.borrow());
        match (&*party, &*budgets) {
            (Some(party), Some(budgets)) => budgets.allowed(party, now, core),
            _ => BudgetGrants::new(),
        }
    }

    /// What the core has wanted of each budget since it began.
    async fn counted(&self) -> BTreeMap<String, Count> {
        let (ask, told) = oneshot::channel();
        let asked = self.tell.send(Message::Wanted(ask)).await.is_ok();
        let wanted = told.await.ok().filter(|_| asked).unwrap_or_default();
        self.budgets
            .budgets
            .borrow()
            .as_ref()
            .map(|budgets| budgets.counted(&wanted))
            .unwrap_or_default()
    }

    /// For operators.
    pub(super) fn budget_status(&self) -> Value {
        let party = self.budgets.party.borrow();
        let Some(party) = &*party else {
            return Value::Null;
        };
        let now = self.clock.now();
        let units = |thousandths: u64| thousandths as f64 / 1e3;
        let own = party.settings().wholes.iter().map(|(name, whole)| {
            let ((rate, _, until), want) = (party.share(name, now), party.want(name));
            json!({"budget": name, "whole": units(whole.rate), "floor": units(whole.floor), "share": units(rate),
                "wanted": units(want.rate), "worth": f64::from(want.worth) / 100.0,
                "left_ms": until.saturating_sub(now) / 1000})
        });
        let divided = party.table(now).map(|(epoch, rows)| {
            let rows = rows.into_iter().map(|row| {
                let free = row.divided.saturating_sub(row.given);
                let nodes = row.nodes.iter().map(|(h, rate)| json!({"node": h.node, "share": units(*rate)}));
                json!({"budget": row.budget, "divided": units(row.divided), "given": units(row.given),
                    "free": units(free), "lowered_in_ms": row.lowered_in / 1000,
                    "nodes": nodes.collect::<Vec<_>>()})
            });
            json!({"epoch": epoch, "budgets": rows.collect::<Vec<_>>()})
        });
        json!({"own": own.collect::<Vec<_>>(), "divided": divided})
    }

    /// The budgets' figures: by budget, what this node may spend a second, and what it has wanted.
    pub(super) fn budget_shares(&self) -> Vec<(String, Micros)> {
        let party = self.budgets.party.borrow();
        let now = self.clock.now();
        let shares = party.iter().flat_map(|party| {
            party.settings().wholes.iter().map(|(name, whole)| {
                (
                    format!("fleet_budget_milli{{budget=\"{name}\"}}"),
                    party.share(name, now).0 + whole.floor,
                )
            })
        });
        shares.collect()
    }
}
