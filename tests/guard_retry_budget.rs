//! The allowance for repeats, replayed against load that moves from guard to guard.

use std::time::{Duration, Instant};

use jayreach::decide::guard_retry_budget::{GuardRetryBudget, Retry, RetryBudgetConfig};
use proptest::prelude::*;
use rand::{SeedableRng as _, rngs::SmallRng};

const CALL: Retry = Retry { rank: 0, is_nested_call: true };
const REQUEST: Retry = Retry { rank: 0, is_nested_call: false };

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    /// The rule over any window, for all guards of a service together. Load moves from one part of the
    /// guards to another, as suspicion moves it, and repeats go elsewhere than their firsts; calm and
    /// stormy times take turns, so that there is something to save up. Requests count in the window, the
    /// one before it or the one half a window before, whichever has most.
    #[test]
    fn guards_together_keep_the_allowance(guards in 1usize..12, seed in any::<u64>(), pressure in 0.1f64..0.9) {
        const WINDOW: u64 = 10_000;
        const CALM: u64 = 1_000;
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut all: Vec<_> = (0..guards).map(|_| allowance(60.0, guards)).collect();
        let mut arrivals: Vec<(u64, bool)> = Vec::new();
        let (mut busy, mut busy_before) = (0..guards, 0..guards);
        for tick in 0..6 * CALM {
            if tick % CALM == 0 {
                let first = rng.random_range(0..guards);
                busy_before = std::mem::replace(&mut busy, first..rng.random_range(first..guards) + 1);
            }
            all[rng.random_range(busy.clone())].record_arrival(0.0);
            arrivals.push((tick * 10, false));
            let storm = tick % (2 * CALM) >= CALM;
            if storm && rng.random_bool(pressure) {
                let elsewhere = rng.random_bool(0.5);
                let guard = &mut all[rng.random_range(if elsewhere { busy_before.clone() } else { busy.clone() })];
                if guard.allows(CALL, Instant::now()) {
                    guard.record_arrival(1.0);
                    arrivals.push((tick * 10, true));
                }
            }
        }
        let count = |begin: u64, repeat: bool| {
            let inside = |it: &&(u64, bool)| (begin..begin + WINDOW).contains(&it.0) && it.1 == repeat;
            arrivals.iter().filter(inside).count() as f64
        };
        for begin in (WINDOW..5 * WINDOW).step_by(250) {
            let requests = [0, WINDOW / 2, WINDOW].map(|it| count(begin - it, false)).into_iter().fold(0.0, f64::max);
            let repeats = count(begin, true);
            prop_assert!(repeats <= requests * 0.2 + 60.0, "{} repeats for {} requests", repeats, requests);
        }
    }
}

/// An allowance that has saved up all it may.
fn allowance(slack: f64, guards: usize) -> GuardRetryBudget {
    let mut allowance = GuardRetryBudget::new(RetryBudgetConfig { ratio: 0.2, slack });
    allowance.set_guard_count(guards);
    for _ in 0..500 {
        allowance.record_arrival(0.0);
    }
    allowance
}

#[test]
fn a_repeat_that_did_not_arrive_is_given_back() {
    let mut allowance = allowance(4.0, 1);
    allowance.record_arrival(1.0);
    allowance.record_arrival(1.0);

    let used_up = !allowance.allows(CALL, Instant::now());
    allowance.undo_arrival(1.0);

    assert!(used_up, "six tenths of the slack are handed out");
    assert!(!allowance.allows(REQUEST, Instant::now()), "callers' repeats leave a part to those of calls");
    assert!(allowance.allows(CALL, Instant::now()));
}

#[test]
fn first_arrivals_that_never_came_allow_no_repeats() {
    let mut allowance = allowance(0.0, 1);
    allowance.record_arrival(1.0);
    for _ in 0..5 {
        allowance.record_arrival(0.0);
    }

    let before = allowance.allows(CALL, Instant::now());
    allowance.undo_arrival(0.0);

    assert!(before, "one repeat for five requests");
    assert!(!allowance.allows(CALL, Instant::now()), "four requests allow none");
}

#[test]
fn calls_of_repeated_work_are_paid_back_before_the_next_repeat() {
    let mut allowance = allowance(4.0, 1);
    for _ in 0..5 {
        allowance.record_arrival(1.0);
    }

    for _ in 0..17 {
        allowance.record_arrival(0.0);
    }
    let before = allowance.allows(CALL, Instant::now());
    for _ in 0..2 {
        allowance.record_arrival(0.0);
    }

    assert!(!before, "what the calls took beyond the bucket, and the next repeat, take eighteen requests");
    assert!(allowance.allows(CALL, Instant::now()));
}

/// How many repeats an allowance still allows to calls.
fn left(mut allowance: GuardRetryBudget) -> usize {
    let spend = |_: &()| {
        let allowed = allowance.allows(CALL, Instant::now());
        allowance.record_arrival(1.0);
        allowed
    };
    std::iter::repeat(()).take_while(spend).count()
}

#[test]
fn a_guard_that_has_just_started_has_less_than_half_of_its_part() {
    let mut anew = GuardRetryBudget::new(RetryBudgetConfig { ratio: 0.2, slack: 60.0 });

    anew.set_guard_count(2);

    assert_eq!((left(anew), left(allowance(60.0, 2))), (7, 18), "what ran before it started is not known");
}

