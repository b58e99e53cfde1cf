//! Checks the invariants of the registry with generated sequences against a model:
//!
//! 1. An endpoint that a source has drained or removed explicitly takes no requests until that source lists it again
//!    or reports a new start, regardless of other sources.
//! 2. A failed lookup does not change which endpoints take requests.
//! 3. No answer removes more than the configured fraction of endpoints, not counting confirmed losses: endpoints that at
//!    least the configured number of consecutive answers lack, for at least the hold time.
//! 4. One address has at most one endpoint that takes requests.
//! 5. The reported changes, applied in order, reproduce the list.
//! 6. Merging all addresses again finds no change that was not reported.

use poppykeel_endpoints::{
    EndpointIdentity, EndpointRegistry, EndpointStatus, FlapLimits, ListedEndpoint, ListedState,
    MonotonicMicros, RegisteredEndpoint, RegistrySettings, SourceSettings, SourceUpdate,
    SuddenLossGuard,
};
use proptest::prelude::{prop, prop_oneof, BoxedStrategy, Just, ProptestConfig, Strategy};
use proptest_state_machine::{prop_state_machine, ReferenceStateMachine, StateMachineTest};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

const SECOND: MonotonicMicros = 1_000_000;
const ENDPOINT_COUNT: u16 = 12;
const MAX_LOSS_FRACTION: f64 = 0.5;
const HOLD_TIME: MonotonicMicros = 30 * SECOND;
const CONFIRMATION_COUNT: usize = 2;
const LIST: usize = 0;
const SRV: usize = 1;

/// One generated event. Endpoints are identified by number.
#[derive(Clone, Debug)]
enum Step {
    /// The list source reports the state of one endpoint.
    StateChange(u16, ListedState),
    /// The list source reports that one endpoint has restarted.
    NewStart(u16),
    /// The list source reports its full list.
    FullList(BTreeSet<u16>),
    /// DNS answers; each endpoint may be listed under either or both of two names.
    DnsAnswer {
        first_names: BTreeSet<u16>,
        second_names: BTreeSet<u16>,
    },
    /// The source with this index fails.
    Failure(usize),
    /// This number of seconds passes.
    Wait(u64),
}

#[derive(Clone, Debug, Default)]
struct Model {
    /// The endpoints that the list source has explicitly reported as draining or removed and has not listed again.
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
        let number = 0..ENDPOINT_COUNT;
        let numbers =
            || prop::collection::btree_set(0..ENDPOINT_COUNT, 0..=ENDPOINT_COUNT as usize);
        let state = prop_oneof![
            Just(ListedState::Available),
            Just(ListedState::Draining),
            Just(ListedState::Removed)
        ];
        prop_oneof![
            3 => (number.clone(), state).prop_map(|(number, state)| Step::StateChange(number, state)),
            1 => number.prop_map(Step::NewStart),
            2 => numbers().prop_map(Step::FullList),
            4 => (numbers(), numbers()).prop_map(|(first_names, second_names)| Step::DnsAnswer {
                first_names,
                second_names,
            }),
            2 => (0..2_usize).prop_map(Step::Failure),
            2 => (1..100_u64).prop_map(Step::Wait),
        ]
        .boxed()
    }

    fn apply(mut model: Model, step: &Step) -> Model {
        match step {
            Step::StateChange(number, ListedState::Available) => {
                model.blocked.remove(number);
            }
            Step::StateChange(number, _) => {
                model.blocked.insert(*number);
            }
            Step::NewStart(number) => {
                model.blocked.remove(number);
                *model.starts.entry(*number).or_default() += 1;
            }
            Step::FullList(listed) => model.blocked.retain(|number| !listed.contains(number)),
            Step::DnsAnswer { .. } | Step::Failure(_) | Step::Wait(_) => {}
        }
        model
    }
}

/// An answer of DNS that was applied.
struct DnsAnswer {
    at: MonotonicMicros,
    addrs: BTreeSet<SocketAddr>,
}

struct RegistryUnderTest {
    registry: EndpointRegistry,
    now: MonotonicMicros,
    /// The list as reproduced from the reported changes.
    mirror: BTreeMap<String, RegisteredEndpoint>,
    answers: Vec<DnsAnswer>,
}

fn endpoint_addr(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 8000 + number))
}

fn endpoint_with_id(number: u16, model: &Model) -> ListedEndpoint {
    let started_ms = model.starts.get(&number).copied().unwrap_or(0);
    ListedEndpoint {
        started_ms,
        ..ListedEndpoint::new(format!("s-{number}"), endpoint_addr(number))
    }
}

fn dns_target(name: &str, number: u16) -> ListedEndpoint {
    let port = 8000 + number;
    ListedEndpoint::new(format!("{name}{number}.test:{port}"), endpoint_addr(number))
}

fn usable<'a>(
    endpoints: impl IntoIterator<Item = &'a RegisteredEndpoint>,
) -> BTreeMap<String, SocketAddr> {
    endpoints
        .into_iter()
        .filter(|endpoint| endpoint.status <= EndpointStatus::Held)
        .map(|endpoint| (endpoint.name.clone(), endpoint.listing.addr))
        .collect()
}

