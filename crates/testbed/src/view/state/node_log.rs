//! Parses the lines of a node's log. Fields are read by their current names and by those of earlier versions.

use super::{queues, ConcurrencyUse, ServerRow, ViewState, ViewTime, MAX_ROWS};
use serde_json::Value;

/// A count in the summary message of a node.
struct SummaryCount {
    /// The displayed name, which is also the field's name in logs of earlier versions.
    shown_name: &'static str,
    /// The current name of the field.
    field: &'static str,
}

const fn summary_count(shown_name: &'static str, field: &'static str) -> SummaryCount {
    SummaryCount { shown_name, field }
}

/// The counts of a summary, in display order.
const SUMMARY_COUNTS: [SummaryCount; 7] = [
    summary_count("arrived", "arrived"),
    summary_count("sent", "attempts_started"),
    summary_count("served", "completed"),
    summary_count("refused", "rejected"),
    summary_count("failed", "failed"),
    summary_count("broken", "broken"),
    summary_count("gone", "disconnected"),
];
/// The counts of requests that have ended.
const ENDED_COUNTS: [&str; 5] = ["served", "refused", "failed", "broken", "gone"];

/// A field by its current name or, in logs of earlier versions, by its earlier name.
fn field<'a>(event: &'a Value, name: &str, earlier_name: &str) -> &'a Value {
    event.get(name).unwrap_or(&event[earlier_name])
}

fn number(event: &Value, name: &str) -> u64 {
    event[name].as_u64().unwrap_or(0)
}

impl ViewState {
    /// Updates the state from a line of a node's log. Lines that are not JSON and other messages are ignored.
    pub fn apply_log_line(&mut self, line: &str) {
        let Ok(event) = serde_json::from_str::<Value>(line) else {
            return;
        };
        match event["message"].as_str() {
            Some("summary") => self.apply_summary(&event),
            Some("streams") => self.apply_streams(&event),
            Some("streams of a replica") => self.apply_replica_streams(&event),
            Some("list changed") => self.apply_endpoint_change(&event),
            _ => {}
        }
    }

    fn apply_summary(&mut self, event: &Value) {
        let at_s = event["uptime_s"].as_f64().unwrap_or(self.time.elapsed_s);
        self.time = ViewTime {
            elapsed_s: at_s,
            total_s: None,
        };
        let counts = SUMMARY_COUNTS.map(|count| {
            let value = field(event, count.field, count.shown_name);
            (count.shown_name, value.as_u64().unwrap_or(0))
        });
        self.set_counts(at_s, &counts);
        let served_rate = self.rate("served");
        let ended_rate: f64 = ENDED_COUNTS.iter().map(|name| self.rate(name)).sum();
        if ended_rate > 0.0 {
            self.add_point(served_rate / ended_rate * 100.0);
        }
        let limit = field(event, "concurrency_limit", "window").as_f64();
        let in_flight = field(event, "in_flight", "out").as_u64().unwrap_or(0);
        self.concurrency = limit.map(|limit| ConcurrencyUse { limit, in_flight });
        let queued = field(event, "queued_by_tenant", "waiting");
        let queued = queued_by_tenant(queued.as_str().unwrap_or_default());
        let unnamed = (self.tenants.len()..).map(|index| format!("tenant {index}"));
        self.queues = queues(self.tenants.iter().cloned().chain(unnamed), queued);
    }

    fn apply_streams(&mut self, event: &Value) {
        self.streams = format!(
            "{} live, {} whole, {} stalled, {} broken, {} continued, {} saved",
            number(event, "live"),
            number(event, "whole"),
            number(event, "stalled"),
            number(event, "broken"),
            number(event, "continued"),
            number(event, "saved")
        );
    }

    fn apply_replica_streams(&mut self, event: &Value) {
        let details = format!(
            "gaps p50 {} p98 {} ms, limit {} ms, {} whole, {} given up, {} broken",
            number(event, "gap_p50_ms"),
            number(event, "gap_p98_ms"),
            number(event, "limit_ms"),
            number(event, "whole"),
            number(event, "stalled"),
            number(event, "broken")
        );
        let not_flowing =
            number(event, "slow") + number(event, "stalled_now") + number(event, "outrun");
        if let Some(row) = self.row_mut(event["replica"].as_str().unwrap_or("?")) {
            row.running = number(event, "flowing");
            row.queued = not_flowing;
            row.details = details;
        }
    }

    fn apply_endpoint_change(&mut self, event: &Value) {
        let state = event["state"].as_str().unwrap_or_default().to_lowercase();
        if let Some(row) = self.row_mut(event["name"].as_str().unwrap_or("?")) {
            row.state = state;
        }
    }

    fn rate(&self, name: &str) -> f64 {
        self.named_count(name)
            .and_then(|count| count.rate)
            .unwrap_or(0.0)
    }

    /// The row of a server, added if it is missing. `None` if there are already [`MAX_ROWS`] others.
    fn row_mut(&mut self, name: &str) -> Option<&mut ServerRow> {
        let index = self.rows.iter().position(|row| row.name == name);
        if index.is_none() && self.rows.len() < MAX_ROWS {
            self.rows.push(ServerRow {
                name: name.to_string(),
                state: "up".into(),
                ..ServerRow::default()
            });
            return self.rows.last_mut();
        }
        self.rows.get_mut(index?)
    }
}

/// Parses a list such as `[3, 0]`.
fn queued_by_tenant(list: &str) -> Vec<u64> {
    list.trim_matches(['[', ']'])
        .split(',')
        .filter_map(|number| number.trim().parse().ok())
        .collect()
}
