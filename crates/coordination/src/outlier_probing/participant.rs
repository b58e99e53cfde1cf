//! A node as a participant in outlier probing: decides which verdicts to follow.

use super::messages::{Verdict, MAX_REPLICAS_PER_MESSAGE};
use super::MAX_REPLICAS;
use crate::{Epoch, Micros};
use std::collections::BTreeMap;

/// Tracks which verdicts this node has followed and which replicas failed again afterwards.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ProbingParticipant {
    /// The highest known epoch.
    epoch: Epoch,
    /// When a healthy verdict was last followed, by replica.
    followed_at: BTreeMap<String, Micros>,
    /// Replicas that failed again after a followed verdict, with the time until which verdicts on them are ignored.
    distrusted_until: BTreeMap<String, Micros>,
}

impl ProbingParticipant {
    /// Handles verdicts and returns those to follow. `is_ejected` returns whether a replica is ejected here; it is
    /// false for an unknown replica, so that a verdict never adds a replica. If a replica is ejected here again after a
    /// followed healthy verdict, verdicts on it are ignored for `distrust_duration` microseconds.
    pub fn handle_verdicts(
        &mut self,
        epoch: Epoch,
        verdicts: Vec<Verdict>,
        is_ejected: impl Fn(&str) -> bool,
        now: Micros,
        distrust_duration: Micros,
    ) -> Vec<Verdict> {
        if epoch < self.epoch {
            return Vec::new();
        }
        self.epoch = epoch;
        self.distrusted_until.retain(|_, until| now < *until);
        self.followed_at
            .retain(|_, at| now < at.saturating_add(distrust_duration));
        let mut followed = Vec::new();
        for verdict in verdicts.into_iter().take(MAX_REPLICAS_PER_MESSAGE) {
            if !is_ejected(&verdict.replica) {
                continue;
            }
            if self.accept_verdict(&verdict, now, distrust_duration) {
                followed.push(verdict);
            }
        }
        followed
    }

    /// Updates the trust in verdicts on a replica that is ejected here, and returns whether to follow this verdict.
    fn accept_verdict(
        &mut self,
        verdict: &Verdict,
        now: Micros,
        distrust_duration: Micros,
    ) -> bool {
        let replica = &verdict.replica;
        let was_followed = self.followed_at.contains_key(replica);
        if was_followed && self.distrusted_until.len() < MAX_REPLICAS {
            // The replica was reported healthy and has failed here again.
            self.followed_at.remove(replica);
            self.distrusted_until
                .insert(replica.clone(), now.saturating_add(distrust_duration));
        }
        if self.distrusted_until.contains_key(replica) {
            return false;
        }
        if verdict.is_healthy && self.followed_at.len() < MAX_REPLICAS {
            self.followed_at.insert(replica.clone(), now);
        }
        true
    }
}
