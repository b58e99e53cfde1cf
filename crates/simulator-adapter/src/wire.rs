//! Parses and formats the simulator's wire: one message a line, values parted by single spaces.
//!
//! Nothing is decided here. Errors say what was expected; the caller adds the line number.

#![allow(clippy::wildcard_imports, reason = "not yet converted")]
#![expect(
    clippy::cognitive_complexity,
    clippy::match_bool,
    clippy::min_ident_chars,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

use poppykeel_scheduler::interface::*;
use poppykeel_site_settings::SiteSettings;
use std::fmt::Write;
use std::str::FromStr;

/// A message that could not be read: its name and what was expected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WireError {
    /// The message's name, or the text found in its place.
    pub message: String,
    /// What was expected.
    pub expected: String,
}

impl std::fmt::Display for WireError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: expected {}", self.message, self.expected)
    }
}

impl std::error::Error for WireError {}

/// A catalog entry before the instance it goes to is known.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    listing: Endpoint,
}

/// One line, as far as it can be read without knowing the instance.
#[derive(Clone, Debug, PartialEq)]
pub enum Line<'a> {
    /// A batch begins, at this time.
    Frame(Seconds),
    /// The batch is complete.
    EndOfBatch,
    /// A numbered list follows, with so many entries.
    Catalog {
        /// Its number, until the next of that number.
        number: u64,
        /// How many entries follow.
        entries: usize,
    },
    /// An entry of the catalog.
    Entry(Row),
    /// Something for one instance: its number and the rest of the message.
    For(u64, Values<'a>),
}

/// The values of one message, taken in order.
#[derive(Clone, Debug, PartialEq)]
pub struct Values<'a> {
    message: &'a str,
    rest: Option<&'a str>,
}

/// What an instance is to do with a message.
#[derive(Clone, Debug, PartialEq)]
pub enum Told {
    /// Hand this to the module.
    Event(Event),
    /// The list of this catalog number, whole or changed entries only.
    List {
        /// The catalog's number.
        catalog: u64,
        /// Entries it lacks are gone.
        full: bool,
    },
    /// The instance was killed.
    Stop,
    /// Understood, of no use to the module.
    Nothing,
}

impl<'a> Values<'a> {
    fn new(line: &'a str) -> Self {
        match line.split_once(' ') {
            Some((message, rest)) => Values {
                message,
                rest: Some(rest),
            },
            None => Values {
                message: line,
                rest: None,
            },
        }
    }

