//! `poppykeel resolve`: asks each source once, or for as long as it is watched, and shows what it says and the list
//! that follows. It serves nobody and sends nothing to any server.

#![expect(
    clippy::min_ident_chars,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

use super::config::operator::Operator;
use super::config::Config;
use super::files::{OperatorFile, Over};
use crate::transport::clock::Clock;
use crate::transport::discovery::Watch;
use crate::transport::messages::{DispatcherMessage, ENDPOINT_LIST_SOURCE, SRV_SOURCE};
use crate::transport::srv::{Lookups, Newest};
use crate::transport::Bounds;
use poppykeel_endpoints::{Membership, Told};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::io::Write as _;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio::time::Instant;

/// Messages of the sources that wait to be looked at.
const MESSAGES: usize = 64;
/// One watch of discovery waits so long where nothing is newer.
const WATCH: Duration = Duration::from_millis(1000);
/// A source that failed is watched again after this.
const AGAIN: Duration = Duration::from_secs(2);

#[derive(clap::Args)]
pub(super) struct Resolve {
    #[command(flatten)]
    operator: OperatorFile,
    /// The platform's configuration, as JSON, for where discovery listens
    #[arg(long, env = "GW_CONFIG", value_name = "FILE")]
    config: Option<PathBuf>,
    #[command(flatten)]
    over: Over,
    /// Print one JSON object, or one for each change
    #[arg(long)]
    json: bool,
    /// Go on and show each change, until interrupted
    #[arg(long)]
    watch: bool,
    /// Without --watch, wait at most so many seconds for the sources
    #[arg(long, default_value_t = 10.0, value_name = "SECONDS")]
    wait: f64,
}

/// What a source has come to.
enum Said {
    Nothing,
    Answered,
    Failed,
}

impl Resolve {
    /// Whether there is a list in the end.
    pub(super) fn run(&self) -> Result<bool, String> {
        let operator = self.operator.read()?;
        let discovery = if operator.lists() {
            self.discovery(&operator)?
        } else {
            None
        };
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
        LocalSet::new().block_on(&runtime, self.ask(&operator, discovery))
    }

    /// Where discovery listens: the command line's, the operators' or the platform's word, in this order.
    fn discovery(&self, operator: &Operator) -> Result<Option<SocketAddr>, String> {
        if let Some(text) = &self.over.discovery {
            let addr = text.parse();
            return addr
                .map(Some)
                .map_err(|_| format!("discovery: expected ADDRESS:PORT, not '{text}'"));
        }
        let own = operator.membership.as_ref().and_then(|m| m.list.discovery);
        match (own, &self.config) {
            (Some(addr), _) => Ok(Some(addr)),
            (None, Some(path)) => self.over.read(path).map(|c: Config| Some(c.discovery)),
            (None, None) => Ok(None),
        }
    }

    async fn ask(
        &self,
        operator: &Operator,
        discovery: Option<SocketAddr>,
    ) -> Result<bool, String> {
        let clock = Clock::start();
        let (tell, mut told) = mpsc::channel(MESSAGES);
        let mut members = Membership::new(operator.members().membership);
        let mut lookups = Lookups::new(clock, tell.clone());
        let newest = lookups.newest();
        lookups.set(operator.service());
        let watch = discovery.map(|addr| Watch::new(addr, Rc::new(bounds()), tell.clone(), clock));
        if let Some(watch) = &watch {
            watch.start();
        } else if operator.lists() {
            eprintln!("poppykeel: list: where discovery listens is not told: expected --discovery, --config or membership.list.discovery");
        }
        let sources = members
            .settings()
            .sources
            .iter()
            .map(|s| (s.name.clone(), Said::Nothing));
        let mut said: BTreeMap<String, Said> = sources.collect();
        if watch.is_none() {
            said.entry(ENDPOINT_LIST_SOURCE.to_string())
                .and_modify(|s| *s = Said::Failed);
        }
        let end = Instant::now() + Duration::from_secs_f64(self.wait.clamp(0.0, 86_400.0));
        let mut shown = Value::Null;
        loop {
            let waiting = said.values().any(|s| matches!(s, Said::Nothing));
            if self.watch && !waiting {
                let next = describe(&members, &said, &newest, clock.now());
                // Times and counts go on; only a change of the list is one.
                let key: Value = next["servers"]
                    .as_array()
                    .into_iter()
                    .flatten()
                    .map(essence)
                    .collect();
                if key != shown {
                    self.show(&next)?;
                    shown = key;
                }
            } else if !waiting {
                break;
            }
            let due = members
                .due()
                .map(|at| Duration::from_micros(at.saturating_sub(clock.now())));
            let message = tokio::select! {
                message = told.recv() => message,
                () = tokio::time::sleep(due.unwrap_or(Duration::from_secs(3600))) => {
                    members.turn(clock.now());
                    continue;
                }
                () = tokio::time::sleep_until(end), if !self.watch => break,
            };
            let Some(DispatcherMessage::EndpointUpdate {
                source,
                update: told,
            }) = message
            else {
                continue;
            };
            let word = if told == Told::Failed {
                Said::Failed
            } else {
                Said::Answered
            };
            if let (Said::Failed, ENDPOINT_LIST_SOURCE, Some(watch), true) =
                (&word, source, &watch, self.watch)
            {
                let watch = watch.clone();
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(AGAIN).await;
                    watch.start();
                });
            }
            said.insert(source.to_string(), word);
            let place = members
                .settings()
                .sources
                .iter()
                .position(|s| s.name == source);
            place.map(|place| members.told(clock.now(), place, told));
        }
        self.show(&describe(&members, &said, &newest, clock.now()))?;
        Ok(members.usable() > 0)
    }

    fn show(&self, what: &Value) -> Result<(), String> {
        let text = if self.json {
            format!("{what}\n")
        } else {
            table(what)
        };
        std::io::stdout()
            .write_all(text.as_bytes())
            .map_err(|e| format!("standard output: {e}"))
    }
}

