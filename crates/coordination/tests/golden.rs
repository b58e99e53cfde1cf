//! Golden files of the wire format between nodes: one datagram of every message, as it is sent. The present code must
//! read each to the same message and write each to the same bytes.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use poppykeel_coordination::budget::{Message as BudgetMessage, Want};
use poppykeel_coordination::envelope::{read, write, Body, Envelope, Figures};
use poppykeel_coordination::gossip::{Member, Members};
use poppykeel_coordination::lease::{Holder, ToKeeper, ToNode};
use poppykeel_coordination::outlier_probing::Message as TrialsMessage;
use poppykeel_coordination::rolling_restart::{Message as RollMessage, Order, Part};
use std::collections::{BTreeMap, BTreeSet};
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
fn envelope(at: SocketAddr, body: Body) -> Envelope {
    Envelope {
        fleet: FLEET.into(),
        keepers: 300,
        from: ("node-a".into(), 0x0123_4567_89ab_cdef),
        at,
        to: RECEIVER.into(),
        body,
    }
}

/// A holder of a lease.
fn holder() -> Holder {
    Holder {
        node: "node-c".into(),
        incarnation: 0xfedc_ba98_7654_3210,
    }
}

/// Messages to a lease server.
fn lease_server_messages() -> Vec<(&'static str, Body)> {
    let ask = ToKeeper::Ask {
        task: "budgets".into(),
        who: holder(),
        epoch: 11,
        round: 1_200,
        length: 5_000_000,
    };
    let release = ToKeeper::Release {
        task: "trials".into(),
        who: holder(),
        epoch: 12,
    };
    let recall = ToKeeper::Recall {
        keeper: 2,
        start: 130_000,
    };
    let memory = ToKeeper::Memory {
        keeper: 1,
        start: 141,
        own: 14_200,
        blank: true,
        together: false,
        epochs: vec![("budgets".into(), 143), ("roll".into(), 14_400)],
        newest: 145,
        starts: vec![(0, 146), (2, 14_700)],
    };
    let memory_of_blank_start = ToKeeper::Memory {
        keeper: 3,
        start: 151,
        own: 152,
        blank: false,
        together: true,
        epochs: vec![],
        newest: 153,
        starts: vec![],
    };
    let superseded = ToKeeper::Superseded {
        keeper: 4,
        start: 161,
    };
    vec![
        ("lease-ask", Body::Keeper(ask)),
        ("lease-release", Body::Keeper(release)),
        ("lease-recall", Body::Keeper(recall)),
        ("lease-memory", Body::Keeper(memory)),
        ("lease-memory-empty", Body::Keeper(memory_of_blank_start)),
        ("lease-superseded", Body::Keeper(superseded)),
    ]
}

/// Answers of a lease server.
fn lease_answers() -> Vec<(&'static str, Body)> {
    let granted = ToNode::Granted {
        task: "budgets".into(),
        who: 21,
        round: 2_200,
        epoch: 23,
        start: 240_000,
        starts: vec![(1, 25), (2, 2_600)],
    };
    let refused = ToNode::Refused {
        task: "roll".into(),
        who: 31,
        round: 3_200,
        epoch: 33,
        holder: Some(holder()),
        left: 3_400_000,
    };
    let refused_without_holder = ToNode::Refused {
        task: "trials".into(),
        who: 35,
        round: 36,
        epoch: 37,
        holder: None,
        left: 38,
    };
    vec![
        ("lease-granted", Body::Node(granted)),
        ("lease-refused", Body::Node(refused)),
        (
            "lease-refused-without-holder",
            Body::Node(refused_without_holder),
        ),
    ]
}

/// Messages of the figures for a report.
fn figures_messages() -> Vec<(&'static str, Body)> {
    let figures = Figures {
        replies: vec![
            ("chat".into(), [41, 4_200, 43]),
            ("batch".into(), [44, 45, 460_000]),
        ],
        crossings: vec![("chat".into(), "acme".into(), 47)],
        dispatches: 4_800,
        concurrent: 49,
        wall: 1_700_000_000_000_000,
    };
    vec![
        ("figures-ask", Body::AskFigures(401)),
        ("figures", Body::Figures(402, figures)),
    ]
}

/// Messages of a rolling restart.
fn roll_messages() -> Vec<(&'static str, Body)> {
    let order = Order {
        number: 51,
        by: "node-d".into(),
        nodes: vec!["node-a".into(), "node-b".into(), "node-c".into()],
        out: 2,
        hold: 5_300_000,
        back: 54_000_000,
    };
    let messages = [
        ("roll-order", RollMessage::Order(order)),
        ("roll-ask", RollMessage::Ask(55, 56, (57, "node-d".into()))),
        ("roll-want", RollMessage::Want),
        (
            "roll-tell-waiting",
            RollMessage::Tell(58, 59, Part::Waiting, false),
        ),
        ("roll-tell-out", RollMessage::Tell(60, 61, Part::Out, true)),
        (
            "roll-tell-done",
            RollMessage::Tell(62, 63, Part::Done, false),
        ),
        ("roll-act-leave", RollMessage::Act(64, 65, true)),
        ("roll-act-return", RollMessage::Act(66, 67, false)),
        ("roll-over", RollMessage::Over(68, "node-e".into())),
    ];
    messages
        .map(|(name, message)| (name, Body::Roll(message)))
        .into()
}

