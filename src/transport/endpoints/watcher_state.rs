//! The state machine of the endpoint list watcher, without sockets and timers.
//!
//! | state | event | next state |
//! | --- | --- | --- |
//! | `Idle(mode)` | `Started` | `Polling(mode)` |
//! | `Polling(_)` | `ListReceived` | `Polling(Long)` |
//! | `Idle(_)` | `Restored` | `Idle(Immediate)` |
//! | `Polling(_)` | `PollDropped` | `Polling(Immediate)` |
//! | `Polling(mode)` | `Disabled` | `Idle(mode)` |
//! | `Polling(_)` | `Refused` | `Idle(Short)`; pushed list: `Paused(Short)` |
//! | `Polling(Long)`, `Polling(Short)` | `TimedOut`, `ResponseIncomplete` | `Polling(Immediate)` |
//! | `Polling(Immediate)` | `TimedOut`, `ResponseIncomplete` | `Idle(Immediate)`; pushed list: `Paused(Immediate)` |
//! | `Paused(mode)` | `PauseEnded`, `PollDropped` | `Polling(mode)` |
//! | any | `DispatcherEnded` | `Stopped` |
//!
//! All other events leave the state unchanged. The reasons for the transitions after a failed poll:
//!
//! * A refusal ends the polling, and the scheduler decides when to start again: nodes whose polls were reset together by
//!   a failed service must not reconnect together. A pushed list comes from an agent on the node's own machine, which
//!   answers at no cost, so the watcher polls it again on its own after a short pause.
//! * A poll without a response in time is repeated at once, but only once: the service may be available and only the
//!   connection broken. The new poll allows the service no delay, so that a second time-out is detected soon.

use poppykeel_scheduler::EndpointListMode;

/// How long the service may delay its answer to the next poll, depending on how the previous poll ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum PollMode {
    /// After a list: the service answers once there is a newer list, or after the longest delay.
    #[default]
    Long,
    /// After a refusal: a short delay, since a service that has just recovered must answer all nodes.
    Short,
    /// After a poll without a complete response, for a restored list and after a change of the service address: no delay, so
    /// that an unavailable service is detected at once and the list is confirmed soon.
    Immediate,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WatcherState {
    /// No task runs. Once started, the watcher begins with a poll of this mode.
    Idle(PollMode),
    /// A poll of this mode is in progress.
    Polling(PollMode),
    /// A poll of a pushed list has failed; a poll of this mode follows after a pause.
    Paused(PollMode),
    /// The dispatcher has ended. The watcher does not start again.
    Stopped,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WatcherEvent {
    /// The list was restored from an earlier process.
    Restored,
    /// The watcher is started.
    Started,
    /// The list is no longer a source of this node.
    Disabled,
    /// The current poll is dropped: the service has another address, or its response may be out of date.
    PollDropped,
    /// The service has responded with a list.
    ListReceived,
    /// The connection was refused or reset, or the service has responded that it has no list.
    Refused,
    /// A response has begun but is incomplete or not a list.
    ResponseIncomplete,
    /// No complete response arrived in time.
    TimedOut,
    /// The pause after a failed poll is over.
    PauseEnded,
    /// The dispatcher has ended.
    DispatcherEnded,
}

impl Default for WatcherState {
    fn default() -> Self {
        WatcherState::Idle(PollMode::default())
    }
}

impl WatcherState {
    /// Whether a task is running, or the watcher has stopped for good: it must not be started again.
    pub(super) fn is_started(self) -> bool {
        !matches!(self, WatcherState::Idle(_))
    }

    /// The state after an event, according to the table in the module documentation.
    pub(super) fn after(self, event: WatcherEvent, list_mode: EndpointListMode) -> WatcherState {
        use WatcherState::{Idle, Paused, Polling, Stopped};
        let failed = |mode: PollMode| match list_mode {
            EndpointListMode::Polled => Idle(mode),
            EndpointListMode::Pushed => Paused(mode),
        };
        match (self, event) {
            (_, WatcherEvent::DispatcherEnded) => Stopped,
            (Polling(_), WatcherEvent::ListReceived) => Polling(PollMode::Long),
            (Polling(mode), WatcherEvent::Disabled) => Idle(mode),
            (Polling(_), WatcherEvent::Refused) => failed(PollMode::Short),
            (
                Polling(PollMode::Immediate),
                WatcherEvent::TimedOut | WatcherEvent::ResponseIncomplete,
            ) => failed(PollMode::Immediate),
            (
                Polling(_),
                WatcherEvent::TimedOut
                | WatcherEvent::ResponseIncomplete
                | WatcherEvent::PollDropped,
            ) => Polling(PollMode::Immediate),
            (Idle(_), WatcherEvent::Restored) => Idle(PollMode::Immediate),
            (Idle(mode), WatcherEvent::Started)
            | (Paused(mode), WatcherEvent::PauseEnded | WatcherEvent::PollDropped) => Polling(mode),
            (unchanged, _) => unchanged,
        }
    }
}

#[cfg(test)]
mod tests;
