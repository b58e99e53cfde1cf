//! Reads the settings object of a site, which the simulator gives an instance and a node's configuration holds.
//!
//! Nothing is decided here. Errors say what was expected.

use poppykeel_scheduler::interface::*;
use serde_json::Value;

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

    /// A load report from its values in the order of the settings' fields; `None` where a value is missing.
    pub fn report_in_order(&self, values: impl Iterator<Item = Option<f64>>) -> Report {
        let mut report = Report::default();
        for (value, field) in values.zip(&self.fields) {
            if let Some(value) = value {
                field.put(&mut report, value);
            }
        }
        report
    }

    /// How many values a load report has.
    pub fn report_length(&self) -> usize {
        self.fields.len()
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
