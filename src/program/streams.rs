//! `poppykeel streams`: what a node's log last said of its streams, as a table.

#![expect(
    clippy::min_ident_chars,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

use clap::Args;
use serde_json::Value;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;

#[derive(Args)]
pub(super) struct Streams {
    /// A log that `serve --log-format json` wrote; "-" reads standard input to its end
    log: PathBuf,
}

/// What the log last said.
#[derive(Default)]
struct Last {
    all: Option<Value>,
    replicas: Vec<Value>,
}

impl Last {
    /// Takes a line; what is no summary of streams is passed over.
    fn take(&mut self, line: &str) {
        let Ok(event) = serde_json::from_str::<Value>(line) else {
            return;
        };
        match event["message"].as_str() {
            Some("streams") => (self.all, self.replicas) = (Some(event), Vec::new()),
            Some("streams of a replica") => self.replicas.push(event),
            _ => {}
        }
    }

    fn table(&self) -> Option<String> {
        const COUNTS: [&str; 8] = [
            "live",
            "whole",
            "stalled",
            "broken",
            "continued",
            "saved",
            "completed",
            "failed",
        ];
        const COLUMNS: [(&str, &str); 13] = [
            ("flowing", "flowing"),
            ("slow", "slow"),
            ("stalled_now", "stalled"),
            ("outrun", "outrun"),
            ("begun", "begun"),
            ("whole", "whole"),
            ("stalled", "given up"),
            ("broken", "broken"),
            ("gap_p50_ms", "gap p50"),
            ("gap_p90_ms", "p90"),
            ("gap_p98_ms", "p98"),
            ("gap_most_ms", "most"),
            ("limit_ms", "limit ms"),
        ];
        let all = self.all.as_ref()?;
        let number = |event: &Value, key: &str| event[key].as_u64().unwrap_or(0).to_string();
        let counts = COUNTS
            .map(|key| format!("{} {key}", number(all, key)))
            .join(", ");
        let at = all["timestamp"].as_str().unwrap_or("no time");
        let mut text = format!("{at}: {counts}, {} bytes dropped\n", number(all, "dropped"));
        let name = |event: &Value| event["replica"].as_str().unwrap_or("?").to_string();
        let width = self
            .replicas
            .iter()
            .map(|r| name(r).len())
            .max()
            .unwrap_or(0)
            .max("replica".len());
        let row = |name: &str, cells: Vec<String>| {
            let cells: Vec<String> = cells.iter().map(|c| format!("{c:>9}")).collect();
            format!("{name:<width$}{}\n", cells.concat())
        };
        if !self.replicas.is_empty() {
            text += &row("replica", COLUMNS.iter().map(|c| c.1.to_string()).collect());
        }
        for replica in &self.replicas {
            text += &row(
                &name(replica),
                COLUMNS.iter().map(|c| number(replica, c.0)).collect(),
            );
        }
        Some(text)
    }
}

impl Streams {
    pub(super) fn run(&self) -> Result<(), String> {
        let failed = |e: std::io::Error| format!("log {}: {e}", self.log.display());
        let reader: Box<dyn BufRead> = if self.log.as_os_str() == "-" {
            Box::new(std::io::stdin().lock())
        } else {
            Box::new(BufReader::new(
                std::fs::File::open(&self.log).map_err(failed)?,
            ))
        };
        let mut last = Last::default();
        for line in reader.lines() {
            last.take(&line.map_err(failed)?);
        }
        let none = "no summary of streams; expected the log of `poppykeel serve --log-format json`";
        let table = last
            .table()
            .ok_or(format!("log {}: {none}", self.log.display()))?;
        print!("{table}");
        Ok(())
    }
}
