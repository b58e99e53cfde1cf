//! The event loop: drives [`CoordinationNode`](poppykeel_coordination::node::CoordinationNode) with datagrams, log events
//! and timers.

use super::log_writer::{LogWriteError, LogWriterEvent};
use super::CoordinationDriver;
use poppykeel_coordination::envelope;
use poppykeel_coordination::node::{HeldLease, NodeOutput};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Maximum number of datagrams handled in one iteration, besides the first.
const MAX_EXTRA_DATAGRAMS: usize = 64;
/// Maximum time between two iterations.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);
/// The buffer exceeds the longest valid message by this much, so that longer messages are recognised.
const BUFFER_SLACK_BYTES: usize = 1024;

impl CoordinationDriver {
    /// Runs until the process ends.
    pub(super) async fn run_event_loop(
        self: Rc<Self>,
        mut log_events: mpsc::Receiver<LogWriterEvent>,
    ) {
        let mut buffer = vec![0; envelope::MAX_MESSAGE_BYTES + BUFFER_SLACK_BYTES];
        let mut held_before: Vec<HeldLease> = Vec::new();
        loop {
            // Each branch is cancel-safe: a datagram, event or notification not consumed in this iteration remains for the
            // next one, and the timer is set again. The driver owns the socket; the receiver belongs to this task.
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => {
                    if let Ok((length, _)) = received {
                        self.handle_datagram(&buffer[..length]);
                        self.handle_waiting_datagrams(&mut buffer);
                    }
                }
                event = log_events.recv() => match event {
                    Some(event) => self.handle_log_event(event),
                    None => return,
                },
                () = self.wake.notified() => {}
                () = tokio::time::sleep(self.time_to_deadline()) => {}
            }
            let outputs = self.node.borrow_mut().on_timer(self.clock.now());
            self.execute_outputs(outputs);
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
        for _ in 0..MAX_EXTRA_DATAGRAMS {
            let Ok((length, _)) = self.socket.try_recv_from(buffer) else {
                break;
            };
            self.handle_datagram(&buffer[..length]);
        }
    }

    fn handle_log_event(self: &Rc<Self>, event: LogWriterEvent) {
        match event {
            LogWriterEvent::Durable { write } => {
                let outputs = self.node.borrow_mut().on_log_written(write);
                self.execute_outputs(outputs);
            }
            LogWriterEvent::Failed(error) => self.handle_log_failure(&error),
        }
    }

    /// Stops this process's lease server from answering. Only the first failure is logged.
    fn handle_log_failure(&self, error: &LogWriteError) {
        if !self.node.borrow().has_log_failed() {
            tracing::error!(%error, "the lease server's log failed: the lease server answers no requests until a restart");
        }
        self.node.borrow_mut().on_log_failed();
    }

    /// Executes the outputs of the state machine in order.
    pub(super) fn execute_outputs(self: &Rc<Self>, outputs: Vec<NodeOutput>) {
        for output in outputs {
            match output {
                NodeOutput::WriteLog { write, records } => {
                    let written = match &*self.log_writer.borrow() {
                        Some(writer) => writer.write(write, records),
                        None => Err(LogWriteError::NoFolder),
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
        tracing::info!(
            task,
            epoch = epoch.0,
            "lease no longer held: released or expired"
        );
    }
}
