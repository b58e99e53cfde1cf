//! The budget grants of one process.

use super::messages::{BudgetGrant, BudgetMessage, BudgetRequest, Demand, GrantId, Rates};
use super::MAX_BUDGETS;
use crate::lease::reduce_by_drift;
use crate::{Epoch, Micros, ProcessId};
use std::collections::{BTreeMap, VecDeque};

/// The maximum number of recent requests whose send times are stored. Grants for older requests are ignored.
const MAX_PENDING_REQUESTS: usize = 16;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct CurrentGrant {
    id: GrantId,
    until: Micros,
    rates: Rates,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingRequest {
    number: u64,
    sent_at: Micros,
}

/// The rate of a budget under the current grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantedRate {
    /// In thousandths of a unit per second, in addition to the guaranteed rate.
    pub rate: u64,
    /// When the grant ends.
    pub until: Micros,
}

/// The grants of one process. At most one grant is in force; a newer one replaces it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct GrantedQuotas {
    process: ProcessId,
    drift_ppm: u32,
    /// The highest known epoch.
    epoch: Epoch,
    /// The number of the last request.
    last_request: u64,
    /// The most recent requests, oldest first. The end of a grant is computed from the send time of its request.
    pending_requests: VecDeque<PendingRequest>,
    current: Option<CurrentGrant>,
}

impl GrantedQuotas {
    /// Starts without a grant. `drift_ppm` is the largest rate error of any clock, in parts per million.
    pub fn new(process: ProcessId, drift_ppm: u32) -> GrantedQuotas {
        GrantedQuotas {
            process,
            drift_ppm,
            epoch: Epoch::default(),
            last_request: 0,
            pending_requests: VecDeque::new(),
            current: None,
        }
    }

    /// Creates the next request to the allocator.
    pub fn next_request(
        &mut self,
        demands: BTreeMap<String, Demand>,
        now: Micros,
    ) -> BudgetMessage {
        self.last_request += 1;
        self.pending_requests.push_back(PendingRequest {
            number: self.last_request,
            sent_at: now,
        });
        if self.pending_requests.len() > MAX_PENDING_REQUESTS {
            self.pending_requests.pop_front();
        }
        self.current.take_if(|current| now >= current.until);
        let rates = self.current.as_ref().map(|current| current.rates.clone());
        BudgetMessage::Request(BudgetRequest {
            requester: self.process.clone(),
            epoch: self.epoch,
            request_number: self.last_request,
            current_grant: self.current.as_ref().map(|current| current.id),
            rates: rates.unwrap_or_default(),
            demands,
        })
    }

    /// Handles a response of the allocator. Returns whether the request must be repeated at once under a newer epoch.
    pub fn handle_response(&mut self, response: &BudgetMessage, now: Micros) -> bool {
        match response {
            BudgetMessage::NewEpoch(epoch) => {
                let is_newer = *epoch > self.epoch;
                self.epoch = self.epoch.max(*epoch);
                is_newer
            }
            BudgetMessage::Grant(grant) => {
                self.apply_grant(grant, now);
                false
            }
            BudgetMessage::Request(_) => false,
        }
    }

    /// Puts a grant in force if it is for this process, newer than the current one, and has not ended. Like a lease, it
    /// starts when the request was sent.
    fn apply_grant(&mut self, grant: &BudgetGrant, now: Micros) {
        let current = self.current.as_ref();
        let is_newer = current.is_none_or(|current| current.id < grant.id);
        let is_for_this_process = grant.requester == self.process.incarnation;
        if !is_for_this_process || !is_newer || grant.id.epoch < self.epoch {
            return;
        }
        let request = self
            .pending_requests
            .iter()
            .find(|request| request.number == grant.request_number);
        let Some(request) = request else {
            return;
        };
        let until = request
            .sent_at
            .saturating_add(reduce_by_drift(grant.duration, self.drift_ppm));
        if now < until {
            self.epoch = grant.id.epoch;
            let rates = grant.rates.iter().take(MAX_BUDGETS);
            self.current = Some(CurrentGrant {
                id: grant.id,
                until,
                rates: rates
                    .map(|(budget, rate)| (budget.clone(), *rate))
                    .collect(),
            });
        }
    }

    /// The rate of a budget in addition to the guaranteed rate; 0 until `now` if no grant is in force.
    pub fn rate(&self, budget: &str, now: Micros) -> GrantedRate {
        match &self.current {
            Some(current) if now < current.until => GrantedRate {
                rate: current.rates.get(budget).copied().unwrap_or(0),
                until: current.until,
            },
            _ => GrantedRate {
                rate: 0,
                until: now,
            },
        }
    }
}
