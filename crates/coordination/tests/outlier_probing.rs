//! Trials by one node for all: what is advised, and when advice is passed over.

use poppykeel_coordination::outlier_probing::{Charge, Message, Own, Standing};

const SECOND: u64 = 1_000_000;

fn ejected(_: &str) -> bool {
    true
}

fn verdicts(charge: &mut Charge, standing: Option<Standing>, now: u64) -> Vec<(String, bool)> {
    match charge.verdicts(|_| standing, now, SECOND) {
        Message::Verdicts(7, verdicts) => verdicts,
        other => panic!("{other:?}"),
    }
}

#[test]
fn the_one_in_charge_says_what_it_tries_and_what_it_found_well() {
    let mut charge = Charge::new(7);
    charge.reported(vec!["a".into()], SECOND);
    let bad = Standing {
        ejected: true,
        well_since: None,
    };
    assert_eq!(
        verdicts(&mut charge, Some(bad), SECOND),
        [("a".to_string(), false)]
    );
    // An answer from before the report proves nothing, one after it does.
    let old = Standing {
        ejected: false,
        well_since: Some(SECOND / 2),
    };
    assert_eq!(verdicts(&mut charge, Some(old), SECOND), []);
    let new = Standing {
        ejected: false,
        well_since: Some(SECOND + 1),
    };
    assert_eq!(
        verdicts(&mut charge, Some(new), SECOND + 2),
        [("a".to_string(), true)]
    );
    // A server that is not on the list here gets no verdict, and one that nobody speaks of is forgotten.
    assert_eq!(verdicts(&mut charge, None, SECOND + 2), []);
    assert_eq!(verdicts(&mut charge, Some(new), 3 * SECOND), []);
}

#[test]
fn advice_that_proved_wrong_is_passed_over_for_a_while() {
    let mut own = Own::default();
    let well = || vec![("a".to_string(), true)];
    let doubt = 10 * SECOND;
    assert_eq!(own.told(1, well(), ejected, SECOND, doubt), well());
    // It is ejected here again: the path from here may be what is bad.
    assert_eq!(own.told(1, well(), ejected, 2 * SECOND, doubt), []);
    assert_eq!(
        own.told(
            1,
            vec![("a".to_string(), false)],
            ejected,
            3 * SECOND,
            doubt
        ),
        []
    );
    assert_eq!(own.told(1, well(), ejected, 13 * SECOND, doubt), well());
}

#[test]
fn advice_of_an_earlier_epoch_and_on_servers_not_ejected_here_is_dropped() {
    let mut own = Own::default();
    let well = || vec![("a".to_string(), true)];
    assert_eq!(own.told(2, well(), |_| false, SECOND, SECOND), []);
    assert_eq!(own.told(1, well(), ejected, SECOND, SECOND), []);
    assert_eq!(own.told(2, well(), ejected, SECOND, SECOND), well());
}
