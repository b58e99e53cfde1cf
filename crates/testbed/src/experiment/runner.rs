//! Runs an experiment over the cores.

#![expect(
    clippy::min_ident_chars,
    clippy::missing_errors_doc,
    reason = "not yet converted"
)]

use super::description::{Experiment, Point};
use super::results::{Found, Results};
use crate::emulator::policies::Policy;
use crate::emulator::{Simulation, TraceWriter};
use indicatif::ProgressBar;
use rayon::prelude::*;
use std::path::Path;

/// How an experiment is run.
pub struct How<'a> {
    /// Results that are there already are not made again.
    pub again: bool,
    /// Every run's paths are written beside its result.
    pub trace: bool,
    /// Told of each run that is done.
    pub progress: &'a ProgressBar,
}

/// Runs what is missing of an experiment; an error of one run does not keep the others from being kept.
pub fn run(experiment: &Experiment, results: &Results, how: &How) -> Result<usize, String> {
    let mut jobs: Vec<(usize, &Point, Policy, u64)> = Vec::new();
    for (n, point) in experiment.points.iter().enumerate() {
        for policy in &experiment.policies {
            jobs.extend(
                experiment
                    .seeds
                    .iter()
                    .map(|seed| (n, point, *policy, *seed)),
            );
        }
    }
    how.progress.set_length(jobs.len() as u64);
    // Long runs first, so that the last core does not run alone; what follows from it is only the order in time.
    jobs.sort_by_key(|(n, p, _, _)| {
        std::cmp::Reverse((p.run.fleet.servers * p.run.fleet.nodes, usize::MAX - n))
    });
    let done: Vec<Result<usize, String>> = jobs
        .into_par_iter()
        .map(|(n, point, policy, seed)| {
            let path = results.path(n, policy, seed);
            let known = (!how.again)
                .then(|| results.find(&path, &point.label, &point.run))
                .flatten();
            let made = usize::from(known.is_none());
            if known.is_none() {
                let found = one(point, policy, seed, how.trace.then_some(path.as_path()))?;
                results.keep(&path, &found)?;
            }
            how.progress.inc(1);
            Ok(made)
        })
        .collect();
    let mut made = 0;
    for one in done {
        made += one?;
    }
    Ok(made)
}

/// One run.
pub fn one(
    point: &Point,
    policy: Policy,
    seed: u64,
    beside: Option<&Path>,
) -> Result<Found, String> {
    let mut world = Simulation::new(&point.run, policy, seed).map_err(|e| e.to_string())?;
    if let Some(path) = beside {
        let trace = TraceWriter::create(&path.with_extension("trace.zst"));
        world.write_traces_to(trace.map_err(|e| e.to_string())?);
    }
    let outcome = world.finish().map_err(|e| e.to_string())?;
    Ok(Found {
        label: point.label.clone(),
        policy,
        seed,
        run: point.run.clone(),
        outcome,
    })
}
