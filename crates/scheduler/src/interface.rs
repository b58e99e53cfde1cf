//! The project's own interface: settings, events and actions as plain types.
//!
//! Nothing here decides anything and nothing here knows a wire format. Times are seconds on one clock that
//! never runs backwards; classes, tenants, zones and cells are positions counted from zero.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A point in time or a span, in seconds.
pub type Seconds = f64;

/// A request, as the embedding program numbers it. Never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

impl std::fmt::Display for RequestId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A replica: one language-model server, named by its address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplicaId(pub SocketAddr);

/// What a router is told once, at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// This router's number among its peers, from zero.
    pub me: usize,
    /// How many routers share the fleet.
    pub routers: usize,
    /// The zone this router stands in.
    pub zone: usize,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// What a request beyond its tenant's share is worth, as a part of its class's worth.
    pub over_share_worth: f64,
    /// What the site allows.
    pub limits: Limits,
    /// What the site charges.
    pub prices: Prices,
    /// Where load reports come from.
    pub reports: ReportSource,
    /// The figures behind drains and cold starts.
    pub rules: Rules,
    /// How the list of replicas is learned.
    pub discovery: Discovery,
}

/// One class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Worth of one answer inside the aim.
    pub worth: f64,
    /// The part of the worth that an answer after the aim still earns.
    pub late_worth: f64,
    /// First token wanted within this time.
    pub aim: Seconds,
    /// The aim grows by this much for each prompt token.
    pub aim_per_prompt_token: Seconds,
    /// Time wanted from one token of the answer to the next; infinite where none is wanted.
    pub token_aim: Seconds,
    /// The aim grows by this many times the request's expected work.
    pub aim_stretch: f64,
    /// What repeating a request may do.
    pub effect: Effect,
    /// Answers are streams: their first token is seen.
    pub streaming: bool,
}

impl Class {
    /// The aim of one request: the class's, and what it grows by for prompt tokens and expected work.
    pub fn aim_of(&self, arrival: &Arrival) -> Seconds {
        let work = arrival
            .expected_work
            .filter(|w| w.is_finite())
            .map_or(0.0, |w| w.max(0.0));
        self.aim
            + self.aim_per_prompt_token * arrival.prompt_tokens as f64
            + self.aim_stretch * work
    }
}

/// What repeating a request of a class may do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// May be repeated at will.
    Safe,
    /// Repeats are dropped inside one group of replicas, for as long as they remember.
    Keyed { group: Group, memory: Seconds },
    /// Must never run twice.
    Unsafe,
}

/// The replicas that drop each other's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    All,
    Zone,
    Cell,
}

/// The allowance of tenants that have none.
pub const NO_ALLOWANCE: f64 = 1e9;

/// One tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its part of the service; parts are compared with each other.
    pub share: f64,
    /// Requests a second, over all routers, that count as within its share; [`NO_ALLOWANCE`] where none is set.
    pub allowance: f64,
}

/// What the site allows.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    pub probes: bool,
    pub cancel: bool,
    /// Two attempts of one request may be out together.
    pub second_copies: bool,
    /// Attempts for one request, at least 1.
    pub max_attempts: usize,
    /// The longest advice to stay away that clients heed; 0 where they heed none.
    pub max_retry_after: Seconds,
}

/// What the site charges, in parts of the service per unit.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prices {
    pub cross_zone: f64,
    pub probe: f64,
    pub waste: f64,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportSource {
    /// With outcomes and with probes.
    Inline,
    /// With probes only.
    Probes,
    Off,
}

/// The figures behind drains and cold starts.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Sends must have stopped this long after a drain was learned.
    pub drain_grace: Seconds,
    /// A replica starts at this part of its capacity or higher ...
    pub cold_from: f64,
    /// ... and is warm after this long.
    pub cold: Seconds,
    /// A cold replica falls over above this many times its present capacity ...
    pub overload_factor: f64,
    /// ... over this long.
    pub fall: Seconds,
    /// An asked list must be asked for at least this often.
    pub ask_every: Seconds,
}

/// How the list of replicas is learned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes arrive by themselves.
    Pushed,
    /// Only after [`Action::Subscribe`].
    Asked,
}

