//! How a stream that its upstream did not end is to end: whole, continued, or with a failure; within budgets, so that
//! a sick fleet is not made sicker.

#![expect(
    clippy::min_ident_chars,
    clippy::struct_excessive_bools,
    reason = "not yet converted"
)]

use crate::health::Micros;
use crate::story::Story;
use std::collections::VecDeque;

/// What is known of a stream that has stalled or broken.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Case {
    /// Continuing is allowed here at all.
    pub allowed: bool,
    /// Its class's effect allows that a request runs twice anywhere.
    pub repeatable: bool,
    /// Continuations of this stream so far.
    pub tries: u32,
    /// The client is still there.
    pub reader: bool,
    /// The node is ending.
    pub ending: bool,
}

/// How it is to end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ends {
    /// All of the text has been passed: the end that is lacking is written.
    Complete,
    /// Another server is asked for the rest, with this body.
    Continue(Vec<u8>),
    /// At once, with a failure.
    Fail(Refusal),
}

/// Why a stream is not continued.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It is switched off.
    Off,
    /// A repeat might do something twice.
    Effect,
    /// The client has gone.
    Gone,
    /// The node is ending.
    Ending,
    /// This stream has been continued as often as may be.
    Tries,
    /// Too many streams are being continued.
    Budget,
    /// What was passed can't be carried on.
    Story(&'static str),
}

impl std::fmt::Display for Refusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Refusal::Off => "continuing is switched off",
            Refusal::Effect => "a repeat might do something twice",
            Refusal::Gone => "the client has gone",
            Refusal::Ending => "the node is ending",
            Refusal::Tries => "it has been continued as often as may be",
            Refusal::Budget => "too many streams are being continued",
            Refusal::Story(why) => why,
        })
    }
}

/// Bounds of what continuing may cost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Continuations of one stream.
    pub tries: u32,
    /// Continuations over streams begun, within `window`.
    pub share: f64,
    /// So many are free within `window`, however few streams there are.
    pub free: u32,
    /// The time looked back.
    pub window: Micros,
}

impl Default for Budget {
    fn default() -> Self {
        Budget {
            tries: 2,
            share: 0.1,
            free: 3,
            window: 30_000_000,
        }
    }
}

/// Streams and continuations of the last `window`, in slices, so that memory is bounded.
#[derive(Clone, Debug, Default)]
pub struct Budgets {
    slices: VecDeque<(Micros, u64, u64)>,
}

const SLICES: u64 = 16;

impl Budgets {
    fn slice(&mut self, now: Micros, budget: &Budget) -> &mut (Micros, u64, u64) {
        let width = (budget.window / SLICES).max(1);
        let begin = now / width * width;
        while self
            .slices
            .front()
            .is_some_and(|s| now.saturating_sub(s.0) >= budget.window)
        {
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|s| s.0 < begin) {
            self.slices.push_back((begin, 0, 0));
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }

    /// A stream has begun.
    pub fn begun(&mut self, now: Micros, budget: &Budget) {
        self.slice(now, budget).1 += 1;
    }

    /// Takes one continuation from the budget, where there is one left.
    pub fn take(&mut self, now: Micros, budget: &Budget) -> bool {
        self.slice(now, budget);
        let (begun, taken) = self
            .slices
            .iter()
            .fold((0, 0), |sum, s| (sum.0 + s.1, sum.1 + s.2));
        let most = (begun as f64 * budget.share).max(f64::from(budget.free));
        if taken as f64 + 1.0 > most {
            return false;
        }
        self.slice(now, budget).2 += 1;
        true
    }
}

/// Judges a stream that has ended before its end. The budget is asked last, and only where all else allows it.
pub fn judge(
    case: &Case,
    story: &Story,
    body: &[u8],
    budget: &Budget,
    mut take: impl FnMut() -> bool,
) -> Ends {
    let no = |why| Ends::Fail(why);
    if !case.allowed {
        return no(Refusal::Off);
    }
    if !case.reader {
        return no(Refusal::Gone);
    }
    // The text is whole: what is lacking is framing, or a count that nobody may invent. Asking again for that
    // would cost a server the whole prompt, and could not change the text.
    if story.complete(body) {
        return Ends::Complete;
    }
    if !case.repeatable {
        return no(Refusal::Effect);
    }
    if case.ending {
        return no(Refusal::Ending);
    }
    if case.tries >= budget.tries {
        return no(Refusal::Tries);
    }
    match story.request(body) {
        Err(why) => no(Refusal::Story(why)),
        Ok(_) if !take() => no(Refusal::Budget),
        Ok(rest) => Ends::Continue(rest),
    }
}
