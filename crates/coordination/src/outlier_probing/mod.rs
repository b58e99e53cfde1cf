//! Trials of ejected servers: one node of the fleet, the holder of the lease, tries a server for all; the others hold
//! their own trials back while it says that it is at it, and come back at once when it says that the server is well.
//! It is advice: a node that finds a server bad again after such advice goes by its own trials for a while.

use crate::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Servers that are spoken of in one message; more wait for the next.
pub const MOST_NAMES: usize = 64;
/// Servers that are kept in mind.
const MOST_SERVERS: usize = 4096;

/// How a server stands at a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Standing {
    /// It gets trials only.
    pub ejected: bool,
    /// Nothing has failed there since the last answer that came from it, and that came at this time; in microseconds.
    pub well_since: Option<Micros>,
}

/// What nodes say to each other about it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// To the one in charge: these servers are ejected here.
    Ejected(Vec<String>),
    /// From the one in charge, under its epoch: the servers that it tries, and those found well.
    Verdicts(u64, Vec<(String, bool)>),
}

/// A node's own part.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Own {
    /// The highest epoch heard under.
    epoch: u64,
    /// When a server was last told to be well, and believed.
    believed: BTreeMap<String, Micros>,
    /// Servers that were found bad after that: until then advice on them is passed over.
    doubted: BTreeMap<String, Micros>,
}

impl Own {
    /// Takes verdicts; what to tell the module. A server whose name is not known here is the module's driver's to
    /// drop: advice never adds one. `doubt` is how long a wrong advice is remembered, in microseconds.
    pub fn told(
        &mut self,
        epoch: u64,
        verdicts: Vec<(String, bool)>,
        ejected: impl Fn(&str) -> bool,
        now: Micros,
        doubt: Micros,
    ) -> Vec<(String, bool)> {
        if epoch < self.epoch {
            return Vec::new();
        }
        self.epoch = epoch;
        self.doubted.retain(|_, until| now < *until);
        self.believed.retain(|_, at| now < at.saturating_add(doubt));
        let mut advice = Vec::new();
        for (name, well) in verdicts
            .into_iter()
            .take(MOST_NAMES)
            .filter(|(name, _)| ejected(name))
        {
            if self.believed.contains_key(&name) && self.doubted.len() < MOST_SERVERS {
                // It was told to be well, and failed here again.
                self.believed.remove(&name);
                self.doubted.insert(name.clone(), now.saturating_add(doubt));
            }
            if self.doubted.contains_key(&name) {
                continue;
            }
            if well && self.believed.len() < MOST_SERVERS {
                self.believed.insert(name.clone(), now);
            }
            advice.push((name, well));
        }
        advice
    }
}

/// The one in charge, under one epoch.
#[derive(Clone, Debug, PartialEq)]
pub struct Charge {
    epoch: u64,
    /// Servers that somebody has ejected: since when that is known here, and when it was said last.
    reported: BTreeMap<String, (Micros, Micros)>,
}

impl Charge {
    /// Takes charge.
    pub fn new(epoch: u64) -> Charge {
        Charge {
            epoch,
            reported: BTreeMap::new(),
        }
    }

    /// Under which epoch.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// A node says that these are ejected there.
    pub fn reported(&mut self, names: Vec<String>, now: Micros) {
        for name in names.into_iter().take(MOST_NAMES) {
            if self.reported.len() < MOST_SERVERS || self.reported.contains_key(&name) {
                self.reported.entry(name).or_insert((now, now)).1 = now;
            }
        }
    }

    /// What to tell the others. `standing` says how a server stands here; what nobody has reported for `forget` is
    /// forgotten. A server that is neither ejected here nor has answered since the first report gets no verdict: the
    /// others go on by themselves.
    pub fn verdicts(
        &mut self,
        standing: impl Fn(&str) -> Option<Standing>,
        now: Micros,
        forget: Micros,
    ) -> Message {
        self.reported
            .retain(|_, (_, last)| now < last.saturating_add(forget));
        let verdict = |(name, (since, _)): (&String, &(Micros, Micros))| {
            let standing = standing(name)?;
            let well = standing.well_since.is_some_and(|at| at > *since);
            match (standing.ejected, well) {
                (true, _) => Some((name.clone(), false)),
                (false, true) => Some((name.clone(), true)),
                (false, false) => None,
            }
        };
        Message::Verdicts(
            self.epoch,
            self.reported
                .iter()
                .filter_map(verdict)
                .take(MOST_NAMES)
                .collect(),
        )
    }
}
