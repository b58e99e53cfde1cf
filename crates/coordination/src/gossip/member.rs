//! A member of the fleet, and the precedence of members with the same name.

use crate::Incarnation;
use foca::Identity;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A node of the fleet. Sent between nodes; the serialised form is positional.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The node's name.
    pub name: String,
    /// The address that other nodes send to.
    pub address: SocketAddr,
    /// Chosen at random when the process starts.
    pub incarnation: Incarnation,
    /// Incremented each time the node rejoins after other nodes have declared it down while it was running.
    pub generation: u64,
}

impl Member {
    /// A member with only the configured name and address, used as the recipient of an announcement.
    pub(crate) fn from_address(name: String, address: SocketAddr) -> Member {
        Member {
            name,
            address,
            incarnation: Incarnation::default(),
            generation: 0,
        }
    }
}

impl Identity for Member {
    type Addr = String;

    fn renew(&self) -> Option<Self> {
        Some(Member {
            generation: self.generation + 1,
            ..self.clone()
        })
    }

    fn addr(&self) -> String {
        self.name.clone()
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        (self.generation, self.incarnation) > (other.generation, other.incarnation)
    }
}
