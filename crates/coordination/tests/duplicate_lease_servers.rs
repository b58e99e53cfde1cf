//! A second process under a lease server's name, beside the first and with an empty log: the two are never both counted,
//! one for each of two holders. By fed time.

use poppykeel_coordination::lease::{
    LeaseClient, LeaseParameters, LeaseRequest, LeaseServer, LeaseServerConfig, PeerMessage,
    RecoveryState,
};
use poppykeel_coordination::{Incarnation, ProcessId};
use proptest::prelude::*;

const LEASE_DURATION: u64 = 1_000_000;
/// The number that clients are given in place of a random one.
const RANDOM: u64 = 7;
/// The client that reaches the first process of the duplicated name, and the one that reaches the second.
const FIRST_CLIENT: usize = 0;
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

/// Lease servers in service, and a second process of one of them.
struct Fleet {
    servers: Vec<LeaseServer>,
    duplicate: LeaseServer,
    /// The index of the server whose name the duplicate has.
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
        bring_into_service(&mut servers);
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

    /// The process that a client reaches under a server's name.
    fn process(&mut self, client: usize, server: usize) -> &mut LeaseServer {
        if client == SECOND_CLIENT && server == self.duplicated {
            &mut self.duplicate
        } else {
            &mut self.servers[server]
        }
    }

    /// A process of the duplicated name asks another server what it remembers, as long as it has to.
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
        let answer = self.servers[other].handle(now, request).peer_message;
        if let Some(PeerMessage { message, .. }) = answer {
            self.duplicate.handle(now, message);
        }
    }

    /// The last request of a client reaches a server, and the answer comes back.
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

/// Lets servers that start for the first time find each other, and wait for old grants.
fn bring_into_service(servers: &mut [LeaseServer]) {
    let count = servers.len();
    for now in [0, LEASE_DURATION] {
        for _ in 0..3 {
            for asking in 0..count {
                for other in (0..count).filter(|other| *other != asking) {
                    recover(servers, asking, other, now);
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

/// A server asks another one what it remembers, if it still has to.
fn recover(servers: &mut [LeaseServer], asking: usize, other: usize, now: u64) {
    let Some(request) = servers[asking].recovery_request() else {
        return;
    };
    let answer = servers[other].handle(now, request).peer_message;
    if let Some(PeerMessage { server, message }) = answer {
        servers[server].handle(now, message);
    }
}

/// What happens next.
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
    fn two_processes_of_a_server_name_make_no_two_holders_among_three_servers(
        duplicated in 0usize..3,
        incarnations in any::<[u64; 2]>(),
        steps in proptest::collection::vec(step(3), 0..160),
    ) {
        check_steps(3, duplicated, incarnations, &steps)?;
    }

    #[test]
    fn two_processes_of_a_server_name_make_no_two_holders_among_five_servers(
        duplicated in 0usize..5,
        incarnations in any::<[u64; 2]>(),
        steps in proptest::collection::vec(step(5), 0..200),
    ) {
        check_steps(5, duplicated, incarnations, &steps)?;
    }
}

/// The way in which it once went wrong: one holder renews by the old process and another server, a second one asks the new
/// process and the third server. Once the second process has ended the first counts again, and with it any majority.
#[test]
fn first_process_counts_again_once_the_second_has_ended() {
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
    assert!(was_held_by_second, "the newest process counts");
    // From here on nobody answers as the second process, and server 2 is gone, too.
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
