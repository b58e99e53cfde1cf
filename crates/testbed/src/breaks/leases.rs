//! `break leases`: a fleet that makes its report under a lease, while things go wrong.

#![expect(
    clippy::min_ident_chars,
    clippy::missing_errors_doc,
    clippy::single_match_else,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

use super::collector::{judge, Collector, Verdict};
use super::faults::{Fault, Kind};
use super::fleet::{Fleet, Shape};
use super::history::History;
use crate::Micros;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde_json::json;
use std::path::Path;
use std::time::Duration;

/// After a fault the task must be held again within so many leases, and so much more.
const LEASES: u32 = 4;
const MORE: Duration = Duration::from_secs(8);
/// Between two faults, in leases: nothing goes wrong.
const QUIET: f64 = 0.5;

/// What is wanted.
#[derive(Clone, Debug)]
pub struct Wanted {
    /// The fleet.
    pub shape: Shape,
    /// Faults, one after the other.
    pub rounds: usize,
    /// From which all is drawn.
    pub seed: u64,
    /// Only these kinds, or all.
    pub only: Vec<Kind>,
    /// These and no others, in their order, in place of drawn ones.
    pub script: Vec<Fault>,
    /// Whether what is acted upon looks at epochs.
    pub fence: bool,
}

/// What was found.
#[derive(Clone, Debug)]
pub struct Found {
    /// Of the stand-in's record.
    pub verdict: Verdict,
    /// Rounds played.
    pub rounds: usize,
    /// Each round's longest time without an act, in microseconds, from its fault to the next one.
    pub without: Vec<Micros>,
    /// The most intervals between one report taken and the next, beyond the time that passed between them.
    pub slots_apart: u64,
    /// Keepers that said that their disks had failed.
    pub disks_failed: usize,
    /// Processes that ended by themselves, and rounds after which nobody held the task.
    pub wrong: Vec<String>,
}

impl Found {
    /// One line that says all.
    pub fn line(&self, seed: u64) -> String {
        let longest = self.verdict.gaps.first().map_or(0, |g| g.0);
        format!(
            "rounds {}, acts {}, overlaps {}, refused by fence {}, longest without a holder {:.2} s, seed {seed}",
            self.rounds,
            self.verdict.acts,
            self.verdict.overlaps.len(),
            self.verdict.refused,
            longest as f64 / 1e6
        )
    }
    /// Whether nothing was wrong.
    pub fn good(&self) -> bool {
        self.verdict.overlaps.is_empty() && self.wrong.is_empty()
    }
    /// The part of rounds without an act for at most this, in microseconds.
    pub fn quantile(&self, part: f64) -> Micros {
        let mut all = self.without.clone();
        all.sort_unstable();
        all.get(((all.len() as f64 * part) as usize).min(all.len().saturating_sub(1)))
            .copied()
            .unwrap_or(0)
    }
}

/// Plays it; `folder` takes configurations, disks, logs and the history.
pub async fn run(wanted: &Wanted, program: &Path, folder: &Path) -> Result<Found, String> {
    let history = History::fresh(folder)?;
    history.add(
        "run",
        json!({"seed": wanted.seed, "rounds": wanted.rounds, "shape": format!("{:?}", wanted.shape)}),
    );
    let collector = Collector::start(history.clone(), wanted.fence).await?;
    let shape = &wanted.shape;
    let fleet = Fleet::start(
        shape,
        program,
        folder,
        history.clone(),
        collector.addr,
        wanted.seed,
    )
    .await?;
    let played = rounds(wanted, &fleet, &collector, &history).await;
    fleet.end().await;
    let (rounds, without, wrong) = played?;
    let verdict = judge(&collector.acts.borrow());
    history.add(
        "verdict",
        json!({"overlaps": verdict.overlaps, "wrong": wrong}),
    );
    let acts = collector.acts.borrow();
    let taken: Vec<_> = acts.iter().filter(|a| a.taken).collect();
    let every = wanted.shape.every.as_micros() as u64;
    let apart = |w: &[&super::Act]| {
        w[1].slot
            .abs_diff(w[0].slot)
            .abs_diff((w[1].at - w[0].at) / every.max(1))
    };
    let slots_apart = taken.windows(2).map(apart).max().unwrap_or(0);
    let disks_failed = fleet.disks_failed();
    Ok(Found {
        verdict,
        rounds,
        without,
        slots_apart,
        disks_failed,
        wrong,
    })
}

async fn held(
    collector: &Collector,
    history: &History,
    since: Micros,
    wait: Duration,
) -> Option<usize> {
    let until = tokio::time::Instant::now() + wait;
    while tokio::time::Instant::now() < until {
        if let Some(act) = collector.last().filter(|a| a.at >= since) {
            return act
                .holder
                .0
                .strip_prefix("lab-")
                .and_then(|n| n.parse().ok());
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    history.add("nobody", json!({"since_us": since}));
    None
}

type Played = (usize, Vec<Micros>, Vec<String>);

async fn rounds(
    wanted: &Wanted,
    fleet: &Fleet,
    collector: &Collector,
    history: &History,
) -> Result<Played, String> {
    let mut rng = Pcg64Mcg::seed_from_u64(wanted.seed);
    let lease = wanted.shape.lease;
    let patience = lease * LEASES + MORE;
    let mut holder = held(collector, history, 0, patience)
        .await
        .ok_or("nobody ever held the task")?;
    fleet.keep_disks()?;
    let (mut without, mut wrong) = (Vec::new(), Vec::new());
    let rounds = if wanted.script.is_empty() {
        wanted.rounds
    } else {
        wanted.script.len()
    };
    for round in 0..rounds {
        let drawn = Fault::draw(&mut rng, &wanted.only, lease.as_millis() as u64);
        let fault = wanted.script.get(round).copied().unwrap_or(drawn);
        let began = history.now();
        fleet.play(&fault, holder).await?;
        match held(collector, history, history.now(), patience).await {
            Some(node) => holder = node,
            None => {
                wrong.push(format!(
                    "round {round}: nobody held the task after {fault:?}"
                ));
                break;
            }
        }
        tokio::time::sleep(lease.mul_f64(QUIET)).await;
        let acts = collector.acts.borrow();
        let from = acts.partition_point(|a| a.at < began).saturating_sub(1);
        let taken: Vec<Micros> = acts[from..]
            .iter()
            .filter(|a| a.taken)
            .map(|a| a.at)
            .collect();
        without.push(taken.windows(2).map(|w| w[1] - w[0]).max().unwrap_or(0));
        holder = collector
            .last()
            .and_then(|a| a.holder.0.strip_prefix("lab-")?.parse().ok())
            .unwrap_or(holder);
        let crashed = fleet.crashed();
        if !crashed.is_empty() {
            wrong.push(format!(
                "round {round}: ended by themselves: {crashed:?}, after {fault:?}"
            ));
            break;
        }
    }
    Ok((without.len(), without, wrong))
}
