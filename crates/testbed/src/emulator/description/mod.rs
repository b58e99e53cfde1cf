//! The description of a run: its fleet, load, faults and the coordination of its nodes.
//!
//! Field names are the keys of an experiment's file and must not change. A missing key has the default given here; an
//! unknown key is an error. A run must pass [`RunDescription::check`] before it is simulated.

mod validation;

pub use validation::RunDescriptionError;

use super::model_server::ServerProfile;
use serde::{Deserialize, Serialize};

/// One run, without its seed and policy.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct RunDescription {
    /// Model servers, nodes and the network between them.
    pub fleet: FleetDescription,
    /// The load that clients send.
    pub load: LoadDescription,
    /// Classes of requests; an empty list stands for one default class.
    pub class: Vec<ClassDescription>,
    /// Tenants; an empty list stands for one default tenant.
    pub tenant: Vec<TenantDescription>,
    /// The faults of the run.
    pub fault: Vec<FaultDescription>,
    /// The coordination of the nodes and their common budget; `None` for a run without it.
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
    /// The same fixed share for each node.
    Equal,
    /// No budget: nodes retry without a limit.
    None,
}

/// The coordination of the nodes and their common budget.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct CoordinationDescription {
    /// Number of lease servers, an odd number; the first nodes run them.
    pub keepers: usize,
    /// The duration of leases, in seconds.
    pub lease_s: f64,
    /// The interval of probes between nodes, in seconds.
    pub probe_s: f64,
    /// The duration of budget grants, in seconds.
    pub share_s: f64,
    /// How the retry budget is divided.
    pub division: BudgetDivision,
    /// The rate limit of all nodes together, in retries per second.
    pub retries: f64,
    /// The burst limit of all nodes together, in retries.
    pub burst: f64,
    /// The rate limit of a node without a grant, in retries per second.
    pub floor: f64,
    /// The burst limit of a node without a grant, in retries.
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

/// Model servers, nodes and the network between them.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct FleetDescription {
    /// Number of model servers.
    pub servers: usize,
    /// Number of nodes.
    pub nodes: usize,
    /// Number of zones. Servers and nodes are assigned to them round robin.
    pub zones: usize,
    /// The capacity and speed of every server.
    pub server: ServerProfile,
    /// The one-way latency inside a zone, in microseconds.
    pub near_us: u64,
    /// The one-way latency between zones, in microseconds.
    pub far_us: u64,
    /// Time added to an attempt that needs a new connection, in microseconds.
    pub connect_us: u64,
    /// Maximum number of idle connections from a node to a server.
    pub idle: u16,
    /// The timeout of connecting to a server that cannot be reached, in seconds.
    pub dial_s: f64,
    /// The timeout of a stream on which nothing arrives, in seconds.
    pub silence_s: f64,
    /// The maximum age of servers' load reports, in milliseconds.
    pub report_ms: u64,
    /// The error of load reports, as the sigma of the log-normal factor that they are multiplied by; 0 for exact
    /// reports.
    pub report_noise: f64,
    /// The delay until nodes receive a change of the endpoint list, in milliseconds.
    pub list_ms: u64,
    /// The delay until a server that has ended is removed from the endpoint list, in milliseconds.
    pub notice_ms: u64,
    /// Maximum number of attempts of one request.
    pub attempts: usize,
    /// Whether nodes may send health checks.
    pub probes: bool,
    /// Whether nodes may hedge: run two attempts of one request at once.
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
    /// New requests per second and server, so the load grows with the fleet.
    pub per_server: f64,
    /// How long clients send new requests, in seconds; requests in flight may end later.
    pub seconds: f64,
    /// The fraction of requests that begin a session; each of the others is the next turn of an idle session.
    pub new_sessions: f64,
    /// Maximum number of idle sessions of a tenant; with 0 every request begins a session.
    pub sessions: usize,
    /// Number of prompt prefixes that sessions share; 0 if prompts have no shared prefix.
    pub prefixes: usize,
    /// Tokens of each shared prefix.
    pub prefix_tokens: u32,
    /// Maximum number of tokens of a prompt; longer ones are truncated.
    pub most_prompt: u32,
    /// Maximum number of client retries after a rejection or a failure.
    pub retries: u32,
    /// The longest `Retry-After` that a client waits for, in seconds; after a longer one it does not retry. After a
    /// failure clients wait for half a second.
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
    /// The class is idempotent: requests may run more than once.
    #[default]
    Safe,
    /// Requests must run at most once.
    Unsafe,
}

