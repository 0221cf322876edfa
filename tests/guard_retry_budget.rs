//! The retry budget of a guard: all guards of a service together must stay within its retry limit, wherever the load
//! moves.

use std::time::{Duration, Instant};

use jayreach::decide::guard_retry_budget::{GuardRetryBudget, Retry, RetryBudgetConfig};
use proptest::prelude::*;
use rand::{SeedableRng as _, rngs::SmallRng};

const NESTED_CALL: Retry = Retry { rank: 0, is_nested_call: true };
const CALLER_REQUEST: Retry = Retry { rank: 0, is_nested_call: false };

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    /// In every window, retries stay below the slack plus the ratio of the first arrivals in the busiest of three
    /// windows: this one, the one before it and the one that begins half a window earlier. Load moves between guards,
    /// retries go to other guards than their first arrivals, and normal phases alternate with overload.
    #[test]
    fn all_guards_together_stay_within_the_retry_limit(guards in 1usize..12, seed in any::<u64>(), pressure in 0.1f64..0.9) {
        const WINDOW: u64 = 10_000;
        const PHASE: u64 = 1_000;
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut all: Vec<_> = (0..guards).map(|_| full_budget(60.0, guards)).collect();
        let mut arrivals: Vec<(u64, bool)> = Vec::new();
        let (mut busy, mut busy_before) = (0..guards, 0..guards);
        for tick in 0..6 * PHASE {
            if tick % PHASE == 0 {
                let first = rng.random_range(0..guards);
                busy_before = std::mem::replace(&mut busy, first..rng.random_range(first..guards) + 1);
            }
            all[rng.random_range(busy.clone())].record_arrival(0.0);
            arrivals.push((tick * 10, false));
            let overload = tick % (2 * PHASE) >= PHASE;
            if overload && rng.random_bool(pressure) {
                let elsewhere = rng.random_bool(0.5);
                let guard = &mut all[rng.random_range(if elsewhere { busy_before.clone() } else { busy.clone() })];
                if guard.allows(NESTED_CALL, Instant::now()) {
                    guard.record_arrival(1.0);
                    arrivals.push((tick * 10, true));
                }
            }
        }
        let count = |begin: u64, is_retry: bool| {
            let inside = |it: &&(u64, bool)| (begin..begin + WINDOW).contains(&it.0) && it.1 == is_retry;
            arrivals.iter().filter(inside).count() as f64
        };
        for begin in (WINDOW..5 * WINDOW).step_by(250) {
            let requests = [0, WINDOW / 2, WINDOW].map(|it| count(begin - it, false)).into_iter().fold(0.0, f64::max);
            let retries = count(begin, true);
            prop_assert!(retries <= requests * 0.2 + 60.0, "{} retries for {} requests", retries, requests);
        }
    }
}

/// A budget with a full bucket.
fn full_budget(slack: f64, guards: usize) -> GuardRetryBudget {
    let mut budget = GuardRetryBudget::new(RetryBudgetConfig { ratio: 0.2, slack });
    budget.set_guard_count(guards);
    for _ in 0..500 {
        budget.record_arrival(0.0);
    }
    budget
}

#[test]
fn undoing_an_arrival_returns_its_token() {
    let mut budget = full_budget(4.0, 1);
    budget.record_arrival(1.0);
    budget.record_arrival(1.0);

    let exhausted = !budget.allows(NESTED_CALL, Instant::now());
    budget.undo_arrival(1.0);

    assert!(exhausted, "the bucket holds 0.6 of the slack");
    assert!(!budget.allows(CALLER_REQUEST, Instant::now()), "some tokens are reserved for nested calls");
    assert!(budget.allows(NESTED_CALL, Instant::now()));
}

#[test]
fn undoing_a_first_arrival_takes_back_its_share() {
    let mut budget = full_budget(0.0, 1);
    budget.record_arrival(1.0);
    for _ in 0..5 {
        budget.record_arrival(0.0);
    }

    let allowed_before = budget.allows(NESTED_CALL, Instant::now());
    budget.undo_arrival(0.0);

    assert!(allowed_before, "five first arrivals allow one retry");
    assert!(!budget.allows(NESTED_CALL, Instant::now()), "four first arrivals allow none");
}

#[test]
fn negative_tokens_are_refilled_before_the_next_retry() {
    let mut budget = full_budget(4.0, 1);
    for _ in 0..5 {
        budget.record_arrival(1.0);
    }

    for _ in 0..17 {
        budget.record_arrival(0.0);
    }
    let allowed_before = budget.allows(NESTED_CALL, Instant::now());
    for _ in 0..2 {
        budget.record_arrival(0.0);
    }

    assert!(!allowed_before, "the missing tokens and the next retry need 18 first arrivals");
    assert!(budget.allows(NESTED_CALL, Instant::now()));
}

/// Number of retries of nested calls that the budget still allows.
fn retries_left(mut budget: GuardRetryBudget) -> usize {
    let spend = |_: &()| {
        let allowed = budget.allows(NESTED_CALL, Instant::now());
        budget.record_arrival(1.0);
        allowed
    };
    std::iter::repeat(()).take_while(spend).count()
}

#[test]
fn a_new_guard_starts_with_a_partly_filled_bucket() {
    let mut new_budget = GuardRetryBudget::new(RetryBudgetConfig { ratio: 0.2, slack: 60.0 });

    new_budget.set_guard_count(2);

    assert_eq!(
        (retries_left(new_budget), retries_left(full_budget(60.0, 2))),
        (7, 18),
        "tokens spent by a previous process are unknown"
    );
}

