//! A task of the whole fleet: its report, once each interval, by whoever holds the lease. The collector takes an act
//! only under an epoch that is not lower than the highest it has seen, and each interval once.

#![expect(clippy::min_ident_chars, reason = "not yet converted")]

use super::{Fleet, Report};
use crate::transport::messages::Message;
use poppykeel_coordination::envelope::{Body, Figures, Totals};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::spawn_local;

/// The task's name.
pub const TASK: &str = "report";
/// For tests alone: seconds by which this process's wall clock is wrong.
const WALL: &str = "POPPYKEEL_TEST_WALL_S";
/// The others' figures are awaited so long, or a quarter of the interval where that is less.
const AWAIT: Duration = Duration::from_millis(250);
/// The collector must answer within this time.
const ANSWER: Duration = Duration::from_secs(2);

/// What has come of reports, and the figures of the one being made.
#[derive(Default)]
pub(super) struct Counts {
    /// Taken, refused by the collector, without an answer.
    pub(super) done: Cell<(u64, u64, u64)>,
    number: Cell<u64>,
    /// By how much this node's wall clock is behind the fleet's middle one, in microseconds.
    behind: Cell<i64>,
    figures: RefCell<BTreeMap<String, Figures>>,
}

impl Counts {
    pub(super) fn heard(&self, from: &str, number: u64, figures: Figures) {
        if number == self.number.get() {
            self.figures.borrow_mut().insert(from.into(), figures);
        }
    }
}

fn wall() -> u64 {
    let offset: i64 = std::env::var(WALL)
        .ok()
        .and_then(|s| s.parse().ok())
        .unwrap_or(0);
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_micros() as i64);
    u64::try_from(now.saturating_add(offset.saturating_mul(1_000_000))).unwrap_or(0)
}

/// By how much this clock is behind the middle one of all: one that is a year wrong must not name the interval.
fn behind(own: u64, figures: &BTreeMap<String, Figures>) -> i64 {
    let mut walls: Vec<u64> = figures.values().map(|f| f.wall).collect();
    walls.sort_unstable();
    walls
        .get(walls.len() / 2)
        .map_or(0, |middle| *middle as i64 - own as i64)
}

impl Fleet {
    /// Wants the task, and does it once each interval while it is held.
    pub(super) async fn report(self: Rc<Self>, report: Report) {
        self.node.borrow_mut().want(TASK, self.clock.now());
        self.wake.notify_one();
        let every = Duration::from_micros(report.every);
        let mut last = 0;
        loop {
            let fleet_wall = || wall().saturating_add_signed(self.reports.behind.get());
            let into = fleet_wall() % report.every;
            tokio::time::sleep(Duration::from_micros(report.every - into)).await;
            if self.may_act(TASK).is_none() {
                continue;
            }
            let figures = self.gather(AWAIT.min(every / 4)).await;
            self.reports.behind.set(behind(wall(), &figures));
            // Named by the fleet's clock, also the first time: this node's own may be a year ahead.
            let slot = fleet_wall() / report.every;
            if slot == last {
                continue;
            }
            last = slot;
            // The look before the act: under this epoch or not at all.
            let Some(epoch) = self.may_act(TASK) else {
                continue;
            };
            let (taken, refused, silent) = self.reports.done.get();
            let done = match tokio::time::timeout(ANSWER, self.post(&report, epoch, slot, &figures))
                .await
            {
                Ok(Ok(status)) if (200..300).contains(&status) => (taken + 1, refused, silent),
                Ok(Ok(status)) => {
                    tracing::warn!(
                        status,
                        epoch,
                        slot,
                        "the collector refused the fleet's report"
                    );
                    (taken, refused + 1, silent)
                }
                _ => (taken, refused, silent + 1),
            };
            self.reports.done.set(done);
        }
    }

