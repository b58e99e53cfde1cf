//! Budgets of the whole fleet: this node's shares, and dividing while it holds the lease. The decisions are
//! `poppykeel_fleet::budget`'s, and spending is the module's.

use super::Fleet;
use crate::interface::{Allowed, Budget};
use crate::routing::{seconds, Micros};
use crate::transport::messages::Message;
use poppykeel_fleet::budget::{self, Divider, Shares, Want, Whole};
use poppykeel_fleet::envelope::Body;
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// The task's name.
pub const TASK: &str = "budgets";
/// Attempts after a request's first.
pub const RETRIES: &str = "retries";
/// Second copies of requests that are overdue.
pub const COPIES: &str = "copies";
/// Questions in a share's time.
const QUESTIONS: u32 = 4;
/// What is asked for beyond what was wanted lately, and what of an earlier want is still asked for.
const HEADROOM: f64 = 1.25;
const MEMORY: f64 = 0.7;

/// The budgets of a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Budgets {
    /// How long shares last, in microseconds.
    pub share: Micros,
    /// By name.
    pub wholes: BTreeMap<String, Whole>,
}

/// What this node knows of budgets.
#[derive(Default)]
pub(super) struct Divided {
    /// In force; a file read again changes the wholes.
    settings: RefCell<Option<Budgets>>,
    shares: RefCell<Option<Shares>>,
    divider: RefCell<Option<Divider>>,
    wanted: Cell<[f64; 2]>,
    counted: Cell<[u64; 2]>,
}

