//! One round of a lease client: the same question to every lease server, and their answers.

use crate::lease::messages::ServerIncarnation;
use crate::{Incarnation, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// The process of a lease server that granted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Grantor {
    pub(super) incarnation: Incarnation,
    /// The newest incarnation that it knows of each other server.
    pub(super) known_incarnations: Vec<ServerIncarnation>,
}

/// One round and the answers to it so far.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Round {
    pub(super) number: u64,
    /// When the round began: a lease is held from here on, not from the answers.
    pub(super) started_at: Micros,
    /// The servers that granted, by index.
    pub(super) granted: BTreeMap<usize, Grantor>,
    /// The indexes of the servers that did not.
    pub(super) refused: BTreeSet<usize>,
}

impl Round {
    /// A round that begins now.
    pub(super) fn new(number: u64, started_at: Micros) -> Round {
        Round {
            number,
            started_at,
            granted: BTreeMap::new(),
            refused: BTreeSet::new(),
        }
    }

    /// Takes a server's grant, unless a newer process of that server has granted already.
    pub(super) fn add_grant(&mut self, server: usize, grantor: Grantor) {
        let is_newest = self
            .granted
            .get(&server)
            .is_none_or(|known| known.incarnation <= grantor.incarnation);
        if is_newest {
            self.granted.insert(server, grantor);
        }
    }

    /// Servers whose grant does not count, each with its newest incarnation: another server that granted knows a newer
    /// process of theirs. Two processes of one name must not both be counted, one for each of two holders.
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
