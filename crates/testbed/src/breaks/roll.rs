//! `break roll`: operators take all nodes out one after the other while the one in charge is killed, stopped and cut
//! off. What is judged is what the lab's probes of each node's readiness saw.

#![expect(
    clippy::match_bool,
    clippy::min_ident_chars,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

use super::faults::{Fault, Kind};
use super::fleet::{Fleet, Shape};
use super::history::History;
use super::Collector;
use crate::Micros;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;

/// Between two probes of one node.
const PROBE: Duration = Duration::from_millis(15);
/// A roll without end is given up.
const PATIENCE: Duration = Duration::from_secs(90);
/// A call that takes longer says nothing.
const CALL: Duration = Duration::from_millis(1500);

/// What is wanted.
#[derive(Clone, Debug)]
pub struct Roll {
    /// The fleet.
    pub shape: Shape,
    /// From which faults are drawn.
    pub seed: u64,
    /// Faults that befall the one in charge, one after the other, as long as the roll lasts.
    pub faults: usize,
    /// At most so many are to be out.
    pub out: usize,
}

/// What was found.
#[derive(Clone, Debug, Default)]
pub struct Rolled {
    /// The most nodes that were certainly out at one time.
    pub most: usize,
    /// Nodes that have been seen out.
    pub been: usize,
    /// Nodes that are back at the end.
    pub back: usize,
    /// Those that have been in charge, as often as it changed.
    pub charges: usize,
    /// From the order to its end.
    pub seconds: f64,
}

/// From when to when a node was certainly out: between two answers that said so.
type Out = (Micros, Micros);
type Outs = Rc<RefCell<Vec<Out>>>;

/// One call at an operators' address: the status and the body.
pub(super) async fn call(at: SocketAddr, line: &str) -> Option<(u16, String)> {
    let asked = async {
        let mut stream = TcpStream::connect(at).await.ok()?;
        let text = format!("{line} HTTP/1.1\r\nHost: {at}\r\nContent-Length: 0\r\n\r\n");
        stream.write_all(text.as_bytes()).await.ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.ok()?;
        let (head, body) = answer.split_once("\r\n\r\n")?;
        Some((head.split(' ').nth(1)?.parse().ok()?, body.to_string()))
    };
    tokio::time::timeout(CALL, asked).await.ok().flatten()
}

/// Which node holds a task now, and under which epoch.
pub(super) async fn holder_of(admins: &[SocketAddr], task: &str) -> Option<(usize, u64)> {
    for (me, at) in admins.iter().enumerate() {
        let told = call(*at, "GET /api/fleet").await;
        let Some(told) = told.and_then(|(_, body)| serde_json::from_str::<Value>(&body).ok())
        else {
            continue;
        };
        let claim = told["claims"]
            .as_array()
            .and_then(|c| c.iter().find(|c| c["task"] == task).cloned());
        if let Some(epoch) = claim.and_then(|c| c["held_epoch"].as_u64()) {
            return Some((me, epoch));
        }
    }
    None
}

/// Probes one node until told to end.
async fn probe(at: SocketAddr, history: History, found: Outs, end: Rc<Cell<bool>>) {
    let mut since: Option<Micros> = None;
    while !end.get() {
        let asked = history.now();
        match call(at, "GET /api/ready").await {
            Some((503, _)) => match since {
                None => since = Some(history.now()),
                Some(from) if asked > from => {
                    let mut found = found.borrow_mut();
                    match found.last_mut().filter(|last| last.0 == from) {
                        Some(last) => last.1 = asked,
                        None => found.push((from, asked)),
                    }
                }
                Some(_) => {}
            },
            _ => since = None,
        }
        tokio::time::sleep(PROBE).await;
    }
}

/// The most intervals that share a moment.
fn most_at_once(all: &[Vec<Out>]) -> usize {
    let mut edges: Vec<(Micros, i32)> = all
        .iter()
        .flatten()
        .flat_map(|out| [(out.0, 1), (out.1, -1)])
        .collect();
    edges.sort_unstable();
    let (mut now, mut most) = (0, 0);
    for (_, step) in edges {
        now += step;
        most = most.max(now);
    }
    usize::try_from(most).unwrap_or(0)
}