    /// The message's name.
    pub fn message(&self) -> &'a str {
        self.message
    }

    /// An error about this message.
    pub fn expected(&self, what: impl Into<String>) -> WireError {
        WireError {
            message: self.message.into(),
            expected: what.into(),
        }
    }

    /// The next value; `None` where it is `-` or the line has ended.
    fn next(&mut self) -> Option<&'a str> {
        let rest = self.rest?;
        let (value, rest) = match rest.split_once(' ') {
            Some((value, rest)) => (value, Some(rest)),
            None => (rest, None),
        };
        self.rest = rest;
        Some(value).filter(|v| *v != "-" && !v.is_empty())
    }

    fn optional<T: FromStr>(&mut self, name: &str) -> Result<Option<T>, WireError> {
        match self.next() {
            None => Ok(None),
            Some(text) => match text.parse() {
                Ok(value) => Ok(Some(value)),
                Err(_) => Err(self.expected(format!("a readable value for {name}, not '{text}'"))),
            },
        }
    }

    fn need<T: FromStr>(&mut self, name: &str) -> Result<T, WireError> {
        self.optional(name)?
            .ok_or_else(|| self.expected(format!("a value for {name}")))
    }

    fn seconds(&mut self, name: &str) -> Result<Seconds, WireError> {
        let value: f64 = self.need(name)?;
        if value.is_finite() {
            Ok(value)
        } else {
            Err(self.expected(format!("a finite number of seconds for {name}")))
        }
    }

    fn hex(&mut self, name: &str) -> Result<Option<u64>, WireError> {
        match self.next() {
            None => Ok(None),
            Some(text) => match u64::from_str_radix(text, 16) {
                Ok(value) if text.len() == 16 => Ok(Some(value)),
                _ => Err(self.expected(format!("16 hex digits for {name}, not '{text}'"))),
            },
        }
    }

    fn request(&mut self) -> Result<RequestId, WireError> {
        self.hex("ticket")?
            .map(RequestId)
            .ok_or_else(|| self.expected("a value for ticket"))
    }

    fn replica(&mut self) -> Result<ReplicaId, WireError> {
        self.need("worker").map(ReplicaId)
    }

    fn flag(&mut self, name: &str) -> Result<bool, WireError> {
        match self.next() {
            Some("1") => Ok(true),
            Some("0") => Ok(false),
            _ => Err(self.expected(format!("1 or 0 for {name}"))),
        }
    }

    fn outcome(&mut self) -> Result<AttemptOutcome, WireError> {
        Ok(match self.need::<u16>("disposition")? {
            0 => AttemptOutcome::Completed,
            255 => AttemptOutcome::ServerError,
            254 => AttemptOutcome::AtCapacity,
            253 => AttemptOutcome::TimedOut,
            252 => AttemptOutcome::ConnectFailed,
            251 => AttemptOutcome::ConnectionReset,
            250 => AttemptOutcome::Cancelled,
            249 => AttemptOutcome::NotSent,
            code => return Err(self.expected(format!("a known disposition, not {code}"))),
        })
    }

    fn below(
        &mut self,
        name: &str,
        count: usize,
        absent: Option<usize>,
    ) -> Result<usize, WireError> {
        let value = match self.optional(name)? {
            Some(value) => value,
            None => absent.ok_or_else(|| self.expected(format!("a value for {name}")))?,
        };
        if value < count {
            Ok(value)
        } else {
            Err(self.expected(format!("a {name} below {count}, not {value}")))
        }
    }

    fn report(&mut self, boot: &SiteSettings) -> Result<Option<LoadReport>, WireError> {
        let Some(text) = self.next() else {
            return Ok(None);
        };
        let mut numbers = Vec::new();
        for value in text.split(',').take(boot.load_report_length()) {
            let missing = value == "-" || value.is_empty();
            let number = match missing {
                true => None,
                false => Some(
                    value
                        .parse()
                        .map_err(|_| self.expected("numbers in the load report"))?,
                ),
            };
            numbers.push(number);
        }
        Ok(Some(boot.load_report_in_order(numbers.into_iter())))
    }

    /// Reads the settings of a `spawn`: the seed and the object.
    pub fn boot(&mut self) -> Result<(u64, SiteSettings), WireError> {
        let seed = match self.next() {
            None => return Err(self.expected("a value for nonce64")),
            Some(text) => text
                .parse::<u64>()
                .or_else(|_| text.parse::<i64>().map(|v| v as u64))
                .map_err(|_| self.expected("a whole number for nonce64"))?,
        };
        let text = self
            .rest
            .take()
            .ok_or_else(|| self.expected("a JSON object in bootInfo"))?;
        let boot = SiteSettings::parse(text).map_err(|expected| self.expected(expected))?;
        Ok((seed, boot))
    }

    /// Reads the rest of a message for an instance with these settings.
    pub fn told(mut self, boot: &SiteSettings) -> Result<Told, WireError> {
        let settings = &boot.scheduler;
        Ok(Told::Event(match self.message {
            "incoming" => {
                let id = self.request()?;
                let class = self.below("class", settings.classes.len(), None)?;
                let tenant = self.below("tenant", settings.tenants.len().max(1), Some(0))?;
                Event::RequestArrived(IncomingRequest {
                    id,
                    class,
                    tenant,
                    session: self.hex("nameKey")?,
                    time_left: self.seconds("ttl")?,
                    expected_work: self.optional("expected")?,
                    shared_prefix: self.hex("template")?.filter(|p| *p != 0),
                    prompt_tokens: self.optional("nPrompt")?.unwrap_or(0),
                    shared_prefix_tokens: self.optional("nPrefix")?.unwrap_or(0),
                    max_output_tokens: self.optional("maxTokens")?.unwrap_or(0),
                    is_client_retry: self.optional::<u64>("flags")?.unwrap_or(0) & 2 != 0,
                })
            }
            "closed_attempt" => {
                let request = self.request()?;
                self.seconds("timeTaken")?;
                let outcome = self.outcome()?;
                let last = self.flag("closed")?;
                self.replica()?;
                let attempt = self.need("leg")?;
                let kept = self.optional::<f64>("detail")?;
                let mut report = self.report(boot)?;
                if outcome == AttemptOutcome::Completed {
                    // The wire writes no figure where nothing was kept.
                    report.get_or_insert_default().cached_prompt_tokens = Some(kept.unwrap_or(0.0));
                }
                Event::AttemptEnded {
                    request,
                    attempt,
                    outcome,
                    is_request_finished: last,
                    report,
                }
            }
            "opened" => {
                let (request, attempt) = (self.request()?, self.need("leg")?);
                self.replica()?;
                Event::FirstToken {
                    request,
                    attempt,
                    elapsed: self.seconds("timeTaken")?,
                }
            }
            "client_gone" => Event::ClientDisconnected(self.request()?),
            "pong" => {
                let replica = self.replica()?;
                self.seconds("timeTaken")?;
                Event::ProbeEnded {
                    replica,
                    outcome: self.outcome()?,
                    report: self.report(boot)?,
                }
            }
            "reminder" => {
                self.need::<u64>("ref")?;
                Event::TimerFired
            }
            "roster_change" => {
                let how = self.next();
                self.need::<u64>("version")?;
                match how {
                    Some("failed") => Event::EndpointListFailed,
                    Some("delta") => {
                        return Ok(Told::List {
                            catalog: self.need("ref")?,
                            full: false,
                        })
                    }
                    Some("full" | "cached") => {
                        return Ok(Told::List {
                            catalog: self.need("ref")?,
                            full: true,
                        })
                    }
                    _ => return Err(self.expected("delta, full, cached or failed for how")),
                }
            }
            "memo" => {
                self.need::<u64>("sender")?;
                return Ok(Told::Nothing);
            }
            "power_off" => return Ok(Told::Stop),
            _ => return Err(self.expected("a known message")),
        }))
    }
}

