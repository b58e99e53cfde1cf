//! Parses and formats the simulator's wire: one message a line, values parted by single spaces.
//!
//! Nothing is decided here. Errors say what was expected; the caller adds the line number.

use crate::interface::*;
use serde_json::Value;
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

/// Classes in use since the start: each change of one takes a place.
const MOST_CLASSES: usize = 1024;

/// Settings with what only the wire needs: how many there are of each, and the order of report values.
#[derive(Clone, Debug, PartialEq)]
pub struct Boot {
    /// The settings of the instance.
    pub settings: Settings,
    /// Names and limits that only a node on real sockets needs.
    pub names: Names,
    fields: Vec<Field>,
    /// Weights in the list are sizes, not load.
    sized: bool,
}

/// What the settings name by words, and the limits of connections. Positions are the module's numbers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    /// Classes of requests.
    pub classes: Vec<String>,
    /// Places of classes that new settings have taken back: what is under way keeps them, new requests don't.
    pub retired: Vec<usize>,
    /// Tenants; empty at sites without.
    pub tenants: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Kinds of machine.
    pub kinds: Vec<String>,
    /// The values of a load report, in order.
    pub fields: Vec<String>,
    /// A connection that is not up within this time has failed.
    pub dial_timeout: Seconds,
    /// A replica closes a connection that is idle for so long.
    pub keep_alive: Seconds,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Field {
    WaitingPromptTokens,
    MemoryHeld,
    Holding,
    Queued,
    Other,
}

/// The protocol's words for the report fields the module uses beside the wire's: a report on sockets may use either.
const FIELD_WORDS: [(&str, &str); 2] = [("inflight", "busy_reqs"), ("queue", "pending")];

/// The other word for the same report field, where there is one.
fn other_word(name: &str) -> Option<&'static str> {
    FIELD_WORDS.iter().find_map(|&(a, b)| match name {
        _ if name == a => Some(b),
        _ if name == b => Some(a),
        _ => None,
    })
}

