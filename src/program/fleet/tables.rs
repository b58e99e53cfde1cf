//! Formats the responses of `/api/fleet` and `/api/crossings`, whose keys it reads, as tables.

use serde_json::Value;
use std::time::{Duration, UNIX_EPOCH};

/// The length of a date with hours and minutes in bytes, as in `2026-01-31T12:34`.
const MINUTE_BYTES: usize = 16;

/// A string value, or a dash for any other value.
fn text_or_dash(value: &Value) -> &str {
    value.as_str().unwrap_or("-")
}

/// The elements of an array; none for any other value.
fn elements(value: &Value) -> impl Iterator<Item = &Value> {
    value.as_array().into_iter().flatten()
}

/// Formats the budgets as this node has them; if it allocates the budgets, also the share of each node.
pub(super) fn format_budgets(status: &Value) -> String {
    if status["budgets"].is_null() {
        return "this fleet has no budgets\n".into();
    }
    let mut table = format!(
        "budgets of fleet {}, as {} sees them\n\n",
        text_or_dash(&status["fleet"]),
        text_or_dash(&status["node"])
    );
    table += &format!(
        "{:<20} {:>10} {:>10} {:>12} {:>10} {:>7} {:>9}\n",
        "budget", "whole/s", "floor/s", "own share/s", "wanted/s", "worth", "left ms"
    );
    for budget in elements(&status["budgets"]["own"]) {
        table += &format_own_budget(budget);
    }
    let allocator = &status["budgets"]["divided"];
    if allocator.is_null() {
        table +=
            "\nanother node allocates the budgets and has the share of each node ('poppykeel fleet status' names it)\n";
    }
    for budget in elements(&allocator["budgets"]) {
        table += &format_allocated_budget(budget, &allocator["epoch"]);
    }
    table
}

/// Formats the node's own share of one budget.
fn format_own_budget(budget: &Value) -> String {
    let name = text_or_dash(&budget["budget"]);
    let limit = &budget["whole"];
    let guaranteed = &budget["floor"];
    let granted = &budget["share"];
    let wanted = &budget["wanted"];
    let weight = &budget["worth"];
    let time_left = &budget["left_ms"];
    format!("{name:<20} {limit:>10} {guaranteed:>10} {granted:>12} {wanted:>10} {weight:>7} {time_left:>9}\n")
}

/// Formats one budget that the node allocates, with the share of each node.
fn format_allocated_budget(budget: &Value, epoch: &Value) -> String {
    let name = text_or_dash(&budget["budget"]);
    let allocatable = &budget["divided"];
    let allocated = &budget["given"];
    let free = &budget["free"];
    let mut table = format!(
        "\n{name}: {allocatable}/s divided, {allocated} given, {free} free (epoch {epoch})\n"
    );
    let lowered_in_ms = &budget["lowered_in_ms"];
    if lowered_in_ms.as_u64().is_some_and(|ms| ms > 0) {
        table +=
            &format!("  the limit was lowered: it takes full effect within {lowered_in_ms} ms\n");
    }
    for node in elements(&budget["nodes"]) {
        table += &format!(
            "  {:<16} {:>10}\n",
            text_or_dash(&node["node"]),
            node["share"]
        );
    }
    table
}

/// Formats the numbers of requests to other zones, by minute.
pub(super) fn format_cross_zone_traffic(response: &Value) -> String {
    let mut table = format!(
        "{:<18} {:<16} {:<16} {:>9}\n",
        "minute (UTC)", "class", "tenant", "crossings"
    );
    for row in elements(response) {
        let minutes = row["minute"].as_u64().unwrap_or(0);
        let time = UNIX_EPOCH + Duration::from_secs(minutes * 60);
        let time = humantime::format_rfc3339_seconds(time).to_string();
        let minute = time.get(..MINUTE_BYTES).unwrap_or(&time).replace('T', " ");
        let class = text_or_dash(&row["class"]);
        let tenant = text_or_dash(&row["tenant"]);
        let count = &row["count"];
        table += &format!("{minute:<18} {class:<16} {tenant:<16} {count:>9}\n");
    }
    table
}

