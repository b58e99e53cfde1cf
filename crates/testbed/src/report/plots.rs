//! The SVG charts of the report.

#![expect(
    clippy::min_ident_chars,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

use super::Cell;
use crate::emulator::description::{FaultDescription, FaultKind};
use crate::emulator::policies::Policy;
use crate::emulator::{RunOutcome, QUANTILES, TIME_SLICE_COUNT};
use crate::experiment::table::cell_values;
use crate::experiment::{ConfidenceInterval, Metric, RunResult};
use plotters::prelude::*;

/// The number of time slices combined into one point of a line, to reduce noise.
const SLICES_PER_POINT: usize = 3;

fn chart_error<E: std::fmt::Display>(e: E) -> String {
    format!("cannot draw a chart: {e}")
}

/// The line colour of a policy; the project's own policy is dark, and its lines are thick.
fn policy_colour(policy: Policy) -> RGBColor {
    match policy {
        Policy::Poppykeel => RGBColor(20, 20, 20),
        Policy::Random => RGBColor(200, 200, 60),
        Policy::RoundRobin => RGBColor(90, 170, 220),
        Policy::LeastOutstanding => RGBColor(0, 130, 100),
        Policy::TwoChoices => RGBColor(220, 100, 20),
        Policy::LeastReported => RGBColor(200, 110, 170),
        Policy::PrefixAffine => RGBColor(60, 80, 200),
    }
}

fn policy_line_width(policy: Policy) -> u32 {
    if policy == Policy::Poppykeel {
        3
    } else {
        1
    }
}

/// Draws a chart of this size, in pixels, and returns it as SVG.
fn draw(
    size: (u32, u32),
    draw_chart: impl FnOnce(&DrawingArea<SVGBackend, plotters::coord::Shift>) -> Result<(), String>,
) -> Result<String, String> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, size).into_drawing_area();
        area.fill(&WHITE).map_err(chart_error)?;
        draw_chart(&area)?;
        area.present().map_err(chart_error)?;
    }
    Ok(svg)
}

/// A fault's name, beginning and end, in seconds. A cold restart has no duration and is shown for one second.
fn fault_interval(fault: &FaultDescription) -> (String, f64, f64) {
    let name = serde_json::to_value(fault.what)
        .ok()
        .and_then(|v| v.as_str().map(String::from))
        .unwrap_or_default();
    let duration = if fault.what == FaultKind::ColdRestart {
        1.0
    } else {
        fault.for_s
    };
    (name, fault.at_s, fault.at_s + duration)
}

/// Draws the served fraction of the priority weight over time, one line for each policy.
pub(super) fn worth_chart(cells: &[Cell]) -> Result<String, String> {
    let slice_s = cells
        .iter()
        .flat_map(|c| &c.results)
        .map(|f| f.outcome.piece_s)
        .next()
        .unwrap_or(1.0);
    let end = slice_s * TIME_SLICE_COUNT as f64;
    draw((1140, 300), |area| {
        let mut chart = ChartBuilder::on(area)
            .margin(8)
            .x_label_area_size(34)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..end, 0.0..105.0)
            .map_err(chart_error)?;
        chart
            .configure_mesh()
            .disable_x_mesh()
            .light_line_style(WHITE)
            .x_desc("seconds")
            .y_desc("served worth, %")
            .draw()
            .map_err(chart_error)?;
        for fault in cells
            .iter()
            .flat_map(|c| &c.results)
            .take(1)
            .flat_map(|f| &f.outcome.faults)
        {
            let (name, from, to) = fault_interval(fault);
            let shade = Rectangle::new(
                [(from, 0.0), (to.min(end), 105.0)],
                RGBColor(200, 60, 60).mix(0.12).filled(),
            );
            let text = Text::new(
                name,
                (from, 104.0),
                ("sans-serif", 13).into_font().color(&RGBColor(160, 40, 40)),
            );
            chart
                .draw_series(std::iter::once(shade))
                .map_err(chart_error)?;
            chart
                .draw_series(std::iter::once(text))
                .map_err(chart_error)?;
        }
        for cell in cells {
            let line = (0..TIME_SLICE_COUNT / SLICES_PER_POINT).filter_map(|n| {
                let slices = n * SLICES_PER_POINT..(n + 1) * SLICES_PER_POINT;
                let of = |take: fn(&crate::emulator::Tally) -> f64| -> f64 {
                    let all = cell
                        .results
                        .iter()
                        .flat_map(|f| f.outcome.series.get(slices.clone()).unwrap_or_default());
                    all.map(take).sum()
                };
                let (offered, gained) = (of(|t| t.offered), of(|t| t.gained));
                let at = (n as f64 + 0.5) * SLICES_PER_POINT as f64 * slice_s;
                (offered > 0.0).then(|| (at, gained / offered * 100.0))
            });
            let (colour, width) = (policy_colour(cell.policy), policy_line_width(cell.policy));
            chart
                .draw_series(LineSeries::new(line, colour.stroke_width(width)))
                .map_err(chart_error)?
                .label(cell.policy.to_string())
                .legend(move |(x, y)| {
                    PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(width))
                });
        }
        legend(&mut chart, SeriesLabelPosition::LowerLeft)
    })
}

