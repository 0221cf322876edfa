//! The stages of a stop, over the graces that platforms grant.

use std::time::{Duration, Instant};

use jayreach::decide::shutdown::{Shutdown, ShutdownStage};
use rstest::rstest;

const LOOK: Duration = Duration::from_millis(100);

/// Looks every 100 ms whether the stop is done; `busy` and `again` are asked with the time since the SIGTERM. Returns
/// the stages with the times at which they began.
fn play(
    grace: Duration,
    busy: impl Fn(Duration) -> bool,
    again: impl Fn(Duration) -> bool,
) -> Vec<(ShutdownStage, Duration)> {
    let start = Instant::now();
    let mut stop = Shutdown::new(start, grace);
    let mut stages = vec![(stop.stage(), Duration::ZERO)];
    for at in 1..1_000 {
        let passed = LOOK * at;
        if again(passed) {
            stop.extend_grace(start + passed);
        }
        let stage = stop.advance(start + passed, busy(passed));
        if stages.last().expect("it began with one").0 != stage {
            stages.push((stage, passed));
        }
        if stage == ShutdownStage::Done {
            break;
        }
    }
    stages
}

fn began(stages: &[(ShutdownStage, Duration)], stage: ShutdownStage) -> Option<Duration> {
    stages.iter().find(|it| it.0 == stage).map(|it| it.1)
}

fn never(_: Duration) -> bool {
    false
}

/// Idle at 3.2 s, busy again with work that the guard took at 4 s: the process must not end under it.
#[rstest]
#[case(10)]
#[case(30)]
fn an_idle_moment_ends_nothing_while_work_is_taken(#[case] grace_s: u64) {
    let grace = Duration::from_secs(grace_s);
    let worked = Duration::from_millis(4_000)..Duration::from_millis(6_500);
    // Work is taken only if the hand-over goes on at 4 s.
    let idle = play(grace, never, never);
    let taken = began(&idle, ShutdownStage::Finishing).expect("it finishes") > worked.start;
    let busy = |it: Duration| it < Duration::from_millis(3_000) || (taken && worked.contains(&it));

    let stages = play(grace, busy, never);

    let finishing = began(&stages, ShutdownStage::Finishing).expect("no work is taken any more before it is done");
    let done = began(&stages, ShutdownStage::Done).expect("it ends");
    assert!(finishing < done, "{stages:?}");
    assert!(!taken || done >= worked.end, "{stages:?}");
    assert!(taken || finishing <= worked.start, "what came at 4 s was refused: {stages:?}");
}

#[rstest]
#[case(1)]
#[case(6)]
#[case(10)]
#[case(30)]
fn idle_or_not_it_ends_within_the_grace_and_never_from_handing_over(#[case] grace_s: u64) {
    let grace = Duration::from_secs(grace_s);

    for busy_for_ms in (0..20_000).step_by(500) {
        let busy_for = Duration::from_millis(busy_for_ms);
        let stages = play(grace, |it| it < busy_for, never);

        let done = began(&stages, ShutdownStage::Done).expect("it ends");
        assert!(done <= grace, "{busy_for:?}: {stages:?}");
        let cut = busy_for > done;
        assert!(!cut || done + Duration::from_millis(500) >= grace, "{busy_for:?}: {stages:?}");
        let finishing = began(&stages, ShutdownStage::Finishing);
        assert!(finishing.is_some_and(|it| it < done), "{busy_for:?}: {stages:?}");
    }
}

#[test]
fn a_second_sigterm_grants_the_grace_anew_and_takes_no_more_work() {
    let grace = Duration::from_secs(6);
    let busy = |it: Duration| it < Duration::from_millis(7_900);

    let stages = play(grace, busy, |it| it == Duration::from_secs(2));

    assert_eq!(began(&stages, ShutdownStage::Finishing), Some(Duration::from_millis(2_700)));
    assert_eq!(
        began(&stages, ShutdownStage::Done),
        Some(Duration::from_millis(7_700)),
        "the new grace less the last answers"
    );
}
