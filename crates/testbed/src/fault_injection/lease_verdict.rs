//! The verdict on a task under a lease, from the record of what the task acted upon.

use crate::Micros;
use std::collections::BTreeMap;
use std::fmt;

/// A process of a node.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProcessName {
    /// The name of the node.
    pub node: String,
    /// The incarnation of its process.
    pub incarnation: String,
}

impl fmt::Debug for ProcessName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "({:?}, {:?})", self.node, self.incarnation)
    }
}

/// An action under a lease, as it arrived at what it acts upon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeasedAction {
    /// Microseconds since the beginning of the run.
    pub at: Micros,
    /// The epoch of the lease.
    pub epoch: u64,
    /// The process that acts.
    pub holder: ProcessName,
    /// The number of the interval that it acts for.
    pub interval: u64,
    /// Whether it was accepted.
    pub is_accepted: bool,
    /// Whether there had been an action for its interval; then it was not accepted.
    pub is_duplicate: bool,
}

/// A time without an accepted action. Ordered by its length.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ActionGap {
    /// Its length.
    pub duration: Micros,
    /// When the action before it arrived.
    pub began_at: Micros,
}

/// What a record of actions says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LeaseVerdict {
    /// How many actions arrived.
    pub action_count: usize,
    /// Actions that were rejected for their epoch.
    pub fenced_count: usize,
    /// Proofs that two processes thought they held the lease at one time.
    pub overlaps: Vec<String>,
    /// The gaps between accepted actions, longest first.
    pub gaps: Vec<ActionGap>,
}

/// Judges a record of actions in the order of their arrival.
///
/// A process checks its lease before every action and sends one action at a time. So a stop between check and action
/// leaves at most one action that comes too late; a second one of the same holding means that the check itself was
/// wrong.
pub fn judge_actions(actions: &[LeasedAction]) -> LeaseVerdict {
    let mut judge = ActionJudge::default();
    for action in actions {
        judge.check_epoch(action);
        judge.record_acceptance(action);
    }
    let mut verdict = judge.verdict;
    verdict.action_count = actions.len();
    verdict.gaps.sort_unstable_by(|x, y| y.cmp(x));
    verdict
}

#[derive(Default)]
struct ActionJudge<'a> {
    /// The first process that acted under each epoch.
    holders: BTreeMap<u64, &'a ProcessName>,
    /// Actions that came after one of a higher epoch, by epoch and process.
    late_counts: BTreeMap<(u64, &'a ProcessName), usize>,
    highest_epoch: u64,
    last_accepted_at: Option<Micros>,
    verdict: LeaseVerdict,
}

impl<'a> ActionJudge<'a> {
    fn check_epoch(&mut self, action: &'a LeasedAction) {
        let LeasedAction {
            at, epoch, holder, ..
        } = action;
        let owner = *self.holders.entry(*epoch).or_insert(holder);
        if owner != holder {
            self.add_overlap(format!(
                "epoch {epoch} of {owner:?} and {holder:?}, at {at}"
            ));
        }
        let highest = self.highest_epoch;
        if *epoch < highest {
            let late_count = self.late_counts.entry((*epoch, holder)).or_default();
            *late_count += 1;
            if *late_count == 2 {
                self.add_overlap(format!(
                    "{holder:?} went on under epoch {epoch} after epoch {highest} had acted, at {at}"
                ));
            }
            if action.is_accepted {
                self.add_overlap(format!("epoch {epoch} taken after {highest}, at {at}"));
            }
        }
        self.highest_epoch = highest.max(*epoch);
    }

    fn record_acceptance(&mut self, action: &LeasedAction) {
        if action.is_accepted {
            if let Some(began_at) = self.last_accepted_at {
                self.verdict.gaps.push(ActionGap {
                    duration: action.at - began_at,
                    began_at,
                });
            }
            self.last_accepted_at = Some(action.at);
        } else if !action.is_duplicate {
            self.verdict.fenced_count += 1;
        }
    }

    fn add_overlap(&mut self, proof: String) {
        self.verdict.overlaps.push(proof);
    }
}
