//! Tests of the resolver against stub servers without sockets: every fault, in simulated time.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use poppykeel_dns_resolver::{
    decode_response, AddressFamily, Micros, Resolver, ResolverConfig, ResolverEvent, ServiceLookup,
    SocketId, Transmit,
};
use poppykeel_stub_dns_server::{
    AfterReply, FaultRule, FaultyReply, Reply, Responder, Script, Transport, ZoneRecord,
};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::SeedableRng;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

const SERVICE: &str = "_llm._tcp.example.test";
const SECOND: Micros = 1_000_000;

/// What is delivered to the resolver at some time; what comes at the same time keeps the order in which it was sent.
enum Delivery {
    Datagram {
        socket: SocketId,
        from: SocketAddr,
        bytes: Vec<u8>,
    },
    StreamBytes {
        socket: SocketId,
        bytes: Vec<u8>,
    },
    Closed {
        socket: SocketId,
    },
}

/// A network with name servers by address; one that is not there never replies. Each delivery takes a millisecond.
struct SimulatedNetwork {
    now: Micros,
    servers: BTreeMap<SocketAddr, Responder>,
    /// By time and number.
    deliveries: BTreeMap<(Micros, u64), Delivery>,
    open_sockets: BTreeSet<SocketId>,
    delivery_count: u64,
    resolver: Resolver,
    events: Vec<(Micros, ResolverEvent)>,
}

/// When a reply with this delay is delivered.
fn delivery_time(delay: Duration) -> Micros {
    SECOND / 1000 + delay.as_micros() as Micros
}

/// The address of a name server.
fn ns(index: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 5300 + index))
}

/// The address of a server of the service.
fn server(index: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 1, 1], 8000 + index))
}

fn service(ttl: u32, count: u16) -> Script {
    let servers: Vec<SocketAddr> = (0..count).map(server).collect();
    Script {
        negative_ttl: Some(7),
        ..Script::service(SERVICE, ttl, &servers)
    }
}

impl SimulatedNetwork {
    fn new(scripts: Vec<Script>) -> SimulatedNetwork {
        let config = ResolverConfig::new(SERVICE, (0..scripts.len() as u16).map(ns).collect());
        SimulatedNetwork::with(config, scripts)
    }

    fn with(config: ResolverConfig, scripts: Vec<Script>) -> SimulatedNetwork {
        let servers = scripts
            .into_iter()
            .enumerate()
            .map(|(index, script)| (ns(index as u16), Responder::new(script)))
            .collect();
        let resolver = Resolver::new(config, StdRng::seed_from_u64(7), 0).unwrap();
        let (deliveries, open_sockets, delivery_count, events) = Default::default();
        SimulatedNetwork {
            now: 0,
            servers,
            deliveries,
            open_sockets,
            delivery_count,
            resolver,
            events,
        }
    }

    fn deliver_later(&mut self, after: Micros, delivery: Delivery) {
        self.delivery_count += 1;
        self.deliveries
            .insert((self.now + after, self.delivery_count), delivery);
    }

    fn carry_out(&mut self) {
        while let Some(transmit) = self.resolver.poll_transmit() {
            self.carry_out_transmit(transmit);
        }
        while let Some(event) = self.resolver.poll_event() {
            self.events.push((self.now, event));
        }
    }

    fn carry_out_transmit(&mut self, transmit: Transmit) {
        let (socket, to, bytes, transport) = match transmit {
            Transmit::Udp {
                socket,
                server,
                message,
            } => (socket, server, message, Transport::Udp),
            Transmit::Tcp {
                socket,
                server,
                framed_message,
            } => (socket, server, framed_message[2..].to_vec(), Transport::Tcp),
            Transmit::Close { socket } => {
                self.open_sockets.remove(&socket);
                return;
            }
        };
        self.open_sockets.insert(socket);
        assert!(self.open_sockets.len() <= 64 * 4, "sockets are bounded");
        let Some(server) = self.servers.get_mut(&to) else {
            return;
        };
        for reply in server.reply(&bytes, transport) {
            match transport {
                Transport::Udp => self.deliver_datagram(socket, to, reply),
                Transport::Tcp => self.deliver_over_stream(socket, reply),
            }
        }
    }

