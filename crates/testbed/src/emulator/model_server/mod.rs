//! A model server with continuous batching (Yu et al., "Orca", OSDI 2022; chunked prefill as in Agrawal et al.,
//! "Sarathi-Serve", OSDI 2024).
//!
//! It works in steps, each of which reads a chunk of prompts and makes one token of every answer that is being decoded.
//! Steps that are all alike are planned as one run of steps (`StepRun`), so that a long answer costs one event and not
//! one for each token. The caller feeds jobs and time: the server reads no clock, so the emulator and the stub servers
//! on sockets drive the same model.
//!
//! - This file has the server's state and what its callers may do.
//! - `batching` plans steps and does their work.

mod batching;

use super::prefix_cache::PrefixCache;
use crate::Micros;
use poppykeel_scheduler::RequestId;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// The lowest speed of a server, and the lowest factor by which it is slowed down: keeps the duration of steps finite.
const MIN_SPEED: f64 = 0.01;

/// The capacity and speed of a server. The names of fields are keys of an experiment's file.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct ServerProfile {
    /// Requests that run at once at most.
    pub slots: usize,
    /// Requests that are queued at most; beyond it the server answers that it is at capacity.
    pub queue: usize,
    /// Memory for prompts and answers, in tokens.
    pub memory_tokens: u64,
    /// Prompt tokens read in one step at most.
    pub chunk: u32,
    /// The duration of a step without any work in it, in microseconds.
    pub step_us: u64,
    /// Added for each prompt token read, in microseconds.
    pub prompt_token_us: f64,
    /// Added for each answer that is being decoded, in microseconds.
    pub answer_us: f64,
    /// The fraction of its speed that a server has when it has just started.
    pub cold_from: f64,
    /// The time until it has all of its speed, in seconds.
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
    /// The request.
    pub request: RequestId,
    /// The number of the attempt, from 0.
    pub attempt: usize,
}

/// The beginning of a prompt that several sessions share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SharedPrefix {
    /// Its id; 0 where there is none.
    pub id: u64,
    /// Its tokens; 0 where there is none.
    pub tokens: u32,
}

/// What a server is to do for an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerJob {
    /// The attempt.
    pub key: AttemptKey,
    /// The id of the session, whose earlier turns the prompt begins with.
    pub session: u64,
    /// The beginning of the prompt that other sessions share.
    pub prefix: SharedPrefix,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer.
    pub answer_tokens: u32,
}

/// What a server tells of a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerOutput {
    /// It has made the first token.
    FirstToken(AttemptKey),
    /// It has made the last token.
    Completed {
        /// The attempt.
        key: AttemptKey,
        /// The prompt tokens that it had cached.
        cached_tokens: u32,
    },
}

/// The load that a server reports.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReportedLoad {
    /// Prompt tokens that have not been read yet.
    pub queued_prompt_tokens: f64,
    /// The fraction of memory that running requests hold.
    pub memory_utilization: f64,
}

/// How many requests a server has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// Those in a slot.
    pub running: usize,
    /// Those that wait for a slot.
    pub queued: usize,
}

impl RequestCounts {
    /// Both together.
    pub fn total(self) -> usize {
        self.running + self.queued
    }
}

/// How far an answer has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GeneratedTokens {
    /// The attempt.
    pub key: AttemptKey,
    /// Tokens made so far.
    pub tokens: u32,
}

/// Equal gaps between tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenGaps {
    /// The length of each.
    pub duration: Micros,
    /// How many there were.
    pub count: u64,
}

/// A job with how far it has come.
#[derive(Clone, Debug)]
struct Sequence {
    job: ServerJob,
    unread_prompt_tokens: u32,
    generated_tokens: u32,
    cached_tokens: u32,
}

impl Sequence {
    fn new(job: ServerJob) -> Self {
        Sequence {
            unread_prompt_tokens: job.prompt_tokens,
            generated_tokens: 0,
            cached_tokens: 0,
            job,
        }
    }

    /// The memory that it holds, in tokens.
    fn held_tokens(&self) -> u64 {
        u64::from(self.job.prompt_tokens - self.unread_prompt_tokens + self.generated_tokens)
    }

    /// Whether its prompt has been read, so that each step makes a token.
    fn is_decoding(&self) -> bool {
        self.unread_prompt_tokens == 0
    }

