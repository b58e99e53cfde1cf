//! A member of the fleet, and how two members of one name are ordered.

use crate::Incarnation;
use foca::Identity;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A node of the fleet. The serialised form is positional and travels between nodes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The node's name.
    pub name: String,
    /// Where other nodes reach it.
    pub address: SocketAddr,
    /// Drawn at random at each start of the process.
    pub incarnation: Incarnation,
    /// One higher each time the others took it for down while it was there.
    pub generation: u64,
}

impl Member {
    /// A member that is known by name and address alone, so that it can be asked whether it is there.
    pub(crate) fn unseen(name: String, address: SocketAddr) -> Member {
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
