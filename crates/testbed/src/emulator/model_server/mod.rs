//! Model of a model server with continuous batching (Yu et al., "Orca", OSDI 2022) and chunked prefill (Agrawal et al.,
//! "Sarathi-Serve", OSDI 2024).
//!
//! The server works in steps. Each step prefills one chunk of prompts and generates one token of every answer that is
//! decoding. Consecutive identical steps are planned as one `StepRun`, so that a long answer costs one event instead of
//! one for each token. The server reads no clock: callers pass in jobs and times, so the emulator and the stub servers
//! on sockets use the same model.
//!
//! This file holds the state and the public interface; `batching` plans and executes steps.

mod batching;

use super::prefix_cache::PrefixCache;
use crate::Micros;
use poppykeel_scheduler::RequestId;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// The minimum speed of a server and the minimum slowdown factor, so that step durations stay finite.
const MIN_SPEED: f64 = 0.01;

/// The capacity and speed of a server. Field names are keys of an experiment's file.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct ServerProfile {
    /// Maximum number of requests that run at once.
    pub slots: usize,
    /// Maximum number of queued requests; above it the server rejects requests as at capacity.
    pub queue: usize,
    /// Memory for prompts and answers, in tokens.
    pub memory_tokens: u64,
    /// Maximum number of prompt tokens that are prefilled in one step.
    pub chunk: u32,
    /// The fixed part of the duration of a step, in microseconds.
    pub step_us: u64,
    /// Step time for each prefilled prompt token, in microseconds.
    pub prompt_token_us: f64,
    /// Step time for each decoding answer, in microseconds.
    pub answer_us: f64,
    /// The speed of a server that has just started, as a fraction of full speed.
    pub cold_from: f64,
    /// How long a server takes to reach full speed after a start, in seconds.
    pub cold_s: f64,
}

impl Default for ServerProfile {
    fn default() -> Self {
        ServerProfile {
            slots: 16,
            queue: 32,
            memory_tokens: 60_000,
            chunk: 512,
            step_us: 10_000,
            prompt_token_us: 60.0,
            answer_us: 300.0,
            cold_from: 0.2,
            cold_s: 10.0,
        }
    }
}

impl ServerProfile {
    fn warm_up_micros(&self) -> f64 {
        self.cold_s * 1e6
    }
}

/// One attempt of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptKey {
    /// The request's id; several attempts may have the same.
    pub request: RequestId,
    /// The index of the attempt among those of the request.
    pub attempt: usize,
}

/// A prompt prefix that several sessions share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SharedPrefix {
    /// Its id; 0 if there is none.
    pub id: u64,
    /// Its tokens; 0 if there is none.
    pub tokens: u32,
}

/// The work of an attempt on a server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerJob {
    /// Identifies the job in the outputs of the server.
    pub key: AttemptKey,
    /// The id of the session. The prompt begins with its earlier turns.
    pub session: u64,
    /// The prompt prefix shared with other sessions.
    pub prefix: SharedPrefix,
    /// Prompt length in tokens, cached or not; the server raises 0 to 1.
    pub prompt_tokens: u32,
    /// Answer length in tokens; the server raises 0 to 1.
    pub answer_tokens: u32,
}

/// Progress of a job on a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerOutput {
    /// The first token has been generated.
    FirstToken(AttemptKey),
    /// The last token has been generated.
    Completed {
        /// The key of the completed job.
        key: AttemptKey,
        /// Prompt tokens that were in the prefix cache.
        cached_tokens: u32,
    },
}

/// The load that a server reports.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReportedLoad {
    /// Prompt tokens that have not been prefilled yet.
    pub queued_prompt_tokens: f64,
    /// The fraction of memory that running requests hold.
    pub memory_utilization: f64,
}

/// The number of requests on a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// Requests in a slot.
    pub running: usize,
    /// Requests that wait for a slot.
    pub queued: usize,
}

impl RequestCounts {
    /// Running and queued requests.
    pub fn total(self) -> usize {
        self.running + self.queued
    }
}

