//! What one run is: the fleet, its load and what goes wrong. Keys are those of an experiment's file; what is left out
//! has the values given here, and a key that does not exist is an error.

#![expect(
    clippy::min_ident_chars,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

use super::server::ServerProfile;
use serde::{Deserialize, Serialize};

/// One run, but for its seed and its policy.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct RunDescription {
    /// Servers, nodes and what is between them.
    pub fleet: FleetDescription,
    /// What clients send.
    pub load: LoadDescription,
    /// Classes of requests; none is one ordinary class.
    pub class: Vec<ClassDescription>,
    /// Tenants; none is one.
    pub tenant: Vec<TenantDescription>,
    /// What goes wrong.
    pub fault: Vec<FaultDescription>,
    /// Talk between the nodes, and what they spend together; none by default.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub together: Option<CoordinationDescription>,
}

/// How a budget of the whole fleet reaches the nodes.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum BudgetDivision {
    /// By shares that follow what nodes want, under a lease.
    #[default]
    Shares,
    /// The same part for each, for ever.
    Equal,
    /// Nobody counts.
    None,
}

/// Talk between the nodes.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct CoordinationDescription {
    /// The first so many nodes are keepers.
    pub keepers: usize,
    /// The length of leases, in seconds.
    pub lease_s: f64,
    /// The time between two probes of other nodes, in seconds.
    pub probe_s: f64,
    /// The length of shares, in seconds.
    pub share_s: f64,
    /// How the budget is divided.
    pub division: BudgetDivision,
    /// Retries a second of all nodes, and at once.
    pub retries: f64,
    /// See there.
    pub burst: f64,
    /// What a node without a share may spend, and at once.
    pub floor: f64,
    /// See there.
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

/// Servers, nodes and what is between them.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct FleetDescription {
    /// Model servers.
    pub servers: usize,
    /// Nodes of the balancer.
    pub nodes: usize,
    /// Zones; servers and nodes are spread over them in turn.
    pub zones: usize,
    /// What every server is like.
    pub server: ServerProfile,
    /// One way inside a zone, in microseconds.
    pub near_us: u64,
    /// One way from zone to zone.
    pub far_us: u64,
    /// Added for a connection that has to be made.
    pub connect_us: u64,
    /// Idle connections that a node keeps to a server.
    pub idle: u16,
    /// A connection that nobody answers is given up after so many seconds.
    pub dial_s: f64,
    /// A stream that is silent for so long is given up.
    pub silence_s: f64,
    /// Servers' reports are as old as this at most, in milliseconds.
    pub report_ms: u64,
    /// Reports are off by so much, as the sigma of a log-normal factor.
    pub report_noise: f64,
    /// The list reaches nodes so many milliseconds after it has changed.
    pub list_ms: u64,
    /// A change of a server is noticed by the list's maker after so many milliseconds.
    pub notice_ms: u64,
    /// Attempts for one request.
    pub attempts: usize,
    /// Nodes may probe servers.
    pub probes: bool,
    /// Two attempts of one request may be out together.
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

/// What clients send.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct LoadDescription {
    /// New requests a second for each server: the whole load follows the fleet's size.
    pub per_server: f64,
    /// For so long, in seconds; after it what is under way may end.
    pub seconds: f64,
    /// The part of requests that begin a session; the others are a next turn of one.
    pub new_sessions: f64,
    /// Sessions of each tenant whose next turn may come.
    pub sessions: usize,
    /// Beginnings that sessions share.
    pub prefixes: usize,
    /// Tokens of each of them.
    pub prefix_tokens: u32,
    /// A prompt is cut to so many tokens.
    pub most_prompt: u32,
    /// A client comes so many times again after it was turned away or failed.
    pub retries: u32,
    /// The longest advice to stay away that it heeds, in seconds; without advice it comes after half a second.
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

/// What repeating a request of a class may do.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum RepeatSafety {
    /// Nothing.
    #[default]
    Safe,
    /// Harm.
    Unsafe,
}

/// One class of requests.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct ClassDescription {
    /// Its name.
    pub name: String,
    /// The part of requests that are of it, compared with others'.
    pub part: f64,
    /// Worth of an answer whose first token comes within the aim and whose tokens keep pace ...
    pub worth: f64,
    /// ... and the part of that which a later one has.
    pub late_worth: f64,
    /// The aim for the first token, in seconds.
    pub aim_s: f64,
    /// The aim for the time between tokens, in seconds.
    pub token_aim_s: f64,
    /// The client leaves without a first token after so many seconds.
    pub deadline_s: f64,
    /// What a repeat may do.
    pub repeats: RepeatSafety,
    /// New tokens of a prompt: the median of a log-normal distribution ...
    pub prompt_tokens: f64,
    /// ... and its sigma.
    pub prompt_sigma: f64,
    /// Tokens of an answer, likewise.
    pub answer_tokens: f64,
    /// Its sigma.
    pub answer_sigma: f64,
    /// The most tokens of an answer, which requests state.
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
    /// Its share of the service, compared with others'.
    pub share: f64,
    /// The part of the load that it sends, compared with others'.
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

