//! The coordination of one process: its view of the membership, its lease clients, and its lease server, if any.
//!
//! A driver owns one [`CoordinationNode`]. It calls [`CoordinationNode::on_timer`] at
//! [`CoordinationNode::next_deadline`], passes received messages to [`CoordinationNode::handle_envelope`], and executes
//! each [`NodeOutput`] in the order returned: it sends messages, writes log records, and calls
//! [`CoordinationNode::on_log_written`] once they are durable.
//!
//! # Invariants
//!
//! - A response of the lease server is sent only after all records written before it are durable.
//! - Once a write has failed, the lease server does not respond until the process is restarted.
//! - Messages from senders with another version of the lease server list are dropped, except those of the membership
//!   protocol.
//!
//! Messages about budgets, rolling restarts, outlier probing and node statistics are not handled here. The driver
//! passes them to the respective state machines and sends their messages with [`CoordinationNode::message_to`].

mod address_book;
mod hosted_server;
mod lease_messages;
mod settings;
mod status;

use crate::envelope::{Envelope, MessageBody};
use crate::gossip::{GossipMessage, Member, Membership};
use crate::lease::{LeaseClient, LeaseLogRecord};
use crate::{Epoch, Incarnation, Micros, ProcessId};
use address_book::AddressBook;
use hosted_server::HostedLeaseServer;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::net::SocketAddr;

pub use settings::NodeSettings;
pub use status::{HeldLease, LeaseServerStatus, LeaseStatus, NodeCounters, NodeStatus};

/// The interval of announcements to a seed or lease server while peers are known, in probe intervals. A node with peers
/// continues to announce itself so that two separated parts of a fleet find each other.
const ANNOUNCE_INTERVAL_WITH_PEERS: u64 = 20;
/// The interval of announcements while no peer is known, in probe intervals.
const ANNOUNCE_INTERVAL_ALONE: u64 = 1;

/// An output for the driver to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum NodeOutput {
    /// Send a message.
    Send {
        /// The message with its sender and recipient.
        envelope: Box<Envelope>,
        /// The recipient's address, to be used if [`CoordinationNode::address_of`] knows none.
        address_hint: Option<SocketAddr>,
    },
    /// Write records to the lease server's log, and call [`CoordinationNode::on_log_written`] once they are durable.
    WriteLog {
        /// The number of this write, to be passed to [`CoordinationNode::on_log_written`].
        write: u64,
        /// The records to append, in this order.
        records: Vec<LeaseLogRecord>,
    },
}

/// The coordination state of one process.
pub struct CoordinationNode {
    settings: NodeSettings,
    membership: Membership,
    /// The lease clients, by task.
    clients: BTreeMap<String, LeaseClient>,
    server: Option<HostedLeaseServer>,
    addresses: AddressBook,
    rng: StdRng,
    /// When the node next announces itself to a seed or lease server.
    announce_at: Micros,
    counters: NodeCounters,
    has_left: bool,
}

impl CoordinationNode {
    /// Creates a node that starts now. `incarnation` is a fresh random number; `log` holds the records of the lease
    /// server's log, or is `None` if this process has no log.
    pub fn new(
        settings: NodeSettings,
        incarnation: Incarnation,
        log: Option<&[LeaseLogRecord]>,
        now: Micros,
    ) -> CoordinationNode {
        let local = Member {
            name: settings.name.clone(),
            address: settings.address,
            incarnation,
            generation: 0,
        };
        let server = log.and_then(|log| HostedLeaseServer::new(&settings, incarnation, log, now));
        let membership = Membership::new(local, settings.probe_interval, incarnation.0);
        CoordinationNode {
            settings,
            membership,
            clients: BTreeMap::new(),
            server,
            addresses: AddressBook::default(),
            rng: StdRng::seed_from_u64(incarnation.0),
            announce_at: now,
            counters: NodeCounters::default(),
            has_left: false,
        }
    }

    /// The version of the list of lease servers in force.
    pub fn lease_servers_number(&self) -> u32 {
        self.settings.lease_servers_number
    }

    /// The lease servers in force, with their addresses by name.
    pub fn lease_servers(&self) -> &BTreeMap<String, SocketAddr> {
        &self.settings.lease_servers
    }

    /// Whether this process currently hosts a lease server.
    pub fn is_lease_server(&self) -> bool {
        self.server.is_some()
    }

