use super::*;

#[test]
fn ties_leave_in_the_order_they_came() {
    let mut queue = EventQueue::default();
    for n in 0..100 {
        queue.put(if n % 2 == 0 { 5 } else { 3 }, n);
    }
    let order: Vec<i32> = std::iter::from_fn(|| queue.take()).map(|e| e.1).collect();
    let wanted: Vec<i32> = (0..100)
        .filter(|n| n % 2 == 1)
        .chain((0..100).filter(|n| n % 2 == 0))
        .collect();
    assert_eq!(order, wanted);
    queue.put(1, 0);
    assert_eq!(queue.take(), Some((5, 0)), "time does not run backwards");
}
