//! Clients that wait for a response, and the owner of each request.

use super::send_reply;
use crate::routing::cross_zone::RequestGroup;
use crate::routing::DurationMicros;
use crate::transport::messages::{ClientResponse, Reply, RequestOwner, RequestPayload};
use poppykeel_scheduler::RequestId;
use std::collections::HashMap;
use std::rc::Rc;

/// Owners of finished requests are removed once the number of owners exceeds twice the number of active requests by more
/// than this.
const MAX_STALE_OWNERS: usize = 256;

/// A client whose response has not begun, with the data that its attempts need.
pub(super) struct WaitingClient {
    pub(super) payload: Rc<RequestPayload>,
    /// The class's objective for the time between two tokens, in microseconds; `None` if it has none.
    pub(super) inter_token_objective: Option<DurationMicros>,
    pub(super) group: RequestGroup,
    pub(super) response: Reply<ClientResponse>,
}

/// All clients whose response has not begun, by request.
#[derive(Default)]
pub(super) struct WaitingClients {
    clients: HashMap<RequestId, WaitingClient>,
}

impl WaitingClients {
    pub(super) fn add(&mut self, request: RequestId, client: WaitingClient) {
        self.clients.insert(request, client);
    }

    pub(super) fn get(&self, request: RequestId) -> Option<&WaitingClient> {
        self.clients.get(&request)
    }

    /// Removes the client of a request without responding to it.
    pub(super) fn remove(&mut self, request: RequestId) {
        self.clients.remove(&request);
    }

    /// Whether the client of this request has disconnected. Its disconnect message may still be queued; no attempt may start
    /// in the meantime.
    pub(super) fn has_disconnected(&self, request: RequestId) -> bool {
        self.clients
            .get(&request)
            .is_some_and(|client| client.response.is_closed())
    }

    /// Sends the client of a request its response, if the client still waits.
    pub(super) fn respond(&mut self, request: RequestId, response: ClientResponse) {
        if let Some(client) = self.clients.remove(&request) {
            send_reply(client.response, response);
        }
    }
}

/// The owner of each request. Owners are kept beyond the wait for the response, since a client may disconnect during its
/// stream.
#[derive(Default)]
pub(super) struct RequestOwners {
    owners: HashMap<RequestId, RequestOwner>,
}

impl RequestOwners {
    pub(super) fn is_owner(&self, request: RequestId, owner: RequestOwner) -> bool {
        self.owners.get(&request) == Some(&owner)
    }

    /// Sets the owner of a request. Removes the owners of finished requests first if there are too many (see
    /// [`MAX_STALE_OWNERS`]).
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