    async fn post(
        &self,
        report: &Report,
        epoch: u64,
        slot: u64,
        figures: &BTreeMap<String, Figures>,
    ) -> std::io::Result<u16> {
        let mut sums: BTreeMap<&str, Totals> = BTreeMap::new();
        for (class, counts) in figures.values().flat_map(|f| &f.replies) {
            sums.entry(class)
                .or_default()
                .iter_mut()
                .zip(counts)
                .for_each(|(sum, count)| *sum += count);
        }
        let mut crossed: BTreeMap<(&str, &str), u64> = BTreeMap::new();
        for (class, tenant, count) in figures.values().flat_map(|f| &f.crossings) {
            *crossed.entry((class, tenant)).or_default() += count;
        }
        let crossed = crossed.iter().map(
            |((class, tenant), count)| json!({"class": class, "tenant": tenant, "count": count}),
        );
        let me = self.node.borrow().me();
        let body = json!({
            "fleet": self.place.node.fleet, "task": TASK, "epoch": epoch, "slot": slot, "node": me.node,
            "incarnation": format!("{:016x}", me.incarnation), "every_us": report.every,
            "nodes": figures.keys().collect::<Vec<_>>(),
            "dispatches": figures.values().map(|f| f.dispatches).sum::<u64>(),
            "crossings": crossed.collect::<Vec<_>>(),
            "concurrent": figures.values().map(|f| f.concurrent).sum::<u64>(),
            "replies": sums.iter().map(|(class, t)| json!({"class": class, "served": t[0], "refused": t[1],
                "failed": t[2]})).collect::<Vec<_>>(),
        })
        .to_string();
        let mut stream = TcpStream::connect(report.to).await?;
        let head = format!(
            "POST /v1/fleet/report HTTP/1.1\r\nHost: {}\r\nFleet-Epoch: {epoch}\r\nContent-Type: application/json\r\n\
             Connection: close\r\nContent-Length: {}\r\n\r\n",
            report.to,
            body.len()
        );
        stream
            .write_all(&[head.as_bytes(), body.as_bytes()].concat())
            .await?;
        let mut answer = [0; 12];
        stream.read_exact(&mut answer).await?;
        let status = std::str::from_utf8(&answer[9..])
            .ok()
            .and_then(|s| s.parse().ok());
        status.ok_or(std::io::ErrorKind::InvalidData.into())
    }

    /// The figures of all nodes that answer in time.
    async fn gather(self: &Rc<Self>, wait: Duration) -> BTreeMap<String, Figures> {
        let counts = &self.reports;
        counts.number.set(counts.number.get() + 1);
        counts.figures.borrow_mut().clear();
        let number = counts.number.get();
        let (me, others) = (self.place.node.me.clone(), self.node.borrow().others());
        self.tell_figures(me, number);
        let all = others.len() + 1;
        for member in others {
            let out = self.node.borrow_mut().post(
                member.name,
                Some(member.addr),
                Body::AskFigures(number),
            );
            self.carry_out(vec![out]);
        }
        let until = tokio::time::Instant::now() + wait;
        while counts.figures.borrow().len() < all && tokio::time::Instant::now() < until {
            tokio::time::sleep(wait / 20).await;
        }
        counts.figures.take()
    }

    /// Sends this node's figures to whoever makes the report.
    pub(super) fn tell_figures(self: &Rc<Self>, to: String, number: u64) {
        let own = self.clone();
        spawn_local(async move {
            let (ask, told) = oneshot::channel();
            if own.tell.send(Message::Figures(ask)).await.is_err() {
                return;
            }
            let Ok(told) = told.await else { return };
            let (dispatches, concurrent) = (told.dispatches, told.concurrent as u64);
            let (replies, crossings) = (told.replies, told.crossings);
            let figures = Figures {
                replies,
                crossings,
                dispatches,
                concurrent,
                wall: wall(),
            };
            let out = own
                .node
                .borrow_mut()
                .post(to, None, Body::Figures(number, figures));
            own.carry_out(vec![out]);
        });
    }
}
