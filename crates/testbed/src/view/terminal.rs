//! The main loops of the view: update the state, draw a frame, handle keys.

use super::{draw, ViewState};
use crate::emulator::Simulation;
use ratatui::crossterm::event::{self, Event, KeyCode, KeyEvent, KeyEventKind, KeyModifiers};
use ratatui::DefaultTerminal;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Seek, SeekFrom};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// The time from one frame to the next.
const FRAME_DURATION: Duration = Duration::from_millis(100);
/// Simulation events processed between two checks of the clock.
const EVENTS_PER_BATCH: u64 = 64;
/// The maximum part of an existing log that is read at the start, from its end.
const MAX_TAIL_BYTES: u64 = 4 << 20;
/// The number of rows that a page key scrolls.
const PAGE_ROWS: usize = 20;

/// An error that ends the view.
#[derive(Debug, thiserror::Error)]
pub enum ViewError {
    /// The terminal cannot be used.
    #[error("terminal cannot be used: {0}")]
    Terminal(#[source] io::Error),
    /// The log cannot be read.
    #[error("cannot read the log {}: {source}", path.display())]
    Log {
        /// The path of the log.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
}

enum KeyAction {
    Quit,
    ScrollDown(usize),
    ScrollUp(usize),
    Nothing,
}

/// The terminal and the scroll position of the table of servers.
struct Screen {
    terminal: DefaultTerminal,
    skipped_rows: usize,
}

/// Runs a simulation at `speed` times real time and shows it until a key quits the view. The view stays open after the
/// simulation's end.
///
/// # Errors
///
/// [`ViewError::Terminal`] if the terminal cannot be used.
pub fn show_simulation(
    simulation: &mut Simulation,
    mut state: ViewState,
    load_seconds: f64,
    speed: f64,
) -> Result<(), ViewError> {
    let started_at = Instant::now();
    let mut has_events = true;
    show(|screen, frame_end| {
        let until = (started_at.elapsed().as_secs_f64() * speed * 1e6) as u64;
        while has_events && simulation.now() < until && Instant::now() < frame_end {
            has_events = simulation.process_events(EVENTS_PER_BATCH);
        }
        state.update_from_simulation(simulation, load_seconds);
        screen.draw_until(&state, frame_end)
    })
}

/// Shows a running node from its log, which is followed as it grows, until a key quits the view.
///
/// # Errors
///
/// [`ViewError::Log`] if the log cannot be read, [`ViewError::Terminal`] if the terminal cannot be used.
pub fn follow_node_log(log: &Path, mut state: ViewState) -> Result<(), ViewError> {
    let log_error = |source| ViewError::Log {
        path: log.to_path_buf(),
        source,
    };
    let mut lines = open_tail(log).map_err(log_error)?;
    let mut line = Vec::new();
    show(|screen, frame_end| {
        // An incomplete line stays in the buffer until its remainder has been written.
        while lines.read_until(b'\n', &mut line).map_err(log_error)? > 0 && line.ends_with(b"\n") {
            state.apply_log_line(&String::from_utf8_lossy(&line));
            line.clear();
        }
        screen.draw_until(&state, frame_end)
    })
}

/// Opens a log near its end.
fn open_tail(log: &Path) -> io::Result<BufReader<File>> {
    let mut file = File::open(log)?;
    let length = file.metadata()?.len();
    file.seek(SeekFrom::Start(length.saturating_sub(MAX_TAIL_BYTES)))?;
    Ok(BufReader::new(file))
}

/// Initializes the terminal, shows frames until `show_frame` returns false or an error, and restores the terminal.
fn show(
    mut show_frame: impl FnMut(&mut Screen, Instant) -> Result<bool, ViewError>,
) -> Result<(), ViewError> {
    let mut screen = Screen {
        terminal: ratatui::try_init().map_err(ViewError::Terminal)?,
        skipped_rows: 0,
    };
    let result = loop {
        match show_frame(&mut screen, Instant::now() + FRAME_DURATION) {
            Ok(true) => {}
            Ok(false) => break Ok(()),
            Err(error) => break Err(error),
        }
    };
    ratatui::restore();
    result
}

impl Screen {
    /// Draws a frame and handles keys until its end. Returns false if a key quits the view.
    fn draw_until(&mut self, state: &ViewState, frame_end: Instant) -> Result<bool, ViewError> {
        self.terminal
            .draw(|frame| draw(frame, state, self.skipped_rows))
            .map_err(ViewError::Terminal)?;
        let continues = self.handle_keys(frame_end)?;
        let last_row = state.rows().len().saturating_sub(1);
        self.skipped_rows = self.skipped_rows.min(last_row);
        Ok(continues)
    }

    fn handle_keys(&mut self, frame_end: Instant) -> Result<bool, ViewError> {
        loop {
            let time_left = frame_end.saturating_duration_since(Instant::now());
            if !event::poll(time_left).map_err(ViewError::Terminal)? {
                return Ok(true);
            }
            let Event::Key(key) = event::read().map_err(ViewError::Terminal)? else {
                continue;
            };
            match key_action(key) {
                KeyAction::Quit => return Ok(false),
                KeyAction::ScrollDown(rows) => self.skipped_rows += rows,
                KeyAction::ScrollUp(rows) => {
                    self.skipped_rows = self.skipped_rows.saturating_sub(rows);
                }
                KeyAction::Nothing => {}
            }
        }
    }
}

fn key_action(key: KeyEvent) -> KeyAction {
    if key.kind != KeyEventKind::Press {
        return KeyAction::Nothing;
    }
    match key.code {
        KeyCode::Char('q') | KeyCode::Esc => KeyAction::Quit,
        KeyCode::Char('c') if key.modifiers.contains(KeyModifiers::CONTROL) => KeyAction::Quit,
        KeyCode::Down | KeyCode::Char('j') => KeyAction::ScrollDown(1),
        KeyCode::Up | KeyCode::Char('k') => KeyAction::ScrollUp(1),
        KeyCode::PageDown => KeyAction::ScrollDown(PAGE_ROWS),
        KeyCode::PageUp => KeyAction::ScrollUp(PAGE_ROWS),
        _ => KeyAction::Nothing,
    }
}
