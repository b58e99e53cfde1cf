//! Tests of the resolver against stub servers with all faults, without sockets and in simulated time.

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

/// An event for the resolver. Events at the same time are delivered in the order in which they were scheduled.
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

/// A network of name servers. An address without a server never replies. Each delivery takes at least one millisecond.
struct SimulatedNetwork {
    now: Micros,
    servers: BTreeMap<SocketAddr, Responder>,
    /// Scheduled deliveries, by time and sequence number.
    deliveries: BTreeMap<(Micros, u64), Delivery>,
    open_sockets: BTreeSet<SocketId>,
    delivery_count: u64,
    resolver: Resolver,
    events: Vec<(Micros, ResolverEvent)>,
}

/// The time from a query to the delivery of a reply with this delay.
fn delivery_time(delay: Duration) -> Micros {
    SECOND / 1000 + delay.as_micros() as Micros
}

fn name_server(index: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 5300 + index))
}

fn target_addr(index: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 1, 1], 8000 + index))
}

fn service_script(ttl: u32, count: u16) -> Script {
    let servers: Vec<SocketAddr> = (0..count).map(target_addr).collect();
    Script {
        negative_ttl: Some(7),
        ..Script::service(SERVICE, ttl, &servers)
    }
}

impl SimulatedNetwork {
    fn new(scripts: Vec<Script>) -> SimulatedNetwork {
        let config = ResolverConfig::new(
            SERVICE,
            (0..scripts.len() as u16).map(name_server).collect(),
        );
        SimulatedNetwork::with_config(config, scripts)
    }