impl Fleet {
    /// Keeps this node's shares, and divides while it holds the lease.
    pub(super) async fn divide(self: Rc<Self>, budgets: Budgets) {
        self.budgets.settings.replace(Some(budgets.clone()));
        let (me, drift) = (self.node.borrow().me(), self.place.node.drift);
        self.budgets.shares.replace(Some(Shares::new(me, drift)));
        self.node.borrow_mut().want(TASK, self.clock.now());
        self.wake.notify_one();
        let step = Duration::from_micros(budgets.share) / QUESTIONS;
        loop {
            let Some(budgets) = self.budgets.settings.borrow().clone() else { return };
            // Floors hold from the first moment, whoever divides.
            self.allow(&budgets).await;
            self.take_charge(&budgets);
            let wants = self.wants(&budgets, step).await;
            let now = self.clock.now();
            let ask = self.budgets.shares.borrow_mut().as_mut().map(|shares| shares.ask(wants, now));
            let chief = match self.may_act(TASK) {
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
        if let Some(budgets) = &mut *self.budgets.settings.borrow_mut() {
            budgets.wholes.clone_from(&new.wholes);
        }
        if let Some(divider) = &mut *self.budgets.divider.borrow_mut() {
            divider.set(new.wholes.clone());
        }
    }

    fn take_charge(&self, budgets: &Budgets) {
        let epoch = self.may_act(TASK);
        let mut divider = self.budgets.divider.borrow_mut();
        if divider.as_ref().map(Divider::epoch) != epoch {
            let (wholes, drift, now) = (budgets.wholes.clone(), self.place.node.drift, self.clock.now());
            *divider = epoch.map(|epoch| Divider::new(epoch, wholes, budgets.share, drift, now));
        }
    }

    fn tell_budget(self: &Rc<Self>, to: String, message: budget::Message) {
        let out = self.node.borrow_mut().post(to, None, Body::Budget(message));
        self.carry_out(vec![out]);
    }

    /// A message about it has come.
    pub(super) fn budgeting(self: &Rc<Self>, from: String, message: budget::Message) {
        let Some(budgets) = self.budgets.settings.borrow().clone() else { return };
        let (now, budgets) = (self.clock.now(), &budgets);
        if let budget::Message::Ask { .. } = message {
            self.take_charge(budgets);
            // The look before the act: shares are given under the lease's epoch or not at all.
            let answer = self.budgets.divider.borrow_mut().as_mut().and_then(|divider| {
                (self.may_act(TASK) == Some(divider.epoch())).then(|| divider.asked(message, now)).flatten()
            });
            answer.into_iter().for_each(|answer| self.tell_budget(from.clone(), answer));
            return;
        }
        let again =
            self.budgets.shares.borrow_mut().as_mut().is_some_and(|shares| shares.told(&message, now));
        if again {
            let wants = self.last_wants(budgets);
            let ask = self.budgets.shares.borrow_mut().as_mut().map(|shares| shares.ask(wants, now));
            ask.into_iter().for_each(|ask| self.tell_budget(from.clone(), ask));
        }
        let allowed = Message::Allow(self.allowed(budgets));
        // Where the core is behind, the next turn tells it.
        let _ = self.tell.try_send(allowed);
    }

    async fn allow(&self, budgets: &Budgets) {
        let _ = self.tell.send(Message::Allow(self.allowed(budgets))).await;
    }

    fn allowed(&self, budgets: &Budgets) -> Allowed {
        let (now, core) = (self.clock.now(), self.uptime());
        let shares = self.budgets.shares.borrow();
        let budget = |name: &str| {
            let whole = budgets.wholes.get(name)?;
            let (rate, until) = shares.as_ref().map_or((0, now), |shares| shares.share(name, now));
            let thousandths = |x: u64| x as f64 / 1e3;
            Some(Budget {
                rate: thousandths(rate),
                burst: thousandths(whole.burst_of(rate, self.place.node.drift)),
                floor: thousandths(whole.floor),
                floor_burst: thousandths(whole.floor_burst),
                until: seconds(core.saturating_add(until.saturating_sub(now))),
            })
        };
        Allowed { retries: budget(RETRIES), copies: budget(COPIES) }
    }

    /// What this node wants of each budget: what was wanted lately and a little more.
    async fn wants(&self, budgets: &Budgets, step: Duration) -> BTreeMap<String, Want> {
        let (ask, told) = oneshot::channel();
        let asked = self.tell.send(Message::Wanted(ask)).await.is_ok();
        let counted = told.await.ok().filter(|_| asked).unwrap_or(self.budgets.counted.get());
        let before = self.budgets.counted.replace(counted);
        let wanted = [0, 1].map(|n| {
            let rate = counted[n].saturating_sub(before[n]) as f64 / step.as_secs_f64() * HEADROOM;
            rate.max(self.budgets.wanted.get()[n] * MEMORY)
        });
        self.budgets.wanted.set(wanted);
        self.last_wants(budgets)
    }

    fn last_wants(&self, budgets: &Budgets) -> BTreeMap<String, Want> {
        let wanted = self.budgets.wanted.get();
        let names =
            [RETRIES, COPIES].into_iter().zip(wanted).filter(|(name, _)| budgets.wholes.contains_key(*name));
        names.map(|(name, rate)| (name.to_string(), Want { rate: (rate * 1e3) as u64, worth: 1 })).collect()
    }

    /// For operators.
    pub(super) fn budget_status(&self) -> Value {
        let settings = self.budgets.settings.borrow();
        let Some(budgets) = &*settings else { return Value::Null };
        let now = self.clock.now();
        let units = |thousandths: u64| thousandths as f64 / 1e3;
        let own = budgets.wholes.iter().map(|(name, whole)| {
            let (rate, until) =
                self.budgets.shares.borrow().as_ref().map_or((0, now), |shares| shares.share(name, now));
            json!({"budget": name, "whole": units(whole.rate), "floor": units(whole.floor), "share": units(rate),
                "left_ms": until.saturating_sub(now) / 1000})
        });
        let divided = self.budgets.divider.borrow().as_ref().map(|divider| {
            let rows = divider.table(now).into_iter().map(|row| {
                let free = row.divided.saturating_sub(row.given);
                let nodes = row.nodes.iter().map(|(h, rate)| json!({"node": h.node, "share": units(*rate)}));
                json!({"budget": row.budget, "divided": units(row.divided), "given": units(row.given),
                    "free": units(free), "nodes": nodes.collect::<Vec<_>>()})
            });
            json!({"epoch": divider.epoch(), "budgets": rows.collect::<Vec<_>>()})
        });
        json!({"own": own.collect::<Vec<_>>(), "divided": divided})
    }
}
