//! Monitors all streams of a node: the silence limit of each replica, the continuation budgets, and the counters shown in
//! the log. `poppykeel_stream_recovery` decides how to react to a silence or a break.
//!
//! [`attempts`](super::attempts) registers streams here and reports their events;
//! [`stream_recovery`](super::stream_recovery) takes continuations from the budgets; the dispatcher logs the summary;
//! `program::serve` applies the settings.

use crate::routing::{DurationMicros, MonotonicMicros};
use crate::transport::clock::Clock;
use poppykeel_scheduler::ReplicaId;
use poppykeel_stream_recovery::{
    ContinuationBudget, ContinuationLimits, GapHistogram, StallCause, StallDetector, StallLimits,
    StreamLimits, StreamState,
};
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Maximum number of replicas whose gaps between events are recorded.
const MAX_REPLICAS: usize = 4096;
/// Maximum number of replicas logged one by one, those with the longest gaps first.
const MAX_LOGGED_REPLICAS: usize = 32;
/// The quantile of gaps by which replicas are sorted in the log.
const LOG_ORDER_QUANTILE: f64 = 0.98;

const MICROS_PER_MILLI: u64 = 1000;

/// The operators' settings of streams.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StreamSettings {
    /// Limits of a stream's silence.
    pub stall_limits: StallLimits,
    /// How streams are continued. If `None`, responses are forwarded unchanged from one replica.
    pub continuation: Option<ContinuationSettings>,
}

/// How streams are continued on another replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ContinuationSettings {
    /// The continuation budget of all streams together.
    pub limits: ContinuationLimits,
    /// Maximum share of one replica's streams that is continued on other replicas.
    pub max_replica_share: f64,
    /// The first token of a continuation must arrive within this time.
    pub max_wait: Duration,
}

/// Counts of streams by their outcome since the start, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StreamCounters {
    /// Streams completed by their replica. A stream and its continuation count as two.
    pub finished: u64,
    /// Streams that were abandoned because of a silence.
    pub stalled: u64,
    /// Streams interrupted by their replica.
    pub broken: u64,
    /// Streams that were continued on another replica.
    pub continued: u64,
    /// Streams that were completed after a continuation.
    pub recovered: u64,
    /// Streams of which only the closing events were missing; the node wrote these.
    pub closed_by_node: u64,
    /// Streams that ended with an error event.
    pub failed: u64,
    /// Bytes discarded because they came from a replica that no longer writes the stream.
    pub discarded_bytes: u64,
}

/// Statistics of one replica's streams.
#[derive(Default)]
struct ReplicaStreams {
    gaps: GapHistogram,
    budget: ContinuationBudget,
    begun_count: u64,
    finished_count: u64,
    stalled_count: u64,
    broken_count: u64,
}

/// The stall detector of a stream, shared by the stream's task and the log.
type SharedStallDetector = Rc<RefCell<StallDetector>>;

/// A stream that has not ended.
struct ActiveStream {
    replica: ReplicaId,
    detector: SharedStallDetector,
}

/// Number of one replica's active streams in each state, for the log.
#[derive(Clone, Copy, Default)]
struct ActiveStreamStates {
    flowing: usize,
    slow: usize,
    stalled: usize,
    client_slow: usize,
}

impl ActiveStreamStates {
    fn add(&mut self, state: StreamState) {
        match state {
            StreamState::Flowing | StreamState::Broken | StreamState::Completed => {
                self.flowing += 1;
            }
            StreamState::Slow => self.slow += 1,
            StreamState::Stalled => self.stalled += 1,
            StreamState::ClientSlow => self.client_slow += 1,
        }
    }
}

/// For how long a stream has had no event and no byte, for the log. The time for which its client accepts no data is not
/// counted.
#[derive(Clone, Copy, Debug)]
pub struct StreamWaits {
    /// Milliseconds since an event was last complete.
    pub since_event_ms: u64,
    /// Milliseconds since bytes last arrived, whether or not they completed an event.
    pub since_bytes_ms: u64,
    /// Whether no event has come for as long as the stream may be silent.
    pub is_event_late: bool,
}

/// A monitored stream, from its first event on. Dropping it removes it from the active streams.
pub struct MonitoredStream {
    monitor: Rc<StreamMonitor>,
    number: u64,
    replica: ReplicaId,
    detector: SharedStallDetector,
}

impl MonitoredStream {
    /// Records that bytes have arrived which complete no event.
    pub fn record_bytes(&self) {
        let now = self.monitor.now();
        self.detector.borrow_mut().record_bytes(now);
    }

    /// For how long no event and no byte has come.
    pub fn waits(&self) -> StreamWaits {
        let now = self.monitor.now();
        let detector = self.detector.borrow();
        StreamWaits {
            since_event_ms: detector.time_since_event(now) / MICROS_PER_MILLI,
            since_bytes_ms: detector.time_since_bytes(now) / MICROS_PER_MILLI,
            is_event_late: detector.is_event_late(now),
        }
    }

