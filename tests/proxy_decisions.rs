//! The proxies' decisions, replayed against the load patterns that they answer.

use std::time::{Duration, Instant};

use jayreach::decide::{
    allowance::{Allowance, Terms},
    pace::Pace,
    place::{Candidate, order},
    shares::Shares,
    suspicion::{Record, Sample, Standing},
    wait_queue::{WaitQueue, Waiter},
};
use proptest::prelude::*;
use rand::{Rng, SeedableRng as _, rngs::SmallRng};
use rstest::rstest;

const MS: Duration = Duration::from_millis(1);
const WORK: Duration = Duration::from_millis(400);

fn rng() -> SmallRng {
    SmallRng::seed_from_u64(7)
}

fn waiter(id: u64, call: bool, rank: u32, arrived: Instant, useful: Duration) -> Waiter {
    Waiter {
        id,
        call,
        rank,
        idempotent: true,
        trial: true,
        accepts: Standing::Clean,
        arrived,
        useful_until: arrived + useful,
        needs_allowance: false,
        repeat: false,
        route: "r".into(),
    }
}

// Suspicion

/// How one answer of an endpoint came about.
#[derive(Debug, Clone, Copy)]
struct Answer {
    failed: bool,
    took: Duration,
}

/// A healthy endpoint fails one answer in eighty after working on it; one in a gray spell fails
/// nine in ten within a millisecond.
fn answer(gray: bool, rng: &mut impl Rng) -> Answer {
    match gray {
        true if rng.random_bool(0.9) => Answer { failed: true, took: MS },
        true | false => Answer { failed: rng.random_bool(0.0125), took: WORK },
    }
}

fn sample(it: Answer) -> Sample {
    if it.failed { Sample::failure(it.took, Some(WORK)) } else { Sample::Good }
}

/// Replays an endpoint with spells of 12 s, three in ten of them gray, at 8 requests a second;
/// returns work lost that must not repeat, and the share of healthy time under suspicion.
fn replay_spells(judge: impl Fn(Answer) -> Sample) -> (u32, f64) {
    let (mut rng, start) = (rng(), Instant::now());
    let (mut record, mut lost) = (Record::default(), 0);
    let (mut healthy, mut suspected) = (0u32, 0u32);
    for at in 0..8 * 12 * 100 {
        let now = start + Duration::from_millis(125) * at;
        let gray = (at / (8 * 12)) % 10 < 3;
        let idempotent = at % 2 == 0;
        if !gray {
            healthy += 1;
            suspected += u32::from(record.standing() == Standing::Suspect);
        }
        if !record.admits(Standing::Clean, idempotent, 0, now) {
            continue;
        }
        record.begun(now);
        let answer = answer(gray, &mut rng);
        lost += u32::from(answer.failed && !idempotent);
        record.sample(judge(answer), now, now);
    }
    (lost, f64::from(suspected) / f64::from(healthy))
}

#[test]
fn gray_spells_cost_little_and_healthy_endpoints_are_seldom_suspected() {
    let (lost, suspected) = replay_spells(sample);
    let (lost_before, suspected_before) = replay_spells(|it| if it.failed { Sample::Bad } else { Sample::Good });

    assert!(lost <= 55, "{lost} pieces of work lost in 100 spells");
    assert!(suspected < 0.06, "healthy, and under suspicion {suspected:.3} of the time");
    // One failure of any kind, as at first: about the same loss, and several times the suspicion.
    assert!(suspected_before > 2.0 * suspected, "{suspected_before:.3} against {suspected:.3}");
    assert!(lost <= lost_before + 10, "{lost} against {lost_before}");
}

