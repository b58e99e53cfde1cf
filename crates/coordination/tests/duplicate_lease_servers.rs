//! Two running processes under the same lease server name, the second with an empty log, on a simulated clock. Guards
//! against two holders: each could have a majority that includes the grant of one of the two processes.

use poppykeel_coordination::lease::{
    LeaseClient, LeaseParameters, LeaseRequest, LeaseServer, LeaseServerConfig, PeerMessage,
    RecoveryState,
};
use poppykeel_coordination::{Incarnation, ProcessId};
use proptest::prelude::*;

const LEASE_DURATION: u64 = 1_000_000;
/// The fixed value that clients get as a random number.
const RANDOM: u64 = 7;
/// The client that reaches the first process of the duplicated name.
const FIRST_CLIENT: usize = 0;
/// The client that reaches the second process of the duplicated name.
const SECOND_CLIENT: usize = 1;

fn parameters(server_count: usize) -> LeaseParameters {
    LeaseParameters {
        server_count,
        duration: LEASE_DURATION,
        drift_ppm: 0,
        response_timeout: LEASE_DURATION / 8,
        min_pause: LEASE_DURATION / 64,
    }
}

fn config(server_index: usize, server_count: usize) -> LeaseServerConfig {
    LeaseServerConfig {
        server_count,
        server_index,
        max_duration: LEASE_DURATION,
        trusts_log: false,
    }
}

/// Granting lease servers, and a second process under the name of one of them.
struct Fleet {
    servers: Vec<LeaseServer>,
    duplicate: LeaseServer,
    /// The index of the server with two processes.
    duplicated: usize,
    now: u64,
    clients: [LeaseClient; 2],
    /// The last request of each client.
    requests: [Option<LeaseRequest>; 2],
}

impl Fleet {
    fn new(server_count: usize, duplicated: usize, incarnations: [u64; 2]) -> Fleet {
        let server = |index: usize| {
            let incarnation = if index == duplicated {
                incarnations[0]
            } else {
                index as u64
            };
            LeaseServer::new(
                config(index, server_count),
                Incarnation(incarnation),
                &[],
                0,
            )
        };
        let mut servers: Vec<LeaseServer> = (0..server_count).map(server).collect();
        complete_first_start(&mut servers);
        let client = |node: &str, incarnation| {
            let process = ProcessId {
                node: node.into(),
                incarnation: Incarnation(incarnation),
            };
            LeaseClient::new("t", process, parameters(server_count), LEASE_DURATION)
        };
        Fleet {
            servers,
            duplicate: LeaseServer::new(
                config(duplicated, server_count),
                Incarnation(incarnations[1]),
                &[],
                LEASE_DURATION,
            ),
            duplicated,
            now: LEASE_DURATION,
            clients: [client("a", 1), client("b", 2)],
            requests: [None, None],
        }
    }

    /// The process that receives a client's messages to a server.
    fn process(&mut self, client: usize, server: usize) -> &mut LeaseServer {
        if client == SECOND_CLIENT && server == self.duplicated {
            &mut self.duplicate
        } else {
            &mut self.servers[server]
        }
    }

    /// Exchanges a recovery request of one process of the duplicated name with another server, if it is recovering.
    fn recover(&mut self, is_duplicate: bool, other: usize) {
        if other == self.duplicated {
            return;
        }
        let now = self.now;
        if !is_duplicate {
            recover(&mut self.servers, self.duplicated, other, now);
            return;
        }
        let Some(request) = self.duplicate.recovery_request() else {
            return;
        };
        let response = self.servers[other].handle(now, request).peer_message;
        if let Some(PeerMessage { message, .. }) = response {
            self.duplicate.handle(now, message);
        }
    }

    /// Delivers the last request of a client to a server, and the response to the client.
    fn deliver(&mut self, client: usize, server: usize) {
        let Some(request) = self.requests[client].clone() else {
            return;
        };
        let now = self.now;
        let output = self.process(client, server).handle(now, request);
        let Some(response) = output.response else {
            return;
        };
        let messages = self.clients[client].handle_response(now, server, &response, RANDOM);
        self.send(client, messages);
    }

    fn send(&mut self, client: usize, messages: Vec<LeaseRequest>) {
        for message in messages {
            if matches!(message, LeaseRequest::Acquire(_)) {
                self.requests[client] = Some(message);
                continue;
            }
            for server in 0..self.servers.len() {
                let now = self.now;
                self.process(client, server).handle(now, message.clone());
            }
        }
    }

    fn advance_by(&mut self, time: u64) {
        self.now += time;
        for server in &mut self.servers {
            server.advance(self.now);
        }
        self.duplicate.advance(self.now);
        for client in [FIRST_CLIENT, SECOND_CLIENT] {
            let messages = self.clients[client].on_timer(self.now, RANDOM);
            self.send(client, messages);
        }
    }