    /// Records that an event is complete.
    pub fn record_event(&self) {
        let gap = self.detector.borrow_mut().record_event(self.monitor.now());
        if let Some(gap) = gap {
            self.monitor
                .with_replica(self.replica, |streams| streams.gaps.record(gap));
        }
    }

    /// Records for how long no byte has arrived from the replica, whether or not the bytes before completed an event.
    pub fn record_silence(&self, silence: Duration) {
        let silence_us = u64::try_from(silence.as_micros()).unwrap_or(u64::MAX);
        let at = self.monitor.now().saturating_sub(silence_us);
        self.detector.borrow_mut().record_bytes(at);
    }

    /// Why the stream counts as stalled now; `None` if it does not. Input that has arrived must have been read.
    pub fn stall_cause(&self) -> Option<StallCause> {
        self.detector.borrow().stall_cause(self.monitor.now())
    }

    /// Time until the stream counts as stalled if neither bytes nor an event arrive; `None` while its client is blocked.
    pub fn time_to_stall(&self) -> Option<DurationMicros> {
        let deadline = self.detector.borrow().stall_deadline();
        deadline.map(|deadline| deadline.saturating_sub(self.monitor.now()))
    }

    /// Records that the client accepts no bytes. From now on silence is not counted against the replica.
    pub fn client_blocked(&self) {
        let now = self.monitor.now();
        self.detector.borrow_mut().client_blocked(now);
    }

    /// Records that the client has accepted the pending bytes.
    pub fn client_resumed(&self) {
        let now = self.monitor.now();
        self.detector.borrow_mut().client_resumed(now);
    }

    /// Records that the stream is abandoned. Only a silence counts as a gap: the limit on the time without an event is not
    /// learned.
    pub fn abandon(&self, cause: StallCause) {
        self.monitor.with_replica(self.replica, |streams| {
            if let StallCause::Silence { limit } = cause {
                streams.gaps.record_abandoned(limit);
            }
            streams.stalled_count += 1;
        });
        self.monitor
            .update_counters(|counters| counters.stalled += 1);
    }

    /// Records that the replica has ended the stream, complete or not.
    pub fn end(&self, is_complete: bool) {
        self.detector.borrow_mut().record_end(is_complete);
        self.monitor.with_replica(self.replica, |streams| {
            if is_complete {
                streams.finished_count += 1;
            } else {
                streams.broken_count += 1;
            }
        });
        self.monitor.update_counters(|counters| {
            if is_complete {
                counters.finished += 1;
            } else {
                counters.broken += 1;
            }
        });
    }
}

impl Drop for MonitoredStream {
    fn drop(&mut self) {
        self.monitor.active.borrow_mut().remove(&self.number);
    }
}

/// Monitors the streams of one node.
pub struct StreamMonitor {
    clock: Clock,
    settings: Cell<StreamSettings>,
    replicas: RefCell<BTreeMap<ReplicaId, ReplicaStreams>>,
    budget: RefCell<ContinuationBudget>,
    counters: Cell<StreamCounters>,
    /// Active streams by number; at most one per attempt.
    active: RefCell<BTreeMap<u64, ActiveStream>>,
    next_number: Cell<u64>,
}

impl StreamMonitor {
    /// Creates a monitor without streams.
    pub fn new(clock: Clock, settings: StreamSettings) -> Self {
        StreamMonitor {
            clock,
            settings: Cell::new(settings),
            replicas: RefCell::default(),
            budget: RefCell::default(),
            counters: Cell::default(),
            active: RefCell::default(),
            next_number: Cell::default(),
        }
    }

    /// Replaces the settings for streams that begin from now on.
    pub fn set_settings(&self, settings: StreamSettings) {
        self.settings.set(settings);
    }

    /// The settings in force.
    pub fn settings(&self) -> StreamSettings {
        self.settings.get()
    }

    /// The counters since the start.
    pub fn counters(&self) -> StreamCounters {
        self.counters.get()
    }

    /// Changes the counters.
    pub fn update_counters(&self, update: impl FnOnce(&mut StreamCounters)) {
        let mut counters = self.counters.get();
        update(&mut counters);
        self.counters.set(counters);
    }

    /// The current time of the monitor's clock.
    pub fn now(&self) -> MonotonicMicros {
        self.clock.now()
    }

    /// Reads or changes the statistics of a replica. At the limit, the statistics of the replica with the lowest id are
    /// removed for a new one.
    fn with_replica<T>(
        &self,
        replica: ReplicaId,
        action: impl FnOnce(&mut ReplicaStreams) -> T,
    ) -> T {
        let mut replicas = self.replicas.borrow_mut();
        if replicas.len() >= MAX_REPLICAS && !replicas.contains_key(&replica) {
            replicas.pop_first();
        }
        action(replicas.entry(replica).or_default())
    }

