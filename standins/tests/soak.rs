//! Short soaks with fixed seeds: reported outcomes match what ran, and the fleet recovers, under random faults.

use std::time::Duration;

use rstest::rstest;
use standins::soak::{self, FAULTS, SoakOptions};

#[rstest]
#[case(1)]
#[case(4)]
fn soak_checks_pass_under_random_faults(#[case] seed: u64) {
    let duration = Duration::from_secs(25);
    let options = SoakOptions { seed, duration, rate: 60.0, faults: FAULTS.to_vec(), verbose: false };

    let report = soak::run(&options).expect("the fleet starts");

    assert!(report.passed(), "{report}");
}
