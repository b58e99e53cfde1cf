//! A node's own side of outlier probing: which advice it follows.

use super::messages::{Verdict, MAX_REPLICAS_PER_MESSAGE};
use super::MAX_REPLICAS;
use crate::{Epoch, Micros};
use std::collections::BTreeMap;

/// A node's own side of outlier probing.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ProbingParticipant {
    /// The highest epoch heard of.
    epoch: Epoch,
    /// When a replica was last said to be healthy, and that was followed.
    followed_at: BTreeMap<String, Micros>,
    /// Replicas that were found bad after that: until then advice on them is not followed.
    distrusted_until: BTreeMap<String, Micros>,
}

impl ProbingParticipant {
    /// Takes verdicts and returns those to follow. `is_ejected` says whether a replica is ejected here; one that is
    /// unknown here is not, so advice never adds a replica. Wrong advice is remembered for `distrust_duration`
    /// microseconds.
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
            if self.follows(&verdict, now, distrust_duration) {
                followed.push(verdict);
            }
        }
        followed
    }

    /// Whether to follow a verdict on a replica that is ejected here.
    fn follows(&mut self, verdict: &Verdict, now: Micros, distrust_duration: Micros) -> bool {
        let replica = &verdict.replica;
        let was_followed = self.followed_at.contains_key(replica);
        if was_followed && self.distrusted_until.len() < MAX_REPLICAS {
            // It was said to be healthy, and failed here again.
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
