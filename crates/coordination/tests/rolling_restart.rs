//! Rolling restarts on a simulated clock, with lost, late and duplicated messages and replaced coordinators. The number
//! of nodes out must never exceed the limit, and all nodes must have been out in the end.

use poppykeel_coordination::rolling_restart::{
    NodeProgress, NodeReport, OrderId, QueryId, RestartCommand, RestartCoordinator, RestartMessage,
    RestartOrder, RestartParticipant,
};
use poppykeel_coordination::Epoch;
use proptest::prelude::*;

const NODES: usize = 7;
/// The number of nodes, from the first, that are lease servers.
const LEASE_SERVERS: usize = 3;
const RETURN_AFTER: u64 = 1_000;
/// The time between two rounds.
const STEP: u64 = 10;
const ROUNDS: usize = 3_000;
/// The last round with lost or late messages.
const LAST_FAULTY_ROUND: usize = 2_000;

fn node_name(index: usize) -> String {
    format!("n{index}")
}

fn node_index(name: &str) -> usize {
    name[1..].parse().expect("node names are n<index>")
}

fn node_names() -> Vec<String> {
    (0..NODES).map(node_name).collect()
}

fn lease_servers() -> Vec<String> {
    (0..LEASE_SERVERS).map(node_name).collect()
}

fn order_id() -> OrderId {
    OrderId {
        number: 1,
        ordered_at: "n0".into(),
    }
}

fn query(epoch: u64, round: u64) -> QueryId {
    QueryId {
        epoch: Epoch(epoch),
        round,
    }
}

fn order(max_out: u32) -> RestartOrder {
    RestartOrder {
        id: order_id(),
        nodes: node_names(),
        max_out,
        stay_out: 20,
        return_after: RETURN_AFTER,
    }
}

fn participant_with_order() -> RestartParticipant {
    let mut participant = RestartParticipant::default();
    participant.learn_order(order(1));
    participant
}

/// How the network delivers a message.
#[derive(Clone, Copy, Debug)]
enum Delivery {
    Now,
    Lost,
    Late(u64),
    /// Delivered now, and again after a delay.
    Twice(u64),
}

fn delivery() -> impl Strategy<Value = Delivery> {
    prop_oneof![
        6 => Just(Delivery::Now),
        1 => Just(Delivery::Lost),
        1 => (1u64..400).prop_map(Delivery::Late),
        1 => (1u64..400).prop_map(Delivery::Twice),
    ]
}

struct DelayedMessage {
    due_at: u64,
    node: usize,
    message: RestartMessage,
}

struct Fleet {
    participants: Vec<RestartParticipant>,
    delayed: Vec<DelayedMessage>,
    /// The highest observed number of nodes out.
    max_out: usize,
    /// The lowest observed number of lease servers in service.
    min_lease_servers_in: usize,
    /// Which nodes have been out.
    has_been_out: Vec<bool>,
}

impl Fleet {
    fn new(max_out: u32) -> Fleet {
        let mut participants = vec![RestartParticipant::default(); NODES];
        for participant in &mut participants {
            participant.learn_order(order(max_out));
        }
        Fleet {
            participants,
            delayed: Vec::new(),
            max_out: 0,
            min_lease_servers_in: LEASE_SERVERS,
            has_been_out: vec![false; NODES],
        }
    }

    fn deliver(
        &mut self,
        node: usize,
        message: &RestartMessage,
        now: u64,
    ) -> Option<RestartMessage> {
        let participant = &mut self.participants[node];
        let answer = match message {
            RestartMessage::Query { query, order } => {
                participant.handle_query(*query, order, true, now)
            }
            RestartMessage::Command { query, command } => {
                participant.handle_command(*query, *command, now);
                None
            }
            _ => None,
        };
        self.observe();
        answer
    }

