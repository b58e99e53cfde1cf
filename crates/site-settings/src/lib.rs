//! Reads the settings object of a site, which the simulator gives an instance and a node's configuration holds.
//!
//! Nothing is decided here. Errors say what was expected.

#![allow(clippy::wildcard_imports, reason = "not yet converted")]
#![expect(
    clippy::doc_markdown,
    clippy::min_ident_chars,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

use poppykeel_scheduler::interface::*;
use serde_json::Value;

/// Classes in use since the start: each change of one takes a place.
const MAX_CLASSES_SINCE_START: usize = 1024;

/// Settings with what only the wire needs: how many there are of each, and the order of report values.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteSettings {
    /// The settings of the instance.
    pub scheduler: SchedulerSettings,
    /// SiteNames and limits that only a node on real sockets needs.
    pub names: SiteNames,
    report_fields: Vec<ReportField>,
    /// Weights in the list are sizes, not load.
    weights_are_capacities: bool,
}

/// What the settings name by words, and the limits of connections. Positions are the module's numbers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SiteNames {
    /// Classes of requests.
    pub classes: Vec<String>,
    /// Places of classes that new settings have taken back: what is under way keeps them, new requests don't.
    pub retired_classes: Vec<usize>,
    /// Tenants; empty at sites without.
    pub tenants: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Kinds of machine.
    pub host_types: Vec<String>,
    /// The values of a load report, in order.
    pub report_fields: Vec<String>,
    /// A connection that is not up within this time has failed.
    pub connect_timeout: Seconds,
    /// A replica closes a connection that is idle for so long.
    pub keep_alive: Seconds,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum ReportField {
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

impl SiteSettings {
    /// Reads the settings of an instance from their JSON text.
    pub fn parse(text: &str) -> Result<SiteSettings, String> {
        parse_settings(text)
    }

    /// Newer settings in the place of these. A class that is as it was keeps its place; one that changes or comes
    /// gets a new one, and requests under way keep theirs. What servers and tenants are numbered by stays.
    pub fn updated_to(&self, mut new: SiteSettings) -> Result<SiteSettings, String> {
        let (old, next) = (&self.names, std::mem::take(&mut new.names.classes));
        for (key, same) in [
            ("tenants", old.tenants == new.names.tenants),
            ("zones", old.zones == new.names.zones),
            ("hostTypes", old.host_types == new.names.host_types),
            (
                "balancers",
                (self.scheduler.router_index, self.scheduler.zone)
                    == (new.scheduler.router_index, new.scheduler.zone),
            ),
        ] {
            if !same {
                return Err(format!(
                    "settings: {key}: another one counts from the next start only"
                ));
            }
        }
        let fresh = std::mem::replace(&mut new.scheduler.classes, self.scheduler.classes.clone());
        (new.names.classes, new.names.retired_classes) =
            (old.classes.clone(), (0..old.classes.len()).collect());
        for (name, class) in next.into_iter().zip(fresh) {
            let known =
                |at: &usize| new.names.classes[*at] == name && new.scheduler.classes[*at] == class;
            if let Some(at) = (0..new.names.classes.len()).find(known) {
                new.names.retired_classes.retain(|place| *place != at);
            } else if new.names.classes.len() < MAX_CLASSES_SINCE_START {
                new.names.classes.push(name);
                new.scheduler.classes.push(class);
            } else {
                return Err(format!(
                    "settings: classes: {MAX_CLASSES_SINCE_START} have been in use since the start"
                ));
            }
        }
        Ok(new)
    }

    /// A load report from its values in the order of the settings' fields; `None` where a value is missing.
    pub fn load_report_in_order(&self, values: impl Iterator<Item = Option<f64>>) -> LoadReport {
        let mut report = LoadReport::default();
        for (value, field) in values.zip(&self.report_fields) {
            if let Some(value) = value {
                field.put(&mut report, value);
            }
        }
        report
    }

    /// How many values a load report has.
    pub fn load_report_length(&self) -> usize {
        self.report_fields.len()
    }

    /// A weight from the list as a size, where it is one.
    pub fn capacity_weight(&self, weight: Option<f64>) -> Option<f64> {
        weight.filter(|s| self.weights_are_capacities && s.is_finite() && *s > 0.0)
    }

    /// A load report from its values, named as the settings name them.
    pub fn load_report(&self, value: impl Fn(&str) -> Option<f64>) -> LoadReport {
        let mut report = LoadReport::default();
        for (name, field) in self.names.report_fields.iter().zip(&self.report_fields) {
            if let Some(value) = value(name).or_else(|| other_word(name).and_then(&value)) {
                field.put(&mut report, value);
            }
        }
        report
    }
}

impl ReportField {
    fn put(self, report: &mut LoadReport, value: f64) {
        match self {
            ReportField::WaitingPromptTokens => report.queued_prompt_tokens = Some(value * 1000.0),
            ReportField::MemoryHeld => report.memory_utilization = Some(value),
            ReportField::Holding => report.requests_held = Some(value),
            ReportField::Queued => report.requests_queued = Some(value),
            ReportField::Other => {}
        }
    }
}

fn parse_settings(text: &str) -> Result<SiteSettings, String> {
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
            Some("safe") => Idempotency::Idempotent,
            Some("unsafe") => Idempotency::NonIdempotent,
            Some("keyed") => {
                let group = match c["dedupScope"].as_str() {
                    Some("all") => DeduplicationScope::AllReplicas,
                    Some("zone") => DeduplicationScope::Zone,
                    Some("cell") => DeduplicationScope::Cell,
                    _ => return Err("all, zone or cell for dedupScope".into()),
                };
                Idempotency::Keyed {
                    scope: group,
                    retention: need(c, "memorySpan")?,
                }
            }
            _ => return Err("safe, keyed or unsafe for semantics".into()),
        };
        if !c["giveUp"].is_null() {
            above_zero(c, "giveUp")?;
        }
        classes.push(RequestClass {
            priority_weight: number(c, "gain", 1.0)?,
            late_weight: number(c, "lateValue", 0.0)?,
            ttft_objective: above_zero(c, "goalTime")?,
            ttft_objective_per_prompt_token: per_class[i].as_f64().unwrap_or(0.0) / 1e9,
            inter_token_objective: v["specifics"]["tokenAim"][i]
                .as_f64()
                .unwrap_or(f64::INFINITY),
            ttft_objective_per_work_second: number(c, "aimStretch", 0.0)?,
            idempotency: effect,
            streaming: flag(c, "streaming")?,
        });
    }
    let mut tenants = Vec::new();
    for t in list(&v, "tenants")? {
        tenants.push(Tenant {
            quota: need(&t, "share")?,
            rate_limit: number(&t, "allowancePerS", UNLIMITED_RATE)?,
        });
    }
    let (l, r, c) = (&v["limits"], &v["rules"], &v["costs"]);
    let means = |key: &str, word: &str| {
        v["specifics"][key]
            .as_str()
            .is_none_or(|t| t.contains(word))
    };
    let field = |f: &Value| match f.as_str() {
        Some("x1") if means("reportX1", "prompt tokens") => ReportField::WaitingPromptTokens,
        Some("x0") if means("reportX0", "memory") => ReportField::MemoryHeld,
        Some("busy_reqs" | "inflight") => ReportField::Holding,
        Some("pending" | "queue") => ReportField::Queued,
        _ => ReportField::Other,
    };
    let settings = SchedulerSettings {
        router_index: need(&v, "me")? as usize,
        router_count: need(&v, "balancers")? as usize,
        zone: number(&v, "zone", 0.0)? as usize,
        classes,
        tenants,
        over_quota_weight: number(&v, "overShareWorth", 1.0)?,
        limits: SiteLimits {
            allows_probes: flag(l, "probes")?,
            allows_cancellation: flag(l, "cancel")?,
            allows_hedging: flag(l, "secondCopies")?,
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
        costs: CostWeights {
            cross_zone: number(c, "crossZone", 0.0)?,
            probe: number(c, "probe", 0.0)?,
            waste: number(c, "waste", 0.0)?,
        },
        load_report_source: match v["report"]["source"].as_str() {
            Some("inline") => LoadReportSource::Inline,
            Some("on_probe") => LoadReportSource::Probes,
            _ => LoadReportSource::Off,
        },
        lifecycle: LifecycleRules {
            drain_grace: number(r, "drainGrace", 0.0)?,
            slow_start_initial_fraction: number(r, "coldFrom", 1.0)?,
            slow_start_duration: number(r, "cold", 0.0)?,
            overload_factor: number(r, "overloadFactor", 1.0)?,
            overload_window: number(r, "fall", 1.0)?,
            poll_interval: number(r, "askEvery", 0.0)?,
        },
        endpoint_list_mode: match v["membershipMode"].as_str() {
            Some("on_request") => EndpointListMode::Polled,
            Some("pushed") => EndpointListMode::Pushed,
            _ => return Err("pushed or on_request for membershipMode".into()),
        },
    };
    settings.check().map_err(|e| format!("workable {e}"))?;
    let text = |v: &Value| v.as_str().unwrap_or_default().to_string();
    let texts = |v: &Value, key: &str| list(v, key).map(|l| l.iter().map(text).collect::<Vec<_>>());
    let named =
        |v: &Value, key: &str| list(v, key).map(|l| l.iter().map(|e| text(&e["name"])).collect());
    let names = SiteNames {
        classes: named(&v, "classes")?,
        retired_classes: Vec::new(),
        tenants: named(&v, "tenants")?,
        zones: texts(&v, "zones")?,
        host_types: texts(&v, "hostTypes")?,
        report_fields: texts(&v["report"], "fields")?,
        connect_timeout: number(l, "dialTimeout", 1.0)?,
        keep_alive: number(l, "keepalive", 10.0)?,
    };
    let fields = list(&v["report"], "fields")?.iter().map(field).collect();
    let sized = matches!(v["weightSource"].as_str(), Some("nominal" | "rough"));
    Ok(SiteSettings {
        scheduler: settings,
        names,
        report_fields: fields,
        weights_are_capacities: sized,
    })
}
