//! `break budgets`: nodes with budgets for all of them, servers that fail in spans, and faults between the nodes. What is
//! judged is what the stand-in servers wrote down: a request's second arrival is a retry or a copy, a question how the
//! server is a probe, and an arrival from a node of another zone a crossing.

#![expect(
    clippy::min_ident_chars,
    clippy::missing_errors_doc,
    reason = "not yet converted"
)]

use super::faults::{Fault, Kind};
use super::fleet::{Fleet, Shape};
use super::history::History;
use super::roll::{call, holder_of};
use super::Collector;
use crate::sockets::{Arrival, Arrivals};
use crate::Micros;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};
use std::cell::Cell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;

/// From one request of a client to its next, at a node that gets the mean.
const PAUSE: Duration = Duration::from_millis(30);
/// An answer that takes longer is given up.
const ANSWER: Duration = Duration::from_secs(4);
/// What leaves a node in time may reach a server so much later than what left before it.
const SLACK: f64 = 0.05;
/// Of a request's id these bits name its node, from one on.
const NODE: u32 = 40;

/// How the budgets reach the nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Division {
    /// By shares that follow what nodes want.
    Shares,
    /// In equal parts: the whole is the nodes' floors.
    Equal,
    /// Nobody counts.
    None,
}

/// What is wanted.
#[derive(Clone, Debug)]
pub struct Budgeted {
    /// The fleet.
    pub shape: Shape,
    /// Faults, one after the other.
    pub rounds: usize,
    /// From which all is drawn.
    pub seed: u64,
    /// Only these kinds, or all.
    pub only: Vec<Kind>,
    /// Retries a second of the whole fleet, and at once; crossings are twice that, probes half.
    pub whole: (f64, f64),
    /// How the nodes get it.
    pub division: Division,
    /// The first node gets so many times the requests of any other.
    pub hot: f64,
}

/// What the servers' record says of one kind of work.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counted {
    /// Arrivals.
    pub count: usize,
    /// The worst window as a part of its bound.
    pub worst: f64,
    /// Arrivals in the busiest second as a part of the rate.
    pub busiest: f64,
}

/// What was found.
#[derive(Clone, Debug, Default)]
pub struct Spent {
    /// Rounds played.
    pub rounds: usize,
    /// Requests that clients sent, and of these the ones answered whole.
    pub asked: usize,
    /// See there.
    pub served: usize,
    /// Requests that reached servers.
    pub requests: usize,
    /// Arrivals beyond a request's first.
    pub repeats: Counted,
    /// Questions how servers are.
    pub probes: Counted,
    /// Arrivals from another zone.
    pub crossings: Counted,
    /// Crossings that the nodes tell of; those of processes that were killed are lost with them.
    pub reported: u64,
    /// Units a second of the retries' whole that were neither with a node nor free once all was quiet, by the nodes' words.
    pub lost: f64,
}

impl Spent {
    /// The worst window of all kinds as a part of its bound.
    pub fn worst(&self) -> f64 {
        [self.repeats, self.probes, self.crossings]
            .iter()
            .map(|c| c.worst)
            .fold(0.0, f64::max)
    }
    /// Windows that were looked at: each from one arrival to a later one of its kind.
    pub fn windows(&self) -> u64 {
        let pairs = |c: Counted| c.count as u64 * (c.count as u64 + 1) / 2;
        [self.repeats, self.probes, self.crossings]
            .map(pairs)
            .iter()
            .sum()
    }
}

/// The most by which arrivals in any window exceed the rate times its length.
fn most_beyond(times: &[Micros], rate: f64) -> f64 {
    let (mut level, mut last, mut most) = (0.0f64, 0, 0.0f64);
    for at in times {
        level = (level - rate * (at - last) as f64 / 1e6).max(0.0) + 1.0;
        (last, most) = (*at, most.max(level));
    }
    most
}

fn counted(times: &[Micros], (rate, burst): (f64, f64)) -> Counted {
    let worst = most_beyond(times, rate) / (burst + rate * SLACK);
    let busiest = (0..times.len())
        .map(|n| times[n..].partition_point(|t| t - times[n] < 1_000_000))
        .max();
    Counted {
        count: times.len(),
        worst,
        busiest: busiest.unwrap_or(0) as f64 / rate,
    }
}

