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

/// How many nodes of a fleet are kept account of.
pub const MAX_MEMBERS: usize = 4096;
/// How many timers may wait; the library has a few for each member.
const MAX_TIMERS: usize = 4 * MAX_MEMBERS;
/// The shortest probe interval, in microseconds.
const MIN_PROBE_INTERVAL: Micros = 10;
/// A node that does not answer is asked for through so many others, beside the first.
const ADDITIONAL_INDIRECT_PROBES: usize = 2;
/// How often an update is passed on, beside the first time.
const ADDITIONAL_TRANSMISSIONS: u8 = 9;
/// The longest message, in bytes, less one.
const MAX_MESSAGE_BYTES_LESS_ONE: usize = 1023;

/// A message of the membership protocol on its way out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GossipMessage {
    /// The member that it goes to.
    pub recipient: Member,
    /// The message as the library writes it.
    pub payload: Bytes,
}

/// One node's view of who is there.
pub struct Membership {
    foca: Foca<Member, PostcardCodec, StdRng, NoCustomBroadcast>,
    runtime: AccumulatingRuntime<Member>,
    /// Timers by the time at which they are due; the number keeps their order.
    timers: BTreeMap<(Micros, u64), Timer<Member>>,
    last_timer_number: u64,
    malformed_count: u64,
}

impl Membership {
    /// A view that begins now with the local node alone. `probe_interval` is the time between two probes, in
    /// microseconds.
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

    /// The local node as the others know it.
    pub fn local_member(&self) -> &Member {
        self.foca.identity()
    }

    /// The other nodes that are there, as far as is known.
    pub fn peers(&self) -> impl Iterator<Item = &Member> {
        self.foca.iter_members().map(foca::Member::id)
    }

    /// How many messages could not be read since the start.
    pub fn malformed_count(&self) -> u64 {
        self.malformed_count
    }

    /// Tells a node that the local one is here.
    pub fn announce(&mut self, recipient: Member, now: Micros) -> Vec<GossipMessage> {
        // An error says that the local node has left, or that the message was too long: nothing is sent then.
        let _ = self.foca.announce(recipient, &mut self.runtime);
        self.drain_runtime(now)
    }

    /// Leaves in order, so that the others need not find out.
    pub fn leave(&mut self, now: Micros) -> Vec<GossipMessage> {
        // An error says that the local node has left already.
        let _ = self.foca.leave_cluster(&mut self.runtime);
        self.drain_runtime(now)
    }

    /// Takes a message.
    pub fn handle_message(&mut self, payload: &[u8], now: Micros) -> Vec<GossipMessage> {
        if self.foca.handle_data(payload, &mut self.runtime).is_err() {
            self.malformed_count += 1;
        }
        self.drain_runtime(now)
    }

    /// When [`Membership::on_timer`] has something to do.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.timers.keys().next().map(|(due_at, _)| *due_at)
    }

    /// Does what is due.
    pub fn on_timer(&mut self, now: Micros) -> Vec<GossipMessage> {
        let mut messages = Vec::new();
        while let Some(entry) = self
            .timers
            .first_entry()
            .filter(|entry| entry.key().0 <= now)
        {
            let timer = entry.remove();
            // An error says that the timer came too late to matter.
            let _ = self.foca.handle_timer(timer, &mut self.runtime);
            messages.extend(self.drain_runtime(now));
        }
        messages
    }

    /// Takes over what the library wants done: timers are kept, notifications dropped, messages returned.
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

/// The library's configuration at this probe interval.
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