/// One entry of a list of replicas.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing {
    pub id: ReplicaId,
    pub zone: usize,
    pub cell: usize,
    /// What kind of machine it is; equal numbers are alike.
    pub kind: usize,
    pub state: ReplicaState,
    /// Its size compared with others', where the list gives one that does not change with load.
    pub size: Option<f64>,
    /// When it last started, if that was seen.
    pub born: Option<Seconds>,
}

/// What the list says of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaState {
    Up,
    Draining,
    Gone,
}

/// A load report. What a site does not report is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Prompt tokens waiting to be read.
    pub waiting_prompt_tokens: Option<f64>,
    /// The share of memory held by running requests.
    pub memory_held: Option<f64>,
    /// Requests the replica holds, running or waiting.
    pub holding: Option<f64>,
    /// Requests waiting there for a place in the batch.
    pub queued: Option<f64>,
    /// Prompt tokens of this answer that the replica found kept.
    pub kept: Option<f64>,
}

/// A client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    pub id: RequestId,
    pub class: usize,
    pub tenant: usize,
    /// The session; its next prompt begins with this one.
    pub session: Option<u64>,
    /// The beginning shared with other sessions.
    pub prefix: Option<u64>,
    /// Time until the client gives up this try.
    pub time_left: Seconds,
    /// Expected work, where it is told.
    pub expected_work: Option<Seconds>,
    pub prompt_tokens: u64,
    pub prefix_tokens: u64,
    /// The most tokens the answer may have.
    pub answer_limit: u64,
    /// The client marked it as a repeat of an earlier try.
    pub repeat: bool,
}

/// This router's part of a budget of the whole fleet, in units and units a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Its share, beside the floor, until then.
    pub rate: f64,
    /// The share's part of what may be spent at once.
    pub burst: f64,
    /// What it may spend with no share.
    pub floor: f64,
    /// And at once.
    pub floor_burst: f64,
    /// The share's end.
    pub until: Seconds,
}

/// What a budget of the whole fleet is spent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Spend {
    /// Attempts after a request's first.
    Retries,
    /// Second copies of requests that are overdue.
    Copies,
    /// Questions to replicas how they are.
    Probes,
    /// Sends to replicas of other zones.
    Crossings,
    /// Sends to each replica that is cold: the budget is that of one.
    Cold,
    /// Calls for the list of replicas.
    Discovery,
    /// Requests of a tenant that count as within its share.
    Tenant(usize),
}

/// What the fleet allows; where there is no budget the router's own limits alone hold.
pub type Allowed = BTreeMap<Spend, Budget>;

/// What has been wanted of a budget since the start, got or not.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Wanted {
    /// Units.
    pub units: f64,
    /// What they were worth together.
    pub worth: f64,
}

/// What a router has learned, for the process that takes its place. Replicas and kinds are named as in its settings.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Memory {
    /// Requests that it has been learned from.
    pub arrivals: u64,
    /// Mean cost of a request.
    pub quantum: f64,
    /// Mean times to the first token and to the end.
    pub first: Seconds,
    pub hold_time: Seconds,
    /// Cost released, and attempts sent, a second.
    pub released: f64,
    pub sent: f64,
    /// Requests that may be out, for each warm replica.
    pub pool_part: f64,
    /// By kind: first tokens seen and their mean logarithm of pace, time that answers hold a place, places in a batch.
    pub paces: Vec<(usize, f64, f64)>,
    pub holds: Vec<(usize, Seconds)>,
    pub batches: Vec<(usize, f64)>,
    /// The parts of prompts that were found kept.
    pub kept: [f64; 3],
    pub tokens_a_second: Option<f64>,
    pub typical: f64,
    /// Sessions, where their last turn went, and the prompt tokens read there; the oldest first.
    pub places: Vec<(u64, SocketAddr, f64)>,
}

