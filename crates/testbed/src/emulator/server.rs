//! A model server by continuous batching (Yu et al., "Orca", OSDI 2022; chunked reading of prompts as in Agrawal et
//! al., "Sarathi-Serve", OSDI 2024): it works in steps, each of which reads a chunk of prompts and makes one token of
//! every answer under way. Fed jobs and time; it never reads a clock, so emulator and sockets drive the same model.

#![expect(
    clippy::min_ident_chars,
    clippy::needless_pass_by_value,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

use super::prefixes::PrefixCache;
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// What a server is like.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct ServerProfile {
    /// Answers under way at once.
    pub slots: usize,
    /// Requests that wait at most; beyond it the server says "full".
    pub queue: usize,
    /// Memory for prompts and answers, in tokens.
    pub memory_tokens: u64,
    /// Prompt tokens read in one step at most.
    pub chunk: u32,
    /// A step's length without any work in it, in microseconds.
    pub step_us: u64,
    /// Added for each prompt token read.
    pub prompt_token_us: f64,
    /// Added for each answer under way.
    pub answer_us: f64,
    /// A server that has just started has this part of its speed ...
    pub cold_from: f64,
    /// ... and all of it after so many seconds.
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

/// One attempt's name: its request and its number.
pub type AttemptKey = (u64, usize);

/// What a server is to do for an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerJob {
    /// Its name.
    pub key: AttemptKey,
    /// The session, whose earlier turns this prompt begins with.
    pub session: u64,
    /// The beginning that it shares with other sessions, and its tokens.
    pub prefix: (u64, u32),
    /// Prompt tokens.
    pub prompt: u32,
    /// Tokens of the answer.
    pub answer: u32,
}

/// What comes of a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerOutput {
    /// Its first token.
    First(AttemptKey),
    /// Its last, with the prompt tokens that were found kept.
    Done(AttemptKey, u32),
}

#[derive(Clone, Debug)]
struct Seq {
    job: ServerJob,
    unread: u32,
    made: u32,
    kept: u32,
}

impl Seq {
    fn tokens(&self) -> u64 {
        u64::from(self.job.prompt - self.unread + self.made)
    }
}

/// Equal steps one after another: nothing joins or ends before the last of them.
#[derive(Clone, Copy, Debug)]
struct Steps {
    from: Micros,
    length: Micros,
    count: u64,
}

/// Load as a server shows it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReportedLoad {
    /// Prompt tokens that wait to be read.
    pub waiting: f64,
    /// The part of memory that running requests hold.
    pub memory: f64,
}

/// A server.
#[derive(Clone, Debug)]
pub struct ModelServer {
    kind: ServerProfile,
    waiting: VecDeque<Seq>,
    running: Vec<Seq>,
    prefixes: PrefixCache,
    steps: Option<Steps>,
    /// Warm before its time: it has run for long.
    started: Option<Micros>,
    slow: f64,
    stalled_until: Micros,
    /// Gaps between tokens since they were last taken: their length and how many.
    gaps: Vec<(Micros, u64)>,
    /// Requests that had to start over because memory was short.
    pub preempted: u64,
}

impl ModelServer {
    /// A warm server.
    pub fn new(kind: ServerProfile) -> Self {
        ModelServer {
            kind,
            waiting: VecDeque::new(),
            running: Vec::new(),
            prefixes: PrefixCache::default(),
            steps: None,
            started: None,
            slow: 1.0,
            stalled_until: 0,
            gaps: Vec::new(),
            preempted: 0,
        }
    }

    /// Requests under way and waiting.
    pub fn load(&self) -> (usize, usize) {
        (self.running.len(), self.waiting.len())
    }

    /// When `wake` must be called next.
    pub fn due(&self) -> Option<Micros> {
        self.steps.map(|s| s.from + s.length * s.count)
    }

    /// Takes a job; false where it is full.
    pub fn take(&mut self, now: Micros, job: ServerJob) -> bool {
        if self.waiting.len() >= self.kind.queue {
            return false;
        }
        self.cut(now);
        let job = ServerJob {
            prompt: job.prompt.max(1),
            answer: job.answer.max(1),
            ..job
        };
        self.waiting.push_back(Seq {
            unread: job.prompt,
            made: 0,
            kept: 0,
            job,
        });
        self.plan(now);
        true
    }