/// The zone of the node that took a request first, by its id.
fn zone_of(id: &str, zones: usize) -> usize {
    let number = u64::from_str_radix(id, 16).unwrap_or(0) >> NODE;
    (number as usize).saturating_sub(1) % zones
}

/// Judges what the servers wrote down, in the order of arrival.
pub fn judge_budget(arrivals: &[Arrival], whole: (f64, f64), zones: usize) -> Spent {
    let mut seen = BTreeSet::new();
    let (mut repeats, mut probes, mut crossings) = (Vec::new(), Vec::new(), Vec::new());
    for arrival in arrivals {
        let Some(id) = &arrival.id else {
            probes.push(arrival.at);
            continue;
        };
        if !seen.insert(id) {
            repeats.push(arrival.at);
        }
        if zone_of(id, zones) != arrival.server % zones {
            crossings.push(arrival.at);
        }
    }
    let (rate, burst) = whole;
    Spent {
        requests: seen.len(),
        repeats: counted(&repeats, whole),
        probes: counted(&probes, (rate / 2.0, burst)),
        crossings: counted(&crossings, (rate * 2.0, burst * 2.0)),
        ..Spent::default()
    }
}

/// One request; true where it was answered whole.
async fn request(at: SocketAddr, id: u64) -> bool {
    let body = r#"{"model":"lab","stream":true,"max_tokens":4,"messages":[{"role":"user","content":"x"}]}"#;
    let asked = async {
        let mut stream = TcpStream::connect(at).await.ok()?;
        let text = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nReq-Id: {id:016x}\r\nReq-Kind: chat\r\nReq-Deadline: 3\r\n\
             Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(text.as_bytes()).await.ok()?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await.ok()?;
        Some(String::from_utf8_lossy(&answer).contains("[DONE]"))
    };
    matches!(tokio::time::timeout(ANSWER, asked).await, Ok(Some(true)))
}

/// What clients have sent, and what was answered.
#[derive(Default)]
struct Served {
    asked: Cell<usize>,
    served: Cell<usize>,
    end: Cell<bool>,
}

/// Clients of one node.
async fn clients(at: SocketAddr, node: u64, pause: Duration, told: Rc<Served>) {
    let mut number = 0;
    while !told.end.get() {
        number += 1;
        let own = told.clone();
        spawn_local(async move {
            own.asked.set(own.asked.get() + 1);
            let whole = request(at, (node + 1) << NODE | number).await;
            own.served.set(own.served.get() + usize::from(whole));
        });
        tokio::time::sleep(pause).await;
    }
}

/// The budgets as operators would write them.
fn written(wanted: &Budgeted) -> String {
    let (rate, burst) = wanted.whole;
    let nodes = wanted.shape.nodes as f64;
    let line = |name: &str, part: f64, burst_part: f64| {
        let (rate, burst) = (rate * part, burst * burst_part);
        let (floor, floor_burst) = match wanted.division {
            // What clocks may gain is out of the whole, too.
            Division::Equal => (rate / nodes * 0.9, burst / nodes),
            _ => (rate / nodes / 10.0, 1.0),
        };
        format!(
            "{name} = {{ rate = {rate}, burst = {burst}, floor = {floor:.3}, floor_burst = {floor_burst:.3} }}\n"
        )
    };
    let lines =
        line("retries", 1.0, 1.0) + &line("crossings", 2.0, 2.0) + &line("probes", 0.5, 1.0);
    match wanted.division {
        Division::None => String::new(),
        _ => format!("[fleet.budgets]\nmost_nodes = {nodes}\nshare = \"1s\"\n{lines}"),
    }
}

