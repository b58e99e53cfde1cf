//! The decision module on a bench of its own: hand-made events in, actions out.

use poppykeel_scheduler::interface::*;
use poppykeel_scheduler::Brain;

pub fn class(worth: f64, effect: Effect) -> Class {
    Class {
        worth,
        late_worth: 0.0,
        aim: 1.0,
        aim_per_prompt_token: 40e-6,
        token_aim: 0.06,
        aim_stretch: 0.0,
        effect,
        streaming: true,
    }
}

pub fn settings() -> Settings {
    Settings {
        me: 0,
        routers: 1,
        zone: 0,
        classes: vec![
            class(5.0, Effect::Safe),
            class(1.0, Effect::Safe),
            class(1.0, Effect::Unsafe),
        ],
        tenants: vec![
            Tenant {
                share: 0.5,
                allowance: 1e9,
            },
            Tenant {
                share: 0.5,
                allowance: 1e9,
            },
        ],
        over_share_worth: 0.1,
        limits: Limits {
            probes: true,
            cancel: true,
            second_copies: false,
            max_attempts: 4,
            max_retry_after: 2.0,
        },
        prices: Prices::default(),
        reports: ReportSource::Inline,
        rules: Rules {
            drain_grace: 0.5,
            cold_from: 0.1,
            cold: 20.0,
            overload_factor: 3.0,
            fall: 2.0,
            ask_every: 10.0,
        },
        discovery: Discovery::Pushed,
    }
}

pub fn replica(n: usize) -> ReplicaId {
    ReplicaId(format!("10.0.0.{}:80", n + 1).parse().unwrap())
}

pub fn listing(n: usize, state: ReplicaState, born: Option<Seconds>) -> Listing {
    Listing {
        id: replica(n),
        zone: n % 2,
        cell: n % 2,
        kind: 0,
        state,
        size: None,
        born,
    }
}

pub fn request(n: u64, class: usize, tenant: usize, time_left: Seconds) -> Arrival {
    Arrival {
        id: RequestId(n),
        class,
        tenant,
        session: Some(n),
        prefix: None,
        time_left,
        expected_work: None,
        prompt_tokens: 800,
        prefix_tokens: 0,
        answer_limit: 200,
        repeat: false,
    }
}

/// A router with `replicas` warm replicas, its time and its last actions.
pub struct Rig {
    pub brain: Brain,
    pub now: Seconds,
    pub last: Vec<Action>,
    /// What the pool can have grown to: by one, or by a twenty-fifth, with each first token and each end.
    pub pool: f64,
}

impl Rig {
    pub fn new(settings: Settings, replicas: usize) -> Rig {
        let mut rig = Rig {
            brain: Brain::new(settings, 1).unwrap(),
            now: 100.0,
            last: vec![],
            pool: 8.0 * replicas as f64,
        };
        rig.tell(Event::ListFull(
            (0..replicas)
                .map(|n| listing(n, ReplicaState::Up, None))
                .collect(),
        ));
        rig
    }
    pub fn tell(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.brain.handle(self.now, event, &mut out);
        self.last = out.clone();
        out
    }
    pub fn wait(&mut self, seconds: Seconds) -> Vec<Action> {
        let end = self.now + seconds;
        let mut all = Vec::new();
        while self.now < end {
            self.now += 0.02;
            all.extend(self.tell(Event::Woke));
        }
        all
    }
    pub fn end(&mut self, n: u64, attempt: usize, outcome: Outcome, last: bool) -> Vec<Action> {
        self.tell(Event::Ended {
            request: RequestId(n),
            attempt,
            outcome,
            last,
            report: None,
        })
    }
    pub fn start(&mut self, n: u64, elapsed: Seconds) {
        self.tell(Event::Started {
            request: RequestId(n),
            attempt: 0,
            elapsed,
        });
    }
    /// Fills every window with requests numbered from 1000.
    pub fn fill(&mut self) -> u64 {
        let mut n = 1000;
        while sends(&self.tell(Event::Arrived(request(n, 0, 0, 30.0)))).len() == 1 {
            n += 1;
        }
        n - 1000
    }
}

pub fn sends(actions: &[Action]) -> Vec<(u64, ReplicaId)> {
    let send = |a: &Action| match a {
        Action::Send {
            request, replica, ..
        } => Some((request.0, *replica)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

pub fn answers(actions: &[Action]) -> Vec<u64> {
    let answer = |a: &Action| match a {
        Action::Refuse { request, .. } | Action::Fail { request } => Some(request.0),
        _ => None,
    };
    actions.iter().filter_map(answer).collect()
}