#[rstest]
#[case(&[Sample::Bad], Standing::Suspect)]
#[case(&[Sample::Doubtful], Standing::Clean)]
#[case(&[Sample::Doubtful, Sample::Good, Sample::Doubtful], Standing::Clean)]
#[case(&[Sample::Doubtful, Sample::Doubtful], Standing::Suspect)]
#[case(&[Sample::Bad, Sample::Good, Sample::Good], Standing::Suspect)]
#[case(&[Sample::Bad, Sample::Good, Sample::Good, Sample::Good], Standing::Clean)]
#[case(&[Sample::Bad, Sample::Good, Sample::Good, Sample::Bad, Sample::Good], Standing::Suspect)]
#[case(&[Sample::Declined], Standing::Declining)]
#[case(&[Sample::Declined, Sample::Good, Sample::Good, Sample::Good], Standing::Clean)]
#[case(&[Sample::Declined, Sample::Bad], Standing::Suspect)]
#[case(&[Sample::Bad, Sample::Declined, Sample::Good, Sample::Good, Sample::Good], Standing::Clean)]
#[case(&[Sample::Bad, Sample::Good, Sample::Good, Sample::Declined, Sample::Good], Standing::Declining)]
#[case(&[Sample::Bad, Sample::Working, Sample::Working, Sample::Working], Standing::Clean)]
#[case(&[Sample::Declined, Sample::Working, Sample::Working, Sample::Working], Standing::Clean)]
#[case(&[Sample::Doubtful, Sample::Doubtful, Sample::Working, Sample::Working, Sample::Working], Standing::Suspect)]
#[case(&[Sample::Bad, Sample::Doubtful, Sample::Working, Sample::Working, Sample::Working], Standing::Suspect)]
#[case(&[Sample::Working, Sample::Doubtful, Sample::Working, Sample::Doubtful], Standing::Suspect)]
fn suspicion_begins_with_certainty_or_two_doubts_and_ends_with_three_good_answers(
    #[case] samples: &[Sample],
    #[case] standing: Standing,
) {
    let now = Instant::now();
    let mut record = Record::default();

    for it in samples {
        record.sample(*it, now, now);
    }

    assert_eq!(record.standing(), standing);
}

#[test]
fn a_suspect_gets_one_trial_at_a_time_and_only_idempotent_work() {
    let now = Instant::now();
    let mut record = Record::default();
    record.sample(Sample::Bad, now, now);
    let rested = now + Duration::from_secs(1);

    assert!(!record.admits(Standing::Clean, true, 0, now), "it rests first");
    assert!(record.admits(Standing::Clean, true, 0, rested));
    record.begun(rested);
    assert!(!record.admits(Standing::Clean, true, 1, rested), "one at a time");
    assert!(record.admits(Standing::Clean, true, 1, rested + Duration::from_millis(500)), "it did not fail fast");
    assert!(!record.admits(Standing::Clean, true, 4, rested + Duration::from_millis(500)), "it may hang");
    assert!(!record.admits(Standing::Clean, false, 0, rested), "what must not repeat goes elsewhere");
    record.sample(Sample::Good, rested, rested);
    assert!(record.admits(Standing::Clean, true, 1, rested), "a good answer allows one more");
    assert!(record.admits(Standing::Suspect, false, 9, now), "where all are suspect, suspicion means nothing");
    assert!(!record.admits(Standing::Declining, false, 0, rested));
    let untested = rested + Duration::from_secs(2);
    assert!(record.admits(Standing::Clean, false, 0, untested), "nothing else was a trial for long");
    record.begun(untested);
    assert!(!record.admits(Standing::Clean, false, 1, untested + Duration::from_secs(1)), "one trial is enough");
}

/// An endpoint with four pieces of work under way turns gray for 12 s: work comes, eight pieces a second, a quarter
/// of it idempotent; returns what is lost of the rest. What was under way ends well meanwhile.
fn replay_turn(begun_before: bool) -> u32 {
    let start = Instant::now();
    let (mut record, mut lost) = (Record::default(), 0);
    for at in 0..96u32 {
        let now = start + Duration::from_millis(125) * at;
        if (1..5).contains(&at) {
            let begun = if begun_before { now - WORK } else { now };
            record.sample(Sample::Good, begun, now);
        }
        let idempotent = at % 4 == 1;
        if !record.admits(Standing::Clean, idempotent, 0, now) {
            continue;
        }
        record.begun(now);
        lost += u32::from(!idempotent);
        record.sample(sample(Answer { failed: true, took: MS }), now, now);
    }
    lost
}

