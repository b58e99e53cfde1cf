//! What the fleet's task acts upon: a stand-in that refuses epochs below the highest it has seen and writes down every
//! act, and the verdict on its record.

#![expect(
    clippy::min_ident_chars,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

use super::history::History;
use crate::Micros;
use serde_json::{json, Value};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// The longest act that is read.
const MOST: usize = 64 * 1024;

/// An act as it arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Act {
    /// Microseconds since the run's beginning.
    pub at: Micros,
    /// Under which epoch.
    pub epoch: u64,
    /// The node and its incarnation.
    pub holder: (String, String),
    /// For which interval.
    pub slot: u64,
    /// Whether it was taken.
    pub taken: bool,
    /// Its interval had been reported already; then it was not taken.
    pub again: bool,
}

/// What the record says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Verdict {
    /// All acts.
    pub acts: usize,
    /// Refused for their epoch.
    pub refused: usize,
    /// Proofs that two processes thought they held the task at one time.
    pub overlaps: Vec<String>,
    /// Microseconds between an act taken and the next one, longest first, each with when it began.
    pub gaps: Vec<(Micros, Micros)>,
}

/// Judges a record.
///
/// A process looks at its lease before every act and sends one act at a time. So a stop between look and act leaves at
/// most one act that comes too late; a second one of the same holding means that the look itself was wrong.
pub fn judge(acts: &[Act]) -> Verdict {
    let mut verdict = Verdict {
        acts: acts.len(),
        ..Verdict::default()
    };
    let mut holders: BTreeMap<u64, &(String, String)> = BTreeMap::new();
    let mut late: BTreeMap<(u64, &(String, String)), usize> = BTreeMap::new();
    let (mut highest, mut last): (u64, Option<Micros>) = (0, None);
    for act in acts {
        let owner = *holders.entry(act.epoch).or_insert(&act.holder);
        if *owner != act.holder {
            verdict.overlaps.push(format!(
                "epoch {} of {owner:?} and {:?}, at {}",
                act.epoch, act.holder, act.at
            ));
        }
        if act.epoch < highest {
            let count = late.entry((act.epoch, &act.holder)).or_default();
            *count += 1;
            if *count == 2 {
                verdict.overlaps.push(format!(
                    "{:?} went on under epoch {} after epoch {highest} had acted, at {}",
                    act.holder, act.epoch, act.at
                ));
            }
            if act.taken {
                verdict.overlaps.push(format!(
                    "epoch {} taken after {highest}, at {}",
                    act.epoch, act.at
                ));
            }
        }
        highest = highest.max(act.epoch);
        if act.taken {
            verdict.gaps.extend(last.map(|last| (act.at - last, last)));
            last = Some(act.at);
        } else if !act.again {
            verdict.refused += 1;
        }
    }
    verdict.gaps.sort_unstable_by(|a, b| b.cmp(a));
    verdict
}

/// The stand-in.
#[derive(Clone)]
pub struct Collector {
    /// Where it listens.
    pub addr: SocketAddr,
    /// All acts so far, in the order of their arrival.
    pub acts: Rc<RefCell<Vec<Act>>>,
    history: History,
    fence: bool,
}

impl Collector {
    /// Starts it. Without the fence it takes whatever comes.
    pub async fn start(history: History, fence: bool) -> Result<Collector, String> {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .map_err(|e| format!("collector: {e}"))?;
        let addr = listener
            .local_addr()
            .map_err(|e| format!("collector: {e}"))?;
        let collector = Collector {
            addr,
            acts: Rc::default(),
            history,
            fence,
        };
        let own = collector.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let own = own.clone();
                spawn_local(async move { own.take(stream).await });
            }
        });
        Ok(collector)
    }

    /// When the last act was taken, and by whom.
    pub fn last(&self) -> Option<Act> {
        self.acts.borrow().iter().rev().find(|a| a.taken).cloned()
    }

    async fn take(&self, mut stream: TcpStream) -> Option<()> {
        let mut bytes = Vec::new();
        let body = loop {
            let mut more = [0; 4096];
            let length = stream.read(&mut more).await.ok().filter(|n| *n > 0)?;
            bytes.extend_from_slice(&more[..length]);
            let text = std::str::from_utf8(&bytes).ok()?;
            if let Some((head, body)) = text.split_once("\r\n\r\n") {
                let length = head
                    .lines()
                    .find_map(|l| l.strip_prefix("Content-Length: ")?.parse::<usize>().ok())?;
                if body.len() >= length {
                    break serde_json::from_str::<Value>(body).ok()?;
                }
            }
            if bytes.len() > MOST {
                return None;
            }
        };
        let (epoch, slot) = (body["epoch"].as_u64()?, body["slot"].as_u64()?);
        let holder = (
            body["node"].as_str()?.to_string(),
            body["incarnation"].as_str()?.to_string(),
        );
        let highest = self
            .acts
            .borrow()
            .iter()
            .map(|a| a.epoch)
            .max()
            .unwrap_or(0);
        let again = self
            .acts
            .borrow()
            .iter()
            .rev()
            .any(|a| a.taken && a.slot == slot);
        let taken = (epoch >= highest || !self.fence) && !again;
        let act = Act {
            at: self.history.now(),
            epoch,
            holder,
            slot,
            taken,
            again,
        };
        self.history.add(
            "act",
            json!({"epoch": epoch, "node": act.holder.0, "incarnation": act.holder.1, "slot": slot, "taken": taken}),
        );
        self.acts.borrow_mut().push(act);
        let status = if taken { "200 OK" } else { "409 Conflict" };
        let answer = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
        stream.write_all(answer.as_bytes()).await.ok()
    }
}
