//! Validates a run's description and fills in defaults for empty lists.

use super::{
    ClassDescription, CoordinationDescription, FaultDescription, RunDescription, TenantDescription,
};

/// Maximum number of servers of a run.
const MAX_SERVERS: usize = 1 << 20;
/// Maximum number of nodes of a run.
const MAX_NODES: usize = 1 << 16;
/// The shortest duration of leases, in seconds.
const MIN_LEASE_S: f64 = 0.1;
/// The shortest duration of budget grants, in seconds.
const MIN_GRANT_S: f64 = 0.2;

/// Why a description is invalid. The messages name the key and the expected value.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RunDescriptionError {
    /// A value is zero, negative or not finite.
    #[error("{key}: expected more than 0, not {value}")]
    NotPositive {
        /// The key with its table.
        key: &'static str,
        /// The value as given in the run description.
        value: f64,
    },
    /// There are more servers or nodes than the emulator supports.
    #[error(
        "fleet: expected at most {} servers and {} nodes",
        MAX_SERVERS,
        MAX_NODES
    )]
    FleetTooLarge,
    /// The number of lease servers is zero, even or greater than the number of nodes.
    #[error("together.keepers: expected an odd number, at most fleet.nodes, not {keepers}")]
    LeaseServerCount {
        /// The given number.
        keepers: usize,
    },
    /// A value of the coordination is out of range.
    #[error(
        "together: expected finite values of 0 or more, lease_s at least 0.1, share_s at least 0.2"
    )]
    CoordinationOutOfRange,
    /// A value of a class is out of range.
    #[error(
        "class {index} ({name}): expected finite values of 0 or more, answer_limit more than 0"
    )]
    ClassOutOfRange {
        /// The index of the class.
        index: usize,
        /// The name of the class at that index, for the message.
        name: String,
    },
    /// The weights of all classes or tenants do not add up to a positive number.
    #[error("{key}: expected a sum of more than 0, not {value}")]
    SumNotPositive {
        /// The weights that are added up.
        key: &'static str,
        /// The sum.
        value: f64,
    },
    /// A value of a fault is out of range.
    #[error("fault {index}: {keys}: expected {expected}")]
    Fault {
        /// The index of the fault.
        index: usize,
        /// The keys concerned.
        keys: &'static str,
        /// The expected value.
        expected: &'static str,
    },
}

impl RunDescription {
    /// Adds the default class and tenant if there are none, and checks all values.
    ///
    /// # Errors
    ///
    /// The first [`RunDescriptionError`] found.
    pub fn check(mut self) -> Result<RunDescription, RunDescriptionError> {
        if self.class.is_empty() {
            self.class.push(ClassDescription::default());
        }
        if self.tenant.is_empty() {
            self.tenant.push(TenantDescription::default());
        }
        self.check_fleet_and_load()?;
        if let Some(coordination) = &self.together {
            coordination.check(self.fleet.nodes)?;
        }
        for (index, class) in self.class.iter().enumerate() {
            if !class.has_valid_values() {
                return Err(RunDescriptionError::ClassOutOfRange {
                    index,
                    name: class.name.clone(),
                });
            }
        }
        self.check_weights()?;
        for (index, fault) in self.fault.iter().enumerate() {
            self.check_fault(index, fault)?;
        }
        Ok(self)
    }

    fn check_fleet_and_load(&self) -> Result<(), RunDescriptionError> {
        let fleet = &self.fleet;
        let load = &self.load;
        let positive = [
            ("fleet.servers", fleet.servers as f64),
            ("fleet.nodes", fleet.nodes as f64),
            ("fleet.zones", fleet.zones as f64),
            ("fleet.attempts", fleet.attempts as f64),
            ("fleet.server.slots", fleet.server.slots as f64),
            ("fleet.server.chunk", f64::from(fleet.server.chunk)),
            ("load.per_server", load.per_server),
            ("load.seconds", load.seconds),
        ];
        for (key, value) in positive {
            if !is_positive(value) {
                return Err(RunDescriptionError::NotPositive { key, value });
            }
        }
        if fleet.servers > MAX_SERVERS || fleet.nodes > MAX_NODES {
            return Err(RunDescriptionError::FleetTooLarge);
        }
        Ok(())
    }

    fn check_weights(&self) -> Result<(), RunDescriptionError> {
        let class_weights = self.class.iter().map(|class| class.part);
        let tenant_weights = self.tenant.iter().map(|tenant| tenant.part);
        let quotas = self.tenant.iter().map(|tenant| tenant.share);
        let sums = [
            ("class: part", class_weights.sum::<f64>()),
            ("tenant: part", tenant_weights.sum()),
            ("tenant: share", quotas.sum()),
        ];
        for (key, value) in sums {
            if !is_positive(value) {
                return Err(RunDescriptionError::SumNotPositive { key, value });
            }
        }
        Ok(())
    }

    fn check_fault(
        &self,
        index: usize,
        fault: &FaultDescription,
    ) -> Result<(), RunDescriptionError> {
        let out_of_range = |keys, expected| {
            Err(RunDescriptionError::Fault {
                index,
                keys,
                expected,
            })
        };
        let end_s = fault.at_s + fault.for_s;
        if !(fault.at_s >= 0.0 && fault.for_s >= 0.0 && end_s.is_finite()) {
            return out_of_range("at_s, for_s", "0 or more");
        }
        if !(fault.part >= 0.0 && fault.part <= 1.0) {
            return out_of_range("part", "0 to 1");
        }
        if !is_positive(fault.size) {
            return out_of_range("size", "more than 0");
        }
        if fault.zone >= self.fleet.zones || fault.tenant >= self.tenant.len() {
            return out_of_range(
                "zone, tenant",
                "the index of an existing zone or tenant, from 0",
            );
        }
        Ok(())
    }
}

impl CoordinationDescription {
    fn check(&self, node_count: usize) -> Result<(), RunDescriptionError> {
        if self.keepers == 0 || self.keepers > node_count || self.keepers.is_multiple_of(2) {
            return Err(RunDescriptionError::LeaseServerCount {
                keepers: self.keepers,
            });
        }
        let values = [
            self.lease_s,
            self.probe_s,
            self.share_s,
            self.retries,
            self.burst,
            self.floor,
            self.floor_burst,
        ];
        let is_valid = values.into_iter().all(is_finite_and_not_negative)
            && self.lease_s >= MIN_LEASE_S
            && self.share_s >= MIN_GRANT_S;
        if is_valid {
            Ok(())
        } else {
            Err(RunDescriptionError::CoordinationOutOfRange)
        }
    }
}

impl ClassDescription {
    fn has_valid_values(&self) -> bool {
        let values = [
            self.part,
            self.worth,
            self.late_worth,
            self.aim_s,
            self.deadline_s,
            self.prompt_tokens,
            self.prompt_sigma,
            self.answer_tokens,
            self.answer_sigma,
        ];
        self.answer_limit > 0 && values.into_iter().all(is_finite_and_not_negative)
    }
}

fn is_positive(value: f64) -> bool {
    value > 0.0 && value.is_finite()
}

fn is_finite_and_not_negative(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}
