use super::*;

#[test]
fn events_of_one_time_leave_in_the_order_they_were_scheduled() {
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
    assert_eq!(queue.pop(), Some((5, 0)), "time does not run backwards");
}
