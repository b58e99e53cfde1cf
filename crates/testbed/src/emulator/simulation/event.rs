//! The events of a simulation.
//!
//! An event describes what happens at its time and not its consequences. Events for a process of a node carry its generation
//! and are dropped once another process has replaced it. Timers of servers carry the number of the server's step plan and
//! are dropped once the server has a newer plan.

use super::super::clients::ClientRequest;
use super::super::coordination::{CoordinationEvent, ProcessNumber};
use super::super::model_server::{AttemptKey, ReportedLoad};
use crate::Micros;
use poppykeel_scheduler::{AttemptOutcome, EndpointState, RequestId};

/// What a node is notified of about a submission.
#[derive(Clone, Copy, Debug)]
pub(super) enum NodeNotice {
    /// The request has arrived.
    Arrived,
    /// The client has disconnected.
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

/// What a client is notified of about its submission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum ClientNotice {
    FirstToken,
    /// The answer is complete.
    Completed,
    /// The answer failed after the first token.
    Broken,
    /// The request failed before the first token.
    Failed,
    /// The node has rejected the request.
    Rejected {
        retry_after: Micros,
    },
}

/// A step of a fault. `fault` is its index in the description.
#[derive(Clone, Copy, Debug)]
pub(super) enum FaultEvent {
    Begin {
        fault: usize,
    },
    End {
        fault: usize,
    },
    /// The next stall of a fault that stalls servers repeatedly until a time.
    NextStall {
        fault: usize,
        until: Micros,
    },
    /// A server that has crashed restarts.
    StartServer {
        server: usize,
    },
    /// The next wave of a deployment, which begins with this server.
    DeployWave {
        fault: usize,
        first_server: usize,
    },
}

#[derive(Debug)]
pub(super) enum Event {
    /// A tenant sends its next request.
    Arrival { tenant: usize },
    /// A client retries a request.
    ClientRetry(Box<ClientRequest>),
    /// A notice reaches a client.
    AtClient {
        request: RequestId,
        notice: ClientNotice,
    },
    /// A client disconnects if it has no first token yet.
    ClientTimeout { request: RequestId },
    /// A notice reaches a node.
    AtNode {
        node: usize,
        generation: u32,
        request: RequestId,
        notice: NodeNotice,
    },
    /// The timers of a node are due.
    NodeTimer { node: usize, generation: u32 },
    /// The result of a health check reaches a node.
    ProbeEnded {
        node: usize,
        generation: u32,
        server: usize,
        outcome: AttemptOutcome,
        load: Option<ReportedLoad>,
    },
    /// A change of the endpoint list reaches a node.
    EndpointChanged {
        node: usize,
        generation: u32,
        server: usize,
        state: EndpointState,
        started_at: Option<Micros>,
    },
    /// A stream that has sent nothing times out.
    StreamTimeout { key: AttemptKey },
    /// An attempt reaches a server.
    AttemptAtServer { server: usize, key: AttemptKey },
    /// A health check reaches a server.
    ProbeAtServer {
        node: usize,
        generation: u32,
        server: usize,
    },
    /// The cancellation of an attempt reaches a server.
    CancelAtServer { server: usize, key: AttemptKey },
    /// The planned steps of a server end. Dropped if the server has a newer plan.
    ServerTimer { server: usize, plan: u32 },
    /// A step of a fault.
    Fault(FaultEvent),
    /// An event of the coordination of a node.
    Coordination {
        node: usize,
        process: ProcessNumber,
        event: CoordinationEvent,
    },
    /// The lease holders are checked.
    CheckLeaseHolders,
    /// The occupancy of servers is sampled.
    SampleOccupancy,
}
