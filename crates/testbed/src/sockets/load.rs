//! Clients on sockets, by the same description as in the emulator: an open loop, whose times count from when a request
//! was to be sent, so that a late client is held against the node and not left out.

#![expect(
    clippy::min_ident_chars,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

use super::fleet::Fleet;
use crate::emulator::description::{FaultKind, RepeatSafety, RunDescription};
use crate::emulator::{
    ClientPopulation, ClientRequest, OutcomeRecorder, RequestEnd, RunOutcome, ServerOccupancy,
};
use crate::Micros;
use futures_util::{SinkExt, StreamExt};
use poppykeel::protocol::http::{Http, Out, Part, Side, Start};
use poppykeel_stub_model_server::text;
use rand::{RngExt, SeedableRng};
use serde_json::{json, Value};
use std::cell::RefCell;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio_util::codec::Framed;

/// Tries at once; a request beyond that fails and counts.
const MOST_TRIES: usize = 20_000;
/// Idle connections kept to each node.
const MOST_IDLE: usize = 512;
/// What is under way at the load's end may take so long.
const AFTER: Duration = Duration::from_secs(30);
/// Without advice a client comes again after this.
const PAUSE: Duration = Duration::from_millis(500);
/// An answer that has begun is given up after this silence.
const SILENCE: Duration = Duration::from_secs(10);

type Wire = Framed<TcpStream, Http>;

struct Shared {
    run: RunDescription,
    began: Instant,
    fleet: Rc<Fleet>,
    clients: RefCell<ClientPopulation>,
    measure: RefCell<OutcomeRecorder>,
    rng: RefCell<rand_pcg::Pcg64Mcg>,
    idle: RefCell<Vec<Vec<Wire>>>,
    open: RefCell<usize>,
    next: RefCell<u64>,
}

/// How one try ended for its client.
enum Answer {
    Whole { first: Micros },
    Broken { first: Micros },
    Refused { after: Duration },
    Failed,
    Left,
}

