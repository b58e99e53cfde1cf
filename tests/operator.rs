//! The operator file, and the commands `check` and `resolve`, which read it.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]
#![expect(clippy::min_ident_chars, reason = "not yet converted")]

use poppykeel::program::config::operator::OperatorConfig;
use poppykeel_stub_dns_server::{FaultyReply, Script, StubDnsServer};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};

const SERVICE: &str = "_llm._tcp.example.test";

fn run(args: &[&str], operator: &PathBuf) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_poppykeel"));
    command
        .args(args)
        .arg("--operator")
        .arg(operator)
        .env_remove("GW_CONFIG")
        .env_remove("GW_DISCOVERY");
    command.stdin(Stdio::null()).output().unwrap()
}

fn write_operator_file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("operator-{name}-{}.toml", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

fn start_dns_server(script: Script) -> StubDnsServer {
    StubDnsServer::start(SocketAddr::from(([127, 0, 0, 1], 0)), script).unwrap()
}

fn server_addrs(count: u16) -> Vec<SocketAddr> {
    (0..count)
        .map(|n| SocketAddr::from(([127, 0, 0, 1], 8000 + n)))
        .collect()
}

fn format_operator_file(dns: &StubDnsServer, sources: &str) -> String {
    format!(
        "[membership]\nsources = {sources}\n[membership.srv]\nname = \"{SERVICE}\"\nservers = [\"{}\"]\n\
         timeout = \"2s\"\nrounds = 1\n",
        dns.addr()
    )
}

#[test]
fn example_has_every_key_with_its_default() {
    let text = include_str!("../deploy/operator.toml");
    let example = OperatorConfig::read(text).unwrap();
    let required_keys_only =
        "[membership]\nsources = [\"list\", \"srv\"]\n[membership.srv]\nname = \"_llm._tcp.example.test\"\n\
                 servers = [\"127.0.0.1:5353\"]\n\
                 target = '^(?<kind>[a-z]+)-[0-9]+\\.(?<zone>[a-z]+)\\.'\nzones = { surco = \"lima-surco\" }";
    assert_eq!(example, OperatorConfig::read(required_keys_only).unwrap());
    // Keys without a default are commented out in the example, and are valid once uncommented.
    let all = text
        .replace("# discovery = \"", "discovery = \"")
        .replace("# drain_priority", "drain_priority");
    let all = all.replace("# weight_unit", "weight_unit");
    let srv = OperatorConfig::read(&all)
        .unwrap()
        .membership
        .unwrap()
        .srv
        .unwrap();
    assert_eq!(
        (srv.drain_priority, srv.weight_unit),
        (Some(65535), Some(10.0))
    );
}

#[test]
fn invalid_key_is_reported_with_its_path_and_line() {
    let cases = [
        ("[membership]\nsource = []", "line 2: membership.source: unknown field"),
        ("\n[membershop]", "line 2: membershop: unknown field"),
        (
            "[membership]\nsources = [\"list\", \"dns\"]",
            "line 2: membership.sources[1]: unknown variant `dns`",
        ),
        ("[membership]\n\nhold = \"soon\"", "line 3: membership.hold: invalid value"),
        ("[membership]\nhold = -1", "line 2: membership.hold: invalid value"),
        ("[membership]\nloss_part = 1.5", "line 2: membership.loss_part: expected a fraction"),
        ("[membership]\nsources = []", "line 2: membership.sources: expected at least one"),
        ("[membership]\nsources = [\"srv\"]", "line 2: membership.sources: \"srv\" requires a table"),
        ("[membership.srv]\nname = \"x\"", "line 1: membership.srv: missing field `servers`"),
        (
            "[membership.srv]\nname = \"x\"\nservers = []",
            "line 3: membership.srv.servers: expected at least one",
        ),
        (
            "[membership.srv]\nname = \"a..b\"\nservers = [\"127.0.0.1:53\"]",
            "line 2: membership.srv.name: expected",
        ),
        ("[membership.srv]\nname = \"x\"\nservers = [\"here\"]", "line 3: membership.srv.servers[0]: "),
        (
            "[membership.srv]\nname = \"x\"\nservers = [\"127.0.0.1:53\"]\nttl_floor = 9\nttl_ceiling = 8",
            "line 4: membership.srv.ttl_floor: expected at most ttl_ceiling",
        ),
        (
            "[membership.srv]\nname = \"x\"\nservers = [\"127.0.0.1:53\"]\ntarget = '('",
            "line 4: membership.srv.target: expected a regular expression",
        ),
        ("[membership\n", "line 1: "),
    ];
    for (text, expected) in cases {
        let error = OperatorConfig::read(text).unwrap_err().to_string();
        assert!(
            error.starts_with(expected) && error.lines().count() == 1,
            "{text}\n{error}\n{expected}"
        );
    }
    let path = write_operator_file("faulty", "[membership]\nhold = \"soon\"");
    for command in ["check", "resolve"] {
        let out = run(&[command], &path);
        let text = String::from_utf8(out.stderr).unwrap();
        assert!(
            !out.status.success() && text.contains("line 2: membership.hold"),
            "{text}"
        );
    }
}

#[test]
fn check_prints_the_effective_settings() {
    let out = run(&["check"], &PathBuf::from("deploy/operator.toml"));
    let text = String::from_utf8(out.stdout).unwrap();
    assert!(
        out.status.success() && text.contains("list and srv") && text.contains("held for 30 s"),
        "{text}"
    );
}

#[test]
fn resolve_prints_the_list_with_reasons_and_fails_without_usable_servers() {
    let dns = start_dns_server(Script::service(SERVICE, 30, &server_addrs(3)));
    let path = write_operator_file(
        "resolve",
        &format_operator_file(&dns, "[\"list\", \"srv\"]"),
    );
    let out = run(&["resolve", "--json"], &path);
    let value: Value = serde_json::from_slice(&out.stdout).unwrap();
    assert!(out.status.success(), "{value}");
    let list = value["servers"].as_array().unwrap();
    assert_eq!(list.len(), 3);
    assert_eq!(
        (&list[0]["addr"], &list[0]["state"]),
        (&"127.0.0.1:8000".into(), &"in".into())
    );
    assert_eq!(
        (&list[0]["sources"][0], &list[0]["reason"]),
        (&"srv".into(), &"srv lists it".into())
    );
    // The discovery service's list is a source, but no address of the service is configured.
    assert_eq!(value["sources"][0]["state"], "failed");
    assert_eq!(
        value["sources"][1]["records"][0]["target"],
        "s0.example.test"
    );
    let text = String::from_utf8(run(&["resolve"], &path).stdout).unwrap();
    assert!(
        text.contains("3 of 3 servers take work") && text.contains("srv lists it"),
        "{text}"
    );

    for fault in [
        FaultyReply::Empty,
        FaultyReply::NxDomain,
        FaultyReply::ResponseCode(2),
        FaultyReply::NoReply,
    ] {
        dns.set_script(Script::service(SERVICE, 30, &server_addrs(3)).with_fault(fault.clone()));
        let out = run(&["resolve", "--json"], &path);
        let value: Value = serde_json::from_slice(&out.stdout).unwrap();
        assert_eq!(out.status.code(), Some(1), "{fault:?}: {value}");
        assert_eq!(
            value["servers"].as_array().map(Vec::len),
            Some(0),
            "{fault:?}"
        );
    }
    let _ = std::fs::remove_file(path);
}

#[test]
fn resolve_retries_truncated_answers_over_tcp_and_reads_zones_from_names() {
    let zone = include_str!("../crates/stub-dns-server/examples/zone.toml");
    let dns = start_dns_server(
        Script::read(zone)
            .unwrap()
            .with_fault(FaultyReply::Truncate)
            .with_fault(FaultyReply::ByteByByte),
    );
    let example = include_str!("../crates/stub-dns-server/examples/operator.toml");
    let path = write_operator_file(
        "zones",
        &example.replace("127.0.0.1:5353", &dns.addr().to_string()),
    );
    let out = run(&["resolve", "--json"], &path);
    let value: Value = serde_json::from_slice(&out.stdout).unwrap();
    let zones_and_kinds: Vec<String> = value["servers"]
        .as_array()
        .unwrap()
        .iter()
        .map(|s| {
            format!(
                "{} {}",
                s["zone"].as_str().unwrap(),
                s["kind"].as_str().unwrap()
            )
        })
        .collect();
    assert_eq!(
        zones_and_kinds,
        ["lima-surco chat", "lima-ate chat", "lima-ate media"]
    );
    let _ = std::fs::remove_file(path);
}
