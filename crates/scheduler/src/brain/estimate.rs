//! What a send would come to: the time to its first token at a replica, and what going there costs.
//!
//! Departure: one estimate in seconds takes the place of weights in tokens, queue places and zones, whose
//! units meant something else at each site; `docs/design.md` has each term's figures. Types: `interface.rs`.

#![allow(clippy::wildcard_imports, reason = "not yet converted")]
#![expect(clippy::min_ident_chars, reason = "not yet converted")]

use super::*;

/// A report counts less with age and is worth nothing after this long.
const REPORT_LIFE: Seconds = 3.0;
/// Prompt tokens that every request is taken to cost beyond its own: connecting, a step, the first token.
pub(super) const BASE_TOKENS: f64 = 500.0;
/// Waiting tokens are read beside others' answers: they delay a new prompt by this part of their reading.
const WAITING_SHARE: f64 = 0.4;
/// Places in a batch where no report has shown any: the least that such servers run with.
const FIRST_BATCH: f64 = 16.0;
/// What others hold at a replica is told at answers' ends, and may be late: the part that is believed.
const TRUST: f64 = 0.3;
/// Variance of what is held now, in requests squared, where a report has just come.
const HELD_VARIANCE: f64 = 0.2;
/// What a replica's last answers were off by counts beside so many as estimated; forgotten in this time.
const TAIL_PRIOR: f64 = 4.0;
const TAIL_LIFE: Seconds = 5.0;
/// A replica that leaves a probe unanswered for a tick is taken to keep a request this much longer.
const NO_ANSWER: Seconds = 0.3;
/// Reading holds up all that run there: a second's cost for each; so many more where its last turn is known.
const WORK_PRICE: f64 = 0.15;
const LEAST_HELD: f64 = 4.0;
/// A place taken is one that later requests lack: what a full batch, or a full memory, costs, in requests.
const PLACE_PRICE: f64 = 0.3;
/// Costs differ by less than this, in requests, where the draw shall be nearly even.
pub(super) const EVEN: f64 = 0.005;
/// A replica that has answered nothing since an overdue send is taken to go on so for this part of that time.
const SILENCE: f64 = 0.5;
/// A replica whose memory is full is drawn this much as often as an empty one, not never.
const LEAST_WEIGHT: f64 = 0.05;

/// What a request is, as far as an estimate needs it, and what the router holds: the same for all candidates.
pub(super) struct Outlook {
    prompt: f64,
    prefix: f64,
    place: Option<(ReplicaId, f64)>,
    home: Option<ReplicaId>,
    /// Time until a first token earns nothing, seconds.
    left: Seconds,
    /// Requests of other routers at a replica, the mean.
    others: f64,
}

impl Scheduler {
    /// How much a replica's last report still counts, from 1 when new to 0.
    pub(super) fn freshness(&self, r: &Replica) -> f64 {
        (1.0 - (self.now - r.reported_at) / REPORT_LIFE).max(0.0)
    }

    /// Prompt tokens that will be read at `r` before a request sent now, without its own.
    pub(super) fn tokens_waiting(&self, r: &Replica) -> f64 {
        let weight = self.freshness(r);
        r.reported * weight + self.learned.typical * (1.0 - weight) + r.own_unread
    }

    pub(super) fn outlook(&self, request: &Request) -> Outlook {
        let a = &request.arrival;
        let prompt = a.prompt_tokens as f64;
        let place = a.session.and_then(|s| self.learned.places.get(s));
        // A home that leaves a probe unanswered may have been started anew, and then keeps nothing.
        let silent = |r: &Replica| r.asked && self.now > r.next_probe - PROBE_EVERY + TICK / 2.0;
        let home = self
            .homes(a)
            .first()
            .copied()
            .filter(|h| place.is_none() && !silent(&self.replicas[h]));
        let left = (request.useful_until - self.now).max(EXPIRY_MARGIN);
        let (prefix, others) = ((a.shared_prefix_tokens as f64).min(prompt), self.others());
        Outlook {
            prompt,
            prefix,
            place,
            home,
            left,
            others,
        }
    }

    /// What would be found kept: the turns before where this router sent them, else what homes have shown.
    fn kept(&self, o: &Outlook, to: ReplicaId) -> (f64, Kept) {
        let kept = |how: Kept| self.learned.kept[how as usize];
        let opening = o.prefix * kept(Kept::Opening);
        match o.place {
            Some((at, read)) if at == to => (
                opening.max(read.min(o.prompt) * kept(Kept::Turns)),
                Kept::Turns,
            ),
            None if o.home == Some(to) => (
                opening + (o.prompt - o.prefix) * kept(Kept::Home),
                Kept::Home,
            ),
            _ => (opening, Kept::Opening),
        }
    }

    /// Reading, waiting for a place in the batch, and how far the last answers there ran over.
    /// With it go its cost, and how often the replica is drawn beside others of that cost.
    pub(super) fn guess(&self, to: ReplicaId, r: &Replica, o: &Outlook) -> (Attempt, f64, f64) {
        let (found, kept) = self.kept(o, to);
        let unread = o.prompt - found;
        let pace = self.learned.pace_of(r.kind) * FIRST_PACE;
        let hold = self.learned.hold_of(r.kind);
        // The others' requests drift from what the last report showed to the mean as answers end.
        let known = (-(self.now - r.reported_at) / hold).exp();
        let shown = r
            .holding
            .map_or(o.others, |(held, own)| (held - own as f64).max(0.0));
        let held = r.in_flight as f64 + o.others + (shown - o.others) * known * TRUST;
        let batch = r
            .batch
            .unwrap_or_else(|| self.learned.batch_of(r.kind, FIRST_BATCH));
        // The mean of what is over a full batch, with held normal about its mean (a logistic stands for it).
        let spread = (o.others.max(0.1) * (1.0 - known * known) + HELD_VARIANCE).sqrt() / 1.7;
        let over = ((held + 1.0 - batch) / spread).min(30.0);
        let mut wait = (over.exp().ln_1p() * spread).max(held + 1.0 - batch) * hold / batch;
        wait += if r.holding.is_none() {
            r.queued * self.freshness(r) * hold / batch
        } else {
            0.0
        };
        if r.oldest.0 > r.life && self.now > r.oldest.1 {
            wait += SILENCE * (self.now - r.oldest.0).min(LONG_SILENCE);
        }
        let reading = (self.tokens_waiting(r) * WAITING_SHARE + unread + BASE_TOKENS) * pace;
        let tail = r.tail.shrunk(TAIL_PRIOR) * (-(self.now - r.life) / TAIL_LIFE).exp();
        let first = (reading + wait) * tail.exp() + if r.asked { NO_ANSWER } else { 0.0 };
        // The chance to be late, with errors about as large as the estimate.
        let late = first * first / (first * first + o.left * o.left);
        let crossing = if r.zone == self.settings.zone {
            0.0
        } else {
            self.settings.costs.cross_zone
        };
        // Where reports do not say what a replica holds, half of this guess is believed.
        let sure = if r.holding.is_some() { 1.0 } else { 0.5 };
        let taken = (held / batch * hold / self.learned.hold_time * sure).min(8.0);
        let held_up = held + if o.place.is_some() { LEAST_HELD } else { 1.0 };
        let work = WORK_PRICE * held_up * unread * pace;
        let cost = late + crossing + work + PLACE_PRICE * (taken + r.memory_held.min(1.0));
        let free = 1.0 + LEAST_WEIGHT - r.memory_held.clamp(0.0, 1.0);
        (Attempt::new(to, self.now, unread, kept, first), cost, free)
    }
}
