//! Parses the settings object.

use crate::error::SettingsParseError;
use crate::json::Section;
use crate::names::SiteNames;
use crate::report_fields::ReportField;
use crate::SiteSettings;
use poppykeel_scheduler::{
    CostWeights, DeduplicationScope, EndpointListMode, Idempotency, LifecycleRules,
    LoadReportSource, RequestClass, SchedulerSettings, SiteLimits, Tenant, UNLIMITED_RATE,
};
use serde_json::Value;

/// Prompt-token objectives are in microseconds per thousand tokens. Divided by this they are in seconds per token.
const PROMPT_OBJECTIVE_UNITS_PER_SECOND: f64 = 1e9;
const DEFAULT_CONNECT_TIMEOUT: f64 = 1.0;
const DEFAULT_KEEP_ALIVE: f64 = 10.0;

pub(crate) fn parse(text: &str) -> Result<SiteSettings, SettingsParseError> {
    let value: Value = serde_json::from_str(text)?;
    let site = Section(&value);
    let scheduler = parse_scheduler_settings(site)?;
    scheduler.check()?;
    Ok(SiteSettings {
        scheduler,
        names: names(site)?,
        report_fields: report_fields(site)?,
        weights_are_capacities: matches!(site.text("weightSource"), Some("nominal" | "rough")),
    })
}

fn parse_scheduler_settings(site: Section<'_>) -> Result<SchedulerSettings, SettingsParseError> {
    let classes = classes(site)?;
    let tenants = tenants(site)?;
    Ok(SchedulerSettings {
        router_index: site.number("me")? as usize,
        router_count: site.number("balancers")? as usize,
        zone: site.number_or("zone", 0.0)? as usize,
        classes,
        tenants,
        over_quota_weight: site.number_or("overShareWorth", 1.0)?,
        limits: limits(site.section("limits"))?,
        costs: costs(site.section("costs"))?,
        load_report_source: load_report_source(site.section("report")),
        lifecycle: lifecycle(site.section("rules"))?,
        endpoint_list_mode: endpoint_list_mode(site)?,
    })
}

fn classes(site: Section<'_>) -> Result<Vec<RequestClass>, SettingsParseError> {
    let specifics = site.section("specifics");
    let prompt_token_objectives = &specifics.0["aimUsPer1000PromptTokens"];
    let inter_token_objectives = &specifics.0["tokenAim"];
    let mut classes = Vec::new();
    for (i, value) in site.list("classes")?.iter().enumerate() {
        let class = Section(value);
        let idempotency = idempotency(class)?;
        if class.has("giveUp") {
            class.positive_number("giveUp")?;
        }
        let per_prompt_token = prompt_token_objectives[i].as_f64().unwrap_or(0.0);
        classes.push(RequestClass {
            priority_weight: class.number_or("gain", 1.0)?,
            late_weight: class.number_or("lateValue", 0.0)?,
            ttft_objective: class.positive_number("goalTime")?,
            ttft_objective_per_prompt_token: per_prompt_token / PROMPT_OBJECTIVE_UNITS_PER_SECOND,
            inter_token_objective: inter_token_objectives[i].as_f64().unwrap_or(f64::INFINITY),
            ttft_objective_per_work_second: class.number_or("aimStretch", 0.0)?,
            idempotency,
            streaming: class.flag("streaming")?,
        });
    }
    Ok(classes)
}

fn idempotency(class: Section<'_>) -> Result<Idempotency, SettingsParseError> {
    match class.text("semantics") {
        Some("safe") => Ok(Idempotency::Idempotent),
        Some("unsafe") => Ok(Idempotency::NonIdempotent),
        Some("keyed") => Ok(Idempotency::Keyed {
            scope: deduplication_scope(class)?,
            retention: class.number("memorySpan")?,
        }),
        _ => Err(SettingsParseError::Value {
            expected: "safe, keyed or unsafe",
            key: "semantics",
        }),
    }
}

fn deduplication_scope(class: Section<'_>) -> Result<DeduplicationScope, SettingsParseError> {
    match class.text("dedupScope") {
        Some("all") => Ok(DeduplicationScope::AllReplicas),
        Some("zone") => Ok(DeduplicationScope::Zone),
        Some("cell") => Ok(DeduplicationScope::Cell),
        _ => Err(SettingsParseError::Value {
            expected: "all, zone or cell",
            key: "dedupScope",
        }),
    }
}

