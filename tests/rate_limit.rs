//! The rate limit that an endpoint names: in any window, no more requests start than it allows, whatever the order of
//! the answers and however often the guard restarts.

use std::time::{Duration, Instant};

use jayreach::decide::rate_limit::{EndpointLimit, LimitStatement, RequestRate};
use proptest::prelude::*;
use rstest::rstest;

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
/// Length of the windows in which starts are counted.
const WINDOW: Duration = Duration::from_secs(4);

fn rate(per_second: f64) -> RequestRate {
    per_second.try_into().expect("the rate is valid")
}

fn limit(per_second: f64) -> LimitStatement {
    LimitStatement::Limit(rate(per_second))
}

/// A limit that an answer named at `now`.
fn named(per_second: f64, now: Instant) -> EndpointLimit {
    let mut it = EndpointLimit::default();
    it.record_answer(limit(per_second), now, now);
    it
}

/// The highest number of starts in any window.
fn most_in_a_window(starts: &[Instant]) -> usize {
    let in_window = |(at, end): (usize, &Instant)| starts[..=at].iter().filter(|it| **it + WINDOW > *end).count();
    starts.iter().enumerate().map(in_window).max().unwrap_or(0)
}

/// Requests that are always there, for 20 s, at an endpoint with this limit. The guard restarts at `restarts` and
/// learns the limit from the next reservation. Returns when the requests start.
fn simulate(per_second: f64, restarts: &[u64]) -> Vec<Instant> {
    let start = Instant::now();
    let mut endpoint_limit = named(per_second, start);
    let mut starts = Vec::new();
    for millis in 0..20_000 {
        let now = start + MS * millis;
        if restarts.contains(&u64::from(millis)) {
            endpoint_limit = EndpointLimit::default();
            endpoint_limit.record_report(rate(per_second), now);
        }
        if endpoint_limit.allows(now) {
            endpoint_limit.record_start(now);
            starts.push(now);
        }
    }
    starts
}

proptest! {
    #[test]
    fn windows_stay_within_the_limit_over_restarts(
        per_second in 0.05_f64..60.0,
        mut restarts in prop::collection::vec(0_u64..20_000, 0..12),
    ) {
        restarts.sort_unstable();

        let starts = simulate(per_second, &restarts);

        // One start for each restart; more than four within a window are not expected of a process.
        let most_restarts = restarts
            .iter()
            .map(|end| restarts.iter().filter(|it| **it <= *end && end - **it < 4_000).count())
            .max()
            .unwrap_or(0);
        let allowed = 1.5 * WINDOW.as_secs_f64() * per_second + 5.0 + most_restarts.saturating_sub(4) as f64;
        let most = most_in_a_window(&starts);
        prop_assert!(most as f64 <= allowed, "{} starts; allowed {}", most, allowed);
    }

    #[test]
    fn an_endpoint_gets_what_its_limit_allows(per_second in 0.2_f64..60.0) {
        let starts = simulate(per_second, &[]);

        prop_assert!(starts.len() as f64 >= 20.0 * per_second * 0.95 - 1.0, "{} starts at {}", starts.len(), per_second);
    }
}

#[rstest]
#[case::named_again(limit(2.0), Some(2.0))]
#[case::lowered(limit(1.0), Some(1.0))]
#[case::raised(limit(8.0), Some(8.0))]
#[case::no_longer_named(LimitStatement::None, None)]
#[case::malformed(LimitStatement::Unknown, Some(2.0))]
fn the_limit_follows_the_answers(#[case] statement: LimitStatement, #[case] expected: Option<f64>) {
    let start = Instant::now();
    let mut endpoint_limit = named(2.0, start);

    endpoint_limit.record_answer(statement, start + SECOND, start + 2 * SECOND);

    assert_eq!(endpoint_limit.rate().map(f64::from), expected);
}

#[rstest]
#[case::without_a_limit(LimitStatement::None, 2.0)]
#[case::with_a_higher_limit(limit(8.0), 2.0)]
#[case::with_a_lower_limit(limit(1.0), 1.0)]
fn an_answer_to_an_older_request_neither_ends_nor_raises_the_limit(
    #[case] statement: LimitStatement,
    #[case] expected: f64,
) {
    let start = Instant::now();
    let mut endpoint_limit = EndpointLimit::default();
    endpoint_limit.record_answer(limit(2.0), start, start + SECOND);

    endpoint_limit.record_answer(statement, start + 500 * MS, start + 1_001 * MS);

    assert_eq!(endpoint_limit.rate().map(f64::from), Some(expected));
}

#[test]
fn reports_of_other_proxies_count_until_the_endpoint_has_answered() {
    let now = Instant::now();
    let mut endpoint_limit = EndpointLimit::default();

    endpoint_limit.record_report(rate(5.0), now);
    endpoint_limit.record_report(rate(3.0), now);
    endpoint_limit.record_report(rate(4.0), now);

    assert_eq!(endpoint_limit.rate(), Some(rate(3.0)), "the lowest report counts");
    assert_eq!(endpoint_limit.statement(), LimitStatement::Unknown, "a report is not passed on");
    endpoint_limit.record_answer(LimitStatement::None, now, now + MS);
    endpoint_limit.record_report(rate(3.0), now + 2 * MS);
    assert_eq!(endpoint_limit.rate(), None);
}

#[test]
fn a_request_that_was_granted_and_not_sent_does_not_count() {
    let now = Instant::now();
    let mut endpoint_limit = named(1.0, now);
    endpoint_limit.record_start(now);
    assert!(!endpoint_limit.allows(now));

    endpoint_limit.undo_start(now);

    assert!(endpoint_limit.allows(now));
}

#[test]
fn a_limit_of_zero_allows_nothing_until_a_health_check_no_longer_names_it() {
    let start = Instant::now();
    let mut endpoint_limit = named(0.0, start);
    let later = start + Duration::from_secs(60);
    assert!(!endpoint_limit.allows(later));
    assert!(endpoint_limit.needs_health_check());

    endpoint_limit.record_health_check(limit(0.0), later, later);
    assert!(!endpoint_limit.allows(later));
    endpoint_limit.record_health_check(LimitStatement::None, later, later);

    assert!(endpoint_limit.allows(later), "one request finds out");
    endpoint_limit.record_start(later);
    assert!(!endpoint_limit.allows(later + SECOND));
    endpoint_limit.record_answer(LimitStatement::None, later, later + SECOND);
    assert_eq!(endpoint_limit.rate(), None);
}

#[rstest]
#[case(-1.0)]
#[case(f64::NAN)]
#[case(f64::INFINITY)]
fn a_rate_that_is_no_number_of_requests_is_refused(#[case] per_second: f64) {
    assert!(RequestRate::try_from(per_second).is_err());
}

#[rstest]
#[case(1e-300)]
#[case(1e9)]
#[case(f64::MAX)]
fn extreme_rates_are_handled(#[case] per_second: f64) {
    let now = Instant::now();
    let mut endpoint_limit = named(per_second, now);

    endpoint_limit.record_start(now);

    assert!(endpoint_limit.delay(3, now) <= Duration::from_secs(3_600));
    assert_eq!(endpoint_limit.allows(now + SECOND), per_second > 1.0);
}
