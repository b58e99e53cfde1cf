//! Executes the runs of an experiment on all cores.

use super::description::{Experiment, ExperimentPoint};
use super::error::ExperimentError;
use super::results_folder::{ResultsFolder, RunResult};
use crate::emulator::policies::Policy;
use crate::emulator::{Simulation, TraceWriter};
use indicatif::ProgressBar;
use rayon::prelude::*;
use std::cmp::Reverse;
use std::path::Path;

/// The extension of a trace, which is written next to the result.
const TRACE_EXTENSION: &str = "trace.zst";

/// Options for running an experiment.
pub struct RunOptions<'a> {
    /// Whether runs with an existing result are executed again.
    pub repeats_existing: bool,
    /// Whether the trace of every run is written next to its result.
    pub writes_traces: bool,
    /// Advanced after each run.
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
    /// An estimate that grows with the duration of the run.
    fn size(&self) -> usize {
        let fleet = &self.point.run.fleet;
        fleet.servers * fleet.nodes
    }
}

/// Executes the runs of an experiment that have no result yet, and returns their number. An error of one run does not
/// prevent the results of others from being stored.
///
/// # Errors
///
/// The first [`ExperimentError`], in the planned order of runs.
pub fn run_missing(
    experiment: &Experiment,
    results: &ResultsFolder,
    options: &RunOptions,
) -> Result<usize, ExperimentError> {
    let mut runs = plan_runs(experiment);
    options.progress.set_length(runs.len() as u64);
    // The largest runs start first, so that none of them runs alone on one core at the end. This affects only the order
    // of execution.
    runs.sort_by_key(|run| Reverse((run.size(), usize::MAX - run.point_number)));
    let outcomes: Vec<Result<bool, ExperimentError>> = runs
        .into_par_iter()
        .map(|run| run_if_missing(&run, results, options))
        .collect();
    let mut executed_count = 0;
    for was_executed in outcomes {
        executed_count += usize::from(was_executed?);
    }
    Ok(executed_count)
}

fn plan_runs(experiment: &Experiment) -> Vec<PlannedRun<'_>> {
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

/// Returns whether the run was executed.
fn run_if_missing(
    run: &PlannedRun,
    results: &ResultsFolder,
    options: &RunOptions,
) -> Result<bool, ExperimentError> {
    let path = results.path(run.point_number, run.policy, run.seed);
    let has_result = !options.repeats_existing
        && results
            .find(&path, &run.point.label, &run.point.run)
            .is_some();
    if !has_result {
        let result_path = options.writes_traces.then_some(path.as_path());
        let result = execute_run(run.point, run.policy, run.seed, result_path)?;
        results.write(&path, &result)?;
    }
    options.progress.inc(1);
    Ok(!has_result)
}

/// Executes one run. If `result_path` is given, the trace is written next to that file.
///
/// # Errors
///
/// [`ExperimentError::Simulation`] if the run fails, [`ExperimentError::Trace`] if the trace cannot be created.
pub fn execute_run(
    point: &ExperimentPoint,
    policy: Policy,
    seed: u64,
    result_path: Option<&Path>,
) -> Result<RunResult, ExperimentError> {
    let mut simulation = Simulation::new(&point.run, policy, seed)?;
    if let Some(path) = result_path {
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