fn bounds() -> Bounds {
    let none = Duration::ZERO;
    Bounds {
        clients: 0,
        upstream: 0,
        held_bytes: 0,
        dial: none,
        idle: none,
        rest: none,
        stall: none,
        client_idle: none,
        read: none,
        probe: none,
        watch: WATCH,
        watch_slack: Duration::from_millis(1500),
        retry_watch: WATCH,
        retry_slack: Duration::from_millis(1500),
        linger: none,
    }
}

/// What of a server counts as a change.
fn essence(server: &Value) -> Value {
    json!([
        server["name"],
        server["addr"],
        server["state"],
        server["opinions"]
    ])
}

fn describe(
    members: &Membership,
    said: &BTreeMap<String, Said>,
    newest: &Newest,
    now: poppykeel_dns_resolver::Micros,
) -> Value {
    let servers: Vec<Value> = members
        .servers()
        .iter()
        .map(|s| {
            let opinions = members.sources(s);
            let sources: Vec<&str> = opinions.iter().map(|o| o.0.as_str()).collect();
            let opinions: BTreeMap<&str, &str> =
                opinions.iter().map(|(name, o)| (name.as_str(), o.word())).collect();
            json!({
                "name": s.name, "addr": s.entry.addr.to_string(), "state": s.standing.word(),
                "sources": sources, "opinions": opinions, "reason": members.reason(s),
                "zone": s.entry.zone, "kind": s.entry.kind, "weight": s.weight, "priority": s.priority,
            })
        })
        .collect();
    let sources: Vec<Value> = members
        .settings()
        .sources
        .iter()
        .map(|source| {
            let state = match said.get(&source.name) {
                Some(Said::Answered) => "answered",
                Some(Said::Failed) => "failed",
                _ => "silent",
            };
            let mut value = json!({"name": source.name, "state": state});
            if source.name == SRV_SOURCE {
                records(&mut value, newest, now);
            }
            value
        })
        .collect();
    json!({"usable": members.usable(), "servers": servers, "sources": sources})
}

fn records(value: &mut Value, newest: &Newest, now: poppykeel_dns_resolver::Micros) {
    let left = |at: u64| at.saturating_sub(now) as f64 / 1e6;
    match &*newest.borrow() {
        Some(Ok(found)) => {
            let records = found.endpoints.iter().map(|e| {
                json!({
                    "target": e.target, "addr": e.addr.to_string(), "priority": e.priority,
                    "weight": e.weight, "expires_s": left(e.expires), "stale": e.stale,
                })
            });
            value["records"] = records.collect();
            value["expires_s"] = left(found.expires).into();
            value["nothing"] = found.nothing.clone().into();
            let unresolved = found.unresolved.iter();
            value["unresolved"] = unresolved
                .map(|(t, why)| json!({"target": t, "why": why}))
                .collect();
        }
        Some(Err(why)) => value["why"] = why.as_str().into(),
        None => {}
    }
}

fn table(what: &Value) -> String {
    let mut out = String::new();
    let list = |value: &Value| value.as_array().cloned().unwrap_or_default();
    let text = |value: &Value| {
        value
            .as_str()
            .map_or_else(|| value.to_string(), String::from)
    };
    for source in list(&what["sources"]) {
        let why = ["why", "nothing"].iter().find_map(|k| source[*k].as_str());
        let why = why.map_or(String::new(), |w| format!(": {w}"));
        let _ = writeln!(
            out,
            "{} {}{why}",
            text(&source["name"]),
            text(&source["state"])
        );
        for r in list(&source["records"]) {
            let _ = writeln!(
                out,
                "  {} priority {} weight {} at {}, {:.1} s left",
                text(&r["target"]),
                r["priority"],
                r["weight"],
                text(&r["addr"]),
                r["expires_s"].as_f64().unwrap_or(0.0)
            );
        }
        for u in list(&source["unresolved"]) {
            let _ = writeln!(out, "  {}: {}", text(&u["target"]), text(&u["why"]));
        }
    }
    let servers = list(&what["servers"]);
    let _ = writeln!(
        out,
        "{} of {} servers take work",
        what["usable"],
        servers.len()
    );
    for s in servers {
        let named: Vec<String> = list(&s["sources"]).iter().map(text).collect();
        let _ = writeln!(
            out,
            "  {:<9} {:<22} {:<9} {} ({})",
            text(&s["state"]),
            text(&s["addr"]),
            named.join("+"),
            text(&s["name"]),
            text(&s["reason"])
        );
    }
    out
}
