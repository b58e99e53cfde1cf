//! The fleet's driver: sockets, timers and the disk round [`poppykeel_coordination::Node`]. Without `[fleet]` none of this
//! exists: no listener, no thread, no file.

#![expect(
    clippy::match_bool,
    clippy::min_ident_chars,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

pub mod budgets;
mod clock;
mod log_writer;
mod outlier_probing;
mod report;
mod rolling_restart;
mod status;

use crate::routing::Micros;
use crate::transport::clock::Clock;
use crate::transport::messages::{Message, Phase};
use clock::SleepClock;
use log_writer::{Disk, Told};
use poppykeel_coordination::envelope::{self, Body, Dropped, Envelope};
use poppykeel_coordination::{Node, Out};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{mpsc, watch, Notify};
use tokio::task::spawn_local;

/// Datagrams taken in one turn.
const TURN: usize = 64;
/// Long messages that come or go at once, over connections.
const MOST_CONNECTIONS: usize = 64;
/// A long message must pass within this time.
const PASS: Duration = Duration::from_secs(2);
/// Nothing is due: look again after this.
const IDLE: Duration = Duration::from_secs(1);

/// A node's place in its fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Place {
    /// What the machine is told.
    pub node: poppykeel_coordination::Settings,
    /// Where this node listens, by UDP and TCP.
    pub listen: SocketAddr,
    /// Where nodes are reached from here, where that differs from what they say.
    pub via: BTreeMap<String, SocketAddr>,
    /// A keeper's folder.
    pub folder: Option<PathBuf>,
    /// Budgets of the whole fleet.
    pub budgets: Option<budgets::Budgets>,
    /// Where the fleet's report goes.
    pub report: Option<Report>,
}

/// The fleet's report.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// The collector.
    pub to: SocketAddr,
    /// Microseconds from one to the next.
    pub every: Micros,
}

/// Bytes sent, and messages dropped, by reason.
#[derive(Clone, Copy, Debug, Default)]
struct DroppedCounts {
    sent_bytes: u64,
    garbled: u64,
    foreign: u64,
    unreached: u64,
}

/// The driver.
pub struct Fleet {
    place: Place,
    node: RefCell<Node>,
    clock: SleepClock,
    socket: UdpSocket,
    disk: RefCell<Option<Disk>>,
    disk_tells: mpsc::Sender<Told>,
    wake: Notify,
    dropped: Cell<DroppedCounts>,
    connections: Cell<usize>,
    tell: mpsc::Sender<Message>,
    reports: report::Counts,
    rolls: rolling_restart::Rolls,
    trials: outlier_probing::Trials,
    budgets: budgets::Divided,
    phase: Rc<watch::Sender<Phase>>,
    /// The clock of the routing core.
    core: Clock,
}

impl Fleet {
    /// Starts a node's part in its fleet.
    ///
    /// # Errors
    /// Names the key at fault.
    pub async fn start(
        place: Place,
        tell: mpsc::Sender<Message>,
        phase: Rc<watch::Sender<Phase>>,
        core: Clock,
    ) -> Result<Rc<Fleet>, String> {
        let named = |e: std::io::Error| format!("fleet.listen: {}: {e}", place.listen);
        let socket = UdpSocket::bind(place.listen).await.map_err(named)?;
        let listener = TcpListener::bind(place.listen).await.map_err(named)?;
        let clock = SleepClock::start();
        let keeper = place.node.keepers.contains_key(&place.node.me);
        let folder = place.folder.as_ref().filter(|_| keeper);
        let (disk_tells, told) = mpsc::channel(log_writer::WAITING);
        let (disk, kept) = match folder
            .map(|f| Disk::open(f, disk_tells.clone()))
            .transpose()?
        {
            Some((disk, kept)) => (Some(disk), Some(kept)),
            None => (None, None),
        };
        let disk = RefCell::new(disk);
        let node = RefCell::new(Node::new(
            place.node.clone(),
            rand::random(),
            kept,
            clock.now(),
        ));
        let (dropped, connections, wake) = Default::default();
        let (reports, rolls, trials, budgets) = Default::default();
        let fleet = Rc::new(Fleet {
            place,
            node,
            clock,
            socket,
            disk,
            disk_tells,
            wake,
            dropped,
            connections,
            tell,
            reports,
            rolls,
            trials,
            budgets,
            phase,
            core,
        });
        tracing::info!(fleet = %fleet.place.node.fleet, listen = %fleet.place.listen, keeper, "in the fleet");
        spawn_local(fleet.clone().listen(listener));
        spawn_local(fleet.clone().run(told));
        spawn_local(fleet.clone().roll());
        spawn_local(fleet.clone().trials());
        if let Some(budgets) = fleet.place.budgets.clone() {
            spawn_local(fleet.clone().divide(budgets));
        }
        if let Some(report) = fleet.place.report.clone() {
            spawn_local(fleet.clone().report(report));
        }
        Ok(fleet)
    }