/// Plays it; `folder` takes configurations, disks, logs and the history.
pub async fn roll(wanted: &Roll, program: &Path, folder: &Path) -> Result<Rolled, String> {
    let history = History::fresh(folder)?;
    let collector = Collector::start(history.clone(), true).await?;
    let fleet = Fleet::start(
        &wanted.shape,
        program,
        folder,
        history.clone(),
        collector.addr,
        wanted.seed,
    )
    .await?;
    let fleet = Rc::new(fleet);
    let played = play(wanted, &fleet, &history).await;
    fleet.end().await;
    played
}

async fn play(wanted: &Roll, fleet: &Rc<Fleet>, history: &History) -> Result<Rolled, String> {
    let admins = fleet.admins();
    let all = wanted.shape.nodes;
    let until = tokio::time::Instant::now() + PATIENCE;
    let late = |what: &str| match tokio::time::Instant::now() < until {
        true => Ok(()),
        false => Err(format!("{what}: not within {} s", PATIENCE.as_secs())),
    };
    // The fleet must know itself before it is ordered.
    loop {
        let told = call(admins[all - 1], "GET /api/fleet").await;
        let told: Option<Value> = told.and_then(|(_, body)| serde_json::from_str(&body).ok());
        if told.is_some_and(|t| t["members"].as_array().is_some_and(|m| m.len() == all)) {
            break;
        }
        late("all members")?;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let end: Rc<Cell<bool>> = Rc::default();
    let found: Vec<Outs> = (0..all).map(|_| Rc::default()).collect();
    for (at, found) in admins.iter().zip(&found) {
        spawn_local(probe(*at, history.clone(), found.clone(), end.clone()));
    }
    let began = history.now();
    let line = format!("POST /api/fleet/roll?out={}&hold_ms=200", wanted.out);
    let ordered = call(admins[all - 1], &line)
        .await
        .filter(|(status, _)| *status == 200);
    ordered.ok_or("the roll was not taken")?;
    let mut rng = Pcg64Mcg::seed_from_u64(wanted.seed);
    let only = [Kind::KillHolder, Kind::StopHolder, Kind::CutHolder];
    let (mut left, mut charges, mut over) = (wanted.faults, BTreeSet::new(), 0);
    loop {
        let mut holder = None;
        let mut open = 0;
        for (me, at) in admins.iter().enumerate() {
            let told = call(*at, "GET /api/fleet").await;
            let Some(told) = told.and_then(|(_, body)| serde_json::from_str::<Value>(&body).ok())
            else {
                continue;
            };
            let claim = told["claims"]
                .as_array()
                .and_then(|c| c.iter().find(|c| c["task"] == "roll").cloned());
            if let Some(epoch) = claim.and_then(|c| c["held_epoch"].as_u64()) {
                charges.insert(epoch);
                holder = Some(me);
            }
            open += usize::from(told["roll"].is_object() && told["roll"]["part"] != "carried out");
        }
        // One that was killed may have forgotten the order until it is told again.
        over = if open == 0 { over + 1 } else { 0 };
        if over > 3 {
            break;
        }
        if let Some(holder) = holder.filter(|_| left > 0) {
            left -= 1;
            let fault = Fault::draw(&mut rng, &only, wanted.shape.lease.as_millis() as u64);
            fleet.play(&fault, holder).await?;
        }
        late("the roll's end")?;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    end.set(true);
    let seconds = (history.now() - began) as f64 / 1e6;
    let mut back = 0;
    for at in &admins {
        back += usize::from(
            call(*at, "GET /api/ready")
                .await
                .is_some_and(|(status, _)| status == 200),
        );
    }
    let found: Vec<Vec<Out>> = found.iter().map(|f| f.borrow().clone()).collect();
    let been = found.iter().filter(|f| !f.is_empty()).count();
    let rolled = Rolled {
        most: most_at_once(&found),
        been,
        back,
        charges: charges.len(),
        seconds,
    };
    history.add(
        "rolled",
        json!({"out": found, "found": format!("{rolled:?}")}),
    );
    Ok(rolled)
}