    fn observe(&mut self) {
        let is_out: Vec<bool> = self
            .participants
            .iter()
            .map(|participant| participant.progress() == NodeProgress::Out)
            .collect();
        let out_count = is_out.iter().filter(|is_out| **is_out).count();
        self.max_out = self.max_out.max(out_count);
        let servers_in = is_out[..LEASE_SERVERS].iter().filter(|is_out| !**is_out);
        self.min_lease_servers_in = self.min_lease_servers_in.min(servers_in.count());
        for (has_been_out, is_out) in self.has_been_out.iter_mut().zip(&is_out) {
            *has_been_out |= *is_out;
        }
    }

    fn send(
        &mut self,
        node: usize,
        message: RestartMessage,
        delivery: Delivery,
        now: u64,
    ) -> Option<RestartMessage> {
        match delivery {
            Delivery::Lost => None,
            Delivery::Now => self.deliver(node, &message, now),
            Delivery::Late(delay) => {
                self.delay(node, message, now + delay);
                None
            }
            Delivery::Twice(delay) => {
                self.delay(node, message.clone(), now + delay);
                self.deliver(node, &message, now)
            }
        }
    }

    fn delay(&mut self, node: usize, message: RestartMessage, due_at: u64) {
        self.delayed.push(DelayedMessage {
            due_at,
            node,
            message,
        });
    }

    /// Delivers the delayed messages that are due, then returns the nodes whose `return_after` has passed.
    fn advance_to(&mut self, now: u64) {
        let (due, delayed): (Vec<_>, Vec<_>) = std::mem::take(&mut self.delayed)
            .into_iter()
            .partition(|delayed| delayed.due_at <= now);
        self.delayed = delayed;
        for DelayedMessage { node, message, .. } in due {
            self.deliver(node, &message, now);
        }
        for participant in &mut self.participants {
            participant.return_if_timed_out(now);
        }
        self.observe();
    }
}

/// A fleet with an open order and a coordinator that may be replaced.
struct Run {
    fleet: Fleet,
    coordinator: RestartCoordinator,
    epoch: u64,
    max_out: u32,
    now: u64,
}

impl Run {
    fn new(max_out: u32) -> Run {
        Run {
            fleet: Fleet::new(max_out),
            coordinator: Run::coordinator(1, max_out, 0),
            epoch: 1,
            max_out,
            now: 0,
        }
    }

    /// A new coordinator, which knows only the order.
    fn coordinator(epoch: u64, max_out: u32, now: u64) -> RestartCoordinator {
        let drift_ppm = 0;
        RestartCoordinator::new(
            Epoch(epoch),
            order(max_out),
            lease_servers(),
            drift_ppm,
            now,
        )
    }

    fn replace_coordinator(&mut self) {
        self.epoch += 1;
        self.coordinator = Run::coordinator(self.epoch, self.max_out, self.now);
    }

    /// Runs all rounds. The deliveries are used cyclically. `rounds_until_replaced` holds the number of rounds after
    /// which each coordinator is replaced.
    fn run_rounds(&mut self, deliveries: Vec<Delivery>, rounds_until_replaced: Vec<usize>) {
        let mut deliveries = deliveries.into_iter().cycle();
        let mut rounds_until_replaced = rounds_until_replaced.into_iter();
        let mut rounds_left = rounds_until_replaced.next();
        for round in 1..=ROUNDS {
            self.now += STEP;
            self.fleet.advance_to(self.now);
            rounds_left = rounds_left.map(|rounds| rounds - 1);
            if rounds_left == Some(0) {
                self.replace_coordinator();
                rounds_left = rounds_until_replaced.next();
            }
            self.round(|| {
                if round > LAST_FAULTY_ROUND {
                    Delivery::Now
                } else {
                    deliveries
                        .next()
                        .expect("the cycle of deliveries is not empty")
                }
            });
        }
    }

    /// Runs one round of queries, answers and commands.
    fn round(&mut self, mut next_delivery: impl FnMut() -> Delivery) {
        let now = self.now;
        for query in self.coordinator.next_queries() {
            let node = node_index(&query.node);
            let answer = self.fleet.send(node, query.message, next_delivery(), now);
            if let Some(RestartMessage::Report(report)) = answer {
                self.coordinator
                    .handle_report(&node_name(node), &report, now);
            }
        }
        for command in self.coordinator.next_commands(now) {
            let node = node_index(&command.node);
            self.fleet
                .send(node, command.message(), next_delivery(), now);
        }
    }
}