    /// Takes other wholes of budgets, and another list of keepers if its number is higher. All else of `[fleet]` holds
    /// from the start to the end.
    ///
    /// # Errors
    /// Names the key at fault; nothing has changed then.
    pub fn resettle(&self, place: &Place) -> Result<(), String> {
        if let Some(budgets) = &place.budgets {
            self.set_wholes(budgets);
        }
        let (node, number) = (&place.node, self.node.borrow().keepers_number());
        if node.keepers_number <= number {
            return match node.keepers_number == number
                && node.keepers != self.node.borrow().keepers()
            {
                true => Err(format!(
                    "fleet.keepers_number: expected more than {number} for another list of keepers"
                )),
                false => Ok(()),
            };
        }
        let new = node.keepers.contains_key(&node.me) && !self.node.borrow().keeps();
        let open = |folder| Disk::open(folder, self.disk_tells.clone());
        let opened = place
            .folder
            .as_deref()
            .filter(|_| new)
            .map(open)
            .transpose()?;
        let (disk, kept) = opened.map_or((None, None), |(disk, kept)| (Some(disk), Some(kept)));
        if disk.is_some() {
            self.disk.replace(disk);
        }
        let now = self.clock.now();
        self.node
            .borrow_mut()
            .set_keepers(node.keepers.clone(), node.keepers_number, kept, now);
        tracing::info!(number = node.keepers_number, keepers = ?node.keepers.keys(), "another list of keepers");
        self.wake.notify_one();
        Ok(())
    }

    /// Gives all tasks back and leaves in order.
    pub fn leave(self: &Rc<Self>) {
        let out = self.node.borrow_mut().leave(self.clock.now());
        self.carry_out(out);
    }

    /// The clock that the routing core goes by.
    fn uptime(&self) -> Micros {
        self.core.now()
    }

    /// The epoch under which this process may act at this moment.
    fn may_act(&self, task: &str) -> Option<u64> {
        self.node.borrow().may_act(task, self.clock.now())
    }

    async fn run(self: Rc<Self>, mut told: mpsc::Receiver<Told>) {
        let mut bytes = vec![0; envelope::MOST + 1024];
        let mut held_before: Vec<(String, u64)> = Vec::new();
        loop {
            let due = self.node.borrow().due();
            let wait = due.map_or(IDLE, |at| {
                Duration::from_micros(at.saturating_sub(self.clock.now()))
            });
            tokio::select! {
                came = self.socket.recv_from(&mut bytes) => if let Ok((length, _)) = came {
                    self.receive(&bytes[..length]);
                    for _ in 0..TURN {
                        let Ok((length, _)) = self.socket.try_recv_from(&mut bytes) else { break };
                        self.receive(&bytes[..length]);
                    }
                },
                told = told.recv() => match told {
                    Some(Ok(number)) => {
                        let out = self.node.borrow_mut().written(number);
                        self.carry_out(out);
                    }
                    Some(Err(why)) => self.broke(&why),
                    None => return,
                },
                () = self.wake.notified() => {}
                () = tokio::time::sleep(wait.min(IDLE)) => {}
            }
            let out = self.node.borrow_mut().turn(self.clock.now());
            self.carry_out(out);
            let holds = self.node.borrow().holds(self.clock.now());
            for (task, epoch) in holds.iter().filter(|held| !held_before.contains(held)) {
                tracing::info!(task, epoch, "lease held");
            }
            for (task, epoch) in held_before.iter().filter(|held| !holds.contains(held)) {
                tracing::info!(task, epoch, "lease over");
            }
            held_before = holds;
        }
    }

