//! Continuous batching: admits and preempts requests, times the steps of the batch and executes them.

use super::{ModelServer, Sequence, ServerOutput, StepRun, TokenGaps, MIN_SPEED};
use crate::Micros;

/// Maximum number of steps planned at once during warm-up, because the step duration changes meanwhile.
const MAX_WARM_UP_STEPS: u64 = 16;

impl ModelServer {
    /// Shortens the planned run of steps to the one in progress, so that a change of the batch takes effect with the
    /// next step.
    pub(super) fn end_run_with_current_step(&mut self, now: Micros) {
        let Some(steps) = self
            .steps
            .filter(|steps| steps.step_count > 1 && steps.started_at <= now)
        else {
            return;
        };
        let elapsed_steps = (now - steps.started_at) / steps.step_duration.max(1);
        let ended_steps = elapsed_steps.min(steps.step_count - 1);
        // Runs of several steps only decode, and no answer ends before the last step, so there is no output.
        self.execute_steps(ended_steps, steps.step_duration, &mut Vec::new());
        self.steps = Some(StepRun {
            started_at: steps.started_at + ended_steps * steps.step_duration,
            step_count: 1,
            ..steps
        });
    }

    /// Executes steps: prefills prompts in the order of the batch, and decodes every other answer.
    pub(super) fn execute_steps(
        &mut self,
        step_count: u64,
        step_duration: Micros,
        outputs: &mut Vec<ServerOutput>,
    ) {
        if step_count == 0 {
            return;
        }
        let decoding_count = self.prefill_and_decode(step_count, outputs);
        if decoding_count > 0 {
            self.token_gaps.push(TokenGaps {
                duration: step_duration,
                count: decoding_count * step_count,
            });
        }
        self.remove_completed(outputs);
    }

    /// Plans the next steps if none are in progress: preempts and admits requests according to the memory, then
    /// computes the duration and number of steps.
    pub(super) fn plan_steps(&mut self, now: Micros) {
        if self.steps.is_some() {
            return;
        }
        self.preempt_newest();
        let reserved_tokens = self.admit_queued();
        let free_tokens = self.profile.memory_tokens.saturating_sub(reserved_tokens);
        self.prefix_cache.evict_down_to(free_tokens);
        if self.running.is_empty() {
            return;
        }
        let decoding_count = self
            .running
            .iter()
            .filter(|sequence| sequence.is_decoding())
            .count() as u64;
        let pending_tokens: u32 = self
            .running
            .iter()
            .map(|sequence| sequence.pending_prefill_tokens)
            .sum();
        let prefill_tokens = pending_tokens.min(self.profile.chunk);
        let step_count = if prefill_tokens == 0 {
            self.uniform_step_count(now, decoding_count, free_tokens)
        } else {
            1
        };
        self.steps = Some(StepRun {
            started_at: now.max(self.stalled_until),
            step_duration: self.step_duration(now, prefill_tokens, decoding_count),
            step_count,
        });
    }

    /// Prefills prompts and decodes answers. Returns the number of answers that were already decoding, so an answer
    /// that receives its first token is not counted.
    fn prefill_and_decode(&mut self, step_count: u64, outputs: &mut Vec<ServerOutput>) -> u64 {
        let mut remaining_chunk = self.profile.chunk;
        let mut decoding_count = 0;
        for sequence in &mut self.running {
            if sequence.is_decoding() {
                sequence.generated_tokens += step_count as u32;
                decoding_count += 1;
                continue;
            }
            let prefill_tokens = sequence.pending_prefill_tokens.min(remaining_chunk);
            sequence.pending_prefill_tokens -= prefill_tokens;
            remaining_chunk -= prefill_tokens;
            if sequence.is_decoding() {
                // A preempted request has already sent its first token.
                if sequence.generated_tokens == 0 {
                    outputs.push(ServerOutput::FirstToken(sequence.job.key));
                }
                sequence.generated_tokens += 1;
            }
        }
        decoding_count
    }

    /// Removes complete answers from the batch, and caches their sessions and shared prefixes.
    fn remove_completed(&mut self, outputs: &mut Vec<ServerOutput>) {
        for sequence in self
            .running
            .extract_if(.., |sequence| sequence.is_complete())
        {
            let Sequence {
                job, cached_tokens, ..
            } = sequence;
            outputs.push(ServerOutput::Completed {
                key: job.key,
                cached_tokens,
            });
            let session_tokens = job.prompt_tokens + job.answer_tokens;
            self.prefix_cache.insert(job.session, session_tokens);
            if job.prefix.tokens > 0 {
                self.prefix_cache.insert(job.prefix.id, job.prefix.tokens);
            }
        }
    }