/// Messages of trials of ejected servers.
fn trials_messages() -> Vec<(&'static str, Body)> {
    let ejected = TrialsMessage::Ejected(vec!["s-1".into(), "s-22".into()]);
    let verdicts = TrialsMessage::Verdicts(71, vec![("s-3".into(), true), ("s-4".into(), false)]);
    vec![
        ("trials-ejected", Body::Trials(ejected)),
        ("trials-verdicts", Body::Trials(verdicts)),
    ]
}

/// Rates of two budgets.
fn rates() -> BTreeMap<String, u64> {
    BTreeMap::from([("crossings".into(), 81), ("retries".into(), 8_200)])
}

/// Wants of two budgets.
fn wants() -> BTreeMap<String, Want> {
    let crossings = Want { rate: 83, worth: 1 };
    let retries = Want {
        rate: 8_400,
        worth: 85,
    };
    BTreeMap::from([("crossings".into(), crossings), ("retries".into(), retries)])
}

/// Messages of the budgets of the whole fleet.
fn budget_messages() -> Vec<(&'static str, Body)> {
    let ask = BudgetMessage::Ask {
        who: holder(),
        epoch: 86,
        number: 8_700,
        have: Some((88, 89)),
        rates: rates(),
        wants: wants(),
    };
    let first_ask = BudgetMessage::Ask {
        who: holder(),
        epoch: 90,
        number: 91,
        have: None,
        rates: BTreeMap::new(),
        wants: wants(),
    };
    let share = BudgetMessage::Share {
        who: 92,
        epoch: 93,
        share: 94,
        number: 9_500,
        length: 2_000_000,
        rates: rates(),
    };
    vec![
        ("budget-ask", Body::Budget(ask)),
        ("budget-ask-first", Body::Budget(first_ask)),
        ("budget-hello", Body::Budget(BudgetMessage::Hello(96))),
        ("budget-share", Body::Budget(share)),
    ]
}

/// A member of the fleet with every field set.
fn member(name: &str, address: &str, incarnation: u64, generation: u64) -> Member {
    Member {
        name: name.into(),
        addr: address.parse().unwrap(),
        incarnation,
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
    let mut joining = Members::new(joining_member(), PROBE_INTERVAL, 1);
    let mut present = Members::new(present_member(), PROBE_INTERVAL, 2);
    let mut sent = Vec::new();
    let mut now = 0;
    let announced = joining.announce(present_member(), now);
    deliver(announced, &mut joining, &mut present, now, &mut sent);
    while now < 3 * PROBE_INTERVAL {
        now += PROBE_INTERVAL / 10;
        let from_joining = joining.turn(now);
        deliver(from_joining, &mut joining, &mut present, now, &mut sent);
        let from_present = present.turn(now);
        deliver(from_present, &mut joining, &mut present, now, &mut sent);
    }
    let farewell = joining.leave(now);
    deliver(farewell, &mut joining, &mut present, now, &mut sent);
    sent
}

/// Delivers messages and the answers to them at one moment, and keeps the bytes of each.
fn deliver(
    messages: Vec<(Member, impl AsRef<[u8]>)>,
    joining: &mut Members,
    present: &mut Members,
    now: u64,
    sent: &mut Vec<Vec<u8>>,
) {
    let mut waiting: Vec<(String, Vec<u8>)> = Vec::new();
    for (receiver, bytes) in messages {
        waiting.push((receiver.name, bytes.as_ref().to_vec()));
    }
    while !waiting.is_empty() {
        let (receiver, bytes) = waiting.remove(0);
        let answers = if receiver == RECEIVER {
            present.heard(&bytes, now)
        } else {
            joining.heard(&bytes, now)
        };
        sent.push(bytes);
        for (receiver, answer) in answers {
            waiting.push((receiver.name, answer.to_vec()));
        }
    }
}

/// The samples of the membership protocol, numbered in the order sent.
fn membership_samples() -> Vec<(String, Body)> {
    let number = |(index, bytes)| (format!("gossip-{index:02}"), Body::Gossip(bytes));
    membership_exchange()
        .into_iter()
        .enumerate()
        .map(number)
        .collect()
}

/// Every sample: its name and the message in its envelope. The first sample is there from an IPv6 address, too.
fn samples() -> Vec<(String, Envelope)> {
    let bodies = [
        lease_server_messages(),
        lease_answers(),
        figures_messages(),
        roll_messages(),
        trials_messages(),
        budget_messages(),
    ]
    .concat();
    let named = bodies
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
        let decoded = read(&datagram, FLEET, RECEIVER);
        assert_eq!(decoded, Ok(expected), "{name}");
    }
}

#[test]
fn same_messages_are_encoded_as_the_same_datagrams() {
    for (name, envelope) in samples() {
        assert_equals_golden_file(&file_name(&name), &write(&envelope));
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
    let Body::Gossip(announcement) = read(&datagram, FLEET, RECEIVER).unwrap().body else {
        panic!("expected a message of the membership protocol");
    };
    let mut members = Members::new(present_member(), PROBE_INTERVAL, 2);
    members.heard(&announcement, 0);
    let known: Vec<&Member> = members.others().collect();
    assert_eq!(known, [&joining_member()]);
    assert_eq!(members.garbled, 0);
}
