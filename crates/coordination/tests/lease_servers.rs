//! Lease servers with each other and with clients, on a simulated clock: starts, lost logs, late messages, contention
//! and duplicate process names.

#[path = "support/lease_network.rs"]
mod lease_network;

use lease_network::{Delivery, Network, Packet};
use poppykeel_coordination::lease::{
    reduce_by_drift, AcquireRequest, LeaseClient, LeaseLogRecord, LeaseParameters, LeaseRequest,
    LeaseResponse, LeaseServer, LeaseServerConfig, PeerMessage, RecoveryState,
};
use poppykeel_coordination::{Epoch, Incarnation, ProcessId};
use proptest::prelude::*;
use std::collections::BTreeSet;

const LEASE_DURATION: u64 = 1_000_000;
const PARAMETERS: LeaseParameters = LeaseParameters {
    server_count: 3,
    duration: LEASE_DURATION,
    drift_ppm: 1000,
    response_timeout: 100_000,
    min_pause: 25_000,
};

fn config(server_index: usize, server_count: usize, trusts_log: bool) -> LeaseServerConfig {
    LeaseServerConfig {
        server_count,
        server_index,
        max_duration: LEASE_DURATION,
        trusts_log,
    }
}

fn process(node: &str, incarnation: u64) -> ProcessId {
    ProcessId {
        node: node.into(),
        incarnation: Incarnation(incarnation),
    }
}

fn acquire_for(requester: &ProcessId, epoch: u64, round: u64, duration: u64) -> LeaseRequest {
    LeaseRequest::Acquire(AcquireRequest {
        task: "t".into(),
        requester: requester.clone(),
        epoch: Epoch(epoch),
        round,
        duration,
    })
}

fn acquire(requester: &ProcessId, epoch: u64, round: u64) -> LeaseRequest {
    acquire_for(requester, epoch, round, LEASE_DURATION)
}

fn release(holder: &ProcessId, epoch: u64) -> LeaseRequest {
    LeaseRequest::Release {
        task: "t".into(),
        holder: holder.clone(),
        epoch: Epoch(epoch),
    }
}

fn is_granted(response: Option<&LeaseResponse>) -> bool {
    matches!(response, Some(LeaseResponse::Granted { .. }))
}

/// Lease servers with their logs.
struct Servers {
    servers: Vec<LeaseServer>,
    logs: Vec<Vec<LeaseLogRecord>>,
    trusts_log: bool,
}

impl Servers {
    /// Servers that start for the first time.
    fn first_start(count: usize, trusts_log: bool) -> Servers {
        let server = |index| {
            let config = config(index, count, trusts_log);
            LeaseServer::new(config, Incarnation(index as u64), &[], 0)
        };
        Servers {
            servers: (0..count).map(server).collect(),
            logs: vec![Vec::new(); count],
            trusts_log,
        }
    }

    /// Servers that grant from the time `LEASE_DURATION` on.
    fn granting(count: usize, trusts_log: bool) -> Servers {
        let mut servers = Servers::first_start(count, trusts_log);
        servers.run_recovery(0);
        servers.run_recovery(LEASE_DURATION);
        assert_eq!(servers.granting_count(), count);
        servers
    }

    fn deliver(&mut self, server: usize, now: u64, message: LeaseRequest) -> Option<LeaseResponse> {
        let output = self.servers[server].handle(now, message);
        self.logs[server].extend(output.log_records);
        if let Some(PeerMessage { server, message }) = output.peer_message {
            assert_eq!(self.deliver(server, now, message), None);
        }
        output.response
    }

    fn grants(&mut self, server: usize, now: u64, message: LeaseRequest) -> bool {
        is_granted(self.deliver(server, now, message).as_ref())
    }

    /// Exchanges a recovery request of one server with another, if the first is recovering.
    fn recover(&mut self, requester: usize, other: usize, now: u64) {
        if let Some(request) = self.servers[requester].recovery_request() {
            self.deliver(other, now, request);
        }
        let record = self.servers[requester].advance(now);
        self.logs[requester].extend(record);
    }

    /// Exchanges recovery requests between all servers, twice.
    fn run_recovery(&mut self, now: u64) {
        let count = self.servers.len();
        for _ in 0..2 {
            for requester in 0..count {
                for other in (0..count).filter(|other| *other != requester) {
                    self.recover(requester, other, now);
                }
            }
        }
        for server in &mut self.servers {
            server.advance(now);
        }
    }

    fn restart(&mut self, server: usize, incarnation: u64, now: u64) {
        let config = config(server, self.servers.len(), self.trusts_log);
        let log = &self.logs[server];
        self.servers[server] = LeaseServer::new(config, Incarnation(incarnation), log, now);
    }

    fn granting_count(&self) -> usize {
        let servers = self.servers.iter();
        servers
            .filter(|server| *server.recovery_state() == RecoveryState::Granting)
            .count()
    }
}

