//! Experiments: their files, resumed sweeps, tables, and the program.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]
#![expect(clippy::too_many_lines, reason = "not yet converted")]

use poppykeel_testbed::experiment::table::{render_comparison, render_table};
use poppykeel_testbed::experiment::{ConfidenceInterval, Experiment, Metric, ResultsFolder};
use poppykeel_testbed::report;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const SWEPT_EXPERIMENT: &str = r#"
name = "small"
policies = ["poppykeel", "random"]
seeds = [1, 2]

[load]
seconds = 5

[[sweep]]
key = "fleet.servers"
values = [2, 3]

[[sweep]]
key = "fault"
labels = ["healthy", "crashed"]
values = [[], [{ what = "die", at_s = 1, for_s = 2 }]]
"#;

fn empty_folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("lab-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).unwrap();
    path
}

fn run_testbed(args: &[&str], file: &Path, trailing_args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_poppykeel-testbed"))
        .args(args)
        .arg(file)
        .args(trailing_args)
        .output()
        .unwrap()
}

#[test]
fn sweeps_give_labelled_points_for_all_combinations() {
    let experiment = Experiment::parse(SWEPT_EXPERIMENT).unwrap();
    let labels: Vec<&str> = experiment
        .points
        .iter()
        .map(|point| point.label.as_str())
        .collect();
    assert_eq!(
        labels,
        [
            "servers=2 healthy",
            "servers=2 crashed",
            "servers=3 healthy",
            "servers=3 crashed"
        ]
    );
    assert_eq!(
        (
            experiment.points[3].run.fleet.servers,
            experiment.points[3].run.fault.len()
        ),
        (3, 1)
    );
}

#[test]
fn errors_name_the_invalid_key_or_value() {
    for (from, to, expected) in [
        ("seconds = 5", "second = 5", "second"),
        ("seconds = 5", "seconds = 0", "load.seconds"),
        ("fleet.servers", "fleet.server_count", "server_count"),
        ("\"die\"", "\"dye\"", "dye"),
        ("values = [2, 3]", "values = [2, \"x\"]", "servers=x"),
        ("values = [2, 3]", "values = []", "fleet.servers"),
        ("values = [2, 3]", "values = [2, 0]", "fleet.servers"),
        ("name = \"small\"", "name = \"../x\"", "name"),
        ("\"random\"", "\"chance\"", "chance"),
        ("for_s = 2", "for_s = -2", "for_s"),
    ] {
        let error = Experiment::parse(&SWEPT_EXPERIMENT.replace(from, to))
            .unwrap_err()
            .to_string();
        assert!(error.contains(expected), "{to}: {error}");
    }
}

#[test]
fn interrupted_sweep_is_resumed() {
    let folder = empty_folder("resume");
    let file = folder.join("small.toml");
    std::fs::write(&file, SWEPT_EXPERIMENT).unwrap();
    let out = folder.join("out");
    let run = || run_testbed(&["run", "--out", out.to_str().unwrap()], &file, &[]);
    let stdout = |output: &Output| String::from_utf8_lossy(&output.stdout).into_owned();
    let first = stdout(&run());
    assert!(first.contains("16 runs made"), "{first}");
    let results = ResultsFolder::open(&out).unwrap();
    let all = results.all().unwrap();
    assert_eq!(all.len(), 16);
    // One result is missing, one file is incomplete, and one belongs to another description.
    let path = |point: usize| results.path(point, all[0].policy, 1);
    std::fs::remove_file(path(0)).unwrap();
    std::fs::write(path(1), b"incomplete").unwrap();
    let mut other_result = all[8].clone();
    other_result.run.load.seconds = 6.0;
    results.write(&path(2), &other_result).unwrap();
    let second = stdout(&run());
    assert!(second.contains("3 runs made"), "{second}");
    assert_eq!(
        results.all().unwrap(),
        all,
        "the repeated runs must give the same results"
    );
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn tables_show_every_cell_and_comparisons_mark_changes() {
    let folder = empty_folder("tables");
    let file = folder.join("small.toml");
    std::fs::write(&file, SWEPT_EXPERIMENT).unwrap();
    let out = folder.join("out");
    let trailing_args = [
        "--out",
        out.to_str().unwrap(),
        "--trace",
        "--figure",
        "worth",
    ];
    assert!(run_testbed(&["run"], &file, &trailing_args)
        .status
        .success());
    let results = ResultsFolder::open(&out).unwrap().all().unwrap();
    let text = render_table(&results, Metric::Worth);
    assert_eq!(
        (text.lines().count(), text.matches('±').count()),
        (5, 8),
        "{text}"
    );
    let same = render_comparison(&results, &results, Metric::Worth);
    assert!(
        !same.contains('*') && same.matches("0.0 ±0.0").count() == 8,
        "{same}"
    );
    let mut improved = results.clone();
    for result in &mut improved {
        // Nearly the same increase for each seed, whatever the results are.
        result.outcome.all.gained += result.outcome.all.offered * (0.2 + result.seed as f64 / 1e6);
    }
    assert!(render_comparison(&results, &improved, Metric::Worth).contains('*'));
    // The trace contains every request, so its final ends are as many as the requests of the result.
    let trace = read_trace(&out);
    let ends = trace
        .lines()
        .filter(|line| !line.contains("\"end\":null"))
        .count() as u64;
    assert_eq!(ends, results[0].outcome.all.request_count());
    let page = report::render_page("small", &results).unwrap();
    assert!(
        page.matches("<svg").count() > 16
            && page.ends_with("</html>\n")
            && !page.contains("http://localhost")
    );
    let output = run_testbed(
        &["report"],
        &out,
        &["--out", folder.join("page.html").to_str().unwrap()],
    );
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    assert_eq!(
        std::fs::read_to_string(folder.join("page.html"))
            .unwrap()
            .matches("<svg")
            .count(),
        page.matches("<svg").count()
    );
    std::fs::remove_dir_all(folder).unwrap();
}

fn read_trace(out: &Path) -> String {
    let path = out.join("0000-poppykeel-1.json.trace.zst");
    let bytes = zstd::decode_all(std::fs::File::open(path).unwrap()).unwrap();
    String::from_utf8(bytes).unwrap()
}

#[test]
fn examples_are_valid_and_errors_exit_with_failure() {
    for file in std::fs::read_dir(Path::new(env!("CARGO_MANIFEST_DIR")).join("examples"))
        .unwrap()
        .flatten()
    {
        let output = run_testbed(&["check"], &file.path(), &[]);
        assert!(
            output.status.success(),
            "{}",
            String::from_utf8_lossy(&output.stderr)
        );
    }
    let output = run_testbed(&["table"], Path::new("/nowhere"), &[]);
    assert!(
        !output.status.success() && String::from_utf8_lossy(&output.stderr).contains("/nowhere")
    );
}

#[test]
fn confidence_intervals_use_students_t() {
    // For two values 1 apart half the width is 12.706 times 0.5.
    let mean = ConfidenceInterval::for_mean_of(&[1.0, 2.0]);
    assert!(
        (mean.mean - 1.5).abs() < 1e-9 && (mean.half_width - 6.353).abs() < 1e-3,
        "{mean:?}"
    );
    assert!(ConfidenceInterval::for_mean_of(&[1.0]).half_width.is_nan());
}
