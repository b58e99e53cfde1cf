//! A task of the whole fleet: trials of ejected servers. The decisions are `poppykeel_coordination::outlier_probing`' and, on what to
//! do about advice, the module's.

#![expect(clippy::min_ident_chars, reason = "not yet converted")]

use super::Fleet;
use crate::routing::Micros;
use crate::transport::messages::{Message, Replica};
use poppykeel_coordination::envelope::Body;
use poppykeel_coordination::outlier_probing::{self as trials, Charge, Own, Standing, MOST_NAMES};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::spawn_local;

/// The task's name.
pub const TASK: &str = "trials";
/// From one report to the next, and from one verdict to the next.
const STEP: Duration = Duration::from_millis(250);
/// What nobody has reported for so long is forgotten.
const FORGET: Micros = 1_500_000;
/// A wrong advice is remembered so long.
const DOUBT: Micros = 10_000_000;

/// What this node knows of trials.
#[derive(Default)]
pub(super) struct Trials {
    own: RefCell<Own>,
    charge: RefCell<Option<Charge>>,
    /// Advice taken: held back, and back at once.
    pub(super) advised: Cell<(u64, u64)>,
}

fn standing(replica: &Replica) -> Standing {
    Standing {
        ejected: replica.ejected,
        well_since: replica.well_since,
    }
}

impl Fleet {
    async fn replicas(&self) -> BTreeMap<String, Replica> {
        let (ask, told) = oneshot::channel();
        if self.tell.send(Message::Replicas(ask)).await.is_err() {
            return BTreeMap::new();
        }
        told.await.unwrap_or_default()
    }

    fn tell_trials(self: &Rc<Self>, to: String, message: trials::Message) {
        let out = self.node.borrow_mut().post(to, None, Body::Trials(message));
        self.carry_out(vec![out]);
    }

    /// A message about it has come.
    pub(super) fn trying(self: &Rc<Self>, message: trials::Message) {
        match message {
            trials::Message::Ejected(names) => {
                if let Some(charge) = &mut *self.trials.charge.borrow_mut() {
                    charge.reported(names, self.uptime());
                }
            }
            trials::Message::Verdicts(epoch, verdicts) => {
                let own = self.clone();
                spawn_local(async move {
                    let replicas = own.replicas().await;
                    let ejected = |name: &str| replicas.get(name).is_some_and(|r| r.ejected);
                    let now = own.uptime();
                    let advice = own
                        .trials
                        .own
                        .borrow_mut()
                        .told(epoch, verdicts, ejected, now, DOUBT);
                    let (held, back) = own.trials.advised.get();
                    let well = advice.iter().filter(|(_, well)| *well).count() as u64;
                    own.trials
                        .advised
                        .set((held + advice.len() as u64 - well, back + well));
                    if !advice.is_empty() {
                        let _ = own.tell.send(Message::Advice(advice)).await;
                    }
                });
            }
        }
    }

    /// Reports what is ejected here to the one in charge, or is in charge.
    pub(super) async fn trials(self: Rc<Self>) {
        self.node.borrow_mut().want(TASK, self.clock.now());
        self.wake.notify_one();
        loop {
            tokio::time::sleep(STEP).await;
            let replicas = self.replicas().await;
            let ejected = replicas.iter().filter(|r| r.1.ejected).map(|r| r.0.clone());
            let ejected: Vec<String> = ejected.take(MOST_NAMES).collect();
            let now = self.uptime();
            let Some(epoch) = self.may_act(TASK) else {
                self.trials.charge.replace(None);
                let chief = self.node.borrow().status_of(TASK);
                if let Some(chief) = chief.filter(|_| !ejected.is_empty()) {
                    self.tell_trials(chief, trials::Message::Ejected(ejected));
                }
                continue;
            };
            let verdicts = {
                let mut charge = self.trials.charge.borrow_mut();
                let charge = match &mut *charge {
                    Some(charge) if charge.epoch() == epoch => charge,
                    other => other.insert(Charge::new(epoch)),
                };
                charge.verdicts(|name| replicas.get(name).map(standing), now, FORGET)
            };
            let any = matches!(&verdicts, trials::Message::Verdicts(_, all) if !all.is_empty());
            // The look before the act.
            if any && self.may_act(TASK) == Some(epoch) {
                let others = self.node.borrow().others();
                others
                    .into_iter()
                    .for_each(|member| self.tell_trials(member.name, verdicts.clone()));
            }
        }
    }
}
