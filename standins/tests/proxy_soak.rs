//! Short soaks of real proxies with fixed seeds: the promises hold while faults come and go.

use std::time::Duration;

use rstest::rstest;
use standins::platform::soak::{self, SoakOptions};

/// Seeds that failed stay here, each with a line on its cause. 23 never ended at 15 s: the stand-in's endpoint waited without
/// end for the word of a paused proxy. 865 counted a crash at 13.61 s: a reload met a proxy that had no handler yet.
#[rstest]
#[case(3, 12, false, false)]
#[case(8, 12, false, false)]
#[case(23, 12, false, false)]
#[case(31, 12, true, false)]
#[case(32, 12, true, true)]
#[case(865, 20, false, false)]
fn promises_hold_between_faulty_neighbours(
    #[case] seed: u64,
    #[case] seconds: u64,
    #[case] crashing: bool,
    #[case] restoring: bool,
) {
    let options =
        SoakOptions { seed, duration: Duration::from_secs(seconds), proxies: 6, crashing, restoring, verbose: false };

    let verdict = soak::run(&options).expect("the fleet starts");

    assert!(verdict.passed(), "{verdict}");
}