fn tenants(site: Section<'_>) -> Result<Vec<Tenant>, SettingsParseError> {
    let mut tenants = Vec::new();
    for value in site.list("tenants")? {
        let tenant = Section(value);
        tenants.push(Tenant {
            quota: tenant.number("share")?,
            rate_limit: tenant.number_or("allowancePerS", UNLIMITED_RATE)?,
        });
    }
    Ok(tenants)
}

fn limits(limits: Section<'_>) -> Result<SiteLimits, SettingsParseError> {
    Ok(SiteLimits {
        allows_probes: limits.flag("probes")?,
        allows_cancellation: limits.flag("cancel")?,
        allows_hedging: limits.flag("secondCopies")?,
        max_attempts: if limits.has("mostTries") {
            limits.positive_number("mostTries")?.max(1.0) as usize
        } else {
            1
        },
        max_retry_after: if limits.flag("retryAfter")? {
            limits.number_or("maxRetryAfter", 0.0)?
        } else {
            0.0
        },
    })
}

fn costs(costs: Section<'_>) -> Result<CostWeights, SettingsParseError> {
    Ok(CostWeights {
        cross_zone: costs.number_or("crossZone", 0.0)?,
        probe: costs.number_or("probe", 0.0)?,
        waste: costs.number_or("waste", 0.0)?,
    })
}

fn load_report_source(report: Section<'_>) -> LoadReportSource {
    match report.text("source") {
        Some("inline") => LoadReportSource::Inline,
        Some("on_probe") => LoadReportSource::Probes,
        _ => LoadReportSource::Off,
    }
}

fn lifecycle(rules: Section<'_>) -> Result<LifecycleRules, SettingsParseError> {
    Ok(LifecycleRules {
        drain_grace: rules.number_or("drainGrace", 0.0)?,
        slow_start_initial_fraction: rules.number_or("coldFrom", 1.0)?,
        slow_start_duration: rules.number_or("cold", 0.0)?,
        overload_factor: rules.number_or("overloadFactor", 1.0)?,
        overload_window: rules.number_or("fall", 1.0)?,
        poll_interval: rules.number_or("askEvery", 0.0)?,
    })
}

fn endpoint_list_mode(site: Section<'_>) -> Result<EndpointListMode, SettingsParseError> {
    match site.text("membershipMode") {
        Some("on_request") => Ok(EndpointListMode::Polled),
        Some("pushed") => Ok(EndpointListMode::Pushed),
        _ => Err(SettingsParseError::Value {
            expected: "pushed or on_request",
            key: "membershipMode",
        }),
    }
}

fn names(site: Section<'_>) -> Result<SiteNames, SettingsParseError> {
    let limits = site.section("limits");
    Ok(SiteNames {
        classes: site.names("classes")?,
        retired_classes: Vec::new(),
        tenants: site.names("tenants")?,
        zones: site.strings("zones")?,
        host_types: site.strings("hostTypes")?,
        report_fields: site.section("report").strings("fields")?,
        connect_timeout: limits.number_or("dialTimeout", DEFAULT_CONNECT_TIMEOUT)?,
        keep_alive: limits.number_or("keepalive", DEFAULT_KEEP_ALIVE)?,
    })
}

fn report_fields(site: Section<'_>) -> Result<Vec<ReportField>, SettingsParseError> {
    let names = site.section("report").list("fields")?.iter();
    Ok(names.map(|name| report_field(site, name)).collect())
}

/// Sites may describe the meaning of the fields `x0` and `x1` in free text. Without a description, the meaning that the
/// protocol defines applies.
fn report_field(site: Section<'_>, name: &Value) -> ReportField {
    let specifics = site.section("specifics");
    let has_meaning = |key: &str, phrase: &str| {
        let description = specifics.text(key);
        description.is_none_or(|description| description.contains(phrase))
    };
    match name.as_str() {
        Some("x1") if has_meaning("reportX1", "prompt tokens") => ReportField::QueuedPromptTokens,
        Some("x0") if has_meaning("reportX0", "memory") => ReportField::MemoryUtilization,
        Some("busy_reqs" | "inflight") => ReportField::RequestsHeld,
        Some("pending" | "queue") => ReportField::RequestsQueued,
        _ => ReportField::Ignored,
    }
}