    /// Replaces the list of lease servers by one with a higher version `number`. `log` holds the records of this
    /// process's log, which are needed if the new list makes it a lease server; `None` if it has no log.
    pub fn set_lease_servers(
        &mut self,
        lease_servers: BTreeMap<String, SocketAddr>,
        number: u32,
        log: Option<&[LeaseLogRecord]>,
        now: Micros,
    ) {
        self.settings.lease_servers = lease_servers;
        self.settings.lease_servers_number = number;
        let server_count = self.settings.lease_servers.len();
        let index = self.settings.lease_server_index(&self.settings.name);
        match (index, &mut self.server) {
            (Some(index), Some(server)) => server.set_servers(index, server_count),
            (Some(_), None) => {
                let incarnation = self.membership.local_member().incarnation;
                self.server = log
                    .and_then(|log| HostedLeaseServer::new(&self.settings, incarnation, log, now));
            }
            (None, _) => self.server = None,
        }
        for client in self.clients.values_mut() {
            client.set_server_count(server_count, now);
        }
    }

    /// The name and incarnation of this process.
    pub fn process_id(&self) -> ProcessId {
        let local = self.membership.local_member();
        ProcessId {
            node: local.name.clone(),
            incarnation: local.incarnation,
        }
    }

    /// The other nodes that are not known to be down.
    pub fn peers(&self) -> Vec<Member> {
        self.membership.peers().cloned().collect()
    }

    /// Requests a lease from now on, until [`CoordinationNode::release_lease`].
    pub fn request_lease(&mut self, task: &str, now: Micros) {
        if let Some(client) = self.clients.get_mut(task) {
            client.request(now);
            return;
        }
        let parameters = self.settings.lease_parameters();
        let client = LeaseClient::new(task, self.process_id(), parameters, now);
        self.clients.insert(task.into(), client);
    }

    /// Releases a lease, if held, and stops requesting it.
    pub fn release_lease(&mut self, task: &str, now: Micros) -> Vec<NodeOutput> {
        let client = self.clients.get_mut(task);
        match client.and_then(|client| client.release(now)) {
            Some(message) => self.send_to_lease_servers(&message),
            None => Vec::new(),
        }
    }

    /// The epoch under which this process may act at `now`; `None` if it does not hold the lease. Callers must check
    /// this before every action under the lease.
    pub fn held_epoch(&self, task: &str, now: Micros) -> Option<Epoch> {
        self.clients.get(task)?.held_epoch(now)
    }

    /// The leases that this process holds at `now`.
    pub fn held_leases(&self, now: Micros) -> Vec<HeldLease> {
        let held = |client: &LeaseClient| {
            Some(HeldLease {
                task: client.task().to_string(),
                epoch: client.held_epoch(now)?,
            })
        };
        self.clients.values().filter_map(held).collect()
    }

    /// The name of the other node that holds a lease, as last reported by a lease server; `None` if unknown.
    pub fn other_holder(&self, task: &str) -> Option<String> {
        let holder = self.clients.get(task)?.other_holder()?;
        Some(holder.node.clone())
    }

    /// Releases all leases and leaves the fleet gracefully.
    pub fn leave(&mut self, now: Micros) -> Vec<NodeOutput> {
        let tasks: Vec<String> = self.clients.keys().cloned().collect();
        let mut outputs = Vec::new();
        for task in tasks {
            outputs.extend(self.release_lease(&task, now));
        }
        self.has_left = true;
        let gossip = self.membership.leave(now);
        outputs.extend(self.send_gossip(gossip));
        outputs
    }

    /// When [`CoordinationNode::on_timer`] must be called next; `None` if no timer is pending.
    pub fn next_deadline(&self) -> Option<Micros> {
        let clients = self.clients.values().filter_map(LeaseClient::next_deadline);
        let server = self
            .server
            .iter()
            .filter_map(HostedLeaseServer::next_deadline);
        let announcement = (!self.has_left).then_some(self.announce_at);
        clients
            .chain(server)
            .chain(self.membership.next_deadline())
            .chain(announcement)
            .min()
    }

    /// Runs all timers that are due.
    pub fn on_timer(&mut self, now: Micros) -> Vec<NodeOutput> {
        let gossip = self.membership.on_timer(now);
        let mut outputs = self.send_gossip(gossip);
        if now >= self.announce_at && !self.has_left {
            outputs.extend(self.announce(now));
        }
        outputs.extend(self.run_clients(now));
        outputs.extend(self.run_server(now));
        outputs
    }

    /// Records the address of the sender of a message.
    pub fn remember_sender(&mut self, envelope: &Envelope) {
        self.addresses
            .record(&envelope.sender.node, envelope.sender_address);
    }

