//! The description of a run: its fleet, its load, its faults and the coordination of its nodes.
//!
//! The names of fields are the keys of an experiment's file, so they keep that file's words; a key that is left out has
//! the default given here, and one that does not exist is an error. [`RunDescription::check`] must have passed before a
//! run is played.

mod validation;

pub use validation::RunDescriptionError;

use super::model_server::ServerProfile;
use serde::{Deserialize, Serialize};

/// One run, all but its seed and its policy.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct RunDescription {
    /// Servers, nodes and the network between them.
    pub fleet: FleetDescription,
    /// The load that clients send.
    pub load: LoadDescription,
    /// Classes of requests; an empty list stands for one default class.
    pub class: Vec<ClassDescription>,
    /// Tenants; an empty list stands for one default tenant.
    pub tenant: Vec<TenantDescription>,
    /// The faults of the run.
    pub fault: Vec<FaultDescription>,
    /// The coordination of the nodes and the budget that they share; none by default.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub together: Option<CoordinationDescription>,
}

/// How the retry budget of the fleet is divided between the nodes.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum BudgetDivision {
    /// By the lease holder, in grants that follow the nodes' demand.
    #[default]
    Shares,
    /// The same fixed part for each node.
    Equal,
    /// Not at all: nodes retry without a budget.
    None,
}

/// The coordination of the nodes and the budget that they share.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct CoordinationDescription {
    /// How many nodes are lease servers, from the first on; an odd number.
    pub keepers: usize,
    /// The duration of leases, in seconds.
    pub lease_s: f64,
    /// The interval of probes between nodes, in seconds.
    pub probe_s: f64,
    /// The duration of budget grants, in seconds.
    pub share_s: f64,
    /// How the retry budget is divided.
    pub division: BudgetDivision,
    /// Retries a second of all nodes together.
    pub retries: f64,
    /// Retries at once of all nodes together.
    pub burst: f64,
    /// Retries a second of a node that has no grant.
    pub floor: f64,
    /// Retries at once of a node that has no grant.
    pub floor_burst: f64,
}

impl Default for CoordinationDescription {
    fn default() -> Self {
        CoordinationDescription {
            keepers: 3,
            lease_s: 5.0,
            probe_s: 1.0,
            share_s: 2.0,
            division: BudgetDivision::Shares,
            retries: 100.0,
            burst: 500.0,
            floor: 0.0,
            floor_burst: 1.0,
        }
    }
}

/// Servers, nodes and the network between them.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct FleetDescription {
    /// How many model servers there are.
    pub servers: usize,
    /// How many nodes there are.
    pub nodes: usize,
    /// How many zones there are; servers and nodes are spread over them in turn.
    pub zones: usize,
    /// The capacity and speed of every server.
    pub server: ServerProfile,
    /// The one-way latency inside a zone, in microseconds.
    pub near_us: u64,
    /// The one-way latency between zones, in microseconds.
    pub far_us: u64,
    /// Added to an attempt for which a connection has to be made, in microseconds.
    pub connect_us: u64,
    /// Idle connections that a node keeps to a server at most.
    pub idle: u16,
    /// The timeout of a connection that nobody answers, in seconds.
    pub dial_s: f64,
    /// The timeout of a stream that sends nothing, in seconds.
    pub silence_s: f64,
    /// The greatest age of servers' load reports, in milliseconds.
    pub report_ms: u64,
    /// The error of load reports, as the sigma of a log-normal factor.
    pub report_noise: f64,
    /// The delay until nodes know a change of the endpoint list, in milliseconds.
    pub list_ms: u64,
    /// The delay until the endpoint list shows that a server has ended, in milliseconds.
    pub notice_ms: u64,
    /// Attempts of one request at most.
    pub attempts: usize,
    /// Whether nodes may send health checks.
    pub probes: bool,
    /// Whether nodes may hedge: two attempts of one request in flight at once.
    pub second_copies: bool,
}

impl Default for FleetDescription {
    fn default() -> Self {
        FleetDescription {
            servers: 12,
            nodes: 2,
            zones: 3,
            server: ServerProfile::default(),
            near_us: 250,
            far_us: 1000,
            connect_us: 300,
            idle: 16,
            dial_s: 1.0,
            silence_s: 3.0,
            report_ms: 100,
            report_noise: 0.0,
            list_ms: 200,
            notice_ms: 1000,
            attempts: 3,
            probes: true,
            second_copies: false,
        }
    }
}