    fn is_complete(&self) -> bool {
        self.is_decoding() && self.generated_tokens >= self.job.answer_tokens.max(1)
    }
}

/// Equal steps one after another: no request joins or ends before the last of them.
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

/// A server.
#[derive(Clone, Debug)]
pub struct ModelServer {
    profile: ServerProfile,
    queued: VecDeque<Sequence>,
    running: Vec<Sequence>,
    prefix_cache: PrefixCache,
    /// The steps in progress; `None` while nothing runs.
    steps: Option<StepRun>,
    /// When it started; `None` for one that is warm from the beginning.
    started_at: Option<Micros>,
    /// Multiplies the duration of steps; 1 but during a fault.
    slowdown: f64,
    stalled_until: Micros,
    /// Gaps between tokens since they were last taken.
    token_gaps: Vec<TokenGaps>,
    preemption_count: u64,
}

impl ModelServer {
    /// A server that is warm and has no requests.
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

    /// Requests running and queued.
    pub fn request_counts(&self) -> RequestCounts {
        RequestCounts {
            running: self.running.len(),
            queued: self.queued.len(),
        }
    }

    /// Requests that had to start over because memory was short.
    pub fn preemption_count(&self) -> u64 {
        self.preemption_count
    }

    /// When [`Self::on_timer`] must be called next; `None` while nothing runs.
    pub fn next_timer(&self) -> Option<Micros> {
        self.steps.map(|steps| steps.end())
    }

    /// When the step in progress ends: whoever shows tokens as they are made calls [`Self::catch_up`] then.
    pub fn step_end(&self) -> Option<Micros> {
        self.steps
            .map(|steps| steps.started_at + steps.step_duration)
    }

    /// Takes a job into its queue. Returns false where the queue is full.
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

    /// Drops a job, queued or running; one that has ended is ignored.
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

    /// Does the work of the steps that have ended by now, and plans the next ones.
    pub fn on_timer(&mut self, now: Micros, outputs: &mut Vec<ServerOutput>) {
        if let Some(steps) = self.steps.filter(|steps| steps.end() <= now) {
            self.steps = None;
            self.do_steps(steps.step_count, steps.step_duration, outputs);
            self.plan_steps(now);
        }
    }

    /// Does the work of all steps that have ended by now, also in the middle of a run of steps.
    pub fn catch_up(&mut self, now: Micros, outputs: &mut Vec<ServerOutput>) {
        self.end_run_with_current_step(now);
        self.on_timer(now, outputs);
    }

    /// Answers that have begun, with the tokens made so far.
    pub fn answers_in_progress(&self) -> impl Iterator<Item = GeneratedTokens> + '_ {
        self.running
            .iter()
            .filter(|sequence| sequence.generated_tokens > 0)
            .map(|sequence| GeneratedTokens {
                key: sequence.job.key,
                tokens: sequence.generated_tokens,
            })
    }

    /// Loses all requests and all that was cached. Returns the attempts that were running or queued, in that order.
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

    /// Starts again after [`Self::crash`]; its speed grows from now on.
    pub fn start(&mut self, now: Micros) {
        self.started_at = Some(now);
    }

    /// Steps take so many times as long from the next one on.
    pub fn set_slowdown(&mut self, now: Micros, factor: f64) {
        self.end_run_with_current_step(now);
        self.slowdown = factor.max(MIN_SPEED);
    }

    /// Stops working until then.
    pub fn stall(&mut self, now: Micros, until: Micros) {
        self.end_run_with_current_step(now);
        let stalls_from = self.stalled_until.max(now);
        if let Some(steps) = &mut self.steps {
            steps.started_at += until.saturating_sub(stalls_from);
        }
        self.stalled_until = self.stalled_until.max(until);
    }

    /// Whether it has stopped working.
    pub fn is_stalled(&self, now: Micros) -> bool {
        now < self.stalled_until
    }

    /// Its load now.
    pub fn reported_load(&self) -> ReportedLoad {
        let queued_prompt_tokens = self
            .queued
            .iter()
            .chain(&self.running)
            .map(|sequence| f64::from(sequence.unread_prompt_tokens))
            .sum();
        let memory_tokens = self.profile.memory_tokens.max(1);
        ReportedLoad {
            queued_prompt_tokens,
            memory_utilization: self.held_tokens() as f64 / memory_tokens as f64,
        }
    }

    /// Takes the gaps between tokens since the last call.
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
