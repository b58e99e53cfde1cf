//! The summary of streams in a node's log, and the table that shows it.
//!
//! A summary is one event for all streams, followed by one event for each replica.

use serde_json::Value;

/// The message of the event for all streams.
const SUMMARY_MESSAGE: &str = "streams";
/// The message of the event for one replica.
const REPLICA_MESSAGE: &str = "streams of a replica";
/// The title of the column with the replicas' names.
const REPLICA_TITLE: &str = "replica";

/// The counts of all streams in the first line, by the names of the event's fields.
const COUNT_FIELDS: [&str; 8] = [
    "live",
    "whole",
    "stalled",
    "broken",
    "continued",
    "saved",
    "completed",
    "failed",
];

/// A column of the table.
struct Column {
    /// The field of a replica's event.
    field: &'static str,
    title: &'static str,
}

const fn column(field: &'static str, title: &'static str) -> Column {
    Column { field, title }
}

const COLUMNS: [Column; 13] = [
    column("flowing", "flowing"),
    column("slow", "slow"),
    column("stalled_now", "stalled"),
    column("outrun", "outrun"),
    column("begun", "begun"),
    column("whole", "whole"),
    column("stalled", "given up"),
    column("broken", "broken"),
    column("gap_p50_ms", "gap p50"),
    column("gap_p90_ms", "p90"),
    column("gap_p98_ms", "p98"),
    column("gap_most_ms", "most"),
    column("limit_ms", "limit ms"),
];

/// The newest summary of a log.
#[derive(Default)]
pub(super) struct StreamsSummary {
    /// The event for all streams.
    totals: Option<Value>,
    /// The events for replicas.
    replicas: Vec<Value>,
}

impl StreamsSummary {
    /// Takes a line of the log. One that is no part of a summary is ignored.
    pub(super) fn add_line(&mut self, line: &str) {
        let Ok(event) = serde_json::from_str::<Value>(line) else {
            return;
        };
        match event["message"].as_str() {
            Some(SUMMARY_MESSAGE) => {
                self.totals = Some(event);
                self.replicas.clear();
            }
            Some(REPLICA_MESSAGE) => self.replicas.push(event),
            _ => {}
        }
    }

    /// The summary as a text; `None` where the log has none.
    pub(super) fn table(&self) -> Option<String> {
        let mut table = totals_line(self.totals.as_ref()?);
        if self.replicas.is_empty() {
            return Some(table);
        }
        let name_width = self.name_width();
        let titles = COLUMNS.map(|column| column.title.to_string());
        table += &row(REPLICA_TITLE, name_width, &titles);
        for replica in &self.replicas {
            let cells = COLUMNS.map(|column| number(replica, column.field));
            table += &row(replica_name(replica), name_width, &cells);
        }
        Some(table)
    }

    /// The width of the column with the replicas' names: that of the longest name.
    fn name_width(&self) -> usize {
        let names = self.replicas.iter().map(replica_name);
        let longest = names.map(str::len).max().unwrap_or(0);
        longest.max(REPLICA_TITLE.len())
    }
}

/// The line for all streams.
fn totals_line(totals: &Value) -> String {
    let counts = COUNT_FIELDS
        .map(|field| format!("{} {field}", number(totals, field)))
        .join(", ");
    let time = totals["timestamp"].as_str().unwrap_or("no time");
    let dropped_bytes = number(totals, "dropped");
    format!("{time}: {counts}, {dropped_bytes} bytes dropped\n")
}

/// A line of the table.
fn row(name: &str, name_width: usize, cells: &[String]) -> String {
    let mut line = format!("{name:<name_width$}");
    for cell in cells {
        line += &format!("{cell:>9}");
    }
    line.push('\n');
    line
}

/// A number of an event; 0 where it is missing.
fn number(event: &Value, field: &str) -> String {
    event[field].as_u64().unwrap_or(0).to_string()
}

fn replica_name(event: &Value) -> &str {
    event["replica"].as_str().unwrap_or("?")
}
