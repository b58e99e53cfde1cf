//! Plays the runs of an experiment over all cores.

use super::description::{Experiment, ExperimentPoint};
use super::error::ExperimentError;
use super::results_folder::{ResultsFolder, RunResult};
use crate::emulator::policies::Policy;
use crate::emulator::{Simulation, TraceWriter};
use indicatif::ProgressBar;
use rayon::prelude::*;
use std::cmp::Reverse;
use std::path::Path;

/// The end of a trace's name, which stands beside the result.
const TRACE_EXTENSION: &str = "trace.zst";

/// How an experiment is run.
pub struct RunOptions<'a> {
    /// Results that are there already are made again.
    pub repeats_existing: bool,
    /// The trace of every run is written beside its result.
    pub writes_traces: bool,
    /// Is moved on with each run.
    pub progress: &'a ProgressBar,
}

/// One run of an experiment.
struct PlannedRun<'a> {
    point_number: usize,
    point: &'a ExperimentPoint,
    policy: Policy,
    seed: u64,
}

impl PlannedRun<'_> {
    /// Grows with the time that the run takes.
    fn size(&self) -> usize {
        let fleet = &self.point.run.fleet;
        fleet.servers * fleet.nodes
    }
}

/// Plays what is missing of an experiment, and returns how many runs were played. An error of one run does not keep the
/// others from being kept.
///
/// # Errors
///
/// The first [`ExperimentError`] of all runs, in their order.
pub fn run_missing(
    experiment: &Experiment,
    results: &ResultsFolder,
    options: &RunOptions,
) -> Result<usize, ExperimentError> {
    let mut runs = runs(experiment);
    options.progress.set_length(runs.len() as u64);
    // Long runs first, so that the last core does not run alone; what follows from it is only the order in time.
    runs.sort_by_key(|run| Reverse((run.size(), usize::MAX - run.point_number)));
    let outcomes: Vec<Result<bool, ExperimentError>> = runs
        .into_par_iter()
        .map(|run| run_if_missing(&run, results, options))
        .collect();
    let mut played_count = 0;
    for was_played in outcomes {
        played_count += usize::from(was_played?);
    }
    Ok(played_count)
}

fn runs(experiment: &Experiment) -> Vec<PlannedRun<'_>> {
    let mut runs = Vec::new();
    for (point_number, point) in experiment.points.iter().enumerate() {
        for policy in &experiment.policies {
            for seed in &experiment.seeds {
                runs.push(PlannedRun {
                    point_number,
                    point,
                    policy: *policy,
                    seed: *seed,
                });
            }
        }
    }
    runs
}

/// Returns whether the run was played.
fn run_if_missing(
    run: &PlannedRun,
    results: &ResultsFolder,
    options: &RunOptions,
) -> Result<bool, ExperimentError> {
    let path = results.path(run.point_number, run.policy, run.seed);
    let is_known = !options.repeats_existing
        && results
            .find(&path, &run.point.label, &run.point.run)
            .is_some();
    if !is_known {
        let trace_beside = options.writes_traces.then_some(path.as_path());
        let result = execute_run(run.point, run.policy, run.seed, trace_beside)?;
        results.write(&path, &result)?;
    }
    options.progress.inc(1);
    Ok(!is_known)
}

/// Plays one run. Its trace is written beside a results file, where one is given.
///
/// # Errors
///
/// [`ExperimentError::Simulation`] where the run cannot be played, [`ExperimentError::Trace`] where the trace cannot be
/// made.
pub fn execute_run(
    point: &ExperimentPoint,
    policy: Policy,
    seed: u64,
    trace_beside: Option<&Path>,
) -> Result<RunResult, ExperimentError> {
    let mut simulation = Simulation::new(&point.run, policy, seed)?;
    if let Some(path) = trace_beside {
        simulation.write_traces_to(TraceWriter::create(&path.with_extension(TRACE_EXTENSION))?);
    }
    let outcome = simulation.finish()?;
    Ok(RunResult {
        label: point.label.clone(),
        policy,
        seed,
        run: point.run.clone(),
        outcome,
    })
}
