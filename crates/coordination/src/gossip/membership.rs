//! The membership protocol as a state machine: messages and time in, messages out.

use super::Member;
use crate::Micros;
use bytes::Bytes;
use foca::{
    AccumulatingRuntime, Config, Foca, NoCustomBroadcast, PeriodicParams, PostcardCodec, Timer,
};
use rand::rngs::StdRng;
use rand::SeedableRng;
use std::collections::BTreeMap;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// The maximum number of nodes for which a node stores addresses and timers.
pub const MAX_MEMBERS: usize = 4096;
/// The maximum number of pending timers; the library uses a few per member. Further timers are dropped.
const MAX_TIMERS: usize = 4 * MAX_MEMBERS;
/// The shortest probe interval, in microseconds; shorter ones are raised to it.
const MIN_PROBE_INTERVAL: Micros = 10;
/// The number of indirect probes of an unresponsive node, in addition to the first.
const ADDITIONAL_INDIRECT_PROBES: usize = 2;
/// The number of times that this node sends each membership update, in addition to the first.
const ADDITIONAL_TRANSMISSIONS: u8 = 9;
/// The maximum size of a message minus one, in bytes. The library requires a non-zero type, built as 1 plus this.
const MAX_MESSAGE_BYTES_LESS_ONE: usize = 1023;

/// An outgoing message of the membership protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GossipMessage {
    /// The member to send to.
    pub recipient: Member,
    /// The message as encoded by the library.
    pub payload: Bytes,
}

/// One node's view of the fleet membership.
pub struct Membership {
    foca: Foca<Member, PostcardCodec, StdRng, NoCustomBroadcast>,
    runtime: AccumulatingRuntime<Member>,
    /// Timers by due time; the number preserves the order of timers due at the same time.
    timers: BTreeMap<(Micros, u64), Timer<Member>>,
    last_timer_number: u64,
    malformed_count: u64,
}

impl Membership {
    /// Creates a view that contains the local node only. `probe_interval` is the time between two probes, in
    /// microseconds; `seed` initialises the random number generator.
    pub fn new(local: Member, probe_interval: Micros, seed: u64) -> Membership {
        let config = configuration(Duration::from_micros(
            probe_interval.max(MIN_PROBE_INTERVAL),
        ));
        let foca = Foca::new(local, config, StdRng::seed_from_u64(seed), PostcardCodec);
        Membership {
            foca,
            runtime: AccumulatingRuntime::new(),
            timers: BTreeMap::new(),
            last_timer_number: 0,
            malformed_count: 0,
        }
    }

    /// The local node as announced to other nodes.
    pub fn local_member(&self) -> &Member {
        self.foca.identity()
    }

    /// The other nodes that are not known to be down.
    pub fn peers(&self) -> impl Iterator<Item = &Member> {
        self.foca.iter_members().map(foca::Member::id)
    }

    /// The number of messages since the start that could not be decoded.
    pub fn malformed_count(&self) -> u64 {
        self.malformed_count
    }

    /// Announces the local node to another node.
    pub fn announce(&mut self, recipient: Member, now: Micros) -> Vec<GossipMessage> {
        // An error means that the local node has left or that the message is too long; nothing is sent then.
        let _ = self.foca.announce(recipient, &mut self.runtime);
        self.drain_runtime(now)
    }

    /// Leaves the fleet gracefully, so that other nodes remove the local node without waiting for failed probes.
    pub fn leave(&mut self, now: Micros) -> Vec<GossipMessage> {
        // An error means that the local node has already left.
        let _ = self.foca.leave_cluster(&mut self.runtime);
        self.drain_runtime(now)
    }

    /// Handles a message from another node and returns the messages to send.
    pub fn handle_message(&mut self, payload: &[u8], now: Micros) -> Vec<GossipMessage> {
        if self.foca.handle_data(payload, &mut self.runtime).is_err() {
            self.malformed_count += 1;
        }
        self.drain_runtime(now)
    }

    /// When [`Membership::on_timer`] must be called next; `None` if no timer is pending.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.timers.keys().next().map(|(due_at, _)| *due_at)
    }

    /// Runs the timers that are due and returns the messages to send.
    pub fn on_timer(&mut self, now: Micros) -> Vec<GossipMessage> {
        let mut messages = Vec::new();
        while let Some(entry) = self
            .timers
            .first_entry()
            .filter(|entry| entry.key().0 <= now)
        {
            let timer = entry.remove();
            // An error means that the timer is obsolete.
            let _ = self.foca.handle_timer(timer, &mut self.runtime);
            messages.extend(self.drain_runtime(now));
        }
        messages
    }

    /// Collects the outputs of the library: stores timers, drops notifications and returns messages.
    fn drain_runtime(&mut self, now: Micros) -> Vec<GossipMessage> {
        while let Some((after, timer)) = self.runtime.to_schedule() {
            if self.timers.len() < MAX_TIMERS {
                self.last_timer_number += 1;
                let due_at = now.saturating_add(after.as_micros() as Micros);
                self.timers.insert((due_at, self.last_timer_number), timer);
            }
        }
        while self.runtime.to_notify().is_some() {}
        let mut messages = Vec::new();
        while let Some((recipient, payload)) = self.runtime.to_send() {
            messages.push(GossipMessage { recipient, payload });
        }
        messages
    }
}

/// The configuration of the gossip library; all times are derived from the probe interval.
fn configuration(probe_interval: Duration) -> Config {
    let to_two_members = |frequency| {
        Some(PeriodicParams {
            frequency,
            num_members: NonZeroUsize::MIN.saturating_add(1),
        })
    };
    Config {
        probe_period: probe_interval,
        probe_rtt: probe_interval / 2,
        num_indirect_probes: NonZeroUsize::MIN.saturating_add(ADDITIONAL_INDIRECT_PROBES),
        max_transmissions: NonZeroU8::MIN.saturating_add(ADDITIONAL_TRANSMISSIONS),
        suspect_to_down_after: probe_interval * 4,
        remove_down_after: Some(probe_interval * 600),
        max_packet_size: NonZeroUsize::MIN.saturating_add(MAX_MESSAGE_BYTES_LESS_ONE),
        notify_down_members: true,
        periodic_announce: to_two_members(probe_interval * 20),
        periodic_announce_to_down_members: to_two_members(probe_interval * 30),
        periodic_gossip: to_two_members(probe_interval / 2),
    }
}
