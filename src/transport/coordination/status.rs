//! What operators are shown of the fleet.

#![expect(clippy::min_ident_chars, reason = "not yet converted")]

use super::Fleet;
use poppykeel_coordination::lease::{Holder, Standing};
use serde_json::{json, Value};

fn holder(holder: &Option<Holder>) -> Value {
    match holder {
        Some(h) => json!({"node": h.node, "incarnation": format!("{:016x}", h.incarnation)}),
        None => Value::Null,
    }
}

impl Fleet {
    /// The figures of the fleet, beside the node's own.
    pub fn figures(&self) -> Vec<(String, u64)> {
        let now = self.clock.now();
        let (node, dropped) = (self.node.borrow(), self.dropped.get());
        let (status, counts) = (node.status(now), node.counts());
        let held = status
            .claims
            .iter()
            .filter(|claim| claim.1.is_some())
            .count();
        let own = [
            ("fleet_members", status.others.len() as u64 + 1),
            ("fleet_leases_held", held as u64),
            (
                "fleet_keeper_granting",
                u64::from(matches!(status.keeper, Some((Standing::Granting, _)))),
            ),
            ("fleet_keeper_disk_failed", u64::from(status.broken)),
            ("fleet_grants", counts.granted),
            ("fleet_refusals", counts.refused),
            ("fleet_messages_sent", counts.sent),
            ("fleet_messages_taken", counts.taken),
            ("fleet_messages_garbled", dropped.garbled),
            (
                "fleet_messages_foreign",
                dropped.foreign + counts.other_keepers,
            ),
        ];
        let own = own
            .into_iter()
            .map(|(name, value)| (name.to_string(), value));
        own.chain(self.budget_shares()).collect()
    }

    /// Members, keepers and leases as this node sees them.
    pub fn status(&self) -> Value {
        let now = self.clock.now();
        let (status, counts, dropped) = (
            self.node.borrow().status(now),
            self.node.borrow().counts(),
            self.dropped.get(),
        );
        let keepers = self.node.borrow().keepers();
        let member = |m: &poppykeel_coordination::gossip::Member| {
            json!({"name": m.name, "addr": m.addr.to_string(), "incarnation": format!("{:016x}", m.incarnation),
                "keeper": keepers.contains_key(&m.name)})
        };
        let mut members = vec![member(&status.me)];
        members.extend(status.others.iter().map(member));
        members.sort_by_key(|m| m["name"].to_string());
        let keeper = status.keeper.map(|(standing, rows)| {
            let standing = match (&standing, status.broken) {
                (_, true) => "disk failed".to_string(),
                (Standing::Recalling { heard, blank }, _) => {
                    format!("asking the other keepers ({} answered, {} with no memory)", heard.len(), blank.len())
                }
                (Standing::Waiting(until), _) => {
                    format!("waiting {} ms for grants from before its start", until.saturating_sub(now) / 1000)
                }
                (Standing::Granting, _) => "granting".to_string(),
            };
            let rows = rows.iter().map(|r| {
                json!({"task": r.task, "epoch": r.epoch, "holder": holder(&r.holder), "left_ms": r.left / 1000})
            });
            json!({"standing": standing, "table": rows.collect::<Vec<_>>()})
        });
        let claims = status.claims.iter().map(|(task, epoch, left, other)| {
            json!({"task": task, "held_epoch": epoch, "left_ms": left / 1000, "other": holder(other)})
        });
        let (taken, refused, silent) = self.reports.done.get();
        json!({
            "fleet": self.place.node.fleet, "node": status.me.name, "members": members,
            "keepers": keepers.keys().collect::<Vec<_>>(),
            "keepers_number": self.node.borrow().keepers_number(), "keeper": keeper,
            "claims": claims.collect::<Vec<_>>(),
            "messages": {"sent": counts.sent, "sent_bytes": dropped.sent_bytes, "taken": counts.taken, "garbled": dropped.garbled,
                "foreign": dropped.foreign, "other_keepers": counts.other_keepers, "unreached": dropped.unreached},
            "grants": counts.granted, "refusals": counts.refused,
            "budgets": self.budget_status(),
            "roll": self.roll_status(),
            "advice": {"held": self.trials.advised.get().0, "back": self.trials.advised.get().1},
            "reports": {"taken": taken, "refused": refused, "unanswered": silent},
        })
    }
}
