//! How a stream fares, and how long a silence may last before it counts as a stall.

#![expect(clippy::min_ident_chars, reason = "not yet converted")]

/// Microseconds on a monotonic clock.
pub type Micros = u64;

/// What a stream is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Events come as they should.
    Flowing,
    /// They come, with gaps longer than is usual, or a gap longer than usual is under way.
    Slow,
    /// Nothing has come for longer than may be.
    Stalled,
    /// The upstream has ended it before its end.
    Broken,
    /// The reader does not keep up: what is silent is the node, not the upstream.
    Outrun,
    /// It has passed whole.
    Whole,
}

/// Bounds of the rule for stalls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// No silence shorter than this is a stall.
    pub least: Micros,
    /// Every longer one is.
    pub most: Micros,
    /// Within these, a stall is this many times the class's wish for the time between tokens ...
    pub aims: f64,
    /// ... or this many times the replica's own long gaps, whichever is more.
    pub gaps: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            least: 3_000_000,
            most: 4_600_000,
            aims: 30.0,
            gaps: 1.5,
        }
    }
}

/// The part of gaps that are shorter than the long gap.
const PART: f64 = 0.98;
/// The least gap that is told apart, in microseconds.
const FIRST: f64 = 1000.0;
/// Each step of the ladder is this much longer than the one before: the quantile is that exact.
const STEP: f64 = 1.15;
/// Steps: from a millisecond to beyond half a minute.
const STEPS: usize = 76;
/// Weight is halved once so many gaps have come since, so that a replica's past fades.
const MEMORY: f64 = 2000.0;
/// Below this weight there is no saying what is long.
const FEW: f64 = 20.0;

/// A replica's recent gaps between events: a histogram on a geometric ladder with fading weights.
#[derive(Clone, Debug, PartialEq)]
pub struct Gaps {
    steps: [f32; STEPS],
    total: f64,
}

impl Default for Gaps {
    fn default() -> Self {
        Gaps {
            steps: [0.0; STEPS],
            total: 0.0,
        }
    }
}

impl Gaps {
    /// A gap has ended, or a stream was given up in the middle of one, which was at least so long.
    pub fn add(&mut self, gap: Micros) {
        self.weigh(gap, 1.0);
    }

    /// A stream was given up in the middle of a gap. One such says as much as many short gaps: it cost a stream.
    pub fn gave_up(&mut self, gap: Micros) {
        // The gap would have been longer, by how much is not known.
        self.weigh(
            (gap as f64 * STEP) as Micros,
            1.0 + self.total * 2.0 * (1.0 - PART),
        );
    }

    fn weigh(&mut self, gap: Micros, weight: f64) {
        let step = ((gap.max(1) as f64 / FIRST).ln() / STEP.ln())
            .ceil()
            .max(0.0) as usize;
        self.steps[step.min(STEPS - 1)] += weight as f32;
        self.total += weight;
        if self.total > MEMORY {
            self.steps.iter_mut().for_each(|s| *s /= 2.0);
            self.total /= 2.0;
        }
    }

    /// The long gap: nearly all are shorter. None while there are few.
    pub fn long(&self) -> Option<Micros> {
        self.at(PART).filter(|_| self.total >= FEW)
    }

    /// The gap that this part of all gaps (0 to 1) does not exceed, to a step of the ladder; none without any gap.
    pub fn at(&self, part: f64) -> Option<Micros> {
        let mut beyond = self.total * (1.0 - part);
        for (n, weight) in self.steps.iter().enumerate().rev() {
            beyond -= f64::from(*weight);
            if beyond < 0.0 {
                return Some((FIRST * STEP.powi(n as i32)) as Micros);
            }
        }
        None
    }

    /// How long a silence may last in a stream of this replica; `token_aim` is the class's wish for the time from
    /// one token to the next, in microseconds, where it has one.
    pub fn limit(&self, token_aim: Option<Micros>, limits: &Limits) -> Micros {
        let aims = token_aim.map_or(0.0, |aim| aim as f64 * limits.aims);
        let gaps = self.long().map_or(0.0, |long| long as f64 * limits.gaps);
        (aims.max(gaps) as Micros).clamp(limits.least, limits.most)
    }
}

/// One stream, from its first event on.
#[derive(Clone, Debug)]
pub struct Health {
    last: Micros,
    limit: Micros,
    usual: Option<Micros>,
    /// The reader has been waited for since then.
    waits: Option<Micros>,
    slow: bool,
    end: Option<State>,
}

impl Health {
    /// A stream whose first event has come. `limit` is how long a silence may last, `usual` the replica's long gap.
    pub fn new(now: Micros, limit: Micros, usual: Option<Micros>) -> Self {
        Health {
            last: now,
            limit,
            usual,
            waits: None,
            slow: false,
            end: None,
        }
    }

    /// An event, or part of one, has come; returned is the gap before it, unless that was the reader's.
    pub fn event(&mut self, now: Micros) -> Option<Micros> {
        let gap = now.saturating_sub(self.last);
        self.last = self.last.max(now);
        self.slow = self.usual.is_some_and(|usual| gap > usual);
        self.end
            .is_none()
            .then_some(gap)
            .filter(|_| self.waits.is_none())
    }

    /// The reader takes nothing: from here on silence is the node's own.
    pub fn reader_waits(&mut self, now: Micros) {
        self.waits.get_or_insert(now);
    }

    /// The reader has taken what there was.
    pub fn reader_took(&mut self, now: Micros) {
        if self.waits.take().is_some() {
            // What the upstream had sent meanwhile lay in buffers: the silence begins now.
            self.last = self.last.max(now);
        }
    }

    /// The upstream has ended it, whole or not.
    pub fn ended(&mut self, whole: bool) {
        self.end
            .get_or_insert(if whole { State::Whole } else { State::Broken });
    }

    /// When it will be stalled if nothing comes; never while the reader is waited for, nor after its end.
    pub fn due(&self) -> Option<Micros> {
        (self.end.is_none() && self.waits.is_none()).then(|| self.last.saturating_add(self.limit))
    }

    /// How it fares now.
    pub fn state(&self, now: Micros) -> State {
        let silent = now.saturating_sub(self.last);
        match self.end {
            Some(end) => end,
            None if self.waits.is_some() => State::Outrun,
            None if silent >= self.limit => State::Stalled,
            None if self.slow || self.usual.is_some_and(|usual| silent > usual) => State::Slow,
            None => State::Flowing,
        }
    }
}
