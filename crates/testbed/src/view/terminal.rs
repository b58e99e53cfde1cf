//! The loop: time passes, keys are heard, the screen is drawn.

#![expect(
    clippy::missing_errors_doc,
    clippy::needless_pass_by_value,
    reason = "not yet converted"
)]

use super::{draw, State};
use crate::emulator::Simulation;
use ratatui::crossterm::event::{self, Event, KeyCode, KeyEventKind};
use std::fs::File;
use std::io::{BufRead, BufReader, Seek, SeekFrom};
use std::path::Path;
use std::time::{Duration, Instant};

/// Time from one picture to the next.
const FRAME: Duration = Duration::from_millis(100);
/// Events of a world between two looks at the clock.
const EVENTS: u64 = 64;
/// A log's last part is read at the start, so many bytes of it.
const TAIL: u64 = 4 << 20;

fn failed(e: std::io::Error) -> String {
    format!("terminal: {e}")
}

/// Handles what was typed until it is time for the next picture; false where the view ends.
fn keys(until: Instant, skip: &mut usize) -> Result<bool, String> {
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if !event::poll(left).map_err(failed)? {
            return Ok(true);
        }
        if let Event::Key(key) = event::read().map_err(failed)? {
            match key.code {
                _ if key.kind != KeyEventKind::Press => {}
                KeyCode::Char('q') | KeyCode::Esc => return Ok(false),
                KeyCode::Char('c') if key.modifiers.contains(event::KeyModifiers::CONTROL) => {
                    return Ok(false)
                }
                KeyCode::Down | KeyCode::Char('j') => *skip += 1,
                KeyCode::Up | KeyCode::Char('k') => *skip = skip.saturating_sub(1),
                KeyCode::PageDown => *skip += 20,
                KeyCode::PageUp => *skip = skip.saturating_sub(20),
                _ => {}
            }
        }
    }
}

/// Shows a world that runs at so many times real time, to its end and until a key ends the view.
pub fn run(
    world: &mut Simulation,
    mut state: State,
    seconds: f64,
    speed: f64,
) -> Result<(), String> {
    let mut terminal = ratatui::try_init().map_err(failed)?;
    let shown = (|| {
        let (began, mut skip, mut goes_on) = (Instant::now(), 0, true);
        loop {
            let frame = Instant::now() + FRAME;
            let until = (began.elapsed().as_secs_f64() * speed * 1e6) as u64;
            while goes_on && world.now() < until && Instant::now() < frame {
                goes_on = world.play_events(EVENTS);
            }
            state.look(world, seconds);
            terminal.draw(|f| draw(f, &state, skip)).map_err(failed)?;
            if !keys(frame, &mut skip)? {
                return Ok(());
            }
            skip = skip.min(state.rows.len().saturating_sub(1));
        }
    })();
    ratatui::restore();
    shown
}

/// Shows a running node by its log, which is followed as it grows.
pub fn node(log: &Path, mut state: State) -> Result<(), String> {
    let named = |e: std::io::Error| format!("log {}: {e}", log.display());
    let mut file = File::open(log).map_err(named)?;
    let length = file.metadata().map_err(named)?.len();
    file.seek(SeekFrom::Start(length.saturating_sub(TAIL)))
        .map_err(named)?;
    let mut lines = BufReader::new(file);
    let mut terminal = ratatui::try_init().map_err(failed)?;
    let shown = (|| {
        let (mut skip, mut line) = (0, Vec::new());
        loop {
            let frame = Instant::now() + FRAME;
            // A line that is not whole yet is kept until its rest is there.
            while lines.read_until(b'\n', &mut line).map_err(named)? > 0 && line.ends_with(b"\n") {
                state.line(&String::from_utf8_lossy(&line));
                line.clear();
            }
            terminal.draw(|f| draw(f, &state, skip)).map_err(failed)?;
            if !keys(frame, &mut skip)? {
                return Ok(());
            }
            skip = skip.min(state.rows.len().saturating_sub(1));
        }
    })();
    ratatui::restore();
    shown
}
