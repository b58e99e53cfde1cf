//! The messages that are stored as golden files, one datagram each.

use poppykeel_coordination::budget::{BudgetGrant, BudgetMessage, BudgetRequest, Demand, GrantId};
use poppykeel_coordination::envelope::{ClassReplies, CrossZoneAttempts, MessageBody, NodeFigures};
use poppykeel_coordination::lease::{
    AcquireRequest, LeaseRequest, LeaseResponse, RecoveryResponse, ServerIncarnation, TaskEpoch,
};
use poppykeel_coordination::outlier_probing::{ProbingMessage, Verdict};
use poppykeel_coordination::rolling_restart::{
    NodeProgress, NodeReport, OrderId, QueryId, RestartCommand, RestartMessage, RestartOrder,
};
use poppykeel_coordination::{Epoch, Incarnation, ProcessId};
use std::collections::BTreeMap;

/// All samples, except those of the membership protocol: the name of the golden file and the message.
pub fn message_samples() -> Vec<(&'static str, MessageBody)> {
    [
        lease_client_messages(),
        lease_server_messages(),
        lease_responses(),
        figures_messages(),
        restart_messages(),
        probing_messages(),
        budget_messages(),
    ]
    .concat()
}

fn holder() -> ProcessId {
    ProcessId {
        node: "node-c".into(),
        incarnation: Incarnation(0xfedc_ba98_7654_3210),
    }
}

fn server_incarnation(server: usize, incarnation: u64) -> ServerIncarnation {
    ServerIncarnation {
        server,
        incarnation: Incarnation(incarnation),
    }
}

fn task_epoch(task: &str, epoch: u64) -> TaskEpoch {
    TaskEpoch {
        task: task.into(),
        epoch: Epoch(epoch),
    }
}

/// Messages from clients to a lease server.
fn lease_client_messages() -> Vec<(&'static str, MessageBody)> {
    let acquire = LeaseRequest::Acquire(AcquireRequest {
        task: "budgets".into(),
        requester: holder(),
        epoch: Epoch(11),
        round: 1_200,
        duration: 5_000_000,
    });
    let release = LeaseRequest::Release {
        task: "trials".into(),
        holder: holder(),
        epoch: Epoch(12),
    };
    let superseded = LeaseRequest::Superseded(server_incarnation(4, 161));
    vec![
        ("lease-ask", MessageBody::LeaseRequest(acquire)),
        ("lease-release", MessageBody::LeaseRequest(release)),
        ("lease-superseded", MessageBody::LeaseRequest(superseded)),
    ]
}

/// Messages between lease servers.
fn lease_server_messages() -> Vec<(&'static str, MessageBody)> {
    let request = LeaseRequest::RequestRecovery(server_incarnation(2, 130_000));
    let recovery = LeaseRequest::Recovery(RecoveryResponse {
        server: 1,
        requester: Incarnation(141),
        responder: Incarnation(14_200),
        is_blank: true,
        is_founder: false,
        epochs: vec![task_epoch("budgets", 143), task_epoch("roll", 14_400)],
        newest_requester: Incarnation(145),
        incarnations: vec![server_incarnation(0, 146), server_incarnation(2, 14_700)],
    });
    let empty_recovery = LeaseRequest::Recovery(RecoveryResponse {
        server: 3,
        requester: Incarnation(151),
        responder: Incarnation(152),
        is_blank: false,
        is_founder: true,
        epochs: vec![],
        newest_requester: Incarnation(153),
        incarnations: vec![],
    });
    vec![
        ("lease-recall", MessageBody::LeaseRequest(request)),
        ("lease-memory", MessageBody::LeaseRequest(recovery)),
        (
            "lease-memory-empty",
            MessageBody::LeaseRequest(empty_recovery),
        ),
    ]
}

fn lease_responses() -> Vec<(&'static str, MessageBody)> {
    let granted = LeaseResponse::Granted {
        task: "budgets".into(),
        requester: Incarnation(21),
        round: 2_200,
        epoch: Epoch(23),
        server_incarnation: Incarnation(240_000),
        incarnations: vec![server_incarnation(1, 25), server_incarnation(2, 2_600)],
    };
    let refused = LeaseResponse::Refused {
        task: "roll".into(),
        requester: Incarnation(31),
        round: 3_200,
        epoch: Epoch(33),
        holder: Some(holder()),
        remaining: 3_400_000,
    };
    let refused_without_holder = LeaseResponse::Refused {
        task: "trials".into(),
        requester: Incarnation(35),
        round: 36,
        epoch: Epoch(37),
        holder: None,
        remaining: 38,
    };
    vec![
        ("lease-granted", MessageBody::LeaseResponse(granted)),
        ("lease-refused", MessageBody::LeaseResponse(refused)),
        (
            "lease-refused-without-holder",
            MessageBody::LeaseResponse(refused_without_holder),
        ),
    ]
}

fn class_replies(class: &str, served: u64, refused: u64, failed: u64) -> ClassReplies {
    ClassReplies {
        class: class.into(),
        served,
        refused,
        failed,
    }
}

