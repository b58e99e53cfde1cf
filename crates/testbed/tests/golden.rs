//! Golden files of the emulator and the view: result files of an earlier version must stay readable, the view of a
//! node's log must not change, and the emulator must give the same results and traces for the same seed.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use poppykeel_testbed::experiment::runner::execute_run;
use poppykeel_testbed::experiment::table::render_table;
use poppykeel_testbed::experiment::{Experiment, Metric, ResultsFolder, RunResult};
use poppykeel_testbed::view::{draw, ViewState};
use ratatui::backend::TestBackend;
use ratatui::Terminal;
use std::fmt::Write;
use std::fs;
use std::path::{Path, PathBuf};

/// The experiment description.
const EXPERIMENT: &str = "day.toml";
/// The folder of results, one file for each run. Before a file is committed, it must be parsed and written once more: the
/// first parsing may change the last bit of a number that the emulator has written; later parsings don't.
const RESULTS: &str = "results";
/// The tables of those results.
const TABLES: &str = "tables.txt";
/// Checksums of the results and traces of the experiment with the current emulator.
const DIGESTS: &str = "digests.txt";
/// The log of a node. It belongs to the root package, whose own test reads it as well.
const NODE_LOG: &str = "../../../../tests/golden/node-log.jsonl";
/// The screen of the view for that log.
const SCREEN: &str = "screen.txt";
/// The size of the terminal in columns and rows.
const SCREEN_SIZE: (u16, u16) = (120, 24);
/// The names of the tenants, passed to the view.
const TENANTS: [&str; 2] = ["acme", "zeta"];
/// The metrics in the tables.
const METRICS: [Metric; 17] = [
    Metric::Worth,
    Metric::FirstP99,
    Metric::FirstP50,
    Metric::Refused,
    Metric::Failed,
    Metric::Attempts,
    Metric::Kept,
    Metric::Crossed,
    Metric::Broken,
    Metric::Repeats,
    Metric::Recovery,
    Metric::Window,
    Metric::Messages,
    Metric::Bytes,
    Metric::KeeperMessages,
    Metric::KeeperBytes,
    Metric::Without,
];

fn golden_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name)
}

fn assert_equals_golden_file(name: &str, written: &str) {
    let committed = fs::read_to_string(golden_path(name)).unwrap();
    assert_eq!(written, committed, "{name}");
}

fn empty_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("golden-lab-{name}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).unwrap();
    folder
}

fn decompressed(path: &Path) -> Vec<u8> {
    zstd::decode_all(fs::File::open(path).unwrap()).unwrap()
}

/// Runs the experiment once for each policy, cycling through the points of the sweep. Returns the file name, the result and
/// the bytes of the trace of each run.
fn run_experiment(folder: &Path) -> Vec<(PathBuf, RunResult, Vec<u8>)> {
    let experiment = Experiment::read(&golden_path(EXPERIMENT)).unwrap();
    let results = ResultsFolder::open(folder).unwrap();
    let seed = experiment.seeds[0];
    let mut runs = Vec::new();
    for (index, policy) in experiment.policies.iter().enumerate() {
        let point = index % experiment.points.len();
        let path = results.path(point, *policy, seed);
        let result = execute_run(&experiment.points[point], *policy, seed, Some(&path)).unwrap();
        let trace = decompressed(&path.with_extension("trace.zst"));
        runs.push((path, result, trace));
    }
    runs
}

/// Formats one line for each run: the name of its result file, and the checksums of its result and trace. The golden
/// file calls traces "paths".
fn format_digests(runs: &[(PathBuf, RunResult, Vec<u8>)]) -> String {
    let mut text = String::new();
    for (path, result, trace) in runs {
        let name = path.file_name().unwrap().to_string_lossy();
        let json = serde_json::to_vec(result).unwrap();
        let result_digest = crc32fast::hash(&json);
        let trace_digest = crc32fast::hash(trace);
        writeln!(
            text,
            "{name} result {result_digest:08x} paths {trace_digest:08x}"
        )
        .unwrap();
    }
    text
}

fn render_tables(results: &[RunResult]) -> String {
    let tables = METRICS
        .iter()
        .map(|metric| render_table(results, *metric) + "\n");
    tables.collect()
}

/// Renders the screen of the view for a log.
fn render_log_screen(log: &str) -> String {
    let mut state = ViewState::new("node", TENANTS.map(String::from).into());
    log.lines().for_each(|line| state.apply_log_line(line));
    let (columns, rows) = SCREEN_SIZE;
    let mut terminal = Terminal::new(TestBackend::new(columns, rows)).unwrap();
    terminal.draw(|frame| draw(frame, &state, 0)).unwrap();
    let buffer = terminal.backend().buffer();
    let mut text = String::new();
    for row in 0..rows {
        for column in 0..columns {
            text.push_str(buffer[(column, row)].symbol());
        }
        text.push('\n');
    }
    text
}

#[test]
fn experiment_gives_the_same_results_and_traces() {
    let folder = empty_folder("digest");
    let runs = run_experiment(&folder);
    assert_equals_golden_file(DIGESTS, &format_digests(&runs));
    fs::remove_dir_all(folder).unwrap();
}

#[test]
fn result_files_of_an_earlier_version_are_readable() {
    let folder = ResultsFolder::open(&golden_path(RESULTS)).unwrap();
    let results = folder.all().unwrap();
    for result in &results {
        let point = ["shares", "equal", "none"]
            .iter()
            .position(|division| result.label.ends_with(division))
            .unwrap();
        let path = folder.path(point, result.policy, result.seed);
        let read_back = serde_json::to_vec(result).unwrap();
        assert!(read_back == decompressed(&path), "{}", path.display());
    }
    assert_equals_golden_file(TABLES, &render_tables(&results));
}

#[test]
fn result_is_written_as_the_same_json() {
    let golden = ResultsFolder::open(&golden_path(RESULTS)).unwrap();
    let folder = empty_folder("write");
    let copy = ResultsFolder::open(&folder).unwrap();
    for result in golden.all().unwrap() {
        let path = copy.path(0, result.policy, result.seed);
        copy.write(&path, &result).unwrap();
        assert_eq!(
            copy.find(&path, &result.label, &result.run),
            Some(result.clone())
        );
        assert_eq!(decompressed(&path), serde_json::to_vec(&result).unwrap());
    }
    fs::remove_dir_all(folder).unwrap();
}

#[test]
fn log_of_an_earlier_version_is_shown_unchanged() {
    let log = fs::read_to_string(golden_path(NODE_LOG)).unwrap();
    assert_equals_golden_file(SCREEN, &render_log_screen(&log));
}
