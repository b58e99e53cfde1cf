//! The events of a simulation.
//!
//! An event says what happens at its time, not what follows from it. Those that are for a process of a node carry its
//! epoch and are dropped once another process has its place; those that a later plan has replaced carry its number.

use super::super::clients::ClientRequest;
use super::super::coordination::{CoordinationEvent, ProcessNumber};
use super::super::model_server::{AttemptKey, ReportedLoad};
use crate::Micros;
use poppykeel_scheduler::{AttemptOutcome, EndpointState, RequestId};

/// What a node learns of a try.
#[derive(Clone, Copy, Debug)]
pub(super) enum NodeNotice {
    /// The client has sent it.
    Arrived,
    /// The client has left.
    ClientLeft,
    /// An attempt has its first token.
    FirstToken { attempt: usize },
    /// An attempt has ended.
    AttemptEnded {
        attempt: usize,
        outcome: AttemptOutcome,
        load: Option<ReportedLoad>,
    },
}

/// What a client learns of its try.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum ClientNotice {
    FirstToken,
    /// The answer is complete.
    Completed,
    /// The answer was broken off after its first token.
    Broken,
    /// It failed before its first token.
    Failed,
    /// The node has rejected it.
    Rejected {
        retry_after: Micros,
    },
}

/// A step of a fault. `fault` is its position in the description.
#[derive(Clone, Copy, Debug)]
pub(super) enum FaultEvent {
    Begin {
        fault: usize,
    },
    End {
        fault: usize,
    },
    /// The next stall of a fault that stalls servers again and again, until a time.
    NextStall {
        fault: usize,
        until: Micros,
    },
    /// A server that has ended starts again.
    StartServer {
        server: usize,
    },
    /// The next wave of a deployment; its first server.
    DeployWave {
        fault: usize,
        first_server: usize,
    },
}

/// What happens.
#[derive(Debug)]
pub(super) enum Event {
    /// A tenant sends its next request.
    Arrival { tenant: usize },
    /// A client tries a request again.
    ClientRetry(Box<ClientRequest>),
    /// A client learns of its try.
    AtClient {
        request: RequestId,
        notice: ClientNotice,
    },
    /// A client leaves if its try has no first token yet.
    ClientTimeout { request: RequestId },
    /// A node learns of a try.
    AtNode {
        node: usize,
        epoch: u32,
        request: RequestId,
        notice: NodeNotice,
    },
    /// The timers of a node are due.
    NodeTimer { node: usize, epoch: u32 },
    /// A node learns how a health check has ended.
    ProbeEnded {
        node: usize,
        epoch: u32,
        server: usize,
        outcome: AttemptOutcome,
        load: Option<ReportedLoad>,
    },
    /// A node learns of a change of the endpoint list.
    EndpointChanged {
        node: usize,
        epoch: u32,
        server: usize,
        state: EndpointState,
        started_at: Option<Micros>,
    },
    /// A node gives up an attempt whose stream sends nothing.
    StreamTimeout { key: AttemptKey },
    /// An attempt reaches a server.
    AttemptAtServer { server: usize, key: AttemptKey },
    /// A health check reaches a server.
    ProbeAtServer {
        node: usize,
        epoch: u32,
        server: usize,
    },
    /// The cancellation of an attempt reaches a server.
    CancelAtServer { server: usize, key: AttemptKey },
    /// The steps of a server end, if its plan is still this one.
    ServerTimer { server: usize, plan: u32 },
    /// A step of a fault.
    Fault(FaultEvent),
    /// Something happens to the coordination of a node.
    Coordination {
        node: usize,
        process: ProcessNumber,
        event: CoordinationEvent,
    },
    /// It is checked which nodes hold the lease.
    CheckLeaseHolders,
    /// It is measured how busy servers are.
    SampleOccupancy,
}
