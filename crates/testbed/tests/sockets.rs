//! The fleet on loopback sockets: `up` answers the line that it prints, and a load is played to its end.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]
#![expect(clippy::min_ident_chars, reason = "not yet converted")]

use poppykeel_testbed::emulator::description::{FaultDescription, FaultKind, RunDescription};
use poppykeel_testbed::sockets;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The lab's own program serves as the node, too.
fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_poppykeel-testbed"))
}

fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("lab-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&path).unwrap();
    path
}

fn on_sockets<T>(what: impl std::future::Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, what)
}

fn small(faults: Vec<FaultDescription>) -> RunDescription {
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
    // Short answers: the test says nothing of speed.
    (run.fleet.server.step_us, run.load.prefixes) = (2_000, 2);
    run.check().unwrap()
}

#[test]
fn up_streams_an_answer_to_the_line_it_prints() {
    let folder = folder("up");
    let output = on_sockets(async {
        let up = sockets::LocalDeployment::start(&small(vec![]), program(), &folder)
            .await
            .unwrap();
        assert!(up.summary().contains("3 model servers"), "{}", up.summary());
        let output = tokio::process::Command::new("bash")
            .args(["-c", up.curl_command()])
            .output()
            .await;
        up.serve_for(Duration::ZERO).await;
        output
    });
    // A machine without curl can't take the line; the load's test asks in its own words.
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
fn a_load_on_sockets_ends_whole_and_right_through_faults() {
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
    let run = small(faults);
    let out = on_sockets(sockets::play_load(&run, program(), &folder, 1)).unwrap();
    assert!(out.all.request_count() > 15, "{:?}", out.all);
    assert_eq!(out.broken.sum(), 0, "{:?}", out.broken);
    assert!(
        out.all.served_fraction() > 0.5 && out.prompt.total > 0,
        "{:?} {:?}",
        out.all,
        out.prompt
    );
    let log = std::fs::read_to_string(folder.join("node-0.log")).unwrap();
    assert!(log.contains("\"done\""), "the node was ended in order");
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn what_sockets_cannot_do_is_refused() {
    let run = small(vec![FaultDescription {
        what: FaultKind::ZoneCut,
        at_s: 0.0,
        for_s: 1.0,
        part: 1.0,
        size: 1.0,
        zone: 0,
        tenant: 0,
    }]);
    let folder = folder("refused");
    let error = on_sockets(sockets::play_load(&run, program(), &folder, 1))
        .unwrap_err()
        .to_string();
    assert!(error.contains("ZoneCut"), "{error}");
    std::fs::remove_dir_all(folder).unwrap();
}
