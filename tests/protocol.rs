//! Parsers, tested without sockets: HTTP messages in pieces of any size, endpoint lists, the configuration, responses and load
//! reports.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]
#![expect(clippy::min_ident_chars, reason = "not yet converted")]

use bytes::BytesMut;
use poppykeel::program::config::operator::OperatorConfig;
use poppykeel::program::config::{NodeConfig, Overrides};
use poppykeel::protocol::discovery::parse_endpoint_list;
use poppykeel::protocol::event_stream::IncompleteStream;
use poppykeel::protocol::http::{HttpCodec, HttpParseError, MessagePart, Role};
use poppykeel::protocol::response::{ResponseReader, ResponseStep};
use poppykeel::routing::directory::{replica_id, EndpointDirectory};
use poppykeel::routing::ClockReading;
use poppykeel_scheduler::AttemptOutcome;
use poppykeel_site_settings::SiteSettings;
use proptest::prelude::{prop, prop_assert_eq, proptest};
use serde_json::json;
use std::rc::Rc;
use tokio_util::codec::Decoder;

const CONFIG: &str = include_str!("exchanges/config.json");

fn config() -> String {
    CONFIG
        .replace("REPLICA", "127.0.0.1:1")
        .replace("DISCOVERY", "127.0.0.1:2")
}

/// Decodes bytes that arrive in pieces of `size` bytes. Returns the concatenated bodies, the number of heads and the number of
/// message ends.
fn decode(bytes: &[u8], size: usize) -> (Vec<u8>, usize, usize) {
    let (mut http, mut buffer) = (HttpCodec::new(Role::Client), BytesMut::new());
    let (mut body, mut heads, mut ends) = (Vec::new(), 0, 0);
    for piece in bytes.chunks(size) {
        buffer.extend_from_slice(piece);
        while let Some(part) = http.decode(&mut buffer).unwrap() {
            match part {
                MessagePart::Head(_) => heads += 1,
                MessagePart::Body(bytes) => body.extend_from_slice(&bytes),
                MessagePart::End => ends += 1,
            }
        }
    }
    (body, heads, ends)
}

#[test]
fn decodes_the_same_messages_from_pieces_of_any_size() {
    let bytes = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\nA;x\r\n0123456789\r\n0\r\nT: t\r\n\r\n\
        HTTP/1.1 500 Oh\r\nContent-Length: 3\r\n\r\nxyzHTTP/1.1 204 No\r\n\r\n";
    for size in 1..=bytes.len() {
        assert_eq!(
            decode(bytes, size),
            (b"abc0123456789xyz".to_vec(), 3, 3),
            "in pieces of {size}"
        );
    }
}

#[test]
fn replica_keeps_its_id_and_start_time_across_addresses_and_lists() {
    // The scheduler ranks replicas by id, and all nodes must derive the same id, so it does not depend on the address. The
    // start time is converted only once: a conversion with each list could move it and make the replica count as colder.
    let settings =
        serde_json::from_str::<serde_json::Value>(CONFIG).unwrap()["settings"].to_string();
    let site = SiteSettings::parse(&settings).unwrap();
    let list = |addr: &str, state: &str| {
        let server = json!({"id":"s-1","addr":addr,"zone":"a","kind":"k","cell":0,"state":state,
            "weight":1.0,"started_ms":1_000_000});
        parse_endpoint_list(&json!({"version":42,"full":false,"servers":[server]}))
            .unwrap()
            .into_source_update()
    };
    let mut directory = EndpointDirectory::new(
        Rc::new(site),
        OperatorConfig::default().endpoint_source_settings(),
    );
    let (now, unix) = (50_000_000, 1_030_000_000);
    let first = directory.apply_update(
        "list",
        list("127.0.0.1:1", "up"),
        ClockReading {
            monotonic: now,
            unix_us: unix,
        },
    );
    let next = directory.apply_update(
        "list",
        list("127.0.0.1:2", "draining"),
        ClockReading {
            monotonic: now,
            unix_us: unix + 77,
        },
    );
    assert_eq!(
        (first[0].endpoint.id, first[0].endpoint.started_at),
        (replica_id("s-1"), Some(20.0))
    );
    assert_eq!(
        (next[0].endpoint.id, next[0].endpoint.started_at),
        (first[0].endpoint.id, first[0].endpoint.started_at)
    );
    assert_eq!(directory.addr(first[0].endpoint.id).unwrap().port(), 2);
    directory.apply_update(
        "list",
        list("127.0.0.1:2", "removed"),
        ClockReading {
            monotonic: now,
            unix_us: unix,
        },
    );
    assert_eq!(directory.addr(first[0].endpoint.id), None);
}

