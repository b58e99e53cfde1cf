//! Parsing of settings: defaults and errors; replacement of the settings in force.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use poppykeel_scheduler::{EndpointListMode, LoadReportSource};
use poppykeel_site_settings::{SettingsUpdateError, SiteSettings};
use serde_json::{json, Value};

fn settings() -> Value {
    json!({
        "me": 0,
        "balancers": 2,
        "zones": ["north", "south"],
        "hostTypes": ["small"],
        "classes": [{"name": "chat", "goalTime": 1.5, "semantics": "safe"}],
        "tenants": [{"name": "acme", "share": 1.0}],
        "rules": {"askEvery": 10.0},
        "membershipMode": "on_request",
    })
}

fn parse(settings: &Value) -> SiteSettings {
    SiteSettings::parse(&settings.to_string()).unwrap()
}

fn class(name: &str, goal_time: f64) -> Value {
    json!({"name": name, "goalTime": goal_time, "semantics": "safe"})
}

#[test]
fn missing_keys_have_defaults() {
    let settings = parse(&settings());
    let scheduler = &settings.scheduler;
    assert_eq!(scheduler.limits.max_attempts, 1);
    assert_eq!(scheduler.load_report_source, LoadReportSource::Off);
    assert_eq!(scheduler.endpoint_list_mode, EndpointListMode::Polled);
    assert_eq!(scheduler.classes[0].priority_weight, 1.0);
    assert_eq!(settings.names.connect_timeout, 1.0);
    assert_eq!(settings.capacity_weight(Some(2.0)), None);
}

#[test]
fn parse_errors_state_the_expected_value_and_the_key() {
    let cases = [
        ("/me", json!("zero"), "a number for me"),
        ("/classes", json!(7), "a list for classes"),
        (
            "/classes/0/goalTime",
            json!(0),
            "a number above 0 for goalTime",
        ),
        (
            "/classes/0/semantics",
            json!("maybe"),
            "safe, keyed or unsafe for semantics",
        ),
        (
            "/membershipMode",
            json!(null),
            "pushed or on_request for membershipMode",
        ),
        (
            "/balancers",
            json!(0),
            "valid settings: router index 0 is not below the router count 0",
        ),
    ];
    for (path, value, expected) in cases {
        let mut settings = settings();
        *settings.pointer_mut(path).unwrap() = value;
        let error = SiteSettings::parse(&settings.to_string()).unwrap_err();
        assert_eq!(error.to_string(), expected, "{path}");
    }
}

#[test]
fn changed_class_gets_a_new_index_and_a_restored_class_its_old_one() {
    let first = parse(&settings());
    let mut changed = settings();
    changed["classes"] = json!([class("chat", 2.0), class("batch", 9.0)]);
    let second = first.updated_to(parse(&changed)).unwrap();
    assert_eq!(second.names.classes, ["chat", "chat", "batch"]);
    assert_eq!(second.names.retired_classes, [0]);
    let third = second.updated_to(parse(&settings())).unwrap();
    assert_eq!(third.names.classes, ["chat", "chat", "batch"]);
    assert_eq!(third.names.retired_classes, [1, 2]);
}

#[test]
fn keys_that_determine_indices_of_replicas_and_tenants_cannot_change() {
    let first = parse(&settings());
    for (path, value, key) in [
        ("/zones", json!(["north"]), "zones"),
        ("/hostTypes", json!(["large"]), "hostTypes"),
        ("/tenants/0/name", json!("zeta"), "tenants"),
        ("/me", json!(1), "balancers"),
    ] {
        let mut changed = settings();
        *changed.pointer_mut(path).unwrap() = value;
        let error = first.updated_to(parse(&changed)).unwrap_err();
        assert_eq!(error, SettingsUpdateError::FixedKey { key });
    }
}
