//! Complete nodes on a simulated network and clock.

use poppykeel_coordination::envelope::{self, DecodeError, Envelope};
use poppykeel_coordination::lease::LeaseLogRecord;
use poppykeel_coordination::node::{CoordinationNode, NodeOutput, NodeSettings};
use poppykeel_coordination::Incarnation;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Microseconds in a millisecond.
pub const MS: u64 = 1_000;
pub const LEASE_DURATION: u64 = 1_000 * MS;
const FIRST_PORT: u16 = 9000;
/// The time until a write is durable.
const WRITE_LATENCY: u64 = 500;

pub fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + node as u16))
}

pub fn addresses(nodes: &[usize]) -> BTreeMap<String, SocketAddr> {
    let named = nodes.iter();
    named
        .map(|node| (format!("n{node}"), address(*node)))
        .collect()
}

pub fn settings(node: usize) -> NodeSettings {
    NodeSettings {
        fleet: "f".into(),
        name: format!("n{node}"),
        address: address(node),
        seeds: BTreeMap::new(),
        lease_servers: addresses(&[0, 1, 2]),
        lease_servers_number: 1,
        lease_duration: LEASE_DURATION,
        drift_ppm: 1000,
        trusts_log: false,
        probe_interval: 200 * MS,
        response_timeout: 100 * MS,
    }
}

pub struct Machine {
    /// The running process, if any.
    pub node: Option<CoordinationNode>,
    pub settings: NodeSettings,
    log: Vec<LeaseLogRecord>,
    /// The time until a write is durable; `None` if writes never complete.
    pub write_latency: Option<u64>,
}

impl Machine {
    fn new(settings: NodeSettings) -> Machine {
        Machine {
            node: None,
            settings,
            log: Vec::new(),
            write_latency: Some(WRITE_LATENCY),
        }
    }
}

enum Event {
    Message {
        machine: usize,
        bytes: Vec<u8>,
    },
    Written {
        machine: usize,
        write: u64,
        records: Vec<LeaseLogRecord>,
    },
}

/// The traffic that a machine has sent.
#[derive(Clone, Copy, Default)]
pub struct Traffic {
    pub messages: u64,
    pub bytes: u64,
}

/// Machines on one network, each at the address of its index.
pub struct Cluster {
    pub now: u64,
    start_count: u64,
    pub machines: Vec<Machine>,
    /// Events by due time and by the order of scheduling.
    events: BTreeMap<(u64, u64), Event>,
    scheduled_count: u64,
    /// Pairs of machines; messages from the first to the second are lost.
    pub blocked_links: Vec<(usize, usize)>,
    pub misaddressed_count: usize,
    pub sent: Vec<Traffic>,
}

impl Cluster {
    pub fn with_stopped_machines(all_settings: impl IntoIterator<Item = NodeSettings>) -> Cluster {
        let machines: Vec<Machine> = all_settings.into_iter().map(Machine::new).collect();
        Cluster {
            now: 0,
            start_count: 0,
            sent: vec![Traffic::default(); machines.len()],
            machines,
            events: BTreeMap::new(),
            scheduled_count: 0,
            blocked_links: Vec::new(),
            misaddressed_count: 0,
        }
    }

    pub fn with_running_machines(all_settings: impl IntoIterator<Item = NodeSettings>) -> Cluster {
        let mut cluster = Cluster::with_stopped_machines(all_settings);
        for machine in 0..cluster.machines.len() {
            cluster.start(machine);
        }
        cluster
    }

    /// Nine nodes that know each other and have one lease holder.
    pub fn with_nine_nodes() -> Cluster {
        let mut cluster = Cluster::with_running_machines((0..9).map(settings));
        cluster.run_seconds(6);
        assert_eq!(cluster.holders().len(), 1);
        cluster.assert_peer_counts(9, 8);
        cluster
    }

    pub fn start(&mut self, index: usize) {
        self.start_count += 1;
        let machine = &mut self.machines[index];
        let mut node = CoordinationNode::new(
            machine.settings.clone(),
            Incarnation(1000 + self.start_count),
            Some(&machine.log),
            self.now,
        );
        node.request_lease("t", self.now);
        machine.node = Some(node);
    }

    pub fn kill(&mut self, index: usize) {
        self.machines[index].node = None;
    }