    fn deliver_datagram(&mut self, socket: SocketId, to: SocketAddr, reply: Reply) {
        let from = if reply.uses_other_port { ns(99) } else { to };
        let delivery = Delivery::Datagram {
            socket,
            from,
            bytes: reply.bytes,
        };
        self.deliver_later(delivery_time(reply.delay), delivery);
    }

    fn deliver_over_stream(&mut self, socket: SocketId, reply: Reply) {
        let after = delivery_time(reply.delay);
        let mut framed = (reply.bytes.len() as u16).to_be_bytes().to_vec();
        framed.extend(reply.bytes);
        framed.truncate(reply.max_bytes.unwrap_or(usize::MAX));
        let size = if reply.is_byte_by_byte {
            1
        } else {
            framed.len().max(1)
        };
        for piece in framed.chunks(size) {
            let bytes = piece.to_vec();
            self.deliver_later(after, Delivery::StreamBytes { socket, bytes });
        }
        if reply.after != AfterReply::StayQuiet {
            self.deliver_later(after, Delivery::Closed { socket });
        }
    }

    fn run(&mut self, until: Micros) {
        loop {
            let timer = self.resolver.next_timer();
            let next_delivery = self.deliveries.first_key_value().map(|(at, _)| at.0);
            let next = next_delivery.map_or(timer, |delivery| delivery.min(timer));
            if next > until {
                self.now = until;
                return;
            }
            self.now = self.now.max(next);
            if next_delivery.is_some_and(|delivery| delivery <= self.now) {
                let (_, delivery) = self.deliveries.pop_first().unwrap();
                self.deliver(delivery);
            } else {
                self.resolver.on_timer(self.now);
            }
            self.carry_out();
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Datagram {
                socket,
                from,
                bytes,
            } => self.resolver.on_datagram(self.now, socket, from, &bytes),
            Delivery::StreamBytes { socket, bytes } => {
                self.resolver.on_stream_bytes(self.now, socket, &bytes);
            }
            Delivery::Closed { socket } => self.resolver.on_closed(self.now, socket, "closed"),
        }
    }

    fn lists(&self) -> Vec<(Micros, &ServiceLookup)> {
        self.events
            .iter()
            .filter_map(|(at, event)| {
                if let ResolverEvent::Listed(lookup) = event {
                    Some((*at, lookup))
                } else {
                    None
                }
            })
            .collect()
    }

    fn last(&self) -> &ServiceLookup {
        self.lists().last().expect("a list").1
    }

    fn failures(&self) -> usize {
        self.events
            .iter()
            .filter(|(_, event)| matches!(event, ResolverEvent::Failed { .. }))
            .count()
    }
}

fn addrs(found: &ServiceLookup) -> Vec<u16> {
    found
        .endpoints
        .iter()
        .map(|endpoint| endpoint.addr.port() - 8000)
        .collect()
}

#[test]
fn looks_a_service_up_again_when_its_shortest_ttl_is_over() {
    let mut network = SimulatedNetwork::new(vec![service(30, 3)]);
    network.run(95 * SECOND);
    assert_eq!(addrs(network.last()), [0, 1, 2]);
    let first = &network.last().endpoints[0];
    assert_eq!(
        (first.target.as_str(), first.priority, first.weight),
        ("s0.example.test", 10, 10)
    );
    let times: Vec<Micros> = network.lists().iter().map(|(at, _)| at / SECOND).collect();
    assert_eq!(times, [0, 30, 60, 90]);
    // The addresses came along: nothing else was asked.
    assert_eq!(
        network.servers[&ns(0)].question_counts().len(),
        1,
        "{:?}",
        network.servers[&ns(0)].question_counts()
    );
}

