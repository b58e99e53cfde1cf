//! The client of one lease: one process asks for one task.
//!
//! | state | meaning | leaves it when |
//! | --- | --- | --- |
//! | `Idle` | holds nothing, waits for its next round | the time of the next round comes: `Acquiring` |
//! | `Acquiring` | asked all servers, waits for a majority | a majority granted: `Held`; too many refused, or no answers in time: `Idle` |
//! | `Held` | may act until the holding time ends | renewed by a majority: `Held`; the holding time ends: `Idle` |
//!
//! A round that fails gives back what it may have got, so that other clients need not wait for it.

mod round;
#[cfg(test)]
mod tests;

use super::messages::{AcquireRequest, LeaseRequest, LeaseResponse, ServerIncarnation};
use super::reduce_by_drift;
use crate::{Epoch, Micros, ProcessId};
use round::{Grantor, Round};

/// A holder renews after this part of the lease's duration.
const RENEWALS_PER_LEASE: Micros = 3;
/// Lost rounds in a row beyond this number do not lengthen the pause any more.
const MAX_BACKOFF_SHIFT: u32 = 5;
/// The shift of the pause's random part where somebody else is known to hold the lease.
const HELD_BACKOFF_SHIFT: u32 = 2;

/// How a lease is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseParameters {
    /// How many lease servers there are.
    pub server_count: usize,
    /// The lease's duration by the servers' clocks, in microseconds.
    pub duration: Micros,
    /// How wrong any clock of the fleet may run, in parts in a million.
    pub drift_ppm: u32,
    /// A round whose answers do not come within this time is given up; in microseconds.
    pub response_timeout: Micros,
    /// The shortest pause before another round, in microseconds.
    pub min_pause: Micros,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum ClientState {
    /// Holds nothing; the next round begins at this time.
    Idle(Micros),
    /// The first round for an epoch.
    Acquiring(Round),
    /// Holds the lease.
    Held {
        /// No act from this time on.
        until: Micros,
        /// When the next round begins.
        renew_at: Micros,
        /// The round that renews the lease, if one is going on.
        renewal: Option<Round>,
    },
}

/// The client of one lease. It holds the lease while [`LeaseClient::held_epoch`] says so, and whoever acts under the
/// lease asks that before every act.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseClient {
    task: String,
    process: ProcessId,
    parameters: LeaseParameters,
    /// The epoch last asked under.
    epoch: Epoch,
    /// The highest epoch heard of. What is heard while a round goes on is for the next one: the grants of this round are
    /// for the epoch that it asked under.
    highest_known_epoch: Epoch,
    rounds_started: u64,
    is_requested: bool,
    state: ClientState,
    /// How many rounds in a row were lost.
    lost_rounds: u32,
    /// Which other process holds the lease, as last heard.
    other_holder: Option<ProcessId>,
}

impl LeaseClient {
    /// A client that asks for the lease from now on.
    pub fn new(
        task: &str,
        process: ProcessId,
        parameters: LeaseParameters,
        now: Micros,
    ) -> LeaseClient {
        LeaseClient {
            task: task.into(),
            process,
            parameters,
            epoch: Epoch::default(),
            highest_known_epoch: Epoch::default(),
            rounds_started: 0,
            is_requested: true,
            state: ClientState::Idle(now),
            lost_rounds: 0,
            other_holder: None,
        }
    }

    /// Another list of lease servers is in force from now on. A round that goes on is given up, since its answers count
    /// for the old list.
    pub fn set_server_count(&mut self, server_count: usize, now: Micros) {
        self.parameters.server_count = server_count;
        match &mut self.state {
            ClientState::Acquiring(_) => self.state = ClientState::Idle(now),
            ClientState::Held {
                renewal, renew_at, ..
            } => {
                *renewal = None;
                *renew_at = now;
            }
            ClientState::Idle(_) => {}
        }
    }

    /// The task's name.
    pub fn task(&self) -> &str {
        &self.task
    }

    /// The epoch under which this process may act, if it holds the lease at this moment.
    pub fn held_epoch(&self, now: Micros) -> Option<Epoch> {
        match self.state {
            ClientState::Held { until, .. } if now < until => Some(self.epoch),
            _ => None,
        }
    }

