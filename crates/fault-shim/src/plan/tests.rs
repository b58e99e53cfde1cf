//! Tests of parsing plans and of fault rates.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use super::{CallFault, FaultPlan, SystemCall};

#[test]
fn faults_have_the_planned_rate_and_are_reproducible() {
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
fn parse_error_contains_the_line() {
    let error = FaultPlan::parse("[[rule]]\ncall = \"read\"\none_in = 1\nfault = \"EWHAT\"\n")
        .unwrap_err()
        .to_string();
    assert!(error.contains("line 4"), "{error}");
}