    /// Handles a message for this node.
    pub fn handle_envelope(&mut self, envelope: Envelope, now: Micros) -> Vec<NodeOutput> {
        self.remember_sender(&envelope);
        self.counters.messages_received += 1;
        let has_other_server_list =
            envelope.lease_servers_number != self.settings.lease_servers_number;
        if has_other_server_list && !matches!(envelope.body, MessageBody::Gossip(_)) {
            self.counters.mismatched_server_list += 1;
            return Vec::new();
        }
        match envelope.body {
            MessageBody::Gossip(payload) => {
                let gossip = self.membership.handle_message(&payload, now);
                self.send_gossip(gossip)
            }
            MessageBody::LeaseRequest(message) => {
                self.handle_lease_request(envelope.sender.node, message, now)
            }
            MessageBody::LeaseResponse(response) => {
                self.handle_lease_response(&envelope.sender.node, &response, now)
            }
            // Handled by the driver.
            MessageBody::RequestFigures { .. }
            | MessageBody::Figures { .. }
            | MessageBody::RollingRestart(_)
            | MessageBody::OutlierProbing(_)
            | MessageBody::Budget(_) => Vec::new(),
        }
    }

    /// Records that the write with this number, and all before it, are durable.
    pub fn on_log_written(&mut self, write: u64) -> Vec<NodeOutput> {
        let Some(server) = &mut self.server else {
            return Vec::new();
        };
        let ready = server.on_log_written(write);
        ready
            .into_iter()
            .map(|envelope| self.send(envelope, None))
            .collect()
    }

    /// Records a failed write. The lease server of this process no longer responds.
    pub fn on_log_failed(&mut self) {
        if let Some(server) = &mut self.server {
            server.on_log_failed();
        }
    }

    /// Counters since the start of the process.
    pub fn counters(&self) -> NodeCounters {
        self.counters
    }

    /// Whether a write to the lease server's log has failed.
    pub fn has_log_failed(&self) -> bool {
        let server = self.server.as_ref();
        server.is_some_and(HostedLeaseServer::has_log_failed)
    }

    /// The status shown to operators.
    pub fn status(&self, now: Micros) -> NodeStatus {
        let lease = |client: &LeaseClient| LeaseStatus {
            task: client.task().into(),
            held_epoch: client.held_epoch(now),
            remaining: client.remaining(now),
            other_holder: client.other_holder().cloned(),
        };
        NodeStatus {
            local: self.membership.local_member().clone(),
            peers: self.peers(),
            leases: self.clients.values().map(lease).collect(),
            lease_server: self.server.as_ref().map(|server| server.status(now)),
            has_log_failed: self.has_log_failed(),
        }
    }

    /// Creates the output that sends a message of the driver to a node. `address_hint` is the address to use if
    /// [`CoordinationNode::address_of`] knows none.
    pub fn message_to(
        &mut self,
        recipient: String,
        address_hint: Option<SocketAddr>,
        body: MessageBody,
    ) -> NodeOutput {
        let envelope = self.envelope_to(recipient, body);
        self.send(envelope, address_hint)
    }

    /// The address of a node: from the settings, otherwise from the membership, otherwise from its last message.
    pub fn address_of(&self, name: &str) -> Option<SocketAddr> {
        self.addresses
            .resolve(name, &self.settings, &self.membership)
    }

    /// Announces this node to a random seed or lease server.
    fn announce(&mut self, now: Micros) -> Vec<NodeOutput> {
        let has_peers = self.membership.peers().next().is_some();
        let probe_intervals = if has_peers {
            ANNOUNCE_INTERVAL_WITH_PEERS
        } else {
            ANNOUNCE_INTERVAL_ALONE
        };
        let probe_interval = self.settings.probe_interval;
        let jitter = self.rng.random_range(0..probe_interval.max(1));
        self.announce_at = now + probe_interval * probe_intervals + jitter;
        let configured = self.settings.seeds.iter();
        let configured = configured.chain(&self.settings.lease_servers);
        let others: Vec<Member> = configured
            .filter(|(name, _)| **name != self.settings.name)
            .map(|(name, address)| Member::from_address(name.clone(), *address))
            .collect();
        if others.is_empty() {
            return Vec::new();
        }
        let recipient = others[self.rng.random_range(0..others.len())].clone();
        let gossip = self.membership.announce(recipient, now);
        self.send_gossip(gossip)
    }

    fn envelope_to(&self, recipient: String, body: MessageBody) -> Envelope {
        Envelope {
            fleet: self.settings.fleet.clone(),
            lease_servers_number: self.settings.lease_servers_number,
            sender: self.process_id(),
            sender_address: self.membership.local_member().address,
            recipient,
            body,
        }
    }

    fn send(&mut self, envelope: Envelope, address_hint: Option<SocketAddr>) -> NodeOutput {
        self.counters.messages_sent += 1;
        NodeOutput::Send {
            envelope: Box::new(envelope),
            address_hint,
        }
    }

    fn send_gossip(&mut self, messages: Vec<GossipMessage>) -> Vec<NodeOutput> {
        let mut outputs = Vec::new();
        for GossipMessage { recipient, payload } in messages {
            let body = MessageBody::Gossip(payload.to_vec());
            outputs.push(self.message_to(recipient.name, Some(recipient.address), body));
        }
        outputs
    }
}
