//! Plans: how they read, and how often they strike.

use super::*;

#[test]
fn a_plan_reads_and_strikes_as_often_as_it_says_and_the_same_way_each_time() {
    let text = "seed = 7\n[[rule]]\ncall = \"read\"\none_in = 4\nfault = { short = 3 }\n\
                [[rule]]\ncall = \"accept\"\none_in = 1\nfault = \"EMFILE\"\n";
    let plan = Plan::read(text).unwrap();
    let struck = (0..10_000)
        .filter(|n| plan.draw(Call::Read, *n) == Some(Fault::Short(3)))
        .count();
    assert!((2_200..2_800).contains(&struck), "{struck}");
    assert_eq!(plan.draw(Call::Accept, 5), Some(Fault::Emfile));
    assert_eq!(plan.draw(Call::Write, 5), None);
    assert_eq!(plan, Plan::read(text).unwrap());
}

#[test]
fn a_plan_that_is_wrong_names_the_line() {
    let wrong =
        Plan::read("[[rule]]\ncall = \"read\"\none_in = 1\nfault = \"EWHAT\"\n").unwrap_err();
    assert!(wrong.contains("line 4"), "{wrong}");
}
