//! Tables of results: a row for each point and a column for each policy, with confidence intervals over seeds.

use super::confidence::ConfidenceInterval;
use super::metric::Metric;
use super::results_folder::RunResult;
use crate::emulator::policies::Policy;

/// The text of a cell without results.
const EMPTY_CELL: &str = "-";
/// Spaces between two columns.
const COLUMN_GAP: usize = 2;

/// The rows and columns of a table.
pub struct TableAxes<'a> {
    /// The labels of points, in the order of the results.
    pub labels: Vec<&'a str>,
    /// The policies, in the order of [`Policy`].
    pub policies: Vec<Policy>,
}

impl<'a> TableAxes<'a> {
    /// The axes that cover all of the results.
    pub fn from_results(results: &'a [RunResult]) -> Self {
        let mut labels = Vec::new();
        let mut policies = Vec::new();
        for result in results {
            if !labels.contains(&result.label.as_str()) {
                labels.push(result.label.as_str());
            }
            if !policies.contains(&result.policy) {
                policies.push(result.policy);
            }
        }
        policies.sort();
        TableAxes { labels, policies }
    }

    /// Renders a table; `cell` gives the text of each cell.
    fn render(&self, cell: impl Fn(&str, Policy) -> String) -> String {
        let mut rows = Vec::with_capacity(self.labels.len());
        for label in &self.labels {
            let cells = self.policies.iter().map(|policy| cell(label, *policy));
            rows.push(Row {
                label: (*label).to_string(),
                cells: cells.collect(),
            });
        }
        let head = Row {
            label: String::new(),
            cells: self.policies.iter().map(Policy::to_string).collect(),
        };
        render_rows(&head, &rows)
    }
}

/// The results of one cell, in the order of `results`.
fn cell_results<'a>(
    results: &'a [RunResult],
    label: &'a str,
    policy: Policy,
) -> impl Iterator<Item = &'a RunResult> {
    results
        .iter()
        .filter(move |result| result.label == label && result.policy == policy)
}

/// The values of one cell, one for each seed.
pub fn cell_values(results: &[RunResult], label: &str, policy: Policy, metric: Metric) -> Vec<f64> {
    cell_results(results, label, policy)
        .map(|result| metric.value(&result.outcome))
        .collect()
}

/// Renders a row per label and a column per policy; a cell is the mean of its runs with the 95% confidence interval.
pub fn render_table(results: &[RunResult], metric: Metric) -> String {
    TableAxes::from_results(results).render(|label, policy| {
        let values = cell_values(results, label, policy, metric);
        if values.is_empty() {
            EMPTY_CELL.to_string()
        } else {
            ConfidenceInterval::for_mean_of(&values).to_string()
        }
    })
}

/// Renders the changes between two sets of results: the mean difference of runs with the same label, policy and seed. A
/// change larger than its confidence interval is marked with a star.
pub fn render_comparison(before: &[RunResult], after: &[RunResult], metric: Metric) -> String {
    TableAxes::from_results(after).render(|label, policy| {
        let mut changes = Vec::new();
        for result in cell_results(after, label, policy) {
            let same_seed =
                cell_results(before, label, policy).find(|previous| previous.seed == result.seed);
            if let Some(previous) = same_seed {
                changes.push(metric.value(&result.outcome) - metric.value(&previous.outcome));
            }
        }
        format_change(&changes)
    })
}

fn format_change(changes: &[f64]) -> String {
    if changes.is_empty() {
        return EMPTY_CELL.to_string();
    }
    let change = ConfidenceInterval::for_mean_of(changes);
    let is_significant = change.mean.abs() > change.half_width;
    if !is_significant {
        return change.to_string();
    }
    let sign = if change.mean > 0.0 { "+" } else { "" };
    format!("{sign}{change} *")
}

struct Row {
    label: String,
    cells: Vec<String>,
}

impl Row {
    /// Formats the row as a line, with the label left-aligned and cells right-aligned.
    fn format_line(&self, label_width: usize, widths: &[usize]) -> String {
        let mut line = format!("{:<label_width$}", self.label);
        for (cell, width) in self.cells.iter().zip(widths) {
            line.push_str(&format!("{cell:>width$}"));
        }
        line.push('\n');
        line
    }
}

fn render_rows(head: &Row, rows: &[Row]) -> String {
    let label_widths = rows.iter().map(|row| row.label.chars().count());
    let label_width = label_widths.max().unwrap_or(0);
    let mut widths = Vec::with_capacity(head.cells.len());
    for (column, title) in head.cells.iter().enumerate() {
        let cell_widths = rows.iter().map(|row| row.cells[column].chars().count());
        let cell_width = cell_widths.max().unwrap_or(0);
        widths.push(cell_width.max(title.len()) + COLUMN_GAP);
    }
    let mut text = head.format_line(label_width, &widths);
    for row in rows {
        text.push_str(&row.format_line(label_width, &widths));
    }
    text
}
