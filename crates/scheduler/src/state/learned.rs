//! What a router has learned of its traffic and its fleet: books without rules.

#![allow(clippy::wildcard_imports, reason = "not yet converted")]
#![expect(clippy::min_ident_chars, reason = "not yet converted")]

use super::*;

/// A mean over the last so many samples.
#[derive(Clone, Copy, Default)]
pub(crate) struct Mean {
    count: f64,
    value: f64,
}

impl Mean {
    pub(crate) fn add(&mut self, sample: f64, most: f64) {
        self.count = (self.count + 1.0).min(most);
        self.value += (sample - self.value) / self.count;
    }
    /// The mean with so many samples of nothing beside its own.
    pub(crate) fn shrunk(&self, prior: f64) -> f64 {
        self.value * self.count / (self.count + prior)
    }
}

/// Sessions remembered; the oldest is forgotten for a new one.
const MOST_PLACES: usize = 16_384;

/// Where this router sent the last turn of its sessions, and how many prompt tokens were read there.
#[derive(Default)]
pub(crate) struct Places {
    at: BTreeMap<u64, (ReplicaId, f64)>,
    order: VecDeque<u64>,
}

impl Places {
    pub(crate) fn get(&self, session: u64) -> Option<(ReplicaId, f64)> {
        self.at.get(&session).copied()
    }
    /// The oldest first.
    pub(crate) fn all(&self) -> impl Iterator<Item = (u64, ReplicaId, f64)> + '_ {
        self.order
            .iter()
            .filter_map(|session| self.get(*session).map(|p| (*session, p.0, p.1)))
    }
    pub(crate) fn put(&mut self, session: u64, replica: ReplicaId, tokens: f64) {
        if self.at.insert(session, (replica, tokens)).is_none() {
            self.order.push_back(session);
        }
        if self.order.len() > MOST_PLACES {
            self.order.pop_front().map(|oldest| self.at.remove(&oldest));
        }
    }
}

/// Tokens expected to be found kept, the mean before any answer; the weight of one answer in that mean, and the most
/// that one long prompt counts in a hit rate.
const FIRST_MEAN_DUE: f64 = 1000.0;
const DUE_WEIGHT: f64 = 0.05;
const MOST_WEIGHT: f64 = 0.5;

/// Time for a prompt token before any was seen.
pub(crate) const FIRST_PACE: Seconds = 0.0005;

/// The pace of a kind of replica is a mean over so many first tokens, so that homes do not wander with it.
const PACE_SAMPLES: f64 = 400.0;

/// Weight of one guess of a batch, and the least that is believed of one.
const GUESSED: f64 = 0.1;
const LEAST_BATCH: f64 = 2.0;

/// How far a replica's answers ran over their estimates is a mean over so many.
pub(super) const TAIL_SAMPLES: f64 = 4.0;

/// No replica can have so many prompt tokens waiting; a report of more is no report.
pub(super) const MOST_TOKENS: f64 = 1e9;

/// What a router has learned of its traffic and its fleet.
pub(crate) struct Learned {
    /// Mean cost of a request.
    pub(crate) quantum: f64,
    /// Cost released, and attempts sent, a second.
    pub(crate) released: Rate,
    pub(crate) sent: Rate,
    /// Mean time from the send to the first token.
    pub(crate) first: Seconds,
    /// Mean time from the send to the end of an answer.
    pub(crate) hold_time: Seconds,
    /// For each kind of replica, first tokens seen and their mean logarithm of time for a token read.
    pub(crate) paces: BTreeMap<usize, (f64, f64)>,
    /// Mean time from the send to the end of an answer, for each kind of replica.
    pub(crate) holds: BTreeMap<usize, Seconds>,
    /// Requests that a batch holds, as last shown by a replica of each kind.
    pub(crate) batches: BTreeMap<usize, f64>,
    /// For each [`Kept`], the part of what was expected that was found kept.
    pub(crate) kept: [f64; 3],
    /// For each of them, the mean of tokens that were expected.
    pub(crate) mean_due: [f64; 3],
    pub(crate) places: Places,
    /// Tokens of cost that a second of work told by requests stands for, the geometric mean.
    pub(crate) tokens_a_second: Option<f64>,
    /// Mean reported prompt tokens waiting, for replicas without a report.
    pub(crate) typical: f64,
}

impl Learned {
    pub(crate) fn new(horizon: Seconds) -> Self {
        let (released, sent) = (Rate::new(horizon), Rate::new(horizon));
        Learned {
            quantum: 0.0,
            first: 0.0,
            released,
            sent,
            hold_time: 1.0,
            paces: BTreeMap::new(),
            holds: BTreeMap::new(),
            batches: BTreeMap::new(),
            // Believed too little, homes are passed over, and then there is little to be found there.
            kept: [1.0, 0.8, 1.0],
            mean_due: [FIRST_MEAN_DUE; 3],
            places: Places::default(),
            tokens_a_second: None,
            typical: 0.0,
        }
    }
}

