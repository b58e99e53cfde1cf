//! `[fleet.budgets]` of the operator file: rate limits that all nodes of the fleet share.

use super::duration::ConfigDuration;
use super::error::InvalidValue;
use crate::transport::coordination::budgets::TENANT_BUDGET_PREFIX;
use poppykeel_coordination::budget::{BudgetLimit, MAX_BUDGETS};
use serde::Deserialize;
use std::borrow::Cow;
use std::collections::BTreeMap;

/// The number of budgets out of [`MAX_BUDGETS`] that are reserved for other uses than tenants.
const NON_TENANT_BUDGETS: usize = 8;
/// The largest number of tenants with a budget.
const MAX_TENANTS: usize = MAX_BUDGETS - NON_TENANT_BUDGETS;
/// The largest number of nodes that a budget can be divided among.
const MAX_NODES: u32 = 4096;
const MIN_SHARE: ConfigDuration = ConfigDuration::from_micros(200_000);
const MAX_SHARE: ConfigDuration = ConfigDuration::from_micros(600_000_000);
/// The default of `share`, the lifetime of a grant.
const DEFAULT_SHARE: ConfigDuration = ConfigDuration::from_micros(2_000_000);
/// The largest rate (in units per second) or burst (in units).
const MAX_AMOUNT: f64 = 1e9;
/// In messages between nodes, amounts are in thousandths of a unit.
const THOUSANDTHS_PER_UNIT: f64 = 1e3;

/// `[fleet.budgets]`. Field names are the keys, which `deploy/operator.toml` documents. A budget that is `None` sets no
/// limit on the fleet.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(
    deny_unknown_fields,
    expecting = "a table with the keys of [fleet.budgets]"
)]
pub struct BudgetsConfig {
    /// The largest number of nodes that are in the fleet at a time; each of them is guaranteed its floor.
    pub most_nodes: u32,
    /// How long a node may spend its share of a budget before it needs a new grant.
    #[serde(default = "default_share")]
    pub share: ConfigDuration,
    /// For attempts after the first one of a request.
    pub retries: Option<BudgetConfig>,
    /// The budget of hedged attempts.
    pub copies: Option<BudgetConfig>,
    /// The budget of probes of outliers.
    pub probes: Option<BudgetConfig>,
    /// The budget of requests to other zones.
    pub crossings: Option<BudgetConfig>,
    /// The budget of requests to replicas in slow start.
    pub cold: Option<BudgetConfig>,
    /// The budget of calls to the discovery service.
    pub discovery: Option<BudgetConfig>,
    /// The budgets of tenants, by tenant name.
    #[serde(default)]
    pub tenants: BTreeMap<String, BudgetConfig>,
}

/// One budget: a token bucket for the whole fleet, and the share of it that is guaranteed to each node.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(
    deny_unknown_fields,
    expecting = "a table with rate, burst, floor and floor_burst"
)]
pub struct BudgetConfig {
    /// The fleet's rate, in units per second.
    pub rate: f64,
    /// The fleet's burst, in units.
    pub burst: f64,
    /// The rate of a node without a grant, in units per second.
    pub floor: f64,
    /// The burst of a node without a grant, in units.
    pub floor_burst: f64,
}

struct NamedBudget {
    /// The name in messages between nodes.
    name: String,
    /// The key below `fleet.budgets`.
    key: String,
    budget: BudgetConfig,
}

fn default_share() -> ConfigDuration {
    DEFAULT_SHARE
}

impl BudgetsConfig {
    /// All budgets in the file, with those of tenants last.
    fn named_budgets(&self) -> Vec<NamedBudget> {
        let optional_budgets = [
            ("retries", self.retries),
            ("copies", self.copies),
            ("probes", self.probes),
            ("crossings", self.crossings),
            ("cold", self.cold),
            ("discovery", self.discovery),
        ];
        let mut budgets = Vec::new();
        for (key, budget) in optional_budgets {
            if let Some(budget) = budget {
                budgets.push(NamedBudget {
                    name: key.into(),
                    key: key.into(),
                    budget,
                });
            }
        }
        for (tenant, budget) in &self.tenants {
            budgets.push(NamedBudget {
                name: format!("{TENANT_BUDGET_PREFIX}{tenant}"),
                key: format!("tenants.{tenant}"),
                budget: *budget,
            });
        }
        budgets
    }

    /// The limits of all budgets, by their names in messages between nodes.
    pub(super) fn limits(&self) -> BTreeMap<String, BudgetLimit> {
        self.named_budgets()
            .into_iter()
            .map(|named| (named.name, self.limit(named.budget)))
            .collect()
    }

    fn limit(&self, budget: BudgetConfig) -> BudgetLimit {
        BudgetLimit {
            rate: to_thousandths(budget.rate),
            burst: to_thousandths(budget.burst),
            guaranteed_rate: to_thousandths(budget.floor),
            guaranteed_burst: to_thousandths(budget.floor_burst),
            max_nodes: self.most_nodes,
        }
    }

    /// Checks value ranges and constraints between keys, for a clock drift in parts per million.
    pub(super) fn check(&self, drift_ppm: u32) -> Result<(), InvalidValue> {
        if self.most_nodes == 0 || self.most_nodes > MAX_NODES {
            return Err(invalid("most_nodes", "expected 1 to 4096 nodes"));
        }
        if !(MIN_SHARE..=MAX_SHARE).contains(&self.share) {
            return Err(invalid("share", "expected a duration from 200ms to 10m"));
        }
        if self.tenants.len() > MAX_TENANTS {
            let expected = format!("expected at most {MAX_TENANTS} tenants with budgets");
            return Err(invalid("tenants", expected));
        }
        let budgets = self.named_budgets();
        for named in &budgets {
            named.budget.check(&named.key)?;
        }
        for named in &budgets {
            if let Err(error) = self.limit(named.budget).validate(drift_ppm) {
                let key = format!("{}.{}", named.key, error.key());
                return Err(invalid(&key, error.to_string()));
            }
        }
        Ok(())
    }
}

impl BudgetConfig {
    /// Checks the amounts of the budget with this key below `fleet.budgets`.
    fn check(&self, budget_key: &str) -> Result<(), InvalidValue> {
        let amounts = [
            ("rate", self.rate),
            ("burst", self.burst),
            ("floor", self.floor),
            ("floor_burst", self.floor_burst),
        ];
        for (key, amount) in amounts {
            if !(0.0..=MAX_AMOUNT).contains(&amount) {
                return Err(invalid(
                    &format!("{budget_key}.{key}"),
                    "expected a number from 0 to 1000000000",
                ));
            }
        }
        if self.rate > 0.0 && self.floor_burst < 1.0 {
            return Err(invalid(
                &format!("{budget_key}.floor_burst"),
                "expected at least 1, because a bucket that holds less than one unit never admits anything",
            ));
        }
        Ok(())
    }
}

fn to_thousandths(units: f64) -> u64 {
    (units * THOUSANDTHS_PER_UNIT).round() as u64
}

fn invalid(key: &str, expected: impl Into<Cow<'static, str>>) -> InvalidValue {
    InvalidValue::new(format!("fleet.budgets.{key}"), expected)
}
