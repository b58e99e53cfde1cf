//! The invariants of membership, driven by generated sequences against a model:
//!
//! 1. What a source has drained or taken away by word takes no work until that source lists it again or a new start
//!    is told, whatever any source lists meanwhile.
//! 2. A failed look-up changes nothing about who takes work.
//! 3. No answer takes away more than the set part, but for servers that as many answers over as long a time as is
//!    set have lacked.
//! 4. One address has at most one server that takes work.
//! 5. The changes that are told, applied one after the other, are the list.
//! 6. Looking at everything anew finds nothing that was not told.

#![expect(
    clippy::min_ident_chars,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

use poppykeel_endpoints::*;
use proptest::prelude::*;
use proptest_state_machine::{prop_state_machine, ReferenceStateMachine, StateMachineTest};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

const SECOND: MonotonicMicros = 1_000_000;
const SERVERS: u16 = 12;
const PART: f64 = 0.5;
const HOLD: MonotonicMicros = 30 * SECOND;
const CONFIRMATIONS: usize = 2;

#[derive(Clone, Debug)]
enum Step {
    /// The list changes one entry.
    Word(u16, ListedState),
    /// The list tells a new start of one.
    Start(u16),
    /// The whole list.
    List(BTreeSet<u16>),
    /// What DNS lists; the second part under other names.
    Srv(BTreeSet<u16>, BTreeSet<u16>),
    Failed(usize),
    Pass(u64),
}

#[derive(Clone, Debug, Default)]
struct Model {
    /// What the list has drained or taken away by word and has not taken back.
    blocked: BTreeSet<u16>,
    starts: BTreeMap<u16, i64>,
}

impl ReferenceStateMachine for Model {
    type State = Model;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Model> {
        Just(Model::default()).boxed()
    }

    fn transitions(_: &Model) -> BoxedStrategy<Step> {
        let one = 0..SERVERS;
        let some = || prop::collection::btree_set(0..SERVERS, 0..=SERVERS as usize);
        prop_oneof![
            3 => (one.clone(), prop_oneof![Just(ListedState::Available), Just(ListedState::Draining), Just(ListedState::Removed)])
                .prop_map(|(n, state)| Step::Word(n, state)),
            1 => one.prop_map(Step::Start),
            2 => some().prop_map(Step::List),
            4 => (some(), some()).prop_map(|(a, b)| Step::Srv(a, b)),
            2 => (0..2_usize).prop_map(Step::Failed),
            2 => (1..100_u64).prop_map(Step::Pass),
        ]
        .boxed()
    }

    fn apply(mut state: Model, step: &Step) -> Model {
        match step {
            Step::Word(n, ListedState::Available) => drop(state.blocked.remove(n)),
            Step::Word(n, _) => drop(state.blocked.insert(*n)),
            Step::Start(n) => {
                state.blocked.remove(n);
                *state.starts.entry(*n).or_default() += 1;
            }
            Step::List(up) => state.blocked.retain(|n| !up.contains(n)),
            _ => {}
        }
        state
    }
}

struct Account {
    members: EndpointRegistry,
    now: MonotonicMicros,
    mirror: BTreeMap<String, RegisteredEndpoint>,
    /// What DNS has listed, and when.
    answers: Vec<(MonotonicMicros, BTreeSet<SocketAddr>)>,
}

fn addr(n: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 8000 + n))
}

fn id(n: u16, model: &Model) -> ListedEndpoint {
    let started_ms = model.starts.get(&n).copied().unwrap_or(0);
    ListedEndpoint {
        started_ms,
        ..ListedEndpoint::new(format!("s-{n}"), addr(n))
    }
}

fn usable<'a>(
    servers: impl IntoIterator<Item = &'a RegisteredEndpoint>,
) -> BTreeMap<String, SocketAddr> {
    let servers = servers
        .into_iter()
        .filter(|s| s.status <= EndpointStatus::Held);
    servers.map(|s| (s.name.clone(), s.listing.addr)).collect()
}