fn legend<'a, X, Y>(
    chart: &mut ChartContext<'a, SVGBackend<'a>, Cartesian2d<X, Y>>,
    position: SeriesLabelPosition,
) -> Result<(), String>
where
    X: Ranged<ValueType = f64> + 'a,
    Y: Ranged<ValueType = f64> + 'a,
{
    let style = WHITE.mix(0.8);
    chart
        .configure_series_labels()
        .position(position)
        .background_style(style)
        .border_style(BLACK.mix(0.2))
        .draw()
        .map_err(chart_error)
}

/// Draws the time to the first token at each quantile, on a logarithmic scale.
pub(super) fn latency_chart(cells: &[Cell]) -> Result<String, String> {
    let at = |cell: &Cell, n: usize| -> Option<f64> {
        let all: Vec<f64> = cell
            .results
            .iter()
            .filter_map(|f| f.outcome.first.at.get(n).copied())
            .collect();
        (!all.is_empty()).then(|| (all.iter().sum::<f64>() / all.len() as f64).max(0.1))
    };
    let all: Vec<f64> = cells
        .iter()
        .flat_map(|c| (0..QUANTILES.len()).filter_map(|n| at(c, n)))
        .collect();
    let (low, high) = all
        .iter()
        .fold((1e9f64, 1.0f64), |(l, h), v| (l.min(*v), h.max(*v)));
    let (low, high) = (low.min(high) * 0.8, high * 1.3);
    draw((560, 320), |area| {
        let mut chart = ChartBuilder::on(area)
            .margin(8)
            .x_label_area_size(34)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..(QUANTILES.len() - 1) as f64, (low..high).log_scale())
            .map_err(chart_error)?;
        let name = |x: &f64| {
            let quantile = QUANTILES.get(x.round() as usize).copied().unwrap_or(1.0);
            if quantile >= 1.0 {
                "most".to_string()
            } else {
                format!("p{}", (quantile * 1000.0).round() / 10.0)
            }
        };
        chart
            .configure_mesh()
            .light_line_style(WHITE)
            .x_labels(QUANTILES.len())
            .x_label_formatter(&name)
            .y_desc("first token, ms")
            .draw()
            .map_err(chart_error)?;
        for cell in cells {
            let line = (0..QUANTILES.len()).filter_map(|n| at(cell, n).map(|v| (n as f64, v)));
            let (colour, width) = (policy_colour(cell.policy), policy_line_width(cell.policy));
            chart
                .draw_series(LineSeries::new(line, colour.stroke_width(width)))
                .map_err(chart_error)?;
        }
        Ok(())
    })
}