    /// Preempts the newest requests, back to the head of the queue, until the others have memory for their next tokens.
    fn preempt_newest(&mut self) {
        let memory_tokens = self.profile.memory_tokens;
        let mut held_tokens = self.held_tokens();
        while held_tokens + self.running.len() as u64 > memory_tokens && self.running.len() > 1 {
            let Some(mut sequence) = self.running.pop() else {
                break;
            };
            held_tokens -= sequence.held_tokens();
            // The whole prompt is prefilled again; the generated tokens remain.
            sequence.pending_prefill_tokens = sequence.job.prompt_tokens;
            self.preemption_count += 1;
            self.queued.push_front(sequence);
        }
    }

    /// Admits queued requests while there are free slots and memory. Returns the tokens held by running requests,
    /// counting the whole prompts of those just admitted.
    fn admit_queued(&mut self) -> u64 {
        let memory_tokens = self.profile.memory_tokens;
        let mut reserved_tokens = self.held_tokens();
        while self.running.len() < self.profile.slots {
            let Some(sequence) = self.queued.front() else {
                break;
            };
            let needed_tokens = u64::from(sequence.job.prompt_tokens + sequence.generated_tokens);
            let next_tokens = self.running.len() as u64;
            let fits = reserved_tokens + needed_tokens + next_tokens <= memory_tokens;
            // A request that exceeds the memory of an empty server is admitted when nothing else runs; otherwise it
            // would wait forever.
            if !fits && !self.running.is_empty() {
                break;
            }
            let Some(mut sequence) = self.queued.pop_front() else {
                break;
            };
            let cached_tokens = self.cached_tokens(&sequence);
            // At least one token must be prefilled to generate the first token of the answer.
            sequence.cached_tokens =
                cached_tokens.min(sequence.job.prompt_tokens.saturating_sub(1));
            sequence.pending_prefill_tokens = sequence.job.prompt_tokens - sequence.cached_tokens;
            reserved_tokens += needed_tokens;
            self.running.push(sequence);
        }
        reserved_tokens
    }

    /// Looks up the cached beginning of a prompt: that of its session, or else that of its shared prefix.
    fn cached_tokens(&mut self, sequence: &Sequence) -> u32 {
        let session_tokens = self.prefix_cache.lookup(sequence.job.session);
        if session_tokens > 0 {
            return session_tokens;
        }
        let prefix = sequence.job.prefix;
        self.prefix_cache.lookup(prefix.id).min(prefix.tokens)
    }

    /// The number of identical steps when no prompt needs prefill: until the first answer ends or memory runs short.
    fn uniform_step_count(&self, now: Micros, decoding_count: u64, free_tokens: u64) -> u64 {
        let until_first_end = self.running.iter().map(remaining_steps).min();
        let until_memory_is_short = (free_tokens / decoding_count.max(1)).max(1);
        let step_count = until_first_end
            .unwrap_or(1)
            .min(until_memory_is_short)
            .max(1);
        if self.is_warming_up(now) {
            step_count.min(MAX_WARM_UP_STEPS)
        } else {
            step_count
        }
    }

    fn is_warming_up(&self, now: Micros) -> bool {
        let warm_up_micros = self.profile.warm_up_micros() as Micros;
        self.started_at
            .is_some_and(|started_at| now.saturating_sub(started_at) < warm_up_micros)
    }

    fn step_duration(&self, now: Micros, prefill_tokens: u32, decoding_count: u64) -> Micros {
        let work_micros = self.profile.step_us as f64
            + f64::from(prefill_tokens) * self.profile.prompt_token_us
            + decoding_count as f64 * self.profile.answer_us;
        (work_micros / self.speed(now)).max(1.0) as Micros
    }

    /// The current speed, as a fraction of that of a warm server without faults.
    fn speed(&self, now: Micros) -> f64 {
        let warm_up_micros = self.profile.warm_up_micros().max(1.0);
        let warm_up_fraction = match self.started_at {
            Some(started_at) => (now.saturating_sub(started_at) as f64 / warm_up_micros).min(1.0),
            None => 1.0,
        };
        let initial = self.profile.cold_from;
        (initial + (1.0 - initial) * warm_up_fraction).max(MIN_SPEED) / self.slowdown
    }
}

/// Steps until a decoding answer ends, at least 1.
fn remaining_steps(sequence: &Sequence) -> u64 {
    let generated_tokens = sequence.generated_tokens;
    u64::from(sequence.job.answer_tokens.max(generated_tokens + 1) - generated_tokens)
}
