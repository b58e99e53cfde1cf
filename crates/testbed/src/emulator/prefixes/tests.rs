use super::*;

#[test]
fn what_was_used_longest_ago_goes_first() {
    let mut kept = PrefixCache::default();
    (0..4).for_each(|n| kept.keep(n, 100));
    assert_eq!(kept.used(0), 100);
    kept.shrink(250);
    assert_eq!(
        (0..4).map(|n| kept.used(n)).collect::<Vec<_>>(),
        [100, 0, 0, 100]
    );
    assert_eq!(kept.tokens, 200);
    for n in 0..100_000 {
        kept.keep(n % 2, 10);
    }
    assert!(kept.uses.len() < 200);
}