proptest! {
    #[test]
    fn nodes_out_never_exceed_the_limit_and_the_order_finishes(
        max_out in 1u32..4,
        deliveries in proptest::collection::vec(delivery(), 1..400),
        rounds_until_replaced in proptest::collection::vec(1usize..60, 0..4),
    ) {
        let mut run = Run::new(max_out);
        run.run_rounds(deliveries, rounds_until_replaced);
        let Run { fleet, coordinator, now, .. } = run;
        prop_assert!(fleet.max_out <= max_out as usize, "{} out", fleet.max_out);
        prop_assert!(
            fleet.min_lease_servers_in >= 2, "{} lease servers in", fleet.min_lease_servers_in
        );
        let have_all_been_out = fleet.has_been_out.iter().all(|has_been_out| *has_been_out);
        prop_assert!(
            coordinator.is_finished(now) && have_all_been_out, "{:?}", coordinator.progress(now)
        );
    }
}

/// Late queries reach a node but its answers are lost. The queries must not extend the node's return timer, or it would
/// stay out for longer than the coordinator counts it as out.
#[test]
fn counts_a_node_as_out_while_its_answers_are_lost() {
    use Delivery::{Late, Lost, Now};
    let mut run = Run::new(1);
    run.run_rounds(vec![Now, Now, Now, Lost, Now, Late(1), Now], Vec::new());
    assert!(run.fleet.max_out <= 1, "{} out", run.fleet.max_out);
}

#[test]
fn drops_commands_older_than_the_last_query() {
    let mut participant = participant_with_order();
    participant.handle_query(query(1, 1), &order_id(), true, 0);
    participant.handle_query(query(1, 2), &order_id(), true, 1);
    assert!(!participant.handle_command(query(1, 1), RestartCommand::Leave, 2));
    assert!(participant.handle_command(query(1, 2), RestartCommand::Leave, 2));
    assert!(participant.progress() == NodeProgress::Out);
    // Messages of a coordinator with an earlier epoch are ignored.
    participant.handle_query(query(2, 1), &order_id(), true, 3);
    let answer = participant.handle_query(query(1, 3), &order_id(), true, 4);
    assert!(answer.is_none());
    assert!(!participant.handle_command(query(1, 3), RestartCommand::Return, 4));
}

#[test]
fn node_without_contact_to_a_coordinator_returns_on_its_own() {
    let mut participant = participant_with_order();
    participant.handle_query(query(1, 1), &order_id(), true, 0);
    assert!(participant.handle_command(query(1, 1), RestartCommand::Leave, 2));
    assert!(!participant.return_if_timed_out(RETURN_AFTER - 1));
    assert!(participant.return_if_timed_out(RETURN_AFTER));
    assert!(participant.progress() == NodeProgress::Done);
}

#[test]
fn node_requests_an_unknown_order_and_reports_a_newer_one() {
    let mut participant = RestartParticipant::default();
    let answer = participant.handle_query(query(1, 1), &order_id(), true, 0);
    assert_eq!(answer, Some(RestartMessage::RequestOrder));
    participant.learn_order(order(1));
    let report = NodeReport {
        query: query(1, 2),
        progress: NodeProgress::Waiting,
        is_idle: false,
    };
    let answer = participant.handle_query(query(1, 2), &order_id(), true, 0);
    assert_eq!(answer, Some(RestartMessage::Report(report)));
    let newer = RestartOrder {
        id: OrderId {
            number: 2,
            ..order_id()
        },
        ..order(3)
    };
    participant.learn_order(newer.clone());
    participant.learn_order(order(1));
    let answer = participant.handle_query(query(1, 3), &order_id(), true, 0);
    assert_eq!(answer, Some(RestartMessage::Order(newer)));
}