proptest! {
    /// At the first start of a fleet all servers must finally grant, in whatever order recovery requests are delivered
    /// or lost.
    #[test]
    fn first_start_completes_despite_lost_messages(
        order in proptest::collection::vec((0usize..5, 0usize..5), 0..40),
    ) {
        let mut servers = Servers::first_start(5, false);
        for (requester, other) in order {
            if requester != other {
                servers.recover(requester, other, 10);
            }
        }
        servers.run_recovery(20);
        servers.run_recovery(LEASE_DURATION + 20);
        prop_assert_eq!(servers.granting_count(), 5);
    }

    /// A server that lost its log must not grant an epoch again that it granted as part of a majority.
    #[test]
    fn epochs_never_decrease_after_a_lost_log(
        lost in 0usize..3,
        others in proptest::collection::vec((0usize..3, 0usize..3), 0..12),
        epoch in 1u64..9,
    ) {
        let mut servers = Servers::granting(3, false);
        let first = process("a", 1);
        let second = process("b", 2);
        for server in [lost, (lost + 1) % 3] {
            prop_assert!(servers.grants(server, LEASE_DURATION, acquire(&first, epoch, 1)));
        }
        servers.logs[lost].clear();
        let now = LEASE_DURATION + 5;
        servers.restart(lost, 77, now);
        for (requester, other) in others {
            if requester != other {
                servers.recover(requester, other, now);
            }
        }
        for server in [lost, (lost + 2) % 3] {
            let is_granted = servers.grants(server, now + 1, acquire(&second, epoch, 1));
            prop_assert!(!is_granted || server != lost);
        }
        servers.run_recovery(now + 1);
        let later = now + 1 + LEASE_DURATION;
        servers.run_recovery(later);
        prop_assert!(!servers.grants(lost, later, acquire(&second, epoch, 2)));
        prop_assert!(servers.grants(lost, later, acquire(&second, epoch + 1, 3)));
    }
}

#[test]
fn servers_restarted_together_wait_for_their_old_grants() {
    for trusts_log in [false, true] {
        let mut servers = Servers::granting(3, trusts_log);
        let first = process("a", 1);
        let second = process("b", 2);
        for server in 0..3 {
            assert!(servers.grants(server, LEASE_DURATION, acquire(&first, 1, 1)));
        }
        let restarted_at = 2 * LEASE_DURATION - 1;
        for server in 0..3 {
            servers.restart(server, 50 + server as u64, restarted_at);
        }
        servers.run_recovery(restarted_at);
        // The servers may have renewed the lease just before the restart.
        assert!(!servers.grants(0, restarted_at + LEASE_DURATION - 1, acquire(&second, 2, 1)));
        servers.run_recovery(restarted_at + LEASE_DURATION);
        assert!(
            servers.grants(0, restarted_at + LEASE_DURATION, acquire(&second, 2, 2)),
            "{trusts_log}"
        );
    }
}

#[test]
fn servers_that_lost_their_logs_do_not_recover_from_each_other() {
    let mut servers = Servers::granting(3, false);
    // After two of three servers have lost their logs, epochs may be lost, so those two must not grant.
    for server in [0, 1] {
        servers.logs[server].clear();
        servers.restart(server, 90 + server as u64, LEASE_DURATION);
    }
    servers.run_recovery(9 * LEASE_DURATION);
    assert_eq!(servers.granting_count(), 1);
}

#[test]
fn two_processes_of_one_name_are_different_holders() {
    let mut servers = Servers::granting(1, false);
    let first = process("n", 1);
    let second = process("n", 2);
    assert!(servers.grants(0, LEASE_DURATION, acquire(&first, 1, 1)));
    assert!(!servers.grants(0, LEASE_DURATION, acquire(&second, 1, 1)));
    assert!(!servers.grants(0, LEASE_DURATION, acquire(&second, 2, 2)));
    assert!(servers.grants(0, 2 * LEASE_DURATION, acquire(&second, 2, 3)));
}

#[test]
fn late_release_does_not_end_the_grant_of_the_next_holder() {
    let mut servers = Servers::granting(1, false);
    let first = process("a", 1);
    let second = process("b", 2);
    assert!(servers.grants(0, LEASE_DURATION, acquire(&first, 1, 1)));
    servers.deliver(0, LEASE_DURATION, release(&first, 1));
    assert!(servers.grants(0, LEASE_DURATION, acquire(&second, 2, 1)));
    servers.deliver(0, LEASE_DURATION, release(&first, 1));
    servers.deliver(0, LEASE_DURATION, release(&first, 2));
    assert!(!servers.grants(0, LEASE_DURATION + 1, acquire(&first, 3, 2)));
}

#[test]
fn refuses_durations_of_zero_and_above_the_maximum() {
    let mut servers = Servers::granting(1, false);
    for duration in [0, LEASE_DURATION + 1] {
        let request = acquire_for(&process("a", 1), 1, 1, duration);
        assert!(matches!(
            servers.deliver(0, LEASE_DURATION, request),
            Some(LeaseResponse::Refused { .. })
        ));
    }
}

proptest! {
    /// With two clocks at opposite ends of the drift, the holding time ends before the grant expires.
    #[test]
    fn holding_time_ends_before_its_grant(duration in 1u64..600_000_000, drift_ppm in 0u32..400_000) {
        let drift = f64::from(drift_ppm) / 1e6;
        let holding_time = reduce_by_drift(duration, drift_ppm) as f64;
        prop_assert!(holding_time / (1.0 - drift) <= duration as f64 / (1.0 + drift) + 1e-3);
    }
}