#[test]
fn a_guard_that_finds_the_others_later_has_no_more_than_its_part() {
    let mut anew = GuardRetryBudget::new(RetryBudgetConfig { ratio: 0.2, slack: 60.0 });

    anew.set_guard_count(1);
    let alone = left(anew.clone());
    anew.set_guard_count(6);

    assert_eq!((alone, left(anew)), (14, 2));
}

#[test]
fn a_caller_s_repeat_is_allowed_from_the_start() {
    let mut anew = GuardRetryBudget::new(RetryBudgetConfig { ratio: 0.2, slack: 58.0 });

    anew.set_guard_count(8);
    anew.record_arrival(0.0);

    assert!(anew.allows(REQUEST, Instant::now()), "the deployment's first gray endpoints cost a repeat each");
}

/// A whole service sheds for eight seconds: `guards` of them, each with four first arrivals a second, half of which are
/// declined and want a repeat at another guard. Returns the repeats that arrived in the worst window of ten seconds, less
/// what the rule allows, with each guard counting `known` guards.
fn replay_whole_shed(guards: usize, known: usize) -> f64 {
    const TICKS_PER_S: usize = 100;
    let (slack, seconds) = (630.0, 30);
    let mut rng = SmallRng::seed_from_u64(5);
    let mut all: Vec<_> = (0..guards).map(|_| allowance(slack, known)).collect();
    let (mut firsts, mut repeats) = (vec![0.0; seconds], vec![0.0; seconds]);
    for tick in 0..seconds * TICKS_PER_S {
        let second = tick / TICKS_PER_S;
        for _ in 0..guards * 4 / TICKS_PER_S {
            all[rng.random_range(0..guards)].record_arrival(0.0);
            firsts[second] += 1.0;
            let elsewhere = &mut all[rng.random_range(0..guards)];
            if (10..18).contains(&second) && rng.random_bool(0.5) && elsewhere.allows(CALL, Instant::now()) {
                elsewhere.record_arrival(1.0);
                repeats[second] += 1.0;
            }
        }
    }
    let sum = |of: &[f64], from: usize| of[from..from + 10].iter().sum::<f64>();
    (0..seconds - 10).map(|it| sum(&repeats, it) - sum(&firsts, it) * 0.2 - slack).fold(f64::MIN, f64::max)
}

#[test]
fn the_slack_is_shared_by_all_guards_of_the_service_not_only_by_those_linked() {
    let shared_by_all = replay_whole_shed(137, 137);
    let shared_by_linked = replay_whole_shed(137, 24);

    assert!(shared_by_all <= 0.0, "{shared_by_all} too many");
    assert!(shared_by_linked > 0.0, "the replay would show it: {shared_by_linked}");
}

/// Work at a service that sheds.
#[derive(Debug, Clone, Copy, Default)]
struct Outcome {
    asked: f64,
    served: f64,
}

impl Outcome {
    fn share(self) -> f64 {
        self.served / self.asked
    }
}

/// A service of 137 guards declines 55 in 100 arrivals for eight seconds. Urgent requests come at four a second and guard;
/// less urgent work elsewhere makes calls at two a second and guard, and needs both of two. Each may arrive twice, if a
/// guard's allowance lets it; `rank` is how urgent the calls seem. Returns what became of both.
fn replay_shed_with_calls(rank: u32) -> (Outcome, Outcome) {
    const GUARDS: usize = 137;
    const TICK: Duration = Duration::from_millis(10);
    let mut rng = SmallRng::seed_from_u64(5);
    let mut all: Vec<_> = (0..GUARDS).map(|_| allowance(630.0, GUARDS)).collect();
    let (mut urgent, mut less) = (Outcome::default(), Outcome::default());
    let start = Instant::now();
    for tick in 0..800 {
        let now = start + TICK * tick;
        let mut one = |repeat: Retry| {
            all[rng.random_range(0..GUARDS)].record_arrival(0.0);
            if rng.random_bool(0.45) {
                return true;
            }
            // Several guards are asked for a second place.
            let granted = (0..8).map(|_| rng.random_range(0..GUARDS)).find(|at| {
                all[*at].record_demand(repeat, now);
                all[*at].allows(repeat, now)
            });
            granted.is_some_and(|at| {
                all[at].record_arrival(1.0);
                rng.random_bool(0.45)
            })
        };
        for at in 0..GUARDS * 6 / 100 {
            if at % 3 < 2 {
                urgent.asked += 1.0;
                urgent.served += f64::from(u8::from(one(Retry { rank: 1, is_nested_call: false })));
            } else {
                less.asked += 0.5;
                let both = [0; 2].map(|_| one(Retry { rank, is_nested_call: true })) == [true; 2];
                less.served += 0.5 * f64::from(u8::from(both));
            }
        }
    }
    (urgent, less)
}

#[test]
fn a_shed_service_s_repeats_go_to_the_more_urgent_work_first() {
    let (calls_first, ranks_first) = (replay_shed_with_calls(0), replay_shed_with_calls(2));

    assert!(ranks_first.0.share() > calls_first.0.share() + 0.05, "{ranks_first:?} {calls_first:?}");
    let saved = |it: (Outcome, Outcome)| it.0.served + it.1.served;
    assert!(saved(ranks_first) > saved(calls_first), "more is served in all: {ranks_first:?} {calls_first:?}");
}