#[test]
fn invalid_configuration_is_reported_with_its_key() {
    assert!(NodeConfig::read(&config(), Overrides::default()).is_ok());
    let cases = [
        (
            "\"listen\":\"127.0.0.1:0\"",
            "\"listen\":\"here\"",
            "listen",
        ),
        ("127.0.0.1:2", "nowhere", "discovery"),
        ("\"seed\":\"7\"", "\"seed\":\"x\"", "seed"),
        ("\"sockets\":1024", "\"sockets\":3", "limits.sockets"),
        (
            "\"memory_mb\":192",
            "\"memory_mb\":\"much\"",
            "limits.memory_mb",
        ),
        ("\"goalTime\":15.0,", "", "goalTime"),
        ("\"dialTimeout\":5.0", "\"dialTimeout\":-1", "dialTimeout"),
        ("\"state\":\"up\"", "\"state\":\"off\"", "known.servers"),
    ];
    for (text, bad, key) in cases {
        assert!(config().contains(text), "{text}");
        let error = NodeConfig::read(&config().replace(text, bad), Overrides::default())
            .err()
            .map(|error| error.to_string())
            .unwrap_or_default();
        assert!(
            error.contains(key) && error.lines().count() == 1,
            "{key}: {error}"
        );
    }
}

/// The steps that a response causes whose body arrives in these pieces. If `has_end` is unset, the response does not end.
fn read_response(bodies: &[&str], has_end: bool) -> Vec<ResponseStep> {
    let settings =
        serde_json::from_str::<serde_json::Value>(CONFIG).unwrap()["settings"].to_string();
    let mut answer = ResponseReader::new(Rc::new(SiteSettings::parse(&settings).unwrap()));
    let mut steps = Vec::new();
    let mut buffer = BytesMut::from("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n");
    answer.feed(
        HttpCodec::new(Role::Client)
            .decode(&mut buffer)
            .unwrap()
            .unwrap(),
        &mut steps,
    );
    let bodies = bodies
        .iter()
        .map(|b| MessagePart::Body(b.to_string().into()));
    bodies
        .chain(has_end.then_some(MessagePart::End))
        .for_each(|part| answer.feed(part, &mut steps));
    steps
}

#[test]
fn stream_without_an_event_is_not_counted_as_served() {
    let connection_reset = [ResponseStep::Ended(AttemptOutcome::ConnectionReset, None)];
    let ended_with = |incomplete| {
        let [reset] = &connection_reset;
        vec![ResponseStep::Incomplete(incomplete), reset.clone()]
    };
    assert_eq!(
        read_response(&[], true),
        ended_with(IncompleteStream::NoEvent)
    );
    assert_eq!(
        read_response(&["what is this"], true),
        ended_with(IncompleteStream::NoEvent)
    );
    assert_eq!(
        read_response(&["x".repeat(100_000).as_str()], false),
        connection_reset
    );
    // An endless event is also rejected after the client has received the first event.
    let failed_after_first_event = read_response(&["data: 1\n\n", &"x".repeat(100_000)], false);
    assert_eq!(failed_after_first_event.last(), connection_reset.last());
    assert_eq!(
        failed_after_first_event.len(),
        3,
        "{failed_after_first_event:?}"
    );
    assert_eq!(
        read_response(&["data: 1\n\ndata: [DONE]\n\n"], true).last(),
        Some(&ResponseStep::Ended(AttemptOutcome::Completed, None))
    );
}