fn figures_messages() -> Vec<(&'static str, MessageBody)> {
    let figures = NodeFigures {
        replies: vec![
            class_replies("chat", 41, 4_200, 43),
            class_replies("batch", 44, 45, 460_000),
        ],
        cross_zone_attempts: vec![CrossZoneAttempts {
            class: "chat".into(),
            tenant: "acme".into(),
            count: 47,
        }],
        dispatches: 4_800,
        requests_in_flight: 49,
        wall_clock: 1_700_000_000_000_000,
    };
    vec![
        (
            "figures-ask",
            MessageBody::RequestFigures { report_number: 401 },
        ),
        (
            "figures",
            MessageBody::Figures {
                report_number: 402,
                figures,
            },
        ),
    ]
}

fn order_id(number: u64, ordered_at: &str) -> OrderId {
    OrderId {
        number,
        ordered_at: ordered_at.into(),
    }
}

fn query(epoch: u64, round: u64) -> QueryId {
    QueryId {
        epoch: Epoch(epoch),
        round,
    }
}

fn report(query: QueryId, progress: NodeProgress, is_idle: bool) -> RestartMessage {
    RestartMessage::Report(NodeReport {
        query,
        progress,
        is_idle,
    })
}

fn command(query: QueryId, command: RestartCommand) -> RestartMessage {
    RestartMessage::Command { query, command }
}

fn restart_messages() -> Vec<(&'static str, MessageBody)> {
    let order = RestartMessage::Order(RestartOrder {
        id: order_id(51, "node-d"),
        nodes: vec!["node-a".into(), "node-b".into(), "node-c".into()],
        max_out: 2,
        stay_out: 5_300_000,
        return_after: 54_000_000,
    });
    let query_message = RestartMessage::Query {
        query: query(55, 56),
        order: order_id(57, "node-d"),
    };
    let waiting = report(query(58, 59), NodeProgress::Waiting, false);
    let out = report(query(60, 61), NodeProgress::Out, true);
    let done = report(query(62, 63), NodeProgress::Done, false);
    let leave = command(query(64, 65), RestartCommand::Leave);
    let return_to_service = command(query(66, 67), RestartCommand::Return);
    let completed = RestartMessage::Completed(order_id(68, "node-e"));
    let messages = [
        ("roll-order", order),
        ("roll-ask", query_message),
        ("roll-want", RestartMessage::RequestOrder),
        ("roll-tell-waiting", waiting),
        ("roll-tell-out", out),
        ("roll-tell-done", done),
        ("roll-act-leave", leave),
        ("roll-act-return", return_to_service),
        ("roll-over", completed),
    ];
    messages
        .map(|(name, message)| (name, MessageBody::RollingRestart(message)))
        .into()
}

fn verdict(replica: &str, is_healthy: bool) -> Verdict {
    Verdict {
        replica: replica.into(),
        is_healthy,
    }
}

fn probing_messages() -> Vec<(&'static str, MessageBody)> {
    let ejected = ProbingMessage::Ejected {
        replicas: vec!["s-1".into(), "s-22".into()],
    };
    let verdicts = ProbingMessage::Verdicts {
        epoch: Epoch(71),
        verdicts: vec![verdict("s-3", true), verdict("s-4", false)],
    };
    vec![
        ("trials-ejected", MessageBody::OutlierProbing(ejected)),
        ("trials-verdicts", MessageBody::OutlierProbing(verdicts)),
    ]
}

fn rates() -> BTreeMap<String, u64> {
    BTreeMap::from([("crossings".into(), 81), ("retries".into(), 8_200)])
}

fn demands() -> BTreeMap<String, Demand> {
    let crossings = Demand {
        rate: 83,
        weight: 1,
    };
    let retries = Demand {
        rate: 8_400,
        weight: 85,
    };
    BTreeMap::from([("crossings".into(), crossings), ("retries".into(), retries)])
}

fn grant_id(epoch: u64, number: u64) -> GrantId {
    GrantId {
        epoch: Epoch(epoch),
        number,
    }
}

fn budget_messages() -> Vec<(&'static str, MessageBody)> {
    let request = BudgetMessage::Request(BudgetRequest {
        requester: holder(),
        epoch: Epoch(86),
        request_number: 8_700,
        current_grant: Some(grant_id(88, 89)),
        rates: rates(),
        demands: demands(),
    });
    let first_request = BudgetMessage::Request(BudgetRequest {
        requester: holder(),
        epoch: Epoch(90),
        request_number: 91,
        current_grant: None,
        rates: BTreeMap::new(),
        demands: demands(),
    });
    let new_epoch = BudgetMessage::NewEpoch(Epoch(96));
    let grant = BudgetMessage::Grant(BudgetGrant {
        requester: Incarnation(92),
        id: grant_id(93, 94),
        request_number: 9_500,
        duration: 2_000_000,
        rates: rates(),
    });
    vec![
        ("budget-ask", MessageBody::Budget(request)),
        ("budget-ask-first", MessageBody::Budget(first_request)),
        ("budget-hello", MessageBody::Budget(new_epoch)),
        ("budget-share", MessageBody::Budget(grant)),
    ]
}
