//! Where other nodes are reached.

use super::NodeSettings;
use crate::gossip::{Membership, MAX_MEMBERS};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The addresses that nodes named in their messages. A lease server that has just started answers nodes that it knows
/// from nowhere else.
#[derive(Debug, Default)]
pub(super) struct AddressBook {
    by_sender: BTreeMap<String, SocketAddr>,
}

impl AddressBook {
    /// Remembers where the sender of a message is reached, as it says.
    pub(super) fn remember(&mut self, sender: &str, address: SocketAddr) {
        if self.by_sender.len() < MAX_MEMBERS || self.by_sender.contains_key(sender) {
            self.by_sender.insert(sender.into(), address);
        }
    }

    /// Where a node is reached: as the settings say, else as it says itself, as a member or in its last message.
    pub(super) fn resolve(
        &self,
        name: &str,
        settings: &NodeSettings,
        membership: &Membership,
    ) -> Option<SocketAddr> {
        let configured = settings
            .lease_servers
            .get(name)
            .or(settings.seeds.get(name));
        if let Some(address) = configured {
            return Some(*address);
        }
        let member = membership.peers().find(|member| member.name == name);
        member
            .map(|member| member.address)
            .or_else(|| self.by_sender.get(name).copied())
    }
}
