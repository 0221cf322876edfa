//! The stages of a graceful shutdown, for several lengths of the grace.

use std::time::{Duration, Instant};

use jayreach::decide::shutdown::{Shutdown, ShutdownStage};
use rstest::rstest;

const STEP: Duration = Duration::from_millis(100);

/// Advances a shutdown every 100 ms until it is done; `busy` and `sigterm` get the time since the first SIGTERM.
/// Returns the stages with the times at which they began.
fn run_shutdown(
    grace: Duration,
    busy: impl Fn(Duration) -> bool,
    sigterm: impl Fn(Duration) -> bool,
) -> Vec<(ShutdownStage, Duration)> {
    let start = Instant::now();
    let mut shutdown = Shutdown::new(start, grace);
    let mut stages = vec![(shutdown.stage(), Duration::ZERO)];
    for at in 1..1_000 {
        let elapsed = STEP * at;
        if sigterm(elapsed) {
            shutdown.extend_grace(start + elapsed);
        }
        let stage = shutdown.advance(start + elapsed, busy(elapsed));
        if stages.last().expect("it has an initial stage").0 != stage {
            stages.push((stage, elapsed));
        }
        if stage == ShutdownStage::Done {
            break;
        }
    }
    stages
}

fn start_of(stages: &[(ShutdownStage, Duration)], stage: ShutdownStage) -> Option<Duration> {
    stages.iter().find(|it| it.0 == stage).map(|it| it.1)
}

fn never(_: Duration) -> bool {
    false
}

/// The proxy is idle at 3.2 s, and its guard starts a request at 4 s if it still accepts any: the process must not exit
/// before that request ends.
#[rstest]
#[case(10)]
#[case(30)]
fn an_idle_moment_does_not_end_the_process_while_requests_are_accepted(#[case] grace_s: u64) {
    let grace = Duration::from_secs(grace_s);
    let run = Duration::from_millis(4_000)..Duration::from_millis(6_500);
    // The request is accepted only if the hand-over stage lasts beyond 4 s.
    let idle = run_shutdown(grace, never, never);
    let accepted = start_of(&idle, ShutdownStage::Finishing).expect("it has a finishing stage") > run.start;
    let busy = |it: Duration| it < Duration::from_millis(3_000) || (accepted && run.contains(&it));

    let stages = run_shutdown(grace, busy, never);

    let finishing = start_of(&stages, ShutdownStage::Finishing).expect("it has a finishing stage");
    let done = start_of(&stages, ShutdownStage::Done).expect("it ends within the steps");
    assert!(finishing < done, "{stages:?}");
    assert!(!accepted || done >= run.end, "{stages:?}");
    assert!(accepted || finishing <= run.start, "the request at 4 s was refused: {stages:?}");
}

#[rstest]
#[case(1)]
#[case(6)]
#[case(10)]
#[case(30)]
fn it_ends_within_the_grace_and_only_after_refusing_requests(#[case] grace_s: u64) {
    let grace = Duration::from_secs(grace_s);

    for busy_for_ms in (0..20_000).step_by(500) {
        let busy_for = Duration::from_millis(busy_for_ms);
        let stages = run_shutdown(grace, |it| it < busy_for, never);

        let done = start_of(&stages, ShutdownStage::Done).expect("it ends within the steps");
        assert!(done <= grace, "{busy_for:?}: {stages:?}");
        let cut_off = busy_for > done;
        assert!(!cut_off || done + Duration::from_millis(500) >= grace, "{busy_for:?}: {stages:?}");
        let finishing = start_of(&stages, ShutdownStage::Finishing);
        assert!(finishing.is_some_and(|it| it < done), "{busy_for:?}: {stages:?}");
    }
}

#[test]
fn a_second_sigterm_restarts_the_grace_and_accepts_no_further_requests() {
    let grace = Duration::from_secs(6);
    let busy = |it: Duration| it < Duration::from_millis(7_900);

    let stages = run_shutdown(grace, busy, |it| it == Duration::from_secs(2));

    assert_eq!(start_of(&stages, ShutdownStage::Finishing), Some(Duration::from_millis(2_700)));
    assert_eq!(
        start_of(&stages, ShutdownStage::Done),
        Some(Duration::from_millis(7_700)),
        "the new grace less the time for final answers"
    );
}
