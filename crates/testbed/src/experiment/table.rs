//! Results as tables, with confidence intervals over seeds.

#![expect(
    clippy::min_ident_chars,
    clippy::needless_pass_by_value,
    reason = "not yet converted"
)]

use super::results::Found;
use crate::emulator::policies::Policy;
use crate::emulator::{RequestEnd, RunOutcome, Tally};
use std::fmt::Write;

/// Student's t at 97.5%, by degrees of freedom from 1 on; beyond the table it is nearly that of the normal.
const STUDENT: [f64; 30] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160,
    2.145, 2.131, 2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056,
    2.052, 2.048, 2.045, 2.042,
];

/// A mean and half its 95% interval; the half is NaN with fewer than two values.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Mean {
    /// The mean.
    pub mean: f64,
    /// Half the interval.
    pub half: f64,
}

impl Mean {
    /// Of these values.
    pub fn of(values: &[f64]) -> Mean {
        let n = values.len() as f64;
        let mean = values.iter().sum::<f64>() / n;
        if values.len() < 2 {
            return Mean {
                mean,
                half: f64::NAN,
            };
        }
        let variance = values.iter().map(|v| (v - mean).powi(2)).sum::<f64>() / (n - 1.0);
        let t = STUDENT.get(values.len() - 2).copied().unwrap_or(1.96);
        Mean {
            mean,
            half: t * (variance / n).sqrt(),
        }
    }
}

impl std::fmt::Display for Mean {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        if self.half.is_nan() {
            write!(f, "{:.1}", self.mean)
        } else {
            write!(f, "{:.1} ±{:.1}", self.mean, self.half)
        }
    }
}

/// What is told of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Figure {
    /// Served worth, in percent.
    Worth,
    /// The time to the first token that 99 of 100 answers kept, in milliseconds.
    FirstP99,
    /// The same for half of them.
    FirstP50,
    /// Requests turned away, in percent.
    Refused,
    /// Requests failed or broken off, in percent.
    Failed,
    /// Attempts for each try.
    Attempts,
    /// Prompt tokens that were found kept, in percent.
    Kept,
    /// Attempts from zone to zone, in percent.
    Crossed,
    /// Broken rules.
    Broken,
    /// Attempts at servers beyond each request's first, for each 100 requests.
    Repeats,
    /// Seconds from the first fault's end until a piece of time has 95% of the served worth of before that fault.
    Recovery,
    /// Repeats at servers beyond the fleet's budget over the worst window, as a part of its burst.
    Window,
    /// Messages that a node sends a second.
    Messages,
    /// Bytes that a node sends a second.
    Bytes,
    /// Messages that the busiest keeper sends a second.
    KeeperMessages,
    /// Bytes that the busiest keeper sends a second.
    KeeperBytes,
    /// The longest time without a holder, in seconds.
    Without,
}

/// The time from the first fault's end until the service is as it was.
fn recovery(o: &RunOutcome) -> f64 {
    let Some(fault) = o.faults.first() else {
        return f64::NAN;
    };
    let piece = |at: f64| (at / o.piece_s) as usize;
    let (from, end) = (piece(fault.at_s), piece(fault.at_s + fault.for_s));
    let part = |tallies: &[Tally]| {
        let sum = tallies
            .iter()
            .fold((0.0, 0.0), |s, t| (s.0 + t.offered, s.1 + t.gained));
        sum.1 / f64::max(sum.0, 1e-9)
    };
    let before = part(o.series.get(from / 2..from).unwrap_or_default());
    let after = o.series.get(end..).unwrap_or_default();
    let back = after
        .iter()
        .position(|t| t.offered > 0.0 && t.served_fraction() >= 0.95 * before);
    back.unwrap_or(after.len()) as f64 * o.piece_s
}