impl Account {
    /// Whether enough answers in a row have lacked an address for long enough.
    fn confirmed(&self, now: MonotonicMicros, addr: &SocketAddr) -> bool {
        let lacking: Vec<_> = self
            .answers
            .iter()
            .rev()
            .take_while(|a| !a.1.contains(addr))
            .collect();
        lacking.len() >= CONFIRMATIONS && lacking.last().is_some_and(|first| now - first.0 >= HOLD)
    }
}

impl StateMachineTest for Account {
    type SystemUnderTest = Account;
    type Reference = Model;

    fn init_test(_: &Model) -> Account {
        let guard = Some(SuddenLossGuard {
            hold_time: HOLD,
            confirmation_count: CONFIRMATIONS as u32,
            max_loss_fraction: PART,
        });
        let flaps = Some(FlapLimits {
            free_return_count: 2,
            window: 60 * SECOND,
            initial_hold: 10 * SECOND,
            max_hold: 60 * SECOND,
        });
        let list = SourceSettings {
            sudden_loss_guard: guard,
            ..SourceSettings::new("list", EndpointIdentity::ByName)
        };
        let srv = SourceSettings {
            sudden_loss_guard: guard,
            flap_limits: flaps,
            ..SourceSettings::new("srv", EndpointIdentity::ByAddress)
        };
        let settings = RegistrySettings {
            sources: vec![list, srv],
            ..RegistrySettings::default()
        };
        Account {
            members: EndpointRegistry::new(settings),
            now: 0,
            mirror: BTreeMap::new(),
            answers: Vec::new(),
        }
    }

    fn apply(mut account: Account, model: &Model, step: Step) -> Account {
        let before = usable(&account.members.endpoints());
        account.now += SECOND / 10;
        let now = account.now;
        let mut tell =
            |source: usize, told: SourceUpdate| account.members.apply_update(now, source, told);
        let changes = match &step {
            Step::Word(n, state) => tell(
                0,
                SourceUpdate::Changes(vec![ListedEndpoint {
                    state: *state,
                    ..id(*n, model)
                }]),
            ),
            Step::Start(n) => tell(0, SourceUpdate::Changes(vec![id(*n, model)])),
            Step::List(up) => tell(
                0,
                SourceUpdate::FullList(up.iter().map(|n| id(*n, model)).collect()),
            ),
            Step::Srv(one, other) => {
                let entry = |name: &str, n: &u16| {
                    ListedEndpoint::new(format!("{name}{n}.test:{}", 8000 + n), addr(*n))
                };
                let names = one
                    .iter()
                    .map(|n| entry("a", n))
                    .chain(other.iter().map(|n| entry("b", n)));
                tell(1, SourceUpdate::FullList(names.collect()))
            }
            Step::Failed(source) => tell(*source, SourceUpdate::Failed),
            Step::Pass(seconds) => {
                account.now += seconds * SECOND;
                account.members.on_timer(account.now)
            }
        };
        for server in changes {
            account.mirror.insert(server.name.clone(), server);
        }
        let settings = account.members.settings().clone();
        assert_eq!(
            account.members.update_settings(account.now, settings),
            [],
            "6"
        );
        let after = usable(&account.members.endpoints());
        if matches!(step, Step::Failed(_)) {
            assert_eq!(before, after, "2: a failure changed the list");
        }
        if let Step::Srv(one, other) = &step {
            account
                .answers
                .push((now, one.union(other).map(|n| addr(*n)).collect()));
            let lost = before.values().filter(|a| !after.values().any(|b| b == *a));
            let unconfirmed = lost.filter(|a| !account.confirmed(now, a)).count();
            let all = account.members.endpoints().len();
            assert!(
                unconfirmed as f64 <= PART * all.max(1) as f64 + 0.5,
                "3: {unconfirmed} of {all}"
            );
        }
        account
    }

    fn check_invariants(account: &Account, model: &Model) {
        let servers = account.members.endpoints();
        let takes = usable(&servers);
        for n in &model.blocked {
            assert!(
                !takes.values().any(|a| *a == addr(*n)),
                "1: {n} takes work: {servers:?}"
            );
        }
        let addrs: BTreeSet<&SocketAddr> = takes.values().collect();
        assert_eq!(addrs.len(), takes.len(), "4: an address twice in {takes:?}");
        assert_eq!(usable(account.mirror.values()), takes, "5");
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn the_invariants_hold(sequential 1..60 => Account);
}
