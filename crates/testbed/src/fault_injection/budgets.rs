//! `break budgets`: nodes share the budgets of the fleet while faults are injected and model servers fail.
//!
//! Clients send requests to every node during the faults. The verdict is that of [`check_budgets`] on the records of
//! the stub model servers.

use super::admin_client::{find_holder, get_fleet_status, get_json};
use super::budget_verdict::{
    check_budgets, BudgetReport, FleetBudget, CROSS_ZONE_FACTOR, NODE_BITS_SHIFT, PROBE_RATE_FACTOR,
};
use super::collector::ReportCollector;
use super::error::FaultInjectionError;
use super::injected_fault::{InjectedFault, InjectedFaultKind};
use super::run_history::RunHistory;
use super::test_fleet::{FleetSetup, FleetShape, TestFleet};
use crate::emulator::description::BudgetDivision;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};
use std::cell::Cell;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;

/// The interval of requests to a node that receives the mean load.
const REQUEST_INTERVAL: Duration = Duration::from_millis(30);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);
/// If the budget is divided equally, the rate of each part is multiplied by this factor, because clocks may run fast.
const EQUAL_RATE_FACTOR: f64 = 0.9;
/// The rate of a node without a grant is an equal part of the fleet's rate divided by this.
const FLOOR_DIVISOR: f64 = 10.0;
/// The first fault is injected this many lease durations plus [`START_ALLOWANCE`] after the start, so that the first
/// grants have been made.
const START_LEASES: u32 = 3;
/// See [`START_LEASES`].
const START_ALLOWANCE: Duration = Duration::from_secs(2);
/// The longest fault, in lease durations. A fault affects budgets only by the expiry of leases, so longer faults cover
/// no further cases.
const MAX_FAULT_LEASES: u64 = 3;
/// The time for which servers still fail after a fault, in lease durations.
const FAILING_LEASES: f64 = 0.5;
/// The pause before the next fault, in lease durations.
const PAUSE_LEASES: f64 = 0.3;

/// The parameters of a budget scenario.
#[derive(Clone, Debug)]
pub struct BudgetScenario {
    /// The size and settings of the fleet.
    pub shape: FleetShape,
    /// The number of drawn faults, one for each round.
    pub rounds: usize,
    /// The seed of all random choices.
    pub seed: u64,
    /// The kinds of faults to draw; an empty list allows all kinds.
    pub only: Vec<InjectedFaultKind>,
    /// The retry budget of the whole fleet. The budget of cross-zone traffic is twice as large, and the rate of the
    /// probe budget half as large.
    pub retries: FleetBudget,
    /// How the budgets are divided between the nodes.
    pub division: BudgetDivision,
    /// The load of the first node as a multiple of the load of each other node.
    pub first_node_load_factor: f64,
}

/// Runs a scenario. Configurations, disks, logs and the history are written to `folder`.
///
/// # Errors
///
/// [`FaultInjectionError`] if the fleet cannot be started, or a process exits unexpectedly.
pub async fn run_budget_scenario(
    scenario: &BudgetScenario,
    program: &Path,
    folder: &Path,
) -> Result<BudgetReport, FaultInjectionError> {
    let history = RunHistory::create(folder)?;
    history.add(
        "run",
        &json!({"seed": scenario.seed, "rounds": scenario.rounds}),
    );
    let collector = ReportCollector::start(history.clone(), true).await?;
    let shape = FleetShape {
        more_operator_settings: format_budget_settings(scenario),
        ..scenario.shape.clone()
    };
    let fleet = TestFleet::start(FleetSetup {
        shape: &shape,
        program,
        folder,
        history: &history,
        collector: collector.address(),
        seed: scenario.seed,
    })
    .await?;
    let clients = Rc::new(ClientCounts::default());
    start_clients(scenario, &fleet, &clients);
    let results = run_rounds(scenario, &fleet, &history).await;
    clients.is_stopped.set(true);
    // Waits until requests in flight have ended, and then, without load, for the duration of a grant and a lease.
    tokio::time::sleep(REQUEST_TIMEOUT + shape.lease_duration * 2).await;
    let reports = collect_node_reports(&fleet.admin_addresses()).await;
    fleet.kill_all().await;
    results?;
    let arrivals = fleet.arrivals();
    let checked = check_budgets(&arrivals.borrow(), scenario.retries, shape.zones);
    let report = BudgetReport {
        rounds: scenario.rounds,
        sent_requests: clients.sent.get(),
        completed_requests: clients.completed.get(),
        reported_cross_zone: reports.cross_zone,
        lost_retry_rate: reports.lost_retry_rate,
        ..checked
    };
    history.add("spent", &json!(format!("{report:?}")));
    Ok(report)
}