/// Plays it; `folder` takes configurations, disks, logs and the history.
pub async fn budgets(wanted: &Budgeted, program: &Path, folder: &Path) -> Result<Spent, String> {
    let history = History::fresh(folder)?;
    history.add("run", json!({"seed": wanted.seed, "rounds": wanted.rounds}));
    let collector = Collector::start(history.clone(), true).await?;
    let shape = Shape {
        more: written(wanted),
        ..wanted.shape.clone()
    };
    let fleet = Fleet::start(
        &shape,
        program,
        folder,
        history.clone(),
        collector.addr,
        wanted.seed,
    )
    .await?;
    let arrivals: Arrivals = fleet.arrivals();
    let told: Rc<Served> = Rc::default();
    let mean = (wanted.hot + (shape.nodes - 1) as f64) / shape.nodes as f64;
    for (node, at) in fleet.serving().into_iter().enumerate() {
        let pause = PAUSE.mul_f64(if node == 0 { mean / wanted.hot } else { mean });
        spawn_local(clients(at, node as u64, pause, told.clone()));
    }
    let played = play(wanted, &fleet, &history).await;
    told.end.set(true);
    // What is under way ends; then all is quiet for as long as a share and a lease last.
    tokio::time::sleep(ANSWER + shape.lease * 2).await;
    let (reported, lost) = told_of(&fleet.admins()).await;
    fleet.end().await;
    let rounds = played?;
    let spent = judge_budget(&arrivals.borrow(), wanted.whole, shape.zones);
    let (asked, served) = (told.asked.get(), told.served.get());
    let spent = Spent {
        rounds,
        asked,
        served,
        reported,
        lost,
        ..spent
    };
    history.add("spent", json!(format!("{spent:?}")));
    Ok(spent)
}

/// What the nodes tell: crossings since their starts, and what of the retries' whole is neither given nor free.
async fn told_of(admins: &[SocketAddr]) -> (u64, f64) {
    let (mut reported, mut shares, mut divided) = (0, 0.0, None);
    for at in admins {
        let json = |text: Option<(u16, String)>| {
            text.and_then(|t| serde_json::from_str::<Value>(&t.1).ok())
                .unwrap_or(Value::Null)
        };
        let crossed = json(call(*at, "GET /api/crossings").await);
        reported += crossed
            .as_array()
            .into_iter()
            .flatten()
            .filter_map(|r| r["count"].as_u64())
            .sum::<u64>();
        let status = json(call(*at, "GET /api/fleet").await);
        let row = |list: &Value| {
            list.as_array()?
                .iter()
                .find(|b| b["budget"] == "retries")
                .cloned()
        };
        let budgets = &status["budgets"];
        shares += row(&budgets["own"])
            .and_then(|b| b["share"].as_f64())
            .unwrap_or(0.0);
        let whole = row(&budgets["divided"]["budgets"]);
        divided = whole
            .and_then(|b| Some((b["divided"].as_f64()?, b["free"].as_f64()?)))
            .or(divided);
    }
    (
        reported,
        divided.map_or(0.0, |(divided, free)| divided - free - shares),
    )
}

async fn play(wanted: &Budgeted, fleet: &Fleet, history: &History) -> Result<usize, String> {
    let mut rng = Pcg64Mcg::seed_from_u64(wanted.seed);
    let lease = wanted.shape.lease;
    // A lease for the keepers' first start, one until somebody divides, and a share's time until it gives any.
    tokio::time::sleep(lease * 3 + Duration::from_secs(2)).await;
    fleet.keep_disks()?;
    for round in 0..wanted.rounds {
        let mut fault = Fault::draw(&mut rng, &wanted.only, lease.as_millis() as u64);
        // Budgets wait for leases; what takes longest is no news here.
        fault.for_ms = fault.for_ms.min(3 * lease.as_millis() as u64);
        let (servers, failing) = (fleet.servers(), rng.random_range(1..=fleet.servers()));
        (0..failing).for_each(|n| fleet.fail(n, true));
        history.add("failing", json!({"servers": failing}));
        let holder = holder_of(&fleet.admins(), "budgets")
            .await
            .map_or(0, |found| found.0);
        fleet.play(&fault, holder).await?;
        tokio::time::sleep(lease.mul_f64(0.5)).await;
        (0..servers).for_each(|n| fleet.fail(n, false));
        tokio::time::sleep(lease.mul_f64(0.3)).await;
        let crashed = fleet.crashed();
        if !crashed.is_empty() {
            return Err(format!(
                "round {round}: ended by themselves: {crashed:?}, after {fault:?}"
            ));
        }
    }
    Ok(wanted.rounds)
}
