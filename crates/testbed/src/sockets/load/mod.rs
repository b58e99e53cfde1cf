//! The load generator: clients on sockets, with the same description as in the emulator.
//!
//! The load is an open loop. Latencies are measured from the time at which a request was due, so that delays in sending
//! are not omitted from the result. [`LoadGenerator`] sends requests with their retries; [`exchange`] is one
//! submission.

mod exchange;

use super::error::SocketsError;
use super::local_fleet::LocalFleet;
use crate::emulator::description::{FaultDescription, FaultKind, RepeatSafety, RunDescription};
use crate::emulator::{
    ClientPopulation, ClientRequest, OutcomeRecorder, RequestEnd, RunOutcome, ServerOccupancy,
};
use crate::Micros;
use exchange::{ClientConnection, SubmissionOutcome};
use rand::{RngExt, SeedableRng};
use std::cell::{Cell, RefCell};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// The maximum number of requests in flight; further ones are recorded as failed.
const MAX_OPEN_REQUESTS: usize = 20_000;
/// How long the generator waits for requests in flight after the end of the load.
const MAX_TIME_AFTER_LOAD: Duration = Duration::from_secs(30);
/// The interval of polls for the end of requests in flight.
const END_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The pause before a retry after a failure, or after a rejection without `Retry-After`.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// The maximum jitter of retries, as a fraction of the pause.
const RETRY_SPREAD: f64 = 0.1;

/// Executes a run on sockets with the node's program. Configurations and logs are written to `folder`.
///
/// # Errors
///
/// [`SocketsError`] if the fleet cannot be started.
pub async fn run_load(
    run: &RunDescription,
    program: &Path,
    folder: &Path,
    seed: u64,
) -> Result<RunOutcome, SocketsError> {
    let fleet = LocalFleet::start(run, program, folder).await?;
    let generator = Rc::new(LoadGenerator::new(run, fleet.clone(), seed));
    for fault in run.fault.clone() {
        spawn_local(generator.clone().inject_fault(fault));
    }
    let sampler = spawn_local(generator.clone().sample_occupancy());
    let tenants: Vec<_> = (0..run.tenant.len())
        .map(|tenant| spawn_local(generator.clone().send_tenant_load(tenant)))
        .collect();
    for tenant in tenants {
        // Fails only if the task panicked, which has been printed already.
        let _ = tenant.await;
    }
    generator.wait_for_open_requests().await;
    sampler.abort();
    fleet.shut_down().await;
    let lost_count = generator.open_requests.get() as u64;
    let mut recorder = generator.recorder.replace(OutcomeRecorder::new(run));
    recorder.outcome_mut().broken.lost = lost_count;
    Ok(recorder.finish(0))
}

/// The state that all clients share. `RefCell` borrows must end before the next await.
struct LoadGenerator {
    run: RunDescription,
    started_at: Instant,
    fleet: Rc<LocalFleet>,
    clients: RefCell<ClientPopulation>,
    recorder: RefCell<OutcomeRecorder>,
    rng: RefCell<rand_pcg::Pcg64Mcg>,
    /// By node.
    idle_connections: RefCell<Vec<Vec<ClientConnection>>>,
    open_requests: Cell<usize>,
    last_id: Cell<u64>,
}

impl LoadGenerator {
    fn new(run: &RunDescription, fleet: Rc<LocalFleet>, seed: u64) -> Self {
        let idle_connections = (0..run.fleet.nodes).map(|_| Vec::new());
        LoadGenerator {
            run: run.clone(),
            started_at: Instant::now(),
            fleet,
            clients: RefCell::new(ClientPopulation::new(run)),
            recorder: RefCell::new(OutcomeRecorder::new(run)),
            rng: RefCell::new(rand_pcg::Pcg64Mcg::seed_from_u64(seed)),
            idle_connections: RefCell::new(idle_connections.collect()),
            open_requests: Cell::new(0),
            last_id: Cell::new(seed << 32 | 1),
        }
    }

    fn now(&self) -> Micros {
        self.started_at.elapsed().as_micros() as Micros
    }

    async fn inject_fault(self: Rc<Self>, fault: FaultDescription) {
        let begins_at = self.started_at + Duration::from_secs_f64(fault.at_s);
        tokio::time::sleep_until(begins_at).await;
        if fault.what != FaultKind::Burst {
            return self.fleet.clone().inject_fault(fault).await;
        }
        self.set_burst_factor(fault.tenant, fault.size);
        tokio::time::sleep(Duration::from_secs_f64(fault.for_s)).await;
        self.set_burst_factor(fault.tenant, 1.0);
    }

