//! The clients whose response has not begun, and who owns which request.

use super::send_reply;
use crate::routing::cross_zone::RequestGroup;
use crate::routing::DurationMicros;
use crate::transport::messages::{ClientResponse, Reply, RequestOwner, RequestPayload};
use poppykeel_scheduler::RequestId;
use std::collections::HashMap;
use std::rc::Rc;

/// Owners of requests that are over and that may be kept beside those of active requests.
const MAX_STALE_OWNERS: usize = 256;

/// A client whose response has not begun, and what its attempts need.
pub(super) struct WaitingClient {
    /// What replicas are sent.
    pub(super) payload: Rc<RequestPayload>,
    /// The class's objective for the time between two tokens.
    pub(super) inter_token_objective: Option<DurationMicros>,
    /// The request's class and tenant.
    pub(super) group: RequestGroup,
    /// Where the response goes.
    pub(super) response: Reply<ClientResponse>,
}

/// All clients whose response has not begun, by request.
#[derive(Default)]
pub(super) struct WaitingClients {
    clients: HashMap<RequestId, WaitingClient>,
}

impl WaitingClients {
    /// Adds the client of a request that has just been taken.
    pub(super) fn add(&mut self, request: RequestId, client: WaitingClient) {
        self.clients.insert(request, client);
    }

    /// The client of this request, if it still waits.
    pub(super) fn get(&self, request: RequestId) -> Option<&WaitingClient> {
        self.clients.get(&request)
    }

    /// Forgets the client of a request; it gets no response.
    pub(super) fn remove(&mut self, request: RequestId) {
        self.clients.remove(&request);
    }

    /// Whether the client of this request has disconnected. The word of it may still wait behind other messages, and no
    /// attempt may start meanwhile.
    pub(super) fn has_disconnected(&self, request: RequestId) -> bool {
        self.clients
            .get(&request)
            .is_some_and(|client| client.response.is_closed())
    }

    /// Gives the client of a request its response, if it still waits.
    pub(super) fn respond(&mut self, request: RequestId, response: ClientResponse) {
        if let Some(client) = self.clients.remove(&request) {
            send_reply(client.response, response);
        }
    }
}

/// Who waits for which request. Owners outlive the wait for the response: a client may disconnect during its stream.
#[derive(Default)]
pub(super) struct RequestOwners {
    owners: HashMap<RequestId, RequestOwner>,
}

impl RequestOwners {
    /// Whether this owner waits for the request.
    pub(super) fn is_owner(&self, request: RequestId, owner: RequestOwner) -> bool {
        self.owners.get(&request) == Some(&owner)
    }

    /// Notes who waits for a request. Once most owners are those of requests that are over, these are removed first.
    pub(super) fn set(
        &mut self,
        request: RequestId,
        owner: RequestOwner,
        active_count: usize,
        is_active: impl Fn(RequestId) -> bool,
    ) {
        if self.owners.len() > 2 * active_count + MAX_STALE_OWNERS {
            self.owners.retain(|request, _| is_active(*request));
        }
        self.owners.insert(request, owner);
    }
}
