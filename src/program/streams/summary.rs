//! Finds the newest summary of streams in a node's log and formats it as a table.
//!
//! A summary is one event for all streams, followed by one event per replica.

use serde_json::Value;

/// The message of the event for all streams.
const SUMMARY_MESSAGE: &str = "streams";
/// The message of the event for one replica.
const REPLICA_MESSAGE: &str = "streams of a replica";
/// The title of the column with the names of replicas.
const REPLICA_TITLE: &str = "replica";

/// The event fields whose counts are in the first line, which covers all streams.
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
    /// Processes a line of the log. Lines that are not part of a summary are ignored.
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

    /// Formats the newest summary; `None` if the log has none.
    pub(super) fn format_table(&self) -> Option<String> {
        let mut table = format_totals(self.totals.as_ref()?);
        if self.replicas.is_empty() {
            return Some(table);
        }
        let name_width = self.name_width();
        let titles = COLUMNS.map(|column| column.title.to_string());
        table += &format_row(REPLICA_TITLE, name_width, &titles);
        for replica in &self.replicas {
            let cells = COLUMNS.map(|column| format_count(replica, column.field));
            table += &format_row(replica_name(replica), name_width, &cells);
        }
        Some(table)
    }

    /// The width of the column with the names of replicas.
    fn name_width(&self) -> usize {
        let names = self.replicas.iter().map(replica_name);
        let longest = names.map(str::len).max().unwrap_or(0);
        longest.max(REPLICA_TITLE.len())
    }
}

/// Formats the first line, which covers all streams.
fn format_totals(totals: &Value) -> String {
    let counts = COUNT_FIELDS
        .map(|field| format!("{} {field}", format_count(totals, field)))
        .join(", ");
    let time = totals["timestamp"].as_str().unwrap_or("no time");
    let dropped_bytes = format_count(totals, "dropped");
    format!("{time}: {counts}, {dropped_bytes} bytes dropped\n")
}

fn format_row(name: &str, name_width: usize, cells: &[String]) -> String {
    let mut line = format!("{name:<name_width$}");
    for cell in cells {
        line += &format!("{cell:>9}");
    }
    line.push('\n');
    line
}

/// Formats a count in an event; "0" if the event lacks it.
fn format_count(event: &Value, field: &str) -> String {
    event[field].as_u64().unwrap_or(0).to_string()
}

fn replica_name(event: &Value) -> &str {
    event["replica"].as_str().unwrap_or("?")
}
