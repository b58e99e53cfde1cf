//! Hosts instances of the decision module on the simulator's wire: standard input to standard output.
//!
//! Batches in, one reply a batch out. What cannot be read ends the program with one line on standard error.

#![expect(clippy::too_many_lines, reason = "not yet converted")]
#![forbid(unsafe_code)]

mod wire;

use poppykeel_scheduler::interface::{Event, Seconds};
use poppykeel_scheduler::Scheduler;
use poppykeel_site_settings::SiteSettings;
use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use std::process::ExitCode;
use wire::{Line, Row, Told};

struct Instance {
    brain: Scheduler,
    boot: SiteSettings,
}

#[derive(Default)]
struct Host {
    now: Option<Seconds>,
    catalogs: BTreeMap<u64, Vec<Row>>,
    /// The catalog being read and how many of its entries are still to come.
    filling: (u64, usize),
    instances: BTreeMap<u64, Instance>,
    reply: String,
}

impl Host {
    /// Takes one line; true at the end of a batch, when the reply is complete.
    fn take(&mut self, text: &str) -> Result<bool, String> {
        let line = wire::line(text).map_err(|e| e.to_string())?;
        let Some(now) = self.now else {
            let Line::Frame(now) = line else {
                return Err(format!("{}: expected frame", name(text)));
            };
            self.now = Some(now);
            return Ok(false);
        };
        if self.filling.1 > 0 {
            let Line::Entry(row) = line else {
                return Err(format!(
                    "{}: expected {} more worker lines",
                    name(text),
                    self.filling.1
                ));
            };
            self.filling.1 -= 1;
            self.catalogs.entry(self.filling.0).or_default().push(row);
            return Ok(false);
        }
        match line {
            Line::Frame(_) => return Err("frame: expected eob before the next batch".into()),
            Line::Entry(_) => return Err("worker: expected a catalog before it".into()),
            Line::EndOfBatch => {
                self.now = None;
                return Ok(true);
            }
            Line::Catalog { number, entries } => {
                self.catalogs.insert(number, Vec::new());
                self.filling = (number, entries);
            }
            Line::For(who, mut values) if values.message() == "spawn" => {
                let (seed, boot) = values.boot().map_err(|e| e.to_string())?;
                let brain = Scheduler::new(boot.scheduler.clone(), seed)
                    .map_err(|e| format!("spawn: {e}"))?;
                self.instances.insert(who, Instance { brain, boot });
            }
            Line::For(who, values) => {
                let message = values.message();
                let instance = self.instances.get_mut(&who);
                let instance = instance
                    .ok_or_else(|| format!("{message}: expected a known instance, not {who}"))?;
                let event = match values.told(&instance.boot).map_err(|e| e.to_string())? {
                    Told::Event(event) => event,
                    Told::List { catalog, full } => {
                        let rows = self.catalogs.get(&catalog);
                        let rows = rows.ok_or_else(|| {
                            format!("{message}: expected a known catalog, not {catalog}")
                        })?;
                        let list =
                            wire::listings(rows, &instance.boot).map_err(|e| e.to_string())?;
                        if full {
                            Event::EndpointsReplaced(list)
                        } else {
                            Event::EndpointsChanged(list)
                        }
                    }
                    Told::Stop => {
                        self.instances.remove(&who);
                        return Ok(false);
                    }
                    Told::Nothing => return Ok(false),
                };
                let mut actions = Vec::new();
                instance.brain.handle_event(now, event, &mut actions);
                for action in &actions {
                    wire::write_action(&mut self.reply, who, action);
                }
            }
        }
        Ok(false)
    }
}

fn name(text: &str) -> &str {
    text.split(' ').next().unwrap_or(text)
}

fn run() -> Result<(), String> {
    let (mut input, mut output) = (std::io::stdin().lock(), std::io::stdout().lock());
    let (mut host, mut text, mut number) = (Host::default(), Vec::new(), 0u64);
    loop {
        text.clear();
        number += 1;
        let length = input
            .read_until(b'\n', &mut text)
            .map_err(|e| format!("line {number}: {e}"))?;
        if length == 0 {
            return match host.now {
                None => Ok(()),
                Some(_) => Err(format!("line {number}: end of input: expected eob")),
            };
        }
        let line = std::str::from_utf8(&text)
            .map_err(|_| format!("line {number}: expected UTF-8 text"))?;
        let complete = host
            .take(line.trim_end_matches(['\n', '\r']))
            .map_err(|e| format!("line {number}: {e}"))?;
        if complete {
            host.reply.push_str("done\n");
            let sent = output
                .write_all(host.reply.as_bytes())
                .and_then(|()| output.flush());
            sent.map_err(|e| format!("standard output: {e}"))?;
            host.reply.clear();
        }
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("poppykeel-simulator-adapter: {text}");
            ExitCode::FAILURE
        }
    }
}
