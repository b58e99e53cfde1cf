//! Golden files of the emulator and of the view: result files that a landed version wrote must stay readable, a node's
//! log must be shown as it was, and the emulator must come to the same results and paths for the same seed.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use poppykeel_testbed::experiment::runner::execute_run;
use poppykeel_testbed::experiment::table::table;
use poppykeel_testbed::experiment::{Experiment, Metric, ResultsFolder, RunResult};
use poppykeel_testbed::view::{draw, ViewState};
use ratatui::backend::TestBackend;
use ratatui::Terminal;
use std::fmt::Write;
use std::fs;
use std::path::{Path, PathBuf};

/// The description of the emulated day.
const DAY: &str = "day.toml";
/// The folder of results, one file for each run. They were read and kept once before they were committed: the parser of
/// JSON may be off by the last bit of a number as the emulator wrote it, and what it has read it reads the same again.
const RESULTS: &str = "results";
/// The tables of those results.
const TABLES: &str = "tables.txt";
/// Digests of the day's results and paths, as the present emulator comes to them.
const DIGESTS: &str = "digests.txt";
/// A node's log; the root package has it, and its own test reads it, too.
const NODE_LOG: &str = "../../../../tests/golden/node-log.jsonl";
/// What the view shows of that log.
const SCREEN: &str = "screen.txt";
/// The terminal's size in columns and rows.
const SCREEN_SIZE: (u16, u16) = (120, 24);
/// What the view is told of the node's tenants.
const TENANTS: [&str; 2] = ["acme", "zeta"];
/// Figures of the tables that every run has.
const FIGURES: [Metric; 17] = [
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

/// The committed file of this name.
fn golden_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name)
}

/// Asserts that what the present code has written equals the committed file.
fn assert_equals_golden_file(name: &str, written: &str) {
    let committed = fs::read_to_string(golden_path(name)).unwrap();
    assert_eq!(written, committed, "{name}");
}

/// An empty folder for one test of this process.
fn empty_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("golden-lab-{name}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).unwrap();
    folder
}

/// A file's bytes without their compression.
fn decompressed(path: &Path) -> Vec<u8> {
    zstd::decode_all(fs::File::open(path).unwrap()).unwrap()
}

/// Runs the day once for each policy, at the sweep's points in turn: the file of each result, the result, and the bytes
/// of its paths.
fn run_day(folder: &Path) -> Vec<(PathBuf, RunResult, Vec<u8>)> {
    let day = Experiment::read(&golden_path(DAY)).unwrap();
    let results = ResultsFolder::open(folder).unwrap();
    let seed = day.seeds[0];
    let mut runs = Vec::new();
    for (index, policy) in day.policies.iter().enumerate() {
        let point = index % day.points.len();
        let path = results.path(point, *policy, seed);
        let found = execute_run(&day.points[point], *policy, seed, Some(&path)).unwrap();
        let paths = decompressed(&path.with_extension("trace.zst"));
        runs.push((path, found, paths));
    }
    runs
}

/// One line for each run: its result file's name, and the checksums of its result and of its paths.
fn digests(runs: &[(PathBuf, RunResult, Vec<u8>)]) -> String {
    let mut text = String::new();
    for (path, found, paths) in runs {
        let name = path.file_name().unwrap().to_string_lossy();
        let result = serde_json::to_vec(found).unwrap();
        let result_digest = crc32fast::hash(&result);
        let paths_digest = crc32fast::hash(paths);
        writeln!(
            text,
            "{name} result {result_digest:08x} paths {paths_digest:08x}"
        )
        .unwrap();
    }
    text
}

/// All tables of some results.
fn tables(found: &[RunResult]) -> String {
    let tables = FIGURES.iter().map(|figure| table(found, *figure) + "\n");
    tables.collect()
}

/// What the view shows of a log.
fn screen_of_log(log: &str) -> String {
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
fn emulated_day_comes_to_the_same_results_and_paths() {
    let folder = empty_folder("digest");
    let runs = run_day(&folder);
    assert_equals_golden_file(DIGESTS, &digests(&runs));
    fs::remove_dir_all(folder).unwrap();
}

#[test]
fn result_files_of_landed_version_stay_readable() {
    let results = ResultsFolder::open(&golden_path(RESULTS)).unwrap();
    let found = results.all().unwrap();
    for result in &found {
        let point = ["shares", "equal", "none"]
            .iter()
            .position(|division| result.label.ends_with(division))
            .unwrap();
        let path = results.path(point, result.policy, result.seed);
        let read_back = serde_json::to_vec(result).unwrap();
        assert!(read_back == decompressed(&path), "{}", path.display());
    }
    assert_equals_golden_file(TABLES, &tables(&found));
}

#[test]
fn kept_result_is_written_as_the_same_json() {
    let golden = ResultsFolder::open(&golden_path(RESULTS)).unwrap();
    let folder = empty_folder("keep");
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
fn log_of_landed_version_is_shown_as_before() {
    let log = fs::read_to_string(golden_path(NODE_LOG)).unwrap();
    assert_equals_golden_file(SCREEN, &screen_of_log(&log));
}