impl Memory {
    /// Whether all figures are such as a router may have learned: what comes from outside may be anything.
    pub fn sane(&self) -> bool {
        let figures = [
            self.quantum,
            self.first,
            self.hold_time,
            self.released,
            self.sent,
            self.pool_part,
        ];
        let kinds = self.holds.iter().chain(&self.batches).map(|k| k.1);
        let rest = kinds
            .chain(self.kept)
            .chain(self.tokens_a_second)
            .chain([self.typical]);
        let all = figures
            .into_iter()
            .chain(rest)
            .chain(self.places.iter().map(|p| p.2));
        let sound = |x: f64| (0.0..=1e9).contains(&x);
        let paces = self
            .paces
            .iter()
            .all(|p| sound(p.1) && (-30.0..=30.0).contains(&p.2));
        paces
            && all.into_iter().all(sound)
            && self.hold_time > 0.0
            && self.kept.iter().all(|k| *k <= 1.0)
    }
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Served,
    Error,
    Full,
    TimedOut,
    ConnectFailed,
    Reset,
    Cancelled,
    /// Never sent.
    Moot,
    /// The replica finds the request itself at fault: any other would say the same.
    Rejected,
}

/// What happens to a router.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The whole list; what it lacks is gone.
    ListFull(Vec<Listing>),
    /// Changed entries only.
    ListChanged(Vec<Listing>),
    /// Asking failed or the subscription broke.
    ListFailed,
    Arrived(Arrival),
    /// The first token came; the request has no deadline from here on.
    Started {
        request: RequestId,
        attempt: usize,
        elapsed: Seconds,
    },
    /// Exactly one for each attempt. `last` where the request is finished.
    Ended {
        request: RequestId,
        attempt: usize,
        outcome: Outcome,
        last: bool,
        report: Option<Report>,
    },
    /// The client left; nothing more is owed.
    ClientGone(RequestId),
    Probed {
        replica: ReplicaId,
        outcome: Outcome,
        report: Option<Report>,
    },
    /// Another router of the fleet tries ejected replicas for all; it is still at it, or found this one well.
    Advised {
        replica: ReplicaId,
        well: bool,
    },
    /// The timer of [`Action::Wake`].
    Woke,
}

/// What a router is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt; attempts of a request count from zero.
    Send {
        request: RequestId,
        replica: ReplicaId,
        timeout: Seconds,
    },
    /// Final: turned away, a retry does no harm.
    Refuse {
        request: RequestId,
        retry_after: Seconds,
    },
    /// Final: failed, with no promise.
    Fail {
        request: RequestId,
    },
    /// Stop waiting for one attempt.
    Cancel {
        request: RequestId,
        attempt: usize,
    },
    Probe {
        replica: ReplicaId,
    },
    /// Ask for the list and its changes from now on.
    Subscribe,
    /// Send [`Event::Woke`] after so long.
    Wake {
        after: Seconds,
    },
}

/// Settings that cannot be worked with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub String);

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "settings: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Checks what the types leave open: at least one class, finite figures, limits above zero.
    pub fn check(&self) -> Result<(), SettingsError> {
        let bad = |text: String| Err(SettingsError(text));
        if self.routers == 0 || self.me >= self.routers {
            return bad(format!("router {} of {}", self.me, self.routers));
        }
        if self.classes.is_empty() {
            return bad("no classes".into());
        }
        let class_figures = self.classes.iter().flat_map(|c| {
            let memory = if let Effect::Keyed { memory, .. } = c.effect {
                memory
            } else {
                0.0
            };
            [
                c.worth,
                c.late_worth,
                c.aim,
                c.aim_per_prompt_token,
                c.aim_stretch,
                memory,
            ]
        });
        let tenant_figures = self.tenants.iter().flat_map(|t| [t.share, t.allowance]);
        let (r, p) = (&self.rules, &self.prices);
        let figures = [
            r.drain_grace,
            r.cold_from,
            r.cold,
            r.overload_factor,
            r.fall,
            r.ask_every,
        ];
        let others = [
            p.cross_zone,
            p.probe,
            p.waste,
            self.over_share_worth,
            self.limits.max_retry_after,
        ];
        let mut all = class_figures
            .chain(tenant_figures)
            .chain(figures)
            .chain(others);
        if let Some(x) = all.find(|x| !x.is_finite() || *x < 0.0) {
            return bad(format!("{x} where a finite figure of 0 or more is needed"));
        }
        if !self.tenants.is_empty() && self.tenants.iter().map(|t| t.share).sum::<f64>() <= 0.0 {
            return bad("tenant shares sum to 0".into());
        }
        if self.limits.max_attempts == 0 {
            return bad("max_attempts is 0".into());
        }
        if self.discovery == Discovery::Asked && r.ask_every <= 0.0 {
            return bad("ask_every is 0 where the list must be asked for".into());
        }
        Ok(())
    }
}