    pub fn node(&mut self, index: usize) -> &mut CoordinationNode {
        self.machines[index].node.as_mut().unwrap()
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.scheduled_count += 1;
        let key = (self.now + delay, self.scheduled_count);
        self.events.insert(key, event);
    }

    pub fn execute(&mut self, machine: usize, outputs: Vec<NodeOutput>) {
        for output in outputs {
            match output {
                NodeOutput::WriteLog { write, records } => {
                    if let Some(delay) = self.machines[machine].write_latency {
                        let event = Event::Written {
                            machine,
                            write,
                            records,
                        };
                        self.schedule(delay, event);
                    }
                }
                NodeOutput::Send {
                    envelope,
                    address_hint,
                } => self.send(machine, &envelope, address_hint),
            }
        }
    }

    fn send(&mut self, from: usize, envelope: &Envelope, address_hint: Option<SocketAddr>) {
        let node = self.machines[from].node.as_ref();
        let address = node
            .and_then(|node| node.address_of(&envelope.recipient))
            .or(address_hint);
        let Some(address) = address else {
            return;
        };
        let to = usize::from(address.port() - FIRST_PORT);
        if to >= self.machines.len() || self.blocked_links.contains(&(from, to)) {
            return;
        }
        let delay = 300 + self.scheduled_count % 7 * 200;
        let bytes = envelope::encode(envelope);
        self.sent[from].messages += 1;
        self.sent[from].bytes += bytes.len() as u64;
        self.schedule(delay, Event::Message { machine: to, bytes });
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Message { machine, bytes } => {
                let receiver = &mut self.machines[machine];
                let settings = &receiver.settings;
                match envelope::decode(&bytes, &settings.fleet, &settings.name) {
                    Ok(envelope) => {
                        let node = receiver.node.as_mut();
                        let outputs = node.map(|node| node.handle_envelope(envelope, now));
                        self.execute(machine, outputs.unwrap_or_default());
                    }
                    Err(error) => {
                        assert_eq!(error, DecodeError::Misaddressed);
                        self.misaddressed_count += 1;
                    }
                }
            }
            Event::Written {
                machine,
                write,
                records,
            } => {
                let writer = &mut self.machines[machine];
                writer.log.extend(records);
                let node = writer.node.as_mut();
                let outputs = node.map(|node| node.on_log_written(write));
                self.execute(machine, outputs.unwrap_or_default());
            }
        }
    }

    fn next_event(&mut self) -> Option<Event> {
        let first = self.events.first_entry()?;
        (first.key().0 <= self.now).then(|| first.remove())
    }

    fn run_timers(&mut self) {
        let now = self.now;
        for machine in 0..self.machines.len() {
            let Some(node) = &mut self.machines[machine].node else {
                continue;
            };
            if node.next_deadline().is_some_and(|at| at <= now) {
                let outputs = node.on_timer(now);
                self.execute(machine, outputs);
            }
        }
    }

    pub fn run_for(&mut self, span: u64) {
        let until = self.now + span;
        while self.now < until {
            self.now += MS;
            while let Some(event) = self.next_event() {
                self.handle_event(event);
            }
            self.run_timers();
            let holders = self.holders();
            assert!(holders.len() < 2, "{holders:?} at {}", self.now);
        }
    }

    pub fn run_seconds(&mut self, seconds: u64) {
        self.run_for(seconds * 1000 * MS);
    }

    /// The machines whose processes hold the lease.
    pub fn holders(&self) -> Vec<usize> {
        let holds = |index: &usize| {
            let node = self.machines[*index].node.as_ref();
            node.is_some_and(|node| node.held_epoch("t", self.now).is_some())
        };
        (0..self.machines.len()).filter(holds).collect()
    }

    pub fn peer_counts(&self, nodes: usize) -> Vec<usize> {
        let machines = self.machines[..nodes].iter();
        machines
            .map(|machine| machine.node.as_ref().map_or(0, |node| node.peers().len()))
            .collect()
    }

    /// Asserts that each of the first `nodes` machines knows `peer_count` peers.
    pub fn assert_peer_counts(&self, nodes: usize, peer_count: usize) {
        assert_eq!(self.peer_counts(nodes), vec![peer_count; nodes]);
    }
}