/// What goes wrong.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Servers end and are started again, cold, at the fault's end.
    Die,
    /// Servers take connections and say nothing.
    Silent,
    /// Servers answer every request with an error at once.
    FailFast,
    /// Servers stand still for `size` seconds in each two.
    Stall,
    /// Servers are `size` times slower.
    Slow,
    /// Servers start anew, cold, one second after they have ended.
    ColdRestart,
    /// Nothing passes between the zone `zone` and the others.
    ZoneCut,
    /// Servers' reports stay what they were.
    LateReports,
    /// The tenant `tenant` sends `size` times as much.
    Burst,
    /// The list tells nothing.
    NoList,
    /// A node ends; another takes its place at the fault's end.
    NodeKill,
    /// All servers are drained and started anew, a `part` of them at a time, one wave every `size` seconds.
    Deploys,
}

/// Something that goes wrong.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct FaultDescription {
    /// What.
    pub what: FaultKind,
    /// When, in seconds.
    pub at_s: f64,
    /// For how long.
    #[serde(default = "some")]
    pub for_s: f64,
    /// The part of servers, or of nodes, that it befalls: the first so many of them.
    #[serde(default = "quarter")]
    pub part: f64,
    /// How strong it is; what that means is said with each.
    #[serde(default = "three")]
    pub size: f64,
    /// The zone.
    #[serde(default)]
    pub zone: usize,
    /// The tenant.
    #[serde(default)]
    pub tenant: usize,
}

fn some() -> f64 {
    10.0
}

fn quarter() -> f64 {
    0.25
}

fn three() -> f64 {
    3.0
}

impl RunDescription {
    /// Fills in what is left out, and says what cannot be.
    pub fn check(mut self) -> Result<RunDescription, String> {
        if self.class.is_empty() {
            self.class.push(ClassDescription::default());
        }
        if self.tenant.is_empty() {
            self.tenant.push(TenantDescription::default());
        }
        let (f, l) = (&self.fleet, &self.load);
        let above = [
            ("fleet.servers", f.servers as f64),
            ("fleet.nodes", f.nodes as f64),
            ("fleet.zones", f.zones as f64),
            ("fleet.attempts", f.attempts as f64),
            ("fleet.server.slots", f.server.slots as f64),
            ("fleet.server.chunk", f64::from(f.server.chunk)),
            ("load.per_server", l.per_server),
            ("load.seconds", l.seconds),
        ];
        if let Some((key, value)) = above.iter().find(|a| !(a.1 > 0.0 && a.1.is_finite())) {
            return Err(format!("{key}: expected more than 0, not {value}"));
        }
        if f.servers > 1 << 20 || f.nodes > 1 << 16 {
            return Err("fleet: expected at most 1048576 servers and 65536 nodes".into());
        }
        if let Some(t) = &self.together {
            if t.keepers == 0 || t.keepers > f.nodes || t.keepers.is_multiple_of(2) {
                return Err(format!(
                    "together.keepers: expected 1, 3, 5 or 7 of the nodes, not {}",
                    t.keepers
                ));
            }
            let figures = [
                t.lease_s,
                t.probe_s,
                t.share_s,
                t.retries,
                t.burst,
                t.floor,
                t.floor_burst,
            ];
            if !figures.iter().all(|x| x.is_finite() && *x >= 0.0)
                || t.lease_s < 0.1
                || t.share_s < 0.2
            {
                return Err(
                    "together: expected figures of 0 or more, lease_s from 0.1, share_s from 0.2"
                        .into(),
                );
            }
        }
        for (n, class) in self.class.iter().enumerate() {
            let figures = [
                class.part,
                class.worth,
                class.late_worth,
                class.aim_s,
                class.deadline_s,
            ];
            let tokens = [
                class.prompt_tokens,
                class.prompt_sigma,
                class.answer_tokens,
                class.answer_sigma,
            ];
            if !figures
                .iter()
                .chain(&tokens)
                .all(|x| x.is_finite() && *x >= 0.0)
                || class.answer_limit == 0
            {
                return Err(format!(
                    "class {n} ({}): expected finite figures of 0 or more",
                    class.name
                ));
            }
        }
        let sums = [
            (
                "class: part",
                self.class.iter().map(|c| c.part).sum::<f64>(),
            ),
            ("tenant: part", self.tenant.iter().map(|t| t.part).sum()),
            ("tenant: share", self.tenant.iter().map(|t| t.share).sum()),
        ];
        if let Some((key, value)) = sums.iter().find(|s| !(s.1 > 0.0 && s.1.is_finite())) {
            return Err(format!("{key}: expected a sum of more than 0, not {value}"));
        }
        for (n, fault) in self.fault.iter().enumerate() {
            let bad = |key: &str, what: &str| Err(format!("fault {n}: {key}: expected {what}"));
            if !(fault.at_s >= 0.0 && fault.for_s >= 0.0 && (fault.at_s + fault.for_s).is_finite())
            {
                return bad("at_s, for_s", "0 or more");
            }
            if !(fault.part >= 0.0 && fault.part <= 1.0) {
                return bad("part", "0 to 1");
            }
            if !(fault.size > 0.0 && fault.size.is_finite()) {
                return bad("size", "more than 0");
            }
            if fault.zone >= f.zones || fault.tenant >= self.tenant.len() {
                return bad("zone, tenant", "the number of one that there is, from 0");
            }
        }
        Ok(self)
    }
}