/// The load that clients send.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct LoadDescription {
    /// New requests a second for each server: the load grows with the fleet.
    pub per_server: f64,
    /// How long clients send new requests, in seconds; requests in flight may end after it.
    pub seconds: f64,
    /// The fraction of requests that begin a session; the others are the next turn of one.
    pub new_sessions: f64,
    /// Idle sessions of each tenant at most.
    pub sessions: usize,
    /// How many prompt prefixes sessions share.
    pub prefixes: usize,
    /// Tokens of each shared prefix.
    pub prefix_tokens: u32,
    /// Tokens of a prompt at most; longer ones are cut.
    pub most_prompt: u32,
    /// How many times a client retries after a rejection or a failure.
    pub retries: u32,
    /// The longest `Retry-After` that a client waits for, in seconds; after a failure it waits half a second.
    pub heeds_s: f64,
}

impl Default for LoadDescription {
    fn default() -> Self {
        LoadDescription {
            per_server: 6.0,
            seconds: 60.0,
            new_sessions: 0.3,
            sessions: 400,
            prefixes: 8,
            prefix_tokens: 200,
            most_prompt: 6000,
            retries: 1,
            heeds_s: 2.0,
        }
    }
}

/// Whether a request of a class may run more than once.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum RepeatSafety {
    /// It may: it is idempotent.
    #[default]
    Safe,
    /// It must not.
    Unsafe,
}

/// One class of requests.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct ClassDescription {
    /// Its name.
    pub name: String,
    /// Its weight among the classes when the class of a request is drawn.
    pub part: f64,
    /// The priority weight of an answer within the latency objectives.
    pub worth: f64,
    /// The fraction of that weight that a late answer has.
    pub late_worth: f64,
    /// The objective for the time to first token, in seconds.
    pub aim_s: f64,
    /// The objective for the time between tokens, in seconds.
    pub token_aim_s: f64,
    /// The client leaves if it has no first token by then, in seconds.
    pub deadline_s: f64,
    /// Whether it may run more than once.
    pub repeats: RepeatSafety,
    /// New tokens of a prompt: the median of a log-normal distribution.
    pub prompt_tokens: f64,
    /// The sigma of that distribution.
    pub prompt_sigma: f64,
    /// Tokens of an answer: the median of a log-normal distribution.
    pub answer_tokens: f64,
    /// The sigma of that distribution.
    pub answer_sigma: f64,
    /// Tokens of an answer at most, as requests state it.
    pub answer_limit: u32,
}

impl Default for ClassDescription {
    fn default() -> Self {
        ClassDescription {
            name: "chat".into(),
            part: 1.0,
            worth: 1.0,
            late_worth: 0.3,
            aim_s: 1.0,
            token_aim_s: 0.06,
            deadline_s: 5.0,
            repeats: RepeatSafety::Safe,
            prompt_tokens: 150.0,
            prompt_sigma: 0.8,
            answer_tokens: 60.0,
            answer_sigma: 0.6,
            answer_limit: 300,
        }
    }
}

/// One tenant.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct TenantDescription {
    /// Its name.
    pub name: String,
    /// Its quota, compared with others'.
    pub share: f64,
    /// Its weight among the tenants in the load.
    pub part: f64,
}

impl Default for TenantDescription {
    fn default() -> Self {
        TenantDescription {
            name: "all".into(),
            share: 1.0,
            part: 1.0,
        }
    }
}

/// The kinds of faults.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Servers end, and start again at the end of the fault without cache and at low speed.
    Die,
    /// Servers accept connections and send nothing.
    Silent,
    /// Servers answer every request with an error at once.
    FailFast,
    /// Servers stop working for `size` seconds out of every two.
    Stall,
    /// Servers are `size` times slower.
    Slow,
    /// Servers end and start again one second later, without cache and at low speed.
    ColdRestart,
    /// The network is cut between the zone `zone` and the others.
    ZoneCut,
    /// Servers' load reports no longer change.
    LateReports,
    /// The tenant `tenant` sends `size` times as many requests.
    Burst,
    /// Nodes receive no updates of the endpoint list.
    NoList,
    /// Nodes end; new processes take their places at the end of the fault.
    NodeKill,
    /// All servers are drained and restarted, a `part` of them at a time, one wave every `size` seconds.
    Deploys,
}

/// One fault.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct FaultDescription {
    /// Its kind.
    pub what: FaultKind,
    /// When it begins, in seconds since the beginning of the run.
    pub at_s: f64,
    /// How long it lasts, in seconds.
    #[serde(default = "default_fault_duration_s")]
    pub for_s: f64,
    /// The fraction of servers, or of nodes, that it affects, counted from the first.
    #[serde(default = "default_fault_fraction")]
    pub part: f64,
    /// Its strength; what that means depends on the kind.
    #[serde(default = "default_fault_size")]
    pub size: f64,
    /// The zone, for a kind that has one.
    #[serde(default)]
    pub zone: usize,
    /// The tenant, for a kind that has one.
    #[serde(default)]
    pub tenant: usize,
}

fn default_fault_duration_s() -> f64 {
    10.0
}

fn default_fault_fraction() -> f64 {
    0.25
}

fn default_fault_size() -> f64 {
    3.0
}
