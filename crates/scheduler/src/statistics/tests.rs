//! Unit tests of running means and rates.

use super::{DecayingRate, RunningMean, TrafficStatistics};

#[test]
fn running_mean_is_limited_to_its_number_of_samples() {
    let mut mean = RunningMean::default();
    for _ in 0..4 {
        mean.record(1.0, 4.0);
    }
    assert_eq!(mean.shrunk(0.0), 1.0);
    assert_eq!(mean.shrunk(4.0), 0.5);
    mean.record(5.0, 4.0);
    assert_eq!(mean.shrunk(0.0), 2.0);
}

#[test]
fn rate_decays_with_its_time_constant() {
    let mut rate = DecayingRate::new(2.0);
    rate.record(10.0, 4.0);
    assert_eq!(rate.per_second(10.0), 2.0);
    assert!((rate.per_second(12.0) - 2.0 / std::f64::consts::E).abs() < 1e-12);
}

#[test]
fn effect_of_implausible_declared_work_is_bounded() {
    let mut traffic = TrafficStatistics::new();
    assert_eq!(traffic.record_arrival(1000.0, Some(1.0)), 1000.0);
    assert_eq!(traffic.record_arrival(1000.0, Some(1e9)), 4000.0);
    assert_eq!(traffic.record_arrival(1000.0, Some(f64::NAN)), 1000.0);
    assert_eq!(traffic.record_arrival(1000.0, Some(-1.0)), 1000.0);
    assert_eq!(traffic.requests_seen(), 4);
}
