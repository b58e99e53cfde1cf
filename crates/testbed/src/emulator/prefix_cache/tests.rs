use super::*;

#[test]
fn evicts_the_least_recently_used_prefix_first() {
    let mut cache = PrefixCache::default();
    (0..4).for_each(|prefix_id| cache.insert(prefix_id, 100));
    assert_eq!(cache.lookup(0), 100);
    cache.evict_down_to(250);
    assert_eq!(
        (0..4)
            .map(|prefix_id| cache.lookup(prefix_id))
            .collect::<Vec<_>>(),
        [100, 0, 0, 100]
    );
    assert_eq!(cache.cached_tokens, 200);
    for n in 0..100_000 {
        cache.insert(n % 2, 10);
    }
    assert!(cache.uses.len() < 200);
}
