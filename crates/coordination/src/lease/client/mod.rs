//! The client of one lease: acquires and renews the lease of one task for one process.
//!
//! | state | meaning | next state |
//! | --- | --- | --- |
//! | `Idle` | not held; waits for the next round | `Acquiring` when the next round starts |
//! | `Acquiring` | requests sent to all servers; waits for a majority | `Held` once a majority has granted; `Idle` if too many refuse or the round times out |
//! | `Held` | the lease may be used until the holding time ends | `Held` once a majority has renewed; `Idle` when the holding time ends |
//!
//! A failed round releases the grants that it may have received, so that other clients need not wait for them to
//! expire.

mod round;
#[cfg(test)]
mod tests;

use super::messages::{AcquireRequest, LeaseRequest, LeaseResponse, ServerIncarnation};
use super::reduce_by_drift;
use crate::{Epoch, Micros, ProcessId};
use round::{Grantor, Round};

/// A holder renews after the lease duration divided by this number.
const RENEWALS_PER_LEASE: Micros = 3;
/// The number of consecutive failed rounds after which the pause before the next round no longer grows. The random part
/// of the pause is less than the base pause times 2 to the power of the number of failed rounds.
const MAX_BACKOFF_SHIFT: u32 = 5;
/// Replaces the number of failed rounds in the random part of the pause if another process is known to hold the lease.
const HELD_BACKOFF_SHIFT: u32 = 2;

/// The parameters of a lease client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseParameters {
    /// The number of lease servers.
    pub server_count: usize,
    /// The lease duration by the servers' clocks, in microseconds.
    pub duration: Micros,
    /// The largest rate error of any clock in the fleet, in parts per million.
    pub drift_ppm: u32,
    /// The time after which a round without a majority fails, in microseconds.
    pub response_timeout: Micros,
    /// The base of the pause before the next round, in microseconds. The pause is at least half of it.
    pub min_pause: Micros,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum ClientState {
    /// Not held; the next round starts at this time.
    Idle(Micros),
    /// Waits for a majority of grants in the only round under a new epoch.
    Acquiring(Round),
    Held {
        /// The end of the holding time; no action is allowed from here on.
        until: Micros,
        /// When the next renewal round starts.
        renew_at: Micros,
        /// The renewal round in progress, if any.
        renewal: Option<Round>,
    },
}

/// The client of one lease. The process holds the lease while [`LeaseClient::held_epoch`] returns an epoch; callers
/// must check that before every action under the lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseClient {
    task: String,
    process: ProcessId,
    parameters: LeaseParameters,
    /// The epoch of the last request.
    epoch: Epoch,
    /// The highest known epoch of the task. If it rises during a round, only the next round uses it: the servers grant
    /// the current round under the epoch in its request.
    highest_known_epoch: Epoch,
    rounds_started: u64,
    is_requested: bool,
    state: ClientState,
    /// The number of consecutive failed rounds.
    failed_rounds: u32,
    /// The other process that holds the lease, as last reported by a lease server.
    other_holder: Option<ProcessId>,
}

