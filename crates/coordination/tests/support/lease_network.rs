//! A simulated network between lease clients and lease servers.

use poppykeel_coordination::lease::{LeaseRequest, LeaseResponse};
use std::collections::BTreeMap;

/// A message in flight between a client and a server.
pub enum Packet {
    Request(LeaseRequest),
    Response(LeaseResponse),
}

pub struct Delivery {
    pub client: usize,
    pub server: usize,
    pub packet: Packet,
}

/// A network with a pseudo-random latency per message, so that requests of contenders reach the servers in different
/// orders.
pub struct Network {
    /// Messages by arrival time and sending order.
    in_flight: BTreeMap<(u64, u64), Delivery>,
    pub sent_count: u64,
    random: u64,
    server_count: usize,
}

impl Network {
    pub fn new(server_count: usize) -> Network {
        Network {
            in_flight: BTreeMap::new(),
            sent_count: 0,
            random: 7,
            server_count,
        }
    }

    pub fn next_random(&mut self) -> u64 {
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        self.random >> 33
    }

    pub fn send(&mut self, now: u64, delivery: Delivery) {
        self.sent_count += 1;
        let arrival = now + 100 + self.next_random() % 2000;
        self.in_flight.insert((arrival, self.sent_count), delivery);
    }

    pub fn send_to_all(&mut self, now: u64, client: usize, message: &LeaseRequest) {
        for server in 0..self.server_count {
            let packet = Packet::Request(message.clone());
            self.send(
                now,
                Delivery {
                    client,
                    server,
                    packet,
                },
            );
        }
    }

    pub fn next_arrived(&mut self, now: u64) -> Option<Delivery> {
        let first = self.in_flight.first_entry()?;
        (first.key().0 <= now).then(|| first.remove())
    }
}
