//! Renders the view's state on a terminal of any size.

use super::state::{NamedCount, ServerRow, ViewState};
use ratatui::layout::{Constraint, Layout, Rect};
use ratatui::style::{Color, Modifier, Style};
use ratatui::text::{Line, Span};
use ratatui::widgets::{Block, Cell, Paragraph, Row, Sparkline, Table};
use ratatui::Frame;

/// The maximum length of each bar of a server's requests.
const MAX_SERVER_BAR: usize = 24;
/// The maximum length of the bar of a tenant's queue.
const MAX_QUEUE_BAR: usize = 8;
/// The chart shows the label of its latest point only if the chart is wider than this.
const MIN_LABELLED_WIDTH: u16 = 24;
/// The distance from the right border to the start of the label.
const LABEL_OFFSET: u16 = 10;
const LABEL_WIDTH: u16 = 8;

/// Draws the whole view. The table of servers is scrolled down by `skipped_rows`.
pub fn draw(frame: &mut Frame, state: &ViewState, skipped_rows: usize) {
    let [head, middle, servers, foot] = Layout::vertical([
        Constraint::Length(1),
        Constraint::Length(9),
        Constraint::Min(3),
        Constraint::Length(1),
    ])
    .areas(frame.area());
    let [counts, served, queues] = Layout::horizontal([
        Constraint::Length(30),
        Constraint::Min(20),
        Constraint::Length(28),
    ])
    .areas(middle);
    draw_title(frame, state, head);
    draw_counts(frame, state, counts);
    draw_served(frame, state, served);
    draw_queues(frame, state, queues);
    draw_servers(frame, state, skipped_rows, servers);
    let help = Span::styled(
        "q ends, up and down scroll",
        Style::new().fg(Color::DarkGray),
    );
    frame.render_widget(help, foot);
}

fn block(title: &str) -> Block<'_> {
    Block::bordered()
        .title(format!(" {title} "))
        .border_style(Style::new().fg(Color::DarkGray))
}

fn draw_title(frame: &mut Frame, state: &ViewState, area: Rect) {
    let elapsed_s = state.time.elapsed_s;
    let time = match state.time.total_s {
        Some(total_s) => format!("{elapsed_s:.1} of {total_s:.0} s"),
        None => format!("up for {elapsed_s:.0} s"),
    };
    let title = Line::from(vec![
        Span::styled(&state.title, Style::new().add_modifier(Modifier::BOLD)),
        Span::raw(format!("   {time}   {}", state.streams)),
    ]);
    frame.render_widget(title, area);
}

fn draw_counts(frame: &mut Frame, state: &ViewState, area: Rect) {
    let lines: Vec<Line> = state.counts.iter().map(count_line).collect();
    frame.render_widget(Paragraph::new(lines).block(block("requests")), area);
}

fn count_line(count: &NamedCount) -> Line<'static> {
    let rate = match count.rate {
        Some(rate) => format!("{rate:>8.1}/s"),
        None => String::new(),
    };
    Line::raw(format!("{:<9}{:>8}{rate}", count.name, count.count))
}

/// Draws the served priority weight over time, with the latest point as a label.
fn draw_served(frame: &mut Frame, state: &ViewState, area: Rect) {
    let percents: Vec<u64> = state
        .served_percent
        .iter()
        .map(|percent| percent.round() as u64)
        .collect();
    let width = usize::from(area.width.saturating_sub(2)).max(1);
    let shown = &percents[percents.len().saturating_sub(width)..];
    let line = Sparkline::default()
        .block(block("served worth"))
        .data(shown)
        .max(100)
        .style(Style::new().fg(Color::Green));
    frame.render_widget(line, area);
    if area.width > MIN_LABELLED_WIDTH {
        let latest = match percents.last() {
            Some(percent) => format!(" {percent}% "),
            None => " no ".to_string(),
        };
        let label_area = Rect {
            x: area.right() - LABEL_OFFSET,
            y: area.y,
            width: LABEL_WIDTH,
            height: 1,
        };
        frame.render_widget(Span::raw(latest), label_area);
    }
}

fn draw_queues(frame: &mut Frame, state: &ViewState, area: Rect) {
    let mut lines = Vec::new();
    if let Some(concurrency) = state.concurrency {
        lines.push(Line::raw(format!(
            "window {:.1}, out {}",
            concurrency.limit, concurrency.in_flight
        )));
    }
    for queue in &state.queues {
        let bar = "▪".repeat((queue.queued as usize).min(MAX_QUEUE_BAR));
        lines.push(Line::raw(format!(
            "{:<10.10}{:>5} {bar}",
            queue.tenant, queue.queued
        )));
    }
    frame.render_widget(Paragraph::new(lines).block(block("waiting in nodes")), area);
}

fn draw_servers(frame: &mut Frame, state: &ViewState, skipped_rows: usize, area: Rect) {
    let skipped_rows = skipped_rows.min(state.rows.len().saturating_sub(1));
    let rows = state.rows.iter().skip(skipped_rows).map(server_row);
    let widths = [
        Constraint::Length(22),
        Constraint::Length(11),
        Constraint::Length(5),
        Constraint::Length(5),
        Constraint::Min(10),
    ];
    let head = Row::new(["server", "state", "busy", "wait", ""])
        .style(Style::new().add_modifier(Modifier::BOLD));
    let title = format!("servers, {} from {}", state.rows.len(), skipped_rows + 1);
    let table = Table::new(rows, widths).header(head).block(block(&title));
    frame.render_widget(table, area);
}

fn server_row(server: &ServerRow) -> Row<'_> {
    let colour = match server.state.as_str() {
        "up" => Color::Reset,
        "draining" => Color::Yellow,
        _ => Color::Red,
    };
    let details = if server.details.is_empty() {
        format!("{}{}", bar(server.running, "█"), bar(server.queued, "░"))
    } else {
        server.details.clone()
    };
    Row::new([
        Cell::new(server.name.as_str()),
        Cell::new(server.state.as_str()).style(Style::new().fg(colour)),
        Cell::new(format!("{:>4}", server.running)),
        Cell::new(format!("{:>4}", server.queued)),
        Cell::new(details),
    ])
}

fn bar(count: u64, mark: &str) -> String {
    mark.repeat((count as usize).min(MAX_SERVER_BAR))
}
