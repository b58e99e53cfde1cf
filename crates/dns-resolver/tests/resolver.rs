//! The resolver against the stand-in without sockets: every lie, in fed time that nobody waits for.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]
#![expect(
    clippy::min_ident_chars,
    clippy::semicolon_if_nothing_returned,
    reason = "not yet converted"
)]

use poppykeel_dns_resolver::{Asked, Config, Event, Family, Found, Key, Micros, Resolver};
use poppykeel_stub_dns_server::{Lie, Over, Record, Rule, Script, Server, Then};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::SeedableRng;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

const SERVICE: &str = "_llm._tcp.example.test";
const SECOND: Micros = 1_000_000;

/// What comes to the resolver at some time; ties go by the order in which they were made.
enum Comes {
    Datagram(Key, SocketAddr, Vec<u8>),
    Bytes(Key, Vec<u8>),
    Closed(Key),
}

/// Name servers by address; one that is not there is silent. Everything takes a millisecond.
struct Net {
    now: Micros,
    servers: BTreeMap<SocketAddr, Server>,
    coming: BTreeMap<(Micros, u64), Comes>,
    open: BTreeSet<Key>,
    made: u64,
    resolver: Resolver,
    events: Vec<(Micros, Event)>,
}

fn ns(n: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 5300 + n))
}

fn server(n: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 1, 1], 8000 + n))
}

fn service(ttl: u32, count: u16) -> Script {
    let servers: Vec<SocketAddr> = (0..count).map(server).collect();
    Script {
        minimum: Some(7),
        ..Script::service(SERVICE, ttl, &servers)
    }
}

impl Net {
    fn new(scripts: Vec<Script>) -> Net {
        let config = Config::new(SERVICE, (0..scripts.len() as u16).map(ns).collect());
        Net::with(config, scripts)
    }

    fn with(config: Config, scripts: Vec<Script>) -> Net {
        let servers = scripts
            .into_iter()
            .enumerate()
            .map(|(n, s)| (ns(n as u16), Server::new(s)))
            .collect();
        let resolver = Resolver::new(config, StdRng::seed_from_u64(7), 0).unwrap();
        let (coming, open, made, events) = Default::default();
        Net {
            now: 0,
            servers,
            coming,
            open,
            made,
            resolver,
            events,
        }
    }

    fn later(&mut self, after: Micros, comes: Comes) {
        self.made += 1;
        self.coming.insert((self.now + after, self.made), comes);
    }

    fn carry_out(&mut self) {
        while let Some(asked) = self.resolver.transmit() {
            let (key, to, bytes, over) = match asked {
                Asked::Udp(key, to, bytes) => (key, to, bytes, Over::Udp),
                Asked::Tcp(key, to, bytes) => (key, to, bytes[2..].to_vec(), Over::Tcp),
                Asked::Close(key) => {
                    self.open.remove(&key);
                    continue;
                }
            };
            self.open.insert(key);
            assert!(self.open.len() <= 64 * 4, "sockets are bounded");
            let Some(server) = self.servers.get_mut(&to) else {
                continue;
            };
            for reply in server.answer(&bytes, over) {
                let after = SECOND / 1000 + reply.after.as_micros() as Micros;
                if over == Over::Udp {
                    let from = if reply.other_port { ns(99) } else { to };
                    self.later(after, Comes::Datagram(key, from, reply.bytes));
                    continue;
                }
                let mut framed = (reply.bytes.len() as u16).to_be_bytes().to_vec();
                framed.extend(reply.bytes);
                framed.truncate(reply.cut.unwrap_or(usize::MAX));
                let size = if reply.drip { 1 } else { framed.len().max(1) };
                for part in framed.chunks(size) {
                    self.later(after, Comes::Bytes(key, part.to_vec()));
                }
                if reply.then != Then::Silence {
                    self.later(after, Comes::Closed(key));
                }
            }
        }
        while let Some(event) = self.resolver.event() {
            self.events.push((self.now, event));
        }
    }

    fn run(&mut self, until: Micros) {
        loop {
            let due = self.resolver.due();
            let coming = self.coming.first_key_value().map(|(at, _)| at.0);
            let next = coming.map_or(due, |c| c.min(due));
            if next > until {
                self.now = until;
                return;
            }
            self.now = self.now.max(next);
            match self.coming.first_key_value() {
                Some((at, _)) if at.0 <= self.now => match self.coming.pop_first().unwrap().1 {
                    Comes::Datagram(key, from, bytes) => {
                        self.resolver.datagram(self.now, key, from, &bytes)
                    }
                    Comes::Bytes(key, bytes) => self.resolver.bytes(self.now, key, &bytes),
                    Comes::Closed(key) => self.resolver.closed(self.now, key, "closed"),
                },
                _ => self.resolver.turn(self.now),
            }
            self.carry_out();
        }
    }

