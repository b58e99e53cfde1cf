//! The fleet on loopback sockets: the command that `up` prints receives an answer, and a load completes despite faults.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]
#![expect(clippy::min_ident_chars, reason = "not yet converted")]

use poppykeel_testbed::emulator::description::{FaultDescription, FaultKind, RunDescription};
use poppykeel_testbed::sockets;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The testbed's own program, which also runs as the node.
fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_poppykeel-testbed"))
}

fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("lab-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&path).unwrap();
    path
}

fn block_on<T>(task: impl std::future::Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, task)
}

fn small_run(faults: Vec<FaultDescription>) -> RunDescription {
    let mut run = RunDescription {
        fault: faults,
        ..RunDescription::default()
    };
    (
        run.fleet.servers,
        run.fleet.nodes,
        run.load.seconds,
        run.load.per_server,
    ) = (3, 1, 3.0, 4.0);
    // Fast steps: the test does not measure speed.
    (run.fleet.server.step_us, run.load.prefixes) = (2_000, 2);
    run.check().unwrap()
}

#[test]
fn up_prints_a_command_that_receives_a_streamed_answer() {
    let folder = folder("up");
    let output = block_on(async {
        let deployment = sockets::LocalDeployment::start(&small_run(vec![]), program(), &folder)
            .await
            .unwrap();
        assert!(
            deployment.summary().contains("3 model servers"),
            "{}",
            deployment.summary()
        );
        let output = tokio::process::Command::new("bash")
            .args(["-c", deployment.curl_command()])
            .output()
            .await;
        deployment.serve_for(Duration::ZERO).await;
        output
    });
    // Skipped on machines without curl; the test of `run_load` sends requests with its own client.
    if let Ok(output) = output.map(|o| String::from_utf8_lossy(&o.stdout).into_owned()) {
        if !output.is_empty() {
            assert!(
                output.matches("data: {").count() >= 20 && output.contains("[DONE]"),
                "{output}"
            );
        }
    }
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn load_completes_with_correct_answers_despite_faults() {
    let fault = |what, at_s, for_s, part| FaultDescription {
        what,
        at_s,
        for_s,
        part,
        size: 0.5,
        zone: 0,
        tenant: 0,
    };
    let faults = vec![
        fault(FaultKind::FailFast, 0.5, 0.5, 0.3),
        fault(FaultKind::ColdRestart, 1.2, 0.0, 0.3),
        fault(FaultKind::Deploys, 1.5, 1.0, 0.3),
        fault(FaultKind::NoList, 2.0, 0.5, 1.0),
    ];
    let folder = folder("load");
    let run = small_run(faults);
    let outcome = block_on(sockets::run_load(&run, program(), &folder, 1)).unwrap();
    assert!(outcome.all.request_count() > 15, "{:?}", outcome.all);
    assert_eq!(outcome.broken.sum(), 0, "{:?}", outcome.broken);
    assert!(
        outcome.all.served_fraction() > 0.5 && outcome.prompt.total > 0,
        "{:?} {:?}",
        outcome.all,
        outcome.prompt
    );
    let log = std::fs::read_to_string(folder.join("node-0.log")).unwrap();
    assert!(
        log.contains("\"shutdown done: no client is connected\""),
        "the node did not shut down gracefully"
    );
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn faults_unsupported_on_sockets_are_rejected() {
    let run = small_run(vec![FaultDescription {
        what: FaultKind::ZoneCut,
        at_s: 0.0,
        for_s: 1.0,
        part: 1.0,
        size: 1.0,
        zone: 0,
        tenant: 0,
    }]);
    let folder = folder("refused");
    let error = block_on(sockets::run_load(&run, program(), &folder, 1))
        .unwrap_err()
        .to_string();
    assert!(error.contains("ZoneCut"), "{error}");
    std::fs::remove_dir_all(folder).unwrap();
}
