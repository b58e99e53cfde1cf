//! The fleet's report: once per interval, the lease holder adds up the figures of all nodes and posts them to a collector.
//!
//! The collector accepts a report only under an epoch that is not lower than the highest it has seen, and one report per
//! interval. Intervals are numbered by wall clock time. Since any node's wall clock may be wrong, the lease holder uses the
//! median of all nodes' clocks, and leaves a report out while it knows too few of them ([`FleetClock`]).

use super::fleet_clock::{FleetClock, TooFewClocks};
use super::{CoordinationDriver, ReportSettings};
use crate::protocol::admin::NodeMetrics;
use crate::transport::messages::{query, DispatcherQuery};
use crate::transport::strict_timeout::run_while;
use poppykeel_coordination::envelope::{ClassReplies, CrossZoneAttempts, MessageBody, NodeFigures};
use poppykeel_coordination::Epoch;
use poppykeel_coordination::Micros;
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// Task name of the lease under which reports are sent.
pub const LEASE_TASK: &str = "report";
/// For tests only: error of this process's wall clock, in seconds.
const TEST_WALL_CLOCK_VARIABLE: &str = "POPPYKEEL_TEST_WALL_S";
/// How long the other nodes' figures are awaited, or a quarter of the report interval if that is less.
const FIGURES_TIMEOUT: Duration = Duration::from_millis(250);
/// How many times per timeout it is checked whether all figures have arrived.
const CHECKS_PER_TIMEOUT: u32 = 20;
/// The collector must answer within this time.
const COLLECTOR_TIMEOUT: Duration = Duration::from_secs(2);
/// Length of the beginning of a response, up to and including the status, as in `HTTP/1.1 200`.
const STATUS_END: usize = 12;
/// Offset of the status in the response.
const STATUS_OFFSET: usize = 9;

type FiguresByNode = BTreeMap<String, NodeFigures>;

/// Number of this node's reports by outcome.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReportOutcomes {
    pub(super) accepted: u64,
    pub(super) refused: u64,
    pub(super) unanswered: u64,
}

/// The outcomes of reports, and the state of the report in progress.
#[derive(Default)]
pub(super) struct ReportDriver {
    outcomes: Cell<ReportOutcomes>,
    /// The number of the last report, which distinguishes figures for different reports.
    report_number: Cell<u64>,
    fleet_clock: RefCell<FleetClock>,
    figures: RefCell<FiguresByNode>,
}

impl ReportDriver {
    /// Records a node's clock, and adds its figures if they are for the report in progress.
    pub(super) fn add_figures(&self, node: &str, report_number: u64, figures: NodeFigures) {
        let now = Instant::now().into_std();
        self.fleet_clock
            .borrow_mut()
            .record(node, figures.wall_clock, now);
        if report_number == self.report_number.get() {
            self.figures.borrow_mut().insert(node.into(), figures);
        }
    }

    pub(super) fn outcomes(&self) -> ReportOutcomes {
        self.outcomes.get()
    }

    fn count(&self, change: impl FnOnce(&mut ReportOutcomes)) {
        let mut outcomes = self.outcomes.get();
        change(&mut outcomes);
        self.outcomes.set(outcomes);
    }

    /// Begins a report and returns its number.
    fn start(&self) -> u64 {
        self.report_number.set(self.report_number.get() + 1);
        self.figures.borrow_mut().clear();
        self.report_number.get()
    }
}

/// This node's wall clock, in microseconds of Unix time.
fn wall_clock() -> u64 {
    let error_seconds: i64 = std::env::var(TEST_WALL_CLOCK_VARIABLE)
        .ok()
        .and_then(|seconds| seconds.parse().ok())
        .unwrap_or(0);
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_micros() as i64);
    let adjusted = now.saturating_add(error_seconds.saturating_mul(1_000_000));
    u64::try_from(adjusted).unwrap_or(0)
}