    fn holds(&self, client: usize) -> bool {
        self.clients[client].held_epoch(self.now).is_some()
    }

    fn holder_count(&self) -> usize {
        let clients = [FIRST_CLIENT, SECOND_CLIENT].into_iter();
        clients.filter(|client| self.holds(*client)).count()
    }
}

/// Completes the recovery of servers that start for the first time, including the wait for old grants.
fn complete_first_start(servers: &mut [LeaseServer]) {
    let count = servers.len();
    for now in [0, LEASE_DURATION] {
        for _ in 0..3 {
            for requester in 0..count {
                for other in (0..count).filter(|other| *other != requester) {
                    recover(servers, requester, other, now);
                }
            }
        }
        for server in servers.iter_mut() {
            server.advance(now);
        }
    }
    for server in servers {
        assert_eq!(*server.recovery_state(), RecoveryState::Granting);
    }
}

/// Exchanges a recovery request of one server with another, if the first is recovering.
fn recover(servers: &mut [LeaseServer], requester: usize, other: usize, now: u64) {
    let Some(request) = servers[requester].recovery_request() else {
        return;
    };
    let response = servers[other].handle(now, request).peer_message;
    if let Some(PeerMessage { server, message }) = response {
        servers[server].handle(now, message);
    }
}

#[derive(Clone, Copy, Debug)]
enum Step {
    AdvanceBy(u64),
    Deliver { client: usize, server: usize },
    Recover { is_duplicate: bool, other: usize },
}

fn step(server_count: usize) -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => (1..LEASE_DURATION / 3).prop_map(Step::AdvanceBy),
        4 => (0usize..2, 0..server_count).prop_map(|(client, server)| Step::Deliver { client, server }),
        3 => (any::<bool>(), 0..server_count)
            .prop_map(|(is_duplicate, other)| Step::Recover { is_duplicate, other }),
    ]
}

fn check_steps(
    server_count: usize,
    duplicated: usize,
    incarnations: [u64; 2],
    steps: &[Step],
) -> Result<(), TestCaseError> {
    let mut fleet = Fleet::new(server_count, duplicated, incarnations);
    fleet.advance_by(0);
    for step in steps {
        match *step {
            Step::AdvanceBy(time) => fleet.advance_by(time),
            Step::Deliver { client, server } => fleet.deliver(client, server),
            Step::Recover {
                is_duplicate,
                other,
            } => fleet.recover(is_duplicate, other),
        }
        prop_assert!(
            fleet.holder_count() <= 1,
            "two holders at {} after {step:?}",
            fleet.now
        );
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3_000, ..ProptestConfig::default() })]

    #[test]
    fn duplicate_among_three_servers_never_allows_two_holders(
        duplicated in 0usize..3,
        incarnations in any::<[u64; 2]>(),
        steps in proptest::collection::vec(step(3), 0..160),
    ) {
        check_steps(3, duplicated, incarnations, &steps)?;
    }

    #[test]
    fn duplicate_among_five_servers_never_allows_two_holders(
        duplicated in 0usize..5,
        incarnations in any::<[u64; 2]>(),
        steps in proptest::collection::vec(step(5), 0..200),
    ) {
        check_steps(5, duplicated, incarnations, &steps)?;
    }
}

/// Guards against two holders: one client renews at the first process and server 1, while another acquires at the
/// second process and server 2. After the second process has ended, the first must grant again, or there is no
/// majority.
#[test]
fn first_process_grants_again_after_the_second_has_ended() {
    let mut fleet = Fleet::new(3, 0, [5, 3]);
    fleet.advance_by(0);
    let mut was_held_by_second = false;
    for _ in 0..40 {
        fleet.recover(true, 1);
        fleet.recover(true, 2);
        fleet.deliver(FIRST_CLIENT, 0);
        fleet.deliver(FIRST_CLIENT, 1);
        fleet.deliver(SECOND_CLIENT, 0);
        fleet.deliver(SECOND_CLIENT, 2);
        assert!(fleet.holder_count() <= 1, "at {}", fleet.now);
        was_held_by_second |= fleet.holds(SECOND_CLIENT);
        fleet.advance_by(LEASE_DURATION / 4);
    }
    assert!(
        was_held_by_second,
        "grants of the newest process must count towards a majority"
    );
    // The second process and server 2 have ended.
    let mut was_held_by_first = false;
    for _ in 0..40 {
        fleet.recover(false, 1);
        fleet.recover(false, 2);
        fleet.deliver(FIRST_CLIENT, 0);
        fleet.deliver(FIRST_CLIENT, 1);
        was_held_by_first |= fleet.holds(FIRST_CLIENT);
        fleet.advance_by(LEASE_DURATION / 4);
    }
    assert!(was_held_by_first, "{:?}", fleet.servers[0].recovery_state());
}
