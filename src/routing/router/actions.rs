//! Carries out the scheduler's actions on requests and attempts.

use super::RequestRouter;
use crate::routing::command::RouterCommand;
use crate::routing::request::{AttemptId, AttemptState};
use crate::routing::time::{duration_micros, MonotonicMicros};
use crate::routing::timers::Timer;
use poppykeel_scheduler::{Action, AttemptOutcome, ReplicaId, RequestId, Seconds};

/// The times by which an attempt must have progressed.
#[derive(Clone, Copy)]
struct AttemptDeadlines {
    /// The attempt times out if its first token has not arrived by this time.
    first_token: MonotonicMicros,
    /// The last byte must be written by this time; `None` for no limit.
    write: Option<MonotonicMicros>,
}

impl RequestRouter {
    /// Carries out one action of the scheduler and appends the resulting commands for the driver.
    pub(super) fn perform_action(
        &mut self,
        now: MonotonicMicros,
        action: &Action,
        commands: &mut Vec<RouterCommand>,
    ) {
        match *action {
            Action::StartAttempt {
                request,
                replica,
                timeout,
                write_timeout,
            } => {
                let deadlines = AttemptDeadlines {
                    first_token: now.saturating_add(duration_micros(timeout)),
                    write: write_timeout
                        .map(|timeout| now.saturating_add(duration_micros(timeout))),
                };
                self.start_attempt(now, request, replica, deadlines, commands);
            }
            Action::Reject {
                request,
                retry_after,
            } => self.reject(request, retry_after, commands),
            Action::Fail { request } => self.fail(request, commands),
            Action::CancelAttempt { request, attempt } => {
                self.cancel_attempt(AttemptId { request, attempt }, commands);
            }
            Action::Probe { replica } => commands.push(RouterCommand::Probe { replica }),
            Action::WatchEndpoints => commands.push(RouterCommand::WatchEndpoints),
            Action::SetTimer { after } => {
                let due_at = now.saturating_add(duration_micros(after));
                self.timers.set(due_at, Timer::SchedulerWakeup);
            }
        }
    }

    /// Starts an attempt. If the request already has a response, the attempt ends at once as not sent.
    fn start_attempt(
        &mut self,
        now: MonotonicMicros,
        id: RequestId,
        replica: ReplicaId,
        deadlines: AttemptDeadlines,
        commands: &mut Vec<RouterCommand>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let deadline = deadlines.first_token;
        let attempt = request.add_attempt(now, deadline);
        let attempt_id = AttemptId {
            request: id,
            attempt,
        };
        if request.has_response() {
            self.end_attempt(attempt_id, AttemptOutcome::NotSent, None);
            return;
        }
        self.statistics.count_attempt();
        self.timers
            .set(deadline, Timer::AttemptDeadline(attempt_id));
        commands.push(RouterCommand::StartAttempt {
            request: id,
            attempt,
            replica,
            deadline,
            write_by: deadlines.write,
        });
    }

    fn reject(&mut self, id: RequestId, retry_after: Seconds, commands: &mut Vec<RouterCommand>) {
        if let Some(class) = self.finish_with_local_response(id) {
            self.statistics.count_rejection(class);
            commands.push(RouterCommand::Reject {
                request: id,
                retry_after: duration_micros(retry_after),
            });
        }
        self.remove_if_finished(id);
    }

    fn fail(&mut self, id: RequestId, commands: &mut Vec<RouterCommand>) {
        if let Some(class) = self.finish_with_local_response(id) {
            self.statistics.count_failure(class);
            commands.push(RouterCommand::Fail { request: id });
        }
        self.remove_if_finished(id);
    }

    /// Abandons an attempt that awaits its first token. A streaming attempt is not cancelled: its stream is the response.
    fn cancel_attempt(&mut self, id: AttemptId, commands: &mut Vec<RouterCommand>) {
        let attempt = self
            .requests
            .get(&id.request)
            .and_then(|request| request.attempt(id.attempt));
        if attempt.is_some_and(|attempt| attempt.state == AttemptState::AwaitingFirstToken) {
            self.abandon_attempt(id, commands);
        }
    }

    /// Finishes a request that gets its response from the node and not from a replica. Returns the request's class, or
    /// `None` if it already has a response.
    fn finish_with_local_response(&mut self, id: RequestId) -> Option<usize> {
        let request = self.requests.get_mut(&id)?;
        if request.has_response() {
            return None;
        }
        request.finish();
        Some(request.class())
    }
}