/// The progress of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GeneratedTokens {
    /// The key of the job that the answer belongs to.
    pub key: AttemptKey,
    /// Tokens generated so far.
    pub tokens: u32,
}

/// Gaps of equal length between tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenGaps {
    /// The length of each.
    pub duration: Micros,
    /// The number of gaps.
    pub count: u64,
}

/// A job and its progress.
#[derive(Clone, Debug)]
struct Sequence {
    job: ServerJob,
    pending_prefill_tokens: u32,
    generated_tokens: u32,
    cached_tokens: u32,
}

impl Sequence {
    fn new(job: ServerJob) -> Self {
        Sequence {
            pending_prefill_tokens: job.prompt_tokens,
            generated_tokens: 0,
            cached_tokens: 0,
            job,
        }
    }

    /// The memory in use, in tokens.
    fn held_tokens(&self) -> u64 {
        u64::from(self.job.prompt_tokens - self.pending_prefill_tokens + self.generated_tokens)
    }

    /// Whether its prompt has been prefilled, so that each step generates a token.
    fn is_decoding(&self) -> bool {
        self.pending_prefill_tokens == 0
    }

    fn is_complete(&self) -> bool {
        self.is_decoding() && self.generated_tokens >= self.job.answer_tokens.max(1)
    }
}

/// Consecutive steps of equal duration: no request joins or ends before the last of them.
#[derive(Clone, Copy, Debug)]
struct StepRun {
    started_at: Micros,
    step_duration: Micros,
    step_count: u64,
}

impl StepRun {
    fn end(&self) -> Micros {
        self.started_at + self.step_duration * self.step_count
    }
}

/// A server that runs queued jobs in batches, with a prefix cache; its callers pass it the time.
#[derive(Clone, Debug)]
pub struct ModelServer {
    profile: ServerProfile,
    queued: VecDeque<Sequence>,
    running: Vec<Sequence>,
    prefix_cache: PrefixCache,
    /// The steps in progress; `None` while nothing runs.
    steps: Option<StepRun>,
    /// When it was last started; `None` if it has been warm from the beginning.
    started_at: Option<Micros>,
    /// Multiplies the duration of steps; 1 except during a fault.
    slowdown: f64,
    stalled_until: Micros,
    /// Gaps between tokens since the last [`Self::take_token_gaps`].
    token_gaps: Vec<TokenGaps>,
    preemption_count: u64,
}

impl ModelServer {
    /// Creates a warm server without requests.
    pub fn new(profile: ServerProfile) -> Self {
        ModelServer {
            profile,
            queued: VecDeque::new(),
            running: Vec::new(),
            prefix_cache: PrefixCache::default(),
            steps: None,
            started_at: None,
            slowdown: 1.0,
            stalled_until: 0,
            token_gaps: Vec::new(),
            preemption_count: 0,
        }
    }

    /// The number of running and queued requests.
    pub fn request_counts(&self) -> RequestCounts {
        RequestCounts {
            running: self.running.len(),
            queued: self.queued.len(),
        }
    }

    /// How often a request was preempted because memory ran short.
    pub fn preemption_count(&self) -> u64 {
        self.preemption_count
    }

    /// When [`Self::on_timer`] must be called next; `None` while nothing runs.
    pub fn next_timer(&self) -> Option<Micros> {
        self.steps.map(|steps| steps.end())
    }

    /// When the step in progress ends; `None` while nothing runs. Callers that stream tokens one by one must call
    /// [`Self::catch_up`] then.
    pub fn step_end(&self) -> Option<Micros> {
        self.steps
            .map(|steps| steps.started_at + steps.step_duration)
    }

    /// Adds a job to the queue. Returns false if the queue is full.
    pub fn enqueue(&mut self, now: Micros, mut job: ServerJob) -> bool {
        if self.queued.len() >= self.profile.queue {
            return false;
        }
        self.end_run_with_current_step(now);
        job.prompt_tokens = job.prompt_tokens.max(1);
        job.answer_tokens = job.answer_tokens.max(1);
        self.queued.push_back(Sequence::new(job));
        self.plan_steps(now);
        true
    }