    fn with_config(config: ResolverConfig, scripts: Vec<Script>) -> SimulatedNetwork {
        let servers = scripts
            .into_iter()
            .enumerate()
            .map(|(index, script)| (name_server(index as u16), Responder::new(script)))
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

    fn schedule(&mut self, after: Micros, delivery: Delivery) {
        self.delivery_count += 1;
        self.deliveries
            .insert((self.now + after, self.delivery_count), delivery);
    }

    fn process_output(&mut self) {
        while let Some(transmit) = self.resolver.poll_transmit() {
            self.execute_transmit(transmit);
        }
        while let Some(event) = self.resolver.poll_event() {
            self.events.push((self.now, event));
        }
    }

    fn execute_transmit(&mut self, transmit: Transmit) {
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
                Transport::Udp => self.schedule_datagram(socket, to, reply),
                Transport::Tcp => self.schedule_stream_bytes(socket, reply),
            }
        }
    }

    fn schedule_datagram(&mut self, socket: SocketId, to: SocketAddr, reply: Reply) {
        let from = if reply.uses_other_port {
            name_server(99)
        } else {
            to
        };
        let delivery = Delivery::Datagram {
            socket,
            from,
            bytes: reply.bytes,
        };
        self.schedule(delivery_time(reply.delay), delivery);
    }

    fn schedule_stream_bytes(&mut self, socket: SocketId, reply: Reply) {
        let after = delivery_time(reply.delay);
        let mut framed = (reply.bytes.len() as u16).to_be_bytes().to_vec();
        framed.extend(reply.bytes);
        framed.truncate(reply.max_bytes.unwrap_or(usize::MAX));
        let size = if reply.is_byte_by_byte {
            1
        } else {
            framed.len().max(1)
        };
        for chunk in framed.chunks(size) {
            let bytes = chunk.to_vec();
            self.schedule(after, Delivery::StreamBytes { socket, bytes });
        }
        if reply.after != AfterReply::StopResponding {
            self.schedule(after, Delivery::Closed { socket });
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
            self.process_output();
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

    fn lookups(&self) -> Vec<(Micros, &ServiceLookup)> {
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

    fn last_lookup(&self) -> &ServiceLookup {
        self.lookups().last().expect("at least one lookup").1
    }

    fn failure_count(&self) -> usize {
        self.events
            .iter()
            .filter(|(_, event)| matches!(event, ResolverEvent::Failed { .. }))
            .count()
    }
}

fn target_indexes(lookup: &ServiceLookup) -> Vec<u16> {
    lookup
        .endpoints
        .iter()
        .map(|endpoint| endpoint.addr.port() - 8000)
        .collect()
}

#[test]
fn repeats_the_lookup_when_the_shortest_ttl_expires() {
    let mut network = SimulatedNetwork::new(vec![service_script(30, 3)]);
    network.run(95 * SECOND);
    assert_eq!(target_indexes(network.last_lookup()), [0, 1, 2]);
    let first = &network.last_lookup().endpoints[0];
    assert_eq!(
        (first.target.as_str(), first.priority, first.weight),
        ("s0.example.test", 10, 10)
    );
    let times: Vec<Micros> = network
        .lookups()
        .iter()
        .map(|(at, _)| at / SECOND)
        .collect();
    assert_eq!(times, [0, 30, 60, 90]);
    // The additional section has the addresses, so no other question was sent.
    assert_eq!(
        network.servers[&name_server(0)].question_counts().len(),
        1,
        "{:?}",
        network.servers[&name_server(0)].question_counts()
    );
}

#[test]
fn queries_missing_addresses_and_the_second_family_only_if_the_first_has_none() {
    let mut script = Script {
        adds_addresses: false,
        ..service_script(30, 2)
    };
    script.records[3] = ZoneRecord {
        record_type: "AAAA".into(),
        data: "::1".into(),
        ..script.records[3].clone()
    };
    let mut network = SimulatedNetwork::new(vec![script]);
    network.run(SECOND);
    let found: Vec<String> = network
        .last_lookup()
        .endpoints
        .iter()
        .map(|endpoint| endpoint.addr.to_string())
        .collect();
    assert_eq!(found, ["127.0.1.1:8000", "[::1]:8001"]);
    assert!(!network.servers[&name_server(0)]
        .question_counts()
        .contains_key("s0.example.test AAAA"));
    // The negative answer for the A record is cached for the TTL in the zone's SOA record.
    assert_eq!(network.last_lookup().expires_at / SECOND, 7);
}

#[test]
fn accepts_only_addresses_of_targets_from_the_additional_section() {
    let mut script = service_script(30, 1).with_fault(FaultyReply::UnrelatedAddress);
    // A target without an address record of its own must not get an unrelated address.
    script.records.push(ZoneRecord {
        name: SERVICE.into(),
        record_type: "SRV".into(),
        ttl: 30,
        data: "1 1 8009 gone.example.test".into(),
    });
    let mut network = SimulatedNetwork::new(vec![script]);
    network.run(SECOND);
    assert_eq!(target_indexes(network.last_lookup()), [0]);
    assert!(network
        .last_lookup()
        .endpoints
        .iter()
        .all(|endpoint| endpoint.addr.ip().to_string() != "127.0.0.66"));
}

#[test]
fn uses_the_shortest_ttl_of_the_alias_chain_within_the_bounds() {
    for (ttl, expected_s) in [
        (0, 1),
        (u32::MAX, 1),
        (1 << 31, 1),
        (i32::MAX as u32, 300),
        (20, 20),
    ] {
        let mut network =
            SimulatedNetwork::new(vec![service_script(9, 1).with_fault(FaultyReply::Ttl(ttl))]);
        network.run(SECOND / 2);
        assert_eq!(
            network.last_lookup().expires_at / SECOND,
            expected_s,
            "ttl {ttl}"
        );
    }
    let mut script = Script {
        adds_addresses: false,
        ..service_script(50, 1)
    };
    let record = |name: &str, record_type: &str, ttl, data: &str| ZoneRecord {
        name: name.into(),
        record_type: record_type.into(),
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
        assert_eq!(target_indexes(network.last_lookup()), [0]);
        assert_eq!(
            network.last_lookup().expires_at / SECOND,
            40,
            "follows aliases: {follows_aliases}"
        );
    }
}

#[test]
fn queries_the_next_server_after_any_faulty_reply() {
    let faults = [
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
    for fault in faults {
        let faulty_script = match fault {
            FaultyReply::TruncateTcp => service_script(30, 3)
                .with_fault(FaultyReply::Truncate)
                .with_fault(fault.clone()),
            _ => service_script(30, 3).with_fault(fault.clone()),
        };
        let mut network = SimulatedNetwork::new(vec![faulty_script, service_script(30, 3)]);
        network.run(5 * SECOND);
        assert_eq!(
            target_indexes(network.last_lookup()),
            [0, 1, 2],
            "{fault:?}"
        );
        assert_eq!(network.failure_count(), 0, "{fault:?}");
    }
}

#[test]
fn accepts_late_and_duplicate_replies_once() {
    for fault in [
        FaultyReply::Delay(300),
        FaultyReply::Duplicate,
        FaultyReply::Delay(900),
    ] {
        let mut network =
            SimulatedNetwork::new(vec![service_script(30, 2).with_fault(fault.clone())]);
        network.run(20 * SECOND);
        assert_eq!(network.lookups().len(), 1, "{fault:?}");
        assert_eq!(target_indexes(network.last_lookup()), [0, 1]);
    }
}

#[test]
fn queries_over_tcp_after_a_truncated_reply() {
    for tcp_fault in [FaultyReply::Truncate, FaultyReply::ByteByByte] {
        let mut network = SimulatedNetwork::new(vec![service_script(30, 3)
            .with_fault(FaultyReply::Truncate)
            .with_fault(tcp_fault)]);
        network.run(5 * SECOND);
        assert_eq!(target_indexes(network.last_lookup()), [0, 1, 2]);
        assert!(network.resolver.counters().tcp_attempts > 0);
    }
    // After an incomplete message over TCP the attempt times out, and the second server answers.
    let partial_script = service_script(30, 3)
        .with_fault(FaultyReply::Truncate)
        .with_fault(FaultyReply::HalfTcp);
    let mut network = SimulatedNetwork::new(vec![partial_script, service_script(30, 3)]);
    network.run(5 * SECOND);
    assert_eq!(target_indexes(network.last_lookup()), [0, 1, 2]);
}

#[test]
fn queries_without_edns_after_a_format_error() {
    let mut script = service_script(30, 2);
    script.rules.push(FaultRule {
        name: None,
        record_type: None,
        from: 0,
        to: Some(1),
        fault: FaultyReply::ResponseCode(1),
    });
    let mut network = SimulatedNetwork::new(vec![script]);
    network.run(SECOND / 10);
    assert_eq!(target_indexes(network.last_lookup()), [0, 1]);
}

#[test]
fn treats_an_alias_loop_as_a_failure_and_not_as_an_empty_list() {
    let mut network = SimulatedNetwork::new(vec![service_script(2, 2)]);
    network.run(SECOND);
    network
        .servers
        .get_mut(&name_server(0))
        .unwrap()
        .set_script(service_script(2, 2).with_fault(FaultyReply::AliasLoop));
    network.run(60 * SECOND);
    assert_eq!(
        (
            network.lookups().len(),
            target_indexes(network.last_lookup())
        ),
        (1, vec![0, 1])
    );
    assert!(network.failure_count() > 2);
}

#[test]
fn reports_an_empty_list_with_a_reason_and_a_short_ttl() {
    for fault in [FaultyReply::NxDomain, FaultyReply::Empty] {
        let mut network = SimulatedNetwork::new(vec![service_script(30, 2).with_fault(fault)]);
        network.run(SECOND);
        assert!(
            network.last_lookup().endpoints.is_empty()
                && network.last_lookup().empty_reason.is_some()
        );
    }
    let mut network = SimulatedNetwork::new(vec![Script {
        negative_ttl: Some(7),
        adds_addresses: true,
        ..Script::default()
    }]);
    network.run(SECOND);
    assert_eq!(network.last_lookup().expires_at / SECOND, 7);
    let no_target = ZoneRecord {
        name: SERVICE.into(),
        record_type: "SRV".into(),
        ttl: 30,
        data: "0 0 0 .".into(),
    };
    let mut network = SimulatedNetwork::new(vec![Script {
        records: vec![no_target],
        ..Script::default()
    }]);
    network.run(SECOND);
    assert!(network
        .last_lookup()
        .empty_reason
        .is_some_and(|reason| reason.to_string().contains("\".\"")));
}

#[test]
fn recovers_after_servers_were_unresponsive_for_an_hour() {
    let mut network = SimulatedNetwork::new(vec![service_script(10, 2), service_script(10, 2)]);
    network.run(SECOND);
    network.servers.values_mut().for_each(|server| {
        server.set_script(service_script(10, 2).with_fault(FaultyReply::NoReply));
    });
    network.run(3600 * SECOND);
    assert_eq!(network.lookups().len(), 1);
    let (attempt_count, failure_count) = (
        network.resolver.counters().udp_attempts,
        network.failure_count() as u64,
    );
    // The resolver retries, but with increasing pauses.
    assert!(
        (60..400).contains(&failure_count) && attempt_count <= 4 * failure_count + 4,
        "{attempt_count} attempts, {failure_count} failures"
    );
    network
        .servers
        .values_mut()
        .for_each(|server| server.set_script(service_script(10, 5)));
    network.run(3660 * SECOND);
    assert_eq!(target_indexes(network.last_lookup()), [0, 1, 2, 3, 4]);
}

#[test]
fn keeps_the_last_known_address_of_a_target_that_cannot_be_refreshed() {
    let mut script = Script {
        adds_addresses: false,
        ..service_script(5, 3)
    };
    let mut network = SimulatedNetwork::new(vec![script.clone()]);
    network.run(SECOND);
    let no_reply_rule = |name: &str| FaultRule {
        name: Some(name.into()),
        record_type: None,
        from: 0,
        to: None,
        fault: FaultyReply::NoReply,
    };
    script.rules = vec![no_reply_rule("s1.example.test")];
    network
        .servers
        .get_mut(&name_server(0))
        .unwrap()
        .set_script(script);
    network.run(100 * SECOND);
    assert_eq!(target_indexes(network.last_lookup()), [0, 1, 2]);
    assert!(
        network.last_lookup().endpoints[1].is_stale && !network.last_lookup().endpoints[0].is_stale
    );
    assert_eq!(network.last_lookup().unresolved.len(), 1);
}

#[test]
fn reads_two_thousand_records_over_tcp() {
    // Short names, so that the answer fits into a message of 65,535 bytes.
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
    let mut network = SimulatedNetwork::with_config(
        ResolverConfig {
            families: vec![AddressFamily::V4],
            ..ResolverConfig::new("_s._t", vec![name_server(0)])
        },
        vec![script],
    );
    network.run(5 * SECOND);
    assert_eq!(network.last_lookup().endpoints.len(), 2000);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    /// Mutated replies cause no panic, and a refresh always ends with a result or a failure.
    #[test]
    fn survives_mutated_replies(
        mutations in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..12),
        tcp in any::<bool>(),
        noise in prop::collection::vec(any::<u8>(), 0..64),
    ) {
        let _ = decode_response(&noise);
        let faulty_script = if tcp { service_script(30, 3).with_fault(FaultyReply::Truncate) } else { service_script(30, 3) };
        let mut network = SimulatedNetwork::new(vec![faulty_script, service_script(30, 3)]);
        // Mutates all replies to the first query.
        network.resolver.on_timer(0);
        network.process_output();
        for delivery in network.deliveries.values_mut() {
            let (Delivery::Datagram { bytes, .. } | Delivery::StreamBytes { bytes, .. }) = delivery else { continue };
            for (at, value) in &mutations {
                let at = at.index(bytes.len());
                bytes[at] = *value;
            }
            let _ = decode_response(bytes);
        }
        network.run(20 * SECOND);
        prop_assert!(!network.lookups().is_empty() || network.failure_count() > 0);
    }

    /// Faulty replies that are not negative answers never lead to an empty or incomplete list.
    #[test]
    fn never_reports_an_empty_list_after_failures(fault_indexes in prop::collection::vec(0..10_usize, 1..30)) {
        let faults = [
            FaultyReply::NoReply, FaultyReply::WrongId, FaultyReply::OtherPort, FaultyReply::OtherQuestion, FaultyReply::Garbage, FaultyReply::ResponseCode(2),
            FaultyReply::AliasLoop, FaultyReply::Referral, FaultyReply::Duplicate, FaultyReply::Delay(700),
        ];
        let mut network = SimulatedNetwork::new(vec![service_script(3, 3), service_script(3, 3)]);
        for (n, fault_index) in fault_indexes.iter().enumerate() {
            let script = service_script(3, 3).with_fault(faults[*fault_index].clone());
            network.servers.get_mut(&name_server((n % 2) as u16)).unwrap().set_script(script);
            network.run(network.now + 4 * SECOND);
        }
        for (_, lookup) in network.lookups() {
            prop_assert_eq!(target_indexes(lookup), vec![0, 1, 2]);
        }
    }
}