/// Plays a run on sockets with the node's program; `folder` takes configurations and logs.
pub async fn play(
    run: &RunDescription,
    program: &Path,
    folder: &Path,
    seed: u64,
) -> Result<RunOutcome, String> {
    let fleet = Fleet::start(run, program, folder).await?;
    let shared = Rc::new(Shared {
        run: run.clone(),
        began: Instant::now(),
        fleet: fleet.clone(),
        clients: RefCell::new(ClientPopulation::new(run)),
        measure: RefCell::new(OutcomeRecorder::new(run)),
        rng: RefCell::new(rand_pcg::Pcg64Mcg::seed_from_u64(seed)),
        idle: RefCell::new((0..run.fleet.nodes).map(|_| Vec::new()).collect()),
        open: RefCell::new(0),
        next: RefCell::new(seed << 32 | 1),
    });
    for fault in run.fault.clone() {
        let shared = shared.clone();
        spawn_local(async move {
            tokio::time::sleep_until(shared.began + Duration::from_secs_f64(fault.at_s)).await;
            if fault.what == FaultKind::Burst {
                shared
                    .clients
                    .borrow_mut()
                    .set_burst_factor(fault.tenant, fault.size);
                tokio::time::sleep(Duration::from_secs_f64(fault.for_s)).await;
                shared
                    .clients
                    .borrow_mut()
                    .set_burst_factor(fault.tenant, 1.0);
            } else {
                shared.fleet.clone().fault(fault).await;
            }
        });
    }
    let samples = spawn_local(shared.clone().samples());
    let tenants: Vec<_> = (0..run.tenant.len())
        .map(|t| spawn_local(shared.clone().tenant(t)))
        .collect();
    for tenant in tenants {
        let _ = tenant.await;
    }
    let until = Instant::now() + AFTER;
    while *shared.open.borrow() > 0 && Instant::now() < until {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    samples.abort();
    fleet.stop().await;
    let open = *shared.open.borrow() as u64;
    let mut measure = shared.measure.replace(OutcomeRecorder::new(run));
    measure.outcome_mut().broken.lost = open;
    Ok(measure.finish(0))
}

impl Shared {
    fn now(&self) -> Micros {
        self.began.elapsed().as_micros() as Micros
    }

    async fn samples(self: Rc<Self>) {
        let (piece, slots) = (
            self.measure.borrow().slice_duration(),
            self.run.fleet.server.slots,
        );
        loop {
            let now = self.now();
            let loads = self.fleet.models.iter().map(|model| ServerOccupancy {
                held_requests: model.request_counts().total(),
                slots,
            });
            self.measure
                .borrow_mut()
                .record_occupancy(now, loads, self.fleet.models.len());
            tokio::time::sleep_until(self.began + Duration::from_micros((now / piece + 1) * piece))
                .await;
        }
    }

    /// A tenant's arrivals, each at its own time whatever became of those before it.
    async fn tenant(self: Rc<Self>, tenant: usize) {
        let mut at: Micros = 0;
        let end = (self.run.load.seconds * 1e6) as Micros;
        loop {
            let pause = self
                .clients
                .borrow()
                .draw_interarrival_time(tenant, &mut *self.rng.borrow_mut());
            let Some(pause) = pause else { return };
            at += pause;
            if at >= end {
                return;
            }
            tokio::time::sleep_until(self.began + Duration::from_micros(at)).await;
            let work = self.clients.borrow_mut().draw_request(
                at,
                tenant,
                &self.run,
                &mut *self.rng.borrow_mut(),
            );
            spawn_local(self.clone().request(work));
        }
    }

    /// A request with all its tries.
    async fn request(self: Rc<Self>, mut work: ClientRequest) {
        let class = self.run.class[work.class].clone();
        if *self.open.borrow() >= MOST_TRIES {
            return self.over(&work, RequestEnd::Failed, None);
        }
        *self.open.borrow_mut() += 1;
        // The first try's time is when it was to be sent.
        let mut sent = work.first_sent_at;
        loop {
            work.try_count += 1;
            self.measure.borrow_mut().outcome_mut().tries += 1;
            let answer = self.one(&work, sent).await;
            let again = work.try_count <= self.run.load.retries;
            let pause = match answer {
                Answer::Whole { first } => break self.over(&work, RequestEnd::Good, Some(first)),
                Answer::Broken { first } => {
                    break self.over(&work, RequestEnd::Broken, Some(first))
                }
                Answer::Left => break self.over(&work, RequestEnd::Left, None),
                Answer::Refused { after }
                    if again && after.as_secs_f64() <= self.run.load.heeds_s =>
                {
                    after
                }
                Answer::Refused { .. } => break self.over(&work, RequestEnd::Refused, None),
                Answer::Failed if again && class.repeats == RepeatSafety::Safe => PAUSE,
                Answer::Failed => break self.over(&work, RequestEnd::Failed, None),
            };
            let spread = self.rng.borrow_mut().random_range(0.0..0.1);
            tokio::time::sleep(pause.mul_f64(1.0 + spread)).await;
            sent = self.now();
        }
        *self.open.borrow_mut() -= 1;
    }

    fn over(&self, work: &ClientRequest, end: RequestEnd, first: Option<Micros>) {
        let class = &self.run.class[work.class];
        let whole = self
            .measure
            .borrow_mut()
            .record_end(class, work, self.now(), first, end);
        self.clients
            .borrow_mut()
            .finish_request(work, whole, self.run.load.sessions);
    }

    async fn connect(&self) -> Option<(usize, Wire)> {
        let up = self.fleet.up();
        if up.is_empty() {
            return None;
        }
        let node = up[self.rng.borrow_mut().random_range(0..up.len())];
        if let Some(wire) = self.idle.borrow_mut()[node].pop() {
            return Some((node, wire));
        }
        let stream = TcpStream::connect(self.fleet.addrs()[node]).await.ok()?;
        let _ = stream.set_nodelay(true);
        Some((node, Framed::new(stream, Http::new(Side::Client))))
    }

    async fn one(&self, work: &ClientRequest, sent: Micros) -> Answer {
        let class = &self.run.class[work.class];
        let id = {
            let mut next = self.next.borrow_mut();
            *next += 1;
            *next
        };
        let prompt = format!("lab {id}");
        let body = json!({
            "model": "lab", "stream": true, "max_tokens": class.answer_limit,
            "messages": [{"role": "user", "content": prompt}],
            "metadata": {"answer": work.answer_tokens.to_string(), "prompt": work.prompt_tokens.to_string(),
                "session": work.session.to_string(), "prefix": work.prefix.id.to_string(),
                "prefix_tokens": work.prefix.tokens.to_string()},
        })
        .to_string();
        let late = self.now().saturating_sub(sent) as f64 / 1e6;
        let left = (class.deadline_s - late).max(0.0);
        let extra = match (work.prefix.id, work.prefix.tokens) {
            (0, _) | (_, 0) => String::new(),
            (name, tokens) => format!("prefix={name:016x},prefix_len={tokens},"),
        };
        let head = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: lab\r\nReq-Id: {id:016x}\r\nReq-Kind: {}\r\nReq-Owner: {}\r\n\
             Req-Key: {:016x}\r\nReq-Deadline: {left:.3}\r\nReq-Extra: {extra}prompt_len={},max_out={}\r\n{}\
             Content-Length: {}\r\n\r\n{body}",
            class.name,
            self.run.tenant[work.tenant].name,
            work.session,
            work.prompt_tokens,
            class.answer_limit,
            if work.try_count > 1 { "Req-Retry: 1\r\n" } else { "" },
            body.len()
        );
        let until = Instant::now() + Duration::from_secs_f64(left);
        let begins = async {
            let (node, mut wire) = self.connect().await?;
            wire.send(Out::Raw(head.into())).await.ok()?;
            loop {
                if let Part::Head(head) = wire.next().await?.ok()? {
                    return Some((node, wire, head));
                }
            }
        };
        let Ok(begun) = tokio::time::timeout_at(until, begins).await else {
            return Answer::Left;
        };
        let Some((node, mut wire, head)) = begun else {
            return Answer::Failed;
        };
        let mut first = None;
        let mut body = Vec::new();
        let whole = loop {
            let next = tokio::time::timeout(SILENCE, wire.next()).await;
            match next {
                Ok(Some(Ok(Part::Body(bytes)))) => {
                    first.get_or_insert_with(|| self.now());
                    body.extend_from_slice(&bytes);
                }
                Ok(Some(Ok(Part::End))) => break true,
                Ok(Some(Ok(Part::Head(_)))) => {}
                _ => break false,
            }
        };
        if whole && head.keep && self.idle.borrow()[node].len() < MOST_IDLE {
            self.idle.borrow_mut()[node].push(wire);
        }
        match head.start {
            Start::Status(200) => {}
            Start::Status(429 | 503) => {
                let after = head
                    .headers
                    .get("Retry-After")
                    .and_then(|t| t.trim().parse::<f64>().ok());
                let after = after
                    .filter(|a| a.is_finite() && *a >= 0.0)
                    .map(Duration::from_secs_f64);
                return Answer::Refused {
                    after: after.unwrap_or(PAUSE),
                };
            }
            _ => return Answer::Failed,
        }
        let Some(first) = first else {
            return Answer::Failed;
        };
        if !whole {
            return Answer::Broken { first };
        }
        let kept = self.read(&body, &prompt, work.answer_tokens);
        let mut measure = self.measure.borrow_mut();
        let out = measure.outcome_mut();
        match kept {
            Some(kept) => {
                out.prompt.total += u64::from(work.prompt_tokens);
                out.prompt.cached += kept;
            }
            // Not what the server of this prompt writes.
            None => out.broken.doubled += 1,
        }
        Answer::Whole { first }
    }

    /// The kept tokens that an answer tells, if its text is the right one.
    fn read(&self, body: &[u8], prompt: &str, tokens: u32) -> Option<u64> {
        let all = String::from_utf8_lossy(body);
        let (mut written, mut kept) = (String::new(), None);
        for data in all
            .split("\n\n")
            .filter_map(|e| e.strip_prefix("data: "))
            .filter(|d| *d != "[DONE]")
        {
            let event: Value = serde_json::from_str(data).ok()?;
            written.push_str(
                event["choices"][0]["delta"]["content"]
                    .as_str()
                    .unwrap_or_default(),
            );
            kept = event["usage"]["prompt_tokens_details"]["cached_tokens"]
                .as_u64()
                .or(kept);
        }
        kept.filter(|_| written == text(prompt, tokens as usize))
    }
}
