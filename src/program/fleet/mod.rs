//! `poppykeel fleet`: what a running node says of its fleet.

#![expect(
    clippy::min_ident_chars,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

use clap::{Args, Subcommand};
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A node answers its operators within a second, or not at all.
const WAIT: Duration = Duration::from_secs(3);

#[derive(Args)]
pub(super) struct Fleet {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Show members, keepers, and who holds what for how long
    Status(Status),
    /// Show the fleet's budgets: whole, floors, what is given to whom, and what is free
    Budgets(Status),
    /// Show what crossed between zones at this node: by minute, class and tenant
    Crossings(Status),
    /// Take all nodes out one after the other: each lets its clients go, stays out for a while and comes back
    Roll(Roll),
}

#[derive(Args)]
struct Roll {
    /// The operators' address of any node of the fleet
    #[arg(long, env = "GW_ADMIN", value_name = "ADDRESS")]
    admin: SocketAddr,
    /// At most so many nodes are out at once
    #[arg(long, default_value_t = 1)]
    out: u32,
    /// Each stays out for so long once its clients have gone
    #[arg(long, default_value = "0s", value_parser = humantime::parse_duration)]
    hold: Duration,
}

#[derive(Args)]
struct Status {
    /// The operators' address of any node of the fleet
    #[arg(long, env = "GW_ADMIN", value_name = "ADDRESS")]
    admin: SocketAddr,
    /// As the node tells it, as JSON
    #[arg(long)]
    json: bool,
}

impl Fleet {
    pub(super) fn run(&self) -> Result<(), String> {
        let status = match &self.what {
            What::Status(status) | What::Budgets(status) | What::Crossings(status) => status,
            What::Roll(roll) => {
                let (out, hold) = (roll.out, roll.hold.as_millis());
                let told = call(
                    roll.admin,
                    &format!("POST /api/fleet/roll?out={out}&hold_ms={hold}"),
                )?;
                println!("{told}\n'poppykeel fleet status' shows how far it is");
                return Ok(());
            }
        };
        let path = if matches!(self.what, What::Crossings(_)) {
            "crossings"
        } else {
            "fleet"
        };
        let body = call(status.admin, &format!("GET /api/{path}"))?;
        let told: Value =
            serde_json::from_str(&body).map_err(|e| format!("{}: {e}", status.admin))?;
        match (&self.what, status.json) {
            (What::Budgets(_), true) => println!("{:#}", told["budgets"]),
            (What::Budgets(_), false) => print!("{}", budgets(&told)),
            (What::Crossings(_), false) => print!("{}", crossings(&told)),
            (_, true) => println!("{told:#}"),
            (_, false) => print!("{}", table(&told)),
        }
        Ok(())
    }
}

/// One call at a node's operators' address; the body of its answer.
fn call(admin: SocketAddr, line: &str) -> Result<String, String> {
    let named = |e: std::io::Error| format!("admin {admin}: {e}");
    let mut stream = TcpStream::connect_timeout(&admin, WAIT).map_err(named)?;
    stream.set_read_timeout(Some(WAIT)).map_err(named)?;
    write!(
        stream,
        "{line} HTTP/1.1\r\nHost: {admin}\r\nContent-Length: 0\r\n\r\n"
    )
    .map_err(named)?;
    let mut text = String::new();
    stream.read_to_string(&mut text).map_err(named)?;
    let (head, body) = text
        .split_once("\r\n\r\n")
        .ok_or(format!("admin {admin}: no answer"))?;
    match head.split(' ').nth(1) {
        Some("200") => Ok(body.to_string()),
        status => Err(format!(
            "admin {admin}: {} {body}",
            status.unwrap_or("no status")
        )),
    }
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or("-")
}

fn rows(value: &Value) -> impl Iterator<Item = &Value> {
    value.as_array().into_iter().flatten()
}

