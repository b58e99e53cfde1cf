//! Writes the configuration of a node for the description of a run.

use super::stub_discovery::StubDiscovery;
use crate::emulator::description::{ClassDescription, RepeatSafety, RunDescription};
use crate::emulator::scheduler_settings;
use poppykeel_scheduler::SchedulerSettings;
use serde_json::{json, Value};
use std::net::SocketAddr;

/// The configuration of one node of a run, as JSON.
pub fn node_config(
    run: &RunDescription,
    node: usize,
    listen: SocketAddr,
    discovery: &StubDiscovery,
) -> String {
    let settings = scheduler_settings(run, node);
    json!({
        "name": format!("lab-{node}"),
        "listen": listen.to_string(),
        "discovery": discovery.address().to_string(),
        "seed": (node + 1).to_string(),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 4096},
        "known": discovery.full_list(),
        "settings": site_settings(run, node, &settings),
    })
    .to_string()
}

fn site_settings(run: &RunDescription, node: usize, settings: &SchedulerSettings) -> Value {
    let fleet = &run.fleet;
    let zones: Vec<String> = (0..fleet.zones).map(|zone| format!("z{zone}")).collect();
    let classes: Vec<Value> = run.class.iter().map(class_settings).collect();
    let token_objectives: Vec<f64> = run.class.iter().map(|class| class.token_aim_s).collect();
    let limits = &settings.limits;
    let lifecycle = &settings.lifecycle;
    json!({
        "balancers": fleet.nodes,
        "me": node,
        "zone": settings.zone,
        "zones": zones,
        "hostTypes": ["k"],
        "tenants": tenant_settings(run, settings),
        "classes": classes,
        "limits": {
            "probes": limits.allows_probes,
            "cancel": limits.allows_cancellation,
            "secondCopies": limits.allows_hedging,
            "mostTries": limits.max_attempts,
            "retryAfter": true,
            "maxRetryAfter": limits.max_retry_after,
            "dialTimeout": fleet.dial_s,
            "keepalive": 60.0,
        },
        "report": {"source": "inline", "fields": ["x0", "x1"]},
        "rules": {
            "drainGrace": lifecycle.drain_grace,
            "cold": lifecycle.slow_start_duration,
            "coldFrom": lifecycle.slow_start_initial_fraction,
            "overloadFactor": lifecycle.overload_factor,
            "fall": lifecycle.overload_window,
            "askEvery": lifecycle.poll_interval,
        },
        "specifics": {"tokenAim": token_objectives},
        "costs": {},
        "membershipMode": "pushed",
    })
}

fn class_settings(class: &ClassDescription) -> Value {
    let semantics = match class.repeats {
        RepeatSafety::Safe => "safe",
        RepeatSafety::Unsafe => "unsafe",
    };
    json!({
        "name": class.name,
        "goalTime": class.aim_s,
        "giveUp": class.deadline_s,
        "gain": class.worth,
        "lateValue": class.late_worth,
        "semantics": semantics,
        "streaming": true,
    })
}

/// The tenants with their quotas; empty if there is only one tenant.
fn tenant_settings(run: &RunDescription, settings: &SchedulerSettings) -> Vec<Value> {
    let mut tenants = Vec::new();
    for (description, tenant) in run.tenant.iter().zip(&settings.tenants) {
        tenants.push(json!({
            "name": description.name,
            "share": tenant.quota,
            "allowancePerS": tenant.rate_limit,
        }));
    }
    tenants
}