    fn lists(&self) -> Vec<(Micros, &Found)> {
        self.events
            .iter()
            .filter_map(|(at, e)| {
                if let Event::Listed(f) = e {
                    Some((*at, f))
                } else {
                    None
                }
            })
            .collect()
    }

    fn last(&self) -> &Found {
        self.lists().last().expect("a list").1
    }

    fn failures(&self) -> usize {
        self.events
            .iter()
            .filter(|(_, e)| matches!(e, Event::Failed { .. }))
            .count()
    }
}

fn addrs(found: &Found) -> Vec<u16> {
    found
        .endpoints
        .iter()
        .map(|e| e.addr.port() - 8000)
        .collect()
}

#[test]
fn a_service_is_found_and_asked_for_again_when_its_least_lifetime_is_over() {
    let mut net = Net::new(vec![service(30, 3)]);
    net.run(95 * SECOND);
    assert_eq!(addrs(net.last()), [0, 1, 2]);
    let first = &net.last().endpoints[0];
    assert_eq!(
        (first.target.as_str(), first.priority, first.weight),
        ("s0.example.test", 10, 10)
    );
    let times: Vec<Micros> = net.lists().iter().map(|l| l.0 / SECOND).collect();
    assert_eq!(times, [0, 30, 60, 90]);
    // The addresses came along: nothing else was asked.
    assert_eq!(
        net.servers[&ns(0)].asked.len(),
        1,
        "{:?}",
        net.servers[&ns(0)].asked
    );
}

#[test]
fn addresses_that_did_not_come_along_are_asked_for_and_the_second_family_only_without_the_first() {
    let mut script = Script {
        additional: false,
        ..service(30, 2)
    };
    script.record[3] = Record {
        kind: "AAAA".into(),
        data: "::1".into(),
        ..script.record[3].clone()
    };
    let mut net = Net::new(vec![script]);
    net.run(SECOND);
    let found: Vec<String> = net
        .last()
        .endpoints
        .iter()
        .map(|e| e.addr.to_string())
        .collect();
    assert_eq!(found, ["127.0.1.1:8000", "[::1]:8001"]);
    assert!(!net.servers[&ns(0)]
        .asked
        .contains_key("s0.example.test AAAA"));
    // That there is no A record is believed no longer than the zone says.
    assert_eq!(net.last().expires / SECOND, 7);
}

#[test]
fn only_addresses_that_belong_to_the_question_are_taken_from_the_additional_section() {
    let mut script = service(30, 1).lying(Lie::Stuff);
    // A target whose address is not known elsewhere must not be taken from another's answer.
    script.record.push(Record {
        name: SERVICE.into(),
        kind: "SRV".into(),
        ttl: 30,
        data: "1 1 8009 gone.example.test".into(),
    });
    let mut net = Net::new(vec![script]);
    net.run(SECOND);
    assert_eq!(addrs(net.last()), [0]);
    assert!(net
        .last()
        .endpoints
        .iter()
        .all(|e| e.addr.ip().to_string() != "127.0.0.66"));
}

#[test]
fn lifetimes_are_the_least_of_the_chain_within_floor_and_ceiling() {
    for (ttl, after) in [
        (0, 1),
        (u32::MAX, 1),
        (1 << 31, 1),
        (i32::MAX as u32, 300),
        (20, 20),
    ] {
        let mut net = Net::new(vec![service(9, 1).lying(Lie::Ttl(ttl))]);
        net.run(SECOND / 2);
        assert_eq!(net.last().expires / SECOND, after, "ttl {ttl}");
    }
    let mut script = Script {
        additional: false,
        ..service(50, 1)
    };
    let record = |name: &str, kind: &str, ttl, data: &str| Record {
        name: name.into(),
        kind: kind.into(),
        ttl,
        data: data.into(),
    };
    script.record[1] = record("s0.example.test", "CNAME", 40, "real.example.test");
    script
        .record
        .push(record("real.example.test", "A", 60, "127.0.1.1"));
    for chase in [true, false] {
        let mut net = Net::new(vec![Script {
            chase,
            ..script.clone()
        }]);
        net.run(SECOND);
        assert_eq!(addrs(net.last()), [0]);
        assert_eq!(net.last().expires / SECOND, 40, "chase {chase}");
    }
}

