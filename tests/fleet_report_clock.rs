//! Guards against a fleet report under a wrong interval: the holder of the lease named it by its own clock, a year ahead, when no
//! other node answered in time.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use support::{free_address, Node, TEST_TIMEOUT};

const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Long enough to be held while all other nodes are stopped.
const LEASE: Duration = Duration::from_secs(4);
const YEAR_S: u64 = 365 * 86_400;
/// Reports before the other nodes stop, so that their clocks are known.
const FIRST_REPORTS: usize = 5;
/// Reports that are awaited while the other nodes are stopped; the old node sent them at once.
const ALONE_REPORTS: usize = 5;

fn lease_folder(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("report-clock-{name}-{}", std::process::id()))
}

/// Starts a node of a fleet whose only lease server is `n0`. With a collector, it sends the reports; its clock is then a year
/// ahead.
fn start_node(name: &str, listen: SocketAddr, server: SocketAddr, to: Option<SocketAddr>) -> Node {
    let every = REPORT_INTERVAL.as_millis();
    let report = to.map(|to| format!("[fleet.report]\nto = \"{to}\"\nevery = \"{every}ms\"\n"));
    let operator = format!(
        "[fleet]\nname = \"f\"\nlisten = \"{listen}\"\nfolder = \"{}\"\nlease = \"{}ms\"\npatience = \"100ms\"\n\
         probe = \"100ms\"\nkeepers = {{ n0 = \"{server}\" }}\n{}",
        lease_folder(name).display(),
        LEASE.as_millis(),
        report.as_deref().unwrap_or_default()
    );
    let error_s = if report.is_some() { YEAR_S } else { 0 };
    let wall_clock = ("POPPYKEEL_TEST_WALL_S".into(), error_s.to_string().into());
    Node::builder("report-clock")
        .name(name)
        .operator(&operator)
        .environment(vec![wall_clock])
        .start()
}

/// Accepts one report and returns the time of its interval, in seconds of Unix time.
fn next_report(collector: &TcpListener) -> u64 {
    let (mut stream, _) = collector.accept().unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let report = read_report(&mut stream);
    let slot = report["slot"].as_u64().unwrap();
    let answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    // The node may have ended.
    let _ = stream.write_all(answer.as_bytes());
    slot * REPORT_INTERVAL.as_millis() as u64 / 1000
}

fn read_report(stream: &mut TcpStream) -> serde_json::Value {
    let mut text = String::new();
    let mut buffer = [0; 4096];
    loop {
        let length = stream.read(&mut buffer).unwrap();
        assert!(length > 0, "the report is incomplete: {text}");
        text += std::str::from_utf8(&buffer[..length]).unwrap();
        let body = text.split_once("\r\n\r\n").map(|(_, body)| body);
        if let Some(report) = body.and_then(|body| serde_json::from_str(body).ok()) {
            return report;
        }
    }
}

fn assert_is_now(interval_s: u64) {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let difference_s = now.as_secs().abs_diff(interval_s);
    assert!(
        difference_s < 60,
        "the interval is {difference_s} s from now"
    );
}

#[test]
fn holder_whose_clock_is_wrong_names_no_interval_by_it_while_the_others_are_stopped() {
    let collector = TcpListener::bind("127.0.0.1:0").unwrap();
    let addresses = [free_address(), free_address(), free_address()];
    let others = [
        start_node("n0", addresses[0], addresses[0], None),
        start_node("n2", addresses[2], addresses[0], None),
    ];
    let to = Some(collector.local_addr().unwrap());
    let holder = start_node("n1", addresses[1], addresses[0], to);
    for _ in 0..FIRST_REPORTS {
        assert_is_now(next_report(&collector));
    }
    for node in &others {
        node.signal("-STOP");
    }
    for _ in 0..ALONE_REPORTS {
        assert_is_now(next_report(&collector));
    }
    for node in &others {
        node.signal("-CONT");
    }
    drop(holder);
    drop(others);
    for name in ["n0", "n1", "n2"] {
        // Only a lease server has a folder.
        let _ = std::fs::remove_dir_all(lease_folder(name));
    }
}