    /// Drops a job, whatever has become of it.
    pub fn cancel(&mut self, now: Micros, key: AttemptKey) {
        self.cut(now);
        self.waiting.retain(|s| s.job.key != key);
        if let Some(place) = self.running.iter().position(|s| s.job.key == key) {
            self.running.remove(place);
            if self.running.is_empty() {
                self.steps = None;
            }
        }
        self.plan(now);
    }

    /// The time of `due` has come.
    pub fn wake(&mut self, now: Micros, said: &mut Vec<ServerOutput>) {
        if let Some(steps) = self.steps.filter(|s| s.from + s.length * s.count <= now) {
            self.steps = None;
            self.advance(steps.count, steps.length, said);
            self.plan(now);
        }
    }

    /// When the step under way ends: whoever shows tokens as they are made looks in then.
    pub fn step_end(&self) -> Option<Micros> {
        self.steps.map(|s| s.from + s.length)
    }

    /// What has been made by now, also in the middle of a row of steps.
    pub fn catch_up(&mut self, now: Micros, said: &mut Vec<ServerOutput>) {
        self.cut(now);
        self.wake(now, said);
    }

    /// Tokens that answers under way have made.
    pub fn making(&self) -> impl Iterator<Item = (AttemptKey, u32)> + '_ {
        self.running
            .iter()
            .filter(|s| s.made > 0)
            .map(|s| (s.job.key, s.made))
    }

    /// Everything under way and kept is lost; returned are the names of what was under way or waiting.
    pub fn crash(&mut self) -> Vec<AttemptKey> {
        let lost = self
            .running
            .drain(..)
            .chain(self.waiting.drain(..))
            .map(|s| s.job.key)
            .collect();
        (self.steps, self.prefixes, self.slow, self.stalled_until) =
            (None, PrefixCache::default(), 1.0, 0);
        lost
    }

    /// It has started, cold.
    pub fn start(&mut self, now: Micros) {
        self.started = Some(now);
    }

    /// Steps take so many times as long from the next one on.
    pub fn slow(&mut self, now: Micros, factor: f64) {
        self.cut(now);
        self.slow = factor.max(0.01);
    }

    /// Nothing happens in it until then.
    pub fn stall(&mut self, now: Micros, until: Micros) {
        self.cut(now);
        let from = self.stalled_until.max(now);
        if let Some(steps) = &mut self.steps {
            steps.from += until.saturating_sub(from);
        }
        self.stalled_until = self.stalled_until.max(until);
    }

    /// Whether it stands still.
    pub fn stalled(&self, now: Micros) -> bool {
        now < self.stalled_until
    }

    /// Names of answers that have begun.
    pub fn streaming(&self) -> impl Iterator<Item = AttemptKey> + '_ {
        self.running
            .iter()
            .filter(|s| s.made > 0)
            .map(|s| s.job.key)
    }

    /// Its load now.
    pub fn shown(&self) -> ReportedLoad {
        let waiting = self
            .waiting
            .iter()
            .chain(&self.running)
            .map(|s| f64::from(s.unread))
            .sum();
        ReportedLoad {
            waiting,
            memory: self.held() as f64 / self.kind.memory_tokens.max(1) as f64,
        }
    }

    /// The gaps between tokens since the last call.
    pub fn gaps(&mut self) -> std::vec::Drain<'_, (Micros, u64)> {
        self.gaps.drain(..)
    }

    fn held(&self) -> u64 {
        self.running.iter().map(Seq::tokens).sum()
    }

    fn speed(&self, now: Micros) -> f64 {
        let cold = (self.kind.cold_s * 1e6).max(1.0);
        let warmth = self
            .started
            .map_or(1.0, |s| (now.saturating_sub(s) as f64 / cold).min(1.0));
        (self.kind.cold_from + (1.0 - self.kind.cold_from) * warmth).max(0.01) / self.slow
    }

    /// Ends a row of steps with the one under way, so that what happens now counts from the next one on.
    fn cut(&mut self, now: Micros) {
        let Some(steps) = self.steps.filter(|s| s.count > 1 && s.from <= now) else {
            return;
        };
        let done = ((now - steps.from) / steps.length.max(1)).min(steps.count - 1);
        // Rows of steps have answers in them only, and none ends before the last step.
        self.advance(done, steps.length, &mut Vec::new());
        self.steps = Some(Steps {
            from: steps.from + done * steps.length,
            count: 1,
            ..steps
        });
    }

    /// The work of so many steps: prompts are read in the order they came, and every answer gets its tokens.
    fn advance(&mut self, count: u64, length: Micros, said: &mut Vec<ServerOutput>) {
        if count == 0 {
            return;
        }
        let mut budget = self.kind.chunk;
        let mut making = 0;
        for seq in &mut self.running {
            if seq.unread > 0 {
                let read = seq.unread.min(budget);
                (seq.unread, budget) = (seq.unread - read, budget - read);
                if seq.unread == 0 {
                    // A request that was preempted has sent its first token before.
                    if seq.made == 0 {
                        said.push(ServerOutput::First(seq.job.key));
                    }
                    seq.made += 1;
                }
            } else {
                seq.made += count as u32;
                making += 1;
            }
        }
        if making > 0 {
            self.gaps.push((length, making * count));
        }
        let prefixes = &mut self.prefixes;
        self.running.retain(|seq| {
            let done = seq.unread == 0 && seq.made >= seq.job.answer.max(1);
            if done {
                said.push(ServerOutput::Done(seq.job.key, seq.kept));
                prefixes.keep(seq.job.session, seq.job.prompt + seq.job.answer);
                if seq.job.prefix.1 > 0 {
                    prefixes.keep(seq.job.prefix.0, seq.job.prefix.1);
                }
            }
            !done
        });
    }

    /// Lets waiting requests in and sets the next steps, where none is under way.
    fn plan(&mut self, now: Micros) {
        if self.steps.is_some() {
            return;
        }
        let memory = self.kind.memory_tokens;
        let mut held = self.held();
        // What is running grows by a token each a step; the newest makes room for the others.
        while held + self.running.len() as u64 > memory && self.running.len() > 1 {
            let Some(mut seq) = self.running.pop() else {
                break;
            };
            held -= seq.tokens();
            // All that was read is read again, and what was made with it.
            seq.unread = seq.job.prompt;
            self.preempted += 1;
            self.waiting.push_front(seq);
        }
        while self.running.len() < self.kind.slots {
            let Some(seq) = self.waiting.front() else {
                break;
            };
            let need = u64::from(seq.job.prompt + seq.made);
            if held + need + self.running.len() as u64 > memory && !self.running.is_empty() {
                break;
            }
            let Some(mut seq) = self.waiting.pop_front() else {
                break;
            };
            let kept = self.prefixes.used(seq.job.session);
            let kept = if kept > 0 {
                kept
            } else {
                self.prefixes.used(seq.job.prefix.0).min(seq.job.prefix.1)
            };
            // One token at least must be read to make the first of the answer.
            seq.kept = kept.min(seq.job.prompt.saturating_sub(1));
            seq.unread = seq.job.prompt - seq.kept;
            held += need;
            self.running.push(seq);
        }
        self.prefixes.shrink(memory.saturating_sub(held));
        if self.running.is_empty() {
            return;
        }
        let making = self.running.iter().filter(|s| s.unread == 0).count() as u64;
        let read = self
            .running
            .iter()
            .map(|s| s.unread)
            .sum::<u32>()
            .min(self.kind.chunk);
        let work = self.kind.step_us as f64
            + f64::from(read) * self.kind.prompt_token_us
            + making as f64 * self.kind.answer_us;
        let speed = self.speed(now);
        let length = (work / speed).max(1.0) as Micros;
        let mut count = 1;
        if read == 0 {
            let left = self
                .running
                .iter()
                .map(|s| u64::from(s.job.answer.max(s.made + 1) - s.made))
                .min();
            let room = memory.saturating_sub(held) / making.max(1);
            count = left.unwrap_or(1).min(room.max(1)).max(1);
            if self
                .started
                .is_some_and(|s| now.saturating_sub(s) < (self.kind.cold_s * 1e6) as u64)
            {
                // It grows faster meanwhile.
                count = count.min(16);
            }
        }
        self.steps = Some(Steps {
            from: now.max(self.stalled_until),
            length,
            count,
        });
    }
}

#[cfg(test)]
mod tests;
