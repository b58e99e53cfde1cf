//! Plans: how they are parsed, and how often calls fail.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use super::{CallFault, FaultPlan, SystemCall};

#[test]
fn calls_fail_as_often_as_the_plan_says_and_the_same_way_each_time() {
    let text = "seed = 7\n[[rule]]\ncall = \"read\"\none_in = 4\nfault = { short = 3 }\n\
                [[rule]]\ncall = \"accept\"\none_in = 1\nfault = \"EMFILE\"\n";
    let plan = FaultPlan::parse(text).unwrap();
    let fault_count = (0..10_000)
        .filter(|number| plan.fault_for(SystemCall::Read, *number) == Some(CallFault::Short(3)))
        .count();
    assert!((2_200..2_800).contains(&fault_count), "{fault_count}");
    assert_eq!(
        plan.fault_for(SystemCall::Accept, 5),
        Some(CallFault::Emfile)
    );
    assert_eq!(plan.fault_for(SystemCall::Write, 5), None);
    assert_eq!(plan, FaultPlan::parse(text).unwrap());
}

#[test]
fn names_the_line_of_a_bad_plan() {
    let error = FaultPlan::parse("[[rule]]\ncall = \"read\"\none_in = 1\nfault = \"EWHAT\"\n")
        .unwrap_err()
        .to_string();
    assert!(error.contains("line 4"), "{error}");
}
