//! `break budgets`: nodes with a budget of retries for all of them, servers that fail in spans, and faults between the
//! nodes. What is judged is what the stand-in servers wrote down: a request's second arrival is a retry or a copy.

use super::faults::{Fault, Kind};
use super::fleet::{Fleet, Shape};
use super::history::History;
use super::roll::holder_of;
use super::Collector;
use crate::sockets::Arrivals;
use crate::Micros;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::json;
use std::cell::Cell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;

/// From one request of a client to its next.
const PAUSE: Duration = Duration::from_millis(30);
/// An answer that takes longer is given up.
const ANSWER: Duration = Duration::from_secs(4);
/// What leaves a node in time may reach a server so much later than what left before it.
const SLACK: f64 = 0.05;

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
    /// Retries a second of the whole fleet, and at once.
    pub whole: (f64, f64),
    /// Whether the nodes have the budget at all.
    pub with: bool,
}

/// What was found.
#[derive(Clone, Debug, Default)]
pub struct Spent {
    /// Rounds played.
    pub rounds: usize,
    /// Requests that reached servers, and arrivals beyond each one's first.
    pub requests: usize,
    /// See there.
    pub repeats: usize,
    /// The worst window as a part of its bound.
    pub worst: f64,
    /// Repeats in the busiest second as a part of the rate: how much of the whole was in use.
    pub use_of_whole: f64,
}

/// The most by which repeats in any window exceed the rate times its length.
fn most_beyond(times: &[Micros], rate: f64) -> f64 {
    let (mut level, mut last, mut most) = (0.0f64, 0, 0.0f64);
    for at in times {
        level = (level - rate * (at - last) as f64 / 1e6).max(0.0) + 1.0;
        (last, most) = (*at, most.max(level));
    }
    most
}

/// Judges what the servers wrote down, in the order of arrival.
pub fn judge_budget(arrivals: &[(Micros, String)], whole: (f64, f64)) -> Spent {
    let mut seen = BTreeSet::new();
    let times: Vec<Micros> = arrivals.iter().filter(|a| !seen.insert(&a.1)).map(|a| a.0).collect();
    let bound = whole.1 + whole.0 * SLACK;
    let worst = most_beyond(&times, whole.0) / bound;
    let busiest = (0..times.len()).map(|n| times[n..].partition_point(|t| t - times[n] < 1_000_000)).max();
    Spent {
        rounds: 0,
        requests: seen.len(),
        repeats: times.len(),
        worst,
        use_of_whole: busiest.unwrap_or(0) as f64 / whole.0,
    }
}

/// One request; what comes of it is nobody's concern here.
async fn request(at: SocketAddr, id: u64) {
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
        stream.read_to_end(&mut answer).await.ok()
    };
    let _ = tokio::time::timeout(ANSWER, asked).await;
}

/// Clients of one node.
async fn clients(at: SocketAddr, node: u64, end: Rc<Cell<bool>>) {
    let mut number = 0;
    while !end.get() {
        number += 1;
        spawn_local(request(at, (node + 1) << 40 | number));
        tokio::time::sleep(PAUSE).await;
    }
}

/// Plays it; `folder` takes configurations, disks, logs and the history.
pub async fn budgets(wanted: &Budgeted, program: &Path, folder: &Path) -> Result<Spent, String> {
    let history = History::fresh(folder)?;
    history.add("run", json!({"seed": wanted.seed, "rounds": wanted.rounds}));
    let collector = Collector::start(history.clone(), true).await?;
    let (rate, burst) = wanted.whole;
    let text = format!(
        "[fleet.budgets]\nmost_nodes = {}\nshare = \"1s\"\n\
         retries = {{ rate = {rate}, burst = {burst}, floor = 0.2, floor_burst = 1 }}\n",
        wanted.shape.nodes + 1
    );
    let shape = Shape { more: if wanted.with { text } else { String::new() }, ..wanted.shape.clone() };
    let fleet = Fleet::start(&shape, program, folder, history.clone(), collector.addr, wanted.seed).await?;
    let arrivals: Arrivals = fleet.arrivals();
    let end: Rc<Cell<bool>> = Rc::default();
    for (node, at) in fleet.serving().into_iter().enumerate() {
        spawn_local(clients(at, node as u64, end.clone()));
    }
    let played = play(wanted, &fleet, &history).await;
    end.set(true);
    fleet.end().await;
    let rounds = played?;
    let spent = judge_budget(&arrivals.borrow(), wanted.whole);
    history.add("spent", json!(format!("{spent:?}")));
    Ok(Spent { rounds, ..spent })
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
        let holder = holder_of(&fleet.admins(), "budgets").await.map_or(0, |found| found.0);
        fleet.play(&fault, holder).await?;
        tokio::time::sleep(lease.mul_f64(0.5)).await;
        (0..servers).for_each(|n| fleet.fail(n, false));
        tokio::time::sleep(lease.mul_f64(0.3)).await;
        let crashed = fleet.crashed();
        if !crashed.is_empty() {
            return Err(format!("round {round}: ended by themselves: {crashed:?}, after {fault:?}"));
        }
    }
    Ok(wanted.rounds)
}