#[test]
fn every_lie_over_udp_is_survived_by_asking_the_next_server() {
    let lies = [
        Lie::Silent,
        Lie::WrongId,
        Lie::OtherPort,
        Lie::OtherQuestion,
        Lie::Rubbish,
        Lie::Code(2),
        Lie::Code(5),
        Lie::Refer,
        Lie::TruncateTcp,
    ];
    for lie in lies {
        let bad = match lie {
            Lie::TruncateTcp => service(30, 3).lying(Lie::Truncate).lying(lie.clone()),
            _ => service(30, 3).lying(lie.clone()),
        };
        let mut net = Net::new(vec![bad, service(30, 3)]);
        net.run(5 * SECOND);
        assert_eq!(addrs(net.last()), [0, 1, 2], "{lie:?}");
        assert_eq!(net.failures(), 0, "{lie:?}");
    }
}

#[test]
fn late_and_doubled_answers_count_once() {
    for lie in [Lie::Late(300), Lie::Twice, Lie::Late(900)] {
        let mut net = Net::new(vec![service(30, 2).lying(lie.clone())]);
        net.run(20 * SECOND);
        assert_eq!(net.lists().len(), 1, "{lie:?}");
        assert_eq!(addrs(net.last()), [0, 1]);
    }
}

#[test]
fn what_is_truncated_is_asked_for_over_tcp_in_pieces_of_any_size() {
    for more in [Lie::Truncate, Lie::Drip] {
        let mut net = Net::new(vec![service(30, 3).lying(Lie::Truncate).lying(more)]);
        net.run(5 * SECOND);
        assert_eq!(addrs(net.last()), [0, 1, 2]);
        assert!(net.resolver.counts().tcp > 0);
    }
    // Half a message and then silence is let go in time; the second server has it.
    let half = service(30, 3).lying(Lie::Truncate).lying(Lie::HalfTcp);
    let mut net = Net::new(vec![half, service(30, 3)]);
    net.run(5 * SECOND);
    assert_eq!(addrs(net.last()), [0, 1, 2]);
}

#[test]
fn a_server_that_does_not_know_edns_is_asked_without() {
    let mut script = service(30, 2);
    script.rule.push(Rule {
        name: None,
        kind: None,
        from: 0,
        to: Some(1),
        lie: Lie::Code(1),
    });
    let mut net = Net::new(vec![script]);
    net.run(SECOND / 10);
    assert_eq!(addrs(net.last()), [0, 1]);
}

#[test]
fn aliases_that_go_round_are_a_failure_and_not_an_empty_list() {
    let mut net = Net::new(vec![service(2, 2)]);
    net.run(SECOND);
    net.servers
        .get_mut(&ns(0))
        .unwrap()
        .set(service(2, 2).lying(Lie::Loop));
    net.run(60 * SECOND);
    assert_eq!((net.lists().len(), addrs(net.last())), (1, vec![0, 1]));
    assert!(net.failures() > 2);
}

#[test]
fn nothing_listed_is_an_answer_with_a_reason_and_a_short_lifetime() {
    for lie in [Lie::NxDomain, Lie::Empty] {
        let mut net = Net::new(vec![service(30, 2).lying(lie)]);
        net.run(SECOND);
        assert!(net.last().endpoints.is_empty() && net.last().nothing.is_some());
    }
    let mut net = Net::new(vec![Script {
        minimum: Some(7),
        additional: true,
        ..Script::default()
    }]);
    net.run(SECOND);
    assert_eq!(net.last().expires / SECOND, 7);
    let none = Record {
        name: SERVICE.into(),
        kind: "SRV".into(),
        ttl: 30,
        data: "0 0 0 .".into(),
    };
    let mut net = Net::new(vec![Script {
        record: vec![none],
        ..Script::default()
    }]);
    net.run(SECOND);
    assert!(net
        .last()
        .nothing
        .as_ref()
        .is_some_and(|n| n.contains("\".\"")));
}