impl CoordinationDriver {
    /// Requests the lease, and sends a report once per interval while holding it. Runs until the process ends.
    pub(super) async fn run_report(self: Rc<Self>, settings: ReportSettings) {
        self.request_lease(LEASE_TASK);
        let interval = Duration::from_micros(settings.interval);
        let mut last_slot = 0;
        loop {
            // Without the fleet's time, this node's clock tells when to ask for the others' clocks, but names no interval.
            let time = self.fleet_time().unwrap_or_else(|_| wall_clock());
            let until_next = settings.interval - time % settings.interval;
            tokio::time::sleep(Duration::from_micros(until_next)).await;
            if self.held_epoch(LEASE_TASK).is_none() {
                continue;
            }
            let figures = self
                .collect_figures(FIGURES_TIMEOUT.min(interval / 4))
                .await;
            let slot = match self.fleet_time() {
                Ok(time) => time / settings.interval,
                Err(why) => {
                    tracing::info!(%why, "the fleet's report is left out for this interval");
                    continue;
                }
            };
            if slot == last_slot {
                continue;
            }
            last_slot = slot;
            // The report is sent under this epoch or not at all.
            if let Some(epoch) = self.held_epoch(LEASE_TASK) {
                let body = self
                    .report_body(&settings, epoch, slot, &figures)
                    .to_string();
                self.send_report(settings.collector, epoch, slot, &body)
                    .await;
            }
        }
    }

    /// The fleet's time, in microseconds of Unix time. The members are those of the membership and the lease servers, which this
    /// node knows even before the membership has found them.
    fn fleet_time(&self) -> Result<u64, TooFewClocks> {
        let node = self.node.borrow();
        let mut members: BTreeSet<String> = node.lease_servers().keys().cloned().collect();
        members.extend(node.peers().into_iter().map(|peer| peer.name));
        members.insert(self.settings.node.name.clone());
        let mut clock = self.report.fleet_clock.borrow_mut();
        clock.now(&members, Instant::now().into_std())
    }

    /// Sends a report and counts its outcome. The lease is checked before each step: connecting to the collector may take
    /// until after its end.
    async fn send_report(&self, collector: SocketAddr, epoch: Epoch, slot: u64, body: &str) {
        let is_held = || self.held_epoch(LEASE_TASK) == Some(epoch);
        let post = run_while(is_held, post_report(collector, epoch, body));
        match tokio::time::timeout(COLLECTOR_TIMEOUT, post).await {
            Ok(Some(Ok(200..=299))) => self.report.count(|outcomes| outcomes.accepted += 1),
            Ok(Some(Ok(status))) => {
                tracing::warn!(
                    status,
                    epoch = epoch.0,
                    slot,
                    "the collector rejected the fleet's report; the next report is sent at the regular interval"
                );
                self.report.count(|outcomes| outcomes.refused += 1);
            }
            _ => self.report.count(|outcomes| outcomes.unanswered += 1),
        }
    }

    fn report_body(
        &self,
        settings: &ReportSettings,
        epoch: Epoch,
        slot: u64,
        figures: &FiguresByNode,
    ) -> Value {
        let process = self.node.borrow().process_id();
        let dispatches: u64 = figures.values().map(|node| node.dispatches).sum();
        let in_flight: u64 = figures.values().map(|node| node.requests_in_flight).sum();
        json!({
            "fleet": self.settings.node.fleet,
            "task": LEASE_TASK,
            "epoch": epoch,
            "slot": slot,
            "node": process.node,
            "incarnation": format!("{:016x}", process.incarnation),
            "every_us": settings.interval,
            "nodes": figures.keys().collect::<Vec<_>>(),
            "dispatches": dispatches,
            "crossings": cross_zone_sums(figures),
            "concurrent": in_flight,
            "replies": reply_sums(figures),
        })
    }

