//! Detects sudden losses: answers that lack so many endpoints at once that the source is probably wrong.
//!
//! Losses accepted without confirmation within the last hold time count towards the next loss, so that many small
//! losses are detected like one large loss.

use crate::settings::SuddenLossGuard;
use crate::update::MonotonicMicros;
use std::collections::VecDeque;

/// A loss that was accepted without confirmation.
#[derive(Clone, Copy, Debug)]
struct AcceptedLoss {
    at: MonotonicMicros,
    endpoint_count: usize,
}

/// The size of a loss: how many endpoints an answer lacks.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Loss {
    /// The number of available endpoints that the answer lacks, not counting renamed ones.
    pub(crate) lost_count: usize,
    /// The number of endpoints that were available before the answer, not counting renamed ones.
    pub(crate) available_count: usize,
    /// Whether the answer lists no endpoint at all.
    pub(crate) is_empty_list: bool,
}

/// The losses of one source that were accepted without confirmation, oldest first.
#[derive(Debug, Default)]
pub(crate) struct RecentLosses {
    losses: VecDeque<AcceptedLoss>,
}

impl RecentLosses {
    /// Whether a loss is too large to be accepted without confirmation. Drops losses older than the hold time.
    pub(crate) fn is_sudden(
        &mut self,
        now: MonotonicMicros,
        guard: &SuddenLossGuard,
        loss: Loss,
    ) -> bool {
        while let Some(oldest) = self.losses.front() {
            if now.saturating_sub(oldest.at) < guard.hold_time {
                break;
            }
            self.losses.pop_front();
        }
        let recent_count: usize = self.losses.iter().map(|loss| loss.endpoint_count).sum();
        let lost_count = (loss.lost_count + recent_count) as f64;
        let available_count = (loss.available_count + recent_count) as f64;
        loss.is_empty_list || lost_count > guard.max_loss_fraction * available_count
    }

    /// Records a loss that is accepted without confirmation.
    pub(crate) fn record(&mut self, now: MonotonicMicros, endpoint_count: usize) {
        self.losses.push_back(AcceptedLoss {
            at: now,
            endpoint_count,
        });
    }
}
