//! Golden files of the wire format between nodes: one datagram of every message, as it is sent. The present code must
//! read each to the same message and write each to the same bytes.

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

/// The fleet's name in every datagram.
const FLEET: &str = "golden-fleet";
/// The node to which every datagram goes.
const RECEIVER: &str = "node-b";
/// The extension of the committed files.
const EXTENSION: &str = "datagram";
/// The probe interval of the membership protocol, in microseconds.
const PROBE_INTERVAL: u64 = 1_000_000;

/// The committed file of this name.
fn golden_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name)
}

/// The file name of a sample.
fn file_name(sample: &str) -> String {
    format!("{sample}.{EXTENSION}")
}

/// Asserts that what the present code has written equals the committed file.
fn assert_equals_golden_file(name: &str, written: &[u8]) {
    let committed = fs::read(golden_path(name)).unwrap();
    assert!(written == committed, "{name}: the bytes differ");
}

/// The sender's address in datagrams of the IPv4 fleet.
fn ipv4_address() -> SocketAddr {
    "192.0.2.17:7946".parse().unwrap()
}

/// The sender's address in datagrams of the IPv6 fleet.
fn ipv6_address() -> SocketAddr {
    "[2001:db8::2a]:17946".parse().unwrap()
}

/// A message in the envelope of the golden fleet.
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

/// A member of the fleet with every field set.
fn member(name: &str, address: &str, incarnation: u64, generation: u64) -> Member {
    Member {
        name: name.into(),
        address: address.parse().unwrap(),
        incarnation: Incarnation(incarnation),
        generation,
    }
}

/// The member that announces itself.
fn joining_member() -> Member {
    member("node-a", "192.0.2.17:7946", 101, 3)
}

/// The member that is there already.
fn present_member() -> Member {
    member(RECEIVER, "[2001:db8::2b]:7947", 10_200, 4)
}

/// The messages of a short exchange between two members, in the order sent: the one that joins announces itself, the
/// other answers with whom it knows, both probe for a while, and the first one leaves.
fn membership_exchange() -> Vec<Vec<u8>> {
    let mut joining = Membership::new(joining_member(), PROBE_INTERVAL, 1);
    let mut present = Membership::new(present_member(), PROBE_INTERVAL, 2);
    let mut sent = Vec::new();
    let mut now = 0;
    let announced = joining.announce(present_member(), now);
    deliver(announced, &mut joining, &mut present, now, &mut sent);
    while now < 3 * PROBE_INTERVAL {
        now += PROBE_INTERVAL / 10;
        let from_joining = joining.on_timer(now);
        deliver(from_joining, &mut joining, &mut present, now, &mut sent);
        let from_present = present.on_timer(now);
        deliver(from_present, &mut joining, &mut present, now, &mut sent);
    }
    let farewell = joining.leave(now);
    deliver(farewell, &mut joining, &mut present, now, &mut sent);
    sent
}

/// Delivers messages and the answers to them at one moment, and keeps the bytes of each.
fn deliver(
    messages: Vec<GossipMessage>,
    joining: &mut Membership,
    present: &mut Membership,
    now: u64,
    sent: &mut Vec<Vec<u8>>,
) {
    let mut waiting: Vec<(String, Vec<u8>)> = Vec::new();
    for message in messages {
        waiting.push((message.recipient.name, message.payload.to_vec()));
    }
    while !waiting.is_empty() {
        let (receiver, bytes) = waiting.remove(0);
        let answers = if receiver == RECEIVER {
            present.handle_message(&bytes, now)
        } else {
            joining.handle_message(&bytes, now)
        };
        sent.push(bytes);
        for answer in answers {
            waiting.push((answer.recipient.name, answer.payload.to_vec()));
        }
    }
}

/// The samples of the membership protocol, numbered in the order sent.
fn membership_samples() -> Vec<(String, MessageBody)> {
    let number = |(index, bytes)| (format!("gossip-{index:02}"), MessageBody::Gossip(bytes));
    membership_exchange()
        .into_iter()
        .enumerate()
        .map(number)
        .collect()
}

/// Every sample: its name and the message in its envelope. The first sample is there from an IPv6 address, too.
fn samples() -> Vec<(String, Envelope)> {
    let named = message_samples()
        .into_iter()
        .map(|(name, body)| (name.to_string(), body));
    let mut samples: Vec<(String, Envelope)> = named
        .chain(membership_samples())
        .map(|(name, body)| (name, envelope(ipv4_address(), body)))
        .collect();
    let first_body = samples[0].1.body.clone();
    let from_ipv6 = envelope(ipv6_address(), first_body);
    samples.push(("lease-ask-from-ipv6".into(), from_ipv6));
    samples
}

/// The names of the committed datagrams.
fn committed_names() -> BTreeSet<String> {
    let entries = fs::read_dir(golden_path("")).unwrap();
    let names = entries.map(|entry| entry.unwrap().file_name().into_string().unwrap());
    names.filter(|name| name.ends_with(EXTENSION)).collect()
}

#[test]
fn datagrams_of_landed_version_are_decoded_to_the_same_messages() {
    for (name, expected) in samples() {
        let datagram = fs::read(golden_path(&file_name(&name))).unwrap();
        let decoded = decode(&datagram, FLEET, RECEIVER);
        assert_eq!(decoded, Ok(expected), "{name}");
    }
}

#[test]
fn same_messages_are_encoded_as_the_same_datagrams() {
    for (name, envelope) in samples() {
        assert_equals_golden_file(&file_name(&name), &encode(&envelope));
    }
}

#[test]
fn every_committed_datagram_is_compared() {
    let compared: BTreeSet<String> = samples().iter().map(|(name, _)| file_name(name)).collect();
    assert_eq!(compared, committed_names());
}

#[test]
fn membership_announcement_of_landed_version_makes_its_sender_known() {
    let datagram = fs::read(golden_path(&file_name("gossip-00"))).unwrap();
    let MessageBody::Gossip(announcement) = decode(&datagram, FLEET, RECEIVER).unwrap().body else {
        panic!("expected a message of the membership protocol");
    };
    let mut members = Membership::new(present_member(), PROBE_INTERVAL, 2);
    members.handle_message(&announcement, 0);
    let known: Vec<&Member> = members.peers().collect();
    assert_eq!(known, [&joining_member()]);
    assert_eq!(members.malformed_count(), 0);
}
