//! The states of the watcher of discovery's endpoint list, apart from its sockets and timers.
//!
//! | state | event | next state |
//! | --- | --- | --- |
//! | `Idle(mode)` | `Started` | `Polling(mode)` |
//! | `Polling(_)` | `Answered` | `Polling(Long)` |
//! | `Idle(_)` | `Restored` | `Idle(Immediate)` |
//! | `Polling(_)` | `PollDropped` | `Polling(Immediate)` |
//! | `Polling(mode)` | `Disabled` | `Idle(mode)` |
//! | `Polling(_)` | `Refused` | on request `Idle(Short)`, pushed `Paused(Short)` |
//! | `Polling(Long)`, `Polling(Short)` | `TimedOut`, `AnswerIncomplete` | `Polling(Immediate)` |
//! | `Polling(Immediate)` | `TimedOut`, `AnswerIncomplete` | on request `Idle(Immediate)`, pushed `Paused(Immediate)` |
//! | `Paused(mode)` | `PauseEnded`, `PollDropped` | `Polling(mode)` |
//! | any | `DispatcherGone` | `Stopped` |
//!
//! Every other event leaves the state as it is. Two rules stand behind the table:
//!
//! * A refusal ends the polling, and the scheduler says when to start again: nodes whose polls a failed service has
//!   reset together must not come back together. Where lists are pushed, the service is an agent on the node's own
//!   machine, which answers at no cost: the watcher polls again by itself after a short pause.
//! * A poll without an answer in time is repeated at once, but only once: the service may well be there, and the
//!   connection alone be broken. The new poll does not wait at the service, so a second silence shows soon.

use poppykeel_scheduler::EndpointListMode;

/// How long the next poll waits at the service. It follows from how the previous poll ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum PollMode {
    /// After an answer: the poll waits until there is a newer list.
    #[default]
    Long,
    /// After a refusal: the poll waits for a short time. A service that has just come back has every node to answer.
    Short,
    /// After a poll without a complete answer, for a restored list and at another service: the poll does not wait, so it
    /// shows at once whether anybody answers, and the list is confirmed soon.
    Immediate,
}

/// The state of a watcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WatcherState {
    /// Nothing runs until the watcher is started; its first poll will be of this mode.
    Idle(PollMode),
    /// A poll of this mode is under way.
    Polling(PollMode),
    /// A pushed list could not be had; a poll of this mode follows after a pause.
    Paused(PollMode),
    /// Nobody takes updates any more. The watcher does not start again.
    Stopped,
}

/// What happens to a watcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WatcherEvent {
    /// The list was restored from an earlier process.
    Restored,
    /// The list is to be watched.
    Started,
    /// The list is no source of this node any more.
    Disabled,
    /// The poll that is under way is dropped: the service has another address, or its answer may be out of date.
    PollDropped,
    /// The service has answered with a list.
    Answered,
    /// The connection was refused or reset, or the service has answered that it has no list.
    Refused,
    /// An answer began and did not come to its end, or is no list.
    AnswerIncomplete,
    /// No complete answer came in time.
    TimedOut,
    /// The pause after a failed poll is over.
    PauseEnded,
    /// The dispatcher takes no updates any more.
    DispatcherGone,
}

impl Default for WatcherState {
    fn default() -> Self {
        WatcherState::Idle(PollMode::default())
    }
}

impl WatcherState {
    /// Whether a task watches the list, or has stopped for good: the watcher must not be started.
    pub(super) fn is_started(self) -> bool {
        !matches!(self, WatcherState::Idle(_))
    }

    /// The state after an event, by the table of this module.
    pub(super) fn after(self, event: WatcherEvent, list_mode: EndpointListMode) -> WatcherState {
        use WatcherState::{Idle, Paused, Polling, Stopped};
        let failed = |mode: PollMode| match list_mode {
            EndpointListMode::Polled => Idle(mode),
            EndpointListMode::Pushed => Paused(mode),
        };
        match (self, event) {
            (_, WatcherEvent::DispatcherGone) => Stopped,
            (Polling(_), WatcherEvent::Answered) => Polling(PollMode::Long),
            (Polling(mode), WatcherEvent::Disabled) => Idle(mode),
            (Polling(_), WatcherEvent::Refused) => failed(PollMode::Short),
            (
                Polling(PollMode::Immediate),
                WatcherEvent::TimedOut | WatcherEvent::AnswerIncomplete,
            ) => failed(PollMode::Immediate),
            (
                Polling(_),
                WatcherEvent::TimedOut | WatcherEvent::AnswerIncomplete | WatcherEvent::PollDropped,
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