#[test]
fn asks_for_missing_addresses_and_for_the_second_family_only_without_the_first() {
    let mut script = Script {
        adds_addresses: false,
        ..service(30, 2)
    };
    script.records[3] = ZoneRecord {
        record_type: "AAAA".into(),
        data: "::1".into(),
        ..script.records[3].clone()
    };
    let mut network = SimulatedNetwork::new(vec![script]);
    network.run(SECOND);
    let found: Vec<String> = network
        .last()
        .endpoints
        .iter()
        .map(|endpoint| endpoint.addr.to_string())
        .collect();
    assert_eq!(found, ["127.0.1.1:8000", "[::1]:8001"]);
    assert!(!network.servers[&ns(0)]
        .question_counts()
        .contains_key("s0.example.test AAAA"));
    // That there is no A record is believed no longer than the zone says.
    assert_eq!(network.last().expires_at / SECOND, 7);
}

#[test]
fn takes_only_addresses_of_targets_from_the_additional_section() {
    let mut script = service(30, 1).with_fault(FaultyReply::UnrelatedAddress);
    // A target whose address is not known elsewhere must not be taken from another's answer.
    script.records.push(ZoneRecord {
        name: SERVICE.into(),
        record_type: "SRV".into(),
        ttl: 30,
        data: "1 1 8009 gone.example.test".into(),
    });
    let mut network = SimulatedNetwork::new(vec![script]);
    network.run(SECOND);
    assert_eq!(addrs(network.last()), [0]);
    assert!(network
        .last()
        .endpoints
        .iter()
        .all(|endpoint| endpoint.addr.ip().to_string() != "127.0.0.66"));
}

#[test]
fn uses_the_shortest_ttl_of_the_alias_chain_within_the_bounds() {
    for (ttl, after) in [
        (0, 1),
        (u32::MAX, 1),
        (1 << 31, 1),
        (i32::MAX as u32, 300),
        (20, 20),
    ] {
        let mut network =
            SimulatedNetwork::new(vec![service(9, 1).with_fault(FaultyReply::Ttl(ttl))]);
        network.run(SECOND / 2);
        assert_eq!(network.last().expires_at / SECOND, after, "ttl {ttl}");
    }
    let mut script = Script {
        adds_addresses: false,
        ..service(50, 1)
    };
    let record = |name: &str, kind: &str, ttl, data: &str| ZoneRecord {
        name: name.into(),
        record_type: kind.into(),
        ttl,
        data: data.into(),
    };
    script.records[1] = record("s0.example.test", "CNAME", 40, "real.example.test");
    script
        .records
        .push(record("real.example.test", "A", 60, "127.0.1.1"));
    for follows_aliases in [true, false] {
        let mut network = SimulatedNetwork::new(vec![Script {
            follows_aliases,
            ..script.clone()
        }]);
        network.run(SECOND);
        assert_eq!(addrs(network.last()), [0]);
        assert_eq!(
            network.last().expires_at / SECOND,
            40,
            "follows aliases: {follows_aliases}"
        );
    }
}

#[test]
fn asks_the_next_server_after_any_faulty_reply() {
    let lies = [
        FaultyReply::NoReply,
        FaultyReply::WrongId,
        FaultyReply::OtherPort,
        FaultyReply::OtherQuestion,
        FaultyReply::Garbage,
        FaultyReply::ResponseCode(2),
        FaultyReply::ResponseCode(5),
        FaultyReply::Referral,
        FaultyReply::TruncateTcp,
    ];
    for lie in lies {
        let bad = match lie {
            FaultyReply::TruncateTcp => service(30, 3)
                .with_fault(FaultyReply::Truncate)
                .with_fault(lie.clone()),
            _ => service(30, 3).with_fault(lie.clone()),
        };
        let mut network = SimulatedNetwork::new(vec![bad, service(30, 3)]);
        network.run(5 * SECOND);
        assert_eq!(addrs(network.last()), [0, 1, 2], "{lie:?}");
        assert_eq!(network.failures(), 0, "{lie:?}");
    }
}

#[test]
fn counts_late_and_duplicate_replies_once() {
    for lie in [
        FaultyReply::Delay(300),
        FaultyReply::Duplicate,
        FaultyReply::Delay(900),
    ] {
        let mut network = SimulatedNetwork::new(vec![service(30, 2).with_fault(lie.clone())]);
        network.run(20 * SECOND);
        assert_eq!(network.lists().len(), 1, "{lie:?}");
        assert_eq!(addrs(network.last()), [0, 1]);
    }
}