#[test]
fn work_begun_before_the_suspicion_does_not_clear_it() {
    let lost_before = replay_turn(false);

    let lost = replay_turn(true);

    assert_eq!(lost, 1, "the failure that made it suspect");
    assert!(lost_before > lost, "{lost_before} lost while any good answer clears");
}

// Waiting

#[test]
fn calls_of_running_work_go_first_then_ranks_then_what_can_still_be_in_time() {
    let now = Instant::now();
    let mut queue = WaitQueue::default();
    queue.push(waiter(1, false, 2, now, Duration::from_secs(9)));
    queue.push(waiter(2, false, 1, now, 10 * MS));
    queue.push(waiter(3, false, 1, now + MS, Duration::from_secs(9)));
    queue.push(waiter(4, false, 1, now + 2 * MS, Duration::from_secs(9)));
    queue.push(waiter(5, true, 7, now + 3 * MS, Duration::from_secs(9)));

    let order: Vec<_> = (0..5).filter_map(|_| queue.next(now + 50 * MS, |_| true)).map(|it| it.id).collect();

    assert_eq!(order, [5, 3, 4, 2, 1], "2 is late already, 1 is of a lower rank");
}

/// One endpoint with four slots, twice the load it can bear, two ranks of like work, a goal of one
/// second; returns how many of each rank began in time.
fn replay_overload(in_order_of_arrival: bool) -> [u32; 2] {
    let start = Instant::now();
    let mut queue = WaitQueue::default();
    let mut busy: Vec<Instant> = Vec::new();
    let mut in_time = [0; 2];
    for tick in 0..21_000u32 {
        let now = start + MS * tick;
        // 20 arrivals a second, where 10 a second can be served.
        if tick % 50 == 0 && tick < 20_000 {
            let rank = if in_order_of_arrival { 0 } else { u32::from(tick % 200 != 0) };
            let id = u64::from(tick);
            queue.push(waiter(id, false, rank, now, Duration::from_millis(600)));
        }
        busy.retain(|it| *it > now);
        while busy.len() < 4 {
            let Some(next) = queue.next(now, |_| true) else { break };
            busy.push(now + WORK);
            let rank = usize::from(next.id % 200 != 0);
            in_time[rank] += u32::from(next.useful_until >= now);
        }
    }
    in_time
}

