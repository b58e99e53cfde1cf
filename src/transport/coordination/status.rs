//! The coordination status shown to operators: the response of `/api/fleet`, and metrics. Keys and values of both are a
//! public interface and must not be renamed.

use super::CoordinationDriver;
use poppykeel_coordination::gossip::Member;
use poppykeel_coordination::lease::{LeaseTableEntry, RecoveryState};
use poppykeel_coordination::node::{LeaseServerStatus, LeaseStatus, NodeStatus};
use poppykeel_coordination::Micros;
use poppykeel_coordination::ProcessId;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;

const MICROS_PER_MS: Micros = 1000;

impl CoordinationDriver {
    /// The metrics of coordination: names without the prefix `app_`, and values.
    pub fn metrics(&self) -> Vec<(String, u64)> {
        let node = self.node.borrow();
        let status = node.status(self.clock.now());
        let counters = node.counters();
        let transport = self.counters.get();
        let held_leases = status.leases.iter();
        let held_leases = held_leases.filter(|lease| lease.held_epoch.is_some());
        let is_granting = status
            .lease_server
            .as_ref()
            .is_some_and(|server| server.recovery == RecoveryState::Granting);
        let own = [
            ("fleet_members", status.peers.len() as u64 + 1),
            ("fleet_leases_held", held_leases.count() as u64),
            ("fleet_keeper_granting", u64::from(is_granting)),
            ("fleet_keeper_disk_failed", u64::from(status.has_log_failed)),
            ("fleet_grants", counters.granted),
            ("fleet_refusals", counters.refused),
            ("fleet_messages_sent", counters.messages_sent),
            ("fleet_messages_taken", counters.messages_received),
            ("fleet_messages_garbled", transport.malformed),
            (
                "fleet_messages_foreign",
                transport.misaddressed + counters.mismatched_server_list,
            ),
        ];
        let mut metrics: Vec<(String, u64)> = Vec::new();
        for (name, value) in own {
            metrics.push((name.to_string(), value));
        }
        metrics.extend(self.budget_metrics());
        metrics
    }

    /// Members, lease servers, leases and the tasks under them, from this node's view.
    pub fn status(&self) -> Value {
        let now = self.clock.now();
        let node = self.node.borrow();
        let status = node.status(now);
        let lease_servers = node.lease_servers();
        let lease_server = status
            .lease_server
            .as_ref()
            .map(|server| lease_server_status(server, status.has_log_failed, now));
        let leases: Vec<Value> = status.leases.iter().map(lease_status).collect();
        let counters = node.counters();
        let advice = self.probing.advice();
        let reports = self.report.outcomes();
        json!({
            "fleet": self.settings.node.fleet,
            "node": status.local.name,
            "members": member_statuses(&status, lease_servers),
            "keepers": lease_servers.keys().collect::<Vec<_>>(),
            "keepers_number": node.lease_servers_number(),
            "keeper": lease_server,
            "claims": leases,
            "messages": self.message_status(),
            "grants": counters.granted,
            "refusals": counters.refused,
            "budgets": self.budget_status(),
            "roll": self.restart_status(),
            "advice": {"held": advice.held_back, "back": advice.readmitted},
            "reports": {
                "taken": reports.accepted,
                "refused": reports.refused,
                "unanswered": reports.unanswered,
            },
        })
    }

    fn message_status(&self) -> Value {
        let counters = self.node.borrow().counters();
        let transport = self.counters.get();
        json!({
            "sent": counters.messages_sent,
            "sent_bytes": transport.sent_bytes,
            "taken": counters.messages_received,
            "garbled": transport.malformed,
            "foreign": transport.misaddressed,
            "other_keepers": counters.mismatched_server_list,
            "unreached": transport.unreachable,
        })
    }
}

/// All members, sorted by name.
fn member_statuses(
    status: &NodeStatus,
    lease_servers: &BTreeMap<String, SocketAddr>,
) -> Vec<Value> {
    let member_status = |member: &Member| {
        json!({
            "name": member.name,
            "addr": member.address.to_string(),
            "incarnation": format!("{:016x}", member.incarnation),
            "keeper": lease_servers.contains_key(&member.name),
        })
    };
    let mut members = vec![member_status(&status.local)];
    members.extend(status.peers.iter().map(member_status));
    members.sort_by_key(|member| member["name"].to_string());
    members
}

fn lease_status(lease: &LeaseStatus) -> Value {
    json!({
        "task": lease.task,
        "held_epoch": lease.held_epoch,
        "left_ms": lease.remaining / MICROS_PER_MS,
        "other": process_status(lease.other_holder.as_ref()),
    })
}

fn lease_server_status(server: &LeaseServerStatus, has_log_failed: bool, now: Micros) -> Value {
    let standing = if has_log_failed {
        "disk failed".to_string()
    } else {
        format_recovery(&server.recovery, now)
    };
    let table: Vec<Value> = server.table.iter().map(table_entry_status).collect();
    json!({"standing": standing, "table": table})
}

fn format_recovery(recovery: &RecoveryState, now: Micros) -> String {
    match recovery {
        RecoveryState::Recovering { answered, blank } => format!(
            "asking the other keepers ({} answered, {} with no memory)",
            answered.len(),
            blank.len()
        ),
        RecoveryState::WaitingForOldGrants(until) => format!(
            "waiting {} ms for grants from before its start",
            until.saturating_sub(now) / MICROS_PER_MS
        ),
        RecoveryState::Granting => "granting".to_string(),
    }
}

fn table_entry_status(entry: &LeaseTableEntry) -> Value {
    json!({
        "task": entry.task,
        "epoch": entry.epoch,
        "holder": process_status(entry.holder.as_ref()),
        "left_ms": entry.remaining / MICROS_PER_MS,
    })
}

fn process_status(process: Option<&ProcessId>) -> Value {
    match process {
        Some(process) => json!({
            "node": process.node,
            "incarnation": format!("{:016x}", process.incarnation),
        }),
        None => Value::Null,
    }
}