/// The budgets as a person reads them.
fn budgets(told: &Value) -> String {
    if told["budgets"].is_null() {
        return "this fleet has no budgets\n".into();
    }
    let mut out = format!(
        "budgets of fleet {}, as {} sees them\n\n",
        text(&told["fleet"]),
        text(&told["node"])
    );
    out += &format!(
        "{:<20} {:>10} {:>10} {:>12} {:>10} {:>7} {:>9}\n",
        "budget", "whole/s", "floor/s", "own share/s", "wanted/s", "worth", "left ms"
    );
    for b in rows(&told["budgets"]["own"]) {
        let (name, whole, floor) = (text(&b["budget"]), &b["whole"], &b["floor"]);
        let (share, wanted, worth, left) = (&b["share"], &b["wanted"], &b["worth"], &b["left_ms"]);
        out += &format!(
            "{name:<20} {whole:>10} {floor:>10} {share:>12} {wanted:>10} {worth:>7} {left:>9}\n"
        );
    }
    let divided = &told["budgets"]["divided"];
    if divided.is_null() {
        out +=
            "\nanother node divides: ask it for who has what ('poppykeel fleet status' names it)\n";
    }
    for b in rows(&divided["budgets"]) {
        let (name, whole, given, free) =
            (text(&b["budget"]), &b["divided"], &b["given"], &b["free"]);
        out += &format!(
            "\n{name}: {whole}/s divided, {given} given, {free} free (epoch {})\n",
            divided["epoch"]
        );
        if b["lowered_in_ms"].as_u64().is_some_and(|ms| ms > 0) {
            out += &format!(
                "  the whole was lowered: reached in {} ms at the latest\n",
                b["lowered_in_ms"]
            );
        }
        for n in rows(&b["nodes"]) {
            out += &format!("  {:<16} {:>10}\n", text(&n["node"]), n["share"]);
        }
    }
    out
}

/// The account of crossings as a person reads it.
fn crossings(told: &Value) -> String {
    let mut out = format!(
        "{:<18} {:<16} {:<16} {:>9}\n",
        "minute (UTC)", "class", "tenant", "crossings"
    );
    for row in rows(told) {
        let at =
            std::time::UNIX_EPOCH + Duration::from_secs(row["minute"].as_u64().unwrap_or(0) * 60);
        let at = humantime::format_rfc3339_seconds(at).to_string();
        let minute = at.get(..16).unwrap_or(&at).replace('T', " ");
        let (class, tenant) = (text(&row["class"]), text(&row["tenant"]));
        out += &format!(
            "{minute:<18} {class:<16} {tenant:<16} {:>9}\n",
            row["count"]
        );
    }
    out
}

/// What a person reads.
fn table(told: &Value) -> String {
    let mut out = format!(
        "fleet {}, as {} sees it\n\n",
        text(&told["fleet"]),
        text(&told["node"])
    );
    out += &format!(
        "{:<16} {:<22} {:<17} keeper\n",
        "member", "address", "incarnation"
    );
    for m in rows(&told["members"]) {
        let keeper = if m["keeper"] == true { "yes" } else { "" };
        let (name, addr, incarnation) =
            (text(&m["name"]), text(&m["addr"]), text(&m["incarnation"]));
        out += &format!("{name:<16} {addr:<22} {incarnation:<17} {keeper}\n");
    }
    let missing: Vec<&str> = rows(&told["keepers"])
        .map(text)
        .filter(|k| !rows(&told["members"]).any(|m| text(&m["name"]) == *k))
        .collect();
    if !missing.is_empty() {
        out += &format!("keepers that are not there: {}\n", missing.join(", "));
    }
    out += &format!(
        "\n{:<16} {:<8} {:<24} {:>9}\n",
        "task", "epoch", "held by", "left ms"
    );
    for c in rows(&told["claims"]) {
        let (by, left) = match c["held_epoch"].as_u64() {
            Some(_) => (
                format!("{} (this node)", text(&told["node"])),
                c["left_ms"].to_string(),
            ),
            None => (text(&c["other"]["node"]).to_string(), "-".into()),
        };
        let epoch = c["held_epoch"]
            .as_u64()
            .map_or("-".into(), |e| e.to_string());
        out += &format!("{:<16} {epoch:<8} {by:<24} {left:>9}\n", text(&c["task"]));
    }
    if let Some(keeper) = told["keeper"].as_object() {
        out += &format!("\nthis node is a keeper: {}\n", text(&keeper["standing"]));
        for r in rows(&keeper["table"]) {
            let (epoch, by, left) = (&r["epoch"], text(&r["holder"]["node"]), &r["left_ms"]);
            out += &format!("{:<16} {epoch:<8} {by:<24} {left:>9}\n", text(&r["task"]));
        }
    }
    if let Some(roll) = told["roll"].as_object() {
        out += &format!(
            "\nroll {} ordered at {}: {} nodes, at most {} out; this node: {}\n",
            roll["number"],
            text(&roll["by"]),
            roll["nodes"],
            roll["out"],
            text(&roll["part"])
        );
        if let Some(charge) = roll["charge"].as_object() {
            out += &format!(
                "this node is in charge: {} out, {} done, {} waiting, {} not heard of\n",
                charge["out"], charge["done"], charge["waiting"], charge["gone"]
            );
        }
    }
    let m = &told["messages"];
    out += &format!(
        "\nmessages: {} sent, {} taken; dropped: {} garbled, {} foreign, {} of another list of keepers\n",
        m["sent"], m["taken"], m["garbled"], m["foreign"], m["other_keepers"]
    );
    out
}
