//! Experiments: their files, results that are taken up again, tables, and the program itself.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]
#![expect(
    clippy::min_ident_chars,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

use poppykeel_testbed::experiment::table::{compare, table};
use poppykeel_testbed::experiment::{ConfidenceInterval, Experiment, Metric, ResultsFolder};
use poppykeel_testbed::report;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const SMALL: &str = r#"
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
labels = ["calm", "dead"]
values = [[], [{ what = "die", at_s = 1, for_s = 2 }]]
"#;

fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("lab-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).unwrap();
    path
}

fn lab(args: &[&str], file: &Path, more: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_poppykeel-testbed"))
        .args(args)
        .arg(file)
        .args(more)
        .output()
        .unwrap()
}

#[test]
fn sweeps_cross_and_name_their_points() {
    let e = Experiment::parse(SMALL).unwrap();
    let labels: Vec<&str> = e.points.iter().map(|p| p.label.as_str()).collect();
    assert_eq!(
        labels,
        [
            "servers=2 calm",
            "servers=2 dead",
            "servers=3 calm",
            "servers=3 dead"
        ]
    );
    assert_eq!(
        (e.points[3].run.fleet.servers, e.points[3].run.fault.len()),
        (3, 1)
    );
}

#[test]
fn what_cannot_be_is_named() {
    for (from, to, named) in [
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
        let error = Experiment::parse(&SMALL.replace(from, to))
            .unwrap_err()
            .to_string();
        assert!(error.contains(named), "{to}: {error}");
    }
}

#[test]
fn a_sweep_that_was_stopped_goes_on_where_it_was() {
    let folder = folder("resume");
    let file = folder.join("small.toml");
    std::fs::write(&file, SMALL).unwrap();
    let out = folder.join("out");
    let run = || lab(&["run", "--out", out.to_str().unwrap()], &file, &[]);
    let said = |output: &Output| String::from_utf8_lossy(&output.stdout).into_owned();
    let first = said(&run());
    assert!(first.contains("16 runs made"), "{first}");
    let results = ResultsFolder::open(&out).unwrap();
    let all = results.all().unwrap();
    assert_eq!(all.len(), 16);
    // One is missing, one was written halfway, one is another description's.
    let path = |n: usize| results.path(n, all[0].policy, 1);
    std::fs::remove_file(path(0)).unwrap();
    std::fs::write(path(1), b"half").unwrap();
    let mut other = all[8].clone();
    other.run.load.seconds = 6.0;
    results.write(&path(2), &other).unwrap();
    let second = said(&run());
    assert!(second.contains("3 runs made"), "{second}");
    assert_eq!(
        results.all().unwrap(),
        all,
        "the same as before, byte for byte"
    );
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn tables_show_every_cell_and_comparisons_what_has_changed() {
    let folder = folder("tables");
    let file = folder.join("small.toml");
    std::fs::write(&file, SMALL).unwrap();
    let out = folder.join("out");
    let more = [
        "--out",
        out.to_str().unwrap(),
        "--trace",
        "--figure",
        "worth",
    ];
    assert!(lab(&["run"], &file, &more).status.success());
    let found = ResultsFolder::open(&out).unwrap().all().unwrap();
    let text = table(&found, Metric::Worth);
    assert_eq!(
        (text.lines().count(), text.matches('±').count()),
        (5, 8),
        "{text}"
    );
    let same = compare(&found, &found, Metric::Worth);
    assert!(
        !same.contains('*') && same.matches("0.0 ±0.0").count() == 8,
        "{same}"
    );
    let mut better = found.clone();
    for f in &mut better {
        // By nearly as much for each seed, whatever the module under test makes of them.
        f.outcome.all.gained += f.outcome.all.offered * (0.2 + f.seed as f64 / 1e6);
    }
    assert!(compare(&found, &better, Metric::Worth).contains('*'));
    // Each request's path has been written, and its ends are those of the result.
    let trace = results_trace(&out);
    let ends = trace
        .lines()
        .filter(|l| !l.contains("\"end\":null"))
        .count() as u64;
    assert_eq!(ends, found[0].outcome.all.request_count());
    let page = report::page("small", &found).unwrap();
    assert!(
        page.matches("<svg").count() > 16
            && page.ends_with("</html>\n")
            && !page.contains("http://localhost")
    );
    let shown = lab(
        &["report"],
        &out,
        &["--out", folder.join("page.html").to_str().unwrap()],
    );
    assert!(
        shown.status.success(),
        "{}",
        String::from_utf8_lossy(&shown.stderr)
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

fn results_trace(out: &Path) -> String {
    let path = out.join("0000-poppykeel-1.json.trace.zst");
    let bytes = zstd::decode_all(std::fs::File::open(path).unwrap()).unwrap();
    String::from_utf8(bytes).unwrap()
}

#[test]
fn the_examples_can_be_read_and_errors_end_with_a_failure() {
    for file in std::fs::read_dir(Path::new(env!("CARGO_MANIFEST_DIR")).join("examples"))
        .unwrap()
        .flatten()
    {
        let output = lab(&["check"], &file.path(), &[]);
        assert!(
            output.status.success(),
            "{}",
            String::from_utf8_lossy(&output.stderr)
        );
    }
    let output = lab(&["table"], Path::new("/nowhere"), &[]);
    assert!(
        !output.status.success() && String::from_utf8_lossy(&output.stderr).contains("/nowhere")
    );
}

#[test]
fn intervals_are_students() {
    // Two values 1 apart: half is 12.706 times 0.5.
    let mean = ConfidenceInterval::of(&[1.0, 2.0]);
    assert!(
        (mean.mean - 1.5).abs() < 1e-9 && (mean.half_width - 6.353).abs() < 1e-3,
        "{mean:?}"
    );
    assert!(ConfidenceInterval::of(&[1.0]).half_width.is_nan());
}