proptest! {
    /// Guards against a judgement that depends on how the bytes of a stream arrive: in any pieces, a stream is whole exactly if
    /// it is whole in one piece.
    #[test]
    fn stream_is_judged_alike_in_pieces_of_any_size(
        parts in prop::collection::vec(prop::sample::select(STREAM_PARTS), 0..8),
        cuts in prop::collection::vec(0_usize..200, 0..12),
    ) {
        let text = parts.concat();
        let mut positions: Vec<usize> = cuts.into_iter().filter(|cut| *cut < text.len()).collect();
        positions.sort_unstable();
        let mut pieces = Vec::new();
        let mut start = 0;
        for position in positions {
            pieces.push(&text[start..position]);
            start = position;
        }
        pieces.push(&text[start..]);
        let outcome = |bodies: &[&str]| read_response(bodies, true).last().cloned();
        prop_assert_eq!(outcome(&pieces), outcome(&[&text]));
    }
}

/// Parts of streams, whole and broken ones.
const STREAM_PARTS: &[&str] = &[
    "data: 1\n\n",
    "data: 1\r\n\r\n",
    "data: 1\r\r",
    "data: [DONE]\n\n",
    "data:[DONE]\r\n\r\n",
    "data: [DONE]\r\r",
    "data: [DONE]",
    ": comment\n\n",
    "data: {\"error\":1}\n\n",
    "event: error\n",
    "\r",
    "\n",
    "x",
];

#[test]
fn excessive_interim_responses_and_chunk_sizes_are_rejected_at_once() {
    let interim = "HTTP/1.1 102 Processing\r\n\r\n".repeat(10);
    let good = format!("{interim}HTTP/1.1 204 No\r\n\r\n");
    assert_eq!(decode(good.repeat(3).as_bytes(), 7), (vec![], 3, 3));
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for bad in [
        interim.repeat(9),
        format!("{head}C0000000\r\nx"),
        format!("{head}FFFFFFFFFFFFFFFFF\r\n"),
    ] {
        let (mut http, mut buffer) = (HttpCodec::new(Role::Client), BytesMut::from(bad.as_str()));
        let fault = (0..9)
            .map(|_| http.decode(&mut buffer))
            .find_map(Result::err);
        assert!(
            matches!(fault, Some(HttpParseError::Malformed(_))),
            "{bad}: {fault:?}"
        );
    }
}

/// A replica may use a field's wire name or its protocol name, and sites configure different fields. Absent, unknown and
/// unreadable fields are ignored; only unreadable ones are counted.
#[test]
fn load_report_fields_are_read_by_wire_name_or_protocol_name() {
    let mut settings =
        serde_json::from_str::<serde_json::Value>(CONFIG).unwrap()["settings"].clone();
    settings["report"]["fields"] = json!(["x0", "x1", "busy_reqs", "pending", "svc_ms"]);
    let site = SiteSettings::parse(&settings.to_string()).unwrap();
    let read =
        |text: &str| poppykeel::protocol::load_report::parse_load_report(text, &site).unwrap();
    let report = read(r#"{"x0":0.5,"x1":2.0,"inflight":6,"queue":2,"extra":1}"#);
    let expected = (Some(0.5), Some(2000.0), Some(6.0), Some(2.0));
    assert_eq!(
        (
            report.memory_utilization,
            report.queued_prompt_tokens,
            report.requests_held,
            report.requests_queued
        ),
        expected
    );
    assert_eq!(read(r#"{"pending":3}"#).requests_queued, Some(3.0));
    let before = poppykeel::protocol::load_report::ignored_value_count();
    let bad = read(r#"{"x0":"much","x1":-2,"pending":null}"#);
    assert_eq!(
        (
            bad.memory_utilization,
            bad.queued_prompt_tokens,
            bad.requests_queued
        ),
        (None, None, None)
    );
    assert_eq!(
        poppykeel::protocol::load_report::parse_load_report("[1,2]", &site),
        None
    );
    assert!(
        poppykeel::protocol::load_report::ignored_value_count() >= before + 3,
        "two values and a report must be counted"
    );
}