impl LeaseClient {
    /// Creates a client that requests the lease from now on.
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
            failed_rounds: 0,
            other_holder: None,
        }
    }

    /// Sets the number of lease servers after the server list has changed. A round in progress is dropped, since its
    /// responses belong to the old list.
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

    /// The epoch under which this process may act; `None` if it does not hold the lease at `now`.
    pub fn held_epoch(&self, now: Micros) -> Option<Epoch> {
        match self.state {
            ClientState::Held { until, .. } if now < until => Some(self.epoch),
            _ => None,
        }
    }

    /// The remaining holding time, in microseconds; 0 if the lease is not held.
    pub fn remaining(&self, now: Micros) -> Micros {
        match self.state {
            ClientState::Held { until, .. } => until.saturating_sub(now),
            _ => 0,
        }
    }

    /// The other process that holds the lease, as last reported by a lease server; `None` if unknown.
    pub fn other_holder(&self) -> Option<&ProcessId> {
        self.other_holder.as_ref()
    }

    /// When [`LeaseClient::on_timer`] must be called next; `None` if the lease is not requested.
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

    /// Starts a round, or abandons one that has timed out, if that is due. `random` is a fresh random number for the
    /// backoff. The returned messages must be sent to every lease server.
    pub fn on_timer(&mut self, now: Micros, random: u64) -> Vec<LeaseRequest> {
        match &self.state {
            ClientState::Idle(at) if self.is_requested && now >= *at => vec![self.acquire(now)],
            ClientState::Acquiring(round) if now >= self.deadline_of(round) => {
                vec![self.abandon_round(now, random, 0)]
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

    /// Handles the response of the lease server with this index. `random` is a fresh random number for the backoff. The
    /// returned messages must be sent to every lease server.
    pub fn handle_response(
        &mut self,
        now: Micros,
        server: usize,
        response: &LeaseResponse,
        random: u64,
    ) -> Vec<LeaseRequest> {
        if response.requester() != self.process.incarnation {
            // The response is for another process with this node name, such as the process before a restart.
            return Vec::new();
        }
        self.record_refusal(response);
        let epoch = self.epoch;
        let Some(round) = self.current_round(response) else {
            return Vec::new();
        };
        record_response(round, server, epoch, response);
        let superseded = round.superseded();
        let counted_grants = round.granted.len() - superseded.len();
        let refusals = round.refused.len();
        let started_at = round.started_at;
        let majority = self.parameters.server_count / 2 + 1;
        if counted_grants >= majority {
            self.hold_from(started_at, now);
            return Vec::new();
        }
        let can_reach_majority = refusals <= self.parameters.server_count - majority;
        if !can_reach_majority && matches!(self.state, ClientState::Acquiring(_)) {
            let holder_remaining = match response {
                LeaseResponse::Refused { remaining, .. } => *remaining,
                LeaseResponse::Granted { .. } => 0,
            };
            return vec![self.abandon_round(now, random, holder_remaining)];
        }
        let superseded_message = |(server, incarnation)| {
            LeaseRequest::Superseded(ServerIncarnation {
                server,
                incarnation,
            })
        };
        superseded.into_iter().map(superseded_message).collect()
    }

    /// Releases the lease and stops requesting it. The returned message must be sent to every lease server.
    pub fn release(&mut self, now: Micros) -> Option<LeaseRequest> {
        self.is_requested = false;
        let may_have_grants = !matches!(self.state, ClientState::Idle(_));
        self.state = ClientState::Idle(now);
        may_have_grants.then(|| self.release_message())
    }

    /// Requests the lease again after a release. Does nothing if it is already requested.
    pub fn request(&mut self, now: Micros) {
        if !self.is_requested {
            self.is_requested = true;
            self.state = ClientState::Idle(now);
        }
    }

    /// The time at which a round times out.
    fn deadline_of(&self, round: &Round) -> Micros {
        round
            .started_at
            .saturating_add(self.parameters.response_timeout)
    }

    /// Records the holder and the epoch of a refusal.
    fn record_refusal(&mut self, response: &LeaseResponse) {
        let LeaseResponse::Refused { epoch, holder, .. } = response else {
            return;
        };
        self.highest_known_epoch = self.highest_known_epoch.max(*epoch);
        if let Some(holder) = holder.as_ref().filter(|holder| **holder != self.process) {
            self.other_holder = Some(holder.clone());
        }
    }

    /// The round in progress, if the response belongs to it.
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

    /// Holds the lease after a majority has granted a round. The holding time starts at `started_at`, when the requests
    /// were sent, since the grants of the servers start later.
    fn hold_from(&mut self, started_at: Micros, now: Micros) {
        let duration = self.parameters.duration;
        let until = started_at.saturating_add(reduce_by_drift(duration, self.parameters.drift_ppm));
        if now < until {
            self.state = ClientState::Held {
                until,
                renew_at: started_at.saturating_add(duration / RENEWALS_PER_LEASE),
                renewal: None,
            };
            self.failed_rounds = 0;
            self.other_holder = None;
        }
    }

    /// Starts a round under a new epoch. An epoch is never reused, since grants of an earlier round must not contribute
    /// to the majority of this round.
    fn acquire(&mut self, now: Micros) -> LeaseRequest {
        self.epoch = self.highest_known_epoch.max(self.epoch).next();
        let round = self.start_round(now);
        let message = self.acquire_message(round.number);
        self.state = ClientState::Acquiring(round);
        message
    }

    /// Starts a round that renews the lease under the same epoch.
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

    /// Releases the grants that a failed round may have received, and backs off. The pause grows with each consecutive
    /// failure. If another process holds the lease, the pause also covers its remaining time of `holder_remaining`
    /// microseconds.
    fn abandon_round(
        &mut self,
        now: Micros,
        random: u64,
        holder_remaining: Micros,
    ) -> LeaseRequest {
        let release = self.release_message();
        let min_pause = self.parameters.min_pause;
        self.failed_rounds = (self.failed_rounds + 1).min(MAX_BACKOFF_SHIFT);
        let shift = if holder_remaining > min_pause {
            HELD_BACKOFF_SHIFT
        } else {
            self.failed_rounds
        };
        let random_range = (min_pause << shift).max(1);
        let pause = holder_remaining
            .min(self.parameters.duration)
            .saturating_add(min_pause / 2 + random % random_range);
        self.state = ClientState::Idle(now.saturating_add(pause));
        release
    }
}

/// Records a server's response in its round. A grant for another epoch counts as a refusal.
fn record_response(
    round: &mut Round,
    server: usize,
    requested_epoch: Epoch,
    response: &LeaseResponse,
) {
    match response {
        LeaseResponse::Granted {
            epoch,
            server_incarnation,
            incarnations,
            ..
        } if *epoch == requested_epoch => {
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