    /// How much longer this process holds the lease, in microseconds; 0 if it does not.
    pub fn remaining(&self, now: Micros) -> Micros {
        match self.state {
            ClientState::Held { until, .. } => until.saturating_sub(now),
            _ => 0,
        }
    }

    /// Which other process holds the lease, as last heard.
    pub fn other_holder(&self) -> Option<&ProcessId> {
        self.other_holder.as_ref()
    }

    /// When [`LeaseClient::on_timer`] has something to do.
    pub fn next_deadline(&self) -> Option<Micros> {
        match &self.state {
            ClientState::Idle(_) if !self.is_requested => None,
            ClientState::Idle(at) => Some(*at),
            ClientState::Acquiring(round) => Some(self.deadline_of(round)),
            ClientState::Held {
                until,
                renewal: Some(round),
                ..
            } => Some(self.deadline_of(round).min(*until)),
            ClientState::Held {
                until, renew_at, ..
            } => Some(*renew_at.min(until)),
        }
    }

    /// Does what is due. `random` is a fresh random number; what is returned goes to every lease server.
    pub fn on_timer(&mut self, now: Micros, random: u64) -> Vec<LeaseRequest> {
        match &self.state {
            ClientState::Idle(at) if self.is_requested && now >= *at => vec![self.acquire(now)],
            ClientState::Acquiring(round) if now >= self.deadline_of(round) => {
                vec![self.give_up(now, random, 0)]
            }
            ClientState::Held { until, .. } if now >= *until => {
                self.state = ClientState::Idle(now);
                self.on_timer(now, random)
            }
            ClientState::Held {
                renewal: Some(round),
                ..
            } if now >= self.deadline_of(round) => vec![self.renew(now)],
            ClientState::Held {
                renew_at,
                renewal: None,
                ..
            } if now >= *renew_at => vec![self.renew(now)],
            _ => Vec::new(),
        }
    }

    /// Takes the answer of the lease server of this index. `random` is a fresh random number; what is returned goes to
    /// every lease server.
    pub fn handle_response(
        &mut self,
        now: Micros,
        server: usize,
        response: &LeaseResponse,
        random: u64,
    ) -> Vec<LeaseRequest> {
        if response.requester() != self.process.incarnation {
            // It answers another process of this name, or the one that was here before.
            return Vec::new();
        }
        self.learn_from_refusal(response);
        let epoch = self.epoch;
        let Some(round) = self.current_round(response) else {
            return Vec::new();
        };
        record_answer(round, server, epoch, response);
        let superseded = round.superseded();
        let counted_grants = round.granted.len() - superseded.len();
        let refusals = round.refused.len();
        let started_at = round.started_at;
        let majority = self.parameters.server_count / 2 + 1;
        if counted_grants >= majority {
            self.hold_from(started_at, now);
            return Vec::new();
        }
        let can_still_win = refusals <= self.parameters.server_count - majority;
        if !can_still_win && matches!(self.state, ClientState::Acquiring(_)) {
            let holder_remaining = match response {
                LeaseResponse::Refused { remaining, .. } => *remaining,
                LeaseResponse::Granted { .. } => 0,
            };
            return vec![self.give_up(now, random, holder_remaining)];
        }
        let tell_superseded = |(server, incarnation)| {
            LeaseRequest::Superseded(ServerIncarnation {
                server,
                incarnation,
            })
        };
        superseded.into_iter().map(tell_superseded).collect()
    }

    /// Holds the lease no more and gives it back. What is returned goes to every lease server.
    pub fn release(&mut self, now: Micros) -> Option<LeaseRequest> {
        self.is_requested = false;
        let may_have_grants = !matches!(self.state, ClientState::Idle(_));
        self.state = ClientState::Idle(now);
        may_have_grants.then(|| self.release_message())
    }

    /// Asks for the lease again after a release; without one it changes nothing.
    pub fn request(&mut self, now: Micros) {
        if !self.is_requested {
            self.is_requested = true;
            self.state = ClientState::Idle(now);
        }
    }

    /// When a round is given up.
    fn deadline_of(&self, round: &Round) -> Micros {
        round
            .started_at
            .saturating_add(self.parameters.response_timeout)
    }

