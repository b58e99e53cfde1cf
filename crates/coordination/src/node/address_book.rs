//! The addresses of other nodes.

use super::NodeSettings;
use crate::gossip::{Membership, MAX_MEMBERS};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The sender addresses of received messages. A lease server that has just started needs them to respond to nodes that
/// are neither configured nor known as members.
#[derive(Debug, Default)]
pub(super) struct AddressBook {
    by_sender: BTreeMap<String, SocketAddr>,
}

impl AddressBook {
    /// Records the address that the sender of a message has stated.
    pub(super) fn record(&mut self, sender: &str, address: SocketAddr) {
        if self.by_sender.len() < MAX_MEMBERS || self.by_sender.contains_key(sender) {
            self.by_sender.insert(sender.into(), address);
        }
    }

    /// The address of a node: from the settings, otherwise from the membership, otherwise from its last message.
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