/// Draws the served fraction of the priority weight of each class and tenant, one bar for each policy.
pub(super) fn class_and_tenant_chart(cells: &[Cell]) -> Result<String, String> {
    let names: Vec<String> = match cells.first().and_then(|c| c.results.first()) {
        Some(f) => f
            .outcome
            .classes
            .iter()
            .chain(&f.outcome.tenants)
            .map(|g| g.0.clone())
            .collect(),
        None => return Ok(String::new()),
    };
    let served_percent = |cell: &Cell, n: usize| -> f64 {
        let tallies = cell
            .results
            .iter()
            .filter_map(|f| f.outcome.classes.iter().chain(&f.outcome.tenants).nth(n));
        let (offered, gained) =
            tallies.fold((0.0, 0.0), |(o, g), t| (o + t.1.offered, g + t.1.gained));
        if offered > 0.0 {
            gained / offered * 100.0
        } else {
            0.0
        }
    };
    let (count, bars) = (names.len() as f64, cells.len() as f64);
    draw((560, 320), |area| {
        let mut chart = ChartBuilder::on(area)
            .margin(8)
            .x_label_area_size(34)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..count, 0.0..105.0)
            .map_err(chart_error)?;
        chart
            .configure_mesh()
            .disable_x_mesh()
            .disable_x_axis()
            .light_line_style(WHITE)
            .y_desc("served worth, %")
            .draw()
            .map_err(chart_error)?;
        for (n, name) in names.iter().enumerate() {
            let text = Text::new(
                name.clone(),
                (n as f64 + 0.1, 104.0),
                ("sans-serif", 13).into_font(),
            );
            chart
                .draw_series(std::iter::once(text))
                .map_err(chart_error)?;
        }
        for (k, cell) in cells.iter().enumerate() {
            let bar = |n: usize| {
                let from = n as f64 + 0.1 + k as f64 * 0.8 / bars;
                Rectangle::new(
                    [(from, 0.0), (from + 0.7 / bars, served_percent(cell, n))],
                    policy_colour(cell.policy).filled(),
                )
            };
            chart
                .draw_series((0..names.len()).map(bar))
                .map_err(chart_error)?;
        }
        Ok(())
    })
}

/// The shade of a load relative to the slots: one level for each eighth, up to level 16 for twice the slots.
fn shade_level(load: f32) -> u32 {
    (f64::from(load) * 8.0).round().min(16.0) as u32
}

/// White means idle, dark blue that all slots are in use, red twice as many requests as slots.
fn shade_colour(level: u32) -> RGBColor {
    let load = f64::from(level) / 8.0;
    if load <= 1.0 {
        let light = |to: f64| (255.0 - (255.0 - to) * load) as u8;
        return RGBColor(light(30.0), light(70.0), light(150.0));
    }
    let more = load - 1.0;
    RGBColor(
        (30.0 + 190.0 * more) as u8,
        (70.0 - 30.0 * more) as u8,
        (150.0 - 110.0 * more) as u8,
    )
}