#[test]
fn silent_for_an_hour_and_back_with_another_list() {
    let mut net = Net::new(vec![service(10, 2), service(10, 2)]);
    net.run(SECOND);
    net.servers
        .values_mut()
        .for_each(|s| s.set(service(10, 2).lying(Lie::Silent)));
    net.run(3600 * SECOND);
    assert_eq!(net.lists().len(), 1);
    let (asked, failures) = (net.resolver.counts().udp, net.failures() as u64);
    // It is asked on, but not hammered.
    assert!(
        (60..400).contains(&failures) && asked <= 4 * failures + 4,
        "{asked} {failures}"
    );
    net.servers.values_mut().for_each(|s| s.set(service(10, 5)));
    net.run(3660 * SECOND);
    assert_eq!(addrs(net.last()), [0, 1, 2, 3, 4]);
}

#[test]
fn a_target_that_cannot_be_asked_for_keeps_its_last_address() {
    let mut script = Script {
        additional: false,
        ..service(5, 3)
    };
    let mut net = Net::new(vec![script.clone()]);
    net.run(SECOND);
    let silent = |name: &str| Rule {
        name: Some(name.into()),
        kind: None,
        from: 0,
        to: None,
        lie: Lie::Silent,
    };
    script.rule = vec![silent("s1.example.test")];
    net.servers.get_mut(&ns(0)).unwrap().set(script);
    net.run(100 * SECOND);
    assert_eq!(addrs(net.last()), [0, 1, 2]);
    assert!(net.last().endpoints[1].stale && !net.last().endpoints[0].stale);
    assert_eq!(net.last().unresolved.len(), 1);
}

#[test]
fn two_thousand_records_come_whole_over_tcp() {
    // Short names, so that the answer fits into the 65,535 bytes of a message.
    let mut script = Script {
        additional: false,
        ..Script::service("_s._t", 30, &[])
    };
    for n in 0..2000_u16 {
        let (name, addr) = (
            format!("{n}.t"),
            format!("127.1.{}.{}", n / 250, n % 250 + 1),
        );
        let data = format!("0 1 8000 {name}");
        script.record.push(Record {
            name: "_s._t".into(),
            kind: "SRV".into(),
            ttl: 30,
            data,
        });
        script.record.push(Record {
            name,
            kind: "A".into(),
            ttl: 30,
            data: addr,
        });
    }
    let mut net = Net::with(
        Config {
            families: vec![Family::V4],
            ..Config::new("_s._t", vec![ns(0)])
        },
        vec![script],
    );
    net.run(5 * SECOND);
    assert_eq!(net.last().endpoints.len(), 2000);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever comes, nothing panics, and an honest second server is always found in the end.
    #[test]
    fn mutated_answers_do_no_harm(
        cuts in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..12),
        tcp in any::<bool>(),
        noise in prop::collection::vec(any::<u8>(), 0..64),
    ) {
        let _ = poppykeel_dns_resolver::read(&noise);
        let bad = if tcp { service(30, 3).lying(Lie::Truncate) } else { service(30, 3) };
        let mut net = Net::new(vec![bad, service(30, 3)]);
        // The first answer that comes is spoilt, whichever it is.
        net.resolver.turn(0);
        net.carry_out();
        for comes in net.coming.values_mut() {
            let (Comes::Datagram(_, _, bytes) | Comes::Bytes(_, bytes)) = comes else { continue };
            for (at, value) in &cuts {
                let at = at.index(bytes.len());
                bytes[at] = *value;
            }
            let _ = poppykeel_dns_resolver::read(bytes);
        }
        net.run(20 * SECOND);
        prop_assert!(!net.lists().is_empty() || net.failures() > 0);
    }

    /// A list is never empty because servers lie without saying that nothing is there.
    #[test]
    fn failures_are_never_an_empty_list(kinds in prop::collection::vec(0..10_usize, 1..30)) {
        let lies = [
            Lie::Silent, Lie::WrongId, Lie::OtherPort, Lie::OtherQuestion, Lie::Rubbish, Lie::Code(2),
            Lie::Loop, Lie::Refer, Lie::Twice, Lie::Late(700),
        ];
        let mut net = Net::new(vec![service(3, 3), service(3, 3)]);
        for (n, kind) in kinds.iter().enumerate() {
            let script = service(3, 3).lying(lies[*kind].clone());
            net.servers.get_mut(&ns((n % 2) as u16)).unwrap().set(script);
            net.run(net.now + 4 * SECOND);
        }
        for (_, found) in net.lists() {
            prop_assert_eq!(addrs(found), vec![0, 1, 2]);
        }
    }
}
