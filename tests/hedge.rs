//! When a running request gets a second run: overdue, before its ingress stops, or not at all.

use std::time::{Duration, Instant};

use jayreach::decide::hedge::{HedgeReason, IngressStop, OpenRun};
use rstest::rstest;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A run with 20 seconds left whose class aims for 6 seconds.
fn open_run(started_at: Instant, mean_ms: Option<u64>) -> OpenRun {
    OpenRun { started_at, mean: mean_ms.map(ms), target_latency: ms(6_000), deadline: started_at + ms(20_000) }
}

fn soon(_: Instant) -> IngressStop {
    IngressStop::Soon(ms(5_500))
}

fn in_8_s(start: Instant) -> IngressStop {
    IngressStop::AnswersBy(start + ms(8_000))
}

fn in_30_s(start: Instant) -> IngressStop {
    IngressStop::AnswersBy(start + ms(30_000))
}

fn not_expected(_: Instant) -> IngressStop {
    IngressStop::NotExpected
}

#[rstest]
#[case::overdue(Some(500), not_expected, Some((2_300, HedgeReason::Overdue)))]
#[case::overdue_after_the_target_latency(Some(2_000), not_expected, Some((8_300, HedgeReason::Overdue)))]
#[case::overdue_too_late(Some(6_000), not_expected, None)]
#[case::of_unknown_length(None, not_expected, None)]
#[case::short_before_a_stop_soon(Some(100), soon, Some((700, HedgeReason::Overdue)))]
#[case::medium_before_a_stop_soon(Some(1_400), soon, Some((5_900, HedgeReason::Overdue)))]
#[case::long_before_a_stop_soon(Some(2_400), soon, Some((2_400, HedgeReason::IngressStops)))]
#[case::of_unknown_length_before_a_stop_soon(None, soon, None)]
#[case::medium_before_a_stop(Some(1_800), in_8_s, Some((3_400, HedgeReason::IngressStops)))]
#[case::long_before_a_stop(Some(4_000), in_8_s, Some((2_000, HedgeReason::IngressStops)))]
#[case::too_long_before_a_stop(Some(9_000), in_8_s, None)]
#[case::of_unknown_length_before_a_stop(None, in_8_s, Some((3_000, HedgeReason::IngressStops)))]
#[case::ends_before_the_stop(Some(4_000), in_30_s, Some((16_300, HedgeReason::Overdue)))]
fn a_hedge_comes_when_its_run_can_still_end_in_time(
    #[case] mean_ms: Option<u64>,
    #[case] stop: fn(Instant) -> IngressStop,
    #[case] expected: Option<(u64, HedgeReason)>,
) {
    let start = Instant::now();

    let due = open_run(start, mean_ms).hedge_at(stop(start));

    assert_eq!(due, expected.map(|(after, reason)| (start + ms(after), reason)));
}

#[rstest]
#[case::without_a_stop(not_expected, 19_000)]
#[case::before_a_stop_soon(soon, 19_000)]
#[case::before_a_stop(in_8_s, 7_000)]
#[case::before_a_stop_after_the_deadline(in_30_s, 19_000)]
fn a_hedge_starts_only_while_a_short_run_still_ends_in_time(
    #[case] stop: fn(Instant) -> IngressStop,
    #[case] expected_ms: u64,
) {
    let start = Instant::now();

    let latest = open_run(start, Some(2_000)).latest_second_start(stop(start));

    assert_eq!(latest, start + ms(expected_ms));
}