#[test]
fn asks_over_tcp_after_a_truncated_reply() {
    for more in [FaultyReply::Truncate, FaultyReply::ByteByByte] {
        let mut network = SimulatedNetwork::new(vec![service(30, 3)
            .with_fault(FaultyReply::Truncate)
            .with_fault(more)]);
        network.run(5 * SECOND);
        assert_eq!(addrs(network.last()), [0, 1, 2]);
        assert!(network.resolver.counters().tcp_attempts > 0);
    }
    // Half a message and then silence is let go in time; the second server has it.
    let half = service(30, 3)
        .with_fault(FaultyReply::Truncate)
        .with_fault(FaultyReply::HalfTcp);
    let mut network = SimulatedNetwork::new(vec![half, service(30, 3)]);
    network.run(5 * SECOND);
    assert_eq!(addrs(network.last()), [0, 1, 2]);
}

#[test]
fn asks_without_edns_after_a_format_error() {
    let mut script = service(30, 2);
    script.rules.push(FaultRule {
        name: None,
        record_type: None,
        from: 0,
        to: Some(1),
        fault: FaultyReply::ResponseCode(1),
    });
    let mut network = SimulatedNetwork::new(vec![script]);
    network.run(SECOND / 10);
    assert_eq!(addrs(network.last()), [0, 1]);
}

#[test]
fn treats_an_alias_loop_as_a_failure_and_not_as_an_empty_list() {
    let mut network = SimulatedNetwork::new(vec![service(2, 2)]);
    network.run(SECOND);
    network
        .servers
        .get_mut(&ns(0))
        .unwrap()
        .set_script(service(2, 2).with_fault(FaultyReply::AliasLoop));
    network.run(60 * SECOND);
    assert_eq!(
        (network.lists().len(), addrs(network.last())),
        (1, vec![0, 1])
    );
    assert!(network.failures() > 2);
}

#[test]
fn reports_an_empty_list_with_a_reason_and_a_short_ttl() {
    for lie in [FaultyReply::NxDomain, FaultyReply::Empty] {
        let mut network = SimulatedNetwork::new(vec![service(30, 2).with_fault(lie)]);
        network.run(SECOND);
        assert!(network.last().endpoints.is_empty() && network.last().empty_reason.is_some());
    }
    let mut network = SimulatedNetwork::new(vec![Script {
        negative_ttl: Some(7),
        adds_addresses: true,
        ..Script::default()
    }]);
    network.run(SECOND);
    assert_eq!(network.last().expires_at / SECOND, 7);
    let none = ZoneRecord {
        name: SERVICE.into(),
        record_type: "SRV".into(),
        ttl: 30,
        data: "0 0 0 .".into(),
    };
    let mut network = SimulatedNetwork::new(vec![Script {
        records: vec![none],
        ..Script::default()
    }]);
    network.run(SECOND);
    assert!(network
        .last()
        .empty_reason
        .is_some_and(|reason| reason.to_string().contains("\".\"")));
}

#[test]
fn takes_a_new_list_from_servers_that_were_unresponsive_for_an_hour() {
    let mut network = SimulatedNetwork::new(vec![service(10, 2), service(10, 2)]);
    network.run(SECOND);
    network
        .servers
        .values_mut()
        .for_each(|server| server.set_script(service(10, 2).with_fault(FaultyReply::NoReply)));
    network.run(3600 * SECOND);
    assert_eq!(network.lists().len(), 1);
    let (asked, failures) = (
        network.resolver.counters().udp_attempts,
        network.failures() as u64,
    );
    // It is asked on, but not hammered.
    assert!(
        (60..400).contains(&failures) && asked <= 4 * failures + 4,
        "{asked} {failures}"
    );
    network
        .servers
        .values_mut()
        .for_each(|server| server.set_script(service(10, 5)));
    network.run(3660 * SECOND);
    assert_eq!(addrs(network.last()), [0, 1, 2, 3, 4]);
}