/// A catalog entry before the instance it goes to is known.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    listing: Listing,
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

    fn outcome(&mut self) -> Result<Outcome, WireError> {
        Ok(match self.need::<u16>("disposition")? {
            0 => Outcome::Served,
            255 => Outcome::Error,
            254 => Outcome::Full,
            253 => Outcome::TimedOut,
            252 => Outcome::ConnectFailed,
            251 => Outcome::Reset,
            250 => Outcome::Cancelled,
            249 => Outcome::Moot,
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

    fn report(&mut self, fields: &[Field]) -> Result<Option<Report>, WireError> {
        let Some(text) = self.next() else {
            return Ok(None);
        };
        let mut report = Report::default();
        for (value, field) in text.split(',').zip(fields) {
            if value == "-" || value.is_empty() {
                continue;
            }
            let value: f64 = value
                .parse()
                .map_err(|_| self.expected("numbers in the load report"))?;
            field.put(&mut report, value);
        }
        Ok(Some(report))
    }

    /// Reads the settings of a `spawn`: the seed and the object.
    pub fn boot(&mut self) -> Result<(u64, Boot), WireError> {
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
        let boot = boot(text).map_err(|expected| self.expected(expected))?;
        Ok((seed, boot))
    }

    /// Reads the rest of a message for an instance with these settings.
    pub fn told(mut self, boot: &Boot) -> Result<Told, WireError> {
        let settings = &boot.settings;
        Ok(Told::Event(match self.message {
            "incoming" => {
                let id = self.request()?;
                let class = self.below("class", settings.classes.len(), None)?;
                let tenant = self.below("tenant", settings.tenants.len().max(1), Some(0))?;
                Event::Arrived(Arrival {
                    id,
                    class,
                    tenant,
                    session: self.hex("nameKey")?,
                    time_left: self.seconds("ttl")?,
                    expected_work: self.optional("expected")?,
                    prefix: self.hex("template")?.filter(|p| *p != 0),
                    prompt_tokens: self.optional("nPrompt")?.unwrap_or(0),
                    prefix_tokens: self.optional("nPrefix")?.unwrap_or(0),
                    answer_limit: self.optional("maxTokens")?.unwrap_or(0),
                    repeat: self.optional::<u64>("flags")?.unwrap_or(0) & 2 != 0,
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
                let mut report = self.report(&boot.fields)?;
                if outcome == Outcome::Served {
                    // The wire writes no figure where nothing was kept.
                    report.get_or_insert_default().kept = Some(kept.unwrap_or(0.0));
                }
                Event::Ended {
                    request,
                    attempt,
                    outcome,
                    last,
                    report,
                }
            }
            "opened" => {
                let (request, attempt) = (self.request()?, self.need("leg")?);
                self.replica()?;
                Event::Started {
                    request,
                    attempt,
                    elapsed: self.seconds("timeTaken")?,
                }
            }
            "client_gone" => Event::ClientGone(self.request()?),
            "pong" => {
                let replica = self.replica()?;
                self.seconds("timeTaken")?;
                Event::Probed {
                    replica,
                    outcome: self.outcome()?,
                    report: self.report(&boot.fields)?,
                }
            }
            "reminder" => {
                self.need::<u64>("ref")?;
                Event::Woke
            }
            "roster_change" => {
                let how = self.next();
                self.need::<u64>("version")?;
                match how {
                    Some("failed") => Event::ListFailed,
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
            Some("up") => ReplicaState::Up,
            Some("draining") => ReplicaState::Draining,
            Some("removed") => ReplicaState::Gone,
            _ => return Err(self.expected("up, draining or removed for stageState")),
        };
        let size = self.optional::<f64>("weight")?;
        let born = self.optional::<f64>("born")?.filter(|b| *b > 0.0);
        let (cell, kind) = (cell.unwrap_or(0), kind.unwrap_or(0));
        Ok(Row {
            listing: Listing {
                id,
                zone,
                cell,
                kind,
                state,
                size,
                born,
            },
        })
    }
}

/// The entries as this instance may see them: its settings must know their zones and kinds.
pub fn listings(rows: &[Row], boot: &Boot) -> Result<Vec<Listing>, WireError> {
    let bad = |expected: String| WireError {
        message: "roster_change".into(),
        expected,
    };
    for row in rows {
        let (zones, kinds) = (boot.names.zones.len().max(1), boot.names.kinds.len().max(1));
        if row.listing.zone >= zones {
            return Err(bad(format!(
                "a zone below {zones}, not {}",
                row.listing.zone
            )));
        }
        if row.listing.kind >= kinds {
            return Err(bad(format!(
                "a kind below {kinds}, not {}",
                row.listing.kind
            )));
        }
    }
    Ok(rows
        .iter()
        .map(|r| Listing {
            size: boot.size(r.listing.size),
            ..r.listing.clone()
        })
        .collect())
}

impl Boot {
    /// Reads the settings of an instance from their JSON text.
    pub fn read(text: &str) -> Result<Boot, String> {
        boot(text)
    }

    /// Newer settings in the place of these. A class that is as it was keeps its place; one that changes or comes
    /// gets a new one, and requests under way keep theirs. What servers and tenants are numbered by stays.
    pub fn follow(&self, mut new: Boot) -> Result<Boot, String> {
        let (old, next) = (&self.names, std::mem::take(&mut new.names.classes));
        for (key, same) in [
            ("tenants", old.tenants == new.names.tenants),
            ("zones", old.zones == new.names.zones),
            ("hostTypes", old.kinds == new.names.kinds),
            (
                "balancers",
                (self.settings.me, self.settings.zone) == (new.settings.me, new.settings.zone),
            ),
        ] {
            if !same {
                return Err(format!(
                    "settings: {key}: another one counts from the next start only"
                ));
            }
        }
        let fresh = std::mem::replace(&mut new.settings.classes, self.settings.classes.clone());
        (new.names.classes, new.names.retired) =
            (old.classes.clone(), (0..old.classes.len()).collect());
        for (name, class) in next.into_iter().zip(fresh) {
            let known =
                |at: &usize| new.names.classes[*at] == name && new.settings.classes[*at] == class;
            if let Some(at) = (0..new.names.classes.len()).find(known) {
                new.names.retired.retain(|place| *place != at);
            } else if new.names.classes.len() < MOST_CLASSES {
                new.names.classes.push(name);
                new.settings.classes.push(class);
            } else {
                return Err(format!(
                    "settings: classes: {MOST_CLASSES} have been in use since the start"
                ));
            }
        }
        Ok(new)
    }

    /// A weight from the list as a size, where it is one.
    pub fn size(&self, weight: Option<f64>) -> Option<f64> {
        weight.filter(|s| self.sized && s.is_finite() && *s > 0.0)
    }

    /// A load report from its values, named as the settings name them.
    pub fn report(&self, value: impl Fn(&str) -> Option<f64>) -> Report {
        let mut report = Report::default();
        for (name, field) in self.names.fields.iter().zip(&self.fields) {
            if let Some(value) = value(name).or_else(|| other_word(name).and_then(&value)) {
                field.put(&mut report, value);
            }
        }
        report
    }
}

impl Field {
    fn put(self, report: &mut Report, value: f64) {
        match self {
            Field::WaitingPromptTokens => report.waiting_prompt_tokens = Some(value * 1000.0),
            Field::MemoryHeld => report.memory_held = Some(value),
            Field::Holding => report.holding = Some(value),
            Field::Queued => report.queued = Some(value),
            Field::Other => {}
        }
    }
}

fn boot(text: &str) -> Result<Boot, String> {
    let v: Value = serde_json::from_str(text).map_err(|e| format!("settings in JSON ({e})"))?;
    let number = |v: &Value, key: &str, absent: f64| match &v[key] {
        Value::Null => Ok(absent),
        other => other.as_f64().ok_or(format!("a number for {key}")),
    };
    let flag = |v: &Value, key: &str| match &v[key] {
        Value::Null => Ok(false),
        other => other.as_bool().ok_or(format!("true or false for {key}")),
    };
    let list = |v: &Value, key: &str| match &v[key] {
        Value::Null => Ok(Vec::new()),
        other => other.as_array().cloned().ok_or(format!("a list for {key}")),
    };
    let need = |v: &Value, key: &str| v[key].as_f64().ok_or(format!("a number for {key}"));
    let above_zero = |v: &Value, key: &str| {
        need(v, key)
            .ok()
            .filter(|n| *n > 0.0)
            .ok_or(format!("a number above 0 for {key}"))
    };
    let per_class = &v["specifics"]["aimUsPer1000PromptTokens"];
    let mut classes = Vec::new();
    for (i, c) in list(&v, "classes")?.iter().enumerate() {
        let effect = match c["semantics"].as_str() {
            Some("safe") => Effect::Safe,
            Some("unsafe") => Effect::Unsafe,
            Some("keyed") => {
                let group = match c["dedupScope"].as_str() {
                    Some("all") => Group::All,
                    Some("zone") => Group::Zone,
                    Some("cell") => Group::Cell,
                    _ => return Err("all, zone or cell for dedupScope".into()),
                };
                Effect::Keyed {
                    group,
                    memory: need(c, "memorySpan")?,
                }
            }
            _ => return Err("safe, keyed or unsafe for semantics".into()),
        };
        if !c["giveUp"].is_null() {
            above_zero(c, "giveUp")?;
        }
        classes.push(Class {
            worth: number(c, "gain", 1.0)?,
            late_worth: number(c, "lateValue", 0.0)?,
            aim: above_zero(c, "goalTime")?,
            aim_per_prompt_token: per_class[i].as_f64().unwrap_or(0.0) / 1e9,
            token_aim: v["specifics"]["tokenAim"][i]
                .as_f64()
                .unwrap_or(f64::INFINITY),
            aim_stretch: number(c, "aimStretch", 0.0)?,
            effect,
            streaming: flag(c, "streaming")?,
        });
    }
    let mut tenants = Vec::new();
    for t in list(&v, "tenants")? {
        tenants.push(Tenant {
            share: need(&t, "share")?,
            allowance: number(&t, "allowancePerS", NO_ALLOWANCE)?,
        });
    }
    let (l, r, c) = (&v["limits"], &v["rules"], &v["costs"]);
    let means = |key: &str, word: &str| {
        v["specifics"][key]
            .as_str()
            .is_none_or(|t| t.contains(word))
    };
    let field = |f: &Value| match f.as_str() {
        Some("x1") if means("reportX1", "prompt tokens") => Field::WaitingPromptTokens,
        Some("x0") if means("reportX0", "memory") => Field::MemoryHeld,
        Some("busy_reqs" | "inflight") => Field::Holding,
        Some("pending" | "queue") => Field::Queued,
        _ => Field::Other,
    };
    let settings = Settings {
        me: need(&v, "me")? as usize,
        routers: need(&v, "balancers")? as usize,
        zone: number(&v, "zone", 0.0)? as usize,
        classes,
        tenants,
        over_share_worth: number(&v, "overShareWorth", 1.0)?,
        limits: Limits {
            probes: flag(l, "probes")?,
            cancel: flag(l, "cancel")?,
            second_copies: flag(l, "secondCopies")?,
            max_attempts: match &l["mostTries"] {
                Value::Null => 1,
                _ => above_zero(l, "mostTries")?.max(1.0) as usize,
            },
            max_retry_after: if flag(l, "retryAfter")? {
                number(l, "maxRetryAfter", 0.0)?
            } else {
                0.0
            },
        },
        prices: Prices {
            cross_zone: number(c, "crossZone", 0.0)?,
            probe: number(c, "probe", 0.0)?,
            waste: number(c, "waste", 0.0)?,
        },
        reports: match v["report"]["source"].as_str() {
            Some("inline") => ReportSource::Inline,
            Some("on_probe") => ReportSource::Probes,
            _ => ReportSource::Off,
        },
        rules: Rules {
            drain_grace: number(r, "drainGrace", 0.0)?,
            cold_from: number(r, "coldFrom", 1.0)?,
            cold: number(r, "cold", 0.0)?,
            overload_factor: number(r, "overloadFactor", 1.0)?,
            fall: number(r, "fall", 1.0)?,
            ask_every: number(r, "askEvery", 0.0)?,
        },
        discovery: match v["membershipMode"].as_str() {
            Some("on_request") => Discovery::Asked,
            Some("pushed") => Discovery::Pushed,
            _ => return Err("pushed or on_request for membershipMode".into()),
        },
    };
    settings.check().map_err(|e| format!("workable {e}"))?;
    let text = |v: &Value| v.as_str().unwrap_or_default().to_string();
    let texts = |v: &Value, key: &str| list(v, key).map(|l| l.iter().map(text).collect::<Vec<_>>());
    let named =
        |v: &Value, key: &str| list(v, key).map(|l| l.iter().map(|e| text(&e["name"])).collect());
    let names = Names {
        classes: named(&v, "classes")?,
        retired: Vec::new(),
        tenants: named(&v, "tenants")?,
        zones: texts(&v, "zones")?,
        kinds: texts(&v, "hostTypes")?,
        fields: texts(&v["report"], "fields")?,
        dial_timeout: number(l, "dialTimeout", 1.0)?,
        keep_alive: number(l, "keepalive", 10.0)?,
    };
    let fields = list(&v["report"], "fields")?.iter().map(field).collect();
    let sized = matches!(v["weightSource"].as_str(), Some("nominal" | "rough"));
    Ok(Boot {
        settings,
        names,
        fields,
        sized,
    })
}

/// Appends the line of one action of an instance.
pub fn write_action(out: &mut String, who: u64, action: &Action) {
    let line = match action {
        Action::Send {
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
        Action::Refuse {
            request,
            retry_after,
        } => {
            writeln!(out, "say_no {who} {:016x} {:.6}", request.0, retry_after)
        }
        Action::Fail { request } => writeln!(out, "abort {who} {:016x}", request.0),
        Action::Cancel { request, attempt } => {
            writeln!(out, "stop_attempt {who} {:016x} {attempt}", request.0)
        }
        Action::Probe { replica } => writeln!(out, "ping {who} {}", replica.0),
        Action::Subscribe => writeln!(out, "subscribe {who} 1"),
        Action::Wake { after } => writeln!(out, "set_alarm {who} {after:.6} 0"),
    };
    line.expect("writing to a string does not fail");
}