    /// Begins to monitor a stream of a replica. `inter_token_objective` is its class's objective for the time between two
    /// tokens; `None` if it has none.
    pub fn begin_stream(
        self: &Rc<Self>,
        replica: ReplicaId,
        inter_token_objective: Option<DurationMicros>,
    ) -> MonitoredStream {
        let now = self.now();
        let settings = self.settings();
        if let Some(continuation) = &settings.continuation {
            self.budget
                .borrow_mut()
                .record_stream(now, &continuation.limits);
            self.with_replica(replica, |streams| {
                streams.budget.record_stream(now, &continuation.limits);
            });
        }
        let detector = self.with_replica(replica, |streams| {
            streams.begun_count += 1;
            let stall_limits = &settings.stall_limits;
            let limits = StreamLimits {
                silence: streams
                    .gaps
                    .silence_limit(inter_token_objective, stall_limits),
                event_gap: stall_limits.max_event_gap(),
            };
            StallDetector::new(now, limits, streams.gaps.long_gap())
        });
        let detector = Rc::new(RefCell::new(detector));
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let active = ActiveStream {
            replica,
            detector: detector.clone(),
        };
        self.active.borrow_mut().insert(number, active);
        MonitoredStream {
            monitor: self.clone(),
            number,
            replica,
            detector,
        }
    }

    /// Takes one continuation from the replica's budget and from that of all streams. Returns false if either is exhausted.
    pub fn try_take_continuation(
        &self,
        replica: ReplicaId,
        settings: &ContinuationSettings,
    ) -> bool {
        let now = self.now();
        let replica_limits = ContinuationLimits {
            share: settings.max_replica_share,
            ..settings.limits
        };
        self.with_replica(replica, |streams| {
            streams.budget.try_take(now, &replica_limits)
        }) && self.budget.borrow_mut().try_take(now, &settings.limits)
    }

    /// Logs the counters, then for each replica the states of its streams and the quantiles of their gaps. `name` returns a
    /// replica's name on the endpoint list.
    pub fn log_summary(&self, name: impl Fn(ReplicaId) -> Option<String>) {
        let states = self.active_states();
        self.log_counters();
        let replicas = self.replicas.borrow();
        let mut logged: Vec<_> = replicas
            .iter()
            .filter(|(_, streams)| streams.begun_count > 0)
            .collect();
        logged.sort_by_key(|(_, streams)| Reverse(streams.gaps.quantile(LOG_ORDER_QUANTILE)));
        for (replica, streams) in logged.into_iter().take(MAX_LOGGED_REPLICAS) {
            let name = name(*replica).unwrap_or_else(|| replica.0.to_string());
            let states = states.get(replica).copied().unwrap_or_default();
            self.log_replica(&name, streams, states);
        }
    }

    /// Counts each replica's active streams by state.
    fn active_states(&self) -> BTreeMap<ReplicaId, ActiveStreamStates> {
        let now = self.now();
        let mut states: BTreeMap<ReplicaId, ActiveStreamStates> = BTreeMap::new();
        for stream in self.active.borrow().values() {
            let state = stream.detector.borrow().state(now);
            states.entry(stream.replica).or_default().add(state);
        }
        states
    }

    fn log_counters(&self) {
        let counters = self.counters();
        tracing::info!(
            live = self.active.borrow().len(),
            whole = counters.finished,
            stalled = counters.stalled,
            broken = counters.broken,
            continued = counters.continued,
            saved = counters.recovered,
            completed = counters.closed_by_node,
            failed = counters.failed,
            dropped = counters.discarded_bytes,
            "streams"
        );
    }

    fn log_replica(&self, name: &str, streams: &ReplicaStreams, states: ActiveStreamStates) {
        let gap_ms = |quantile| {
            let gap = streams.gaps.quantile(quantile);
            gap.map_or(0, |gap| gap / MICROS_PER_MILLI)
        };
        let stall_limits = self.settings().stall_limits;
        let silence_limit = streams.gaps.silence_limit(None, &stall_limits);
        tracing::info!(
            replica = name,
            flowing = states.flowing,
            slow = states.slow,
            stalled_now = states.stalled,
            outrun = states.client_slow,
            begun = streams.begun_count,
            whole = streams.finished_count,
            stalled = streams.stalled_count,
            broken = streams.broken_count,
            gap_p50_ms = gap_ms(0.5),
            gap_p90_ms = gap_ms(0.9),
            gap_p98_ms = gap_ms(0.98),
            gap_most_ms = gap_ms(1.0),
            limit_ms = silence_limit / MICROS_PER_MILLI,
            "streams of a replica"
        );
    }
}
