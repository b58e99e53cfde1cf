//! Recognises sudden losses: answers that lack so many endpoints at once that the source is probably wrong.
//!
//! Losses that were believed at once within the last hold time count towards the next one, so many small losses are
//! as sudden as a large one.

use crate::settings::SuddenLossGuard;
use crate::update::MonotonicMicros;
use std::collections::VecDeque;

/// A loss that was believed at once.
#[derive(Clone, Copy, Debug)]
struct BelievedLoss {
    at: MonotonicMicros,
    endpoint_count: usize,
}

/// What an answer lacks.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Loss {
    /// Available endpoints that it lacks and that nothing explains.
    pub(crate) lost_count: usize,
    /// Available endpoints before it, without those that it lists under another name.
    pub(crate) available_count: usize,
    /// Whether it lists nothing at all.
    pub(crate) is_empty_list: bool,
}

/// The losses of one source that were believed at once, oldest first.
#[derive(Debug, Default)]
pub(crate) struct RecentLosses {
    losses: VecDeque<BelievedLoss>,
}

impl RecentLosses {
    /// Whether a loss is too large to be believed at once. Losses that are older than the hold time are dropped.
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

    /// Notes a loss that is believed at once.
    pub(crate) fn record(&mut self, now: MonotonicMicros, endpoint_count: usize) {
        self.losses.push_back(BelievedLoss {
            at: now,
            endpoint_count,
        });
    }
}