#[test]
fn keeps_the_last_address_of_a_target_without_an_answer() {
    let mut script = Script {
        adds_addresses: false,
        ..service(5, 3)
    };
    let mut network = SimulatedNetwork::new(vec![script.clone()]);
    network.run(SECOND);
    let silent = |name: &str| FaultRule {
        name: Some(name.into()),
        record_type: None,
        from: 0,
        to: None,
        fault: FaultyReply::NoReply,
    };
    script.rules = vec![silent("s1.example.test")];
    network.servers.get_mut(&ns(0)).unwrap().set_script(script);
    network.run(100 * SECOND);
    assert_eq!(addrs(network.last()), [0, 1, 2]);
    assert!(network.last().endpoints[1].is_stale && !network.last().endpoints[0].is_stale);
    assert_eq!(network.last().unresolved.len(), 1);
}

#[test]
fn reads_two_thousand_records_over_tcp() {
    // Short names, so that the answer fits into the 65,535 bytes of a message.
    let mut script = Script {
        adds_addresses: false,
        ..Script::service("_s._t", 30, &[])
    };
    for n in 0..2000_u16 {
        let (name, addr) = (
            format!("{n}.t"),
            format!("127.1.{}.{}", n / 250, n % 250 + 1),
        );
        let data = format!("0 1 8000 {name}");
        script.records.push(ZoneRecord {
            name: "_s._t".into(),
            record_type: "SRV".into(),
            ttl: 30,
            data,
        });
        script.records.push(ZoneRecord {
            name,
            record_type: "A".into(),
            ttl: 30,
            data: addr,
        });
    }
    let mut network = SimulatedNetwork::with(
        ResolverConfig {
            families: vec![AddressFamily::V4],
            ..ResolverConfig::new("_s._t", vec![ns(0)])
        },
        vec![script],
    );
    network.run(5 * SECOND);
    assert_eq!(network.last().endpoints.len(), 2000);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever comes, nothing panics, and an honest second server is always found in the end.
    #[test]
    fn survives_mutated_replies(
        cuts in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..12),
        tcp in any::<bool>(),
        noise in prop::collection::vec(any::<u8>(), 0..64),
    ) {
        let _ = decode_response(&noise);
        let bad = if tcp { service(30, 3).with_fault(FaultyReply::Truncate) } else { service(30, 3) };
        let mut network = SimulatedNetwork::new(vec![bad, service(30, 3)]);
        // The first answer that comes is spoilt, whichever it is.
        network.resolver.on_timer(0);
        network.carry_out();
        for delivery in network.deliveries.values_mut() {
            let (Delivery::Datagram { bytes, .. } | Delivery::StreamBytes { bytes, .. }) = delivery else { continue };
            for (at, value) in &cuts {
                let at = at.index(bytes.len());
                bytes[at] = *value;
            }
            let _ = decode_response(bytes);
        }
        network.run(20 * SECOND);
        prop_assert!(!network.lists().is_empty() || network.failures() > 0);
    }

    /// A list is never empty because servers lie without saying that nothing is there.
    #[test]
    fn never_reports_an_empty_list_after_failures(kinds in prop::collection::vec(0..10_usize, 1..30)) {
        let lies = [
            FaultyReply::NoReply, FaultyReply::WrongId, FaultyReply::OtherPort, FaultyReply::OtherQuestion, FaultyReply::Garbage, FaultyReply::ResponseCode(2),
            FaultyReply::AliasLoop, FaultyReply::Referral, FaultyReply::Duplicate, FaultyReply::Delay(700),
        ];
        let mut network = SimulatedNetwork::new(vec![service(3, 3), service(3, 3)]);
        for (n, kind) in kinds.iter().enumerate() {
            let script = service(3, 3).with_fault(lies[*kind].clone());
            network.servers.get_mut(&ns((n % 2) as u16)).unwrap().set_script(script);
            network.run(network.now + 4 * SECOND);
        }
        for (_, found) in network.lists() {
            prop_assert_eq!(addrs(found), vec![0, 1, 2]);
        }
    }
}