#[test]
fn under_twice_the_load_the_urgent_class_is_served_whole_and_slots_do_useful_work() {
    let [urgent, other] = replay_overload(false);
    let [urgent_before, other_before] = replay_overload(true);

    assert_eq!(urgent, 100, "all of the urgent class");
    assert!(urgent + other >= 190, "nearly every slot did work that was still in time: {urgent} + {other}");
    assert!(urgent_before < 60, "in order of arrival it suffers like the rest: {urgent_before} + {other_before}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    #[test]
    fn every_waiter_leaves_the_queue_once(ranks in prop::collection::vec((any::<bool>(), 0u32..4, 0u64..500), 1..60)) {
        let now = Instant::now();
        let mut queue = WaitQueue::default();
        for (at, (call, rank, useful)) in ranks.iter().enumerate() {
            queue.push(waiter(at as u64, *call, *rank, now, Duration::from_millis(*useful)));
        }
        let mut seen = Vec::new();
        let mut time = now;
        while let Some(it) = queue.next(time, |_| true) {
            seen.push(it.id);
            time += 10 * MS;
        }
        seen.sort_unstable();
        prop_assert_eq!(seen, (0..ranks.len() as u64).collect::<Vec<_>>());
    }

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
            all[rng.random_range(busy.clone())].count(false);
            arrivals.push((tick * 10, false));
            let storm = tick % (2 * CALM) >= CALM;
            if storm && rng.random_bool(pressure) {
                let elsewhere = rng.random_bool(0.5);
                let guard = &mut all[rng.random_range(if elsewhere { busy_before.clone() } else { busy.clone() })];
                if guard.allows(true) {
                    guard.count(true);
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
fn allowance(slack: f64, guards: usize) -> Allowance {
    let mut allowance = Allowance::new(Terms { ratio: 0.2, slack });
    allowance.share_with(guards);
    for _ in 0..500 {
        allowance.count(false);
    }
    allowance
}

#[test]
fn a_repeat_that_did_not_arrive_is_given_back() {
    let mut allowance = allowance(4.0, 1);
    allowance.count(true);
    allowance.count(true);

    let used_up = !allowance.allows(true);
    allowance.refund(true);

    assert!(used_up, "six tenths of the slack are handed out");
    assert!(!allowance.allows(false), "callers' repeats leave a part to those of calls");
    assert!(allowance.allows(true));
}

#[test]
fn first_arrivals_that_never_came_allow_no_repeats() {
    let mut allowance = allowance(0.0, 1);
    allowance.count(true);
    for _ in 0..5 {
        allowance.count(false);
    }

    let before = allowance.allows(true);
    allowance.refund(false);

    assert!(before, "one repeat for five requests");
    assert!(!allowance.allows(true), "four requests allow none");
}

#[test]
fn calls_of_repeated_work_are_paid_back_before_the_next_repeat() {
    let mut allowance = allowance(4.0, 1);
    for _ in 0..5 {
        allowance.count(true);
    }

    for _ in 0..17 {
        allowance.count(false);
    }
    let before = allowance.allows(true);
    for _ in 0..2 {
        allowance.count(false);
    }

    assert!(!before, "what the calls took beyond the bucket, and the next repeat, take eighteen requests");
    assert!(allowance.allows(true));
}

/// How many repeats an allowance still allows to calls.
fn left(mut allowance: Allowance) -> usize {
    let spend = |_: &()| {
        let allowed = allowance.allows(true);
        allowance.count(true);
        allowed
    };
    std::iter::repeat(()).take_while(spend).count()
}

#[test]
fn a_guard_that_has_just_started_has_less_than_half_of_its_part() {
    let mut anew = Allowance::new(Terms { ratio: 0.2, slack: 60.0 });

    anew.share_with(2);

    assert_eq!((left(anew), left(allowance(60.0, 2))), (7, 18), "what ran before it started is not known");
}

#[test]
fn a_guard_that_finds_the_others_later_has_no_more_than_its_part() {
    let mut anew = Allowance::new(Terms { ratio: 0.2, slack: 60.0 });

    anew.share_with(1);
    let alone = left(anew.clone());
    anew.share_with(6);

    assert_eq!((alone, left(anew)), (14, 2));
}

#[test]
fn a_caller_s_repeat_is_allowed_from_the_start() {
    let mut anew = Allowance::new(Terms { ratio: 0.2, slack: 58.0 });

    anew.share_with(8);
    anew.count(false);

    assert!(anew.allows(false), "the deployment's first gray endpoints cost a repeat each");
}

/// One endpoint with four slots; urgent work alone is twice what it can bear, and as much other work
/// comes; returns how many pieces of each began in time.
fn replay_starvation() -> [u32; 2] {
    let start = Instant::now();
    let mut queue = WaitQueue::default();
    let mut busy: Vec<Instant> = Vec::new();
    let mut in_time = [0; 2];
    for tick in 0..20_000u32 {
        let now = start + MS * tick;
        if tick % 25 == 0 {
            let rank = tick / 25 % 2;
            queue.push(waiter(u64::from(tick), false, rank, now, Duration::from_millis(600)));
        }
        busy.retain(|it| *it > now);
        while busy.len() < 4 {
            let Some(next) = queue.next(now, |_| true) else { break };
            busy.push(now + WORK);
            in_time[next.rank as usize] += u32::from(next.useful_until >= now);
        }
    }
    in_time
}

#[test]
fn the_less_urgent_class_gets_a_ninth_where_the_urgent_one_fills_every_slot() {
    let [urgent, other] = replay_starvation();

    assert!((190..=205).contains(&(urgent + other)), "every slot does work that is still in time: {urgent} + {other}");
    assert!((20..=24).contains(&other), "{other} of {}", urgent + other);
}

// Placing

fn candidate(near: bool, standing: Standing, load: u32) -> Candidate {
    Candidate { near, standing, path_rests: false, load, slots: 4 }
}

#[test]
fn near_and_idle_endpoints_are_asked_first_and_full_ones_last() {
    let candidates = [
        candidate(false, Standing::Clean, 0),
        candidate(true, Standing::Clean, 4),
        candidate(true, Standing::Clean, 0),
    ];

    for _ in 0..50 {
        assert_eq!(order(&candidates, false, &mut rng()).ask, [2, 0, 1]);
    }
}

#[test]
fn work_that_must_not_repeat_seldom_asks_a_suspect_while_one_is_clean() {
    let mut candidates = vec![candidate(false, Standing::Clean, 9); 5];
    candidates.push(candidate(true, Standing::Suspect, 0));
    let mut rng = rng();

    let orders: Vec<_> = (0..1_000).map(|_| order(&candidates, false, &mut rng)).collect();

    assert!(orders.iter().all(|it| it.accepts == Standing::Clean && !it.ask[..3].contains(&5)));
    let asked = orders.iter().filter(|it| it.ask.contains(&5)).count();
    assert!(
        (250..350).contains(&asked),
        "{asked} of 1000; the suspect's guard refuses unless nobody tried it for long"
    );
}

#[test]
fn when_all_are_suspect_suspicion_means_nothing() {
    let candidates = [candidate(true, Standing::Suspect, 0), candidate(true, Standing::Suspect, 0)];

    let order = order(&candidates, false, &mut rng());

    assert_eq!(order.accepts, Standing::Suspect);
    assert_eq!(order.ask.len(), 2);
}

#[rstest]
#[case(5, 3, 0, Standing::Clean)]
#[case(4, 4, 0, Standing::Clean)]
#[case(3, 4, 1, Standing::Declining)]
#[case(0, 1, 7, Standing::Declining)]
#[case(1, 0, 7, Standing::Clean)]
#[case(0, 0, 8, Standing::Suspect)]
fn what_is_left_of_a_service_bears_its_load(
    #[case] clean: usize,
    #[case] declining: usize,
    #[case] suspect: usize,
    #[case] accepts: Standing,
) {
    let mut candidates = vec![candidate(true, Standing::Clean, 0); clean];
    candidates.extend(vec![candidate(true, Standing::Declining, 0); declining]);
    candidates.extend(vec![candidate(true, Standing::Suspect, 0); suspect]);

    let order = order(&candidates, false, &mut rng());

    assert_eq!(order.accepts, accepts);
    let beyond = order.ask.iter().filter(|it| candidates[**it].standing > accepts).count();
    assert!(beyond <= 1, "one at most, as a trial");
}

#[test]
fn suspects_are_tried_with_some_idempotent_work() {
    let candidates = [candidate(true, Standing::Suspect, 0), candidate(true, Standing::Clean, 0)];
    let mut rng = rng();

    let tried = (0..1_000).filter(|_| order(&candidates, true, &mut rng).ask[0] == 0).count();

    assert!((300..500).contains(&tried), "{tried} of 1000");
}

// Shares and pace

#[rstest]
#[case(&[90.0, 10.0], 100, &[90, 10])]
#[case(&[1.0, 1.0, 2.0], 40, &[10, 10, 20])]
#[case(&[0.0, 5.0], 7, &[0, 7])]
fn shares_are_kept_over_any_run(#[case] weights: &[f64], #[case] requests: usize, #[case] wanted: &[usize]) {
    let mut shares = Shares::new(weights.to_vec(), &mut rng());
    let mut dealt = vec![0usize; weights.len()];

    for _ in 0..requests {
        dealt[shares.deal()] += 1;
    }

    for (dealt, wanted) in dealt.iter().zip(wanted) {
        assert!(dealt.abs_diff(*wanted) <= 1, "{dealt} where {wanted} are due");
    }
}

#[test]
fn the_pace_of_a_class_follows_its_durations() {
    let mut pace = Pace::default();

    for _ in 0..100 {
        pace.record("a", 100 * MS);
        pace.record("b", WORK);
    }

    assert_eq!(pace.mean("c"), None);
    assert!(pace.mean("a").expect("it is known").abs_diff(100 * MS) < MS);
    pace.retain(|it| it == "a");
    assert_eq!(pace.mean("b"), None);
}
