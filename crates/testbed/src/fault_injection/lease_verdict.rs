//! The verdict on a lease, computed from the record of the actions that were executed under it.

use crate::Micros;
use std::collections::BTreeMap;
use std::fmt;

/// Identifies one process of a node.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProcessName {
    /// The name of the node.
    pub node: String,
    /// The incarnation of the process.
    pub incarnation: String,
}

impl fmt::Debug for ProcessName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "({:?}, {:?})", self.node, self.incarnation)
    }
}

/// An action under a lease, as received by its target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeasedAction {
    /// The time of arrival, in microseconds since the beginning of the run.
    pub at: Micros,
    /// The epoch of the lease under which the process acts.
    pub epoch: u64,
    /// The process that sent the action.
    pub holder: ProcessName,
    /// The number of the report interval that the action is for.
    pub interval: u64,
    /// Whether the target accepted the action.
    pub is_accepted: bool,
    /// Whether an earlier action for this interval was accepted; such a duplicate is rejected.
    pub is_duplicate: bool,
}

/// A period without an accepted action. Gaps are ordered by duration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ActionGap {
    /// The length of the gap, in microseconds.
    pub duration: Micros,
    /// The arrival of the last accepted action before the gap, in microseconds since the beginning of the run.
    pub began_at: Micros,
}

/// The result of checking a record of actions.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LeaseVerdict {
    /// The number of actions that arrived.
    pub action_count: usize,
    /// The number of actions that were rejected because of an old epoch.
    pub fenced_count: usize,
    /// One description for each proof that two processes held the lease at the same time.
    pub overlaps: Vec<String>,
    /// The gaps between accepted actions, longest first.
    pub gaps: Vec<ActionGap>,
}

/// Checks a record of actions, which are in the order of their arrival.
///
/// A process checks its lease before every action and sends one action at a time. If it is suspended between the check
/// and the action, at most one action arrives too late. A second late action under the same epoch means that the check
/// itself failed.
pub fn check_actions(actions: &[LeasedAction]) -> LeaseVerdict {
    let mut checker = ActionChecker::default();
    for action in actions {
        checker.check_epoch(action);
        checker.record_acceptance(action);
    }
    let mut verdict = checker.verdict;
    verdict.action_count = actions.len();
    verdict.gaps.sort_unstable_by(|x, y| y.cmp(x));
    verdict
}

#[derive(Default)]
struct ActionChecker<'a> {
    /// The first process that acted under each epoch.
    holders: BTreeMap<u64, &'a ProcessName>,
    /// Actions that arrived after an action with a higher epoch, by epoch and process.
    late_counts: BTreeMap<(u64, &'a ProcessName), usize>,
    highest_epoch: u64,
    last_accepted_at: Option<Micros>,
    verdict: LeaseVerdict,
}

impl<'a> ActionChecker<'a> {
    fn check_epoch(&mut self, action: &'a LeasedAction) {
        let LeasedAction {
            at, epoch, holder, ..
        } = action;
        let owner = *self.holders.entry(*epoch).or_insert(holder);
        if owner != holder {
            self.add_overlap(format!(
                "epoch {epoch} used by {owner:?} and {holder:?}, at {at} µs"
            ));
        }
        let highest = self.highest_epoch;
        if *epoch < highest {
            let late_count = self.late_counts.entry((*epoch, holder)).or_default();
            *late_count += 1;
            if *late_count == 2 {
                self.add_overlap(format!(
                    "{holder:?} continued under epoch {epoch} after an action with epoch {highest}, at {at} µs"
                ));
            }
            if action.is_accepted {
                self.add_overlap(format!(
                    "action with epoch {epoch} accepted after epoch {highest}, at {at} µs"
                ));
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
