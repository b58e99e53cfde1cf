//! The transitions of the watcher of discovery's endpoint list.

use super::PollMode::{Immediate, Long, Short};
use super::WatcherEvent::{
    AnswerIncomplete, Answered, Disabled, DispatcherGone, PauseEnded, PollDropped, Refused,
    Restored, Started, TimedOut,
};
use super::WatcherState::{Idle, Paused, Polling, Stopped};
use super::{WatcherEvent, WatcherState};
use poppykeel_scheduler::EndpointListMode;

const EVENTS: [WatcherEvent; 10] = [
    Restored,
    AnswerIncomplete,
    Started,
    Disabled,
    PollDropped,
    Answered,
    Refused,
    TimedOut,
    PauseEnded,
    DispatcherGone,
];

fn states() -> Vec<WatcherState> {
    let mut states = vec![Stopped];
    for mode in [Long, Short, Immediate] {
        states.extend([Idle(mode), Polling(mode), Paused(mode)]);
    }
    states
}

/// The table of the module's documentation; `None` if an event leaves the state as it is.
fn listed_transition(
    state: WatcherState,
    event: WatcherEvent,
    list_mode: EndpointListMode,
) -> Option<WatcherState> {
    let is_pushed = list_mode == EndpointListMode::Pushed;
    match (state, event) {
        (Idle(mode), Started) => Some(Polling(mode)),
        (Polling(_), Answered) => Some(Polling(Long)),
        (Polling(mode), Disabled) => Some(Idle(mode)),
        (Polling(_), Refused) if is_pushed => Some(Paused(Short)),
        (Polling(_), Refused) => Some(Idle(Short)),
        (Idle(_), Restored) => Some(Idle(Immediate)),
        (Polling(_), PollDropped) => Some(Polling(Immediate)),
        (Polling(Long | Short), TimedOut | AnswerIncomplete) => Some(Polling(Immediate)),
        (Polling(Immediate), TimedOut | AnswerIncomplete) if is_pushed => Some(Paused(Immediate)),
        (Polling(Immediate), TimedOut | AnswerIncomplete) => Some(Idle(Immediate)),
        (Paused(mode), PauseEnded | PollDropped) => Some(Polling(mode)),
        (_, DispatcherGone) => Some(Stopped),
        _ => None,
    }
}

#[test]
fn transitions_follow_the_documented_table() {
    for list_mode in [EndpointListMode::Polled, EndpointListMode::Pushed] {
        for state in states() {
            for event in EVENTS {
                let expected = listed_transition(state, event, list_mode).unwrap_or(state);
                assert_eq!(
                    state.after(event, list_mode),
                    expected,
                    "{state:?} after {event:?}, {list_mode:?}"
                );
            }
        }
    }
}

#[test]
fn polling_again_by_itself_is_for_pushed_lists_only() {
    for mode in [Long, Short, Immediate] {
        let polled = Polling(mode).after(Refused, EndpointListMode::Polled);
        assert!(!polled.is_started(), "{polled:?}");
        let pushed = Polling(mode).after(Refused, EndpointListMode::Pushed);
        assert!(pushed.is_started(), "{pushed:?}");
    }
}

#[test]
fn stopped_watcher_never_starts_again() {
    for list_mode in [EndpointListMode::Polled, EndpointListMode::Pushed] {
        for event in EVENTS {
            assert_eq!(Stopped.after(event, list_mode), Stopped);
        }
    }
    assert!(Stopped.is_started());
}