/// The budgets as TOML for the operator file.
fn format_budget_settings(scenario: &BudgetScenario) -> String {
    if scenario.division == BudgetDivision::None {
        return String::new();
    }
    let retries = scenario.retries;
    let cross_zone = FleetBudget {
        rate: retries.rate * CROSS_ZONE_FACTOR,
        burst: retries.burst * CROSS_ZONE_FACTOR,
    };
    let probes = FleetBudget {
        rate: retries.rate * PROBE_RATE_FACTOR,
        burst: retries.burst,
    };
    let lines = [
        format_budget_line(scenario, "retries", retries),
        format_budget_line(scenario, "crossings", cross_zone),
        format_budget_line(scenario, "probes", probes),
    ];
    format!(
        "[fleet.budgets]\nmost_nodes = {}\nshare = \"1s\"\n{}",
        scenario.shape.nodes,
        lines.concat()
    )
}

fn format_budget_line(scenario: &BudgetScenario, name: &str, budget: FleetBudget) -> String {
    let FleetBudget { rate, burst } = budget;
    let node_count = scenario.shape.nodes as f64;
    let equal_rate = rate / node_count;
    let floor = if scenario.division == BudgetDivision::Equal {
        FleetBudget {
            rate: equal_rate * EQUAL_RATE_FACTOR,
            burst: burst / node_count,
        }
    } else {
        FleetBudget {
            rate: equal_rate / FLOOR_DIVISOR,
            burst: 1.0,
        }
    };
    format!(
        "{name} = {{ rate = {rate}, burst = {burst}, floor = {:.3}, floor_burst = {:.3} }}\n",
        floor.rate, floor.burst
    )
}

/// Counters that all clients share.
#[derive(Default)]
struct ClientCounts {
    sent: Cell<usize>,
    completed: Cell<usize>,
    is_stopped: Cell<bool>,
}

fn start_clients(scenario: &BudgetScenario, fleet: &TestFleet, counts: &Rc<ClientCounts>) {
    let node_count = scenario.shape.nodes as f64;
    let factor = scenario.first_node_load_factor;
    let mean_factor = (factor + (node_count - 1.0)) / node_count;
    for (node, address) in fleet.serving_addresses().into_iter().enumerate() {
        let interval_factor = if node == 0 {
            mean_factor / factor
        } else {
            mean_factor
        };
        let interval = REQUEST_INTERVAL.mul_f64(interval_factor);
        spawn_local(send_requests(
            address,
            node as u64,
            interval,
            counts.clone(),
        ));
    }
}

/// Sends requests to one node until the clients are stopped. Each request runs in its own task.
async fn send_requests(
    address: SocketAddr,
    node: u64,
    interval: Duration,
    counts: Rc<ClientCounts>,
) {
    let mut number = 0;
    while !counts.is_stopped.get() {
        number += 1;
        let id = (node + 1) << NODE_BITS_SHIFT | number;
        spawn_local(send_request(address, id, counts.clone()));
        tokio::time::sleep(interval).await;
    }
}