/// Draws a heatmap of the requests held by servers relative to their slots, over time; neighbouring servers of
/// a large fleet share a row.
pub(super) fn heatmap(outcome: &RunOutcome) -> Result<String, String> {
    let (rows, end) = (
        outcome.heat.len() as f64,
        outcome.piece_s * TIME_SLICE_COUNT as f64,
    );
    draw((560, 220), |area| {
        let mut chart = ChartBuilder::on(area)
            .margin(8)
            .x_label_area_size(30)
            .y_label_area_size(40)
            .build_cartesian_2d(0.0..end, 0.0..rows)
            .map_err(chart_error)?;
        chart
            .configure_mesh()
            .disable_mesh()
            .x_desc("seconds")
            .y_desc("servers")
            .draw()
            .map_err(chart_error)?;
        for (row, slices) in outcome.heat.iter().enumerate() {
            // Adjacent slices of the same shade are drawn as one tile, since a page has hundreds of heatmaps.
            let mut from = 0;
            let mut tiles = Vec::new();
            for n in 1..=slices.len() {
                if n == slices.len() || shade_level(slices[n]) != shade_level(slices[from]) {
                    let across = [from, n].map(|n| n as f64 * outcome.piece_s);
                    tiles.push((across, shade_level(slices[from])));
                    from = n;
                }
            }
            let tile = |([from, to], level): ([f64; 2], u32)| {
                Rectangle::new(
                    [(from, row as f64), (to, row as f64 + 1.0)],
                    shade_colour(level).filled(),
                )
            };
            chart
                .draw_series(tiles.into_iter().filter(|t| t.1 > 0).map(tile))
                .map_err(chart_error)?;
        }
        let marks = outcome.faults.iter().flat_map(|f| {
            let (_, from, to) = fault_interval(f);
            [from, to.min(end)].map(|x| {
                PathElement::new([(x, 0.0), (x, rows)], RGBColor(200, 40, 40).stroke_width(1))
            })
        });
        chart.draw_series(marks).map_err(chart_error)?;
        Ok(())
    })
}

/// Draws the served fraction of the priority weight of each point with confidence intervals. Returns `None` if
/// there is only one point.
pub(super) fn points_chart(
    results: &[RunResult],
    labels: &[&str],
    policies: &[Policy],
) -> Result<Option<String>, String> {
    if labels.len() < 2 {
        return Ok(None);
    }
    let last = labels.len() as f64 - 0.5;
    let svg = draw((1140, 440), |area| {
        let mut chart = ChartBuilder::on(area)
            .margin(8)
            .x_label_area_size(150)
            .y_label_area_size(48)
            .build_cartesian_2d(-0.5..last, 0.0..105.0)
            .map_err(chart_error)?;
        chart
            .configure_mesh()
            .disable_x_mesh()
            .disable_x_axis()
            .light_line_style(WHITE)
            .y_desc("served worth, %")
            .draw()
            .map_err(chart_error)?;
        for (k, policy) in policies.iter().enumerate() {
            let x_offset = (k as f64 / policies.len() as f64 - 0.5) * 0.5;
            let means = labels.iter().enumerate().filter_map(|(n, label)| {
                let values = cell_values(results, label, *policy, Metric::Worth);
                (!values.is_empty()).then(|| {
                    (
                        n as f64 + x_offset,
                        ConfidenceInterval::for_mean_of(&values),
                    )
                })
            });
            let means: Vec<(f64, ConfidenceInterval)> = means.collect();
            let (colour, width) = (policy_colour(*policy), policy_line_width(*policy));
            let bars = means
                .iter()
                .filter(|m| m.1.half_width.is_finite())
                .map(|(x, m)| {
                    PathElement::new(
                        [(*x, m.mean - m.half_width), (*x, m.mean + m.half_width)],
                        colour.stroke_width(width),
                    )
                });
            chart.draw_series(bars).map_err(chart_error)?;
            chart
                .draw_series(
                    means
                        .iter()
                        .map(|(x, m)| Circle::new((*x, m.mean), 2 + width, colour.filled())),
                )
                .map_err(chart_error)?
                .label(policy.to_string())
                .legend(move |(x, y)| Circle::new((x + 9, y), 4, colour.filled()));
        }
        for (n, label) in labels.iter().enumerate() {
            let (x, _) = chart.backend_coord(&(n as f64, 0.0));
            let style = ("sans-serif", 12)
                .into_font()
                .transform(FontTransform::Rotate90)
                .color(&BLACK);
            area.draw_text(label, &style, (x + 6, 292))
                .map_err(chart_error)?;
        }
        legend(&mut chart, SeriesLabelPosition::LowerLeft)
    })?;
    Ok(Some(svg))
}