    /// Collects the figures of all nodes that answer in time.
    async fn collect_figures(self: &Rc<Self>, timeout: Duration) -> FiguresByNode {
        let report_number = self.report.start();
        let own_name = self.settings.node.name.clone();
        let peers = self.node.borrow().peers();
        let node_count = peers.len() + 1;
        self.send_figures(own_name, report_number);
        for peer in peers {
            let request = MessageBody::RequestFigures { report_number };
            self.send_to_address(peer.name, Some(peer.address), request);
        }
        let deadline = Instant::now() + timeout;
        while self.report.figures.borrow().len() < node_count && Instant::now() < deadline {
            tokio::time::sleep(timeout / CHECKS_PER_TIMEOUT).await;
        }
        self.report.figures.take()
    }

    /// Sends this node's figures to the node that makes the report. A separate task does so and ends once the dispatcher has
    /// answered or ended.
    pub(super) fn send_figures(self: &Rc<Self>, recipient: String, report_number: u64) {
        let driver = self.clone();
        spawn_local(async move {
            let Some(own) = driver.own_metrics().await else {
                return;
            };
            let figures = node_figures(own, wall_clock());
            let body = MessageBody::Figures {
                report_number,
                figures,
            };
            driver.send_to(recipient, body);
        });
    }

    /// This node's metrics; `None` if the dispatcher has ended.
    pub(super) async fn own_metrics(&self) -> Option<NodeMetrics> {
        query(&self.dispatcher, DispatcherQuery::Metrics).await
    }
}

/// Converts a node's metrics to the message format.
fn node_figures(own: NodeMetrics, wall_clock: Micros) -> NodeFigures {
    let mut replies = Vec::new();
    for responses in own.responses {
        replies.push(ClassReplies {
            class: responses.class,
            served: responses.completed,
            refused: responses.rejected,
            failed: responses.failed,
        });
    }
    let mut cross_zone_attempts = Vec::new();
    for attempts in own.cross_zone_attempts {
        cross_zone_attempts.push(CrossZoneAttempts {
            class: attempts.class,
            tenant: attempts.tenant,
            count: attempts.count,
        });
    }
    NodeFigures {
        replies,
        cross_zone_attempts,
        dispatches: own.attempts_sent,
        requests_in_flight: own.active_requests as u64,
        wall_clock,
    }
}

/// Sums of replies by class.
fn reply_sums(figures: &FiguresByNode) -> Vec<Value> {
    let mut sums: BTreeMap<&str, ClassReplies> = BTreeMap::new();
    for replies in figures.values().flat_map(|node| &node.replies) {
        let sum = sums.entry(&replies.class).or_default();
        sum.served += replies.served;
        sum.refused += replies.refused;
        sum.failed += replies.failed;
    }
    let row = |(class, sum): (&&str, &ClassReplies)| {
        json!({
            "class": class,
            "served": sum.served,
            "refused": sum.refused,
            "failed": sum.failed,
        })
    };
    sums.iter().map(row).collect()
}

/// Sums of cross-zone attempts by class and tenant.
fn cross_zone_sums(figures: &FiguresByNode) -> Vec<Value> {
    let mut sums: BTreeMap<(&str, &str), u64> = BTreeMap::new();
    for attempts in figures.values().flat_map(|node| &node.cross_zone_attempts) {
        *sums.entry((&attempts.class, &attempts.tenant)).or_default() += attempts.count;
    }
    let row = |((class, tenant), count): (&(&str, &str), &u64)| json!({"class": class, "tenant": tenant, "count": count});
    sums.iter().map(row).collect()
}

/// Posts a report and returns the status of the collector's response.
async fn post_report(collector: SocketAddr, epoch: Epoch, body: &str) -> std::io::Result<u16> {
    let mut stream = TcpStream::connect(collector).await?;
    let head = format!(
        "POST /v1/fleet/report HTTP/1.1\r\nHost: {collector}\r\nFleet-Epoch: {epoch}\r\n\
         Content-Type: application/json\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let request = [head.as_bytes(), body.as_bytes()].concat();
    stream.write_all(&request).await?;
    let mut response = [0; STATUS_END];
    stream.read_exact(&mut response).await?;
    let status = std::str::from_utf8(&response[STATUS_OFFSET..])
        .ok()
        .and_then(|status| status.parse().ok());
    status.ok_or(std::io::ErrorKind::InvalidData.into())
}