/// Reads one line.
pub fn line(text: &str) -> Result<Line<'_>, WireError> {
    let mut values = Values::new(text);
    Ok(match values.message {
        "frame" => Line::Frame(values.seconds("time")?),
        "eob" => Line::EndOfBatch,
        "catalog" => Line::Catalog {
            number: values.need("ref")?,
            entries: values.need("rowsIn")?,
        },
        "worker" => Line::Entry(values.row()?),
        "spawn" | "roster_change" | "incoming" | "closed_attempt" | "memo" | "power_off"
        | "reminder" | "client_gone" | "pong" | "opened" => Line::For(values.need("who")?, values),
        _ => return Err(values.expected("a known message")),
    })
}

impl Values<'_> {
    fn row(&mut self) -> Result<Row, WireError> {
        let (id, zone, kind, cell) = (
            self.replica()?,
            self.need("hall")?,
            self.optional("generationHw")?,
            self.optional("cell")?,
        );
        let state = match self.next() {
            Some("up") => EndpointState::Available,
            Some("draining") => EndpointState::Draining,
            Some("removed") => EndpointState::Removed,
            _ => return Err(self.expected("up, draining or removed for stageState")),
        };
        let size = self.optional::<f64>("weight")?;
        let born = self.optional::<f64>("born")?.filter(|b| *b > 0.0);
        let (cell, kind) = (cell.unwrap_or(0), kind.unwrap_or(0));
        Ok(Row {
            listing: Endpoint {
                id,
                zone,
                cell,
                host_type: kind,
                state,
                capacity_weight: size,
                started_at: born,
            },
        })
    }
}

/// The entries as this instance may see them: its settings must know their zones and kinds.
pub fn listings(rows: &[Row], boot: &SiteSettings) -> Result<Vec<Endpoint>, WireError> {
    let bad = |expected: String| WireError {
        message: "roster_change".into(),
        expected,
    };
    for row in rows {
        let (zones, kinds) = (
            boot.names.zones.len().max(1),
            boot.names.host_types.len().max(1),
        );
        if row.listing.zone >= zones {
            return Err(bad(format!(
                "a zone below {zones}, not {}",
                row.listing.zone
            )));
        }
        if row.listing.host_type >= kinds {
            return Err(bad(format!(
                "a kind below {kinds}, not {}",
                row.listing.host_type
            )));
        }
    }
    Ok(rows
        .iter()
        .map(|r| Endpoint {
            capacity_weight: boot.capacity_weight(r.listing.capacity_weight),
            ..r.listing.clone()
        })
        .collect())
}

/// Appends the line of one action of an instance.
pub fn write_action(out: &mut String, who: u64, action: &Action) {
    let line = match action {
        Action::StartAttempt {
            request,
            replica,
            timeout,
        } => {
            writeln!(
                out,
                "attempt {who} {:016x} {} {:.6}",
                request.0, replica.0, timeout
            )
        }
        Action::Reject {
            request,
            retry_after,
        } => {
            writeln!(out, "say_no {who} {:016x} {:.6}", request.0, retry_after)
        }
        Action::Fail { request } => writeln!(out, "abort {who} {:016x}", request.0),
        Action::CancelAttempt { request, attempt } => {
            writeln!(out, "stop_attempt {who} {:016x} {attempt}", request.0)
        }
        Action::Probe { replica } => writeln!(out, "ping {who} {}", replica.0),
        Action::WatchEndpoints => writeln!(out, "subscribe {who} 1"),
        Action::SetTimer { after } => writeln!(out, "set_alarm {who} {after:.6} 0"),
    };
    line.expect("writing to a string does not fail");
}