    fn broke(&self, why: &str) {
        if !self.node.borrow().status(self.clock.now()).broken {
            tracing::error!(
                why,
                "the keeper's disk failed: it answers nothing until a restart"
            );
        }
        self.node.borrow_mut().broke();
    }

    fn receive(self: &Rc<Self>, bytes: &[u8]) {
        let s = &self.place.node;
        match envelope::read(bytes, &s.fleet, &s.me) {
            Ok(envelope) => self.take(envelope),
            Err(why) => self.count(|d| match why {
                Dropped::Garbled => d.garbled += 1,
                Dropped::Foreign => d.foreign += 1,
            }),
        }
    }

    fn take(self: &Rc<Self>, envelope: Envelope) {
        self.node.borrow_mut().spoke(&envelope);
        match envelope.body {
            Body::AskFigures(number) => self.tell_figures(envelope.from.0, number),
            Body::Figures(number, figures) => self.reports.heard(&envelope.from.0, number, figures),
            Body::Roll(message) => self.rolling(envelope.from.0, message),
            Body::Trials(message) => self.trying(message),
            Body::Budget(message) => self.budgeting(envelope.from.0, message),
            _ => {
                let out = self.node.borrow_mut().receive(envelope, self.clock.now());
                self.carry_out(out);
            }
        }
    }

    fn count(&self, change: impl FnOnce(&mut DroppedCounts)) {
        let mut dropped = self.dropped.get();
        change(&mut dropped);
        self.dropped.set(dropped);
    }

    fn carry_out(self: &Rc<Self>, out: Vec<Out>) {
        for out in out {
            match out {
                Out::Write(number, records) => {
                    if !self
                        .disk
                        .borrow()
                        .as_ref()
                        .is_some_and(|disk| disk.write(number, records))
                    {
                        self.broke("more writes wait than there is room for");
                    }
                }
                Out::Send(envelope, hint) => self.send(*envelope, hint),
            }
        }
    }

    fn send(self: &Rc<Self>, envelope: Envelope, hint: Option<SocketAddr>) {
        if envelope.to == self.place.node.me {
            let own = self.clone();
            spawn_local(async move { own.take(envelope) });
            return;
        }
        let known = self.place.via.get(&envelope.to).copied();
        let Some(addr) = known
            .or_else(|| self.node.borrow().addr(&envelope.to))
            .or(hint)
        else {
            return self.count(|d| d.unreached += 1);
        };
        let bytes = envelope::write(&envelope);
        self.count(|d| d.sent_bytes += bytes.len() as u64);
        if bytes.len() <= envelope::DATAGRAM {
            // What does not go out is lost, as any datagram may be.
            if self.socket.try_send_to(&bytes, addr).is_err() {
                self.count(|d| d.unreached += 1);
            }
            return;
        }
        if self.connections.get() >= MOST_CONNECTIONS {
            return self.count(|d| d.unreached += 1);
        }
        self.connections.set(self.connections.get() + 1);
        let own = self.clone();
        spawn_local(async move {
            let pass = async {
                let mut stream = TcpStream::connect(addr).await?;
                stream.write_all(&bytes).await?;
                stream.shutdown().await
            };
            if !matches!(tokio::time::timeout(PASS, pass).await, Ok(Ok(()))) {
                own.count(|d| d.unreached += 1);
            }
            own.connections.set(own.connections.get() - 1);
        });
    }

    /// Long messages, one a connection.
    async fn listen(self: Rc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            };
            if self.connections.get() >= MOST_CONNECTIONS {
                continue;
            }
            self.connections.set(self.connections.get() + 1);
            let own = self.clone();
            spawn_local(async move {
                let mut bytes = Vec::new();
                let mut stream = stream.take(envelope::MOST as u64 + 16);
                if let Ok(Ok(_)) = tokio::time::timeout(PASS, stream.read_to_end(&mut bytes)).await
                {
                    own.receive(&bytes);
                }
                own.connections.set(own.connections.get() - 1);
            });
        }
    }
}
