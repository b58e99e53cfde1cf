//! What the view knows: from an emulated world, or line by line from a node's log in JSON.

#![expect(
    clippy::min_ident_chars,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

use crate::emulator::{RequestEnd, RunOutcome, ServerStatus, Simulation};
use poppykeel_scheduler::EndpointState;
use serde_json::Value;
use std::collections::{BTreeMap, VecDeque};

/// Points of the lines over time.
const POINTS: usize = 240;
/// Servers that are shown; a node of thousands has them all, a terminal has no room.
pub const MOST_ROWS: usize = 512;

/// Counts of a node's summary: as they are shown, which is also the field's name in logs of earlier versions, and the
/// field's name today.
const SUMMARY_COUNTS: [(&str, &str); 7] = [
    ("arrived", "arrived"),
    ("sent", "attempts_started"),
    ("served", "completed"),
    ("refused", "rejected"),
    ("failed", "failed"),
    ("broken", "broken"),
    ("gone", "disconnected"),
];

/// A field of a log line by its name today or, in logs of earlier versions, by the name it had then.
fn field<'a>(event: &'a Value, name: &str, earlier_name: &str) -> &'a Value {
    event.get(name).unwrap_or(&event[earlier_name])
}

/// One server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Row {
    /// Its name.
    pub name: String,
    /// Up, draining, away.
    pub state: String,
    /// Requests under way, and waiting; of a node's log, streams that flow and that do not.
    pub held: (u64, u64),
    /// More in words.
    pub more: String,
}

/// All that is shown.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct State {
    /// What is looked at.
    pub title: String,
    /// Its time, in seconds, and of how many, where that is known.
    pub time: (f64, Option<f64>),
    /// Counts so far, by name, in order.
    pub counts: Vec<(String, u64)>,
    /// What came to a rate since the last look, by name, in order.
    pub rates: Vec<(String, f64)>,
    /// Served worth of the last pieces of time, in percent; of a node, the served part of what ended.
    pub worth: VecDeque<f64>,
    /// Requests that wait, by tenant.
    pub queues: Vec<(String, u64)>,
    /// Windows: requests that may be out, and are.
    pub window: Option<(f64, u64)>,
    /// Servers.
    pub rows: Vec<Row>,
    /// Streams in words.
    pub streams: String,
    before: Option<(f64, BTreeMap<String, u64>)>,
    pieces: usize,
    tenants: Vec<String>,
}

impl State {
    /// Nothing is known yet. Tenants are named in the order of their numbers.
    pub fn new(title: &str, tenants: Vec<String>) -> Self {
        State {
            title: title.to_string(),
            tenants,
            ..State::default()
        }
    }

    fn count(&mut self, at: f64, counts: Vec<(String, u64)>) {
        if let Some((before, old)) = &self.before {
            if at > *before {
                let rate = |(name, n): &(String, u64)| {
                    let gone = n.saturating_sub(old.get(name).copied().unwrap_or(0));
                    (name.clone(), gone as f64 / (at - before))
                };
                self.rates = counts.iter().map(rate).collect();
            }
        }
        self.before = Some((at, counts.iter().cloned().collect()));
        self.counts = counts;
    }

    fn point(&mut self, worth: f64) {
        if self.worth.len() == POINTS {
            self.worth.pop_front();
        }
        self.worth.push_back(worth);
    }

    /// Looks at an emulated world; `seconds` is the length of its load.
    pub fn look(&mut self, world: &mut Simulation, seconds: f64) {
        let at = world.now() as f64 / 1e6;
        self.time = (at.min(seconds), Some(seconds));
        let out: &RunOutcome = world.outcome_so_far();
        let ends = |end: RequestEnd| out.all.ends[end as usize];
        let counts = vec![
            ("tries".to_string(), out.tries),
            ("attempts".to_string(), out.attempts),
            ("good".to_string(), ends(RequestEnd::Good)),
            ("late".to_string(), ends(RequestEnd::Late)),
            ("refused".to_string(), ends(RequestEnd::Refused)),
            (
                "failed".to_string(),
                ends(RequestEnd::Failed) + ends(RequestEnd::Broken) + ends(RequestEnd::Left),
            ),
        ];
        // A piece is shown once most of its requests have ended.
        let pieces = ((at / out.piece_s) as usize)
            .saturating_sub(4)
            .min(out.series.len());
        let worth: Vec<f64> = out.series[self.pieces.min(pieces)..pieces]
            .iter()
            .map(|t| t.served_fraction() * 100.0)
            .collect();
        self.pieces = pieces;
        self.queues = self
            .tenants
            .iter()
            .cloned()
            .zip(world.queued_by_tenant())
            .collect();
        self.streams = format!("{} tries held by nodes and servers", world.open_try_count());
        worth.into_iter().for_each(|w| self.point(w));
        self.count(at, counts);
        let row = |(n, server): (usize, ServerStatus)| Row {
            name: format!("m-{n}"),
            state: match (server.is_up, server.listed_state) {
                (false, _) => "away",
                (_, EndpointState::Draining) => "draining",
                (_, EndpointState::Removed) => "not listed",
                _ => "up",
            }
            .to_string(),
            held: (
                server.requests.running as u64,
                server.requests.queued as u64,
            ),
            more: String::new(),
        };
        self.rows = world
            .servers()
            .enumerate()
            .take(MOST_ROWS)
            .map(row)
            .collect();
    }

