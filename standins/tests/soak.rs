//! A short soak with a fixed seed: every caller learns the truth while faults come and go.

use std::time::Duration;

use rstest::rstest;
use standins::soak::{self, FAULTS, SoakOptions};

#[rstest]
#[case(1)]
#[case(4)]
fn promises_hold_while_faults_come_and_go(#[case] seed: u64) {
    let duration = Duration::from_secs(25);
    let options = SoakOptions { seed, duration, rate: 60.0, faults: FAULTS.to_vec(), verbose: false };

    let verdict = soak::run(&options).expect("the fleet starts");

    assert!(verdict.passed(), "{verdict}");
}
