//! Unit tests of rendezvous scores, which must not change between versions: sessions would move to other replicas.

use super::{address_key, score};
use crate::types::ReplicaId;

fn key(address: &str) -> u64 {
    address_key(ReplicaId(address.parse().unwrap()))
}

#[test]
fn scores_are_stable_across_versions() {
    let v4 = key("10.0.0.1:80");
    let v6 = key("[2001:db8::15]:8015");
    let scores = [
        score(7, v4, 1.0),
        score(7, v6, 1.0),
        score(u64::MAX, v4, 0.25),
    ];
    assert_eq!(v4, 11_259_323_034_601_094_266);
    assert_eq!(v6, 17_201_041_147_425_795_415);
    assert_eq!(scores, [277_277, 230_366, 6_684_941]);
}

#[test]
fn replica_of_twice_the_weight_is_first_twice_as_often() {
    let large = key("10.0.0.1:80");
    let small = key("10.0.0.2:80");
    let is_large_first = |session: &u64| score(*session, large, 2.0) < score(*session, small, 1.0);
    let count = (0..3000).filter(is_large_first).count();
    assert!((1900..2100).contains(&count), "{count} of 3000");
}