    /// Takes the holder and the epoch that a refusal tells of.
    fn learn_from_refusal(&mut self, response: &LeaseResponse) {
        let LeaseResponse::Refused { epoch, holder, .. } = response else {
            return;
        };
        self.highest_known_epoch = self.highest_known_epoch.max(*epoch);
        if let Some(holder) = holder.as_ref().filter(|holder| **holder != self.process) {
            self.other_holder = Some(holder.clone());
        }
    }

    /// The round that goes on, if this answers it.
    fn current_round(&mut self, response: &LeaseResponse) -> Option<&mut Round> {
        let (LeaseResponse::Granted { round: number, .. }
        | LeaseResponse::Refused { round: number, .. }) = response;
        match &mut self.state {
            ClientState::Acquiring(round)
            | ClientState::Held {
                renewal: Some(round),
                ..
            } if round.number == *number => Some(round),
            _ => None,
        }
    }

    /// A majority has granted a round that began at `started_at`. The holding time counts from there, since the servers'
    /// time began later than that.
    fn hold_from(&mut self, started_at: Micros, now: Micros) {
        let duration = self.parameters.duration;
        let until = started_at.saturating_add(reduce_by_drift(duration, self.parameters.drift_ppm));
        if now < until {
            self.state = ClientState::Held {
                until,
                renew_at: started_at.saturating_add(duration / RENEWALS_PER_LEASE),
                renewal: None,
            };
            self.lost_rounds = 0;
            self.other_holder = None;
        }
    }

    /// Begins a round under a new epoch. Never under an epoch asked under before: what that round left behind must not
    /// count for this one.
    fn acquire(&mut self, now: Micros) -> LeaseRequest {
        self.epoch = self.highest_known_epoch.max(self.epoch).next();
        let round = self.start_round(now);
        let message = self.acquire_message(round.number);
        self.state = ClientState::Acquiring(round);
        message
    }

    /// Begins a round that renews the lease, under the same epoch.
    fn renew(&mut self, now: Micros) -> LeaseRequest {
        let round = self.start_round(now);
        let message = self.acquire_message(round.number);
        if let ClientState::Held { renewal, .. } = &mut self.state {
            *renewal = Some(round);
        }
        message
    }

    fn start_round(&mut self, now: Micros) -> Round {
        self.rounds_started += 1;
        Round::new(self.rounds_started, now)
    }

    fn acquire_message(&self, round: u64) -> LeaseRequest {
        LeaseRequest::Acquire(AcquireRequest {
            task: self.task.clone(),
            requester: self.process.clone(),
            epoch: self.epoch,
            round,
            duration: self.parameters.duration,
        })
    }

    fn release_message(&self) -> LeaseRequest {
        LeaseRequest::Release {
            task: self.task.clone(),
            holder: self.process.clone(),
            epoch: self.epoch,
        }
    }

    /// Gives back what a lost round may have got, and waits. With each lost round in a row the wait grows; whoever is
    /// told that somebody holds the lease waits until that may have run out, in `holder_remaining` microseconds.
    fn give_up(&mut self, now: Micros, random: u64, holder_remaining: Micros) -> LeaseRequest {
        let release = self.release_message();
        let min_pause = self.parameters.min_pause;
        self.lost_rounds = (self.lost_rounds + 1).min(MAX_BACKOFF_SHIFT);
        let shift = if holder_remaining > min_pause {
            HELD_BACKOFF_SHIFT
        } else {
            self.lost_rounds
        };
        let random_range = (min_pause << shift).max(1);
        let pause = holder_remaining
            .min(self.parameters.duration)
            .saturating_add(min_pause / 2 + random % random_range);
        self.state = ClientState::Idle(now.saturating_add(pause));
        release
    }
}

/// Counts a server's answer in its round. A grant for another epoch counts as a refusal.
fn record_answer(round: &mut Round, server: usize, epoch_asked: Epoch, response: &LeaseResponse) {
    match response {
        LeaseResponse::Granted {
            epoch,
            server_incarnation,
            incarnations,
            ..
        } if *epoch == epoch_asked => {
            let grantor = Grantor {
                incarnation: *server_incarnation,
                known_incarnations: incarnations.clone(),
            };
            round.add_grant(server, grantor);
        }
        _ => {
            round.refused.insert(server);
        }
    }
}