    /// Takes a line of a node's log; what says nothing of interest is passed over.
    pub fn line(&mut self, line: &str) {
        let Ok(event) = serde_json::from_str::<Value>(line) else {
            return;
        };
        let number = |key: &str| event[key].as_u64().unwrap_or(0);
        match event["message"].as_str() {
            Some("summary") => {
                let at = event["uptime_s"].as_f64().unwrap_or(self.time.0);
                self.time = (at, None);
                let counts: Vec<(String, u64)> = SUMMARY_COUNTS
                    .iter()
                    .map(|(shown, name)| {
                        let count = field(&event, name, shown).as_u64().unwrap_or(0);
                        (shown.to_string(), count)
                    })
                    .collect();
                self.count(at, counts);
                let rate =
                    |name: &str| self.rates.iter().find(|r| r.0 == name).map_or(0.0, |r| r.1);
                let served = rate("served");
                let ended =
                    served + rate("refused") + rate("failed") + rate("broken") + rate("gone");
                if ended > 0.0 {
                    self.point(served / ended * 100.0);
                }
                let in_flight = field(&event, "in_flight", "out").as_u64().unwrap_or(0);
                self.window = field(&event, "concurrency_limit", "window")
                    .as_f64()
                    .map(|limit| (limit, in_flight));
                let waiting = field(&event, "queued_by_tenant", "waiting");
                let waiting = waiting.as_str().unwrap_or_default();
                let waiting = waiting
                    .trim_matches(['[', ']'])
                    .split(',')
                    .filter_map(|n| n.trim().parse().ok());
                let tenants = self
                    .tenants
                    .iter()
                    .cloned()
                    .chain((self.tenants.len()..).map(|n| format!("tenant {n}")));
                self.queues = tenants.zip(waiting).collect();
            }
            Some("streams") => {
                self.streams = format!(
                    "{} live, {} whole, {} stalled, {} broken, {} continued, {} saved",
                    number("live"),
                    number("whole"),
                    number("stalled"),
                    number("broken"),
                    number("continued"),
                    number("saved")
                );
            }
            Some("streams of a replica") => {
                let name = event["replica"].as_str().unwrap_or("?").to_string();
                let others = number("slow") + number("stalled_now") + number("outrun");
                let more = format!(
                    "gaps p50 {} p98 {} ms, limit {} ms, {} whole, {} given up, {} broken",
                    number("gap_p50_ms"),
                    number("gap_p98_ms"),
                    number("limit_ms"),
                    number("whole"),
                    number("stalled"),
                    number("broken")
                );
                let row = self.row(name);
                if let Some(row) = row {
                    (row.held, row.more) = ((number("flowing"), others), more);
                }
            }
            Some("list changed") => {
                let state = event["state"].as_str().unwrap_or_default().to_lowercase();
                if let Some(row) = self.row(event["name"].as_str().unwrap_or("?").to_string()) {
                    row.state = state;
                }
            }
            _ => {}
        }
    }

    fn row(&mut self, name: String) -> Option<&mut Row> {
        let place = match self.rows.iter().position(|r| r.name == name) {
            Some(place) => place,
            None if self.rows.len() < MOST_ROWS => {
                self.rows.push(Row {
                    name,
                    state: "up".into(),
                    ..Row::default()
                });
                self.rows.len() - 1
            }
            None => return None,
        };
        self.rows.get_mut(place)
    }
}