impl Learned {
    /// Takes one sample of a kind's time for a token; the mean is over the last so many, geometric.
    pub(crate) fn pace(&mut self, kind: usize, sample: Seconds) {
        let (count, mean) = self
            .paces
            .entry(kind)
            .or_insert((PACE_SAMPLES / 100.0, 0.0));
        *count = (*count + 1.0).min(PACE_SAMPLES);
        *mean += ((sample / FIRST_PACE).ln() - *mean) / *count;
    }
    /// The cost of a request whose work is told, in the tokens that such work stands for on the mean; a hint may
    /// be absurd, so it counts for no more than four times its tokens and no less than a quarter.
    pub(crate) fn hinted(&mut self, tokens: f64, work: Option<Seconds>, weight: f64) -> f64 {
        let Some(work) = work.filter(|w| w.is_finite() && *w > 0.0) else {
            return tokens;
        };
        let rate = self.tokens_a_second.get_or_insert(tokens / work);
        let cost = (work * *rate).clamp(tokens / 4.0, tokens * 4.0);
        *rate *= (weight * (tokens / cost).ln()).exp();
        cost
    }
    /// Before any answer has ended: they run to a quarter of their limit, four times as fast as they must.
    pub(crate) fn begin(&mut self, class: &RequestClass, answer_limit: u64, cost: f64) {
        self.hold_time =
            (class.inter_token_objective.min(1.0) * answer_limit as f64 / 16.0).max(1.0);
        self.quantum = cost;
    }
    /// Takes what an answer found kept of its prompt: how far homes, and the places of turns, can be relied on.
    pub(crate) fn found(
        &mut self,
        arrival: &IncomingRequest,
        sent: &Attempt,
        found: f64,
        weight: f64,
    ) {
        let prompt = arrival.prompt_tokens as f64;
        let prefix = (arrival.shared_prefix_tokens as f64).min(prompt);
        let read = arrival
            .session
            .and_then(|s| self.places.get(s))
            .map_or(0.0, |p| p.1.min(prompt));
        let (found, due) = match sent.kept {
            Kept::Opening => (found, prefix),
            Kept::Home => (found - prefix, prompt - prefix),
            Kept::Turns => (found, read),
        };
        if due >= 1.0 {
            // The mean is over tokens, not requests: first turns are many, and they have little to be found.
            let mean_due = &mut self.mean_due[sent.kept as usize];
            let weight = (weight * due / *mean_due).min(MOST_WEIGHT);
            *mean_due += DUE_WEIGHT * (due - *mean_due);
            let hit_rate = &mut self.kept[sent.kept as usize];
            *hit_rate += weight * ((found / due).clamp(0.0, 1.0) - *hit_rate);
        }
        if let Some(session) = arrival.session {
            self.places.put(session, sent.replica, prompt);
        }
    }
    /// Takes the time one answer held its place.
    pub(crate) fn hold(&mut self, kind: usize, sample: Seconds, weight: f64) {
        self.hold_time += 2.0 * weight * (sample - self.hold_time);
        let mean = self.holds.entry(kind).or_insert(self.hold_time);
        *mean += weight * (sample - *mean);
    }
    /// Takes what a replica reported queued while it held about so many requests, where reports do not say how
    /// many: with a queue its batch is what is left of them, without one it is no less than they are.
    pub(crate) fn queue_shown(&mut self, kind: usize, held: f64, queued: f64) {
        let known = self.batches.get(&kind).copied();
        let sample = if queued >= 0.5 {
            (held - queued).max(LEAST_BATCH)
        } else {
            held
        };
        if queued >= 0.5 || known.is_some_and(|batch| batch < held) {
            let batch = known.unwrap_or(sample);
            self.batches
                .insert(kind, batch + GUESSED * (sample - batch));
        }
    }
    pub(crate) fn hold_of(&self, kind: usize) -> Seconds {
        self.holds.get(&kind).copied().unwrap_or(self.hold_time)
    }
    /// Places in a batch of this kind, else of the largest kind seen, else the first guess.
    pub(crate) fn batch_of(&self, kind: usize, first: f64) -> f64 {
        let largest = || self.batches.values().copied().reduce(f64::max);
        self.batches
            .get(&kind)
            .copied()
            .or_else(largest)
            .unwrap_or(first)
    }
    /// As a multiple of the first guess: places in an order are whole numbers, and far smaller figures fell
    /// together there.
    pub(crate) fn pace_of(&self, kind: usize) -> f64 {
        self.paces.get(&kind).map_or(1.0, |p| p.1.exp())
    }
}
