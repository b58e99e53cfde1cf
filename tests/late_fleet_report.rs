//! Guards against a fleet report that is sent after the lease on it has ended. The node checked the lease, and the connection to
//! the collector was established later, possibly seconds later.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use support::{
    expect_no_bytes, free_address, is_connecting_to, start_full_listener, wait_until, Node,
};

/// The length of leases of the nodes.
const LEASE: Duration = Duration::from_millis(500);

/// The folder of the lease server's log.
fn lease_folder() -> PathBuf {
    std::env::temp_dir().join(format!("late-report-{}", std::process::id()))
}

/// A fleet whose only lease server is `n0`. With a collector, the node sends reports to it.
fn operator_file(
    listen: SocketAddr,
    lease_server: SocketAddr,
    collector: Option<SocketAddr>,
) -> String {
    let report = collector.map(|to| format!("[fleet.report]\nto = \"{to}\"\nevery = \"200ms\"\n"));
    format!(
        "[fleet]\nname = \"f\"\nlisten = \"{listen}\"\nfolder = \"{}\"\nlease = \"{}ms\"\npatience = \"100ms\"\n\
         probe = \"100ms\"\nkeepers = {{ n0 = \"{lease_server}\" }}\n{}",
        lease_folder().display(),
        LEASE.as_millis(),
        report.unwrap_or_default()
    )
}

#[test]
fn report_is_not_sent_after_the_lease_has_ended() {
    let (collector, queued) = start_full_listener();
    let collector_addr = collector.local_addr().unwrap();
    let addresses = [free_address(), free_address()];
    let start = |name: &str, operator: &str| {
        Node::builder("late-report")
            .name(name)
            .operator(operator)
            .start()
    };
    let lease_server = start("n0", &operator_file(addresses[0], addresses[0], None));
    let reporter_file = operator_file(addresses[1], addresses[0], Some(collector_addr));
    let reporter = start("n1", &reporter_file);
    wait_until("the connection for a report", || {
        is_connecting_to(collector_addr.port())
    });
    // Nobody renews the lease any more, so it ends while the connection is still being established.
    drop(lease_server);
    std::thread::sleep(LEASE);
    // The kernel's next SYN retransmission can now establish the connection.
    drop(queued);
    expect_no_bytes(&collector);
    drop(reporter);
    std::fs::remove_dir_all(lease_folder()).unwrap();
}
