//! What operators are shown of the fleet.

use super::Fleet;
use poppykeel_fleet::lease::{Holder, Standing};
use serde_json::{json, Value};

fn holder(holder: &Option<Holder>) -> Value {
    match holder {
        Some(h) => json!({"node": h.node, "incarnation": format!("{:016x}", h.incarnation)}),
        None => Value::Null,
    }
}

impl Fleet {
    /// Members, keepers and leases as this node sees them.
    pub fn status(&self) -> Value {
        let now = self.clock.now();
        let (status, counts, dropped) =
            (self.node.borrow().status(now), self.node.borrow().counts(), self.dropped.get());
        let keepers = self.node.borrow().keepers();
        let member = |m: &poppykeel_fleet::members::Member| {
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
            "messages": {"sent": counts.sent, "taken": counts.taken, "garbled": dropped.garbled,
                "foreign": dropped.foreign, "other_keepers": counts.other_keepers, "unreached": dropped.unreached},
            "grants": counts.granted, "refusals": counts.refused,
            "roll": self.roll_status(),
            "advice": {"held": self.trials.advised.get().0, "back": self.trials.advised.get().1},
            "reports": {"taken": taken, "refused": refused, "unanswered": silent},
        })
    }
}