impl Figure {
    /// Its value in one run.
    pub fn of(self, o: &RunOutcome) -> f64 {
        let requests = (o.all.request_count().max(1)) as f64;
        let talked = o.talked.unwrap_or_default();
        let ends = |which: &[RequestEnd]| {
            which.iter().map(|e| o.all.ends[*e as usize]).sum::<u64>() as f64
        };
        match self {
            Figure::Worth => o.all.served_fraction() * 100.0,
            Figure::FirstP99 => o.first.at.get(4).copied().unwrap_or(f64::NAN),
            Figure::FirstP50 => o.first.at.get(1).copied().unwrap_or(f64::NAN),
            Figure::Refused => ends(&[RequestEnd::Refused]) / requests * 100.0,
            Figure::Failed => {
                ends(&[RequestEnd::Failed, RequestEnd::Broken, RequestEnd::Left]) / requests * 100.0
            }
            Figure::Attempts => o.attempts as f64 / (o.tries.max(1)) as f64,
            Figure::Kept => o.prompt.cached as f64 / (o.prompt.total.max(1)) as f64 * 100.0,
            Figure::Crossed => o.crossed as f64 / (o.attempts.max(1)) as f64 * 100.0,
            Figure::Broken => o.broken.sum() as f64,
            Figure::Repeats => o.repeats as f64 / requests * 100.0,
            Figure::Recovery => recovery(o),
            Figure::Window => talked.worst_window,
            Figure::Messages => talked.node.messages_per_second,
            Figure::Bytes => talked.node.bytes_per_second,
            Figure::KeeperMessages => talked.keeper.messages_per_second,
            Figure::KeeperBytes => talked.keeper.bytes_per_second,
            Figure::Without => talked.longest_without,
        }
    }
}

/// Labels and policies of results, each in the order it came.
pub fn axes(found: &[Found]) -> (Vec<&str>, Vec<Policy>) {
    let (mut labels, mut policies) = (Vec::new(), Vec::new());
    for f in found {
        if !labels.contains(&f.label.as_str()) {
            labels.push(f.label.as_str());
        }
        if !policies.contains(&f.policy) {
            policies.push(f.policy);
        }
    }
    policies.sort();
    (labels, policies)
}

/// The values of one cell, in the order of seeds.
pub fn values(found: &[Found], label: &str, policy: Policy, figure: Figure) -> Vec<f64> {
    let fit = found
        .iter()
        .filter(|f| f.label == label && f.policy == policy);
    fit.map(|f| figure.of(&f.outcome)).collect()
}

/// One figure: a row for each point, a column for each policy.
pub fn table(found: &[Found], figure: Figure) -> String {
    let (labels, policies) = axes(found);
    let cell = |label: &str, policy: Policy| {
        let values = values(found, label, policy, figure);
        if values.is_empty() {
            "-".to_string()
        } else {
            Mean::of(&values).to_string()
        }
    };
    let head = policies.iter().map(Policy::to_string).collect();
    let rows = labels.iter().map(|l| {
        (
            l.to_string(),
            policies.iter().map(|p| cell(l, *p)).collect(),
        )
    });
    lay_out(head, rows.collect())
}

/// Two results of like experiments: by how much each cell has changed, seed by seed.
pub fn compare(before: &[Found], after: &[Found], figure: Figure) -> String {
    let (labels, policies) = axes(after);
    let cell = |label: &str, policy: Policy| {
        let of = |found: &[Found]| -> Vec<(u64, f64)> {
            let fit = found
                .iter()
                .filter(|f| f.label == label && f.policy == policy);
            fit.map(|f| (f.seed, figure.of(&f.outcome))).collect()
        };
        let (old, new) = (of(before), of(after));
        let differ = new
            .iter()
            .filter_map(|(s, v)| old.iter().find(|o| o.0 == *s).map(|o| v - o.1));
        let differ: Vec<f64> = differ.collect();
        match Mean::of(&differ) {
            _ if differ.is_empty() => "-".to_string(),
            mean if mean.mean.abs() > mean.half => {
                format!("{mean:} *").replacen("", if mean.mean > 0.0 { "+" } else { "" }, 1)
            }
            mean => mean.to_string(),
        }
    };
    let head = policies.iter().map(Policy::to_string).collect();
    let rows = labels.iter().map(|l| {
        (
            l.to_string(),
            policies.iter().map(|p| cell(l, *p)).collect(),
        )
    });
    lay_out(head, rows.collect())
}

fn lay_out(head: Vec<String>, rows: Vec<(String, Vec<String>)>) -> String {
    let first = rows.iter().map(|r| r.0.chars().count()).max().unwrap_or(0);
    let width = |n: usize| {
        rows.iter()
            .map(|r| r.1[n].chars().count())
            .max()
            .unwrap_or(0)
            .max(head[n].len())
            + 2
    };
    let widths: Vec<usize> = (0..head.len()).map(width).collect();
    let mut text = " ".repeat(first);
    let line = |text: &mut String, cells: &[String]| {
        for (cell, width) in cells.iter().zip(&widths) {
            let _ = write!(text, "{cell:>width$}");
        }
        text.push('\n');
    };
    line(&mut text, &head);
    for (label, cells) in &rows {
        let _ = write!(text, "{label:<first$}");
        line(&mut text, cells);
    }
    text
}
