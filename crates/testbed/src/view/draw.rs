//! Puts the state on a terminal of any size.

#![expect(
    clippy::min_ident_chars,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

use super::state::{Row, State};
use ratatui::layout::{Constraint, Layout, Rect};
use ratatui::style::{Color, Modifier, Style};
use ratatui::text::{Line, Span};
use ratatui::widgets::{Block, Cell, Paragraph, Sparkline, Table};
use ratatui::Frame;

fn block(title: &str) -> Block<'_> {
    Block::bordered()
        .title(format!(" {title} "))
        .border_style(Style::new().fg(Color::DarkGray))
}

/// Draws all of it; `skip` servers are above the first that is shown.
pub fn draw(frame: &mut Frame, state: &State, skip: usize) {
    let [head, middle, servers, foot] = Layout::vertical([
        Constraint::Length(1),
        Constraint::Length(9),
        Constraint::Min(3),
        Constraint::Length(1),
    ])
    .areas(frame.area());
    let time = match state.time {
        (at, Some(of)) => format!("{at:.1} of {of:.0} s"),
        (at, None) => format!("up for {at:.0} s"),
    };
    let title = Line::from(vec![
        Span::styled(&state.title, Style::new().add_modifier(Modifier::BOLD)),
        Span::raw(format!("   {time}   {}", state.streams)),
    ]);
    frame.render_widget(title, head);
    let [counts, worth, queues] = Layout::horizontal([
        Constraint::Length(30),
        Constraint::Min(20),
        Constraint::Length(28),
    ])
    .areas(middle);
    draw_counts(frame, state, counts);
    let points: Vec<u64> = state.worth.iter().map(|w| w.round() as u64).collect();
    let width = usize::from(worth.width.saturating_sub(2)).max(1);
    let shown = &points[points.len().saturating_sub(width)..];
    let now = points.last().map_or("no".to_string(), |p| format!("{p}%"));
    let line = Sparkline::default()
        .block(block("served worth"))
        .data(shown)
        .max(100)
        .style(Style::new().fg(Color::Green));
    frame.render_widget(line, worth);
    if worth.width > 24 {
        let label = Rect {
            x: worth.right() - 10,
            y: worth.y,
            width: 8,
            height: 1,
        };
        frame.render_widget(Span::raw(format!(" {now} ")), label);
    }
    draw_queues(frame, state, queues);
    draw_servers(frame, state, skip, servers);
    frame.render_widget(
        Span::styled(
            "q ends, up and down scroll",
            Style::new().fg(Color::DarkGray),
        ),
        foot,
    );
}

fn draw_counts(frame: &mut Frame, state: &State, area: Rect) {
    let line = |(name, count): &(String, u64)| {
        let rate = state
            .rates
            .iter()
            .find(|r| r.0 == *name)
            .map_or(String::new(), |r| format!("{:>8.1}/s", r.1));
        Line::raw(format!("{name:<9}{count:>8}{rate}"))
    };
    let lines: Vec<Line> = state.counts.iter().map(line).collect();
    frame.render_widget(Paragraph::new(lines).block(block("requests")), area);
}

fn draw_queues(frame: &mut Frame, state: &State, area: Rect) {
    let mut lines = Vec::new();
    if let Some((window, out)) = state.window {
        lines.push(Line::raw(format!("window {window:.1}, out {out}")));
    }
    lines.extend(state.queues.iter().map(|(name, waiting)| {
        let bar = "▪".repeat((*waiting as usize).min(8));
        Line::raw(format!("{name:<10.10}{waiting:>5} {bar}"))
    }));
    frame.render_widget(Paragraph::new(lines).block(block("waiting in nodes")), area);
}

fn row(row: &Row) -> ratatui::widgets::Row<'_> {
    let colour = match row.state.as_str() {
        "up" => Color::Reset,
        "draining" => Color::Yellow,
        _ => Color::Red,
    };
    let bar = |n: u64, mark: &str| mark.repeat((n as usize).min(24));
    let load = format!("{}{}", bar(row.held.0, "█"), bar(row.held.1, "░"));
    ratatui::widgets::Row::new([
        Cell::new(row.name.as_str()),
        Cell::new(row.state.as_str()).style(Style::new().fg(colour)),
        Cell::new(format!("{:>4}", row.held.0)),
        Cell::new(format!("{:>4}", row.held.1)),
        Cell::new(if row.more.is_empty() {
            load
        } else {
            row.more.clone()
        }),
    ])
}

fn draw_servers(frame: &mut Frame, state: &State, skip: usize, area: Rect) {
    let skip = skip.min(state.rows.len().saturating_sub(1));
    let rows = state.rows.iter().skip(skip).map(row);
    let widths = [
        Constraint::Length(22),
        Constraint::Length(11),
        Constraint::Length(5),
        Constraint::Length(5),
        Constraint::Min(10),
    ];
    let head = ratatui::widgets::Row::new(["server", "state", "busy", "wait", ""])
        .style(Style::new().add_modifier(Modifier::BOLD));
    let title = format!("servers, {} from {}", state.rows.len(), skip + 1);
    frame.render_widget(
        Table::new(rows, widths).header(head).block(block(&title)),
        area,
    );
}