async fn send_request(address: SocketAddr, id: u64, counts: Rc<ClientCounts>) {
    counts.sent.set(counts.sent.get() + 1);
    let response = tokio::time::timeout(REQUEST_TIMEOUT, exchange(address, id)).await;
    if let Ok(Some(response)) = response {
        if response.contains("[DONE]") {
            counts.completed.set(counts.completed.get() + 1);
        }
    }
}

async fn exchange(address: SocketAddr, id: u64) -> Option<String> {
    let body = r#"{"model":"lab","stream":true,"max_tokens":4,"messages":[{"role":"user","content":"x"}]}"#;
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nReq-Id: {id:016x}\r\nReq-Kind: chat\r\nReq-Deadline: 3\r\n\
         Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut response = Vec::new();
    stream.read_to_end(&mut response).await.ok()?;
    Some(String::from_utf8_lossy(&response).into_owned())
}

/// The sums of what the nodes report after the load has ended.
struct NodeReports {
    /// Cross-zone attempts since each node's start.
    cross_zone: u64,
    /// The part of the fleet's retry rate that is neither granted to a node nor free.
    lost_retry_rate: f64,
}

async fn collect_node_reports(admin_addresses: &[SocketAddr]) -> NodeReports {
    let mut cross_zone = 0;
    let mut granted_rate = 0.0;
    let mut divided_rate = None;
    for address in admin_addresses {
        let crossings = get_json(*address, "/api/crossings").await;
        for row in crossings.iter().filter_map(Value::as_array).flatten() {
            cross_zone += row["count"].as_u64().unwrap_or(0);
        }
        let status = get_fleet_status(*address).await.unwrap_or(Value::Null);
        let budgets = &status["budgets"];
        let own_share = retry_row(&budgets["own"]).and_then(|row| row["share"].as_f64());
        granted_rate += own_share.unwrap_or(0.0);
        if let Some(row) = retry_row(&budgets["divided"]["budgets"]) {
            if let (Some(divided), Some(free)) = (row["divided"].as_f64(), row["free"].as_f64()) {
                divided_rate = Some(divided - free);
            }
        }
    }
    NodeReports {
        cross_zone,
        lost_retry_rate: divided_rate.map_or(0.0, |rate| rate - granted_rate),
    }
}

/// The row of the retry budget in a list of budgets.
fn retry_row(budgets: &Value) -> Option<&Value> {
    budgets
        .as_array()?
        .iter()
        .find(|row| row["budget"] == "retries")
}

async fn run_rounds(
    scenario: &BudgetScenario,
    fleet: &TestFleet,
    history: &RunHistory,
) -> Result<(), FaultInjectionError> {
    let mut rng = Pcg64Mcg::seed_from_u64(scenario.seed);
    let lease = scenario.shape.lease_duration;
    let lease_ms = lease.as_millis() as u64;
    tokio::time::sleep(lease * START_LEASES + START_ALLOWANCE).await;
    fleet.back_up_disks()?;
    for round in 0..scenario.rounds {
        let mut fault = InjectedFault::draw(&mut rng, &scenario.only, lease_ms);
        fault.for_ms = fault.for_ms.min(MAX_FAULT_LEASES * lease_ms);
        let failing_count = rng.random_range(1..=fleet.server_count());
        fleet.set_failing(failing_count);
        history.add("failing", &json!({"servers": failing_count}));
        let holder = find_holder(&fleet.admin_addresses(), "budgets").await;
        let holder_node = holder.map_or(0, |holder| holder.node);
        fleet.inject(&fault, holder_node).await?;
        tokio::time::sleep(lease.mul_f64(FAILING_LEASES)).await;
        fleet.set_failing(0);
        tokio::time::sleep(lease.mul_f64(PAUSE_LEASES)).await;
        let exits = fleet.unexpected_exits();
        if !exits.is_empty() {
            return Err(FaultInjectionError::UnexpectedExit {
                round,
                exits,
                fault,
            });
        }
    }
    Ok(())
}
