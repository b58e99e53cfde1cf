//! One round of a lease client: one request sent to every lease server, and the responses.

use crate::lease::messages::ServerIncarnation;
use crate::{Incarnation, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// The lease server process that sent a grant.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Grantor {
    pub(super) incarnation: Incarnation,
    /// The newest incarnation of each other server that it knows.
    pub(super) known_incarnations: Vec<ServerIncarnation>,
}

/// A round and the responses received so far.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Round {
    pub(super) number: u64,
    /// When the requests were sent. The holding time starts here, not at the responses.
    pub(super) started_at: Micros,
    /// The servers that granted, by index.
    pub(super) granted: BTreeMap<usize, Grantor>,
    /// The indexes of the servers that refused.
    pub(super) refused: BTreeSet<usize>,
}

impl Round {
    pub(super) fn new(number: u64, started_at: Micros) -> Round {
        Round {
            number,
            started_at,
            granted: BTreeMap::new(),
            refused: BTreeSet::new(),
        }
    }

    /// Records a server's grant, unless a newer incarnation of that server has already granted in this round.
    pub(super) fn add_grant(&mut self, server: usize, grantor: Grantor) {
        let is_newest = self
            .granted
            .get(&server)
            .is_none_or(|known| known.incarnation <= grantor.incarnation);
        if is_newest {
            self.granted.insert(server, grantor);
        }
    }

    /// The servers whose grant does not count towards the majority, because another granting server knows a newer
    /// incarnation of them; mapped to that incarnation. Otherwise two processes under the same server name could
    /// contribute to the majorities of two different holders.
    pub(super) fn superseded(&self) -> BTreeMap<usize, Incarnation> {
        let mut superseded = BTreeMap::new();
        for grantor in self.granted.values() {
            for known in &grantor.known_incarnations {
                let counted = self.granted.get(&known.server);
                if counted.is_some_and(|counted| counted.incarnation < known.incarnation) {
                    superseded.insert(known.server, known.incarnation);
                }
            }
        }
        superseded
    }
}
