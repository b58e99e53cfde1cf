//! Tests of the state transitions of the endpoint list watcher.

use super::PollMode::{Immediate, Long, Short};
use super::WatcherEvent::{
    Disabled, DispatcherEnded, ListReceived, PauseEnded, PollDropped, Refused, ResponseIncomplete,
    Restored, Started, TimedOut,
};
use super::WatcherState::{Idle, Paused, Polling, Stopped};
use super::{WatcherEvent, WatcherState};
use poppykeel_scheduler::EndpointListMode;

const EVENTS: [WatcherEvent; 10] = [
    Restored,
    ResponseIncomplete,
    Started,
    Disabled,
    PollDropped,
    ListReceived,
    Refused,
    TimedOut,
    PauseEnded,
    DispatcherEnded,
];

fn states() -> Vec<WatcherState> {
    let mut states = vec![Stopped];
    for mode in [Long, Short, Immediate] {
        states.extend([Idle(mode), Polling(mode), Paused(mode)]);
    }
    states
}

/// The table of the module documentation; `None` if the event leaves the state unchanged.
fn listed_transition(
    state: WatcherState,
    event: WatcherEvent,
    list_mode: EndpointListMode,
) -> Option<WatcherState> {
    let is_pushed = list_mode == EndpointListMode::Pushed;
    match (state, event) {
        (Idle(mode), Started) => Some(Polling(mode)),
        (Polling(_), ListReceived) => Some(Polling(Long)),
        (Polling(mode), Disabled) => Some(Idle(mode)),
        (Polling(_), Refused) if is_pushed => Some(Paused(Short)),
        (Polling(_), Refused) => Some(Idle(Short)),
        (Idle(_), Restored) => Some(Idle(Immediate)),
        (Polling(_), PollDropped) => Some(Polling(Immediate)),
        (Polling(Long | Short), TimedOut | ResponseIncomplete) => Some(Polling(Immediate)),
        (Polling(Immediate), TimedOut | ResponseIncomplete) if is_pushed => Some(Paused(Immediate)),
        (Polling(Immediate), TimedOut | ResponseIncomplete) => Some(Idle(Immediate)),
        (Paused(mode), PauseEnded | PollDropped) => Some(Polling(mode)),
        (_, DispatcherEnded) => Some(Stopped),
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
fn only_pushed_lists_are_polled_again_without_a_request() {
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
