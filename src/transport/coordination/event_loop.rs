//! The event loop: drives [`CoordinationNode`](poppykeel_coordination::node::CoordinationNode) by datagrams, reports of
//! the log, and timers.

use super::log_writer::{LogWriteError, LogWriterEvent};
use super::CoordinationDriver;
use poppykeel_coordination::envelope;
use poppykeel_coordination::node::{HeldLease, NodeOutput};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

/// How many datagrams are taken in one turn, beside the first.
const MAX_DATAGRAMS_PER_TURN: usize = 64;
/// Where nothing is due, the loop looks again after this time.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);
/// The buffer is this much longer than the longest message.
const BUFFER_SLACK_BYTES: usize = 1024;

impl CoordinationDriver {
    /// Runs until the process ends.
    pub(super) async fn run_event_loop(
        self: Rc<Self>,
        mut log_reports: mpsc::Receiver<LogWriterEvent>,
    ) {
        let mut buffer = vec![0; envelope::MAX_MESSAGE_BYTES + BUFFER_SLACK_BYTES];
        let mut held_before: Vec<HeldLease> = Vec::new();
        loop {
            // Each branch is cancel-safe: a datagram, a report or a wake-up that is not taken in this turn stays for the
            // next one, and the timer is set anew. The driver owns the socket; the receiver is this task's own.
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => {
                    if let Ok((length, _)) = received {
                        self.handle_datagram(&buffer[..length]);
                        self.handle_waiting_datagrams(&mut buffer);
                    }
                }
                report = log_reports.recv() => match report {
                    Some(report) => self.handle_log_report(report),
                    None => return,
                },
                () = self.wake.notified() => {}
                () = tokio::time::sleep(self.time_to_deadline()) => {}
            }
            let outputs = self.node.borrow_mut().on_timer(self.clock.now());
            self.carry_out(outputs);
            let held = self.node.borrow().held_leases(self.clock.now());
            log_lease_changes(&held_before, &held);
            held_before = held;
        }
    }

    fn time_to_deadline(&self) -> Duration {
        let deadline = self.node.borrow().next_deadline();
        let wait = deadline.map_or(IDLE_INTERVAL, |at| {
            Duration::from_micros(at.saturating_sub(self.clock.now()))
        });
        wait.min(IDLE_INTERVAL)
    }

    fn handle_waiting_datagrams(self: &Rc<Self>, buffer: &mut [u8]) {
        for _ in 0..MAX_DATAGRAMS_PER_TURN {
            let Ok((length, _)) = self.socket.try_recv_from(buffer) else {
                break;
            };
            self.handle_datagram(&buffer[..length]);
        }
    }

    fn handle_log_report(self: &Rc<Self>, report: LogWriterEvent) {
        match report {
            LogWriterEvent::Durable { write } => {
                let outputs = self.node.borrow_mut().on_log_written(write);
                self.carry_out(outputs);
            }
            LogWriterEvent::Failed(error) => self.handle_log_failure(&error),
        }
    }

    /// The lease server of this process says nothing more; the first failure is logged.
    fn handle_log_failure(&self, error: &LogWriteError) {
        if !self.node.borrow().has_log_failed() {
            tracing::error!(%error, "the lease server's log failed: it answers nothing until a restart");
        }
        self.node.borrow_mut().on_log_failed();
    }

    /// Carries out what the state machine wants, in its order.
    pub(super) fn carry_out(self: &Rc<Self>, outputs: Vec<NodeOutput>) {
        for output in outputs {
            match output {
                NodeOutput::WriteLog { write, records } => {
                    let written = match &*self.log_writer.borrow() {
                        Some(writer) => writer.write(write, records),
                        None => Err(LogWriteError::QueueFull),
                    };
                    if let Err(error) = written {
                        self.handle_log_failure(&error);
                    }
                }
                NodeOutput::Send {
                    envelope,
                    address_hint,
                } => self.send(*envelope, address_hint),
            }
        }
    }
}

fn log_lease_changes(before: &[HeldLease], now: &[HeldLease]) {
    for HeldLease { task, epoch } in now.iter().filter(|lease| !before.contains(lease)) {
        tracing::info!(task, epoch = epoch.0, "lease acquired");
    }
    for HeldLease { task, epoch } in before.iter().filter(|lease| !now.contains(lease)) {
        tracing::info!(task, epoch = epoch.0, "lease ended");
    }
}
