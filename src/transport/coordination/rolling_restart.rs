//! A task of the whole fleet: taking its nodes out one after the other. The decisions are `poppykeel_coordination::rolling_restart`'s.

#![expect(
    clippy::match_bool,
    clippy::min_ident_chars,
    reason = "not yet converted"
)]

use super::Fleet;
use crate::routing::Micros;
use crate::transport::admin::{evacuate, rejoin};
use crate::transport::messages::Message;
use poppykeel_coordination::envelope::Body;
use poppykeel_coordination::rolling_restart::{self as roll, Charge, Order, Own};
use serde_json::{json, Value};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::spawn_local;

/// The task's name.
pub const TASK: &str = "roll";
/// From one question to the next, and from a question to what follows from its answers.
const STEP: Duration = Duration::from_millis(100);
/// A node that is out comes back by itself after so many leases without a word, and at least this much.
const BACK_LEASES: u64 = 4;
const BACK: Micros = 2_000_000;

/// What this node knows of orders.
#[derive(Default)]
pub(super) struct Rolls {
    own: RefCell<Own>,
    charge: RefCell<Option<Charge>>,
}

impl Fleet {
    /// An operator orders it here; what to tell them.
    pub fn order_roll(self: &Rc<Self>, out: u32, hold: Micros) -> String {
        let number = self
            .rolls
            .own
            .borrow()
            .order()
            .map_or(0, |order| order.number)
            + 1;
        let me = self.place.node.me.clone();
        let mut nodes: Vec<String> = self
            .node
            .borrow()
            .others()
            .into_iter()
            .map(|m| m.name)
            .collect();
        nodes.push(me.clone());
        nodes.sort_unstable();
        let back = (BACK_LEASES * self.place.node.lease).max(BACK);
        let order = Order {
            number,
            by: me,
            nodes,
            out: out.max(1),
            hold,
            back,
        };
        let text = format!(
            "roll {number} ordered: {} nodes, at most {} out at once",
            order.nodes.len(),
            order.out
        );
        tracing::info!(
            number,
            nodes = order.nodes.len(),
            out = order.out,
            "roll ordered"
        );
        self.tell_all(&order.nodes, &roll::Message::Order(order.clone()));
        self.rolls.own.borrow_mut().learn(order);
        text
    }

    fn tell_all(self: &Rc<Self>, nodes: &[String], message: &roll::Message) {
        for name in nodes {
            self.tell_one(name.clone(), message.clone());
        }
    }

    fn tell_one(self: &Rc<Self>, to: String, message: roll::Message) {
        let out = self.node.borrow_mut().post(to, None, Body::Roll(message));
        self.carry_out(vec![out]);
    }

    /// A message about it has come.
    pub(super) fn rolling(self: &Rc<Self>, from: String, message: roll::Message) {
        let now = self.clock.now();
        match message {
            roll::Message::Order(order) => self.rolls.own.borrow_mut().learn(order),
            roll::Message::Want => {
                let order = self.rolls.own.borrow().order().cloned();
                order
                    .into_iter()
                    .for_each(|order| self.tell_one(from.clone(), roll::Message::Order(order)));
            }
            roll::Message::Over(number, by) => self.rolls.own.borrow_mut().over(number, &by),
            roll::Message::Tell(epoch, time, part, idle) => {
                if let Some(charge) = &mut *self.rolls.charge.borrow_mut() {
                    charge.told(&from, epoch, time, part, idle, now);
                }
            }
            roll::Message::Act(epoch, time, leave) => {
                if self.rolls.own.borrow_mut().act(epoch, time, leave) {
                    tracing::info!(epoch, leave, by = %from, "told by the one in charge of the roll");
                    match leave {
                        true => evacuate(&self.phase),
                        false => rejoin(&self.phase),
                    }
                }
            }
            roll::Message::Ask(epoch, time, order) => {
                let own = self.clone();
                spawn_local(async move {
                    let (ask, told) = oneshot::channel();
                    let asked = own.tell.send(Message::Figures(ask)).await.is_ok();
                    let idle = told
                        .await
                        .is_ok_and(|figures| asked && figures.concurrent == 0);
                    let answer = own.rolls.own.borrow_mut().asked(
                        epoch,
                        time,
                        &order,
                        idle,
                        own.clock.now(),
                    );
                    if let Some(answer) = answer {
                        own.tell_one(from, answer);
                    }
                });
            }
        }
    }

    /// Keeps to the newest order for as long as the node runs, and is in charge of it while it holds the lease.
    pub(super) async fn roll(self: Rc<Self>) {
        loop {
            tokio::time::sleep(STEP).await;
            if self.rolls.own.borrow_mut().turn(self.clock.now()) {
                tracing::warn!("out, and nobody in charge says anything: back to work");
                rejoin(&self.phase);
            }
            let order = self.rolls.own.borrow().open().cloned();
            let Some(order) = order else {
                self.rolls.charge.replace(None);
                let out = self.node.borrow_mut().release(TASK, self.clock.now());
                self.carry_out(out);
                continue;
            };
            self.node.borrow_mut().want(TASK, self.clock.now());
            self.wake.notify_one();
            let Some(epoch) = self.may_act(TASK) else {
                self.rolls.charge.replace(None);
                continue;
            };
            self.in_charge(epoch, order).await;
        }
    }

    async fn in_charge(self: &Rc<Self>, epoch: u64, order: Order) {
        let now = self.clock.now();
        let ask = {
            let mut charge = self.rolls.charge.borrow_mut();
            let same = charge
                .as_ref()
                .is_some_and(|c| c.of().0 == epoch && c.of().1.id() == order.id());
            if !same {
                tracing::info!(epoch, number = order.number, "in charge of the roll");
                let keepers = self.node.borrow().keepers().into_keys().collect();
                *charge = Some(Charge::new(
                    epoch,
                    order.clone(),
                    keepers,
                    self.place.node.drift,
                    now,
                ));
            }
            charge.as_mut().map(Charge::ask)
        };
        let Some(ask) = ask else { return };
        self.tell_all(&order.nodes, &ask);
        tokio::time::sleep(STEP).await;
        // The look before the acts: under this epoch or not at all.
        if self.may_act(TASK) != Some(epoch) {
            return;
        }
        let now = self.clock.now();
        let (acts, finished) = match &mut *self.rolls.charge.borrow_mut() {
            Some(charge) => (charge.acts(now), charge.finished(now)),
            None => return,
        };
        for (name, act) in acts {
            tracing::info!(epoch, node = %name, act = ?act, "roll");
            self.tell_one(name, act);
        }
        if finished {
            tracing::info!(epoch, number = order.number, "roll carried out");
            self.tell_all(
                &order.nodes,
                &roll::Message::Over(order.number, order.by.clone()),
            );
            self.rolls.own.borrow_mut().over(order.number, &order.by);
        }
    }

    /// For operators.
    pub(super) fn roll_status(&self) -> Value {
        let now = self.clock.now();
        let own = self.rolls.own.borrow();
        let Some(order) = own.order() else {
            return Value::Null;
        };
        let charge = self.rolls.charge.borrow().as_ref().map(|charge| {
            let (done, waiting, gone) = charge.progress(now);
            json!({"out": charge.out(now), "done": done, "waiting": waiting, "gone": gone})
        });
        let part = match (own.open().is_some(), own.part()) {
            (false, _) => "carried out".to_string(),
            (_, part) => format!("{part:?}").to_lowercase(),
        };
        json!({"number": order.number, "by": order.by, "nodes": order.nodes.len(), "out": order.out, "part": part,
            "charge": charge})
    }
}
