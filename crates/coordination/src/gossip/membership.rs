//! Who is there: SWIM with suspicion and incarnations, by `foca`. A node that one other can't reach is asked for
//! through third ones before it is suspected, and has time to object before it counts as gone.

#![expect(
    clippy::min_ident_chars,
    clippy::redundant_closure_for_method_calls,
    reason = "not yet converted"
)]

use crate::Micros;
use bytes::Bytes;
use foca::{
    AccumulatingRuntime, Config, Foca, Identity, NoCustomBroadcast, PeriodicParams, PostcardCodec,
    Timer,
};
use rand::rngs::StdRng;
use rand::SeedableRng;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// Nodes of a fleet that are kept account of.
pub const MOST_MEMBERS: usize = 4096;
/// Timers that wait; beyond this the library's own are few by member.
const MOST_TIMERS: usize = 4 * MOST_MEMBERS;

/// A node of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Where others reach it.
    pub addr: SocketAddr,
    /// Drawn anew at each start.
    pub incarnation: u64,
    /// One higher each time the others took it for gone while it was there.
    pub generation: u64,
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

/// The account.
pub struct Members {
    foca: Foca<Member, PostcardCodec, StdRng, NoCustomBroadcast>,
    runtime: AccumulatingRuntime<Member>,
    timers: BTreeMap<(Micros, u64), Timer<Member>>,
    next: u64,
    /// Messages that were no messages.
    pub garbled: u64,
}

impl Members {
    /// An account that begins now with this node alone. `probe` is the time between two probes, in microseconds.
    pub fn new(me: Member, probe: Micros, seed: u64) -> Members {
        let probe = Duration::from_micros(probe.max(10));
        let few = |frequency| {
            Some(PeriodicParams {
                frequency,
                num_members: NonZeroUsize::MIN.saturating_add(1),
            })
        };
        let config = Config {
            probe_period: probe,
            probe_rtt: probe / 2,
            num_indirect_probes: NonZeroUsize::MIN.saturating_add(2),
            max_transmissions: NonZeroU8::MIN.saturating_add(9),
            suspect_to_down_after: probe * 4,
            remove_down_after: Some(probe * 600),
            max_packet_size: NonZeroUsize::MIN.saturating_add(1023),
            notify_down_members: true,
            periodic_announce: few(probe * 20),
            periodic_announce_to_down_members: few(probe * 30),
            periodic_gossip: few(probe / 2),
        };
        let foca = Foca::new(me, config, StdRng::seed_from_u64(seed), PostcardCodec);
        let (runtime, timers) = (AccumulatingRuntime::new(), BTreeMap::new());
        Members {
            foca,
            runtime,
            timers,
            next: 0,
            garbled: 0,
        }
    }

    /// This node as the others know it.
    pub fn me(&self) -> &Member {
        self.foca.identity()
    }

    /// The others that are there, as far as is known.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.foca.iter_members().map(|m| m.id())
    }

    /// Tells a node that this one is here.
    pub fn announce(&mut self, to: Member, now: Micros) -> Vec<(Member, Bytes)> {
        let _ = self.foca.announce(to, &mut self.runtime);
        self.carry_out(now)
    }

    /// Leaves in order: the others need not find out.
    pub fn leave(&mut self, now: Micros) -> Vec<(Member, Bytes)> {
        let _ = self.foca.leave_cluster(&mut self.runtime);
        self.carry_out(now)
    }

    /// Takes a message.
    pub fn heard(&mut self, bytes: &[u8], now: Micros) -> Vec<(Member, Bytes)> {
        if self.foca.handle_data(bytes, &mut self.runtime).is_err() {
            self.garbled += 1;
        }
        self.carry_out(now)
    }

    /// When [`Members::turn`] has something to do.
    pub fn due(&self) -> Option<Micros> {
        self.timers.keys().next().map(|key| key.0)
    }

    /// Does what is due.
    pub fn turn(&mut self, now: Micros) -> Vec<(Member, Bytes)> {
        let mut out = Vec::new();
        while let Some(entry) = self.timers.first_entry().filter(|e| e.key().0 <= now) {
            let timer = entry.remove();
            // An error says that the timer came too late to matter.
            let _ = self.foca.handle_timer(timer, &mut self.runtime);
            out.extend(self.carry_out(now));
        }
        out
    }

    fn carry_out(&mut self, now: Micros) -> Vec<(Member, Bytes)> {
        while let Some((after, timer)) = self.runtime.to_schedule() {
            if self.timers.len() < MOST_TIMERS {
                self.next += 1;
                let at = now.saturating_add(after.as_micros() as Micros);
                self.timers.insert((at, self.next), timer);
            }
        }
        while self.runtime.to_notify().is_some() {}
        std::iter::from_fn(|| self.runtime.to_send()).collect()
    }
}