    fn set_burst_factor(&self, tenant: usize, factor: f64) {
        self.clients.borrow_mut().set_burst_factor(tenant, factor);
    }

    /// Samples the occupancy of the servers once in each time slice, until the task is aborted.
    async fn sample_occupancy(self: Rc<Self>) {
        let slice = self.recorder.borrow().slice_duration();
        let slots = self.run.fleet.server.slots;
        loop {
            let now = self.now();
            let servers = self.fleet.servers();
            let occupancy = servers.iter().map(|server| ServerOccupancy {
                held_requests: server.request_counts().total(),
                slots,
            });
            self.recorder
                .borrow_mut()
                .record_occupancy(now, occupancy, servers.len());
            let next_slice = Duration::from_micros((now / slice + 1) * slice);
            tokio::time::sleep_until(self.started_at + next_slice).await;
        }
    }

    /// Sends a tenant's requests, each at its scheduled time, independently of the outcome of earlier ones.
    async fn send_tenant_load(self: Rc<Self>, tenant: usize) {
        let mut at: Micros = 0;
        let end = (self.run.load.seconds * 1e6) as Micros;
        loop {
            let Some(time) = self.draw_interarrival_time(tenant) else {
                return;
            };
            at += time;
            if at >= end {
                return;
            }
            tokio::time::sleep_until(self.started_at + Duration::from_micros(at)).await;
            let request = self.clients.borrow_mut().draw_request(
                at,
                tenant,
                &self.run,
                &mut *self.rng.borrow_mut(),
            );
            spawn_local(self.clone().send_request(request));
        }
    }

    fn draw_interarrival_time(&self, tenant: usize) -> Option<Micros> {
        let rng = &mut *self.rng.borrow_mut();
        self.clients.borrow().draw_interarrival_time(tenant, rng)
    }

    /// Sends a request with all its retries.
    async fn send_request(self: Rc<Self>, mut request: ClientRequest) {
        if self.open_requests.get() >= MAX_OPEN_REQUESTS {
            return self.finish_request(&request, RequestEnd::Failed, None);
        }
        self.open_requests.set(self.open_requests.get() + 1);
        // The first submission is timed from when it was due.
        let mut sent_at = request.first_sent_at;
        loop {
            request.submission_count += 1;
            self.recorder.borrow_mut().outcome_mut().tries += 1;
            let outcome = self.submit(&request, sent_at).await;
            let Some(pause) = self.retry_pause(&request, &outcome) else {
                self.finish_request(&request, outcome.end(), outcome.first_token_at());
                break;
            };
            let spread = self.rng.borrow_mut().random_range(0.0..RETRY_SPREAD);
            tokio::time::sleep(pause.mul_f64(1.0 + spread)).await;
            sent_at = self.now();
        }
        self.open_requests.set(self.open_requests.get() - 1);
    }

    /// The pause before the client submits the request again; `None` if it does not retry.
    fn retry_pause(
        &self,
        request: &ClientRequest,
        outcome: &SubmissionOutcome,
    ) -> Option<Duration> {
        if request.submission_count > self.run.load.retries {
            return None;
        }
        let is_safe = self.run.class[request.class].repeats == RepeatSafety::Safe;
        match outcome {
            SubmissionOutcome::Rejected { retry_after } => {
                let pause = retry_after.unwrap_or(RETRY_PAUSE);
                (pause.as_secs_f64() <= self.run.load.heeds_s).then_some(pause)
            }
            SubmissionOutcome::Failed => is_safe.then_some(RETRY_PAUSE),
            SubmissionOutcome::Completed { .. }
            | SubmissionOutcome::Broken { .. }
            | SubmissionOutcome::DeadlineExceeded => None,
        }
    }

    fn finish_request(
        &self,
        request: &ClientRequest,
        end: RequestEnd,
        first_token_at: Option<Micros>,
    ) {
        let class = &self.run.class[request.class];
        let now = self.now();
        let is_complete =
            self.recorder
                .borrow_mut()
                .record_end(class, request, now, first_token_at, end);
        self.clients
            .borrow_mut()
            .finish_request(request, is_complete, self.run.load.sessions);
    }

    async fn wait_for_open_requests(&self) {
        let deadline = Instant::now() + MAX_TIME_AFTER_LOAD;
        while self.open_requests.get() > 0 && Instant::now() < deadline {
            tokio::time::sleep(END_POLL_INTERVAL).await;
        }
    }
}
