use super::*;

#[test]
fn pops_events_of_the_same_time_in_scheduling_order() {
    let mut queue = EventQueue::default();
    for n in 0..100 {
        queue.schedule(if n % 2 == 0 { 5 } else { 3 }, n);
    }
    let order: Vec<i32> = std::iter::from_fn(|| queue.pop())
        .map(|(_, event)| event)
        .collect();
    let expected: Vec<i32> = (0..100)
        .filter(|n| n % 2 == 1)
        .chain((0..100).filter(|n| n % 2 == 0))
        .collect();
    assert_eq!(order, expected);
    queue.schedule(1, 0);
    assert_eq!(queue.pop(), Some((5, 0)), "the clock must not go backwards");
}
