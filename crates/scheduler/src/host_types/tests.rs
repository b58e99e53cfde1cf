//! Unit tests of the statistics by host type.

use super::HostTypeStatistics;

#[test]
fn unknown_host_type_has_defaults() {
    let host_types = HostTypeStatistics::new();
    assert_eq!(host_types.relative_prefill_time(3), 1.0);
    assert_eq!(host_types.batch_size(3), 16.0);
    assert_eq!(host_types.service_time(3), 1.0);
}

#[test]
fn prefill_time_is_learned_for_each_host_type_separately() {
    let mut host_types = HostTypeStatistics::new();
    for _ in 0..1000 {
        host_types.record_prefill_time(1, 0.001);
    }
    assert!((host_types.relative_prefill_time(1) - 2.0).abs() < 0.05);
    assert_eq!(host_types.relative_prefill_time(0), 1.0);
}

#[test]
fn batch_size_is_inferred_from_reports_with_and_without_a_queue() {
    let mut host_types = HostTypeStatistics::new();
    host_types.infer_batch_size(0, 5.0, 0.0);
    assert_eq!(host_types.batch_size(0), 16.0);
    host_types.infer_batch_size(0, 6.0, 2.0);
    assert_eq!(host_types.batch_size(0), 4.0);
    host_types.infer_batch_size(0, 14.0, 0.0);
    assert_eq!(host_types.batch_size(0), 5.0);
    assert_eq!(host_types.batch_size(7), 5.0);
}