/// Formats the members, lease servers, leases, the newest rolling restart and the message counters.
pub(super) fn format_status(status: &Value) -> String {
    [
        format_members(status),
        format_missing_lease_servers(status),
        format_leases(status),
        format_lease_server(&status["keeper"]),
        format_rolling_restart(&status["roll"]),
        format_messages(&status["messages"]),
    ]
    .concat()
}

fn format_members(status: &Value) -> String {
    let mut table = format!(
        "fleet {}, as {} sees it\n\n",
        text_or_dash(&status["fleet"]),
        text_or_dash(&status["node"])
    );
    table += &format!(
        "{:<16} {:<22} {:<17} keeper\n",
        "member", "address", "incarnation"
    );
    for member in elements(&status["members"]) {
        let name = text_or_dash(&member["name"]);
        let address = text_or_dash(&member["addr"]);
        let incarnation = text_or_dash(&member["incarnation"]);
        let keeper = if member["keeper"] == true { "yes" } else { "" };
        table += &format!("{name:<16} {address:<22} {incarnation:<17} {keeper}\n");
    }
    table
}

fn format_missing_lease_servers(status: &Value) -> String {
    let is_member = |name: &str| {
        elements(&status["members"]).any(|member| text_or_dash(&member["name"]) == name)
    };
    let missing: Vec<&str> = elements(&status["keepers"])
        .map(text_or_dash)
        .filter(|name| !is_member(name))
        .collect();
    if missing.is_empty() {
        return String::new();
    }
    format!("keepers that are not there: {}\n", missing.join(", "))
}

fn format_leases(status: &Value) -> String {
    let mut table = format!(
        "\n{:<16} {:<8} {:<24} {:>9}\n",
        "task", "epoch", "held by", "left ms"
    );
    for lease in elements(&status["claims"]) {
        let task = text_or_dash(&lease["task"]);
        let held_epoch = lease["held_epoch"].as_u64();
        let epoch = held_epoch.map_or("-".into(), |epoch| epoch.to_string());
        let (holder, time_left) = if held_epoch.is_some() {
            let holder = format!("{} (this node)", text_or_dash(&status["node"]));
            (holder, lease["left_ms"].to_string())
        } else {
            (
                text_or_dash(&lease["other"]["node"]).to_string(),
                "-".into(),
            )
        };
        table += &format!("{task:<16} {epoch:<8} {holder:<24} {time_left:>9}\n");
    }
    table
}

/// Formats the state of the lease server on this node; empty if there is none.
fn format_lease_server(server: &Value) -> String {
    if !server.is_object() {
        return String::new();
    }
    let mut table = format!(
        "\nthis node is a keeper: {}\n",
        text_or_dash(&server["standing"])
    );
    for row in elements(&server["table"]) {
        let task = text_or_dash(&row["task"]);
        let epoch = &row["epoch"];
        let holder = text_or_dash(&row["holder"]["node"]);
        let time_left = &row["left_ms"];
        table += &format!("{task:<16} {epoch:<8} {holder:<24} {time_left:>9}\n");
    }
    table
}

/// Formats the newest rolling restart; empty if there was none.
fn format_rolling_restart(restart: &Value) -> String {
    if !restart.is_object() {
        return String::new();
    }
    let mut table = format!(
        "\nroll {} ordered at {}: {} nodes, at most {} out; this node: {}\n",
        restart["number"],
        text_or_dash(&restart["by"]),
        restart["nodes"],
        restart["out"],
        text_or_dash(&restart["part"])
    );
    let coordinator = &restart["charge"];
    if coordinator.is_object() {
        table += &format!(
            "this node is in charge: {} out, {} done, {} waiting, {} not heard of\n",
            coordinator["out"], coordinator["done"], coordinator["waiting"], coordinator["gone"]
        );
    }
    table
}

fn format_messages(messages: &Value) -> String {
    format!(
        "\nmessages: {} sent, {} taken; dropped: {} garbled, {} foreign, {} of another list of keepers\n",
        messages["sent"],
        messages["taken"],
        messages["garbled"],
        messages["foreign"],
        messages["other_keepers"]
    )
}
