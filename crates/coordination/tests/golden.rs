//! Golden files of the wire format between nodes: one datagram of every message. Each must be decoded to the same
//! message, and the message encoded to the same bytes, as in earlier versions, since a fleet may run several versions.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

#[path = "support/golden_messages.rs"]
mod golden_messages;

use golden_messages::message_samples;
use poppykeel_coordination::envelope::{decode, encode, Envelope, MessageBody};
use poppykeel_coordination::gossip::{GossipMessage, Member, Membership};
use poppykeel_coordination::{Incarnation, ProcessId};
use std::collections::BTreeSet;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

const FLEET: &str = "golden-fleet";
/// The recipient of every datagram.
const RECEIVER: &str = "node-b";
const EXTENSION: &str = "datagram";
/// The probe interval of the membership protocol, in microseconds.
const PROBE_INTERVAL: u64 = 1_000_000;

fn golden_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name)
}

fn file_name(sample: &str) -> String {
    format!("{sample}.{EXTENSION}")
}

fn assert_equals_golden_file(name: &str, encoded: &[u8]) {
    let committed = fs::read(golden_path(name)).unwrap();
    assert!(
        encoded == committed,
        "{name}: encoded bytes differ from the golden file"
    );
}

fn ipv4_sender_address() -> SocketAddr {
    "192.0.2.17:7946".parse().unwrap()
}

fn ipv6_sender_address() -> SocketAddr {
    "[2001:db8::2a]:17946".parse().unwrap()
}

fn envelope(sender_address: SocketAddr, body: MessageBody) -> Envelope {
    Envelope {
        fleet: FLEET.into(),
        lease_servers_number: 300,
        sender: ProcessId {
            node: "node-a".into(),
            incarnation: Incarnation(0x0123_4567_89ab_cdef),
        },
        sender_address,
        recipient: RECEIVER.into(),
        body,
    }
}

fn member(name: &str, address: &str, incarnation: u64, generation: u64) -> Member {
    Member {
        name: name.into(),
        address: address.parse().unwrap(),
        incarnation: Incarnation(incarnation),
        generation,
    }
}

fn joining_member() -> Member {
    member("node-a", "192.0.2.17:7946", 101, 3)
}

fn existing_member() -> Member {
    member(RECEIVER, "[2001:db8::2b]:7947", 10_200, 4)
}

/// The messages of a short exchange between two members, in sending order: one member announces itself, the other
/// responds with its members, both probe for a while, and the first member leaves.
fn exchange_membership_messages() -> Vec<Vec<u8>> {
    let mut joining = Membership::new(joining_member(), PROBE_INTERVAL, 1);
    let mut existing = Membership::new(existing_member(), PROBE_INTERVAL, 2);
    let mut sent = Vec::new();
    let mut now = 0;
    let announced = joining.announce(existing_member(), now);
    deliver(announced, &mut joining, &mut existing, now, &mut sent);
    while now < 3 * PROBE_INTERVAL {
        now += PROBE_INTERVAL / 10;
        let from_joining = joining.on_timer(now);
        deliver(from_joining, &mut joining, &mut existing, now, &mut sent);
        let from_existing = existing.on_timer(now);
        deliver(from_existing, &mut joining, &mut existing, now, &mut sent);
    }
    let leave_messages = joining.leave(now);
    deliver(leave_messages, &mut joining, &mut existing, now, &mut sent);
    sent
}

/// Delivers messages, and the responses to them, without delay. Appends the bytes of each to `sent`.
fn deliver(
    messages: Vec<GossipMessage>,
    joining: &mut Membership,
    existing: &mut Membership,
    now: u64,
    sent: &mut Vec<Vec<u8>>,
) {
    let mut pending: Vec<(String, Vec<u8>)> = Vec::new();
    for message in messages {
        pending.push((message.recipient.name, message.payload.to_vec()));
    }
    while !pending.is_empty() {
        let (receiver, bytes) = pending.remove(0);
        let responses = if receiver == RECEIVER {
            existing.handle_message(&bytes, now)
        } else {
            joining.handle_message(&bytes, now)
        };
        sent.push(bytes);
        for response in responses {
            pending.push((response.recipient.name, response.payload.to_vec()));
        }
    }
}

/// The samples of the membership protocol, numbered in sending order.
fn membership_samples() -> Vec<(String, MessageBody)> {
    let number = |(index, bytes)| (format!("gossip-{index:02}"), MessageBody::Gossip(bytes));
    exchange_membership_messages()
        .into_iter()
        .enumerate()
        .map(number)
        .collect()
}

/// All samples with their names. The first message is also sampled with an IPv6 sender address.
fn samples() -> Vec<(String, Envelope)> {
    let named = message_samples()
        .into_iter()
        .map(|(name, body)| (name.to_string(), body));
    let mut samples: Vec<(String, Envelope)> = named
        .chain(membership_samples())
        .map(|(name, body)| (name, envelope(ipv4_sender_address(), body)))
        .collect();
    let first_body = samples[0].1.body.clone();
    let from_ipv6 = envelope(ipv6_sender_address(), first_body);
    samples.push(("lease-ask-from-ipv6".into(), from_ipv6));
    samples
}

fn committed_names() -> BTreeSet<String> {
    let entries = fs::read_dir(golden_path("")).unwrap();
    let names = entries.map(|entry| entry.unwrap().file_name().into_string().unwrap());
    names.filter(|name| name.ends_with(EXTENSION)).collect()
}

#[test]
fn golden_datagrams_are_decoded_to_the_same_messages() {
    for (name, expected) in samples() {
        let datagram = fs::read(golden_path(&file_name(&name))).unwrap();
        let decoded = decode(&datagram, FLEET, RECEIVER);
        assert_eq!(decoded, Ok(expected), "{name}");
    }
}

#[test]
fn messages_are_encoded_to_the_golden_datagrams() {
    for (name, envelope) in samples() {
        assert_equals_golden_file(&file_name(&name), &encode(&envelope));
    }
}

#[test]
fn every_golden_datagram_has_a_sample() {
    let compared: BTreeSet<String> = samples().iter().map(|(name, _)| file_name(name)).collect();
    assert_eq!(compared, committed_names());
}

#[test]
fn golden_membership_announcement_adds_its_sender() {
    let datagram = fs::read(golden_path(&file_name("gossip-00"))).unwrap();
    let MessageBody::Gossip(announcement) = decode(&datagram, FLEET, RECEIVER).unwrap().body else {
        panic!("expected a message of the membership protocol");
    };
    let mut members = Membership::new(existing_member(), PROBE_INTERVAL, 2);
    members.handle_message(&announcement, 0);
    let known: Vec<&Member> = members.peers().collect();
    assert_eq!(known, [&joining_member()]);
    assert_eq!(members.malformed_count(), 0);
}
