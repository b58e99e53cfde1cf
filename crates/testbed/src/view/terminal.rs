//! The loops of the view: time passes, keys are read, the screen is drawn.

use super::{draw, ViewState};
use crate::emulator::Simulation;
use ratatui::crossterm::event::{self, Event, KeyCode, KeyEvent, KeyEventKind, KeyModifiers};
use ratatui::DefaultTerminal;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Seek, SeekFrom};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// The time from one picture to the next.
const FRAME_DURATION: Duration = Duration::from_millis(100);
/// Events of a simulation between two looks at the clock.
const EVENTS_PER_BATCH: u64 = 64;
/// Bytes at the end of a log that are read at the start.
const MAX_TAIL_BYTES: u64 = 4 << 20;
/// Rows that a page key scrolls.
const PAGE_ROWS: usize = 20;

/// The view cannot be shown.
#[derive(Debug, thiserror::Error)]
pub enum ViewError {
    /// The terminal cannot be used.
    #[error("terminal: {0}")]
    Terminal(#[source] io::Error),
    /// The log cannot be read.
    #[error("log {}: {source}", path.display())]
    Log {
        /// The log.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
}

/// What a key does.
enum KeyAction {
    Quit,
    ScrollDown(usize),
    ScrollUp(usize),
    Nothing,
}

/// The screen, with the rows that are scrolled over.
struct Screen {
    terminal: DefaultTerminal,
    skipped_rows: usize,
}

/// Shows a simulation that runs at so many times real time, to its end and until a key ends the view.
///
/// # Errors
///
/// [`ViewError::Terminal`] where the terminal cannot be used.
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

/// Shows a running node by its log, which is followed as it grows.
///
/// # Errors
///
/// [`ViewError::Log`] where the log cannot be read, [`ViewError::Terminal`] where the terminal cannot be used.
pub fn follow_node_log(log: &Path, mut state: ViewState) -> Result<(), ViewError> {
    let log_error = |source| ViewError::Log {
        path: log.to_path_buf(),
        source,
    };
    let mut lines = open_tail(log).map_err(log_error)?;
    let mut line = Vec::new();
    show(|screen, frame_end| {
        // A line that is not whole yet is kept until the rest of it is there.
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

/// Takes the terminal, shows one frame after the other until one says that the view ends, and gives the terminal back.
fn show(
    mut show_frame: impl FnMut(&mut Screen, Instant) -> Result<bool, ViewError>,
) -> Result<(), ViewError> {
    let mut screen = Screen {
        terminal: ratatui::try_init().map_err(ViewError::Terminal)?,
        skipped_rows: 0,
    };
    let shown = loop {
        match show_frame(&mut screen, Instant::now() + FRAME_DURATION) {
            Ok(true) => {}
            Ok(false) => break Ok(()),
            Err(error) => break Err(error),
        }
    };
    ratatui::restore();
    shown
}

impl Screen {
    /// Draws a frame and handles keys until its end. Returns false where a key ends the view.
    fn draw_until(&mut self, state: &ViewState, frame_end: Instant) -> Result<bool, ViewError> {
        self.terminal
            .draw(|frame| draw(frame, state, self.skipped_rows))
            .map_err(ViewError::Terminal)?;
        let goes_on = self.handle_keys(frame_end)?;
        let last_row = state.rows().len().saturating_sub(1);
        self.skipped_rows = self.skipped_rows.min(last_row);
        Ok(goes_on)
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