/// One class of requests.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct ClassDescription {
    /// The name under which outcomes and the configuration of nodes list it.
    pub name: String,
    /// Its weight in the load, relative to other classes.
    pub part: f64,
    /// The priority weight of an answer that meets the latency objectives.
    pub worth: f64,
    /// The fraction of `worth` that a late answer earns.
    pub late_worth: f64,
    /// The objective for the time to first token, in seconds.
    pub aim_s: f64,
    /// The objective for the time between tokens, in seconds.
    pub token_aim_s: f64,
    /// How long a client waits for the first token before it disconnects, in seconds.
    pub deadline_s: f64,
    /// Whether its requests may run more than once.
    pub repeats: RepeatSafety,
    /// New prompt tokens of a request: the median of a log-normal distribution.
    pub prompt_tokens: f64,
    /// The sigma of the distribution of new prompt tokens.
    pub prompt_sigma: f64,
    /// Tokens of an answer: the median of a log-normal distribution.
    pub answer_tokens: f64,
    /// The sigma of the distribution of answer tokens.
    pub answer_sigma: f64,
    /// Maximum number of tokens of an answer, as stated in requests.
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

/// An entry of the tenants in a run description.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct TenantDescription {
    /// The name under which outcomes and the configuration of nodes list it.
    pub name: String,
    /// Its quota, relative to other tenants.
    pub share: f64,
    /// Its weight in the load, relative to other tenants.
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

/// The kinds of faults. Unless stated otherwise, "servers" and "nodes" are the fraction [`FaultDescription::part`] of
/// them.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Servers crash; they restart at the end of the fault, with an empty cache and at low speed.
    Die,
    /// Servers accept connections and send nothing.
    Silent,
    /// Servers answer every request with an error immediately.
    FailFast,
    /// Servers stall for the first `size` seconds of every two seconds.
    Stall,
    /// Servers are `size` times slower.
    Slow,
    /// Servers crash and restart one second later, with an empty cache and at low speed.
    ColdRestart,
    /// The network between the zone `zone` and the others is partitioned.
    ZoneCut,
    /// Servers' load reports are frozen.
    LateReports,
    /// The tenant `tenant` sends `size` times as many requests.
    Burst,
    /// All nodes receive no updates of the endpoint list.
    NoList,
    /// Nodes crash; new processes replace them at the end of the fault.
    NodeKill,
    /// All servers are drained and restarted, in waves of the fraction `part`; a wave starts every `size` seconds.
    Deploys,
}

/// An entry of the faults in a run description.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct FaultDescription {
    /// The kind determines the effect on the affected part, and the meaning of `size`.
    pub what: FaultKind,
    /// When it begins, in seconds since the start of the run.
    pub at_s: f64,
    /// How long it lasts, in seconds.
    #[serde(default = "default_fault_duration_s")]
    pub for_s: f64,
    /// The fraction of servers or nodes affected, 0 to 1; they are those with the lowest indexes.
    #[serde(default = "default_fault_fraction")]
    pub part: f64,
    /// Its size, more than 0; its meaning and unit depend on the kind, and some kinds ignore it.
    #[serde(default = "default_fault_size")]
    pub size: f64,
    /// The index of the zone, from 0, for kinds that affect one.
    #[serde(default)]
    pub zone: usize,
    /// The index of the tenant, from 0, for kinds that affect one.
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
