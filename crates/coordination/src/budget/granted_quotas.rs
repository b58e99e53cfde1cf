//! What one process has been granted of the fleet's budgets.

use super::messages::{BudgetGrant, BudgetMessage, BudgetRequest, Demand, GrantId, Rates};
use super::MAX_BUDGETS;
use crate::lease::reduce_by_drift;
use crate::{Epoch, Micros, ProcessId};
use std::collections::{BTreeMap, VecDeque};

/// How many requests an answer may still come to.
const MAX_OPEN_REQUESTS: usize = 16;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct CurrentGrant {
    id: GrantId,
    until: Micros,
    rates: Rates,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct OpenRequest {
    number: u64,
    sent_at: Micros,
}

/// A rate that a grant allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantedRate {
    /// In thousandths of a unit a second, beyond the guaranteed rate.
    pub rate: u64,
    /// When the grant runs out.
    pub until: Micros,
}

/// What one process has been granted. At most one grant is in force; a newer one takes its place.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct GrantedQuotas {
    process: ProcessId,
    drift_ppm: u32,
    /// The highest epoch heard of.
    epoch: Epoch,
    /// The number of the last request.
    last_request: u64,
    /// Requests that may still be answered.
    open_requests: VecDeque<OpenRequest>,
    current: Option<CurrentGrant>,
}

impl GrantedQuotas {
    /// Nothing is granted yet. `drift_ppm` is how wrong any clock may run, in parts in a million.
    pub fn new(process: ProcessId, drift_ppm: u32) -> GrantedQuotas {
        GrantedQuotas {
            process,
            drift_ppm,
            epoch: Epoch::default(),
            last_request: 0,
            open_requests: VecDeque::new(),
            current: None,
        }
    }

    /// The next request to the allocator.
    pub fn next_request(
        &mut self,
        demands: BTreeMap<String, Demand>,
        now: Micros,
    ) -> BudgetMessage {
        self.last_request += 1;
        self.open_requests.push_back(OpenRequest {
            number: self.last_request,
            sent_at: now,
        });
        if self.open_requests.len() > MAX_OPEN_REQUESTS {
            self.open_requests.pop_front();
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

    /// Takes an answer of the allocator; true where another request is due at once.
    pub fn handle_answer(&mut self, answer: &BudgetMessage, now: Micros) -> bool {
        match answer {
            BudgetMessage::NewEpoch(epoch) => {
                let is_newer = *epoch > self.epoch;
                self.epoch = self.epoch.max(*epoch);
                is_newer
            }
            BudgetMessage::Grant(grant) => {
                self.take_grant(grant, now);
                false
            }
            BudgetMessage::Request(_) => false,
        }
    }

    /// Puts a grant in force, if it is for this process, newer than the current one, and not over yet. It counts from
    /// the request, as a lease does.
    fn take_grant(&mut self, grant: &BudgetGrant, now: Micros) {
        let current = self.current.as_ref();
        let is_newer = current.is_none_or(|current| current.id < grant.id);
        let is_for_this_process = grant.requester == self.process.incarnation;
        if !is_for_this_process || !is_newer || grant.id.epoch < self.epoch {
            return;
        }
        let request = self
            .open_requests
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

    /// What may be spent of a budget beyond the guaranteed rate: nothing, as of now, where no grant is in force.
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