fn run_due_clients(clients: &mut [LeaseClient], network: &mut Network, now: u64) {
    for (index, client) in clients.iter_mut().enumerate() {
        if client.next_deadline().is_some_and(|at| at <= now) {
            for message in client.on_timer(now, network.next_random()) {
                network.send_to_all(now, index, &message);
            }
        }
    }
}

fn deliver_arrived(
    clients: &mut [LeaseClient],
    servers: &mut Servers,
    network: &mut Network,
    now: u64,
) {
    while let Some(arrived) = network.next_arrived(now) {
        let Delivery {
            client,
            server,
            packet,
        } = arrived;
        match packet {
            Packet::Request(message) => {
                if let Some(response) = servers.deliver(server, now, message) {
                    let packet = Packet::Response(response);
                    network.send(
                        now,
                        Delivery {
                            client,
                            server,
                            packet,
                        },
                    );
                }
            }
            Packet::Response(response) => {
                let random = network.next_random();
                let messages = clients[client].handle_response(now, server, &response, random);
                for message in messages {
                    network.send_to_all(now, client, &message);
                }
            }
        }
    }
}

/// 300 nodes request the lease at the same time. One of them must hold it within a few rounds, and never two.
#[test]
fn three_hundred_simultaneous_contenders_end_with_one_holder() {
    let mut servers = Servers::granting(3, false);
    let mut clients: Vec<LeaseClient> = (0..300)
        .map(|index| {
            let process = process(&format!("n{index}"), index);
            LeaseClient::new("t", process, PARAMETERS, LEASE_DURATION)
        })
        .collect();
    let mut network = Network::new(PARAMETERS.server_count);
    let mut now = LEASE_DURATION;
    let mut held_at = None;
    while now < 20 * LEASE_DURATION && held_at.is_none() {
        run_due_clients(&mut clients, &mut network, now);
        deliver_arrived(&mut clients, &mut servers, &mut network, now);
        let holder_count = clients
            .iter()
            .filter(|client| client.held_epoch(now).is_some())
            .count();
        assert!(holder_count < 2);
        held_at = (holder_count == 1).then_some(now);
        now += 100;
    }
    let elapsed = held_at.expect("a client holds the lease") - LEASE_DURATION;
    println!(
        "lease held after {} ms and {} messages",
        elapsed / 1000,
        network.sent_count
    );
    assert!(elapsed < 3 * LEASE_DURATION, "{elapsed}");
}

/// A server that restarts with a shorter configured lease duration must still wait for the longer leases granted
/// before.
#[test]
fn shorter_lease_duration_does_not_shorten_the_wait_for_old_grants() {
    let mut servers = Servers::granting(3, false);
    assert!(servers.grants(0, LEASE_DURATION, acquire(&process("a", 1), 1, 1)));
    let shorter = LeaseServerConfig {
        max_duration: LEASE_DURATION / 10,
        ..config(0, 3, false)
    };
    let restarted_at = LEASE_DURATION + 1;
    servers.servers[0] = LeaseServer::new(shorter, Incarnation(9), &servers.logs[0], restarted_at);
    servers.run_recovery(restarted_at);
    assert_eq!(
        *servers.servers[0].recovery_state(),
        RecoveryState::WaitingForOldGrants(2 * LEASE_DURATION + 1)
    );
}

proptest! {
    /// Two processes of the same name use the same rounds and epochs, and a response to one of them may be delivered to
    /// the other, since messages are addressed by name. At most one may hold the lease, and only by grants to itself.
    #[test]
    fn ignores_responses_to_another_process_of_the_same_name(
        order in proptest::collection::vec((any::<bool>(), 0usize..3, any::<bool>()), 1..40),
    ) {
        let mut servers = Servers::granting(3, false);
        let mut clients = [1, 2]
            .map(|incarnation| LeaseClient::new("t", process("n", incarnation), PARAMETERS, LEASE_DURATION));
        let requests = [0, 1].map(|client| clients[client].on_timer(LEASE_DURATION, 0).remove(0));
        let mut granted_to: [BTreeSet<usize>; 2] = Default::default();
        for (is_second, server, is_misdelivered) in order {
            let requester = usize::from(is_second);
            let Some(response) = servers.deliver(server, LEASE_DURATION, requests[requester].clone()) else {
                continue;
            };
            if is_granted(Some(&response)) {
                granted_to[requester].insert(server);
            }
            let recipient = requester ^ usize::from(is_misdelivered);
            clients[recipient].handle_response(LEASE_DURATION, server, &response, 0);
            let held = [0, 1].map(|client| clients[client].held_epoch(LEASE_DURATION).is_some());
            prop_assert!(!(held[0] && held[1]));
            for client in 0..2 {
                prop_assert!(
                    !held[client] || granted_to[client].len() >= 2, "{client} holds by {granted_to:?}"
                );
            }
        }
    }
}
