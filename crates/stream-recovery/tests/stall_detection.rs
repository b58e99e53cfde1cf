//! Tests of silence limits and stream states, with simulated events and time.

mod support;

use poppykeel_stream_recovery::{
    GapHistogram, StallCause, StallDetector, StallLimits, StreamLimits, StreamState,
};
use support::SECOND;

const LIMITS: StreamLimits = StreamLimits {
    silence: 3 * SECOND,
    event_gap: 4 * SECOND,
};

fn record_many(gaps: &mut GapHistogram, count: usize, gap: u64) {
    for _ in 0..count {
        gaps.record(gap);
    }
}

#[test]
fn silence_limit_follows_the_gaps_of_the_replica_within_its_bounds() {
    let limits = StallLimits {
        min_silence: SECOND,
        max_silence: 5 * SECOND,
        objective_factor: 20.0,
        long_gap_factor: 2.0,
    };
    let mut gaps = GapHistogram::default();
    assert_eq!(gaps.silence_limit(None, &limits), SECOND);
    assert_eq!(gaps.silence_limit(Some(100_000), &limits), 2 * SECOND);
    record_many(&mut gaps, 500, 40_000);
    assert_eq!(gaps.silence_limit(None, &limits), SECOND);
    // A slow but healthy replica: one gap in ten lasts 1.5 s.
    for n in 0..500 {
        gaps.record(if n % 10 == 0 { 1_500_000 } else { 100_000 });
    }
    let limit = gaps.silence_limit(None, &limits);
    assert!((3 * SECOND..4 * SECOND).contains(&limit), "{limit}");
    record_many(&mut gaps, 500, 20 * SECOND);
    assert_eq!(gaps.silence_limit(None, &limits), 5 * SECOND);
    // Old gaps lose their weight.
    record_many(&mut gaps, 20_000, 40_000);
    assert_eq!(gaps.silence_limit(None, &limits), SECOND);
}

#[test]
fn silence_limit_grows_after_streams_were_abandoned_too_early() {
    let limits = StallLimits {
        min_silence: 3 * SECOND,
        max_silence: 5 * SECOND,
        objective_factor: 0.0,
        long_gap_factor: 1.5,
    };
    let mut gaps = GapHistogram::default();
    record_many(&mut gaps, 300, 20_000);
    let mut abandoned = 0;
    while gaps.silence_limit(None, &limits) <= 3 * SECOND {
        gaps.record_abandoned(3 * SECOND);
        abandoned += 1;
        assert!(
            abandoned < 5,
            "the limit has not grown after {abandoned} abandoned streams"
        );
    }
}

#[test]
fn state_depends_on_events_and_time() {
    let mut detector = StallDetector::new(0, LIMITS, Some(SECOND / 2));
    assert_eq!(detector.state(0), StreamState::Flowing);
    assert_eq!(detector.stall_deadline(), Some(3 * SECOND));
    assert_eq!(detector.state(SECOND), StreamState::Slow);
    assert_eq!(detector.record_event(SECOND), Some(SECOND));
    assert_eq!(detector.state(SECOND), StreamState::Slow);
    detector.record_event(SECOND + 1000);
    assert_eq!(detector.state(SECOND + 1000), StreamState::Flowing);
    assert_eq!(detector.state(5 * SECOND), StreamState::Stalled);
}

#[test]
fn blocked_client_causes_neither_a_stall_nor_a_gap() {
    let mut detector = StallDetector::new(0, LIMITS, Some(SECOND / 2));
    detector.record_event(SECOND);
    detector.record_event(SECOND + 1000);
    detector.client_blocked(2 * SECOND);
    assert_eq!(detector.state(90 * SECOND), StreamState::ClientSlow);
    assert_eq!(detector.stall_deadline(), None);
    assert_eq!(detector.record_event(80 * SECOND), None);
    detector.client_resumed(90 * SECOND);
    assert_eq!(detector.state(91 * SECOND), StreamState::Slow);
    assert_eq!(detector.stall_deadline(), Some(93 * SECOND));
}

#[test]
fn ended_stream_cannot_stall() {
    let mut broken = StallDetector::new(0, LIMITS, None);
    let mut completed = broken.clone();
    broken.record_end(false);
    completed.record_end(true);
    assert_eq!(broken.state(95 * SECOND), StreamState::Broken);
    assert_eq!(completed.state(95 * SECOND), StreamState::Completed);
    assert_eq!(completed.stall_deadline(), None);
    assert_eq!(completed.record_event(96 * SECOND), None);
}

#[test]
fn bytes_without_an_event_delay_a_stall_only_to_the_event_limit() {
    let mut detector = StallDetector::new(0, LIMITS, None);
    for tenth in 1..40 {
        detector.record_bytes(tenth * SECOND / 10);
        assert_eq!(detector.stall_cause(tenth * SECOND / 10), None);
    }
    assert_eq!(detector.stall_deadline(), Some(4 * SECOND));
    assert_eq!(detector.stall_cause(4 * SECOND), Some(StallCause::NoEvent));
    assert_eq!(detector.state(4 * SECOND), StreamState::Stalled);
    detector.record_event(4 * SECOND);
    assert_eq!(detector.stall_deadline(), Some(7 * SECOND));
    let limit = LIMITS.silence;
    let silence = Some(StallCause::Silence { limit });
    assert_eq!(detector.stall_cause(7 * SECOND), silence);
}

#[test]
fn client_that_blocks_again_and_again_stops_the_event_limit_only_meanwhile() {
    let mut detector = StallDetector::new(0, LIMITS, None);
    // Blocked for half of the time: the limit is reached after twice as long.
    let mut now = 0;
    while detector.stall_cause(now).is_none() {
        detector.client_blocked(now);
        now += SECOND / 10;
        detector.client_resumed(now);
        now += SECOND / 10;
        detector.record_bytes(now);
        assert!(now <= 8 * SECOND, "no stall after {now} us");
    }
    assert_eq!(now, 8 * SECOND);
}

#[test]
fn event_limit_is_below_the_patience_of_clients_unless_the_settings_allow_a_longer_silence() {
    let patience = 5 * SECOND;
    let mut limits = StallLimits::default();
    assert!(limits.max_event_gap() < patience);
    limits.max_silence = SECOND;
    assert!((SECOND..patience).contains(&limits.max_event_gap()));
    limits.max_silence = 20 * SECOND;
    assert_eq!(limits.max_event_gap(), 20 * SECOND);
}