#[test]
fn tokens_shrink_when_a_guard_discovers_others() {
    let mut new_budget = GuardRetryBudget::new(RetryBudgetConfig { ratio: 0.2, slack: 60.0 });

    new_budget.set_guard_count(1);
    let alone = retries_left(new_budget.clone());
    new_budget.set_guard_count(6);

    assert_eq!((alone, retries_left(new_budget)), (14, 2));
}

#[test]
fn a_new_guard_allows_a_retry_of_a_caller_request() {
    let mut new_budget = GuardRetryBudget::new(RetryBudgetConfig { ratio: 0.2, slack: 58.0 });

    new_budget.set_guard_count(8);
    new_budget.record_arrival(0.0);

    assert!(
        new_budget.allows(CALLER_REQUEST, Instant::now()),
        "its first requests may hit endpoints with gray failures"
    );
}

/// Simulates a service of `guards` guards with four first arrivals a second each. For eight seconds half of these are
/// declined and retried at another guard. Each guard assumes that `guard_count` guards share the slack. Returns by how
/// many the retries exceed the limit in the worst window of ten seconds.
fn excess_retries_of_a_shedding_service(guards: usize, guard_count: usize) -> f64 {
    const TICKS_PER_S: usize = 100;
    let (slack, seconds) = (630.0, 30);
    let mut rng = SmallRng::seed_from_u64(5);
    let mut all: Vec<_> = (0..guards).map(|_| full_budget(slack, guard_count)).collect();
    let (mut first_arrivals, mut retries) = (vec![0.0; seconds], vec![0.0; seconds]);
    for tick in 0..seconds * TICKS_PER_S {
        let second = tick / TICKS_PER_S;
        for _ in 0..guards * 4 / TICKS_PER_S {
            all[rng.random_range(0..guards)].record_arrival(0.0);
            first_arrivals[second] += 1.0;
            let other_guard = &mut all[rng.random_range(0..guards)];
            if (10..18).contains(&second) && rng.random_bool(0.5) && other_guard.allows(NESTED_CALL, Instant::now()) {
                other_guard.record_arrival(1.0);
                retries[second] += 1.0;
            }
        }
    }
    let sum = |counts: &[f64], from: usize| counts[from..from + 10].iter().sum::<f64>();
    (0..seconds - 10).map(|it| sum(&retries, it) - sum(&first_arrivals, it) * 0.2 - slack).fold(f64::MIN, f64::max)
}

#[test]
fn the_slack_is_divided_by_all_guards_not_only_the_connected_ones() {
    let divided_by_all = excess_retries_of_a_shedding_service(137, 137);
    let divided_by_connected = excess_retries_of_a_shedding_service(137, 24);

    assert!(divided_by_all <= 0.0, "{divided_by_all} retries above the limit");
    assert!(divided_by_connected > 0.0, "the simulation can't exceed the limit: {divided_by_connected}");
}

/// Requests sent to a service and those that were served.
#[derive(Debug, Clone, Copy, Default)]
struct Goodput {
    offered: f64,
    served: f64,
}

impl Goodput {
    fn fraction(self) -> f64 {
        self.served / self.offered
    }
}

/// Simulates 137 guards that decline 55 % of their arrivals for eight seconds. For each guard and second there are four
/// urgent caller requests and two less urgent requests; these make two nested calls each, are served if both calls are,
/// and count half. A declined arrival is retried once if a guard's budget allows it. `rank` is the rank of the nested
/// calls. Returns the goodput of the urgent and the less urgent requests.
fn goodput_of_a_shedding_service(rank: u32) -> (Goodput, Goodput) {
    const GUARDS: usize = 137;
    const TICK: Duration = Duration::from_millis(10);
    let mut rng = SmallRng::seed_from_u64(5);
    let mut all: Vec<_> = (0..GUARDS).map(|_| full_budget(630.0, GUARDS)).collect();
    let (mut urgent, mut less_urgent) = (Goodput::default(), Goodput::default());
    let start = Instant::now();
    for tick in 0..800 {
        let now = start + TICK * tick;
        let mut send_request = |retry: Retry| {
            all[rng.random_range(0..GUARDS)].record_arrival(0.0);
            if rng.random_bool(0.45) {
                return true;
            }
            // A retry asks up to eight guards for a slot.
            let granted = (0..8).map(|_| rng.random_range(0..GUARDS)).find(|at| {
                all[*at].record_demand(retry, now);
                all[*at].allows(retry, now)
            });
            granted.is_some_and(|at| {
                all[at].record_arrival(1.0);
                rng.random_bool(0.45)
            })
        };
        for at in 0..GUARDS * 6 / 100 {
            if at % 3 < 2 {
                urgent.offered += 1.0;
                urgent.served += f64::from(u8::from(send_request(Retry { rank: 1, is_nested_call: false })));
            } else {
                less_urgent.offered += 0.5;
                let both = [0; 2].map(|_| send_request(Retry { rank, is_nested_call: true })) == [true; 2];
                less_urgent.served += 0.5 * f64::from(u8::from(both));
            }
        }
    }
    (urgent, less_urgent)
}

#[test]
fn retries_of_a_shedding_service_go_to_more_urgent_requests_first() {
    let (nested_calls_first, ranks_first) = (goodput_of_a_shedding_service(0), goodput_of_a_shedding_service(2));

    assert!(
        ranks_first.0.fraction() > nested_calls_first.0.fraction() + 0.05,
        "{ranks_first:?} {nested_calls_first:?}"
    );
    let total = |it: (Goodput, Goodput)| it.0.served + it.1.served;
    assert!(
        total(ranks_first) > total(nested_calls_first),
        "less is served in total: {ranks_first:?} {nested_calls_first:?}"
    );
}