    /// Removes a queued or running job. A job that has ended is ignored.
    pub fn cancel(&mut self, now: Micros, key: AttemptKey) {
        self.end_run_with_current_step(now);
        self.queued.retain(|sequence| sequence.job.key != key);
        let index = self
            .running
            .iter()
            .position(|sequence| sequence.job.key == key);
        if let Some(index) = index {
            self.running.remove(index);
            if self.running.is_empty() {
                self.steps = None;
            }
        }
        self.plan_steps(now);
    }

    /// Executes the planned steps if they have ended by now, and plans the next ones.
    pub fn on_timer(&mut self, now: Micros, outputs: &mut Vec<ServerOutput>) {
        if let Some(steps) = self.steps.filter(|steps| steps.end() <= now) {
            self.steps = None;
            self.execute_steps(steps.step_count, steps.step_duration, outputs);
            self.plan_steps(now);
        }
    }

    /// Executes all steps that have ended by now, also in the middle of a planned run of steps.
    pub fn catch_up(&mut self, now: Micros, outputs: &mut Vec<ServerOutput>) {
        self.end_run_with_current_step(now);
        self.on_timer(now, outputs);
    }

    /// Answers that have their first token, with the tokens generated so far.
    pub fn answers_in_progress(&self) -> impl Iterator<Item = GeneratedTokens> + '_ {
        self.running
            .iter()
            .filter(|sequence| sequence.generated_tokens > 0)
            .map(|sequence| GeneratedTokens {
                key: sequence.job.key,
                tokens: sequence.generated_tokens,
            })
    }

    /// Drops all requests and clears the cache. Returns the attempts that were running or queued, in that order.
    pub fn crash(&mut self) -> Vec<AttemptKey> {
        let lost = self
            .running
            .drain(..)
            .chain(self.queued.drain(..))
            .map(|sequence| sequence.job.key)
            .collect();
        self.steps = None;
        self.prefix_cache = PrefixCache::default();
        self.slowdown = 1.0;
        self.stalled_until = 0;
        lost
    }

    /// Restarts after [`Self::crash`]; the warm-up begins now.
    pub fn start(&mut self, now: Micros) {
        self.started_at = Some(now);
    }

    /// Multiplies the duration of steps by `factor`, from the next step on.
    pub fn set_slowdown(&mut self, now: Micros, factor: f64) {
        self.end_run_with_current_step(now);
        self.slowdown = factor.max(MIN_SPEED);
    }

    /// Stops all work until the given time.
    pub fn stall(&mut self, now: Micros, until: Micros) {
        self.end_run_with_current_step(now);
        let stalls_from = self.stalled_until.max(now);
        if let Some(steps) = &mut self.steps {
            steps.started_at += until.saturating_sub(stalls_from);
        }
        self.stalled_until = self.stalled_until.max(until);
    }

    /// Whether work is stopped by [`Self::stall`].
    pub fn is_stalled(&self, now: Micros) -> bool {
        now < self.stalled_until
    }

    /// The load that the server would report now.
    pub fn reported_load(&self) -> ReportedLoad {
        let queued_prompt_tokens = self
            .queued
            .iter()
            .chain(&self.running)
            .map(|sequence| f64::from(sequence.pending_prefill_tokens))
            .sum();
        let memory_tokens = self.profile.memory_tokens.max(1);
        ReportedLoad {
            queued_prompt_tokens,
            memory_utilization: self.held_tokens() as f64 / memory_tokens as f64,
        }
    }

    /// Drains the gaps between tokens since the last call.
    pub fn take_token_gaps(&mut self) -> std::vec::Drain<'_, TokenGaps> {
        self.token_gaps.drain(..)
    }

    /// The memory that running requests hold, in tokens.
    fn held_tokens(&self) -> u64 {
        self.running.iter().map(Sequence::held_tokens).sum()
    }
}

#[cfg(test)]
mod tests;
