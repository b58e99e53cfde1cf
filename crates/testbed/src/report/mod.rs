//! The report of an experiment: one self-contained HTML page with tables and SVG charts.

#![expect(
    clippy::min_ident_chars,
    clippy::missing_errors_doc,
    clippy::redundant_closure_for_method_calls,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

mod plots;

use crate::emulator::policies::Policy;
use crate::experiment::table::{cell_values, TableAxes};
use crate::experiment::{ConfidenceInterval, Metric, RunResult};
use clap::ValueEnum;
use std::fmt::Write;

/// The maximum number of points with their own charts; the tables show all points.
const MAX_CHARTED_POINTS: usize = 60;

const STYLE: &str = "body{font:15px/1.45 system-ui,sans-serif;max-width:1180px;margin:2em auto;padding:0 1em;color:#222}\
table{border-collapse:collapse;margin:1em 0}td,th{padding:.25em .7em;text-align:right;border-bottom:1px solid #ddd}\
td:first-child,th:first-child{text-align:left}td.best{font-weight:600;background:#eef6ee}td.bad{background:#fbeaea}\
h2{margin-top:2.2em;border-top:2px solid #222;padding-top:.4em}figure{margin:1em 0}figcaption{color:#555;font-size:13px}\
.row{display:flex;flex-wrap:wrap;gap:12px}svg{max-width:100%;height:auto}";

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}

/// The results of one point and policy, one for each seed.
pub(crate) struct Cell<'a> {
    pub(crate) policy: Policy,
    pub(crate) results: Vec<&'a RunResult>,
}

/// Returns the page as HTML, with the name of the experiment as its title.
pub fn render_page(name: &str, results: &[RunResult]) -> Result<String, String> {
    let TableAxes { labels, policies } = TableAxes::from_results(results);
    let mut html = String::new();
    let seeds = results
        .iter()
        .map(|f| f.seed)
        .collect::<std::collections::BTreeSet<_>>()
        .len();
    let _ = write!(
        html,
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{0}</title><style>{STYLE}</style><h1>{0}</h1>\
         <p>{1} runs: {2} points, {3} policies, {4} seeds. Means with 95% confidence intervals over seeds.</p>",
        escape(name),
        results.len(),
        labels.len(),
        policies.len(),
        seeds
    );
    for metric in [
        Metric::Worth,
        Metric::FirstP50,
        Metric::FirstP99,
        Metric::Refused,
        Metric::Failed,
    ] {
        write_table(&mut html, results, &labels, &policies, metric);
    }
    for metric in [Metric::Kept, Metric::Crossed, Metric::Attempts] {
        write_table(&mut html, results, &labels, &policies, metric);
    }
    if let Some(svg) = plots::points_chart(results, &labels, &policies)? {
        write_chart(
            &mut html,
            &svg,
            "Served worth for each point, with 95% confidence intervals over seeds.",
        );
    }
    for label in labels.iter().take(MAX_CHARTED_POINTS) {
        let cells: Vec<Cell> = policies
            .iter()
            .map(|p| Cell {
                policy: *p,
                results: results
                    .iter()
                    .filter(|f| f.label == *label && f.policy == *p)
                    .collect(),
            })
            .filter(|c| !c.results.is_empty())
            .collect();
        let _ = write!(html, "<h2>{}</h2>", escape(label));
        let worth = plots::worth_chart(&cells)?;
        write_chart(
            &mut html,
            &worth,
            "Served worth by the time at which requests were first sent; mean over seeds; faults are shaded.",
        );
        html.push_str("<div class=\"row\">");
        write_chart(
            &mut html,
            &plots::latency_chart(&cells)?,
            "Time to the first token, by quantile.",
        );
        write_chart(
            &mut html,
            &plots::class_and_tenant_chart(&cells)?,
            "Served worth by class and tenant.",
        );
        html.push_str("</div><div class=\"row\">");
        for cell in &cells {
            let caption = format!(
                "{}: requests held by each server relative to its slots; one row per server; seed {}.",
                cell.policy, cell.results[0].seed
            );
            write_chart(
                &mut html,
                &plots::heatmap(&cell.results[0].outcome)?,
                &caption,
            );
        }
        html.push_str("</div>");
    }
    if labels.len() > MAX_CHARTED_POINTS {
        let _ = write!(
            html,
            "<p>{} further points are shown without charts.</p>",
            labels.len() - MAX_CHARTED_POINTS
        );
    }
    html.push_str("</html>\n");
    Ok(html)
}

fn write_chart(html: &mut String, svg: &str, caption: &str) {
    let _ = write!(
        html,
        "<figure>{svg}<figcaption>{}</figcaption></figure>",
        escape(caption)
    );
}

fn write_table(
    html: &mut String,
    results: &[RunResult],
    labels: &[&str],
    policies: &[Policy],
    metric: Metric,
) {
    let title = metric
        .to_possible_value()
        .and_then(|v| v.get_help().map(|h| h.to_string()))
        .unwrap_or_default();
    let _ = write!(html, "<h3>{}</h3><table><tr><th></th>", escape(&title));
    policies.iter().for_each(|p| {
        let _ = write!(html, "<th>{p}</th>");
    });
    html.push_str("</tr>");
    for label in labels {
        let means: Vec<Option<ConfidenceInterval>> = policies
            .iter()
            .map(|p| {
                Some(cell_values(results, label, *p, metric))
                    .filter(|v| !v.is_empty())
                    .map(|v| ConfidenceInterval::for_mean_of(&v))
            })
            .collect();
        let best = means
            .iter()
            .flatten()
            .map(|m| m.mean)
            .fold(f64::NEG_INFINITY, f64::max);
        let _ = write!(html, "<tr><td>{}</td>", escape(label));
        for mean in means {
            let text = mean.map_or("-".to_string(), |m| m.to_string());
            let is_best = metric == Metric::Worth
                && mean.is_some_and(|m| m.mean + m.half_width.max(0.05) >= best);
            let _ = write!(
                html,
                "<td{}>{text}</td>",
                if is_best { " class=\"best\"" } else { "" }
            );
        }
        html.push_str("</tr>");
    }
    html.push_str("</table>");
}