fn settings() -> RegistrySettings {
    let sudden_loss_guard = Some(SuddenLossGuard {
        hold_time: HOLD_TIME,
        confirmation_count: CONFIRMATION_COUNT as u32,
        max_loss_fraction: MAX_LOSS_FRACTION,
    });
    let flap_limits = Some(FlapLimits {
        free_return_count: 2,
        window: 60 * SECOND,
        initial_hold: 10 * SECOND,
        max_hold: 60 * SECOND,
    });
    let list = SourceSettings {
        sudden_loss_guard,
        ..SourceSettings::new("list", EndpointIdentity::ByName)
    };
    let srv = SourceSettings {
        sudden_loss_guard,
        flap_limits,
        ..SourceSettings::new("srv", EndpointIdentity::ByAddress)
    };
    RegistrySettings {
        sources: vec![list, srv],
        ..RegistrySettings::default()
    }
}

impl RegistryUnderTest {
    /// Whether the latest answers of DNS confirm the loss of an address: enough consecutive ones lack it, over the hold
    /// time.
    fn is_confirmed_loss(&self, now: MonotonicMicros, addr: &SocketAddr) -> bool {
        let lacking: Vec<&DnsAnswer> = self
            .answers
            .iter()
            .rev()
            .take_while(|answer| !answer.addrs.contains(addr))
            .collect();
        lacking.len() >= CONFIRMATION_COUNT
            && lacking
                .last()
                .is_some_and(|first| now - first.at >= HOLD_TIME)
    }

    fn apply_step(&mut self, model: &Model, step: &Step) -> Vec<RegisteredEndpoint> {
        let (source, update) = match step {
            Step::StateChange(number, state) => {
                let endpoint = ListedEndpoint {
                    state: *state,
                    ..endpoint_with_id(*number, model)
                };
                (LIST, SourceUpdate::Changes(vec![endpoint]))
            }
            Step::NewStart(number) => {
                let endpoint = endpoint_with_id(*number, model);
                (LIST, SourceUpdate::Changes(vec![endpoint]))
            }
            Step::FullList(numbers) => {
                let endpoints = numbers
                    .iter()
                    .map(|number| endpoint_with_id(*number, model));
                (LIST, SourceUpdate::FullList(endpoints.collect()))
            }
            Step::DnsAnswer {
                first_names,
                second_names,
            } => {
                let first = first_names.iter().map(|number| dns_target("a", *number));
                let second = second_names.iter().map(|number| dns_target("b", *number));
                (SRV, SourceUpdate::FullList(first.chain(second).collect()))
            }
            Step::Failure(source) => (*source, SourceUpdate::Failed),
            Step::Wait(seconds) => {
                self.now += seconds * SECOND;
                return self.registry.on_timer(self.now);
            }
        };
        self.registry.apply_update(self.now, source, update)
    }

    /// Checks invariant 3 after an answer of DNS.
    fn check_losses(
        &self,
        now: MonotonicMicros,
        before: &BTreeMap<String, SocketAddr>,
        after: &BTreeMap<String, SocketAddr>,
    ) {
        let unconfirmed_count = before
            .values()
            .filter(|addr| !after.values().any(|other| other == *addr))
            .filter(|addr| !self.is_confirmed_loss(now, addr))
            .count();
        let endpoint_count = self.registry.endpoints().len();
        assert!(
            unconfirmed_count as f64 <= MAX_LOSS_FRACTION * endpoint_count.max(1) as f64 + 0.5,
            "invariant 3: {unconfirmed_count} of {endpoint_count} endpoints removed"
        );
    }
}

impl StateMachineTest for RegistryUnderTest {
    type SystemUnderTest = RegistryUnderTest;
    type Reference = Model;

    fn init_test(_: &Model) -> RegistryUnderTest {
        RegistryUnderTest {
            registry: EndpointRegistry::new(settings()),
            now: 0,
            mirror: BTreeMap::new(),
            answers: Vec::new(),
        }
    }

    fn apply(mut test: RegistryUnderTest, model: &Model, step: Step) -> RegistryUnderTest {
        let before = usable(&test.registry.endpoints());
        test.now += SECOND / 10;
        let now = test.now;
        for endpoint in test.apply_step(model, &step) {
            test.mirror.insert(endpoint.name.clone(), endpoint);
        }
        let settings = test.registry.settings().clone();
        assert_eq!(
            test.registry.update_settings(test.now, settings),
            [],
            "invariant 6"
        );
        let after = usable(&test.registry.endpoints());
        if matches!(step, Step::Failure(_)) {
            assert_eq!(before, after, "invariant 2: a failure changed the list");
        }
        if let Step::DnsAnswer {
            first_names,
            second_names,
        } = &step
        {
            let numbers = first_names.union(second_names);
            test.answers.push(DnsAnswer {
                at: now,
                addrs: numbers.map(|number| endpoint_addr(*number)).collect(),
            });
            test.check_losses(now, &before, &after);
        }
        test
    }

    fn check_invariants(test: &RegistryUnderTest, model: &Model) {
        let endpoints = test.registry.endpoints();
        let usable_addrs = usable(&endpoints);
        for number in &model.blocked {
            assert!(
                !usable_addrs
                    .values()
                    .any(|addr| *addr == endpoint_addr(*number)),
                "invariant 1: {number} takes requests: {endpoints:?}"
            );
        }
        let addrs: BTreeSet<&SocketAddr> = usable_addrs.values().collect();
        assert_eq!(
            addrs.len(),
            usable_addrs.len(),
            "invariant 4: an address occurs twice in {usable_addrs:?}"
        );
        assert_eq!(usable(test.mirror.values()), usable_addrs, "invariant 5");
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn invariants_hold_for_generated_sequences(sequential 1..60 => RegistryUnderTest);
}
